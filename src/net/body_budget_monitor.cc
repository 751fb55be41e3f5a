#include "net/body_budget_monitor.h"

#include <malloc.h>

#include "base/event_log.h"

namespace boragewinch {

namespace {

/// Memory is returned at this interval during a flood as well: bodies of
/// changing size fragment the heap.
constexpr Millis kTickInterval{500};
constexpr Millis kLogInterval{5'000};

}  // namespace

BodyBudgetMonitor::BodyBudgetMonitor(EventLoop& loop, BodyBudget& budget)
    : budget_(budget),
      tick_(loop.Every(kTickInterval, [this](TimePoint now) { Tick(now); })) {}

void BodyBudgetMonitor::Tick(TimePoint now) {
  if (const std::uint64_t refusals = budget_.refusals();
      refusals > logged_refusals_ && now >= next_log_) {
    LogEvent(EventId::kBoundReached, {{"bound", "body_budget"},
                                      {"refused", refusals - logged_refusals_},
                                      {"held_bytes", budget_.held()},
                                      {"limit_bytes", budget_.limits().total},
                                      {"connections", budget_.connections()}});
    logged_refusals_ = refusals;
    next_log_ = now + kLogInterval;
  }
  if (budget_.TakeReturnDue())
    malloc_trim(0);
}

void BodyBudgetMonitor::Export(Metrics& metrics) const {
  metrics.Gauge("body_budget_held_bytes", {},
                static_cast<double>(budget_.held()));
  metrics.Gauge("body_budget_limit_bytes", {},
                static_cast<double>(budget_.limits().total));
  metrics.Gauge("body_budget_refusals", {},
                static_cast<double>(budget_.refusals()));
}

}  // namespace boragewinch
