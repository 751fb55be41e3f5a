#include "jobs/job_ledger.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace boragewinch::jobs {

bool Job::StepReady(const Occurrence& occurrence, std::size_t step) const {
  const auto& earlier = spec->steps[step].depends_on;
  return std::all_of(earlier.begin(), earlier.end(), [&](std::uint32_t before) {
    return occurrence.steps[before].complete();
  });
}

Resources JobLedger::CapacityOf(const StepSpec& step) {
  Resources capacity = step.request;
  if (step.best_effort)
    capacity.cpu_millis = 0;
  return capacity;
}

const Job* JobLedger::FindJob(const JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

Job* JobLedger::MutableJob(const JobId& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const Worker* JobLedger::FindWorker(
    const WorkerIncarnation& incarnation) const {
  const auto found = workers_.find(incarnation);
  return found == workers_.end() ? nullptr : &found->second;
}

const Worker* JobLedger::FindCurrent(const WorkerId& id) const {
  // Incarnations of one id are adjacent, the latest last.
  auto after = workers_.lower_bound(
      WorkerIncarnation{id, std::numeric_limits<UnixMillis>::max()});
  if (after == workers_.begin())
    return nullptr;
  const auto& [incarnation, worker] = *std::prev(after);
  return incarnation.id == id ? &worker : nullptr;
}

bool JobLedger::HasPredecessor(const WorkerIncarnation& incarnation) const {
  const auto found = departed_.find(incarnation.id);
  return found != departed_.end() &&
         found->second.start_time < incarnation.start_time;
}

const Task* JobLedger::FindTask(const TaskName& name) const {
  const Job* job = FindJob(name.job);
  if (job == nullptr)
    return nullptr;
  const auto occurrence = job->occurrences.find(name.occurrence);
  if (occurrence == job->occurrences.end() ||
      name.step >= occurrence->second.steps.size()) {
    return nullptr;
  }
  const Step& step = occurrence->second.steps[name.step];
  return name.index < step.tasks.size() ? &step.tasks[name.index] : nullptr;
}

const Run* JobLedger::FindRun(const RunName& name) const {
  const Task* task = FindTask(name.task);
  if (task == nullptr)
    return nullptr;
  const auto found =
      std::find_if(task->runs.begin(), task->runs.end(),
                   [&](const Run& run) { return run.number == name.number; });
  return found == task->runs.end() ? nullptr : &*found;
}

bool JobLedger::HasRun(const RunName& run,
                       const WorkerIncarnation& worker) const {
  const Task* task = FindTask(run.task);
  return task != nullptr &&
         std::any_of(task->runs.begin(), task->runs.end(), [&](const Run& r) {
           return r.number == run.number && r.worker == worker;
         });
}

Resources JobLedger::UsageOf(const CustomerName& customer) const {
  const auto found = usage_.find(customer);
  return found == usage_.end() ? Resources{} : found->second;
}

const QueueConfig* JobLedger::QueueOf(const Job& job) const {
  if (const QueueConfig* queue = config_.FindQueue(job.queue))
    return queue;
  const auto retired = retired_queues_.find(job.queue);
  return retired == retired_queues_.end() ? nullptr : &retired->second;
}

std::int64_t JobLedger::QueuedOf(const QueueName& queue) const {
  const auto found = queued_.find(queue);
  return found == queued_.end() ? 0 : found->second;
}

QueueLoad JobLedger::LoadOf(const QueueName& queue) const {
  const auto found = loads_.find(queue);
  return found == loads_.end() ? QueueLoad{} : found->second;
}

std::int64_t JobLedger::OpenTasksOf(const Job& job) {
  std::int64_t open = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const Step& step = occurrence.steps[i];
      if (!job.spec->steps[i].long_running)
        open += static_cast<std::int64_t>(step.tasks.size()) - step.done;
    }
  }
  return open;
}

