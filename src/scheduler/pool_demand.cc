#include "scheduler/pool_demand.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "scheduler/task_planner.h"

namespace boragewinch::scheduler {

namespace {

/// Assumed duration of a task without an estimate.
constexpr double kDefaultDurationMs = 1'000;

[[nodiscard]] double DurationOf(const jobs::StepSpec& step) {
  return step.estimate.count() > 0 ? static_cast<double>(step.estimate.count())
                                   : kDefaultDurationMs;
}

void AddWorkers(const jobs::JobLedger& ledger,
                const WorkerPredicate& usable,
                const std::set<jobs::WorkerIncarnation>& reserved,
                std::map<PoolName, PoolDemand>* pools) {
  for (auto& [name, pool] : *pools) {
    for (const jobs::Worker* worker : ledger.WorkersOf(name)) {
      if (worker->record.draining)
        continue;
      Load size;
      size.Add(worker->record.capacity, 1);
      pool.host = pool.host.Max(size);
      const jobs::WorkerIncarnation& incarnation = worker->record.incarnation;
      if (!usable(incarnation) || ledger.IsEvacuated(worker->record.zone))
        continue;
      ++pool.hosts;
      if (worker->runs.empty() && reserved.count(incarnation) == 0 &&
          !worker->record.host.empty()) {
        pool.idle_workers.push_back(worker);
      }
    }
  }
}

/// Places waiting long-running tasks on the workers of a pool. A pool may have
/// enough free capacity in total but no worker with enough for such a task.
class LongRunningPlacer {
 public:
  LongRunningPlacer(const jobs::JobLedger& ledger,
                    const PoolName& pool,
                    const WorkerPredicate& usable,
                    const std::set<jobs::WorkerIncarnation>& reserved) {
    for (const jobs::Worker* worker : ledger.WorkersOf(pool)) {
      const jobs::WorkerRecord& record = worker->record;
      largest_.cpu_millis =
          std::max(largest_.cpu_millis, record.capacity.cpu_millis);
      largest_.memory_mb =
          std::max(largest_.memory_mb, record.capacity.memory_mb);
      largest_.accelerators =
          std::max(largest_.accelerators, record.capacity.accelerators);
      if (record.draining || reserved.count(record.incarnation) > 0 ||
          ledger.IsEvacuated(record.zone) || !usable(record.incarnation)) {
        continue;
      }
      Resources free = record.capacity;
      free -= worker->used;
      free_.emplace_back(record.incarnation, free);
    }
  }

  /// \param tasks the waiting tasks of the step and those in evacuated zones.
  /// \returns the number of additional hosts for those that fit on no worker.
  [[nodiscard]] std::int64_t HostsFor(const jobs::StepSpec& spec,
                                      const jobs::Step& step,
                                      std::int64_t tasks) {
    const Resources need = jobs::JobLedger::CapacityOf(spec);
    const std::int64_t limit = spec.max_per_worker > 0
                                   ? spec.max_per_worker
                                   : std::numeric_limits<std::int64_t>::max();
    std::map<jobs::WorkerIncarnation, std::int64_t> present;
    for (const jobs::Task& task : step.tasks) {
      for (const jobs::Run& run : task.runs)
        ++present[run.worker];
    }
    std::int64_t left = tasks;
    for (auto& [incarnation, free] : free_) {
      std::int64_t& count = present[incarnation];
      for (; left > 0 && count < limit && need.FitsInto(free); --left) {
        free -= need;
        ++count;
      }
    }
    std::int64_t tasks_per_host = 0;
    for (Resources remaining = largest_;
         tasks_per_host < left && tasks_per_host < limit &&
         need.FitsInto(remaining);
         ++tasks_per_host) {
      remaining -= need;
    }
    // No host is added for a task that fits on no host of the pool.
    return tasks_per_host == 0 ? 0
                               : (left + tasks_per_host - 1) / tasks_per_host;
  }

 private:
  std::vector<std::pair<jobs::WorkerIncarnation, Resources>> free_;
  Resources largest_;
};

/// \returns the number of the step's tasks that run in evacuated zones.
[[nodiscard]] std::int64_t CountInEvacuatedZones(const jobs::JobLedger& ledger,
                                                 const jobs::Step& step) {
  if (ledger.zones().empty() || step.placed == 0)
    return 0;
  return std::count_if(
      step.tasks.begin(), step.tasks.end(), [&](const jobs::Task& task) {
        return !task.done &&
               std::any_of(task.runs.begin(), task.runs.end(),
                           [&](const jobs::Run& run) {
                             const jobs::Worker* worker =
                                 ledger.FindWorker(run.worker);
                             return worker != nullptr &&
                                    ledger.IsEvacuated(worker->record.zone);
                           });
      });
}

/// Calls `visit` for each step with long-running tasks that could start now or
/// are to leave an evacuated zone, with their number.
template <typename Visit>
void VisitWaitingLongRunning(const jobs::JobLedger& ledger,
                             const jobs::Job& job,
                             const Visit& visit) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const jobs::StepSpec& spec = job.spec->steps[s];
      if (!spec.long_running || !job.StepReady(occurrence, s))
        continue;
      const jobs::Step& step = occurrence.steps[s];
      const std::int64_t tasks =
          step.waiting() + CountInEvacuatedZones(ledger, step);
      if (tasks > 0)
        visit(spec, step, tasks);
    }
  }
}

