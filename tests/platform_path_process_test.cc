#define BOOST_TEST_MODULE platform_path_process
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "running_platform.h"

namespace boragewinch::platform {
namespace {

// Guards against work that is lost, repeated or reordered without faults.
BOOST_FIXTURE_TEST_CASE(AFaultFreeRunKeepsAllGuarantees, RunningWorld) {
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

// Guards against a leader that acts on stale leadership after a suspension.
BOOST_FIXTURE_TEST_CASE(AFrozenLeaderDoesNothingTwice, RunningWorld) {
  const std::string former = world.Leader();
  world.process(former).Signal(SIGSTOP);
  AwaitLeaderOtherThan(former);
  Complete(5);
  world.process(former).Signal(SIGCONT);
  Complete(5);
  Finish();
}

// Guards against a configuration that is acknowledged but does not take effect.
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
      if (worker != nullptr &&
          checker.JobsOn(worker->incarnation()).count(id) > 0)
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
