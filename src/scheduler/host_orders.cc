#include "scheduler/host_orders.h"

#include <algorithm>

namespace boragewinch::scheduler {

namespace {

/// Clocks of two hosts may be so far apart: a step of the time of day is some
/// seconds.
constexpr Millis kClockSlack{10'000};

/// \returns the latest time at which something decided at `decided` on the
/// clock of another host can have happened.
[[nodiscard]] TimePoint Latest(jobs::UnixMillis decided,
                               jobs::UnixMillis time_of_day,
                               TimePoint now) {
  const Millis age(time_of_day - decided);
  return now - std::max(Millis(0), age - kClockSlack);
}

}  // namespace

void HostOrders::OnApplied(const jobs::Batch& batch,
                           jobs::UnixMillis time_of_day,
                           TimePoint now) {
  for (const jobs::HostOrderNote& order : batch.host_orders)
    given_at_[order.host] = Latest(batch.now, time_of_day, now);
}

TimePoint HostOrders::GivenAt(const jobs::HostOrder& order,
                              jobs::UnixMillis time_of_day,
                              TimePoint now) const {
  const auto found = given_at_.find(order.note.host);
  // An order that came with a snapshot was not applied here.
  return found != given_at_.end() ? found->second
                                  : Latest(order.decided, time_of_day, now);
}

bool HostOrders::MayOrder(const jobs::JobLedger& ledger,
                          const HostName& host,
                          std::uint64_t term,
                          jobs::UnixMillis time_of_day,
                          TimePoint now) const {
  const auto order = ledger.host_orders().find(host);
  return order == ledger.host_orders().end() ||
         order->second.note.term == term ||
         now - GivenAt(order->second, time_of_day, now) >= holder_lease_;
}

}  // namespace boragewinch::scheduler
