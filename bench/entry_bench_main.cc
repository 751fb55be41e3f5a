// Measures latency, throughput, traffic and outages of fleet processes on
// loopback.
// usage: entry_bench [latency|throughput|traffic|outage|spread|restart]...

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "base/event_log.h"
#include "base/hash.h"
#include "base/secret.h"
#include "fixture_error.h"
#include "net/http_server.h"
#include "process_fleet.h"

namespace boragewinch {
namespace {

using Clock = std::chrono::steady_clock;

[[nodiscard]] double MillisSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

struct Figures {
  double median = 0;
  double percentile99 = 0;
  double worst = 0;
};

[[nodiscard]] Figures FiguresOf(std::vector<double> values) {
  if (values.empty())
    return {};
  std::sort(values.begin(), values.end());
  const auto at = [&](std::size_t percent) {
    return values[std::min(values.size() - 1, values.size() * percent / 100)];
  };
  return {at(50), at(99), values.back()};
}

void Print(const std::string& name, const std::vector<double>& values) {
  const Figures figures = FiguresOf(values);
  std::printf("%-52s median %8.1f ms  99th %8.1f ms  worst %8.1f ms  n=%zu\n",
              name.c_str(), figures.median, figures.percentile99, figures.worst,
              values.size());
  std::fflush(stdout);
}

/// Sends start calls straight to a worker and takes its heartbeats and results
/// in place of an entry host.
class DirectCaller {
 public:
  DirectCaller()
      : server_(
            loop_,
            {},
            [this](const HttpRequest& request, const HttpResponder& respond) {
              Serve(request, respond);
            }) {
    if (!server_.Listen("127.0.0.1:0"))
      throw FixtureError(ErrorCode::kUnavailable,
                         "benchmark server can't listen on 127.0.0.1:0");
  }

  [[nodiscard]] const std::string& address() const { return server_.address(); }

  void WaitForWorker() {
    while (worker_.empty())
      loop_.Run();
  }

  /// \returns the time from the start call to the arrival of the result.
  [[nodiscard]] double RunTask(int number) {
    Json payload;
    payload["run_ms"] = 0;
    payload["echo"] = "echo";
    Json body;
    task_ = "bench.b.1." + std::to_string(number) + "/1";
    body["task"] = task_;
    body["lease_ms"] = 30'000;
    body["payload"] = WriteJson(payload);
    HttpCall call{"POST", "http://" + worker_ + "/tasks"};
    call.body = WriteJson(body);
    const Clock::time_point start = Clock::now();
    client_.Send(std::move(call), [](const Result<HttpResponse>&) {});
    while (!task_.empty())
      loop_.Run();
    return MillisSince(start);
  }

 private:
  void Serve(const HttpRequest& request, const HttpResponder& respond) {
    const Json json = ValueOr(ParseJson(request.body), Json());
    if (request.path == "/v1/workers/heartbeat") {
      worker_ = json["address"].asString();
      respond({200, "{}"});
    } else {
      if (json["task"].asString() == task_)
        task_.clear();
      respond({200, R"({"acknowledged":true})"});
    }
    loop_.Stop();
  }

  EventLoop loop_;
  HttpClient client_{loop_, {}};
  HttpServer server_;
  std::string worker_;
  std::string task_;
};

/// A caller that submits, waits and fetches the result over persistent
/// connections.
class EntryCaller {
 public:
  explicit EntryCaller(std::string address) : address_(std::move(address)) {}

  [[nodiscard]] double RunJob(const Json& spec) {
    const Clock::time_point start = Clock::now();
    const std::string id =
        Call("POST", "/v1/jobs", WriteJson(spec))["id"].asString();
    while (Call("GET", "/v1/jobs/" + id + "?wait_ms=2000", "")["outcome"]
               .asString() != "finished") {
    }
    (void)Call("GET", "/v1/jobs/" + id + "/result", "");
    return MillisSince(start);
  }

