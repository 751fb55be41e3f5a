#define BOOST_TEST_MODULE task_planner
#include <boost/test/unit_test.hpp>

#include <map>

#include "ledger_builder.h"
#include "scheduler/task_planner.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

[[nodiscard]] PlannerHooks AllMayStart() {
  PlannerHooks hooks;
  hooks.start_limit = [](const jobs::WorkerIncarnation&) -> std::size_t {
    return 1'000;
  };
  hooks.accepts_soon = [](const jobs::WorkerIncarnation&) { return true; };
  hooks.is_quarantined = [](const jobs::WorkerIncarnation&) { return false; };
  hooks.is_advised = [](const jobs::TaskName&,
                        const jobs::WorkerIncarnation& incarnation) {
    return incarnation.id.str() == "advised";
  };
  hooks.has_failed_on = [](const jobs::TaskName&,
                           const jobs::WorkerIncarnation&) { return false; };
  return hooks;
}

[[nodiscard]] std::vector<jobs::StartRecord> PlanAll(
    const LedgerBuilder& builder,
    jobs::UnixMillis now,
    const PlannerHooks& hooks = AllMayStart()) {
  return TaskPlanner(TaskPlannerOptions{}).Plan(builder.ledger(), hooks, now);
}

[[nodiscard]] std::map<std::string, int> CountByJob(
    const std::vector<jobs::StartRecord>& starts) {
  std::map<std::string, int> counts;
  for (const jobs::StartRecord& start : starts)
    ++counts[start.run.task.job.str()];
  return counts;
}

