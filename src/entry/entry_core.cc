#include "entry/entry_core.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/invariant.h"
#include "entry/request_id.h"

namespace boragewinch {

namespace {

constexpr Millis kSequenceTimeStep{10'000};

}  // namespace

EntryCore::EntryCore(EntryConfig config,
                     SchedulerHooks hooks,
                     RandomHook random,
                     TimePoint now)
    : config_(std::move(config)),
      hooks_(std::move(hooks)),
      random_(std::move(random)),
      started_(now),
      last_tick_(now),
      next_gossip_(now),
      next_sweep_(now),
      ring_(config_.max_tombstones),
      freshness_(kFreshnessBound),
      isolation_(kIsolationBound),
      workers_(config_.max_workers),
      peers_(config_.name, config_.zone, config_.max_peers) {}

// The ledger may have reclaimed the allotments of an isolated process. Nothing
// starts until the ledger confirms them, even if a peer responds first.
void EntryCore::BeginInput(TimePoint now) {
  if (isolated(now))
    allotments_.Suspend();
}

void EntryCore::FinishInput(TimePoint now) {
  if (std::exchange(dirty_, false))
    DispatchQueued(now);
}

std::vector<EntryAction> EntryCore::TakeActions() {
  return std::exchange(actions_, {});
}

RequestId EntryCore::NextId() {
  return RequestIdParts{config_.zone, config_.name, config_.incarnation,
                        next_sequence_++}
      .Format();
}

Result<RequestId> EntryCore::NewTicket(TimePoint now) {
  if (stopping_)
    return Fail(ErrorCode::kUnavailable, "this entry host is stopping");
  if (sequence_times_.empty() ||
      now - sequence_times_.back().first >= kSequenceTimeStep) {
    sequence_times_.emplace_back(now, next_sequence_);
  }
  return NextId();
}

void EntryCore::Submit(SubmitCall call, TimePoint now) {
  OpenCall open;
  open.kind = CallKind::kSubmit;
  open.key = std::move(call.key);
  open.request = std::move(call.ticket);
  open.spec = std::move(call.spec);
  open.deadline = call.deadline;
  OpenLocal(call.call, std::move(open), now);
}

void EntryCore::Query(RequestCall call, TimePoint now) {
  OpenLocal(call.call,
            OpenCall{CallKind::kQuery, std::move(call.key),
                     std::move(call.request), std::nullopt, call.deadline},
            now);
}

void EntryCore::Await(RequestCall call, TimePoint now) {
  OpenLocal(call.call,
            OpenCall{CallKind::kAwait, std::move(call.key),
                     std::move(call.request), std::nullopt, call.deadline},
            now);
}

void EntryCore::Cancel(RequestCall call, TimePoint now) {
  OpenLocal(call.call,
            OpenCall{CallKind::kCancel, std::move(call.key),
                     std::move(call.request), std::nullopt, call.deadline},
            now);
}

void EntryCore::FetchResult(RequestCall call, TimePoint now) {
  OpenLocal(call.call,
            OpenCall{CallKind::kResult, std::move(call.key),
                     std::move(call.request), std::nullopt, call.deadline},
            now);
}

void EntryCore::OpenLocal(CallId id, OpenCall call, TimePoint now) {
  BeginInput(now);
  if (calls_.Find(id) != nullptr)
    return;
  const bool full = calls_.size() >= config_.max_calls;
  const bool fresh_submit =
      call.kind == CallKind::kSubmit && call.request.empty();
  calls_.Insert(id, std::move(call));
  if (full) {
    LogEvent(EventId::kBoundReached, {{"table", "calls"}});
    // Only a submit without a ticket is certainly a first attempt, and thus
    // certain not to have run.
    AnswerWith(
        id,
        fresh_submit ? Outcome::kRefusedNotRun : Outcome::kUnknownMayHaveRun,
        RefusalReason::kFull);
  } else if (fresh_submit) {
    AdmitNew(id, now);
  } else {
    Route(id, now);
  }
  FinishInput(now);
}

void EntryCore::Route(CallId id, TimePoint now) {
  OpenCall& call = *calls_.Find(id);
  const RequestId request = call.request;
  if (RequestRecord* record = table_.Find(request); record != nullptr) {
    if (!record->owner) {
      ServeRecord(id, *record, now);
    } else {
      Forward(id, {record->owner->entry}, {}, now);
    }
    return;
  }
  if (const auto new_owner = new_owners_.find(request);
      new_owner != new_owners_.end()) {
    // Forwarding the calls of peers would delay the stop for as long as their
    // callers keep polling. The peer asks the zone's other entry hosts instead.
    if (stopping_ && !call.origin.empty()) {
      AnswerWith(id, Outcome::kUnknownMayHaveRun,
                 RefusalReason::kUnknownRequest);
    } else {
      Forward(id, {new_owner->second}, {}, now);
    }
    return;
  }
  RouteByRequestId(id, request, now);
}

void EntryCore::RouteByRequestId(CallId id,
                                 const RequestId& request,
                                 TimePoint now) {
  OpenCall& call = *calls_.Find(id);
  const auto parsed = RequestIdParts::Parse(request);
  if (!parsed) {
    AnswerWith(id, Outcome::kRefusedNotRun, RefusalReason::kMalformed);
    return;
  }
  const RequestIdParts& parts = parsed.value();
  const bool own_name =
      parts.zone == config_.zone && parts.entry == config_.name;
  if (own_name && parts.incarnation == config_.incarnation) {
    if (parts.sequence >= next_sequence_) {
      AnswerWith(id, Outcome::kRefusedNotRun, RefusalReason::kUnknownRequest);
    } else if (call.kind == CallKind::kSubmit && call.spec &&
               parts.sequence >= expired_below_) {
      CreateRecord(id, now);
    } else {
      // The record has expired, or the ticket was never used.
      AnswerWith(id, Outcome::kUnknownMayHaveRun,
                 RefusalReason::kUnknownRequest);
    }
    return;
  }
  std::vector<EntryName> first;
  std::vector<EntryName> fallback_peers;
  if (call.origin.empty()) {
    if (!own_name && peers_.Find(parts.entry) != nullptr)
      first.push_back(parts.entry);
    for (EntryName& name : peers_.of_zone(parts.zone)) {
      if (name != parts.entry)
        fallback_peers.push_back(std::move(name));
    }
  }
  if (first.empty())
    std::swap(first, fallback_peers);
  if (first.empty()) {
    AnswerWith(id, Outcome::kUnknownMayHaveRun, RefusalReason::kUnknownRequest);
    return;
  }
  Forward(id, first, std::move(fallback_peers), now);
}

void EntryCore::Answer(CallId id, JobAnswer answer) {
  const OpenCall* call = calls_.Find(id);
  const bool own = call != nullptr &&
                   (call->request.empty() || call->request == answer.request);
  if (!CheckInvariant(Invariant::kOwnAnswer, own,
                      "an answer must belong to an open call's request")) {
    return;
  }
  if (call->kind == CallKind::kSubmit &&
      answer.outcome == Outcome::kRefusedNotRun) {
    ++counters_.refused;
  }
  if (call->origin.empty()) {
    calls_.Erase(id);
    Emit(AnswerCaller{id, std::move(answer)});
    return;
  }
  const EntryName origin = call->origin;
  PeerMessage message{
      config_.incarnation, call->origin_incarnation,
      PeerForwardAnswer{call->origin_reference, std::move(answer)}};
  calls_.Erase(id);
  Emit(SendPeer{origin, std::move(message)});
}

void EntryCore::AnswerWith(CallId id, Outcome outcome, RefusalReason reason) {
  if (const OpenCall* call = calls_.Find(id); call != nullptr)
    Answer(id, JobAnswer{call->request, outcome, reason});
}

void EntryCore::ServeRecord(CallId id, RequestRecord& record, TimePoint now) {
  OpenCall& call = *calls_.Find(id);
  call.wait = CallWait::kRecord;
  if (const RefusalReason reason = AccessReason(record, call.key);
      reason != RefusalReason::kNone) {
    // The refusal is about this call; the request itself may have run.
    AnswerWith(id, Outcome::kUnknownMayHaveRun, reason);
    return;
  }
  switch (call.kind) {
    case CallKind::kQuery:
      Answer(id, StatusOf(record, false));
      return;
    case CallKind::kResult:
      record.fetched = record.fetched || record.phase == Phase::kEnded;
      Answer(id, StatusOf(record, true));
      return;
    case CallKind::kCancel:
      CancelRecord(record, now);
      break;
    case CallKind::kSubmit:
    case CallKind::kAwait:
      break;
  }
  AnswerWaiters(record);
}

// Answers the waiting calls that the record's current phase settles.
void EntryCore::AnswerWaiters(const RequestRecord& record) {
  const bool open_answer =
      record.phase != Phase::kStoring && record.phase != Phase::kClosing;
  for (const std::uint64_t id : calls_.Waiting(record.id)) {
    const CallKind kind = calls_.Find(id)->kind;
    if (record.phase == Phase::kEnded ||
        (kind == CallKind::kSubmit && open_answer)) {
      Answer(id, StatusOf(record, false));
    }
  }
}

JobAnswer EntryCore::StatusOf(const RequestRecord& record,
                              bool with_body) const {
  JobAnswer answer{record.id};
  answer.started = record.started || record.may_have_run;
  switch (record.phase) {
    case Phase::kStoring:
      answer.outcome =
          record.taken_over ? Outcome::kAccepted : Outcome::kUnknownMayHaveRun;
      break;
    case Phase::kQueued:
    case Phase::kIntending:
    case Phase::kStarting:
      answer.outcome = Outcome::kAccepted;
      break;
    case Phase::kUnconfirmed:
      answer.outcome = record.spec.repeatable ? Outcome::kAccepted
                                              : Outcome::kUnknownMayHaveRun;
      break;
    case Phase::kRunning:
      answer.outcome = Outcome::kRunning;
      break;
    case Phase::kClosing:
      answer.outcome = Outcome::kUnknownMayHaveRun;
      break;
    case Phase::kEnded:
      answer.outcome = record.closing.outcome;
      answer.reason = record.closing.reason;
      if (with_body) {
        answer.body = record.closing.body;
        answer.body_hash = record.closing.body_hash;
      }
      break;
  }
  return answer;
}

void EntryCore::AnswerAtDeadline(CallId id, TimePoint now) {
  const OpenCall& call = *calls_.Find(id);
  if (call.wait == CallWait::kFind) {
    FinishFind(id, now);
    if (calls_.Find(id) == nullptr)
      return;
  }
  RequestRecord* record = table_.FindOwned(call.request);
  if (call.wait == CallWait::kRecord && record != nullptr) {
    const JobAnswer answer = StatusOf(*record, false);
    // A submit that the backup has not acknowledged is closed as not run.
    if (call.kind == CallKind::kSubmit && record->phase == Phase::kStoring &&
        !record->taken_over) {
      BeginClose(*record, Outcome::kRefusedNotRun, RefusalReason::kNoBackup,
                 now);
    }
    if (calls_.Find(id) != nullptr)
      Answer(id, answer);
    return;
  }
  AnswerWith(id, Outcome::kUnknownMayHaveRun, RefusalReason::kNone);
}

RefusalReason EntryCore::AccessReason(const RequestRecord& record,
                                      const std::string& key) const {
  if (record.open_queue)
    return RefusalReason::kNone;
  const KeyCheck check = ring_.Verify(key);
  if (!check.valid())
    return check.reason;
  return check.team == record.spec.team ? RefusalReason::kNone
                                        : RefusalReason::kWrongTeam;
}

RefusalReason EntryCore::AdmissionReason(OpenCall& call, TimePoint now) {
  JobSpec& spec = *call.spec;
  if (stopping_)
    return RefusalReason::kStopping;
  if (view_.version == 0)
    return RefusalReason::kNoConfiguration;
  const auto queue = view_.queues.find(spec.queue);
  if (queue == view_.queues.end())
    return RefusalReason::kUnknownQueue;
  if (!queue->second.open) {
    const KeyCheck check = ring_.Verify(call.key);
    if (!check.valid())
      return check.reason;
    if (check.team != queue->second.team)
      return RefusalReason::kWrongTeam;
    if (!fresh(now))
      return RefusalReason::kStaleConfiguration;
  }
  if (!spec.team.empty() && spec.team != queue->second.team)
    return RefusalReason::kWrongTeam;
  spec.team = queue->second.team;
  const auto team = view_.teams.find(spec.team);
  if (team == view_.teams.end() || team->second.limit <= 0)
    return RefusalReason::kLimit;
  if (!workers_.CouldFit(queue->second.pool, view_, spec.declared))
    return RefusalReason::kNeverFits;
  const bool bytes_full =
      table_.bytes() + RequestTable::SizeOf(spec) > config_.max_record_bytes;
  const bool full = bytes_full || table_.size() >= config_.max_records ||
                    table_.queued(spec.queue) >= config_.max_queued_per_queue ||
                    table_.results() >= config_.max_results;
  if (full) {
    LogEvent(EventId::kBoundReached,
             {{"table", bytes_full ? "record_bytes" : "records"},
              {"queue", spec.queue.str()}});
    return RefusalReason::kFull;
  }
  return RefusalReason::kNone;
}

void EntryCore::AdmitNew(CallId id, TimePoint now) {
  OpenCall& call = *calls_.Find(id);
  if (const RefusalReason reason = AdmissionReason(call, now);
      reason != RefusalReason::kNone) {
    AnswerWith(id, Outcome::kRefusedNotRun, reason);
    return;
  }
  const JobSpec& spec = *call.spec;
  if (spec.client_request_id.empty()) {
    CreateRecord(id, now);
  } else if (const RequestId* known =
                 table_.FindClientId(spec.team, spec.client_request_id);
             known != nullptr) {
    calls_.SetRequest(id, *known);
    Route(id, now);
  } else if (pending_finds_.contains({spec.team, spec.client_request_id})) {
    // Another submit with this id is in progress here.
    AnswerWith(id, Outcome::kUnknownMayHaveRun, RefusalReason::kNone);
  } else {
    StartFind(id, now);
  }
}

void EntryCore::CreateRecord(CallId id, TimePoint now) {
  OpenCall& call = *calls_.Find(id);
  RefusalReason reason = AdmissionReason(call, now);
  const auto queue = view_.queues.find(call.spec->queue);
  const RequestId request = call.request.empty() ? NextId() : call.request;
  const auto backup = peers_.ChooseBackup(request, now);
  if (reason == RefusalReason::kNone && !backup && !call.spec->repeatable)
    reason = RefusalReason::kNoBackup;
  if (reason == RefusalReason::kNone) {
    const KeyCheck check = ring_.Verify(call.key);
    const bool allowed =
        queue->second.open || (check.valid() && !ring_.withdrawn(check.id) &&
                               check.team == call.spec->team && fresh(now));
    if (!CheckInvariant(Invariant::kKeyedWork, allowed,
                        "keyed work needs a valid key and a fresh state")) {
      reason = RefusalReason::kBadKey;
    }
  }
  if (reason != RefusalReason::kNone) {
    Refuse(id, reason, now);
    return;
  }
  RequestRecord created;
  created.id = request;
  created.spec = *call.spec;
  created.open_queue = queue->second.open;
  created.created = now;
  created.since = now;
  created.deadline = now + created.spec.start_deadline;
  RequestRecord& record = table_.Insert(std::move(created));
  call.wait = CallWait::kRecord;
  calls_.SetRequest(id, request);
  if (backup) {
    AssignBackup(record, *backup, now);
    UpdateDueTime(record);
  } else {
    unreplicated_.insert(record.id);
    OnReplicated(record, now);
  }
}

// A refused ticket stays refused: a delayed duplicate of the submit must not
// run after its caller has been told that it has not.
void EntryCore::Refuse(CallId id, RefusalReason reason, TimePoint now) {
  const RequestId ticket = calls_.Find(id)->request;
  if (ticket.empty()) {
    AnswerWith(id, Outcome::kRefusedNotRun, reason);
    return;
  }
  if (table_.size() >= config_.max_records) {
    AnswerWith(id, Outcome::kUnknownMayHaveRun, RefusalReason::kFull);
    return;
  }
  RequestRecord refused;
  refused.id = ticket;
  // No key is needed to query the record, as it contains only the refusal.
  refused.open_queue = true;
  refused.phase = Phase::kEnded;
  refused.closing = Closing{Outcome::kRefusedNotRun, reason};
  refused.created = now;
  refused.since = now;
  UpdateDueTime(table_.Insert(std::move(refused)));
  AnswerWith(id, Outcome::kRefusedNotRun, reason);
}

void EntryCore::CancelRecord(RequestRecord& record, TimePoint now) {
  switch (record.phase) {
    case Phase::kStoring:
    case Phase::kQueued:
    case Phase::kIntending:
      record.cancel_requested = true;
      BeginClose(record, Outcome::kCancelled, RefusalReason::kNone, now);
      break;
    case Phase::kStarting:
    case Phase::kUnconfirmed:
    case Phase::kRunning:
      record.cancel_requested = true;
      Emit(StopTask{record.intent.worker, record.intent.worker_address,
                    record.task()});
      break;
    case Phase::kClosing:
    case Phase::kEnded:
      break;
  }
}

void EntryCore::OnFleetUpdate(FleetView view, TimePoint now) {
  BeginInput(now);
  // A delayed response may carry an older state; versions never decrease.
  if (view.version > view_.version) {
    view_ = std::move(view);
    ring_.Update(view_.keys);
    dirty_ = true;
  }
  FinishInput(now);
}

void EntryCore::OnControlResponse(const ControlResponse& response,
                                  TimePoint now) {
  BeginInput(now);
  freshness_.Answered(response.confirmed_at);
  isolation_.Answered(response.confirmed_at);
  for (const KeyId& key : response.tombstones)
    ring_.Withdraw(key);
  if (!response.entries.empty())
    peers_.Update(response.entries, now);
  // A response to a call sent before an isolation may predate a reclaim.
  if (response.registered &&
      now - response.confirmed_at < HolderLease(kIsolationBound)) {
    allotments_.Update(response.allotment_version, response.allotment);
    dirty_ = true;
  } else if (!response.registered) {
    allotments_.Suspend();
  }
  FinishInput(now);
}

void EntryCore::OnKeyWithdrawn(const KeyId& key, TimePoint now) {
  BeginInput(now);
  ring_.Withdraw(key);
  next_gossip_ = std::min(next_gossip_, now);
}

}  // namespace boragewinch
