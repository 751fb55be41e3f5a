#ifndef BORAGEWINCH_POLICY_JOB_QUEUE_CONFIG_H_
#define BORAGEWINCH_POLICY_JOB_QUEUE_CONFIG_H_

#include <cstddef>

#include "base/result.h"
#include "base/time.h"

namespace boragewinch {

/// \brief Parameters of JobQueue.
struct JobQueueConfig {
  /// Time constant of the decayed usage.
  Millis window{60'000};
  /// Part of the decayed average in the order of teams, in percent; the rest
  /// is what a team runs now. 0 forgets past starvation; 100 lets a team that
  /// was idle take every slot until its average has caught up.
  int history_percent = 15;
  /// Part of the usage within the pool in the order of teams, in percent; the
  /// rest is that in all pools. Slots are divided where teams compete: with the
  /// usage of all pools, a team that is alone in one pool gives way in others.
  int pool_percent = 100;
  /// Urgent work goes first while the team's urgent tasks alone, not all of its
  /// tasks, are within what it is entitled to.
  bool urgent_by_class = true;
  /// A customer with a waiting, startable job gets a start at the latest this
  /// long after its last one, plus one start for each other overdue customer
  /// of the pool.
  Millis turn_bound{30'000};
  /// Jobs of one team that are tried in one pool in one decision. If none can
  /// start, the next decision goes on behind them.
  std::size_t tries_per_team = 16;
  /// Of these, jobs of one customer.
  std::size_t tries_per_customer = 6;

  /// \returns kInvalidSetting for a value out of range.
  [[nodiscard]] Status Check() const {
    if (window < Millis(1) || turn_bound < Millis(1))
      return Fail(ErrorCode::kInvalidSetting, "times must be at least 1 ms");
    if (history_percent < 0 || history_percent > 100) {
      return Fail(ErrorCode::kInvalidSetting,
                  "history_percent must be within 0 and 100");
    }
    if (pool_percent < 0 || pool_percent > 100) {
      return Fail(ErrorCode::kInvalidSetting,
                  "pool_percent must be within 0 and 100");
    }
    if (tries_per_team == 0 || tries_per_customer == 0)
      return Fail(ErrorCode::kInvalidSetting, "tries must be at least 1");
    return Ok();
  }
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_JOB_QUEUE_CONFIG_H_
