#ifndef BORAGEWINCH_POLICY_WORKER_HEALTH_H_
#define BORAGEWINCH_POLICY_WORKER_HEALTH_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/enum_table.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "base/time.h"

namespace boragewinch {

enum class HealthState {
  kNormal,       ///< no restriction
  kThrottled,    ///< at most one start per `throttled_interval`
  kQuarantined,  ///< no starts until the quarantine ends
};

inline constexpr EnumTable<HealthState, 3> kHealthStates{{{
    {HealthState::kNormal, "normal"},
    {HealthState::kThrottled, "few_tries"},
    {HealthState::kQuarantined, "set_aside"},
}}};

/// \brief Parameters of WorkerHealth.
struct WorkerHealthConfig {
  Millis half_life{60'000};  ///< of the counts of past starts
  double min_failures = 3;   ///< fewest decayed failures of an outlier
  /// A worker is an outlier if its failure rate is at least this multiple of
  /// the rate of the pool's other workers. The threshold is at least 20 % and
  /// at most 90 %.
  double pool_factor = 3;
  Millis throttled_interval{2'000};
  Millis first_quarantine{30'000};  ///< doubled for each further one
  Millis max_quarantine{30L * 60'000};
  std::int64_t max_quarantined_fleet = 22;  ///< docs/design.md section 1.4

  /// \returns kInvalidSetting for a value out of range.
  [[nodiscard]] Status Check() const;
};

/// \brief Detects workers with a high failure rate and restricts their starts.
class WorkerHealth {
 public:
  /// \returns kInvalidSetting for a configuration out of range.
  [[nodiscard]] static Result<WorkerHealth> Make(
      const WorkerHealthConfig& config = {});

  /// \brief Sets how many workers of `pool` may be quarantined at once, for
  /// example its available workers minus min_available. 0 until it is set.
  void SetBudget(const PoolName& pool, std::int64_t workers);

  /// \brief Records a start that was refused or whose task failed immediately
  /// (`ok` false) or ran (`ok` true).
  /// \returns the resulting state.
  HealthState OnStart(const HostName& host,
                      const PoolName& pool,
                      bool ok,
                      TimePoint now);

  /// \returns whether a start may be sent to the worker now. With kThrottled
  /// that is once per `throttled_interval`; the caller reports each start by
  /// OnStartIssued.
  [[nodiscard]] bool Allows(const HostName& host, TimePoint now) const;
  void OnStartIssued(const HostName& host, TimePoint now);

  [[nodiscard]] HealthState State(const HostName& host, TimePoint now) const;
  [[nodiscard]] std::vector<HostName> Quarantined(TimePoint now) const;

  void Forget(const HostName& host);
  /// \returns the number of workers with a record.
  [[nodiscard]] std::size_t size() const noexcept { return workers_.size(); }

 private:
  struct Counts {
    double ok = 0;
    double failed = 0;
    TimePoint updated;
  };
  struct Worker {
    PoolName pool;
    Counts counts;
    bool throttled = false;
    TimePoint quarantined_until;
    TimePoint last_start;
    Millis next_quarantine{0};
  };

  explicit WorkerHealth(const WorkerHealthConfig& config) : config_(config) {}
  void Decay(Counts& counts, TimePoint now) const;
  [[nodiscard]] bool MayQuarantine(const PoolName& pool, TimePoint now) const;

  WorkerHealthConfig config_;
  std::unordered_map<HostName, Worker> workers_;
  std::unordered_map<PoolName, Counts> pools_;
  std::unordered_map<PoolName, std::int64_t> budgets_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_WORKER_HEALTH_H_
