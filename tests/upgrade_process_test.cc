#define BOOST_TEST_MODULE upgrade_process
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <set>

#include "process_fleet.h"

namespace boragewinch {
namespace {

// Time limit of each wait. It is generous for slow machines and is reached only
// if a process hangs.
constexpr Millis kLimit{30'000};

[[nodiscard]] std::string Text(const LoadReport& report) {
  std::string text;
  for (const auto& [name, count] : report.outcomes)
    text += name + " " + std::to_string(count) + "; ";
  return text;
}

struct Upgrade {
  static FleetShape Shape() {
    FleetShape shape;
    shape.zones = 2;
    return shape;
  }
  ProcessFleet fleet{Shape()};
  std::atomic<bool> done{false};

  LoadConfig Load(std::int64_t repeatable_percent, std::uint32_t seed) {
    LoadConfig config = fleet.Load(1'000'000);
    config.repeatable_percent = repeatable_percent;
    config.run = Millis(100);
    config.in_flight = 8;
    config.seed = seed;
    config.resubmit_elsewhere = true;
    config.stop = &done;
    return config;
  }
  // SIGTERM, exit with code 0, start: the documented upgrade of one process.
  void Restart(const std::string& name) {
    fleet.Signal(name, SIGTERM);
    BOOST_REQUIRE_MESSAGE(fleet.WaitExit(name, kLimit) == 0, name);
    fleet.Start(name);
  }
  void RestartControl(const std::string& name) {
    Restart(name);
    BOOST_REQUIRE(Eventually(kLimit, [&] {
      const std::string leader = fleet.Leader();
      return !leader.empty() && fleet.Status(name)["commit"].asInt64() >=
                                    fleet.Status(leader)["commit"].asInt64();
    }));
  }
  void RestartEntry(const std::string& name) {
    // The host must have open requests when it stops.
    BOOST_REQUIRE(Eventually(kLimit, [&] {
      return fleet.Status(name)["open_requests"].asInt64() > 0;
    }));
    Restart(name);
    BOOST_REQUIRE(Eventually(
        kLimit, [&] { return fleet.Status(name)["fresh"].asBool(); }));
  }
};

// Guards against a rolling upgrade in which a caller loses a result, a
// non-repeatable job runs twice or a process does not exit by itself. Callers
// submit to another host what a stopping host refuses (docs/api.md).
BOOST_FIXTURE_TEST_CASE(RollingUpgradeInterruptsNothing, Upgrade) {
  {
    BackgroundLoad once(Load(0, 1));
    BackgroundLoad repeatable(Load(100, 2));
    // Stops the loads also when a requirement fails.
    struct LoadStopper {
      std::atomic<bool>& done;
      ~LoadStopper() { done = true; }
    } stopper{done};
    BOOST_REQUIRE(
        Eventually(kLimit, [&] { return fleet.Executions().size() >= 200; }));
    const std::string first_leader = fleet.Leader();
    std::set<std::string> upgraded;
    for (const std::string name : {"c1", "c2", "c3"}) {
      if (name != first_leader) {
        RestartControl(name);
        upgraded.insert(name);
      }
    }
    RestartControl(first_leader);
    for (const std::string& name : fleet.entry_names())
      RestartEntry(name);
    done = true;
    for (BackgroundLoad* load : {&once, &repeatable}) {
      const LoadReport& report = load->Wait();
      BOOST_TEST_MESSAGE(Text(report));
      BOOST_TEST(report.outcomes.size() == 1U, Text(report));
      BOOST_TEST(report.outcomes.count("finished") == 1U, Text(report));
      BOOST_TEST(report.wrong_results == 0);
    }
    auto executions = fleet.Executions();
    for (const std::string& request : once.Wait().finished)
      BOOST_TEST(executions[request] == 1, request);
    for (const std::string& request : repeatable.Wait().finished)
      BOOST_TEST(executions[request] >= 1, request);
    for (BackgroundLoad* load : {&once, &repeatable}) {
      for (const std::string& request : load->Wait().not_run)
        BOOST_TEST(executions[request] == 0, request << " ran");
    }
  }
  // The log also has the violations of the incarnations that have ended.
  std::vector<std::string> names = fleet.entry_names();
  names.insert(names.end(), {"c1", "c2", "c3"});
  for (const std::string& name : names) {
    const std::string log = fleet.LogOf(name);
    BOOST_TEST(log.find("BW9001") == std::string::npos, log);
    BOOST_TEST(log.find("BW1003 process_stopped open_requests=0 "
                        "invariant_violations=0") != std::string::npos,
               name);
  }
  BOOST_TEST(fleet.Violations() == "");
}

struct OneEntry {
  static FleetShape Shape(int stop_timeout_ms) {
    FleetShape shape;
    shape.entries = 1;
    shape.stop_timeout_ms = stop_timeout_ms;
    return shape;
  }
  static std::string StartJob(ProcessFleet& fleet, int run_ms) {
    std::string ticket = fleet.Ticket("e11");
    BOOST_TEST(
        fleet.Put("e11", ticket, ProcessFleet::Spec("open", run_ms, true))
            .status == 200);
    BOOST_TEST(Eventually(kLimit,
                          [&] { return fleet.Executions().contains(ticket); }));
    return ticket;
  }
};

// Guards against a stop that reaches its timeout with open requests and does
// not report the violation of the planned_stop invariant.
BOOST_FIXTURE_TEST_CASE(StopAtItsTimeLimitReportsWhatIsOpen, OneEntry) {
  ProcessFleet fleet(Shape(500));
  (void)StartJob(fleet, 600'000);
  BOOST_TEST(fleet.Violations() == "");
  fleet.Signal("e11", SIGTERM);
  BOOST_TEST(fleet.WaitExit("e11", kLimit) == 0);
  const std::string log = fleet.LogOf("e11");
  BOOST_TEST(log.find("BW9001 invariant_violated invariant=planned_stop") !=
                 std::string::npos,
             log);
  BOOST_TEST(log.find("BW1003 process_stopped open_requests=1 "
                      "invariant_violations=1") != std::string::npos,
             log);
}

// Guards against a planned stop that, without a backup, ends before its
// requests do, although its timeout is not reached.
BOOST_FIXTURE_TEST_CASE(StopWithoutBackupWaitsForItsRequests, OneEntry) {
  ProcessFleet fleet(Shape(60'000));
  const std::string ticket = StartJob(fleet, 2'000);
  fleet.Signal("e11", SIGTERM);
  BOOST_TEST(fleet.WaitExit("e11", kLimit) == 0);
  const std::string log = fleet.LogOf("e11");
  BOOST_TEST(log.find("BW9001") == std::string::npos, log);
  BOOST_TEST(log.find("BW1003 process_stopped open_requests=0 "
                      "invariant_violations=0") != std::string::npos,
             log);
  int running = 0;
  for (int host = 1; host <= 4; ++host) {
    for (const char* rack : {"z1-r1-h", "z1-r2-h"})
      running += fleet.RunningOn(rack + std::to_string(host));
  }
  BOOST_TEST(running == 0);
}

}  // namespace
}  // namespace boragewinch