void JobLedger::Apply(const Batch& batch) {
  ++applied_;
  changed_workers_.clear();
  ForgetOld(batch.now);
  if (batch.config && batch.config->version > config_.version)
    ApplyConfig(*batch.config);
  for (const Submission& submission : batch.submissions)
    ApplySubmission(submission, batch.now);
  for (const JobId& id : batch.cancels)
    ApplyCancel(id, batch.now);
  for (const UnseenCancel& cancel : batch.unseen_cancels)
    ApplyUnseenCancel(cancel, batch.now);
  for (const OpeningRecord& opening : batch.openings)
    ApplyOpening(opening, batch.now);
  for (const RunName& run : batch.begun)
    ApplyBegun(run);
  for (const RunName& run : batch.confirmed)
    ApplyConfirmed(run);
  for (const EndRecord& end : batch.ends)
    ApplyEnd(end, batch.now);
  // After the ends: a worker that leaves or is replaced may have listed the
  // ends of its runs just before.
  for (const WorkerRecord& record : batch.workers)
    ApplyWorker(record, batch.now);
  for (const ZoneChange& change : batch.zone_changes)
    ApplyZoneChange(change, batch.now);
  ApplyStarts(batch.starts, batch.now);
  for (const WaveOrder& order : batch.waves)
    waves_.try_emplace(order.number, Wave{order, batch.now, {}});
  for (const HostOrderRecord& order : batch.host_orders)
    host_orders_[order.host] = {order, batch.now};
  for (const WaveProgress& progress : batch.progress) {
    if (const auto wave = waves_.find(progress.wave); wave != waves_.end())
      wave->second.begun.insert(progress.host);
  }
  std::sort(changed_workers_.begin(), changed_workers_.end());
  changed_workers_.erase(
      std::unique(changed_workers_.begin(), changed_workers_.end()),
      changed_workers_.end());
}

// Callers know a queue by its virtual host and path prefix; a later
// configuration may give it another name. Jobs of a queue that is gone were
// accepted, so they still start on the pool that it had.
void JobLedger::ApplyConfig(const FleetConfig& config) {
  using Prefix = std::pair<std::string_view, std::string_view>;
  const auto prefix_of = [](const QueueConfig& queue) {
    return Prefix(queue.virtual_host, queue.path_prefix);
  };
  std::map<Prefix, const QueueConfig*> by_prefix;
  std::map<QueueName, const QueueConfig*> by_name;
  for (const QueueConfig& queue : config.queues) {
    by_prefix[prefix_of(queue)] = &queue;
    by_name[queue.name] = &queue;
  }
  std::set<Prefix> earlier;
  for (const QueueConfig& queue : config_.queues)
    earlier.insert(prefix_of(queue));

  std::map<QueueName, QueueName> renamed;
  std::vector<QueueConfig> gone;
  const auto succeed = [&](const QueueConfig& queue) {
    if (const auto found = by_prefix.find(prefix_of(queue));
        found != by_prefix.end()) {
      if (found->second->name != queue.name)
        renamed[queue.name] = found->second->name;
      return;
    }
    const auto named = by_name.find(queue.name);
    // A new prefix under the old name, unless the name has passed to another
    // queue.
    if (named != by_name.end() && earlier.count(prefix_of(*named->second)) == 0)
      return;
    gone.push_back(queue);
    if (named != by_name.end()) {
      gone.back().name = QueueName(queue.name.str() + " of " +
                                   queue.virtual_host + queue.path_prefix);
      renamed[queue.name] = gone.back().name;
    }
  };
  for (const QueueConfig& queue : config_.queues)
    succeed(queue);
  for (const auto& [name, queue] : std::exchange(retired_queues_, {}))
    succeed(queue);
  if (!renamed.empty())
    RenameQueues(renamed);
  if (!gone.empty()) {
    std::set<QueueName> in_use;
    for (const JobId& id : active_)
      in_use.insert(jobs_.at(id).queue);
    for (const QueueConfig& queue : gone) {
      if (in_use.count(queue.name) > 0)
        retired_queues_.emplace(queue.name, queue);
    }
  }
  config_ = config;
  ForgetUnused();
}

void JobLedger::RenameQueues(const std::map<QueueName, QueueName>& names) {
  const auto rename = [&names](const QueueName& name) {
    const auto found = names.find(name);
    return found == names.end() ? name : found->second;
  };
  for (auto& [id, job] : jobs_)
    job.queue = rename(job.queue);
  // Two queues may have swapped their names.
  for (const auto& [name, count] : std::exchange(queued_, {}))
    queued_[rename(name)] += count;
  for (const auto& [name, load] : std::exchange(loads_, {})) {
    QueueLoad& to = loads_[rename(name)];
    to.open_tasks += load.open_tasks;
    to.ended_tasks += load.ended_tasks;
  }
}

void JobLedger::ForgetOld(UnixMillis now) {
  while (!departures_.empty() &&
         now - departures_.begin()->first > kDepartureMemory.count()) {
    departed_.erase(departures_.begin()->second);
    departures_.erase(departures_.begin());
  }
  for (auto it = finished_jobs_.begin(); it != finished_jobs_.end();) {
    const auto& [finished, id] = *it;
    if (now - finished <= kFinishedJobMemory.count() &&
        finished_jobs_.size() <= kMaxFinishedJobs) {
      break;
    }
    // Runs of a finished job are stopped soon; they are found by their job.
    if (jobs_.at(id).runs > 0) {
      ++it;
      continue;
    }
    jobs_.erase(id);
    it = finished_jobs_.erase(it);
  }
}

