#define BOOST_TEST_MODULE request_replication
#include <boost/test/unit_test.hpp>

#include <boost/test/data/test_case.hpp>

#include "base/event_log.h"
#include "entry_simulation.h"

namespace boragewinch::testing {
namespace {

struct QuietLog {
  QuietLog() {
    ConfigureEventLog("request_replication_test", EventLevel::kError);
  }
};
BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

template <typename Body>
[[nodiscard]] bool Sends(const EntryAction& action) {
  const auto* send = std::get_if<SendPeer>(&action);
  return send != nullptr && std::holds_alternative<Body>(send->message.body);
}

// The first action of a kind, at which the owner fails. The action is still
// delivered or is lost.
struct FaultPoint {
  const char* name;
  bool (*at)(const EntryAction&, int entry);
  bool delivered;
  const char* outcome;
};

std::ostream& operator<<(std::ostream& out, const FaultPoint& point) {
  return out << point.name;
}

[[nodiscard]] bool AtStore(const EntryAction& action, int entry) {
  return entry == 0 && Sends<PeerStore>(action);
}
[[nodiscard]] bool AtIntend(const EntryAction& action, int entry) {
  return entry == 0 && Sends<PeerIntend>(action);
}
[[nodiscard]] bool AtIntendAck(const EntryAction& action, int entry) {
  const auto* send = std::get_if<SendPeer>(&action);
  const auto* ack =
      send == nullptr ? nullptr : std::get_if<PeerAck>(&send->message.body);
  return entry == 1 && ack != nullptr && ack->version.revision == 2;
}
[[nodiscard]] bool AtStart(const EntryAction& action, int entry) {
  return entry == 0 && std::holds_alternative<StartTask>(action);
}
[[nodiscard]] bool AtClose(const EntryAction& action, int entry) {
  return entry == 0 && Sends<PeerClose>(action);
}

constexpr FaultPoint kFaultPoints[] = {
    {"store lost", AtStore, false, "unknown_may_have_run"},
    {"store sent", AtStore, true, "finished"},
    {"intent lost", AtIntend, false, "finished"},
    {"intent sent", AtIntend, true, "finished"},
    {"intent acknowledged", AtIntendAck, true, "finished"},
    {"start lost", AtStart, false, "finished"},
    {"start sent", AtStart, true, "finished"},
    {"closing lost", AtClose, false, "finished"},
    {"closing sent", AtClose, true, "finished"},
};

struct FaultResult {
  std::string outcome;
  int executions = 0;
  std::uint64_t starts_of_owner = 0;
  std::size_t violations = 0;
};

// Runs one non-repeatable request whose owner fails at `point`: it is frozen
// for 8 s or killed.
[[nodiscard]] FaultResult RunWithFault(const FaultPoint& point, bool freeze) {
  EntrySimulation sim(2, 2, 1);
  sim.Run(Millis(3'000));
  bool reached = false;
  bool kill_due = false;
  sim.intercept = [&](const EntryAction& action, int entry) {
    if (reached || !point.at(action, entry))
      return true;
    reached = kill_due = true;
    if (freeze)
      sim.Freeze(0, Millis(8'000));
    return point.delivered;
  };
  const RequestId ticket = sim.cores[0]->NewTicket(sim.now).value();
  static_cast<void>(sim.Submit(0, sim.Job(false), ticket));
  for (int i = 0; i < 1'600; ++i) {
    if (std::exchange(kill_due, false) && !freeze)
      sim.Crash(0);
    sim.Run(Millis(50));
  }
  const CallId query = sim.Ask(1, CallKind::kQuery, ticket);
  sim.Run(Millis(5'000));
  FaultResult result;
  if (const JobAnswer* answer = sim.answer(query); answer != nullptr)
    result.outcome = kOutcomes.Name(answer->outcome);
  result.executions = sim.executions[ticket];
  result.starts_of_owner = sim.cores[0]->counters().starts;
  result.violations = sim.violations.size();
  return result;
}

// Guards invariant I7 and the takeover: the owner is killed at each step.
BOOST_DATA_TEST_CASE(OwnerKilledAtEachStep, kFaultPoints, point) {
  const FaultResult result = RunWithFault(point, false);
  BOOST_TEST(result.outcome == point.outcome);
  BOOST_TEST(result.executions == (result.outcome == "finished" ? 1 : 0));
  BOOST_TEST(result.violations == 0U);
}

// Guards invariant I7 and the fence: the owner freezes at each step, its backup
// takes over, and the owner resumes with its old messages.
BOOST_DATA_TEST_CASE(OwnerFrozenAtEachStep, kFaultPoints, point) {
  const FaultResult result = RunWithFault(point, true);
  BOOST_TEST(result.executions <= 1);
  if (std::string(point.name) != "store lost")
    BOOST_TEST(result.outcome == "finished");
  BOOST_TEST(result.violations == 0U);
}

// Guards the race between a fence and an acknowledged intent: the backup has
// resolved the intent before the owner resumes, so the owner must not start.
BOOST_AUTO_TEST_CASE(ResumedOwnerDoesNotStart) {
  const FaultPoint at_ack{"", AtIntendAck, true, "finished"};
  const FaultResult result = RunWithFault(at_ack, true);
  BOOST_TEST(result.starts_of_owner == 0U);
  BOOST_TEST(result.executions == 1);
}

// Guards against a second start after the response to the first one was lost,
// whether or not the worker received the first one.
BOOST_AUTO_TEST_CASE(LostStartResponseIsResolved) {
  for (const bool delivered : {true, false}) {
    EntrySimulation sim(2, 2, 1);
    sim.run_time = Millis(6'000);
    sim.Run(Millis(3'000));
    bool started = false;
    sim.intercept = [&](const EntryAction& action, int) {
      if (started || !std::holds_alternative<StartTask>(action))
        return true;
      started = true;
      sim.link.max_delay_ms = 150;
      sim.link.drop_percent = delivered ? 0 : 100;
      return true;
    };
    const CallId submit = sim.Submit(0, sim.Job(false));
    while (!started)
      sim.Run(Millis(50));
    sim.link.drop_percent = 100;
    sim.Run(Millis(2'500));
    sim.link = Link{};
    sim.Run(Millis(30'000));
    const RequestId id = sim.answer(submit)->request;
    const CallId query = sim.Ask(0, CallKind::kQuery, id);
    sim.Run(Millis(500));
    BOOST_TEST((sim.answer(query)->outcome == Outcome::kFinished));
    BOOST_TEST(sim.executions[id] == 1);
    BOOST_TEST(sim.violations.size() == 0U);
  }
}

// Guards invariant I7: a refusal by a restarted worker does not prove that its
// former incarnation has not run the task.
BOOST_AUTO_TEST_CASE(RefusalOfAnotherIncarnationProvesNothing) {
  for (const bool same : {true, false}) {
    EntrySimulation sim(2, 1, 1);
    sim.Run(Millis(3'000));
    std::optional<StartTask> start;
    sim.intercept = [&](const EntryAction& action, int) {
      if (start || !std::holds_alternative<StartTask>(action))
        return true;
      start = std::get<StartTask>(action);
      return false;
    };
    const CallId submit = sim.Submit(0, sim.Job(false));
    while (!start)
      sim.Run(Millis(50));
    const Incarnation former = sim.workers[0].incarnation;
    sim.CrashWorker(0);
    const StartReply reply{StartResponse::kLeaving,
                           same ? former : sim.workers[0].incarnation};
    sim.cores[0]->OnStartResponse(start->task, start->host, reply, sim.now);
    sim.Apply(0);
    sim.Run(Millis(38'000));
    const CallId query =
        sim.Ask(0, CallKind::kQuery, sim.answer(submit)->request);
    const Outcome expected =
        same ? Outcome::kFinished : Outcome::kUnknownMayHaveRun;
    BOOST_TEST((sim.answer(query)->outcome == expected));
  }
}

// Guards invariant I6: a cancel is not answered "not run" before the backup has
// acknowledged the closing.
BOOST_AUTO_TEST_CASE(ClosingWithoutAcknowledgementIsUnknown) {
  EntrySimulation sim(2, 0, 1);
  sim.Run(Millis(3'000));
  const CallId submit = sim.Submit(0, sim.Job(false));
  sim.Run(Millis(200));
  sim.cut.emplace(0, 1);
  const CallId cancel =
      sim.Ask(0, CallKind::kCancel, sim.answer(submit)->request);
  sim.Run(Millis(4'200));
  BOOST_TEST((sim.answer(cancel)->outcome == Outcome::kUnknownMayHaveRun));
}

// Guards invariant I7: before a backup restarted, its former incarnation may
// have fenced the owner and started the request.
BOOST_AUTO_TEST_CASE(LostBackupIsReplacedOnlyIfItCantHaveFenced) {
  for (const bool cut_before : {false, true}) {
    EntrySimulation sim(2, 0, 1);
    sim.Run(Millis(3'000));
    const CallId submit = sim.Submit(0, sim.Job(false));
    sim.Run(Millis(500));
    BOOST_REQUIRE((sim.answer(submit)->outcome == Outcome::kAccepted));
    if (cut_before) {
      sim.cut.emplace(0, 1);
      sim.Run(Millis(5'000));
    }
    sim.Crash(1);
    sim.cut.clear();
    sim.Run(Millis(1'000));
    const CallId query =
        sim.Ask(0, CallKind::kQuery, sim.answer(submit)->request);
    sim.Run(Millis(500));
    const Outcome expected =
        cut_before ? Outcome::kUnknownMayHaveRun : Outcome::kAccepted;
    BOOST_TEST((sim.answer(query)->outcome == expected));
  }
}

// Guards against results that workers list forever because the backup that
// has to store them is permanently lost.
BOOST_AUTO_TEST_CASE(ResultIsAcknowledgedOnceTheBackupIsDeclaredLost) {
  EntrySimulation sim(2, 1, 1);
  sim.Run(Millis(3'000));
  sim.Freeze(1, Millis(1'000'000));
  const CallId submit = sim.Submit(0, sim.Job(true));
  sim.Run(Millis(8'000));
  const RequestId id = sim.answer(submit)->request;
  const CallId query = sim.Ask(0, CallKind::kQuery, id);
  BOOST_REQUIRE((sim.answer(query)->outcome == Outcome::kFinished));
  BOOST_TEST(sim.workers[0].tasks.size() == 1U);
  sim.lost.insert(sim.incarnations[1]);
  sim.Run(Millis(5'000));
  BOOST_TEST(sim.workers[0].tasks.empty());
  BOOST_TEST(sim.executions[id] == 1);
  BOOST_TEST(sim.violations.empty());
}

// Guards invariants I6 and I7 (random seed 10679): gossip that was delayed for
// long must not be taken for a new incarnation of its sender.
BOOST_AUTO_TEST_CASE(HeldBackGossipDoesNotReplaceAnIncarnation) {
  EntrySimulation sim(2, 0, 1);
  sim.Run(Millis(3'000));
  const CallId submit = sim.Submit(0, sim.Job(false));
  sim.Run(Millis(500));
  sim.cores[0]->OnPeerMessage(
      EntryName("e1"),
      PeerMessage{Incarnation("ended"), sim.incarnations[0], PeerGossip{}},
      sim.now);
  sim.Apply(0);
  sim.Run(Millis(1'000));
  BOOST_TEST((sim.cores[0]->peers().Find(EntryName("e1"))->incarnation ==
              sim.incarnations[1]));
  BOOST_TEST(sim.cores[0]
                 ->requests()
                 .records()
                 .at(sim.answer(submit)->request)
                 .backup.has_value());
}

struct BadResult {
  const char* name;
  const char* expected;
  void (*change)(TaskResult&);
};

std::ostream& operator<<(std::ostream& out, const BadResult& row) {
  return out << row.name;
}

constexpr BadResult kBadResults[] = {
    {"repeated", "acknowledged", [](TaskResult&) {}},
    {"torn", "protocol", [](TaskResult& result) { result.body.pop_back(); }},
    {"changed", "protocol", [](TaskResult& result) { result.body[0] = '#'; }},
    {"of another attempt", "conflict",
     [](TaskResult& result) { result.task.attempt = 0; }},
    {"second with another body", "conflict",
     [](TaskResult& result) {
       result.body = "other";
       result.length = 5;
       result.hash = Hash64("other");
     }},
    {"of an unknown request", "not_found",
     [](TaskResult& result) {
       result.task.request = RequestId("z.e0.i1.999");
     }},
    {"not an end", "protocol",
     [](TaskResult& result) { result.state = TaskState::kRunning; }},
};

// Guards invariant I5: only the complete result of the current attempt is
// stored, and only once.
BOOST_DATA_TEST_CASE(ResultsAreMatchedToTheirAttempt, kBadResults, row) {
  EntrySimulation sim(2, 1, 1);
  sim.Run(Millis(3'000));
  const CallId submit = sim.Submit(0, sim.Job(false));
  sim.Run(Millis(8'000));
  TaskResult result;
  result.task = {sim.answer(submit)->request, 1};
  result.body = "done:" + result.task.request.str();
  result.length = result.body.size();
  result.hash = Hash64(result.body);
  row.change(result);
  const auto answer = sim.cores[0]->OnResult(result, sim.now);
  const std::string shown =
      !answer ? std::string(kErrorCodes.Name(answer.error().code))
      : answer.value() == ResultAck::kAcknowledged ? "acknowledged"
                                                   : "kept";
  BOOST_TEST(shown == row.expected);
  const CallId fetch =
      sim.Ask(0, CallKind::kResult, sim.answer(submit)->request);
  BOOST_TEST(sim.answer(fetch)->body ==
             "done:" + sim.answer(submit)->request.str());
}

// Guards invariant I9: a stopping backup releases its replicas, so the owner's
// queued requests do not wait for it.
BOOST_AUTO_TEST_CASE(StoppingBackupReleasesItsReplicas) {
  EntrySimulation sim(2, 0, 1);
  sim.Run(Millis(3'000));
  const CallId submit = sim.Submit(0, sim.Job(false));
  sim.Run(Millis(500));
  sim.cores[1]->Stop(sim.now);
  for (int i = 0; i < 50 && !sim.cores[1]->stopped(); ++i)
    sim.Run(Millis(100));
  BOOST_TEST(sim.cores[1]->stopped());
  sim.Freeze(1, Millis(100'000));
  const CallId cancel =
      sim.Ask(0, CallKind::kCancel, sim.answer(submit)->request);
  BOOST_REQUIRE(sim.answer(cancel) != nullptr);
  BOOST_TEST((sim.answer(cancel)->outcome == Outcome::kCancelled));
}

// Guards invariant I9: a planned stop hands over queued and running requests.
BOOST_AUTO_TEST_CASE(PlannedStopInterruptsNothing) {
  EntrySimulation sim(2, 1, 1);
  sim.run_time = Millis(40'000);
  sim.Run(Millis(3'000));
  std::vector<CallId> submits;
  for (int i = 0; i < 10; ++i) {
    JobSpec spec = sim.Job(false);
    spec.start_deadline = Millis(200'000);
    submits.push_back(sim.Submit(0, spec));
    sim.Run(Millis(300));
  }
  const CallId open = sim.Ask(0, CallKind::kQuery, RequestId("z.e1.x.1"));
  sim.cores[0]->Stop(sim.now);
  for (int i = 0; i < 100 && !sim.cores[0]->stopped(); ++i)
    sim.Run(Millis(100));
  BOOST_TEST(sim.cores[0]->stopped());
  BOOST_TEST(sim.answer(open) != nullptr);
  sim.Crash(0);
  sim.Run(Millis(150'000));
  for (const CallId submit : submits) {
    BOOST_REQUIRE(sim.answer(submit) != nullptr);
    const RequestId id = sim.answer(submit)->request;
    const CallId query = sim.Ask(1, CallKind::kQuery, id);
    sim.Run(Millis(200));
    BOOST_REQUIRE(sim.answer(query) != nullptr);
    BOOST_TEST((sim.answer(query)->outcome == Outcome::kFinished));
    BOOST_TEST(sim.executions[id] == 1);
  }
  BOOST_TEST(sim.violations.size() == 0U);
}

// Guards invariant I6 (random seed 60172): a stopping entry host releases its
// replica of a request that it accepted itself and that a peer has since taken
// over and run. A repeated submit must not be refused as not run.
BOOST_AUTO_TEST_CASE(RepeatedSubmitAtAStoppingFormerOwnerIsNotRefused) {
  EntrySimulation sim(2, 1, 1);
  sim.Run(Millis(3'000));
  sim.workers[0].drain = true;
  const CallId submit = sim.Submit(0, sim.Job(false));
  sim.Run(Millis(500));
  BOOST_REQUIRE((sim.answer(submit)->outcome == Outcome::kAccepted));
  const RequestId id = sim.answer(submit)->request;
  sim.Freeze(0, Millis(5'000));
  sim.Run(Millis(7'000));
  sim.workers[0].drain = false;
  sim.Run(Millis(8'000));
  BOOST_REQUIRE(sim.executions[id] == 1);
  sim.cores[0]->Stop(sim.now);
  for (int i = 0; i < 40; ++i) {
    const CallId again = sim.Submit(0, sim.Job(false), id);
    sim.Run(Millis(100));
    const JobAnswer* answer = sim.answer(again);
    BOOST_TEST(
        (answer == nullptr || answer->outcome != Outcome::kRefusedNotRun));
  }
  BOOST_TEST(sim.violations.empty());
}

// Guards invariant I9: a planned stop must end even if callers at other entry
// hosts wait for requests that were handed over, and these callers must get a
// correct answer.
BOOST_AUTO_TEST_CASE(WaitingCallersOfPeersDoNotHoldTheStopUp) {
  // After the handover two of the other hosts have the record; the third one
  // and entry hosts of other zones keep asking the first owner.
  EntrySimulation sim(4, 1, 1);
  sim.run_time = Millis(40'000);
  sim.Run(Millis(3'000));
  const CallId submit = sim.Submit(0, sim.Job(false));
  sim.Run(Millis(1'000));
  const RequestId id = sim.answer(submit)->request;
  std::vector<CallId> waits;
  const auto wait = [&] {
    for (const int entry : {1, 2, 3})
      waits.push_back(sim.Ask(entry, CallKind::kAwait, id));
    sim.Run(Millis(150));
  };
  for (int i = 0; i < 20; ++i)
    wait();
  sim.cores[0]->Stop(sim.now);
  for (int i = 0; i < 60 && !sim.cores[0]->stopped(); ++i)
    wait();
  BOOST_TEST(sim.cores[0]->stopped());
  sim.Run(Millis(5'000));
  for (const CallId call : waits) {
    BOOST_REQUIRE(sim.answer(call) != nullptr);
    BOOST_TEST((sim.answer(call)->outcome == Outcome::kRunning));
  }
  BOOST_TEST(sim.violations.size() == 0U);
}

}  // namespace
}  // namespace boragewinch::testing
