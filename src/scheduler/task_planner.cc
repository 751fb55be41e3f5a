#include "scheduler/task_planner.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "overload/start_order.h"

namespace boragewinch::scheduler {

namespace {

/// State of a worker during a plan.
struct WorkerState {
  const jobs::Worker* worker = nullptr;
  Resources free;  ///< free capacity, less what this plan has allocated
  /// Tasks that may start on it now; queried when a task would fit.
  mutable std::optional<std::size_t> start_limit;
  std::int64_t long_running_runs = 0;  ///< long-running tasks on it
  Resources long_running_starts;       ///< those that this plan starts
  /// Used by long-running runs; computed when a task needs a reservation.
  std::optional<Resources> long_running_use;
  bool occupied = false;         ///< it has runs or starts of this plan
  bool limit_exhausted = false;  ///< this plan has exhausted start_limit
  bool reserved = false;  ///< its free capacity is reserved for a waiting task
  bool warm = true;       ///< see PlannerHooks::is_cold
};

/// The workers of a pool that are neither draining nor in an evacuated zone.
struct PoolWorkers {
  std::vector<WorkerState> states;
  /// Upper bound of the workers' free capacity; a task that exceeds it need not
  /// be tried on each worker.
  Resources max_free;
};

struct Candidate {
  const jobs::Job* job = nullptr;
  const jobs::QueueConfig* queue = nullptr;
  std::uint32_t occurrence = 0;
  overload::WaitingJob waiting;
};

[[nodiscard]] bool StartsEarlierByObjective(const overload::WaitingJob& a,
                                            const overload::WaitingJob& b) {
  const auto key = [](const overload::WaitingJob& job) {
    // Long-running tasks first: they serve users only while running.
    return std::tuple(!job.has_long_running, job.priority,
                      overload::IsLate(job.urgency), job.times.objective);
  };
  const auto key_a = key(a);
  const auto key_b = key(b);
  return key_a != key_b ? key_a < key_b : *a.id < *b.id;
}

/// Computes one plan.
class PlanBuilder {
 public:
  PlanBuilder(const jobs::JobLedger& ledger,
              const TaskPlannerOptions& options,
              const PlannerHooks& hooks,
              ReservationClock* reservations,
              AvoidanceClock* avoidances,
              jobs::UnixMillis now)
      : ledger_(ledger),
        options_(options),
        hooks_(hooks),
        reservations_(*reservations),
        avoidances_(*avoidances),
        now_(now) {}

  [[nodiscard]] std::vector<jobs::StartRecord> Build() {
    const std::vector<Candidate> candidates = OrderedCandidates();
    for (const Candidate& candidate : candidates) {
      PlaceJob(candidate);
      if (starts_.size() >= options_.max_starts)
        break;
    }
    if (options_.order == StartOrder::kLeastLoss)
      MeasureBacklogs(candidates);
    return std::move(starts_);
  }

  [[nodiscard]] std::map<PoolName, overload::PoolBacklog> TakeBacklogs() {
    return std::move(backlogs_);
  }
  [[nodiscard]] std::set<CustomerName> TakeOverShare() {
    return std::move(over_share_);
  }

