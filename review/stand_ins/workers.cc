#include "review/stand_ins/workers.h"

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace boragewinch::review {

namespace {

constexpr Millis kTick{20};
constexpr Millis kCheckInInterval{1'500};
constexpr Millis kCheckInTimeout{1'000};
constexpr std::int64_t kMaxHoldMs = 10'000;
constexpr Millis kStopTime{100};
/// Time after which a faulty worker ends what it has started.
constexpr Millis kFaultTime{100};
constexpr Millis kGangTimeout{3'000};
constexpr Millis kCheckpointInterval{1'000};
/// Time until the other members of a gang learn that one has ended.
constexpr Millis kGangNoticeTime{150};
constexpr std::size_t kMaxEndsListed = 500;
constexpr std::int64_t kMaxWaitMs = 2'000;

[[nodiscard]] Work ParseWork(const std::string& spec) {
  Work work;
  std::istringstream words(spec);
  for (std::string word; words >> word;) {
    const auto equals = word.find('=');
    if (equals == std::string::npos)
      continue;
    const std::string name = word.substr(0, equals);
    const std::int64_t value = std::stoll(word.substr(equals + 1));
    if (name == "ms")
      work.ms = value;
    else if (name == "fail")
      work.fail = static_cast<int>(value);
    else if (name == "gang")
      work.gang = static_cast<int>(value);
    else if (name == "saves")
      work.saves = value != 0;
  }
  return work;
}

[[nodiscard]] std::string StepOf(const std::string& task) {
  return task.substr(0, task.rfind('.'));
}

/// \returns the work in ms that a checkpoint stands for.
[[nodiscard]] std::int64_t WorkIn(const std::string& checkpoint) {
  return checkpoint.empty() ? 0 : std::stoll(checkpoint.substr(1));
}

}  // namespace

Worker::Worker(Fleet& fleet, WorkerConfig config)
    : fleet_(fleet),
      config_(std::move(config)),
      started_(fleet.deployment().loop().now()),
      born_(fleet.deployment().loop().unix_millis()) {
  EventLoop& loop = fleet_.deployment().loop();
  server_ = std::make_unique<HttpServer>(
      loop, HttpServerLimits{},
      [this](const HttpRequest& request, const HttpResponder& respond) {
        Serve(request, respond);
      });
  if (!server_->Listen(config_.address))
    throw std::runtime_error("cannot listen on " + config_.address);
  tick_ = loop.Every(kTick, [this](TimePoint now) { Tick(now); });
  beat_ = loop.Every(kCheckInInterval, [this](TimePoint) { CheckIn(3); });
  CheckIn(3);
}

Worker::~Worker() = default;

std::int64_t Worker::clock_ms() const {
  return (fleet_.deployment().loop().now() - started_).count();
}

void Worker::CheckIn(int attempts) {
  if (attempts == 0)
    return;
  Json body;
  body["service"] = config_.service;
  body["address"] = config_.address;
  body["zone"] = "zone-1";
  body["version"] = "v1";
  body["slots"] = 8;
  body["state"] = "ready";
  body["coldRemainingMs"] = 0;
  body["capacity"]["cpu"] = ::Json::Int64(config_.cpu);
  body["capacity"]["memMb"] = ::Json::Int64(config_.memory_mb);
  body["capacity"]["gpu"] = 0;
  body["labels"].append(config_.kind);
  body["labels"].append(config_.rack);
  body["machineId"] = config_.machine;
  body["clockMs"] = ::Json::Int64(clock_ms());
  body["born"] = ::Json::Int64(born_);
  body["sequence"] = ::Json::Int64(++sequence_);
  HttpCall call;
  call.method = "PUT";
  const auto& controls = fleet_.deployment().controls();
  call.url = "http://" + controls[next_control_ % controls.size()] +
             "/-/instances/" + config_.id;
  call.body = WriteJson(body);
  call.timeout = kCheckInTimeout;
  fleet_.deployment().client().Send(
      std::move(call), [this, alive = std::weak_ptr<bool>(alive_),
                        attempts](const Result<HttpResponse>& result) {
        if (alive.expired() || (result && result.value().status == 200))
          return;
        ++next_control_;
        CheckIn(attempts - 1);
      });
}

HttpResponse Worker::Accepted() const {
  Json body;
  body["clockMs"] = ::Json::Int64(clock_ms());
  body["born"] = ::Json::Int64(born_);
  return {200, WriteJson(body)};
}

HttpResponse Worker::Rejected(const char* reason) const {
  Json body;
  body["clockMs"] = ::Json::Int64(clock_ms());
  body["born"] = ::Json::Int64(born_);
  body["reason"] = reason;
  return {409, WriteJson(body)};
}

HttpResponse Worker::Lists() const {
  Json body;
  body["clockMs"] = ::Json::Int64(clock_ms());
  body["born"] = ::Json::Int64(born_);
  body["running"] = Json(::Json::arrayValue);
  body["finished"] = Json(::Json::arrayValue);
  for (const auto& [task, run] : runs_) {
    Json row;
    row.append(task);
    row.append(run.number);
    row.append(run.saved);
    row.append(100);
    row.append(0);
    body["running"].append(std::move(row));
  }
  std::size_t listed = 0;
  for (const End& end : ends_) {
    if (++listed > kMaxEndsListed)
      break;
    Json row;
    row.append(::Json::Int64(end.number));
    row.append(end.task);
    row.append(end.run);
    row.append(end.how);
    row.append(end.saved);
    body["finished"].append(std::move(row));
  }
  return {200, WriteJson(body)};
}

void Worker::Serve(const HttpRequest& request, const HttpResponder& respond) {
  const auto expected = request.headers.find("expect-instance");
  if (expected != request.headers.end() && expected->second != config_.id) {
    respond({421, "{}"});
    return;
  }
  const Result<Json> parsed = ParseJson(request.body);
  if (request.method != "POST" || !parsed || !parsed.value().isObject()) {
    respond({400, "{}"});
    return;
  }
  const Json& body = parsed.value();
  const std::uint64_t token =
      body["fencingToken"].isUInt64() ? body["fencingToken"].asUInt64() : 0;
  if (token < token_) {
    respond(Rejected("fence"));
    return;
  }
  token_ = token;
  Tick(fleet_.deployment().loop().now());
  if (request.path == "/-/run-start")
    respond(StartRun(body));
  else if (request.path == "/-/run-stop")
    respond(StopRun(body));
  else if (request.path == "/-/hold")
    Hold(body, respond);
  else if (request.path == "/-/pace")
    respond(Accepted());
  else
    respond({404, "{}"});
}

void Worker::ExtendLease(const Json& body) {
  if (!body["deadlineMs"].isInt64())
    return;
  lease_until_ = std::max(lease_until_, std::min(body["deadlineMs"].asInt64(),
                                                 clock_ms() + kMaxHoldMs));
}

HttpResponse Worker::StartRun(const Json& body) {
  const std::string task = body["task"].asString();
  const std::uint32_t number = body["runId"].asUInt();
  if (const auto found = runs_.find(task);
      found != runs_.end() && found->second.number >= number) {
    ExtendLease(body);
    return found->second.number == number ? Accepted() : Rejected("old");
  }
  if (const auto floor = floors_.find(task);
      floor != floors_.end() && number <= floor->second) {
    ExtendLease(body);
    return Rejected("old");
  }
  if (body["deadlineMs"].asInt64() <= clock_ms())
    return Rejected("late");
  ExtendLease(body);
  Run& run = runs_[task];
  run.number = number;
  run.saved = body["checkpoint"].isString() ? body["checkpoint"].asString()
                                            : std::string();
  fleet_.OnStart(*this, task, number, body["spec"].asString(), run.saved);
  const Work work = fleet_.WorkOf(task);
  EventLoop& loop = fleet_.deployment().loop();
  if (fails_all_) {
    run.timer = loop.After(kFaultTime,
                           [this, task](TimePoint) { EndRun(task, "failed"); });
  } else if (work.gang == 0 && work.ms > 0) {
    const bool fails = fleet_.StartsOf(task) <= work.fail;
    run.timer = loop.After(Millis(work.ms), [this, task, fails](TimePoint) {
      EndRun(task, fails ? "failed" : "done");
    });
  }
  return Accepted();
}

HttpResponse Worker::StopRun(const Json& body) {
  const std::string task = body["task"].asString();
  const std::uint32_t number = body["runId"].asUInt();
  if (const auto found = runs_.find(task);
      found != runs_.end() && found->second.number <= number) {
    if (!std::exchange(found->second.stopping, true)) {
      found->second.timer = fleet_.deployment().loop().After(
          kStopTime, [this, task](TimePoint) { EndRun(task, "stopped"); });
    }
  } else {
    floors_[task] = std::max(floors_[task], number);
  }
  return Accepted();
}

void Worker::Hold(const Json& body, const HttpResponder& respond) {
  ExtendLease(body);
  const std::int64_t cursor = body["ackCursor"].asInt64();
  while (!ends_.empty() && ends_.front().number <= cursor)
    ends_.pop_front();
  const std::int64_t wait = body["waitMs"].isInt64()
                                ? std::min(kMaxWaitMs, body["waitMs"].asInt64())
                                : 0;
  if (wait <= 0 || !ends_.empty()) {
    respond(Lists());
    return;
  }
  waiting_.push_back(
      {respond, fleet_.deployment().loop().now() + Millis(wait)});
}

bool Worker::EndRun(const std::string& task, const std::string& how) {
  const auto found = runs_.find(task);
  if (found == runs_.end())
    return false;
  const std::uint32_t number = found->second.number;
  const std::string saved = found->second.saved;
  runs_.erase(found);
  floors_[task] = std::max(floors_[task], number);
  ends_.push_back({++last_end_, task, number, how, saved});
  for (const Waiting& waiting : std::exchange(waiting_, {}))
    waiting.respond(Lists());
  fleet_.OnEnd(*this, task, number, how);
  return true;
}

void Worker::SetSaved(const std::string& task, const std::string& saved) {
  if (const auto found = runs_.find(task); found != runs_.end())
    found->second.saved = saved;
}

void Worker::Tick(TimePoint now) {
  if (!runs_.empty() && clock_ms() >= lease_until_) {
    std::vector<std::string> tasks;
    for (const auto& [task, run] : runs_)
      tasks.push_back(task);
    for (const std::string& task : tasks)
      EndRun(task, "lapsed");
  }
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (it->until > now) {
      ++it;
      continue;
    }
    it->respond(Lists());
    it = waiting_.erase(it);
  }
}

Fleet::Fleet(Deployment& deployment) : deployment_(deployment) {}

std::string Fleet::StartHostApi() {
  hosts_api_ = std::make_unique<HttpServer>(
      deployment_.loop(), HttpServerLimits{},
      [this](const HttpRequest& request, const HttpResponder& respond) {
        if (request.path != "/-/machines") {
          // No case has a pool on standby or a wave.
          respond({409, R"({"reason":"busy"})"});
          return;
        }
        Json body;
        body["machines"] = Json(::Json::arrayValue);
        for (const auto& [id, config] : configs_) {
          Json row;
          row["machineId"] = config.machine;
          row["pool"] = config.service;
          row["state"] = workers_.count(id) > 0 ? "up" : "down";
          row["zone"] = "zone-1";
          row["labels"].append(config.kind);
          row["labels"].append(config.rack);
          row["capacity"]["cpu"] = ::Json::Int64(config.cpu);
          row["capacity"]["memMb"] = ::Json::Int64(config.memory_mb);
          row["capacity"]["gpu"] = 0;
          if (workers_.count(id) > 0)
            row["id"] = id;
          body["machines"].append(std::move(row));
        }
        respond({200, WriteJson(body)});
      });
  if (!hosts_api_->Listen(deployment_.Ip(90) + ":8344"))
    throw std::runtime_error("cannot listen for the host API");
  return hosts_api_->address();
}

void Fleet::Add(const WorkerConfig& config) {
  configs_[config.id] = config;
  workers_[config.id] = std::make_unique<Worker>(*this, config);
  deployment_.Record("worker " + config.id + " of service " + config.service +
                     ", kind " + config.kind + ", at " + config.address +
                     " starts");
}

void Fleet::Crash(const std::string& id) {
  workers_.erase(id);
  for (auto& [task, on] : running_)
    on.erase(id);
  deployment_.Record("worker " + id + " crashes");
  std::vector<std::string> broken;
  for (const auto& [key, gang] : gangs_) {
    for (const auto& [task, worker] : gang.members) {
      if (worker == id)
        broken.push_back(key);
    }
  }
  for (const std::string& key : broken) {
    timers_.push_back(deployment_.loop().After(
        kGangNoticeTime, [this, key](TimePoint) { EndGang(key, "broken"); }));
  }
}

void Fleet::Revive(const std::string& id) {
  workers_[id] = std::make_unique<Worker>(*this, configs_.at(id));
  deployment_.Record("worker " + id + " starts again");
}

Worker* Fleet::Find(const std::string& id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : found->second.get();
}

std::vector<RunEvent> Fleet::EventsOf(const std::string& prefix) const {
  std::vector<RunEvent> events;
  for (const RunEvent& event : events_) {
    if (event.task.starts_with(prefix))
      events.push_back(event);
  }
  return events;
}

int Fleet::Running(const std::string& task) const {
  const auto found = running_.find(task);
  return found == running_.end() ? 0 : static_cast<int>(found->second.size());
}

std::string Fleet::WorkerOf(const std::string& task) const {
  const auto found = running_.find(task);
  return found == running_.end() || found->second.empty()
             ? ""
             : *found->second.begin();
}

int Fleet::StartsOf(const std::string& task) const {
  const auto found = starts_.find(task);
  return found == starts_.end() ? 0 : found->second;
}

Work Fleet::WorkOf(const std::string& task) const {
  const auto found = work_.find(task);
  return found == work_.end() ? Work{} : found->second;
}

void Fleet::OnStart(Worker& worker,
                    const std::string& task,
                    std::uint32_t run,
                    const std::string& spec,
                    const std::string& checkpoint) {
  const std::string& id = worker.config().id;
  events_.push_back(
      {deployment_.loop().now(), task, run, id, "start", checkpoint});
  deployment_.Record(
      "worker " + id + " starts " + task + " run " + std::to_string(run) +
      (checkpoint.empty() ? std::string() : " from checkpoint " + checkpoint));
  ++starts_[task];
  work_[task] = ParseWork(spec);
  running_[task].insert(id);
  if (running_[task].size() > 1 && twice_.empty()) {
    twice_ = task;
    std::string on;
    for (const std::string& name : running_[task])
      on += " " + name;
    deployment_.Record("TWICE: " + task + " runs at the same time on" + on);
  }
  if (work_[task].gang > 0) {
    JoinGang(StepOf(task) + "#" + std::to_string(run), task, id, checkpoint,
             work_[task]);
  }
}

void Fleet::OnEnd(Worker& worker,
                  const std::string& task,
                  std::uint32_t run,
                  const std::string& how) {
  const std::string& id = worker.config().id;
  events_.push_back({deployment_.loop().now(), task, run, id, how, ""});
  deployment_.Record("worker " + id + " ends " + task + " run " +
                     std::to_string(run) + ": " + how);
  running_[task].erase(id);
  const std::string key = StepOf(task) + "#" + std::to_string(run);
  if (const auto gang = gangs_.find(key); gang != gangs_.end()) {
    gang->second.members.erase(task);
    if (how != "done" && how != "broken" && how != "alone") {
      timers_.push_back(deployment_.loop().After(
          kGangNoticeTime, [this, key](TimePoint) { EndGang(key, "broken"); }));
    }
  }
}

void Fleet::JoinGang(const std::string& key,
                     const std::string& task,
                     const std::string& worker,
                     const std::string& checkpoint,
                     const Work& work) {
  Gang& gang = gangs_[key];
  EventLoop& loop = deployment_.loop();
  if (gang.members.empty()) {
    gang.since = loop.now();
    gang.timer = loop.After(kGangTimeout, [this, key](TimePoint) {
      if (!gangs_[key].working)
        EndGang(key, "alone");
    });
  }
  gang.members[task] = worker;
  gang.checkpoints[task] = checkpoint;
  if (static_cast<int>(gang.members.size()) < work.gang)
    return;
  // The members of a run carry the same checkpoint; members that resume from
  // different points cannot work together.
  for (const auto& [member, value] : gang.checkpoints) {
    if (value != checkpoint)
      return;
  }
  gang.working = true;
  gang.resumed_ms = WorkIn(checkpoint);
  gang.work_since = loop.now();
  deployment_.Record("gang " + key + " works, from " +
                     std::to_string(gang.resumed_ms) + " ms");
  gang.timer =
      loop.After(Millis(std::max<std::int64_t>(1, work.ms - gang.resumed_ms)),
                 [this, key](TimePoint) { EndGang(key, "done"); });
  if (work.saves) {
    gang.save = loop.Every(kCheckpointInterval, [this, key](TimePoint now) {
      Gang& current = gangs_[key];
      const std::int64_t done =
          current.resumed_ms + (now - current.work_since).count();
      const std::string saved =
          "c" + std::to_string(done / kCheckpointInterval.count() *
                               kCheckpointInterval.count());
      for (const auto& [member, on] : current.members) {
        if (Worker* found = Find(on); found != nullptr)
          found->SetSaved(member, saved);
      }
    });
  }
}

void Fleet::EndGang(const std::string& key, const std::string& how) {
  const auto found = gangs_.find(key);
  if (found == gangs_.end())
    return;
  const auto members = std::exchange(found->second.members, {});
  found->second.save.reset();
  for (const auto& [task, worker] : members) {
    if (Worker* on = Find(worker); on != nullptr)
      on->EndRun(task, how);
  }
}

}  // namespace boragewinch::review
