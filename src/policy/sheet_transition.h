#ifndef BORAGEWINCH_POLICY_SHEET_TRANSITION_H_
#define BORAGEWINCH_POLICY_SHEET_TRANSITION_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/time.h"
#include "model/fleet_view.h"
#include "policy/buffer_planner.h"

namespace boragewinch {

/// \brief What a sheet changes for a team.
struct TeamChange {
  TeamName team;
  double slots_before = 0;  ///< entitled when the fleet is full
  double slots_after = 0;
  std::int64_t limit_before = 0;
  std::int64_t limit_after = 0;
  std::int64_t running = 0;
  std::int64_t to_end = 0;   ///< tasks that must end before the limit holds
  double buffer_before = 0;  ///< its part of the spare hosts
  double buffer_after = 0;
};

/// \brief A move of a host with the step in which it can be made.
struct SheetMove {
  HostMove move;
  std::int64_t step = 0;  ///< moves of one step may run together
};

struct SheetPlan {
  std::vector<TeamChange> teams;  ///< by name
  std::vector<SheetMove> moves;   ///< by step; each host at most once
  /// Moves that no order of steps makes possible within the budgets.
  std::vector<HostMove> blocked;
  Millis settle{0};  ///< expected time until all limits hold
};

/// \brief State and load that PlanSheet starts from.
struct SheetInput {
  const FleetView& before;
  const FleetView& after;
  const std::set<HostName>& lost;
  std::map<TeamName, std::int64_t> running;  ///< tasks, by team
  std::int64_t slots = 0;                    ///< of the fleet
  Millis mean_run_time{0};
  BufferConfig buffer;
};

/// \brief Plans the way from one sheet to the next. No task is stopped: a team
/// over its new limit starts nothing until enough of its tasks have ended.
[[nodiscard]] SheetPlan PlanSheet(const SheetInput& input);

/// \brief Shares on the way from one sheet to the next.
/// \returns shares in millionths of the whole, linear in `elapsed` /
/// `duration`.
[[nodiscard]] std::map<TeamName, std::int64_t> BlendShares(
    const FleetView& before,
    const FleetView& after,
    Millis elapsed,
    Millis duration);

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_SHEET_TRANSITION_H_
