#define BOOST_TEST_MODULE worker_table
#include <boost/test/unit_test.hpp>

#include "base/event_log.h"
#include "entry/worker_table.h"

namespace boragewinch {
namespace {

struct QuietLog {
  QuietLog() { ConfigureEventLog("worker_table_test", EventLevel::kError); }
};
BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

constexpr Resources kTotal{8'000, 32'768, 0};
constexpr Resources kPerTask{1'000, 1'024, 0};

struct Fixture {
  Fixture() {
    Host host;
    host.pool = PoolName("main");
    host.assignment = 1;
    view.hosts[HostName("h1")] = host;
    report.host = HostName("h1");
    report.incarnation = Incarnation("i1");
    report.total = kTotal;
    report.slots = 8;
    report.acknowledged_pool = PoolName("main");
    report.acknowledged_assignment = 1;
  }
  void AddTasks(int tasks, TaskState state) {
    for (int i = 0; i < tasks; ++i) {
      TaskReport task;
      task.task = {RequestId("r" + std::to_string(report.tasks.size())), 1};
      task.state = state;
      task.usage = kPerTask;
      report.tasks.push_back(task);
    }
  }
  [[nodiscard]] std::vector<WorkerCandidate> Candidates() {
    ++report.sequence;
    BOOST_TEST(table.Report(report, now));
    return table.Candidates(PoolName("main"), view, now);
  }

  TimePoint now = FromMillis(1'000);
  FleetView view;
  WorkerReport report;
  WorkerTable table{10};
};

// Guards against a worker that gets no more work because it still lists ended
// tasks whose results are not acknowledged yet.
BOOST_AUTO_TEST_CASE(EndedTasksOccupyNoSlots) {
  for (const TaskState state : {TaskState::kFinished, TaskState::kFailed,
                                TaskState::kStopped, TaskState::kForbidden}) {
    Fixture fixture;
    fixture.AddTasks(2, TaskState::kRunning);
    fixture.AddTasks(20, state);
    const auto candidates = fixture.Candidates();
    BOOST_REQUIRE(candidates.size() == 1U);
    BOOST_TEST(candidates.front().free_slots == 6);
    BOOST_TEST(candidates.front().usage.cpu_millis == 2 * kPerTask.cpu_millis);
    BOOST_TEST(candidates.front().usage.memory_mb == 2 * kPerTask.memory_mb);
  }
}

// Guards against starts at a worker whose slots are all in use.
BOOST_AUTO_TEST_CASE(RunningTasksTakeTheirSlots) {
  Fixture fixture;
  fixture.AddTasks(8, TaskState::kRunning);
  BOOST_TEST(fixture.Candidates().empty());
}

}  // namespace
}  // namespace boragewinch
