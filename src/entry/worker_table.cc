#include "entry/worker_table.h"

#include <algorithm>

#include "base/event_log.h"

namespace boragewinch {

namespace {

constexpr std::uint32_t kFailuresBeforeQuarantine = 3;
constexpr Millis kQuarantineTime{10'000};
// Workers without a report for this long are removed, unless they still hold
// tasks of this process.
constexpr Millis kForgetAfter{10L * 60 * 1000};

[[nodiscard]] std::int64_t FreeSlots(const WorkerEntry& worker) {
  std::set<TaskId> occupying;
  for (const TaskReport& task : worker.report.tasks) {
    if (task.state == TaskState::kRunning)
      occupying.insert(task.task);
  }
  for (const auto& [task, resources] : worker.own_tasks)
    occupying.insert(task);
  return worker.report.slots - static_cast<std::int64_t>(occupying.size());
}

}  // namespace

bool WorkerTable::Report(const WorkerReport& report, TimePoint now) {
  auto found = workers_.find(report.host);
  if (found == workers_.end()) {
    if (workers_.size() >= max_workers_) {
      LogEvent(EventId::kBoundReached, {{"table", "workers"}});
      return false;
    }
    found = workers_.try_emplace(report.host).first;
  }
  WorkerEntry& worker = found->second;
  const bool same = worker.report.incarnation == report.incarnation;
  if (same && report.sequence <= worker.report.sequence)
    return false;
  if (!same) {
    LogEvent(EventId::kWorkerJoined,
             {{"host", report.host.str()},
              {"incarnation", report.incarnation.str()}});
    std::erase_if(leaving_, [&](const LeavingWorker& mark) {
      return mark.host == report.host &&
             mark.incarnation == worker.report.incarnation;
    });
  }
  if (worker.report.host.empty())
    by_pool_[report.acknowledged_pool].insert(report.host);
  else
    MoveToPool(report.host, worker.report.acknowledged_pool,
               report.acknowledged_pool);
  worker.report = report;
  worker.last_report_at = now;
  worker.lost = false;
  worker.start_blocked_until = TimePoint();
  if (report.leaving)
    MarkLeaving({report.host, report.incarnation});
  return true;
}

void WorkerTable::Tick(TimePoint now) {
  for (auto& [host, worker] : workers_) {
    if (!worker.lost && now - worker.last_report_at >= kWorkerLostAfter) {
      worker.lost = true;
      LogEvent(EventId::kWorkerLost, {{"host", host.str()}});
    }
  }
  std::erase_if(workers_, [&](const auto& entry) {
    const bool forget = entry.second.own_tasks.empty() &&
                        now - entry.second.last_report_at >= kForgetAfter;
    if (forget)
      by_pool_[entry.second.report.acknowledged_pool].erase(entry.first);
    return forget;
  });
}

void WorkerTable::MoveToPool(const HostName& host,
                             const PoolName& from,
                             const PoolName& to) {
  if (from == to)
    return;
  by_pool_[from].erase(host);
  by_pool_[to].insert(host);
}

bool WorkerTable::MarkLeaving(const LeavingWorker& worker) {
  // Marks of unknown incarnations are kept too, since gossip may arrive before
  // the report. Their number has the same bound as the workers.
  if (leaving_.size() >= max_workers_ && !leaving_.contains(worker))
    leaving_.erase(leaving_.begin());
  const bool added = leaving_.insert(worker).second;
  if (added)
    LogEvent(EventId::kWorkerLeaving, {{"host", worker.host.str()}});
  return added;
}

void WorkerTable::StartFailed(const HostName& host,
                              const FleetView& view,
                              TimePoint now) {
  WorkerEntry* worker = Find(host);
  if (worker == nullptr)
    return;
  if (++worker->start_failures < kFailuresBeforeQuarantine)
    return;
  // A worker is quarantined only if its pool keeps its availability budget.
  const PoolName& pool_name = worker->report.acknowledged_pool;
  const auto pool = view.pools.find(pool_name);
  const auto others =
      std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) {
        return entry.first != host &&
               Usable(entry.second, pool_name, view, now);
      });
  if (pool == view.pools.end() || others < pool->second.min_available ||
      others == 0) {
    return;
  }
  worker->quarantined_until = now + kQuarantineTime;
  LogEvent(EventId::kWorkerHealthChanged, {{"host", host.str()}});
}

void WorkerTable::StartSucceeded(const HostName& host) {
  if (WorkerEntry* worker = Find(host); worker != nullptr)
    worker->start_failures = 0;
}

WorkerEntry* WorkerTable::Find(const HostName& host) {
  const auto found = workers_.find(host);
  return found == workers_.end() ? nullptr : &found->second;
}

const WorkerEntry* WorkerTable::Find(const HostName& host) const {
  const auto found = workers_.find(host);
  return found == workers_.end() ? nullptr : &found->second;
}

bool WorkerTable::leaving(const WorkerEntry& worker) const {
  return worker.report.leaving ||
         leaving_.contains({worker.report.host, worker.report.incarnation});
}

bool WorkerTable::Usable(const WorkerEntry& worker,
                         const PoolName& pool,
                         const FleetView& view,
                         TimePoint now) const {
  const auto host = view.hosts.find(worker.report.host);
  return host != view.hosts.end() && host->second.pool == pool &&
         host->second.state == HostState::kActive && !worker.lost &&
         now - worker.last_report_at < kWorkerLostAfter && !leaving(worker) &&
         !worker.report.acknowledged_drain &&
         worker.report.acknowledged_pool == pool &&
         worker.report.acknowledged_assignment == host->second.assignment &&
         now >= worker.quarantined_until;
}

std::vector<WorkerCandidate> WorkerTable::Candidates(const PoolName& pool,
                                                     const FleetView& view,
                                                     TimePoint now) const {
  std::vector<WorkerCandidate> candidates;
  const auto members = by_pool_.find(pool);
  if (members == by_pool_.end())
    return candidates;
  for (const HostName& host : members->second) {
    const WorkerEntry& worker = workers_.at(host);
    if (now < worker.start_blocked_until || !Usable(worker, pool, view, now))
      continue;
    const std::int64_t free_slots = FreeSlots(worker);
    if (free_slots <= 0)
      continue;
    WorkerCandidate candidate{host, worker.report.rack, worker.report.total};
    for (const auto& [task, resources] : worker.own_tasks)
      candidate.declared_in_use += resources;
    // Ended tasks use no resources. A worker lists them until their results are
    // acknowledged, which can take until a lost backup is replaced.
    for (const TaskReport& task : worker.report.tasks) {
      if (task.state == TaskState::kRunning)
        candidate.usage += task.usage;
    }
    candidate.slots = worker.report.slots;
    candidate.free_slots = free_slots;
    candidate.start_failures = worker.start_failures;
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

bool WorkerTable::CouldFit(const PoolName& pool,
                           const FleetView& view,
                           const Resources& need) const {
  bool any = false;
  for (const auto& [host, worker] : workers_) {
    const auto known = view.hosts.find(host);
    if (known == view.hosts.end() || known->second.pool != pool)
      continue;
    any = true;
    if (need.FitsInto(worker.report.total))
      return true;
  }
  return !any;
}

}  // namespace boragewinch
