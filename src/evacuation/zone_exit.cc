#include "evacuation/zone_exit.h"

#include <tuple>
#include <utility>
#include <vector>

namespace boragewinch::evacuation {

namespace {

/// Free capacity outside the evacuated zones, reduced by what tasks are to get.
class FreeCapacity {
 public:
  FreeCapacity(const jobs::JobLedger& ledger, const WorkerPredicate& usable)
      : ledger_(ledger), usable_(usable) {}

  /// \brief Reserves capacity for one task of the step of `name`.
  /// \returns whether a worker of the pool had it.
  [[nodiscard]] bool TryReserve(const PoolName& pool,
                                const jobs::Job& job,
                                const jobs::TaskName& name) {
    const jobs::StepSpec& spec = job.spec->steps[name.step];
    const Resources required = jobs::JobLedger::CapacityOf(spec);
    std::map<jobs::WorkerIncarnation, std::int64_t>& members =
        MembersOf(job, name);
    FreeWorker* best = nullptr;
    for (FreeWorker& candidate : WorkersOf(pool)) {
      const jobs::WorkerRecord& record = candidate.worker->record;
      if (!required.FitsInto(candidate.free) ||
          !record.HasLabel(spec.required_label)) {
        continue;
      }
      const auto count = members.find(record.incarnation);
      if (spec.max_per_worker > 0 && count != members.end() &&
          count->second >= spec.max_per_worker) {
        continue;
      }
      // The planner fills workers one after another as well.
      if (best == nullptr || candidate.free.cpu_millis < best->free.cpu_millis)
        best = &candidate;
    }
    if (best == nullptr)
      return false;
    best->free -= required;
    ++members[best->worker->record.incarnation];
    return true;
  }

 private:
  struct FreeWorker {
    const jobs::Worker* worker = nullptr;
    Resources free;
  };
  using StepKey = std::tuple<jobs::JobId, std::uint32_t, std::uint32_t>;

  [[nodiscard]] std::vector<FreeWorker>& WorkersOf(const PoolName& pool) {
    const auto [it, added] = pools_.try_emplace(pool);
    if (!added)
      return it->second;
    for (const jobs::Worker* worker : ledger_.WorkersOf(pool)) {
      const jobs::WorkerRecord& record = worker->record;
      if (record.draining || ledger_.IsEvacuated(record.zone) ||
          !usable_(record.incarnation)) {
        continue;
      }
      Resources free = record.capacity;
      free -= worker->used;
      it->second.push_back({worker, free});
    }
    return it->second;
  }

  /// \returns the number of tasks of the step on each worker.
  [[nodiscard]] std::map<jobs::WorkerIncarnation, std::int64_t>& MembersOf(
      const jobs::Job& job,
      const jobs::TaskName& name) {
    const auto [it, added] =
        members_.try_emplace(StepKey(name.job, name.occurrence, name.step));
    if (added) {
      const jobs::Occurrence& occurrence = job.occurrences.at(name.occurrence);
      for (const jobs::Task& task : occurrence.steps[name.step].tasks) {
        for (const jobs::Run& run : task.runs)
          ++it->second[run.worker];
      }
    }
    return it->second;
  }

  const jobs::JobLedger& ledger_;
  const WorkerPredicate& usable_;
  std::map<PoolName, std::vector<FreeWorker>> pools_;
  std::map<StepKey, std::map<jobs::WorkerIncarnation, std::int64_t>> members_;
};

void ReserveForWaitingTasks(const jobs::JobLedger& ledger,
                            FreeCapacity* capacity) {
  for (const jobs::Job* job : ledger.startable()) {
    const jobs::QueueConfig* queue = ledger.QueueOf(*job);
    if (queue == nullptr)
      continue;
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        if (!job->spec->steps[s].long_running || !job->StepReady(occurrence, s))
          continue;
        for (std::int64_t i = occurrence.steps[s].waiting(); i > 0; --i) {
          if (!capacity->TryReserve(queue->pool, *job,
                                    {job->id, number, s, 0})) {
            break;
          }
        }
      }
    }
  }
}

}  // namespace

ZoneExits LongRunningInEvacuatedZones(const jobs::JobLedger& ledger) {
  ZoneExits runs;
  if (ledger.zones().empty())
    return runs;
  for (const auto& [incarnation, worker] : ledger.workers()) {
    if (worker.long_running_runs == 0 ||
        !ledger.IsEvacuated(worker.record.zone)) {
      continue;
    }
    for (const jobs::RunName& run : worker.runs) {
      const jobs::Job* job = ledger.FindJob(run.task.job);
      if (job != nullptr && !job->final() && job->spec &&
          job->spec->steps[run.task.step].long_running) {
        runs[incarnation].insert(run);
      }
    }
  }
  return runs;
}

ZoneExits PlanZoneExits(const jobs::JobLedger& ledger,
                        const WorkerPredicate& usable,
                        const RunPredicate& is_stopping) {
  ZoneExits exits;
  const ZoneExits runs = LongRunningInEvacuatedZones(ledger);
  if (runs.empty())
    return exits;
  FreeCapacity capacity(ledger, usable);
  ReserveForWaitingTasks(ledger, &capacity);
  for (const bool stopping : {true, false}) {
    for (const auto& [incarnation, names] : runs) {
      for (const jobs::RunName& run : names) {
        const jobs::Job& job = *ledger.FindJob(run.task.job);
        const jobs::QueueConfig* queue = ledger.QueueOf(job);
        if (queue != nullptr && is_stopping(run, incarnation) == stopping &&
            capacity.TryReserve(queue->pool, job, run.task)) {
          exits[incarnation].insert(run);
        }
      }
    }
  }
  return exits;
}

}  // namespace boragewinch::evacuation
