#define BOOST_TEST_MODULE replica_messages
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include "net/http_client.h"
#include "net/http_server.h"
#include "raft/message.h"
#include "scheduler/ledger_replica.h"
#include "scheduler/worker_registry.h"

namespace boragewinch::scheduler {
namespace {

/// A temporary directory.
struct TemporaryDirectory {
  TemporaryDirectory()
      : path(std::filesystem::temp_directory_path() /
             ("replica_messages_test." + std::to_string(getpid()))) {
    std::filesystem::remove_all(path);
    std::filesystem::create_directories(path);
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }

  std::filesystem::path path;
};

/// A host with its replica; each host has its own loopback address.
struct Host {
  Host(EventLoop& loop,
       const TemporaryDirectory& directory,
       const std::string& ip,
       const std::string& port,
       const std::vector<std::string>& hosts)
      : http(loop, {}),
        rpc_client(http, "secret"),
        server(
            loop,
            {},
            [this](const HttpRequest& request, const HttpResponder& respond) {
              ++calls;
              rpc_server.Serve(request, respond);
            }) {
    LedgerReplicaOptions options;
    options.directory = directory.path / ip;
    std::filesystem::create_directories(options.directory);
    options.host = ip;
    options.hosts = hosts;
    options.port = port;
    options.may_form_cluster = true;
    options.election_timeout = Millis(2'000);
    LedgerReplica::Hooks hooks;
    hooks.decide = [](jobs::Batch*, TimePoint) {};
    hooks.on_stored = [](const jobs::Batch&, TimePoint) {};
    hooks.on_applied = [](const jobs::Batch&, TimePoint) {};
    hooks.on_leadership = [](bool, TimePoint) {};
    replica = std::make_unique<LedgerReplica>(loop, rpc_client, options,
                                              std::move(hooks));
  }

  HttpClient http;
  RpcClient rpc_client;
  RpcServer rpc_server{"secret"};
  HttpServer server;
  std::unique_ptr<LedgerReplica> replica;
  int calls = 0;  ///< received from other hosts
};

/// \returns a port that was free just now. All hosts of a deployment use the
/// same port, each on its own address.
[[nodiscard]] std::string FreePort() {
  EventLoop loop;
  HttpServer probe(loop, {}, [](const HttpRequest&, const HttpResponder&) {});
  BOOST_REQUIRE(probe.Listen("127.0.0.1:0"));
  return probe.address().substr(probe.address().rfind(':') + 1);
}

/// Three hosts on one event loop.
struct Fleet {
  Fleet() {
    const std::string port = FreePort();
    const std::vector<std::string> ips = {"127.0.0.1", "127.0.0.2",
                                          "127.0.0.3"};
    for (const std::string& ip : ips) {
      hosts.push_back(std::make_unique<Host>(loop, directory, ip, port, ips));
      BOOST_REQUIRE(hosts.back()->server.Listen(ip + ":" + port));
    }
    for (const auto& host : hosts)
      BOOST_REQUIRE(host->replica->Start(&host->rpc_server));
  }

