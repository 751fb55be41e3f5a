#define BOOST_TEST_MODULE failed_task_alternative
#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "ledger_builder.h"
#include "scheduler/task_planner.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

constexpr jobs::UnixMillis kBegin = 1'000;
constexpr std::int64_t kMaxAvoidance =
    TaskPlannerOptions{}.max_avoidance.count();

/// Job "waits" has failed on worker "faulty"; "other" is the alternative.
struct FailedTask {
  explicit FailedTask(std::int64_t other_cpu = 16'000) {
    builder.AddWorker("faulty").AddWorker("other", {other_cpu, 32'000, 0});
  }

  static jobs::StepSpec Step(std::int64_t tasks, std::int64_t cpu = 1'000) {
    return LedgerBuilder::Tasks(tasks, cpu);
  }
  static jobs::StepSpec LongRunning(std::int64_t tasks, std::int64_t cpu) {
    jobs::StepSpec step = Step(tasks, cpu);
    step.long_running = true;
    return step;
  }

  /// Occupies all of "other".
  void FillOther(const jobs::StepSpec& step) {
    builder.Submit("full", {step})
        .Start(LedgerBuilder::Run("full", 0, 0), "other");
  }

  [[nodiscard]] PlannerHooks Hooks() const {
    PlannerHooks hooks;
    hooks.start_limit =
        [this](const jobs::WorkerIncarnation& incarnation) -> std::size_t {
      const std::string& id = incarnation.id.str();
      return lost.count(id) + away.count(id) > 0 ? 0 : 1'000;
    };
    hooks.accepts_soon = [this](const jobs::WorkerIncarnation& incarnation) {
      return lost.count(incarnation.id.str()) == 0;
    };
    hooks.is_quarantined = [](const jobs::WorkerIncarnation&) { return false; };
    hooks.is_advised = [](const jobs::TaskName&,
                          const jobs::WorkerIncarnation&) { return true; };
    hooks.has_failed_on = [this](const jobs::TaskName& task,
                                 const jobs::WorkerIncarnation& incarnation) {
      return task.job.str() == "waits" &&
             failed_on.count(incarnation.id.str()) > 0;
    };
    return hooks;
  }

  [[nodiscard]] std::vector<jobs::StartRecord> PlanAt(jobs::UnixMillis now) {
    return planner.Plan(builder.ledger(), Hooks(), now);
  }

  /// \returns how many tasks of "waits" start, by worker.
  [[nodiscard]] std::map<std::string, int> StartsAt(jobs::UnixMillis now) {
    std::map<std::string, int> starts;
    for (const jobs::StartRecord& start : PlanAt(now)) {
      if (start.run.task.job.str() == "waits")
        ++starts[start.worker.id.str()];
    }
    return starts;
  }

  LedgerBuilder builder;
  TaskPlanner planner{TaskPlannerOptions{}};
  std::set<std::string> failed_on = {"faulty"};
  std::set<std::string> lost;  ///< workers that don't return
  std::set<std::string> away;  ///< workers that accept no starts for a moment
};

using Starts = std::map<std::string, int>;
const Starts kNone;
const Starts kOnFaulty = {{"faulty", 1}};
const Starts kOnOther = {{"other", 1}};

[[nodiscard]] bool Equal(const Starts& a, const Starts& b) {
  return a == b;
}

// Guards against a task that waits for a worker that is lost for good.
BOOST_FIXTURE_TEST_CASE(ALostWorkerIsNoAlternative, FailedTask) {
  builder.Submit("waits", {Step(1)});
  lost = {"other"};
  BOOST_TEST(Equal(StartsAt(kBegin), kOnFaulty));
}

// Guards against a task that waits for a draining worker.
BOOST_AUTO_TEST_CASE(ADrainingWorkerIsNoAlternative) {
  FailedTask fixture;
  fixture.builder.AddWorker("other", {16'000, 32'000, 0}, true);
  fixture.builder.Submit("waits", {FailedTask::Step(1)});
  BOOST_TEST(Equal(fixture.StartsAt(kBegin), kOnFaulty));
}

// Guards against a task that waits for capacity that long-running tasks occupy.
BOOST_FIXTURE_TEST_CASE(AWorkerFullOfLongRunningTasksIsNoAlternative,
                        FailedTask) {
  FillOther(LongRunning(1, 15'500));
  builder.Submit("waits", {Step(1)});
  BOOST_TEST(Equal(StartsAt(kBegin), kOnFaulty));
}

// Guards against a task that waits for a worker whose capacity is reserved.
BOOST_FIXTURE_TEST_CASE(AReservedWorkerIsNoAlternative, FailedTask) {
  FillOther(Step(1, 2'000));
  // Needs more than "faulty" has beside its own long-running task.
  builder.Submit("lasting", {LongRunning(1, 4'000)})
      .Start(LedgerBuilder::Run("lasting", 0, 0), "faulty")
      .Submit("large", {LongRunning(1, 15'000)})
      .Submit("waits", {Step(1)});
  BOOST_TEST(Equal(StartsAt(kBegin), kOnFaulty));
}

// Guards against a gang that waits for a worker that its own members occupy.
BOOST_AUTO_TEST_CASE(AWorkerFullOfTheSameGangIsNoAlternative) {
  for (const std::int64_t max_per_worker : {0, 1}) {
    FailedTask fixture(max_per_worker == 0 ? 1'000 : 16'000);
    jobs::StepSpec gang = FailedTask::Step(2);
    gang.gang = true;
    gang.max_per_worker = max_per_worker;
    fixture.builder.Submit("waits", {gang});
    BOOST_TEST(Equal(fixture.StartsAt(kBegin), {{"faulty", 1}, {"other", 1}}));
  }
}

// Guards against a task that uses up its attempts on a faulty worker while
// another one becomes free, and against one that waits for it too long.
BOOST_FIXTURE_TEST_CASE(ATaskWaitsForABusyWorkerForALimitedTime, FailedTask) {
  FillOther(Step(1, 16'000));
  builder.Submit("waits", {Step(1)});
  BOOST_TEST(Equal(StartsAt(kBegin), kNone));
  BOOST_TEST(Equal(StartsAt(kBegin + kMaxAvoidance - 1), kNone));
  BOOST_TEST(Equal(StartsAt(kBegin + kMaxAvoidance), kOnFaulty));
  // The next run that fails begins another wait.
  const jobs::RunName run = LedgerBuilder::Run("waits", 0, 0);
  builder.Start(run, "faulty").End(run, "faulty", jobs::RunEnd::kFailed);
  BOOST_TEST(Equal(StartsAt(kBegin + 3'000), kNone));
  builder.End(LedgerBuilder::Run("full", 0, 0), "other", jobs::RunEnd::kDone);
  BOOST_TEST(Equal(StartsAt(kBegin + 3'100), kOnOther));
}

// Guards against an endless wait after the wall clock went back.
BOOST_FIXTURE_TEST_CASE(TheWaitEndsAfterTheWallClockWentBack, FailedTask) {
  constexpr jobs::UnixMillis kEarlier = kBegin - 3'600'000;
  FillOther(Step(1, 16'000));
  builder.Submit("waits", {Step(1)});
  BOOST_TEST(Equal(StartsAt(kBegin), kNone));
  BOOST_TEST(Equal(StartsAt(kEarlier), kNone));
  BOOST_TEST(Equal(StartsAt(kEarlier + kMaxAvoidance), kOnFaulty));
}

// Guards against a task that goes back to a faulty worker at once although the
// other one is out of reach only for a moment.
BOOST_FIXTURE_TEST_CASE(ATaskWaitsForAWorkerThatIsAwayForAMoment, FailedTask) {
  builder.Submit("waits", {Step(1)});
  away = {"other"};
  BOOST_TEST(Equal(StartsAt(kBegin), kNone));
  away.clear();
  BOOST_TEST(Equal(StartsAt(kBegin + 1'000), kOnOther));
}

// Guards against a worker at max_per_worker that a task does not wait for
// although its runs end soon.
BOOST_FIXTURE_TEST_CASE(ATaskWaitsForAWorkerAtItsLimitOfShortTasks,
                        FailedTask) {
  jobs::StepSpec step = Step(2);
  step.max_per_worker = 1;
  builder.Submit("waits", {step})
      .Start(LedgerBuilder::Run("waits", 0, 0), "other");
  BOOST_TEST(Equal(StartsAt(kBegin), kNone));
  BOOST_TEST(Equal(StartsAt(kBegin + kMaxAvoidance), kOnFaulty));
}

// Guards against a gang whose members wait one after the other.
BOOST_FIXTURE_TEST_CASE(TheMembersOfAGangWaitTogether, FailedTask) {
  FillOther(Step(1, 16'000));
  jobs::StepSpec gang = Step(4);
  gang.gang = true;
  builder.Submit("waits", {gang});
  BOOST_TEST(Equal(StartsAt(kBegin), kNone));
  BOOST_TEST(Equal(StartsAt(kBegin + kMaxAvoidance), {{"faulty", 4}}));
}

// Guards against a large long-running task that reserves nothing, because it
// may use only the worker on which it failed and which short tasks fill.
BOOST_AUTO_TEST_CASE(ALongRunningTaskReservesTheWorkerItFailedOn) {
  for (const bool is_lost : {true, false}) {
    FailedTask fixture;
    if (is_lost)
      fixture.lost = {"other"};
    else
      fixture.FillOther(FailedTask::LongRunning(1, 15'500));
    fixture.builder.Submit("short", {FailedTask::Step(1, 4'000)})
        .Start(LedgerBuilder::Run("short", 0, 0), "faulty")
        .Submit("waits", {FailedTask::LongRunning(1, 14'000)})
        .Submit("small", {FailedTask::Step(1)});
    BOOST_TEST(fixture.PlanAt(kBegin).empty());
  }
}

}  // namespace
}  // namespace boragewinch::scheduler
