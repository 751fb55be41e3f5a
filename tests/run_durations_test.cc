#define BOOST_TEST_MODULE run_durations
#include <boost/test/unit_test.hpp>

#include "scheduler/run_durations.h"

namespace boragewinch::scheduler {
namespace {

const QueueName kQueue("q");

// Guards against healthy workers that are quarantined because the estimates of
// a queue are too low, and slow workers that are missed because they are too
// high.
BOOST_AUTO_TEST_CASE(TheQueuesTypicalErrorIsLearned) {
  RunDurations durations;
  BOOST_TEST(durations.SlowAfter(kQueue, Millis(1'000)).count() == 4'500);
  for (int i = 0; i < 50; ++i)
    durations.OnDone(kQueue, Millis(1'000), Millis(2'000));
  BOOST_TEST(durations.SlowAfter(kQueue, Millis(1'000)).count() >= 8'400);
  for (int i = 0; i < 400; ++i)
    durations.OnDone(kQueue, Millis(1'000), Millis(500));
  BOOST_TEST(durations.SlowAfter(kQueue, Millis(1'000)).count() <= 3'200);
}

// Guards against a record for each name that a queue has ever had.
BOOST_AUTO_TEST_CASE(QueuesThatAreGoneAreForgotten) {
  const QueueName gone("gone");
  RunDurations durations;
  for (const QueueName& queue : {kQueue, gone}) {
    for (int i = 0; i < 50; ++i)
      durations.OnDone(queue, Millis(1'000), Millis(2'000));
  }
  durations.Retain([](const QueueName& queue) { return queue == kQueue; });
  BOOST_TEST(durations.SlowAfter(kQueue, Millis(1'000)).count() >= 8'400);
  BOOST_TEST(durations.SlowAfter(gone, Millis(1'000)).count() == 4'500);
}

// Guards against counting all runs of a queue without estimates as slow.
BOOST_AUTO_TEST_CASE(WithoutAnEstimateNoRunIsSlow) {
  RunDurations durations;
  durations.OnDone(kQueue, Millis(0), Millis(60'000));
  BOOST_TEST(durations.SlowAfter(kQueue, Millis(0)).count() ==
             Millis::max().count());
}

}  // namespace
}  // namespace boragewinch::scheduler
