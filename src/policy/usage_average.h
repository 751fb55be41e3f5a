#ifndef BORAGEWINCH_POLICY_USAGE_AVERAGE_H_
#define BORAGEWINCH_POLICY_USAGE_AVERAGE_H_

#include <array>
#include <cmath>
#include <cstddef>

#include "base/time.h"
#include "model/resources.h"

namespace boragewinch {

/// Slots, processors, memory and accelerators used by a set of tasks.
using UsageVector = std::array<double, 4>;

/// \returns the usage of a task with `demand`.
[[nodiscard]] inline UsageVector ToUsage(const Resources& demand,
                                         double slots = 1) noexcept {
  return {slots, static_cast<double>(demand.cpu_millis),
          static_cast<double>(demand.memory_mb),
          static_cast<double>(demand.accelerators)};
}

/// \returns the largest ratio of a component of `usage` to that of `total`.
/// Components that are 0 in `total` are ignored.
[[nodiscard]] inline double DominantShare(const UsageVector& usage,
                                          const UsageVector& total) noexcept {
  double share = 0;
  for (std::size_t i = 0; i < usage.size(); ++i) {
    if (total[i] > 0)
      share = std::max(share, usage[i] / total[i]);
  }
  return share;
}

/// \brief Current usage and its exponential moving average.
class UsageAverage {
 public:
  /// \brief Adds `delta` times `sign` to the current usage.
  void Add(const UsageVector& delta,
           double sign,
           Millis window,
           TimePoint now) {
    Advance(window, now);
    for (std::size_t i = 0; i < delta.size(); ++i)
      running_[i] = std::max(0.0, running_[i] + sign * delta[i]);
  }
  /// \brief Replaces the current usage.
  void Set(const UsageVector& running, Millis window, TimePoint now) {
    Advance(window, now);
    running_ = running;
  }
  /// \brief Updates the average to `now`.
  void Advance(Millis window, TimePoint now) {
    if (now <= updated_)
      return;
    const double elapsed = static_cast<double>((now - updated_).count());
    const double decay =
        std::exp(-elapsed / static_cast<double>(window.count()));
    for (std::size_t i = 0; i < running_.size(); ++i)
      average_[i] = average_[i] * decay + running_[i] * (1 - decay);
    updated_ = now;
  }
  [[nodiscard]] const UsageVector& running() const noexcept { return running_; }
  [[nodiscard]] const UsageVector& average() const noexcept { return average_; }

 private:
  UsageVector running_{};
  UsageVector average_{};
  TimePoint updated_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_USAGE_AVERAGE_H_
