#define BOOST_TEST_MODULE drain_move
#include <boost/test/unit_test.hpp>

#include "base/event_log.h"
#include "entry_simulation.h"

namespace boragewinch::testing {
namespace {

struct QuietLog {
  QuietLog() { ConfigureEventLog("drain_move_test", EventLevel::kError); }
};
BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

// Two entry hosts and two workers; one request runs for 60 s.
struct Zone : EntrySimulation {
  explicit Zone(bool repeatable = true, Millis declared = Millis(0))
      : EntrySimulation(2, 2, 1) {
    run_time = Millis(60'000);
    Run(Millis(3'000));
    intercept = [this](const EntryAction& action, int) {
      if (const auto* start = std::get_if<StartTask>(&action))
        starts.push_back(*start);
      const bool checkpoint = std::holds_alternative<CheckpointTask>(action);
      checkpoints += checkpoint ? 1 : 0;
      return !checkpoint || !lose_checkpoints;
    };
    JobSpec spec = Job(repeatable);
    spec.declared_run_time = declared;
    const CallId submit = EntrySimulation::Submit(0, spec);
    Run(Millis(2'000));
    BOOST_REQUIRE(answer(submit) != nullptr);
    id = answer(submit)->request;
    BOOST_REQUIRE(starts.size() == 1U);
    host = starts[0].host == workers[0].host ? 0 : 1;
  }

  [[nodiscard]] const RequestRecord& record(int entry) const {
    return cores[static_cast<std::size_t>(entry)]->requests().records().at(id);
  }
  [[nodiscard]] const EntryCounters& counters() const {
    return cores[0]->counters();
  }
  [[nodiscard]] std::string Outcome() {
    const CallId query = Ask(1, CallKind::kQuery, id);
    Run(Millis(500));
    return std::string(kOutcomes.Name(answer(query)->outcome));
  }
  [[nodiscard]] std::string FirstProgress() const {
    return "progress:" + starts[0].task.Text();
  }

  RequestId id;
  int host = 0;  ///< the worker that runs the first attempt
  std::vector<StartTask> starts;
  int checkpoints = 0;
  bool lose_checkpoints = false;
};

// Guards against a task that is moved before it has run for 30 s, twice, back
// to the draining host, or without its progress.
BOOST_AUTO_TEST_CASE(LongTaskMovesOnceWithItsProgress) {
  Zone zone;
  zone.Drain(zone.host, true);
  zone.Run(Millis(25'000));
  BOOST_TEST(zone.checkpoints == 0);
  zone.Run(Millis(10'000));
  BOOST_TEST(zone.checkpoints == 1);
  BOOST_REQUIRE(zone.starts.size() == 2U);
  BOOST_TEST((zone.starts[1].host != zone.starts[0].host));
  BOOST_TEST(zone.starts[1].progress == zone.FirstProgress());
  BOOST_TEST(zone.counters().tasks_moved == 1U);
  zone.Run(Millis(70'000));
  BOOST_TEST(zone.Outcome() == "finished");
  BOOST_TEST(zone.starts.size() == 2U);
  BOOST_TEST(zone.checkpoints == 1);
  BOOST_TEST(zone.record(0).progress.empty());
  BOOST_TEST(zone.violations.size() == 0U);
}

// Guards against a task that is moved more than once by one drain, and against
// one that a second drain can't move.
BOOST_AUTO_TEST_CASE(EachDrainMovesATaskAtMostOnce) {
  Zone zone;
  zone.Drain(zone.host, true);
  zone.Run(Millis(35'000));
  BOOST_REQUIRE(zone.starts.size() == 2U);
  zone.Drain(zone.host, false);
  zone.Drain(1 - zone.host, true);
  zone.Run(Millis(35'000));
  BOOST_REQUIRE(zone.starts.size() == 3U);
  BOOST_TEST((zone.starts[2].host == zone.starts[0].host));
  BOOST_TEST(zone.starts[2].progress ==
             "progress:" + zone.starts[1].task.Text());
  BOOST_TEST(zone.counters().tasks_moved == 2U);
  BOOST_TEST(zone.checkpoints == 2);
}

// Guards against a drain that gives up after a lost checkpoint request, and
// against many requests while the response is pending.
BOOST_AUTO_TEST_CASE(LostCheckpointIsRepeatedWithPauses) {
  Zone zone;
  zone.Drain(zone.host, true);
  zone.lose_checkpoints = true;
  zone.Run(Millis(40'000));
  // An unanswered request counts as lost after the start time-out of 5 s.
  BOOST_TEST(zone.checkpoints >= 2);
  BOOST_TEST(zone.checkpoints <= 3);
  BOOST_TEST(zone.starts.size() == 1U);
  zone.lose_checkpoints = false;
  zone.Run(Millis(10'000));
  BOOST_TEST(zone.starts.size() == 2U);
  BOOST_TEST(zone.counters().tasks_moved == 1U);
}

// Guards against a task that is stopped twice or not moved because the response
// to the checkpoint request was lost.
BOOST_AUTO_TEST_CASE(LostResponseStillMovesTheTask) {
  Zone zone;
  zone.Drain(zone.host, true);
  zone.intercept = [&zone, next = zone.intercept](const EntryAction& action,
                                                  int entry) {
    const auto* checkpoint = std::get_if<CheckpointTask>(&action);
    if (checkpoint != nullptr) {
      zone.cores[0]->OnCheckpointResponse(
          checkpoint->task, checkpoint->host,
          Fail(ErrorCode::kTimeout, "no response"), zone.now);
    }
    return next(action, entry);
  };
  zone.Run(Millis(35'000));
  BOOST_TEST(zone.starts.size() == 2U);
  BOOST_TEST(zone.starts.back().progress == zone.FirstProgress());
  BOOST_TEST(zone.counters().tasks_moved == 1U);
  BOOST_TEST(zone.executions[zone.id] == 2);
}

// Guards against lost work and repeated checkpoint requests if the worker does
// not support checkpoints. The drain waits for the task instead.
BOOST_AUTO_TEST_CASE(WorkerWithoutCheckpointKeepsItsTask) {
  Zone zone;
  zone.workers[static_cast<std::size_t>(zone.host)].checkpoint = false;
  zone.Drain(zone.host, true);
  zone.Run(Millis(50'000));
  BOOST_TEST(zone.checkpoints == 1);
  BOOST_TEST(zone.counters().checkpoints_declined == 1U);
  zone.Run(Millis(20'000));
  BOOST_TEST(zone.Outcome() == "finished");
  BOOST_TEST(zone.executions[zone.id] == 1);
}

// Guards invariant I7: a task that must run at most once is never moved.
BOOST_AUTO_TEST_CASE(NonRepeatableTaskStays) {
  Zone zone(false);
  zone.Drain(zone.host, true);
  zone.Run(Millis(70'000));
  BOOST_TEST(zone.checkpoints == 0);
  BOOST_TEST(zone.Outcome() == "finished");
  BOOST_TEST(zone.executions[zone.id] == 1);
}

// Guards against moving a task that is expected to end soon, and against a
// drain that waits for a task that has exceeded its declared run time.
BOOST_AUTO_TEST_CASE(DeclaredRunTimeDecidesWhichTasksMove) {
  for (const auto& [declared, moved] :
       {std::pair{50'000, false}, {100'000, true}, {10'000, true}}) {
    Zone zone(true, Millis(declared));
    zone.Drain(zone.host, true);
    zone.Run(Millis(40'000));
    BOOST_TEST((zone.checkpoints == 1) == moved, declared);
  }
}

// Guards against progress that is lost with its owner: the backup stores it,
// and the new owner's start passes it on.
BOOST_AUTO_TEST_CASE(ProgressSurvivesTheOwner) {
  Zone zone;
  zone.Drain(zone.host, true);
  // No worker accepts the task, so it is queued at its owner.
  zone.workers[static_cast<std::size_t>(1 - zone.host)].leaving = true;
  zone.Run(Millis(35'000));
  BOOST_REQUIRE(zone.counters().tasks_moved == 1U);
  BOOST_REQUIRE(zone.starts.size() == 1U);
  BOOST_TEST(zone.record(0).progress == zone.FirstProgress());
  BOOST_TEST(zone.record(1).progress == zone.FirstProgress());
  zone.Crash(0);
  zone.CrashWorker(1 - zone.host);
  zone.Run(Millis(60'000));
  BOOST_REQUIRE(zone.starts.size() == 2U);
  BOOST_TEST(zone.starts[1].progress == zone.FirstProgress());
}

// Guards against a queued request that fails because the result of its stopped
// attempt arrives after the report of the stop, and against one that is dropped
// because its start deadline has passed in between.
BOOST_AUTO_TEST_CASE(LateStoppedResultBringsProgress) {
  Zone zone;
  zone.workers[static_cast<std::size_t>(1 - zone.host)].leaving = true;
  zone.Run(Millis(25'000));
  FakeWorker& worker = zone.workers[static_cast<std::size_t>(zone.host)];
  worker.leaving = true;
  const TaskId task = zone.starts[0].task;
  worker.tasks.at(task).state = TaskState::kStopped;
  zone.Run(Millis(2'000));
  BOOST_TEST(kRequestPhases.Name(zone.record(0).phase) == "queued");
  TaskResult result{task, TaskState::kStopped, "progress:" + task.Text()};
  result.length = result.body.size();
  result.hash = Hash64(result.body);
  const auto ack = zone.cores[0]->OnResult(result, zone.now);
  BOOST_REQUIRE(ack.has_value());
  zone.Run(Millis(500));
  BOOST_TEST(kRequestPhases.Name(zone.record(0).phase) == "queued");
  BOOST_TEST(zone.record(0).progress == result.body);
  BOOST_TEST(zone.record(1).progress == result.body);
}

// Guards against progress that is discarded because a report of the stop
// arrives first, and against a request that waits for progress forever.
BOOST_AUTO_TEST_CASE(ReportBeforeTheResultWaitsForProgress) {
  for (const bool arrives : {true, false}) {
    Zone zone;
    zone.Drain(zone.host, true);
    zone.lose_checkpoints = true;
    while (zone.checkpoints == 0)
      zone.Run(Millis(50));
    FakeWorker& worker = zone.workers[static_cast<std::size_t>(zone.host)];
    const TaskId task = zone.starts[0].task;
    worker.tasks.at(task).state = TaskState::kStopped;
    zone.cores[0]->OnCheckpointResponse(task, worker.host,
                                        CheckpointResponse::kStopped, zone.now);
    zone.Run(Millis(3'000));
    BOOST_TEST(zone.starts.size() == 1U);
    if (arrives) {
      TaskResult result{task, TaskState::kStopped, zone.FirstProgress()};
      result.length = result.body.size();
      result.hash = Hash64(result.body);
      BOOST_TEST(zone.cores[0]->OnResult(result, zone.now).has_value());
      zone.Apply(0);
    }
    zone.Run(Millis(5'000));
    BOOST_REQUIRE(zone.starts.size() == 2U);
    BOOST_TEST(zone.starts[1].progress ==
               (arrives ? zone.FirstProgress() : std::string()));
  }
}

// Guards invariant I5 (random seed 50259): progress that arrives after a
// cancellation is not a result.
BOOST_AUTO_TEST_CASE(ProgressIsNotReturnedAsResult) {
  Zone zone;
  static_cast<void>(zone.Ask(0, CallKind::kCancel, zone.id));
  TaskResult result{zone.starts[0].task, TaskState::kStopped,
                    zone.FirstProgress()};
  result.length = result.body.size();
  result.hash = Hash64(result.body);
  BOOST_TEST(zone.cores[0]->OnResult(result, zone.now).has_value());
  zone.Apply(0);
  const CallId fetch = zone.Ask(0, CallKind::kResult, zone.id);
  zone.Run(Millis(500));
  BOOST_TEST(kOutcomes.Name(zone.answer(fetch)->outcome) == "cancelled");
  BOOST_TEST(zone.answer(fetch)->body == "");
}

// Guards against unbounded progress: progress above the size limit is dropped,
// and the next attempt starts without it.
BOOST_AUTO_TEST_CASE(OversizedProgressIsDropped) {
  Zone zone;
  TaskResult result{zone.starts[0].task, TaskState::kStopped,
                    std::string(kMaxProgressBytes + 1, 'x')};
  result.length = result.body.size();
  result.hash = Hash64(result.body);
  const auto ack = zone.cores[0]->OnResult(result, zone.now);
  BOOST_REQUIRE(ack.has_value());
  BOOST_TEST(zone.counters().progress_dropped == 1U);
  BOOST_TEST(zone.record(0).progress.empty());
}

}  // namespace
}  // namespace boragewinch::testing
