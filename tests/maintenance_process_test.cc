#define BOOST_TEST_MODULE maintenance_process
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <thread>

#include "base/hash.h"
#include "process_fleet.h"

namespace boragewinch {
namespace {

constexpr int kHosts = 8;
constexpr int kMinAvailable = 6;

struct Fixture {
  static FleetShape Shape() {
    FleetShape shape;
    shape.hosts = kHosts;
    shape.min_available = kMinAvailable;
    shape.worker_process_per_rack = true;
    return shape;
  }
  ProcessFleet fleet{Shape()};

  Reply Operate(const Json& command, std::int64_t version) {
    return fleet.Control(
        "POST", "/v1/operations",
        ProcessFleet::Operation(RandomHex64(), version, command));
  }
  static Json Drain(const std::string& host) {
    Json command;
    command["type"] = "drain_host";
    command["host"] = host;
    return command;
  }
  static Json Wave() {
    Json command;
    command["type"] = "start_wave";
    command["pool"] = "main";
    return command;
  }
  Json Fleet() { return fleet.Control("GET", "/v1/fleet").json(); }
  std::string StateOf(const std::string& host) {
    const Json json = Fleet();
    for (const Json& item : json["hosts"]) {
      if (item["name"].asString() == host)
        return item["state"].asString();
    }
    return "";
  }
  int CountInState(const std::string& state) {
    const Json json = Fleet();
    int count = 0;
    for (const Json& item : json["hosts"])
      count += item["state"].asString() == state ? 1 : 0;
    return count;
  }
  // Number of hosts that the platform has rebooted.
  int Maintained() {
    int count = 0;
    for (int i = 0; i < kHosts; ++i) {
      const std::string host =
          "z1-r" + std::to_string(i / 4 + 1) + "-h" + std::to_string(i % 4 + 1);
      const Json json =
          Http("GET", "http://" + fleet.address("platform") + "/hosts/" + host)
              .json();
      count += json["boots"].asInt() > 0 ? 1 : 0;
    }
    return count;
  }
  Json WorkerAt(const std::string& entry, const std::string& host) {
    const Json status = fleet.Status(entry);
    for (const Json& worker : status["workers"]) {
      if (worker["host"].asString() == host)
        return worker;
    }
    return Json(::Json::objectValue);
  }
  bool AllWorkersReported() {
    return Eventually(Millis(10'000), [&] {
      const Json json = Fleet();
      int reported = 0;
      for (const Json& worker : json["workers"])
        reported += worker["heard"].asBool() ? 1 : 0;
      return reported == kHosts;
    });
  }
};

/// Polls the host states and records the lowest number of active hosts of the
/// pool.
class BudgetMonitor {
 public:
  explicit BudgetMonitor(Fixture& fixture)
      : thread_([this, &fixture] {
          while (!stop_) {
            const Json json = fixture.Fleet();
            if (!json["hosts"].isArray())
              continue;
            int active = 0;
            for (const Json& host : json["hosts"])
              active += host["state"].asString() == "active" ? 1 : 0;
            lowest_ = std::min(lowest_.load(), active);
          }
        }) {}
  ~BudgetMonitor() {
    stop_ = true;
    thread_.join();
  }
  [[nodiscard]] int lowest() const { return lowest_; }

