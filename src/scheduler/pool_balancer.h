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
#include "scheduler/host_book.h"
#include "scheduler/host_calls.h"
#include "scheduler/pool_demand.h"

namespace boragewinch::scheduler {

/// \brief Policy of the balancer.
struct PoolBalancerOptions {
  PoolDemandOptions demand;
  /// Hosts for so much more than the mean rate at which work arrives: it comes
  /// unevenly, and tasks do not fill a host exactly.
  double arrival_headroom = 1.15;
  /// Share of the mean number of hosts of a serving pool that each keeps while
  /// its next burst may be near, and just after a burst.
  double reserve_share = 0.6;
  double least_share = 0.25;
  /// A pool is in a burst while its demand asks for at least this share of the
  /// mean number of hosts of a serving pool.
  double burst_share = 0.5;
  /// At the begin of a burst the demand counts so many times, less and less
  /// until `surge_time`: it is still rising, and a host takes 1.7 s to come.
  double surge = 3.0;
  Millis surge_time{2'000};
  /// Hosts beyond what is wanted are switched off after this time; a move costs
  /// as much as 1.4 s of a host in a pool.
  Millis idle{1'500};
  /// Orders for hosts that the platform takes in a second, from all processes
  /// together.
  double orders_per_second = 64;
  /// Share of them that moves may use; maintenance needs some, too.
  double move_share = 0.8;
  /// Pause before a host is ordered again after a refusal.
  Millis refused_pause{1'000};
};

/// \brief A host to move, with the life of its worker that ends by it.
struct HostMove {
  HostName host;
  PoolName to;
  jobs::WorkerLife worker;  ///< empty id for a host that is off
};

/// \brief What the balancer found for a pool.
struct PoolView {
  std::int64_t hosts = 0;
  std::int64_t arriving = 0;  ///< hosts on their way to the pool
  std::int64_t reserve = 0;   ///< hosts to keep without demand
  double needed = 0;          ///< hosts that the demand asks for
  bool burst = false;         ///< the demand is far above what is usual
  std::int64_t wanted = 0;    ///< the larger of the two, whole
};

/// \brief Decides which hosts change their pool. It answers demand that
/// alternates between pools: one asks for several times its mean for some
/// seconds while the others are nearly idle. Only hosts without runs move.
///
/// The pool whose burst is longest ago keeps the largest reserve, since demand
/// goes around; a pool that has just had its burst keeps the smallest.
class PoolBalancer {
 public:
  /// \returns whether this leader may order something of a host now.
  using MayOrder = std::function<bool(const HostName&)>;

  explicit PoolBalancer(PoolBalancerOptions options) : options_(options) {}

  /// \brief Enters a move of an earlier leader that may still be carried out.
  /// \param at when it was ordered, at the latest.
  void Inherit(const jobs::JobLedger& ledger,
               const HostName& host,
               const PoolName& to,
               TimePoint at,
               TimePoint now);

  /// \param usable whether a worker can take work.
  /// \param held hosts and workers that are reserved for something else.
  /// \returns the moves to order now. Their workers are in clearing().
  [[nodiscard]] std::vector<HostMove> Decide(
      const jobs::JobLedger& ledger,
      const HostBook& hosts,
      const AskWorker& usable,
      const std::set<jobs::WorkerLife>& held,
      const MayOrder& may_order,
      jobs::UnixMillis time_of_day,
      TimePoint now);

  /// \returns what the last decision found for each pool that is not off.
  [[nodiscard]] const std::map<PoolName, PoolView>& views() const noexcept {
    return views_;
  }

  /// \brief Notes the answer to a move. "Done" does not end the life of the
  /// worker: the platform says it of a move that was carried out long ago, too.
  void OnAnswer(const HostMove& move,
                const Result<HostVerdict>& verdict,
                TimePoint now);

  /// \returns the workers of moved hosts whose end the newest list shows: their
  /// host is up with another worker or without one.
  [[nodiscard]] std::vector<jobs::WorkerLife> Ended(
      const jobs::JobLedger& ledger,
      const HostBook& hosts) const;

  /// Workers that get no new work, because their host moves.
  [[nodiscard]] const std::set<jobs::WorkerLife>& clearing() const noexcept {
    return clearing_;
  }

 private:
  using Pools = std::map<PoolName, PoolDemand>;
  struct Open {
    HostMove move;
    TimePoint at;
    bool answered = false;
  };
  struct Decision;

  void Judge(const Pools& pools, std::size_t hosts, TimePoint now);
  [[nodiscard]] std::map<PoolName, std::int64_t> Reserves(const Pools& pools,
                                                          double mean) const;
  /// \brief Follows the begin and end of a pool's burst.
  void NoteBurst(const PoolName& name, double mean, TimePoint now);
  [[nodiscard]] double NeededHosts(const PoolDemand& pool) const;
  [[nodiscard]] std::vector<HostName> HostsOff(const Pools& pools,
                                               const HostBook& hosts,
                                               const Decision& decision) const;
  [[nodiscard]] std::vector<const jobs::Worker*> SpareHosts(
      const Pools& pools,
      const Decision& decision) const;
  /// \brief Orders hosts for the pools that lack some: first for long-running
  /// tasks that wait, which the bound of the rate does not hold back.
  void FillPools(std::vector<HostName> off,
                 std::vector<const jobs::Worker*>* spare,
                 const Pools& pools,
                 Decision* decision);
  /// \returns whether there was a host to move.
  bool OrderHostFor(const PoolName& to,
                    std::vector<HostName>* off,
                    std::vector<const jobs::Worker*>* spare,
                    Decision* decision);
  [[nodiscard]] std::vector<PoolName> ByCoverage() const;
  void SwitchOff(const PoolName& standby,
                 const std::vector<const jobs::Worker*>& spare,
                 Decision* decision);
  void Order(const HostMove& move, Decision* decision);
  [[nodiscard]] bool IsFree(const HostName& host,
                            const Decision& decision) const;
  void ForgetSettled(const jobs::JobLedger& ledger, TimePoint now);
  /// \brief Adds the orders that the rate allows since the last decision, up
  /// to those of half a second.
  void RefillBudget(TimePoint now);

  PoolBalancerOptions options_;
  std::map<HostName, Open> open_;  ///< ordered, the new worker not seen yet
  std::map<HostName, TimePoint> refused_until_;
  std::map<jobs::WorkerLife, TimePoint> idle_since_;
  std::set<jobs::WorkerLife> clearing_;
  std::map<PoolName, TimePoint> burst_since_;  ///< of the open bursts
  std::map<PoolName, TimePoint> last_burst_;
  std::map<PoolName, PoolView> views_;
  double budget_ = 0;  ///< moves that may be ordered now
  std::optional<TimePoint> refilled_at_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_POOL_BALANCER_H_
