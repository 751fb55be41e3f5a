#define BOOST_TEST_MODULE long_running_task_starvation
#include <boost/test/unit_test.hpp>

#include <optional>
#include <set>
#include <string>

#include "ledger_builder.h"
#include "scheduler/pool_balancer.h"
#include "scheduler/task_planner.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

[[nodiscard]] TimePoint At(std::int64_t millis) {
  return FromMillis(100'000 + millis);
}

[[nodiscard]] jobs::StepSpec LongRunningStep(std::int64_t count,
                                             std::int64_t cpu = 1'000) {
  jobs::StepSpec step = LedgerBuilder::Tasks(count, cpu);
  step.long_running = true;
  return step;
}

/// Pool "p" with the builder's queue "q", pool "a" with queue "burst", and
/// powered-off hosts in pool "off".
struct Starvation {
  explicit Starvation(int hosts_off = 2) {
    jobs::Batch batch;
    batch.config = builder.ledger().config();
    ++batch.config->version;
    jobs::QueueConfig burst = batch.config->queues.front();
    burst.name = QueueName("burst");
    burst.path_prefix = "/burst/";
    burst.pool = PoolName("a");
    batch.config->queues.push_back(burst);
    batch.config->pools[PoolName("a")] = {PoolName("a"), true, false};
    batch.config->pools[PoolName("off")] = {PoolName("off"), true, true};
    builder.Apply(batch);
    AddHost("a0", "a");
    AddHost("p0", "p");
    AddHostsOff(hosts_off);
  }

  void AddHostsOff(int count) {
    for (int i = 0; i < count; ++i) {
      rows.push_back({HostName("off" + std::to_string(i)),
                      PoolName("off"),
                      HostState::kUp,
                      {}});
    }
    inventory.OnList(rows, At(0), At(0));
  }

  void AddHost(const std::string& name, const std::string& pool) {
    jobs::WorkerRecord record;
    record.incarnation = LedgerBuilder::IncarnationOf("w-" + name);
    record.host = HostName(name);
    record.address = name + ":80";
    record.pool = PoolName(pool);
    record.capacity = {16'000, 32'000, 0};
    jobs::Batch batch;
    batch.workers.push_back(record);
    builder.Apply(batch);
    rows.push_back(
        {record.host, record.pool, HostState::kUp, record.incarnation.id});
  }

  /// Submits jobs to pool "a", each of 32 core seconds.
  void Burst(int jobs) {
    for (int i = 0; i < jobs; ++i) {
      jobs::Batch batch;
      jobs::JobSpec spec;
      spec.steps = {LedgerBuilder::Tasks(8, 4'000)};
      batch.submissions.push_back({jobs::JobId("burst" + std::to_string(i)),
                                   QueueName("burst"), CustomerName("c"),
                                   spec});
      builder.Apply(batch);
    }
  }

  std::vector<HostMove> Balance(std::int64_t millis) {
    return balancer.Decide(
        builder.ledger(), inventory,
        [](const jobs::WorkerIncarnation&) { return true; }, {},
        [](const HostName&) { return true; }, 1'000 + millis, At(millis));
  }

  /// \param failed_on workers on which the tasks of job "waits" have failed.
  /// \param quarantined workers that accept no starts now.
  std::vector<jobs::StartRecord> Plan(
      const std::set<std::string>& failed_on,
      const std::set<std::string>& quarantined = {}) {
    PlannerHooks hooks;
    hooks.start_limit =
        [&](const jobs::WorkerIncarnation& incarnation) -> std::size_t {
      return quarantined.count(incarnation.id.str()) > 0 ? 0 : 1'000;
    };
    hooks.accepts_soon = [&](const jobs::WorkerIncarnation& incarnation) {
      return quarantined.count(incarnation.id.str()) == 0;
    };
    hooks.is_quarantined = [&](const jobs::WorkerIncarnation& incarnation) {
      return quarantined.count(incarnation.id.str()) > 0;
    };
    hooks.is_advised = [](const jobs::TaskName&,
                          const jobs::WorkerIncarnation&) { return true; };
    hooks.has_failed_on = [&](const jobs::TaskName& task,
                              const jobs::WorkerIncarnation& incarnation) {
      return task.job.str() == "waits" &&
             (!failed_index || task.index == *failed_index) &&
             failed_on.count(incarnation.id.str()) > 0;
    };
    return TaskPlanner(TaskPlannerOptions{})
        .Plan(builder.ledger(), hooks, 1'000);
  }

  /// Index of the failed task of job "waits"; unset: all tasks.
  std::optional<std::uint32_t> failed_index;
  LedgerBuilder builder;
  std::vector<HostRow> rows;
  HostInventory inventory;
  PoolBalancer balancer{PoolBalancerOptions{}};
};

// Guards against a long-running task that cannot start while the burst of
// another pool takes all free hosts.
BOOST_FIXTURE_TEST_CASE(AWaitingLongRunningTaskGetsAHostBeforeABurst,
                        Starvation) {
  builder.Submit("full", {LongRunningStep(1, 16'000)})
      .Start(LedgerBuilder::Run("full", 0, 0), "w-p0")
      .Submit("waits", {LongRunningStep(1, 8'000)});
  Burst(20);
  const auto moves = Balance(50);
  BOOST_REQUIRE(moves.size() == 2U);
  BOOST_TEST((moves[0].to.str() == "p" || moves[1].to.str() == "p"));
}

// Guards against a long-running task that cannot start while the host moves of
// a burst use up the order rate of the platform.
BOOST_AUTO_TEST_CASE(AWaitingLongRunningTaskGetsAMoveBeforeABurst) {
  Starvation fixture(60);
  fixture.builder.Submit("full", {LongRunningStep(1, 16'000)})
      .Start(LedgerBuilder::Run("full", 0, 0), "w-p0");
  fixture.Burst(100);
  const auto burst = fixture.Balance(50);
  BOOST_TEST(!burst.empty());
  fixture.builder.Submit("waits", {LongRunningStep(1, 8'000)});
  std::size_t to_p = 0;
  // Too soon for the rate limit to allow another move, but moves for
  // long-running tasks are not subject to it.
  for (const HostMove& move : fixture.Balance(55))
    to_p += move.to.str() == "p" ? 1 : 0;
  BOOST_TEST(to_p == 1U);
}

// Guards against a long-running task that fits on no worker of a fragmented
// pool: it got no host because the pool as a whole had enough capacity.
BOOST_AUTO_TEST_CASE(AFragmentedPoolGetsAHostForALongRunningTask) {
  Starvation fixture(0);
  for (const char* host : {"p1", "p2"})
    fixture.AddHost(host, "p");
  fixture.builder.Submit("lasting", {LongRunningStep(3, 9'000)});
  for (std::uint32_t i = 0; i < 3; ++i) {
    fixture.builder.Start(LedgerBuilder::Run("lasting", 0, i),
                          "w-p" + std::to_string(i));
  }
  BOOST_TEST(fixture.Balance(50).empty());
  fixture.AddHostsOff(2);
  fixture.builder.Submit("waits", {LongRunningStep(1, 9'000)});
  // By now the pool requests no more hosts than its total demand needs.
  const auto moves = fixture.Balance(3'000);
  BOOST_REQUIRE(moves.size() == 1U);
  BOOST_TEST(moves[0].to.str() == "p");
  // One host is enough while its move is in progress.
  BOOST_TEST(fixture.Balance(3'100).empty());
}

// Guards against a long-running task that waits for running tasks, which count
// neither as waiting nor as arriving.
BOOST_FIXTURE_TEST_CASE(APoolFullOfShortTasksGetsAHostForALongRunningTask,
                        Starvation) {
  for (const char* host : {"p1", "p2"})
    AddHost(host, "p");
  builder.Submit("short", {LedgerBuilder::Tasks(3, 16'000)});
  for (std::uint32_t i = 0; i < 3; ++i) {
    builder.Start(LedgerBuilder::Run("short", 0, i), "w-p" + std::to_string(i));
  }
  builder.Submit("waits", {LongRunningStep(1, 8'000)});
  BOOST_TEST(Balance(1'800).size() == 1U);
}

// Guards against one task of a step that blocks the others although they may
// start on the worker where it has failed.
BOOST_FIXTURE_TEST_CASE(ATaskWithoutAWorkerDoesNotBlockItsStep, Starvation) {
  AddHost("p1", "p");
  builder.Submit("full", {LedgerBuilder::Tasks(1, 16'000)})
      .Start(LedgerBuilder::Run("full", 0, 0), "w-p1")
      .Submit("waits", {LedgerBuilder::Tasks(3, 1'000)});
  failed_index = 0;
  const auto starts = Plan({"w-p0"});
  BOOST_REQUIRE(starts.size() == 2U);
  BOOST_TEST(starts[0].run.task.index == 1U);
  BOOST_TEST(starts[1].run.task.index == 2U);
}

// Guards against a long-running task that waits for a worker which is full of
// long-running tasks.
BOOST_FIXTURE_TEST_CASE(ALongRunningTaskDoesNotWaitForAFullWorker, Starvation) {
  AddHost("p1", "p");
  builder.Submit("full", {LongRunningStep(1, 16'000)})
      .Start(LedgerBuilder::Run("full", 0, 0), "w-p1")
      .Submit("waits", {LongRunningStep(1, 8'000)});
  const auto starts = Plan({"w-p0"});
  BOOST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts[0].worker.id.str() == "w-p0");
}

// Guards against a long-running task that waits for a worker which has reached
// max_per_worker.
BOOST_FIXTURE_TEST_CASE(ALongRunningTaskDoesNotWaitForAWorkerAtItsLimit,
                        Starvation) {
  AddHost("p1", "p");
  jobs::StepSpec step = LongRunningStep(2, 1'000);
  step.max_per_worker = 1;
  builder.Submit("waits", {step})
      .Start(LedgerBuilder::Run("waits", 0, 0), "w-p1");
  const auto starts = Plan({"w-p0"});
  BOOST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts[0].worker.id.str() == "w-p0");
}

// Guards against a long-running task that never restarts because it has failed
// once on each worker of its pool.
BOOST_FIXTURE_TEST_CASE(ALongRunningTaskReturnsToAWorkerThatItFailedOn,
                        Starvation) {
  AddHost("p1", "p");
  builder.Submit("waits", {LongRunningStep(1, 8'000)});
  BOOST_TEST(Plan({"w-p0", "w-p1"}).size() == 1U);
  const auto elsewhere = Plan({"w-p0"});
  BOOST_REQUIRE(elsewhere.size() == 1U);
  BOOST_TEST(elsewhere[0].worker.id.str() == "w-p1");
  BOOST_TEST(Plan({"w-p0"}, {"w-p1"}).size() == 1U);
}

// Guards against a failed task that uses up its attempts on a faulty worker
// while another worker is full.
BOOST_FIXTURE_TEST_CASE(AFailedTaskWaitsForAnotherWorker, Starvation) {
  AddHost("p1", "p");
  builder.Submit("full", {LedgerBuilder::Tasks(1, 16'000)})
      .Start(LedgerBuilder::Run("full", 0, 0), "w-p1")
      .Submit("waits", {LedgerBuilder::Tasks(1, 8'000)});
  BOOST_TEST(Plan({"w-p0"}).empty());
}

// Guards against a failed task that waits forever because it has failed on
// every worker of its pool.
BOOST_FIXTURE_TEST_CASE(AFailedTaskReturnsWhereItHasFailedEverywhere,
                        Starvation) {
  AddHost("p1", "p");
  builder.Submit("waits", {LedgerBuilder::Tasks(1, 8'000)});
  BOOST_TEST(Plan({"w-p0", "w-p1"}).size() == 1U);
}

// Guards against capacity that is reserved on a worker which the waiting task
// cannot use, so that neither it nor later tasks start.
BOOST_FIXTURE_TEST_CASE(CapacityIsReservedWhereTheWaitingTaskMayStart,
                        Starvation) {
  AddHost("p1", "p");
  // p0 has more free capacity, but the task has failed there.
  builder.Submit("on0", {LedgerBuilder::Tasks(1, 9'000)})
      .Start(LedgerBuilder::Run("on0", 0, 0), "w-p0")
      .Submit("on1", {LedgerBuilder::Tasks(1, 10'000)})
      .Start(LedgerBuilder::Run("on1", 0, 0), "w-p1")
      .Submit("waits", {LongRunningStep(1, 8'000)})
      .Submit("small", {LedgerBuilder::Tasks(1, 1'000)});
  const auto starts = Plan({"w-p0"});
  BOOST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts[0].run.task.job.str() == "small");
  BOOST_TEST(starts[0].worker.id.str() == "w-p0");
}

}  // namespace
}  // namespace boragewinch::scheduler
