#include "scheduler/worker_call_agent.h"

#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

namespace {

[[nodiscard]] Result<HoldResponse> AsHoldResponse(
    const Result<CallResponse>& response) {
  if (!response)
    return outcome::failure(response.error());
  HoldResponse hold;
  hold.call = response.value();
  return hold;
}

}  // namespace

WorkerCallAgent::WorkerCallAgent(WorkerCallAgentOptions options, Hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      stall_(options_.stall, options_.stall_backlog) {}

Status WorkerCallAgent::Check(const CallExchange& exchange,
                              TimePoint now) const {
  if (exchange.term < term_ || exchange.term < hooks_.term())
    return Fail(ErrorCode::kFenced, "a later term is known");
  const bool stalled = stall_.PossibleDelay(now) > Millis(0);
  if (stalled && !exchange.calls.empty())
    return Fail(ErrorCode::kUnavailable, "event loop stalled on this host");
  return Ok();
}

void WorkerCallAgent::OnExchange(std::string_view body,
                                 const BinaryReply& reply,
                                 TimePoint now) {
  Result<CallExchange> exchange = DecodeExchange(body);
  if (!exchange) {
    LogEvent(EventId::kMalformedMessage, {{"error", exchange.error().Text()}});
    reply(outcome::failure(exchange.error()));
    return;
  }
  if (Status allowed = Check(exchange.value(), now); !allowed) {
    LogEvent(EventId::kCallFailed, {{"call", kCallExchangeMethod},
                                    {"error", allowed.error().Text()}});
    reply(outcome::failure(allowed.error()));
    return;
  }
  if (exchange.value().term > term_)
    BeginTerm(exchange.value().term);
  // Without a scheduled flush, unsent responses arrived while no exchange was
  // open.
  const bool overdue = !responses_.empty() && !flush_due_;
  open_exchanges_.push_back({reply, now + exchange.value().wait});
  for (DelegatedCall& call : exchange.value().calls)
    MakeCall(std::move(call));
  if (overdue || open_exchanges_.size() > options_.max_open_exchanges)
    ReplyToOldest();
}

void WorkerCallAgent::BeginTerm(std::uint64_t term) {
  term_ = term;
  open_calls_.clear();
  responses_.clear();
  for (const OpenExchange& pending : std::exchange(open_exchanges_, {}))
    pending.reply(Fail(ErrorCode::kFenced, "a later term is known"));
}

void WorkerCallAgent::MakeCall(DelegatedCall call) {
  const std::uint64_t id = call.id;
  const std::uint64_t term = term_;
  if (open_calls_.count(id) > 0) {
    // The response to the first copy is pending.
    LogEvent(EventId::kMalformedMessage,
             {{"error", "call " + std::to_string(id) + " was received twice"}});
    return;
  }
  open_calls_.insert(id);
  if (open_calls_.size() > options_.max_open_calls) {
    LogEvent(EventId::kBoundReached, {{"bound", "delegated_calls"}});
    OnResponse(term, id,
               Fail(ErrorCode::kTableFull, "too many calls in flight"));
    return;
  }
  if (TimeAllowed(call.order).count() <= 0) {
    OnResponse(term, id,
               Fail(ErrorCode::kTransport,
                    "timeout elapsed before the call was sent"));
    return;
  }
  const auto on_order = [this, term, id](const Result<CallResponse>& response) {
    OnResponse(term, id, AsHoldResponse(response));
  };
  if (const auto* start = std::get_if<StartCall>(&call.order)) {
    hooks_.calls.start(call.worker, *start, on_order);
  } else if (const auto* stop = std::get_if<StopCall>(&call.order)) {
    hooks_.calls.stop(call.worker, *stop, on_order);
  } else {
    hooks_.calls.hold(call.worker, std::get<HoldCall>(call.order),
                      [this, term, id](Result<HoldResponse> response) {
                        OnResponse(term, id, std::move(response));
                      });
  }
}

void WorkerCallAgent::OnResponse(std::uint64_t term,
                                 std::uint64_t id,
                                 Result<HoldResponse> response) {
  // A leader of an earlier term no longer waits.
  if (term != term_ || open_calls_.erase(id) == 0)
    return;
  responses_.push_back({id, std::move(response)});
  if (!std::exchange(flush_due_, true))
    hooks_.flush_soon();
}

void WorkerCallAgent::Flush() {
  flush_due_ = false;
  while (!responses_.empty() && !open_exchanges_.empty())
    ReplyToOldest();
}

void WorkerCallAgent::Tick(TimePoint now) {
  stall_.Tick(now);
  while (!open_exchanges_.empty() && now >= open_exchanges_.front().until)
    ReplyToOldest();
}

void WorkerCallAgent::ReplyToOldest() {
  CallExchangeReply reply;
  reply.agent = options_.incarnation;
  reply.zone = options_.zone;
  reply.leaving = leaving_;
  std::size_t bytes = 0;
  while (!responses_.empty()) {
    bytes += SizeOf(responses_.front());
    if (!reply.responses.empty() && bytes > options_.max_reply_bytes)
      break;
    reply.responses.push_back(std::move(responses_.front()));
    responses_.pop_front();
  }
  const BinaryReply send = std::move(open_exchanges_.front().reply);
  open_exchanges_.pop_front();
  send(EncodeReply(reply));
}

}  // namespace boragewinch::scheduler
