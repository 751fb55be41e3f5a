#ifndef BORAGEWINCH_FLEET_RECLAIM_PLANNER_H_
#define BORAGEWINCH_FLEET_RECLAIM_PLANNER_H_

#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "fleet/command.h"
#include "fleet/ledger.h"
#include "fleet/report_cache.h"

namespace boragewinch {

/// \brief Decides when the allotment of a lost run may be reclaimed
/// (docs/design.md 4.3, rules 1 and 2). Created anew at each election: time
/// without reports before it doesn't count.
class ReclaimPlanner {
 public:
  /// \param now time at which the control host was elected leader.
  explicit ReclaimPlanner(TimePoint now) : leading_since_(now) {}

  /// \brief Records a sync report.
  void Observe(EntryReport report, TimePoint now);

  /// \brief Call at least once a second: the lease of a replaced run counts
  /// from the first call that finds it reserved.
  /// \returns the due reclaims, with transfers to the peers that have taken
  /// over running tasks.
  [[nodiscard]] std::vector<ReclaimEntry> Plan(const Ledger& ledger,
                                               TimePoint now);

  /// \brief For DeclareEntryLost and RetireEntry, whose transfers the leader
  /// fills in.
  /// \returns the transfers to the peers that, by fresh reports, have taken
  /// over running tasks of any run of `entry`.
  [[nodiscard]] std::vector<AllotmentTransfer> TransfersOf(
      const Ledger& ledger,
      const EntryName& entry,
      TimePoint now) const;

 private:
  /// \returns fresh reports of all registered entry hosts of `zone` but
  /// `except`; nothing if one is missing, since that entry host may have taken
  /// over tasks that no other reports.
  [[nodiscard]] std::optional<std::vector<const EntryReport*>> ZoneReports(
      const Ledger& ledger,
      const ZoneName& zone,
      const EntryName& except,
      TimePoint now) const;
  /// \returns whether the task leases of all reserved runs of `zone` have
  /// expired.
  [[nodiscard]] bool ZoneLeasesExpired(const Ledger& ledger,
                                       const ZoneName& zone,
                                       TimePoint now) const;
  /// \returns whether rule 2 holds for `run`: neither the leader nor any of
  /// `peers` has received a message for the isolation bound and a task lease,
  /// and each of `peers` has fenced it. Never without peers.
  [[nodiscard]] bool IsLost(const EntryRun& run,
                            const std::vector<const EntryReport*>& peers,
                            TimePoint now) const;

  TimePoint leading_since_;
  ReportCache reports_;
  std::map<EntryRun, TimePoint> reserved_since_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_RECLAIM_PLANNER_H_
