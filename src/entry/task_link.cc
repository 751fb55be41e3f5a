#include "entry/task_link.h"

#include <cstdlib>
#include <utility>

#include "base/event_log.h"
#include "entry/outbound_service.h"
#include "entry/service_names.h"
#include "model/job.h"

namespace boragewinch {

namespace {

constexpr char kHeartbeatPath[] = "/v1/workers/heartbeat";
constexpr char kLeavePath[] = "/v1/workers/leave";
constexpr char kResultPath[] = "/v1/tasks/result";
constexpr std::size_t kMaxTaskIdBytes = 256;
// Shorter than the core's start timeout, after which the outcome of the start
// counts as unknown.
constexpr Millis kStartTimeout{3'000};
constexpr Millis kStopTimeout{2'000};

inline constexpr EnumTable<ForbidState, 3> kForbidStates{{{
    {ForbidState::kForbidden, "forbidden"},
    {ForbidState::kRunning, "running"},
    {ForbidState::kEnded, "ended"},
}}};

inline constexpr EnumTable<CheckpointResponse, 3> kCheckpointResponses{{{
    {CheckpointResponse::kStopped, "stopped"},
    {CheckpointResponse::kNotRunning, "not_running"},
    {CheckpointResponse::kUnsupported, "unsupported"},
}}};

[[nodiscard]] Result<Json> BodyOf(const Result<HttpResponse>& response) {
  if (!response)
    return outcome::failure(response.error());
  BW_TRY(Json json, ParseJson(response.value().body));
  if (response.value().status != 200 || !json.isObject()) {
    return Fail(ErrorCode::kProtocol,
                "status " + std::to_string(response.value().status));
  }
  return json;
}

[[nodiscard]] Result<StartReply> ReadStartReply(
    const Result<HttpResponse>& response) {
  BW_TRY(const Json json, BodyOf(response));
  BW_TRY(const auto name, StringField(json, "answer"));
  const auto answer = kStartResponses.Parse(name);
  if (!answer)
    return Fail(ErrorCode::kProtocol, "unknown answer \"" + name + "\"");
  BW_TRY(auto incarnation, StringField(json, "incarnation", kMaxNameBytes));
  return StartReply{*answer, Incarnation(std::move(incarnation))};
}

[[nodiscard]] Result<ForbidResponse> ReadForbidResponse(
    const Result<HttpResponse>& response) {
  BW_TRY(const Json json, BodyOf(response));
  BW_TRY(const auto name, StringField(json, "answer"));
  BW_TRY(auto incarnation, StringField(json, "incarnation", kMaxNameBytes));
  const auto state = kForbidStates.Parse(name);
  if (!state)
    return Fail(ErrorCode::kProtocol, "unknown answer \"" + name + "\"");
  return ForbidResponse{*state, Incarnation(std::move(incarnation))};
}

[[nodiscard]] Result<CheckpointResponse> ReadCheckpointResponse(
    const Result<HttpResponse>& response) {
  // A worker that does not support the call rejects its path or its method.
  if (response &&
      (response.value().status == 404 || response.value().status == 405 ||
       response.value().status == 501)) {
    return CheckpointResponse::kUnsupported;
  }
  BW_TRY(const Json json, BodyOf(response));
  BW_TRY(const auto name, StringField(json, "answer"));
  const auto answer = kCheckpointResponses.Parse(name);
  if (!answer)
    return Fail(ErrorCode::kProtocol, "unknown answer \"" + name + "\"");
  return *answer;
}

[[nodiscard]] Json TaskTexts(const std::vector<TaskId>& tasks) {
  Json array(::Json::arrayValue);
  for (const TaskId& task : tasks)
    array.append(task.Text());
  return array;
}

[[nodiscard]] HttpCall CallOf(const std::string& address,
                              const char* path,
                              const Json& body,
                              Millis timeout) {
  HttpCall call{"POST", "http://" + address + path};
  call.body = WriteJson(body);
  call.timeout = timeout;
  return call;
}

[[nodiscard]] HttpResponse RefusalOf(const Error& error) {
  Json json;
  json["error"] = std::string(kErrorCodes.Name(error.code));
  json["detail"] = error.detail;
  const bool conflict = error.code == ErrorCode::kConflict;
  const bool missing = error.code == ErrorCode::kNotFound;
  const bool unavailable = error.code == ErrorCode::kUnavailable;
  const int status = conflict ? 409 : missing ? 404 : unavailable ? 503 : 400;
  return {status, WriteJson(json)};
}

}  // namespace

Status TaskLink::Start(Kernel& kernel) {
  loop_ = &kernel.loop();
  BW_TRY(entry_, kernel.Require<EntryService>(kEntryService));
  BW_TRY(auto* outbound, kernel.Require<OutboundService>(kOutboundService));
  core_ = &entry_->core();
  client_ = &outbound->http();
  entry_->On<StartTask>([this](const StartTask& task) { SendStart(task); });
  entry_->On<StopTask>([this](const StopTask& task) { SendStop(task); });
  entry_->On<ForbidTask>([this](const ForbidTask& task) { SendForbid(task); });
  entry_->On<CheckpointTask>(
      [this](const CheckpointTask& task) { SendCheckpoint(task); });
  entry_->On<AnswerLeave>(
      [this](const AnswerLeave& answer) { OnLeaveAnswer(answer); });
  return Ok();
}

void TaskLink::SendStart(const StartTask& action) {
  Json body = ToJson(action.spec.declared);
  body["task"] = action.task.Text();
  body["team"] = action.spec.team.str();
  body["pool"] = action.pool.str();
  body["assignment"] = ::Json::UInt64(action.assignment);
  body["lease_ms"] = ::Json::Int64(action.lease.count());
  body["worker_incarnation"] = action.worker_incarnation.str();
  body["payload"] = action.spec.payload;
  if (!action.progress.empty())
    body["progress"] = action.progress;
  client_->Send(CallOf(action.address, "/tasks", body, kStartTimeout),
                [this, task = action.task, host = action.host,
                 incarnation = action.worker_incarnation](
                    const Result<HttpResponse>& response) {
                  Result<StartReply> reply = ReadStartReply(response);
                  // No byte was sent, so the worker can't have started the
                  // task.
                  if (!reply && (reply.error().code == ErrorCode::kTransport ||
                                 reply.error().code == ErrorCode::kTableFull))
                    reply = StartReply{StartResponse::kBusy, incarnation};
                  core_->OnStartResponse(task, host, reply, loop_->now());
                  entry_->Flush();
                });
}

void TaskLink::SendStop(const StopTask& action) {
  Json body;
  body["task"] = action.task.Text();
  // Not retried here: the response to the worker's next report lists a
  // cancelled task again, and a preemption is repeated by the scheduler.
  client_->Send(CallOf(action.address, "/tasks/stop", body, kStopTimeout),
                [](const Result<HttpResponse>&) {});
}

void TaskLink::SendForbid(const ForbidTask& action) {
  Json body;
  body["task"] = action.task.Text();
  client_->Send(CallOf(action.address, "/tasks/forbid", body, kStopTimeout),
                [this, task = action.task,
                 host = action.host](const Result<HttpResponse>& response) {
                  core_->OnForbidResponse(
                      task, host, ReadForbidResponse(response), loop_->now());
                  entry_->Flush();
                });
}

void TaskLink::SendCheckpoint(const CheckpointTask& action) {
  Json body;
  body["task"] = action.task.Text();
  client_->Send(CallOf(action.address, "/tasks/checkpoint", body, kStopTimeout),
                [this, task = action.task,
                 host = action.host](const Result<HttpResponse>& response) {
                  core_->OnCheckpointResponse(task, host,
                                              ReadCheckpointResponse(response),
                                              loop_->now());
                  entry_->Flush();
                });
}

bool TaskLink::Handles(const HttpRequest& request) {
  return request.path == kHeartbeatPath || request.path == kLeavePath ||
         request.path == kResultPath;
}

void TaskLink::Serve(const HttpRequest& request, const HttpResponder& respond) {
  const Result<Json> body = ParseJson(request.body);
  bool responds_later = false;
  const auto answer = [&]() -> Result<Json> {
    if (!body)
      return outcome::failure(body.error());
    if (!body.value().isObject())
      return Fail(ErrorCode::kInvalidField, "the body must be an object");
    if (request.path == kHeartbeatPath)
      return OnHeartbeat(body.value());
    if (request.path == kLeavePath) {
      BW_CHECK(OnLeave(body.value(), respond));
      responds_later = true;
      return Json();
    }
    return OnResult(body.value());
  }();
  entry_->Flush();
  if (responds_later)
    return;
  if (answer) {
    respond({200, WriteJson(answer.value())});
    return;
  }
  LogEvent(EventId::kMalformedMessage,
           {{"path", request.path}, {"error", answer.error().Text()}});
  respond(RefusalOf(answer.error()));
}

Result<Json> TaskLink::OnHeartbeat(const Json& body) {
  BW_TRY(const WorkerReport report, WorkerReportFromJson(body));
  const WorkerReportResponse response =
      core_->OnWorkerReport(report, loop_->now());
  Json json;
  json["renew"] = TaskTexts(response.renewed);
  json["stop"] = TaskTexts(response.stop);
  json["acknowledged"] = TaskTexts(response.acknowledged);
  json["lease_ms"] = ::Json::Int64(kTaskLease.count());
  json["assignment"] = ::Json::UInt64(response.assignment);
  json["pool"] = response.pool.str();
  json["drain"] = response.drain;
  return json;
}

Status TaskLink::OnLeave(const Json& body, const HttpResponder& respond) {
  BW_TRY(auto host, StringField(body, "host", kMaxNameBytes));
  BW_TRY(auto incarnation, StringField(body, "incarnation", kMaxNameBytes));
  const CallId call = next_leave_++;
  pending_leaves_.emplace(call, respond);
  core_->OnWorkerLeave(
      call, {HostName(std::move(host)), Incarnation(std::move(incarnation))},
      loop_->now());
  return Ok();
}

void TaskLink::OnLeaveAnswer(const AnswerLeave& answer) {
  const auto node = pending_leaves_.extract(answer.call);
  if (node.empty())
    return;
  if (!answer.confirmed) {
    node.mapped()(RefusalOf(
        Error{ErrorCode::kUnavailable,
              "an entry host of the zone did not confirm the leave; send it to "
              "another entry host"}));
    return;
  }
  Json json;
  json["leaving"] = true;
  node.mapped()({200, WriteJson(json)});
}

Result<Json> TaskLink::OnResult(const Json& body) {
  TaskResult result;
  BW_TRY(const auto task, StringField(body, "task", kMaxTaskIdBytes));
  BW_TRY(result.task, TaskId::Parse(task));
  BW_TRY(const auto state, StringField(body, "state"));
  BW_TRY(result.body, StringField(body, "body", kMaxResultBytes));
  BW_TRY(
      const auto length,
      IntField(body, "length", 0, static_cast<std::int64_t>(kMaxResultBytes)));
  BW_TRY(const auto hash, StringField(body, "hash", 16));
  const auto parsed = kTaskStates.Parse(state);
  if (!parsed)
    return Fail(ErrorCode::kInvalidField, "unknown state \"" + state + "\"");
  result.state = *parsed;
  result.length = static_cast<std::uint64_t>(length);
  result.hash = std::strtoull(hash.c_str(), nullptr, 16);
  BW_TRY(const ResultAck ack, core_->OnResult(std::move(result), loop_->now()));
  Json json;
  json["acknowledged"] = ack == ResultAck::kAcknowledged;
  return json;
}

}  // namespace boragewinch
