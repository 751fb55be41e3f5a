#define BOOST_TEST_MODULE gateway_stop_process
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "running_platform.h"

namespace boragewinch::platform {
namespace {

// Guards against requests that a stopping gateway has read and never answers.
BOOST_FIXTURE_TEST_CASE(AStoppingGatewayAnswersOpenRequests, RunningWorld) {
  const std::string gateway = world.gateways().front();
  const TimePoint stopped = world.loop().now();
  world.process(gateway).Signal(SIGTERM);
  BOOST_REQUIRE(world.RunUntil(kWaitLimit,
                               [&] { return !world.process(gateway).Runs(); }));
  BOOST_TEST(world.process(gateway).exit_code() == 0);
  for (const UnansweredCall& call : world.callers().unanswered()) {
    // The process may not have read requests that were sent as it exited.
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

}  // namespace
}  // namespace boragewinch::platform
