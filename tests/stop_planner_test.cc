#define BOOST_TEST_MODULE stop_planner
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

#include "ledger_builder.h"
#include "scheduler/stop_planner.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

/// Three tasks of a long-running job, one on each worker; at most one may be
/// unavailable.
[[nodiscard]] LedgerBuilder LongRunningJob() {
  LedgerBuilder builder;
  jobs::StepSpec step = LedgerBuilder::Tasks(3);
  step.long_running = true;
  step.max_unavailable = 1;
  builder.AddWorker("a").AddWorker("b").AddWorker("c").Submit("job", {step});
  builder.Start(LedgerBuilder::Run("job", 0, 0), "a")
      .Start(LedgerBuilder::Run("job", 0, 1), "b")
      .Start(LedgerBuilder::Run("job", 0, 2), "c");
  return builder;
}

[[nodiscard]] PercentOf Percents(std::map<std::string, int> by_worker) {
  return [by_worker](const jobs::RunName&,
                     const jobs::WorkerIncarnation& incarnation) {
    const auto found = by_worker.find(incarnation.id.str());
    return found == by_worker.end() ? 0 : found->second;
  };
}

const IsStopping kNoStop = [](const jobs::RunName&,
                              const jobs::WorkerIncarnation&) { return false; };

const std::set<jobs::WorkerIncarnation> kCordonAll = {
    LedgerBuilder::IncarnationOf("a"), LedgerBuilder::IncarnationOf("b"),
    LedgerBuilder::IncarnationOf("c")};

// Guards against maintenance that makes a second task of a step unavailable.
BOOST_AUTO_TEST_CASE(CordonedWorkersStopOneTaskAtATime) {
  const LedgerBuilder builder = LongRunningJob();
  const auto stops =
      PlanStops(builder.ledger(), kCordonAll,
                Percents({{"a", 100}, {"b", 100}, {"c", 100}}), kNoStop);
  BOOST_TEST(stops.size() == 1U);
}

// Guards against the stop of a task that is not ready in the last report of its
// worker but may be by now, while another task of the step is unavailable.
BOOST_AUTO_TEST_CASE(ATaskThatIsNotReadyIsNotStopped) {
  const LedgerBuilder builder = LongRunningJob();
  const auto stops =
      PlanStops(builder.ledger(), kCordonAll,
                Percents({{"a", 0}, {"b", 40}, {"c", 100}}), kNoStop);
  BOOST_TEST(stops.empty());
}

// Guards against long-running tasks that are left on a draining worker.
BOOST_AUTO_TEST_CASE(DrainingWorkersStopLongRunningTasks) {
  LedgerBuilder builder = LongRunningJob();
  builder.AddWorker("a", {16'000, 32'000, 0}, true);
  const auto stops = PlanStops(builder.ledger(), {}, Percents({}), kNoStop);
  BOOST_REQUIRE(stops.size() == 1U);
  BOOST_TEST(stops[0].worker.id.str() == "a");
}

// Guards against maintenance that interrupts a task while another one is about
// to be stopped on a draining worker.
BOOST_AUTO_TEST_CASE(TasksOfDrainingWorkersCountAsUnavailable) {
  for (const char* draining : {"a", "c"}) {
    LedgerBuilder builder = LongRunningJob();
    builder.AddWorker(draining, {16'000, 32'000, 0}, true);
    const auto stops =
        PlanStops(builder.ledger(), {LedgerBuilder::IncarnationOf("b")},
                  Percents({{"a", 100}, {"b", 100}, {"c", 100}}), kNoStop);
    BOOST_REQUIRE(stops.size() == 1U);
    BOOST_TEST(stops[0].worker.id.str() == draining);
  }
}

// Guards against a stop for maintenance that arrives after the stops of a
// worker that started draining later.
BOOST_AUTO_TEST_CASE(ADrainWaitsForAStopInFlight) {
  LedgerBuilder builder = LongRunningJob();
  builder.AddWorker("a", {16'000, 32'000, 0}, true);
  const auto stopping = [](const std::string& worker) -> IsStopping {
    return [worker](const jobs::RunName&,
                    const jobs::WorkerIncarnation& incarnation) {
      return incarnation.id.str() == worker;
    };
  };
  const PercentOf percents = Percents({{"a", 100}, {"c", 100}});
  BOOST_TEST(PlanStops(builder.ledger(), {LedgerBuilder::IncarnationOf("b")},
                       percents, stopping("b"))
                 .empty());
  // Stops of draining workers do not wait for each other.
  BOOST_TEST(PlanStops(builder.ledger(), {}, percents, stopping("a")).size() ==
             1U);
}

// Guards against tasks of a cancelled job that keep running.
BOOST_AUTO_TEST_CASE(RunsOfCancelledJobsAreStopped) {
  LedgerBuilder builder = LongRunningJob();
  builder.Cancel("job");
  BOOST_TEST(PlanStops(builder.ledger(), {}, Percents({}), kNoStop).size() ==
             3U);
}

// Guards against a stop of a run whose state is not known, which ends a task
// that has been put to work by a late start while another one is unavailable.
BOOST_AUTO_TEST_CASE(AnUnknownRunIsNotStoppedBeyondTheBudget) {
  LedgerBuilder builder = LongRunningJob();
  const jobs::RunName run = LedgerBuilder::Run("job", 0, 0);
  const auto may_interrupt = [&](const std::map<std::string, int>& percents) {
    const jobs::Worker* worker =
        builder.ledger().FindWorker(LedgerBuilder::IncarnationOf("a"));
    BOOST_REQUIRE(worker != nullptr);
    return MayInterrupt(builder.ledger(), run, *worker, Percents(percents));
  };
  BOOST_TEST(may_interrupt({{"a", 0}, {"b", 100}, {"c", 100}}));
  BOOST_TEST(may_interrupt({{"a", 100}, {"b", 100}, {"c", 100}}));
  BOOST_TEST(!may_interrupt({{"a", 0}, {"b", 40}, {"c", 100}}));
  builder.End(LedgerBuilder::Run("job", 0, 1), "b", jobs::RunEnd::kFailed);
  BOOST_TEST(!may_interrupt({{"a", 0}, {"b", 100}, {"c", 100}}));
  // Nothing is left to be kept available.
  builder.Cancel("job");
  BOOST_TEST(may_interrupt({}));
}

// Guards against a budget that keeps tasks on a draining worker, and against
// one where the step has none.
BOOST_AUTO_TEST_CASE(OtherRunsAreAlwaysStopped) {
  LedgerBuilder builder;
  builder.AddWorker("w", {16'000, 32'000, 0}, true)
      .AddWorker("v")
      .Submit("job", {LedgerBuilder::Tasks(2)});
  jobs::StepSpec step = LedgerBuilder::Tasks(2);
  step.long_running = true;
  step.max_unavailable = 1;
  builder.Submit("service", {step})
      .Start(LedgerBuilder::Run("service", 0, 0), "w")
      .Start(LedgerBuilder::Run("job", 0, 0), "v");
  const jobs::JobLedger& ledger = builder.ledger();
  BOOST_TEST(MayInterrupt(ledger, LedgerBuilder::Run("service", 0, 0),
                          *ledger.FindWorker(LedgerBuilder::IncarnationOf("w")),
                          Percents({})));
  BOOST_TEST(MayInterrupt(ledger, LedgerBuilder::Run("job", 0, 0),
                          *ledger.FindWorker(LedgerBuilder::IncarnationOf("v")),
                          Percents({})));
}

}  // namespace
}  // namespace boragewinch::scheduler
