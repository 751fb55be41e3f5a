#include "scheduler/disk_latency_monitor.h"

#include <algorithm>

namespace boragewinch::scheduler {

void DiskLatencyMonitor::OnSync(Millis duration) noexcept {
  syncs_ = std::min(syncs_ + 1, kWindowSyncs);
  mean_ms_ += (static_cast<double>(duration.count()) - mean_ms_) / syncs_;
}

bool DiskLatencyMonitor::ShouldTransferLeadership(
    TimePoint now) const noexcept {
  return syncs_ >= kMinSyncs && mean() >= kSlowSync && now >= next_transfer_at_;
}

void DiskLatencyMonitor::OnLeadershipTransfer(TimePoint now) noexcept {
  next_transfer_at_ = now + kMinTransferInterval;
  syncs_ = 0;
  mean_ms_ = 0;
}

Millis DiskLatencyMonitor::mean() const noexcept {
  return Millis(static_cast<std::int64_t>(mean_ms_));
}

}  // namespace boragewinch::scheduler
