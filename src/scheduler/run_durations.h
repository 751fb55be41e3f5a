#ifndef BORAGEWINCH_SCHEDULER_RUN_DURATIONS_H_
#define BORAGEWINCH_SCHEDULER_RUN_DURATIONS_H_

#include <functional>
#include <map>

#include "base/strong_id.h"
#include "base/time.h"

namespace boragewinch::scheduler {

/// \brief Learns the average ratio of duration to estimate of each queue, to
/// detect runs that are far slower than the queue's other runs. Estimates of
/// single tasks are off by a factor of two either way; slow or hung workers
/// exceed that.
class RunDurations {
 public:
  /// \brief Records a successful run.
  void OnDone(const QueueName& queue, Millis estimate, Millis duration);

  /// \brief Forgets the queues for which `is_known` returns false.
  void Retain(const std::function<bool(const QueueName&)>& is_known);

  /// \returns the duration after which a run counts as slow.
  /// \param estimate of one task; 0: unknown, no run counts as slow.
  [[nodiscard]] Millis SlowAfter(const QueueName& queue, Millis estimate) const;

 private:
  /// Moving average of log(duration / estimate).
  struct RatioAverage {
    double log_ratio = 0;
    double runs = 0;
  };
  std::map<QueueName, RatioAverage> averages_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_RUN_DURATIONS_H_
