#include "scheduler/task_planner.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace boragewinch::scheduler {

namespace {

/// Assumed duration of a task without an estimate.
constexpr Millis kUnknownEstimate{1'000};

[[nodiscard]] Millis EstimateOf(const jobs::StepSpec& step) {
  return step.estimate.count() > 0 ? step.estimate : kUnknownEstimate;
}

/// Room on a worker, less what this plan has given away.
struct Seat {
  const jobs::Worker* worker = nullptr;
  Resources free;
  /// Tasks that may start on it now; asked for when a task would fit.
  mutable std::optional<std::size_t> start_limit;
  std::int64_t lasting = 0;  ///< long-running tasks on it
  bool occupied = false;
  bool used_up = false;  ///< this plan has used its start_limit
  bool kept = false;     ///< its free room is kept for a task that waits for it
};

/// The workers of a pool that do not drain.
struct SeatRow {
  std::vector<Seat> seats;
  /// No worker has more room than this; what does not fit into it need not be
  /// tried on each of them.
  Resources most_free;
};

struct Candidate {
  const jobs::Job* job = nullptr;
  const jobs::QueueRule* queue = nullptr;
  std::uint32_t occurrence = 0;
  bool lasting = false;  ///< a long-running task waits
  bool late = false;
  jobs::UnixMillis deadline = 0;
};

/// State of one plan.
class PlanRun {
 public:
  PlanRun(const jobs::JobLedger& ledger,
          const TaskPlannerOptions& options,
          const PlannerHooks& hooks,
          jobs::UnixMillis now)
      : ledger_(ledger), options_(options), hooks_(hooks), now_(now) {}

  [[nodiscard]] std::vector<jobs::StartNote> Make() {
    for (const Candidate& candidate : Ordered()) {
      PlaceJob(candidate);
      if (starts_.size() >= options_.max_starts)
        break;
    }
    return std::move(starts_);
  }

 private:
  [[nodiscard]] std::vector<Candidate> Ordered() const {
    std::vector<Candidate> candidates;
    for (const jobs::Job* job : ledger_.startable()) {
      const jobs::QueueRule* queue = ledger_.rules().FindQueue(job->queue);
      if (queue == nullptr)
        continue;
      for (const auto& [number, occurrence] : job->occurrences) {
        bool waits = false;
        bool lasting = false;
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
          const bool has_waiting = occurrence.steps[s].waiting() > 0;
          waits = waits || has_waiting;
          lasting =
              lasting || (has_waiting && job->spec->steps[s].long_running);
        }
        if (!waits)
          continue;
        const jobs::UnixMillis from =
            job->spec->repeats > 0 ? job->spec->due(number) : job->accepted;
        const jobs::UnixMillis deadline = ObjectiveOf(*job, *queue, from);
        const double left =
            options_.chain_margin *
            static_cast<double>(RemainingChain(*job, occurrence).count());
        const bool late = now_ + static_cast<jobs::UnixMillis>(left) > deadline;
        candidates.push_back({job, queue, number, lasting, late, deadline});
      }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate& a, const Candidate& b) {
                // A long-running task serves its users only while it is at
                // work.
                const bool a_after = !a.lasting;
                const bool b_after = !b.lasting;
                return std::tie(a_after, a.queue->priority, a.late, a.deadline,
                                a.job->id) < std::tie(b_after,
                                                      b.queue->priority, b.late,
                                                      b.deadline, b.job->id);
              });
    return candidates;
  }

  /// \returns the row of a pool, made when the first task asks for it.
  [[nodiscard]] SeatRow* RowOf(const PoolName& pool) {
    const auto [place, added] = rows_.try_emplace(pool);
    SeatRow* row = &place->second;
    if (!added)
      return row;
    const jobs::WorkerSet& workers = ledger_.WorkersOf(pool);
    row->seats.reserve(workers.size());
    for (const jobs::Worker* worker : workers) {
      if (worker->note.draining)
        continue;
      Resources free = worker->note.capacity;
      free -= worker->used;
      row->seats.push_back({worker, free, std::nullopt, worker->lasting,
                            !worker->runs.empty(), false, false});
    }
    NoteMostFree(row);
    return row;
  }

