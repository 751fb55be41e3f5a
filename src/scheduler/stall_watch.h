#ifndef BORAGEWINCH_SCHEDULER_STALL_WATCH_H_
#define BORAGEWINCH_SCHEDULER_STALL_WATCH_H_

#include "base/time.h"

namespace boragewinch::scheduler {

/// \brief Notices that an event loop stood still, because its host was
/// suspended or had no processor time. The time that a message waited in a
/// socket cannot be seen otherwise.
class StallWatch {
 public:
  /// \param shortest pauses below this one are not noticed.
  /// \param backlog time after a pause within which messages may have waited.
  StallWatch(Millis shortest, Millis backlog)
      : shortest_(shortest), backlog_(backlog) {}

  /// \brief Has to be called by the event loop at least every `shortest` / 2.
  void Tick(TimePoint now);
  /// \returns how long a message that is read now may have waited.
  [[nodiscard]] Millis Waited(TimePoint now) const;

 private:
  Millis shortest_;
  Millis backlog_;
  TimePoint ticked_;
  Millis pause_{0};
  TimePoint counts_until_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_STALL_WATCH_H_
