#define BOOST_TEST_MODULE worker_registry
#include <boost/test/unit_test.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "scheduler/worker_registry.h"
#include "single_replica.h"

// Reports that name no worker of the fleet: another program writes to the same
// interface.
namespace boragewinch::scheduler {
namespace {

/// Wall-clock time at which the first workers start.
constexpr jobs::UnixMillis kStart = 1'000'000;

struct Fixture : SingleReplica {
  Fixture() {
    hooks.on_applied = [this](const jobs::Batch& batch, TimePoint now) {
      if (batch.config && registry)
        registry->OnConfiguration(now);
    };
    Lead();
    WorkerRegistry::Hooks registry_hooks;
    registry_hooks.probe =
        [this](const jobs::WorkerIncarnation& incarnation,
               const std::function<void(const Result<bool>&)>& done) {
          done(responding.count(incarnation) > 0);
        };
    registry_hooks.request_list =
        [this](const jobs::WorkerIncarnation&,
               const std::function<void(const Result<bool>&)>& done) {
          if (listed_end) {
            jobs::Batch change;
            change.ends.push_back(*listed_end);
            replica->Submit(change, [](const Status&) {});
          }
          done(listed_end.has_value());
        };
    registry.emplace(*replica, registry_hooks);
  }

  void Configure(std::int64_t version, const std::string& pool) {
    BOOST_REQUIRE(Store([&](jobs::Batch* batch) {
      batch->config.emplace();
      batch->config->version = version;
      batch->config->pools[PoolName(pool)].name = PoolName(pool);
      jobs::QueueConfig queue;
      queue.name = QueueName("queue");
      queue.pool = PoolName(pool);
      batch->config->queues.push_back(queue);
    }));
  }

  [[nodiscard]] static jobs::WorkerRecord Worker(const std::string& id,
                                                 const std::string& pool,
                                                 jobs::UnixMillis start_time) {
    jobs::WorkerRecord record;
    record.incarnation = {jobs::WorkerId(id), start_time};
    record.address = "10.0.0.1:80";
    record.host = HostName("host");
    record.pool = PoolName(pool);
    record.capacity = {16'000, 32'000, 0};
    return record;
  }

  [[nodiscard]] Status Report(const jobs::WorkerRecord& record,
                              std::int64_t sequence = 1) {
    std::optional<Status> reported;
    registry->OnHeartbeat(record, sequence, loop.now(),
                          [&](const Status& status) {
                            reported = status;
                            loop.Stop();
                          });
    if (!reported)
      loop.Run();
    return *reported;
  }

  [[nodiscard]] const jobs::Worker* Find(const jobs::WorkerRecord& record) {
    return replica->ledger().FindWorker(record.incarnation);
  }

