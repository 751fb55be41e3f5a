#ifndef BORAGEWINCH_SCHEDULER_HOST_MANAGER_H_
#define BORAGEWINCH_SCHEDULER_HOST_MANAGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "base/time.h"
#include "kernel/event_loop.h"
#include "scheduler/host_calls.h"
#include "scheduler/host_inventory.h"
#include "scheduler/host_orders.h"
#include "scheduler/ledger_replica.h"
#include "scheduler/maintenance_scheduler.h"
#include "scheduler/pool_balancer.h"

namespace boragewinch::scheduler {

struct HostManagerOptions {
  Millis min_maintenance{2'000};  ///< minimum duration of a host's maintenance
  /// The platform's holder lease: two leaders must not order the same host
  /// alternately within this time.
  Millis holder_lease{3'000};
  PoolBalancerOptions pools;
};

/// \brief The leader's control of the platform's hosts: lists, moves between
/// pools and maintenance. Each order is stored in the ledger before it is sent.
class HostManager {
 public:
  /// Records that an incarnation of a worker has ended.
  using RecordDeparture =
      std::function<void(const jobs::WorkerIncarnation&, const char* why)>;

  /// \param usable whether tasks can be started on a worker.
  HostManager(EventLoop& loop,
              LedgerReplica& replica,
              HostCalls calls,
              WorkerPredicate usable,
              RecordDeparture record_departure,
              HostManagerOptions options);

  /// \brief Records the orders of all leaders; called on every replica.
  void OnApplied(const jobs::Batch& batch, TimePoint now);
  /// \brief Starts or stops issuing orders as this replica gains or loses
  /// leadership.
  void OnLeadership(bool leading, TimePoint now);
  /// \brief Requests lists and issues the orders that are due.
  void Tick(TimePoint now);

  /// \returns the workers on which no tasks are started because their host is
  /// being moved or maintained or is about to be.
  [[nodiscard]] std::set<jobs::WorkerIncarnation> Reserved() const;
  /// \returns the workers whose host is next in a wave or being maintained.
  [[nodiscard]] const std::set<jobs::WorkerIncarnation>& cordoned()
      const noexcept {
    return waves_->cordoned();
  }

 private:
  void Inherit(TimePoint now);
  void RequestList(TimePoint now);
  void IssueMaintenanceOrders(TimePoint now);
  void IssueMoves(TimePoint now);
  void Maintain(const WaveActions::Order& order);
  void LogSizings(TimePoint now);
  void Move(const HostMove& move);
  /// \brief Stores `record`, then calls `send` if this replica still leads in
  /// the same term, otherwise `dropped`.
  void Order(const jobs::HostOrderRecord& record,
             const std::function<void()>& send,
             const std::function<void(const Error&)>& dropped);
  void RecordProgress(const jobs::WaveProgress& progress);

  EventLoop& loop_;
  LedgerReplica& replica_;
  HostCalls calls_;
  WorkerPredicate usable_;
  RecordDeparture record_departure_;
  HostManagerOptions options_;
  HostOrders orders_;
  HostInventory hosts_;
  std::unique_ptr<MaintenanceScheduler> waves_;
  std::unique_ptr<PoolBalancer> pools_;
  struct LoggedSizing {
    std::int64_t wanted = 0;
    TimePoint at;
  };
  std::map<PoolName, LoggedSizing> logged_;  ///< newest log line of each pool
  TimePoint due_;
  /// Incremented with each change of leadership; callbacks of an earlier epoch
  /// are dropped.
  std::uint64_t leadership_epoch_ = 0;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_HOST_MANAGER_H_
