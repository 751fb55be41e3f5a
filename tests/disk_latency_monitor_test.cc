#define BOOST_TEST_MODULE disk_latency_monitor
#include <boost/test/unit_test.hpp>

#include "scheduler/disk_latency_monitor.h"

namespace boragewinch::scheduler {
namespace {

[[nodiscard]] TimePoint At(std::int64_t millis) {
  return FromMillis(100'000 + millis);
}

// Guards against a leader that keeps leading with a slow disk: at 150 ms per
// sync only a third of a burst's tasks started in time, while the disks of the
// other replicas were healthy.
BOOST_AUTO_TEST_CASE(ASlowDiskTransfersLeadership) {
  DiskLatencyMonitor monitor;
  for (int i = 0; i < 20; ++i)
    monitor.OnSync(Millis(6));
  BOOST_TEST(!monitor.ShouldTransferLeadership(At(0)));
  for (int i = 0; i < 4; ++i)
    monitor.OnSync(Millis(150));
  BOOST_TEST(monitor.ShouldTransferLeadership(At(600)));
}

// Guards against a leadership transfer because of a single slow sync.
BOOST_AUTO_TEST_CASE(OneSlowSyncIsTolerated) {
  DiskLatencyMonitor monitor;
  for (int i = 0; i < 20; ++i)
    monitor.OnSync(Millis(6));
  monitor.OnSync(Millis(200));
  BOOST_TEST(!monitor.ShouldTransferLeadership(At(0)));
}

// Guards against leadership that circulates while all disks are slow.
BOOST_AUTO_TEST_CASE(TransfersHaveAMinimumInterval) {
  DiskLatencyMonitor monitor;
  monitor.OnLeadershipTransfer(At(0));
  for (int i = 0; i < 10; ++i)
    monitor.OnSync(Millis(150));
  BOOST_TEST(!monitor.ShouldTransferLeadership(At(9'000)));
  BOOST_TEST(monitor.ShouldTransferLeadership(At(10'000)));
}

}  // namespace
}  // namespace boragewinch::scheduler
