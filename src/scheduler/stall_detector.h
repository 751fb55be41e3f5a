#ifndef BORAGEWINCH_SCHEDULER_STALL_DETECTOR_H_
#define BORAGEWINCH_SCHEDULER_STALL_DETECTOR_H_

#include "base/time.h"

namespace boragewinch::scheduler {

/// \brief Detects stalls of an event loop whose host was suspended or had no
/// CPU time. The time that a message waited in a socket cannot be measured
/// otherwise.
class StallDetector {
 public:
  /// \param min_stall shorter stalls are ignored.
  /// \param backlog time after a stall within which messages may have waited.
  StallDetector(Millis min_stall, Millis backlog)
      : min_stall_(min_stall), backlog_(backlog) {}

  /// \brief Must be called by the event loop at least every `min_stall` / 2.
  void Tick(TimePoint now);
  /// \returns how long a message read now may have waited in its socket.
  [[nodiscard]] Millis PossibleDelay(TimePoint now) const;

 private:
  Millis min_stall_;
  Millis backlog_;
  TimePoint last_tick_;
  Millis stall_{0};
  TimePoint backlog_until_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_STALL_DETECTOR_H_
