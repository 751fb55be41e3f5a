#include "scheduler/disk_watch.h"

#include <algorithm>

namespace boragewinch::scheduler {

void DiskWatch::OnSync(Millis duration) noexcept {
  syncs_ = std::min(syncs_ + 1, kWindowSyncs);
  mean_ms_ += (static_cast<double>(duration.count()) - mean_ms_) / syncs_;
}

bool DiskWatch::HandOverDue(TimePoint now) const noexcept {
  return syncs_ >= kMinSyncs && mean() >= kSlowSync && now >= next_transfer_at_;
}

void DiskWatch::OnHandOver(TimePoint now) noexcept {
  next_transfer_at_ = now + kMinTransferInterval;
  syncs_ = 0;
  mean_ms_ = 0;
}

Millis DiskWatch::mean() const noexcept {
  return Millis(static_cast<std::int64_t>(mean_ms_));
}

}  // namespace boragewinch::scheduler
