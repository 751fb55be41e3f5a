#ifndef BORAGEWINCH_POLICY_BUFFER_MOVES_H_
#define BORAGEWINCH_POLICY_BUFFER_MOVES_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/result.h"
#include "fleet/host_plan.h"
#include "model/fleet_view.h"
#include "policy/buffer_planner.h"
#include "policy/wave_planner.h"

namespace boragewinch {

/// \brief Parameters of DecideBufferMoves.
struct BufferMoveConfig {
  std::int64_t max_concurrent = 2;  ///< concurrent moves; 0 disables moves
  /// A host is replaced from the buffer only after it has been lost for this
  /// long, since most lost workers restart within seconds.
  Millis loss_delay{30'000};
  /// Minimum time for which a host is lent. Prevents it from moving back and
  /// forth when a host is lost intermittently.
  std::int64_t min_stay_seconds = 600;

  /// \returns kInvalidSetting for a value out of range.
  [[nodiscard]] Status Check() const;
};

/// \brief Input of DecideBufferMoves.
struct BufferMoveInput {
  const FleetView& fleet;
  const std::map<HostName, PendingMove>& pending;
  /// Hosts that count as not available whatever their state is, as in
  /// DrainHost.
  const std::set<HostName>& unavailable;
  /// Hosts without heartbeats for BufferMoveConfig::loss_delay or longer.
  const std::set<HostName>& confirmed_lost;
  const std::vector<PoolWave>& waves;
  std::int64_t wall = 0;  ///< Unix seconds
};

/// \brief Moves to begin and to cancel now.
struct BufferMoves {
  std::vector<HostMove> lend;     ///< from the spare pool; needs no drain
  std::vector<HostMove> returns;  ///< back to the spare pool; drained first
  std::vector<HostName> cancel;   ///< hosts whose return is to be cancelled

  friend bool operator==(const BufferMoves&, const BufferMoves&) = default;
};

/// \brief Decides which spare hosts are lent to pools below their budget or
/// with too little slack for their wave, and which lent hosts are returned.
/// Keeps no state, so a new leader with the same input makes the same
/// decisions. No move takes an available worker out of a pool at or below its
/// budget, and no host is returned from a pool with an open wave or a lost
/// host.
[[nodiscard]] BufferMoves DecideBufferMoves(const BufferMoveInput& input,
                                            const BufferMoveConfig& config);

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_BUFFER_MOVES_H_