 private:
  [[nodiscard]] std::vector<Candidate> OrderedCandidates() {
    const bool least_loss = options_.order == StartOrder::kLeastLoss;
    if (least_loss)
      over_share_ = overload::CustomersOverShare(CustomerDemand());
    const ExpectedDuration expected =
        least_loss ? hooks_.expected_duration : nullptr;
    std::vector<Candidate> candidates;
    for (const jobs::Job* job : ledger_.startable()) {
      const jobs::QueueConfig* queue = ledger_.QueueOf(*job);
      if (queue == nullptr)
        continue;
      for (const auto& [number, occurrence] : job->occurrences) {
        Candidate candidate{job, queue, number, {}};
        overload::WaitingJob& waiting = candidate.waiting;
        bool has_waiting_tasks = false;
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
          const jobs::Step& step = occurrence.steps[s];
          const bool has_waiting = step.waiting() > 0;
          has_waiting_tasks = has_waiting_tasks || has_waiting;
          waiting.has_long_running =
              waiting.has_long_running ||
              (has_waiting && job->spec->steps[s].long_running);
          waiting.begun = waiting.begun || step.done > 0 || step.placed > 0;
        }
        if (!has_waiting_tasks)
          continue;
        const jobs::UnixMillis from =
            job->spec->repeats > 0 ? job->spec->due(number) : job->accepted;
        waiting.id = &job->id;
        waiting.priority = queue->priority;
        waiting.times = {from, ObjectiveOf(*job, *queue, from, expected),
                         RemainingCriticalPath(*job, occurrence, expected)};
        waiting.urgency =
            overload::UrgencyOf(waiting.times,
                                least_loss ? options_.expected_path_margin
                                           : options_.critical_path_margin,
                                over_share_.count(job->customer) > 0, now_);
        candidates.push_back(candidate);
      }
    }
    const auto starts_before =
        least_loss ? &overload::StartsBefore : &StartsEarlierByObjective;
    std::sort(candidates.begin(), candidates.end(),
              [starts_before](const Candidate& a, const Candidate& b) {
                return starts_before(a.waiting, b.waiting);
              });
    return candidates;
  }

  /// \returns what each customer with waiting jobs uses and waits for.
  /// Customers without a key are not counted.
  [[nodiscard]] std::map<CustomerName, overload::CustomerUse> CustomerDemand()
      const {
    std::map<CustomerName, overload::CustomerUse> demand;
    const auto& customers = ledger_.config().customers;
    for (const jobs::Job* job : ledger_.startable()) {
      const auto customer = customers.find(job->customer);
      if (customer == customers.end())
        continue;
      const auto [it, added] = demand.try_emplace(job->customer);
      overload::CustomerUse& use = it->second;
      if (added) {
        use.weight = customer->second.weight;
        use.cpu_millis = ledger_.UsageOf(job->customer).cpu_millis;
      }
      for (const auto& [number, occurrence] : job->occurrences) {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s)
          use.cpu_millis += occurrence.steps[s].waiting() *
                            job->spec->steps[s].request.cpu_millis;
      }
    }
    return demand;
  }