void JobLedger::ForgetUnused() {
  const auto is_gone = [this](const QueueName& queue) {
    return config_.FindQueue(queue) == nullptr &&
           retired_queues_.count(queue) == 0;
  };
  std::erase_if(queued_, [&](const auto& item) {
    return item.second == 0 && is_gone(item.first);
  });
  std::erase_if(loads_, [&](const auto& item) {
    return item.second.open_tasks == 0 && is_gone(item.first);
  });
  std::erase_if(usage_, [this](const auto& item) {
    return item.second == Resources{} &&
           config_.customers.count(item.first) == 0;
  });
}

// A configuration may have been stored since the submission was accepted. If it
// removed the queue, the job is not stored: nothing would ever start it.
void JobLedger::ApplySubmission(const Submission& submission, UnixMillis now) {
  const bool by_name = submission.path_prefix.empty();
  const QueueConfig* queue =
      by_name ? config_.FindQueue(submission.queue)
              : config_.FindQueueOfPrefix(submission.virtual_host,
                                          submission.path_prefix);
  if (queue == nullptr && !by_name)
    return;
  const auto [it, added] = jobs_.try_emplace(submission.id);
  if (!added)
    return;
  Job& job = it->second;
  job.id = submission.id;
  job.queue = queue != nullptr ? queue->name : submission.queue;
  job.customer = submission.customer;
  job.spec = std::make_shared<const JobSpec>(submission.spec);
  job.accepted = now;
  if (queue != nullptr)
    job.max_attempts = queue->max_attempts;
  active_.insert(job.id);
  ++queued_[job.queue];
  if (job.spec->repeats == 0)
    OpenOccurrence(&job, 0, now);
  IndexJob(&job);
  // A late copy of the submission: the caller was told that the job is unknown,
  // so nothing of it may run.
  if (unseen_cancels_.erase({job.id, submission.virtual_host,
                             submission.path_prefix, job.customer}) > 0) {
    Finish(&job, JobState::kCanceled, now);
  }
}

void JobLedger::ApplyCancel(const JobId& id, UnixMillis now) {
  if (Job* job = MutableJob(id); job != nullptr && !job->final())
    Finish(job, JobState::kCanceled, now);
}

void JobLedger::ApplyUnseenCancel(const UnseenCancel& cancel, UnixMillis now) {
  std::erase_if(unseen_cancels_, [now](const auto& item) {
    return now - item.second > kUnseenCancelMemory.count();
  });
  if (Job* job = MutableJob(cancel.id); job != nullptr) {
    // The submission was stored first.
    if (job->customer == cancel.customer && !job->final())
      Finish(job, JobState::kCanceled, now);
  } else if (unseen_cancels_.size() < kMaxUnseenCancels) {
    unseen_cancels_[cancel] = now;
  }
}

void JobLedger::ApplyOpening(const OpeningRecord& opening, UnixMillis now) {
  Job* job = MutableJob(opening.job);
  if (job == nullptr || job->final() ||
      opening.occurrence != job->next_occurrence ||
      opening.occurrence >= job->spec->occurrences()) {
    return;
  }
  OpenOccurrence(job, opening.occurrence, now);
}

void JobLedger::OpenOccurrence(Job* job,
                               std::uint32_t occurrence,
                               UnixMillis now) {
  Occurrence opened;
  opened.opened = now;
  opened.steps.resize(job->spec->steps.size());
  for (std::size_t i = 0; i < opened.steps.size(); ++i) {
    opened.steps[i].tasks.resize(
        static_cast<std::size_t>(job->spec->steps[i].tasks));
    if (!job->spec->steps[i].long_running)
      loads_[job->queue].open_tasks += job->spec->steps[i].tasks;
  }
  job->occurrences[occurrence] = std::move(opened);
  job->next_occurrence = occurrence + 1;
  IndexJob(job);
}

