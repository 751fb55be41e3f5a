#include "scheduler/copy_planner.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace boragewinch::scheduler {

namespace {

/// Workers that accept only one start at a time have failed or delayed tasks.
constexpr std::size_t kMinStartLimit = 2;

/// A worker with what this plan has started on it.
struct Room {
  const jobs::Worker* worker = nullptr;
  Resources free;
  std::size_t starts = 0;
  /// Queried when a copy would fit.
  std::optional<std::size_t> start_limit = std::nullopt;
  std::optional<bool> wanted = std::nullopt;
};

/// Places the copies of one plan.
class CopyBuilder {
 public:
  CopyBuilder(const jobs::JobLedger& ledger,
              const PlannerHooks& hooks,
              double max_share,
              const std::vector<jobs::StartRecord>& starts)
      : ledger_(ledger), hooks_(hooks), budget_(max_share) {
    for (const jobs::StartRecord& start : starts)
      Count(start);
    for (const jobs::TaskName& name : ledger.copied_tasks())
      CountSurplus(name);
    CollectWaiting();
  }

  /// \returns the start of a copy of the task; nothing if there is no place.
  [[nodiscard]] std::optional<jobs::StartRecord> Place(
      const overload::RunningTask& running) {
    const jobs::TaskName& name = running.run.task;
    const jobs::Job& job = *ledger_.FindJob(name.job);
    const jobs::Task& task = *ledger_.FindTask(name);
    const jobs::StepSpec& spec = job.spec->steps[name.step];
    auto& rooms = RoomsOf(running.pool);
    if (!budget_.Allows(running.pool, running.request) ||
        !WithinCustomerLimit(job, spec)) {
      return std::nullopt;
    }
    const jobs::WorkerIncarnation& original = task.runs.front().worker;
    const jobs::Worker* original_worker = ledger_.FindWorker(original);
    const auto in_step = CountPerWorker(name, spec);
    using Rank = std::tuple<bool, bool, std::int64_t>;
    Room* best = nullptr;
    Rank best_rank;
    for (Room& room : rooms) {
      const jobs::WorkerRecord& record = room.worker->record;
      if (record.incarnation.id == original.id ||
          !running.request.FitsInto(room.free) ||
          !record.HasLabel(spec.required_label) ||
          (!spec.data_rack.empty() && spec.data_rack != record.rack) ||
          !HasSlot(spec, in_step, record.incarnation)) {
        continue;
      }
      const bool other_rack = original_worker == nullptr ||
                              original_worker->record.rack != record.rack;
      // As for ordinary starts, workers are filled one after another.
      const Rank rank(other_rack, !room.worker->runs.empty() || room.starts > 0,
                      -room.free.cpu_millis);
      // The remaining queries are more expensive.
      if ((best != nullptr && rank <= best_rank) ||
          StartLimitOf(&room) < room.starts + kMinStartLimit ||
          !IsAdvised(job, name, record.incarnation) ||
          IsWanted(running.pool, &room)) {
        continue;
      }
      best = &room;
      best_rank = rank;
    }
    if (best == nullptr)
      return std::nullopt;
    const jobs::StartRecord start{{name, task.last_run + 1},
                                  best->worker->record.incarnation};
    budget_.AddCopy(running.pool, running.request);
    Count(start);
    return start;
  }

 private:
  /// Counts a start of this plan.
  void Count(const jobs::StartRecord& start) {
    const jobs::TaskName& task = start.run.task;
    const jobs::Job* job = ledger_.FindJob(task.job);
    if (job == nullptr || !job->spec)
      return;
    const jobs::StepSpec& spec = job->spec->steps[task.step];
    const Resources capacity = jobs::JobLedger::CapacityOf(spec);
    Started& started = started_on_[start.worker];
    started.capacity += capacity;
    ++started.count;
    usage_[job->customer] += spec.request;
    StartedStep& step = started_of_[{task.job, task.occurrence, task.step}];
    ++step.tasks;
    ++step.workers[start.worker];
    for (auto& [pool, rooms] : rooms_) {
      for (Room& room : rooms) {
        if (room.worker->record.incarnation != start.worker)
          continue;
        room.free -= capacity;
        ++room.starts;
      }
    }
  }

  void CountSurplus(const jobs::TaskName& name) {
    const jobs::Job* job = ledger_.FindJob(name.job);
    const jobs::Task* task = ledger_.FindTask(name);
    const jobs::QueueConfig* queue =
        job == nullptr ? nullptr : ledger_.QueueOf(*job);
    if (task == nullptr || queue == nullptr || !job->spec)
      return;
    const std::size_t surplus = jobs::JobLedger::SurplusRunsOf(*task);
    for (std::size_t i = 0; i < surplus; ++i) {
      budget_.AddCopy(queue->pool,
                      jobs::JobLedger::CapacityOf(job->spec->steps[name.step]));
    }
  }

