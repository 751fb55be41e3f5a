#define BOOST_TEST_MODULE zone_evacuation_process
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <set>

#include "running_platform.h"

// The checker of the fixture reports any start in an evacuated zone that is
// later than 5 s after the acknowledgement.
namespace boragewinch::platform {
namespace {

struct Evacuation : RunningCluster {
  void AwaitOrders() {
    BOOST_REQUIRE(cluster.RunUntil(
        kWaitLimit, [&] { return cluster.zone_orders_acknowledged(); }));
  }
  void Order(const std::string& zone, bool evacuated) {
    cluster.OrderZone(zone, evacuated);
    AwaitOrders();
  }
  /// Waits until the limit for starts in a zone is over, then for work that the
  /// other zones do.
  void AwaitWorkElsewhere() {
    cluster.RunFor(Millis(5'000));
    const int before = checker.StartsIn("z1");
    AwaitCompletions(8);
    BOOST_TEST(checker.StartsIn("z1") == before);
  }
  void AwaitStartsIn(const std::string& zone) {
    const int before = checker.StartsIn(zone);
    BOOST_REQUIRE(cluster.RunUntil(
        kWaitLimit, [&] { return checker.StartsIn(zone) > before; }));
  }
  void AwaitZones(const std::set<std::string>& expected) {
    std::set<std::string> zones;
    bool read = false;
    BOOST_REQUIRE(cluster.RunUntil(kWaitLimit, [&] {
      cluster.ReadZones([&](const Result<std::set<std::string>>& result) {
        read = read || result.has_value();
        if (result)
          zones = result.value();
      });
      return read && zones == expected;
    }));
    // No response may refer to the locals any more.
    cluster.RunFor(Millis(1'500));
  }
  void ReturnAndFinish() {
    Order("z1", false);
    AwaitStartsIn("z1");
    AwaitZones({});
    Finish();
  }
  void SetResponses(const std::string& zone, ResponseMode mode) {
    for (const std::string& host : cluster.hosts().names()) {
      FakeBackend* worker = cluster.hosts().WorkerOn(host);
      if (worker != nullptr && worker->config().zone == zone)
        worker->SetResponseMode(mode);
    }
  }
};

// Guards against an acknowledged order or withdrawal that is lost with the
// leader or with all processes.
BOOST_FIXTURE_TEST_CASE(OrdersOutliveTheProcesses, Evacuation) {
  Order("z1", true);
  const std::string former = cluster.Leader();
  cluster.process(former).Kill();
  AwaitLeaderOtherThan(former);
  AwaitWorkElsewhere();
  for (const std::string& name : cluster.schedulers())
    cluster.process(name).Kill();
  cluster.RunFor(Millis(500));
  for (const std::string& name : cluster.schedulers())
    cluster.Start(name);
  AwaitWorkElsewhere();
  AwaitZones({"z1"});
  Order("z1", false);
  for (const std::string& name : cluster.schedulers())
    cluster.process(name).Kill();
  for (const std::string& name : cluster.schedulers())
    cluster.Start(name);
  ReturnAndFinish();
}

// Guards against an order that is refused when it is sent again, because a
// leader that could not respond any more has stored it.
BOOST_FIXTURE_TEST_CASE(ALostAcknowledgementIsRepeated, Evacuation) {
  const std::string former = cluster.Leader();
  FaultRelay& control = cluster.relay(former + "-control");
  control.SetMode(RelayMode::kDropResponses);
  cluster.OrderZone("z1", true, former);
  cluster.RunFor(Millis(700));
  BOOST_TEST(!cluster.zone_orders_acknowledged());
  cluster.process(former).Kill();
  control.SetMode(RelayMode::kForward);
  AwaitOrders();
  AwaitWorkElsewhere();
  cluster.Start(former);
  ReturnAndFinish();
}

// Guards against an evacuation that a cut zone, with the leader in it, forgets:
// by its leader's last decisions or after its workers have returned.
BOOST_FIXTURE_TEST_CASE(ACutZoneStaysEvacuated, Evacuation) {
  const std::string former = cluster.Leader();
  SetResponses("z1", ResponseMode::kUnresponsive);
  cluster.process(former).Signal(SIGSTOP);
  AwaitLeaderOtherThan(former);
  Order("z1", true);
  AwaitWorkElsewhere();
  cluster.process(former).Signal(SIGCONT);
  SetResponses("z1", ResponseMode::kNormal);
  AwaitWorkElsewhere();
  AwaitZones({"z1"});
  ReturnAndFinish();
}

// Guards against long-running tasks that stay in the zone although others have
// room, and against jobs that are refused or lost while all zones are
// evacuated.
BOOST_FIXTURE_TEST_CASE(LongRunningTasksLeaveAndJobsWait, Evacuation) {
  FakeJob job;
  FakeStep step;
  step.tasks = 6;
  step.long_running = true;
  job.steps.push_back(step);
  const std::string id = cluster.callers().Submit(job);
  const auto runs_in = [&](const std::string& zone) {
    for (const std::string& host : cluster.hosts().names()) {
      const FakeBackend* worker = cluster.hosts().WorkerOn(host);
      if (worker != nullptr && worker->config().zone == zone &&
          checker.JobsOn(worker->incarnation()).count(id) > 0) {
        return true;
      }
    }
    return false;
  };
  BOOST_REQUIRE(cluster.RunUntil(
      kWaitLimit, [&] { return runs_in("z1") || runs_in("z2"); }));
  const std::string zone = runs_in("z1") ? "z1" : "z2";
  Order(zone, true);
  BOOST_REQUIRE(cluster.RunUntil(kWaitLimit, [&] {
    return !runs_in(zone) && runs_in(zone == "z1" ? "z2" : "z1");
  }));
  Order("z1", true);
  Order("z2", true);
  cluster.RunFor(Millis(6'000));
  const std::size_t accepted = checker.accepted();
  BOOST_REQUIRE(cluster.RunUntil(
      kWaitLimit, [&] { return checker.accepted() > accepted; }));
  Order("z2", false);
  ReturnAndFinish();
}

}  // namespace
}  // namespace boragewinch::platform
