#include "worker.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <utility>

#include "record.h"

namespace review {

namespace {

constexpr std::int64_t kMaxHoldMs = 10'000;
constexpr std::int64_t kMaxWaitMs = 2'000;
constexpr Millis kStopTime{100};
constexpr Millis kTick{5};
constexpr Millis kCheckInInterval{1'500};
constexpr Millis kCheckInTimeout{1'000};
constexpr std::size_t kMaxListed = 500;

}  // namespace

Json::Value ParseOrNull(const std::string& text) {
  Json::Value value;
  std::istringstream in(text);
  const Json::CharReaderBuilder builder;
  if (!Json::parseFromStream(builder, in, &value, nullptr))
    return {};
  return value;
}

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::size_t RunLog::Add(Run run) {
  const std::lock_guard lock(mutex_);
  runs_.push_back(std::move(run));
  return runs_.size() - 1;
}

void RunLog::End(std::size_t index, const std::string& how) {
  const std::lock_guard lock(mutex_);
  runs_[index].until = SinceStart();
  runs_[index].how = how;
}

void RunLog::SetListed(std::size_t index) {
  const std::lock_guard lock(mutex_);
  if (runs_[index].listed_at < 0)
    runs_[index].listed_at = SinceStart();
}

std::vector<Run> RunLog::runs() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

Worker::Worker(WorkerOptions options, RunLog& runs)
    : options_(std::move(options)),
      runs_(runs),
      started_(Clock::now()),
      born_(std::chrono::duration_cast<Millis>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  server_ = std::make_unique<Server>(
      options_.listen,
      [this](const Request& request) { return Receive(request); });
  ticker_ = std::thread([this] { Tick(); });
  reporter_ = std::thread([this] { CheckIn(); });
}

Worker::~Worker() {
  Crash();
  ticker_.join();
  reporter_.join();
}

std::int64_t Worker::ClockMs() const {
  return std::chrono::duration_cast<Millis>(Clock::now() - started_).count();
}

std::size_t Worker::running() const {
  const std::lock_guard lock(mutex_);
  return running_.size();
}

bool Worker::all_listed() const {
  const std::lock_guard lock(mutex_);
  return std::all_of(ended_.begin(), ended_.end(),
                     [](const Ended& ended) { return ended.listed; });
}

Response Worker::Answer(int status, Json::Value body) const {
  body["clockMs"] = Json::Int64(ClockMs());
  body["born"] = Json::Int64(born_);
  return {status, Write(body), nullptr};
}

Response Worker::Refuse(const char* reason) const {
  Json::Value body;
  body["reason"] = reason;
  return Answer(409, body);
}

Response Worker::Receive(const Request& request) {
  if (!Delay(request))
    return Serve(request);
  while (!gone_)
    std::this_thread::sleep_for(kTick);
  return {};
}

bool Worker::Delay(const Request& request) {
  const std::lock_guard lock(mutex_);
  if (request.path != "/-/run-start" || delayed_starts_ <= 0)
    return false;
  --delayed_starts_;
  delayed_.push_back({request, SinceStart()});
  const Json::Value body = ParseOrNull(request.body);
  Record("start of " + body["task"].asString() + " run " +
         std::to_string(body["runId"].asUInt()) + " at " + options_.id +
         ": no response, to be carried out late");
  return true;
}

std::vector<Worker::DelayedStart> Worker::TakeDelayedStarts() {
  const std::lock_guard lock(mutex_);
  return std::exchange(delayed_, {});
}

void Worker::CarryOut(const Request& request) {
  (void)Serve(request);
}

Response Worker::Serve(const Request& request) {
  while (dark_)
    std::this_thread::sleep_for(kCheckInInterval);
  std::unique_lock lock(mutex_);
  if (gone_)
    return {};
  const auto expected = request.headers.find("expect-instance");
  if (expected != request.headers.end() && expected->second != options_.id)
    return Answer(421, Json::objectValue);
  const Json::Value body = ParseOrNull(request.body);
  if (!body.isObject())
    return Answer(400, Json::objectValue);
  const std::uint64_t fence =
      body["fencingToken"].isUInt64() ? body["fencingToken"].asUInt64() : 0;
  if (fence < fence_)
    return Refuse("fence");
  fence_ = fence;
  if (request.path == "/-/run-start")
    return Start(body);
  if (request.path == "/-/run-stop")
    return Stop(body);
  if (request.path == "/-/hold")
    return Hold(body, &lock);
  if (request.path == "/-/pace")
    return Answer(200, Json::objectValue);
  return Answer(404, Json::objectValue);
}

// The lease is a time on this worker's clock and never becomes shorter.
void Worker::ExtendLease(const Json::Value& body) {
  if (!body["deadlineMs"].isInt64())
    return;
  lease_until_ = std::max(lease_until_, std::min(body["deadlineMs"].asInt64(),
                                                 ClockMs() + kMaxHoldMs));
}

Response Worker::Start(const Json::Value& body) {
  const std::string task = body["task"].asString();
  const std::uint32_t number = body["runId"].asUInt();
  const std::string what = "start of " + task + " run " +
                           std::to_string(number) + " at " + options_.id;
  const auto current = running_.find(task);
  if (current != running_.end() && current->second.number == number) {
    ExtendLease(body);
    return Answer(200, Json::objectValue);
  }
  if (current != running_.end() || floors_[task] >= number) {
    ExtendLease(body);
    Record(what + " -> 409 old");
    return Refuse("old");
  }
  if (body["deadlineMs"].asInt64() <= ClockMs()) {
    Record(what + " -> 409 late");
    return Refuse("late");
  }
  ExtendLease(body);
  const long duration = std::atol(body["spec"].asString().c_str());
  Run run{task, number, options_.id, SinceStart(), -1, "", -1};
  Current started;
  started.number = number;
  started.due = Clock::now() + Millis(duration);
  started.index = runs_.Add(std::move(run));
  running_[task] = started;
  Record(what + " -> 200, fencingToken " +
         std::to_string(body["fencingToken"].asUInt64()));
  return Answer(200, Json::objectValue);
}

Response Worker::Stop(const Json::Value& body) {
  const std::string task = body["task"].asString();
  const std::uint32_t number = body["runId"].asUInt();
  Record("stop of " + task + " run " + std::to_string(number) + " at " +
         options_.id + " -> 200");
  floors_[task] = std::max(floors_[task], number);
  if (const auto current = running_.find(task);
      current != running_.end() && current->second.number <= number) {
    current->second.stop_at = Clock::now() + kStopTime;
  }
  return Answer(200, Json::objectValue);
}

Response Worker::Hold(const Json::Value& body,
                      std::unique_lock<std::mutex>* lock) {
  ++holds_;
  ExtendLease(body);
  const std::int64_t cursor = body["ackCursor"].asInt64();
  if (cursor > 0) {
    Record("hold at " + options_.id + " with ackCursor " +
           std::to_string(cursor));
  }
  while (!ended_.empty() && ended_.front().sequence <= cursor)
    ended_.pop_front();
  const std::int64_t wait =
      std::min<std::int64_t>(kMaxWaitMs, body["waitMs"].asInt64());
  if (wait > 0) {
    ended_changed_.wait_for(*lock, Millis(wait),
                            [this] { return gone_ || !ended_.empty(); });
  }
  if (gone_) {
    lock->unlock();
    while (dark_)
      std::this_thread::sleep_for(kCheckInInterval);
    return {};
  }
  Json::Value answer;
  answer["running"] = Json::arrayValue;
  answer["finished"] = Json::arrayValue;
  for (const auto& [task, current] : running_) {
    Json::Value row(Json::arrayValue);
    row.append(task);
    row.append(current.number);
    row.append("");
    row.append(100);
    row.append(0);
    answer["running"].append(row);
  }
  std::vector<std::int64_t> listed;
  for (const Ended& ended : ended_) {
    if (listed.size() == kMaxListed)
      break;
    Json::Value row(Json::arrayValue);
    row.append(Json::Int64(ended.sequence));
    row.append(ended.task);
    row.append(ended.number);
    row.append(ended.how);
    row.append("");
    answer["finished"].append(row);
    listed.push_back(ended.sequence);
  }
  Response response = Answer(200, answer);
  if (!listed.empty()) {
    response.on_sent = [this, listed] {
      const std::lock_guard guard(mutex_);
      for (Ended& ended : ended_) {
        if (ended.listed || std::find(listed.begin(), listed.end(),
                                      ended.sequence) == listed.end()) {
          continue;
        }
        ended.listed = true;
        runs_.SetListed(ended.index);
        Record("list of " + options_.id + " sent: end " +
               std::to_string(ended.sequence) + ", " + ended.task + " run " +
               std::to_string(ended.number) + " " + ended.how);
      }
    };
  }
  return response;
}

void Worker::End(const std::string& task, const std::string& how) {
  const auto current = running_.find(task);
  const std::uint32_t number = current->second.number;
  floors_[task] = std::max(floors_[task], number);
  runs_.End(current->second.index, how);
  Record("end of " + task + " run " + std::to_string(number) + " at " +
         options_.id + ": " + how);
  ended_.push_back(
      {++last_sequence_, task, number, how, current->second.index, false});
  running_.erase(current);
  ended_changed_.notify_all();
}

void Worker::EndAll(const std::string& how) {
  std::vector<std::string> tasks;
  for (const auto& [task, current] : running_)
    tasks.push_back(task);
  for (const std::string& task : tasks)
    End(task, how);
}

void Worker::Tick() {
  while (!gone_) {
    std::this_thread::sleep_for(kTick);
    const std::lock_guard lock(mutex_);
    if (gone_)
      return;
    if (!running_.empty() && ClockMs() > lease_until_)
      EndAll("lapsed");
    std::vector<std::pair<std::string, std::string>> due;
    const auto now = Clock::now();
    for (const auto& [task, current] : running_) {
      if (now >= current.due)
        due.emplace_back(task, "done");
      else if (now >= current.stop_at)
        due.emplace_back(task, "stopped");
    }
    for (const auto& [task, how] : due)
      End(task, how);
  }
}

bool Worker::SendCheckIn() {
  Json::Value body;
  const bool draining = draining_;
  {
    const std::lock_guard lock(mutex_);
    body["sequence"] = Json::Int64(++check_ins_);
  }
  body["service"] = options_.service;
  body["address"] = address();
  body["zone"] = options_.zone;
  body["version"] = "v1";
  body["slots"] = 8;
  body["state"] = draining ? "draining" : "ready";
  body["coldRemainingMs"] = 0;
  if (draining)
    body["drainRemainingMs"] = 2'000;
  body["capacity"]["cpu"] = Json::Int64(options_.cpu);
  body["capacity"]["memMb"] = Json::Int64(options_.memory_mb);
  body["capacity"]["gpu"] = 0;
  body["labels"].append("a");
  body["labels"].append(options_.rack);
  body["machineId"] = options_.machine;
  body["clockMs"] = Json::Int64(ClockMs());
  body["born"] = Json::Int64(born_);
  const std::string control =
      options_.controls[next_control_ % options_.controls.size()];
  const Response response =
      Call(control, {"PUT", "/-/instances/" + options_.id, {}, Write(body)},
           kCheckInTimeout);
  const bool accepted = response.status >= 200 && response.status < 300;
  if (!accepted) {
    ++next_control_;
    Record("check-in of " + options_.id + " at " + control + " -> " +
           std::to_string(response.status));
    return false;
  }
  if (!acknowledged_.exchange(true))
    Record("check-in of " + options_.id + " (" + options_.machine +
           ") acknowledged by " + control);
  if (draining && !drain_acknowledged_.exchange(true))
    Record("check-in of " + options_.id + ", draining, acknowledged by " +
           control);
  return true;
}

void Worker::CheckIn() {
  auto due = started_ + options_.first_check_in;
  bool reported_drain = false;
  while (!gone_) {
    const bool drain_now = draining_ && !reported_drain;
    if (Clock::now() < due && !drain_now) {
      std::this_thread::sleep_for(kTick);
      continue;
    }
    reported_drain = draining_;
    due = Clock::now() + (SendCheckIn() ? kCheckInInterval : Millis(200));
  }
}

void Worker::Drain() {
  draining_ = true;
}

void Worker::Leave() {
  Record("DELETE of " + options_.id + " sent");
  for (std::size_t i = 0; i < options_.controls.size(); ++i) {
    const std::string control =
        options_.controls[(next_control_ + i) % options_.controls.size()];
    const Response response =
        Call(control, {"DELETE", "/-/instances/" + options_.id, {}, ""},
             kCheckInTimeout);
    Record("DELETE of " + options_.id + " at " + control + " -> " +
           std::to_string(response.status));
    if (response.status >= 200 && response.status < 300)
      break;
  }
  Crash();
}

void Worker::CrashDark() {
  dark_ = true;
  Crash();
}

void Worker::Crash() {
  {
    const std::lock_guard lock(mutex_);
    if (gone_.exchange(true))
      return;
    for (const auto& [task, current] : running_)
      runs_.End(current.index, "gone");
    running_.clear();
    Record(options_.id + " has ended");
  }
  ended_changed_.notify_all();
  if (!dark_)
    server_->Close();
}

}  // namespace review