  static void NoteMostFree(SeatRow* row) {
    Resources most;
    for (const Seat& seat : row->seats) {
      most.cpu_millis = std::max(most.cpu_millis, seat.free.cpu_millis);
      most.memory_mb = std::max(most.memory_mb, seat.free.memory_mb);
      most.accelerators = std::max(most.accelerators, seat.free.accelerators);
    }
    row->most_free = most;
  }

  [[nodiscard]] std::size_t& StartLimitOf(const Seat& seat) const {
    if (!seat.start_limit)
      seat.start_limit = hooks_.start_limit(seat.worker->note.life);
    return *seat.start_limit;
  }

  void PlaceJob(const Candidate& candidate) {
    const jobs::Job& job = *candidate.job;
    SeatRow* row = RowOf(candidate.queue->pool);
    if (row->seats.empty())
      return;
    const auto& occurrence = job.occurrences.at(candidate.occurrence);
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
      if (occurrence.steps[s].waiting() == 0 || !job.StepReady(occurrence, s))
        continue;
      if (job.spec->steps[s].gang)
        PlaceGang(candidate, s, row);
      else
        PlaceStep(candidate, s, row);
    }
  }

  void PlaceStep(const Candidate& candidate, std::uint32_t s, SeatRow* row) {
    const jobs::Job& job = *candidate.job;
    const jobs::StepSpec& spec = job.spec->steps[s];
    const jobs::Step& step = job.occurrences.at(candidate.occurrence).steps[s];
    auto per_worker = CountPerWorker(step, spec);
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
      const jobs::Task& task = step.tasks[i];
      if (task.done || !task.runs.empty())
        continue;
      if (starts_.size() >= options_.max_starts || !CustomerHasRoom(job, spec))
        return;
      const jobs::TaskName name{job.id, candidate.occurrence, s, i};
      bool avoided = false;
      Seat* seat = Choose(candidate, name, row, per_worker, &avoided);
      if (seat == nullptr) {
        if (spec.long_running)
          KeepRoom(candidate, name, row, per_worker);
        // The others of the step may start where this one has failed.
        if (avoided)
          continue;
        return;
      }
      Take(job, spec, seat);
      ++per_worker[seat->worker->note.life];
      starts_.push_back({{name, task.last_run + 1}, seat->worker->note.life});
    }
  }

  // In a full pool each end frees less room than a large task needs, and small
  // ones would take it at once: the worker with the most free room is kept.
  void KeepRoom(
      const Candidate& candidate,
      const jobs::TaskName& task,
      SeatRow* row,
      const std::map<jobs::WorkerLife, std::int64_t>& per_worker) const {
    const jobs::StepSpec& spec = candidate.job->spec->steps[task.step];
    const bool elsewhere = MayGoElsewhere(candidate, task);
    Seat* best = nullptr;
    for (Seat& seat : row->seats) {
      // A worker that took nothing when the plan began is not kept; one that
      // this plan has filled up may be.
      const bool takes = seat.used_up || StartLimitOf(seat) > 0;
      if (!takes || seat.kept || !MayHold(spec, seat, per_worker) ||
          !jobs::JobLedger::RoomOf(spec).FitsInto(seat.worker->note.capacity) ||
          (elsewhere && hooks_.avoids(task, seat.worker->note.life))) {
        continue;
      }
      if (best == nullptr || seat.free.cpu_millis > best->free.cpu_millis)
        best = &seat;
    }
    if (best != nullptr)
      best->kept = true;
  }

  /// \returns whether the worker has the step's label and fewer of its tasks
  /// than it allows.
  [[nodiscard]] static bool MayHold(
      const jobs::StepSpec& spec,
      const Seat& seat,
      const std::map<jobs::WorkerLife, std::int64_t>& per_worker) {
    if (!HasLabel(seat.worker->note, spec.required_label))
      return false;
    if (spec.max_per_worker == 0)
      return true;
    const auto count = per_worker.find(seat.worker->note.life);
    return count == per_worker.end() || count->second < spec.max_per_worker;
  }

  /// \returns whether the pool has a worker that the task has not failed on.
  /// For a long-running task, which may be tried without end, only those count
  /// that take work now.
  [[nodiscard]] bool MayGoElsewhere(const Candidate& candidate,
                                    const jobs::TaskName& task) const {
    const jobs::StepSpec& spec = candidate.job->spec->steps[task.step];
    const Resources need = jobs::JobLedger::RoomOf(spec);
    const auto suits = [&](const jobs::WorkerNote& note) {
      return need.FitsInto(note.capacity) &&
             HasLabel(note, spec.required_label) &&
             !hooks_.avoids(task, note.life);
    };
    if (spec.long_running) {
      const auto row = rows_.find(candidate.queue->pool);
      return row != rows_.end() &&
             std::any_of(row->second.seats.begin(), row->second.seats.end(),
                         [&](const Seat& seat) {
                           return (seat.used_up || StartLimitOf(seat) > 0) &&
                                  suits(seat.worker->note);
                         });
    }
    const jobs::WorkerSet& workers = ledger_.WorkersOf(candidate.queue->pool);
    return std::any_of(workers.begin(), workers.end(),
                       [&](const jobs::Worker* worker) {
                         return !worker->note.draining && suits(worker->note);
                       });
  }

  // A gang is started whole or not at all: a member without the others only
  // holds room.
  void PlaceGang(const Candidate& candidate, std::uint32_t s, SeatRow* row) {
    const jobs::Job& job = *candidate.job;
    const jobs::StepSpec& spec = job.spec->steps[s];
    const jobs::Step& step = job.occurrences.at(candidate.occurrence).steps[s];
    if (step.placed > 0 || step.done > 0)
      return;
    std::uint32_t number = 0;
    for (const jobs::Task& task : step.tasks)
      number = std::max(number, task.last_run);
    const auto kept_usage = usage_;
    const SeatRow kept_row = *row;
    const std::size_t kept_starts = starts_.size();
    std::map<jobs::WorkerLife, std::int64_t> per_worker;
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
      const jobs::TaskName name{job.id, candidate.occurrence, s, i};
      bool avoided = false;
      Seat* seat = CustomerHasRoom(job, spec)
                       ? Choose(candidate, name, row, per_worker, &avoided)
                       : nullptr;
      if (seat == nullptr) {
        usage_ = kept_usage;
        *row = kept_row;
        starts_.resize(kept_starts);
        return;
      }
      Take(job, spec, seat);
      ++per_worker[seat->worker->note.life];
      starts_.push_back({{name, number + 1}, seat->worker->note.life});
    }
  }

  [[nodiscard]] static std::map<jobs::WorkerLife, std::int64_t> CountPerWorker(
      const jobs::Step& step,
      const jobs::StepSpec& spec) {
    std::map<jobs::WorkerLife, std::int64_t> counts;
    if (spec.max_per_worker == 0)
      return counts;
    for (const jobs::Task& task : step.tasks) {
      for (const jobs::Run& run : task.runs)
        ++counts[run.worker];
    }
    return counts;
  }

  [[nodiscard]] bool CustomerHasRoom(const jobs::Job& job,
                                     const jobs::StepSpec& spec) {
    const auto& customers = ledger_.rules().customers;
    const auto rule = customers.find(job.customer);
    if (job.customer.empty() || rule == customers.end())
      return true;
    Resources used = Usage(job.customer);
    used += spec.request;
    const Resources& limit = rule->second.limit;
    const auto within = [](std::int64_t value, std::int64_t bound) {
      return bound == 0 || value <= bound;
    };
    return within(used.cpu_millis, limit.cpu_millis) &&
           within(used.memory_mb, limit.memory_mb) &&
           within(used.accelerators, limit.accelerators);
  }

  [[nodiscard]] Resources& Usage(const CustomerName& customer) {
    const auto [place, added] = usage_.try_emplace(customer);
    if (added)
      place->second = ledger_.UsageOf(customer);
    return place->second;
  }

  // Workers are filled one after the other, the ones with long-running tasks
  // first: hosts without runs can follow the demand or be switched off, and
  // large tasks find room. A step whose data belongs to a rack takes that rack
  // first. A long-running task may be tried without end, so it takes a worker
  // that it failed on where no other has room now; another task waits while its
  // pool has any other worker that suits.
  /// \param avoided whether a worker with room was passed over for that.
  [[nodiscard]] Seat* Choose(
      const Candidate& candidate,
      const jobs::TaskName& task,
      SeatRow* row,
      const std::map<jobs::WorkerLife, std::int64_t>& per_worker,
      bool* avoided) const {
    const jobs::StepSpec& spec = candidate.job->spec->steps[task.step];
    const Resources need = jobs::JobLedger::RoomOf(spec);
    using Rank =
        std::tuple<bool, std::int64_t, bool, std::int64_t, std::int64_t>;
    Seat* best = nullptr;
    Rank best_rank;
    Seat* failed = nullptr;  // the best of those that it failed on
    Rank failed_rank;
    if (!need.FitsInto(row->most_free))
      return nullptr;
    bool fits = false;
    for (Seat& seat : row->seats) {
      const jobs::WorkerNote& note = seat.worker->note;
      if (!need.FitsInto(seat.free))
        continue;
      fits = true;
      if (seat.kept || !MayHold(spec, seat, per_worker))
        continue;
      const bool near = spec.data_rack.empty() || spec.data_rack == note.rack;
      const std::int64_t company =
          spec.long_running && !spec.fills ? seat.lasting : 0;
      const Rank rank(near, company, seat.occupied, -seat.free.cpu_millis,
                      -seat.free.memory_mb);
      // The hooks are the costly part.
      if ((best != nullptr && rank <= best_rank) || StartLimitOf(seat) == 0)
        continue;
      if (candidate.queue->advised && !hooks_.is_advised(task, note.life))
        continue;
      if (hooks_.avoids(task, note.life)) {
        if (failed == nullptr || rank > failed_rank) {
          failed = &seat;
          failed_rank = rank;
        }
        continue;
      }
      best = &seat;
      best_rank = rank;
    }
    if (!fits)
      NoteMostFree(row);
    if (best != nullptr || failed == nullptr)
      return best;
    if (spec.long_running || !MayGoElsewhere(candidate, task))
      return failed;
    *avoided = true;
    return nullptr;
  }

  [[nodiscard]] static bool HasLabel(const jobs::WorkerNote& note,
                                     const std::string& label) {
    return label.empty() || std::find(note.labels.begin(), note.labels.end(),
                                      label) != note.labels.end();
  }

  void Take(const jobs::Job& job, const jobs::StepSpec& spec, Seat* seat) {
    seat->free -= jobs::JobLedger::RoomOf(spec);
    seat->lasting += spec.long_running ? 1 : 0;
    seat->occupied = true;
    seat->used_up = --StartLimitOf(*seat) == 0;
    Usage(job.customer) += spec.request;
  }

  const jobs::JobLedger& ledger_;
  const TaskPlannerOptions& options_;
  const PlannerHooks& hooks_;
  jobs::UnixMillis now_;
  std::unordered_map<PoolName, SeatRow> rows_;
  std::map<CustomerName, Resources> usage_;
  std::vector<jobs::StartNote> starts_;
};

}  // namespace

