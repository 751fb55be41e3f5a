#ifndef BORAGEWINCH_TESTS_RUNNING_PLATFORM_H_
#define BORAGEWINCH_TESTS_RUNNING_PLATFORM_H_

#include <string>

#include <boost/test/unit_test.hpp>

#include "platform_cluster.h"

namespace boragewinch::platform {

/// Long enough for a slow machine; a wait that exceeds it has hung.
inline constexpr Millis kWaitLimit{60'000};

/// \brief Fixture: a cluster under load that has completed its first jobs.
struct RunningCluster {
  PlatformCluster cluster{ClusterOptions{}};
  GuaranteeChecker& checker = cluster.checker();

  RunningCluster() {
    BOOST_REQUIRE(cluster.Begin(kWaitLimit));
    cluster.callers().Start();
    AwaitCompletions(5);
  }
  // Waits until `more` further jobs have completed.
  void AwaitCompletions(std::size_t more) {
    const std::size_t before = checker.completed();
    BOOST_REQUIRE(cluster.RunUntil(
        kWaitLimit, [&] { return checker.completed() >= before + more; }));
  }
  void Finish() {
    const bool settled = cluster.Settle(kWaitLimit);
    for (const std::string& violation : checker.violations())
      BOOST_ERROR("guarantee violated: " << violation);
    BOOST_TEST(settled);
    BOOST_TEST_MESSAGE(checker.Summary());
  }
  // `former` may still count as leader, since its last report may be stale.
  void AwaitLeaderOtherThan(const std::string& former) {
    BOOST_REQUIRE(cluster.RunUntil(kWaitLimit, [&] {
      const std::string leader = cluster.Leader();
      return !leader.empty() && leader != former;
    }));
  }
};

}  // namespace boragewinch::platform

#endif  // BORAGEWINCH_TESTS_RUNNING_PLATFORM_H_
