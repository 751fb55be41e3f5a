#define BOOST_TEST_MODULE worker_call_agent
#include <boost/test/unit_test.hpp>

#include "ledger_builder.h"
#include "scheduler/worker_call_agent.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

/// An agent with fake workers; the test completes their calls.
struct Fixture {
  Fixture() : agent(Options(), MakeHooks()) { agent.Tick(At(0)); }

  static WorkerCallAgentOptions Options() {
    WorkerCallAgentOptions options;
    options.incarnation = Incarnation("agent");
    options.max_open_exchanges = 2;
    options.max_open_calls = 3;
    return options;
  }
  WorkerCallAgent::Hooks MakeHooks() {
    WorkerCallAgent::Hooks hooks;
    hooks.calls.start = [this](const jobs::WorkerRecord&, const StartCall& call,
                               WorkerCalls::Done<CallResponse> done) {
      starts.push_back({call, std::move(done)});
    };
    hooks.flush_soon = [this] { ++flushes_requested; };
    hooks.term = [this] { return replica_term; };
    return hooks;
  }
  static TimePoint At(std::int64_t millis) {
    return FromMillis(1'000 + millis);
  }
  static DelegatedCall Call(std::uint64_t id, Millis timeout = Millis(400)) {
    StartCall start;
    start.run = LedgerBuilder::Run("job", 0, static_cast<std::uint32_t>(id));
    start.timeout = timeout;
    DelegatedCall call{id, {}, start};
    call.worker.incarnation = LedgerBuilder::IncarnationOf("w");
    return call;
  }
  /// Sends an exchange; its reply goes to `replies`.
  void Send(std::uint64_t term,
            std::vector<DelegatedCall> calls,
            std::int64_t now = 0) {
    CallExchange exchange;
    exchange.term = term;
    exchange.wait = Millis(100);
    exchange.calls = std::move(calls);
    agent.OnExchange(
        EncodeExchange(exchange),
        [this](Result<std::string> reply) {
          replies.push_back(std::move(reply));
        },
        At(now));
  }
  [[nodiscard]] CallExchangeReply Reply(std::size_t index) const {
    return DecodeReply(replies.at(index).value()).value();
  }

  struct Made {
    StartCall call;
    WorkerCalls::Done<CallResponse> done;
  };
  std::uint64_t replica_term = 0;
  int flushes_requested = 0;
  std::vector<Made> starts;
  std::vector<Result<std::string>> replies;
  WorkerCallAgent agent;
};

// Guards against one message per response, which costs CPU time of the leader.
BOOST_FIXTURE_TEST_CASE(ResponsesShareAReply, Fixture) {
  Send(1, {Call(1), Call(2)});
  BOOST_REQUIRE(starts.size() == 2U);
  starts[0].done(CallResponse());
  starts[1].done(CallResponse());
  BOOST_TEST(flushes_requested == 1);
  BOOST_TEST(replies.empty());
  agent.Flush();
  BOOST_REQUIRE(replies.size() == 1U);
  BOOST_TEST(Reply(0).responses.size() == 2U);
  BOOST_TEST(agent.open_calls() == 0U);
}

// Guards against a leader that suspends a healthy agent because no worker has
// responded yet.
BOOST_FIXTURE_TEST_CASE(AnExchangeWithoutResponsesGetsAReply, Fixture) {
  Send(1, {Call(1)});
  agent.Tick(At(50));
  BOOST_TEST(replies.empty());
  agent.Tick(At(100));
  BOOST_REQUIRE(replies.size() == 1U);
  BOOST_TEST(Reply(0).responses.empty());
}

// Guards against responses that are lost, or wait for a further response,
// because no exchange was open when they arrived.
BOOST_FIXTURE_TEST_CASE(AResponseWaitsForTheNextExchange, Fixture) {
  Send(1, {Call(1)});
  agent.Tick(At(100));
  starts[0].done(CallResponse());
  agent.Flush();
  BOOST_TEST(replies.size() == 1U);
  Send(1, {}, 120);
  BOOST_REQUIRE(replies.size() == 2U);
  BOOST_TEST(Reply(1).responses.size() == 1U);
}

// Guards against exchanges that accumulate at an agent.
BOOST_FIXTURE_TEST_CASE(AFurtherExchangeMakesTheOldestReply, Fixture) {
  Send(1, {});
  Send(1, {});
  BOOST_TEST(replies.empty());
  Send(1, {});
  BOOST_TEST(replies.size() == 1U);
}

// Guards against an agent that still makes the calls of a deposed leader.
BOOST_FIXTURE_TEST_CASE(AnEarlierLeaderIsRejected, Fixture) {
  Send(2, {});
  Send(1, {Call(1)});
  BOOST_TEST((replies.at(0).error().code == ErrorCode::kFenced));
  replica_term = 3;
  Send(2, {Call(2)});
  BOOST_TEST((replies.at(1).error().code == ErrorCode::kFenced));
  BOOST_TEST(starts.empty());
}

// Guards against responses to an earlier leader's calls that a later leader
// assigns to its own calls with the same ids.
BOOST_FIXTURE_TEST_CASE(ALaterLeaderGetsNoEarlierResponses, Fixture) {
  Send(1, {Call(1)});
  Send(2, {Call(1)});
  BOOST_TEST((replies.at(0).error().code == ErrorCode::kFenced));
  starts[0].done(CallResponse{CallVerdict::kInsufficientCapacity, {}});
  agent.Flush();
  BOOST_TEST(replies.size() == 1U);
  starts[1].done(CallResponse());
  agent.Flush();
  BOOST_REQUIRE(Reply(1).responses.size() == 1U);
  BOOST_TEST((Reply(1).responses[0].result.value().call.verdict ==
              CallVerdict::kDone));
}

// Guards against a start that an agent makes long after it timed out at the
// leader: how long a message waited in a socket during a stall is unknown.
BOOST_FIXTURE_TEST_CASE(CallsThatWaitedThroughAStallAreNotMade, Fixture) {
  Send(1, {Call(1)}, 3'000);
  BOOST_TEST((replies.at(0).error().code == ErrorCode::kUnavailable));
  agent.Tick(At(3'000));
  Send(1, {Call(2)}, 3'010);
  BOOST_TEST((replies.at(1).error().code == ErrorCode::kUnavailable));
  BOOST_TEST(starts.empty());
  agent.Tick(At(3'050));
  agent.Tick(At(3'100));
  Send(1, {Call(3)}, 3'110);
  BOOST_TEST(starts.size() == 1U);
}

// Guards against a call that is made although it has already timed out.
BOOST_FIXTURE_TEST_CASE(ACallWithoutTimeIsNotMade, Fixture) {
  Send(1, {Call(1, Millis(0))});
  agent.Flush();
  BOOST_TEST(starts.empty());
  BOOST_REQUIRE(Reply(0).responses.size() == 1U);
  BOOST_TEST(
      (Reply(0).responses[0].result.error().code == ErrorCode::kTransport));
}

// Guards against a task that starts twice because a call was received twice.
BOOST_FIXTURE_TEST_CASE(AnOpenCallIsMadeOnce, Fixture) {
  Send(1, {Call(1)});
  Send(1, {Call(1)});
  BOOST_TEST(starts.size() == 1U);
}

// Guards against unbounded memory use for the calls of a leader.
BOOST_FIXTURE_TEST_CASE(CallsBeyondTheLimitAreRejected, Fixture) {
  Send(1, {Call(1), Call(2), Call(3), Call(4)});
  agent.Flush();
  BOOST_TEST(starts.size() == 3U);
  BOOST_REQUIRE(Reply(0).responses.size() == 1U);
  BOOST_TEST(Reply(0).responses[0].id == 4U);
  BOOST_TEST(
      (Reply(0).responses[0].result.error().code == ErrorCode::kTableFull));
}

// Guards against calls that a host accepts during shutdown and does not finish.
BOOST_FIXTURE_TEST_CASE(AStoppingHostAnnouncesItsShutdown, Fixture) {
  agent.Retire();
  Send(1, {});
  agent.Tick(At(100));
  BOOST_TEST(Reply(0).leaving);
}

// Guards against a malformed message that is treated as an empty one.
BOOST_FIXTURE_TEST_CASE(AMalformedMessageIsRejected, Fixture) {
  agent.OnExchange(
      "{}",
      [this](Result<std::string> reply) {
        replies.push_back(std::move(reply));
      },
      At(0));
  BOOST_TEST((replies.at(0).error().code == ErrorCode::kInvalidField));
}

}  // namespace
}  // namespace boragewinch::scheduler
