#define BOOST_TEST_MODULE worker_fleet
#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/invariant.h"
#include "scheduler/late_orders.h"
#include "scheduler/worker_fleet.h"
#include "single_replica.h"

namespace boragewinch::scheduler {
namespace {

const jobs::WorkerIncarnation kWorker{jobs::WorkerId("w"), 1};
const jobs::RunName kRun{{jobs::JobId("00000000000000aa"), 0, 0, 0}, 1};

/// The leader, with one worker whose calls are recorded.
struct Fixture : SingleReplica {
  Fixture() {
    on_stored = [this](const jobs::Batch& batch, TimePoint now) {
      if (paused_before_send)
        replica->Retire();
      if (fleet)
        fleet->OnStored(batch, now);
    };
    Lead();
    BOOST_REQUIRE(Store([](jobs::Batch* batch) {
      jobs::WorkerRecord record;
      record.incarnation = kWorker;
      record.address = "w:80";
      record.pool = PoolName("p");
      record.zone = ZoneName("z");
      record.capacity = {16'000, 32'000, 0};
      batch->workers.push_back(record);
    }));
    WorkerCalls calls;
    calls.start = [this](const jobs::WorkerRecord&, const StartCall&,
                         WorkerCalls::Done<CallResponse> done) {
      ++starts;
      start = std::move(done);
    };
    calls.stop = [this](const jobs::WorkerRecord&, const StopCall&,
                        const WorkerCalls::Done<CallResponse>&) { ++stops; };
    calls.hold = [this](const jobs::WorkerRecord&, const HoldCall& call,
                        WorkerCalls::Done<HoldResponse> done) {
      acknowledged = call.last_end_sequence;
      hold = std::move(done);
    };
    fleet.emplace(
        loop, *replica, calls,
        [](const jobs::TaskName&, const jobs::WorkerIncarnation&) {
          return std::string();
        },
        WorkerSessionOptions{}, metrics);
    fleet->OnLeadership(true, loop.now());
    fleet->Tick(loop.now());
    BOOST_REQUIRE(hold);
  }

  /// \brief Delivers the response to the hold call in flight.
  void List(const std::vector<jobs::RunName>& running) {
    HoldResponse response;
    response.call.clock_ms = 500'000;
    for (const jobs::RunName& run : running)
      response.running.push_back({run, "", 10});
    std::exchange(hold, nullptr)(response);
  }

  void StoreStart() {
    BOOST_REQUIRE(Store([](jobs::Batch* batch) {
      jobs::Submission submission;
      submission.id = kRun.task.job;
      submission.queue = QueueName("q");
      jobs::StepSpec step;
      step.tasks = 1;
      step.request = {100, 1, 0};
      step.estimate = Millis(100);
      submission.spec.steps.push_back(step);
      batch->submissions.push_back(submission);
      batch->starts.push_back({kRun, kWorker});
    }));
    // The hook on_stored runs after the response.
    loop.Post([this] { loop.Stop(); });
    loop.Run();
  }

