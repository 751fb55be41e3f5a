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

/// An entry host's report is used for decisions about hosts for this long.
inline constexpr Millis kReportLifetime{3'000};

/// \brief The newest report of one entry host.
struct HeldReport {
  SyncReport report;  ///< without workers
  TimePoint received;
  std::map<HostName, WorkerStatus> workers;
  std::uint64_t workers_sequence = 0;
};

/// \brief What the control leader has heard from entry hosts. It is not
/// replicated: a new leader hears all of them again within a sync interval.
class EntryReports {
 public:
  /// \returns whether the worker list is complete; if not, the sender has to
  /// send all workers.
  [[nodiscard]] bool Record(SyncReport report, TimePoint now);
  /// \brief Forgets everything, at each change of leadership.
  void Clear();
  /// \brief Drops the report of an entry host that is no longer registered.
  void Forget(const EntryName& entry);

  [[nodiscard]] const std::map<EntryName, HeldReport>& held() const noexcept {
    return held_;
  }

  /// \returns the best known state of a worker: that of the newest incarnation
  /// reported by an entry host whose report is fresh; `lost` only if every
  /// fresh reporter of its zone says so. Nothing if nobody reports it.
  [[nodiscard]] std::optional<WorkerStatus> StatusOf(const HostName& host,
                                                     TimePoint now) const;

  /// \brief Hosts that don't count towards an availability budget: reported
  /// lost or leaving, not reported at all, or in a zone that nobody reports
  /// on. Not knowing counts as not available, so no drain is granted on a
  /// guess.
  [[nodiscard]] std::set<HostName> Unavailable(const FleetView& view,
                                               TimePoint now) const;

  /// \returns a number that changes with what is known of any worker, apart
  /// from the age of the reports.
  [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
  /// \returns the entry hosts whose reports are fresh.
  [[nodiscard]] std::set<EntryName> Fresh(TimePoint now) const;

  /// \returns whether an entry host of `zone` has a fresh report.
  [[nodiscard]] bool ZoneIsFresh(const ZoneName& zone, TimePoint now) const;

  /// \returns tasks by team that may run, as reported.
  [[nodiscard]] TeamCounts Running() const;

 private:
  std::map<EntryName, HeldReport> held_;
  std::uint64_t revision_ = 0;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_CONTROL_ENTRY_REPORTS_H_
