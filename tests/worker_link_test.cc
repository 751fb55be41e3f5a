#define BOOST_TEST_MODULE worker_link
#include <boost/test/unit_test.hpp>

#include "ledger_builder.h"
#include "scheduler/worker_link.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;
using jobs::RunEnd;

const jobs::RunName kRun = LedgerBuilder::Run("job", 0, 0);

/// A worker with one run that the ledger has, and the leader's link to it.
struct Fixture {
  Fixture() {
    builder.AddWorker("w").Submit("job", {LedgerBuilder::Tasks(1)});
    builder.Start(kRun, "w");
    link.Sync(worker(), RunPhase::kInherited, At(0));
  }

  static TimePoint At(std::int64_t millis) {
    return FromMillis(1'000 + millis);
  }
  [[nodiscard]] const jobs::Worker& worker() const {
    return *builder.ledger().FindWorker(LedgerBuilder::Life("w"));
  }
  /// Sends a list request at `sent` and gets the answer at `now`.
  std::vector<jobs::EndNote> List(std::int64_t sent,
                                  std::int64_t now,
                                  HoldAnswer answer) {
    link.OnHoldSent(At(sent));
    answer.call.clock_ms = 500'000 + now;
    return link.OnHoldAnswer(worker(), answer, At(now), &strays);
  }
  static HoldAnswer Running(const jobs::RunName& run, int percent = 10) {
    HoldAnswer answer;
    answer.running.push_back({run, "saved", percent});
    return answer;
  }
  static Result<CallAnswer> Verdict(CallVerdict verdict) {
    return CallAnswer{verdict, 500'000};
  }

  LedgerBuilder builder;
  WorkerLink link{WorkerLinkOptions{}, At(0)};
  std::vector<jobs::RunName> strays;
};

// Guards against a second start of a task that an earlier leader has started
// and that still runs.
BOOST_FIXTURE_TEST_CASE(AnInheritedRunThatIsListedGoesOn, Fixture) {
  BOOST_TEST(List(0, 5, Running(kRun)).empty());
  BOOST_TEST((link.tracks().at(kRun).phase == RunPhase::kConfirmed));
}

// Guards against a task that waits for ever because its start was never sent.
BOOST_FIXTURE_TEST_CASE(AnInheritedRunThatIsNotListedIsLost, Fixture) {
  const auto ends = List(0, 5, {});
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST((ends[0].how == RunEnd::kLost));
}

// Guards against two runs of one task: a start without an answer may be
// carried out seconds later, so a list without the run proves nothing.
BOOST_FIXTURE_TEST_CASE(AnUnansweredStartIsNotLostByAList, Fixture) {
  link.OnStartSent(kRun, At(1));
  BOOST_TEST(!link.OnStartAnswer(kRun, Fail(ErrorCode::kTimeout, ""), At(900)));
  BOOST_TEST(List(901, 905, {}).empty());
  // It is sent again once, then stopped.
  BOOST_TEST(link.StartsDue(At(1'200)).size() == 1U);
  link.OnStartSent(kRun, At(1'200));
  BOOST_TEST(
      !link.OnStartAnswer(kRun, Fail(ErrorCode::kTimeout, ""), At(2'200)));
  BOOST_TEST(link.StartsDue(At(3'000)).empty());
  // It is stopped only if a list that was asked for after it lacks it, too.
  BOOST_TEST(link.StopsDue(At(2'900)).empty());
  BOOST_TEST(List(2'901, 2'905, {}).empty());
  BOOST_TEST(link.StopsDue(At(3'000)).size() == 1U);
  link.OnStopSent(kRun, At(3'000));
  link.OnStopAnswer(kRun, Verdict(CallVerdict::kDone), At(3'010));
  // A list that was asked for before the stop was taken proves nothing either.
  BOOST_TEST(List(3'005, 3'020, {}).empty());
  BOOST_TEST(List(3'021, 3'030, {}).size() == 1U);
}

// Guards against a second run of a task whose first start is said not to have
// been sent and is carried out all the same.
BOOST_FIXTURE_TEST_CASE(AFailedConnectionLeavesTheStartOpen, Fixture) {
  link.OnStartSent(kRun, At(1));
  BOOST_TEST(
      !link.OnStartAnswer(kRun, Fail(ErrorCode::kTransport, ""), At(40)));
  BOOST_TEST(List(41, 45, {}).empty());
  BOOST_TEST(List(46, 50, Running(kRun)).empty());
  BOOST_TEST((link.tracks().at(kRun).phase == RunPhase::kConfirmed));
}

// Guards against a stop of a long-running task at work: a leader without
// processor time reads the answers to both starts too late, but a list in time.
BOOST_FIXTURE_TEST_CASE(AListedRunIsNotStoppedForLateAnswers, Fixture) {
  link.OnStartSent(kRun, At(1));
  BOOST_TEST(!link.OnStartAnswer(kRun, Fail(ErrorCode::kTimeout, ""), At(401)));
  link.OnStartSent(kRun, At(501));
  BOOST_TEST(List(502, 800, Running(kRun)).empty());
  BOOST_TEST(!link.OnStartAnswer(kRun, Fail(ErrorCode::kTimeout, ""), At(901)));
  BOOST_TEST((link.tracks().at(kRun).phase == RunPhase::kConfirmed));
  BOOST_TEST(link.StopsDue(At(1'500)).empty());
}

// Guards against a stop of a task at work because the second copy of its start
// was refused.
BOOST_FIXTURE_TEST_CASE(AListedRunIsNotStoppedForARefusedCopy, Fixture) {
  link.OnStartSent(kRun, At(1));
  link.OnStartSent(kRun, At(501));
  BOOST_TEST(List(502, 510, Running(kRun)).empty());
  BOOST_TEST(
      !link.OnStartAnswer(kRun, Verdict(CallVerdict::kUnhealthy), At(512)));
  BOOST_TEST((link.tracks().at(kRun).phase == RunPhase::kConfirmed));
  BOOST_TEST(link.StopsDue(At(1'500)).empty());
}

// Guards against the same where the list comes after both answers.
BOOST_FIXTURE_TEST_CASE(AnUnansweredStartIsLookedForBeforeItIsStopped,
                        Fixture) {
  link.OnStartSent(kRun, At(1));
  link.OnStartSent(kRun, At(501));
  BOOST_TEST(!link.OnStartAnswer(kRun, Fail(ErrorCode::kTimeout, ""), At(901)));
  // That list may be from before the start.
  BOOST_TEST(List(500, 1'000, {}).empty());
  BOOST_TEST(link.StopsDue(At(1'500)).empty());
  BOOST_TEST(List(1'501, 1'505, Running(kRun)).empty());
  BOOST_TEST(link.StopsDue(At(2'000)).empty());
}

// Guards against a rejected copy of a start that hides the first one.
BOOST_FIXTURE_TEST_CASE(ARejectedSecondCopyIsNotARejectedRun, Fixture) {
  link.OnStartSent(kRun, At(1));
  BOOST_TEST(!link.OnStartAnswer(kRun, Fail(ErrorCode::kTimeout, ""), At(900)));
  link.OnStartSent(kRun, At(1'200));
  BOOST_TEST(
      !link.OnStartAnswer(kRun, Verdict(CallVerdict::kNoRoom), At(1'210)));
  BOOST_TEST(link.StopsDue(At(1'500)).size() == 1U);
}

// Guards against room that a rejected start keeps.
BOOST_FIXTURE_TEST_CASE(ARejectedFirstStartEndsAtOnce, Fixture) {
  link.OnStartSent(kRun, At(1));
  const auto how =
      link.OnStartAnswer(kRun, Verdict(CallVerdict::kNoRoom), At(5));
  BOOST_REQUIRE(how.has_value());
  BOOST_TEST((*how == RunEnd::kRejected));
}

// Guards against a confirmed run that is taken for lost by a list from before
// its start.
BOOST_FIXTURE_TEST_CASE(AListFromBeforeTheStartProvesNothing, Fixture) {
  link.OnStartSent(kRun, At(1));
  link.OnHoldSent(At(2));
  BOOST_TEST(!link.OnStartAnswer(kRun, Verdict(CallVerdict::kDone), At(4)));
  BOOST_TEST(link.OnHoldAnswer(worker(), {}, At(6), &strays).empty());
  BOOST_TEST(List(7, 9, {}).size() == 1U);
}

// Guards against a restart while the cut-off worker may still run the task: its
// lease ends on its own clock, which may be slow.
BOOST_FIXTURE_TEST_CASE(ASilentWorkerLapsesAfterItsLease, Fixture) {
  BOOST_TEST(List(0, 10, Running(kRun)).empty());
  link.OnGrant(*link.LeaseUntil());
  const std::int64_t lease = WorkerLinkOptions().lease.count();
  BOOST_TEST(link.Lapse(worker(), At(10 + lease + lease * 2 / 100)).empty());
  const auto ends =
      link.Lapse(worker(), At(10 + lease + lease * 5 / 100 + 300));
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST(ends[0].checkpoint == "saved");
}

// Guards against a new leader that trusts no lease but its own.
BOOST_FIXTURE_TEST_CASE(LeasesOfEarlierLeadersAreWaitedFor, Fixture) {
  const std::int64_t lease = WorkerLinkOptions().lease.count();
  BOOST_TEST(link.Lapse(worker(), At(lease)).empty());
  BOOST_TEST(link.Lapse(worker(), At(lease * 2)).size() == 1U);
}

// Guards against work that runs unknown to the ledger.
BOOST_FIXTURE_TEST_CASE(RunsThatTheLedgerLacksAreStrays, Fixture) {
  const jobs::RunName other = LedgerBuilder::Run("other", 0, 0);
  HoldAnswer answer = Running(kRun);
  answer.running.push_back({other, "", 5});
  BOOST_TEST(List(0, 5, answer).empty());
  BOOST_REQUIRE(strays.size() == 1U);
  BOOST_TEST((strays[0] == other));
}

// Guards against ends that are noted again after they were stored.
BOOST_FIXTURE_TEST_CASE(StoredEndsAreNotNotedAgain, Fixture) {
  HoldAnswer answer;
  answer.ended.push_back({1, kRun, RunEnd::kDone, ""});
  BOOST_TEST(List(0, 5, answer).size() == 1U);
  builder.End(kRun, "w", RunEnd::kDone, 1);
  link.Sync(worker(), RunPhase::kPlanned, At(6));
  BOOST_TEST(List(7, 9, answer).empty());
}

// Guards against new work for a worker that has stopped answering.
BOOST_FIXTURE_TEST_CASE(ASilentWorkerGetsNoNewWork, Fixture) {
  BOOST_TEST(!link.Reachable(At(0)));
  BOOST_TEST(List(0, 5, Running(kRun)).empty());
  BOOST_TEST(link.Reachable(At(100)));
  link.OnHoldFailed(At(200));
  BOOST_TEST(!link.Reachable(At(200)));
}

// Guards against work for a worker that has gone dark: the waiting list call
// shows it after a second and more, a start that is not answered after 200 ms.
BOOST_FIXTURE_TEST_CASE(AnUnansweredStartHoldsFurtherOnesBack, Fixture) {
  (void)List(0, 5, {});
  link.OnStartSent(kRun, At(10));
  BOOST_TEST(link.Reachable(At(150)));
  BOOST_TEST(!link.Reachable(At(210)));
  // Any later answer shows that the worker is there; the order may be late.
  (void)List(20, 220, {});
  BOOST_TEST(link.Reachable(At(230)));
}

// Guards against two runs of one task: the start of a run that this leader has
// just stored is sent after a list of the worker that lacks it was read, so
// that list says nothing. Under load the two are milliseconds apart.
BOOST_FIXTURE_TEST_CASE(ARunWhoseStartIsAboutToBeSentIsNotLost, Fixture) {
  const jobs::RunName next = LedgerBuilder::Run("next", 0, 0);
  builder.Submit("next", {LedgerBuilder::Tasks(1)}).Start(next, "w");
  link.Sync(worker(), RunPhase::kPlanned, At(100));
  const auto ends = List(90, 105, Running(kRun));
  BOOST_TEST(ends.empty());
  // It is sent later if leadership was not confirmed at that moment.
  BOOST_TEST(link.StartsDue(At(150)).empty());
  BOOST_TEST(link.StartsDue(At(250)).size() == 1U);
}

/// A worker that has started again under its id: its later life has taken over
/// the run in the ledger.
struct LaterLife : Fixture {
  LaterLife() {
    jobs::WorkerNote note = worker().note;
    note.life = life;
    jobs::Batch batch;
    batch.workers = {note};
    builder.Apply(batch);
  }
  [[nodiscard]] const jobs::Worker& later() const {
    return *builder.ledger().FindWorker(life);
  }
  std::vector<jobs::EndNote> ListLater(std::int64_t sent, std::int64_t now) {
    next.OnHoldSent(At(sent));
    HoldAnswer answer;
    answer.call.clock_ms = now;
    return next.OnHoldAnswer(later(), answer, At(now), &strays);
  }

  jobs::WorkerLife life = LedgerBuilder::Life("w", 2);
  /// The leader has acted for a minute when the later life announces itself.
  WorkerLink next{WorkerLinkOptions{}, At(-60'000)};
};

// Guards against two runs of one task: a start for the earlier life may still
// arrive at the later one, so a list that lacks the run proves nothing before
// the later life has taken a stop.
BOOST_FIXTURE_TEST_CASE(ARunOfAnEarlierLifeIsStoppedFirst, LaterLife) {
  next.Sync(later(), RunPhase::kPlanned, At(0));
  BOOST_TEST(next.StartsDue(At(5'000)).empty());
  BOOST_REQUIRE(next.StopsDue(At(0)).size() == 1U);
  next.OnStopSent(kRun, At(0));
  BOOST_TEST(ListLater(1, 3).empty());
  next.OnStopAnswer(kRun, CallAnswer{CallVerdict::kDone, 4}, At(4));
  const auto ends = ListLater(5, 8);
  BOOST_REQUIRE(ends.size() == 1U);
  BOOST_TEST((ends[0].worker == life));
  BOOST_TEST((ends[0].how == RunEnd::kLost));
}

// Guards against the same where the later life does not answer: an order for
// the earlier life gets the longest lease there, as the clocks differ.
BOOST_FIXTURE_TEST_CASE(ARunOfAnEarlierLifeLapsesAfterTheLongestLease,
                        LaterLife) {
  const WorkerLinkOptions options;
  BOOST_REQUIRE(options.max_lease > options.lease);
  for (const RunPhase added : {RunPhase::kPlanned, RunPhase::kInherited}) {
    next = WorkerLink{options, At(added == RunPhase::kPlanned ? -60'000 : 0)};
    next.Sync(later(), added, At(0));
    const std::int64_t longest = options.max_lease.count();
    BOOST_TEST(next.Lapse(later(), At(0)).empty());
    BOOST_TEST(next.Lapse(later(), At(longest)).empty());
    BOOST_TEST(next.Lapse(later(), At(longest * 5 / 4)).size() == 1U);
  }
}

// Guards against a new leader that starts a task again which a later life of
// its worker has started.
BOOST_FIXTURE_TEST_CASE(AnInheritedRunOfAnEarlierLifeIsSettledByAList,
                        LaterLife) {
  next.Sync(later(), RunPhase::kInherited, At(0));
  BOOST_TEST(next.StopsDue(At(0)).empty());
  BOOST_TEST(ListLater(1, 3).size() == 1U);
}

// Guards against two runs of one task: a start answered by a later life of the
// worker, whose clock begins anew, passes for one that the earlier life took.
BOOST_FIXTURE_TEST_CASE(AClockThatBeginsAnewShowsAnotherLife, Fixture) {
  BOOST_TEST(List(0, 5, Running(kRun)).empty());
  BOOST_TEST(link.Reachable(At(10)));
  link.OnStartSent(kRun, At(10));
  BOOST_TEST(
      !link.OnStartAnswer(kRun, CallAnswer{CallVerdict::kDone, 700}, At(14)));
  BOOST_TEST((link.tracks().at(kRun).phase == RunPhase::kUnsure));
  BOOST_TEST(!link.Reachable(At(14)));
  // No call extends leases at the later life, whose runs are not known.
  BOOST_TEST(!link.LeaseUntil());
  BOOST_TEST(link.StartsDue(At(5'000)).empty());
  const std::int64_t longest = WorkerLinkOptions().max_lease.count();
  BOOST_TEST(link.Lapse(worker(), At(14 + longest)).empty());
  BOOST_TEST(link.Lapse(worker(), At(14 + longest * 5 / 4)).size() == 1U);
}

// Guards against answers that overtook each other and pass for another life.
BOOST_FIXTURE_TEST_CASE(ALateAnswerIsNoOtherLife, Fixture) {
  BOOST_TEST(List(0, 2'000, Running(kRun)).empty());
  link.OnStartSent(kRun, At(10));
  BOOST_TEST(!link.OnStartAnswer(kRun, CallAnswer{CallVerdict::kDone, 500'000},
                                 At(2'010)));
  BOOST_TEST((link.tracks().at(kRun).phase == RunPhase::kConfirmed));
  BOOST_TEST(link.LeaseUntil().has_value());
}

}  // namespace
}  // namespace boragewinch::scheduler
