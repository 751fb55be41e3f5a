#define BOOST_TEST_MODULE platform_fakes
#include <boost/test/unit_test.hpp>

#include <memory>

#include "platform/fakes/fake_backend.h"
#include "platform/fakes/guarantee_checker.h"

namespace boragewinch::platform {
namespace {

constexpr char kId[] = "00000000000000aa";
const std::string kFirst = std::string(kId) + ".0.0.0";
const std::string kSecond = std::string(kId) + ".0.1.0";

// --- The checker: each test guards against an undetected violation or, where
// none is expected, against a false one ---

struct CheckerFixture {
  GuaranteeChecker checker{2};
  TimePoint now = FromMillis(1'000);

  CheckerFixture() {
    FakeJob job;
    job.payload = "p";
    FakeStep step;
    job.steps.push_back(step);
    step.depends_on = {0};
    job.steps.push_back(step);
    checker.AddJob(kId, job);
    checker.OnSubmit(kId, CallOutcome::kAccepted, now);
  }
  void StartRun(const std::string& task, const std::string& incarnation) {
    now += Millis(1);
    checker.OnRunStarted(task, incarnation, "p", false, now);
  }
  void EndRun(const std::string& task,
              const std::string& incarnation,
              const char* how) {
    now += Millis(1);
    checker.OnRunEnded(task, incarnation, how, now);
  }
  void AcknowledgeEnd(const std::string& task,
                      const char* how,
                      bool lease_expired = false) {
    checker.OnEndAcknowledged(task, how, now, lease_expired, now);
  }
  void ReportState(const std::string& state) {
    now += Millis(1);
    checker.OnState(kId, state, now, now);
  }
  void ExpectViolation(const std::string& violation) {
    BOOST_TEST(checker.violations().size() == 1U);
    for (const std::string& line : checker.violations())
      BOOST_TEST((line.find(violation) != std::string::npos), line);
  }
};

BOOST_FIXTURE_TEST_CASE(AJobWithoutFaultsBreaksNothing, CheckerFixture) {
  for (const std::string& task : {kFirst, kSecond}) {
    StartRun(task, "w1");
    EndRun(task, "w1", "done");
    AcknowledgeEnd(task, "done");
  }
  ReportState("completed");
  checker.CheckEnd(now);
  BOOST_TEST(checker.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(TwoRunsAtOnceAreFound, CheckerFixture) {
  StartRun(kFirst, "w1");
  StartRun(kFirst, "w2");
  ExpectViolation("TWICE");
}

/// The job's first step is speculative.
struct SpeculativeFixture : CheckerFixture {
  SpeculativeFixture() {
    FakeJob job;
    job.payload = "p";
    FakeStep step;
    step.speculative = true;
    job.steps.push_back(step);
    checker.AddJob(kId, job);
  }
};

BOOST_FIXTURE_TEST_CASE(ACopyOfASpeculativeTaskIsAllowed, SpeculativeFixture) {
  StartRun(kFirst, "w1");
  StartRun(kFirst, "w2");
  EndRun(kFirst, "w2", "done");
  AcknowledgeEnd(kFirst, "done");
  EndRun(kFirst, "w1", "stopped");
  BOOST_TEST(checker.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(AThirdRunIsFound, SpeculativeFixture) {
  StartRun(kFirst, "w1");
  StartRun(kFirst, "w2");
  StartRun(kFirst, "w3");
  ExpectViolation("TWICE");
}

BOOST_FIXTURE_TEST_CASE(ACopyOnTheSameWorkerIsFound, SpeculativeFixture) {
  StartRun(kFirst, "w1");
  StartRun(kFirst, "w1");
  ExpectViolation("TWICE");
}

// The start of the copy was stored before the end of the other run.
BOOST_FIXTURE_TEST_CASE(ACopyMayStartJustAfterTheEnd, SpeculativeFixture) {
  StartRun(kFirst, "w1");
  EndRun(kFirst, "w1", "done");
  const TimePoint ended = now;
  StartRun(kFirst, "w2");
  checker.OnEndAcknowledged(kFirst, "done", ended, false, now);
  BOOST_TEST(checker.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(ACopyLongAfterTheEndIsFound, SpeculativeFixture) {
  StartRun(kFirst, "w1");
  EndRun(kFirst, "w1", "done");
  AcknowledgeEnd(kFirst, "done");
  now += Millis(20'000);
  StartRun(kFirst, "w2");
  ExpectViolation("TWICE");
}

BOOST_FIXTURE_TEST_CASE(ACopyThatOutlivesItsJobIsFound, SpeculativeFixture) {
  StartRun(kFirst, "w1");
  StartRun(kFirst, "w2");
  EndRun(kFirst, "w2", "done");
  ReportState("completed");
  checker.CheckEnd(now);
  ExpectViolation("UNASKED");
}

BOOST_FIXTURE_TEST_CASE(ARunOfACrashedWorkerDoesNotOverlap, CheckerFixture) {
  StartRun(kFirst, "w1");
  checker.OnIncarnationEnded("w1");
  StartRun(kFirst, "w2");
  BOOST_TEST(checker.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(AStartAfterAnAcknowledgedEndIsFound, CheckerFixture) {
  StartRun(kFirst, "w1");
  EndRun(kFirst, "w1", "done");
  AcknowledgeEnd(kFirst, "done");
  StartRun(kFirst, "w2");
  ExpectViolation("TWICE");
}

BOOST_FIXTURE_TEST_CASE(AnEndAcknowledgedAfterAFurtherStartIsFound,
                        CheckerFixture) {
  StartRun(kFirst, "w1");
  EndRun(kFirst, "w1", "done");
  const TimePoint ended = now;
  StartRun(kFirst, "w2");
  checker.OnEndAcknowledged(kFirst, "done", ended, false, now);
  ExpectViolation("TWICE");
}

BOOST_FIXTURE_TEST_CASE(AnEndBeforeALeaseExpiryMayBeRepeated, CheckerFixture) {
  StartRun(kFirst, "w1");
  EndRun(kFirst, "w1", "done");
  StartRun(kFirst, "w2");
  AcknowledgeEnd(kFirst, "done", true);
  BOOST_TEST(checker.violations().empty());
}

BOOST_FIXTURE_TEST_CASE(AStartBeforeItsDependenciesIsFound, CheckerFixture) {
  StartRun(kSecond, "w1");
  ExpectViolation("ORDER");
}

BOOST_FIXTURE_TEST_CASE(AStartBeyondTheAttemptsIsFound, CheckerFixture) {
  for (int i = 0; i < 2; ++i) {
    StartRun(kFirst, "w1");
    EndRun(kFirst, "w1", "failed");
    AcknowledgeEnd(kFirst, "failed");
  }
  StartRun(kFirst, "w1");
  ExpectViolation("BUDGET");
}

BOOST_FIXTURE_TEST_CASE(AnUnknownTaskIsFound, CheckerFixture) {
  StartRun("00000000000000bb.0.0.0", "w1");
  ExpectViolation("UNASKED");
}

BOOST_FIXTURE_TEST_CASE(AnotherPayloadIsFound, CheckerFixture) {
  checker.OnRunStarted(kFirst, "w1", "q", false, now);
  ExpectViolation("UNASKED");
}

BOOST_FIXTURE_TEST_CASE(AStartLongAfterACancellationIsFound, CheckerFixture) {
  checker.OnCancelSent(kId);
  checker.OnCanceled(kId, now);
  now += Millis(60'000);
  StartRun(kFirst, "w1");
  ExpectViolation("UNASKED");
}

BOOST_FIXTURE_TEST_CASE(CompletionBeforeTheLastEndIsFound, CheckerFixture) {
  StartRun(kFirst, "w1");
  EndRun(kFirst, "w1", "done");
  ReportState("completed");
  ExpectViolation("MIXED");
}

BOOST_FIXTURE_TEST_CASE(AnAcceptedJobMustBeKnown, CheckerFixture) {
  ReportState("");
  ExpectViolation("LOST");
}

BOOST_FIXTURE_TEST_CASE(AFailureNeedsACause, CheckerFixture) {
  ReportState("failed");
  ExpectViolation("LOST");
}

BOOST_FIXTURE_TEST_CASE(ACancellationNeedsACaller, CheckerFixture) {
  ReportState("canceled");
  ExpectViolation("LOST");
}

BOOST_FIXTURE_TEST_CASE(AFinalStateStays, CheckerFixture) {
  checker.OnCancelSent(kId);
  ReportState("canceled");
  ReportState("running");
  ExpectViolation("MIXED");
}

BOOST_FIXTURE_TEST_CASE(AnAcceptedJobMustEnd, CheckerFixture) {
  ReportState("running");
  checker.CheckEnd(now);
  ExpectViolation("LOST");
}

BOOST_AUTO_TEST_CASE(ARefusedJobMustNotRun) {
  GuaranteeChecker checker(2);
  FakeJob job;
  job.steps.emplace_back();
  checker.AddJob(kId, job);
  checker.OnSubmit(kId, CallOutcome::kRefused, TimePoint());
  checker.OnRunStarted(kFirst, "w1", "", false, TimePoint());
  checker.CheckEnd(TimePoint());
  BOOST_TEST(checker.violations().size() == 1U);
}

BOOST_AUTO_TEST_CASE(AnOlderConfigurationIsFound) {
  GuaranteeChecker checker(2);
  checker.OnConfigAcknowledged(5);
  checker.OnConfigRead(5, checker.config_floor(), TimePoint());
  BOOST_TEST(checker.violations().empty());
  checker.OnConfigRead(4, checker.config_floor(), TimePoint());
  BOOST_TEST(checker.violations().size() == 1U);
}

// --- The worker: each test guards against a fake that deviates from the
// protocol, so that the checker would miss violations or report false ones ---

struct BackendFixture {
  EventLoop loop;
  HttpClient client{loop, HttpClientLimits{}};
  GuaranteeChecker checker{4};
  std::unique_ptr<FakeBackend> worker;

  BackendFixture() {
    FakeJob job;
    job.steps.emplace_back();
    job.steps.front().run = Millis(60'000);
    checker.AddJob(kId, job);
    FakeBackendConfig config;
    config.id = "i-1";
    // No scheduler listens for heartbeats here.
    config.controls = {"127.0.0.1:9"};
    worker = std::make_unique<FakeBackend>(loop, client, checker, config);
    BOOST_REQUIRE(worker->Start());
  }
  HttpResponse Call(const std::string& path,
                    const Json& body,
                    const std::string& instance = "i-1") {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + worker->address() + path;
    call.headers["Expect-Instance"] = instance;
    call.body = WriteJson(body);
    HttpResponse response;
    response.status = 0;
    client.Send(std::move(call), [&](const Result<HttpResponse>& result) {
      if (result)
        response = result.value();
      loop.Stop();
    });
    loop.Run();
    return response;
  }
  static Json Order(int run, int token, int deadline) {
    Json body;
    body["task"] = kFirst;
    body["runId"] = run;
    body["fencingToken"] = token;
    body["deadlineMs"] = deadline;
    body["spec"] = "";
    return body;
  }
  std::string ReasonOf(const HttpResponse& response) {
    BOOST_TEST(response.status == 409);
    const Result<Json> json = ParseJson(response.body);
    return json ? json.value()["reason"].asString() : "";
  }
};

BOOST_FIXTURE_TEST_CASE(ALowerTokenIsFenced, BackendFixture) {
  BOOST_TEST(Call("/-/run-start", Order(1, 7, 60'000)).status == 200);
  BOOST_TEST(ReasonOf(Call("/-/run-start", Order(2, 6, 60'000))) == "fence");
  BOOST_TEST(ReasonOf(Call("/-/run-stop", Order(1, 6, 60'000))) == "fence");
  BOOST_TEST(ReasonOf(Call("/-/hold", Order(1, 6, 60'000))) == "fence");
  BOOST_TEST(worker->running() == 1U);
}

BOOST_FIXTURE_TEST_CASE(AStoppedRunDoesNotStartLater, BackendFixture) {
  BOOST_TEST(Call("/-/run-stop", Order(2, 7, 0)).status == 200);
  BOOST_TEST(ReasonOf(Call("/-/run-start", Order(2, 7, 60'000))) == "old");
  BOOST_TEST(Call("/-/run-start", Order(3, 7, 60'000)).status == 200);
}

BOOST_FIXTURE_TEST_CASE(AStartAfterItsLeaseIsLate, BackendFixture) {
  BOOST_TEST(ReasonOf(Call("/-/run-start", Order(1, 7, 0))) == "late");
}

BOOST_FIXTURE_TEST_CASE(ACallForAnotherWorkerIsMisdirected, BackendFixture) {
  constexpr int kMisdirected = 421;
  BOOST_TEST(Call("/-/run-start", Order(1, 7, 60'000), "i-2").status ==
             kMisdirected);
}

BOOST_FIXTURE_TEST_CASE(EndsAreListedUntilTheyAreAcknowledged, BackendFixture) {
  Json hold;
  hold["fencingToken"] = 7;
  hold["ackCursor"] = 0;
  hold["waitMs"] = 2'000;
  BOOST_TEST(Call("/-/run-start", Order(1, 7, 60'000)).status == 200);
  BOOST_TEST(Call("/-/run-stop", Order(1, 7, 0)).status == 200);
  for (int i = 0; i < 2; ++i) {
    const Json lists = ParseJson(Call("/-/hold", hold).body).value();
    BOOST_TEST(lists["finished"].size() == 1U);
    BOOST_TEST(lists["finished"][0][3].asString() == "stopped");
    BOOST_TEST(lists["running"].empty());
  }
  hold["ackCursor"] = 1;
  hold.removeMember("waitMs");
  BOOST_TEST(ParseJson(Call("/-/hold", hold).body).value()["finished"].empty());
}

BOOST_FIXTURE_TEST_CASE(ARunEndsWithItsLease, BackendFixture) {
  BOOST_TEST(Call("/-/run-start", Order(1, 7, 600)).status == 200);
  Json hold;
  hold["fencingToken"] = 7;
  hold["ackCursor"] = 0;
  hold["waitMs"] = 2'000;
  const Json lists = ParseJson(Call("/-/hold", hold).body).value();
  BOOST_TEST(lists["finished"][0][3].asString() == "lapsed");
}

/// A worker whose calls are delayed, and the next incarnation of it.
struct RestartFixture : BackendFixture {
  RestartFixture() {
    BOOST_REQUIRE(control.Listen("127.0.0.1:0"));
    config.id = "i-1";
    config.controls = {control.address()};
    config.order_delay = Millis(300);
    worker = std::make_unique<FakeBackend>(loop, client, checker, config);
    BOOST_REQUIRE(worker->Start());
  }
  /// Sends a start that is delayed, and restarts the worker meanwhile.
  void RestartWithALateStart() {
    worker->SetResponseMode(ResponseMode::kDelayed);
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + worker->address() + "/-/run-start";
    call.headers["Expect-Instance"] = "i-1";
    call.body = WriteJson(Order(1, 7, 60'000));
    client.Send(std::move(call), [](const Result<HttpResponse>&) {});
    std::vector<FakeBackend::DelayedCall> calls;
    while (calls.empty()) {
      RunFor(Millis(10));
      calls = worker->TakeDelayedCalls();
    }
    worker = std::make_unique<FakeBackend>(loop, client, checker, config);
    heartbeats = 0;
    BOOST_REQUIRE(worker->Start());
    worker->Adopt(std::move(calls));
    while (heartbeats == 0)
      RunFor(Millis(10));
    RunFor(Millis(20));
  }
  void RunFor(Millis time) {
    const WatchHandle stop =
        loop.After(time, [this](TimePoint) { loop.Stop(); });
    loop.Run();
  }

  int heartbeats = 0;
  HttpServer control{loop, HttpServerLimits{},
                     [this](const HttpRequest&, const HttpResponder& respond) {
                       ++heartbeats;
                       respond({200, "{}"});
                     }};
  FakeBackendConfig config;
};

// Guards against fakes whose restarted workers never carry out an order for
// their earlier incarnation, as those of the platform do.
BOOST_FIXTURE_TEST_CASE(ALateCallReachesTheNextIncarnation, RestartFixture) {
  RestartWithALateStart();
  Json hold;
  hold["fencingToken"] = 7;
  BOOST_TEST(Call("/-/hold", hold).status == 200);
  RunFor(config.order_delay);
  BOOST_TEST(worker->running() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ALateCallWithALowerTokenIsIgnored, RestartFixture) {
  RestartWithALateStart();
  Json hold;
  hold["fencingToken"] = 8;
  BOOST_TEST(Call("/-/hold", hold).status == 200);
  RunFor(config.order_delay);
  BOOST_TEST(worker->running() == 0U);
}

}  // namespace
}  // namespace boragewinch::platform
