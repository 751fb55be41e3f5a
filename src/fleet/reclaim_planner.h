#ifndef BORAGEWINCH_FLEET_RECLAIM_PLANNER_H_
#define BORAGEWINCH_FLEET_RECLAIM_PLANNER_H_

#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "fleet/command.h"
#include "fleet/ledger.h"
#include "fleet/report_book.h"

namespace boragewinch {

/// \brief Decides when the allotment of a lost run may be reclaimed
/// (docs/design.md 4.3, rules 1 and 2). One per control leader; it measures
/// silence only while it leads.
class ReclaimPlanner {
 public:
  /// \param now when the control host was elected leader.
  explicit ReclaimPlanner(TimePoint now) : leading_since_(now) {}

  /// \brief Takes note of a sync report.
  void Observe(EntryReport report, TimePoint now);

  /// \brief Call at least once a second; an old run's lease is counted from
  /// the first call that sees it reserved.
  /// \returns the reclaims that are due, with the transfers to the peers that
  /// have taken over running tasks.
  [[nodiscard]] std::vector<ReclaimEntry> Plan(const Ledger& ledger,
                                               TimePoint now);

  /// \brief For DeclareEntryLost and RetireEntry, which the leader completes.
  /// \returns the transfers to the peers that report running tasks of any run
  /// of `entry`, from fresh reports.
  [[nodiscard]] std::vector<AllotmentTransfer> TransfersOf(
      const Ledger& ledger,
      const EntryName& entry,
      TimePoint now) const;

 private:
  /// \returns fresh reports of all registered entry hosts of `zone` but
  /// `except`; nothing if one of them is silent. A silent one may have taken
  /// over tasks that nobody else knows.
  [[nodiscard]] std::optional<std::vector<const EntryReport*>> ZoneReports(
      const Ledger& ledger,
      const ZoneName& zone,
      const EntryName& except,
      TimePoint now) const;
  /// \returns whether every reserved run of `zone` has been so for one lease.
  [[nodiscard]] bool ZoneSettled(const Ledger& ledger,
                                 const ZoneName& zone,
                                 TimePoint now) const;
  [[nodiscard]] bool IsLost(const EntryRun& run,
                            const std::vector<const EntryReport*>& peers,
                            TimePoint now) const;

  TimePoint leading_since_;
  ReportBook reports_;
  std::map<EntryRun, TimePoint> reserved_since_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_RECLAIM_PLANNER_H_
