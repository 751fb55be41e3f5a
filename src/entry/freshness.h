#ifndef BORAGEWINCH_ENTRY_FRESHNESS_H_
#define BORAGEWINCH_ENTRY_FRESHNESS_H_

#include <algorithm>
#include <optional>

#include "base/time.h"
#include "entry/entry_config.h"

namespace boragewinch {

/// \brief Age of the newest answered call, counted from when it was sent.
class FreshnessTracker {
 public:
  explicit FreshnessTracker(Millis bound) : bound_(HolderLease(bound)) {}

  void Answered(TimePoint sent_at) noexcept {
    newest_ = newest_ ? std::max(*newest_, sent_at) : sent_at;
  }
  [[nodiscard]] bool Within(TimePoint now) const noexcept {
    return newest_ && now - *newest_ < bound_;
  }

 private:
  Millis bound_;
  std::optional<TimePoint> newest_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_FRESHNESS_H_
