#ifndef BORAGEWINCH_NET_BODY_BUDGET_MONITOR_H_
#define BORAGEWINCH_NET_BODY_BUDGET_MONITOR_H_

#include <cstdint>

#include "base/metrics.h"
#include "kernel/event_loop.h"
#include "net/body_budget.h"

namespace boragewinch {

/// \brief Reports the refusals of a BodyBudget and returns memory that it no
/// longer holds to the operating system.
class BodyBudgetMonitor {
 public:
  /// Both must outlive the monitor.
  BodyBudgetMonitor(EventLoop& loop, BodyBudget& budget);

  /// \brief Sets the gauges of the budget.
  void Export(Metrics& metrics) const;

 private:
  void Tick(TimePoint now);

  BodyBudget& budget_;
  WatchHandle tick_;
  std::uint64_t logged_refusals_ = 0;
  TimePoint next_log_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_NET_BODY_BUDGET_MONITOR_H_
