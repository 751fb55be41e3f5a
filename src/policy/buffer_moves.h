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
  std::int64_t at_once = 2;  ///< hosts on their way; 0 moves none
  /// A host counts as lost for the buffer once it has been lost for this long,
  /// since most lost workers restart within seconds.
  Millis settle{30'000};
  /// A lent host stays at least this long, so that it doesn't go back and
  /// forth with a loss that comes and goes.
  std::int64_t min_stay_seconds = 600;

  /// \returns kInvalidSetting for a value out of range.
  [[nodiscard]] Status Check() const;
};

/// \brief What DecideBufferMoves decides on.
struct BufferMoveInput {
  const FleetView& fleet;
  const std::map<HostName, PendingMove>& pending;
  /// Hosts that don't count towards a budget, as for DrainHost.
  const std::set<HostName>& unavailable;
  /// Hosts in state "lost" for BufferMoveConfig::settle or longer.
  const std::set<HostName>& settled;
  const std::vector<PoolWave>& waves;
  std::int64_t wall = 0;  ///< Unix seconds
};

/// \brief Moves to begin and to give up now.
struct BufferMoves {
  std::vector<HostMove> lend;       ///< out of the spare pool; needs no drain
  std::vector<HostMove> give_back;  ///< drain first
  std::vector<HostName> cancel;     ///< on the way back, but needed again

  friend bool operator==(const BufferMoves&, const BufferMoves&) = default;
};

/// \brief Decides which spare hosts go to pools that lack workers or to waves
/// that have too little slack, and which lent ones come back. It is derived
/// from the replicated state alone, so a new leader goes on with the same.
/// No move takes an available worker out of a pool at or below its budget, and
/// none comes back from a pool with a wave or a loss.
[[nodiscard]] BufferMoves DecideBufferMoves(const BufferMoveInput& input,
                                            const BufferMoveConfig& config);

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_BUFFER_MOVES_H_
