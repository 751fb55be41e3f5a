#define BOOST_TEST_MODULE partition_process
#include <boost/test/unit_test.hpp>

#include <set>

#include "base/hash.h"
#include "base/secret.h"
#include "process_fleet.h"

namespace boragewinch {
namespace {

// Generous for slow machines; reached only if a process hangs.
constexpr Millis kWaitLimit{30'000};
constexpr int kLimit = 20;

[[nodiscard]] Json KeyCommand(const std::string& id) {
  Json command;
  command["type"] = "create_key";
  command["id"] = id;
  command["team"] = "t1";
  command["secret_hash"] = HashSecret("secret");
  return command;
}

// --- One-way partitions between control hosts ---

struct ControlPair {
  static FleetShape Shape() {
    FleetShape shape;
    shape.hosts = 4;
    shape.control_relays = true;
    return shape;
  }
  ProcessFleet fleet{Shape()};
  const std::string leader = fleet.Leader();
  std::vector<std::string> followers = Others(leader);
  const std::int64_t term = fleet.Status(leader)["term"].asInt64();

  static std::vector<std::string> Others(const std::string& name) {
    std::vector<std::string> others;
    for (const char* host : {"c1", "c2", "c3"}) {
      if (host != name)
        others.emplace_back(host);
    }
    return others;
  }
  // Raft requests and responses are separate calls, so all messages from one
  // host to another are calls through the relay of that direction.
  void Cut(const std::string& from, const std::string& to) {
    fleet.relay("raft-" + from + "-" + to).SetMode(RelayMode::kDropRequests);
  }
  void Heal() {
    for (const char* from : {"c1", "c2", "c3"}) {
      for (const std::string& to : Others(from))
        fleet.relay(std::string("raft-") + from + "-" + to)
            .SetMode(RelayMode::kForward);
    }
  }
  std::string RoleOf(const std::string& control) {
    return fleet.Status(control)["role"].asString();
  }
  // Sends an operator's change to `control` until it is accepted there.
  // Returns the version with the change.
  std::int64_t Accepted(const std::string& control, const std::string& id) {
    Reply reply;
    BOOST_TEST(Eventually(kWaitLimit, [&] {
      reply = fleet.Operator(
          control, "POST", "/v1/operations",
          ProcessFleet::Operation("add-" + id, -1, KeyCommand(id)));
      return reply.status == 200;
    }));
    return reply.json()["version"].asInt64();
  }
  std::string NewLeader() {
    std::string found;
    BOOST_REQUIRE(Eventually(kWaitLimit, [&] {
      for (const std::string& follower : followers) {
        if (RoleOf(follower) == "leader")
          found = follower;
      }
      return !found.empty();
    }));
    return found;
  }
  void CheckInForceEverywhere(std::int64_t version, const std::string& key) {
    BOOST_TEST(Eventually(kWaitLimit, [&] {
      const Json first = fleet.Status("c1");
      return first.isMember("hash") && first["version"].asInt64() >= version &&
             first["hash"] == fleet.Status("c2")["hash"] &&
             first["hash"] == fleet.Status("c3")["hash"];
    }));
    BOOST_TEST(fleet.InForce(version, kWaitLimit));
    for (const std::string& entry : fleet.entry_names()) {
      BOOST_TEST(Eventually(kWaitLimit, [&] {
        return fleet.RunJob(entry, "q1", key + ".secret") == "finished";
      }));
    }
    BOOST_TEST(fleet.Violations() == "");
  }
};

// Guards against a group that keeps a leader whose messages reach no follower,
// and against changes that such a leader confirms or its successor loses.
BOOST_FIXTURE_TEST_CASE(LeaderThatCannotSendIsReplaced, ControlPair) {
  (void)Accepted(leader, "before");
  for (const std::string& follower : followers)
    Cut(leader, follower);
  const std::string next = NewLeader();
  const std::int64_t version = Accepted(next, "during");
  BOOST_TEST(
      Eventually(kWaitLimit, [&] { return RoleOf(leader) != "leader"; }));
  Heal();
  CheckInForceEverywhere(version, "before");
  CheckInForceEverywhere(version, "during");
}

// Guards against a leader that receives no responses but stays leader because
// its heartbeats reach the followers, so that no change is ever accepted.
BOOST_FIXTURE_TEST_CASE(LeaderThatCannotReceiveStepsDown, ControlPair) {
  (void)Accepted(leader, "before");
  for (const std::string& follower : followers)
    Cut(follower, leader);
  BOOST_TEST(
      Eventually(kWaitLimit, [&] { return RoleOf(leader) != "leader"; }));
  const std::string next = NewLeader();
  const std::int64_t version = Accepted(next, "during");
  // The former leader, which receives nothing, keeps requesting votes. That
  // must not disturb the others.
  const std::int64_t after = fleet.Status(next)["term"].asInt64();
  for (int change = 0; change < 20; ++change)
    (void)Accepted(next, "more-" + std::to_string(change));
  BOOST_TEST(RoleOf(next) == "leader");
  BOOST_TEST(fleet.Status(next)["term"].asInt64() == after);
  Heal();
  CheckInForceEverywhere(version, "before");
  CheckInForceEverywhere(version, "during");
}

// Guards against a follower with a one-way partition from the leader that ends
// its leadership, and against a follower that misses changes permanently.
BOOST_FIXTURE_TEST_CASE(OneWayPartitionOfAFollowerDisturbsNothing,
                        ControlPair) {
  for (const bool leader_to_follower : {true, false}) {
    const std::string& follower = followers[0];
    if (leader_to_follower)
      Cut(leader, follower);
    else
      Cut(follower, leader);
    const std::string prefix = leader_to_follower ? "deaf-" : "mute-";
    std::int64_t version = 0;
    for (int change = 0; change < 100; ++change)
      version = Accepted(leader, prefix + std::to_string(change));
    BOOST_TEST(RoleOf(leader) == "leader");
    BOOST_TEST(fleet.Status(leader)["term"].asInt64() == term);
    if (leader_to_follower)
      BOOST_TEST(fleet.Status(follower)["version"].asInt64() < version);
    Heal();
    CheckInForceEverywhere(version, prefix + "99");
  }
}

// --- One-way partitions between entry hosts and control hosts ---

struct Zones {
  static FleetShape Shape() {
    FleetShape shape;
    shape.zones = 2;
    shape.hosts = 4;
    shape.limit = kLimit;
    shape.control_relays = true;
    shape.peer_relays = true;
    return shape;
  }
  ProcessFleet fleet{Shape()};

  void ToControl(RelayMode mode) {
    for (const char* control : {"c1", "c2", "c3"})
      fleet.relay(std::string("z2-") + control).SetMode(mode);
  }
  // Waits until no call that passed before a cut can still be answered. Such a
  // response may contain a change that was made after the cut.
  bool ToControlIsDrained() {
    return Eventually(kWaitLimit, [&] {
      bool drained = true;
      for (const char* control : {"c1", "c2", "c3"}) {
        drained =
            drained && fleet.relay(std::string("z2-") + control).IsDrained();
      }
      return drained;
    });
  }
  bool Ran(std::size_t requests) {
    return Eventually(kWaitLimit,
                      [&] { return fleet.Executions().size() >= requests; });
  }
  bool Answers(const std::string& entry,
               const std::string& expected,
               const std::string& key) {
    return Eventually(
        kWaitLimit, [&] { return fleet.RunJob(entry, "q1", key) == expected; });
  }
  // More jobs of team t1 than its limit, at every entry host.
  LoadConfig Overload(std::int64_t jobs) {
    LoadConfig config = fleet.Load(jobs);
    config.targets = {{QueueName("open"), ""}};
    config.repeatable_percent = 100;
    config.run = Millis(300);
    config.in_flight = 80;
    return config;
  }

  // Entry hosts that have not confirmed `version`.
  std::set<std::string> WithoutVersion(std::int64_t version) {
    const Json json =
        fleet.Control("GET", "/v1/in-force?version=" + std::to_string(version))
            .json();
    std::set<std::string> names;
    for (const char* list : {"missing", "lapsed"}) {
      for (const Json& entry : json[list])
        names.insert(entry["entry"].asString());
    }
    return names;
  }
  void CutOneWay(RelayMode mode) {
    BackgroundLoad load(Overload(500));
    BOOST_TEST(Ran(60));
    ToControl(mode);
    if (mode == RelayMode::kDropRequests)
      BOOST_TEST(ToControlIsDrained());
    const Reply changed =
        fleet.Control("POST", "/v1/operations",
                      ProcessFleet::Operation("add-k9", -1, KeyCommand("k9")));
    BOOST_TEST(changed.status == 200, changed.body);
    const std::int64_t version = changed.json()["version"].asInt64();
    BOOST_TEST(Answers("e21", "stale_configuration", fleet.key1));
    BOOST_TEST(Answers("e22", "stale_configuration", fleet.key1));
    BOOST_TEST(Answers("e11", "finished", "k9.secret"));
    BOOST_TEST(fleet.Status("e21")["version"].asInt64() < version);
    const std::set<std::string> without = WithoutVersion(version);
    BOOST_TEST((without == std::set<std::string>{"e21", "e22"}));
    BOOST_TEST(Ran(300));
    ToControl(RelayMode::kForward);
    BOOST_TEST(fleet.InForce(version, kWaitLimit));
    for (const std::string& entry : fleet.entry_names())
      BOOST_TEST(Answers(entry, "finished", "k9.secret"), entry);
    const LoadReport& report = load.Wait();
    BOOST_TEST(report.finished.size() == 500U);
    BOOST_TEST(report.wrong_results == 0);
    BOOST_TEST(fleet.PeakRunning("t1") <= kLimit);
    BOOST_TEST(fleet.Violations() == "");
  }
};

// Guards against a zone whose reports reach no control host and whose allotment
// is granted to others too early, or which accepts keyed jobs on stale state.
BOOST_FIXTURE_TEST_CASE(ReportsOfAZoneAreLost, Zones) {
  CutOneWay(RelayMode::kDropRequests);
}

// Guards against a leader that takes a zone's reports as proof that the zone
// received its responses: a change is in force too early, or an allotment moves
// while the zone still uses it.
BOOST_FIXTURE_TEST_CASE(ResponsesToAZoneAreLost, Zones) {
  CutOneWay(RelayMode::kDropResponses);
}

}  // namespace
}  // namespace boragewinch