bool JobLedger::RemoveRun(Job* job,
                          const RunName& run,
                          const WorkerIncarnation& worker) {
  const auto occurrence = job->occurrences.find(run.task.occurrence);
  if (occurrence == job->occurrences.end())
    return false;
  Step& step = occurrence->second.steps[run.task.step];
  Task& task = step.tasks[run.task.index];
  const auto it =
      std::find_if(task.runs.begin(), task.runs.end(), [&](const Run& r) {
        return r.number == run.number && r.worker == worker;
      });
  if (it == task.runs.end())
    return false;
  task.runs.erase(it);
  --job->runs;
  if (task.runs.empty() && !task.done)
    --step.placed;
  IndexCopies(run.task, task);
  const StepSpec& spec = job->spec->steps[run.task.step];
  usage_[job->customer] -= spec.request;
  if (const auto found = workers_.find(worker); found != workers_.end()) {
    found->second.used -= CapacityOf(spec);
    found->second.runs.erase(run);
    found->second.inherited.erase(run);
    found->second.long_running_runs -= spec.long_running ? 1 : 0;
    if (job->final() || task.done)
      AddObsoleteRuns(worker, -1);
    changed_workers_.push_back(worker);
  }
  IndexJob(job);
  return true;
}

void JobLedger::ApplyEnd(const EndRecord& end, UnixMillis now) {
  if (end.end_sequence > 0) {
    const auto worker = workers_.find(end.worker);
    if (worker == workers_.end() ||
        end.end_sequence <= worker->second.last_end_sequence) {
      return;
    }
    worker->second.last_end_sequence = end.end_sequence;
  }
  Job* job = MutableJob(end.run.task.job);
  if (job == nullptr || !job->spec)
    return;
  const TaskName& name = end.run.task;
  const auto occurrence = job->occurrences.find(name.occurrence);
  if (occurrence == job->occurrences.end() ||
      name.step >= occurrence->second.steps.size() ||
      name.index >= occurrence->second.steps[name.step].tasks.size()) {
    return;
  }
  const bool existed = RemoveRun(job, end.run, end.worker);
  // An inferred end has no effect once the run has ended.
  if (!existed && end.end_sequence == 0)
    return;
  if (ReportedByWorker(end.how))
    MarkBegun(job);
  Step& step = occurrence->second.steps[name.step];
  Task& task = step.tasks[name.index];
  const StepSpec& spec = job->spec->steps[name.step];
  task.last_run = std::max(task.last_run, end.run.number);
  StoreCheckpoint(spec, end, &step);
  if (!job->final() && !spec.long_running && !task.done) {
    if (end.how == RunEnd::kDone)
      CompleteTask(job, name, now);
    else if (end.how == RunEnd::kFailed)
      CountFailure(job, end.run, now);
  }
  Compact(job);
}

void JobLedger::StoreCheckpoint(const StepSpec& spec,
                                const EndRecord& end,
                                Step* step) {
  if (end.checkpoint.empty())
    return;
  if (!spec.gang) {
    step->tasks[end.run.task.index].checkpoint = end.checkpoint;
    return;
  }
  // A checkpoint of any member is valid for all of them, and all have to be
  // started from the same one, also those whose run ended without a report. The
  // late end of an earlier run must not change what a run in progress carries.
  const bool later_run = std::any_of(
      step->tasks.begin(), step->tasks.end(),
      [&end](const Task& member) { return member.last_run > end.run.number; });
  if (later_run)
    return;
  for (Task& member : step->tasks)
    member.checkpoint = end.checkpoint;
}

// Earlier versions stored a checkpoint for each member; they may differ.
void JobLedger::ShareCheckpoint(Step* step) {
  const auto found = std::find_if(
      step->tasks.begin(), step->tasks.end(),
      [](const Task& member) { return !member.checkpoint.empty(); });
  if (found == step->tasks.end())
    return;
  const std::string checkpoint = found->checkpoint;
  for (Task& member : step->tasks)
    member.checkpoint = checkpoint;
}

// All members of a gang end together, so one end completes all of them.
void JobLedger::CompleteTask(Job* job, const TaskName& name, UnixMillis now) {
  Occurrence& occurrence = job->occurrences.at(name.occurrence);
  Step& step = occurrence.steps[name.step];
  const auto complete = [&](Task* task) {
    if (task->done)
      return;
    task->done = true;
    if (!task->runs.empty())
      --step.placed;
    ++step.done;
    QueueLoad& load = loads_[job->queue];
    --load.open_tasks;
    ++load.ended_tasks;
    for (const Run& run : task->runs)
      AddObsoleteRuns(run.worker, 1);
  };
  if (job->spec->steps[name.step].gang) {
    for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
      Task& member = step.tasks[i];
      TaskName member_name = name;
      member_name.index = i;
      const std::vector<Run> runs = member.runs;
      for (const Run& run : runs)
        RemoveRun(job, {member_name, run.number}, run.worker);
      complete(&member);
    }
  } else {
    complete(&step.tasks[name.index]);
    IndexCopies(name, step.tasks[name.index]);
  }
  IndexJob(job);
  const bool occurrence_done =
      std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                  [](const Step& s) { return s.complete(); });
  if (!occurrence_done)
    return;
  ++job->completed_occurrences;
  if (job->completed_occurrences == job->spec->occurrences())
    Finish(job, JobState::kCompleted, now);
}

