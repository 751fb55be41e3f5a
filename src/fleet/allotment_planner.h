#ifndef BORAGEWINCH_FLEET_ALLOTMENT_PLANNER_H_
#define BORAGEWINCH_FLEET_ALLOTMENT_PLANNER_H_

#include <map>

#include "base/time.h"
#include "fleet/command.h"
#include "fleet/ledger.h"
#include "fleet/report_book.h"
#include "model/fleet_types.h"

namespace boragewinch {

/// \brief What the control leader does about the allotments.
struct AllotmentPlan {
  ChangeAllotments command;  ///< submit if it has changes
  /// What each entry host shall shrink to, by team: it offers what it has above
  /// max(running, cap) as `returned`. Teams without a cap keep what they have.
  std::map<EntryName, TeamCounts> caps;
};

/// \brief Moves unused units of the team limits to the entry hosts that want
/// them. Grants wanted units first, the smallest holders first; what is left
/// raises each entry host to a floor of limit / entry hosts / 2, so that a
/// partitioned zone can go on.
class AllotmentPlanner {
 public:
  /// \brief Takes note of a sync report.
  void Observe(EntryReport report, TimePoint now);

  /// \brief Decides from fresh reports that are based on the present allotment
  /// version; other entry hosts keep what they have.
  /// \returns decreases only of what an entry host has offered; increases
  /// within the limits.
  [[nodiscard]] AllotmentPlan Plan(const std::map<TeamName, Team>& teams,
                                   const Ledger& ledger,
                                   TimePoint now);

 private:
  ReportBook reports_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_ALLOTMENT_PLANNER_H_
