#define BOOST_TEST_MODULE worker_client
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kernel/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/worker_client.h"

namespace boragewinch::platform {
namespace {

using scheduler::CallResponse;
using scheduler::CallVerdict;

/// A worker that sends a fixed response, and the calls to it.
struct Fixture {
  Fixture() {
    BOOST_REQUIRE(server.Listen("127.0.0.1:0"));
    worker.incarnation = {jobs::WorkerId("i-1"), 17};
    worker.address = server.address();
  }

  Result<CallResponse> Start() {
    scheduler::StartCall call;
    call.run = {{jobs::JobId("5c0e7a21d94b36f8"), 0, 1, 17}, 2};
    call.payload = "text";
    call.token = 7;
    call.lease_until_ms = 486'000;
    call.timeout = Millis(5'000);
    std::optional<Result<CallResponse>> got;
    calls.start(worker, call, [&](Result<CallResponse> response) {
      got = std::move(response);
      loop.Stop();
    });
    loop.Run();
    return *got;
  }

  EventLoop loop;
  HttpClient client{loop, HttpClientLimits{}};
  HttpResponse response{200, R"({"clockMs":482113,"born":17})"};
  HttpRequest request;
  HttpServer server{loop, HttpServerLimits{},
                    [this](HttpRequest received, const HttpResponder& respond) {
                      request = std::move(received);
                      respond(response);
                    }};
  jobs::WorkerRecord worker;
  scheduler::WorkerCalls calls = MakeWorkerCalls(client, "");
};

// Guards against progress beyond the range of its type, whose conversion is
// undefined.
BOOST_FIXTURE_TEST_CASE(TheProgressOfARunIsBounded, Fixture) {
  for (const auto& [listed, percent] : std::vector<std::pair<const char*, int>>{
           {"1e300", 100}, {"-1e300", 0}, {"41", 41}}) {
    response.body =
        R"({"clockMs":1,"finished":[],"running":[["a.0.0.1",2,"",)" +
        std::string(listed) + "]]}";
    std::optional<Result<scheduler::HoldResponse>> got;
    scheduler::HoldCall call;
    call.timeout = Millis(5'000);
    calls.hold(worker, call, [&](Result<scheduler::HoldResponse> list) {
      got = std::move(list);
      loop.Stop();
    });
    loop.Run();
    BOOST_REQUIRE(*got);
    BOOST_REQUIRE(got->value().running.size() == 1U);
    BOOST_TEST(got->value().running[0].percent == percent);
  }
}

// Guards against a list whose numbers or checkpoints fit into messages but not
// into a snapshot of the ledger or a log entry: no replica could read them.
BOOST_FIXTURE_TEST_CASE(ListsHoldOnlyWhatCanBeStored, Fixture) {
  const auto list = [this](const std::string& running,
                           const std::string& ended) {
    response.body = R"({"clockMs":1,"running":[)" + running +
                    R"(],"finished":[)" + ended + "]}";
    std::optional<Result<scheduler::HoldResponse>> got;
    scheduler::HoldCall call;
    call.timeout = Millis(5'000);
    calls.hold(worker, call, [&](Result<scheduler::HoldResponse> result) {
      got = std::move(result);
      loop.Stop();
    });
    loop.Run();
    return got->has_value();
  };
  const std::string longest(jobs::kMaxCheckpointBytes, 'c');
  const auto running = [](const std::string& checkpoint) {
    return R"(["a.0.0.1",2,")" + checkpoint + R"(",4])";
  };
  const auto ended = [](const std::string& number,
                        const std::string& checkpoint) {
    return "[" + number + R"(,"a.0.0.1",2,"done",")" + checkpoint + R"("])";
  };
  BOOST_TEST(list(running(longest), ended("9007199254740991", longest)));
  BOOST_TEST(!list(running(longest + "c"), ""));
  BOOST_TEST(!list("", ended("1", longest + "c")));
  for (const char* number : {"0", "-1", "9007199254740992"})
    BOOST_TEST(!list("", ended(number, "")), number);
}

// Guards against lease times that overflow.
BOOST_FIXTURE_TEST_CASE(AClockOutOfRangeIsIgnored, Fixture) {
  for (const char* clock : {"-1", "9223372036854775807", "\"1\""}) {
    response.body = R"({"born":17,"clockMs":)" + std::string(clock) + "}";
    const auto result = Start();
    BOOST_REQUIRE(result);
    BOOST_TEST(!result.value().clock_ms.has_value(), clock);
  }
}

// Guards against a host list that never ends and is taken as whole, so that
// the hosts that are missing from it count as removed.
BOOST_FIXTURE_TEST_CASE(AnEndlessHostListIsAnError, Fixture) {
  response.body = R"({"machines":[],"nextPageToken":"more"})";
  const scheduler::HostCalls hosts =
      MakeHostCalls(client, server.address(), "holder");
  std::optional<Result<std::vector<scheduler::HostRow>>> got;
  hosts.list([&](Result<std::vector<scheduler::HostRow>> list) {
    got = std::move(list);
    loop.Stop();
  });
  loop.Run();
  BOOST_REQUIRE(!*got);
  BOOST_TEST((got->error().code == ErrorCode::kTooLarge));
}

// Guards against a start request that the worker decodes differently.
BOOST_FIXTURE_TEST_CASE(AStartIsEncodedAsTheProtocolDefines, Fixture) {
  const auto result = Start();
  BOOST_REQUIRE(result);
  BOOST_TEST((result.value().verdict == CallVerdict::kDone));
  BOOST_TEST(*result.value().clock_ms == 482'113);
  BOOST_TEST(request.path == "/-/run-start");
  BOOST_TEST(request.headers.at("expect-instance") == "i-1");
  const auto body = ParseJson(request.body);
  BOOST_REQUIRE(body);
  BOOST_TEST(body.value()["task"].asString() == "5c0e7a21d94b36f8.0.1.17");
  BOOST_TEST(body.value()["runId"].asUInt() == 2U);
  BOOST_TEST(body.value()["deadlineMs"].asInt64() == 486'000);
  BOOST_TEST(body.value()["fencingToken"].asUInt64() == 7U);
}

// Guards against treating an undefined response as "not started": the worker
// may have started the task, which would then be started a second time.
BOOST_FIXTURE_TEST_CASE(OnlyDefinedResponsesDecideAStart, Fixture) {
  struct Row {
    int status;
    const char* body;
    std::optional<CallVerdict> verdict;  ///< nullopt: the outcome is unknown
  };
  const Row rows[] = {
      {409, R"({"reason":"fence"})", CallVerdict::kFenced},
      {409, R"({"reason":"old"})", CallVerdict::kStale},
      {409, R"({"reason":"late"})", CallVerdict::kLate},
      {409, R"({"reason":"room"})", CallVerdict::kInsufficientCapacity},
      {409, R"({"reason":"ticket"})", CallVerdict::kNoTicket},
      {409, R"({"reason":"moon"})", std::nullopt},
      {409, "", std::nullopt},
      {400, "{}", CallVerdict::kInvalid},
      {429, "", CallVerdict::kUnhealthy},
      {503, "", CallVerdict::kUnhealthy},
      {421, "", CallVerdict::kOtherWorker},
      {421, R"({"clockMs":5,"born":18})", CallVerdict::kOtherWorker},
      {500, "", std::nullopt},
      {502, "{}", std::nullopt},
      {200, R"({"clockMs":5,"born":18})", CallVerdict::kOtherIncarnation},
  };
  for (const Row& row : rows) {
    response = {row.status, row.body};
    const auto result = Start();
    BOOST_TEST(result.has_value() == row.verdict.has_value(),
               row.status << " " << row.body);
    if (result && row.verdict)
      BOOST_TEST((result.value().verdict == *row.verdict),
                 row.status << " " << row.body);
  }
}

}  // namespace
}  // namespace boragewinch::platform