 private:
  std::atomic<bool> stop_{false};
  std::atomic<int> lowest_{kHosts};
  std::thread thread_;
};

// Guards against drains that break the budget, sequential or by two operators
// at the same time.
BOOST_FIXTURE_TEST_CASE(DrainsStopAtTheBudget, Fixture) {
  BOOST_TEST(AllWorkersReported());
  BOOST_TEST(Operate(Drain("z1-r1-h1"), fleet.Version()).status == 200);
  const std::int64_t version = fleet.Version();
  Reply replies[2];
  std::thread threads[2];
  for (int i = 0; i < 2; ++i) {
    threads[i] = std::thread([&, i] {
      replies[i] = Operate(Drain(i == 0 ? "z1-r1-h2" : "z1-r2-h1"), version);
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  BOOST_TEST(replies[0].status + replies[1].status == 200 + 409);
  const Reply third = Operate(Drain("z1-r2-h4"), fleet.Version());
  BOOST_TEST(third.status == 409);
  BOOST_TEST(third.json()["error"].asString() == "budget_exceeded", third.body);
  BOOST_TEST(
      Eventually(Millis(15'000), [&] { return CountInState("drained") == 2; }));
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against a host counting as drained while a task runs on it, and
// against new work on a draining host.
BOOST_FIXTURE_TEST_CASE(DrainedMeansIdle, Fixture) {
  BOOST_TEST(AllWorkersReported());
  std::map<std::string, std::string> jobs;  // host by ticket
  for (int i = 0; i < 8; ++i) {
    const std::string ticket = fleet.Ticket("e11");
    BOOST_TEST(
        fleet.Put("e11", ticket, ProcessFleet::Spec("open", 4'000, false))
            .status == 200);
  }
  std::string host;
  BOOST_TEST(Eventually(Millis(5'000), [&] {
    const Json status = fleet.Status("e11");
    for (const Json& worker : status["workers"]) {
      if (worker["tasks"].asInt() > 0)
        host = worker["host"].asString();
    }
    return !host.empty();
  }));
  BOOST_TEST(Operate(Drain(host), fleet.Version()).status == 200);
  bool drained_while_busy = false;
  BOOST_TEST(Eventually(Millis(20'000), [&] {
    // The state has to be read before the running tasks. The list of tasks in a
    // status includes ended ones whose result is still pending.
    const bool drained = StateOf(host) == "drained";
    if (drained && fleet.RunningOn(host) > 0)
      drained_while_busy = true;
    return drained;
  }));
  BOOST_TEST(!drained_while_busy);
  // Jobs still run, but none on the drained host.
  const int before = fleet.ExecutionsOn(host);
  LoadConfig config = fleet.Load(200);
  BackgroundLoad load(config);
  BOOST_TEST(load.Wait().finished.size() == 200U);
  BOOST_TEST(fleet.ExecutionsOn(host) == before);
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against a wave that breaks the budget or never ends.
BOOST_FIXTURE_TEST_CASE(WaveKeepsTheBudgetAndCompletes, Fixture) {
  BOOST_TEST(AllWorkersReported());
  const BudgetMonitor monitor(*this);
  LoadConfig config = fleet.Load(1'000);
  config.run = Millis(30);
  BackgroundLoad load(config);
  const Reply reply = Operate(Wave(), fleet.Version());
  BOOST_TEST(reply.status == 200, reply.body);
  BOOST_TEST(
      Eventually(Millis(50'000), [&] { return Maintained() == kHosts; }));
  BOOST_TEST(Eventually(Millis(10'000),
                        [&] { return CountInState("active") == kHosts; }));
  BOOST_TEST(load.Wait().finished.size() == 1'000U);
  BOOST_TEST(monitor.lowest() >= kMinAvailable);
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against a wave that a new leader forgets or continues with additional
// drains beyond the budget.
BOOST_FIXTURE_TEST_CASE(WaveOutlivesTheControlLeader, Fixture) {
  BOOST_TEST(AllWorkersReported());
  const BudgetMonitor monitor(*this);
  BOOST_TEST(Operate(Wave(), fleet.Version()).status == 200);
  BOOST_TEST(
      Eventually(Millis(20'000), [&] { return CountInState("active") < 8; }));
  const std::string leader = fleet.Leader();
  BOOST_REQUIRE(!leader.empty());
  fleet.Kill(leader);
  BOOST_TEST(
      Eventually(Millis(50'000), [&] { return Maintained() == kHosts; }));
  BOOST_TEST(monitor.lowest() >= kMinAvailable);
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against a wave that goes on draining when a lost rack has already
// broken the budget.
BOOST_FIXTURE_TEST_CASE(LostRackPausesTheWave, Fixture) {
  BOOST_TEST(AllWorkersReported());
  BOOST_TEST(Operate(Wave(), fleet.Version()).status == 200);
  BOOST_TEST(
      Eventually(Millis(20'000), [&] { return CountInState("active") < 8; }));
  fleet.Kill("w1r2");
  // Until the control leader detects the loss, the wave may drain another host.
  BOOST_TEST(Eventually(Millis(15'000), [&] {
    const Json json = Fleet();
    int reported = 0;
    for (const Json& worker : json["workers"])
      reported += worker["heard"].asBool() ? 1 : 0;
    return reported <= 4;
  }));
  // Losing four of eight hosts breaks the budget: unfinished drains are
  // canceled, and all hosts of the other rack return to service.
  BOOST_TEST(Eventually(Millis(20'000), [&] {
    int active = 0;
    for (int i = 1; i <= 4; ++i)
      active += StateOf("z1-r1-h" + std::to_string(i)) == "active" ? 1 : 0;
    return active == 4;
  }));
  // While the rack is lost, none of them is drained.
  int lowest = 4;
  const TimePoint until = MonotonicNow() + Millis(4'000);
  while (MonotonicNow() < until) {
    int active = 0;
    for (int i = 1; i <= 4; ++i)
      active += StateOf("z1-r1-h" + std::to_string(i)) == "active" ? 1 : 0;
    lowest = std::min(lowest, active);
  }
  BOOST_TEST(lowest == 4);
  BOOST_TEST(fleet.RunJob("e11") == "finished");
  fleet.Start("w1r2");
  BOOST_TEST(
      Eventually(Millis(40'000), [&] { return Maintained() == kHosts; }));
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against new work for a leaving worker after the only entry host that
// received its leave request has crashed.
BOOST_FIXTURE_TEST_CASE(LeaveOutlivesTheEntryHostThatReceivedIt, Fixture) {
  BOOST_TEST(AllWorkersReported());
  // The test sends the leave request for the worker, whose heartbeats don't
  // repeat it, so only the entry hosts can keep new work away from it.
  const std::string host = "z1-r1-h1";
  Json leave;
  leave["host"] = host;
  leave["incarnation"] = WorkerAt("e11", host)["incarnation"];
  BOOST_TEST(Http("POST",
                  "http://" + fleet.address("e11") + "/v1/workers/leave", {},
                  WriteJson(leave))
                 .status == 200);
  fleet.Kill("e11");
  BOOST_TEST(Eventually(Millis(3'000), [&] {
    return WorkerAt("e12", host)["leaving"].asBool();
  }));
  const int before = fleet.ExecutionsOn(host);
  LoadConfig config = fleet.Load(300);
  config.entries = {fleet.address("e12")};
  config.repeatable_percent = 100;
  BackgroundLoad load(config);
  BOOST_TEST(load.Wait().finished.size() == 300U);
  BOOST_TEST(fleet.ExecutionsOn(host) == before);
  BOOST_TEST(fleet.Violations() == "");
}

}  // namespace
}  // namespace boragewinch
