#include "scheduler/host_orders.h"

#include "scheduler/replicated_time.h"

namespace boragewinch::scheduler {

void HostOrders::OnApplied(const jobs::Batch& batch,
                           jobs::UnixMillis wall_time,
                           TimePoint now) {
  for (const jobs::HostOrderRecord& order : batch.host_orders)
    issued_at_[order.host] = LatestPossibleTime(batch.now, wall_time, now);
}

TimePoint HostOrders::IssuedAt(const jobs::HostOrder& order,
                               jobs::UnixMillis wall_time,
                               TimePoint now) const {
  const auto found = issued_at_.find(order.record.host);
  // An order restored from a snapshot was never applied on this replica.
  return found != issued_at_.end()
             ? found->second
             : LatestPossibleTime(order.decided, wall_time, now);
}

bool HostOrders::MayOrder(const jobs::JobLedger& ledger,
                          const HostName& host,
                          std::uint64_t term,
                          jobs::UnixMillis wall_time,
                          TimePoint now) const {
  const auto order = ledger.host_orders().find(host);
  return order == ledger.host_orders().end() ||
         order->second.record.term == term ||
         now - IssuedAt(order->second, wall_time, now) >= holder_lease_;
}

}  // namespace boragewinch::scheduler
