#ifndef BORAGEWINCH_SCHEDULER_HOST_ORDERS_H_
#define BORAGEWINCH_SCHEDULER_HOST_ORDERS_H_

#include <cstdint>
#include <map>

#include "base/time.h"
#include "jobs/job_ledger.h"

namespace boragewinch::scheduler {

/// \brief How old the newest order for each host is, on this host's clock. A
/// leader leaves a host alone while the order of an earlier leader is younger
/// than the lease of holders; all other hosts it orders at once.
class HostOrders {
 public:
  /// \param holder_lease time for which a host belongs to its last holder.
  explicit HostOrders(Millis holder_lease) : holder_lease_(holder_lease) {}

  /// \brief Notes the orders of a batch that this replica has applied.
  /// \param time_of_day of this host, to tell a replayed batch from a new one.
  void OnApplied(const jobs::Batch& batch,
                 jobs::UnixMillis time_of_day,
                 TimePoint now);

  /// \returns when the order was given, at the latest.
  [[nodiscard]] TimePoint GivenAt(const jobs::HostOrder& order,
                                  jobs::UnixMillis time_of_day,
                                  TimePoint now) const;

  /// \param term under which this leader gives orders.
  /// \returns whether this leader may order something of the host.
  [[nodiscard]] bool MayOrder(const jobs::JobLedger& ledger,
                              const HostName& host,
                              std::uint64_t term,
                              jobs::UnixMillis time_of_day,
                              TimePoint now) const;

 private:
  Millis holder_lease_;
  std::map<HostName, TimePoint> given_at_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_HOST_ORDERS_H_