void JobLedger::CountFailure(Job* job, const RunName& run, UnixMillis now) {
  const auto& [name, number] = run;
  Step& step = job->occurrences.at(name.occurrence).steps[name.step];
  const bool gang = job->spec->steps[name.step].gang;
  if (gang && number <= step.last_failed_gang_run)
    return;
  if (gang)
    step.last_failed_gang_run = number;
  const std::uint32_t failures =
      gang ? ++step.gang_failures : ++step.tasks[name.index].failures;
  if (failures >= job->max_attempts)
    Finish(job, JobState::kFailed, now);
}

void JobLedger::Finish(Job* job, JobState state, UnixMillis now) {
  if (job->state == JobState::kQueued)
    --queued_[job->queue];
  loads_[job->queue].open_tasks -= OpenTasksOf(*job);
  CountObsoleteRuns(*job);
  job->state = state;
  job->finished = now;
  finished_jobs_.emplace(now, job->id);
  active_.erase(job->id);
  IndexJob(job);
  Compact(job);
}

// An occurrence is kept only while it is incomplete or a run may be running.
void JobLedger::Compact(Job* job) {
  if (job->final()) {
    if (job->runs == 0) {
      job->occurrences.clear();
      job->spec.reset();
    }
    return;
  }
  for (auto it = job->occurrences.begin(); it != job->occurrences.end();) {
    const auto settled = [](const Step& step) {
      return step.complete() &&
             std::all_of(step.tasks.begin(), step.tasks.end(),
                         [](const Task& task) { return task.runs.empty(); });
    };
    const auto& steps = it->second.steps;
    if (std::all_of(steps.begin(), steps.end(), settled))
      it = job->occurrences.erase(it);
    else
      ++it;
  }
}

// A worker runs a task once at a time: a second start would replace the number
// of its run.
bool JobLedger::AcceptsRun(const StepSpec& spec,
                           const Task& task,
                           const WorkerIncarnation& worker) {
  return task.runs.empty() || (MayBeCopied(spec) && task.runs.size() == 1 &&
                               task.runs.front().worker.id != worker.id);
}

void JobLedger::ApplyStart(const StartRecord& start, UnixMillis now) {
  Job* job = MutableJob(start.run.task.job);
  const auto worker = workers_.find(start.worker);
  if (job == nullptr || job->final() || worker == workers_.end() ||
      FindTask(start.run.task) == nullptr) {
    return;
  }
  const TaskName& name = start.run.task;
  Step& step = job->occurrences.at(name.occurrence).steps[name.step];
  Task& task = step.tasks[name.index];
  const StepSpec& spec = job->spec->steps[name.step];
  if (task.done || start.run.number <= task.last_run ||
      !AcceptsRun(spec, task, start.worker)) {
    return;
  }
  if (spec.gang && step.placed == 0)
    ShareCheckpoint(&step);
  if (task.runs.empty())
    ++step.placed;
  task.last_run = start.run.number;
  task.runs.push_back({start.run.number, start.worker, now});
  IndexCopies(name, task);
  ++job->runs;
  usage_[job->customer] += spec.request;
  worker->second.used += CapacityOf(spec);
  worker->second.runs.insert(start.run);
  worker->second.long_running_runs += spec.long_running ? 1 : 0;
  changed_workers_.push_back(start.worker);
  IndexJob(job);
}

void JobLedger::ApplyBegun(const RunName& run) {
  if (const Task* task = FindTask(run.task);
      task != nullptr && run.number <= task->last_run) {
    MarkBegun(MutableJob(run.task.job));
  }
}

void JobLedger::ApplyConfirmed(const RunName& run) {
  ApplyBegun(run);
  if (FindRun(run) == nullptr)
    return;
  Occurrence& occurrence =
      MutableJob(run.task.job)->occurrences.at(run.task.occurrence);
  for (Run& found : occurrence.steps[run.task.step].tasks[run.task.index].runs)
    found.confirmed = found.confirmed || found.number == run.number;
}

void JobLedger::MarkBegun(Job* job) {
  if (job->state != JobState::kQueued)
    return;
  job->state = JobState::kRunning;
  --queued_[job->queue];
}

}  // namespace boragewinch::jobs
