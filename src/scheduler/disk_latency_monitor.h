#ifndef BORAGEWINCH_SCHEDULER_DISK_LATENCY_MONITOR_H_
#define BORAGEWINCH_SCHEDULER_DISK_LATENCY_MONITOR_H_

#include "base/time.h"

namespace boragewinch::scheduler {

/// \brief Detects that the disk of the leader has become slow. Each decision
/// waits for a sync on the leader, so another replica should lead instead.
class DiskLatencyMonitor {
 public:
  /// \brief Records the duration of one sync.
  void OnSync(Millis duration) noexcept;
  /// \returns whether to transfer leadership now. Transfers are at least
  /// kMinTransferInterval apart, so that leadership does not oscillate between
  /// slow replicas.
  [[nodiscard]] bool ShouldTransferLeadership(TimePoint now) const noexcept;
  void OnLeadershipTransfer(TimePoint now) noexcept;
  /// \returns the mean duration of recent syncs.
  [[nodiscard]] Millis mean() const noexcept;

  /// A healthy disk takes 4 to 6 ms per sync; an election interrupts service
  /// for about 100 ms.
  static constexpr Millis kSlowSync{60};
  static constexpr Millis kMinTransferInterval{10'000};

 private:
  static constexpr double kWindowSyncs = 6;
  static constexpr double kMinSyncs = 3;

  double mean_ms_ = 0;
  double syncs_ = 0;
  TimePoint next_transfer_at_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_DISK_LATENCY_MONITOR_H_
