#ifndef BORAGEWINCH_BASE_TIME_H_
#define BORAGEWINCH_BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace boragewinch {

using Millis = std::chrono::milliseconds;

/// \brief A monotonic time in milliseconds. Only the event loop reads the
/// clock; all other code takes the time as an argument.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Millis>;

/// Maximum drift between two monotonic clocks, in percent.
inline constexpr int kClockDriftPercent = 1;

/// \returns how long the holder of a lease may rely on it.
[[nodiscard]] constexpr Millis HolderLease(Millis lease) noexcept {
  return lease * (100 - kClockDriftPercent) / 100;
}

/// \returns how long the granter of a lease waits before treating it as
/// expired.
[[nodiscard]] constexpr Millis GranterLease(Millis lease) noexcept {
  return lease * (100 + kClockDriftPercent) / 100;
}

/// \returns milliseconds since the clock's epoch.
[[nodiscard]] constexpr std::int64_t ToMillis(TimePoint time) noexcept {
  return time.time_since_epoch().count();
}

/// \returns the time point `millis` milliseconds after the clock's epoch.
[[nodiscard]] constexpr TimePoint FromMillis(std::int64_t millis) noexcept {
  return TimePoint(Millis(millis));
}

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_TIME_H_
