#define BOOST_TEST_MODULE admission_controller
#include <boost/test/unit_test.hpp>

#include "ledger_builder.h"
#include "scheduler/admission_controller.h"

namespace boragewinch::scheduler {
namespace {

const QueueName kQueue("q");

/// A queue whose tasks complete at a given rate.
struct Fixture {
  /// Advances time by `seconds`, with ten submissions a second.
  /// \returns whether the last job was admitted.
  bool Advance(int seconds, std::int64_t ends_per_second) {
    bool admitted = false;
    for (int i = 0; i < seconds * 10; ++i) {
      now += Millis(100);
      load.ended_tasks += ends_per_second / 10;
      admitted = admission.Admits(kQueue, load, now);
    }
    return admitted;
  }

  AdmissionControllerOptions options;
  AdmissionController admission{options};
  jobs::QueueLoad load;
  TimePoint now = FromMillis(1'000'000);
};

// Guards against jobs that are accepted but not started for a minute because an
// overloaded leader or pool cannot drain its backlog.
BOOST_FIXTURE_TEST_CASE(AQueueAdmitsWhatCompletesInTime, Fixture) {
  load.open_tasks = 4'900;
  BOOST_TEST(Advance(5, 500));
  load.open_tasks = 5'100;
  BOOST_TEST(!Advance(5, 500));
  BOOST_TEST(Advance(5, 600));
  BOOST_TEST(!Advance(10, 0));
}

// Guards against a queue that rejects all jobs while it has a backlog, for
// example after a power failure: new jobs start before late ones, so some of
// them can be served while the backlog shrinks.
BOOST_FIXTURE_TEST_CASE(ABacklogAdmitsSomeNewJobs, Fixture) {
  load.open_tasks = 20'000;
  (void)Advance(5, 500);
  constexpr std::int64_t kTasks = 10;
  std::int64_t accepted = 0;
  std::int64_t ended = 0;
  for (int i = 0; i < 1'000; ++i) {
    now += Millis(10);
    load.ended_tasks += 5;
    load.open_tasks -= 5;
    ended += 5;
    if (admission.Admits(kQueue, load, now)) {
      load.open_tasks += kTasks;
      accepted += kTasks;
    }
  }
  BOOST_TEST(accepted >= ended * 2 / 5);
  BOOST_TEST(accepted <= ended * 7 / 10);
}

// Guards against rejections at the start of a burst, before tasks have ended.
BOOST_FIXTURE_TEST_CASE(TheStartOfABurstIsAdmitted, Fixture) {
  load.open_tasks = options.burst_tasks;
  BOOST_TEST(Advance(5, 20));
}

// Guards against rejections while the completion rate is unknown: on a new
// leader or after a snapshot was restored.
BOOST_FIXTURE_TEST_CASE(AnUnknownRateRejectsNothing, Fixture) {
  load.open_tasks = 5'000;
  BOOST_TEST(admission.Admits(kQueue, load, now));
  BOOST_TEST(Advance(5, 600));
  load.ended_tasks = 0;
  BOOST_TEST(admission.Admits(kQueue, load, now + Millis(100)));
}

// Guards against rejections because of the backlog of another queue.
BOOST_FIXTURE_TEST_CASE(QueuesAreIndependent, Fixture) {
  load.open_tasks = 9'000;
  BOOST_TEST(!Advance(5, 100));
  BOOST_TEST(admission.Admits(QueueName("other"), {10, 0}, now));
}

}  // namespace
}  // namespace boragewinch::scheduler
