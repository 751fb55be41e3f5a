#ifndef BORAGEWINCH_SCHEDULER_POOL_BALANCER_H_
#define BORAGEWINCH_SCHEDULER_POOL_BALANCER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/time.h"
#include "jobs/job_ledger.h"
#include "scheduler/host_calls.h"
#include "scheduler/host_inventory.h"
#include "scheduler/pool_demand.h"

namespace boragewinch::scheduler {

struct PoolBalancerOptions {
  PoolDemandOptions demand;
  /// Factor on the mean rate at which work arrives: arrivals are uneven, and
  /// tasks do not fill a host exactly.
  double arrival_headroom = 1.15;
  /// Share of the mean number of hosts per serving pool that a pool keeps in
  /// reserve: `reserve_share` when its last burst is longest ago,
  /// `min_reserve_share` just after a burst.
  double reserve_share = 0.6;
  double min_reserve_share = 0.25;
  /// A pool is in a burst while its demand needs at least this share of the
  /// mean number of hosts per serving pool.
  double burst_share = 0.5;
  /// Factor on the demand at the start of a burst, decreasing linearly to 1
  /// within `surge_time`: the demand is still rising, and a moved host is
  /// available only after 1.7 s.
  double surge = 3.0;
  Millis surge_time{2'000};
  /// Surplus hosts are moved to standby after this time; a move costs as much
  /// as 1.4 s of a host in a pool.
  Millis idle{1'500};
  /// Rate limit of the platform for host orders per second, summed over all
  /// processes.
  double orders_per_second = 64;
  /// Share of that rate that moves may use; the rest is for maintenance.
  double move_share = 0.8;
  /// Delay before a host is ordered again after a failed order.
  Millis retry_delay{1'000};
};

/// \brief A host to move, with the worker incarnation that the move ends.
struct HostMove {
  HostName host;
  PoolName to;
  jobs::WorkerIncarnation worker;  ///< empty id for a standby host
};

/// \brief Size and target size of a pool in the balancer's last decision.
struct PoolSizing {
  std::int64_t hosts = 0;
  std::int64_t arriving = 0;  ///< hosts being moved to the pool
  std::int64_t reserve = 0;   ///< hosts to keep without demand
  double needed = 0;          ///< hosts that the demand needs
  bool burst = false;         ///< see PoolBalancerOptions::burst_share
  /// Target size: the maximum of `reserve`, `needed` and PoolDemand::spread.
  std::int64_t wanted = 0;
};

/// \brief Decides which hosts change their pool. It is designed for bursts that
/// alternate between pools: one pool needs several times its mean for some
/// seconds while the others are nearly idle. Only hosts without runs move.
///
/// Hosts of evacuated zones are not moved and count neither as capacity nor for
/// the mean number of hosts per pool.
///
/// The pool whose last burst is longest ago is expected to be next and keeps
/// the largest reserve; a pool that has just had a burst keeps the smallest.
class PoolBalancer {
 public:
  /// \returns whether this leader may issue an order for a host now.
  using MayOrder = std::function<bool(const HostName&)>;

  explicit PoolBalancer(PoolBalancerOptions options) : options_(options) {}

  /// \brief Adds a move of an earlier leader that may still be carried out.
  /// \param at latest time at which it can have been ordered.
  void Inherit(const jobs::JobLedger& ledger,
               const HostName& host,
               const PoolName& to,
               TimePoint at,
               TimePoint now);

  /// \param usable whether tasks can be started on a worker.
  /// \param reserved workers that are reserved for something else.
  /// \returns the moves to order now. Their workers are in cordoned().
  [[nodiscard]] std::vector<HostMove> Decide(
      const jobs::JobLedger& ledger,
      const HostInventory& hosts,
      const WorkerPredicate& usable,
      const std::set<jobs::WorkerIncarnation>& reserved,
      const MayOrder& may_order,
      jobs::UnixMillis wall_time,
      TimePoint now);

  /// \returns the sizes in the last decision, without standby pools.
  [[nodiscard]] const std::map<PoolName, PoolSizing>& sizings() const noexcept {
    return sizings_;
  }

  /// \brief Handles the response to a move. kDone does not prove that the
  /// worker has ended: the platform also returns it for a move that was carried
  /// out earlier.
  void OnResponse(const HostMove& move,
                  const Result<HostVerdict>& verdict,
                  TimePoint now);

  /// \returns the workers of moved hosts that have ended according to the
  /// newest list: their host is up with another worker or without one.
  [[nodiscard]] std::vector<jobs::WorkerIncarnation> EndedWorkers(
      const jobs::JobLedger& ledger,
      const HostInventory& hosts) const;

  /// Workers on which no tasks are started because their host is being moved.
  [[nodiscard]] const std::set<jobs::WorkerIncarnation>& cordoned()
      const noexcept {
    return cordoned_;
  }

 private:
  using Pools = std::map<PoolName, PoolDemand>;
  struct OrderedMove {
    HostMove move;
    TimePoint at;
    bool responded = false;
  };
  struct Decision;

  /// \param hosts the number of hosts outside the evacuated zones.
  void ComputeSizings(const Pools& pools, std::ptrdiff_t hosts, TimePoint now);
  [[nodiscard]] std::map<PoolName, std::int64_t> Reserves(const Pools& pools,
                                                          double mean) const;
  /// \brief Detects the start and end of a pool's burst and applies the surge
  /// factor.
  void UpdateBurst(const PoolName& name, double mean, TimePoint now);
  [[nodiscard]] double NeededHosts(const PoolDemand& pool) const;
  [[nodiscard]] std::vector<HostName> StandbyHosts(
      const Pools& pools,
      const HostInventory& hosts,
      const Decision& decision) const;
  [[nodiscard]] std::vector<const jobs::Worker*> SurplusHosts(
      const Pools& pools,
      const Decision& decision) const;
  /// \brief Orders hosts for the pools below their target. Waiting long-running
  /// tasks come first and are not subject to the move rate limit.
  void FillPools(std::vector<HostName> standby_hosts,
                 std::vector<const jobs::Worker*>* surplus,
                 const Pools& pools,
                 Decision* decision);
  /// \returns whether there was a host to move.
  bool OrderHostFor(const PoolName& to,
                    std::vector<HostName>* standby_hosts,
                    std::vector<const jobs::Worker*>* surplus,
                    Decision* decision);
  [[nodiscard]] std::vector<PoolName> ByCoverage() const;
  void MoveToStandby(const PoolName& standby,
                     const std::vector<const jobs::Worker*>& surplus,
                     Decision* decision);
  void IssueMove(const HostMove& move, Decision* decision);
  [[nodiscard]] bool CanMove(const HostName& host,
                             const Decision& decision) const;
  void DropSettledMoves(const jobs::JobLedger& ledger, TimePoint now);
  /// \brief Token bucket: adds the moves that the rate allows since the last
  /// decision, up to those of half a second.
  void RefillBudget(TimePoint now);

  PoolBalancerOptions options_;
  /// Ordered moves whose new worker is not yet in the ledger.
  std::map<HostName, OrderedMove> pending_;
  std::map<HostName, TimePoint> refused_until_;
  std::map<jobs::WorkerIncarnation, TimePoint> idle_since_;
  std::set<jobs::WorkerIncarnation> cordoned_;
  std::map<PoolName, TimePoint> burst_since_;  ///< start of current bursts
  std::map<PoolName, TimePoint> last_burst_;
  std::map<PoolName, PoolSizing> sizings_;
  double move_budget_ = 0;  ///< moves that may be ordered now
  std::optional<TimePoint> refilled_at_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_POOL_BALANCER_H_
