#define BOOST_TEST_MODULE silent_connection_process
#include <boost/test/unit_test.hpp>

#include "process_fleet.h"

namespace boragewinch {
namespace {

struct Fixture {
  static FleetShape Shape() {
    FleetShape shape;
    shape.control_relays = true;
    shape.worker_relays = true;
    shape.peer_relays = true;
    return shape;
  }
  ProcessFleet fleet{Shape()};

  LoadConfig SteadyLoad() {
    LoadConfig config = fleet.Load(1'000);
    config.run = Millis(50);
    config.in_flight = 20;
    config.deadline = Millis(20'000);
    return config;
  }
  bool Ran(std::size_t requests) {
    return Eventually(Millis(20'000),
                      [&] { return fleet.Executions().size() >= requests; });
  }
  void CheckFinished(BackgroundLoad& load) {
    const LoadReport& report = load.Wait();
    BOOST_TEST(report.finished.size() == 1'000U);
    for (const auto& [outcome, count] : report.outcomes)
      BOOST_TEST_MESSAGE(outcome << " " << count);
    BOOST_TEST(report.wrong_results == 0);
    BOOST_TEST(fleet.Violations() == "");
  }
};

// Guards against an entry host whose fleet state becomes stale because its
// connection to the control host is blackholed while new connections work.
BOOST_FIXTURE_TEST_CASE(BlackholedControlConnectionsAreReplaced, Fixture) {
  BackgroundLoad load(SteadyLoad());
  BOOST_TEST(Ran(100));
  for (int round = 0; round < 3; ++round) {
    for (const char* control : {"c1", "c2", "c3"})
      fleet.relay(std::string("z1-") + control).BlackholeExisting();
    BOOST_TEST(Ran(200 + 200 * static_cast<std::size_t>(round)));
  }
  CheckFinished(load);
}

// Guards against workers that count as lost because their connections to an
// entry host are blackholed while new connections work.
BOOST_FIXTURE_TEST_CASE(BlackholedWorkerConnectionsAreReplaced, Fixture) {
  BackgroundLoad load(SteadyLoad());
  BOOST_TEST(Ran(100));
  for (const char* entry : {"e11", "e12"})
    fleet.relay(std::string("workers-") + entry).BlackholeExisting();
  CheckFinished(load);
  for (const char* entry : {"e11", "e12"}) {
    BOOST_TEST(Eventually(Millis(5'000), [&] {
      int live = 0;
      const Json status = fleet.Status(entry);
      for (const Json& worker : status["workers"])
        live += worker["lost"].asBool() ? 0 : 1;
      return live == 8;
    }));
  }
}

// Guards against peers that fence each other because the connections between
// them are blackholed while new connections work.
BOOST_FIXTURE_TEST_CASE(BlackholedPeerConnectionsAreReplaced, Fixture) {
  BackgroundLoad load(SteadyLoad());
  BOOST_TEST(Ran(100));
  for (const char* entry : {"e11", "e12"})
    fleet.relay(std::string("peer-") + entry).BlackholeExisting();
  CheckFinished(load);
}

}  // namespace
}  // namespace boragewinch
