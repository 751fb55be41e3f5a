#define BOOST_TEST_MODULE gateway_stop_process
#include <boost/test/unit_test.hpp>

#include <csignal>

#include "running_platform.h"

namespace boragewinch::platform {
namespace {

// Guards against requests that a stopping gateway reads but never responds to.
BOOST_FIXTURE_TEST_CASE(AStoppingGatewayAnswersOpenRequests, RunningCluster) {
  const std::string gateway = cluster.gateways().front();
  const TimePoint stopped = cluster.loop().now();
  cluster.process(gateway).Signal(SIGTERM);
  BOOST_REQUIRE(cluster.RunUntil(
      kWaitLimit, [&] { return !cluster.process(gateway).Runs(); }));
  BOOST_TEST(cluster.process(gateway).exit_code() == 0);
  for (const UnansweredCall& call : cluster.callers().unanswered()) {
    // The process may not have read requests that were sent as it exited.
    constexpr Millis kReadForSure{2'000};
    BOOST_TEST((call.gateway != cluster.address(gateway) ||
                call.sent > stopped + kReadForSure),
               call.request << " sent " << (call.sent - stopped).count()
                            << " ms after SIGTERM got no response: "
                            << kErrorCodes.Name(call.error));
  }
  cluster.Start(gateway);
  AwaitCompletions(5);
  Finish();
}

}  // namespace
}  // namespace boragewinch::platform