  /// Counts what waits in each pool after the starts of this plan, without
  /// long-running tasks.
  void MeasureBacklogs(const std::vector<Candidate>& candidates) {
    for (const auto& [name, config] : ledger_.config().pools)
      backlogs_.try_emplace(name);
    std::map<std::tuple<jobs::JobId, std::uint32_t, std::uint32_t>,
             std::int64_t>
        started;
    for (const jobs::StartRecord& start : starts_) {
      const jobs::TaskName& task = start.run.task;
      ++started[{task.job, task.occurrence, task.step}];
    }
    std::map<PoolName, Resources> waiting_for_capacity;
    for (const Candidate& candidate : candidates) {
      overload::PoolBacklog& backlog = backlogs_[candidate.queue->pool];
      const jobs::Job& job = *candidate.job;
      const auto& occurrence = job.occurrences.at(candidate.occurrence);
      overload::WaitingTasks& waiting =
          backlog.by_priority[candidate.queue->priority];
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        const jobs::StepSpec& spec = job.spec->steps[s];
        if (spec.long_running)
          continue;
        const auto starts = started.find({job.id, candidate.occurrence, s});
        const std::int64_t now_started =
            starts == started.end() ? 0 : starts->second;
        const std::int64_t left = occurrence.steps[s].waiting() - now_started;
        backlog.starts += now_started;
        (overload::IsLate(candidate.waiting.urgency) ? waiting.late
                                                     : waiting.on_time) += left;
        if (left > 0 && job.StepReady(occurrence, s) &&
            WithinCustomerLimit(job, spec)) {
          AddDemand(candidate.queue->pool, spec, left, &waiting_for_capacity);
        }
      }
    }
    for (auto& [name, backlog] : backlogs_) {
      const auto waiting = waiting_for_capacity.find(name);
      backlog.saturated =
          waiting != waiting_for_capacity.end() &&
          (starts_.size() >= options_.max_starts ||
           waiting->second.cpu_millis > FreeCapacityOf(name).cpu_millis);
    }
  }

  /// Adds the demand of waiting tasks that could run on some worker of the
  /// pool.
  void AddDemand(const PoolName& pool,
                 const jobs::StepSpec& spec,
                 std::int64_t tasks,
                 std::map<PoolName, Resources>* demand) {
    const Resources required = jobs::JobLedger::CapacityOf(spec);
    const auto& states = PoolWorkersOf(pool)->states;
    const bool can_run =
        std::any_of(states.begin(), states.end(), [&](const auto& state) {
          return required.FitsInto(state.worker->record.capacity) &&
                 state.worker->record.HasLabel(spec.required_label);
        });
    if (can_run)
      (*demand)[pool].cpu_millis += tasks * required.cpu_millis;
  }

  /// \returns the free capacity of the workers, without those that are known to
  /// accept no starts. Asking all of them would take too long.
  [[nodiscard]] Resources FreeCapacityOf(const PoolName& pool) {
    Resources free;
    for (const WorkerState& state : PoolWorkersOf(pool)->states) {
      if (state.limit_exhausted || state.start_limit.value_or(1) > 0)
        free += state.free;
    }
    return free;
  }

  /// \returns the workers of a pool, collected on first use.
  [[nodiscard]] PoolWorkers* PoolWorkersOf(const PoolName& pool) {
    const auto [it, added] = pool_workers_.try_emplace(pool);
    PoolWorkers* pool_workers = &it->second;
    if (!added)
      return pool_workers;
    const jobs::WorkerSet& workers = ledger_.WorkersOf(pool);
    pool_workers->states.reserve(workers.size());
    for (const jobs::Worker* worker : workers) {
      if (worker->record.draining || ledger_.IsEvacuated(worker->record.zone)) {
        continue;
      }
      Resources free = worker->record.capacity;
      free -= worker->used;
      pool_workers->states.push_back(
          {worker, free, std::nullopt, worker->long_running_runs, Resources(),
           std::nullopt, !worker->runs.empty(), false, false,
           !hooks_.is_cold || !hooks_.is_cold(worker->record.incarnation)});
    }
    UpdateMaxFree(pool_workers);
    return pool_workers;
  }

  static void UpdateMaxFree(PoolWorkers* pool_workers) {
    Resources maxima;
    for (const WorkerState& state : pool_workers->states) {
      maxima.cpu_millis = std::max(maxima.cpu_millis, state.free.cpu_millis);
      maxima.memory_mb = std::max(maxima.memory_mb, state.free.memory_mb);
      maxima.accelerators =
          std::max(maxima.accelerators, state.free.accelerators);
    }
    pool_workers->max_free = maxima;
  }

  [[nodiscard]] std::size_t& StartLimitOf(const WorkerState& state) const {
    if (!state.start_limit)
      state.start_limit = hooks_.start_limit(state.worker->record.incarnation);
    return *state.start_limit;
  }

  void PlaceJob(const Candidate& candidate) {
    const jobs::Job& job = *candidate.job;
    PoolWorkers* pool_workers = PoolWorkersOf(candidate.queue->pool);
    if (pool_workers->states.empty())
      return;
    const auto& occurrence = job.occurrences.at(candidate.occurrence);
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      if (occurrence.steps[s].waiting() == 0 || !job.StepReady(occurrence, s))
        continue;
      if (job.spec->steps[s].gang)
        PlaceGang(candidate, s, pool_workers);
      else
        PlaceStep(candidate, s, pool_workers);
    }
  }

  void PlaceStep(const Candidate& candidate,
                 std::uint32_t s,
                 PoolWorkers* pool_workers) {
    const jobs::Job& job = *candidate.job;
    const jobs::StepSpec& spec = job.spec->steps[s];
    const jobs::Step& step = job.occurrences.at(candidate.occurrence).steps[s];
    auto per_worker = CountPerWorker(step, spec);
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
      const jobs::Task& task = step.tasks[i];
      if (task.done || !task.runs.empty())
        continue;
      if (starts_.size() >= options_.max_starts ||
          !WithinCustomerLimit(job, spec))
        return;
      const jobs::TaskName name{job.id, candidate.occurrence, s, i};
      bool avoided = false;
      WorkerState* state =
          ChooseWorker(candidate, name, pool_workers, per_worker, &avoided);
      if (state == nullptr) {
        if (spec.long_running)
          ReserveCapacity(candidate, name, pool_workers, per_worker);
        // Other tasks of the step may start on the avoided workers.
        if (avoided)
          continue;
        return;
      }
      Allocate(job, spec, state);
      ++per_worker[state->worker->record.incarnation];
      starts_.push_back(
          {{name, task.last_run + 1}, state->worker->record.incarnation});
    }
  }

  // Reserves the worker with the most free capacity for a large task. In a
  // full pool each finished run frees less than the task needs, and small tasks
  // would take the capacity at once. Capacity that long-running tasks occupy
  // does not become free, so a worker is reserved only if the task fits beside
  // them.
  void ReserveCapacity(
      const Candidate& candidate,
      const jobs::TaskName& task,
      PoolWorkers* pool_workers,
      const std::map<jobs::WorkerIncarnation, std::int64_t>& per_worker) const {
    const jobs::StepSpec& spec = candidate.job->spec->steps[task.step];
    const Resources required = jobs::JobLedger::CapacityOf(spec);
    const bool has_alternative =
        HasAlternativeWorker(candidate, task, pool_workers, per_worker);
    WorkerState* best = nullptr;
    for (WorkerState& state : pool_workers->states) {
      // A worker that accepted no starts before this plan is not reserved; one
      // whose limit this plan has exhausted may be.
      const bool accepts_starts =
          state.limit_exhausted || StartLimitOf(state) > 0;
      const bool is_better =
          best == nullptr || state.free.cpu_millis > best->free.cpu_millis;
      if (!is_better || !accepts_starts || state.reserved ||
          !MayPlaceOn(spec, state, per_worker) ||
          !required.FitsInto(CapacityBesideLongRunningTasks(&state)) ||
          !IsAdvised(candidate, task, state.worker->record.incarnation) ||
          (has_alternative &&
           hooks_.has_failed_on(task, state.worker->record.incarnation))) {
        continue;
      }
      best = &state;
    }
    if (best != nullptr &&
        reservations_.MayReserve(candidate.queue->pool, now_)) {
      best->reserved = true;
    }
  }

  /// \returns the capacity of the worker without what long-running tasks use.
  [[nodiscard]] Resources CapacityBesideLongRunningTasks(
      WorkerState* state) const {
    if (!state->long_running_use)
      state->long_running_use = LongRunningUseOf(*state->worker);
    Resources capacity = state->worker->record.capacity;
    capacity -= *state->long_running_use;
    capacity -= state->long_running_starts;
    return capacity;
  }

  [[nodiscard]] Resources LongRunningUseOf(const jobs::Worker& worker) const {
    Resources use;
    if (worker.long_running_runs == 0)
      return use;
    for (const jobs::RunName& run : worker.runs) {
      const jobs::Job* job = ledger_.FindJob(run.task.job);
      // The run of a finished job is about to be stopped.
      if (job == nullptr || job->final() || !job->spec)
        continue;
      const jobs::StepSpec& spec = job->spec->steps[run.task.step];
      if (spec.long_running)
        use += jobs::JobLedger::CapacityOf(spec);
    }
    return use;
  }

  /// \returns whether the worker has the step's label and is below
  /// max_per_worker.
  [[nodiscard]] static bool MayPlaceOn(
      const jobs::StepSpec& spec,
      const WorkerState& state,
      const std::map<jobs::WorkerIncarnation, std::int64_t>& per_worker) {
    if (!state.worker->record.HasLabel(spec.required_label))
      return false;
    if (spec.max_per_worker == 0)
      return true;
    const auto count = per_worker.find(state.worker->record.incarnation);
    return count == per_worker.end() || count->second < spec.max_per_worker;
  }

  /// \returns whether the advice service allows the task on the worker, if its
  /// queue needs that.
  [[nodiscard]] bool IsAdvised(const Candidate& candidate,
                               const jobs::TaskName& task,
                               const jobs::WorkerIncarnation& worker) const {
    return !candidate.queue->advised || hooks_.is_advised(task, worker);
  }

  /// \returns whether the pool has a worker on which the task has not failed
  /// and may start soon. Short tasks make room for it; long-running tasks and
  /// other members of its gang do not.
  /// \param per_worker for a gang, the members that this plan starts.
  [[nodiscard]] bool HasAlternativeWorker(
      const Candidate& candidate,
      const jobs::TaskName& task,
      PoolWorkers* pool_workers,
      const std::map<jobs::WorkerIncarnation, std::int64_t>& per_worker) const {
    const jobs::StepSpec& spec = candidate.job->spec->steps[task.step];
    const Resources required = jobs::JobLedger::CapacityOf(spec);
    const bool limit_lasts = spec.long_running || spec.gang;
    return std::any_of(
        pool_workers->states.begin(), pool_workers->states.end(),
        [&](WorkerState& state) {
          const jobs::WorkerRecord& record = state.worker->record;
          if (state.reserved || !record.HasLabel(spec.required_label) ||
              (limit_lasts && !MayPlaceOn(spec, state, per_worker))) {
            return false;
          }
          Resources capacity = CapacityBesideLongRunningTasks(&state);
          if (const auto members = per_worker.find(record.incarnation);
              spec.gang && members != per_worker.end()) {
            for (std::int64_t i = 0; i < members->second; ++i)
              capacity -= required;
          }
          return required.FitsInto(capacity) &&
                 IsAdvised(candidate, task, record.incarnation) &&
                 !hooks_.has_failed_on(task, record.incarnation) &&
                 hooks_.accepts_soon(record.incarnation);
        });
  }

  // A gang is started all or nothing: an incomplete gang only occupies
  // capacity.
  void PlaceGang(const Candidate& candidate,
                 std::uint32_t s,
                 PoolWorkers* pool_workers) {
    const jobs::Job& job = *candidate.job;
    const jobs::StepSpec& spec = job.spec->steps[s];
    const jobs::Step& step = job.occurrences.at(candidate.occurrence).steps[s];
    if (step.placed > 0 || step.done > 0)
      return;
    std::uint32_t number = 0;
    for (const jobs::Task& task : step.tasks)
      number = std::max(number, task.last_run);
    const auto saved_usage = usage_;
    const PoolWorkers saved_workers = *pool_workers;
    const std::size_t saved_start_count = starts_.size();
    std::map<jobs::WorkerIncarnation, std::int64_t> per_worker;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
      const jobs::TaskName name{job.id, candidate.occurrence, s, i};
      bool avoided = false;
      WorkerState* state = WithinCustomerLimit(job, spec)
                               ? ChooseWorker(candidate, name, pool_workers,
                                              per_worker, &avoided)
                               : nullptr;
      if (state == nullptr) {
        usage_ = saved_usage;
        *pool_workers = saved_workers;
        starts_.resize(saved_start_count);
        return;
      }
      Allocate(job, spec, state);
      ++per_worker[state->worker->record.incarnation];
      starts_.push_back(
          {{name, number + 1}, state->worker->record.incarnation});
    }
  }

  [[nodiscard]] static std::map<jobs::WorkerIncarnation, std::int64_t>
  CountPerWorker(const jobs::Step& step, const jobs::StepSpec& spec) {
    std::map<jobs::WorkerIncarnation, std::int64_t> counts;
    if (spec.max_per_worker == 0)
      return counts;
    for (const jobs::Task& task : step.tasks) {
      for (const jobs::Run& run : task.runs)
        ++counts[run.worker];
    }
    return counts;
  }

  [[nodiscard]] bool WithinCustomerLimit(const jobs::Job& job,
                                         const jobs::StepSpec& spec) {
    const auto& customers = ledger_.config().customers;
    const auto customer = customers.find(job.customer);
    if (job.customer.empty() || customer == customers.end())
      return true;
    Resources used = CustomerUsage(job.customer);
    used += spec.request;
    const Resources& limit = customer->second.limit;
    const auto within = [](std::int64_t value, std::int64_t bound) {
      return bound == 0 || value <= bound;
    };
    return within(used.cpu_millis, limit.cpu_millis) &&
           within(used.memory_mb, limit.memory_mb) &&
           within(used.accelerators, limit.accelerators);
  }

  [[nodiscard]] Resources& CustomerUsage(const CustomerName& customer) {
    const auto [it, added] = usage_.try_emplace(customer);
    if (added)
      it->second = ledger_.UsageOf(customer);
    return it->second;
  }

  /// \brief Chooses the worker for a task.
  ///
  /// Bin packing: workers are filled one after another, for long-running tasks
  /// those that already run such tasks first, so that idle hosts can be moved
  /// or powered off and large tasks find capacity. Warm workers come before
  /// cold ones. A step with a data rack
  /// prefers that rack. Attempts of a long-running task are not limited, so it
  /// may return to a worker on which it failed if no other has free capacity
  /// now; other tasks wait for a limited time while another worker may become
  /// free.
  /// \param avoided set if the task waits because it failed on all workers with
  /// free capacity, or because all of them are quarantined.
  [[nodiscard]] WorkerState* ChooseWorker(
      const Candidate& candidate,
      const jobs::TaskName& task,
      PoolWorkers* pool_workers,
      const std::map<jobs::WorkerIncarnation, std::int64_t>& per_worker,
      bool* avoided) const {
    const jobs::StepSpec& spec = candidate.job->spec->steps[task.step];
    const Resources required = jobs::JobLedger::CapacityOf(spec);
    using Rank =
        std::tuple<bool, bool, std::int64_t, bool, std::int64_t, std::int64_t>;
    WorkerState* best = nullptr;
    Rank best_rank;
    WorkerState* best_avoided = nullptr;  // best one on which the task failed
    Rank best_avoided_rank;
    WorkerState* best_quarantined = nullptr;
    Rank best_quarantined_rank;
    if (!required.FitsInto(pool_workers->max_free))
      return nullptr;
    bool fits = false;
    for (WorkerState& state : pool_workers->states) {
      const jobs::WorkerRecord& record = state.worker->record;
      if (!required.FitsInto(state.free))
        continue;
      fits = true;
      if (state.reserved || !MayPlaceOn(spec, state, per_worker))
        continue;
      const bool in_data_rack =
          spec.data_rack.empty() || spec.data_rack == record.rack;
      const std::int64_t long_running_neighbours =
          spec.long_running && !spec.best_effort ? state.long_running_runs : 0;
      const Rank rank(state.warm, in_data_rack, long_running_neighbours,
                      state.occupied, -state.free.cpu_millis,
                      -state.free.memory_mb);
      // The hooks are expensive, so they are called last.
      if (best != nullptr && rank <= best_rank)
        continue;
      const bool accepts_starts = StartLimitOf(state) > 0;
      const bool may_be_last_resort =
          !accepts_starts && !state.limit_exhausted && best == nullptr &&
          (best_quarantined == nullptr || rank > best_quarantined_rank);
      if (!accepts_starts && !may_be_last_resort)
        continue;
      if (!IsAdvised(candidate, task, record.incarnation))
        continue;
      if (!accepts_starts) {
        if (hooks_.is_quarantined(record.incarnation)) {
          best_quarantined = &state;
          best_quarantined_rank = rank;
        }
        continue;
      }
      if (hooks_.has_failed_on(task, record.incarnation)) {
        if (best_avoided == nullptr || rank > best_avoided_rank) {
          best_avoided = &state;
          best_avoided_rank = rank;
        }
        continue;
      }
      best = &state;
      best_rank = rank;
    }
    if (!fits)
      UpdateMaxFree(pool_workers);
    if (best != nullptr)
      return best;
    if (best_avoided == nullptr) {
      return LastResort(candidate, task, pool_workers, per_worker,
                        best_quarantined, avoided);
    }
    if (spec.long_running ||
        !HasAlternativeWorker(candidate, task, pool_workers, per_worker) ||
        !MayWait(candidate, task)) {
      return best_avoided;
    }
    *avoided = true;
    return nullptr;
  }

  /// \brief Uses a quarantined worker for a task that no other worker can take
  /// soon: its failures may be those of other tasks.
  [[nodiscard]] WorkerState* LastResort(
      const Candidate& candidate,
      const jobs::TaskName& task,
      PoolWorkers* pool_workers,
      const std::map<jobs::WorkerIncarnation, std::int64_t>& per_worker,
      WorkerState* quarantined,
      bool* avoided) const {
    if (quarantined == nullptr ||
        HasAlternativeWorker(candidate, task, pool_workers, per_worker)) {
      return nullptr;
    }
    if (MayWait(candidate, task)) {
      *avoided = true;
      return nullptr;
    }
    quarantined->start_limit = 1;
    return quarantined;
  }

  // The members of a gang start together, so they wait together.
  [[nodiscard]] bool MayWait(const Candidate& candidate,
                             const jobs::TaskName& task) const {
    const auto& tasks =
        candidate.job->occurrences.at(task.occurrence).steps[task.step].tasks;
    if (!candidate.job->spec->steps[task.step].gang)
      return avoidances_.MayWait(task, tasks[task.index].last_run, now_);
    jobs::TaskName first = task;
    first.index = 0;
    std::uint32_t last_run = 0;
    for (const jobs::Task& member : tasks)
      last_run = std::max(last_run, member.last_run);
    return avoidances_.MayWait(first, last_run, now_);
  }

  void Allocate(const jobs::Job& job,
                const jobs::StepSpec& spec,
                WorkerState* state) {
    state->free -= jobs::JobLedger::CapacityOf(spec);
    if (spec.long_running) {
      ++state->long_running_runs;
      state->long_running_starts += jobs::JobLedger::CapacityOf(spec);
    }
    state->occupied = true;
    state->limit_exhausted = --StartLimitOf(*state) == 0;
    CustomerUsage(job.customer) += spec.request;
  }

  const jobs::JobLedger& ledger_;
  const TaskPlannerOptions& options_;
  const PlannerHooks& hooks_;
  ReservationClock& reservations_;
  AvoidanceClock& avoidances_;
  jobs::UnixMillis now_;
  std::unordered_map<PoolName, PoolWorkers> pool_workers_;
  std::map<CustomerName, Resources> usage_;
  std::vector<jobs::StartRecord> starts_;
  std::map<PoolName, overload::PoolBacklog> backlogs_;
  std::set<CustomerName> over_share_;
};

}  // namespace

std::vector<jobs::StartRecord> TaskPlanner::Plan(const jobs::JobLedger& ledger,
                                                 const PlannerHooks& hooks,
                                                 jobs::UnixMillis now) {
  avoidances_.Prune(now);
  PlanBuilder builder(ledger, options_, hooks, &reservations_, &avoidances_,
                      now);
  std::vector<jobs::StartRecord> starts = builder.Build();
  backlogs_ = builder.TakeBacklogs();
  over_share_ = builder.TakeOverShare();
  return starts;
}

}  // namespace boragewinch::scheduler
