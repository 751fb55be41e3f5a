#define BOOST_TEST_MODULE policy_queue
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "policy/job_queue.h"

namespace boragewinch {
namespace {

const PoolName kPool("p");
const auto kAlways = [](const PendingJob&) { return true; };

PendingJob Job(const std::string& id,
               const std::string& team,
               TimePoint enqueued,
               Urgency urgency = Urgency::kNormal,
               const std::string& customer = "c") {
  PendingJob job;
  job.id = RequestId(id);
  job.team = TeamName(team);
  job.customer = CustomerName(customer);
  job.pool = kPool;
  job.urgency = urgency;
  job.demand = {1000, 1024, 0};
  job.enqueued = enqueued;
  return job;
}

JobQueue MakeQueue(const JobQueueConfig& config = {}) {
  auto queue = JobQueue::Make(config);
  BOOST_REQUIRE(queue);
  queue.value().SetCapacity({100, 200'000, 400'000, 0});
  return std::move(queue).value();
}

// Guards against configurations that divide by zero or never start a job.
BOOST_AUTO_TEST_CASE(BadConfigIsRefused) {
  for (const JobQueueConfig& config :
       {JobQueueConfig{.window = Millis(0)},
        JobQueueConfig{.history_percent = 101},
        JobQueueConfig{.attempts_per_team = 0}}) {
    const auto queue = JobQueue::Make(config);
    BOOST_REQUIRE(!queue);
    BOOST_TEST((queue.error().code == ErrorCode::kInvalidSetting));
  }
}

// Guards against a resent job that runs twice because it is queued twice.
BOOST_AUTO_TEST_CASE(DuplicateIsRefused) {
  auto queue = MakeQueue();
  const TimePoint now = FromMillis(1000);
  BOOST_TEST(bool(queue.Push(Job("1", "a", now), now)));
  BOOST_TEST(!queue.Push(Job("1", "a", now), now));
  BOOST_TEST(queue.Remove(RequestId("1")));
  BOOST_TEST(!queue.Remove(RequestId("1")));
  BOOST_TEST(!queue.Next(now, kAlways));
}

// Guards against slots that are not divided by weight while two teams always
// have work.
BOOST_AUTO_TEST_CASE(FullPoolIsDividedByWeight) {
  auto queue = MakeQueue();
  queue.SetShares({{TeamName("a"), 3}, {TeamName("b"), 1}});
  TimePoint now = FromMillis(1000);
  std::map<TeamName, int> running;
  std::deque<PendingJob> order;
  int id = 0;
  for (int i = 0; i < 400; ++i) {
    for (const char* team : {"a", "b"}) {
      BOOST_REQUIRE(queue.Push(Job(std::to_string(++id), team, now), now));
    }
  }
  for (int step = 0; step < 500; ++step) {
    now += Millis(100);
    if (order.size() == 100) {
      queue.OnEnded(order.front(), now);
      --running[order.front().team];
      order.pop_front();
    }
    const auto job = queue.Next(now, kAlways);
    BOOST_REQUIRE(job);
    queue.OnStarted(*job, now);
    ++running[job->team];
    order.push_back(*job);
  }
  BOOST_TEST(running[TeamName("a")] >= 73);
  BOOST_TEST(running[TeamName("a")] <= 77);
}

// Guards against a job at its limit or without a fitting worker blocking the
// jobs behind it.
BOOST_AUTO_TEST_CASE(BlockedJobsAreSkipped) {
  auto queue = MakeQueue();
  const TimePoint now = FromMillis(1000);
  for (int i = 0; i < 50; ++i)
    BOOST_REQUIRE(queue.Push(Job("x" + std::to_string(i), "a", now), now));
  BOOST_REQUIRE(queue.Push(Job("good", "a", now), now));
  const auto only_good = [](const PendingJob& job) {
    return job.id == RequestId("good");
  };
  std::optional<PendingJob> job;
  int decisions = 0;
  while (!job && decisions < 20) {
    ++decisions;
    job = queue.NextIn(kPool, now, only_good);
  }
  BOOST_REQUIRE(job);
  BOOST_TEST(queue.stats().tried <= 80u);
}

// Guards against urgent work that waits behind normal work, and against a team
// that exceeds its fair share by marking all its work as urgent.
BOOST_AUTO_TEST_CASE(UrgentWorkWithinFairShareGoesFirst) {
  auto queue = MakeQueue();
  const TimePoint now = FromMillis(1000);
  for (int i = 0; i < 60; ++i)
    queue.OnStarted(Job("n" + std::to_string(i), "a", now), now);
  BOOST_REQUIRE(queue.Push(Job("normal", "b", now), now));
  BOOST_REQUIRE(queue.Push(Job("urgent", "a", now, Urgency::kUrgent), now));
  BOOST_TEST(queue.Next(now, kAlways)->id == RequestId("urgent"));
  // With urgent tasks in its half of the 100 slots the team has no priority.
  for (int i = 0; i < 50; ++i) {
    const auto id = "u" + std::to_string(i);
    queue.OnStarted(Job(id, "a", now, Urgency::kUrgent), now);
  }
  BOOST_REQUIRE(queue.Push(Job("urgent", "a", now, Urgency::kUrgent), now));
  BOOST_TEST(queue.Next(now, kAlways)->id == RequestId("normal"));
}

// Guards against one large customer that takes all starts of its team.
BOOST_AUTO_TEST_CASE(CustomersTakeTurns) {
  auto queue = MakeQueue();
  const TimePoint now = FromMillis(1000);
  for (int i = 0; i < 100; ++i) {
    const auto id = "large" + std::to_string(i);
    BOOST_REQUIRE(
        queue.Push(Job(id, "a", now, Urgency::kNormal, "large"), now));
  }
  for (int i = 0; i < 3; ++i) {
    const auto id = "small" + std::to_string(i);
    BOOST_REQUIRE(queue.Push(
        Job(id, "a", now + Millis(1), Urgency::kNormal, "small"), now));
  }
  int small = 0;
  for (int i = 0; i < 6; ++i)
    small +=
        queue.Next(now, kAlways)->customer == CustomerName("small") ? 1 : 0;
  BOOST_TEST(small == 3);
}

// Guards against starvation of normal work by a continuous stream of urgent
// work.
BOOST_AUTO_TEST_CASE(OverdueCustomerIsServed) {
  auto queue = MakeQueue();
  TimePoint now = FromMillis(1000);
  BOOST_REQUIRE(queue.Push(Job("normal", "a", now), now));
  const TimePoint enqueued = now;
  for (int i = 0; i < 1000; ++i) {
    now += Millis(100);
    BOOST_REQUIRE(queue.Push(
        Job(std::to_string(i), "a", now, Urgency::kUrgent, "other"), now));
    const auto job = queue.Next(now, kAlways);
    BOOST_REQUIRE(job);
    if (job->id == RequestId("normal"))
      break;
  }
  BOOST_TEST((now - enqueued <= Millis(30'000 + 4 * 100)));
  BOOST_TEST(queue.stats().max_wait_exceeded == 0u);
}

// Guards against a pool that is never tried again after none of its jobs was
// startable.
BOOST_AUTO_TEST_CASE(BlockedPoolIsTriedAgain) {
  auto queue = MakeQueue();
  const TimePoint now = FromMillis(1000);
  BOOST_REQUIRE(queue.Push(Job("1", "a", now), now));
  BOOST_TEST(!queue.Next(now, [](const PendingJob&) { return false; }));
  BOOST_TEST(!queue.Next(now, kAlways));  // nothing has changed
  BOOST_TEST(!!queue.Next(now + JobQueue::kRetryInterval, kAlways));
}

}  // namespace
}  // namespace boragewinch
