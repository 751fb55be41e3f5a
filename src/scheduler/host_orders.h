#ifndef BORAGEWINCH_SCHEDULER_HOST_ORDERS_H_
#define BORAGEWINCH_SCHEDULER_HOST_ORDERS_H_

#include <cstdint>
#include <map>

#include "base/time.h"
#include "jobs/job_ledger.h"

namespace boragewinch::scheduler {

/// \brief Tracks when the newest order for each host was issued, on this host's
/// clock. A leader issues no order for a host while an earlier leader's order
/// is younger than the holder lease; other hosts are not delayed.
class HostOrders {
 public:
  /// \param holder_lease time for which only the leader that ordered a host
  /// last may order it.
  explicit HostOrders(Millis holder_lease) : holder_lease_(holder_lease) {}

  /// \brief Records the orders of a batch that this replica has applied.
  /// \param wall_time of this host, from which the age of a replayed batch is
  /// derived.
  void OnApplied(const jobs::Batch& batch,
                 jobs::UnixMillis wall_time,
                 TimePoint now);

  /// \returns the latest time at which the order can have been issued.
  [[nodiscard]] TimePoint IssuedAt(const jobs::HostOrder& order,
                                   jobs::UnixMillis wall_time,
                                   TimePoint now) const;

  /// \param term of this leader.
  /// \returns whether this leader may issue an order for the host.
  [[nodiscard]] bool MayOrder(const jobs::JobLedger& ledger,
                              const HostName& host,
                              std::uint64_t term,
                              jobs::UnixMillis wall_time,
                              TimePoint now) const;

 private:
  Millis holder_lease_;
  std::map<HostName, TimePoint> issued_at_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_HOST_ORDERS_H_
