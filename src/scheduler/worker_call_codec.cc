#include "scheduler/worker_call_codec.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/enum_table.h"
#include "base/wire.h"
#include "jobs/run_tables.h"

namespace boragewinch::scheduler {

namespace {

enum class CallKind { kStart, kStop, kHold };

constexpr EnumTable<CallKind, 3> kCallKinds{{{
    {CallKind::kStart, "start"},
    {CallKind::kStop, "stop"},
    {CallKind::kHold, "hold"},
}}};

constexpr Millis kMaxTime{600'000};
/// Approximate encoded size of a call or a list row without its strings.
constexpr std::size_t kRowBytes = 48;

template <typename... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

/// Maximum string size in a message; a job payload has at most 4,096 bytes.
constexpr std::size_t kMaxTextBytes = 64UL * 1024;

/// \brief Assigns indexes to the workers and payloads of a message, so that
/// each is written once.
class Tables {
 public:
  [[nodiscard]] std::size_t IndexOf(const jobs::WorkerRecord& worker) {
    const auto [it, added] = worker_indexes_.try_emplace(
        {worker.incarnation, worker.address}, worker_indexes_.size());
    if (added) {
      workers_.Text(worker.incarnation.id.str());
      workers_.Signed(worker.incarnation.start_time);
      workers_.Text(worker.address);
    }
    return it->second;
  }
  [[nodiscard]] std::size_t IndexOf(const std::string& payload) {
    const auto [it, added] =
        payload_indexes_.try_emplace(payload, payload_indexes_.size());
    if (added)
      payloads_.Text(payload);
    return it->second;
  }
  void WriteTo(WireWriter* out) const {
    out->Number(worker_indexes_.size());
    out->Append(workers_);
    out->Number(payload_indexes_.size());
    out->Append(payloads_);
  }

 private:
  WireWriter workers_;
  WireWriter payloads_;
  std::map<std::pair<jobs::WorkerIncarnation, std::string>, std::size_t>
      worker_indexes_;
  std::map<std::string_view, std::size_t> payload_indexes_;
};

void WriteOptional(const std::optional<std::int64_t>& number, WireWriter* out) {
  out->Flag(number.has_value());
  if (number)
    out->Signed(*number);
}

[[nodiscard]] std::optional<std::int64_t> ReadOptional(WireReader* in) {
  if (!in->Flag())
    return std::nullopt;
  return in->Signed();
}

void WriteTime(Millis time, WireWriter* out) {
  out->Signed(time.count());
}

[[nodiscard]] Millis ReadTime(WireReader* in) {
  const std::int64_t millis = in->Signed();
  if (millis < 0 || millis > kMaxTime.count())
    in->SetError("duration out of range");
  return Millis(millis);
}

void WriteCall(const DelegatedCall& call,
               Tables* tables,
               jobs::JobTableWriter* jobs,
               WireWriter* out) {
  out->Number(call.id);
  out->Number(tables->IndexOf(call.worker));
  std::visit(Overloaded{[&](const StartCall& start) {
                          out->Enum(CallKind::kStart);
                          WriteTime(start.timeout, out);
                          out->Number(start.token);
                          jobs->Write(start.run, out);
                          out->Signed(start.lease_until_ms);
                          out->Number(tables->IndexOf(start.payload));
                          out->Text(start.checkpoint);
                          out->Text(start.ticket);
                        },
                        [&](const StopCall& stop) {
                          out->Enum(CallKind::kStop);
                          WriteTime(stop.timeout, out);
                          out->Number(stop.token);
                          jobs->Write(stop.run, out);
                        },
                        [&](const HoldCall& hold) {
                          out->Enum(CallKind::kHold);
                          WriteTime(hold.timeout, out);
                          out->Number(hold.token);
                          out->Signed(hold.last_end_sequence);
                          WriteOptional(hold.lease_until_ms, out);
                          WriteTime(hold.wait, out);
                        }},
             call.order);
}

/// Tables of a message that its calls refer to by index.
struct CallTables {
  std::vector<jobs::WorkerRecord> workers;
  std::vector<std::string> payloads;
};

[[nodiscard]] CallTables ReadTables(WireReader* in) {
  CallTables tables;
  for (std::size_t left = in->Count(kMaxCallsPerExchange); left > 0; --left) {
    jobs::WorkerRecord& worker = tables.workers.emplace_back();
    worker.incarnation.id =
        jobs::WorkerId(std::string(in->Text(kMaxTextBytes)));
    worker.incarnation.start_time = in->Signed();
    worker.address = in->Text(kMaxTextBytes);
  }
  for (std::size_t left = in->Count(kMaxCallsPerExchange); left > 0; --left)
    tables.payloads.emplace_back(in->Text(kMaxTextBytes));
  return tables;
}

[[nodiscard]] WorkerOrder ReadOrder(const CallTables& tables,
                                    jobs::JobTable* jobs,
                                    WireReader* in) {
  switch (in->Enum(kCallKinds)) {
    case CallKind::kStart: {
      StartCall start;
      start.timeout = ReadTime(in);
      start.token = in->Number();
      start.run = jobs->Read();
      start.lease_until_ms = in->Signed();
      const std::uint64_t payload = in->Number();
      if (payload < tables.payloads.size())
        start.payload = tables.payloads[payload];
      else
        in->SetError("payload index out of range");
      start.checkpoint = in->Text(kMaxTextBytes);
      start.ticket = in->Text(kMaxTextBytes);
      return start;
    }
    case CallKind::kStop: {
      StopCall stop;
      stop.timeout = ReadTime(in);
      stop.token = in->Number();
      stop.run = jobs->Read();
      return stop;
    }
    case CallKind::kHold:
      break;
  }
  HoldCall hold;
  hold.timeout = ReadTime(in);
  hold.token = in->Number();
  hold.last_end_sequence = in->Signed();
  hold.lease_until_ms = ReadOptional(in);
  hold.wait = ReadTime(in);
  return hold;
}

[[nodiscard]] DelegatedCall ReadCall(const CallTables& tables,
                                     jobs::JobTable* jobs,
                                     WireReader* in) {
  DelegatedCall call;
  call.id = in->Number();
  const std::uint64_t worker = in->Number();
  if (worker < tables.workers.size())
    call.worker = tables.workers[worker];
  else
    in->SetError("worker index out of range");
  call.order = ReadOrder(tables, jobs, in);
  return call;
}

void WriteResponse(const DelegatedResponse& delegated,
                   jobs::JobTableWriter* jobs,
                   WireWriter* out) {
  out->Number(delegated.id);
  out->Flag(delegated.result.has_value());
  if (!delegated.result) {
    const Error& error = delegated.result.error();
    out->Enum(error.code);
    out->Text(error.detail);
    return;
  }
  const HoldResponse& response = delegated.result.value();
  out->Enum(response.call.verdict);
  WriteOptional(response.call.clock_ms, out);
  out->Number(response.running.size());
  for (const RunningRow& row : response.running) {
    jobs->Write(row.run, out);
    out->Text(row.checkpoint);
    out->Signed(row.percent);
  }
  out->Number(response.ended.size());
  for (const EndedRow& row : response.ended) {
    out->Signed(row.end_sequence);
    jobs->Write(row.run, out);
    out->Enum(row.how);
    out->Text(row.checkpoint);
  }
}

[[nodiscard]] DelegatedResponse ReadResponse(jobs::JobTable* jobs,
                                             WireReader* in) {
  DelegatedResponse delegated;
  delegated.id = in->Number();
  if (!in->Flag()) {
    const ErrorCode code = in->Enum(kErrorCodes);
    delegated.result = Fail(code, std::string(in->Text(kMaxTextBytes)));
    return delegated;
  }
  HoldResponse response;
  response.call.verdict = in->Enum(kCallVerdicts);
  response.call.clock_ms = ReadOptional(in);
  const std::size_t running = in->Count(jobs::kMaxWireRows);
  response.running.reserve(running);
  for (std::size_t i = 0; i < running && !in->failed(); ++i) {
    RunningRow& row = response.running.emplace_back();
    row.run = jobs->Read();
    row.checkpoint = in->Text(kMaxTextBytes);
    row.percent = static_cast<int>(in->Signed());
  }
  const std::size_t ended = in->Count(jobs::kMaxWireRows);
  response.ended.reserve(ended);
  for (std::size_t i = 0; i < ended && !in->failed(); ++i) {
    EndedRow& row = response.ended.emplace_back();
    row.end_sequence = in->Signed();
    row.run = jobs->Read();
    row.how = in->Enum(jobs::kRunEnds);
    row.checkpoint = in->Text(kMaxTextBytes);
  }
  delegated.result = std::move(response);
  return delegated;
}

}  // namespace

Millis TimeAllowed(const WorkerOrder& order) {
  return std::visit(
      Overloaded{[](const HoldCall& hold) -> Millis {
                   return hold.wait + hold.timeout;
                 },
                 [](const auto& other) -> Millis { return other.timeout; }},
      order);
}

void LimitTime(WorkerOrder* order, Millis left) {
  std::visit(Overloaded{[left](HoldCall& hold) {
                          hold.timeout =
                              std::min(hold.timeout, left - hold.wait);
                          if (hold.timeout.count() < 0) {
                            hold.wait = left;
                            hold.timeout = Millis(0);
                          }
                        },
                        [left](auto& other) {
                          other.timeout = std::min(other.timeout, left);
                        }},
             *order);
}

std::string EncodeExchange(const CallExchange& exchange) {
  Tables tables;
  jobs::JobTableWriter jobs;
  WireWriter calls;
  calls.Number(exchange.calls.size());
  for (const DelegatedCall& call : exchange.calls)
    WriteCall(call, &tables, &jobs, &calls);
  WireWriter out;
  out.Number(exchange.term);
  WriteTime(exchange.wait, &out);
  tables.WriteTo(&out);
  jobs.WriteTo(&out);
  out.Append(calls);
  return out.Take();
}

Result<CallExchange> DecodeExchange(std::string_view bytes) {
  WireReader in(bytes);
  CallExchange exchange;
  exchange.term = in.Number(jobs::kMaxNumber);
  exchange.wait = ReadTime(&in);
  const CallTables tables = ReadTables(&in);
  jobs::JobTable jobs(&in);
  const std::size_t calls = in.Count(kMaxCallsPerExchange);
  exchange.calls.reserve(calls);
  for (std::size_t i = 0; i < calls && !in.failed(); ++i)
    exchange.calls.push_back(ReadCall(tables, &jobs, &in));
  BW_CHECK(in.Finish());
  return exchange;
}

std::string EncodeReply(const CallExchangeReply& reply) {
  jobs::JobTableWriter jobs;
  WireWriter responses;
  responses.Number(reply.responses.size());
  for (const DelegatedResponse& response : reply.responses)
    WriteResponse(response, &jobs, &responses);
  WireWriter out;
  out.Text(reply.agent.str());
  out.Text(reply.zone.str());
  out.Flag(reply.leaving);
  jobs.WriteTo(&out);
  out.Append(responses);
  return out.Take();
}

Result<CallExchangeReply> DecodeReply(std::string_view bytes) {
  WireReader in(bytes);
  CallExchangeReply reply;
  reply.agent = Incarnation(std::string(in.Text(kMaxTextBytes)));
  reply.zone = ZoneName(std::string(in.Text(kMaxTextBytes)));
  reply.leaving = in.Flag();
  jobs::JobTable jobs(&in);
  const std::size_t responses = in.Count(jobs::kMaxWireRows);
  reply.responses.reserve(responses);
  for (std::size_t i = 0; i < responses && !in.failed(); ++i)
    reply.responses.push_back(ReadResponse(&jobs, &in));
  BW_CHECK(in.Finish());
  return reply;
}

std::size_t SizeOf(const DelegatedResponse& response) {
  if (!response.result)
    return kRowBytes + response.result.error().detail.size();
  std::size_t bytes = kRowBytes;
  for (const RunningRow& row : response.result.value().running)
    bytes += kRowBytes + row.checkpoint.size();
  for (const EndedRow& row : response.result.value().ended)
    bytes += kRowBytes + row.checkpoint.size();
  return bytes;
}

std::size_t SizeOf(const DelegatedCall& call) {
  const auto* start = std::get_if<StartCall>(&call.order);
  return 2 * kRowBytes +
         (start == nullptr ? 0
                           : start->payload.size() + start->checkpoint.size());
}

}  // namespace boragewinch::scheduler
