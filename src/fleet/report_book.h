#ifndef BORAGEWINCH_FLEET_REPORT_BOOK_H_
#define BORAGEWINCH_FLEET_REPORT_BOOK_H_

#include <map>
#include <optional>

#include "base/time.h"
#include "fleet/entry_report.h"
#include "fleet/ledger.h"

namespace boragewinch {

/// \brief The latest report of each registered run and when it arrived.
class ReportBook {
 public:
  void Observe(EntryReport report, TimePoint now);

  /// \brief Forgets reports of runs that are no longer registered.
  void Prune(const Ledger& ledger);

  void Clear() { reports_.clear(); }

  /// \returns the report of `run` if it is at most kReportFresh old, or null.
  [[nodiscard]] const EntryReport* Fresh(const EntryRun& run,
                                         TimePoint now) const;
  /// \returns when `run` was last heard, or nothing.
  [[nodiscard]] std::optional<TimePoint> HeardAt(const EntryRun& run) const;

 private:
  struct Heard {
    EntryReport report;
    TimePoint at;
  };
  std::map<EntryRun, Heard> reports_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_REPORT_BOOK_H_
