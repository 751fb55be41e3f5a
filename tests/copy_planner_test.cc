#define BOOST_TEST_MODULE copy_planner
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>

#include "ledger_builder.h"
#include "scheduler/copy_planner.h"
#include "scheduler/stop_planner.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;
using jobs::RunEnd;

[[nodiscard]] jobs::StepSpec Speculative(std::int64_t tasks = 1) {
  jobs::StepSpec step = LedgerBuilder::Tasks(tasks);
  step.speculative = true;
  return step;
}

/// A ledger with workers "a" and "b", a job that runs on "a", and a planner
/// that considers all runs on "a" slow.
struct Fixture {
  LedgerBuilder builder;
  PlannerHooks hooks;
  CopyHooks copy_hooks;
  CopyPlannerOptions options;
  std::set<std::string> slow_workers = {"a"};
  std::set<std::string> suspects;

  Fixture() {
    hooks.start_limit = [](const jobs::WorkerIncarnation&) -> std::size_t {
      return 1'000;
    };
    hooks.is_advised = [](const jobs::TaskName&,
                          const jobs::WorkerIncarnation& worker) {
      return worker.id.str() == "advised";
    };
    copy_hooks.elapsed = [this](const jobs::RunName&,
                                const jobs::WorkerIncarnation& worker) {
      return std::optional(
          Millis(slow_workers.count(worker.id.str()) > 0 ? 3'000 : 500));
    };
    copy_hooks.expected_duration = [](const QueueName&, Millis estimate) {
      return estimate;
    };
    copy_hooks.spread = [](const QueueName&) { return 0.2; };
    copy_hooks.is_suspect = [](const jobs::WorkerIncarnation&) {
      return false;
    };
    options.mode = overload::SpeculationMode::kOn;
    builder.AddWorker("a", kCapacity).AddWorker("b", kCapacity);
  }

  Fixture& Run(const jobs::StepSpec& step, const std::string& worker = "a") {
    builder.Submit("job", {step});
    for (std::uint32_t i = 0; i < step.tasks; ++i)
      builder.Start(LedgerBuilder::Run("job", 0, i), worker);
    return *this;
  }

  [[nodiscard]] std::vector<jobs::StartRecord> Plan(
      const std::vector<jobs::StartRecord>& starts = {}) const {
    return CopyPlanner(options).Plan(builder.ledger(), hooks, copy_hooks,
                                     starts, 96, TimePoint(Millis(1)));
  }

  /// Plans and stores copies.
  Fixture& StartCopies() {
    jobs::Batch batch;
    batch.starts = Plan();
    builder.Apply(batch);
    return *this;
  }

  static constexpr Resources kCapacity{64'000, 64'000, 0};
};

// Guards against slow tasks that get no copy, copies on the worker of the run,
// and numbers that a worker would refuse.
BOOST_AUTO_TEST_CASE(ASlowTaskGetsOneCopyOnAnotherWorker) {
  Fixture fixture;
  fixture.Run(Speculative(2));
  const auto copies = fixture.Plan();
  BOOST_REQUIRE(copies.size() == 2U);
  BOOST_TEST(copies[0].worker.id.str() == "b");
  BOOST_TEST(copies[0].run.number == 2U);
  fixture.StartCopies();
  BOOST_TEST(fixture.Plan().empty());
  fixture.slow_workers = {"a", "b"};
  BOOST_TEST(fixture.Plan().empty());
}

// Guards against copies without the setting.
BOOST_AUTO_TEST_CASE(NoCopyIfSwitchedOff) {
  Fixture fixture;
  fixture.Run(Speculative());
  fixture.options.mode = overload::SpeculationMode::kOff;
  BOOST_TEST(fixture.Plan().empty());
}

// Guards against copies that the caller has not asked for, and of gangs and
// long-running tasks.
BOOST_AUTO_TEST_CASE(OtherStepsGetNoCopy) {
  BOOST_TEST(Fixture().Run(LedgerBuilder::Tasks(1)).Plan().empty());
  for (const auto flag :
       {&jobs::StepSpec::gang, &jobs::StepSpec::long_running}) {
    jobs::StepSpec step = Speculative();
    step.*flag = true;
    Fixture fixture;
    fixture.Run(step);
    BOOST_TEST(fixture.builder.ledger().speculating().empty());
    BOOST_TEST(fixture.Plan().empty());
  }
}

// Guards against a copy of a task that fails by itself.
BOOST_AUTO_TEST_CASE(AFailedTaskGetsNoCopy) {
  Fixture fixture;
  fixture.Run(Speculative());
  fixture.builder.End(LedgerBuilder::Run("job", 0, 0), "a", RunEnd::kFailed, 1)
      .Start(LedgerBuilder::Run("job", 0, 0, 2), "a");
  BOOST_TEST(fixture.Plan().empty());
}

// Guards against copies of runs of which the leader does not know how long they
// have run, as after a change of the leader.
BOOST_AUTO_TEST_CASE(RunsOfUnknownAgeGetNoCopy) {
  Fixture fixture;
  fixture.Run(Speculative());
  fixture.copy_hooks.elapsed = [](const jobs::RunName&,
                                  const jobs::WorkerIncarnation&) {
    return std::optional<Millis>();
  };
  BOOST_TEST(fixture.Plan().empty());
}

// Guards against a new leader that adds a copy to those of its predecessor, or
// does not count them: it has only the ledger.
BOOST_AUTO_TEST_CASE(ANewLeaderKnowsTheCopies) {
  Fixture fixture;
  fixture.options.max_pool_share = 1.0 / 128;  // one task
  fixture.Run(Speculative(2)).StartCopies();
  const auto restored =
      jobs::JobLedger::Restore(fixture.builder.ledger().Snapshot());
  BOOST_REQUIRE(restored);
  BOOST_TEST(restored.value().copied_tasks().size() == 1U);
  const auto copies = CopyPlanner(fixture.options)
                          .Plan(restored.value(), fixture.hooks,
                                fixture.copy_hooks, {}, 96, TimePoint());
  BOOST_TEST(copies.empty());
}

// Guards against copies that use more than their share of the pool, also across
// plans and while finished tasks still have a run.
BOOST_AUTO_TEST_CASE(CopiesUseABoundedShare) {
  Fixture fixture;
  fixture.Run(Speculative(30));
  // 5% of 128 cores and of 128,000 MB.
  BOOST_TEST(fixture.Plan().size() == 6U);
  fixture.StartCopies();
  BOOST_TEST(fixture.Plan().empty());
  const auto copied = fixture.builder.ledger().copied_tasks();
  BOOST_REQUIRE(copied.size() == 6U);
  const jobs::TaskName task = *copied.begin();
  fixture.builder.End({task, 2}, "b", RunEnd::kDone, 1);
  BOOST_TEST(fixture.Plan().empty());
  fixture.builder.End({task, 1}, "a", RunEnd::kStopped, 1);
  BOOST_TEST(fixture.Plan().size() == 1U);
}

// Guards against copies that take the room of waiting tasks.
BOOST_AUTO_TEST_CASE(NoCopyWhereAWaitingTaskCouldRun) {
  Fixture fixture;
  fixture.Run(Speculative());
  fixture.builder.Submit("waiting", {LedgerBuilder::Tasks(1, 60'000)});
  BOOST_TEST(fixture.Plan().empty());
  // It starts with this plan.
  const jobs::StartRecord start{LedgerBuilder::Run("waiting", 0, 0),
                                LedgerBuilder::IncarnationOf("b")};
  BOOST_TEST(fixture.Plan({start}).size() == 1U);
}

// Guards against a task that fits nowhere and keeps all others from copies.
BOOST_AUTO_TEST_CASE(TasksThatCannotRunDoNotPreventCopies) {
  Fixture fixture;
  fixture.Run(Speculative());
  jobs::StepSpec labelled = LedgerBuilder::Tasks(1);
  labelled.required_label = "missing";
  fixture.builder.Submit("large", {LedgerBuilder::Tasks(1, 65'000)})
      .Submit("labelled", {labelled});
  BOOST_TEST(fixture.Plan().size() == 1U);
}

// Guards against copies beyond the free capacity, counting the starts of the
// same plan.
BOOST_AUTO_TEST_CASE(FreeCapacityLimitsCopies) {
  Fixture fixture;
  fixture.Run(Speculative());
  fixture.builder.Submit("other", {LedgerBuilder::Tasks(1, 64'000)});
  const jobs::StartRecord start{LedgerBuilder::Run("other", 0, 0),
                                LedgerBuilder::IncarnationOf("b")};
  BOOST_TEST(fixture.Plan({start}).empty());
  fixture.builder.Start(start.run, "b");
  BOOST_TEST(fixture.Plan().empty());
}

// Guards against copies beyond the limit of their customer.
BOOST_AUTO_TEST_CASE(TheCustomerLimitIncludesCopies) {
  Fixture fixture;
  fixture.builder.Limit({3'000, 0, 0});
  fixture.Run(Speculative(2));
  BOOST_TEST(fixture.Plan().size() == 1U);
}

// Guards against more tasks of a step on a worker than allowed.
BOOST_AUTO_TEST_CASE(MaxPerWorkerIncludesCopies) {
  jobs::StepSpec step = Speculative(3);
  step.max_per_worker = 2;
  Fixture fixture;
  BOOST_TEST(fixture.Run(step).Plan().size() == 2U);
}

// Guards against copies on workers without the label, on those that fail or
// delay tasks, and on draining ones.
BOOST_AUTO_TEST_CASE(UnsuitableWorkersGetNoCopies) {
  jobs::StepSpec step = Speculative();
  step.required_label = "fast";
  BOOST_TEST(Fixture().Run(step).Plan().empty());
  Fixture throttled;
  throttled.hooks.start_limit = [](const jobs::WorkerIncarnation&) {
    return std::size_t{1};
  };
  BOOST_TEST(throttled.Run(Speculative()).Plan().empty());
  Fixture draining;
  draining.Run(Speculative()).builder.AddWorker("b", Fixture::kCapacity, true);
  BOOST_TEST(draining.Plan().empty());
}

// Guards against copies in a zone that an operator has taken out of use.
BOOST_AUTO_TEST_CASE(EvacuatedZonesGetNoCopies) {
  Fixture fixture;
  fixture.Run(Speculative());
  jobs::Batch batch;
  batch.workers.push_back(fixture.builder.ledger()
                              .FindWorker(LedgerBuilder::IncarnationOf("b"))
                              ->record);
  batch.workers[0].zone = ZoneName("z");
  batch.zone_changes.push_back({ZoneName("z"), true});
  fixture.builder.Apply(batch);
  BOOST_TEST(fixture.Plan().empty());
  jobs::Batch returned;
  returned.zone_changes.push_back({ZoneName("z"), false});
  fixture.builder.Apply(returned);
  BOOST_TEST(fixture.Plan().size() == 1U);
}

// Guards against copies without a ticket.
BOOST_AUTO_TEST_CASE(QueuesWithAdviceGetCopiesOnlyWhereAllowed) {
  Fixture fixture;
  jobs::Batch batch;
  batch.config = fixture.builder.ledger().config();
  ++batch.config->version;
  batch.config->queues[0].advised = true;
  fixture.builder.Apply(batch);
  fixture.Run(Speculative());
  BOOST_TEST(fixture.Plan().empty());
  fixture.builder.AddWorker("advised", Fixture::kCapacity);
  BOOST_REQUIRE(fixture.Plan().size() == 1U);
  BOOST_TEST(fixture.Plan()[0].worker.id.str() == "advised");
}

// Guards against both runs in one rack while there is another one.
BOOST_AUTO_TEST_CASE(AnotherRackIsPreferred) {
  Fixture fixture;
  fixture.Run(Speculative());
  const auto set_rack = [&](const std::string& id, const char* rack) {
    const auto incarnation = LedgerBuilder::IncarnationOf(id);
    jobs::WorkerRecord record =
        fixture.builder.ledger().FindWorker(incarnation)->record;
    record.rack = RackName(rack);
    jobs::Batch batch;
    batch.workers.push_back(record);
    fixture.builder.Apply(batch);
  };
  fixture.builder.AddWorker("c", Fixture::kCapacity);
  set_rack("a", "r1");
  set_rack("b", "r1");
  set_rack("c", "r2");
  BOOST_REQUIRE(fixture.Plan().size() == 1U);
  BOOST_TEST(fixture.Plan()[0].worker.id.str() == "c");
  set_rack("c", "r1");
  set_rack("b", "r2");
  BOOST_TEST(fixture.Plan()[0].worker.id.str() == "b");
}

// Guards against scans of all running tasks with each plan.
BOOST_AUTO_TEST_CASE(RunsAreScannedAtIntervals) {
  Fixture fixture;
  int queries = 0;
  fixture.copy_hooks.elapsed = [&](const jobs::RunName&,
                                   const jobs::WorkerIncarnation&) {
    ++queries;
    return std::optional(Millis(100));
  };
  fixture.Run(Speculative());
  CopyPlanner planner(fixture.options);
  for (Millis at{0}; at < Millis(1'000); at += Millis(20)) {
    (void)planner.Plan(fixture.builder.ledger(), fixture.hooks,
                       fixture.copy_hooks, {}, 96, TimePoint(at));
  }
  BOOST_TEST(queries == 4);
}

// Guards against a loser that goes on, and against a stop of the run that is
// still needed.
BOOST_AUTO_TEST_CASE(TheOtherRunOfAFinishedTaskIsStopped) {
  Fixture fixture;
  fixture.Run(Speculative(2)).StartCopies();
  const auto stops = [&] {
    return PlanStops(
        fixture.builder.ledger(), {},
        [](const jobs::RunName&, const jobs::WorkerIncarnation&) { return 0; },
        [](const jobs::RunName&, const jobs::WorkerIncarnation&) {
          return false;
        });
  };
  BOOST_TEST(stops().empty());
  fixture.builder.End(LedgerBuilder::Run("job", 0, 0, 2), "b", RunEnd::kDone,
                      1);
  BOOST_REQUIRE(stops().size() == 1U);
  BOOST_TEST((stops()[0].run == LedgerBuilder::Run("job", 0, 0)));
  BOOST_TEST(stops()[0].worker.id.str() == "a");
  BOOST_TEST(std::string(stops()[0].reason) == "task_done");
}

}  // namespace
}  // namespace boragewinch::scheduler
