#define BOOST_TEST_MODULE run_settling
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

#include "ledger_builder.h"
#include "scheduler/settling_monitor.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

const jobs::RunName kRun = LedgerBuilder::Run("job", 0, 0);

/// A worker that responds, with one run that this leader has stored.
struct Fixture {
  Fixture() {
    builder.AddWorker("w").Submit("job", {LedgerBuilder::Tasks(1)});
    session.Sync(worker(), RunPhase::kInherited, At(0));
    (void)List(0, 5, {});
    builder.Start(kRun, "w");
    session.Sync(worker(), RunPhase::kPlanned, At(9));
  }

  static TimePoint At(std::int64_t millis) {
    return FromMillis(1'000 + millis);
  }
  [[nodiscard]] const jobs::Worker& worker() const {
    return *builder.ledger().FindWorker(incarnation);
  }
  std::vector<jobs::EndRecord> List(std::int64_t sent,
                                    std::int64_t now,
                                    const std::vector<jobs::RunName>& running) {
    session.OnHoldSent(At(sent));
    return Respond(now, running);
  }
  std::vector<jobs::EndRecord> Respond(
      std::int64_t now,
      const std::vector<jobs::RunName>& running) {
    HoldResponse response;
    response.call.clock_ms = 500'000 + now;
    for (const jobs::RunName& run : running)
      response.running.push_back({run, "", 10});
    unexpected_runs.clear();
    return session.OnHoldResponse(worker(), response, At(now),
                                  &unexpected_runs);
  }
  void LoseStart(std::int64_t sent, std::int64_t now) {
    session.OnStartSent(kRun, At(sent));
    (void)session.OnStartResponse(kRun, Fail(ErrorCode::kTimeout, ""), At(now));
  }
  void AcceptStop(std::int64_t sent, std::int64_t now) {
    session.OnStopSent(kRun, At(sent));
    session.OnStopResponse(
        kRun, CallResponse{CallVerdict::kDone, 500'000 + now}, At(now));
  }

  LedgerBuilder builder;
  const jobs::WorkerIncarnation incarnation = LedgerBuilder::IncarnationOf("w");
  WorkerSession session{WorkerSessionOptions{}, At(0)};
  std::vector<jobs::RunName> unexpected_runs;
};

// Guards against a run that is never settled because each repetition of its
// stop resets the time from which a list counts.
BOOST_FIXTURE_TEST_CASE(ARepeatedStopKeepsTheTimeOfTheFirst, Fixture) {
  const WorkerSession initial = session;
  for (const bool repetition_responds : {false, true}) {
    session = initial;
    LoseStart(10, 410);
    LoseStart(510, 910);
    AcceptStop(1'000, 1'005);
    session.OnHoldSent(At(2'000));
    BOOST_TEST(session.StopsDue(At(3'005)).size() == 1U);
    if (repetition_responds)
      AcceptStop(3'005, 3'006);
    else
      session.OnStopSent(kRun, At(3'005));
    BOOST_TEST(Respond(3'007, {}).size() == 1U);
  }
}

// Guards against a run whose accepted stop is forgotten because its repetition
// gets no response.
BOOST_FIXTURE_TEST_CASE(ALostRepetitionKeepsTheAcceptedStop, Fixture) {
  LoseStart(10, 410);
  AcceptStop(1'000, 1'005);
  session.OnStopSent(kRun, At(3'005));
  session.OnStopResponse(kRun, Fail(ErrorCode::kTimeout, ""), At(3'405));
  BOOST_TEST((session.tracks().at(kRun).phase == RunPhase::kStopped));
  BOOST_TEST(List(3'406, 3'410, {}).size() == 1U);
}

// Guards against a stop whose response is ignored because a late response to
// the start has arrived before it.
BOOST_FIXTURE_TEST_CASE(ALateResponseToTheStartLeavesTheStop, Fixture) {
  session.OnStartSent(kRun, At(10));
  BOOST_TEST(session.RequestStop(kRun));
  session.OnStopSent(kRun, At(20));
  (void)session.OnStartResponse(
      kRun, CallResponse{CallVerdict::kStale, 500'030}, At(30));
  session.OnStopResponse(kRun, CallResponse{CallVerdict::kDone, 500'040},
                         At(40));
  BOOST_TEST((session.tracks().at(kRun).phase == RunPhase::kStopped));
  BOOST_TEST(session.StopsDue(At(50)).empty());
}

// Guards against a run that is not settled although the worker had accepted it
// and lists it no more, because a stop got no response.
BOOST_FIXTURE_TEST_CASE(ALostStopLeavesTheProofOfAnAcceptedStart, Fixture) {
  session.OnStartSent(kRun, At(10));
  (void)session.OnStartResponse(kRun, CallResponse{CallVerdict::kDone, 500'015},
                                At(15));
  BOOST_TEST(session.RequestStop(kRun));
  session.OnStopSent(kRun, At(20));
  BOOST_TEST(List(21, 25, {}).size() == 1U);
  session.OnStopResponse(kRun, Fail(ErrorCode::kTimeout, ""), At(420));
  BOOST_TEST(List(421, 425, {}).size() == 1U);
}

// Guards against an inherited run that is not settled by a list under the token
// of this leader because a stop was sent.
BOOST_FIXTURE_TEST_CASE(ALostStopLeavesTheProofOfAnInheritedRun, Fixture) {
  session = WorkerSession{WorkerSessionOptions{}, At(0)};
  session.Sync(worker(), RunPhase::kInherited, At(10));
  BOOST_TEST(session.RequestStop(kRun));
  session.OnStopSent(kRun, At(20));
  session.OnStopResponse(kRun, Fail(ErrorCode::kTimeout, ""), At(420));
  BOOST_TEST(List(421, 425, {}).size() == 1U);
}

// Guards against two runs of one task: a list that was requested before the
// worker accepted the stop may have overtaken a late start.
BOOST_FIXTURE_TEST_CASE(AListFromBeforeTheStopProvesNothing, Fixture) {
  LoseStart(10, 410);
  session.OnHoldSent(At(1'004));
  AcceptStop(1'000, 1'005);
  BOOST_TEST(Respond(1'010, {}).empty());
  // The next list does not wait for an end.
  BOOST_TEST(session.PrepareHold(worker(), At(1'050)).wait == Millis(0));
  BOOST_TEST(Respond(1'055, {}).size() == 1U);
}

// Guards against lists without a wait for as long as a stopped run takes to
// end.
BOOST_FIXTURE_TEST_CASE(AStoppedRunThatIsListedNeedsNoFurtherLists, Fixture) {
  session.OnStartSent(kRun, At(10));
  (void)session.OnStartResponse(kRun, CallResponse{CallVerdict::kDone, 500'012},
                                At(12));
  AcceptStop(1'000, 1'005);
  BOOST_TEST(session.HasUnsettledRuns());
  BOOST_TEST(List(1'006, 1'010, {kRun}).empty());
  BOOST_TEST(!session.HasUnsettledRuns());
}

// Guards against a start that is repeated for ever in place of a stop.
BOOST_FIXTURE_TEST_CASE(AStartIsNotRepeatedForEver, Fixture) {
  std::int64_t now = 10;
  int starts = 0;
  for (; starts < 100; ++starts) {
    if (starts > 0 && !session.MayRepeatStart(kRun))
      break;
    LoseStart(now, now + 400);
    BOOST_TEST(List(now + 401, now + 405, {}).empty());
    now += 500;
  }
  BOOST_TEST(starts > 2);
  BOOST_TEST(starts < 10);
  BOOST_TEST(session.StopsDue(At(now)).size() == 1U);
}

// Guards against an unexpected run whose only stop is lost, and against a stop
// with each of the lists that follow each other within 40 ms.
BOOST_FIXTURE_TEST_CASE(TheStopOfAnUnexpectedRunIsRepeated, Fixture) {
  const jobs::RunName other = LedgerBuilder::Run("job", 0, 0, 2);
  int stops = 0;
  for (std::int64_t now = 100; now < 4'100; now += 50) {
    (void)List(now, now + 5, {kRun, other});
    stops += static_cast<int>(unexpected_runs.size());
  }
  BOOST_TEST(stops == 10);
  BOOST_TEST((session.GapOf(kRun, session.tracks().at(kRun), At(4'100)) ==
              ProofGap::kOtherRun));
}

// Guards against a run that is stuck without a line in the log, and against a
// log that is filled by it.
BOOST_FIXTURE_TEST_CASE(AnOverdueRunIsReportedEveryFiveSeconds, Fixture) {
  const WorkerSessionOptions options;
  SettlingMonitor monitor(SettlingBound(options));
  session.OnStartSent(kRun, At(10));
  const std::int64_t bound = monitor.bound().count();
  std::vector<OverdueRun> reports;
  for (std::int64_t now = 10; now <= bound + 12'000; now += 100) {
    for (const OverdueRun& report :
         monitor.Observe(incarnation, session, At(now))) {
      BOOST_TEST(now > bound + 10);
      reports.push_back(report);
    }
  }
  BOOST_REQUIRE(reports.size() == 3U);
  BOOST_TEST(reports[0].first);
  BOOST_TEST(!reports[1].first);
  BOOST_TEST((reports[0].gap == ProofGap::kLease));
  BOOST_TEST(monitor.unsettled_runs() == 1U);
  BOOST_TEST(monitor.OldestAge(At(1'010)).count() == 1'000);
}

// Guards against gauges that keep runs that are settled.
BOOST_FIXTURE_TEST_CASE(ASettledRunIsNotCounted, Fixture) {
  SettlingMonitor monitor(SettlingBound(WorkerSessionOptions{}));
  session.OnStartSent(kRun, At(10));
  BOOST_TEST(monitor.Observe(incarnation, session, At(10)).empty());
  BOOST_TEST(monitor.unsettled_runs() == 1U);
  (void)List(11, 15, {kRun});
  BOOST_TEST(monitor.Observe(incarnation, session, At(20)).empty());
  BOOST_TEST(monitor.unsettled_runs() == 0U);
  BOOST_TEST(monitor.OldestAge(At(20)).count() == 0);
}

// Guards against a bound that is exceeded in the ordinary case of a worker that
// is silent: every lease ends within it.
BOOST_FIXTURE_TEST_CASE(TheLeaseOfASilentWorkerEndsWithinTheBound, Fixture) {
  LoseStart(10, 410);
  session.OnGrant(*session.LeaseUntil());
  const std::int64_t bound = SettlingBound(WorkerSessionOptions{}).count();
  BOOST_TEST(session.ExpireLease(worker(), At(9 + bound)).size() == 1U);
}

}  // namespace
}  // namespace boragewinch::scheduler
