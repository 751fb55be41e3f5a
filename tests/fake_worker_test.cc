#define BOOST_TEST_MODULE fake_worker
#include <boost/test/unit_test.hpp>

#include "base/event_log.h"
#include "fakes/fake_worker.h"

namespace boragewinch {
namespace {

struct QuietLog {
  QuietLog() { ConfigureEventLog("fake_worker_test", EventLevel::kError); }
};
BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

struct Fixture {
  explicit Fixture(bool checkpoint = true) {
    config.host = HostName("h1");
    config.zone = ZoneName("z");
    config.rack = RackName("r");
    config.checkpoint = checkpoint;
    worker = std::make_unique<FakeWorker>(loop, client, config);
    BOOST_REQUIRE(worker->Start());
  }

  HttpResponse Post(const char* path, const Json& body) {
    HttpResponse response;
    response.status = 0;
    HttpCall call{"POST", "http://" + worker->address() + path};
    call.body = WriteJson(body);
    client.Send(std::move(call), [&](Result<HttpResponse> result) {
      if (result)
        response = std::move(result).value();
      loop.Stop();
    });
    loop.Run();
    return response;
  }
  HttpResponse StartTask(const char* task, const char* progress) {
    Json body;
    body["task"] = task;
    body["lease_ms"] = 60'000;
    body["payload"] = R"({"run_ms":3600000})";
    body["progress"] = progress;
    return Post("/tasks", body);
  }
  std::string Checkpoint(const char* task) {
    Json body;
    body["task"] = task;
    const HttpResponse response = Post("/tasks/checkpoint", body);
    return response.status == 200
               ? ParseJson(response.body).value()["answer"].asString()
               : std::to_string(response.status);
  }

  EventLoop loop;
  HttpClient client{loop, {}};
  FakeWorkerConfig config;
  std::unique_ptr<FakeWorker> worker;
};

// Guards against a fake whose checkpoint call differs from docs/api.md.
BOOST_AUTO_TEST_CASE(CheckpointStopsARunningTaskOnce) {
  Fixture fixture;
  static_cast<void>(fixture.StartTask("a/1", ""));
  BOOST_TEST(fixture.worker->running() == 1U);
  BOOST_TEST(fixture.Checkpoint("a/1") == "stopped");
  BOOST_TEST(fixture.worker->running() == 0U);
  BOOST_TEST(fixture.Checkpoint("a/1") == "not_running");
  BOOST_TEST(fixture.Checkpoint("b/1") == "not_running");
}

// Guards against a task that is stopped although the worker does not support
// checkpoints.
BOOST_AUTO_TEST_CASE(WorkerWithoutCheckpointAnswers404) {
  Fixture fixture(false);
  static_cast<void>(fixture.StartTask("a/1", ""));
  BOOST_TEST(fixture.Checkpoint("a/1") == "404");
  BOOST_TEST(fixture.worker->running() == 1U);
}

// Guards against an attempt that ignores the progress of the previous one: here
// the whole run time of one hour is done already.
BOOST_AUTO_TEST_CASE(ProgressShortensTheNextAttempt) {
  Fixture fixture;
  static_cast<void>(fixture.StartTask("a/2", R"({"done_ms":3600000})"));
  const WatchHandle deadline = fixture.loop.After(
      Millis(20'000), [&](TimePoint) { fixture.loop.Stop(); });
  const WatchHandle poll = fixture.loop.Every(Millis(5), [&](TimePoint) {
    if (fixture.worker->running() == 0)
      fixture.loop.Stop();
  });
  fixture.loop.Run();
  BOOST_TEST(fixture.worker->running() == 0U);
}

}  // namespace
}  // namespace boragewinch
