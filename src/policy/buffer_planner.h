#ifndef BORAGEWINCH_POLICY_BUFFER_PLANNER_H_
#define BORAGEWINCH_POLICY_BUFFER_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/enum_table.h"
#include "base/result.h"
#include "base/time.h"
#include "model/fleet_view.h"

namespace boragewinch {

/// \brief What the buffer is sized for: a failure or a demand spike.
enum class BufferScenario { kNone, kHost, kRack, kZone, kSpike };

inline constexpr EnumTable<BufferScenario, 5> kBufferScenarios{{{
    {BufferScenario::kNone, "none"},
    {BufferScenario::kHost, "host"},
    {BufferScenario::kRack, "rack"},
    {BufferScenario::kZone, "zone"},
    {BufferScenario::kSpike, "spike"},
}}};

/// \brief Demand of a pool, for sizing by spikes.
struct PoolDemand {
  double mean_busy = 0;     ///< hosts busy on average
  double spike_factor = 5;  ///< peak over mean
  Millis spike_length{4'000};
};

/// \brief Parameters of PlanBuffers.
struct BufferConfig {
  bool cover_rack = true;
  bool cover_zone = true;
  /// Time from the decision to a spare host's first task in another pool.
  /// Shorter spikes are left to the queue, since spares would arrive too late.
  Millis move_time{10'000};
  Millis spike_wait{5'000};  ///< accepted wait at the end of a spike
  std::map<PoolName, PoolDemand> demand;
  /// Hosts that waves ask to borrow (PoolWave::lend_wanted). All free spares
  /// may be lent, since a lent host covers losses of its new pool. An entry,
  /// even of 0, means an open wave: while there are entries, no host is
  /// returned, since hosts would move back and forth otherwise.
  std::map<PoolName, std::int64_t> wanted;
  /// Only spares maintained at this wall time or later are lent, so that a
  /// roll-out does not drain them again in their new pool.
  std::int64_t lend_maintained_since = 0;
  /// Hosts of each pool without borrowed ones. A pool with more returns the
  /// excess while the spare pool has fewer hosts than it needs.
  std::map<PoolName, std::int64_t> base_size;
  /// If set, only hosts lent at this wall time or earlier are returned.
  std::optional<std::int64_t> return_lent_until;

  /// \returns kInvalidSetting for a value out of range.
  [[nodiscard]] Status Check() const;
};

struct PoolTarget {
  PoolName pool;
  std::int64_t size = 0;           ///< hosts now, lost ones included
  std::int64_t alive = 0;          ///< not lost
  std::int64_t min_available = 0;  ///< availability budget
  std::int64_t target = 0;         ///< alive hosts after the moves
  Millis spike_wait{0};            ///< expected wait at the end of a spike
  double cost_hosts = 0;           ///< spare hosts attributed to the pool
};

struct HostMove {
  HostName host;
  PoolName from;
  PoolName to;

  friend bool operator==(const HostMove&, const HostMove&) = default;
};

struct BufferPlan {
  std::vector<PoolTarget> pools;  ///< by name, without spare pools
  std::vector<HostMove> moves;    ///< most urgent first
  std::int64_t spares = 0;        ///< alive hosts of the spare pools
  std::int64_t spares_needed = 0;
  /// Scenario that needs the most spares and so determines `spares_needed`.
  BufferScenario binding = BufferScenario::kNone;
  std::string binding_domain;  ///< host, rack, zone or pool (for a spike)
  std::int64_t missing = 0;    ///< workers below the budgets after all moves
  /// Spares needed with one for each pool and zone, for comparison.
  std::int64_t unshared_spares = 0;
  std::map<TeamName, double> cost_by_team;  ///< spare hosts, split by share
};

/// \brief Plans one buffer of spare hosts for all pools: the fewest spares that
/// cover the worst failure or spike, and the moves that restore availability
/// budgets, lend hosts to waves and return lent hosts, in this order.
/// \param lost hosts that count as lost whatever their state is.
[[nodiscard]] BufferPlan PlanBuffers(const FleetView& fleet,
                                     const std::set<HostName>& lost,
                                     const BufferConfig& config);

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_BUFFER_PLANNER_H_
