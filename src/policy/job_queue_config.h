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
  /// Weight of the decayed usage in the order of teams, in percent; the rest is
  /// current usage. 0 does not compensate past starvation; 100 lets a team that
  /// was idle take every slot until its average has caught up.
  int history_percent = 15;
  /// Weight of the usage within the pool in the order of teams, in percent; the
  /// rest is usage in all pools. With usage in all pools, a team that is alone
  /// in one pool loses slots to its competitors in other pools.
  int pool_percent = 100;
  /// Urgent work has priority while the team's urgent tasks alone, rather than
  /// all of its tasks, are below its fair share.
  bool urgent_by_class = true;
  /// Wait since the customer's last start, or since its jobs arrived if later,
  /// after which it is overdue. With a startable job it then waits for at most
  /// one overdue start of the pool (see JobQueue::kOverdueEvery) for each
  /// overdue customer.
  Millis max_customer_wait{30'000};
  /// Jobs of one team that are tried in one pool per scheduling decision. If
  /// none is startable, the next decision continues behind them.
  std::size_t attempts_per_team = 16;
  /// The most of these attempts that are spent on jobs of one customer.
  std::size_t attempts_per_customer = 6;

  /// \returns kInvalidSetting for a value out of range.
  [[nodiscard]] Status Check() const {
    if (window < Millis(1) || max_customer_wait < Millis(1))
      return Fail(ErrorCode::kInvalidSetting,
                  "window and max_customer_wait must be at least 1 ms");
    if (history_percent < 0 || history_percent > 100) {
      return Fail(ErrorCode::kInvalidSetting,
                  "history_percent must be within 0 and 100");
    }
    if (pool_percent < 0 || pool_percent > 100) {
      return Fail(ErrorCode::kInvalidSetting,
                  "pool_percent must be within 0 and 100");
    }
    if (attempts_per_team == 0 || attempts_per_customer == 0)
      return Fail(
          ErrorCode::kInvalidSetting,
          "attempts_per_team and attempts_per_customer must be at least 1");
    return Ok();
  }
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_JOB_QUEUE_CONFIG_H_