  /// \returns the workers of the pool that are neither draining nor in an
  /// evacuated zone, with their free capacity.
  [[nodiscard]] std::vector<Room>& RoomsOf(const PoolName& pool) {
    const auto [it, added] = rooms_.try_emplace(pool);
    if (!added)
      return it->second;
    for (const jobs::Worker* worker : ledger_.WorkersOf(pool)) {
      const jobs::WorkerRecord& record = worker->record;
      if (record.draining || ledger_.IsEvacuated(record.zone))
        continue;
      Room room;
      room.worker = worker;
      room.free = record.capacity;
      room.free -= worker->used;
      if (const auto started = started_on_.find(record.incarnation);
          started != started_on_.end()) {
        room.free -= started->second.capacity;
        room.starts = started->second.count;
      }
      budget_.AddCapacity(pool, record.capacity);
      it->second.push_back(room);
    }
    return it->second;
  }

  [[nodiscard]] std::size_t StartLimitOf(Room* room) const {
    if (!room->start_limit)
      room->start_limit = hooks_.start_limit(room->worker->record.incarnation);
    return *room->start_limit;
  }

  /// Collects what the ready steps of each pool have waiting after the ordinary
  /// starts. Steps of customers at their limit are left out.
  void CollectWaiting() {
    for (const jobs::Job* job : ledger_.startable()) {
      const jobs::QueueConfig* queue = ledger_.QueueOf(*job);
      if (queue == nullptr)
        continue;
      for (const auto& [number, occurrence] : job->occurrences) {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
          const jobs::StepSpec& spec = job->spec->steps[s];
          const auto started = started_of_.find({job->id, number, s});
          const std::int64_t left =
              occurrence.steps[s].waiting() -
              (started == started_of_.end() ? 0 : started->second.tasks);
          if (left > 0 && job->StepReady(occurrence, s) &&
              WithinCustomerLimit(*job, spec)) {
            waiting_[queue->pool].push_back(&spec);
          }
        }
      }
    }
  }

  /// \returns whether a waiting task could run on the worker now or once short
  /// tasks there have ended.
  [[nodiscard]] bool IsWanted(const PoolName& pool, Room* room) const {
    const auto waiting = waiting_.find(pool);
    if (waiting == waiting_.end())
      return false;
    if (!room->wanted)
      room->wanted = CouldRun(waiting->second, *room);
    return *room->wanted;
  }

  /// \returns whether a task of one of the steps could run on the worker.
  [[nodiscard]] bool CouldRun(const std::vector<const jobs::StepSpec*>& steps,
                              const Room& room) const {
    const jobs::WorkerRecord& record = room.worker->record;
    Resources capacity = record.capacity;
    for (const jobs::RunName& run : room.worker->runs) {
      const jobs::Job* job = ledger_.FindJob(run.task.job);
      if (job == nullptr || job->final() || !job->spec)
        continue;
      const jobs::StepSpec& spec = job->spec->steps[run.task.step];
      if (spec.long_running)
        capacity -= jobs::JobLedger::CapacityOf(spec);
    }
    return std::any_of(
        steps.begin(), steps.end(), [&](const jobs::StepSpec* step) {
          return record.HasLabel(step->required_label) &&
                 jobs::JobLedger::CapacityOf(*step).FitsInto(capacity);
        });
  }

  [[nodiscard]] bool IsAdvised(const jobs::Job& job,
                               const jobs::TaskName& task,
                               const jobs::WorkerIncarnation& worker) const {
    return !ledger_.QueueOf(job)->advised || hooks_.is_advised(task, worker);
  }

  [[nodiscard]] std::map<jobs::WorkerIncarnation, std::int64_t> CountPerWorker(
      const jobs::TaskName& name,
      const jobs::StepSpec& spec) const {
    std::map<jobs::WorkerIncarnation, std::int64_t> counts;
    if (spec.max_per_worker == 0)
      return counts;
    if (const auto started =
            started_of_.find({name.job, name.occurrence, name.step});
        started != started_of_.end()) {
      counts = started->second.workers;
    }
    const auto& occurrence =
        ledger_.FindJob(name.job)->occurrences.at(name.occurrence);
    for (const jobs::Task& task : occurrence.steps[name.step].tasks) {
      for (const jobs::Run& run : task.runs)
        ++counts[run.worker];
    }
    return counts;
  }

