#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/invariant.h"
#include "entry/entry_core.h"

namespace boragewinch {

namespace {

// A forward that is unanswered after this goes to the fallback peers as well.
constexpr Millis kFallbackAfter{500};
constexpr Millis kMaxForwardTimeout{60'000};
// The owner answers a waiting call this much before the caller's deadline, so
// that the answer arrives in time.
constexpr Millis kAwaitMargin{300};
constexpr std::uint32_t kMaxHops = 3;

// The peer has no record of the request, but another one may have it.
[[nodiscard]] bool IsUnknownRequest(const JobAnswer& answer) {
  return answer.outcome == Outcome::kUnknownMayHaveRun &&
         answer.reason == RefusalReason::kUnknownRequest;
}

}  // namespace

void EntryCore::Forward(CallId id,
                        const std::vector<EntryName>& first,
                        std::vector<EntryName> fallback_peers,
                        TimePoint now) {
  OpenCall& call = *calls_.Find(id);
  if (call.hops >= kMaxHops) {
    AnswerWith(id, Outcome::kUnknownMayHaveRun, RefusalReason::kUnknownRequest);
    return;
  }
  call.wait = CallWait::kForward;
  call.awaited.clear();
  call.awaited.insert(first.begin(), first.end());
  call.fallback_peers = std::move(fallback_peers);
  call.stage_deadline =
      call.fallback_peers.empty() ? TimePoint::max() : now + kFallbackAfter;
  call.attempts = 0;
  retries_.OnFirstAttempt();
  SendCall(id, call, now);
}

void EntryCore::SendCall(CallId id, OpenCall& call, TimePoint now) {
  PeerBody body;
  if (call.wait == CallWait::kFind) {
    body = PeerFind{id, call.spec->team, call.spec->client_request_id};
  } else {
    body = PeerForward{
        id,
        call.kind,
        call.hops + 1,
        call.request,
        call.key,
        std::clamp(
            call.deadline - now -
                (call.kind == CallKind::kAwait ? kAwaitMargin : Millis(0)),
            Millis(1), kMaxForwardTimeout),
        call.spec};
  }
  for (const EntryName& entry : call.awaited)
    Emit(SendPeer{entry, PeerMessage{config_.incarnation, {}, body}});
  call.next_send =
      now + BackoffDelay(config_.initial_backoff, config_.max_backoff,
                         call.attempts++, random_);
  calls_.Reschedule(id);
}

void EntryCore::HandleDueCall(CallId id, TimePoint now) {
  OpenCall* call = calls_.Find(id);
  if (call == nullptr)
    return;
  if (now >= call->deadline) {
    AnswerAtDeadline(id, now);
    return;
  }
  if (now >= call->stage_deadline) {
    call->stage_deadline = TimePoint::max();
    if (call->wait == CallWait::kFind) {
      FinishFind(id, now);
      return;
    }
    call->awaited.insert(call->fallback_peers.begin(),
                         call->fallback_peers.end());
    call->fallback_peers.clear();
    SendCall(id, *call, now);
    return;
  }
  if (now >= call->next_send) {
    if (call->wait == CallWait::kRecord || call->awaited.empty()) {
      call->next_send = TimePoint::max();
    } else if (retries_.TakeRetry()) {
      SendCall(id, *call, now);
      return;
    } else {
      call->next_send = now + config_.max_backoff;
    }
  }
  calls_.Reschedule(id);
}

void EntryCore::StartFind(CallId id, TimePoint now) {
  OpenCall& call = *calls_.Find(id);
  call.wait = CallWait::kFind;
  pending_finds_[{call.spec->team, call.spec->client_request_id}] = id;
  for (const auto& [name, peer] : peers_.peers())
    call.awaited.insert(name);
  if (call.awaited.empty()) {
    FinishFind(id, now);
    return;
  }
  call.stage_deadline = now + config_.find_timeout;
  retries_.OnFirstAttempt();
  SendCall(id, call, now);
}

// Ends a search that has found no record: all peers have responded, the search
// has timed out, or a peer is submitting the same repeatable job.
void EntryCore::FinishFind(CallId id, TimePoint now) {
  OpenCall& call = *calls_.Find(id);
  pending_finds_.erase({call.spec->team, call.spec->client_request_id});
  call.wait = CallWait::kRecord;
  call.next_send = TimePoint::max();
  call.stage_deadline = TimePoint::max();
  calls_.Reschedule(id);
  // An earlier attempt may have run at an entry host that did not answer.
  if (!call.awaited.empty() && !call.spec->repeatable) {
    AnswerWith(id, Outcome::kUnknownMayHaveRun, RefusalReason::kNone);
    return;
  }
  call.awaited.clear();
  if (const RequestId* known =
          table_.FindClientId(call.spec->team, call.spec->client_request_id);
      known != nullptr) {
    calls_.SetRequest(id, *known);
    Route(id, now);
    return;
  }
  CreateRecord(id, now);
}

void EntryCore::Receive(const EntryName& from,
                        const Incarnation& incarnation,
                        PeerForward message,
                        TimePoint now) {
  if (calls_.HasForwarded(from, incarnation, message.reference))
    return;
  // Without a response the origin answers its caller at the deadline.
  if (calls_.size() >= config_.max_calls) {
    LogEvent(EventId::kBoundReached, {{"table", "calls"}});
    return;
  }
  if (message.kind == CallKind::kSubmit && !message.spec)
    return;
  OpenCall call;
  call.kind = message.kind;
  call.key = std::move(message.key);
  call.request = std::move(message.request);
  call.spec = std::move(message.spec);
  call.deadline = now + std::min(message.timeout, kMaxForwardTimeout);
  call.hops = message.hops;
  call.origin = from;
  call.origin_incarnation = incarnation;
  call.origin_reference = message.reference;
  const CallId id = next_internal_call_++;
  calls_.Insert(id, std::move(call));
  Route(id, now);
}

void EntryCore::Receive(const EntryName& from,
                        PeerForwardAnswer message,
                        TimePoint now) {
  OpenCall* call = calls_.Find(message.reference);
  if (call == nullptr || call->wait != CallWait::kForward ||
      !call->awaited.contains(from)) {
    return;
  }
  if (!IsUnknownRequest(message.answer)) {
    Answer(message.reference, std::move(message.answer));
    return;
  }
  call->awaited.erase(from);
  if (!call->awaited.empty())
    return;
  // The peer may have handed the record over to this process meanwhile.
  if (table_.FindOwned(call->request) != nullptr) {
    Route(message.reference, now);
    return;
  }
  if (call->fallback_peers.empty()) {
    AnswerWith(message.reference, Outcome::kUnknownMayHaveRun,
               RefusalReason::kUnknownRequest);
    return;
  }
  call->stage_deadline = now;
  HandleDueCall(message.reference, now);
}

void EntryCore::Receive(const EntryName& from,
                        const Incarnation& incarnation,
                        const PeerFind& message) {
  PeerFound found;
  found.reference = message.reference;
  if (const RequestId* known =
          table_.FindClientId(message.team, message.client_request_id);
      known != nullptr) {
    const RequestRecord& record = *table_.Find(*known);
    found.known = true;
    found.answer = StatusOf(record, false);
    if (record.owner && record.phase != Phase::kEnded)
      found.answer.outcome = Outcome::kUnknownMayHaveRun;
  }
  found.pending =
      pending_finds_.contains({message.team, message.client_request_id});
  Emit(SendPeer{from, PeerMessage{config_.incarnation, incarnation, found}});
}

void EntryCore::Receive(const EntryName& from,
                        const PeerFound& message,
                        TimePoint now) {
  const CallId id = message.reference;
  OpenCall* call = calls_.Find(id);
  if (call == nullptr || call->wait != CallWait::kFind ||
      !call->awaited.contains(from)) {
    return;
  }
  if (message.known || message.pending) {
    pending_finds_.erase({call->spec->team, call->spec->client_request_id});
    if (message.known) {
      Answer(id, message.answer);
    } else if (call->spec->repeatable) {
      call->awaited.clear();
      FinishFind(id, now);
    } else {
      // Two concurrent attempts: neither can tell whether the other will run.
      AnswerWith(id, Outcome::kUnknownMayHaveRun, RefusalReason::kNone);
    }
    return;
  }
  call->awaited.erase(from);
  if (call->awaited.empty())
    FinishFind(id, now);
}

void EntryCore::OnPeerMessage(const EntryName& from,
                              PeerMessage message,
                              TimePoint now) {
  BeginInput(now);
  const bool for_this = message.to == config_.incarnation;
  if (std::holds_alternative<PeerGossip>(message.body)) {
    ReceiveGossip(from, message, now);
    FinishInput(now);
    return;
  }
  const bool current =
      peers_.RecordMessage(from, message.from, now) == PeerContact::kCurrent;
  if (auto* forward = std::get_if<PeerForward>(&message.body)) {
    Receive(from, message.from, std::move(*forward), now);
  } else if (auto* find = std::get_if<PeerFind>(&message.body)) {
    Receive(from, message.from, *find);
  } else if (auto* forwarded = std::get_if<PeerForwardAnswer>(&message.body)) {
    if (for_this)
      Receive(from, std::move(*forwarded), now);
  } else if (auto* found = std::get_if<PeerFound>(&message.body)) {
    if (for_this)
      Receive(from, *found, now);
  } else if (auto* result = std::get_if<PeerResult>(&message.body)) {
    // The worker keeps the result until a heartbeat response acknowledges it.
    static_cast<void>(HandleResult(std::move(result->result), false, now));
  } else if (auto* alive = std::get_if<PeerGossipAnswer>(&message.body);
             alive != nullptr && for_this && !current) {
    peers_.ConfirmCandidate(from, message.from, alive->sequence);
  } else if (!for_this || !current) {
    // Replication messages are valid only between the two incarnations named.
  } else if (auto* answer = std::get_if<PeerGossipAnswer>(&message.body)) {
    if (const auto sent_at = peers_.Answered(from, answer->sequence); sent_at)
      isolation_.Answered(*sent_at);
  } else if (auto* store = std::get_if<PeerStore>(&message.body)) {
    Receive(from, std::move(*store), now);
  } else if (auto* intend = std::get_if<PeerIntend>(&message.body)) {
    Receive(from, *intend, now);
  } else if (auto* close = std::get_if<PeerClose>(&message.body)) {
    Receive(from, std::move(*close), now);
  } else if (auto* ack = std::get_if<PeerAck>(&message.body)) {
    Receive(from, *ack, now);
  } else if (auto* fenced = std::get_if<PeerFenced>(&message.body)) {
    Receive(from, *fenced, now);
  } else if (auto* hand_over = std::get_if<PeerHandOver>(&message.body)) {
    Receive(from, *hand_over, now);
  } else if (auto* handed_over = std::get_if<PeerHandedOver>(&message.body)) {
    Receive(from, PeerFenced{handed_over->epoch, {}}, now);
  } else if (auto* released = std::get_if<PeerReleased>(&message.body)) {
    Receive(from, *released, now);
  }
  FinishInput(now);
}

}  // namespace boragewinch