  const jobs::WorkerRecord worker = Worker("real", "pool", 100);
  std::set<jobs::WorkerIncarnation> responding;  ///< workers that respond
  /// Listed by each worker on request; none: the worker does not respond.
  std::optional<jobs::EndRecord> listed_end;
  std::optional<WorkerRegistry> registry;
};

// Guards against a report on an unknown pool that replaces the worker at the
// same address: the run on it was started once more elsewhere.
BOOST_FIXTURE_TEST_CASE(AnUnknownPoolReplacesNoWorker, Fixture) {
  Configure(1, "pool");
  BOOST_REQUIRE(Report(worker));
  const jobs::RunName run{{jobs::JobId("job"), 0, 0, 0}, 1};
  BOOST_REQUIRE(Store([&](jobs::Batch* batch) {
    jobs::Submission submission{jobs::JobId("job"), QueueName("queue"), {}, {}};
    submission.spec.steps.resize(1);
    batch->submissions.push_back(submission);
    batch->starts.push_back({run, worker.incarnation});
  }));
  BOOST_TEST(Report(Worker("foreign", "other", 200)).has_value());
  BOOST_TEST(Report(Worker("real", "other", 200)).has_value());
  BOOST_REQUIRE(Find(worker) != nullptr);
  BOOST_TEST(Find(worker)->runs.count(run) == 1U);
  BOOST_TEST(replica->ledger().workers().size() == 1U);
  // The worker is still heard.
  jobs::WorkerRecord draining = worker;
  draining.draining = true;
  BOOST_REQUIRE(Report(draining, 2));
  BOOST_TEST(Find(worker)->record.draining);
}

// Guards against a report that uses the name of a running worker and moves it
// to another pool, host or address, and whose sequence number hides the
// worker's own reports.
BOOST_FIXTURE_TEST_CASE(ARunningWorkerKeepsItsPoolAndAddress, Fixture) {
  Configure(1, "pool");
  BOOST_REQUIRE(Report(worker));
  jobs::WorkerRecord changed[] = {worker, worker, worker};
  changed[0].pool = PoolName("other");
  changed[1].address = "10.0.0.2:80";
  changed[2].host = HostName("another");
  for (const jobs::WorkerRecord& record : changed) {
    const Status status = Report(record, 1'000);
    BOOST_REQUIRE(!status);
    BOOST_TEST((status.error().code == ErrorCode::kConflict));
    BOOST_TEST((Find(worker)->record == worker));
  }
  jobs::WorkerRecord draining = worker;
  draining.draining = true;
  BOOST_REQUIRE(Report(draining, 2));
  BOOST_TEST(Find(worker)->record.draining);
}

// Guards against workers that start before the first configuration and are
// used only after their next report, and against a foreign report that a
// worker has to wait for.
BOOST_FIXTURE_TEST_CASE(WorkersOfANewPoolAreStoredWithTheConfiguration,
                        Fixture) {
  const jobs::WorkerRecord foreign = Worker("foreign", "other", 200);
  BOOST_REQUIRE(Report(worker));
  BOOST_REQUIRE(Report(foreign));
  BOOST_TEST(replica->ledger().workers().empty());
  Configure(1, "pool");
  BOOST_REQUIRE(Store([](jobs::Batch*) {}));
  BOOST_TEST(Find(worker) != nullptr);
  BOOST_TEST(Find(foreign) == nullptr);
}

// Guards against a worker that left before its pool was configured and is used
// afterwards.
BOOST_FIXTURE_TEST_CASE(AWorkerThatHasLeftIsNotStoredLater, Fixture) {
  BOOST_REQUIRE(Report(worker));
  registry->OnLeave(worker.incarnation.id, kStart, loop.now(),
                    [](const Status&) {});
  Configure(1, "pool");
  BOOST_REQUIRE(Store([](jobs::Batch*) {}));
  BOOST_TEST(Find(worker) == nullptr);
}

/// \returns a report of an unrelated worker.
[[nodiscard]] jobs::WorkerRecord Unrelated() {
  jobs::WorkerRecord record = Fixture::Worker("foreign", "pool", 200);
  record.address = "10.0.0.2:80";
  record.host = HostName("another");
  return record;
}

// Guards against a report of another program with the id, host or address of a
// worker at work and a later start time: it took the place of that worker,
// whose task was started once more elsewhere (review/11).
BOOST_FIXTURE_TEST_CASE(AWorkerThatRespondsIsNotReplaced, Fixture) {
  Configure(1, "pool");
  BOOST_REQUIRE(Report(worker));
  const jobs::RunName run{{jobs::JobId("job"), 0, 0, 0}, 1};
  BOOST_REQUIRE(Store([&](jobs::Batch* batch) {
    jobs::Submission submission{jobs::JobId("job"), QueueName("queue"), {}, {}};
    submission.spec.steps.resize(1);
    batch->submissions.push_back(submission);
    batch->starts.push_back({run, worker.incarnation});
  }));
  jobs::WorkerRecord reports[] = {Unrelated(), Unrelated(), Unrelated()};
  reports[0].incarnation.id = worker.incarnation.id;
  reports[1].host = worker.host;
  reports[2].address = worker.address;
  for (const jobs::WorkerRecord& report : reports) {
    responding = {worker.incarnation};
    BOOST_TEST(Report(report).has_value());
    BOOST_TEST(Find(report) == nullptr);
    BOOST_REQUIRE(Find(worker) != nullptr);
    BOOST_TEST(Find(worker)->runs.count(run) == 1U);
  }
  // Its own reports still count.
  jobs::WorkerRecord draining = worker;
  draining.draining = true;
  BOOST_REQUIRE(Report(draining, 2));
  BOOST_TEST(Find(worker)->record.draining);
}

// Guards against a worker that is not used since its report names the host or
// address of one that has ended.
BOOST_FIXTURE_TEST_CASE(AWorkerThatDoesNotRespondIsReplaced, Fixture) {
  Configure(1, "pool");
  jobs::WorkerRecord later = Unrelated();
  later.host = worker.host;
  later.address = "10.0.0.3:80";
  jobs::WorkerRecord latest = Unrelated();
  latest.incarnation = {jobs::WorkerId("latest"), 300};
  latest.host = HostName("third");
  latest.address = later.address;
  const jobs::WorkerRecord* earlier = &worker;
  BOOST_REQUIRE(Report(*earlier));
  for (const jobs::WorkerRecord* next : {&later, &latest}) {
    BOOST_REQUIRE(Report(*next));
    BOOST_TEST(Find(*earlier) == nullptr);
    BOOST_TEST(Find(*next) != nullptr);
    earlier = next;
  }
}

// Guards against a report on a pool that no configuration had and that takes
// the place of a worker at work once one has it.
BOOST_FIXTURE_TEST_CASE(AnUnlistedReportReplacesNoWorkerLater, Fixture) {
  Configure(1, "pool");
  BOOST_REQUIRE(Report(worker));
  jobs::WorkerRecord foreign = Worker("foreign", "other", 200);
  BOOST_REQUIRE(Report(foreign));
  responding = {worker.incarnation};
  Configure(2, "other");
  BOOST_REQUIRE(Store([](jobs::Batch*) {}));
  BOOST_TEST(Find(worker) != nullptr);
  BOOST_TEST(Find(foreign) == nullptr);
}

/// A worker with one run that may leave or start again.
struct LeavingWorker : Fixture {
  LeavingWorker() {
    Configure(1, "pool");
    record = Worker("w", "pool", kStart);
    BOOST_REQUIRE(Report(record));
    BOOST_REQUIRE(Store([&](jobs::Batch* batch) {
      jobs::Submission submission{
          jobs::JobId("job"), QueueName("queue"), {}, {}};
      submission.spec.steps.resize(1);
      submission.spec.steps[0].tasks = 1;
      batch->submissions.push_back(submission);
    }));
    StartRun();
  }
  void StartRun() {
    ++run.number;
    BOOST_REQUIRE(Store([&](jobs::Batch* batch) {
      batch->starts.push_back({run, record.incarnation});
    }));
    BOOST_REQUIRE(HasRun());
  }
  void Drain() {
    record.draining = true;
    BOOST_REQUIRE(Report(record, ++sequence));
  }
  void Restart(jobs::UnixMillis start_time) {
    record.incarnation.start_time = start_time;
    record.draining = false;
    BOOST_REQUIRE(Report(record, ++sequence));
  }
  void Leave(jobs::UnixMillis wall_time) {
    std::optional<Status> left;
    registry->OnLeave(record.incarnation.id, wall_time, loop.now(),
                      [&](const Status& status) {
                        left = status;
                        loop.Stop();
                      });
    if (!left)
      loop.Run();
    BOOST_TEST(left->has_value());
  }
  [[nodiscard]] bool HasRun() const {
    return replica->ledger().HasRun(run, record.incarnation);
  }

  jobs::WorkerRecord record;
  jobs::RunName run{{jobs::JobId("job"), 0, 0, 0}, 0};
  std::int64_t sequence = 1;
};

// Guards against runs that are given up late after a worker has left as
// announced.
BOOST_FIXTURE_TEST_CASE(ADrainedWorkerLeavesAtOnce, LeavingWorker) {
  Drain();
  Leave(kStart + 5'000);
  BOOST_TEST(Find(record) == nullptr);
}

// Guards against a second run of a task whose end was listed right before its
// worker left: the leave overtook the list (review/14).
BOOST_FIXTURE_TEST_CASE(TheEndsOfALeavingWorkerAreStored, LeavingWorker) {
  Drain();
  listed_end = {run, record.incarnation, jobs::RunEnd::kDone, "", 1};
  Leave(kStart + 5'000);
  BOOST_TEST(Find(record) == nullptr);
  BOOST_TEST((replica->ledger().FindJob(run.task.job)->state ==
              jobs::JobState::kCompleted));
}

// Guards against a second run of a task whose worker has started again: late
// copies of the message with which its earlier incarnation left made the new
// one draining, then dropped its runs (review/7).
BOOST_FIXTURE_TEST_CASE(ALateLeaveDoesNotEndTheNextIncarnation, LeavingWorker) {
  Drain();
  Leave(kStart + 3'000);
  Restart(kStart + 4'000);
  StartRun();
  for (int copy = 0; copy < 3; ++copy)
    Leave(kStart + 6'000 + copy);
  BOOST_TEST(HasRun());
  BOOST_TEST(!Find(record)->record.draining);
}

// The same while the new incarnation is draining itself.
BOOST_FIXTURE_TEST_CASE(ALateLeaveDoesNotEndADrainingIncarnation,
                        LeavingWorker) {
  Restart(kStart + 4'000);
  BOOST_TEST(HasRun());
  Drain();
  Leave(kStart + 6'000);
  Leave(kStart + 63'999);
  BOOST_TEST(HasRun());
  // No message of the earlier incarnation can be under way any more.
  Leave(kStart + 64'000);
  BOOST_TEST(Find(record) == nullptr);
}

}  // namespace
}  // namespace boragewinch::scheduler
