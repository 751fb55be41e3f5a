#include "scheduler/run_durations.h"

#include <algorithm>
#include <cmath>

namespace boragewinch::scheduler {

namespace {

/// Number of runs over which the ratio is averaged.
constexpr double kWindowRuns = 200;
/// Factor over the average duration beyond which a run is slow. On a healthy
/// worker, one run in 20 of the queue with the least accurate estimates exceeds
/// it.
constexpr double kSlowFactor = 4;
/// Allowance for the start request and the worker's list, and for tasks of a
/// few milliseconds.
constexpr Millis kOverhead{500};
/// Limit on the learned ratio, as a logarithm.
constexpr double kMaxLogRatio = 1.5;

}  // namespace

void RunDurations::OnDone(const QueueName& queue,
                          Millis estimate,
                          Millis duration) {
  if (estimate.count() <= 0 || duration.count() <= 0)
    return;
  const double ratio = static_cast<double>(duration.count()) /
                       static_cast<double>(estimate.count());
  RatioAverage& average = averages_[queue];
  average.runs = std::min(average.runs + 1, kWindowRuns);
  average.log_ratio += (std::log(ratio) - average.log_ratio) / average.runs;
}

void RunDurations::Retain(
    const std::function<bool(const QueueName&)>& is_known) {
  std::erase_if(averages_,
                [&](const auto& item) { return !is_known(item.first); });
}

Millis RunDurations::SlowAfter(const QueueName& queue, Millis estimate) const {
  if (estimate.count() <= 0)
    return Millis::max();
  const auto found = averages_.find(queue);
  const double log_ratio =
      found == averages_.end()
          ? 0.0
          : std::clamp(found->second.log_ratio, -kMaxLogRatio, kMaxLogRatio);
  return Millis(
             static_cast<std::int64_t>(kSlowFactor * std::exp(log_ratio) *
                                       static_cast<double>(estimate.count()))) +
         kOverhead;
}

}  // namespace boragewinch::scheduler