// Guards against starts that exceed the free capacity of a worker.
BOOST_AUTO_TEST_CASE(FreeCapacityLimitsTheStarts) {
  LedgerBuilder builder;
  builder.AddWorker("w", {2'500, 32'000, 0})
      .Submit("job", {LedgerBuilder::Tasks(5)});
  BOOST_TEST(PlanAll(builder, 1'000).size() == 2U);
}

// Guards against a customer that exceeds its limit.
BOOST_AUTO_TEST_CASE(TheCustomerLimitIsRespected) {
  LedgerBuilder builder;
  builder.Limit({3'000, 0, 0})
      .AddWorker("w")
      .Submit("job", {LedgerBuilder::Tasks(8)});
  BOOST_TEST(PlanAll(builder, 1'000).size() == 3U);
}

// Guards against more tasks of a step on a worker than max_per_worker.
BOOST_AUTO_TEST_CASE(MaxPerWorkerIsRespected) {
  jobs::StepSpec step = LedgerBuilder::Tasks(6);
  step.max_per_worker = 2;
  LedgerBuilder builder;
  builder.AddWorker("a").AddWorker("b").Submit("job", {step});
  std::map<std::string, int> by_worker;
  for (const auto& start : PlanAll(builder, 1'000))
    ++by_worker[start.worker.id.str()];
  BOOST_TEST(by_worker.at("a") == 2);
  BOOST_TEST(by_worker.at("b") == 2);
}

// Guards against starting only some members of a gang.
BOOST_AUTO_TEST_CASE(AGangStartsWholeOrNotAtAll) {
  jobs::StepSpec gang = LedgerBuilder::Tasks(3);
  gang.gang = true;
  LedgerBuilder builder;
  builder.AddWorker("a", {2'000, 32'000, 0}).Submit("gang", {gang});
  builder.Submit("small", {LedgerBuilder::Tasks(1)});
  const auto counts = CountByJob(PlanAll(builder, 1'000));
  BOOST_TEST(counts.count("gang") == 0U);
  BOOST_TEST(counts.at("small") == 1);
  builder.AddWorker("b");
  BOOST_TEST(CountByJob(PlanAll(builder, 1'000)).at("gang") == 3);
}

// Guards against tasks on workers without the required label.
BOOST_AUTO_TEST_CASE(LabelsAreRespected) {
  jobs::StepSpec step = LedgerBuilder::Tasks(1);
  step.required_label = "fast";
  LedgerBuilder builder;
  builder.AddWorker("w").Submit("job", {step});
  BOOST_TEST(PlanAll(builder, 1'000).empty());
}

// Guards against starts that the advice service has not permitted.
BOOST_AUTO_TEST_CASE(QueuesWithAdviceStartOnlyWhereAllowed) {
  LedgerBuilder builder;
  jobs::Batch batch;
  batch.config = builder.ledger().config();
  ++batch.config->version;
  batch.config->queues[0].advised = true;
  builder.Apply(batch).AddWorker("other").AddWorker("advised").Submit(
      "job", {LedgerBuilder::Tasks(2)});
  const auto starts = PlanAll(builder, 1'000);
  BOOST_TEST(starts.size() == 2U);
  for (const jobs::StartRecord& start : starts)
    BOOST_TEST(start.worker.id.str() == "advised");
}

// Guards against starts on a draining worker.
BOOST_AUTO_TEST_CASE(DrainingWorkersGetNoTasks) {
  LedgerBuilder builder;
  builder.AddWorker("w", {16'000, 32'000, 0}, true)
      .Submit("job", {LedgerBuilder::Tasks(1)});
  BOOST_TEST(PlanAll(builder, 1'000).empty());
}

// Guards against a load spike in which late jobs delay jobs that can still meet
// their objective. Jobs of 1 s arrive every 20 ms, twice the capacity of the
// pool; the objective allows 1.2 s of waiting.
BOOST_AUTO_TEST_CASE(LateJobsYieldInASpike) {
  LedgerBuilder builder;
  builder.AddWorker("w", {2'000, 32'000, 0});
  builder.At(1'000).Submit("old", {LedgerBuilder::Tasks(2)});
  builder.At(2'400).Submit("fresh", {LedgerBuilder::Tasks(2)});
  // At 2,500 the old job, due at 3,200, needs until 3,500.
  const auto counts = CountByJob(PlanAll(builder, 2'500));
  BOOST_TEST(counts.count("old") == 0U);
  BOOST_TEST(counts.at("fresh") == 2);
}

// Guards against a burst in which every job is started at the last moment and
// then misses its objective because of the wait for its second step.
BOOST_AUTO_TEST_CASE(AJobWithoutSlackYieldsToOneWithSlack) {
  LedgerBuilder builder;
  builder.AddWorker("w", {2'000, 32'000, 0});
  builder.At(1'000).Submit("old", {LedgerBuilder::Tasks(2)});
  builder.At(1'700).Submit("fresh", {LedgerBuilder::Tasks(2)});
  // At 2,000 the old job, due at 3,200, has 1,200 left for 1,000 of work.
  const auto counts = CountByJob(PlanAll(builder, 2'000));
  BOOST_TEST(counts.count("old") == 0U);
  BOOST_TEST(counts.at("fresh") == 2);
}

// Guards against long-running tasks spread over many hosts, which then cannot
// be moved to other pools although the pool is nearly idle between spikes.
BOOST_AUTO_TEST_CASE(LongRunningTasksShareFewHosts) {
  jobs::StepSpec long_running_step = LedgerBuilder::Tasks(2);
  long_running_step.long_running = true;
  long_running_step.max_per_worker = 1;
  LedgerBuilder builder;
  for (const char* worker : {"a", "b", "c", "d", "e"})
    builder.AddWorker(worker);
  builder.Submit("first", {long_running_step})
      .Submit("second", {long_running_step});
  builder.Submit("small", {LedgerBuilder::Tasks(2)});
  std::map<std::string, int> by_worker;
  for (const auto& start : PlanAll(builder, 1'000))
    ++by_worker[start.worker.id.str()];
  BOOST_TEST(by_worker.size() == 2U);
}

// Guards against a burst whose tasks are spread over all hosts, so that none
// becomes idle and can be moved to another pool when the burst ends.
BOOST_AUTO_TEST_CASE(TasksOfABurstFillHostsOneAfterTheOther) {
  LedgerBuilder builder;
  for (const char* worker : {"a", "b", "c", "d"})
    builder.AddWorker(worker, {4'000, 32'000, 0});
  builder.Submit("first", {LedgerBuilder::Tasks(3)});
  builder.Submit("second", {LedgerBuilder::Tasks(4)});
  std::map<std::string, int> by_worker;
  for (const auto& start : PlanAll(builder, 1'000))
    ++by_worker[start.worker.id.str()];
  BOOST_TEST(by_worker.size() == 2U);
}

// Guards against a long-running task that is not restarted while its pool is
// full: one that a wave had stopped waited 10 s behind a burst of short jobs
// that could all still meet their objectives.
BOOST_AUTO_TEST_CASE(ALongRunningTaskComesBeforeABurst) {
  jobs::StepSpec long_running_step = LedgerBuilder::Tasks(1, 1'500);
  long_running_step.long_running = true;
  long_running_step.estimate = Millis(0);
  LedgerBuilder builder;
  builder.AddWorker("w", {2'000, 32'000, 0});
  builder.At(1'000).Submit("lasting", {long_running_step});
  builder.At(9'000).Submit("burst", {LedgerBuilder::Tasks(4, 500)});
  const auto counts = CountByJob(PlanAll(builder, 9'100));
  BOOST_TEST(counts.at("lasting") == 1);
  BOOST_TEST(counts.at("burst") == 1);
}

// Guards against starvation of a large long-running task by small tasks that
// take all capacity as it becomes free.
BOOST_AUTO_TEST_CASE(CapacityIsReservedForALongRunningTask) {
  jobs::StepSpec long_running_step = LedgerBuilder::Tasks(1, 1'500);
  long_running_step.long_running = true;
  LedgerBuilder builder;
  builder.AddWorker("a", {2'000, 32'000, 0})
      .AddWorker("b", {2'000, 32'000, 0})
      .Submit("old", {LedgerBuilder::Tasks(5, 500)});
  for (std::uint32_t i = 0; i < 5; ++i)
    builder.Start(LedgerBuilder::Run("old", 0, i), i < 2 ? "a" : "b");
  builder.Submit("lasting", {long_running_step})
      .Submit("burst", {LedgerBuilder::Tasks(4, 500)});
  // "a" has 1,000 free and is reserved; only "b" with 500 takes a short task.
  const auto starts = PlanAll(builder, 1'100);
  BOOST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts[0].worker.id.str() == "b");
}

// Guards against a worker that fails every run and so always has free capacity:
// in a burst it would get every task of the next plan.
BOOST_AUTO_TEST_CASE(AThrottledWorkerGetsOneTask) {
  LedgerBuilder builder;
  builder.AddWorker("sick").AddWorker("sound", {3'000, 32'000, 0});
  builder.Submit("job", {LedgerBuilder::Tasks(8)});
  PlannerHooks hooks = AllMayStart();
  hooks.start_limit =
      [](const jobs::WorkerIncarnation& incarnation) -> std::size_t {
    return incarnation.id.str() == "sick" ? 1 : 1'000;
  };
  std::map<std::string, int> by_worker;
  for (const auto& start : PlanAll(builder, 1'000, hooks))
    ++by_worker[start.worker.id.str()];
  BOOST_TEST(by_worker.at("sick") == 1);
  BOOST_TEST(by_worker.at("sound") == 3);
}

// Guards against a task that uses up its attempts on one faulty worker.
BOOST_AUTO_TEST_CASE(AFailedTaskGoesToAnotherWorker) {
  LedgerBuilder builder;
  builder.AddWorker("a", {1'000, 32'000, 0}).AddWorker("b");
  builder.Submit("job", {LedgerBuilder::Tasks(1)});
  PlannerHooks hooks = AllMayStart();
  hooks.has_failed_on = [](const jobs::TaskName&,
                           const jobs::WorkerIncarnation& incarnation) {
    return incarnation.id.str() == "a";
  };
  const auto starts = PlanAll(builder, 1'000, hooks);
  BOOST_REQUIRE(starts.size() == 1U);
  BOOST_TEST(starts[0].worker.id.str() == "b");
}

// Guards against a job that waits behind jobs with a later objective.
BOOST_AUTO_TEST_CASE(TheEarlierObjectiveGoesFirst) {
  LedgerBuilder builder;
  builder.AddWorker("w", {2'000, 32'000, 0});
  builder.At(1'000).Submit("zz-first", {LedgerBuilder::Tasks(2)});
  builder.At(1'500).Submit("aa-second", {LedgerBuilder::Tasks(2)});
  BOOST_TEST(CountByJob(PlanAll(builder, 1'600)).count("aa-second") == 0U);
}

/// Four workers with 10,000 of 16,000 CPU units free each, and as many jobs of
/// a long-running task of 12,000 that wait.
struct LargeTasksWait {
  explicit LargeTasksWait(bool long_running_runs) {
    jobs::StepSpec running = LedgerBuilder::Tasks(kWorkers, 6'000);
    running.long_running = long_running_runs;
    builder.Submit("running", {running});
    for (std::uint32_t i = 0; i < kWorkers; ++i) {
      const std::string worker = "w" + std::to_string(i);
      builder.AddWorker(worker).Start(LedgerBuilder::Run("running", 0, i),
                                      worker);
    }
    jobs::StepSpec large = LedgerBuilder::Tasks(1, 12'000);
    large.long_running = true;
    for (std::uint32_t i = 0; i < kWorkers; ++i)
      builder.Submit("large" + std::to_string(i), {large});
    builder.Submit("small", {LedgerBuilder::Tasks(1)});
  }

  std::size_t StartsAt(jobs::UnixMillis now) {
    return planner.Plan(builder.ledger(), AllMayStart(), now).size();
  }

  static constexpr std::uint32_t kWorkers = 4;
  LedgerBuilder builder;
  TaskPlanner planner{TaskPlannerOptions{}};
};

// Guards against workers that are reserved although the capacity that the
// waiting task needs never becomes free: no other task ever started.
BOOST_AUTO_TEST_CASE(CapacityOfLongRunningTasksIsNotWaitedFor) {
  LargeTasksWait fixture(true);
  BOOST_TEST(fixture.StartsAt(1'000) == 1U);
}

// Guards against a pool whose workers all stay reserved: a job for which there
// is capacity has to start within 3 s. Afterwards the large tasks get another
// chance, since small ones would take all capacity that becomes free.
BOOST_AUTO_TEST_CASE(ReservationsEnd) {
  constexpr jobs::UnixMillis kBegin = 1'000;
  LargeTasksWait fixture(false);
  BOOST_TEST(fixture.StartsAt(kBegin) == 0U);
  BOOST_TEST(fixture.StartsAt(kBegin + 1'900) == 0U);
  BOOST_TEST(fixture.StartsAt(kBegin + 2'100) == 1U);
  BOOST_TEST(fixture.StartsAt(kBegin + 2'600) == 0U);
  BOOST_TEST(fixture.StartsAt(kBegin + 4'700) == 1U);
  // The wall clock went back by an hour.
  BOOST_TEST(fixture.StartsAt(kBegin - 3'600'000) == 0U);
  BOOST_TEST(fixture.StartsAt(kBegin - 3'600'000 + 2'100) == 1U);
}

}  // namespace
}  // namespace boragewinch::scheduler
