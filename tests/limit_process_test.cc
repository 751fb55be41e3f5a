#define BOOST_TEST_MODULE limit_process
#include <boost/test/unit_test.hpp>

#include "process_fleet.h"

namespace boragewinch {
namespace {

constexpr int kLimit = 20;

struct Fixture {
  static FleetShape Shape() {
    FleetShape shape;
    shape.zones = 2;
    shape.limit = kLimit;
    shape.control_relays = true;
    return shape;
  }
  ProcessFleet fleet{Shape()};

  // Load of team t1 above its limit at every entry host.
  LoadConfig Busy(std::int64_t jobs, Millis run) {
    LoadConfig config = fleet.Load(jobs);
    config.targets = {{QueueName("open"), ""}};
    config.repeatable_percent = 100;
    config.run = run;
    config.in_flight = 100;
    config.deadline = Millis(45'000);
    return config;
  }
  bool Ran(std::size_t requests) {
    return Eventually(Millis(20'000),
                      [&] { return fleet.Executions().size() >= requests; });
  }
};

// Guards against entry hosts that together exceed a team limit.
BOOST_FIXTURE_TEST_CASE(BusyEntryHostsStayWithinTheLimit, Fixture) {
  BackgroundLoad load(Busy(600, Millis(300)));
  const LoadReport& report = load.Wait();
  BOOST_TEST(report.finished.size() == 600U);
  BOOST_TEST(fleet.PeakRunning("t1") <= kLimit);
  // The limit is also used.
  BOOST_TEST(fleet.PeakRunning("t1") >= kLimit * 3 / 4);
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against granting an allotment a second time while its zone is
// partitioned from the control hosts and still runs tasks.
BOOST_FIXTURE_TEST_CASE(CutZoneKeepsItsAllotment, Fixture) {
  BackgroundLoad load(Busy(600, Millis(500)));
  BOOST_TEST(Ran(100));
  for (const char* control : {"c1", "c2", "c3"})
    fleet.relay(std::string("z2-") + control).SetMode(RelayMode::kStall);
  BOOST_TEST(Ran(400));
  for (const char* control : {"c1", "c2", "c3"})
    fleet.relay(std::string("z2-") + control).SetMode(RelayMode::kForward);
  (void)load.Wait();
  BOOST_TEST(fleet.PeakRunning("t1") <= kLimit);
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against a restarted entry host that starts new tasks while those of
// its previous run are still running.
BOOST_FIXTURE_TEST_CASE(RestartedEntryHostCountsTasksThatRunOn, Fixture) {
  BackgroundLoad load(Busy(150, Millis(4'000)));
  BOOST_TEST(Ran(20));
  fleet.Kill("e11");
  fleet.Start("e11");
  (void)load.Wait();
  BOOST_TEST(fleet.PeakRunning("t1") <= kLimit);
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against exceeding a lowered limit once it is in force.
BOOST_FIXTURE_TEST_CASE(LoweredLimitHoldsOnceInForce, Fixture) {
  BackgroundLoad load(Busy(500, Millis(300)));
  BOOST_TEST(Ran(100));
  constexpr int kLowered = 8;
  const Reply refused = fleet.ApplySheet(kLowered, false);
  BOOST_TEST(refused.status == 409, refused.body);
  const Reply reply = fleet.ApplySheet(kLowered, true);
  BOOST_TEST(reply.status == 200, reply.body);
  const auto running = [&] {
    std::int64_t sum = 0;
    for (const std::string& name : fleet.entry_names())
      sum += fleet.Status(name)["running"]["t1"].asInt64();
    return sum;
  };
  // Once at or below the new limit, the number must not exceed it again.
  BOOST_TEST(Eventually(Millis(20'000), [&] { return running() <= kLowered; }));
  BOOST_TEST(fleet.InForce(reply.json()["version"].asInt64(), Millis(10'000)));
  std::int64_t highest = 0;
  const TimePoint until = MonotonicNow() + Millis(5'000);
  while (MonotonicNow() < until)
    highest = std::max(highest, running());
  BOOST_TEST(highest <= kLowered);
  BOOST_TEST(highest > 0);
  (void)load.Wait();
  BOOST_TEST(fleet.PeakRunning("t1") <= kLimit);
  BOOST_TEST(fleet.Violations() == "");
}

}  // namespace
}  // namespace boragewinch
