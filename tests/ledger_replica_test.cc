#define BOOST_TEST_MODULE ledger_replica
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

#include "kernel/event_loop.h"
#include "memory_disk.h"
#include "net/http_client.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"
#include "scheduler/ledger_replica.h"

namespace boragewinch::scheduler {
namespace {

/// A single replica on an in-memory disk.
struct Fixture {
  Fixture() {
    options.directory = "d";
    options.host = "127.0.0.1";
    options.hosts = {"127.0.0.1"};
    options.port = "1";
    options.may_form_cluster = true;
    options.election_timeout = Millis(50);
    options.file_system = disk.Hooks();
    hooks.decide = [](jobs::Batch*, TimePoint) {};
    hooks.on_stored = [](const jobs::Batch&, TimePoint) {};
    hooks.on_applied = [](const jobs::Batch&, TimePoint) {};
    hooks.on_leadership = [this](bool leading, TimePoint) {
      if (leading)
        loop.Stop();
    };
  }

  /// \returns the result of storing a cancellation.
  Status Store(LedgerReplica* replica) {
    std::optional<Status> stored;
    replica->Submit(
        [](jobs::Batch* batch) { batch->cancels.emplace_back("job"); },
        [&](const Status& status) {
          stored = status;
          loop.Stop();
        });
    if (!stored)
      loop.Run();
    return *stored;
  }

  EventLoop loop;
  HttpClient client{loop, HttpClientLimits{}};
  RpcClient rpc{client, "secret"};
  RpcServer server{"secret"};
  MemoryDisk disk;
  LedgerReplicaOptions options;
  LedgerReplica::Hooks hooks;
};

// Guards against kNotLeader (not stored) for a change that is in the log when
// the data directory is reopened: its job would run although the caller was
// rejected.
BOOST_FIXTURE_TEST_CASE(AFailedSyncLeavesTheOutcomeUnknown, Fixture) {
  LedgerReplica replica(loop, rpc, options, hooks);
  BOOST_REQUIRE(replica.Start(&server));
  loop.Run();
  BOOST_REQUIRE(Store(&replica));
  disk.fail_sync = true;
  const Status stored = Store(&replica);
  BOOST_REQUIRE(!stored);
  BOOST_TEST((stored.error().code == ErrorCode::kUnavailable));
}

// Guards against a crash when a replica that cannot reopen its data directory,
// for example on a full disk, is queried for its term.
BOOST_FIXTURE_TEST_CASE(AReplicaThatCannotReopenHasNoTerm, Fixture) {
  LedgerReplica replica(loop, rpc, options, hooks);
  BOOST_REQUIRE(replica.Start(&server));
  loop.Run();
  disk.fail_sync = true;
  BOOST_REQUIRE(!Store(&replica));
  const WatchHandle stop =
      loop.After(Millis(1'200), [this](TimePoint) { loop.Stop(); });
  loop.Run();
  BOOST_TEST(replica.term() == 0U);
  BOOST_TEST(replica.LeaderHost().empty());
  BOOST_TEST(!replica.HasLeaderLease(loop.now()));
}

}  // namespace
}  // namespace boragewinch::scheduler
