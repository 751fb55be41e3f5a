#ifndef BORAGEWINCH_SCHEDULER_DISK_WATCH_H_
#define BORAGEWINCH_SCHEDULER_DISK_WATCH_H_

#include "base/time.h"

namespace boragewinch::scheduler {

/// \brief Tells a leader that its disk has become slow. Each decision waits for
/// a sync of the leader, so another replica decides faster.
class DiskWatch {
 public:
  /// \brief Enters the duration of one sync.
  void OnSync(Millis took) noexcept;
  /// \returns whether leadership should move now. After a move it stays for
  /// kPause at least, so that two slow replicas do not take turns.
  [[nodiscard]] bool HandOverDue(TimePoint now) const noexcept;
  void OnHandOver(TimePoint now) noexcept;
  /// \returns the mean duration of the last syncs.
  [[nodiscard]] Millis mean() const noexcept;

  /// A sound disk takes 4 to 6 ms a sync, an election some 100 ms of service.
  static constexpr Millis kSlowSync{60};
  static constexpr Millis kPause{10'000};

 private:
  static constexpr double kMemorySyncs = 6;
  static constexpr double kLeastSyncs = 3;

  double mean_ms_ = 0;
  double syncs_ = 0;
  TimePoint pause_until_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_DISK_WATCH_H_
