#include "scheduler/run_durations.h"

#include <algorithm>
#include <cmath>

namespace boragewinch::scheduler {

namespace {

/// Number of runs over which the ratio is averaged.
constexpr double kMemoryRuns = 200;
/// Factor over the typical duration beyond which a run is slow. On a healthy
/// worker, one run in 20 of the queue with the least accurate estimates exceeds
/// it.
constexpr double kSlowFactor = 4;
/// Allowance for start request and status report, and for very short tasks.
constexpr Millis kOverhead{500};
/// Limit on the learned ratio, as a logarithm.
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
