#ifndef BORAGEWINCH_ENTRY_BACKOFF_H_
#define BORAGEWINCH_ENTRY_BACKOFF_H_

#include <algorithm>
#include <cstdint>
#include <functional>

#include "base/time.h"

namespace boragewinch {

/// \returns a number in [0, bound), used for jitter.
using RandomHook = std::function<std::uint64_t(std::uint64_t bound)>;

/// \brief Exponential backoff with full jitter, at least a quarter of `initial`
/// so that a small random number does not cause an immediate retry.
[[nodiscard]] inline Millis BackoffDelay(Millis initial,
                                         Millis max_delay,
                                         std::uint32_t attempts,
                                         const RandomHook& random) {
  const Millis ceiling = std::min(
      max_delay, initial * (std::int64_t{1} << std::min(attempts, 16U)));
  const auto span = static_cast<std::uint64_t>(ceiling.count());
  return std::max(initial / 4, Millis(static_cast<std::int64_t>(random(span))));
}

/// \brief Limits retries to a tenth of the first attempts, plus 10 initially.
/// At most 100 unused retries accumulate.
class RetryBudget {
 public:
  void OnFirstAttempt() noexcept {
    tenths_ = std::min(tenths_ + 1, kMaxTenths);
  }
  /// \returns whether a retry may be made; counts it if so.
  [[nodiscard]] bool TakeRetry() noexcept {
    if (tenths_ < 10)
      return false;
    tenths_ -= 10;
    return true;
  }

 private:
  static constexpr std::int64_t kMaxTenths = 1'000;
  std::int64_t tenths_ = 100;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_BACKOFF_H_
