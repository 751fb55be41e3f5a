// Plays the operator, a consumer, the machines' list and the workers of one
// case.
// usage: scenario NAME CONTROLS FRONTS MACHINES-ADDRESS TROUBLE
// exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <random>
#include <sstream>

#include "record.h"
#include "worker.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr char kHost[] = "jobs.example";
constexpr char kPrefix[] = "/work/";
constexpr char kKey[] = "key-of-tenant-1";

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');)
    parts.push_back(part);
  return parts;
}

bool IsSuccess(const Response& response) {
  return response.status >= 200 && response.status < 300;
}

/// Waits until `condition` holds; \returns whether it did in time.
template <typename Condition>
bool WaitFor(Millis timeout, const Condition& condition) {
  const auto deadline = Clock::now() + timeout;
  while (!condition()) {
    if (Clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(Millis(2));
  }
  return true;
}

struct Platform {
  std::vector<std::string> controls;
  std::vector<std::string> fronts;
  std::size_t next = 0;
  RunLog runs;
  std::vector<std::unique_ptr<Worker>> workers;

  bool PutConfig() {
    Json::Value route;
    route["name"] = "r-work";
    route["host"] = kHost;
    route["pathPrefix"] = kPrefix;
    route["kind"] = "non_idempotent";
    route["timeoutMs"] = 3'000;
    route["targetLatencyMs"] = 600;
    route["priority"] = 0;
    route["service"] = "pool-a";
    route["maxAttempts"] = 4;
    route["stretch"] = 1.6;
    route["public"] = false;
    Json::Value service;
    service["name"] = "pool-a";
    service["healthPath"] = "/health";
    service["maxConnections"] = 64;
    service["protocol"] = "h1";
    service["tls"] = false;
    service["enforcesCapacity"] = true;
    service["standby"] = false;
    Json::Value tenant;
    tenant["name"] = "tenant-1";
    tenant["apiKeys"].append(kKey);
    tenant["priority"] = 1;
    tenant["weight"] = 10;
    tenant["cap"]["cpu"] = 0;
    tenant["cap"]["memMb"] = 0;
    tenant["cap"]["gpu"] = 0;
    Json::Value config;
    config["version"] = 7;
    config["routes"].append(route);
    config["services"].append(service);
    config["tenants"].append(tenant);
    config["limits"]["maxHeaderBytes"] = 16'384;
    config["limits"]["maxBodyBytes"] = 262'144;
    config["limits"]["headerTimeoutMs"] = 3'000;
    config["limits"]["idleTimeoutMs"] = 15'000;
    return WaitFor(Millis(30'000), [&] {
      const std::string& control = controls[next % controls.size()];
      const Response response =
          Call(control, {"PUT", "/-/config", {}, Write(config)}, Millis(1'000));
      if (IsSuccess(response)) {
        Record("configuration 7 acknowledged by " + control);
        return true;
      }
      ++next;
      std::this_thread::sleep_for(Millis(100));
      return false;
    });
  }

  void AddWorkers(int count) {
    for (int i = 1; i <= count; ++i) {
      WorkerOptions options;
      options.id = "i-0000000" + std::to_string(i);
      options.machine = "m-0000" + std::to_string(i);
      options.service = "pool-a";
      options.zone = "zone-" + std::to_string(i % 3);
      options.rack = "r1-" + std::to_string(i);
      options.controls = controls;
      workers.push_back(std::make_unique<Worker>(options, runs));
    }
  }

  /// Waits until every worker has been registered and called some times.
  bool WorkersReady() {
    return WaitFor(Millis(15'000), [&] {
      for (const auto& worker : workers) {
        if (!worker->acknowledged() || worker->holds() < 3)
          return false;
      }
      return true;
    });
  }

  [[nodiscard]] Request ConsumerRequest(const std::string& method,
                                        const std::string& job,
                                        const std::string& body) const {
    return {method,
            kPrefix + job,
            {{"host", kHost},
             {"authorization", std::string("Bearer ") + kKey},
             {"request-deadline", "3000"}},
            body};
  }

  /// Hands in a job with one task of `duration_ms`, or with `lasting` tasks.
  bool Submit(const std::string& job, int duration_ms, int lasting = 0) {
    Json::Value step;
    step["count"] = std::max(1, lasting);
    step["cpu"] = 1'000;
    step["memMb"] = 256;
    step["estimatedMs"] = lasting > 0 ? 900 : duration_ms;
    if (lasting > 0)
      step["longRunning"] = true;
    Json::Value body;
    body["spec"] = std::to_string(duration_ms) + " ms of work";
    body["steps"].append(step);
    return WaitFor(Millis(15'000), [&] {
      const Response response = Call(
          fronts[0], ConsumerRequest("POST", job, Write(body)), Millis(3'000));
      Record("POST " + job + " -> " + std::to_string(response.status));
      return IsSuccess(response);
    });
  }

  /// \returns the number of jobs that have not begun, as the queue's
  /// `pending` says; -1 without an answer.
  int Pending() {
    const Response response =
        Call(fronts[1], ConsumerRequest("GET", "", ""), Millis(3'000));
    if (!IsSuccess(response))
      return -1;
    return ParseOrNull(response.body)["pending"].asInt();
  }

  std::string StateOf(const std::string& job) {
    const Response response =
        Call(fronts[0], ConsumerRequest("GET", job, ""), Millis(3'000));
    std::string state = "status " + std::to_string(response.status);
    if (IsSuccess(response))
      state = ParseOrNull(response.body)["state"].asString();
    Record("GET " + job + " -> " + state);
    return state;
  }

  Worker* WorkerOf(const std::string& id) {
    for (const auto& worker : workers) {
      if (worker->options().id == id)
        return worker.get();
    }
    return nullptr;
  }

  /// \returns the number of tasks on the workers other than `except`.
  std::size_t RunningElsewhere(const Worker* except) {
    std::size_t running = 0;
    for (const auto& worker : workers)
      running += worker.get() == except ? 0 : worker->running();
    return running;
  }

  /// The machines' list of the infrastructure.
  Response ServeMachines(const Request& request) {
    if (request.method != "GET")
      return {409, R"({"reason":"busy"})", nullptr};
    Json::Value body;
    body["machines"] = Json::arrayValue;
    for (const auto& worker : workers) {
      const WorkerOptions& options = worker->options();
      Json::Value row;
      row["machineId"] = options.machine;
      row["pool"] = options.service;
      row["state"] = "up";
      row["zone"] = options.zone;
      row["labels"].append("a");
      row["labels"].append(options.rack);
      row["capacity"]["cpu"] = Json::Int64(options.cpu);
      row["capacity"]["memMb"] = Json::Int64(options.memory_mb);
      row["capacity"]["gpu"] = 0;
      row["id"] = options.id;
      body["machines"].append(row);
    }
    body["nextPageToken"] = "";
    return {200, Write(body), nullptr};
  }
};

std::string NewJobId() {
  std::random_device random;
  char text[17];
  std::snprintf(text, sizeof(text), "%08x%08x", random(), random());
  return text;
}

/// Starts the job on one of the workers. \returns the worker, or nullptr.
Worker* StartJob(Platform* platform,
                 const std::string& job,
                 int duration_ms,
                 int workers = 2,
                 int lasting = 0) {
  if (!platform->PutConfig()) {
    Record("no node acknowledged the configuration");
    return nullptr;
  }
  platform->AddWorkers(workers);
  if (!platform->WorkersReady()) {
    Record("the workers were not called");
    return nullptr;
  }
  if (!platform->Submit(job, duration_ms, lasting) ||
      !WaitFor(Millis(10'000),
               [&] { return !platform->runs.runs().empty(); })) {
    Record("the job did not start");
    return nullptr;
  }
  return platform->WorkerOf(platform->runs.runs()[0].worker);
}

/// One of seven workers drains, completes its task, lists the end and leaves.
/// The rule is broken if the task starts again.
int PlayLeave(Platform* platform, bool trouble) {
  constexpr int kWorkers = 7;
  const std::string job = NewJobId();
  Worker* worker = StartJob(platform, job, 4'000, kWorkers);
  if (worker == nullptr)
    return kCouldNotRun;
  if (trouble) {
    worker->Drain();
    if (!WaitFor(Millis(3'000), [&] { return worker->drain_acknowledged(); })) {
      Record("no node acknowledged that the worker drains");
      return kCouldNotRun;
    }
  }
  if (!WaitFor(Millis(10'000),
               [&] { return platform->runs.runs()[0].listed_at >= 0; }) ||
      platform->runs.runs()[0].how != "done") {
    Record("the task's end was not listed");
    return kCouldNotRun;
  }
  if (trouble)
    worker->Leave();
  std::this_thread::sleep_for(Millis(7'000));
  platform->StateOf(job);
  const auto runs = platform->runs.runs();
  if (runs.size() == 1) {
    Record("held: the task started once");
    return kHeld;
  }
  for (std::size_t i = 1; i < runs.size(); ++i) {
    Record("BROKEN (TWICE): " + runs[i].task + " run " +
           std::to_string(runs[i].number) + " started on " + runs[i].worker +
           " " + std::to_string(runs[i].from - runs[0].until) +
           " ms after run " + std::to_string(runs[0].number) + " ended done, " +
           std::to_string(runs[i].from - runs[0].listed_at) +
           " ms after that end was listed");
  }
  return kBroken;
}

/// Another writer on the worker's machine sends one check-in in which fields
/// are missing. The rule is broken if a second run of the task starts while the
/// first one is at work.
int PlayForeign(Platform* platform, bool trouble) {
  const std::string job = NewJobId();
  Worker* worker = StartJob(platform, job, 9'000);
  if (worker == nullptr)
    return kCouldNotRun;
  std::this_thread::sleep_for(Millis(2'000));
  std::unique_ptr<Server> agent;
  if (trouble) {
    agent = std::make_unique<Server>(
        worker->options().listen, [](const Request& request) -> Response {
          Record("the other writer's address gets " + request.method + " " +
                 request.path);
          return {404, "{}", nullptr};
        });
    Json::Value body;
    body["service"] = worker->options().service;
    body["address"] = agent->address();
    body["zone"] = worker->options().zone;
    body["state"] = "ready";
    body["capacity"]["cpu"] = Json::Int64(worker->options().cpu);
    body["capacity"]["memMb"] = Json::Int64(worker->options().memory_mb);
    body["machineId"] = worker->options().machine;
    body["sequence"] = 1;
    body["born"] = Json::Int64(worker->born() + 1'000);
    const Request request{"PUT", "/-/instances/agent-1", {}, Write(body)};
    Record("check-in of another writer: " + request.path + " " + request.body);
    for (const std::string& control : platform->controls) {
      const Response response = Call(control, request, Millis(1'000));
      Record("check-in of another writer at " + control + " -> " +
             std::to_string(response.status));
      if (response.status != 0 && response.status < 500)
        break;
    }
  }
  std::this_thread::sleep_for(Millis(9'000));
  platform->StateOf(job);
  const auto runs = platform->runs.runs();
  for (std::size_t i = 1; i < runs.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (runs[j].until >= 0 && runs[j].until <= runs[i].from)
        continue;
      Record("BROKEN (TWICE): " + runs[i].task + " run " +
             std::to_string(runs[i].number) + " started on " + runs[i].worker +
             " while run " + std::to_string(runs[j].number) + " ran on " +
             runs[j].worker + " from " + std::to_string(runs[j].from) +
             " ms to " + std::to_string(runs[j].until) + " ms (" + runs[j].how +
             ")");
      return kBroken;
    }
  }
  Record("held: no two runs at the same time, " + std::to_string(runs.size()) +
         " run(s)");
  return kHeld;
}

/// One of seven workers crashes silently and for good. Jobs that come at once
/// are ordered on it. The rule is broken if the queue's `pending` is under half
/// of the jobs that were accepted over 5 s before and have not begun.
int PlayPending(Platform* platform, bool trouble) {
  constexpr int kJobs = 12;
  constexpr int kWorkers = 7;
  constexpr long kVisibleMs = 3'000;
  constexpr long kBoundMs = kVisibleMs + 2'000;
  Worker* worker = StartJob(platform, NewJobId(), 60'000, kWorkers);
  if (worker == nullptr)
    return kCouldNotRun;
  std::this_thread::sleep_for(Millis(1'500));
  if (trouble) {
    Record("the worker " + worker->options().id + " crashes silently");
    worker->CrashDark();
  }
  std::this_thread::sleep_for(Millis(500));
  struct Handed {
    std::string job;
    long accepted = -1;
  };
  std::vector<Handed> jobs(kJobs);
  std::vector<std::thread> consumers;
  for (Handed& handed : jobs) {
    handed.job = NewJobId();
    consumers.emplace_back([platform, &handed] {
      if (platform->Submit(handed.job, 500))
        handed.accepted = SinceStart();
    });
  }
  for (std::thread& consumer : consumers)
    consumer.join();
  bool broken = false;
  const auto until = Clock::now() + Millis(12'000);
  while (Clock::now() < until) {
    std::this_thread::sleep_for(Millis(500));
    const int pending = platform->Pending();
    const auto runs = platform->runs.runs();
    int waiting = 0;
    for (const Handed& handed : jobs) {
      const bool begun =
          std::any_of(runs.begin(), runs.end(), [&](const Run& run) {
            return run.task.compare(0, handed.job.size(), handed.job) == 0;
          });
      if (handed.accepted >= 0 && !begun &&
          SinceStart() - handed.accepted > kBoundMs) {
        ++waiting;
      }
    }
    const bool wrong = pending >= 0 && 2 * pending < waiting;
    Record("GET " + std::string(kPrefix) + " -> pending " +
           std::to_string(pending) + "; accepted over 5 s ago and not begun: " +
           std::to_string(waiting) + (wrong ? " BROKEN (MIXED)" : ""));
    broken = broken || wrong;
  }
  if (!broken)
    Record("held: pending was never under half of the jobs not begun");
  return broken ? kBroken : kHeld;
}

/// One of seven workers crashes silently and for good. A job with tasks that
/// last is handed in 0.5 s later. The rule is broken if one of its tasks does
/// not run 10 s after the crash: the last 7 s of these are calm.
int PlayLasting(Platform* platform, bool trouble) {
  constexpr int kTasks = 4;
  constexpr int kWorkers = 7;
  constexpr int kForever = 600'000;
  constexpr long kContactMs = 3'000;
  constexpr long kCalmMs = 7'000;
  Worker* worker = StartJob(platform, NewJobId(), kForever, kWorkers, 1);
  if (worker == nullptr)
    return kCouldNotRun;
  std::this_thread::sleep_for(Millis(1'500));
  const long crash = SinceStart();
  if (trouble) {
    Record("the worker " + worker->options().id + " crashes silently");
    worker->CrashDark();
  }
  std::this_thread::sleep_for(Millis(500));
  const std::string job = NewJobId();
  if (!platform->Submit(job, kForever, kTasks))
    return kCouldNotRun;
  const auto started = [&] {
    const auto runs = platform->runs.runs();
    return std::count_if(runs.begin(), runs.end(), [&](const Run& run) {
      return run.number > 0 && run.until < 0 &&
             run.task.compare(0, job.size(), job) == 0;
    });
  };
  while (SinceStart() < crash + kContactMs + kCalmMs)
    std::this_thread::sleep_for(Millis(20));
  const auto running = started();
  Record(std::to_string(running) + " of " + std::to_string(kTasks) +
         " tasks that last run 10 s after the crash; " +
         std::to_string(kWorkers - 1) + " other workers of 16 cores run " +
         std::to_string(platform->RunningElsewhere(worker)) + " task(s)");
  if (running == kTasks) {
    Record("held: all tasks that last run");
    return kHeld;
  }
  (void)WaitFor(Millis(15'000), [&] { return started() == kTasks; });
  Record("BROKEN (LOST): " + std::to_string(kTasks - running) +
         " tasks that last did not run for the 7 calm seconds from 3 s after "
         "the crash on; " +
         std::to_string(started()) + " run " +
         std::to_string(SinceStart() - crash) + " ms after the crash");
  return kBroken;
}

/// A worker leaves the two copies of a start without a response, accepts the
/// stop of that run, crashes and starts again under its id. Then it carries out
/// the starts, late. The rule is broken if two runs of the task are at work at
/// the same time.
int PlayLateStart(Platform* platform, bool trouble) {
  constexpr int kWorkers = 7;
  constexpr int kTaskMs = 9'000;
  constexpr long kMinDelayMs = 2'050;
  constexpr Millis kRestartTime{300};
  if (!platform->PutConfig())
    return kCouldNotRun;
  platform->AddWorkers(kWorkers);
  if (!platform->WorkersReady())
    return kCouldNotRun;
  if (trouble) {
    // Whichever worker gets the task leaves its starts without a response.
    for (const auto& worker : platform->workers)
      worker->DelayStarts(2);
  }
  const std::string job = NewJobId();
  if (!platform->Submit(job, kTaskMs))
    return kCouldNotRun;
  std::this_thread::sleep_for(Millis(250));
  Worker* late = nullptr;
  std::vector<Worker::DelayedStart> delayed;
  for (const auto& worker : platform->workers) {
    if (worker->delayed_starts_left() < 2)
      late = worker.get();
    else
      worker->DelayStarts(0);
  }
  if (trouble && late == nullptr) {
    Record("no worker got the start");
    return kCouldNotRun;
  }
  // Makes another worker the preferred one.
  if (!platform->Submit(NewJobId(), 60'000))
    return kCouldNotRun;
  const auto runs_of_job = [&] {
    std::vector<Run> runs;
    for (const Run& run : platform->runs.runs()) {
      if (run.task.compare(0, job.size(), job) == 0)
        runs.push_back(run);
    }
    return runs;
  };
  if (!WaitFor(Millis(30'000), [&] { return !runs_of_job().empty(); })) {
    Record("the task did not start");
    return kCouldNotRun;
  }
  if (trouble) {
    delayed = late->TakeDelayedStarts();
    late->DelayStarts(0);
    WorkerOptions options = late->options();
    options.listen = late->address();
    options.first_check_in = Millis(1'000);
    Record(options.id + " crashes and starts again under its id");
    late->Crash();
    std::this_thread::sleep_for(kRestartTime);
    platform->workers.push_back(
        std::make_unique<Worker>(options, platform->runs));
    Worker* next = platform->workers.back().get();
    for (const Worker::DelayedStart& start : delayed) {
      while (SinceStart() < start.sent + kMinDelayMs)
        std::this_thread::sleep_for(Millis(5));
      next->CarryOut(start.request);
    }
  }
  std::this_thread::sleep_for(Millis(kTaskMs + 3'000));
  platform->StateOf(job);
  const auto runs = runs_of_job();
  for (std::size_t i = 1; i < runs.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (runs[j].until >= 0 && runs[j].until <= runs[i].from)
        continue;
      Record("BROKEN (TWICE): " + runs[i].task + " run " +
             std::to_string(runs[i].number) + " started on " + runs[i].worker +
             " at " + std::to_string(runs[i].from) + " ms while run " +
             std::to_string(runs[j].number) + " ran on " + runs[j].worker +
             " from " + std::to_string(runs[j].from) + " ms to " +
             std::to_string(runs[j].until) + " ms (" + runs[j].how + ")");
      return kBroken;
    }
  }
  Record("held: no two runs at the same time, " + std::to_string(runs.size()) +
         " run(s)");
  return kHeld;
}

int Main(int argc, char** argv) {
  if (argc != 6) {
    std::cerr << "usage: scenario NAME CONTROLS FRONTS MACHINES-ADDRESS "
                 "TROUBLE\n";
    return kCouldNotRun;
  }
  const std::string name = argv[1];
  const bool trouble = std::strcmp(argv[5], "0") != 0;
  Platform platform;
  platform.controls = Split(argv[2]);
  platform.fronts = Split(argv[3]);
  const Server machines(argv[4], [&](const Request& request) {
    return platform.ServeMachines(request);
  });
  if (name == "leave")
    return PlayLeave(&platform, trouble);
  if (name == "foreign-check-in")
    return PlayForeign(&platform, trouble);
  if (name == "pending")
    return PlayPending(&platform, trouble);
  if (name == "lasting")
    return PlayLasting(&platform, trouble);
  if (name == "late-start")
    return PlayLateStart(&platform, trouble);
  std::cerr << "unknown case " << name << "\n";
  return kCouldNotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  int status = 2;
  std::thread([] {
    std::this_thread::sleep_for(std::chrono::seconds(100));
    review::Record("the case takes too long");
    std::_Exit(2);
  }).detach();
  try {
    status = review::Main(argc, argv);
  } catch (const std::exception& failure) {
    review::Record(std::string("failed: ") + failure.what());
  }
  std::fflush(stdout);
  // Threads of connections may still run.
  std::_Exit(status);
}
