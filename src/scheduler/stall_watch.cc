#include "scheduler/stall_watch.h"

namespace boragewinch::scheduler {

void StallWatch::Tick(TimePoint now) {
  if (ticked_ != TimePoint() && now - ticked_ >= shortest_) {
    pause_ = now - ticked_;
    counts_until_ = now + backlog_;
  }
  ticked_ = now;
}

Millis StallWatch::Waited(TimePoint now) const {
  if (ticked_ != TimePoint() && now - ticked_ >= shortest_)
    return now - ticked_;
  return now < counts_until_ ? pause_ : Millis(0);
}

}  // namespace boragewinch::scheduler
