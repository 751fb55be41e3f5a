#ifndef BORAGEWINCH_FLEET_REPORT_CACHE_H_
#define BORAGEWINCH_FLEET_REPORT_CACHE_H_

#include <map>
#include <optional>

#include "base/time.h"
#include "fleet/entry_report.h"
#include "fleet/ledger.h"

namespace boragewinch {

/// \brief The latest report of each registered run, with its arrival time.
class ReportCache {
 public:
  void Observe(EntryReport report, TimePoint now);

  /// \brief Drops reports of runs that are no longer registered.
  void Prune(const Ledger& ledger);

  void Clear() { reports_.clear(); }

  /// \returns the report of `run` if it is at most kMaxReportAge old, or null.
  [[nodiscard]] const EntryReport* Fresh(const EntryRun& run,
                                         TimePoint now) const;
  /// \returns the arrival time of the latest report of `run`, or nothing.
  [[nodiscard]] std::optional<TimePoint> ReceivedAt(const EntryRun& run) const;

 private:
  struct ReceivedReport {
    EntryReport report;
    TimePoint at;
  };
  std::map<EntryRun, ReceivedReport> reports_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_REPORT_CACHE_H_