  [[nodiscard]] bool RunUntil(const std::function<bool()>& done) {
    constexpr Millis kLimit{20'000};
    bool reached = false;
    const WatchHandle poll = loop.Every(Millis(5), [&](TimePoint) {
      reached = done();
      if (reached)
        loop.Stop();
    });
    const WatchHandle limit =
        loop.After(kLimit, [&](TimePoint) { loop.Stop(); });
    loop.Run();
    return reached;
  }

  [[nodiscard]] Host* leader() {
    for (const auto& host : hosts) {
      if (host->replica->HasLeaderLease(loop.now()))
        return host.get();
    }
    return nullptr;
  }

  TemporaryDirectory directory;
  EventLoop loop;
  std::vector<std::unique_ptr<Host>> hosts;
};

/// Stores `count` jobs through the leader, one batch each.
void StoreJobs(Fleet* fleet, int count) {
  Host& leader = *fleet->leader();
  for (int i = 0; i < count; ++i) {
    bool stored = false;
    jobs::Submission submission;
    submission.id = jobs::JobId("job" + std::to_string(i));
    submission.spec.steps.resize(1);
    submission.spec.steps[0].tasks = 1;
    jobs::Batch change;
    change.submissions.push_back(submission);
    leader.replica->Submit(change, [&stored](const Status& status) {
      stored = status.has_value();
    });
    BOOST_REQUIRE(fleet->RunUntil([&] { return stored; }));
  }
}

// Guards against followers that acknowledge each batch by a separate call,
// which cost the leader as much CPU time as the batch itself, and against
// commits that are never announced to followers.
BOOST_AUTO_TEST_CASE(AcknowledgementsAreSentInResponses) {
  constexpr int kJobs = 20;
  Fleet fleet;
  BOOST_REQUIRE(fleet.RunUntil([&] { return fleet.leader() != nullptr; }));
  fleet.leader()->calls = 0;
  StoreJobs(&fleet, kJobs);
  BOOST_TEST(fleet.leader()->calls <= 2);
  const bool everywhere = fleet.RunUntil([&] {
    return std::all_of(fleet.hosts.begin(), fleet.hosts.end(),
                       [](const auto& host) {
                         return host->replica->ledger().jobs().size() == kJobs;
                       });
  });
  BOOST_TEST(everywhere);
}

// Guards against worker heartbeats that all go to the leader: 200 a second from
// 300 workers took a tenth of its CPU share in a burst (issue 17). Also guards
// against a follower that confirms a change which only the leader can store.
BOOST_AUTO_TEST_CASE(AFollowerConfirmsARepeatedHeartbeat) {
  Fleet fleet;
  BOOST_REQUIRE(fleet.RunUntil([&] { return fleet.leader() != nullptr; }));
  jobs::WorkerRecord record;
  record.incarnation = {jobs::WorkerId("w"), 5};
  record.address = "10.0.0.1:80";
  record.pool = PoolName("p");
  const auto count_knowing_hosts = [&](const jobs::WorkerRecord& worker) {
    return std::count_if(fleet.hosts.begin(), fleet.hosts.end(),
                         [&](const auto& host) {
                           return WorkerRegistry(*host->replica, {})
                               .IsKnown(worker, fleet.loop.now());
                         });
  };
  BOOST_TEST(count_knowing_hosts(record) == 0);
  bool stored = false;
  jobs::Batch change;
  change.workers.push_back(record);
  fleet.leader()->replica->Submit(
      change, [&](const Status& status) { stored = status.has_value(); });
  BOOST_REQUIRE(fleet.RunUntil(
      [&] { return stored && count_knowing_hosts(record) == 2; }));
  jobs::WorkerRecord other = record;
  other.draining = true;
  BOOST_TEST(count_knowing_hosts(other) == 0);
  other = record;
  other.incarnation.start_time = 6;
  BOOST_TEST(count_knowing_hosts(other) == 0);
  // A follower without contact to a leader may lack a later incarnation or a
  // departure.
  const std::vector<Host*> followers = [&] {
    std::vector<Host*> found;
    for (const auto& host : fleet.hosts) {
      if (host.get() != fleet.leader())
        found.push_back(host.get());
    }
    return found;
  }();
  const TimePoint later = fleet.loop.now() + Millis(2'000);
  for (Host* host : followers)
    BOOST_TEST(!WorkerRegistry(*host->replica, {}).IsKnown(record, later));
}

// Guards against messages that are lost during an upgrade: a replica of an
// earlier version does not read messages from responses.
BOOST_AUTO_TEST_CASE(EarlierVersionsGetSeparateCalls) {
  const TemporaryDirectory directory;
  EventLoop loop;
  const std::string first = "127.0.0.1";
  const std::string second = "127.0.0.2";
  const std::string port = FreePort();
  Host host(loop, directory, first, port, {first, second});
  BOOST_REQUIRE(host.server.Listen(first + ":" + port));
  // The other host is only a server that counts the messages addressed to it.
  const std::string sender = second + ".0123456789abcdef";
  int calls = 0;
  HttpServer other(
      loop, {}, [&](const HttpRequest& request, const HttpResponder& respond) {
        const Result<Json> envelope = ParseJson(request.body);
        BOOST_REQUIRE(envelope);
        calls += envelope.value()["params"]["body"]["to"] == sender ? 1 : 0;
        respond({200, "{}"});
      });
  BOOST_REQUIRE(other.Listen(second + ":" + port));
  BOOST_REQUIRE(host.replica->Start(&host.rpc_server));
  // A replica without a cluster replies to a join message with its own.
  const auto messages_in_join_response = [&](bool accepts_messages) {
    raft::Message join;
    join.kind = raft::MessageKind::kJoin;
    join.from = raft::ReplicaId(sender);
    Json body = raft::ToJson(join);
    if (accepts_messages)
      body["takes_answers"] = true;
    std::size_t messages = 0;
    host.rpc_client.Call(first + ":" + port, "raft.step", body, Millis(1'000),
                         [&](const Result<Json>& answer) {
                           BOOST_REQUIRE(answer);
                           messages = answer.value()["answers"].size();
                         });
    const WatchHandle end =
        loop.After(Millis(200), [&](TimePoint) { loop.Stop(); });
    loop.Run();
    return messages;
  };
  BOOST_TEST(messages_in_join_response(false) == 0U);
  BOOST_TEST(calls == 1);
  BOOST_TEST(messages_in_join_response(true) == 1U);
  BOOST_TEST(calls == 1);
}

}  // namespace
}  // namespace boragewinch::scheduler
