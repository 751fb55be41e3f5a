#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "base/invariant.h"
#include "entry/entry_core.h"

namespace boragewinch {

namespace {

// A worker that responded `busy` is tried again after this. Its next report can
// be a whole heartbeat interval away, and its tasks often end sooner.
constexpr Millis kBusyRetryDelay{100};
// Bounds the work of one input; the next tick continues.
constexpr int kMaxStartsPerPass = 64;

}  // namespace

QueuedJob EntryCore::ToQueuedJob(const RequestRecord& record) const {
  QueuedJob job;
  job.id = record.id;
  job.team = record.spec.team;
  job.queue = record.spec.queue;
  if (const auto queue = view_.queues.find(record.spec.queue);
      queue != view_.queues.end()) {
    job.pool = queue->second.pool;
  }
  job.customer = record.spec.customer;
  job.declared = record.spec.declared;
  job.declared_run_time = record.spec.declared_run_time;
  job.urgency = record.spec.urgency;
  job.repeatable = record.spec.repeatable;
  job.submitted = record.created;
  job.deadline = record.deadline;
  return job;
}

void EntryCore::Enqueue(RequestRecord& record, TimePoint now) {
  table_.SetPhase(record, Phase::kQueued, now);
  hooks_.enqueue(ToQueuedJob(record), now);
  dirty_ = true;
  UpdateDueTime(record);
}

void EntryCore::DispatchQueued(TimePoint now) {
  if (isolated(now) || view_.version == 0 || !allotments_.confirmed())
    return;
  // While stopping, queued work is left to the peer that takes it over.
  if (stopping_) {
    for (const EntryName& name : peers_.zone_peers()) {
      if (peers_.reachable(name, now))
        return;
    }
  }
  std::map<PoolName, bool> pool_has_candidates;
  std::set<RequestId> unplaceable;
  const auto startable = [&](const QueuedJob& job) {
    if (!allotments_.HasFreeUnit(job.team) || unplaceable.contains(job.id))
      return false;
    const RequestRecord* record = table_.FindOwned(job.id);
    if (record == nullptr)
      return false;
    const auto queue = view_.queues.find(job.queue);
    if (queue == view_.queues.end())
      return false;
    // The backup must store a non-repeatable request before its intent.
    if (!record->spec.repeatable && record->backup &&
        record->backup->acknowledged == 0) {
      return false;
    }
    const PoolName& pool = queue->second.pool;
    const auto [has_candidates, added] =
        pool_has_candidates.try_emplace(pool, false);
    if (added)
      has_candidates->second = !workers_.Candidates(pool, view_, now).empty();
    return has_candidates->second;
  };
  for (int i = 0; i < kMaxStartsPerPass; ++i) {
    const auto id = hooks_.next(now, startable);
    if (!id)
      return;
    RequestRecord* record = table_.FindOwned(*id);
    if (record == nullptr || record->phase != Phase::kQueued)
      continue;
    if (!Dispatch(*record, now)) {
      unplaceable.insert(*id);
      hooks_.enqueue(ToQueuedJob(*record), now);
    }
    pool_has_candidates.clear();
  }
  dirty_ = true;
}

bool EntryCore::Dispatch(RequestRecord& record, TimePoint now) {
  const QueuedJob job = ToQueuedJob(record);
  const auto candidates = workers_.Candidates(job.pool, view_, now);
  const auto host = hooks_.choose_worker(job, candidates, now);
  WorkerEntry* worker = host ? workers_.Find(*host) : nullptr;
  if (worker == nullptr)
    return false;
  record.intent =
      Intent{std::max(record.intent.attempt + 1, record.next_attempt), *host,
             worker->report.incarnation, worker->report.address};
  record.move.reset();
  // Counted before anything is sent, so that two starts can't use one unit.
  allotments_.Count(
      record.task(),
      CountedTask{record.spec.team, *host, {}, std::nullopt, now});
  worker->own_tasks[record.task()] = record.spec.declared;
  table_.SetPhase(record, Phase::kIntending, now);
  BumpRevision(record, now);
  // A repeatable request may run twice, so it need not wait for the backup.
  if (record.spec.repeatable || record.replicated())
    Start(record, now);
  UpdateDueTime(record);
  return true;
}

bool EntryCore::MayStart(const RequestRecord& record, TimePoint now) {
  const WorkerEntry* worker = workers_.Find(record.intent.worker);
  const auto queue = view_.queues.find(record.spec.queue);
  if (isolated(now) || worker == nullptr || queue == view_.queues.end())
    return false;
  return worker->report.incarnation == record.intent.worker_incarnation &&
         workers_.Usable(*worker, queue->second.pool, view_, now) &&
         allotments_.confirmed() &&
         allotments_.in_use(record.spec.team) <=
             allotments_.allotment(record.spec.team);
}

void EntryCore::Start(RequestRecord& record, TimePoint now) {
  if (!MayStart(record, now)) {
    ReleaseTask(record);
    Requeue(record, now);
    return;
  }
  const WorkerEntry& worker = *workers_.Find(record.intent.worker);
  const Queue& queue = view_.queues.find(record.spec.queue)->second;
  const Host& host = view_.hosts.find(record.intent.worker)->second;
  const bool once = CheckInvariant(
      Invariant::kAtMostOnce,
      record.spec.repeatable || (record.replicated() && !record.may_have_run),
      "a non-repeatable start needs the backup's acknowledgement");
  const bool within_limit =
      CheckInvariant(Invariant::kTeamLimit,
                     allotments_.tasks().contains(record.task()) &&
                         allotments_.in_use(record.spec.team) <=
                             allotments_.allotment(record.spec.team),
                     "a start must be counted within the team's allotment");
  const bool stays = CheckInvariant(
      Invariant::kLeavingWorker,
      !workers_.leaving(worker) && !worker.report.acknowledged_drain,
      "a leaving worker gets no start");
  if (!once || !within_limit || !stays) {
    ReleaseTask(record);
    Requeue(record, now);
    return;
  }
  LogEvent(EventId::kRequestIntended, {{"task", record.task().Text()},
                                       {"host", record.intent.worker.str()}});
  ++counters_.starts;
  record.started = true;
  record.lease_until = now + config_.start_timeout + GranterLease(kTaskLease);
  record.missing_reports = 0;
  table_.SetPhase(record, Phase::kStarting, now);
  Emit(StartTask{record.intent.worker, record.intent.worker_address,
                 record.intent.worker_incarnation, record.task(), record.spec,
                 queue.pool, host.assignment, kTaskLease, record.progress});
  hooks_.on_started(ToQueuedJob(record), record.intent.worker, now);
  UpdateDueTime(record);
}

// Releases a task that is known to have ended or never to have started.
void EntryCore::ReleaseTask(const RequestRecord& record) {
  allotments_.Release(record.task());
  if (WorkerEntry* worker = workers_.Find(record.intent.worker);
      worker != nullptr) {
    worker->own_tasks.erase(record.task());
    // The newest report still lists the task. Its slot counts as free now; the
    // worker rejects a start that comes too early.
    for (TaskReport& task : worker->report.tasks) {
      if (task.task == record.task())
        task.state = TaskState::kFinished;
    }
    if (worker->start_blocked_until != TimePoint::max())
      worker->start_blocked_until = TimePoint();
  }
  dirty_ = true;
}

void EntryCore::Requeue(RequestRecord& record, TimePoint now) {
  if (record.cancel_requested) {
    BeginClose(record, Outcome::kCancelled, RefusalReason::kNone, now);
  } else if (now >= record.deadline) {
    table_.SetPhase(record, Phase::kQueued, now);
    BeginClose(record, Outcome::kRefusedNotRun, RefusalReason::kDeadline, now);
  } else {
    Enqueue(record, now);
  }
}

void EntryCore::MarkUnconfirmed(RequestRecord& record,
                                Millis forbid_after,
                                TimePoint now) {
  table_.SetPhase(record, Phase::kUnconfirmed, now);
  record.next_forbid = now + forbid_after;
  record.forbid_attempts = 0;
  UpdateDueTime(record);
}

// The worker guarantees that the attempt will not run.
void EntryCore::HandleNotRun(RequestRecord& record, TimePoint now) {
  ReleaseTask(record);
  record.started = record.may_have_run;
  // The task may have run earlier, and the worker no longer knows it.
  if (record.may_have_run && !record.spec.repeatable)
    End(record, Closing{Outcome::kUnknownMayHaveRun}, now);
  else
    Requeue(record, now);
}

void EntryCore::OnStartResponse(const TaskId& task,
                                const HostName& host,
                                const Result<StartReply>& reply,
                                TimePoint now) {
  BeginInput(now);
  RequestRecord* found = table_.FindOwned(task.request);
  if (found == nullptr || found->phase != Phase::kStarting ||
      found->task() != task || found->intent.worker != host) {
    return;
  }
  RequestRecord& record = *found;
  WorkerEntry* worker = workers_.Find(host);
  // The worker may have received the start at any time until now.
  record.lease_until = now + GranterLease(kTaskLease);
  if (!reply || reply.value().incarnation != record.intent.worker_incarnation) {
    workers_.StartFailed(host, view_, now);
    // The next heartbeat shows a task that has started.
    MarkUnconfirmed(record, kHeartbeatInterval * 2, now);
    return;
  }
  switch (reply.value().response) {
    case StartResponse::kStarted:
      workers_.StartSucceeded(host);
      LogEvent(EventId::kRequestStarted, {{"task", task.Text()}});
      table_.SetPhase(record, Phase::kRunning, now);
      UpdateDueTime(record);
      break;
    case StartResponse::kDuplicate:
      MarkUnconfirmed(record, Millis(0), now);
      break;
    case StartResponse::kBadTask:
      workers_.StartFailed(host, view_, now);
      if (++record.rejected_starts >= config_.max_rejected_starts) {
        ReleaseTask(record);
        record.started = record.may_have_run;
        table_.SetPhase(record, Phase::kQueued, now);
        BeginClose(record, Outcome::kRefusedNotRun, RefusalReason::kMalformed,
                   now);
        break;
      }
      HandleNotRun(record, now);
      break;
    case StartResponse::kBusy:
    case StartResponse::kLeaving:
      HandleNotRun(record, now);
      // A busy worker may have a free slot soon. A leaving or replaced one is
      // not tried again before its next report.
      if (worker != nullptr) {
        worker->start_blocked_until =
            reply.value().response == StartResponse::kBusy
                ? now + kBusyRetryDelay
                : TimePoint::max();
      }
      break;
  }
  FinishInput(now);
}

void EntryCore::OnForbidResponse(const TaskId& task,
                                 const HostName& host,
                                 const Result<ForbidResponse>& response,
                                 TimePoint now) {
  BeginInput(now);
  RequestRecord* record = table_.FindOwned(task.request);
  if (record == nullptr || record->phase != Phase::kUnconfirmed ||
      record->task() != task || record->intent.worker != host || !response ||
      response.value().incarnation != record->intent.worker_incarnation) {
    // Another incarnation of the worker knows nothing of the start; the attempt
    // ends with its lease.
    return;
  }
  switch (response.value().state) {
    case ForbidState::kForbidden:
      HandleNotRun(*record, now);
      break;
    case ForbidState::kRunning:
      table_.SetPhase(*record, Phase::kRunning, now);
      record->missing_reports = 0;
      UpdateDueTime(*record);
      break;
    case ForbidState::kEnded:
      break;
  }
  FinishInput(now);
}

// The attempt's lease expired without a renewal, so it no longer runs.
void EntryCore::HandleLeaseExpiry(RequestRecord& record, TimePoint now) {
  ReleaseTask(record);
  record.may_have_run = true;
  if (!record.spec.repeatable) {
    End(record, Closing{Outcome::kUnknownMayHaveRun}, now);
    return;
  }
  table_.SetPhase(record, Phase::kQueued, now);
  if (record.cancel_requested) {
    End(record, Closing{Outcome::kCancelled}, now);
    return;
  }
  // An accepted request that had started is retried even past its deadline.
  record.deadline = std::max(record.deadline, now + kTaskLease);
  Enqueue(record, now);
}

// Callers are told "not run" only after the backup has acknowledged it.
void EntryCore::BeginClose(RequestRecord& record,
                           Outcome outcome,
                           RefusalReason reason,
                           TimePoint now) {
  if (record.phase == Phase::kIntending)
    ReleaseTask(record);
  hooks_.remove(record.id);
  Closing closing{outcome, reason};
  if (record.may_have_run) {
    if (outcome == Outcome::kRefusedNotRun)
      closing.outcome = Outcome::kUnknownMayHaveRun;
    table_.SetPhase(record, Phase::kQueued, now);
    End(record, std::move(closing), now);
    return;
  }
  table_.SetClosing(record, std::move(closing));
  table_.SetPhase(record, Phase::kClosing, now);
  unreplicated_.erase(record.id);
  BumpRevision(record, now);
  if (record.replicated())
    OnReplicated(record, now);
  UpdateDueTime(record);
}

void EntryCore::End(RequestRecord& record, Closing closing, TimePoint now) {
  if (record.phase == Phase::kQueued)
    hooks_.remove(record.id);
  const bool had_task = record.has_task();
  const bool agreed = record.phase == Phase::kClosing &&
                      closing.outcome == record.closing.outcome;
  if (closing.outcome == Outcome::kRefusedNotRun) {
    const bool true_refusal =
        record.replicated() && !record.may_have_run && !had_task;
    if (!CheckInvariant(Invariant::kNotRunIsTrue, true_refusal,
                        "a refusal needs the backup's acknowledgement")) {
      closing.outcome = Outcome::kUnknownMayHaveRun;
    }
  }
  LogEvent(closing.outcome == Outcome::kUnknownMayHaveRun
               ? EventId::kRequestUnknown
               : EventId::kRequestEnded,
           {{"request", record.id.str()},
            {"outcome", kOutcomes.Name(closing.outcome)},
            {"reason", kRefusalReasons.Name(closing.reason)}});
  if (had_task) {
    hooks_.on_ended({record.id, record.intent.worker, closing.outcome,
                     std::chrono::duration_cast<Millis>(now - record.since),
                     UsageOf(record)},
                    now);
  }
  unreplicated_.erase(record.id);
  if (closing.outcome != Outcome::kUnknownMayHaveRun)
    table_.SetProgress(record, {});
  table_.SetClosing(record, std::move(closing));
  table_.SetPhase(record, Phase::kEnded, now);
  if (!agreed)
    BumpRevision(record, now);
  AnswerWaiters(record);
  UpdateDueTime(record);
}

Resources EntryCore::UsageOf(const RequestRecord& record) const {
  const WorkerEntry* worker = workers_.Find(record.intent.worker);
  if (worker != nullptr) {
    for (const TaskReport& task : worker->report.tasks) {
      if (task.task == record.task())
        return task.usage;
    }
  }
  return record.spec.declared;
}

bool EntryCore::Preempt(const RequestId& request, TimePoint now) {
  BeginInput(now);
  RequestRecord* record = table_.FindOwned(request);
  const bool allowed = record != nullptr && record->spec.repeatable &&
                       record->phase == Phase::kRunning;
  if (allowed) {
    Emit(StopTask{record->intent.worker, record->intent.worker_address,
                  record->task()});
  }
  FinishInput(now);
  return allowed;
}

// Sets when the record is next due for a resend or a timeout.
void EntryCore::UpdateDueTime(RequestRecord& record) {
  TimePoint due = TimePoint::max();
  const auto at = [&due](TimePoint time) { due = std::min(due, time); };
  if (!record.owner && !record.replicated())
    at(record.backup->next_send);
  switch (record.phase) {
    case Phase::kStoring:
      if (record.spec.repeatable)
        at(record.since + config_.replication_timeout);
      at(record.deadline);
      break;
    case Phase::kQueued:
    case Phase::kIntending:
      if (!record.owner)
        at(record.deadline);
      break;
    case Phase::kStarting:
      at(record.since + config_.start_timeout);
      break;
    case Phase::kUnconfirmed:
      at(record.next_forbid);
      at(record.lease_until);
      break;
    case Phase::kRunning:
      at(record.lease_until);
      break;
    case Phase::kClosing:
      at(record.since + config_.closing_timeout);
      break;
    case Phase::kEnded:
      at(record.since + config_.result_retention);
      break;
  }
  table_.SetDue(record, due);
}

void EntryCore::HandleDue(RequestRecord& record, TimePoint now) {
  if (!record.owner && !record.replicated() && now >= record.backup->next_send)
    SendToBackup(record, now);
  switch (record.phase) {
    case Phase::kStoring:
      if (now >= record.deadline) {
        BeginClose(record, Outcome::kRefusedNotRun, RefusalReason::kDeadline,
                   now);
      } else if (record.spec.repeatable &&
                 now >= record.since + config_.replication_timeout) {
        OnReplicated(record, now);
      }
      break;
    case Phase::kQueued:
    case Phase::kIntending:
      if (!record.owner && now >= record.deadline) {
        BeginClose(record, Outcome::kRefusedNotRun, RefusalReason::kDeadline,
                   now);
      }
      break;
    case Phase::kStarting:
      if (now >= record.since + config_.start_timeout) {
        record.lease_until = now + GranterLease(kTaskLease);
        MarkUnconfirmed(record, Millis(0), now);
      }
      break;
    case Phase::kUnconfirmed:
      if (now >= record.lease_until) {
        HandleLeaseExpiry(record, now);
      } else if (now >= record.next_forbid) {
        Emit(ForbidTask{record.intent.worker, record.intent.worker_address,
                        record.task()});
        record.next_forbid =
            now + config_.initial_backoff +
            BackoffDelay(config_.initial_backoff, config_.max_backoff,
                         record.forbid_attempts++, random_);
      }
      break;
    case Phase::kRunning:
      if (now >= record.lease_until)
        HandleLeaseExpiry(record, now);
      break;
    case Phase::kClosing:
      if (now >= record.since + config_.closing_timeout)
        End(record, Closing{Outcome::kUnknownMayHaveRun}, now);
      break;
    case Phase::kEnded:
      if (now >= record.since + config_.result_retention) {
        table_.Erase(record.id);
        return;
      }
      break;
  }
  UpdateDueTime(record);
}

}  // namespace boragewinch