/// Adds the demand of the open occurrences of one job.
class JobDemand {
 public:
  JobDemand(const PoolDemandOptions& options,
            const jobs::Job& job,
            const jobs::QueueConfig& queue,
            jobs::UnixMillis wall_time)
      : options_(options), job_(job), queue_(queue), wall_time_(wall_time) {}

  void AddTo(PoolDemand* pool) const {
    for (const auto& [number, occurrence] : job_.occurrences) {
      const jobs::UnixMillis from =
          job_.spec->repeats > 0 ? job_.spec->due(number) : job_.accepted;
      const double left =
          static_cast<double>(ObjectiveOf(job_, queue_, from) - wall_time_);
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s)
        AddStep(occurrence, s, left, pool);
    }
  }

 private:
  void AddStep(const jobs::Occurrence& occurrence,
               std::size_t s,
               double left_ms,
               PoolDemand* pool) const {
    const jobs::StepSpec& spec = job_.spec->steps[s];
    const jobs::Step& step = occurrence.steps[s];
    if (step.complete())
      return;
    const bool ready = job_.StepReady(occurrence, s);
    if (ready && spec.max_per_worker > 0) {
      const std::int64_t open = spec.tasks - step.done;
      pool->spread = std::max(
          pool->spread, (open + spec.max_per_worker - 1) / spec.max_per_worker);
    }
    const Resources capacity = jobs::JobLedger::CapacityOf(spec);
    if (spec.long_running) {
      pool->long_running_load.Add(capacity, static_cast<double>(spec.tasks));
      return;
    }
    const double work_ms =
        DurationOf(spec) * static_cast<double>(step.waiting());
    const auto window = static_cast<double>(options_.arrival_window.count());
    const auto target = static_cast<double>(options_.backlog_target.count());
    if (occurrence.opened >= wall_time_ - options_.arrival_window.count()) {
      pool->arriving.Add(
          capacity,
          DurationOf(spec) * static_cast<double>(spec.tasks) / window);
    }
    if (ready)
      pool->ready.Add(capacity, work_ms / target);
    else
      pool->blocked.Add(capacity, work_ms / std::max(target, left_ms));
  }

  const PoolDemandOptions& options_;
  const jobs::Job& job_;
  const jobs::QueueConfig& queue_;
  jobs::UnixMillis wall_time_;
};

}  // namespace

Load& Load::operator+=(const Load& other) noexcept {
  cpu_millis += other.cpu_millis;
  memory_mb += other.memory_mb;
  accelerators += other.accelerators;
  return *this;
}

void Load::Add(const Resources& amount, double times) noexcept {
  cpu_millis += static_cast<double>(amount.cpu_millis) * times;
  memory_mb += static_cast<double>(amount.memory_mb) * times;
  accelerators += static_cast<double>(amount.accelerators) * times;
}

Load Load::Times(double factor) const noexcept {
  return {cpu_millis * factor, memory_mb * factor, accelerators * factor};
}

Load Load::Max(const Load& other) const noexcept {
  return {std::max(cpu_millis, other.cpu_millis),
          std::max(memory_mb, other.memory_mb),
          std::max(accelerators, other.accelerators)};
}

double Load::HostsOf(const Load& host) const noexcept {
  const auto of = [](double load, double size) {
    return size > 0 ? load / size : 0;
  };
  return std::max({of(cpu_millis, host.cpu_millis),
                   of(memory_mb, host.memory_mb),
                   of(accelerators, host.accelerators)});
}

std::map<PoolName, PoolDemand> MeasurePools(
    const jobs::JobLedger& ledger,
    const PoolDemandOptions& options,
    const WorkerPredicate& usable,
    const std::set<jobs::WorkerIncarnation>& reserved,
    jobs::UnixMillis wall_time) {
  std::map<PoolName, PoolDemand> pools;
  for (const auto& [name, config] : ledger.config().pools)
    pools[name].standby = config.standby;
  AddWorkers(ledger, usable, reserved, &pools);
  std::map<PoolName, LongRunningPlacer> placers;
  for (const jobs::JobId& id : ledger.active()) {
    const jobs::Job* job = ledger.FindJob(id);
    const jobs::QueueConfig* queue = ledger.QueueOf(*job);
    if (queue == nullptr)
      continue;
    const auto pool = pools.find(queue->pool);
    if (pool == pools.end())
      continue;
    JobDemand(options, *job, *queue, wall_time).AddTo(&pool->second);
    VisitWaitingLongRunning(
        ledger, *job,
        [&](const jobs::StepSpec& spec, const jobs::Step& step,
            std::int64_t tasks) {
          const auto placer = placers
                                  .try_emplace(queue->pool, ledger, queue->pool,
                                               usable, reserved)
                                  .first;
          pool->second.long_running_hosts +=
              placer->second.HostsFor(spec, step, tasks);
          pool->second.long_running_waiting = true;
        });
  }
  return pools;
}

}  // namespace boragewinch::scheduler
