#ifndef BORAGEWINCH_FLEET_ALLOTMENT_PLANNER_H_
#define BORAGEWINCH_FLEET_ALLOTMENT_PLANNER_H_

#include <map>

#include "base/time.h"
#include "fleet/command.h"
#include "fleet/ledger.h"
#include "fleet/report_cache.h"
#include "model/fleet_types.h"

namespace boragewinch {

/// \brief Decisions of the control leader about the allotments.
struct AllotmentPlan {
  ChangeAllotments command;  ///< to be submitted if it has changes
  /// Size to which each entry host shall shrink its allotment, by team: it
  /// offers the units above max(running, cap) as `returned`. No cap, no change.
  std::map<EntryName, TeamCounts> caps;
};

/// \brief Distributes unused units of the team limits to the entry hosts by
/// max-min fairness: first up to their demand, then up to a floor of limit /
/// entry hosts / 2, so that a partitioned zone can still start tasks.
class AllotmentPlanner {
 public:
  /// \brief Records a sync report.
  void Observe(EntryReport report, TimePoint now);

  /// \brief Decides from fresh reports that are based on the current allotment
  /// version; the allotments of other entry hosts don't change.
  /// \returns decreases of at most the units that an entry host has offered,
  /// and increases within the limits.
  [[nodiscard]] AllotmentPlan Plan(const std::map<TeamName, Team>& teams,
                                   const Ledger& ledger,
                                   TimePoint now);

 private:
  ReportCache reports_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_ALLOTMENT_PLANNER_H_
