#include "scheduler/worker_call_codec.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <string_view>
#include <utility>

#include "base/enum_table.h"

namespace boragewinch::scheduler {

namespace {

enum class CallKind { kStart, kStop, kHold };

constexpr EnumTable<CallKind, 3> kCallKinds{{{
    {CallKind::kStart, "start"},
    {CallKind::kStop, "stop"},
    {CallKind::kHold, "hold"},
}}};

constexpr Millis kMaxTime{600'000};
/// Names, numbers and punctuation of a call or of a row of a list.
constexpr std::size_t kRowBytes = 96;

template <typename... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <typename... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

[[nodiscard]] auto Invalid(const char* what) {
  return Fail(ErrorCode::kInvalidField, what);
}

[[nodiscard]] std::string RunText(const jobs::RunName& run) {
  return run.task.Text() + "/" + std::to_string(run.number);
}

[[nodiscard]] Result<jobs::RunName> RunFromJson(const Json& json) {
  if (!json.isString())
    return Invalid("a run is not a text");
  const char* begin = nullptr;
  const char* end = nullptr;
  json.getString(&begin, &end);
  const std::string_view text(begin, static_cast<std::size_t>(end - begin));
  jobs::RunName run;
  const auto first = text.find('/');
  if (first == std::string_view::npos || first == 0)
    return Invalid("a run without a job");
  run.task.job = jobs::JobId(std::string(text.substr(0, first)));
  const char* at = begin + first;
  for (std::uint32_t* part :
       {&run.task.occurrence, &run.task.step, &run.task.index, &run.number}) {
    if (at == end || *at != '/')
      return Invalid("a run with too few numbers");
    const auto [next, error] = std::from_chars(at + 1, end, *part);
    if (error != std::errc())
      return Invalid("a run with an invalid number");
    at = next;
  }
  if (at != end)
    return Invalid("a run with too many numbers");
  return run;
}

[[nodiscard]] Json OptionalNumber(std::optional<std::int64_t> number) {
  return number ? Json(::Json::Int64(*number)) : Json();
}

[[nodiscard]] Result<std::optional<std::int64_t>> OptionalFromJson(
    const Json& json) {
  if (json.isNull())
    return std::optional<std::int64_t>();
  if (!json.isInt64())
    return Invalid("a time is not a whole number");
  return std::optional<std::int64_t>(json.asInt64());
}

[[nodiscard]] Result<Millis> TimeFromJson(const Json& json) {
  if (!json.isInt64() || json.asInt64() < 0 ||
      json.asInt64() > kMaxTime.count()) {
    return Invalid("a duration is out of range");
  }
  return Millis(json.asInt64());
}

/// \brief Numbers the workers and payloads of a message.
class Tables {
 public:
  [[nodiscard]] int IndexOf(const jobs::WorkerNote& worker) {
    const auto [place, added] = worker_indexes_.try_emplace(
        {worker.life, worker.address}, static_cast<int>(workers_.size()));
    if (added) {
      Json row(::Json::arrayValue);
      row.append(worker.life.id.str());
      row.append(::Json::Int64(worker.life.born));
      row.append(worker.address);
      workers_.append(std::move(row));
    }
    return place->second;
  }
  [[nodiscard]] int IndexOf(const std::string& payload) {
    const auto [place, added] = payload_indexes_.try_emplace(
        payload, static_cast<int>(payloads_.size()));
    if (added)
      payloads_.append(payload);
    return place->second;
  }
  void MoveTo(Json* json) {
    (*json)["workers"] = std::move(workers_);
    if (!payloads_.empty())
      (*json)["payloads"] = std::move(payloads_);
  }

 private:
  Json workers_{::Json::arrayValue};
  Json payloads_{::Json::arrayValue};
  std::map<std::pair<jobs::WorkerLife, std::string>, int> worker_indexes_;
  std::map<std::string_view, int> payload_indexes_;
};

[[nodiscard]] Json CallToJson(const DelegatedCall& call, Tables* tables) {
  Json row(::Json::arrayValue);
  row.append(::Json::UInt64(call.id));
  const int worker = tables->IndexOf(call.worker);
  std::visit(
      Overloaded{[&](const StartCall& start) {
                   row.append(std::string(kCallKinds.Name(CallKind::kStart)));
                   row.append(worker);
                   row.append(::Json::Int64(start.timeout.count()));
                   row.append(::Json::UInt64(start.token));
                   row.append(RunText(start.run));
                   row.append(::Json::Int64(start.lease_until_ms));
                   row.append(tables->IndexOf(start.payload));
                   row.append(start.checkpoint);
                   row.append(start.ticket);
                 },
                 [&](const StopCall& stop) {
                   row.append(std::string(kCallKinds.Name(CallKind::kStop)));
                   row.append(worker);
                   row.append(::Json::Int64(stop.timeout.count()));
                   row.append(::Json::UInt64(stop.token));
                   row.append(RunText(stop.run));
                 },
                 [&](const HoldCall& hold) {
                   row.append(std::string(kCallKinds.Name(CallKind::kHold)));
                   row.append(worker);
                   row.append(::Json::Int64(hold.timeout.count()));
                   row.append(::Json::UInt64(hold.token));
                   row.append(::Json::Int64(hold.ends_noted));
                   row.append(OptionalNumber(hold.lease_until_ms));
                   row.append(::Json::Int64(hold.wait.count()));
                 }},
      call.order);
  return row;
}

[[nodiscard]] Result<WorkerOrder> StartFromJson(const Json& row,
                                                const Json& payloads) {
  constexpr ::Json::ArrayIndex kFields = 10;
  if (row.size() != kFields || !row[6].isInt64() || !row[7].isUInt() ||
      !row[8].isString() || !row[9].isString()) {
    return Invalid("a start has other fields");
  }
  const ::Json::ArrayIndex payload = row[7].asUInt();
  if (!payloads.isArray() || payload >= payloads.size() ||
      !payloads[payload].isString()) {
    return Invalid("a start names no payload");
  }
  StartCall start;
  start.token = row[4].asUInt64();
  BW_TRY(start.run, RunFromJson(row[5]));
  start.lease_until_ms = row[6].asInt64();
  start.payload = payloads[payload].asString();
  start.checkpoint = row[8].asString();
  start.ticket = row[9].asString();
  BW_TRY(start.timeout, TimeFromJson(row[3]));
  return WorkerOrder(std::move(start));
}

[[nodiscard]] Result<WorkerOrder> StopFromJson(const Json& row) {
  constexpr ::Json::ArrayIndex kFields = 6;
  if (row.size() != kFields)
    return Invalid("a stop has other fields");
  StopCall stop;
  stop.token = row[4].asUInt64();
  BW_TRY(stop.run, RunFromJson(row[5]));
  BW_TRY(stop.timeout, TimeFromJson(row[3]));
  return WorkerOrder(std::move(stop));
}

[[nodiscard]] Result<WorkerOrder> HoldFromJson(const Json& row) {
  constexpr ::Json::ArrayIndex kFields = 8;
  if (row.size() != kFields || !row[5].isInt64())
    return Invalid("a request for a list has other fields");
  HoldCall hold;
  hold.token = row[4].asUInt64();
  hold.ends_noted = row[5].asInt64();
  BW_TRY(hold.lease_until_ms, OptionalFromJson(row[6]));
  BW_TRY(hold.wait, TimeFromJson(row[7]));
  BW_TRY(hold.timeout, TimeFromJson(row[3]));
  return WorkerOrder(std::move(hold));
}

[[nodiscard]] Result<DelegatedCall> CallFromJson(
    const Json& row,
    const std::vector<jobs::WorkerNote>& workers,
    const Json& payloads) {
  constexpr ::Json::ArrayIndex kCommonFields = 5;
  if (!row.isArray() || row.size() < kCommonFields || !row[0].isUInt64() ||
      !row[1].isString() || !row[2].isUInt() || !row[4].isUInt64()) {
    return Invalid("a call lacks its common fields");
  }
  DelegatedCall call;
  call.id = row[0].asUInt64();
  if (row[2].asUInt() >= workers.size())
    return Invalid("a call names no worker");
  call.worker = workers[row[2].asUInt()];
  const auto kind = kCallKinds.Parse(row[1].asString());
  if (!kind)
    return Fail(ErrorCode::kInvalidField, "call \"" + row[1].asString() + "\"");
  switch (*kind) {
    case CallKind::kStart: {
      BW_TRY(call.order, StartFromJson(row, payloads));
      break;
    }
    case CallKind::kStop: {
      BW_TRY(call.order, StopFromJson(row));
      break;
    }
    case CallKind::kHold: {
      BW_TRY(call.order, HoldFromJson(row));
      break;
    }
  }
  return call;
}

[[nodiscard]] Json AnswerToJson(const DelegatedAnswer& delegated) {
  Json row(::Json::arrayValue);
  row.append(::Json::UInt64(delegated.id));
  if (!delegated.answer) {
    const Error& error = delegated.answer.error();
    row.append(Json());
    row.append(std::string(kErrorCodes.Name(error.code)));
    row.append(error.detail);
    return row;
  }
  const HoldAnswer& answer = delegated.answer.value();
  row.append(std::string(kCallVerdicts.Name(answer.call.verdict)));
  row.append(OptionalNumber(answer.call.clock_ms));
  if (answer.running.empty() && answer.ended.empty())
    return row;
  Json running(::Json::arrayValue);
  for (const RunningRow& item : answer.running) {
    running.append(RunText(item.run));
    running.append(item.checkpoint);
    running.append(item.percent);
  }
  row.append(std::move(running));
  if (answer.ended.empty())
    return row;
  Json ended(::Json::arrayValue);
  for (const EndedRow& item : answer.ended) {
    ended.append(::Json::Int64(item.number));
    ended.append(RunText(item.run));
    ended.append(std::string(jobs::kRunEnds.Name(item.how)));
    ended.append(item.checkpoint);
  }
  row.append(std::move(ended));
  return row;
}

[[nodiscard]] Status ReadRunning(const Json& list,
                                 std::vector<RunningRow>* running) {
  constexpr ::Json::ArrayIndex kFields = 3;
  if (!list.isArray() || list.size() % kFields != 0)
    return Invalid("a list of running tasks");
  running->reserve(list.size() / kFields);
  for (::Json::ArrayIndex at = 0; at < list.size(); at += kFields) {
    if (!list[at + 1].isString() || !list[at + 2].isInt())
      return Invalid("a row of a running task");
    RunningRow row;
    BW_TRY(row.run, RunFromJson(list[at]));
    row.checkpoint = list[at + 1].asString();
    row.percent = list[at + 2].asInt();
    running->push_back(std::move(row));
  }
  return Ok();
}

[[nodiscard]] Status ReadEnded(const Json& list, std::vector<EndedRow>* ended) {
  constexpr ::Json::ArrayIndex kFields = 4;
  if (!list.isArray() || list.size() % kFields != 0)
    return Invalid("a list of ended tasks");
  ended->reserve(list.size() / kFields);
  for (::Json::ArrayIndex at = 0; at < list.size(); at += kFields) {
    if (!list[at].isInt64() || !list[at + 2].isString() ||
        !list[at + 3].isString()) {
      return Invalid("a row of an ended task");
    }
    EndedRow row;
    row.number = list[at].asInt64();
    BW_TRY(row.run, RunFromJson(list[at + 1]));
    const auto how = jobs::kRunEnds.Parse(list[at + 2].asString());
    if (!how)
      return Invalid("an unknown end of a task");
    row.how = *how;
    row.checkpoint = list[at + 3].asString();
    ended->push_back(std::move(row));
  }
  return Ok();
}

[[nodiscard]] Result<DelegatedAnswer> AnswerFromJson(const Json& row) {
  constexpr ::Json::ArrayIndex kLeastFields = 3;
  if (!row.isArray() || row.size() < kLeastFields || !row[0].isUInt64())
    return Invalid("an answer lacks its common fields");
  DelegatedAnswer delegated;
  delegated.id = row[0].asUInt64();
  if (row[1].isNull()) {
    const auto code =
        row[2].isString() ? kErrorCodes.Parse(row[2].asString()) : std::nullopt;
    if (!code || row.size() != kLeastFields + 1 || !row[3].isString())
      return Invalid("an answer with an unknown error");
    delegated.answer = Fail(*code, row[3].asString());
    return delegated;
  }
  const auto verdict =
      row[1].isString() ? kCallVerdicts.Parse(row[1].asString()) : std::nullopt;
  if (!verdict)
    return Invalid("an answer with an unknown verdict");
  HoldAnswer answer;
  answer.call.verdict = *verdict;
  BW_TRY(answer.call.clock_ms, OptionalFromJson(row[2]));
  if (row.size() > kLeastFields)
    BW_CHECK(ReadRunning(row[3], &answer.running));
  if (row.size() > kLeastFields + 1)
    BW_CHECK(ReadEnded(row[4], &answer.ended));
  delegated.answer = std::move(answer);
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

Json ToJson(const CallExchange& exchange) {
  Json json;
  json["term"] = ::Json::UInt64(exchange.term);
  json["wait"] = ::Json::Int64(exchange.wait.count());
  if (exchange.calls.empty())
    return json;
  Tables tables;
  Json calls(::Json::arrayValue);
  for (const DelegatedCall& call : exchange.calls)
    calls.append(CallToJson(call, &tables));
  json["calls"] = std::move(calls);
  tables.MoveTo(&json);
  return json;
}

Result<CallExchange> CallExchangeFromJson(const Json& json) {
  CallExchange exchange;
  BW_TRY(const std::int64_t term, IntField(json, "term", 0, jobs::kMaxNumber));
  exchange.term = static_cast<std::uint64_t>(term);
  BW_TRY(const std::int64_t wait, IntField(json, "wait", 0, kMaxTime.count()));
  exchange.wait = Millis(wait);
  const Json& calls = json["calls"];
  if (calls.isNull())
    return exchange;
  if (!calls.isArray() || !json["workers"].isArray())
    return Invalid("calls without a list of workers");
  if (calls.size() > kMaxCallsPerExchange)
    return Fail(ErrorCode::kTooLarge, std::to_string(calls.size()) + " calls");
  std::vector<jobs::WorkerNote> workers;
  for (const Json& row : json["workers"]) {
    constexpr ::Json::ArrayIndex kFields = 3;
    if (!row.isArray() || row.size() != kFields || !row[0].isString() ||
        !row[1].isInt64() || !row[2].isString()) {
      return Invalid("a row of a worker");
    }
    jobs::WorkerNote worker;
    worker.life = {jobs::WorkerId(row[0].asString()), row[1].asInt64()};
    worker.address = row[2].asString();
    workers.push_back(std::move(worker));
  }
  for (const Json& row : calls) {
    BW_TRY(DelegatedCall call, CallFromJson(row, workers, json["payloads"]));
    exchange.calls.push_back(std::move(call));
  }
  return exchange;
}

Json ToJson(const CallExchangeReply& reply) {
  Json json;
  json["agent"] = reply.agent.str();
  if (!reply.zone.empty())
    json["zone"] = reply.zone.str();
  if (reply.leaving)
    json["leaving"] = true;
  Json answers(::Json::arrayValue);
  for (const DelegatedAnswer& answer : reply.answers)
    answers.append(AnswerToJson(answer));
  json["answers"] = std::move(answers);
  return json;
}

Result<CallExchangeReply> CallExchangeReplyFromJson(const Json& json) {
  if (!json.isObject())
    return Invalid("a reply is not an object");
  CallExchangeReply reply;
  BW_TRY(const std::string agent, StringField(json, "agent"));
  reply.agent = Incarnation(agent);
  BW_TRY(const std::string zone, StringFieldOr(json, "zone", ""));
  reply.zone = ZoneName(zone);
  BW_TRY(reply.leaving, BoolFieldOr(json, "leaving", false));
  if (!json["answers"].isArray())
    return Invalid("a reply without a list of answers");
  for (const Json& row : json["answers"]) {
    BW_TRY(DelegatedAnswer answer, AnswerFromJson(row));
    reply.answers.push_back(std::move(answer));
  }
  return reply;
}

std::size_t SizeOf(const DelegatedAnswer& answer) {
  if (!answer.answer)
    return kRowBytes + answer.answer.error().detail.size();
  std::size_t bytes = kRowBytes;
  for (const RunningRow& row : answer.answer.value().running)
    bytes += kRowBytes + row.checkpoint.size();
  for (const EndedRow& row : answer.answer.value().ended)
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
