#ifndef BORAGEWINCH_POLICY_WAVE_PLANNER_H_
#define BORAGEWINCH_POLICY_WAVE_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/enum_table.h"
#include "base/result.h"
#include "base/time.h"
#include "model/fleet_view.h"

namespace boragewinch {

/// \brief Why a pool's wave starts no further drain now.
enum class WaveWait {
  kNone,         ///< drains start now
  kNothingDue,   ///< every host is within its period
  kInWork,       ///< the last due hosts are in maintenance
  kBudget,       ///< all that the budget allows is in maintenance
  kLossReserve,  ///< the rest of the budget is kept for an unplanned loss
  kLosses,       ///< unplanned losses use up the budget
  kGivesWay,     ///< drains are cancelled since losses exceed the budget
  kNoSlack,      ///< the pool has no more workers than it must keep
  kFleetCap,     ///< the cap on hosts in maintenance is reached
};

inline constexpr EnumTable<WaveWait, 9> kWaveWaits{{{
    {WaveWait::kNone, "none"},
    {WaveWait::kNothingDue, "nothing_due"},
    {WaveWait::kInWork, "in_work"},
    {WaveWait::kBudget, "budget"},
    {WaveWait::kLossReserve, "loss_reserve"},
    {WaveWait::kLosses, "losses"},
    {WaveWait::kGivesWay, "gives_way"},
    {WaveWait::kNoSlack, "no_slack"},
    {WaveWait::kFleetCap, "fleet_cap"},
}}};

/// \brief Parameters of PlanWave.
struct WaveConfig {
  std::int64_t seconds_per_day = 86'400;  ///< 1 turns days into seconds (demo)
  std::int64_t host_seconds = 600;        ///< expected maintenance of one host
  /// Workers of a pool's slack that are kept for an unplanned loss, as long as
  /// one remains for maintenance.
  std::int64_t loss_reserve = 1;
  /// Hosts of a pool that should be in work at once; a pool whose budget allows
  /// fewer beside the reserve asks to borrow spare hosts.
  std::int64_t wanted_at_once = 2;
  std::int64_t max_in_work = 0;  ///< hosts of the fleet at once; 0 is no cap
  /// Hosts are due earlier than their period by what their maintenance and that
  /// of the hosts before them is expected to take
  /// at the usual pace, times this many percent.
  std::int64_t lead_percent = 150;
  /// Hosts of a rack that is in work already go first.
  bool rack_by_rack = true;
  /// Expected time until the tasks of a host have ended or been moved, for
  /// hosts of which it is known. Of the hosts that are due by a roll-out only,
  /// the one with the shortest drain goes first, since a drain uses the budget.
  std::map<HostName, Millis> expected_drain;
  /// Roll-out: every host maintained before this wall time is due; 0 is off.
  std::int64_t rollout_since = 0;

  /// \returns kInvalidSetting for a value out of range.
  [[nodiscard]] Status Check() const;
};

/// \brief The wave of one pool.
struct PoolWave {
  PoolName pool;
  std::int64_t hosts = 0;
  std::int64_t available = 0;      ///< active and not lost
  std::int64_t min_available = 0;  ///< the budget
  std::int64_t due = 0;            ///< to maintain in this wave, not yet begun
  std::int64_t in_work = 0;        ///< from draining to returning
  std::int64_t overdue = 0;        ///< past their period
  std::int64_t done = 0;           ///< maintained and not due
  std::int64_t at_once = 0;        ///< hosts that may be in work together
  std::int64_t lend_wanted = 0;    ///< spare hosts that would let it go on
  WaveWait wait = WaveWait::kNothingDue;
  /// Expected end, Unix seconds; nothing if the wave can't go on.
  std::optional<std::int64_t> end_estimate;

  friend bool operator==(const PoolWave&, const PoolWave&) = default;
};

/// \brief What to do now. Hosts are in the order of the actions.
struct WavePlan {
  std::vector<HostName> start;   ///< active hosts to drain
  std::vector<HostName> cancel;  ///< draining hosts to put back in service
  std::vector<PoolWave> pools;   ///< by name
  std::int64_t due = 0;
  std::int64_t in_work = 0;
  std::optional<std::int64_t> end_estimate;  ///< of the last pool

  friend bool operator==(const WavePlan&, const WavePlan&) = default;
};

/// \brief Plans maintenance from the fleet state alone, so that a new leader
/// goes on where the last one was lost.
/// \param lost hosts that are silent, in any state.
/// \param wall Unix seconds.
/// \returns a plan that keeps every pool's budget if its drains are applied in
/// order; the budget may be exceeded by losses only.
[[nodiscard]] WavePlan PlanWave(const FleetView& fleet,
                                const std::set<HostName>& lost,
                                std::int64_t wall,
                                const WaveConfig& config);

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_WAVE_PLANNER_H_
