#define BOOST_TEST_MODULE job_api
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

#include "kernel/event_loop.h"
#include "memory_disk.h"
#include "net/http_client.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"
#include "scheduler/job_api.h"

namespace boragewinch::scheduler {
namespace {

constexpr char kJob[] = "00000000000000aa";

[[nodiscard]] jobs::JobSpec OneTask() {
  jobs::JobSpec spec;
  spec.payload = "x";
  jobs::StepSpec step;
  step.tasks = 1;
  step.request = Resources{100, 1, 0};
  step.estimate = Millis(100);
  spec.steps.push_back(step);
  return spec;
}

[[nodiscard]] jobs::FleetConfig TwoQueues() {
  jobs::FleetConfig config;
  config.version = 1;
  config.pools[PoolName("pool")].name = PoolName("pool");
  for (const char* name : {"a", "b"}) {
    jobs::QueueConfig queue;
    queue.name = QueueName(name);
    queue.virtual_host = "host";
    queue.path_prefix = std::string("/") + name + "/";
    queue.pool = PoolName("pool");
    config.queues.push_back(queue);
    jobs::CustomerConfig customer;
    customer.name = CustomerName(name);
    customer.keys = {std::string("key-") + name};
    config.customers[customer.name] = customer;
  }
  return config;
}

/// The leader of a cluster of one, on an in-memory disk.
struct Fixture {
  Fixture() {
    options.directory = "d";
    options.host = "127.0.0.1";
    options.hosts = {"127.0.0.1"};
    options.port = "1";
    options.may_form_cluster = true;
    options.election_timeout = Millis(2'000);
    options.file_system = disk.Hooks();
    options.file_system.sync = [this, sync = options.file_system.sync](int f) {
      if (on_sync)
        std::exchange(on_sync, nullptr)();
      return sync(f);
    };
    hooks.decide = [](jobs::Batch*, TimePoint) {};
    hooks.on_stored = [this](const jobs::Batch&, TimePoint) {
      if (on_stored)
        std::exchange(on_stored, nullptr)();
    };
    hooks.on_applied = [](const jobs::Batch&, TimePoint) {};
    hooks.on_leadership = [this](bool leading, TimePoint) {
      if (leading)
        loop.Stop();
    };
    replica.emplace(loop, rpc, options, hooks);
    BOOST_REQUIRE(replica->Start(&server));
    loop.Run();
    Store([](jobs::Batch* batch) { batch->config = TwoQueues(); });
    api.emplace(*replica, metrics);
  }

  void Store(const LedgerReplica::Change& change) {
    replica->Submit(change, [this](const Status& stored) {
      BOOST_TEST(stored.has_value());
      loop.Stop();
    });
    loop.Run();
  }

  [[nodiscard]] static CallerAddress Caller(const std::string& queue,
                                            const std::string& customer) {
    return {"host", "/" + queue + "/" + kJob, "key-" + customer};
  }

  void Submit(std::optional<JobApiStatus>* status,
              const std::string& queue = "a",
              const std::string& customer = "a") {
    api->Submit(Caller(queue, customer), OneTask(), loop.now(),
                [status](const JobApiResponse& response) {
                  *status = response.status;
                });
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
  Metrics metrics;
  MemoryDisk disk;
  LedgerReplicaOptions options;
  LedgerReplica::Hooks hooks;
  std::function<void()> on_sync;    ///< called once, within the next sync
  std::function<void()> on_stored;  ///< called once, after the next batch
  std::optional<LedgerReplica> replica;
  std::optional<JobApi> api;
};

// Guards against 429 (does not run) for a job that runs: the first attempt is
// being stored when the repeated one meets a queue that has become full.
BOOST_FIXTURE_TEST_CASE(ARepeatedAttemptOfAPendingJobIsNotRejected, Fixture) {
  constexpr int kFull = 8'000;
  std::optional<JobApiStatus> first;
  std::optional<JobApiStatus> repeated;
  std::optional<JobApiStatus> other;
  on_sync = [&] { Submit(&first); };
  on_stored = [&] {
    BOOST_TEST(!first.has_value());
    Submit(&repeated);
    CallerAddress caller = Caller("a", "a");
    caller.path = "/a/00000000000000bb";
    api->Submit(
        caller, OneTask(), loop.now(),
        [&](const JobApiResponse& response) { other = response.status; });
  };
  Store([](jobs::Batch* batch) {
    for (int i = 0; i < kFull; ++i) {
      batch->submissions.push_back({jobs::JobId("j" + std::to_string(i)),
                                    QueueName("a"), CustomerName("a"),
                                    OneTask()});
    }
  });
  RunFor(Millis(100));
  BOOST_REQUIRE(first.has_value());
  BOOST_REQUIRE(repeated.has_value());
  BOOST_REQUIRE(other.has_value());
  BOOST_TEST((*other == JobApiStatus::kOverloaded));
  BOOST_TEST((*first == JobApiStatus::kDone));
  BOOST_TEST((*repeated == JobApiStatus::kDone));
  BOOST_TEST(replica->ledger().FindJob(jobs::JobId(kJob)) != nullptr);
}

// Guards against "no such job" for the cancellation of a job that is stored a
// moment later and runs.
BOOST_FIXTURE_TEST_CASE(APendingJobIsNotReportedAsUnknown, Fixture) {
  std::optional<JobApiStatus> submitted;
  std::optional<JobApiStatus> cancelled;
  const auto cancel = [&] {
    api->Cancel(
        Caller("a", "a"), loop.now(),
        [&](const JobApiResponse& response) { cancelled = response.status; });
  };
  cancel();
  BOOST_TEST((*cancelled == JobApiStatus::kNoJob));
  Submit(&submitted);
  cancel();
  BOOST_TEST((*cancelled == JobApiStatus::kNotReady));
  RunFor(Millis(100));
  BOOST_TEST((*submitted == JobApiStatus::kDone));
  cancel();
  RunFor(Millis(100));
  BOOST_TEST((*cancelled == JobApiStatus::kDone));
}

// Guards against a caller that is told that its job was accepted although the
// id belongs to a job of another customer or queue.
BOOST_FIXTURE_TEST_CASE(TheIdOfAnotherJobIsRejected, Fixture) {
  std::optional<JobApiStatus> status;
  Submit(&status);
  RunFor(Millis(100));
  BOOST_TEST((*status == JobApiStatus::kDone));
  Submit(&status, "a", "b");
  BOOST_TEST((*status == JobApiStatus::kInvalid));
  Submit(&status, "b", "a");
  BOOST_TEST((*status == JobApiStatus::kInvalid));
  Submit(&status);
  BOOST_TEST((*status == JobApiStatus::kDone));
  // The queue's name changed in a later configuration.
  Store([](jobs::Batch* batch) {
    batch->config = TwoQueues();
    batch->config->version = 2;
    batch->config->queues[0].name = QueueName("renamed");
  });
  Submit(&status);
  BOOST_TEST((*status == JobApiStatus::kDone));
}

}  // namespace
}  // namespace boragewinch::scheduler
