#define BOOST_TEST_MODULE speculation_process
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

#include "running_platform.h"

namespace boragewinch::platform {
namespace {

/// The first run takes 45 s, so that the copy ends first on any machine.
constexpr int kSlowdown = 150;

/// A cluster that starts copies, without other load.
struct SpeculativeCluster {
  PlatformCluster cluster{Options()};
  GuaranteeChecker& checker = cluster.checker();

  [[nodiscard]] static ClusterOptions Options() {
    ClusterOptions options;
    options.speculation = true;
    return options;
  }

  SpeculativeCluster() { BOOST_REQUIRE(cluster.Begin(kWaitLimit)); }

  /// \param slowdown of the first run, which otherwise takes 300 ms.
  /// \returns the id of a job of one task.
  [[nodiscard]] std::string SubmitTask(bool speculative, int slowdown) {
    FakeJob job;
    FakeStep step;
    step.run = Millis(300);
    step.first_run_slowdown = slowdown;
    step.speculative = speculative;
    job.steps.push_back(step);
    return cluster.callers().Submit(job);
  }
  /// \returns how many workers run a task of the job.
  [[nodiscard]] std::size_t WorkersOf(const std::string& id) {
    std::size_t count = 0;
    for (const std::string& name : cluster.hosts().names()) {
      const FakeBackend* worker = cluster.hosts().WorkerOn(name);
      if (worker != nullptr)
        count += checker.JobsOn(worker->incarnation()).count(id);
    }
    return count;
  }
  void AwaitCopy(const std::string& id) {
    BOOST_REQUIRE(
        cluster.RunUntil(kWaitLimit, [&] { return WorkersOf(id) == 2; }));
  }
  void Finish() {
    const bool settled = cluster.Settle(kWaitLimit);
    for (const std::string& violation : checker.violations())
      BOOST_ERROR("guarantee violated: " << violation);
    BOOST_TEST(settled);
  }
};

// Guards against a slow task that gets no copy, and a slow run that goes on
// after its copy has ended. The other job is not speculative.
BOOST_FIXTURE_TEST_CASE(ACopyReplacesASlowRun, SpeculativeCluster) {
  const std::string other = SubmitTask(false, 40);
  const std::string id = SubmitTask(true, kSlowdown);
  std::size_t most_of_other = 0;
  AwaitCopy(id);
  BOOST_REQUIRE(cluster.RunUntil(kWaitLimit, [&] {
    most_of_other = std::max(most_of_other, WorkersOf(other));
    return checker.completed() == 2U && WorkersOf(id) == 0U;
  }));
  BOOST_TEST(most_of_other < 2U);
  Finish();
}

// Guards against a third run, and a run that is not stopped, under a leader
// that finds both runs in the ledger.
BOOST_FIXTURE_TEST_CASE(TheNextLeaderSettlesBothRuns, SpeculativeCluster) {
  const std::string id = SubmitTask(true, kSlowdown);
  AwaitCopy(id);
  const std::string former = cluster.Leader();
  BOOST_REQUIRE(!former.empty());
  cluster.process(former).Kill();
  BOOST_REQUIRE(cluster.RunUntil(kWaitLimit, [&] {
    return checker.completed() == 1U && WorkersOf(id) == 0U;
  }));
  cluster.Start(former);
  Finish();
}

}  // namespace
}  // namespace boragewinch::platform
