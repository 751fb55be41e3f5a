#define BOOST_TEST_MODULE platform_path_process
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "platform_world.h"

namespace boragewinch::platform {
namespace {

// For a slow machine; nothing here takes this long unless it hangs.
constexpr Millis kWaitLimit{60'000};

struct RunningWorld {
  PlatformWorld world{WorldShape{}};
  PromiseChecker& checker = world.checker();

  RunningWorld() {
    BOOST_REQUIRE(world.Begin(kWaitLimit));
    world.callers().Start();
    Complete(5);
  }
  // Waits until so many more jobs have completed.
  void Complete(std::size_t more) {
    const std::size_t before = checker.completed();
    BOOST_REQUIRE(world.RunUntil(
        kWaitLimit, [&] { return checker.completed() >= before + more; }));
  }
  void Finish() {
    const bool settled = world.Settle(kWaitLimit);
    for (const std::string& promise : checker.broken())
      BOOST_ERROR("broken promise: " << promise);
    BOOST_TEST(settled);
    BOOST_TEST_MESSAGE(checker.Summary());
  }
  // Waits for a leader other than `former`, whose last view may be old.
  void AwaitLeaderOtherThan(const std::string& former) {
    BOOST_REQUIRE(world.RunUntil(kWaitLimit, [&] {
      const std::string leader = world.Leader();
      return !leader.empty() && leader != former;
    }));
  }
};

// Guards against a path that loses, repeats or reorders work without faults.
BOOST_FIXTURE_TEST_CASE(ACalmRunKeepsAllPromises, RunningWorld) {
  Complete(15);
  Finish();
  BOOST_TEST(checker.completed() >= 20U);
  BOOST_TEST(world.callers().unanswered().empty());
}

// Guards against accepted work or running tasks lost with the leader.
BOOST_FIXTURE_TEST_CASE(TheNextLeaderContinuesAfterAKill, RunningWorld) {
  const std::string former = world.Leader();
  world.process(former).Kill();
  AwaitLeaderOtherThan(former);
  Complete(8);
  world.Start(former);
  Complete(5);
  Finish();
}

// Guards against acknowledged work that is only in memory.
BOOST_FIXTURE_TEST_CASE(WorkSurvivesAKillOfAllSchedulers, RunningWorld) {
  for (const std::string& name : world.schedulers())
    world.process(name).Kill();
  world.RunFor(Millis(500));
  for (const std::string& name : world.schedulers())
    world.Start(name);
  Complete(8);
  Finish();
}

// Guards against requests that a stopping gateway has read and never answers.
BOOST_FIXTURE_TEST_CASE(AStoppingGatewayAnswersOpenRequests, RunningWorld) {
  const std::string gateway = world.gateways().front();
  const TimePoint stopped = world.loop().now();
  world.process(gateway).Signal(SIGTERM);
  BOOST_REQUIRE(world.RunUntil(kWaitLimit,
                               [&] { return !world.process(gateway).Runs(); }));
  BOOST_TEST(world.process(gateway).exit_code() == 0);
  for (const UnansweredCall& call : world.callers().unanswered()) {
    // What is sent as the process ends may not have been read by it.
    constexpr Millis kReadForSure{2'000};
    BOOST_TEST((call.gateway != world.address(gateway) ||
                call.sent > stopped + kReadForSure),
               call.what << " sent " << (call.sent - stopped).count()
                         << " ms after SIGTERM got no answer: "
                         << kErrorCodes.Name(call.error));
  }
  world.Start(gateway);
  Complete(5);
  Finish();
}

// Guards against a leader that acts on its old leadership after a suspension.
BOOST_FIXTURE_TEST_CASE(AFrozenLeaderDoesNothingTwice, RunningWorld) {
  const std::string former = world.Leader();
  world.process(former).Signal(SIGSTOP);
  AwaitLeaderOtherThan(former);
  Complete(5);
  world.process(former).Signal(SIGCONT);
  Complete(5);
  Finish();
}

// Guards against a configuration that is acknowledged and then not in force.
BOOST_FIXTURE_TEST_CASE(ANewConfigurationIsReadEverywhere, RunningWorld) {
  const std::int64_t version = world.ChangeConfig();
  BOOST_REQUIRE(world.RunUntil(kWaitLimit, [&] {
    return checker.config_floor() >= version &&
           checker.newest_acknowledged() >= version;
  }));
  Complete(5);
  Finish();
}

// Guards against tasks that are lost, or run twice, with their worker.
BOOST_FIXTURE_TEST_CASE(AJobOutlivesItsWorker, RunningWorld) {
  FakeJob job;
  FakeStep step;
  step.tasks = 8;
  step.run = Millis(1'500);
  job.steps.push_back(step);
  const std::string id = world.callers().Submit(job);
  std::string host;
  BOOST_REQUIRE(world.RunUntil(kWaitLimit, [&] {
    for (const std::string& name : world.hosts().names()) {
      const FakeBackend* worker = world.hosts().WorkerOn(name);
      if (worker != nullptr && checker.JobsOn(worker->life()).count(id) > 0)
        host = name;
    }
    return !host.empty();
  }));
  world.hosts().Crash(host, Millis(700));
  Complete(5);
  Finish();
}

}  // namespace
}  // namespace boragewinch::platform
