#ifndef BORAGEWINCH_TESTS_SINGLE_REPLICA_H_
#define BORAGEWINCH_TESTS_SINGLE_REPLICA_H_

#include <functional>
#include <optional>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "kernel/event_loop.h"
#include "memory_disk.h"
#include "net/http_client.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"
#include "scheduler/ledger_replica.h"

namespace boragewinch::scheduler {

/// \brief Fixture: the ledger of a cluster of one, on an in-memory disk.
struct SingleReplica {
  SingleReplica() {
    options.directory = "d";
    options.host = "127.0.0.1";
    options.hosts = {"127.0.0.1"};
    options.port = "1";
    options.may_form_cluster = true;
    options.election_timeout = Millis(50);
    options.file_system = disk.Hooks();
    options.file_system.sync = [this, sync = options.file_system.sync](int f) {
      if (on_sync)
        std::exchange(on_sync, nullptr)();
      return sync(f);
    };
    hooks.decide = [](jobs::Batch*, TimePoint) {};
    hooks.on_stored = [this](const jobs::Batch& batch, TimePoint now) {
      if (on_stored)
        on_stored(batch, now);
    };
    hooks.on_applied = [](const jobs::Batch&, TimePoint) {};
    hooks.on_leadership = [this](bool leading, TimePoint) {
      if (leading)
        loop.Stop();
    };
  }

  /// \brief Starts the replica and waits until it leads.
  void Lead() {
    replica.emplace(loop, rpc, options, hooks);
    BOOST_REQUIRE(replica->Start(&server));
    loop.Run();
  }

  /// \brief Stores a change and waits for its response.
  [[nodiscard]] Status Store(const std::function<void(jobs::Batch*)>& change) {
    jobs::Batch batch;
    change(&batch);
    std::optional<Status> stored;
    replica->Submit(batch, [&](const Status& status) {
      stored = status;
      loop.Stop();
    });
    if (!stored)
      loop.Run();
    return *stored;
  }

  void RunFor(Millis time) {
    const WatchHandle stop =
        loop.After(time, [this](TimePoint) { loop.Stop(); });
    loop.Run();
  }

  EventLoop loop;
  HttpClient client{loop, HttpClientLimits{}};
  RpcClient rpc{client, "secret"};
  RpcServer server{"secret"};
  MemoryDisk disk;
  LedgerReplicaOptions options;
  LedgerReplica::Hooks hooks;
  std::function<void()> on_sync;  ///< called once, within the next sync
  std::function<void(const jobs::Batch&, TimePoint)> on_stored;
  std::optional<LedgerReplica> replica;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_TESTS_SINGLE_REPLICA_H_
