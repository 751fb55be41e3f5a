#include "scheduler/disk_watch.h"

#include <algorithm>

namespace boragewinch::scheduler {

void DiskWatch::OnSync(Millis took) noexcept {
  syncs_ = std::min(syncs_ + 1, kMemorySyncs);
  mean_ms_ += (static_cast<double>(took.count()) - mean_ms_) / syncs_;
}

bool DiskWatch::HandOverDue(TimePoint now) const noexcept {
  return syncs_ >= kLeastSyncs && mean() >= kSlowSync && now >= pause_until_;
}

void DiskWatch::OnHandOver(TimePoint now) noexcept {
  pause_until_ = now + kPause;
  syncs_ = 0;
  mean_ms_ = 0;
}

Millis DiskWatch::mean() const noexcept {
  return Millis(static_cast<std::int64_t>(mean_ms_));
}

}  // namespace boragewinch::scheduler
