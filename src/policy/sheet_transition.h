#ifndef BORAGEWINCH_POLICY_SHEET_TRANSITION_H_
#define BORAGEWINCH_POLICY_SHEET_TRANSITION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "model/fleet_view.h"
#include "policy/buffer_planner.h"

namespace boragewinch {

/// \brief What a sheet changes for a team.
struct TeamChange {
  TeamName team;
  std::int64_t share_before = 0;  ///< 0 if the sheet does not list the team
  std::int64_t share_after = 0;
  double slots_before = 0;  ///< fair share when the fleet is full
  double slots_after = 0;
  std::int64_t limit_before = 0;
  std::int64_t limit_after = 0;
  std::int64_t running = 0;
  std::int64_t to_end = 0;   ///< tasks that must end to meet the new limit
  double buffer_before = 0;  ///< spare hosts attributed to the team
  double buffer_after = 0;
};

/// \brief What a sheet changes for a pool.
struct PoolChange {
  PoolName pool;
  std::int64_t hosts_before = 0;
  std::int64_t hosts_after = 0;
  std::int64_t moves_in = 0;  ///< hosts moved from other pools
  std::int64_t moves_out = 0;
  double buffer_before = 0;  ///< spare hosts attributed to the pool
  double buffer_after = 0;
};

/// \brief Move of a host and the step in which it is made.
struct SheetMove {
  HostMove move;
  std::int64_t step = 0;  ///< moves of one step may run concurrently
};

struct SheetPlan {
  std::vector<TeamChange> teams;  ///< by name
  std::vector<PoolChange> pools;  ///< by name
  std::vector<SheetMove> moves;   ///< by step; each host at most once
  /// Moves that remain when no further one keeps the budgets. In each step
  /// hosts are moved in the order of their names; another order may leave
  /// fewer.
  std::vector<HostMove> blocked;
  Millis settle_time{0};           ///< expected time until all limits are met
  std::int64_t spares_before = 0;  ///< alive hosts of the spare pools
  std::int64_t spares_after = 0;
  /// Spare hosts that cover the worst failure or spike, as
  /// BufferPlan::spares_needed.
  std::int64_t needed_before = 0;
  std::int64_t needed_after = 0;
};

/// \brief Input of PlanSheet.
struct SheetInput {
  const FleetView& before;
  const FleetView& after;
  const std::set<HostName>& lost;
  std::map<TeamName, std::int64_t> running;  ///< tasks, by team
  /// Total of the fleet in the unit of TeamChange::slots_before: slots or
  /// hosts.
  std::int64_t slots = 0;
  Millis mean_run_time{0};
  BufferConfig buffer;
};

/// \brief Plans the transition between two sheets. No task is stopped: a team
/// above its new limit starts no task until enough of its tasks have ended.
[[nodiscard]] SheetPlan PlanSheet(const SheetInput& input);

/// \returns the plan for `boragectl sheet diff --json`.
/// \param unit what SheetInput::slots counts, such as "hosts".
[[nodiscard]] Json ToJson(const SheetPlan& plan, const std::string& unit);

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_SHEET_TRANSITION_H_
