#include "control/entry_reports.h"

#include <algorithm>
#include <utility>

namespace boragewinch {

bool EntryReports::Record(SyncReport report, TimePoint now) {
  const auto [position, added] = held_.try_emplace(report.entry);
  HeldReport& held = position->second;
  const bool same_run = held.report.incarnation == report.incarnation;
  const bool known_base = same_run && report.workers_base != 0 &&
                          held.workers_sequence == report.workers_base;
  const bool complete = report.workers_base == 0 || known_base;
  if (added || report.zone != held.report.zone ||
      (complete && (report.workers_base == 0 || !report.workers.empty())))
    ++revision_;
  if (complete) {
    if (report.workers_base == 0)
      held.workers.clear();
    for (const WorkerStatus& worker : report.workers)
      held.workers[worker.host] = worker;
    held.workers_sequence = report.workers_sequence;
  }
  report.workers.clear();
  held.report = std::move(report);
  held.received = now;
  return complete;
}

void EntryReports::Clear() {
  held_.clear();
  ++revision_;
}

void EntryReports::Forget(const EntryName& entry) {
  held_.erase(entry);
  ++revision_;
}

std::optional<WorkerStatus> EntryReports::StatusOf(const HostName& host,
                                                   TimePoint now) const {
  std::optional<WorkerStatus> best;
  for (const auto& [entry, held] : held_) {
    const auto worker = held.workers.find(host);
    if (now - held.received > kReportLifetime || worker == held.workers.end())
      continue;
    const WorkerStatus& status = worker->second;
    if (!best) {
      best = status;
      continue;
    }
    // One entry host that hears the worker is enough.
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
  for (const auto& [entry, held] : held_) {
    if (now - held.received <= kReportLifetime)
      fresh.insert(entry);
  }
  return fresh;
}

bool EntryReports::ZoneIsFresh(const ZoneName& zone, TimePoint now) const {
  return std::any_of(held_.begin(), held_.end(), [&](const auto& item) {
    const HeldReport& held = item.second;
    return held.report.zone == zone && now - held.received <= kReportLifetime;
  });
}

TeamCounts EntryReports::Running() const {
  TeamCounts running;
  for (const auto& [entry, held] : held_) {
    for (const auto& [team, count] : held.report.running)
      running[team] += count;
  }
  return running;
}

}  // namespace boragewinch
