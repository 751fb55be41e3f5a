#define BOOST_TEST_MODULE queue_gate
#include <boost/test/unit_test.hpp>

#include "ledger_builder.h"
#include "scheduler/queue_gate.h"

namespace boragewinch::scheduler {
namespace {

const QueueName kQueue("q");

/// A queue whose tasks complete at a given rate.
struct Fixture {
  /// Advances time by `seconds`, with ten submissions a second.
  /// \returns whether the last job was admitted.
  bool Pass(int seconds, std::int64_t ends_a_second) {
    bool admitted = false;
    for (int i = 0; i < seconds * 10; ++i) {
      now += Millis(100);
      load.ended_tasks += ends_a_second / 10;
      admitted = gate.Admits(kQueue, load, now);
    }
    return admitted;
  }

  QueueGateOptions options;
  QueueGate gate{options};
  jobs::QueueLoad load;
  TimePoint now = FromMillis(1'000'000);
};

// Guards against jobs that are accepted but not started for a minute because an
// overloaded leader or pool cannot drain its backlog.
BOOST_FIXTURE_TEST_CASE(AQueueTakesWhatEndsInTime, Fixture) {
  load.open_tasks = 4'900;
  BOOST_TEST(Pass(5, 500));
  load.open_tasks = 5'100;
  BOOST_TEST(!Pass(5, 500));
  BOOST_TEST(Pass(5, 600));
  BOOST_TEST(!Pass(10, 0));
}

// Guards against a queue that rejects all jobs while it has a backlog, for
// example after a power failure: new jobs start before late ones, so some of
// them can be served while the backlog shrinks.
BOOST_FIXTURE_TEST_CASE(ABacklogLeavesRoomForNewJobs, Fixture) {
  load.open_tasks = 20'000;
  (void)Pass(5, 500);
  constexpr std::int64_t kTasks = 10;
  std::int64_t accepted = 0;
  std::int64_t ended = 0;
  for (int i = 0; i < 1'000; ++i) {
    now += Millis(10);
    load.ended_tasks += 5;
    load.open_tasks -= 5;
    ended += 5;
    if (gate.Admits(kQueue, load, now)) {
      load.open_tasks += kTasks;
      accepted += kTasks;
    }
  }
  BOOST_TEST(accepted >= ended * 2 / 5);
  BOOST_TEST(accepted <= ended * 7 / 10);
}

// Guards against rejections at the start of a burst, before tasks have ended.
BOOST_FIXTURE_TEST_CASE(TheBeginOfABurstIsAccepted, Fixture) {
  load.open_tasks = options.free_tasks;
  BOOST_TEST(Pass(5, 20));
}

// Guards against rejections while the completion rate is unknown: on a new
// leader or after a snapshot was restored.
BOOST_FIXTURE_TEST_CASE(AnUnknownRateRefusesNothing, Fixture) {
  load.open_tasks = 5'000;
  BOOST_TEST(gate.Admits(kQueue, load, now));
  BOOST_TEST(Pass(5, 600));
  load.ended_tasks = 0;
  BOOST_TEST(gate.Admits(kQueue, load, now + Millis(100)));
}

// Guards against rejections because of the backlog of another queue.
BOOST_FIXTURE_TEST_CASE(QueuesAreJudgedByThemselves, Fixture) {
  load.open_tasks = 9'000;
  BOOST_TEST(!Pass(5, 100));
  BOOST_TEST(gate.Admits(QueueName("other"), {10, 0}, now));
}

}  // namespace
}  // namespace boragewinch::scheduler