 private:
  Json Call(const char* method, const std::string& path, std::string body) {
    HttpCall call{method, "http://" + address_ + path};
    call.body = std::move(body);
    call.timeout = Millis(10'000);
    Json json(::Json::objectValue);
    bool done = false;
    client_.Send(std::move(call), [&](const Result<HttpResponse>& result) {
      if (result)
        json = ValueOr(ParseJson(result.value().body), json);
      done = true;
      loop_.Stop();
    });
    while (!done)
      loop_.Run();
    return json;
  }

  std::string address_;
  EventLoop loop_;
  HttpClient client_{loop_, {}};
};

void Latency() {
  constexpr int kJobs = 500;
  ProcessFleet fleet{FleetShape{}};
  DirectCaller direct;
  fleet.AddWorker("direct", "z1-r9-h1", direct.address());
  direct.WaitForWorker();
  EntryCaller caller(fleet.address("e11"));
  std::vector<double> direct_times;
  std::vector<double> entry_times;
  const Json spec = ProcessFleet::Spec("open", 0, true);
  for (int i = 0; i < kJobs; ++i) {
    direct_times.push_back(direct.RunTask(i));
    entry_times.push_back(caller.RunJob(spec));
  }
  Print("direct call to a worker, start to result", direct_times);
  Print("through an entry host, submit to result", entry_times);
  const Figures a = FiguresOf(direct_times);
  const Figures b = FiguresOf(entry_times);
  std::printf("ratio of medians %.1f, of 99th percentiles %.1f\n",
              b.median / a.median, b.percentile99 / a.percentile99);
}

[[nodiscard]] long ResidentKb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:"))
      return std::strtol(line.c_str() + 6, nullptr, 10);
  }
  return 0;
}

void Throughput() {
  constexpr std::int64_t kJobs = 5'000;
  FleetShape shape;
  shape.hosts = 16;
  ProcessFleet fleet(shape);
  LoadConfig config = fleet.Load(kJobs);
  config.entries = {fleet.address("e11")};
  config.run = Millis(0);
  config.in_flight = 200;
  const Clock::time_point start = Clock::now();
  BackgroundLoad load(config);
  const LoadReport& report = load.Wait();
  const double seconds = MillisSince(start) / 1'000;
  std::printf("one entry host: %zu of %ld jobs finished, %.0f jobs/s\n",
              report.finished.size(), static_cast<long>(kJobs),
              static_cast<double>(report.finished.size()) / seconds);
  for (const char* name : {"c1", "c2", "c3", "e11", "e12"})
    std::printf("resident memory of %s: %ld KB\n", name,
                ResidentKb(fleet.pid(name)));
}

void Traffic() {
  FleetShape shape;
  shape.zones = 3;
  shape.entries = 3;
  shape.hosts = 17;
  shape.control_relays = true;
  shape.worker_relays = true;
  shape.peer_relays = true;
  ProcessFleet fleet(shape);
  const std::map<std::string, std::string> kinds{
      {"entry hosts to control hosts", "z"},
      {"between control hosts", "raft-"},
      {"between entry hosts", "peer-"},
      {"workers to entry hosts", "workers-"}};
  const auto measure = [&](const char* state, const auto& during) {
    std::map<std::string, std::uint64_t> before;
    for (const auto& [name, prefix] : kinds)
      before[name] = fleet.RelayBytes(prefix);
    const Clock::time_point start = Clock::now();
    during();
    const double seconds = MillisSince(start) / 1'000;
    for (const auto& [name, prefix] : kinds) {
      const auto bytes =
          static_cast<double>(fleet.RelayBytes(prefix) - before[name]);
      std::printf("%s, %s: %.0f bytes/s\n", state, name.c_str(),
                  bytes / seconds);
    }
  };
  measure("idle", [] { std::this_thread::sleep_for(Millis(10'000)); });
  measure("under load", [&] {
    LoadConfig config = fleet.Load(6'000);
    config.in_flight = 100;
    config.run = Millis(100);
    BackgroundLoad load(config);
    std::printf("load: %zu jobs finished\n", load.Wait().finished.size());
  });
}

/// Submits short jobs one after the other to the entry hosts in turn and
/// records the longest time between two finished jobs.
class ServiceProbe {
 public:
  ServiceProbe(ProcessFleet& fleet, std::vector<std::string> names)
      : thread_([this, &fleet, names = std::move(names)] {
          Clock::time_point last = Clock::now();
          for (std::size_t i = 0; !stop_; ++i) {
            const std::string& entry = names[i % names.size()];
            const Json spec = ProcessFleet::Spec("q1", 1, true);
            const Reply reply =
                Http("POST", "http://" + fleet.address(entry) + "/v1/jobs",
                     {{"X-Boragewinch-Key", fleet.key1}}, WriteJson(spec),
                     Millis(1'000));
            const std::string id = reply.json()["id"].asString();
            if (reply.status != 200)
              continue;
            const Reply end =
                Http("GET",
                     "http://" + fleet.address(entry) + "/v1/jobs/" + id +
                         "?wait_ms=1000",
                     {{"X-Boragewinch-Key", fleet.key1}}, "", Millis(2'000));
            if (end.json()["outcome"].asString() != "finished")
              continue;
            longest_ = std::max(longest_.load(), MillisSince(last));
            last = Clock::now();
          }
        }) {}
  ~ServiceProbe() {
    stop_ = true;
    thread_.join();
  }
  [[nodiscard]] double TakeLongest() { return longest_.exchange(0); }

 private:
  std::atomic<bool> stop_{false};
  std::atomic<double> longest_{0};
  std::thread thread_;
};

void Outage() {
  constexpr int kRounds = 5;
  FleetShape shape;
  shape.zones = 2;
  ProcessFleet fleet(shape);
  const auto ready = [&](const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      (void)Eventually(Millis(40'000), [&] {
        return fleet.RunJob(name, "q1", fleet.key1) == "finished";
      });
    }
  };
  const auto measure = [&](const char* name, const auto& victims) {
    std::vector<double> values;
    for (int round = 0; round < kRounds; ++round) {
      ready(fleet.entry_names());
      ServiceProbe probe(fleet, fleet.entry_names());
      std::this_thread::sleep_for(Millis(500));
      (void)probe.TakeLongest();
      const std::vector<std::string> killed = victims();
      for (const std::string& victim : killed)
        fleet.Kill(victim);
      std::this_thread::sleep_for(Millis(4'000));
      values.push_back(probe.TakeLongest());
      for (const std::string& victim : killed)
        fleet.Start(victim);
    }
    Print(name, values);
  };
  measure("longest gap, quiet", [] { return std::vector<std::string>(); });
  measure("longest gap, control leader killed",
          [&] { return std::vector<std::string>{fleet.Leader()}; });
  measure("longest gap, entry host killed",
          [] { return std::vector<std::string>{"e11"}; });
  measure("longest gap, entry hosts of a zone killed", [] {
    return std::vector<std::string>{"e21", "e22"};
  });
}

void Spread() {
  constexpr int kRounds = 20;
  FleetShape shape;
  shape.zones = 3;
  shape.entries = 3;
  ProcessFleet fleet(shape);
  std::vector<double> configured;
  std::vector<double> refused;
  for (int round = 0; round < kRounds; ++round) {
    const std::string id = "s" + std::to_string(round);
    const Json spec = ProcessFleet::Spec("q1", 1, true);
    const auto wait_for_all_entries = [&](const std::string& key,
                                          const std::string& reason) {
      std::vector<std::string> missing = fleet.entry_names();
      while (!missing.empty()) {
        const Reply reply =
            Http("POST", "http://" + fleet.address(missing.back()) + "/v1/jobs",
                 {{"X-Boragewinch-Key", key}}, WriteJson(spec));
        if (reply.json().get("reason", "").asString() == reason)
          missing.pop_back();
      }
    };
    Json create;
    create["type"] = "create_key";
    create["id"] = id;
    create["team"] = "t1";
    create["secret_hash"] = HashSecret("s");
    const std::int64_t version = fleet.Version();
    Clock::time_point start = Clock::now();
    (void)fleet.Control("POST", "/v1/operations",
                        ProcessFleet::Operation("c-" + id, version, create));
    wait_for_all_entries(id + ".s", "");
    configured.push_back(MillisSince(start));
    Json withdraw;
    withdraw["type"] = "withdraw_key";
    withdraw["id"] = id;
    start = Clock::now();
    (void)fleet.Control("POST", "/v1/operations",
                        ProcessFleet::Operation("w-" + id, -1, withdraw));
    wait_for_all_entries(id + ".s", "withdrawn_key");
    refused.push_back(MillisSince(start));
  }
  Print("new key accepted at all 9 entry hosts", configured);
  Print("withdrawn key refused at all 9 entry hosts", refused);
}

void Restart() {
  constexpr int kThreads = 8;
  ProcessFleet fleet{FleetShape{}};
  int completed = 0;
  for (const int changes : {100, 1'000, 10'000}) {
    std::atomic<int> next{completed};
    std::atomic<int> failed{0};
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int i = 0; i < kThreads; ++i) {
      threads.emplace_back([&] {
        for (int n = next++; n < changes; n = next++) {
          Json command;
          command["type"] = "withdraw_key";
          command["id"] = "gone" + std::to_string(n);
          const std::string operation = "g-" + std::to_string(n);
          failed +=
              fleet.Control("POST", "/v1/operations",
                            ProcessFleet::Operation(operation, -1, command))
                          .status == 200
                  ? 0
                  : 1;
        }
      });
    }
    for (std::thread& thread : threads)
      thread.join();
    completed = changes;
    std::vector<double> values;
    for (int round = 0; round < 5; ++round) {
      const std::string victim = fleet.Leader() == "c1" ? "c2" : "c1";
      const std::int64_t version = fleet.Version();
      fleet.Kill(victim);
      const Clock::time_point start = Clock::now();
      fleet.Start(victim);
      (void)Eventually(Millis(60'000), [&] {
        return fleet.Status(victim)["version"].asInt64() >= version;
      });
      values.push_back(MillisSince(start));
    }
    Print("restart of a control host after " + std::to_string(changes) +
              " changes (" + std::to_string(failed) + " failed)",
          values);
  }
}

int Main(int argc, char** argv) {
  ConfigureEventLog("entry-bench", EventLevel::kError);
  const std::vector<std::pair<std::string, void (*)()>> modes{
      {"latency", &Latency}, {"throughput", &Throughput},
      {"traffic", &Traffic}, {"outage", &Outage},
      {"spread", &Spread},   {"restart", &Restart}};
  const std::vector<std::string> selected(argv + 1, argv + argc);
  for (const auto& [name, run] : modes) {
    if (!selected.empty() &&
        std::find(selected.begin(), selected.end(), name) == selected.end())
      continue;
    std::printf("== %s\n", name.c_str());
    run();
  }
  return 0;
}

}  // namespace
}  // namespace boragewinch

int main(int argc, char** argv) {
  return boragewinch::Main(argc, argv);
}