  Metrics metrics;
  std::optional<WorkerFleet> fleet;
  WorkerCalls::Done<HoldResponse> hold;
  std::int64_t acknowledged = 0;  ///< by the latest hold
  WorkerCalls::Done<CallResponse> start;
  int starts = 0;
  int stops = 0;
  bool paused_before_send = false;  ///< the lease ends once a batch is stored
};

/// A job whose only start has been sent.
struct SentStart : Fixture {
  SentStart() {
    List({});
    StoreStart();
    BOOST_REQUIRE(start);
  }
  /// \returns the runs that the fleet adds to a batch that is stored after
  /// `delay`.
  [[nodiscard]] std::vector<jobs::RunName> BegunAfter(Millis delay,
                                                      bool empty = true) {
    jobs::Batch batch;
    if (!empty)
      batch.cancels.emplace_back("other");
    fleet->AddBegun(&batch, loop.now() + delay);
    return batch.begun;
  }
};

// Guards against a job that is shown as begun although its worker is silent
// (review/15).
BOOST_FIXTURE_TEST_CASE(AStartWithoutAResponseHasNotBegun, SentStart) {
  BOOST_TEST(BegunAfter(Millis(2'000)).empty());
  std::exchange(start, nullptr)(Fail(ErrorCode::kTimeout, "no response"));
  BOOST_TEST(BegunAfter(Millis(2'000)).empty());
  BOOST_TEST(replica->ledger().QueuedOf(QueueName("q")) == 1);
}

// Guards against a job that is shown as queued although it runs, and against a
// write to the disk for each job.
BOOST_FIXTURE_TEST_CASE(AnAcceptedStartHasBegun, SentStart) {
  CallResponse accepted;
  accepted.clock_ms = 500'000;
  std::exchange(start, nullptr)(accepted);
  BOOST_TEST(BegunAfter(Millis(0)).empty());
  BOOST_TEST(BegunAfter(Millis(0), false).size() == 1U);
  const std::vector<jobs::RunName> begun = BegunAfter(Millis(2'000));
  BOOST_REQUIRE(begun.size() == 1U);
  BOOST_TEST((begun.front() == kRun));
  BOOST_REQUIRE(
      Store([&](jobs::Batch* batch) { batch->begun.push_back(kRun); }));
  BOOST_TEST(replica->ledger().QueuedOf(QueueName("q")) == 0);
  BOOST_TEST(BegunAfter(Millis(2'000)).empty());
}

/// The next leader; the worker is lost together with the earlier one.
struct NextLeader : SentStart {
  void Accept() {
    CallResponse accepted;
    accepted.clock_ms = 500'000;
    std::exchange(start, nullptr)(accepted);
    BOOST_REQUIRE(Store([this](jobs::Batch* batch) {
      fleet->AddBegun(batch, loop.now() + Millis(2'000));
    }));
  }
  /// \returns whether the next leader has given up the run after that time.
  /// The loop does not run meanwhile.
  [[nodiscard]] bool HasEndedAfter(Millis time) {
    const TimePoint now = loop.now();
    fleet->OnLeadership(true, now);
    fleet->Tick(now + time);
    RunFor(Millis(20));
    return replica->ledger().FindRun(kRun) == nullptr;
  }
};

/// The longest time for which a lease of an earlier leader lasts.
constexpr Millis kEarlierLease{5'500};

// Guards against a task that lasts and waits 13 s for its next run: each start
// of the earlier leader counted as one without a response (review/13).
BOOST_FIXTURE_TEST_CASE(AConfirmedStartIsNotAwaitedByTheNextLeader,
                        NextLeader) {
  Accept();
  BOOST_TEST(HasEndedAfter(kEarlierLease));
}

// Guards against a second run of a task whose first start may still be carried
// out.
BOOST_FIXTURE_TEST_CASE(AnUnconfirmedStartIsAwaitedByTheNextLeader,
                        NextLeader) {
  BOOST_TEST(!HasEndedAfter(kEarlierLease));
}

// Guards against a start that counts as settled although an earlier copy of it
// got no response.
BOOST_FIXTURE_TEST_CASE(ARepeatedStartIsNotConfirmed, NextLeader) {
  std::exchange(start, nullptr)(Fail(ErrorCode::kTimeout, "no response"));
  while (!start) {
    RunFor(Millis(20));
    fleet->Tick(loop.now());
  }
  Accept();
  BOOST_TEST((replica->ledger().FindJob(kRun.task.job)->state ==
              jobs::JobState::kRunning));
  BOOST_TEST(!HasEndedAfter(kEarlierLease));
}

// Guards against a job that stays queued since the response to its start was
// lost, or since the leader has changed.
BOOST_FIXTURE_TEST_CASE(AListedRunHasBegun, SentStart) {
  fleet->OnLeadership(true, loop.now());
  fleet->Tick(loop.now());
  BOOST_TEST(BegunAfter(Millis(2'000)).empty());
  BOOST_REQUIRE(hold);
  List({kRun});
  BOOST_TEST(BegunAfter(Millis(2'000)).size() == 1U);
}

// Guards against an order that is sent after the lease has ended: the process
// was paused between storing the start and sending it.
BOOST_FIXTURE_TEST_CASE(AStartIsSentOnlyUnderALease, Fixture) {
  List({});
  paused_before_send = true;
  StoreStart();
  BOOST_TEST(starts == 0);
}

// Shows that the previous case fails only for want of the lease.
BOOST_FIXTURE_TEST_CASE(AStoredStartIsSent, Fixture) {
  List({});
  StoreStart();
  BOOST_TEST(starts == 1);
}

// Guards against a former leader that stops the run of the next one: the list
// waited in its socket while the process was paused.
BOOST_FIXTURE_TEST_CASE(AnUnexpectedRunIsStoppedOnlyUnderALease, Fixture) {
  List({kRun});
  BOOST_TEST(stops == 1);
  BOOST_REQUIRE(hold);
  replica->Retire();
  List({kRun});
  BOOST_TEST(stops == 1);
}

// Guards against the next run of a gang on the worker on which another of its
// members failed.
BOOST_FIXTURE_TEST_CASE(AFailedMemberCountsForItsGang, Fixture) {
  List({});
  const auto member = [](std::uint32_t index) {
    jobs::RunName run = kRun;
    run.task.index = index;
    return run;
  };
  BOOST_REQUIRE(Store([&](jobs::Batch* batch) {
    jobs::Submission submission;
    submission.id = kRun.task.job;
    submission.queue = QueueName("q");
    jobs::StepSpec step;
    step.tasks = 2;
    step.gang = true;
    step.request = {100, 1, 0};
    submission.spec.steps = {step, step};
    submission.spec.steps[1].gang = false;
    batch->submissions.push_back(submission);
    batch->starts.push_back({member(0), kWorker});
    batch->starts.push_back({member(1), kWorker});
  }));
  loop.Post([this] { loop.Stop(); });
  loop.Run();
  BOOST_TEST(!fleet->HasFailedOn(member(1).task, kWorker));
  HoldResponse response;
  response.call.clock_ms = 500'000;
  response.running.push_back({member(1), "", 10});
  response.ended.push_back({1, member(0), jobs::RunEnd::kFailed, ""});
  BOOST_REQUIRE(hold);
  std::exchange(hold, nullptr)(response);
  BOOST_TEST(fleet->HasFailedOn(member(0).task, kWorker));
  BOOST_TEST(fleet->HasFailedOn(member(1).task, kWorker));
  // A task that is not in the gang is not affected.
  jobs::TaskName other = kRun.task;
  other.step = 1;
  BOOST_TEST(!fleet->HasFailedOn(other, kWorker));
}

/// Lists that are requested beside the regular holds.
struct RequestedList : Fixture {
  RequestedList() {
    List({});
    StoreStart();
    // The regular hold that is open meanwhile.
    BOOST_REQUIRE(hold);
    regular = std::exchange(hold, nullptr);
    fleet->RequestList(kWorker, [this](const Result<bool>& result) {
      BOOST_REQUIRE(result);
      responds = result.value();
    });
  }
  void Respond(const Result<HoldResponse>& response) {
    BOOST_REQUIRE(hold);
    std::exchange(hold, nullptr)(response);
  }
  void RespondWith(CallVerdict verdict) {
    HoldResponse response;
    response.call.verdict = verdict;
    Respond(response);
  }
  /// \brief Responds to the regular hold with the end of the run.
  void ListEnd() {
    HoldResponse response;
    response.call.clock_ms = 500'000;
    response.ended.push_back({1, kRun, jobs::RunEnd::kDone, ""});
    std::exchange(regular, nullptr)(response);
  }

  WorkerCalls::Done<HoldResponse> regular;
  std::optional<bool> responds;
};

// Guards against a worker at work that counts as gone, and against ends in such
// a list that are lost.
BOOST_FIXTURE_TEST_CASE(AWorkerThatListsItsRunsResponds, RequestedList) {
  HoldResponse response;
  response.ended.push_back({1, kRun, jobs::RunEnd::kDone, ""});
  Respond(response);
  BOOST_TEST((responds == true));
  RunFor(Millis(50));
  BOOST_TEST((replica->ledger().FindJob(kRun.task.job)->state ==
              jobs::JobState::kCompleted));
}

// Guards against a worker that counts as present since another incarnation of
// it responds at its address.
BOOST_FIXTURE_TEST_CASE(AnotherIncarnationIsNoResponse, RequestedList) {
  std::exchange(regular,
                nullptr)(Fail(ErrorCode::kTransport, "connection closed"));
  RespondWith(CallVerdict::kOtherIncarnation);
  BOOST_TEST((responds == false));
}

// Guards against the loss of an end that was listed before the worker ended:
// its list is still under way.
BOOST_FIXTURE_TEST_CASE(AnEarlierListIsAwaited, RequestedList) {
  RespondWith(CallVerdict::kOtherWorker);
  BOOST_TEST(!responds);
  ListEnd();
  BOOST_TEST((responds == false));
}

// Guards against the loss of ends beyond those that fit into one list.
BOOST_FIXTURE_TEST_CASE(AFullListIsFollowedByTheNext, RequestedList) {
  HoldResponse full;
  for (std::size_t i = 1; i <= kMaxListedEnds; ++i) {
    full.ended.push_back(
        {static_cast<std::int64_t>(i), kRun, jobs::RunEnd::kStopped, ""});
  }
  Respond(full);
  BOOST_TEST(!responds);
  RunFor(Millis(50));
  BOOST_REQUIRE(hold);
  BOOST_TEST(acknowledged == static_cast<std::int64_t>(kMaxListedEnds));
  List({});
  BOOST_TEST((responds == true));
}

// Guards against the loss of an end of a worker whose address has passed to
// another one: its list is still under way when that is found out.
BOOST_FIXTURE_TEST_CASE(ADepartureWaitsForAnEarlierList, RequestedList) {
  RespondWith(CallVerdict::kOtherWorker);
  fleet->RecordDeparture(kWorker, "test");
  fleet->RecordDeparture(kWorker, "test");
  RespondWith(CallVerdict::kOtherWorker);
  BOOST_TEST(!hold);
  ListEnd();
  RunFor(Millis(50));
  BOOST_TEST(replica->ledger().FindWorker(kWorker) == nullptr);
  BOOST_TEST((replica->ledger().FindJob(kRun.task.job)->state ==
              jobs::JobState::kCompleted));
}

// Guards against a worker that is removed although it responds.
BOOST_FIXTURE_TEST_CASE(AWorkerThatRespondsHasNotDeparted, RequestedList) {
  List({kRun});
  fleet->RecordDeparture(kWorker, "test");
  List({kRun});
  RunFor(Millis(50));
  BOOST_TEST(replica->ledger().FindWorker(kWorker) != nullptr);
}

// Guards against a wait for a list that does not come.
BOOST_FIXTURE_TEST_CASE(AnEarlierListIsAwaitedForALimitedTime, RequestedList) {
  Respond(Fail(ErrorCode::kTransport, "connection refused"));
  while (!responds) {
    RunFor(Millis(20));
    fleet->Tick(loop.now());
  }
  BOOST_TEST((responds == false));
}

/// A long-running job of two tasks: the start of one gets no response, the
/// other has no run.
struct UnansweredStart : Fixture {
  /// Stores the job and leaves its start without a response until a stop or a
  /// further start is due.
  /// \param evacuated whether the worker's zone is evacuated after the start.
  void Run(std::int64_t max_unavailable, bool evacuated = false) {
    List({});
    BOOST_REQUIRE(Store([&](jobs::Batch* batch) {
      jobs::Submission submission;
      submission.id = kRun.task.job;
      submission.queue = QueueName("q");
      jobs::StepSpec step;
      step.tasks = 2;
      step.request = {100, 1, 0};
      step.long_running = true;
      step.max_unavailable = max_unavailable;
      submission.spec.steps.push_back(step);
      batch->submissions.push_back(submission);
      batch->starts.push_back({kRun, kWorker});
    }));
    if (evacuated) {
      BOOST_REQUIRE(Store([](jobs::Batch* batch) {
        batch->zone_changes.push_back({ZoneName("z"), true});
      }));
    }
    while (starts < 3 && stops == 0) {
      RunFor(Millis(20));
      if (start)
        std::exchange(start, nullptr)(Fail(ErrorCode::kTimeout, "no response"));
      if (hold)
        List({});
      fleet->Tick(loop.now());
    }
  }
};

// Guards against the stop of a task that a late start has put to work while as
// many tasks of its step are unavailable as may be (the rule AVAIL).
BOOST_FIXTURE_TEST_CASE(AnUnansweredStartIsRepeatedWhereAStopIsNotAllowed,
                        UnansweredStart) {
  Run(1);
  BOOST_TEST(starts == 3);
  BOOST_TEST(stops == 0);
}

// Guards against a task that waits for the expiry of a lease although it could
// start elsewhere.
BOOST_FIXTURE_TEST_CASE(AnUnansweredStartIsStoppedWhereThatIsAllowed,
                        UnansweredStart) {
  Run(2);
  BOOST_TEST(starts == 2);
  BOOST_TEST(stops == 1);
}

// Guards against a start that is repeated in an evacuated zone, and against a
// run there that is never settled since the stop would break the availability
// limit: a second task of the step may be in the same state.
BOOST_FIXTURE_TEST_CASE(AnUnansweredStartIsGivenUpInAnEvacuatedZone,
                        UnansweredStart) {
  const TimePoint begun = loop.now();
  Run(1, true);
  BOOST_TEST(starts == 1);
  BOOST_TEST(stops == 1);
  BOOST_TEST((loop.now() - begun >= kMaxLateOrder));
}

// Guards against a wait for nothing where the stop is allowed.
BOOST_FIXTURE_TEST_CASE(AnUnansweredStartIsStoppedInAnEvacuatedZone,
                        UnansweredStart) {
  Run(2, true);
  BOOST_TEST(starts == 1);
  BOOST_TEST(stops == 1);
}

// Guards against a record for each incarnation that there ever was.
BOOST_FIXTURE_TEST_CASE(TheHealthOfAnEarlierIncarnationIsForgotten, Fixture) {
  List({});
  StoreStart();
  HoldResponse response;
  response.call.clock_ms = 500'000;
  response.ended.push_back({1, kRun, jobs::RunEnd::kFailed, ""});
  BOOST_REQUIRE(hold);
  std::exchange(hold, nullptr)(response);
  BOOST_TEST(fleet->health_records() == 1U);
  BOOST_REQUIRE(Store([this](jobs::Batch* batch) {
    jobs::WorkerRecord record =
        replica->ledger().FindCurrent(kWorker.id)->record;
    ++record.incarnation.start_time;
    batch->workers.push_back(record);
  }));
  RunFor(Millis(20));
  BOOST_TEST(fleet->health_records() == 0U);
}

// Guards against tasks that wait for each other for good: the runs of a worker
// that has restarted end with its first list, so that their tasks can start
// again, also while as many tasks of the step are unavailable as may be.
BOOST_FIXTURE_TEST_CASE(RunsOfAnEarlierIncarnationEndWithTheFirstList,
                        UnansweredStart) {
  List({});
  BOOST_REQUIRE(Store([&](jobs::Batch* batch) {
    jobs::Submission submission;
    submission.id = kRun.task.job;
    submission.queue = QueueName("q");
    jobs::StepSpec step;
    step.tasks = 2;
    step.request = {100, 1, 0};
    step.long_running = true;
    step.max_unavailable = 1;
    submission.spec.steps.push_back(step);
    batch->submissions.push_back(submission);
    batch->starts.push_back({kRun, kWorker});
  }));
  BOOST_REQUIRE(Store([&](jobs::Batch* batch) {
    jobs::WorkerRecord record =
        replica->ledger().FindCurrent(kWorker.id)->record;
    ++record.incarnation.start_time;
    batch->workers.push_back(record);
  }));
  RunFor(Millis(20));
  fleet->Tick(loop.now());
  BOOST_REQUIRE(replica->ledger().FindTask(kRun.task)->runs.size() == 1U);
  BOOST_REQUIRE(hold);
  List({});
  RunFor(Millis(20));
  BOOST_TEST(replica->ledger().FindTask(kRun.task)->runs.empty());
}

// Guards against a run that stays unsettled without a violation in the log, and
// against a violation with each check.
BOOST_FIXTURE_TEST_CASE(ARunPastTheBoundViolatesTheInvariantOnce, Fixture) {
  List({});
  StoreStart();
  int violations = 0;
  const InvariantHandler before =
      SetInvariantHandler([&](Invariant invariant, std::string_view) {
        violations += invariant == Invariant::kRunSettled ? 1 : 0;
      });
  // Ends that follow from expired leases are not stored: the loop does not run.
  const TimePoint start = loop.now();
  const Millis bound = SettlingBound(WorkerSessionOptions{});
  Millis at{0};
  for (; at < bound - Millis(500); at += Millis(500))
    fleet->Tick(start + at);
  BOOST_TEST(violations == 0);
  BOOST_TEST(fleet->settling().unsettled_runs() == 1U);
  for (; at < bound + Millis(12'000); at += Millis(500))
    fleet->Tick(start + at);
  (void)SetInvariantHandler(before);
  BOOST_TEST(violations == 1);
}

}  // namespace
}  // namespace boragewinch::scheduler