  [[nodiscard]] static bool HasSlot(
      const jobs::StepSpec& spec,
      const std::map<jobs::WorkerIncarnation, std::int64_t>& counts,
      const jobs::WorkerIncarnation& worker) {
    if (spec.max_per_worker == 0)
      return true;
    const auto count = counts.find(worker);
    return count == counts.end() || count->second < spec.max_per_worker;
  }

  [[nodiscard]] bool WithinCustomerLimit(const jobs::Job& job,
                                         const jobs::StepSpec& spec) {
    const auto& customers = ledger_.config().customers;
    const auto customer = customers.find(job.customer);
    if (job.customer.empty() || customer == customers.end())
      return true;
    Resources used = ledger_.UsageOf(job.customer);
    used += usage_[job.customer];
    used += spec.request;
    const Resources& limit = customer->second.limit;
    const auto within = [](std::int64_t value, std::int64_t bound) {
      return bound == 0 || value <= bound;
    };
    return within(used.cpu_millis, limit.cpu_millis) &&
           within(used.memory_mb, limit.memory_mb) &&
           within(used.accelerators, limit.accelerators);
  }

  struct Started {
    Resources capacity;
    std::size_t count = 0;
  };
  struct StartedStep {
    std::int64_t tasks = 0;
    std::map<jobs::WorkerIncarnation, std::int64_t> workers;
  };

  const jobs::JobLedger& ledger_;
  const PlannerHooks& hooks_;
  overload::CopyBudget budget_;
  std::map<jobs::WorkerIncarnation, Started> started_on_;
  std::map<std::tuple<jobs::JobId, std::uint32_t, std::uint32_t>, StartedStep>
      started_of_;
  std::map<CustomerName, Resources> usage_;  ///< of the starts of this plan
  std::map<PoolName, std::vector<Room>> rooms_;
  std::map<PoolName, std::vector<const jobs::StepSpec*>> waiting_;
};

/// \returns the running tasks that may have a copy.
[[nodiscard]] std::vector<overload::RunningTask> RunningTasks(
    const jobs::JobLedger& ledger,
    const CopyHooks& hooks) {
  std::vector<overload::RunningTask> running;
  for (const jobs::Job* job : ledger.speculating()) {
    const jobs::QueueConfig* queue = ledger.QueueOf(*job);
    if (queue == nullptr)
      continue;
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        const jobs::StepSpec& spec = job->spec->steps[s];
        const jobs::Step& step = occurrence.steps[s];
        if (step.placed == 0 || !jobs::JobLedger::MayBeCopied(spec))
          continue;
        const Millis expected =
            hooks.expected_duration(job->queue, spec.estimate);
        for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
          const jobs::Task& task = step.tasks[i];
          if (!overload::MayHaveCopy(spec, task, job->max_attempts))
            continue;
          const jobs::Run& run = task.runs.front();
          const jobs::RunName name{{job->id, number, s, i}, run.number};
          const auto elapsed = hooks.elapsed(name, run.worker);
          // Most runs have not taken longer than expected.
          if (!elapsed || *elapsed <= expected)
            continue;
          running.push_back({name, queue->pool,
                             jobs::JobLedger::CapacityOf(spec), *elapsed,
                             expected, hooks.spread(job->queue),
                             hooks.is_suspect(run.worker)});
        }
      }
    }
  }
  return running;
}

}  // namespace

std::vector<jobs::StartRecord> CopyPlanner::Plan(
    const jobs::JobLedger& ledger,
    const PlannerHooks& hooks,
    const CopyHooks& copy_hooks,
    const std::vector<jobs::StartRecord>& starts,
    std::size_t max_starts,
    TimePoint now) {
  std::vector<jobs::StartRecord> copies;
  if (options_.mode == overload::SpeculationMode::kOff ||
      (scanned_ && now - *scanned_ < options_.scan_interval)) {
    return copies;
  }
  scanned_ = now;
  const std::vector<overload::RunningTask> running =
      RunningTasks(ledger, copy_hooks);
  const std::vector<std::size_t> chosen = overload::TasksToCopy(running);
  if (chosen.empty())
    return copies;
  CopyBuilder builder(ledger, hooks, options_.max_pool_share, starts);
  for (const std::size_t index : chosen) {
    if (copies.size() >= max_starts)
      break;
    if (const auto start = builder.Place(running[index]))
      copies.push_back(*start);
  }
  return copies;
}

}  // namespace boragewinch::scheduler
