#include "scheduler/stall_detector.h"

namespace boragewinch::scheduler {

void StallDetector::Tick(TimePoint now) {
  if (last_tick_ != TimePoint() && now - last_tick_ >= min_stall_) {
    stall_ = now - last_tick_;
    backlog_until_ = now + backlog_;
  }
  last_tick_ = now;
}

Millis StallDetector::PossibleDelay(TimePoint now) const {
  if (last_tick_ != TimePoint() && now - last_tick_ >= min_stall_)
    return now - last_tick_;
  return now < backlog_until_ ? stall_ : Millis(0);
}

}  // namespace boragewinch::scheduler
