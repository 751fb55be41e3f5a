// The part of WorkerFleet that observes speculative copies.

#include "base/event_log.h"
#include "scheduler/worker_fleet.h"

namespace boragewinch::scheduler {

void WorkerFleet::RecordEarlierCopies() {
  const jobs::JobLedger& ledger = replica_.ledger();
  for (const jobs::TaskName& name : ledger.copied_tasks()) {
    const jobs::Task* task = ledger.FindTask(name);
    if (task == nullptr || task->done || task->runs.size() < 2)
      continue;
    const jobs::Job& job = *ledger.FindJob(name.job);
    copies_.OnCopy({name, task->runs.back().number}, task->runs.front().number,
                   job.spec->steps[name.step].request.cpu_millis);
  }
}

void WorkerFleet::RecordCopies(const jobs::Batch& batch, TimePoint now) {
  const jobs::JobLedger& ledger = replica_.ledger();
  for (const jobs::StartRecord& start : batch.starts) {
    const jobs::Task* task = ledger.FindTask(start.run.task);
    if (task == nullptr || task->runs.size() < 2 ||
        task->runs.back().number != start.run.number) {
      continue;
    }
    const jobs::Run& original = task->runs.front();
    const jobs::Job& job = *ledger.FindJob(start.run.task.job);
    const jobs::StepSpec& spec = job.spec->steps[start.run.task.step];
    copies_.OnCopy(start.run, original.number, spec.request.cpu_millis);
    const Millis elapsed =
        ElapsedOf({start.run.task, original.number}, original.worker, now)
            .value_or(Millis(0));
    LogEvent(EventId::kCopyStarted,
             {{"run", start.run.task.Text()},
              {"number", std::to_string(start.run.number)},
              {"worker", start.worker.Text()},
              {"of", std::to_string(original.number)},
              {"on", original.worker.Text()},
              {"elapsed_ms", static_cast<long>(elapsed.count())},
              {"expected_ms",
               static_cast<long>(
                   ExpectedDuration(job.queue, spec.estimate).count())}});
    const jobs::Worker* worker = ledger.FindWorker(start.worker);
    metrics_.Count("copies_started",
                   {"", worker == nullptr ? "" : worker->record.pool.str()});
  }
}

void WorkerFleet::RecordCopyEnds(const jobs::Batch& batch, TimePoint now) {
  if (copies_.size() == 0)
    return;
  for (const jobs::EndRecord& end : batch.ends) {
    // A run that an earlier batch has ended has no track any more.
    const WorkerSession* session = FindSession(end.worker);
    if (session == nullptr)
      continue;
    const auto track = session->tracks().find(end.run);
    if (track == session->tracks().end())
      continue;
    const TimePoint started = track->second.starts_sent > 0
                                  ? track->second.start_sent
                                  : track->second.since;
    const auto outcome = copies_.OnEnd(end.run, end.how, now - started);
    if (!outcome)
      continue;
    const jobs::Worker* worker = replica_.ledger().FindWorker(end.worker);
    const MetricLabels labels{
        "", worker == nullptr ? "" : worker->record.pool.str()};
    LogEvent(
        EventId::kCopyEnded,
        {{"run", end.run.task.Text()},
         {"first", std::string(overload::kFirstRuns.Name(outcome->first))},
         {"wasted_core_ms", static_cast<long>(outcome->wasted_core_millis)}});
    if (outcome->first == overload::FirstRun::kCopy)
      metrics_.Count("copies_ended_first", labels);
    metrics_.Count("copies_wasted_core_ms", labels,
                   outcome->wasted_core_millis);
  }
  // Runs of a worker that has departed have no ends.
  copies_.Retain([this](const jobs::TaskName& name) {
    const jobs::Task* task = replica_.ledger().FindTask(name);
    return task != nullptr && !task->runs.empty();
  });
}

}  // namespace boragewinch::scheduler
