#define BOOST_TEST_MODULE partition_table_process
#include <boost/test/unit_test.hpp>

#include <future>
#include <set>
#include <sstream>

#include "base/hash.h"
#include "base/secret.h"
#include "base/settings.h"
#include "ctl/boragectl.h"
#include "process_fleet.h"

namespace boragewinch {
namespace {

// Long enough for slow machines; reached only if a process hangs.
constexpr Millis kWaitLimit{30'000};
constexpr int kLimit = 20;
constexpr char kUnknown[] = "unknown_may_have_run";

/// The entry hosts on one side of the partition.
struct Side {
  std::string first;
  std::string second;
  std::string job;     ///< ended before the partition
  std::string ticket;  ///< issued before the partition, not used
};

// Checks the rows of the table "Network partitions" of docs/OPERATIONS.md.
// Zone 2 reaches no control host during the partition. A peer port has one
// address for all peers, so it can't be cut off for one zone only. Each test
// therefore cuts off the peer ports of one zone for all peers and checks the
// answers of the other zone, whose hosts still reach each other.
struct Fixture {
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
  Side majority = Prepare("e11", "e12");
  Side other = Prepare("e21", "e22");

  Side Prepare(const std::string& first, const std::string& second) {
    Side side{first, second, fleet.Ticket(first), fleet.Ticket(first)};
    BOOST_REQUIRE(Run(first, side.job) == "finished");
    return side;
  }
  void PartitionFrom(const Side& remote) {
    for (const char* control : {"c1", "c2", "c3"})
      fleet.relay(std::string("z2-") + control).SetMode(RelayMode::kCut);
    for (const std::string& entry : {remote.first, remote.second})
      fleet.relay("peer-" + entry).SetMode(RelayMode::kCut);
  }
  void Heal() {
    for (const char* control : {"c1", "c2", "c3"})
      fleet.relay(std::string("z2-") + control).SetMode(RelayMode::kForward);
    for (const std::string& entry : fleet.entry_names())
      fleet.relay("peer-" + entry).SetMode(RelayMode::kForward);
  }
  // Submits a job with `ticket` and waits until it ends.
  std::string Run(const std::string& entry, const std::string& ticket) {
    return WaitForOutcome(
        entry, fleet.Put(entry, ticket, ProcessFleet::Spec("open", 5, true)));
  }
  std::string WaitForOutcome(const std::string& entry, Reply reply) {
    (void)Eventually(kWaitLimit, [&] {
      const std::string outcome = reply.json()["outcome"].asString();
      if (outcome != "accepted" && outcome != "running")
        return true;
      reply = fleet.Job(entry, reply.json()["id"].asString());
      return false;
    });
    return reply.json()["outcome"].asString();
  }
  Reply Call(const std::string& method,
             const std::string& entry,
             const std::string& path,
             const Json& body = Json()) {
    return Http(method, "http://" + fleet.address(entry) + path, {},
                body.isNull() ? "" : WriteJson(body), Millis(10'000));
  }
  std::string Outcome(const Reply& reply) {
    return reply.json()["outcome"].asString();
  }
  Reply SubmitWithClientId(const std::string& entry,
                           const char* id,
                           bool repeatable) {
    Json spec = ProcessFleet::Spec("open", 5, repeatable);
    spec["client_request_id"] = id;
    return Call("POST", entry, "/v1/jobs", spec);
  }
  int RunCtl(const std::vector<std::string>& control,
             const std::vector<std::string>& arguments,
             Millis timeout) {
    CtlConfig config;
    config.control = control;
    config.timeout = timeout;
    config.secret = kTestOperatorSecret;
    config.operator_name = "test";
    for (const std::string& entry : fleet.entry_names())
      config.entries.push_back(
          {"z" + entry.substr(1, 1), fleet.address(entry)});
    EventLoop loop;
    std::ostringstream out;
    std::ostringstream err;
    Boragectl client(loop, config, out, err);
    const int code = client.Run(arguments);
    BOOST_TEST_MESSAGE(out.str() << err.str());
    return code;
  }

  // Checks the rows that are the same on both sides.
  void CheckBothSides(const Side& own, const Side& remote) {
    const std::string& at = own.first;
    // Submit to an open queue; heartbeats and results of this side's workers.
    const std::string job = fleet.Ticket(at);
    BOOST_TEST(Run(at, job) == "finished");
    BOOST_TEST(Run(own.second, own.ticket) == "finished");
    // Status, result and cancel of a request of this side.
    for (const std::string& id : {own.job, job}) {
      BOOST_TEST(Outcome(Call("GET", own.second, "/v1/jobs/" + id)) ==
                 "finished");
      BOOST_TEST(Call("GET", at, "/v1/jobs/" + id + "/result").body == "echo");
    }
    const std::string cancelled = fleet.Ticket(at);
    BOOST_TEST(
        fleet.Put(at, cancelled, ProcessFleet::Spec("open", 600'000, true))
            .status == 200);
    BOOST_TEST(Eventually(kWaitLimit, [&] {
      return Outcome(Call("DELETE", own.second, "/v1/jobs/" + cancelled)) ==
             "cancelled";
    }));
    // The same for a request of the other side, and a submit with its ticket.
    // Each call is answered at its deadline, so they run concurrently.
    const auto call_async = [&](const char* method, const std::string& path,
                                const Json& body = Json()) {
      return std::async(std::launch::async, [=, this, entry = at] {
        return Call(method, entry, path, body);
      });
    };
    std::vector<std::future<Reply>> calls;
    calls.push_back(call_async("GET", "/v1/jobs/" + remote.job));
    calls.push_back(call_async("GET", "/v1/jobs/" + remote.job + "/result"));
    calls.push_back(call_async("DELETE", "/v1/jobs/" + remote.job));
    calls.push_back(call_async("PUT", "/v1/jobs/" + remote.ticket,
                               ProcessFleet::Spec("open", 5, true)));
    for (std::size_t call = 0; call < calls.size(); ++call) {
      const Reply reply = calls[call].get();
      BOOST_TEST(Outcome(reply) == kUnknown, call << ": " << reply.body);
    }
    // With a client_request_id.
    const Reply once = SubmitWithClientId(at, "once", false);
    BOOST_TEST(Outcome(once) == kUnknown, once.body);
    const Reply repeatable = SubmitWithClientId(at, "again", true);
    BOOST_TEST(WaitForOutcome(at, repeatable) == "finished", repeatable.body);
    // Status, metrics and job list.
    for (const char* path : {"/v1/status", "/v1/metrics", "/v1/jobs"})
      BOOST_TEST(fleet.Operator(at, "GET", path).status == 200, path);
    // Withdrawal at an entry host; the second one learns of it from the first.
    BOOST_TEST(fleet.Operator(at, "POST", "/v1/keys/k1/withdraw").status ==
               200);
    for (const std::string& entry : {at, own.second}) {
      BOOST_TEST(Eventually(kWaitLimit, [&] {
        return fleet.RunJob(entry, "q1", fleet.key1) == "withdrawn_key";
      }));
    }
  }
  void CheckHealed() {
    Heal();
    for (const std::string& entry : fleet.entry_names()) {
      BOOST_TEST(Eventually(kWaitLimit, [&] {
        return fleet.RunJob(entry, "q2", fleet.key2) == "finished";
      }));
      BOOST_TEST(Eventually(kWaitLimit, [&] {
        return fleet.RunJob(entry, "q1", fleet.key1) == "withdrawn_key";
      }));
    }
    const auto executions = fleet.Executions();
    for (const std::string& ticket : {majority.job, other.job})
      BOOST_TEST(executions.at(ticket) == 1, ticket);
    BOOST_TEST(fleet.PeakRunning("t1") <= kLimit);
    BOOST_TEST(fleet.Violations() == "");
  }
};

// Guards against a majority side that refuses calls that it can serve, or gives
// a definite answer about a request that may have run on the other side.
BOOST_FIXTURE_TEST_CASE(MajoritySideAnswersAsDocumented, Fixture) {
  PartitionFrom(other);
  BOOST_TEST(fleet.RunJob("e11", "q1", fleet.key1) == "finished");
  // An operator's change is committed, and in force once the other side can no
  // longer act on the old state.
  const std::vector<std::string> control{
      fleet.address("c1"), fleet.address("c2"), fleet.address("c3")};
  BOOST_TEST(RunCtl(control, {"key", "create", "t1"}, kWaitLimit) == kExitOk);
  CheckBothSides(majority, other);
  BOOST_TEST(fleet.RunJob("e11", "q2", fleet.key2) == "finished");
  CheckHealed();
}

// Guards against a side without a control majority that accepts keyed jobs or
// changes, starts more than its allotment, or stops serving open queues.
BOOST_FIXTURE_TEST_CASE(OtherSideAnswersAsDocumented, Fixture) {
  PartitionFrom(majority);
  for (const char* entry : {"e21", "e22"}) {
    BOOST_TEST(Eventually(kWaitLimit, [&] {
      return fleet.RunJob(entry, "q2", fleet.key2) == "stale_configuration";
    }));
  }
  std::vector<std::string> control;
  for (const char* host : {"z2-c1", "z2-c2", "z2-c3"})
    control.push_back(fleet.relay(host).address());
  BOOST_TEST(RunCtl(control, {"key", "create", "t1"}, Millis(3'000)) ==
             kExitUnavailable);
  CheckBothSides(other, majority);
  // More open jobs than the team's limit: those that the current allotment does
  // not cover wait until their start deadline and are not run.
  std::vector<std::string> jobs;
  for (int job = 0; job < kLimit + 5; ++job) {
    Json spec = ProcessFleet::Spec("open", 600'000, true);
    spec["start_deadline_ms"] = 2'000;
    jobs.push_back(fleet.Ticket("e21"));
    BOOST_TEST(fleet.Put("e21", jobs.back(), spec).status == 200);
  }
  std::set<std::string> refused;
  BOOST_TEST(Eventually(kWaitLimit, [&] {
    std::size_t decided = 0;
    for (const std::string& job : jobs) {
      const Json answer = Call("GET", "e21", "/v1/jobs/" + job).json();
      if (answer["reason"].asString() == "deadline")
        refused.insert(job);
      if (refused.contains(job) || answer["outcome"].asString() == "running")
        ++decided;
    }
    return decided == jobs.size();
  }));
  BOOST_TEST(refused.size() >= 5U);
  BOOST_TEST(refused.size() < jobs.size());
  const auto executions = fleet.Executions();
  for (const std::string& job : jobs)
    BOOST_TEST(executions.contains(job) == !refused.contains(job), job);
  CheckHealed();
}

}  // namespace
}  // namespace boragewinch
