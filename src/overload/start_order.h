#ifndef BORAGEWINCH_OVERLOAD_START_ORDER_H_
#define BORAGEWINCH_OVERLOAD_START_ORDER_H_

#include <cstdint>
#include <map>
#include <set>

#include "base/enum_table.h"
#include "base/strong_id.h"
#include "base/time.h"
#include "jobs/job_types.h"

namespace boragewinch::overload {

/// A result that comes later than this multiple of the time until the objective
/// is of no use to its caller.
inline constexpr int kUsefulFactor = 3;

/// \brief Whether a waiting job can still meet its objective.
enum class Urgency {
  kOnTime,     ///< it can, if it starts soon
  kOverShare,  ///< it can, but its customer demands far more than its share
  kDoubtful,   ///< it can if its tasks take less time than expected
  kLate,       ///< it will be late, but of use
  kTooLate,    ///< it will be of no use any more
};

inline constexpr EnumTable<Urgency, 5> kUrgencies{{{
    {Urgency::kOnTime, "on_time"},
    {Urgency::kOverShare, "over_share"},
    {Urgency::kDoubtful, "doubtful"},
    {Urgency::kLate, "late"},
    {Urgency::kTooLate, "too_late"},
}}};

/// \returns whether a job will probably miss its objective.
[[nodiscard]] constexpr bool IsLate(Urgency urgency) noexcept {
  return urgency != Urgency::kOnTime && urgency != Urgency::kOverShare;
}

/// \brief The times that count for a waiting job.
struct JobTimes {
  jobs::UnixMillis from = 0;  ///< accepted or due
  jobs::UnixMillis objective = 0;
  Millis path{0};  ///< expected duration of its remaining critical path

  /// \returns the time until which the result is of use.
  [[nodiscard]] constexpr jobs::UnixMillis useful_until() const noexcept {
    return from + kUsefulFactor * (objective - from);
  }
};

/// \brief What decides when a waiting job starts.
struct WaitingJob {
  bool has_long_running = false;  ///< a long-running task is waiting
  std::int64_t priority = 0;      ///< 0 is the highest
  Urgency urgency = Urgency::kOnTime;
  bool begun = false;  ///< some of its tasks are running or have ended
  JobTimes times;
  const jobs::JobId* id = nullptr;
};

/// \returns whether a job that waits can meet its objective.
/// \param margin the multiple of the remaining path that has to fit before the
/// objective: each step waits for the report of the last end and for free
/// capacity.
[[nodiscard]] Urgency UrgencyOf(const JobTimes& times,
                                double margin,
                                bool over_share,
                                jobs::UnixMillis now);

/// \brief Order of start when tasks wait for capacity or for the leader.
///
/// Load: for some seconds a queue asks for several times what its pool or the
/// leader can start. Long-running tasks come first, then higher priorities, and
/// jobs that can still meet their objective before late ones. Of the former,
/// begun jobs come first, since their work is of less use to their callers if a
/// later step makes them late, then earlier objectives. Of the late ones those
/// come first that only rough estimates may make late, then those whose results
/// are soonest of no use.
/// \returns whether `a` starts before `b`; a strict total order.
[[nodiscard]] bool StartsBefore(const WaitingJob& a, const WaitingJob& b);

/// \brief Use and weight of one customer.
struct CustomerUse {
  std::int64_t cpu_millis = 0;  ///< of its runs and of what it has waiting
  std::int64_t weight = 1;
};

/// \brief Finds the customers whose demand is far above their fair share, the
/// part of the whole demand that corresponds to their weight.
///
/// Load: one customer submits several times its usual. While everything starts
/// at once the result has no effect.
[[nodiscard]] std::set<CustomerName> CustomersOverShare(
    const std::map<CustomerName, CustomerUse>& customers);

}  // namespace boragewinch::overload

#endif  // BORAGEWINCH_OVERLOAD_START_ORDER_H_
