#include <algorithm>
#include <limits>
#include <utility>

#include "jobs/job_ledger.h"

namespace boragewinch::jobs {

namespace {

/// \returns whether one of `others` started later than `incarnation`.
[[nodiscard]] bool HasLaterStart(const std::vector<WorkerIncarnation>& others,
                                 const WorkerIncarnation& incarnation) {
  return std::any_of(others.begin(), others.end(),
                     [&](const WorkerIncarnation& other) {
                       return other.start_time > incarnation.start_time;
                     });
}

}  // namespace

const WorkerSet& JobLedger::WorkersOf(const PoolName& pool) const {
  static const WorkerSet kNone;
  const auto found = pool_workers_.find(pool);
  return found == pool_workers_.end() ? kNone : found->second;
}

void JobLedger::ApplyWorker(const WorkerRecord& record, UnixMillis now) {
  if (const auto gone = departed_.find(record.incarnation.id);
      gone != departed_.end() &&
      record.incarnation.start_time <= gone->second.start_time) {
    return;
  }
  if (record.departed) {
    RemoveIncarnation(record.incarnation, now);
    return;
  }
  // A new incarnation with the same id, address or host replaces the earlier
  // one. It inherits the runs only with the same id: a start request names the
  // id, so one for the earlier incarnation may still reach the new one.
  const std::vector<WorkerIncarnation> replaced =
      ConflictingIncarnations(record);
  if (HasLaterStart(replaced, record.incarnation))
    return;
  const auto [it, added] = workers_.try_emplace(record.incarnation);
  Worker& worker = it->second;
  for (const WorkerIncarnation& incarnation : replaced) {
    if (incarnation.id == record.incarnation.id)
      InheritRuns(incarnation, record.incarnation, now);
    else
      RemoveIncarnation(incarnation, now);
  }
  if (added) {
    worker.join_number = ++joins_;
    if (HasPredecessor(record.incarnation))
      worker.succeeded = now;
  }
  // A worker cannot revoke a drain within one incarnation.
  const bool draining = worker.record.draining || record.draining;
  if (!added)
    UnindexWorker(worker);
  worker.record = record;
  worker.record.draining = draining;
  IndexWorker(worker);
  UpdateStopCandidate(worker);
  changed_workers_.push_back(record.incarnation);
}

std::vector<WorkerIncarnation> JobLedger::ReplacedBy(
    const WorkerRecord& record) const {
  std::vector<WorkerIncarnation> replaced = ConflictingIncarnations(record);
  if (HasLaterStart(replaced, record.incarnation))
    replaced.clear();
  return replaced;
}

void JobLedger::RecordDeparture(const WorkerIncarnation& incarnation,
                                UnixMillis now) {
  Departure& departure = departed_[incarnation.id];
  departures_.erase({departure.at, incarnation.id});
  departure.start_time = std::max(departure.start_time, incarnation.start_time);
  departure.at = now;
  departures_.emplace(now, incarnation.id);
}

void JobLedger::RemoveIncarnation(const WorkerIncarnation& incarnation,
                                  UnixMillis now) {
  RecordDeparture(incarnation, now);
  const auto found = workers_.find(incarnation);
  if (found == workers_.end())
    return;
  const std::set<RunName> runs = found->second.runs;
  for (const RunName& run : runs) {
    if (Job* job = MutableJob(run.task.job); job != nullptr) {
      RemoveRun(job, run, incarnation);
      Compact(job);
    }
  }
  UnindexWorker(found->second);
  stop_candidates_.erase(&found->second);
  workers_.erase(found);
  changed_workers_.push_back(incarnation);
}

void JobLedger::InheritRuns(const WorkerIncarnation& incarnation,
                            const WorkerIncarnation& later,
                            UnixMillis now) {
  const auto from = workers_.find(incarnation);
  Worker& to = workers_.at(later);
  for (const RunName& name : from->second.runs) {
    Job* job = MutableJob(name.task.job);
    if (job == nullptr)
      continue;
    Task& task = job->occurrences.at(name.task.occurrence)
                     .steps[name.task.step]
                     .tasks[name.task.index];
    for (Run& run : task.runs) {
      if (run.number == name.number && run.worker == incarnation) {
        run.worker = later;
        run.inherited = true;
      }
    }
    to.used += CapacityOf(job->spec->steps[name.task.step]);
    to.runs.insert(name);
    to.inherited.insert(name);
  }
  to.long_running_runs += std::exchange(from->second.long_running_runs, 0);
  to.obsolete_runs += std::exchange(from->second.obsolete_runs, 0);
  from->second.runs.clear();
  RemoveIncarnation(incarnation, now);
}

}  // namespace boragewinch::jobs
