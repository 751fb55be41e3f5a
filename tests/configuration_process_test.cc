#define BOOST_TEST_MODULE configuration_process
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <thread>

#include "base/secret.h"
#include "process_fleet.h"

namespace boragewinch {
namespace {

struct Fixture {
  ProcessFleet fleet{FleetShape{}};

  static Json KeyCommand(const std::string& id) {
    Json command;
    command["type"] = "create_key";
    command["id"] = id;
    command["team"] = "t1";
    command["secret_hash"] = HashSecret("secret");
    return command;
  }
  Reply AddKey(const std::string& id, std::int64_t version) {
    return fleet.Control(
        "POST", "/v1/operations",
        ProcessFleet::Operation("add-" + id, version, KeyCommand(id)));
  }
  bool HasKey(const std::string& id) {
    const Json fleet_json = fleet.Control("GET", "/v1/fleet").json();
    for (const Json& key : fleet_json["keys"]) {
      if (key["id"].asString() == id)
        return true;
    }
    return false;
  }
  // Whether all control hosts have the same state at the same version.
  bool Agree() {
    const Json first = fleet.Status("c1");
    for (const char* name : {"c2", "c3"}) {
      const Json other = fleet.Status(name);
      if (other["version"] != first["version"] ||
          other["hash"] != first["hash"] || !other.isMember("hash"))
        return false;
    }
    return true;
  }
};

/// Polls the version of each entry host and detects a decrease.
class VersionMonitor {
 public:
  explicit VersionMonitor(ProcessFleet& fleet)
      : thread_([this, &fleet, names = fleet.entry_names()] {
          std::map<std::string, std::int64_t> last;
          while (!stop_) {
            for (const std::string& name : names) {
              const Json status = fleet.Status(name);
              if (!status.isMember("version"))
                continue;
              const std::int64_t version = status["version"].asInt64();
              decreased_ = decreased_ || version < last[name];
              last[name] = version;
            }
          }
        }) {}
  ~VersionMonitor() {
    stop_ = true;
    thread_.join();
  }
  [[nodiscard]] bool decreased() const { return decreased_; }