namespace {

/// \returns the longest chain of the steps for which `counts` holds.
template <typename Counts>
[[nodiscard]] Millis LongestChain(const jobs::JobSpec& spec,
                                  const Counts& counts) {
  std::array<Millis, jobs::kMaxSteps> ends;
  Millis longest{0};
  for (std::size_t s = 0; s < spec.steps.size(); ++s) {
    Millis begin{0};
    for (const std::uint32_t earlier : spec.steps[s].depends_on)
      begin = std::max(begin, ends[earlier]);
    ends.at(s) = begin + (counts(s) ? EstimateOf(spec.steps[s]) : Millis(0));
    longest = std::max(longest, ends.at(s));
  }
  return longest;
}

}  // namespace

Millis RemainingChain(const jobs::Job& job,
                      const jobs::Occurrence& occurrence) {
  return LongestChain(*job.spec, [&](std::size_t s) {
    return !occurrence.steps[s].complete();
  });
}

jobs::UnixMillis ObjectiveOf(const jobs::Job& job,
                             const jobs::QueueRule& queue,
                             jobs::UnixMillis from) {
  const Millis longest =
      LongestChain(*job.spec, [](std::size_t) { return true; });
  return from +
         static_cast<jobs::UnixMillis>(queue.stretch *
                                       static_cast<double>(longest.count())) +
         queue.latency_target.count();
}

std::vector<jobs::StartNote> TaskPlanner::Plan(const jobs::JobLedger& ledger,
                                               const PlannerHooks& hooks,
                                               jobs::UnixMillis now) const {
  return PlanRun(ledger, options_, hooks, now).Make();
}

}  // namespace boragewinch::scheduler
