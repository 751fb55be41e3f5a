#include "overload/duration_model.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace boragewinch::overload {

namespace {

/// Tasks over which the moments are averaged: some seconds of a busy queue.
constexpr double kWindowTasks = 400;
/// Fewer recorded tasks correct nothing: the tasks of a step have one estimate,
/// and a step has some ten tasks.
constexpr double kMinTasks = 60;
/// Limit on the correction, as a logarithm.
constexpr double kMaxCorrection = 3;
/// Variance of the estimates below which they are equal, so that they say
/// nothing about the differences between tasks.
constexpr double kMinVariance = 1e-4;
/// Ratio of the standard deviation of a normal distribution to its mean
/// absolute deviation. The latter is used since it depends less on the few
/// tasks that take several times as long as the others.
constexpr double kDeviationRatio = 1.2533;
/// The largest usual error of estimates is a factor of e^0.9.
constexpr double kDefaultSpread = 0.9;

}  // namespace

double DurationModel::Moments::Slope() const {
  return variance < kMinVariance ? 0
                                 : std::clamp(covariance / variance, 0.0, 1.0);
}

void DurationModel::OnDone(const QueueName& queue,
                           Millis estimate,
                           Millis duration) {
  if (estimate.count() <= 0 || duration.count() <= 0)
    return;
  const double x = std::log(static_cast<double>(estimate.count()));
  const double y = std::log(static_cast<double>(duration.count()));
  Moments& moments = moments_[queue];
  moments.tasks = std::min(moments.tasks + 1, kWindowTasks);
  const double gain = 1 / moments.tasks;
  const double dx = x - moments.estimate;
  const double dy = y - moments.duration;
  moments.estimate += gain * dx;
  moments.duration += gain * dy;
  moments.variance += gain * ((1 - gain) * dx * dx - moments.variance);
  moments.covariance += gain * ((1 - gain) * dx * dy - moments.covariance);
  moments.deviation +=
      gain * (std::abs(y - moments.Predict(x)) - moments.deviation);
}

double DurationModel::Spread(const QueueName& queue) const {
  const auto found = moments_.find(queue);
  return found == moments_.end() || found->second.tasks < kMinTasks
             ? kDefaultSpread
             : kDeviationRatio * found->second.deviation;
}

Millis DurationModel::Expected(const QueueName& queue, Millis estimate) const {
  const auto found = moments_.find(queue);
  if (found == moments_.end() || found->second.tasks < kMinTasks)
    return estimate;
  const Moments& moments = found->second;
  const double x = estimate.count() > 0
                       ? std::log(static_cast<double>(estimate.count()))
                       : moments.estimate;
  const double expected = moments.Predict(x);
  return Millis(std::max<std::int64_t>(
      1, std::llround(std::exp(
             std::clamp(expected, x - kMaxCorrection, x + kMaxCorrection)))));
}

void DurationModel::Retain(
    const std::function<bool(const QueueName&)>& is_known) {
  std::erase_if(moments_,
                [&](const auto& item) { return !is_known(item.first); });
}

}  // namespace boragewinch::overload
