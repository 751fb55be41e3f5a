#include "lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <utility>

namespace review {

namespace {

constexpr Millis kTick{20};
constexpr Millis kBeat{1'500};
constexpr Millis kAcknowledgedWithin{1'000};
constexpr std::int64_t kMaxHoldMs = 10'000;
constexpr std::int64_t kMaxWaitMs = 2'000;
constexpr Millis kStopTime{100};
constexpr std::size_t kListedEnds = 500;
constexpr int kSchedulers = 3;
constexpr int kFirstGateway = 20;

Json Parse(const std::string& text) {
  Result<Json> parsed = boragewinch::ParseJson(text);
  return parsed && parsed.value().isObject() ? parsed.value()
                                             : Json(::Json::objectValue);
}

}  // namespace

// --- Program ---

Program::~Program() {
  Kill();
}

void Program::Kill() {
  readable_.reset();
  if (pid_ > 0) {
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
  }
  pid_ = 0;
  if (output_ >= 0)
    close(output_);
  output_ = -1;
}

bool Program::Restart(std::vector<std::string> words) {
  Kill();
  return Start(std::move(words));
}

double Program::MemoryMb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  double all = 0;
  double resident = 0;
  if (pid_ <= 0 || !(file >> all >> resident))
    return 0;
  constexpr double kBytesPerMb = 1024.0 * 1024.0;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / kBytesPerMb;
}

bool Program::Start(std::vector<std::string> words) {
  std::array<int, 2> pipe_ends{};
  if (pipe(pipe_ends.data()) != 0)
    return false;
  std::vector<char*> pointers;
  for (std::string& word : words)
    pointers.push_back(word.data());
  pointers.push_back(nullptr);
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(pipe_ends[1], STDOUT_FILENO);
    dup2(pipe_ends[1], STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    signal(SIGPIPE, SIG_DFL);
    execv(pointers.front(), pointers.data());
    _exit(127);
  }
  close(pipe_ends[1]);
  output_ = pipe_ends[0];
  fcntl(output_, F_SETFL, O_NONBLOCK);
  SetCollected(true);
  return pid_ > 0;
}

void Program::Signal(int number) const {
  if (pid_ > 0)
    kill(pid_, number);
}

void Program::SetCollected(bool collected) {
  readable_.reset();
  if (!collected)
    return;
  readable_ = loop_.OnReady(
      output_, {.readable = true}, [this](boragewinch::Readiness) {
        std::array<char, 65'536> bytes{};
        const ssize_t count = read(output_, bytes.data(), bytes.size());
        if (count <= 0) {
          readable_.reset();
          return;
        }
        log_bytes_ += static_cast<std::size_t>(count);
        log_.write(bytes.data(), count);
      });
}

// --- Worker ---

Worker::Worker(Lab& lab, WorkerConfig config)
    : lab_(lab),
      config_(std::move(config)),
      began_(lab.loop.now()),
      born_(lab.loop.unix_millis()) {}

// When a worker ends, everything that runs on it ends.
Worker::~Worker() {
  for (const auto& [task, run] : runs_) {
    Start& start = lab_.starts[run.start];
    start.ended = lab_.loop.now();
    start.how = "worker ended";
    lab_.Note("run ends: " + task + " run " + std::to_string(run.number) +
              " on " + config_.id + " (its worker ends)");
  }
  runs_.clear();
  server_.reset();
}

bool Worker::Listen() {
  server_ = std::make_unique<HttpServer>(
      lab_.loop, boragewinch::HttpServerLimits{},
      [this](const HttpRequest& request, const HttpResponder& respond) {
        Serve(request, respond);
      });
  const std::string address =
      config_.address.empty() ? "127.0.0.1:0" : config_.address;
  if (!server_->Listen(address))
    return false;
  tick_ = lab_.loop.Every(kTick, [this](TimePoint) { Tick(); });
  return true;
}

std::int64_t Worker::Clock() const {
  return (lab_.loop.now() - began_).count();
}

Json Worker::Stamp() const {
  Json body(::Json::objectValue);
  body["clockMs"] = ::Json::Int64(Clock());
  body["born"] = ::Json::Int64(born_);
  return body;
}

HttpResponse Worker::Refusal(const char* reason) const {
  Json body = Stamp();
  body["reason"] = reason;
  return {409, boragewinch::WriteJson(body)};
}

HttpResponse Worker::Lists() const {
  Json body = Stamp();
  body["running"] = Json(::Json::arrayValue);
  body["finished"] = Json(::Json::arrayValue);
  for (const auto& [task, run] : runs_) {
    Json row(::Json::arrayValue);
    row.append(task);
    row.append(::Json::Int64(run.number));
    row.append("");
    row.append(100);
    row.append(::Json::Int64(run.cpu));
    body["running"].append(row);
  }
  std::size_t listed = 0;
  for (const End& end : ends_) {
    if (listed++ == kListedEnds)
      break;
    Json row(::Json::arrayValue);
    row.append(::Json::Int64(end.number));
    row.append(end.task);
    row.append(::Json::Int64(end.run));
    row.append(end.how);
    row.append("");
    body["finished"].append(row);
  }
  return {200, boragewinch::WriteJson(body)};
}

void Worker::CheckIn() {
  beat_ = lab_.loop.Every(kBeat, [this](TimePoint) { TryCheckIn(3); });
  TryCheckIn(3);
}

void Worker::TryCheckIn(int attempts_left) {
  if (attempts_left == 0)
    return;
  Json body = Stamp();
  body["service"] = config_.pool;
  body["address"] = server_->address();
  body["zone"] = "zone-a";
  body["version"] = "v1";
  body["slots"] = 8;
  body["state"] = draining_ ? "draining" : "ready";
  if (draining_)
    body["drainRemainingMs"] = 2'000;
  body["coldRemainingMs"] = 0;
  body["capacity"]["cpu"] = ::Json::Int64(config_.cpu);
  body["capacity"]["memMb"] = ::Json::Int64(config_.memory_mb);
  body["capacity"]["gpu"] = 0;
  body["labels"].append("a");
  body["labels"].append(config_.rack);
  body["machineId"] = config_.machine;
  body["sequence"] = ::Json::Int64(++sequence_);
  HttpCall call;
  call.method = "PUT";
  call.url = "http://" + lab_.controls[next_control_ % lab_.controls.size()] +
             "/-/instances/" + config_.id;
  call.body = boragewinch::WriteJson(body);
  call.timeout = kAcknowledgedWithin;
  lab_.Send(std::move(call),
            [this, alive = std::weak_ptr<bool>(alive_), attempts_left,
             draining = draining_](const Result<HttpResponse>& result) {
              if (alive.expired())
                return;
              if (result && result.value().status == 200) {
                acknowledged_ = true;
                drain_acknowledged_ = drain_acknowledged_ || draining;
                return;
              }
              ++next_control_;
              TryCheckIn(attempts_left - 1);
            });
}

void Worker::Serve(const HttpRequest& request, const HttpResponder& respond) {
  if (cut_off_) {
    unanswered_.push_back(respond);
    return;
  }
  const auto expected = request.headers.find("expect-instance");
  if (expected != request.headers.end() && expected->second != config_.id) {
    respond({421, "{}"});
    return;
  }
  const Json body = Parse(request.body);
  const std::uint64_t token =
      body["fencingToken"].isUInt64() ? body["fencingToken"].asUInt64() : 0;
  Tick();
  if (token < token_) {
    respond(Refusal("fence"));
    return;
  }
  token_ = token;
  if (request.path == "/-/run-start") {
    respond(StartRun(body));
  } else if (request.path == "/-/run-stop") {
    respond(StopRun(body));
  } else if (request.path == "/-/hold") {
    Extend(body);
    while (!ends_.empty() &&
           ends_.front().number <= body["ackCursor"].asInt64())
      ends_.pop_front();
    const std::int64_t wait =
        std::min(kMaxWaitMs, body["waitMs"].isInt64() ? body["waitMs"].asInt64()
                                                      : std::int64_t{0});
    if (wait <= 0 || !ends_.empty())
      respond(Lists());
    else
      holds_.push_back({respond, lab_.loop.now() + Millis(wait)});
  } else if (request.path == "/-/pace") {
    respond({200, boragewinch::WriteJson(Stamp())});
  } else {
    respond({404, "{}"});
  }
}

void Worker::Extend(const Json& body) {
  if (!body["deadlineMs"].isInt64())
    return;
  const std::int64_t until =
      std::min(body["deadlineMs"].asInt64(), Clock() + kMaxHoldMs);
  lease_until_ = std::max(lease_until_, until);
}

HttpResponse Worker::StartRun(const Json& body) {
  const std::string task = body["task"].asString();
  const std::int64_t number = body["runId"].asInt64();
  if (const auto run = runs_.find(task);
      run != runs_.end() && run->second.number == number) {
    Extend(body);
    return {200, boragewinch::WriteJson(Stamp())};
  }
  if (const auto floor = floors_.find(task);
      floor != floors_.end() && number <= floor->second) {
    Extend(body);
    return Refusal("old");
  }
  if (body["deadlineMs"].asInt64() <= Clock())
    return Refusal("late");
  if (config_.checks_tickets) {
    const auto valid = lab_.tickets(task.substr(0, task.rfind('.')));
    const auto ticket = valid.find(config_.id);
    if (ticket == valid.end() || ticket->second != body["ticket"].asString())
      return Refusal("ticket");
  }
  Extend(body);
  // The spec of a job here begins with the cpu of each of its tasks.
  const std::int64_t cpu = std::atoll(body["spec"].asString().c_str());
  std::int64_t used = cpu;
  for (const auto& [other, run] : runs_)
    used += run.cpu;
  if (used > config_.cpu)
    return Refusal("room");
  Run& run = runs_[task];
  run.number = number;
  run.cpu = cpu;
  run.start = lab_.starts.size();
  lab_.starts.push_back(
      {task, number, config_.id, lab_.loop.now(), std::nullopt, ""});
  lab_.Note("run starts: " + task + " run " + std::to_string(number) + " on " +
            config_.id + " born " + std::to_string(born_));
  if (const Millis time = lab_.duration(task); time != Millis::max()) {
    run.timer = lab_.loop.After(
        time, [this, task](TimePoint) { EndRun(task, "done"); });
  }
  return {200, boragewinch::WriteJson(Stamp())};
}

HttpResponse Worker::StopRun(const Json& body) {
  const std::string task = body["task"].asString();
  const std::int64_t number = body["runId"].asInt64();
  const auto run = runs_.find(task);
  if (run != runs_.end() && run->second.number <= number) {
    if (!std::exchange(run->second.stopping, true)) {
      run->second.timer = lab_.loop.After(
          kStopTime, [this, task](TimePoint) { EndRun(task, "stopped"); });
    }
  } else {
    std::int64_t& floor = floors_[task];
    floor = std::max(floor, number);
  }
  return {200, boragewinch::WriteJson(Stamp())};
}

void Worker::EndRun(const std::string& task, const std::string& how) {
  const auto run = runs_.find(task);
  if (run == runs_.end())
    return;
  const std::int64_t number = run->second.number;
  Start& start = lab_.starts[run->second.start];
  start.ended = lab_.loop.now();
  start.how = how;
  lab_.Note("run ends: " + task + " run " + std::to_string(number) + " on " +
            config_.id + " " + how);
  // The timer calls this, so it is kept until the next iteration.
  lab_.loop.Post(
      [timer = std::make_shared<WatchHandle>(std::move(run->second.timer))] {});
  runs_.erase(run);
  std::int64_t& floor = floors_[task];
  floor = std::max(floor, number);
  ends_.push_back({++last_end_, task, number, how});
  for (const Hold& hold : std::exchange(holds_, {}))
    hold.respond(Lists());
}

void Worker::Tick() {
  if (!runs_.empty() && Clock() >= lease_until_) {
    std::vector<std::string> tasks;
    for (const auto& [task, run] : runs_)
      tasks.push_back(task);
    for (const std::string& task : tasks)
      EndRun(task, "lapsed");
  }
  const TimePoint now = lab_.loop.now();
  for (auto hold = holds_.begin(); hold != holds_.end();) {
    if (hold->until > now) {
      ++hold;
      continue;
    }
    hold->respond(Lists());
    hold = holds_.erase(hold);
  }
}

// --- Lab ---

Lab::Lab(const std::string& record) : record_(record, std::ios::trunc) {
  client = std::make_unique<HttpClient>(loop, boragewinch::HttpClientLimits{});
  const char* bin = std::getenv("REVIEW_BIN");
  bin_ = bin != nullptr ? bin : "target/bin";
  const char* wanted = std::getenv("TROUBLE");
  trouble = wanted == nullptr || std::string(wanted) != "0";
  directory_ =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(directory_.data()) == nullptr)
    directory_.clear();
  // The ports are fixed, so each case claims a network of its own.
  std::random_device random;
  for (int attempt = 0; attempt < 1'000 && network_.empty(); ++attempt) {
    const std::string network = "127." + std::to_string(16 + random() % 200) +
                                "." + std::to_string(1 + random() % 250) + ".";
    claim_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(7'999);
    inet_pton(AF_INET, (network + "254").c_str(), &endpoint.sin_addr);
    if (bind(claim_, reinterpret_cast<sockaddr*>(&endpoint),
             sizeof(endpoint)) == 0) {
      network_ = network;
    } else {
      close(claim_);
    }
  }
  duration = [](const std::string&) { return Millis(500); };
  began_ = loop.now();
  Note(std::string("trouble: ") + (trouble ? "yes" : "no"));
}

Lab::~Lab() {
  gateway_programs.clear();
  schedulers.clear();
  workers.clear();
  hosts_.reset();
  advice_.reset();
  if (!directory_.empty())
    std::filesystem::remove_all(directory_);
}

std::int64_t Lab::now_ms() {
  return (loop.now() - began_).count();
}

void Lab::Note(const std::string& line) {
  record_ << now_ms() << " ms  " << line << "\n" << std::flush;
}

Json Lab::Route(const std::string& name, const std::string& pool) {
  Json route;
  route["name"] = "r-" + name;
  route["host"] = kVirtualHost;
  route["pathPrefix"] = "/" + name + "/";
  route["kind"] = "non_idempotent";
  route["timeoutMs"] = 3'000;
  route["targetLatencyMs"] = 600;
  route["priority"] = 0;
  route["service"] = pool;
  route["maxAttempts"] = 4;
  route["stretch"] = 1.6;
  route["public"] = false;
  return route;
}

Json Lab::Service(const std::string& name) {
  Json service;
  service["name"] = name;
  service["healthPath"] = "/health";
  service["maxConnections"] = 64;
  service["protocol"] = "h1";
  service["tls"] = false;
  service["enforcesCapacity"] = true;
  service["standby"] = false;
  return service;
}

bool Lab::Begin(int gateway_count, Json routes, Json services) {
  if (network_.empty() || directory_.empty())
    return false;
  hosts_ = std::make_unique<HttpServer>(
      loop, boragewinch::HttpServerLimits{},
      [this](const HttpRequest& request, const HttpResponder& respond) {
        ServeHosts(request, respond);
      });
  advice_ = std::make_unique<HttpServer>(
      loop, boragewinch::HttpServerLimits{},
      [this](const HttpRequest& request, const HttpResponder& respond) {
        ServeAdvice(request, respond);
      });
  if (!hosts_->Listen("127.0.0.1:0") || !advice_->Listen("127.0.0.1:0"))
    return false;
  std::string seeds;
  for (int i = 1; i <= kSchedulers; ++i) {
    controls.push_back(network_ + std::to_string(i) + ":" + kControlPort);
    seeds += (i > 1 ? "," : "") + controls.back();
  }
  for (int i = 1; i <= kSchedulers; ++i) {
    const std::string ip = network_ + std::to_string(i);
    const std::string name = "core-" + std::to_string(i);
    const std::string data = directory_ + "/data-" + name;
    std::filesystem::create_directories(data);
    scheduler_words.push_back(
        {bin_ + "/boraged-scheduler", "--name=" + name,
         "--zone=zone-" + std::to_string(i), "--ip=" + ip,
         "--control=" + ip + ":" + kControlPort, "--data=" + data,
         "--seeds=" + seeds, "--internal-port=7000",
         "--metrics=" + ip + ":9464", "--cluster-secret=boragewinch",
         "--host-platform=" + hosts_->address(), "--first-start=true",
         "--advice=" + advice_->address(), "--lost-at-once=1",
         "--max-lease-ms=10000", "--host-lease-ms=3000",
         "--maintenance-seconds=2", "--host-orders-per-second=64.0"});
    schedulers.push_back(
        std::make_unique<Program>(loop, directory_ + "/" + name + ".log"));
    if (!schedulers.back()->Start(scheduler_words.back()))
      return false;
    // A later start is not the first one.
    std::replace(scheduler_words.back().begin(), scheduler_words.back().end(),
                 std::string("--first-start=true"),
                 std::string("--first-start=false"));
  }
  for (int i = 1; i <= gateway_count; ++i) {
    const std::string ip = network_ + std::to_string(kFirstGateway + i);
    const std::string name = "front-" + std::to_string(i);
    gateways.push_back(ip + ":" + kCallerPort);
    gateway_programs.push_back(
        std::make_unique<Program>(loop, directory_ + "/" + name + ".log"));
    if (!gateway_programs.back()->Start(
            {bin_ + "/boraged-gateway", "--name=" + name,
             "--callers=" + gateways.back(), "--ready=" + ip + ":8343",
             "--seeds=" + seeds, "--internal-port=7000",
             "--metrics=" + ip + ":9464", "--cluster-secret=boragewinch"})) {
      return false;
    }
  }
  const bool ready = PutConfig(1, std::move(routes), std::move(services));
  // The gateways look for the leader once a second.
  RunFor(Millis(1'500));
  return ready;
}

bool Lab::PutConfig(int version, Json routes, Json services) {
  Json config;
  config["version"] = version;
  config["routes"] = std::move(routes);
  config["services"] = std::move(services);
  Json tenant;
  tenant["name"] = "t1";
  tenant["apiKeys"].append(kKey);
  tenant["weight"] = 10;
  config["tenants"].append(tenant);
  const std::string document = boragewinch::WriteJson(config);
  bool acknowledged = false;
  bool open = false;
  std::size_t next = 0;
  const bool ready = RunUntil(Millis(20'000), [&] {
    if (!acknowledged && !open) {
      open = true;
      HttpCall call;
      call.method = "PUT";
      call.url = "http://" + controls[next++ % controls.size()] + "/-/config";
      call.body = document;
      call.timeout = Millis(1'000);
      Send(std::move(call), [&](const Result<HttpResponse>& result) {
        open = false;
        acknowledged = result && result.value().status == 200;
      });
    }
    return acknowledged && !open;
  });
  Note("configuration " + std::to_string(version) +
       (ready ? " is acknowledged" : " is not acknowledged"));
  return ready;
}

Worker& Lab::AddWorker(WorkerConfig config) {
  workers.push_back(std::make_unique<Worker>(*this, std::move(config)));
  return *workers.back();
}

bool Lab::RunUntil(Millis limit, const std::function<bool()>& holds) {
  const TimePoint deadline = loop.now() + limit;
  bool held = false;
  const WatchHandle step = loop.Every(Millis(10), [&](TimePoint now) {
    held = holds();
    if (held || now >= deadline)
      loop.Stop();
  });
  loop.Run();
  return held;
}

void Lab::RunFor(Millis time) {
  (void)RunUntil(time, [] { return false; });
}

void Lab::Send(HttpCall call, Done done) {
  client->Send(std::move(call), std::move(done));
}

void Lab::SendToGateway(int gateway,
                        const std::string& method,
                        const std::string& path,
                        const std::string& body,
                        Millis limit,
                        Millis timeout,
                        Done done) {
  HttpCall call;
  call.method = method;
  call.url = "http://" + gateways[static_cast<std::size_t>(gateway)] + path;
  call.headers["Host"] = kVirtualHost;
  call.headers["Authorization"] = std::string("Bearer ") + kKey;
  call.headers["Request-Deadline"] = std::to_string(limit.count());
  call.body = body;
  call.timeout = timeout;
  const std::string what =
      method + " " + path + " at gateway " + std::to_string(gateway + 1);
  Note("caller sends " + what);
  Send(std::move(call), [this, what, done = std::move(done)](
                            const Result<HttpResponse>& result) {
    Note("answer to " + what + ": " +
         (result ? std::to_string(result.value().status) + " " +
                       result.value().body.substr(0, 80)
                 : std::string("none in time")));
    done(result);
  });
}

int Lab::CallGateway(int gateway,
                     const std::string& method,
                     const std::string& path,
                     const std::string& body,
                     std::string* response) {
  auto state = std::make_shared<std::pair<bool, int>>(false, 0);
  auto text = std::make_shared<std::string>();
  SendToGateway(gateway, method, path, body, Millis(3'000), Millis(3'000),
                [state, text](const Result<HttpResponse>& result) {
                  state->first = true;
                  if (result) {
                    state->second = result.value().status;
                    *text = result.value().body;
                  }
                });
  (void)RunUntil(Millis(4'000), [&] { return state->first; });
  if (response != nullptr)
    *response = *text;
  return state->second;
}

bool Lab::HandIn(const std::string& path, const std::string& body) {
  for (int attempt = 0; attempt < 5; ++attempt) {
    const int status = CallGateway(attempt % static_cast<int>(gateways.size()),
                                   "POST", path, body);
    if (status >= 200 && status < 300)
      return true;
    RunFor(Millis(300));
  }
  return false;
}

void Lab::ServeHosts(const HttpRequest& request, const HttpResponder& respond) {
  if (request.path != "/-/machines") {
    respond({409, R"({"reason":"busy"})"});
    return;
  }
  Json body;
  body["machines"] = Json(::Json::arrayValue);
  for (const auto& worker : workers) {
    if (!worker)
      continue;
    Json machine;
    machine["machineId"] = worker->config().machine;
    machine["pool"] = worker->config().pool;
    machine["state"] = "up";
    machine["zone"] = "zone-a";
    machine["labels"].append("a");
    machine["labels"].append(worker->config().rack);
    machine["capacity"]["cpu"] = ::Json::Int64(worker->config().cpu);
    machine["capacity"]["memMb"] = ::Json::Int64(worker->config().memory_mb);
    machine["capacity"]["gpu"] = 0;
    machine["id"] = worker->config().id;
    body["machines"].append(machine);
  }
  body["nextPageToken"] = Json(::Json::nullValue);
  respond({200, boragewinch::WriteJson(body)});
}

// One call at a time, each decisionMs + eachMs for each worker named.
void Lab::ServeAdvice(const HttpRequest& request,
                      const HttpResponder& respond) {
  constexpr Millis kDecision{20};
  const Json body = Parse(request.body);
  const std::string step = body["step"].asString();
  Json answer;
  answer["good"] = Json(::Json::arrayValue);
  answer["validMs"] = 3'000;
  const auto good =
      tickets ? tickets(step) : std::map<std::string, std::string>();
  std::string named;
  std::size_t count = 0;
  for (const Json& worker : body["workers"]) {
    ++count;
    named += " " + worker.asString();
    if (const auto found = good.find(worker.asString()); found != good.end()) {
      Json row(::Json::arrayValue);
      row.append(found->first);
      row.append(found->second);
      answer["good"].append(row);
    }
  }
  Note("advice for " + step + ": " + std::to_string(count) +
       " workers named, " + std::to_string(answer["good"].size()) +
       " of them good;" + named);
  const TimePoint now = loop.now();
  advice_free_ = std::max(advice_free_, now) + kDecision +
                 Millis(static_cast<std::int64_t>(count));
  advice_timers_.push_back(
      loop.After(advice_free_ - now, [respond, answer](TimePoint) {
        respond({200, boragewinch::WriteJson(answer)});
      }));
}

}  // namespace review
