#define BOOST_TEST_MODULE drain_move_process
#include <boost/test/unit_test.hpp>

#include "base/hash.h"
#include "process_fleet.h"

namespace boragewinch {
namespace {

[[nodiscard]] std::string HostOfFirstTask(ProcessFleet& fleet) {
  for (const char* host : {"z1-r1-h1", "z1-r1-h2", "z1-r1-h3", "z1-r1-h4",
                           "z1-r2-h1", "z1-r2-h2", "z1-r2-h3", "z1-r2-h4"}) {
    if (fleet.RunningOn(host) > 0)
      return host;
  }
  return "";
}

[[nodiscard]] bool IsDrained(ProcessFleet& fleet, const std::string& host) {
  const Json json = fleet.Control("GET", "/v1/fleet").json();
  for (const Json& item : json["hosts"]) {
    if (item["name"].asString() == host)
      return item["state"].asString() == "drained";
  }
  return false;
}

// One repeatable job of 8 s at e11 whose host is drained while it runs.
struct Fixture {
  explicit Fixture(bool checkpoints) : fleet(Shape(checkpoints)) {
    ticket = fleet.Ticket("e11");
    BOOST_REQUIRE(
        fleet.Put("e11", ticket, ProcessFleet::Spec("open", 8'000, true))
            .status == 200);
    BOOST_REQUIRE(Eventually(Millis(10'000), [&] {
      host = HostOfFirstTask(fleet);
      return !host.empty();
    }));
    before = fleet.ExecutionsOn(host);
    Json command;
    command["type"] = "drain_host";
    command["host"] = host;
    BOOST_REQUIRE(fleet
                      .Control("POST", "/v1/operations",
                               ProcessFleet::Operation(
                                   RandomHex64(), fleet.Version(), command))
                      .status == 200);
  }
  static FleetShape Shape(bool checkpoints) {
    FleetShape shape;
    shape.drain_move_after_ms = 1'000;
    shape.worker_checkpoints = checkpoints;
    return shape;
  }
  void WaitUntilFinished() {
    BOOST_TEST(
        Eventually(Millis(20'000), [&] { return IsDrained(fleet, host); }));
    BOOST_TEST(Eventually(Millis(30'000), [&] {
      return fleet.Job("e12", ticket).json()["outcome"].asString() ==
             "finished";
    }));
    BOOST_TEST(fleet.ExecutionsOn(host) == before);
    BOOST_TEST(fleet.Violations() == "");
  }
  [[nodiscard]] bool Logged(const char* text) const {
    return fleet.LogOf("e11").find(text) != std::string::npos;
  }

  ProcessFleet fleet;
  std::string ticket;
  std::string host;
  /// Executions on `host` just before the drain, including those of the jobs
  /// that ProcessFleet runs to check that the fleet is ready.
  int before = 0;
};

// Guards the whole path of a task's move off a draining host: the checkpoint
// call, the result with its progress and the start at the next worker.
BOOST_AUTO_TEST_CASE(DrainMovesALongTask) {
  Fixture fixture(true);
  fixture.WaitUntilFinished();
  BOOST_TEST(fixture.fleet.Executions()[fixture.ticket] == 2);
  BOOST_TEST(fixture.Logged("task_moved"));
  BOOST_TEST(!fixture.Logged("progress_bytes=0"));
}

// Guards against status 404 from a worker without checkpoints being taken for
// a lost response or a stopped task.
BOOST_AUTO_TEST_CASE(DrainWaitsWithoutCheckpoints) {
  Fixture fixture(false);
  fixture.WaitUntilFinished();
  BOOST_TEST(fixture.fleet.Executions()[fixture.ticket] == 1);
  BOOST_TEST(fixture.Logged("task_stays"));
  BOOST_TEST(!fixture.Logged("task_moved"));
}

}  // namespace
}  // namespace boragewinch
