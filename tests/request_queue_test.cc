#define BOOST_TEST_MODULE request_queue
#include <boost/test/unit_test.hpp>

#include <deque>
#include <utility>

#include "scheduler/request_queue.h"

namespace boragewinch::scheduler {
namespace {

struct Fixture {
  static RequestQueueOptions Options() {
    RequestQueueOptions options;
    options.max_per_iteration = 4;
    options.max_queued = 10;
    options.max_wait = Millis(600);
    return options;
  }
  RequestQueue::Hooks MakeHooks() {
    return {[this](std::function<void()> callback) {
              posted.push_back(std::move(callback));
            },
            [this] { return now; }};
  }
  void Add(int count) {
    for (int i = 0; i < count; ++i)
      queue.Add({[this] { ++served; }, [this] { ++rejected; }});
  }
  /// Runs the callbacks that were posted before this event-loop iteration.
  void RunIteration() {
    for (const auto& callback : std::exchange(posted, {}))
      callback();
  }

  std::deque<std::function<void()>> posted;
  TimePoint now = FromMillis(1'000);
  int served = 0;
  int rejected = 0;
  RequestQueue queue{Options(), MakeHooks()};
};

// Guards against a leader that steps down because it does not read its
// followers' messages while it serves all requests that gateways held during an
// election (issue 17: twice within 8 s in scenario scale-2).
BOOST_FIXTURE_TEST_CASE(ABurstIsServedOverSeveralIterations, Fixture) {
  Add(10);
  BOOST_TEST(served == 4);
  RunIteration();
  BOOST_TEST(served == 8);
  RunIteration();
  BOOST_TEST(served == 10);
  RunIteration();
  BOOST_TEST(posted.empty());
  Add(4);
  BOOST_TEST(served == 14);
  Add(1);
  BOOST_TEST(served == 14);
}

// Guards against requests that overtake earlier ones.
BOOST_FIXTURE_TEST_CASE(LaterRequestsWaitBehindEarlierOnes, Fixture) {
  Add(10);
  RunIteration();
  Add(1);
  BOOST_TEST(served == 8);
  BOOST_TEST(queue.waiting() == 3U);
}

// Guards against a request that is queued until its gateway times out and must
// report that it may have been executed.
BOOST_FIXTURE_TEST_CASE(RequestsThatWaitedTooLongAreRejected, Fixture) {
  Add(8);
  now += Millis(601);
  RunIteration();
  BOOST_TEST(served == 4);
  BOOST_TEST(rejected == 4);
}

// Guards against an unbounded queue in the memory of the leader.
BOOST_FIXTURE_TEST_CASE(RequestsBeyondTheLimitAreRejectedAtOnce, Fixture) {
  Add(15);
  BOOST_TEST(served == 4);
  BOOST_TEST(rejected == 1);
}

}  // namespace
}  // namespace boragewinch::scheduler
