#include <algorithm>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "base/hash.h"
#include "base/invariant.h"
#include "entry/entry_core.h"
#include "entry/request_id.h"

namespace boragewinch {

namespace {

// A report may have been generated before the start that it does not list.
constexpr std::uint32_t kMissingReportsBeforeForbid = 3;

}  // namespace

WorkerReportResponse EntryCore::OnWorkerReport(const WorkerReport& report,
                                               TimePoint now) {
  BeginInput(now);
  WorkerReportResponse response;
  if (const auto host = view_.hosts.find(report.host);
      host != view_.hosts.end()) {
    response.drain = host->second.state != HostState::kActive &&
                     host->second.state != HostState::kReturning;
    response.pool = host->second.pool;
    response.assignment = host->second.assignment;
  }
  if (!workers_.Report(report, now))
    return response;
  dirty_ = true;
  for (const TaskReport& task : report.tasks) {
    if (RequestRecord* record = table_.FindOwned(task.task.request);
        record != nullptr) {
      HandleReportedTask(*record, task, report, response, now);
      continue;
    }
    // A task whose record this process created and has dropped since.
    const auto parts = RequestIdParts::Parse(task.task.request);
    const bool forgotten = parts && parts.value().entry == config_.name &&
                           parts.value().incarnation == config_.incarnation &&
                           table_.Find(task.task.request) == nullptr &&
                           !new_owners_.contains(task.task.request);
    if (forgotten && task.state == TaskState::kRunning)
      response.stop.push_back(task.task);
    else if (forgotten && task.state != TaskState::kForbidden)
      response.acknowledged.push_back(task.task);
  }
  HandleUnlistedTasks(report, now);
  FinishInput(now);
  return response;
}

void EntryCore::HandleReportedTask(RequestRecord& record,
                                   const TaskReport& task,
                                   const WorkerReport& report,
                                   WorkerReportResponse& response,
                                   TimePoint now) {
  const bool current_attempt = task.task.attempt == record.intent.attempt &&
                               report.host == record.intent.worker;
  switch (task.state) {
    case TaskState::kRunning:
      HandleRunningTask(record, task, report, response, now);
      return;
    case TaskState::kForbidden:
      if (current_attempt && record.phase == Phase::kUnconfirmed &&
          report.incarnation == record.intent.worker_incarnation) {
        HandleNotRun(record, now);
      }
      return;
    case TaskState::kStopped:
      if (current_attempt && record.has_task()) {
        if (AwaitsProgress(record, now))
          return;
        ReleaseTask(record);
        if (!record.cancel_requested && record.spec.repeatable) {
          Resume(record, now);
        } else {
          End(record,
              Closing{record.cancel_requested ? Outcome::kCancelled
                                              : Outcome::kFailed},
              now);
        }
      }
      break;
    case TaskState::kFinished:
    case TaskState::kFailed:
      break;
  }
  const bool result_stored =
      record.phase == Phase::kEnded &&
      record.closing.outcome != Outcome::kUnknownMayHaveRun &&
      record.replicated();
  const bool stale = task.task.attempt < record.intent.attempt;
  if (stale || result_stored)
    response.acknowledged.push_back(task.task);
}

void EntryCore::HandleRunningTask(RequestRecord& record,
                                  const TaskReport& task,
                                  const WorkerReport& report,
                                  WorkerReportResponse& response,
                                  TimePoint now) {
  const bool current_attempt = task.task.attempt == record.intent.attempt &&
                               report.host == record.intent.worker;
  const bool unknown = record.phase == Phase::kEnded &&
                       record.closing.outcome == Outcome::kUnknownMayHaveRun;
  // A later attempt was started by the former owner.
  const bool later = task.task.attempt > record.intent.attempt &&
                     record.taken_over && record.phase == Phase::kQueued;
  if ((current_attempt && unknown) || later)
    Adopt(record, task, report, now);
  else if (!current_attempt || !record.has_task()) {
    response.stop.push_back(task.task);
    return;
  }
  record.missing_reports = 0;
  if (record.phase != Phase::kRunning) {
    workers_.StartSucceeded(report.host);
    table_.SetPhase(record, Phase::kRunning, now);
  }
  if (record.cancel_requested) {
    response.stop.push_back(task.task);
  } else if (!isolated(now)) {
    response.renewed.push_back(task.task);
    record.lease_until = now + GranterLease(kTaskLease);
    MoveOffDrainingHost(record, now);
  }
  UpdateDueTime(record);
}

// Moves a long-running repeatable task off its draining host: the worker stops
// it and returns its progress, and it is queued again. A task that is expected
// to end soon stays; one past its declared run time is not expected to.
void EntryCore::MoveOffDrainingHost(RequestRecord& record, TimePoint now) {
  const auto host = view_.hosts.find(record.intent.worker);
  if (!record.spec.repeatable || stopping_ || host == view_.hosts.end() ||
      host->second.state != HostState::kDraining) {
    return;
  }
  const FleetVersion drain = host->second.assignment;
  if (!record.move || record.move->drain != drain) {
    const auto ran = now - record.since;
    const auto left = record.spec.declared_run_time - ran;
    if (ran < config_.drain_move_after ||
        (left > Millis(0) && left < config_.drain_move_after)) {
      return;
    }
    record.move = TaskMove{drain};
  }
  TaskMove& move = *record.move;
  if (move.settled || now < move.next_send)
    return;
  move.next_send = now + config_.start_timeout;
  ++counters_.checkpoints_sent;
  Emit(CheckpointTask{record.intent.worker, record.intent.worker_address,
                      record.task()});
}

void EntryCore::OnCheckpointResponse(const TaskId& task,
                                     const HostName& host,
                                     const Result<CheckpointResponse>& response,
                                     TimePoint now) {
  BeginInput(now);
  RequestRecord* record = table_.FindOwned(task.request);
  if (record == nullptr || !record->move || record->task() != task ||
      record->intent.worker != host) {
    return;
  }
  TaskMove& move = *record->move;
  if (!response) {
    // A worker that has stopped the task responds `not_running` to the retry.
    move.next_send =
        now + BackoffDelay(config_.initial_backoff, config_.max_backoff,
                           move.attempts++, random_);
    return;
  }
  move.settled = true;
  if (response.value() == CheckpointResponse::kUnsupported) {
    ++counters_.checkpoints_declined;
    LogEvent(EventId::kTaskNotMoved,
             {{"task", task.Text()}, {"host", host.str()}});
  }
}

// Returns whether the result with the progress of a stopped task may still
// arrive: a report of the stop can overtake it. The wait is shorter than the
// task lease, whose expiry would end the attempt.
bool EntryCore::AwaitsProgress(RequestRecord& record, TimePoint now) const {
  if (!record.move || record.cancel_requested)
    return false;
  if (!record.move->stopped_at)
    record.move->stopped_at = now;
  return now - *record.move->stopped_at < config_.progress_timeout;
}

// Without new progress the next attempt resumes from the previous one's.
void EntryCore::StoreProgress(RequestRecord& record, std::string progress) {
  if (progress.empty())
    return;
  const bool fits =
      progress.size() <= kMaxProgressBytes &&
      table_.bytes() + progress.size() <= config_.max_record_bytes;
  if (!fits) {
    ++counters_.progress_dropped;
    LogEvent(EventId::kBoundReached, {{"bound", "progress"}});
    return;
  }
  table_.SetProgress(record, std::move(progress));
}

// Requeues a repeatable request whose attempt was stopped. It has started once,
// so its start deadline must not end it now.
void EntryCore::Resume(RequestRecord& record, TimePoint now) {
  if (record.move) {
    ++counters_.tasks_moved;
    LogEvent(EventId::kTaskMoved,
             {{"task", record.task().Text()},
              {"host", record.intent.worker.str()},
              {"progress_bytes",
               static_cast<unsigned long>(record.progress.size())}});
  }
  record.may_have_run = true;
  record.deadline = std::max(
      record.deadline, now + std::max(kTaskLease, record.spec.start_deadline));
  Enqueue(record, now);
  if (!record.progress.empty())
    BumpRevision(record, now);
}

// Accepts a running task of an attempt that the record does not expect.
void EntryCore::Adopt(RequestRecord& record,
                      const TaskReport& task,
                      const WorkerReport& report,
                      TimePoint now) {
  hooks_.remove(record.id);
  record.intent = Intent{task.task.attempt, report.host, report.incarnation,
                         report.address};
  record.move.reset();
  record.next_attempt = std::max(record.next_attempt, task.task.attempt + 1);
  record.may_have_run = true;
  record.lease_until = now + GranterLease(kTaskLease);
  allotments_.Count(
      record.task(),
      CountedTask{record.spec.team, report.host, {}, std::nullopt, now});
  if (WorkerEntry* worker = workers_.Find(report.host); worker != nullptr)
    worker->own_tasks[record.task()] = record.spec.declared;
  table_.SetPhase(record, Phase::kRunning, now);
  BumpRevision(record, now);
}

// Handles own running tasks missing from the report, and releases transferred
// tasks that it does not list as running.
void EntryCore::HandleUnlistedTasks(const WorkerReport& report, TimePoint now) {
  std::set<TaskId> listed;
  for (const TaskReport& task : report.tasks)
    listed.insert(task.task);
  std::vector<TaskId> unlisted;
  for (const auto& [task, resources] : workers_.Find(report.host)->own_tasks) {
    if (!listed.contains(task))
      unlisted.push_back(task);
  }
  for (const TaskId& task : unlisted) {
    RequestRecord* record = table_.FindOwned(task.request);
    if (record == nullptr || record->task() != task ||
        record->phase != Phase::kRunning) {
      continue;
    }
    if (++record->missing_reports >= kMissingReportsBeforeForbid) {
      record->missing_reports = 0;
      // It has run, whatever the worker responds now.
      record->may_have_run = true;
      MarkUnconfirmed(*record, kTaskLease, now);
    }
  }
  std::vector<TaskId> ended_elsewhere;
  for (const auto& [task, counted] : allotments_.tasks()) {
    if (!counted.new_owner.empty() && counted.worker == report.host &&
        !listed.contains(task) &&
        now - counted.counted_at > config_.start_timeout + kWorkerLostAfter) {
      ended_elsewhere.push_back(task);
    }
  }
  for (const TaskReport& task : report.tasks) {
    if (task.state != TaskState::kRunning) {
      const auto counted = allotments_.tasks().find(task.task);
      if (counted != allotments_.tasks().end() &&
          !counted->second.new_owner.empty())
        ended_elsewhere.push_back(task.task);
    }
  }
  for (const TaskId& task : ended_elsewhere)
    allotments_.Release(task);
}

void EntryCore::OnWorkerLeave(CallId call,
                              const LeavingWorker& worker,
                              TimePoint now) {
  BeginInput(now);
  workers_.MarkLeaving(worker);
  if (pending_leaves_.size() >= config_.max_calls) {
    LogEvent(EventId::kBoundReached, {{"table", "leaves"}});
    Emit(AnswerLeave{call, false});
    return;
  }
  pending_leaves_.push_back({call, now});
  // Gossip carries the marks, and responses to it confirm them.
  next_gossip_ = now;
  AnswerLeaves(now);
}

Result<ResultAck> EntryCore::OnResult(TaskResult result, TimePoint now) {
  BeginInput(now);
  auto response = HandleResult(std::move(result), true, now);
  FinishInput(now);
  return response;
}

Result<ResultAck> EntryCore::HandleResult(TaskResult result,
                                          bool relay,
                                          TimePoint now) {
  const auto reject = [&](ErrorCode code, const char* detail) {
    ++counters_.results_rejected;
    LogEvent(EventId::kResultRejected,
             {{"task", result.task.Text()}, {"detail", detail}});
    return Fail(code, std::string(detail) + ": " + result.task.Text());
  };
  if (result.length != result.body.size() ||
      Hash64(result.body) != result.hash) {
    return reject(ErrorCode::kProtocol,
                  "the body does not match its length and checksum");
  }
  if (result.body.size() > kMaxResultBytes)
    return reject(ErrorCode::kTooLarge, "the body is too large");
  if (result.state == TaskState::kRunning ||
      result.state == TaskState::kForbidden) {
    return reject(ErrorCode::kProtocol, "the task has not ended");
  }
  RequestRecord* found = table_.FindOwned(result.task.request);
  if (found != nullptr && result.task.attempt > found->intent.attempt) {
    // A peer has taken the record over and started the task.
    if (relay) {
      for (const EntryName& name : peers_.zone_peers())
        SendTo(name, PeerResult{result});
    }
    return ResultAck::kKept;
  }
  if (found == nullptr) {
    const auto parts = RequestIdParts::Parse(result.task.request);
    if (!parts)
      return reject(ErrorCode::kNotFound, "no such request");
    RequestRecord* replica = table_.Find(result.task.request);
    const auto new_owner = new_owners_.find(result.task.request);
    const bool own_id = parts.value().entry == config_.name &&
                        parts.value().incarnation == config_.incarnation;
    if (own_id && replica == nullptr && new_owner == new_owners_.end())
      return reject(ErrorCode::kNotFound, "no such request");
    if (relay && replica != nullptr) {
      SendTo(replica->owner->entry, PeerResult{result});
    } else if (relay) {
      for (const EntryName& name : peers_.zone_peers())
        SendTo(name, PeerResult{result});
    }
    return ResultAck::kKept;
  }
  RequestRecord& record = *found;
  if (result.task.attempt != record.intent.attempt)
    return reject(ErrorCode::kConflict, "another attempt is expected");
  const bool unknown = record.phase == Phase::kEnded &&
                       record.closing.outcome == Outcome::kUnknownMayHaveRun;
  const bool late_attempt =
      record.phase == Phase::kQueued && record.may_have_run;
  if (record.phase == Phase::kEnded && !unknown) {
    const bool same =
        record.closing.body_hash == result.hash && record.may_have_started();
    if (!same)
      return reject(ErrorCode::kConflict, "the request has ended");
    return record.replicated() ? ResultAck::kAcknowledged : ResultAck::kKept;
  }
  if (!record.has_task() && !unknown && !late_attempt) {
    CheckInvariant(Invariant::kAtMostOnce, record.spec.repeatable,
                   "a result of an attempt that was proved not to have run");
    return reject(ErrorCode::kConflict, "the attempt was not started");
  }
  // A stopped attempt of a repeatable request is not a result: the request is
  // queued again, unless a report of the stop has done so already.
  if (result.state == TaskState::kStopped && record.spec.repeatable &&
      !record.cancel_requested && !unknown) {
    StoreProgress(record, std::move(result.body));
    if (record.has_task()) {
      ReleaseTask(record);
      Resume(record, now);
    } else {
      BumpRevision(record, now);
    }
    return ResultAck::kAcknowledged;
  }
  Closing closing;
  if (result.state == TaskState::kFinished)
    closing.outcome = Outcome::kFinished;
  else if (result.state == TaskState::kStopped && record.cancel_requested)
    closing.outcome = Outcome::kCancelled;
  else
    closing.outcome = Outcome::kFailed;
  // The body of a stopped attempt of a repeatable request is its progress.
  if (result.state != TaskState::kStopped || !record.spec.repeatable)
    closing.body = std::move(result.body);
  closing.body_hash = result.hash;
  ReleaseTask(record);
  End(record, std::move(closing), now);
  return record.replicated() ? ResultAck::kAcknowledged : ResultAck::kKept;
}

}  // namespace boragewinch
