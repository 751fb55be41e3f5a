#include "scheduler/settling_monitor.h"

#include <algorithm>

namespace boragewinch::scheduler {

std::vector<OverdueRun> SettlingMonitor::Observe(
    const jobs::WorkerIncarnation& worker,
    const WorkerSession& session,
    TimePoint now) {
  std::vector<OverdueRun> overdue;
  auto& runs = workers_[worker];
  std::erase_if(runs, [&](const auto& item) {
    const auto track = session.tracks().find(item.first);
    return track == session.tracks().end() ||
           !WorkerSession::IsUnsettled(track->second);
  });
  for (const auto& [run, track] : session.tracks()) {
    if (!WorkerSession::IsUnsettled(track))
      continue;
    Unsettled& state = runs.try_emplace(run, Unsettled{now, {}}).first->second;
    const Millis age = now - state.since;
    if (age <= bound_ ||
        (state.reported && now - *state.reported < kReportInterval)) {
      continue;
    }
    overdue.push_back({run, age, track.phase, session.GapOf(run, track, now),
                       !state.reported});
    state.reported = now;
  }
  if (runs.empty())
    workers_.erase(worker);
  return overdue;
}

std::size_t SettlingMonitor::unsettled_runs() const {
  std::size_t count = 0;
  for (const auto& [worker, runs] : workers_)
    count += runs.size();
  return count;
}

Millis SettlingMonitor::OldestAge(TimePoint now) const {
  Millis oldest{0};
  for (const auto& [worker, runs] : workers_) {
    for (const auto& [run, state] : runs)
      oldest = std::max(oldest, now - state.since);
  }
  return oldest;
}

}  // namespace boragewinch::scheduler
