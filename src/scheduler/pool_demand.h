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

/// \brief Amounts of each resource that are in use or wanted on average.
struct Load {
  double cpu_millis = 0;  ///< thousandths of a core
  double memory_mb = 0;
  double accelerators = 0;

  Load& operator+=(const Load& other) noexcept;
  /// \brief Adds `amount` for `times` tasks.
  void Add(const Resources& amount, double times) noexcept;
  [[nodiscard]] Load Times(double factor) const noexcept;
  /// \returns each component's larger value.
  [[nodiscard]] Load Max(const Load& other) const noexcept;
  /// \returns hosts of size `host` that hold this load.
  [[nodiscard]] double HostsOf(const Load& host) const noexcept;
};

/// \brief What a pool has and what its queues ask of it.
struct PoolDemand {
  bool standby = false;        ///< its hosts are off
  std::int64_t hosts = 0;      ///< with a worker that can take work
  Load host;                   ///< the largest worker
  Load lasting;                ///< by long-running tasks, started or not
  bool lasting_waits = false;  ///< one of them could start now
  /// Hosts for those of them that no worker of the pool has room for now.
  std::int64_t lasting_hosts = 0;
  Load arriving;            ///< needed for what arrives, as in the window
  Load ready;               ///< needed to run what waits, within the target
  Load blocked;             ///< needed later by steps that wait for others
  std::int64_t spread = 0;  ///< hosts that limits per worker ask for
  std::vector<const jobs::Worker*> empty;  ///< without runs, may be moved
};

/// \brief How demand is measured.
struct PoolDemandOptions {
  /// Time over which the arrival of work is measured. Shorter ones follow the
  /// chance of single jobs, longer ones miss the begin of a spike.
  Millis arrival_window{700};
  /// Time within which waiting work should have started.
  Millis backlog_target{1'000};
};

/// \brief Tells of a worker what the ledger does not know.
using AskWorker = std::function<bool(const jobs::WorkerLife&)>;

/// \param usable whether the worker can take work: not if it is silent or its
/// host is about to move.
/// \param held workers that are reserved for something else: not empty.
/// \returns the demand of each pool of the rules.
[[nodiscard]] std::map<PoolName, PoolDemand> MeasurePools(
    const jobs::JobLedger& ledger,
    const PoolDemandOptions& options,
    const AskWorker& usable,
    const std::set<jobs::WorkerLife>& held,
    jobs::UnixMillis time_of_day);

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_POOL_DEMAND_H_
