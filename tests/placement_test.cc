#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

#include "policy/placement.h"

namespace boragewinch {
namespace {

const PoolName kPool("p");
const TimePoint kNow = FromMillis(1000);

WorkerView Worker(int index, std::int64_t accelerators = 0) {
  const std::string zone = "z" + std::to_string(index % 3);
  return {HostName("h" + std::to_string(index)),
          kPool,
          ZoneName(zone),
          RackName(zone + "-r" + std::to_string(index / 12)),
          8,
          {16'000, 32'768, accelerators},
          {16'000, 32'768, accelerators},
          1,
          true};
}

PendingJob Job(int index, const Resources& demand = {1000, 1024, 0}) {
  PendingJob job;
  job.id = RequestId("j" + std::to_string(index));
  job.queue = QueueName("q");
  job.pool = kPool;
  job.demand = demand;
  return job;
}

Placement MakePlacement(int workers) {
  auto placement = Placement::Make();
  BOOST_REQUIRE(placement);
  for (int i = 0; i < workers; ++i)
    placement.value().UpdateWorker(Worker(i), kNow);
  return std::move(placement).value();
}

// Guards against a job that is restarted repeatedly on a worker that fails
// every start, since that worker is always the emptiest.
BOOST_AUTO_TEST_CASE(FailedWorkerIsAvoided) {
  auto placement = MakePlacement(2);
  placement.OnPlaced(Job(0), HostName("h1"));
  PendingJob job = Job(1);
  BOOST_TEST(*placement.Choose(job, kNow) == HostName("h0"));
  job.avoid = HostName("h0");
  BOOST_TEST(*placement.Choose(job, kNow) == HostName("h1"));
  for (int i = 2; i < 9; ++i)
    placement.OnPlaced(Job(i), HostName("h1"));
  BOOST_TEST(!placement.Choose(job, kNow));
  BOOST_TEST(placement.RemoveWorker(HostName("h1")));
  BOOST_TEST(*placement.Choose(job, kNow) == HostName("h0"));
}

// Guards against the loss of a zone or rack ending more than its share of a
// queue's tasks.
BOOST_AUTO_TEST_CASE(TasksAreSpreadOverZonesAndRacks) {
  for (const int workers : {24, 240}) {
    auto placement = MakePlacement(workers);
    std::map<ZoneName, int> zones;
    std::map<RackName, int> racks;
    for (int i = 0; i < 48; ++i) {
      const auto host = placement.Choose(Job(i), kNow);
      BOOST_REQUIRE(host);
      placement.OnPlaced(Job(i), *host);
      ++zones[placement.Find(*host)->zone];
      ++racks[placement.Find(*host)->rack];
    }
    for (const auto& [zone, tasks] : zones)
      BOOST_TEST(tasks <= 17);
    for (const auto& [rack, tasks] : racks)
      BOOST_TEST(tasks <= (workers == 24 ? 9 : 3));
  }
}

// Guards against a start on a worker without free capacity, and against free
// capacity of a single worker that is not found in a large pool.
BOOST_AUTO_TEST_CASE(OnlyFreeCapacityInThePoolIsFound) {
  auto placement = MakePlacement(1000);
  BOOST_TEST(!placement.Choose(Job(1, {1000, 1024, 1}), kNow));
  placement.UpdateWorker(Worker(501, 2), kNow);
  BOOST_TEST(*placement.Choose(Job(1, {1000, 1024, 1}), kNow) ==
             HostName("h501"));
  auto worker = Worker(501, 2);
  worker.free_slots = 0;
  placement.UpdateWorker(worker, kNow);
  BOOST_TEST(!placement.Choose(Job(1, {1000, 1024, 1}), kNow));
}

// Guards against placement on a worker that drains, leaves or was removed.
BOOST_AUTO_TEST_CASE(WorkerOutOfServiceIsNotChosen) {
  auto placement = MakePlacement(1);
  auto worker = Worker(0);
  worker.accepting = false;
  placement.UpdateWorker(worker, kNow);
  BOOST_TEST(!placement.Choose(Job(1), kNow));
  BOOST_TEST(placement.FreeSlots(kPool) == 0);
  placement.UpdateWorker(Worker(0), kNow);
  BOOST_TEST(placement.FreeSlots(kPool) == 8);
  BOOST_TEST(placement.RemoveWorker(HostName("h0")));
  BOOST_TEST(!placement.Choose(Job(1), kNow));
}

// Guards against overcommitted slots or memory between two heartbeats.
BOOST_AUTO_TEST_CASE(PlacedTasksTakeCapacity) {
  auto placement = MakePlacement(1);
  const auto large = Job(1, {1000, 16'000, 0});
  for (int i = 0; i < 2; ++i)
    placement.OnPlaced(large, *placement.Choose(large, kNow));
  BOOST_TEST(!placement.Choose(large, kNow));
  for (int i = 0; i < 6; ++i) {
    const auto small = Job(2 + i, {100, 16, 0});
    placement.OnPlaced(small, *placement.Choose(small, kNow));
  }
  BOOST_TEST(!placement.Choose(Job(9, {1, 1, 0}), kNow));
  placement.OnEnded(QueueName("q"), large.demand, HostName("h0"));
  BOOST_TEST(!!placement.Choose(large, kNow));
}

// Guards against a job that waits forever because no worker is large enough,
// and against a refused job that only has to wait.
BOOST_AUTO_TEST_CASE(NeverFitsLooksAtIdleWorkers) {
  auto placement = MakePlacement(3);
  BOOST_TEST(placement.NeverFits({17'000, 1, 0}, kPool));
  BOOST_TEST(placement.NeverFits({1, 1, 1}, kPool));
  BOOST_TEST(!placement.NeverFits({16'000, 32'768, 0}, kPool));
  BOOST_TEST(!placement.NeverFits({17'000, 1, 0}, PoolName("unknown")));
  // Components of different workers must not be combined.
  auto worker = Worker(4, 1);
  worker.total = worker.free = {1'000, 1'024, 1};
  placement.UpdateWorker(worker, kNow);
  BOOST_TEST(placement.NeverFits({16'000, 1, 1}, kPool));
}

}  // namespace
}  // namespace boragewinch
