#ifndef BORAGEWINCH_SCHEDULER_RUN_DURATIONS_H_
#define BORAGEWINCH_SCHEDULER_RUN_DURATIONS_H_

#include <map>

#include "base/strong_id.h"
#include "base/time.h"

namespace boragewinch::scheduler {

/// \brief Learns by how much the estimates of a queue are off, and tells a run
/// that takes far longer than the queue's runs do. Estimates of single tasks
/// are wrong by a factor of two either way; workers that turn slow or stand
/// still exceed that.
class RunDurations {
 public:
  /// \brief Learns from a run that ended well.
  void OnDone(const QueueName& queue, Millis estimate, Millis took);

  /// \returns the time after which a run is far slower than its queue's runs.
  /// \param estimate of one task; 0 if unknown, then no run is slow.
  [[nodiscard]] Millis SlowAfter(const QueueName& queue, Millis estimate) const;

 private:
  /// Mean of the logarithm of duration over estimate, newest runs first.
  struct Typical {
    double log_ratio = 0;
    double runs = 0;
  };
  std::map<QueueName, Typical> typical_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_RUN_DURATIONS_H_
