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

/// \brief Why a pool's maintenance wave starts no further drain now.
enum class WaveWait {
  kNone,             ///< drains start now
  kNothingDue,       ///< every host is within its period
  kInMaintenance,    ///< the last due hosts are in maintenance
  kBudget,           ///< as many hosts as the budget allows are in maintenance
  kLossReserve,      ///< the rest of the budget is reserved for a host loss
  kLosses,           ///< lost hosts use up the budget
  kDrainsCancelled,  ///< drains are cancelled, since losses exceed the budget
  kNoSlack,          ///< the pool has no more hosts than min_available
  kFleetCap,         ///< the fleet's cap on hosts in maintenance is reached
};

inline constexpr EnumTable<WaveWait, 9> kWaveWaits{{{
    {WaveWait::kNone, "none"},
    {WaveWait::kNothingDue, "nothing_due"},
    {WaveWait::kInMaintenance, "in_work"},
    {WaveWait::kBudget, "budget"},
    {WaveWait::kLossReserve, "loss_reserve"},
    {WaveWait::kLosses, "losses"},
    {WaveWait::kDrainsCancelled, "gives_way"},
    {WaveWait::kNoSlack, "no_slack"},
    {WaveWait::kFleetCap, "fleet_cap"},
}}};

/// \brief Parameters of PlanWave.
struct WaveConfig {
  std::int64_t seconds_per_day = 86'400;  ///< tests use 1: days last 1 s
  std::int64_t host_seconds = 600;  ///< expected maintenance time of a host
  /// Workers of a pool's slack (hosts above min_available) that are reserved
  /// for host losses, as long as one is left for maintenance.
  std::int64_t loss_reserve = 1;
  /// Target number of concurrent hosts in maintenance in a pool. A pool whose
  /// budget minus the reserve allows fewer asks to borrow spare hosts.
  std::int64_t target_concurrency = 2;
  std::int64_t max_in_maintenance = 0;  ///< cap for the fleet; 0 is none
  /// How long before the end of its period a host becomes due, in percent of
  /// the time that maintaining it and all hosts with earlier deadlines takes
  /// without host losses; at most half a period.
  std::int64_t lead_percent = 150;
  /// Prefer hosts of racks that already have hosts in maintenance.
  bool rack_by_rack = true;
  /// Expected time until the tasks of a host have ended or been moved, where
  /// known. Hosts that are due only for a roll-out are drained shortest first,
  /// since a drain uses up the budget.
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
  std::int64_t due = 0;  ///< to maintain in this wave, not started yet
  std::int64_t in_maintenance = 0;     ///< from draining to returning
  std::int64_t overdue = 0;            ///< past their period
  std::int64_t done = 0;               ///< maintained and not due
  std::int64_t concurrency_limit = 0;  ///< of hosts in maintenance
  /// Spare hosts to borrow to reach WaveConfig::target_concurrency.
  std::int64_t lend_wanted = 0;
  WaveWait wait = WaveWait::kNothingDue;
  /// Expected end, Unix seconds; not set if the wave can't continue.
  std::optional<std::int64_t> end_estimate;

  friend bool operator==(const PoolWave&, const PoolWave&) = default;
};

/// \brief Actions to take now, in order.
struct WavePlan {
  std::vector<HostName> start;   ///< active hosts to drain
  std::vector<HostName> cancel;  ///< draining hosts to put back in service
  std::vector<PoolWave> pools;   ///< by name
  std::int64_t due = 0;
  std::int64_t in_maintenance = 0;
  std::optional<std::int64_t> end_estimate;  ///< of the last pool

  friend bool operator==(const WavePlan&, const WavePlan&) = default;
};

/// \brief Plans maintenance from the fleet state alone, so that a new leader
/// continues where the previous one stopped.
/// \param lost hosts that count as lost whatever their state is: those without
/// heartbeats and those that leave.
/// \param wall Unix seconds.
/// \returns a plan that keeps every pool within its budget if its drains are
/// applied in order. Only host losses can take a pool below it.
[[nodiscard]] WavePlan PlanWave(const FleetView& fleet,
                                const std::set<HostName>& lost,
                                std::int64_t wall,
                                const WaveConfig& config);

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_WAVE_PLANNER_H_
