#include "scheduler/run_durations.h"

#include <algorithm>
#include <cmath>

namespace boragewinch::scheduler {

namespace {

/// Runs over which the typical ratio is taken.
constexpr double kMemoryRuns = 200;
/// A run is slow beyond so many times its typical duration: one in 20 of the
/// queue with the roughest estimates is above it on a sound worker.
constexpr double kSlowFactor = 4;
/// Time for the order and the list, and for tasks of a few milliseconds.
constexpr Millis kOverhead{500};
/// Bounds on the learned ratio.
constexpr double kMostLogRatio = 1.5;

}  // namespace

void RunDurations::OnDone(const QueueName& queue,
                          Millis estimate,
                          Millis took) {
  if (estimate.count() <= 0 || took.count() <= 0)
    return;
  const double ratio =
      static_cast<double>(took.count()) / static_cast<double>(estimate.count());
  Typical& typical = typical_[queue];
  typical.runs = std::min(typical.runs + 1, kMemoryRuns);
  typical.log_ratio += (std::log(ratio) - typical.log_ratio) / typical.runs;
}

Millis RunDurations::SlowAfter(const QueueName& queue, Millis estimate) const {
  if (estimate.count() <= 0)
    return Millis::max();
  const auto found = typical_.find(queue);
  const double log_ratio =
      found == typical_.end()
          ? 0.0
          : std::clamp(found->second.log_ratio, -kMostLogRatio, kMostLogRatio);
  return Millis(
             static_cast<std::int64_t>(kSlowFactor * std::exp(log_ratio) *
                                       static_cast<double>(estimate.count()))) +
         kOverhead;
}

}  // namespace boragewinch::scheduler
