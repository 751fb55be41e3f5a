#ifndef BORAGEWINCH_SCHEDULER_REPLICATED_TIME_H_
#define BORAGEWINCH_SCHEDULER_REPLICATED_TIME_H_

#include <algorithm>

#include "base/time.h"
#include "jobs/job_types.h"

namespace boragewinch::scheduler {

/// Assumed bound on the difference between the wall clocks of two hosts; a
/// clock step is some seconds.
inline constexpr Millis kMaxClockSkew{10'000};

/// \returns the latest time on this host's steady clock at which something can
/// have happened that another host stored with its wall clock.
/// \param stored time that was stored.
/// \param wall_time present time on this host's wall clock.
[[nodiscard]] inline TimePoint LatestPossibleTime(jobs::UnixMillis stored,
                                                  jobs::UnixMillis wall_time,
                                                  TimePoint now) {
  const Millis age(wall_time - stored);
  return now - std::max(Millis(0), age - kMaxClockSkew);
}

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_REPLICATED_TIME_H_
