#include "control/entry_reports.h"

#include <algorithm>
#include <utility>

namespace boragewinch {

bool EntryReports::Record(SyncReport report, TimePoint now) {
  const auto [position, added] = latest_.try_emplace(report.entry);
  LatestReport& latest = position->second;
  const bool same_run = latest.report.incarnation == report.incarnation;
  const bool known_base = same_run && report.workers_base != 0 &&
                          latest.workers_sequence == report.workers_base;
  const bool complete = report.workers_base == 0 || known_base;
  if (added || report.zone != latest.report.zone ||
      (complete && (report.workers_base == 0 || !report.workers.empty())))
    ++revision_;
  if (complete) {
    if (report.workers_base == 0)
      latest.workers.clear();
    for (const WorkerStatus& worker : report.workers)
      latest.workers[worker.host] = worker;
    latest.workers_sequence = report.workers_sequence;
  }
  report.workers.clear();
  latest.report = std::move(report);
  latest.received = now;
  return complete;
}

void EntryReports::Clear() {
  latest_.clear();
  ++revision_;
}

void EntryReports::Forget(const EntryName& entry) {
  latest_.erase(entry);
  ++revision_;
}

std::optional<WorkerStatus> EntryReports::StatusOf(const HostName& host,
                                                   TimePoint now) const {
  std::optional<WorkerStatus> best;
  for (const auto& [entry, latest] : latest_) {
    const auto worker = latest.workers.find(host);
    if (now - latest.received > kReportLifetime ||
        worker == latest.workers.end())
      continue;
    const WorkerStatus& status = worker->second;
    if (!best) {
      best = status;
      continue;
    }
    // A worker is alive if any entry host receives its heartbeats.
    const bool replaces =
        (best->lost && !status.lost) ||
        (best->lost == status.lost &&
         status.acknowledged_assignment > best->acknowledged_assignment);
    const bool leaving = (best->leaving || status.leaving) &&
                         best->incarnation == status.incarnation;
    if (replaces)
      best = status;
    best->leaving = best->leaving || leaving;
  }
  return best;
}

std::set<HostName> EntryReports::Unavailable(const FleetView& view,
                                             TimePoint now) const {
  std::set<HostName> lost;
  for (const auto& [name, host] : view.hosts) {
    const auto status = StatusOf(name, now);
    if (!status || status->lost || status->leaving)
      lost.insert(name);
  }
  return lost;
}

std::set<EntryName> EntryReports::Fresh(TimePoint now) const {
  std::set<EntryName> fresh;
  for (const auto& [entry, latest] : latest_) {
    if (now - latest.received <= kReportLifetime)
      fresh.insert(entry);
  }
  return fresh;
}

bool EntryReports::ZoneIsFresh(const ZoneName& zone, TimePoint now) const {
  return std::any_of(latest_.begin(), latest_.end(), [&](const auto& item) {
    const LatestReport& latest = item.second;
    return latest.report.zone == zone &&
           now - latest.received <= kReportLifetime;
  });
}

TeamCounts EntryReports::Running() const {
  TeamCounts running;
  for (const auto& [entry, latest] : latest_) {
    for (const auto& [team, count] : latest.report.running)
      running[team] += count;
  }
  return running;
}

}  // namespace boragewinch
