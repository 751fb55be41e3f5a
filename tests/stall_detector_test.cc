#define BOOST_TEST_MODULE stall_detector
#include <boost/test/unit_test.hpp>

#include "scheduler/stall_detector.h"

namespace boragewinch::scheduler {
namespace {

[[nodiscard]] TimePoint At(std::int64_t millis) {
  return FromMillis(10'000 + millis);
}

// Guards against a request that waited in the socket of a busy or suspended
// gateway and gets its full timeout again, so that its caller gets no response.
BOOST_AUTO_TEST_CASE(AStallCountsForMessagesReadAfterIt) {
  StallDetector detector(Millis(100), Millis(50));
  BOOST_TEST(detector.PossibleDelay(At(0)).count() == 0);
  detector.Tick(At(0));
  detector.Tick(At(50));
  BOOST_TEST(detector.PossibleDelay(At(60)).count() == 0);
  // Read before and after the late tick of the same event-loop iteration.
  BOOST_TEST(detector.PossibleDelay(At(450)).count() == 400);
  detector.Tick(At(450));
  BOOST_TEST(detector.PossibleDelay(At(460)).count() == 400);
  BOOST_TEST(detector.PossibleDelay(At(500)).count() == 0);
  detector.Tick(At(500));
  BOOST_TEST(detector.PossibleDelay(At(510)).count() == 0);
}

}  // namespace
}  // namespace boragewinch::scheduler
