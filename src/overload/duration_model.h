#ifndef BORAGEWINCH_OVERLOAD_DURATION_MODEL_H_
#define BORAGEWINCH_OVERLOAD_DURATION_MODEL_H_

#include <functional>
#include <map>

#include "base/strong_id.h"
#include "base/time.h"

namespace boragewinch::overload {

/// \brief Corrects the estimated durations of tasks by those of the tasks that
/// have ended: a linear regression of the logarithm of the duration on the
/// logarithm of the estimate, for each queue.
///
/// Load: the estimates of a queue are off by a random factor of up to e either
/// way. The slope then is far below 1, so that extreme estimates are moved
/// towards the usual duration of the queue.
class DurationModel {
 public:
  /// \brief Records a task that has ended successfully.
  /// \param estimate 0 if the job had none; such a task is not recorded.
  void OnDone(const QueueName& queue, Millis estimate, Millis duration);

  /// \returns the expected (median) duration of a task; `estimate` as long as
  /// too few tasks of the queue have ended.
  /// \param estimate 0: unknown.
  [[nodiscard]] Millis Expected(const QueueName& queue, Millis estimate) const;

  /// \returns the standard deviation of the logarithm of the duration about
  /// that of Expected; the largest usual one as long as too few tasks of the
  /// queue have ended.
  [[nodiscard]] double Spread(const QueueName& queue) const;

  /// \brief Forgets the queues for which `is_known` returns false.
  void Retain(const std::function<bool(const QueueName&)>& is_known);

 private:
  /// Exponentially weighted moments of the logarithms of estimate and duration.
  struct Moments {
    double tasks = 0;  ///< recorded, up to the window
    double estimate = 0;
    double duration = 0;
    double variance = 0;    ///< of the estimate
    double covariance = 0;  ///< of estimate and duration
    double deviation = 0;   ///< mean absolute one from the regression

    [[nodiscard]] double Slope() const;
    /// \returns the logarithm of the duration for that of an estimate.
    [[nodiscard]] double Predict(double log_estimate) const {
      return duration + Slope() * (log_estimate - estimate);
    }
  };
  std::map<QueueName, Moments> moments_;
};

}  // namespace boragewinch::overload

#endif  // BORAGEWINCH_OVERLOAD_DURATION_MODEL_H_
