#define BOOST_TEST_MODULE platform_path_process
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "running_platform.h"

namespace boragewinch::platform {
namespace {

// Guards against work that is lost, repeated or reordered without faults.
BOOST_FIXTURE_TEST_CASE(AFaultFreeRunKeepsAllGuarantees, RunningCluster) {
  AwaitCompletions(15);
  Finish();
  BOOST_TEST(checker.completed() >= 20U);
  BOOST_TEST(cluster.callers().unanswered().empty());
}

// Guards against accepted work or running tasks lost with the leader.
BOOST_FIXTURE_TEST_CASE(TheNextLeaderContinuesAfterAKill, RunningCluster) {
  const std::string former = cluster.Leader();
  cluster.process(former).Kill();
  AwaitLeaderOtherThan(former);
  AwaitCompletions(8);
  cluster.Start(former);
  AwaitCompletions(5);
  Finish();
}

// Guards against acknowledged work that is only in memory.
BOOST_FIXTURE_TEST_CASE(WorkSurvivesAKillOfAllSchedulers, RunningCluster) {
  for (const std::string& name : cluster.schedulers())
    cluster.process(name).Kill();
  cluster.RunFor(Millis(500));
  for (const std::string& name : cluster.schedulers())
    cluster.Start(name);
  AwaitCompletions(8);
  Finish();
}

// Guards against a leader that acts on stale leadership after a suspension.
BOOST_FIXTURE_TEST_CASE(AFrozenLeaderDoesNothingTwice, RunningCluster) {
  const std::string former = cluster.Leader();
  cluster.process(former).Signal(SIGSTOP);
  AwaitLeaderOtherThan(former);
  AwaitCompletions(5);
  cluster.process(former).Signal(SIGCONT);
  AwaitCompletions(5);
  Finish();
}

// Guards against a configuration that is acknowledged but does not take effect.
BOOST_FIXTURE_TEST_CASE(ANewConfigurationIsReadEverywhere, RunningCluster) {
  const std::int64_t version = cluster.ChangeConfig();
  BOOST_REQUIRE(cluster.RunUntil(kWaitLimit, [&] {
    return checker.config_floor() >= version &&
           checker.newest_acknowledged_config() >= version;
  }));
  AwaitCompletions(5);
  Finish();
}

// Guards against tasks that are lost, or run twice, with their worker.
BOOST_FIXTURE_TEST_CASE(AJobOutlivesItsWorker, RunningCluster) {
  FakeJob job;
  FakeStep step;
  step.tasks = 8;
  step.run = Millis(1'500);
  job.steps.push_back(step);
  const std::string id = cluster.callers().Submit(job);
  std::string host;
  BOOST_REQUIRE(cluster.RunUntil(kWaitLimit, [&] {
    for (const std::string& name : cluster.hosts().names()) {
      const FakeBackend* worker = cluster.hosts().WorkerOn(name);
      if (worker != nullptr &&
          checker.JobsOn(worker->incarnation()).count(id) > 0)
        host = name;
    }
    return !host.empty();
  }));
  cluster.hosts().Crash(host, Millis(700));
  AwaitCompletions(5);
  Finish();
}

}  // namespace
}  // namespace boragewinch::platform
