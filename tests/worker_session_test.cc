#define BOOST_TEST_MODULE worker_session
#include <boost/test/unit_test.hpp>

#include <algorithm>

#include "ledger_builder.h"
#include "scheduler/worker_session.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;
using jobs::RunEnd;

const jobs::RunName kRun = LedgerBuilder::Run("job", 0, 0);

/// A worker with one run in the ledger, and the leader's session with it.
struct Fixture {
  Fixture() {
    builder.AddWorker("w").Submit("job", {LedgerBuilder::Tasks(1)});
    builder.Start(kRun, "w");
    session.Sync(worker(), RunPhase::kInherited, At(0));
  }

  static TimePoint At(std::int64_t millis) {
    return FromMillis(1'000 + millis);
  }
  [[nodiscard]] const jobs::Worker& worker() const {
    return *builder.ledger().FindWorker(LedgerBuilder::IncarnationOf("w"));
  }
  /// Requests a list at `sent` and receives the response at `now`.
  std::vector<jobs::EndRecord> List(std::int64_t sent,
                                    std::int64_t now,
                                    HoldResponse response) {
    session.OnHoldSent(At(sent));
    response.call.clock_ms = 500'000 + now;
    return session.OnHoldResponse(worker(), response, At(now),
                                  &unexpected_runs);
  }
  static HoldResponse Running(const jobs::RunName& run, int percent = 10) {
    HoldResponse response;
    response.running.push_back({run, "saved", percent});
    return response;
  }
  static Result<CallResponse> Verdict(CallVerdict verdict) {
    return CallResponse{verdict, 500'000};
  }

  LedgerBuilder builder;
  WorkerSession session{WorkerSessionOptions{}, At(0)};
  std::vector<jobs::RunName> unexpected_runs;
};

// Guards against a second start of a running task that an earlier leader
// started.
BOOST_FIXTURE_TEST_CASE(AnInheritedRunThatIsListedGoesOn, Fixture) {
  BOOST_TEST(List(0, 5, Running(kRun)).empty());
  BOOST_TEST((session.tracks().at(kRun).phase == RunPhase::kConfirmed));
}

// Guards against a task that waits forever because the earlier leader never
// sent its start.
BOOST_FIXTURE_TEST_CASE(AnInheritedRunThatIsNotListedIsLost, Fixture) {
  const auto ends = List(0, 5, {});
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST((ends[0].how == RunEnd::kLost));
}

// Guards against two runs of one task: a start without a response may be
// carried out seconds later, so a list without the run proves nothing.
BOOST_FIXTURE_TEST_CASE(AnUnansweredStartIsNotLostBecauseOfAList, Fixture) {
  session.OnStartSent(kRun, At(1));
  BOOST_TEST(
      !session.OnStartResponse(kRun, Fail(ErrorCode::kTimeout, ""), At(900)));
  BOOST_TEST(List(901, 905, {}).empty());
  // It is sent again once, then stopped.
  BOOST_TEST(session.StartsDue(At(1'200)).size() == 1U);
  session.OnStartSent(kRun, At(1'200));
  BOOST_TEST(
      !session.OnStartResponse(kRun, Fail(ErrorCode::kTimeout, ""), At(2'200)));
  BOOST_TEST(session.StartsDue(At(3'000)).empty());
  // It is stopped only if a list that was requested after it lacks it, too.
  BOOST_TEST(session.StopsDue(At(2'900)).empty());
  BOOST_TEST(List(2'901, 2'905, {}).empty());
  BOOST_TEST(session.StopsDue(At(3'000)).size() == 1U);
  session.OnStopSent(kRun, At(3'000));
  session.OnStopResponse(kRun, Verdict(CallVerdict::kDone), At(3'010));
  // A list requested before the stop was accepted proves nothing either.
  BOOST_TEST(List(3'005, 3'020, {}).empty());
  BOOST_TEST(List(3'021, 3'030, {}).size() == 1U);
}

// Guards against a second run of a task whose first start was reported as not
// sent but is carried out nevertheless.
BOOST_FIXTURE_TEST_CASE(AFailedConnectionLeavesTheStartUnknown, Fixture) {
  session.OnStartSent(kRun, At(1));
  BOOST_TEST(
      !session.OnStartResponse(kRun, Fail(ErrorCode::kTransport, ""), At(40)));
  BOOST_TEST(List(41, 45, {}).empty());
  BOOST_TEST(List(46, 50, Running(kRun)).empty());
  BOOST_TEST((session.tracks().at(kRun).phase == RunPhase::kConfirmed));
}

// Guards against a stop of a running long-running task: a leader that lacks CPU
// time reads the responses to both starts too late, but a list in time.
BOOST_FIXTURE_TEST_CASE(AListedRunIsNotStoppedForLateResponses, Fixture) {
  session.OnStartSent(kRun, At(1));
  BOOST_TEST(
      !session.OnStartResponse(kRun, Fail(ErrorCode::kTimeout, ""), At(401)));
  session.OnStartSent(kRun, At(501));
  BOOST_TEST(List(502, 800, Running(kRun)).empty());
  BOOST_TEST(
      !session.OnStartResponse(kRun, Fail(ErrorCode::kTimeout, ""), At(901)));
  BOOST_TEST((session.tracks().at(kRun).phase == RunPhase::kConfirmed));
  BOOST_TEST(session.StopsDue(At(1'500)).empty());
}

// Guards against a stop of a running task because the second copy of its start
// was rejected.
BOOST_FIXTURE_TEST_CASE(AListedRunIsNotStoppedForARejectedCopy, Fixture) {
  session.OnStartSent(kRun, At(1));
  session.OnStartSent(kRun, At(501));
  BOOST_TEST(List(502, 510, Running(kRun)).empty());
  BOOST_TEST(!session.OnStartResponse(kRun, Verdict(CallVerdict::kUnhealthy),
                                      At(512)));
  BOOST_TEST((session.tracks().at(kRun).phase == RunPhase::kConfirmed));
  BOOST_TEST(session.StopsDue(At(1'500)).empty());
}

// Guards against a stop of a running task that is first listed after both
// starts timed out.
BOOST_FIXTURE_TEST_CASE(AnUnansweredStartIsLookedForBeforeItIsStopped,
                        Fixture) {
  session.OnStartSent(kRun, At(1));
  session.OnStartSent(kRun, At(501));
  BOOST_TEST(
      !session.OnStartResponse(kRun, Fail(ErrorCode::kTimeout, ""), At(901)));
  // This list was requested before the second start.
  BOOST_TEST(List(500, 1'000, {}).empty());
  BOOST_TEST(session.StopsDue(At(1'500)).empty());
  BOOST_TEST(List(1'501, 1'505, Running(kRun)).empty());
  BOOST_TEST(session.StopsDue(At(2'000)).empty());
}

// Guards against a run that counts as rejected because the second copy of its
// start was: the first copy may still be carried out.
BOOST_FIXTURE_TEST_CASE(ARejectedSecondCopyIsNotARejectedRun, Fixture) {
  session.OnStartSent(kRun, At(1));
  BOOST_TEST(
      !session.OnStartResponse(kRun, Fail(ErrorCode::kTimeout, ""), At(900)));
  session.OnStartSent(kRun, At(1'200));
  BOOST_TEST(!session.OnStartResponse(
      kRun, Verdict(CallVerdict::kInsufficientCapacity), At(1'210)));
  BOOST_TEST(session.StopsDue(At(1'500)).size() == 1U);
}

// Guards against capacity that stays allocated to a rejected start.
BOOST_FIXTURE_TEST_CASE(ARejectedFirstStartEndsAtOnce, Fixture) {
  session.OnStartSent(kRun, At(1));
  const auto how = session.OnStartResponse(
      kRun, Verdict(CallVerdict::kInsufficientCapacity), At(5));
  BOOST_REQUIRE(how.has_value());
  BOOST_TEST((*how == RunEnd::kRejected));
}

// Guards against a confirmed run that is considered lost because of a list that
// was requested before its start.
BOOST_FIXTURE_TEST_CASE(AListFromBeforeTheStartProvesNothing, Fixture) {
  session.OnStartSent(kRun, At(1));
  session.OnHoldSent(At(2));
  BOOST_TEST(
      !session.OnStartResponse(kRun, Verdict(CallVerdict::kDone), At(4)));
  BOOST_TEST(
      session.OnHoldResponse(worker(), {}, At(6), &unexpected_runs).empty());
  BOOST_TEST(List(7, 9, {}).size() == 1U);
}

// Guards against a restart of a task that a partitioned worker may still run:
// its lease expires on its own clock, which may be slow.
BOOST_FIXTURE_TEST_CASE(RunsOfAnUnresponsiveWorkerEndWithItsLease, Fixture) {
  BOOST_TEST(List(0, 10, Running(kRun)).empty());
  session.OnGrant(*session.LeaseUntil());
  const std::int64_t lease = WorkerSessionOptions().lease.count();
  BOOST_TEST(
      session.ExpireLease(worker(), At(10 + lease + lease * 2 / 100)).empty());
  const auto ends =
      session.ExpireLease(worker(), At(10 + lease + lease * 5 / 100 + 300));
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST(ends[0].checkpoint == "saved");
}

// Guards against a new leader that ignores the leases of earlier leaders.
BOOST_FIXTURE_TEST_CASE(LeasesOfEarlierLeadersAreRespected, Fixture) {
  const std::int64_t lease = WorkerSessionOptions().lease.count();
  BOOST_TEST(session.ExpireLease(worker(), At(lease)).empty());
  BOOST_TEST(session.ExpireLease(worker(), At(lease * 2)).size() == 1U);
}

// Guards against runs that continue on a worker although the ledger does not
// have them.
BOOST_FIXTURE_TEST_CASE(RunsMissingFromTheLedgerAreReturned, Fixture) {
  const jobs::RunName other = LedgerBuilder::Run("other", 0, 0);
  HoldResponse response = Running(kRun);
  response.running.push_back({other, "", 5});
  BOOST_TEST(List(0, 5, response).empty());
  BOOST_REQUIRE(unexpected_runs.size() == 1U);
  BOOST_TEST((unexpected_runs[0] == other));
}

// Guards against a second run of a task that has ended: a list holds at most
// 500 ends, so the end of the run may be missing from it.
BOOST_FIXTURE_TEST_CASE(ARunMissingFromAFullListIsNotLost, Fixture) {
  HoldResponse response;
  for (std::size_t i = 0; i < kMaxListedEnds; ++i) {
    response.ended.push_back(
        {static_cast<std::int64_t>(i + 1),
         LedgerBuilder::Run("other", 0, static_cast<std::uint32_t>(i)),
         RunEnd::kDone, ""});
  }
  const auto lost = [](const std::vector<jobs::EndRecord>& ends) {
    return std::count_if(
        ends.begin(), ends.end(),
        [](const jobs::EndRecord& end) { return end.how == RunEnd::kLost; });
  };
  BOOST_TEST(lost(List(0, 5, response)) == 0);
  response.ended.pop_back();
  BOOST_TEST(lost(List(10, 15, response)) == 1);
}

// Guards against ends that are recorded again after they were stored.
BOOST_FIXTURE_TEST_CASE(StoredEndsAreNotRecordedAgain, Fixture) {
  HoldResponse response;
  response.ended.push_back({1, kRun, RunEnd::kDone, ""});
  BOOST_TEST(List(0, 5, response).size() == 1U);
  builder.End(kRun, "w", RunEnd::kDone, 1);
  session.Sync(worker(), RunPhase::kPlanned, At(6));
  BOOST_TEST(List(7, 9, response).empty());
}

// Guards against ends that are lost without a trace, and against one that is
// reported with each list.
BOOST_FIXTURE_TEST_CASE(EndsThatAWorkerHasForgottenAreFoundOnce, Fixture) {
  const auto list = [](std::vector<std::int64_t> numbers) {
    HoldResponse response;
    for (const std::int64_t number : numbers)
      response.ended.push_back({number, kRun, RunEnd::kDone, ""});
    return response;
  };
  BOOST_TEST(session.FindMissingEnds(worker(), list({1, 2})).empty());
  const auto missing = session.FindMissingEnds(worker(), list({2, 5, 6, 8}));
  BOOST_REQUIRE(missing.size() == 2U);
  BOOST_TEST((missing[0].first == 3 && missing[0].last == 4));
  BOOST_TEST((missing[1].first == 7 && missing[1].last == 7));
  BOOST_TEST(session.FindMissingEnds(worker(), list({5, 6, 8})).empty());
}

// Guards against a new leader that takes ends which an earlier one has stored
// for lost ones.
BOOST_FIXTURE_TEST_CASE(StoredEndsAreNotMissing, Fixture) {
  builder.End(kRun, "w", RunEnd::kDone, 5);
  HoldResponse response;
  response.ended.push_back({6, kRun, RunEnd::kDone, ""});
  BOOST_TEST(session.FindMissingEnds(worker(), response).empty());
}

// Guards against starts on a worker that no longer responds.
BOOST_FIXTURE_TEST_CASE(AnUnresponsiveWorkerGetsNoNewWork, Fixture) {
  BOOST_TEST(!session.Reachable(At(0)));
  BOOST_TEST(List(0, 5, Running(kRun)).empty());
  BOOST_TEST(session.Reachable(At(100)));
  session.OnHoldFailed(At(200));
  BOOST_TEST(!session.Reachable(At(200)));
}

// Guards against further starts on an unresponsive worker: a hold call shows it
// only after more than a second, a start without a response after 200 ms.
BOOST_FIXTURE_TEST_CASE(AnUnansweredStartDelaysFurtherOnes, Fixture) {
  (void)List(0, 5, {});
  session.OnStartSent(kRun, At(10));
  BOOST_TEST(session.Reachable(At(150)));
  BOOST_TEST(!session.Reachable(At(210)));
  // Any later response shows that the worker is up; the start may be delayed.
  (void)List(20, 220, {});
  BOOST_TEST(session.Reachable(At(230)));
}

// Guards against two runs of one task: a list that arrives between storing a
// run and sending its start lacks the run, which proves nothing. Under load the
// two are milliseconds apart.
BOOST_FIXTURE_TEST_CASE(ARunWhoseStartIsAboutToBeSentIsNotLost, Fixture) {
  const jobs::RunName next = LedgerBuilder::Run("next", 0, 0);
  builder.Submit("next", {LedgerBuilder::Tasks(1)}).Start(next, "w");
  session.Sync(worker(), RunPhase::kPlanned, At(100));
  const auto ends = List(90, 105, Running(kRun));
  BOOST_TEST(ends.empty());
  // It is sent later if the leader lease was not confirmed at that moment.
  BOOST_TEST(session.StartsDue(At(150)).empty());
  BOOST_TEST(session.StartsDue(At(250)).size() == 1U);
}

/// A worker that has restarted under its id: its newer incarnation has taken
/// over the run in the ledger.
struct NewerIncarnation : Fixture {
  NewerIncarnation() {
    jobs::WorkerRecord record = worker().record;
    record.incarnation = incarnation;
    jobs::Batch batch;
    batch.workers = {record};
    builder.Apply(batch);
  }
  [[nodiscard]] const jobs::Worker& newer_worker() const {
    return *builder.ledger().FindWorker(incarnation);
  }
  std::vector<jobs::EndRecord> ListNewer(std::int64_t sent, std::int64_t now) {
    newer_session.OnHoldSent(At(sent));
    HoldResponse response;
    response.call.clock_ms = now;
    return newer_session.OnHoldResponse(newer_worker(), response, At(now),
                                        &unexpected_runs);
  }

  jobs::WorkerIncarnation incarnation = LedgerBuilder::IncarnationOf("w", 2);
  /// The leader has led for a minute when the newer incarnation registers.
  WorkerSession newer_session{WorkerSessionOptions{}, At(-60'000)};
};

// Guards against two runs of one task: a start for the older incarnation may
// arrive at the newer one until that has received its own token, which only a
// list proves; a response to another order does not say whose it is.
BOOST_FIXTURE_TEST_CASE(ARunOfAnOlderIncarnationIsSettledByTheFirstList,
                        NewerIncarnation) {
  newer_session.Sync(newer_worker(), RunPhase::kPlanned, At(0));
  BOOST_TEST(newer_session.StartsDue(At(5'000)).empty());
  BOOST_TEST(newer_session.RequestStop(kRun));
  BOOST_REQUIRE(newer_session.StopsDue(At(0)).size() == 1U);
  newer_session.OnStopSent(kRun, At(0));
  newer_session.OnStopResponse(kRun, CallResponse{CallVerdict::kDone, 4},
                               At(4));
  BOOST_TEST(!newer_session.LeaseUntil());
  BOOST_TEST(!newer_session.Reachable(At(4)));
  BOOST_TEST(newer_session.ExpireLease(newer_worker(), At(4)).empty());
  const auto ends = ListNewer(5, 8);
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST((ends[0].worker == incarnation));
  BOOST_TEST((ends[0].how == RunEnd::kLost));
}

// Guards against a stop of a run that the newer incarnation has started on a
// late order: it is the only run of its task.
BOOST_FIXTURE_TEST_CASE(ARunOfAnOlderIncarnationThatIsListedGoesOn,
                        NewerIncarnation) {
  newer_session.Sync(newer_worker(), RunPhase::kPlanned, At(0));
  newer_session.OnHoldSent(At(1));
  HoldResponse response = Running(kRun);
  response.call.clock_ms = 3;
  BOOST_TEST(
      newer_session
          .OnHoldResponse(newer_worker(), response, At(3), &unexpected_runs)
          .empty());
  BOOST_TEST((newer_session.tracks().at(kRun).phase == RunPhase::kConfirmed));
  BOOST_TEST(newer_session.StopsDue(At(5'000)).empty());
  BOOST_TEST(!newer_session.HasUnsettledRuns());
}

// Guards against a second run beside one that a late order has started: the
// newer incarnation lists an earlier run of the task, which has to end first.
BOOST_FIXTURE_TEST_CASE(ATaskWaitsForAnEarlierRunOnTheNewerIncarnation,
                        NewerIncarnation) {
  const jobs::RunName second = LedgerBuilder::Run("job", 0, 0, 2);
  jobs::Batch batch;
  batch.ends.push_back({kRun, incarnation, RunEnd::kLost, "", 0});
  batch.starts.push_back({second, incarnation});
  builder.Apply(batch);
  newer_session.Sync(newer_worker(), RunPhase::kInherited, At(0));
  const auto list = [&](HoldResponse response, std::int64_t now) {
    newer_session.OnHoldSent(At(now));
    response.call.clock_ms = now;
    return newer_session.OnHoldResponse(newer_worker(), response, At(now),
                                        &unexpected_runs);
  };
  BOOST_TEST(list(Running(kRun), 5).empty());
  BOOST_TEST((unexpected_runs == std::vector<jobs::RunName>{kRun}));
  BOOST_TEST(newer_session.HasUnsettledRuns());
  BOOST_TEST(list({}, 10).size() == 1U);
}

// Guards against holds that follow each other without a pause where the worker
// refuses connections, and against a restarted one that is asked too rarely.
BOOST_FIXTURE_TEST_CASE(TheFirstHoldsOfARestartedWorkerAreRepeatedSoon,
                        NewerIncarnation) {
  const WorkerSessionOptions options;
  newer_session = WorkerSession{options, At(-60'000), At(0)};
  newer_session.Sync(newer_worker(), RunPhase::kPlanned, At(0));
  std::int64_t now = 0;
  for (const std::int64_t timeout : {100, 200, 400, 800, 900, 900}) {
    BOOST_REQUIRE(newer_session.HoldDue(At(now)));
    BOOST_TEST(
        newer_session.PrepareHold(newer_worker(), At(now)).timeout.count() ==
        timeout);
    newer_session.OnHoldFailed(At(now + 1));
    BOOST_TEST(!newer_session.HoldDue(At(now + timeout - 1)));
    now += timeout;
  }
  const std::int64_t late = options.max_late_order.count();
  BOOST_TEST(newer_session.PrepareHold(newer_worker(), At(late)).timeout ==
             options.hold_timeout);
}

// Guards against an acknowledgement that a later incarnation of the worker
// carries out: it is sent only straight after a list that needs it.
BOOST_FIXTURE_TEST_CASE(EndsAreAcknowledgedOnlyAfterAList, Fixture) {
  HoldResponse response;
  response.ended.push_back({7, kRun, RunEnd::kDone, ""});
  BOOST_TEST(session.PrepareHold(worker(), At(0)).last_end_sequence == 0);
  BOOST_TEST(List(0, 5, response).size() == 1U);
  builder.End(kRun, "w", RunEnd::kDone, 7);
  BOOST_TEST(session.PrepareHold(worker(), At(50)).last_end_sequence == 7);
  session.OnHoldFailed(At(2'000));
  BOOST_TEST(session.PrepareHold(worker(), At(2'300)).last_end_sequence == 0);
  BOOST_TEST(List(2'300, 2'305, response).empty());
  BOOST_TEST(session.PrepareHold(worker(), At(2'350)).last_end_sequence == 7);
  BOOST_TEST(List(2'350, 2'355, {}).empty());
  BOOST_TEST(session.PrepareHold(worker(), At(2'400)).last_end_sequence == 0);
}

// Guards against an acknowledgement that reaches the next incarnation, which
// has just responded to a start.
BOOST_FIXTURE_TEST_CASE(NothingIsAcknowledgedToAnotherIncarnation, Fixture) {
  HoldResponse response;
  response.ended.push_back({7, kRun, RunEnd::kDone, ""});
  (void)List(0, 5, response);
  builder.End(kRun, "w", RunEnd::kDone, 7);
  session.OnOtherIncarnation(At(20));
  BOOST_TEST(session.PrepareHold(worker(), At(50)).last_end_sequence == 0);
}

// Guards against two runs of one task if the newer incarnation does not
// respond: with an order for the older one it may accept the maximum lease,
// since the clocks differ.
BOOST_FIXTURE_TEST_CASE(ARunOfAnOlderIncarnationEndsAfterTheMaximumLease,
                        NewerIncarnation) {
  const WorkerSessionOptions options;
  BOOST_REQUIRE(options.max_lease > options.lease);
  for (const RunPhase added : {RunPhase::kPlanned, RunPhase::kInherited}) {
    newer_session =
        WorkerSession{options, At(added == RunPhase::kPlanned ? -60'000 : 0)};
    newer_session.Sync(newer_worker(), added, At(0));
    const std::int64_t max_lease = options.max_lease.count();
    BOOST_TEST(newer_session.ExpireLease(newer_worker(), At(0)).empty());
    BOOST_TEST(
        newer_session.ExpireLease(newer_worker(), At(max_lease)).empty());
    BOOST_TEST(newer_session.ExpireLease(newer_worker(), At(max_lease * 5 / 4))
                   .size() == 1U);
  }
}

/// A worker that has restarted under its id and accepted a run since.
struct RestartedWorker : NewerIncarnation {
  /// Lets the worker respond at `responds` and accept a lease, then only be
  /// silent. \returns the time at which its runs count as over.
  [[nodiscard]] static std::int64_t ExpiryOf(WorkerSession session,
                                             const jobs::Worker& worker,
                                             std::int64_t responds = 0) {
    session.Sync(worker, RunPhase::kPlanned, At(0));
    session.OnHoldSent(At(responds));
    HoldResponse response;
    response.call.clock_ms = 100 + responds;
    std::vector<jobs::RunName> unexpected_runs;
    (void)session.OnHoldResponse(worker, response, At(responds),
                                 &unexpected_runs);
    session.OnGrant(*session.LeaseUntil());
    session.OnStartSent(kNewRun, At(responds));
    (void)session.OnStartResponse(kNewRun, Verdict(CallVerdict::kDone),
                                  At(responds));
    std::int64_t expiry = 0;
    while (session.ExpireLease(worker, At(expiry)).empty())
      expiry += 10;
    return expiry;
  }

  /// The restarted worker with only a run of its own.
  [[nodiscard]] const jobs::Worker& restarted() {
    builder.End(kRun, "w", RunEnd::kLost);
    jobs::Batch batch;
    batch.ends.push_back({kRun, incarnation, RunEnd::kLost, "", 0});
    batch.starts.push_back({kNewRun, incarnation});
    builder.Apply(batch);
    BOOST_REQUIRE(newer_worker().runs.size() == 1U);
    BOOST_REQUIRE(newer_worker().inherited.empty());
    return newer_worker();
  }

  static inline const jobs::RunName kNewRun =
      LedgerBuilder::Run("job", 0, 0, 2);
  const WorkerSessionOptions options;
};

// Guards against two runs of one task: a worker that has restarted under its id
// and is cut off goes on with what it runs for the maximum lease, as an order
// for its earlier incarnation has reached it.
// From its first response on it ignores such orders.
BOOST_FIXTURE_TEST_CASE(RunsOfARestartedWorkerEndAfterTheMaximumLease,
                        RestartedWorker) {
  const jobs::Worker& worker = restarted();
  for (const std::int64_t responds : {0, 4'000, 12'000}) {
    const std::int64_t expiry =
        ExpiryOf({options, At(-60'000), At(0)}, worker, responds);
    BOOST_TEST(expiry >= responds + options.max_lease.count());
    BOOST_TEST(expiry <= responds + options.max_lease.count() * 5 / 4);
  }
}

// Guards against two runs of one task on a restarted worker that has never
// responded: it may carry out an order for its earlier incarnation late, and
// run under the lease in it.
BOOST_FIXTURE_TEST_CASE(ARestartedWorkerMayCarryOutAnOrderLate,
                        NewerIncarnation) {
  const WorkerSessionOptions options;
  newer_session = WorkerSession{options, At(-60'000), At(0)};
  newer_session.Sync(newer_worker(), RunPhase::kPlanned, At(0));
  const std::int64_t longest =
      (options.max_late_order + options.max_lease).count();
  BOOST_TEST(newer_session.ExpireLease(newer_worker(), At(longest)).empty());
  BOOST_TEST(
      newer_session.ExpireLease(newer_worker(), At(longest * 5 / 4)).size() ==
      1U);
}

// Guards against work of lost workers that waits for the maximum lease although
// no order for an earlier incarnation can reach them.
BOOST_FIXTURE_TEST_CASE(OtherRunsEndWithTheLeaseThatWasGranted,
                        RestartedWorker) {
  const std::int64_t lease = options.lease.count();
  const jobs::Worker& worker = restarted();
  BOOST_TEST(ExpiryOf({options, At(-60'000)}, worker) <= lease * 5 / 4);
  BOOST_TEST(ExpiryOf({options, At(-60'000), At(-20'000)}, worker) <=
             lease * 5 / 4);
}

// Guards against two runs of one task: the start gets no response, as the
// worker has restarted, and is carried out by the new incarnation, which is cut
// off before it reports.
BOOST_FIXTURE_TEST_CASE(AnUnansweredStartMayReachALaterIncarnation, Fixture) {
  const WorkerSessionOptions options;
  const jobs::RunName answered = LedgerBuilder::Run("other", 0, 0);
  builder.Submit("other", {LedgerBuilder::Tasks(1)}).Start(answered, "w");
  session = WorkerSession{options, At(-60'000)};
  session.Sync(worker(), RunPhase::kPlanned, At(0));
  (void)List(0, 5, {});
  session.OnGrant(*session.LeaseUntil());
  session.OnStartSent(answered, At(5));
  BOOST_TEST(
      !session.OnStartResponse(answered, Verdict(CallVerdict::kDone), At(10)));
  session.OnStartSent(kRun, At(10));
  BOOST_TEST(
      !session.OnStartResponse(kRun, Fail(ErrorCode::kTimeout, ""), At(410)));
  const auto ends = session.ExpireLease(worker(), At(6'000));
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST((ends[0].run == answered));
  builder.End(answered, "w", RunEnd::kLost);
  const std::int64_t longest =
      10 + (options.max_order_delay + options.max_lease).count();
  BOOST_TEST(session.ExpireLease(worker(), At(longest)).empty());
  BOOST_TEST(session.ExpireLease(worker(), At(longest * 5 / 4)).size() == 1U);
}

// Guards against a new leader that does not know of the restart, or that relies
// on equal clocks.
BOOST_FIXTURE_TEST_CASE(TheTimeOfARestartIsKnownToTheNextLeader,
                        RestartedWorker) {
  jobs::Worker worker = newer_worker();
  const jobs::UnixMillis joined = worker.succeeded;
  BOOST_REQUIRE(joined > 0);
  const auto succeeded = [&](RunPhase added, std::int64_t wall_time) {
    return SuccessionTime(worker, added, wall_time, At(0));
  };
  BOOST_TEST((succeeded(RunPhase::kPlanned, joined + 60'000) == At(0)));
  BOOST_TEST((succeeded(RunPhase::kInherited, joined) == At(0)));
  BOOST_TEST((succeeded(RunPhase::kInherited, joined - 5'000) == At(0)));
  BOOST_TEST((succeeded(RunPhase::kInherited, joined + 60'000) == At(-50'000)));
  worker.succeeded = 0;
  BOOST_TEST(!succeeded(RunPhase::kInherited, joined).has_value());
}

// Guards against a new leader that stops, and so restarts, a run which the
// newer incarnation may have started: its list decides.
BOOST_FIXTURE_TEST_CASE(AnInheritedRunOfAnOlderIncarnationIsSettledByAList,
                        NewerIncarnation) {
  newer_session.Sync(newer_worker(), RunPhase::kInherited, At(0));
  BOOST_TEST(newer_session.StopsDue(At(0)).empty());
  BOOST_TEST(ListNewer(1, 3).size() == 1U);
}

// Guards against two runs of one task: a start that a newer incarnation of the
// worker accepts, whose clock has restarted, must not count as accepted by the
// older one.
BOOST_FIXTURE_TEST_CASE(ARestartedClockShowsAnotherIncarnation, Fixture) {
  BOOST_TEST(List(0, 5, Running(kRun)).empty());
  BOOST_TEST(session.Reachable(At(10)));
  session.OnStartSent(kRun, At(10));
  BOOST_TEST(!session.OnStartResponse(
      kRun, CallResponse{CallVerdict::kDone, 700}, At(14)));
  BOOST_TEST((session.tracks().at(kRun).phase == RunPhase::kOutcomeUnknown));
  BOOST_TEST(!session.Reachable(At(14)));
  // No call extends leases at the newer incarnation, whose runs are not known.
  BOOST_TEST(!session.LeaseUntil());
  BOOST_TEST(session.StartsDue(At(5'000)).empty());
  const std::int64_t max_lease = WorkerSessionOptions().max_lease.count();
  BOOST_TEST(session.ExpireLease(worker(), At(14 + max_lease)).empty());
  BOOST_TEST(session.ExpireLease(worker(), At(14 + max_lease * 5 / 4)).size() ==
             1U);
}

// Guards against reordered responses that count as those of another
// incarnation.
BOOST_FIXTURE_TEST_CASE(AReorderedResponseIsNoOtherIncarnation, Fixture) {
  BOOST_TEST(List(0, 2'000, Running(kRun)).empty());
  session.OnStartSent(kRun, At(10));
  BOOST_TEST(!session.OnStartResponse(
      kRun, CallResponse{CallVerdict::kDone, 500'000}, At(2'010)));
  BOOST_TEST((session.tracks().at(kRun).phase == RunPhase::kConfirmed));
  BOOST_TEST(session.LeaseUntil().has_value());
}

}  // namespace
}  // namespace boragewinch::scheduler
