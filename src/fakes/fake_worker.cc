#include "fakes/fake_worker.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "model/job.h"

namespace boragewinch {

namespace {

constexpr Millis kCallTimeout{1'000};
constexpr Millis kPostRetryStep{100};
constexpr Millis kPostRetryMax{2'000};
constexpr Millis kPlatformPoll{300};
constexpr Millis kEarlyReport{100};
constexpr std::size_t kMaxSeenTasks = 100'000;

struct Work {
  Millis run = kDefaultRun;
  bool fail = false;
  std::string body;
};

[[nodiscard]] Work ReadPayload(const std::string& payload) {
  Work work;
  work.body = payload;
  const Result<Json> json = ParseJson(payload);
  if (!json || !json.value().isObject())
    return work;
  if (auto run = IntFieldOr(json.value(), "run_ms", kDefaultRun.count(), 0,
                            kMaxRunTime.count()))
    work.run = Millis(run.value());
  if (auto fail = BoolFieldOr(json.value(), "fail", false))
    work.fail = fail.value();
  if (auto echo = StringFieldOr(json.value(), "echo", "", kMaxPayloadBytes))
    work.body = echo.value();
  return work;
}

// Progress is {"done_ms": run time of earlier attempts}.
[[nodiscard]] Millis PriorRunTime(const std::string& progress) {
  const Result<Json> json = ParseJson(progress);
  if (progress.empty() || !json)
    return Millis(0);
  return Millis(ValueOr<std::int64_t>(
      IntFieldOr(json.value(), "done_ms", 0, 0, kMaxRunTime.count()), 0));
}

[[nodiscard]] HttpResponse JsonResponse(const char* name,
                                        std::string_view value) {
  Json json;
  json[name] = std::string(value);
  return {200, WriteJson(json)};
}

enum class Delivery { kDone, kKept, kRetry };

// 404 and 409 are final. 400 is retried, as the body may have been corrupted in
// transit.
[[nodiscard]] Delivery DeliveryOf(const Result<HttpResponse>& result) {
  if (!result)
    return Delivery::kRetry;
  const int status = result.value().status;
  if (status == 404 || status == 409)
    return Delivery::kDone;
  const auto json = ParseJson(result.value().body);
  if (status != 200 || !json || !json.value().isObject())
    return Delivery::kRetry;
  return ValueOr(BoolFieldOr(json.value(), "acknowledged", false), false)
             ? Delivery::kDone
             : Delivery::kKept;
}

[[nodiscard]] std::vector<TaskId> TaskList(const Json& array) {
  std::vector<TaskId> tasks;
  if (!array.isArray())
    return tasks;
  for (const Json& item : array) {
    if (!item.isString())
      continue;
    if (auto task = TaskId::Parse(item.asString()))
      tasks.push_back(task.value());
  }
  return tasks;
}

}  // namespace

FakeWorker::FakeWorker(EventLoop& loop,
                       HttpClient& client,
                       FakeWorkerConfig config)
    : loop_(loop),
      client_(client),
      config_(std::move(config)),
      server_(
          loop,
          {.max_connections = static_cast<unsigned>(kMaxConnectionsPerWorker)},
          [this](const HttpRequest& request, const HttpResponder& respond) {
            Serve(request, respond);
          }),
      incarnation_(RandomHex64()) {}

FakeWorker::~FakeWorker() = default;

Status FakeWorker::Start() {
  BW_CHECK(server_.Listen(config_.listen));
  heartbeat_ = loop_.Every(config_.heartbeat, [this](TimePoint now) {
    ExpireLeases(now);
    SendHeartbeats();
  });
  if (!config_.platform.empty()) {
    platform_poll_ =
        loop_.Every(kPlatformPoll, [this](TimePoint) { PollPlatform(); });
  }
  loop_.Post([this] { SendHeartbeats(); });
  return Ok();
}

const std::string& FakeWorker::address() const noexcept {
  return server_.address();
}

std::size_t FakeWorker::running() const noexcept {
  return static_cast<std::size_t>(
      std::count_if(tasks_.begin(), tasks_.end(),
                    [](const auto& item) { return !item.second.ended; }));
}

void FakeWorker::Serve(const HttpRequest& request,
                       const HttpResponder& respond) {
  if (rebooting_)
    return;
  const TimePoint now = loop_.now();
  if (request.path == "/leave" && request.method == "POST") {
    Leave();
    respond(JsonResponse("answer", "leaving"));
    return;
  }
  const Result<Json> body = ParseJson(request.body);
  if (request.method != "POST" || !body || !body.value().isObject()) {
    respond({400, R"({"error":"malformed"})"});
    return;
  }
  if (request.path == "/tasks") {
    const StartResponse response =
        ValueOr(StartTask(body.value(), now), StartResponse::kBadTask);
    Json json;
    json["answer"] = std::string(kStartResponses.Name(response));
    json["incarnation"] = incarnation_.str();
    respond({200, WriteJson(json)});
    return;
  }
  const auto text = StringField(body.value(), "task", 256);
  const auto task = text ? TaskId::Parse(text.value())
                         : Result<TaskId>(outcome::failure(text.error()));
  if (!task) {
    respond({400, R"({"error":"malformed"})"});
    return;
  }
  const auto found = tasks_.find(task.value());
  const bool running = found != tasks_.end() && !found->second.ended;
  if (request.path.ends_with("/forbid")) {
    // A task that was never started here can't start after this response.
    if (seen_.insert(task.value()).second)
      forbidden_.insert(task.value());
    Json response;
    response["incarnation"] = incarnation_.str();
    if (forbidden_.contains(task.value()))
      response["answer"] = "forbidden";
    else
      response["answer"] = running ? "running" : "ended";
    respond({200, WriteJson(response)});
    return;
  }
  if (request.path == "/tasks/checkpoint" && config_.checkpoint) {
    if (running) {
      const Task& stopped = found->second;
      Json progress;
      progress["done_ms"] = ::Json::Int64(
          (stopped.prior_run_time + (now - stopped.started)).count());
      EndTask(task.value(), TaskState::kStopped, WriteJson(progress));
    }
    respond(JsonResponse("answer", running ? "stopped" : "not_running"));
    return;
  }
  if (request.path == "/tasks/stop") {
    if (running)
      EndTask(task.value(), TaskState::kStopped);
    respond(JsonResponse("answer", running ? "stopped" : "not_running"));
    return;
  }
  respond({404, R"({"error":"not_found"})"});
}

Result<StartResponse> FakeWorker::StartTask(const Json& body, TimePoint now) {
  BW_TRY(const auto text, StringField(body, "task", 256));
  BW_TRY(const TaskId id, TaskId::Parse(text));
  BW_TRY(auto team, StringFieldOr(body, "team", "", kMaxNameBytes));
  BW_TRY(const auto payload,
         StringFieldOr(body, "payload", "", kMaxPayloadBytes));
  BW_TRY(const auto progress,
         StringFieldOr(body, "progress", "", kMaxProgressBytes));
  BW_TRY(const auto lease, IntField(body, "lease_ms", 1, kMaxRunTime.count()));
  BW_TRY(const auto assignment,
         IntFieldOr(body, "assignment", 0, 0, INT64_MAX));
  BW_TRY(const Resources declared, ResourcesFromJson(body));
  BW_TRY(const auto incarnation,
         StringFieldOr(body, "worker_incarnation", "", kMaxNameBytes));
  if (!incarnation.empty() && incarnation != incarnation_.str())
    return StartResponse::kLeaving;
  if (seen_.contains(id))
    return StartResponse::kDuplicate;
  if (leaving_ || drain_ || static_cast<FleetVersion>(assignment) < assignment_)
    return StartResponse::kLeaving;
  if (running() >= static_cast<std::size_t>(config_.slots))
    return StartResponse::kBusy;
  if (seen_.size() >= kMaxSeenTasks)
    return StartResponse::kBusy;

  const Work work = ReadPayload(payload);
  seen_.insert(id);
  if (config_.on_execute)
    config_.on_execute(id);
  Task& task = tasks_[id];
  task.report = {id, TeamName(std::move(team)), TaskState::kRunning, declared};
  if (config_.on_change)
    config_.on_change(id, task.report.team, true);
  task.lease_until = now + HolderLease(Millis(lease));
  task.body = work.body;
  const bool fail = work.fail || config_.fail_all;
  task.started = now;
  task.prior_run_time = PriorRunTime(progress);
  const Millis run = config_.fail_all
                         ? Millis(1)
                         : std::max(work.run - task.prior_run_time, Millis(0));
  task.timer = loop_.After(run, [this, id, fail](TimePoint) {
    EndTask(id, fail ? TaskState::kFailed : TaskState::kFinished);
  });
  return StartResponse::kStarted;
}

void FakeWorker::EndTask(const TaskId& id,
                         TaskState state,
                         std::string progress) {
  const auto found = tasks_.find(id);
  if (found == tasks_.end() || found->second.ended)
    return;
  Task& task = found->second;
  task.ended = true;
  task.report.state = state;
  if (config_.on_change)
    config_.on_change(id, task.report.team, false);
  task.timer.reset();
  if (state == TaskState::kStopped)
    task.body = std::move(progress);
  PostResult(id);
  // Reports the freed slot early, since entry hosts that did not start the task
  // learn of it only from a heartbeat.
  if (!early_report_) {
    early_report_ = loop_.After(kEarlyReport, [this](TimePoint) {
      early_report_.reset();
      SendHeartbeats();
    });
  }
}

void FakeWorker::PostResult(const TaskId& id) {
  const auto found = tasks_.find(id);
  if (found == tasks_.end() || config_.entries.empty() || rebooting_)
    return;
  Task& task = found->second;
  Json json;
  json["task"] = id.Text();
  json["host"] = config_.host.str();
  json["incarnation"] = incarnation_.str();
  json["state"] = std::string(kTaskStates.Name(task.report.state));
  json["body"] = task.body;
  json["length"] = ::Json::UInt64(task.body.size());
  json["hash"] = Hex64(Hash64(task.body));
  const std::string& entry =
      config_.entries[next_entry_++ % config_.entries.size()];
  HttpCall call{"POST", "http://" + entry + "/v1/tasks/result"};
  call.body = WriteJson(json);
  call.timeout = kCallTimeout;
  const Millis delay =
      std::min(kPostRetryStep * (1 << std::min(task.delivery_attempts, 5)),
               kPostRetryMax);
  ++task.delivery_attempts;
  client_.Send(std::move(call), [this, id,
                                 delay](const Result<HttpResponse>& result) {
    const auto ended = tasks_.find(id);
    if (ended == tasks_.end())
      return;
    const Delivery delivery = DeliveryOf(result);
    if (delivery == Delivery::kDone) {
      RemoveEnded(id);
      return;
    }
    // A result that was not acknowledged may have been forwarded, but only
    // once, and that message may be lost. It is posted to the next entry host
    // until one acknowledges it.
    const Millis pause = delivery == Delivery::kKept ? kPostRetryMax : delay;
    ended->second.retry =
        loop_.After(pause, [this, id](TimePoint) { PostResult(id); });
  });
}

void FakeWorker::RemoveEnded(const TaskId& id) {
  const auto found = tasks_.find(id);
  if (found != tasks_.end() && found->second.ended)
    tasks_.erase(found);
}

void FakeWorker::SendHeartbeats() {
  if (rebooting_)
    return;
  WorkerReport report;
  report.host = config_.host;
  report.incarnation = incarnation_;
  report.sequence = ++sequence_;
  report.zone = config_.zone;
  report.rack = config_.rack;
  report.address = server_.address();
  report.total = config_.total;
  report.slots = config_.slots;
  report.leaving = leaving_;
  report.acknowledged_assignment = assignment_;
  report.acknowledged_pool = pool_;
  report.acknowledged_drain = drain_;
  for (const auto& [id, task] : tasks_)
    report.tasks.push_back(task.report);
  const std::string body = WriteJson(ToJson(report));
  const TimePoint sent = loop_.now();
  for (const std::string& entry : config_.entries) {
    HttpCall call{"POST", "http://" + entry + "/v1/workers/heartbeat"};
    call.body = body;
    call.timeout = kCallTimeout;
    client_.Send(std::move(call), [this, sent, incarnation = incarnation_](
                                      Result<HttpResponse> result) {
      if (!result || result.value().status != 200 ||
          incarnation != incarnation_)
        return;
      if (auto response = ParseJson(result.value().body);
          response && response.value().isObject())
        OnHeartbeatResponse(response.value(), sent);
    });
  }
}

void FakeWorker::OnHeartbeatResponse(const Json& response, TimePoint sent) {
  // The lease counts from when the heartbeat was sent, so a slow response never
  // extends it beyond what the entry host granted.
  const Millis lease(IntFieldOr(response, "lease_ms", kTaskLease.count(), 1,
                                kMaxRunTime.count())
                         .value());
  for (const TaskId& id : TaskList(response["renew"])) {
    if (auto task = tasks_.find(id); task != tasks_.end()) {
      task->second.lease_until =
          std::max(task->second.lease_until, sent + HolderLease(lease));
    }
  }
  for (const TaskId& id : TaskList(response["stop"]))
    EndTask(id, TaskState::kStopped);
  for (const TaskId& id : TaskList(response["acknowledged"]))
    RemoveEnded(id);
  const auto assignment = IntFieldOr(response, "assignment", 0, 0, INT64_MAX);
  if (assignment &&
      static_cast<FleetVersion>(assignment.value()) > assignment_) {
    assignment_ = static_cast<FleetVersion>(assignment.value());
    pool_ = PoolName(ValueOr<std::string>(
        StringFieldOr(response, "pool", "", kMaxNameBytes), ""));
    drain_ = ValueOr(BoolFieldOr(response, "drain", false), false);
    // The entry host waits for this acknowledgement.
    loop_.Post([this] { SendHeartbeats(); });
  }
}

void FakeWorker::ExpireLeases(TimePoint now) {
  std::vector<TaskId> expired;
  for (const auto& [id, task] : tasks_) {
    if (!task.ended && task.lease_until <= now)
      expired.push_back(id);
  }
  for (const TaskId& id : expired)
    EndTask(id, TaskState::kStopped);
}

void FakeWorker::Leave() {
  leaving_ = true;
  if (config_.entries.empty())
    return;
  Json json;
  json["host"] = config_.host.str();
  json["incarnation"] = incarnation_.str();
  HttpCall call{"POST",
                "http://" + config_.entries.front() + "/v1/workers/leave"};
  call.body = WriteJson(json);
  call.timeout = kCallTimeout;
  client_.Send(std::move(call), [](const Result<HttpResponse>&) {});
}

void FakeWorker::Restart() {
  for (const auto& [id, task] : tasks_) {
    if (!task.ended && config_.on_change)
      config_.on_change(id, task.report.team, false);
  }
  tasks_.clear();
  seen_.clear();
  forbidden_.clear();
  incarnation_ = Incarnation(RandomHex64());
  sequence_ = 0;
  leaving_ = false;
  assignment_ = 0;
  pool_ = PoolName();
  drain_ = false;
}

void FakeWorker::PollPlatform() {
  HttpCall call{"GET",
                "http://" + config_.platform + "/hosts/" + config_.host.str()};
  call.timeout = kCallTimeout;
  client_.Send(std::move(call), [this](Result<HttpResponse> result) {
    if (!result || result.value().status != 200)
      return;
    const auto response = ParseJson(result.value().body);
    if (!response || !response.value().isObject())
      return;
    const auto boots = IntFieldOr(response.value(), "boots", 0, 0, INT64_MAX);
    const auto up = BoolFieldOr(response.value(), "up", true);
    if (!boots || !up)
      return;
    rebooting_ = !up.value();
    if (boots.value() != boots_) {
      boots_ = boots.value();
      Restart();
      SendHeartbeats();
    }
  });
}

}  // namespace boragewinch
