#define BOOST_TEST_MODULE buffer_process
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "base/hash.h"
#include "process_fleet.h"

namespace boragewinch {
namespace {

constexpr int kHosts = 8;

struct Fixture {
  static FleetShape Shape() {
    FleetShape shape;
    shape.hosts = kHosts;
    shape.spares = 2;
    shape.min_available = 5;
    shape.worker_process_per_rack = true;
    shape.control_arguments = {"--buffer-settle-ms=1000",
                               "--buffer-stay-seconds=1"};
    return shape;
  }
  ProcessFleet fleet{Shape()};

  Json Fleet() { return fleet.Control("GET", "/v1/fleet").json(); }
  int Count(const std::string& member, const std::string& value) {
    const Json json = Fleet();
    int count = 0;
    for (const Json& host : json["hosts"])
      count += host[member].asString() == value ? 1 : 0;
    return count;
  }
  int InService(const std::string& pool) {
    const Json json = Fleet();
    int count = 0;
    for (const Json& host : json["hosts"]) {
      count += host["pool"].asString() == pool &&
                       host["state"].asString() == "active"
                   ? 1
                   : 0;
    }
    return count;
  }
  bool AllActive() {
    return Eventually(Millis(20'000),
                      [&] { return Count("state", "active") == kHosts + 2; });
  }
};

// Guards against a pool that lost a rack and stays below its availability
// budget despite idle spare hosts, against a new leader that forgets a lent
// host, and against lent hosts that never return.
BOOST_FIXTURE_TEST_CASE(LostRackIsFilledFromTheSparePool, Fixture) {
  BOOST_REQUIRE(AllActive());
  // Four of eight hosts are lost; one more is needed for five. The losses are
  // recorded one after the other, so five hosts are in service before the last.
  fleet.Kill("w1r2");
  BOOST_TEST(Eventually(Millis(30'000), [&] {
    return Count("state", "lost") == 4 && InService("main") == 5;
  }));
  BOOST_TEST(Count("lent_from", "spare") == 1);
  BOOST_TEST(fleet.RunJob("e11") == "finished");
  fleet.Kill(fleet.Leader());
  BOOST_REQUIRE(
      Eventually(Millis(15'000), [&] { return !fleet.Leader().empty(); }));
  // Once the rack is back in service, the new leader drains and returns the
  // lent host.
  fleet.Start("w1r2");
  BOOST_TEST(
      Eventually(Millis(40'000), [&] { return InService("main") == kHosts; }));
  BOOST_TEST(
      Eventually(Millis(40'000), [&] { return InService("spare") == 2; }));
  BOOST_TEST(Count("lent_from", "spare") == 0);
  BOOST_TEST(fleet.RunJob("e12") == "finished");
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against a wave that never progresses in a pool with no more hosts than
// its availability budget, although there are spare hosts.
BOOST_FIXTURE_TEST_CASE(WaveBorrowsSpares, Fixture) {
  BOOST_REQUIRE(AllActive());
  // Raises the availability budget to the number of the pool's hosts.
  Json body;
  body["mode"] = "apply";
  body["file"] = "test.csv";
  std::string text = fleet.SheetText(500);
  const std::string row = "pool,main,,,,,,,5,";
  text.replace(text.find(row), row.size(), "pool,main,,,,,,,8,");
  body["text"] = text;
  body["operator"] = "test";
  body["operation_id"] = RandomHex64();
  body["expected_version"] = ::Json::Int64(fleet.Version());
  BOOST_REQUIRE(fleet.Control("POST", "/v1/sheets", body).status == 200);
  Json command;
  command["type"] = "start_wave";
  command["pool"] = "";
  BOOST_REQUIRE(fleet
                    .Control("POST", "/v1/operations",
                             ProcessFleet::Operation(RandomHex64(),
                                                     fleet.Version(), command))
                    .status == 200);
  BOOST_TEST(Eventually(Millis(90'000), [&] {
    const Json waves = fleet.Control("GET", "/v1/waves").json();
    return waves.isMember("due") && waves["due"].asInt() == 0 &&
           waves["in_work"].asInt() == 0;
  }));
  BOOST_TEST(fleet.RunJob("e11") == "finished");
  BOOST_TEST(fleet.Violations() == "");
}

}  // namespace
}  // namespace boragewinch
