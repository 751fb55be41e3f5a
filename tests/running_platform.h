#ifndef BORAGEWINCH_TESTS_RUNNING_PLATFORM_H_
#define BORAGEWINCH_TESTS_RUNNING_PLATFORM_H_

#include <string>

#include <boost/test/unit_test.hpp>

#include "platform_world.h"

namespace boragewinch::platform {

/// For a slow machine; nothing here takes this long unless it hangs.
inline constexpr Millis kWaitLimit{60'000};

/// \brief Fixture: the programs of the platform path under load, with the first
/// jobs completed.
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

}  // namespace boragewinch::platform

#endif  // BORAGEWINCH_TESTS_RUNNING_PLATFORM_H_
