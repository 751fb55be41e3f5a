// The part of WorkerFleet that judges workers by the ends and durations of
// their runs.

#include "scheduler/worker_fleet.h"

#include <algorithm>
#include <string>
#include <vector>

#include "base/event_log.h"

namespace boragewinch::scheduler {

Millis WorkerFleet::SlowAfter(const jobs::RunName& run) const {
  const jobs::Job* job = replica_.ledger().FindJob(run.task.job);
  if (job == nullptr || !job->spec)
    return Millis::max();
  const jobs::StepSpec& step = job->spec->steps[run.task.step];
  // Members of a gang wait for each other, and data on another rack slows a
  // task down: the worker is not the cause of either.
  if (step.long_running || step.gang || step.best_effort ||
      !step.data_rack.empty())
    return Millis::max();
  return durations_.SlowAfter(job->queue, step.estimate);
}

void WorkerFleet::EvaluateEnd(const jobs::Worker& worker,
                              const WorkerSession& session,
                              const jobs::EndRecord& end,
                              TimePoint now) {
  if (end.how == jobs::RunEnd::kFailed) {
    RecordHealth(worker, false, now);
    std::erase_if(failed_on_, [&](const auto& item) {
      return replica_.ledger().FindTask(item.first) == nullptr;
    });
    failed_on_[AttemptOf(end.run.task)].insert(end.worker);
    return;
  }
  const auto track = session.tracks().find(end.run);
  // A run that was marked slow has been counted already.
  if (end.how != jobs::RunEnd::kDone || track == session.tracks().end() ||
      track->second.slow || track->second.starts_sent == 0) {
    return;
  }
  const Millis took = now - track->second.since;
  RecordHealth(worker, took <= SlowAfter(end.run), now);
  const jobs::Job* job = replica_.ledger().FindJob(end.run.task.job);
  if (job == nullptr || !job->spec)
    return;
  const jobs::StepSpec& step = job->spec->steps[end.run.task.step];
  durations_.OnDone(job->queue, step.estimate, took);
  // The time of a long-running task says nothing about its work.
  if (!step.long_running)
    expected_durations_.OnDone(job->queue, step.estimate, took);
}

TimePoint WorkerFleet::FindSlowRuns(const jobs::Worker& worker,
                                    WorkerSession* session,
                                    TimePoint now) {
  const jobs::WorkerIncarnation incarnation = worker.record.incarnation;
  std::vector<jobs::RunName> slow;
  TimePoint next = TimePoint::max();
  for (const auto& [run, track] : session->tracks()) {
    // Without a recent response, the end of the run may not be known yet.
    if (track.phase != RunPhase::kConfirmed || track.starts_sent == 0 ||
        track.stop_requested || !session->HasRespondedRecently(now)) {
      continue;
    }
    const Millis slow_after = track.slow ? Millis::min() : SlowAfter(run);
    if (now - track.since > slow_after)
      slow.push_back(run);
    else if (slow_after != Millis::max())
      next = std::min(next, track.since + slow_after + Millis(1));
  }
  for (const jobs::RunName& run : slow) {
    if (session->MarkSlow(run)) {
      LogEvent(EventId::kRunSlow, {{"run", run.task.Text()},
                                   {"number", std::to_string(run.number)},
                                   {"worker", incarnation.Text()}});
      metrics_.Count("runs_slow", {"", worker.record.pool.str()});
      RecordHealth(worker, false, now);
    }
    if (health_.State(HealthNameOf(incarnation), now) ==
        HealthState::kQuarantined)
      Stop(run, incarnation, "worker_slow");
  }
  return next;
}

void WorkerFleet::RecordHealth(const jobs::Worker& worker,
                               bool ok,
                               TimePoint now) {
  const HostName name = HealthNameOf(worker.record.incarnation);
  const HealthState before = health_.State(name, now);
  // At most half of a pool may be quarantined: a fault of the jobs themselves
  // affects all workers.
  const auto pool_size = static_cast<std::int64_t>(
      replica_.ledger().WorkersOf(worker.record.pool).size());
  health_.SetBudget(worker.record.pool, pool_size / 2);
  const HealthState after = health_.OnStart(name, worker.record.pool, ok, now);
  if (!ok)
    CheckSoon(worker.record.incarnation);
  if (after != before) {
    LogEvent(EventId::kWorkerHealthChanged,
             {{"worker", worker.record.incarnation.Text()},
              {"state", std::string(kHealthStates.Name(after))}});
  }
}

}  // namespace boragewinch::scheduler
