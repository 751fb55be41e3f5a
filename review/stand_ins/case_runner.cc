// case_runner CASE FOLDER: plays one case of the review. TROUBLE=0 in the
// environment leaves the disruption out. Exits with 1 if the rule was broken,
// 0 if it held and 2 if the case could not run.

#include <curl/curl.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <map>
#include <string>

#include "review/stand_ins/deployment.h"
#include "review/stand_ins/workers.h"

namespace boragewinch::review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
constexpr Millis kStartLimit{30'000};

struct Case {
  Deployment& deployment;
  Fleet& fleet;
  bool trouble = true;
};

[[nodiscard]] Json Route(const std::string& name, const std::string& prefix) {
  Json route;
  route["name"] = name;
  route["host"] = "jobs.example";
  route["pathPrefix"] = prefix;
  route["kind"] = "non_idempotent";
  route["timeoutMs"] = 3'000;
  route["targetLatencyMs"] = 600;
  route["priority"] = 0;
  route["service"] = "pricing";
  route["maxAttempts"] = 4;
  route["stretch"] = 1.6;
  route["public"] = false;
  return route;
}

[[nodiscard]] Json Config(int version, const std::string& route) {
  Json config;
  config["version"] = version;
  config["routes"].append(Route(route, "/main/"));
  Json service;
  service["name"] = "pricing";
  service["healthPath"] = "/health";
  service["maxConnections"] = 64;
  service["protocol"] = "h1";
  service["tls"] = false;
  service["enforcesCapacity"] = true;
  service["standby"] = false;
  config["services"].append(service);
  config["limits"]["maxHeaderBytes"] = 16'384;
  config["limits"]["maxBodyBytes"] = 262'144;
  config["limits"]["headerTimeoutMs"] = 3'000;
  config["limits"]["idleTimeoutMs"] = 15'000;
  Json tenant;
  tenant["name"] = "t1";
  tenant["apiKeys"].append("key-of-t1");
  tenant["priority"] = 1;
  tenant["weight"] = 44;
  tenant["cap"]["cpu"] = 705'462;
  tenant["cap"]["memMb"] = 2'049'874;
  tenant["cap"]["gpu"] = 0;
  config["tenants"].append(tenant);
  return config;
}

[[nodiscard]] Json Step(int count, int cpu, int estimate) {
  Json step;
  step["count"] = count;
  step["cpu"] = cpu;
  step["memMb"] = 256;
  step["estimatedMs"] = estimate;
  return step;
}

[[nodiscard]] Json Job(const std::string& spec) {
  Json job;
  job["spec"] = spec;
  job["steps"] = Json(::Json::arrayValue);
  return job;
}

/// \brief Starts the programs and `count` workers of service pricing, of which
/// the last `special` are of kind "b".
[[nodiscard]] bool Begin(Case& c, int count, int special) {
  c.deployment.Start(c.fleet.StartHostApi());
  for (int i = 1; i <= count; ++i) {
    WorkerConfig worker;
    worker.id = "i-0" + std::to_string(i);
    worker.machine = "m-0" + std::to_string(i);
    worker.service = "pricing";
    worker.kind = i > count - special ? "b" : "a";
    worker.rack = "r1-" + std::to_string((i + 3) / 4);
    worker.address = c.deployment.Ip(50 + i) + ":8080";
    c.fleet.Add(worker);
  }
  if (!c.deployment.PutConfig(Config(1, "r-main"), kStartLimit))
    return false;
  // A job on all is well before the case begins.
  Json job = Job("ms=200");
  job["steps"].append(Step(2 * count, 1'000, 200));
  return c.deployment.Submit("/main/00000000000000aa", job, kStartLimit) &&
         c.deployment.WaitState("/main/00000000000000aa", "completed",
                                kStartLimit);
}

/// A job whose step names an image by a signed address of about 600 bytes is
/// accepted and completes; then the process of the leading scheduler is killed
/// and starts again.
[[nodiscard]] int LongImageName(Case& c) {
  Deployment& d = c.deployment;
  if (!Begin(c, 4, 0))
    return kNotRun;
  Json job = Job("ms=300");
  job["steps"].append(Step(2, 1'000, 300));
  // The address of an image in an object store, with its signature.
  job["steps"][0]["image"] =
      "https://images.example/pricing/worker-2026-12.tar?expires=1796500000"
      "&algorithm=hmac-sha256&credential=" +
      std::string(80, 'c') + "&token=" + std::string(340, 't') +
      "&signature=" + std::string(64, '5');
  const std::string path = "/main/00000000000000bb";
  if (!d.Submit(path, job, Millis(10'000)) ||
      !d.WaitState(path, "completed", Millis(10'000))) {
    return kNotRun;
  }
  if (c.trouble) {
    const std::string leader = d.Leader();
    if (leader.empty())
      return kNotRun;
    d.Kill(leader);
    d.RunFor(Millis(1'000));
    d.Restart(leader);
  }
  // recoveryS and finish_s of the sheet, one after the other.
  d.RunFor(Millis(12'000));
  const TimePoint until = d.loop().now() + Millis(14'000);
  bool job_read = false;
  bool config_read = false;
  while (d.loop().now() < until && !(job_read && config_read)) {
    job_read = job_read || d.State(path) == "completed";
    config_read = config_read || d.Control("GET", "/-/config").status == 200;
    d.RunFor(Millis(500));
  }
  for (const char* name : {"core-1", "core-2", "core-3"}) {
    const std::string log = d.Log(name);
    const auto at = log.find("storage_failed");
    if (at != std::string::npos) {
      const auto begin = log.rfind('\n', at) + 1;
      d.Record(std::string(name) +
               " logged: " + log.substr(begin, log.find('\n', at) - begin));
    }
  }
  d.Record(std::string("the accepted job ") +
           (job_read ? "is known" : "got no answer for 14 s") +
           ", the acknowledged configuration " +
           (config_read ? "is read back" : "is not read back"));
  return job_read && config_read ? kHeld : kBroken;
}

/// A check-in of another writer names a service that no configuration has, and
/// the address of a worker that is at work.
[[nodiscard]] int ForeignCheckIn(Case& c) {
  Deployment& d = c.deployment;
  if (!Begin(c, 4, 0))
    return kNotRun;
  Json job = Job("ms=6000");
  job["steps"].append(Step(1, 1'000, 6'000));
  const std::string id = "00000000000000bb";
  const std::string task = id + ".0.0.0";
  if (!d.Submit("/main/" + id, job, Millis(10'000)) ||
      !d.RunUntil(Millis(10'000),
                  [&] { return !c.fleet.WorkerOf(task).empty(); })) {
    return kNotRun;
  }
  d.RunFor(Millis(1'500));
  if (c.trouble) {
    Json body;
    body["service"] = "unlisted-service";
    body["address"] = c.fleet.ConfigOf(c.fleet.WorkerOf(task)).address;
    body["zone"] = "zone-1";
    body["version"] = "v1";
    body["slots"] = 8;
    body["state"] = "ready";
    body["coldRemainingMs"] = 0;
    body["capacity"]["cpu"] = 16'000;
    body["capacity"]["memMb"] = 32'768;
    body["capacity"]["gpu"] = 0;
    body["labels"].append("a");
    body["clockMs"] = 1'000;
    body["born"] = ::Json::Int64(d.loop().unix_millis());
    body["sequence"] = 1;
    d.Record("another writer's check-in: " + WriteJson(body));
    d.Control("PUT", "/-/instances/i-other-writer", body);
  }
  d.WaitState("/main/" + id, "completed", Millis(30'000));
  d.RunFor(Millis(2'000));
  d.Record(c.fleet.twice().empty() ? "no task ran twice at the same time"
                                   : c.fleet.twice() + " ran twice");
  return c.fleet.twice().empty() ? kHeld : kBroken;
}

/// The members of a gang are on one worker, which fails all that it starts.
[[nodiscard]] int GangOnFaultyWorker(Case& c) {
  Deployment& d = c.deployment;
  if (!Begin(c, 7, 0))
    return kNotRun;
  // A small job shows where the next one goes.
  Json small = Job("ms=200");
  small["steps"].append(Step(1, 1'000, 200));
  if (!d.Submit("/main/00000000000000ab", small, Millis(10'000)) ||
      !d.WaitState("/main/00000000000000ab", "completed", Millis(10'000)) ||
      c.fleet.EventsOf("00000000000000ab.").empty()) {
    return kNotRun;
  }
  const std::string worker =
      c.fleet.EventsOf("00000000000000ab.").front().worker;
  if (c.trouble) {
    c.fleet.Find(worker)->FailAll();
    d.Record("worker " + worker + " fails all that it starts from now on");
  }
  Json job = Job("ms=1000 gang=4");
  job["steps"].append(Step(4, 1'000, 1'000));
  job["steps"][0]["gang"] = true;
  const std::string id = "00000000000000bb";
  if (!d.Submit("/main/" + id, job, Millis(10'000)))
    return kNotRun;
  std::string state;
  d.RunFor(Millis(500));
  for (int i = 0; i < 60 && state != "completed" && state != "failed"; ++i) {
    state = d.State("/main/" + id);
    d.RunFor(Millis(500));
  }
  std::uint32_t runs = 0;
  for (const RunEvent& event : c.fleet.EventsOf(id + "."))
    runs = std::max(runs, event.run);
  d.Record("the job is shown as " + state + "; its gang has had " +
           std::to_string(runs) + " run(s) of 4");
  return state == "failed" && runs < 4 ? kBroken : kHeld;
}

/// A version of the configuration gives the route of an open job another name,
/// with the same host, prefix and service.
[[nodiscard]] int RenamedRoute(Case& c) {
  Deployment& d = c.deployment;
  if (!Begin(c, 4, 0))
    return kNotRun;
  Json job = Job("ms=3000");
  job["steps"].append(Step(2, 1'000, 3'000));
  job["steps"].append(Step(2, 1'000, 3'000));
  job["steps"][1]["dependsOn"].append(0);
  const std::string id = "00000000000000bb";
  if (!d.Submit("/main/" + id, job, Millis(10'000)) ||
      !d.RunUntil(Millis(10'000),
                  [&] { return c.fleet.Running(id + ".0.0.0") > 0; })) {
    return kNotRun;
  }
  if (!d.PutConfig(Config(2, c.trouble ? "r-main-2" : "r-main"),
                   Millis(10'000))) {
    return kNotRun;
  }
  const bool completed =
      d.WaitState("/main/" + id, "completed", Millis(45'000));
  d.Record(std::string("the job ") +
           (completed ? "completes"
                      : "has nothing running since its first "
                        "step has ended, with all workers idle"));
  return completed ? kHeld : kBroken;
}

/// One of two workers with a label is lost for good; then a task that needs the
/// label fails once on the other one.
[[nodiscard]] int LostAlternative(Case& c) {
  Deployment& d = c.deployment;
  if (!Begin(c, 7, 2))
    return kNotRun;
  if (c.trouble)
    c.fleet.Crash("i-07");
  // Its lease and that of all that ran on it are over.
  d.RunFor(Millis(12'000));
  Json job = Job("ms=500 fail=1");
  job["steps"].append(Step(1, 1'000, 500));
  job["steps"][0]["requiredLabel"] = "b";
  const std::string id = "00000000000000bb";
  if (!d.Submit("/main/" + id, job, Millis(10'000)))
    return kNotRun;
  const bool completed =
      d.WaitState("/main/" + id, "completed", Millis(45'000));
  d.Record("runs of the task: " +
           std::to_string(c.fleet.StartsOf(id + ".0.0.0")) + " of 4; the job " +
           (completed ? "completes"
                      : "has nothing running though worker i-06 is idle"));
  return completed ? kHeld : kBroken;
}

/// A worker with a member of a gang that saves its progress crashes and starts
/// again under its id.
[[nodiscard]] int GangCheckpoints(Case& c) {
  Deployment& d = c.deployment;
  if (!Begin(c, 7, 0))
    return kNotRun;
  Json job = Job("ms=8000 gang=2 saves=1");
  job["steps"].append(Step(2, 1'000, 8'000));
  job["steps"][0]["gang"] = true;
  job["steps"][0]["checkpointing"] = true;
  job["steps"][0]["maxPerServer"] = 1;
  const std::string id = "00000000000000bb";
  const std::string task = id + ".0.0.0";
  if (!d.Submit("/main/" + id, job, Millis(10'000)) ||
      !d.RunUntil(Millis(10'000),
                  [&] { return !c.fleet.WorkerOf(task).empty(); })) {
    return kNotRun;
  }
  d.RunFor(Millis(4'500));
  if (c.trouble) {
    const std::string worker = c.fleet.WorkerOf(task);
    c.fleet.Crash(worker);
    d.RunFor(Millis(1'500));
    c.fleet.Revive(worker);
  }
  const bool completed =
      d.WaitState("/main/" + id, "completed", Millis(60'000));
  std::map<std::uint32_t, std::string> carried;
  bool differ = false;
  for (const RunEvent& event : c.fleet.EventsOf(id + ".")) {
    if (event.how != "start")
      continue;
    const auto [it, added] = carried.try_emplace(event.run, event.checkpoint);
    if (!added && it->second != event.checkpoint) {
      differ = true;
      d.Record("run " + std::to_string(event.run) +
               ": one member was told checkpoint \"" + it->second +
               "\", another \"" + event.checkpoint + "\"");
    }
  }
  d.Record(std::string("the job ") +
           (completed ? "completes" : "does not complete in 60 s"));
  return differ || !completed ? kBroken : kHeld;
}

/// Long-running tasks take less than half of each worker. Then large jobs come
/// at once, whose tasks fit on an idle worker only, and after them a small one.
[[nodiscard]] int LargeJobs(Case& c) {
  Deployment& d = c.deployment;
  constexpr int kWorkers = 4;
  if (!Begin(c, kWorkers, 0))
    return kNotRun;
  Json lasting = Job("ms=0");
  lasting["steps"].append(Step(kWorkers, 6'000, 900));
  lasting["steps"][0]["longRunning"] = true;
  lasting["steps"][0]["maxPerServer"] = 1;
  const std::string lasting_id = "00000000000000b0";
  const auto all_run = [&] {
    int running = 0;
    for (int i = 0; i < kWorkers; ++i)
      running += c.fleet.Running(lasting_id + ".0.0." + std::to_string(i));
    return running == kWorkers;
  };
  if (!d.Submit("/main/" + lasting_id, lasting, Millis(10'000)) ||
      !d.RunUntil(Millis(10'000), all_run)) {
    return kNotRun;
  }
  if (c.trouble) {
    Json large = Job("ms=0");
    large["steps"].append(Step(1, 12'000, 900));
    large["steps"][0]["longRunning"] = true;
    for (int i = 1; i <= kWorkers; ++i) {
      if (!d.Submit("/main/00000000000000b" + std::to_string(i), large,
                    Millis(10'000))) {
        return kNotRun;
      }
    }
  }
  d.RunFor(Millis(2'000));
  Json small = Job("ms=500");
  small["steps"].append(Step(2, 1'000, 500));
  const std::string id = "00000000000000bb";
  if (!d.Submit("/main/" + id, small, Millis(10'000)))
    return kNotRun;
  const bool completed =
      d.WaitState("/main/" + id, "completed", Millis(45'000));
  d.Record("24 of 64 cores in use, 10 free on each worker; the small job " +
           std::string(completed ? "completes"
                                 : "has had nothing running for 45 s"));
  return completed ? kHeld : kBroken;
}

int Main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: case_runner CASE FOLDER\n");
    return kNotRun;
  }
  const std::map<std::string, std::function<int(Case&)>> cases = {
      {"long-image-name", LongImageName},
      {"foreign-check-in", ForeignCheckIn},
      {"gang-on-faulty-worker", GangOnFaultyWorker},
      {"renamed-route", RenamedRoute},
      {"lost-alternative", LostAlternative},
      {"gang-checkpoints", GangCheckpoints},
      {"large-jobs", LargeJobs},
  };
  const auto found = cases.find(argv[1]);
  if (found == cases.end())
    return kNotRun;
  const char* trouble = std::getenv("TROUBLE");
  curl_global_init(CURL_GLOBAL_DEFAULT);
  try {
    Deployment deployment(argv[2]);
    Fleet fleet(deployment);
    Case c{deployment, fleet,
           trouble == nullptr || std::string(trouble) != "0"};
    deployment.Record(std::string("case ") + argv[1] +
                      (c.trouble ? "" : ", without the disruption"));
    const int result = found->second(c);
    deployment.Record("exit " + std::to_string(result));
    return result;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kNotRun;
  }
}

}  // namespace
}  // namespace boragewinch::review

int main(int argc, char** argv) {
  return boragewinch::review::Main(argc, argv);
}
