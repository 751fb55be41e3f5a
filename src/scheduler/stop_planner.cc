#include "scheduler/stop_planner.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace boragewinch::scheduler {

namespace {

constexpr int kReadyPercent = 100;

/// \returns whether the task has a run that serves users and is to go on.
[[nodiscard]] bool IsAvailable(const jobs::JobLedger& ledger,
                               const jobs::TaskName& name,
                               const jobs::Task& task,
                               const PercentOf& percent_of) {
  return std::any_of(
      task.runs.begin(), task.runs.end(), [&](const jobs::Run& run) {
        // The long-running tasks of a draining worker are about to be stopped.
        const jobs::Worker* worker = ledger.FindWorker(run.worker);
        return worker != nullptr && !worker->record.draining &&
               percent_of({name, run.number}, run.worker) >= kReadyPercent;
      });
}

/// \returns how many tasks of the step of `name` are unavailable.
/// \param except the index of a task that is left out.
[[nodiscard]] std::int64_t CountUnavailable(
    const jobs::JobLedger& ledger,
    const jobs::TaskName& name,
    const PercentOf& percent_of,
    std::optional<std::uint32_t> except = std::nullopt) {
  const jobs::Job* job = ledger.FindJob(name.job);
  const auto& step = job->occurrences.at(name.occurrence).steps[name.step];
  std::int64_t unavailable = 0;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const jobs::TaskName other{name.job, name.occurrence, name.step, i};
    if (i != except && !IsAvailable(ledger, other, step.tasks[i], percent_of))
      ++unavailable;
  }
  return unavailable;
}

/// Counts unavailable tasks per step, including those that this plan stops.
class UnavailableTasks {
 public:
  UnavailableTasks(const jobs::JobLedger& ledger,
                   const PercentOf& percent_of,
                   const IsStopping& is_stopping)
      : ledger_(ledger), percent_of_(percent_of), is_stopping_(is_stopping) {}

  /// \returns whether one more task of the step may be interrupted; counts it.
  [[nodiscard]] bool TryInterrupt(const jobs::RunName& run,
                                  const jobs::StepSpec& spec) {
    if (spec.max_unavailable == 0)
      return true;
    const auto key =
        std::tuple(run.task.job, run.task.occurrence, run.task.step);
    const auto [count, added] = unavailable_.try_emplace(key, 0);
    if (added)
      count->second = CountUnavailable(ledger_, run.task, percent_of_);
    if (count->second >= spec.max_unavailable)
      return false;
    ++count->second;
    return true;
  }

  /// \returns whether a stop of a task of the step is in flight to a worker
  /// that is not draining.
  [[nodiscard]] bool HasStopInFlight(const jobs::RunName& run,
                                     const jobs::StepSpec& spec) const {
    if (spec.max_unavailable == 0)
      return false;
    const jobs::TaskName& name = run.task;
    const jobs::Job* job = ledger_.FindJob(name.job);
    const auto& step = job->occurrences.at(name.occurrence).steps[name.step];
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
      for (const jobs::Run& other : step.tasks[i].runs) {
        const jobs::Worker* worker = ledger_.FindWorker(other.worker);
        if (worker != nullptr && !worker->record.draining &&
            is_stopping_(
                {{name.job, name.occurrence, name.step, i}, other.number},
                other.worker)) {
          return true;
        }
      }
    }
    return false;
  }

 private:
  const jobs::JobLedger& ledger_;
  const PercentOf& percent_of_;
  const IsStopping& is_stopping_;
  std::map<std::tuple<jobs::JobId, std::uint32_t, std::uint32_t>, std::int64_t>
      unavailable_;
};

}  // namespace

bool MayInterrupt(const jobs::JobLedger& ledger,
                  const jobs::RunName& run,
                  const jobs::Worker& worker,
                  const PercentOf& percent_of) {
  const jobs::Job* job = ledger.FindJob(run.task.job);
  const jobs::Task* task = ledger.FindTask(run.task);
  if (job == nullptr || job->final() || task == nullptr || task->done ||
      worker.record.draining) {
    return true;
  }
  const std::int64_t most = job->spec->steps[run.task.step].max_unavailable;
  return most == 0 ||
         CountUnavailable(ledger, run.task, percent_of, run.task.index) < most;
}

std::vector<StopOrder> PlanStops(
    const jobs::JobLedger& ledger,
    const std::set<jobs::WorkerIncarnation>& cordoned,
    const PercentOf& percent_of,
    const IsStopping& is_stopping,
    const evacuation::ZoneExits& zone_exits) {
  std::vector<StopOrder> stops;
  UnavailableTasks unavailable(ledger, percent_of, is_stopping);
  jobs::WorkerSet candidates = ledger.stop_candidates();
  for (const jobs::WorkerIncarnation& incarnation : cordoned) {
    if (const jobs::Worker* worker = ledger.FindWorker(incarnation))
      candidates.insert(worker);
  }
  for (const auto& [incarnation, runs] : zone_exits) {
    if (const jobs::Worker* worker = ledger.FindWorker(incarnation))
      candidates.insert(worker);
  }
  for (const jobs::Worker* candidate : candidates) {
    const jobs::Worker& worker = *candidate;
    const jobs::WorkerIncarnation& incarnation = worker.record.incarnation;
    const bool is_cordoned = cordoned.count(incarnation) > 0;
    const auto exits = zone_exits.find(incarnation);
    for (const jobs::RunName& run : worker.runs) {
      const jobs::Job* job = ledger.FindJob(run.task.job);
      const jobs::Task* task = ledger.FindTask(run.task);
      if (job == nullptr || task == nullptr)
        continue;
      if (job->final()) {
        stops.push_back({run, incarnation, "job_final"});
        continue;
      }
      if (task->done) {
        stops.push_back({run, incarnation, "task_done"});
        continue;
      }
      const jobs::StepSpec& spec = job->spec->steps[run.task.step];
      if (!spec.long_running)
        continue;
      const bool leaves_zone =
          exits != zone_exits.end() && exits->second.count(run) > 0;
      if (worker.record.draining) {
        if (!unavailable.HasStopInFlight(run, spec))
          stops.push_back({run, incarnation, "worker_drains"});
      } else if ((is_cordoned || leaves_zone) &&
                 unavailable.TryInterrupt(run, spec)) {
        stops.push_back({run, incarnation,
                         is_cordoned ? "host_maintenance" : "zone_evacuated"});
      }
    }
  }
  return stops;
}

}  // namespace boragewinch::scheduler
