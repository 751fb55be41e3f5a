#define BOOST_TEST_MODULE overload_replay
#include <boost/test/unit_test.hpp>

#include "overload/duration_model.h"
#include "overload_replay.h"

namespace boragewinch::scheduler {
namespace {

/// The short queue with the least accurate estimates of a users' sheet, and one
/// with long tails.
[[nodiscard]] LoadShape Quotes() {
  LoadShape shape;
  shape.queue = "quotes";
  shape.jobs_per_second = 18.9;
  shape.estimate_error = 0.9;
  return shape;
}
[[nodiscard]] LoadShape Slots() {
  LoadShape shape;
  shape.queue = "slots";
  shape.jobs_per_second = 18.3;
  shape.task_ms = 680;
  shape.max_task_ms = 7'200;
  shape.tail_share = 0.03;
  shape.tail_factor = 7;
  shape.cpu_millis = 6'200;
  shape.estimate_error = 0.2;
  return shape;
}

/// What limits the starts in a burst.
struct Bottleneck {
  const char* name;
  int workers;
  int later_workers;
  std::size_t starts_per_plan;
  double burst_factor;
};
constexpr Bottleneck kBottlenecks[] = {
    {"capacity", 55, 0, 96, 5},
    {"leader", 200, 0, 16, 5},
    {"hosts on their way", 40, 60, 24, 5},
    {"twice the usual burst", 62, 60, 24, 10},
};

enum class Policy { kBefore, kLeastLoss };

[[nodiscard]] ReplayResult Replay(const LoadShape& shape,
                                  const Bottleneck& bottleneck,
                                  Policy policy,
                                  std::uint64_t seed,
                                  double hot_customer = 0) {
  ReplayOptions options;
  options.load = {shape};
  options.workers = bottleneck.workers;
  options.later_workers = bottleneck.later_workers;
  options.starts_per_plan = bottleneck.starts_per_plan;
  options.burst_factor = bottleneck.burst_factor;
  options.worker_cpu_millis = shape.cpu_millis * 16'000 / 1'500;
  options.seed = seed;
  options.hot_customer = hot_customer;
  TaskPlannerOptions planner;
  const bool least_loss = policy == Policy::kLeastLoss;
  planner.order = least_loss ? StartOrder::kLeastLoss : StartOrder::kObjective;
  OverloadReplay replay(options, planner);
  overload::DurationModel durations;
  if (least_loss) {
    replay.reject = true;
    replay.expected = [&](const QueueName& queue, Millis estimate) {
      return durations.Expected(queue, estimate);
    };
    replay.on_done = [&](const QueueName& queue, Millis estimate,
                         Millis duration) {
      durations.OnDone(queue, estimate, duration);
    };
  }
  return replay.Run();
}

struct Comparison {
  double before = 0;  ///< mean share that was served in time
  double after = 0;
};

template <typename Share>
[[nodiscard]] Comparison Compare(const LoadShape& shape,
                                 const Bottleneck& bottleneck,
                                 double hot_customer,
                                 const Share& share) {
  constexpr std::uint64_t kSeeds = 4;
  Comparison comparison;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    comparison.before +=
        share(Replay(shape, bottleneck, Policy::kBefore, seed, hot_customer)) /
        kSeeds;
    comparison.after += share(Replay(shape, bottleneck, Policy::kLeastLoss,
                                     seed, hot_customer)) /
                        kSeeds;
  }
  BOOST_TEST_MESSAGE(shape.queue << ", " << bottleneck.name << ": "
                                 << comparison.before << " before, "
                                 << comparison.after << " after");
  return comparison;
}

[[nodiscard]] double ShareInTime(const ReplayResult& result) {
  return result.all.share();
}

[[nodiscard]] double ShareOfOthers(const ReplayResult& result) {
  const ReplayCount& hot = result.by_customer.rbegin()->second;
  return (result.all.in_time - hot.in_time) / (result.all.owed - hot.owed);
}

// Guards against bursts in which jobs that could have ended in time become
// late, because begun jobs wait behind new ones or estimates mislead the order.
BOOST_AUTO_TEST_CASE(MoreIsServedInTimeInABurst) {
  for (const LoadShape& shape : {Quotes(), Slots()}) {
    for (const Bottleneck& bottleneck : kBottlenecks) {
      const Comparison served = Compare(shape, bottleneck, 0, ShareInTime);
      BOOST_TEST(served.after >= served.before,
                 shape.queue << ", " << bottleneck.name);
    }
  }
}

// Guards against a customer that submits as much as all others together and
// makes their jobs late.
BOOST_AUTO_TEST_CASE(ACustomerOverItsShareDoesNotDelayTheOthers) {
  for (const Bottleneck& bottleneck : kBottlenecks) {
    const Comparison others = Compare(Quotes(), bottleneck, 1, ShareOfOthers);
    BOOST_TEST(others.after >= 1.2 * others.before, bottleneck.name);
  }
}

// Guards against a gain that one zone or the customers with long jobs pay for.
BOOST_AUTO_TEST_CASE(NoZoneAndNoCustomerIsStarved) {
  for (const Bottleneck& bottleneck : kBottlenecks) {
    const ReplayResult before =
        Replay(Quotes(), bottleneck, Policy::kBefore, 1);
    const ReplayResult after =
        Replay(Quotes(), bottleneck, Policy::kLeastLoss, 1);
    for (const auto& [zone, count] : after.by_zone)
      BOOST_TEST(count.share() >= before.by_zone.at(zone).share() - 0.05);
    for (const auto& [customer, count] : after.by_customer)
      BOOST_TEST(count.in_time + count.late >= 0.75 * count.owed, customer);
  }
}

// Guards against a rejection that comes after the job has waited: all
// rejections are made at submission. A burst that the pool can serve late
// rejects nobody within its share.
BOOST_AUTO_TEST_CASE(RejectionsComeAtOnceAndOnlyWithoutRoom) {
  const ReplayResult usual =
      Replay(Quotes(), kBottlenecks[0], Policy::kLeastLoss, 1);
  BOOST_TEST(usual.all.refused == 0);
  const ReplayResult hot =
      Replay(Quotes(), kBottlenecks[1], Policy::kLeastLoss, 1, 1);
  BOOST_TEST(hot.all.rejections > 0);
  const ReplayCount& customer = hot.by_customer.rbegin()->second;
  BOOST_TEST(customer.rejections >= hot.all.rejections * 9 / 10);
}

}  // namespace
}  // namespace boragewinch::scheduler
