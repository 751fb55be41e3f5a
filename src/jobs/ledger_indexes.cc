// The part of JobLedger that maintains the indexes for scheduling decisions.

#include <algorithm>
#include <limits>

#include "jobs/job_ledger.h"

namespace boragewinch::jobs {

void JobLedger::IndexWorker(const Worker& worker) {
  const WorkerRecord& record = worker.record;
  pool_workers_[record.pool].insert(&worker);
  incarnations_by_address_.emplace(record.address, record.incarnation);
  if (!record.host.empty())
    incarnations_by_host_.emplace(record.host, record.incarnation);
}

void JobLedger::UnindexWorker(const Worker& worker) {
  const WorkerRecord& record = worker.record;
  const auto erase = [&](auto* index, const auto& key) {
    const auto [begin, end] = index->equal_range(key);
    const auto it = std::find_if(begin, end, [&](const auto& item) {
      return item.second == record.incarnation;
    });
    if (it != end)
      index->erase(it);
  };
  erase(&incarnations_by_address_, record.address);
  erase(&incarnations_by_host_, record.host);
  const auto pool = pool_workers_.find(record.pool);
  if (pool == pool_workers_.end())
    return;
  pool->second.erase(&worker);
  if (pool->second.empty())
    pool_workers_.erase(pool);
}

std::vector<WorkerIncarnation> JobLedger::ConflictingIncarnations(
    const WorkerRecord& record) const {
  std::vector<WorkerIncarnation> incarnations;
  const auto add = [&](const WorkerIncarnation& incarnation) {
    if (incarnation != record.incarnation)
      incarnations.push_back(incarnation);
  };
  for (auto it = workers_.lower_bound(WorkerIncarnation{
           record.incarnation.id, std::numeric_limits<UnixMillis>::min()});
       it != workers_.end() && it->first.id == record.incarnation.id; ++it) {
    add(it->first);
  }
  const auto [address, address_end] =
      incarnations_by_address_.equal_range(record.address);
  for (auto it = address; it != address_end; ++it)
    add(it->second);
  const auto [host, host_end] = incarnations_by_host_.equal_range(record.host);
  for (auto it = host; it != host_end; ++it)
    add(it->second);
  std::sort(incarnations.begin(), incarnations.end());
  incarnations.erase(std::unique(incarnations.begin(), incarnations.end()),
                     incarnations.end());
  return incarnations;
}

void JobLedger::UpdateStopCandidate(const Worker& worker) {
  if (worker.record.draining || worker.obsolete_runs > 0)
    stop_candidates_.insert(&worker);
  else
    stop_candidates_.erase(&worker);
}

void JobLedger::IndexJob(Job* job) {
  const auto has_waiting = [&](const Occurrence& occurrence) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      if (occurrence.steps[s].waiting() > 0 && job->StepReady(occurrence, s))
        return true;
    }
    return false;
  };
  const bool startable =
      !job->final() &&
      std::any_of(job->occurrences.begin(), job->occurrences.end(),
                  [&](const auto& item) { return has_waiting(item.second); });
  if (startable != job->startable) {
    job->startable = startable;
    if (startable)
      startable_.insert(job);
    else
      startable_.erase(job);
  }
  const auto has_speculating = [&](const Occurrence& occurrence) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      if (occurrence.steps[s].placed > 0 && MayBeCopied(job->spec->steps[s]))
        return true;
    }
    return false;
  };
  const bool speculating =
      !job->final() &&
      std::any_of(
          job->occurrences.begin(), job->occurrences.end(),
          [&](const auto& item) { return has_speculating(item.second); });
  if (speculating != job->speculating) {
    job->speculating = speculating;
    if (speculating)
      speculating_.insert(job);
    else
      speculating_.erase(job);
  }
  const bool repeats = !job->final() && job->spec->repeats > 0 &&
                       job->next_occurrence < job->spec->occurrences();
  if (repeats)
    repeating_.insert(job);
  else if (!repeating_.empty())
    repeating_.erase(job);
}

void JobLedger::IndexCopies(const TaskName& name, const Task& task) {
  if (SurplusRunsOf(task) > 0)
    copied_tasks_.insert(name);
  else if (!copied_tasks_.empty())
    copied_tasks_.erase(name);
}

void JobLedger::AddObsoleteRuns(const WorkerIncarnation& incarnation,
                                std::int64_t change) {
  const auto worker = workers_.find(incarnation);
  if (worker == workers_.end())
    return;
  worker->second.obsolete_runs += change;
  UpdateStopCandidate(worker->second);
}

void JobLedger::CountObsoleteRuns(const Job& job) {
  if (job.runs == 0)
    return;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const Step& step : occurrence.steps) {
      for (const Task& task : step.tasks) {
        for (const Run& run : task.runs) {
          if (!task.done)
            AddObsoleteRuns(run.worker, 1);
        }
      }
    }
  }
}

}  // namespace boragewinch::jobs