 private:
  std::atomic<bool> stop_{false};
  std::atomic<bool> decreased_{false};
  std::thread thread_;
};

// Guards against applying an operation twice when the leader dies after the
// commit and the operator resends it.
BOOST_FIXTURE_TEST_CASE(ResendAfterLostLeaderIsAppliedOnce, Fixture) {
  const VersionMonitor monitor(fleet);
  for (int round = 0; round < 3; ++round) {
    const std::string id = "r" + std::to_string(round);
    const std::string leader = fleet.Leader();
    BOOST_REQUIRE(!leader.empty());
    const std::int64_t before = fleet.Version();
    const Json operation =
        ProcessFleet::Operation("op-" + id, before, KeyCommand(id));
    // The leader is killed during the call; a response is ignored.
    std::thread call([&] {
      (void)fleet.Operator(leader, "POST", "/v1/operations", operation);
    });
    std::this_thread::sleep_for(Millis(round * 2));
    fleet.Signal(leader, SIGKILL);
    call.join();
    (void)fleet.WaitExit(leader, Millis(5'000));
    const Reply first = fleet.Control("POST", "/v1/operations", operation);
    const Reply second = fleet.Control("POST", "/v1/operations", operation);
    BOOST_TEST(first.status == 200, first.body);
    BOOST_TEST(first.json()["version"] == second.json()["version"]);
    BOOST_TEST(second.json()["resent"].asBool());
    BOOST_TEST(HasKey(id));
    fleet.Start(leader);
    BOOST_TEST(Eventually(Millis(15'000), [&] { return Agree(); }));
  }
  BOOST_TEST(!monitor.decreased());
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against two concurrent operations that both succeed.
BOOST_FIXTURE_TEST_CASE(OneOfTwoOperatorsWins, Fixture) {
  for (int round = 0; round < 10; ++round) {
    const std::int64_t version = fleet.Version();
    Reply replies[2];
    std::thread threads[2];
    for (int i = 0; i < 2; ++i) {
      threads[i] = std::thread([&, i] {
        replies[i] =
            AddKey("w" + std::to_string(round) + std::to_string(i), version);
      });
    }
    for (std::thread& thread : threads)
      thread.join();
    BOOST_TEST(replies[0].status + replies[1].status == 200 + 409);
    const Reply& loser = replies[replies[0].status == 200 ? 1 : 0];
    BOOST_TEST(loser.json()["error"].asString() == "version_conflict");
    BOOST_TEST(loser.body.find("add-w" + std::to_string(round)) !=
               std::string::npos);
  }
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against losing changes when all control hosts restart after hundreds
// of changes and a snapshot.
BOOST_FIXTURE_TEST_CASE(RestartKeepsHundredsOfChanges, Fixture) {
  const VersionMonitor monitor(fleet);
  for (int i = 0; i < 300; ++i) {
    const Reply reply = AddKey("n" + std::to_string(i), fleet.Version());
    BOOST_REQUIRE(reply.status == 200);
  }
  const std::int64_t version = fleet.Version();
  for (const char* name : {"c1", "c2", "c3"})
    fleet.Kill(name);
  for (const char* name : {"c1", "c2", "c3"})
    fleet.Start(name);
  BOOST_TEST(Eventually(Millis(15'000),
                        [&] { return fleet.Version() >= version && Agree(); }));
  BOOST_TEST(HasKey("n0"));
  BOOST_TEST(HasKey("n299"));
  BOOST_TEST(Eventually(Millis(10'000), [&] {
    return fleet.RunJob("e11", "q1", "n299.secret") == "finished";
  }));
  BOOST_TEST(!monitor.decreased());
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against a control host that was suspended until another leader was
// elected, resumes as the leader of an old term, and responds or confirms from
// its old state.
BOOST_FIXTURE_TEST_CASE(FrozenLeaderChangesNothing, Fixture) {
  const VersionMonitor monitor(fleet);
  const std::string leader = fleet.Leader();
  fleet.Signal(leader, SIGSTOP);
  std::string next;
  BOOST_TEST(Eventually(Millis(10'000), [&] {
    for (const char* name : {"c1", "c2", "c3"}) {
      if (name != leader && fleet.Status(name)["role"].asString() == "leader")
        next = name;
    }
    return !next.empty();
  }));
  const std::int64_t version =
      fleet.Operator(next, "GET", "/v1/fleet").json()["version"].asInt64();
  const Reply reply = fleet.Operator(
      next, "POST", "/v1/operations",
      ProcessFleet::Operation("add-new", version, KeyCommand("new")));
  BOOST_TEST(reply.status == 200, reply.body);
  BOOST_TEST(fleet.InForce(reply.json()["version"].asInt64(), Millis(10'000)));
  fleet.Signal(leader, SIGCONT);
  // Responses of the resumed host include the change.
  const Reply read = fleet.Operator(leader, "GET", "/v1/fleet");
  if (read.status == 200)
    BOOST_TEST(read.body.find("\"new\"") != std::string::npos);
  BOOST_TEST(Eventually(Millis(10'000), [&] { return Agree(); }));
  BOOST_TEST(HasKey("new"));
  BOOST_TEST(!monitor.decreased());
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against a voter that votes after losing its state, and against one
// that never rejoins after its disk was replaced.
BOOST_FIXTURE_TEST_CASE(LostDataDirectoryCatchesUp, Fixture) {
  const VersionMonitor monitor(fleet);
  const std::string leader = fleet.Leader();
  const std::string victim = leader == "c1" ? "c2" : "c1";
  fleet.Kill(victim);
  std::filesystem::remove_all(fleet.data(victim));
  std::filesystem::create_directory(fleet.data(victim));
  BOOST_TEST(AddKey("while-away", fleet.Version()).status == 200);
  fleet.Start(victim);
  BOOST_TEST(Eventually(Millis(20'000), [&] { return Agree(); }));
  // It is a voter again, so another voter may fail now.
  BOOST_TEST(Eventually(Millis(20'000), [&] {
    const Json status = fleet.Status(fleet.Leader());
    return WriteJson(status["replicas"])
               .find(fleet.Status(victim)["replica"].asString()) !=
           std::string::npos;
  }));
  BOOST_TEST_MESSAGE(WriteJson(fleet.Status(leader)["replicas"]));
  BOOST_TEST(AddKey("after", fleet.Version()).status == 200);
  BOOST_TEST(!monitor.decreased());
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against a restored backup of a data directory that brings old state or
// an old vote into the group.
BOOST_FIXTURE_TEST_CASE(RestoredOldDataDirectoryBringsNothingBack, Fixture) {
  const VersionMonitor monitor(fleet);
  const std::string leader = fleet.Leader();
  const std::string victim = leader == "c1" ? "c2" : "c1";
  const std::string copy = fleet.directory() + "/copy";
  fleet.Kill(victim);
  std::filesystem::copy(fleet.data(victim), copy,
                        std::filesystem::copy_options::recursive);
  fleet.Start(victim);
  for (int i = 0; i < 30; ++i) {
    BOOST_REQUIRE(AddKey("b" + std::to_string(i), fleet.Version()).status ==
                  200);
  }
  BOOST_TEST(Eventually(Millis(10'000), [&] { return Agree(); }));
  fleet.Kill(victim);
  std::filesystem::remove_all(fleet.data(victim));
  std::filesystem::copy(copy, fleet.data(victim),
                        std::filesystem::copy_options::recursive);
  fleet.Start(victim);
  // The leader detects that the replica has old state and excludes it, since a
  // vote may have been lost; the others go on without it.
  BOOST_TEST(AddKey("after", fleet.Version()).status == 200);
  BOOST_TEST(Eventually(Millis(10'000), [&] {
    return fleet.LogOf(fleet.Leader()).find("BW2007 replica_regressed") !=
           std::string::npos;
  }));
  BOOST_TEST(HasKey("b29"));
  BOOST_TEST(HasKey("after"));
  // With an empty directory it joins as a new replica.
  fleet.Kill(victim);
  std::filesystem::remove_all(fleet.data(victim));
  std::filesystem::create_directory(fleet.data(victim));
  fleet.Start(victim);
  BOOST_TEST(Eventually(Millis(20'000), [&] { return Agree(); }));
  BOOST_TEST(!monitor.decreased());
  BOOST_TEST(fleet.Violations() == "");
}

}  // namespace
}  // namespace boragewinch
