#ifndef BORAGEWINCH_SCHEDULER_POOL_DEMAND_H_
#define BORAGEWINCH_SCHEDULER_POOL_DEMAND_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "base/time.h"
#include "jobs/job_ledger.h"

namespace boragewinch::scheduler {

/// \brief Amounts of each resource that are used or needed on average.
struct Load {
  double cpu_millis = 0;  ///< thousandths of a core
  double memory_mb = 0;
  double accelerators = 0;

  Load& operator+=(const Load& other) noexcept;
  /// \brief Adds `amount` for `times` tasks.
  void Add(const Resources& amount, double times) noexcept;
  [[nodiscard]] Load Times(double factor) const noexcept;
  /// \returns the component-wise maximum.
  [[nodiscard]] Load Max(const Load& other) const noexcept;
  /// \returns the number of hosts of size `host` that this load needs.
  [[nodiscard]] double HostsOf(const Load& host) const noexcept;
};

/// \brief Capacity of a pool and the demand of its queues.
struct PoolDemand {
  bool standby = false;  ///< its hosts run no workers
  /// Hosts with a usable worker that is not in an evacuated zone.
  std::int64_t hosts = 0;
  Load host;               ///< size of the largest worker
  Load long_running_load;  ///< of long-running tasks, started or not
  /// A long-running task could start now or is to leave an evacuated zone.
  bool long_running_waiting = false;
  /// Hosts for those long-running tasks that no worker of the pool has free
  /// capacity for.
  std::int64_t long_running_hosts = 0;
  Load arriving;  ///< needed at the arrival rate of the window
  Load ready;     ///< needed to start waiting tasks within the backlog target
  Load blocked;   ///< needed later by steps that wait for other steps
  std::int64_t spread = 0;  ///< hosts needed to respect limits per worker
  /// Workers without runs, whose hosts may be moved; none in evacuated zones.
  std::vector<const jobs::Worker*> idle_workers;
};

struct PoolDemandOptions {
  /// Window for the arrival rate. A shorter one follows the noise of single
  /// jobs, a longer one detects the start of a burst late.
  Millis arrival_window{700};
  /// Time within which waiting work should have started.
  Millis backlog_target{1'000};
};

/// \brief Tests a worker for a property that is not in the ledger.
using WorkerPredicate = std::function<bool(const jobs::WorkerIncarnation&)>;

/// \param usable whether tasks can be started on the worker: not if it does not
/// respond or its host is being moved.
/// \param reserved workers that are reserved for something else and therefore
/// not in `idle_workers`.
/// \returns the demand of each configured pool.
[[nodiscard]] std::map<PoolName, PoolDemand> MeasurePools(
    const jobs::JobLedger& ledger,
    const PoolDemandOptions& options,
    const WorkerPredicate& usable,
    const std::set<jobs::WorkerIncarnation>& reserved,
    jobs::UnixMillis wall_time);

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_POOL_DEMAND_H_
