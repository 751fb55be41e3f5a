#define BOOST_TEST_MODULE worker_call_router
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "ledger_builder.h"
#include "scheduler/worker_call_router.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

/// A router with fake agents "a" and "b", whose replies the test sends.
struct Fixture {
  struct Exchange {
    std::string host;
    CallExchange message;
    std::function<void(Result<std::string>)> done;
  };

  Fixture()
      : router(WorkerCallRouterOptions(), Direct(), MakeHooks(), metrics) {}

  WorkerCalls Direct() {
    WorkerCalls calls;
    calls.start = [this](const jobs::WorkerRecord&, const StartCall& call,
                         const WorkerCalls::Done<CallResponse>& done) {
      direct_timeouts.push_back(call.timeout);
      done(CallResponse{CallVerdict::kDone, 1});
    };
    return calls;
  }
  WorkerCallRouter::Hooks MakeHooks() {
    WorkerCallRouter::Hooks hooks;
    hooks.exchange = [this](const std::string& host, const std::string& body,
                            Millis,
                            std::function<void(Result<std::string>)> done) {
      exchanges.push_back(
          {host, DecodeExchange(body).value(), std::move(done)});
    };
    hooks.hosts = [this] { return hosts; };
    hooks.flush_soon = [] {};
    hooks.now = [this] { return now; };
    return hooks;
  }
  void At(std::int64_t millis) { now = FromMillis(1'000 + millis); }
  /// Advances the time to `millis` with the ticks of an idle event loop.
  void RunUntil(std::int64_t millis) {
    const TimePoint end = FromMillis(1'000 + millis);
    while (now < end) {
      now = std::min(end, now + Millis(50));
      router.Tick(now);
    }
  }
  /// As RunUntil; the agents reply to all exchanges, without responses.
  void RunWithoutResponsesUntil(std::int64_t millis) {
    const TimePoint end = FromMillis(1'000 + millis);
    while (now < end) {
      for (const Exchange& exchange : std::exchange(exchanges, {}))
        exchange.done(EncodeReply(Reply()));
      now = std::min(end, now + Millis(50));
      router.Tick(now);
    }
  }

  static jobs::WorkerRecord Worker(int number, const std::string& zone = "") {
    jobs::WorkerRecord worker;
    worker.incarnation =
        LedgerBuilder::IncarnationOf("w" + std::to_string(number));
    worker.zone = ZoneName(zone);
    return worker;
  }
  /// Starts a task on a worker; its response goes to `responses`.
  void Start(const jobs::WorkerRecord& worker) {
    StartCall call;
    call.run = LedgerBuilder::Run("job", 0, 0);
    call.timeout = Millis(400);
    router.Start(
        worker, call,
        [this](Result<CallResponse> response) {
          responses.push_back(std::move(response));
        },
        now);
  }
  static CallExchangeReply Reply(const std::string& incarnation = "1") {
    CallExchangeReply reply;
    reply.agent = Incarnation(incarnation);
    return reply;
  }
  void Response(std::size_t index, const CallExchangeReply& reply) {
    const auto done = exchanges.at(index).done;
    done(EncodeReply(reply));
  }
  /// Replies to an exchange with responses to all of its calls.
  void RespondToAll(std::size_t index) {
    CallExchangeReply reply = Reply();
    for (const DelegatedCall& call : exchanges.at(index).message.calls)
      reply.responses.push_back({call.id, HoldResponse()});
    Response(index, reply);
  }
  /// Starts routing, lets all agents reply and discards these exchanges.
  void Begin() {
    router.Begin(5, now);
    for (std::size_t n = 0; n < hosts.size(); ++n)
      Response(n, Reply());
    exchanges.clear();
  }
  [[nodiscard]] std::string OtherThan(const std::string& host) const {
    return host == "a" ? "b" : "a";
  }
  [[nodiscard]] ErrorCode CodeOf(std::size_t index) const {
    return responses.at(index).error().code;
  }

  TimePoint now = FromMillis(1'000);
  std::vector<std::string> hosts = {"a", "b"};
  std::vector<Exchange> exchanges;
  std::vector<Millis> direct_timeouts;
  std::vector<Result<CallResponse>> responses;
  Metrics metrics;
  WorkerCallRouter router;
};

// Guards against one message per call, which costs CPU time of the leader.
BOOST_FIXTURE_TEST_CASE(CallsOfOneIterationShareAMessage, Fixture) {
  Begin();
  for (int n = 0; n < 20; ++n)
    Start(Worker(n));
  router.Flush(now);
  std::set<std::string> used;
  std::size_t calls = 0;
  for (const Exchange& exchange : exchanges) {
    BOOST_TEST(used.insert(exchange.host).second);
    BOOST_TEST(exchange.message.term == 5U);
    calls += exchange.message.calls.size();
  }
  BOOST_TEST(calls == 20U);
  BOOST_TEST(used.size() == 2U);
  BOOST_TEST(direct_timeouts.empty());
  RespondToAll(0);
  RespondToAll(1);
  BOOST_TEST(responses.size() == 20U);
  BOOST_TEST(router.open_calls() == 0U);
}

// Guards against calls to one worker that are reordered because they use two
// agents, and against connections to it from each host.
BOOST_FIXTURE_TEST_CASE(AWorkerKeepsItsAgent, Fixture) {
  Begin();
  std::set<std::string> used;
  for (int round = 0; round < 5; ++round) {
    exchanges.clear();
    Start(Worker(1));
    for (int n = 10; n < 13; ++n)
      Start(Worker(10 * round + n));
    router.Flush(now);
    for (const Exchange& exchange : exchanges) {
      for (const DelegatedCall& call : exchange.message.calls) {
        if (call.worker.incarnation == Worker(1).incarnation)
          used.insert(exchange.host);
      }
    }
  }
  BOOST_TEST(used.size() == 1U);
}

// Guards against unnecessary traffic between zones, and against one agent that
// gets all workers because they are all in its zone.
BOOST_FIXTURE_TEST_CASE(AgentsInTheWorkersZoneComeFirstUpToTheirShare,
                        Fixture) {
  router.Begin(5, now);
  for (std::size_t n = 0; n < 2; ++n) {
    CallExchangeReply reply = Reply();
    reply.zone = ZoneName("zone-" + exchanges[n].host);
    Response(n, reply);
  }
  exchanges.clear();
  for (int n = 0; n < 8; ++n)
    Start(Worker(n, "zone-b"));
  router.Flush(now);
  std::map<std::string, std::size_t> calls;
  for (const Exchange& exchange : exchanges)
    calls[exchange.host] += exchange.message.calls.size();
  BOOST_TEST(calls["b"] == 8U);
  exchanges.clear();
  for (int n = 8; n < 100; ++n)
    Start(Worker(n, "zone-b"));
  router.Flush(now);
  for (const Exchange& exchange : exchanges)
    calls[exchange.host] += exchange.message.calls.size();
  BOOST_TEST(calls["b"] <= 66U);
  BOOST_TEST(calls["a"] >= 34U);
}

// Guards against a start that is reported as not sent although the agent may
// have made it: the task could run twice.
BOOST_FIXTURE_TEST_CASE(ALostMessageEndsItsCallsAsPossiblyMade, Fixture) {
  Begin();
  Start(Worker(1));
  router.Flush(now);
  const Exchange sent = exchanges.at(0);
  sent.done(Fail(ErrorCode::kTimeout, "no response"));
  BOOST_REQUIRE(responses.size() == 1U);
  BOOST_TEST((CodeOf(0) == ErrorCode::kTimeout));
  BOOST_TEST((router.StateOf(sent.host) == AgentState::kSuspended));
  // The call is not made a second time.
  exchanges.clear();
  router.Flush(now);
  for (const Exchange& exchange : exchanges)
    BOOST_TEST(exchange.message.calls.empty());
}

// Guards against calls that wait for their timeout although the agent certainly
// has not made them.
BOOST_FIXTURE_TEST_CASE(ARejectedCallGoesToAnotherAgent, Fixture) {
  for (const ErrorCode code :
       {ErrorCode::kTransport, ErrorCode::kFenced, ErrorCode::kUnavailable}) {
    exchanges.clear();
    Begin();
    responses.clear();
    Start(Worker(1));
    router.Flush(now);
    const Exchange sent = exchanges.at(0);
    BOOST_REQUIRE(sent.message.calls.size() == 1U);
    exchanges.clear();
    At(100);
    sent.done(Fail(code, "not taken"));
    router.Flush(now);
    BOOST_REQUIRE(responses.empty());
    std::size_t calls = 0;
    for (const Exchange& exchange : exchanges) {
      if (exchange.message.calls.empty())
        continue;
      ++calls;
      BOOST_TEST(exchange.host == OtherThan(sent.host));
      BOOST_TEST(TimeAllowed(exchange.message.calls[0].order).count() == 300);
    }
    BOOST_TEST(calls == 1U);
    At(0);
  }
}

// Guards against a call that completes twice, first by its timeout and then by
// a late or repeated response.
BOOST_FIXTURE_TEST_CASE(LateAndRepeatedResponsesAreDropped, Fixture) {
  Begin();
  Start(Worker(1));
  router.Flush(now);
  const Exchange sent = exchanges.at(0);
  CallExchangeReply reply = Reply();
  const std::uint64_t id = sent.message.calls.at(0).id;
  reply.responses = {
      {id, HoldResponse()}, {id, HoldResponse()}, {999, HoldResponse()}};
  sent.done(EncodeReply(reply));
  BOOST_TEST(responses.size() == 1U);

  exchanges.clear();
  Start(Worker(1));
  router.Flush(now);
  reply.responses = {{exchanges.at(0).message.calls.at(0).id, HoldResponse()}};
  RunWithoutResponsesUntil(600);
  BOOST_REQUIRE(responses.size() == 2U);
  BOOST_TEST((CodeOf(1) == ErrorCode::kTimeout));
  for (const Exchange& exchange : std::exchange(exchanges, {})) {
    if (exchange.host == sent.host)
      exchange.done(EncodeReply(reply));
  }
  BOOST_TEST(responses.size() == 2U);
  BOOST_TEST(metrics.counter("worker_call_answers_late", {"", sent.host}) ==
             3U);
}

// Guards against calls of a restarted agent that wait for their timeout or are
// reported as not sent.
BOOST_FIXTURE_TEST_CASE(ARestartedAgentEndsTheCallsOfItsEarlierProcess,
                        Fixture) {
  Begin();
  Start(Worker(1));
  router.Flush(now);
  const std::string host = exchanges.at(0).host;
  // The agent confirms the call and has no response yet.
  Response(0, Reply("1"));
  exchanges.clear();
  Start(Worker(1));
  router.Flush(now);
  BOOST_TEST(exchanges.at(0).host == host);
  Response(0, Reply("2"));
  BOOST_REQUIRE(responses.size() == 1U);
  BOOST_TEST((CodeOf(0) == ErrorCode::kTimeout));
  // The call in the message that the new process replied to stays open.
  BOOST_TEST(router.open_calls() == 1U);
}

// Guards against responses of an earlier leadership that are assigned to calls
// of this one, and against calls that never complete.
BOOST_FIXTURE_TEST_CASE(TheEndOfLeadershipEndsAllCalls, Fixture) {
  Begin();
  Start(Worker(1));
  router.Flush(now);
  const Exchange sent = exchanges.at(0);
  Start(Worker(2));  // not sent yet
  router.End();
  BOOST_REQUIRE(responses.size() == 2U);
  BOOST_TEST((CodeOf(0) == ErrorCode::kTimeout));
  exchanges.clear();
  router.Begin(6, now);
  CallExchangeReply reply = Reply();
  reply.responses.push_back({sent.message.calls.at(0).id, HoldResponse()});
  sent.done(EncodeReply(reply));
  BOOST_TEST(responses.size() == 2U);
  BOOST_TEST((router.StateOf(sent.host) == AgentState::kUnknown));
  for (const Exchange& exchange : exchanges)
    BOOST_TEST(exchange.message.term == 6U);
}

// Guards against a leader without followers that makes no calls.
BOOST_FIXTURE_TEST_CASE(WithoutAgentsCallsAreMadeDirectly, Fixture) {
  hosts.clear();
  router.Begin(5, now);
  Start(Worker(1));
  At(20);
  router.Flush(now);
  BOOST_REQUIRE(direct_timeouts.size() == 1U);
  BOOST_TEST(direct_timeouts[0].count() == 380);
  BOOST_TEST(responses.size() == 1U);
}

// Guards against a new leader that makes the first calls to all workers itself,
// and against one that waits forever for unreachable agents.
BOOST_FIXTURE_TEST_CASE(TheFirstCallsWaitBrieflyForAnAgent, Fixture) {
  router.Begin(5, now);
  Start(Worker(1));
  router.Flush(now);
  BOOST_TEST(direct_timeouts.empty());
  At(60);
  router.Tick(now);
  BOOST_TEST(direct_timeouts.size() == 1U);
}

// Guards against a call that is sent after its timeout.
BOOST_FIXTURE_TEST_CASE(ATimedOutCallIsNotSent, Fixture) {
  Begin();
  Start(Worker(1));
  At(400);
  router.Flush(now);
  BOOST_REQUIRE(responses.size() == 1U);
  BOOST_TEST((CodeOf(0) == ErrorCode::kTransport));
  for (const Exchange& exchange : exchanges)
    BOOST_TEST(exchange.message.calls.empty());
}

// Guards against an unreachable agent that is probed without backoff, and
// against one that is never probed again.
BOOST_FIXTURE_TEST_CASE(TheBackoffGrowsWithEachFailure, Fixture) {
  hosts = {"a"};
  Begin();
  router.Flush(now);
  const auto fail = [this] {
    const auto done = exchanges.back().done;
    exchanges.clear();
    done(Fail(ErrorCode::kTransport, "gone"));
  };
  fail();
  Start(Worker(1));
  router.Flush(now);
  BOOST_TEST(direct_timeouts.size() == 1U);
  At(999);
  router.Tick(now);
  BOOST_TEST(exchanges.empty());
  At(1'000);
  router.Tick(now);
  BOOST_REQUIRE(exchanges.size() == 1U);
  fail();
  At(2'999);
  router.Tick(now);
  BOOST_TEST(exchanges.empty());
  At(3'000);
  router.Tick(now);
  BOOST_REQUIRE(exchanges.size() == 1U);
  Response(0, Reply());
  BOOST_TEST((router.StateOf("a") == AgentState::kHealthy));
  Start(Worker(1));
  router.Flush(now);
  BOOST_TEST(direct_timeouts.size() == 1U);
}

// Guards against new calls to an agent that shuts down, and against open calls
// that are abandoned although it still replies.
BOOST_FIXTURE_TEST_CASE(ALeavingAgentFinishesItsCalls, Fixture) {
  hosts = {"a"};
  Begin();
  Start(Worker(1));
  router.Flush(now);
  const std::uint64_t id = exchanges.at(0).message.calls.at(0).id;
  CallExchangeReply reply = Reply();
  reply.leaving = true;
  Response(0, reply);
  BOOST_TEST(responses.empty());
  Start(Worker(2));
  router.Flush(now);
  BOOST_TEST(direct_timeouts.size() == 1U);
  // The exchange that returns the response of the open call.
  BOOST_REQUIRE(exchanges.size() == 2U);
  reply.responses.push_back({id, HoldResponse()});
  Response(1, reply);
  BOOST_TEST(responses.size() == 2U);
}

// Guards against an agent that replies and loses its calls.
BOOST_FIXTURE_TEST_CASE(AnAgentThatLosesItsCallsIsSuspended, Fixture) {
  hosts = {"a"};
  Begin();
  for (int n = 0; n < 3; ++n)
    Start(Worker(n));
  router.Flush(now);
  RunWithoutResponsesUntil(550);
  BOOST_TEST(responses.size() == 3U);
  BOOST_TEST((router.StateOf("a") == AgentState::kSuspended));
}

// Guards against calls that wait for their timeout because their agent froze or
// is partitioned.
BOOST_FIXTURE_TEST_CASE(AnUnresponsiveAgentIsSuspended, Fixture) {
  hosts = {"a"};
  Begin();
  Start(Worker(1));
  router.Flush(now);
  RunUntil(300);
  BOOST_TEST(responses.empty());
  RunUntil(350);
  BOOST_REQUIRE(responses.size() == 1U);
  BOOST_TEST((CodeOf(0) == ErrorCode::kTimeout));
  BOOST_TEST((router.StateOf("a") == AgentState::kSuspended));
}

// Guards against a stalled leader that suspends all agents, and fails hundreds
// of calls, although their replies wait in its sockets.
BOOST_FIXTURE_TEST_CASE(AStalledLeaderReadsRepliesFirst, Fixture) {
  hosts = {"a"};
  Begin();
  Start(Worker(1));
  router.Flush(now);
  At(2'000);
  router.Tick(now);
  BOOST_TEST(responses.empty());
  BOOST_TEST((router.StateOf("a") == AgentState::kHealthy));
  RespondToAll(0);
  BOOST_REQUIRE(responses.size() == 1U);
  BOOST_TEST(responses[0].has_value());
}

// Guards against a malformed reply that is treated as one without responses.
BOOST_FIXTURE_TEST_CASE(AMalformedReplySuspendsTheAgent, Fixture) {
  hosts = {"a"};
  Begin();
  Start(Worker(1));
  router.Flush(now);
  const auto done = exchanges.at(0).done;
  done(std::string("{}"));
  BOOST_REQUIRE(responses.size() == 1U);
  BOOST_TEST((CodeOf(0) == ErrorCode::kTimeout));
  BOOST_TEST((router.StateOf("a") == AgentState::kSuspended));
}

// Guards against calls at a removed member that never complete, and against its
// replies that are assigned to its successor at the same address.
BOOST_FIXTURE_TEST_CASE(ARemovedHostIsNoAgent, Fixture) {
  hosts = {"a"};
  Begin();
  Start(Worker(1));
  router.Flush(now);
  hosts.clear();
  router.Tick(now);
  BOOST_REQUIRE(responses.size() == 1U);
  BOOST_TEST((CodeOf(0) == ErrorCode::kTimeout));
  hosts = {"a"};
  router.Tick(now);
  RespondToAll(0);
  BOOST_TEST(responses.size() == 1U);
  BOOST_TEST((router.StateOf("a") == AgentState::kUnknown));
}

}  // namespace
}  // namespace boragewinch::scheduler
