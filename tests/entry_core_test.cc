#define BOOST_TEST_MODULE entry_core
#include <boost/test/unit_test.hpp>

#include <boost/test/data/test_case.hpp>

#include "base/event_log.h"
#include "base/invariant.h"
#include "entry_simulation.h"

namespace boragewinch::testing {
namespace {

struct QuietLog {
  QuietLog() { ConfigureEventLog("entry_core_test", EventLevel::kError); }
};
BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

[[nodiscard]] std::string Describe(const JobAnswer* answer) {
  if (answer == nullptr)
    return "no answer";
  std::string text(kOutcomes.Name(answer->outcome));
  if (answer->reason != RefusalReason::kNone)
    text += "/" + std::string(kRefusalReasons.Name(answer->reason));
  return text;
}

// A running zone of `entries` entry hosts and one worker.
struct Zone : EntrySimulation {
  explicit Zone(int entries) : EntrySimulation(entries, 1, 1) {
    Run(Millis(3'000));
  }
};

// Guards against a request that does not get from submit to its result.
BOOST_AUTO_TEST_CASE(SubmitRunsAndReturnsItsResult) {
  for (const int entries : {1, 2}) {
    for (const bool repeatable : {true, false}) {
      EntrySimulation sim(entries, 1, 1);
      sim.Run(Millis(3'000));
      const CallId submit = sim.Submit(0, sim.Job(repeatable));
      sim.Run(Millis(8'000));
      if (entries == 1 && !repeatable) {
        BOOST_TEST(Describe(sim.answer(submit)) == "refused_not_run/no_backup");
        continue;
      }
      BOOST_REQUIRE_EQUAL(Describe(sim.answer(submit)), "accepted");
      const RequestId id = sim.answer(submit)->request;
      const CallId result = sim.Ask(entries - 1, CallKind::kResult, id);
      sim.Run(Millis(500));
      BOOST_TEST(Describe(sim.answer(result)) == "finished");
      BOOST_TEST(sim.answer(result)->body == "done:" + id.str());
      BOOST_TEST(sim.executions[id] == 1);
      BOOST_TEST(sim.violations.size() == 0U);
    }
  }
}

struct AdmissionCase {
  const char* name;
  const char* expected;
  void (*change)(EntrySimulation&, JobSpec&, std::string&);
};

std::ostream& operator<<(std::ostream& out, const AdmissionCase& row) {
  return out << row.name;
}

constexpr AdmissionCase kAdmissions[] = {
    {"valid key", "accepted", [](EntrySimulation&, JobSpec&, std::string&) {}},
    {"no key", "refused_not_run/bad_key",
     [](EntrySimulation&, JobSpec&, std::string& key) { key.clear(); }},
    {"wrong secret", "refused_not_run/bad_key",
     [](EntrySimulation&, JobSpec&, std::string& key) { key = "k1.guess"; }},
    {"key of another team", "refused_not_run/wrong_team",
     [](EntrySimulation&, JobSpec&, std::string& key) { key = "d1.secret"; }},
    {"job names another team", "refused_not_run/wrong_team",
     [](EntrySimulation&, JobSpec& spec, std::string&) {
       spec.team = TeamName("dispatch");
     }},
    {"withdrawn key", "refused_not_run/withdrawn_key",
     [](EntrySimulation& sim, JobSpec&, std::string&) {
       sim.cores[0]->OnKeyWithdrawn(KeyId("k1"), sim.now);
     }},
    {"key withdrawn at a peer", "refused_not_run/withdrawn_key",
     [](EntrySimulation& sim, JobSpec&, std::string&) {
       sim.cores[1]->OnKeyWithdrawn(KeyId("k1"), sim.now);
       sim.Run(Millis(600));
     }},
    {"withdrawal not in a later fleet state", "refused_not_run/withdrawn_key",
     [](EntrySimulation& sim, JobSpec&, std::string&) {
       sim.cores[0]->OnKeyWithdrawn(KeyId("k1"), sim.now);
       ++sim.view.version;
       sim.Run(Millis(2'000));
     }},
    {"unknown queue", "refused_not_run/unknown_queue",
     [](EntrySimulation&, JobSpec& spec, std::string&) {
       spec.queue = QueueName("none");
     }},
    {"too large for each worker", "refused_not_run/never_fits",
     [](EntrySimulation&, JobSpec& spec, std::string&) {
       spec.declared.memory_mb = 1'000'000;
     }},
    {"no control host for 3.5 s", "accepted",
     [](EntrySimulation& sim, JobSpec&, std::string&) {
       sim.cut.emplace(0, -1);
       sim.Run(Millis(3'500));
     }},
    {"no control host for 6 s", "refused_not_run/stale_configuration",
     [](EntrySimulation& sim, JobSpec&, std::string&) {
       sim.cut.emplace(0, -1);
       sim.Run(Millis(6'000));
     }},
    {"no control host for 6 s, open queue", "accepted",
     [](EntrySimulation& sim, JobSpec& spec, std::string& key) {
       sim.cut.emplace(0, -1);
       sim.Run(Millis(6'000));
       spec.queue = QueueName("open");
       key.clear();
     }},
    {"no reachable peer", "refused_not_run/no_backup",
     [](EntrySimulation& sim, JobSpec&, std::string&) {
       sim.cut.emplace(0, 1);
       sim.Run(Millis(2'000));
     }},
    {"no reachable peer, repeatable", "accepted",
     [](EntrySimulation& sim, JobSpec& spec, std::string&) {
       sim.cut.emplace(0, 1);
       sim.Run(Millis(2'000));
       spec.repeatable = true;
     }},
    {"stopping", "refused_not_run/stopping",
     [](EntrySimulation& sim, JobSpec&, std::string&) {
       sim.cores[0]->Stop(sim.now);
     }},
};

// Guards invariant I3: except on open queues, no job is accepted without a
// valid key of its team or on a stale fleet state. Also guards the reasons of
// refusals, which callers act on.
BOOST_DATA_TEST_CASE(AdmissionRefusesWithTheReason, kAdmissions, row) {
  Zone sim(2);
  JobSpec spec = sim.Job(false);
  std::string key = "k1.secret";
  row.change(sim, spec, key);
  const CallId call = sim.Submit(0, spec, {}, key);
  sim.Run(Millis(1'000));
  BOOST_TEST(Describe(sim.answer(call)) == row.expected);
}

// Guards against a queue that keeps growing beyond its bound.
BOOST_AUTO_TEST_CASE(BoundsRefuseWithFull) {
  EntryConfig base;
  base.max_queued_per_queue = 3;
  EntrySimulation sim(2, 0, 1, base);
  sim.Run(Millis(3'000));
  CallId last = 0;
  for (int i = 0; i < 4; ++i) {
    last = sim.Submit(0, sim.Job(false));
    sim.Run(Millis(200));
  }
  BOOST_TEST(Describe(sim.answer(last)) == "refused_not_run/full");
}

// Guards invariant I4: never more jobs run at once than the limit, and all run
// in the end.
BOOST_AUTO_TEST_CASE(RunningStaysWithinTheLimit) {
  EntrySimulation sim(2, 2, 1);
  sim.ledger.limit[TeamName("intake")] = 3;
  sim.Run(Millis(3'000));
  for (int i = 0; i < 12; ++i) {
    static_cast<void>(sim.Submit(i % 2, sim.Job(false)));
    sim.Run(Millis(50));
  }
  std::int64_t most = 0;
  for (int i = 0; i < 400; ++i) {
    sim.Run(Millis(50));
    std::int64_t running = 0;
    for (const FakeWorker& worker : sim.workers)
      running += worker.running();
    most = std::max(most, running);
  }
  BOOST_TEST(most <= 3);
  BOOST_TEST(most >= 2);
  BOOST_TEST(sim.executions.size() == 12U);
  BOOST_TEST(sim.violations.size() == 0U);
}

// Guards invariant I4: after an isolation the ledger may have reclaimed the
// allotments, so a peer's response is not enough to start work again.
BOOST_AUTO_TEST_CASE(IsolatedEntryHostStartsNothing) {
  Zone sim(2);
  static_cast<void>(sim.Submit(0, sim.Job(true)));
  sim.Run(Millis(6'000));
  const std::uint64_t before = sim.cores[0]->counters().starts;
  BOOST_TEST(before == 1U);
  sim.cut = {{0, 1}, {0, -1}};
  sim.Run(Millis(11'000));
  JobSpec spec = sim.Job(true);
  spec.queue = QueueName("open");
  const CallId submit = sim.Submit(0, spec);
  sim.Run(Millis(3'000));
  BOOST_TEST(Describe(sim.answer(submit)) == "accepted");
  BOOST_TEST(sim.cores[0]->counters().starts == before);
  sim.cut = {{0, -1}};
  sim.Run(Millis(3'000));
  BOOST_TEST(!sim.cores[0]->isolated(sim.now));
  BOOST_TEST(sim.cores[0]->counters().starts == before);
  sim.cut.clear();
  sim.Run(Millis(3'000));
  BOOST_TEST(sim.cores[0]->counters().starts == before + 1);
}

// Guards invariant I8: a worker that announced its leave to one entry host gets
// no start from another one.
BOOST_AUTO_TEST_CASE(LeavingWorkerGetsNoStart) {
  Zone sim(2);
  int starts = 0;
  // The invariant check also prevents the start, but a leaving worker must not
  // even be chosen.
  const InvariantHandler usual =
      SetInvariantHandler([](Invariant invariant, std::string_view detail) {
        BOOST_ERROR(kInvariants.Name(invariant) << ": " << detail);
      });
  sim.intercept = [&](const EntryAction& action, int) {
    starts += std::holds_alternative<StartTask>(action) ? 1 : 0;
    return true;
  };
  sim.cores[0]->OnWorkerLeave(
      1, {sim.workers[0].host, sim.workers[0].incarnation}, sim.now);
  sim.Apply(0);
  sim.Run(Millis(100));
  static_cast<void>(sim.Submit(1, sim.Job(false)));
  sim.Run(Millis(5'000));
  BOOST_TEST(starts == 0);
  // The mark applies to one incarnation; its successor gets work.
  sim.CrashWorker(0);
  sim.Run(Millis(5'000));
  BOOST_TEST(starts == 1);
  SetInvariantHandler(usual);
}

// Guards against forwarded calls whose numbers exceed the 63 bits of a message
// field, which the receiver rejects.
BOOST_AUTO_TEST_CASE(NumbersOfForwardedCallsFitIntoMessages) {
  Zone sim(3);
  const CallId submit = sim.Submit(0, sim.Job(false));
  sim.Run(Millis(1'000));
  BOOST_REQUIRE_EQUAL(Describe(sim.answer(submit)), "accepted");
  int passed_on = 0;
  sim.intercept = [&](const EntryAction& action, int) {
    const auto* send = std::get_if<SendPeer>(&action);
    const auto* forward =
        send ? std::get_if<PeerForward>(&send->message.body) : nullptr;
    if (forward == nullptr || forward->hops < 2)
      return true;
    ++passed_on;
    const auto read = PeerMessageFromJson(ToJson(send->message));
    BOOST_TEST(read.has_value());
    return read.has_value();
  };
  // An entry host that can't reach the owner asks the others; the backup
  // forwards the call to the owner under a number of its own.
  int answered = 0;
  for (const int entry : {1, 2}) {
    sim.cut = {{entry, 0}};
    const CallId query =
        sim.Ask(entry, CallKind::kQuery, sim.answer(submit)->request);
    sim.Run(Millis(2'000));
    answered += sim.answer(query) != nullptr ? 1 : 0;
    sim.cut.clear();
    sim.Run(Millis(2'000));
  }
  BOOST_TEST(passed_on > 0);
  BOOST_TEST(answered == 1);  // The backup itself asks only the owner.
}

// Guards against large jobs that fill the memory of an entry host, and against
// a bound that stays reached after records are dropped.
BOOST_AUTO_TEST_CASE(BytesOfRecordsAreBounded) {
  EntryConfig config;
  config.max_record_bytes = 100'000;
  config.result_retention = Millis(60'000);
  config.ticket_lifetime = Millis(60'000);
  EntrySimulation sim(2, 1, 1, config);
  sim.Run(Millis(3'000));
  JobSpec spec = sim.Job(true);
  spec.payload = std::string(30'000, 'x');
  for (const char* expected :
       {"accepted", "accepted", "accepted", "refused_not_run/full"}) {
    const CallId submit = sim.Submit(0, spec);
    sim.Run(Millis(300));
    BOOST_TEST(Describe(sim.answer(submit)) == expected);
  }
  // The other entry host holds the replicas.
  const CallId other = sim.Submit(1, spec);
  sim.Run(Millis(300));
  BOOST_TEST(Describe(sim.answer(other)) == "refused_not_run/full");
  sim.Run(Millis(90'000));
  const CallId later = sim.Submit(0, spec);
  sim.Run(Millis(300));
  BOOST_TEST(Describe(sim.answer(later)) == "accepted");
  BOOST_TEST(sim.violations.size() == 0U);
}

// Guards against replicas that fill the memory of a backup, and against a
// replica that is never stored after the backup was full.
BOOST_AUTO_TEST_CASE(BackupStoresNoReplicaBeyondItsByteLimit) {
  EntryConfig config;
  config.max_record_bytes = 100'000;
  config.result_retention = Millis(60'000);
  config.ticket_lifetime = Millis(60'000);
  EntrySimulation sim(2, 1, 1, config);
  sim.run_time = Millis(20'000);
  sim.Run(Millis(3'000));
  JobSpec spec = sim.Job(true);
  spec.payload = std::string(30'000, 'x');
  sim.cut = {{0, 1}};
  sim.Run(Millis(4'000));
  // Each holds 60,000 bytes of its own, so a replica of only one job fits.
  std::vector<CallId> submits;
  for (const int entry : {0, 0, 1, 1})
    submits.push_back(sim.Submit(entry, spec));
  sim.Run(Millis(2'000));
  sim.cut.clear();
  for (int i = 0; i < 100; ++i) {
    sim.Run(Millis(100));
    for (const auto& core : sim.cores)
      BOOST_REQUIRE_LE(core->requests().bytes(), 100'000U);
  }
  for (const auto& core : sim.cores)
    BOOST_TEST(core->requests().bytes() > 80'000U);
  sim.Run(Millis(60'000));
  for (const CallId submit : submits) {
    BOOST_TEST(Describe(sim.answer(submit)) == "accepted");
    BOOST_TEST(sim.executions[sim.answer(submit)->request] >= 1);
  }
  BOOST_TEST(sim.violations.size() == 0U);
}

// Guards against a byte count that drifts, so that its bound is reached too
// early or never.
BOOST_AUTO_TEST_CASE(TableCountsBytesOfJobsAndResults) {
  RequestTable table;
  RequestRecord record;
  record.id = RequestId("z.e.1.1");
  record.spec.payload = "12345";
  record.spec.client_request_id = "abc";
  RequestRecord& stored = table.Insert(record);
  BOOST_TEST(table.bytes() == 8U);
  table.SetClosing(stored, {Outcome::kFinished, RefusalReason::kNone, "1234"});
  BOOST_TEST(table.bytes() == 12U);
  table.SetPhase(stored, RequestPhase::kEnded, TimePoint());
  table.SetOwner(stored, ReplicaOwner{});
  BOOST_TEST(table.bytes() == 12U);
  table.SetClosing(stored, {Outcome::kFinished, RefusalReason::kNone, "1"});
  BOOST_TEST(table.bytes() == 9U);
  table.Erase(record.id);
  BOOST_TEST(table.bytes() == 0U);
}

enum class PeerFault { kNone, kCut, kAnswersLost };

struct LeaveCase {
  PeerFault fault;
  bool confirmed;
};

constexpr LeaveCase kLeaves[] = {
    {PeerFault::kNone, true},
    // An unreachable peer counts as dead and gets the mark from gossip later.
    {PeerFault::kCut, true},
    {PeerFault::kAnswersLost, false},
};

std::ostream& operator<<(std::ostream& out, const LeaveCase& row) {
  return out << "fault " << static_cast<int>(row.fault);
}

// Guards against an entry host that confirms a leave and then crashes before
// any peer has the mark.
BOOST_DATA_TEST_CASE(LeaveIsConfirmedOnceThePeersHaveIt, kLeaves, row) {
  Zone sim(2);
  const LeavingWorker worker{sim.workers[0].host, sim.workers[0].incarnation};
  std::optional<bool> confirmed;
  bool known_to_peer = false;
  sim.intercept = [&](const EntryAction& action, int entry) {
    if (const auto* leave = std::get_if<AnswerLeave>(&action)) {
      BOOST_TEST(!confirmed.has_value());
      confirmed = leave->confirmed;
      known_to_peer = sim.cores[1]->workers().leaving_marks().contains(worker);
    }
    const auto* peer = std::get_if<SendPeer>(&action);
    return row.fault != PeerFault::kAnswersLost || entry != 1 ||
           peer == nullptr ||
           !std::holds_alternative<PeerGossipAnswer>(peer->message.body);
  };
  if (row.fault == PeerFault::kCut)
    sim.cut.emplace(0, 1);
  sim.cores[0]->OnWorkerLeave(1, worker, sim.now);
  sim.Apply(0);
  BOOST_TEST(!confirmed.has_value());
  sim.Run(Millis(5'000));
  BOOST_REQUIRE(confirmed.has_value());
  BOOST_TEST(*confirmed == row.confirmed);
  BOOST_TEST(known_to_peer == (row.fault != PeerFault::kCut));
}

// Guards invariant I5 (docs/design.md 4.2): only the request's own team learns
// its state.
BOOST_AUTO_TEST_CASE(CallsNeedAKeyOfTheTeam) {
  Zone sim(2);
  const CallId submit = sim.Submit(0, sim.Job(false));
  sim.Run(Millis(200));
  const RequestId id = sim.answer(submit)->request;
  for (const int entry : {0, 1}) {
    const CallId foreign = sim.Ask(entry, CallKind::kCancel, id, "d1.secret");
    const CallId none = sim.Ask(entry, CallKind::kResult, id, "");
    sim.Run(Millis(200));
    BOOST_TEST(Describe(sim.answer(foreign)) ==
               "unknown_may_have_run/wrong_team");
    BOOST_TEST(Describe(sim.answer(none)) == "unknown_may_have_run/bad_key");
  }
  sim.Run(Millis(8'000));
  BOOST_TEST(sim.executions[id] == 1);
}

// Guards against a retry at another entry host that runs the job again.
BOOST_AUTO_TEST_CASE(ClientRequestIdFindsTheFirstAttempt) {
  Zone sim(3);
  JobSpec spec = sim.Job(false);
  spec.client_request_id = "order-7";
  const CallId first = sim.Submit(0, spec);
  sim.Run(Millis(300));
  BOOST_REQUIRE_EQUAL(Describe(sim.answer(first)), "accepted");
  for (const int entry : {0, 1, 2}) {
    const CallId retry = sim.Submit(entry, spec);
    sim.Run(Millis(300));
    BOOST_REQUIRE(sim.answer(retry) != nullptr);
    BOOST_TEST(sim.answer(retry)->request == sim.answer(first)->request);
  }
  // An entry host that can't reach all others accepts no unknown
  // client_request_id of a non-repeatable job.
  sim.cut.emplace(2, 0);
  spec.client_request_id = "order-8";
  const CallId unsure = sim.Submit(2, spec);
  sim.Run(Millis(3'000));
  BOOST_TEST(Describe(sim.answer(unsure)) == "unknown_may_have_run");
  sim.Run(Millis(8'000));
  BOOST_TEST(sim.executions.size() == 1U);
}

// Guards invariants I6 and I7 for tickets: a retry at any entry host finds the
// request, and a refused ticket stays refused.
BOOST_AUTO_TEST_CASE(TicketIsUsedOnce) {
  Zone sim(2);
  const RequestId ticket = sim.cores[0]->NewTicket(sim.now).value();
  for (const int entry : {1, 0, 1}) {
    const CallId call = sim.Submit(entry, sim.Job(false), ticket);
    sim.Run(Millis(3'000));
    BOOST_TEST(sim.answer(call)->request == ticket);
  }
  BOOST_TEST(sim.executions[ticket] == 1);
  const RequestId refused = sim.cores[0]->NewTicket(sim.now).value();
  for (const char* key : {"k1.guess", "k1.secret"}) {
    const CallId call = sim.Submit(1, sim.Job(false), refused, key);
    sim.Run(Millis(3'000));
    BOOST_TEST(Describe(sim.answer(call)) == "refused_not_run/bad_key");
  }
  BOOST_TEST(sim.executions[refused] == 0);
  BOOST_TEST(sim.violations.size() == 0U);
}

// Guards against a call that is never answered when no peer responds.
BOOST_AUTO_TEST_CASE(EachCallIsAnsweredByItsDeadline) {
  Zone sim(2);
  const RequestId ticket = sim.cores[1]->NewTicket(sim.now).value();
  sim.cut.emplace(0, 1);
  const CallId calls[] = {
      sim.Submit(0, sim.Job(false)),
      sim.Submit(0, sim.Job(true), ticket),
      sim.Ask(0, CallKind::kQuery, ticket),
      sim.Ask(0, CallKind::kQuery, RequestId("z.e9.i9.1")),
      sim.Ask(0, CallKind::kQuery, RequestId("nonsense")),
  };
  const char* expected[] = {
      "unknown_may_have_run", "unknown_may_have_run", "unknown_may_have_run",
      "unknown_may_have_run/unknown_request", "refused_not_run/malformed"};
  sim.Run(Millis(4'200));
  for (std::size_t i = 0; i < std::size(calls); ++i) {
    // A peer that does not respond and one without the record look alike.
    const std::string shown = Describe(sim.answer(calls[i]));
    BOOST_TEST(shown.substr(0, 20) == std::string(expected[i]).substr(0, 20),
               i << ": " << shown);
  }
}

// Guards against a queued job that runs after it was cancelled or past its
// start deadline.
BOOST_AUTO_TEST_CASE(ClosedRequestsDoNotRun) {
  EntrySimulation sim(2, 0, 1);
  sim.Run(Millis(3'000));
  const CallId cancelled = sim.Submit(0, sim.Job(false));
  const CallId late = sim.Submit(0, sim.Job(false));
  sim.Run(Millis(500));
  const RequestId id = sim.answer(cancelled)->request;
  const CallId cancel = sim.Ask(1, CallKind::kCancel, id);
  sim.Run(Millis(21'000));
  BOOST_TEST(Describe(sim.answer(cancel)) == "cancelled");
  const CallId query = sim.Ask(0, CallKind::kQuery, sim.answer(late)->request);
  sim.Run(Millis(200));
  BOOST_TEST(Describe(sim.answer(query)) == "refused_not_run/deadline");
}

}  // namespace
}  // namespace boragewinch::testing
