#ifndef BORAGEWINCH_SCHEDULER_POOL_BALANCER_H_
#define BORAGEWINCH_SCHEDULER_POOL_BALANCER_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/time.h"
#include "jobs/job_ledger.h"
#include "scheduler/host_book.h"
#include "scheduler/host_calls.h"

namespace boragewinch::scheduler {

/// \brief Policy of the balancer.
struct PoolBalancerOptions {
  /// Time over which the arrival of work is measured. Shorter ones follow the
  /// chance of single jobs, longer ones miss the begin of a spike.
  Millis arrival_window{700};
  /// Time within which waiting work should have started.
  Millis backlog_target{1'000};
  /// Share of the mean number of hosts of a serving pool that each keeps.
  double floor_share = 0.6;
  /// Hosts beyond what is wanted are switched off after this time; a move costs
  /// as much as 1.4 s of a host in a pool.
  Millis idle{1'500};
  /// Moves under way at once.
  std::size_t max_open = 32;
  /// Pause before a host is ordered again after a refusal.
  Millis refused_pause{1'000};
};

/// \brief A host to move, with the life of its worker that ends by it.
struct HostMove {
  HostName host;
  PoolName to;
  jobs::WorkerLife worker;  ///< empty id for a host that is off
};

/// \brief Decides which hosts change their pool. It answers demand that
/// alternates between pools: one asks for several times its mean for some
/// seconds while the others are nearly idle. Only hosts without runs move.
class PoolBalancer {
 public:
  explicit PoolBalancer(PoolBalancerOptions options) : options_(options) {}

  /// \param held hosts and workers that are reserved for something else.
  /// \returns the moves to order now. Their workers are in clearing().
  [[nodiscard]] std::vector<HostMove> Decide(
      const jobs::JobLedger& ledger,
      const HostBook& hosts,
      const std::set<jobs::WorkerLife>& held,
      jobs::UnixMillis time_of_day,
      TimePoint now);

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
  struct Pool;
  struct Open {
    HostMove move;
    TimePoint at;
    bool answered = false;
  };

  [[nodiscard]] std::map<PoolName, Pool> Measure(
      const jobs::JobLedger& ledger,
      const std::set<jobs::WorkerLife>& held,
      jobs::UnixMillis time_of_day) const;
  void AddDemand(const jobs::JobLedger& ledger,
                 jobs::UnixMillis time_of_day,
                 std::map<PoolName, Pool>* pools) const;
  [[nodiscard]] std::int64_t WantedHosts(const Pool& pool,
                                         std::int64_t floor_hosts) const;
  [[nodiscard]] std::vector<HostName> HostsOff(
      const std::map<PoolName, Pool>& pools,
      const HostBook& hosts,
      TimePoint now) const;
  [[nodiscard]] std::vector<const jobs::Worker*> SpareHosts(
      const std::map<PoolName, Pool>& pools,
      TimePoint now) const;
  void FillPools(const std::map<PoolName, Pool>& pools,
                 std::vector<HostName> off,
                 std::vector<const jobs::Worker*>* spare,
                 TimePoint now,
                 std::vector<HostMove>* moves);
  void SwitchOff(const PoolName& standby,
                 const std::vector<const jobs::Worker*>& spare,
                 TimePoint now,
                 std::vector<HostMove>* moves);
  void Order(const HostMove& move, TimePoint now, std::vector<HostMove>* out);
  [[nodiscard]] bool MayOrder(const HostName& host, TimePoint now) const;
  void ForgetSettled(const jobs::JobLedger& ledger, TimePoint now);

  PoolBalancerOptions options_;
  std::map<HostName, Open> open_;  ///< ordered, the new worker not seen yet
  std::map<HostName, TimePoint> refused_until_;
  std::map<jobs::WorkerLife, TimePoint> idle_since_;
  std::set<jobs::WorkerLife> clearing_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_POOL_BALANCER_H_
