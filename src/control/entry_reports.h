#ifndef BORAGEWINCH_CONTROL_ENTRY_REPORTS_H_
#define BORAGEWINCH_CONTROL_ENTRY_REPORTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/time.h"
#include "fleet/sync_message.h"
#include "model/fleet_view.h"

namespace boragewinch {

/// Maximum age of a report that decisions about hosts may use.
inline constexpr Millis kReportLifetime{3'000};

/// \brief The latest report of one entry host.
struct LatestReport {
  SyncReport report;  ///< its list of workers is empty, see `workers`
  TimePoint received;
  /// All workers, from the last full list and the changes since.
  std::map<HostName, WorkerStatus> workers;
  std::uint64_t workers_sequence = 0;
};

/// \brief Latest sync reports of the entry hosts, kept by the control leader.
/// Not replicated: a new leader receives all of them within one sync interval.
class EntryReports {
 public:
  /// \returns whether the worker list is complete; if not, the sender has to
  /// resend all workers.
  [[nodiscard]] bool Record(SyncReport report, TimePoint now);
  /// \brief Drops all reports; called at each change of leadership.
  void Clear();
  /// \brief Drops the report of an entry host that is no longer registered.
  void Forget(const EntryName& entry);

  [[nodiscard]] const std::map<EntryName, LatestReport>& latest()
      const noexcept {
    return latest_;
  }

  /// \returns the status of a worker merged from all fresh reports: one that
  /// receives its heartbeats takes precedence over one that calls it lost, then
  /// the one with the highest acknowledged assignment. It is leaving if any
  /// report on the same incarnation says so. Nothing if no fresh report has it.
  [[nodiscard]] std::optional<WorkerStatus> StatusOf(const HostName& host,
                                                     TimePoint now) const;

  /// \returns the hosts that don't count towards an availability budget:
  /// reported lost or leaving, or in no fresh report. An unknown state counts
  /// as unavailable, so that no drain is granted on stale data.
  [[nodiscard]] std::set<HostName> Unavailable(const FleetView& view,
                                               TimePoint now) const;

  /// \returns a counter that grows when the reported state of any worker may
  /// have changed. It doesn't grow when a report expires; see Fresh.
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  /// \returns the entry hosts whose reports are fresh.
  [[nodiscard]] std::set<EntryName> Fresh(TimePoint now) const;

  /// \returns whether an entry host of `zone` has a fresh report.
  [[nodiscard]] bool ZoneIsFresh(const ZoneName& zone, TimePoint now) const;

  /// \returns the reported running tasks by team, stale reports included.
  [[nodiscard]] TeamCounts Running() const;

 private:
  std::map<EntryName, LatestReport> latest_;
  std::uint64_t revision_ = 0;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_CONTROL_ENTRY_REPORTS_H_
