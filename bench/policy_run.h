#ifndef BORAGEWINCH_BENCH_POLICY_RUN_H_
#define BORAGEWINCH_BENCH_POLICY_RUN_H_

#include <array>
#include <cstdint>
#include <iosfwd>
#include <vector>

#include "base/enum_table.h"
#include "bench/policy_trace.h"
#include "policy/buffer_planner.h"
#include "policy/estimator.h"
#include "policy/job_queue_config.h"
#include "policy/placement_config.h"
#include "policy/urgent_headroom.h"
#include "policy/wave_planner.h"
#include "policy/worker_health.h"

namespace boragewinch::bench {

enum class PolicyKind { kFcfs, kStaticShares, kPrevious, kOurs };

inline constexpr EnumTable<PolicyKind, 4> kPolicyKinds{{{
    {PolicyKind::kFcfs, "fcfs"},
    {PolicyKind::kStaticShares, "static_shares"},
    {PolicyKind::kPrevious, "previous"},
    {PolicyKind::kOurs, "ours"},
}}};

/// \brief Why an urgent job had to wait at a tick.
enum class UrgentWait {
  kTeamLimit,      ///< its team was at its limit of running tasks
  kStopping,       ///< a task was being preempted for it
  kExpected,       ///< enough tasks were expected to end in time
  kNoVictim,       ///< no task of the pool could be preempted
  kOverFairShare,  ///< its team exceeded its fair share and had no victim
};

inline constexpr EnumTable<UrgentWait, 5> kUrgentWaits{{{
    {UrgentWait::kTeamLimit, "team_limit"},
    {UrgentWait::kStopping, "stopping"},
    {UrgentWait::kExpected, "expected"},
    {UrgentWait::kNoVictim, "no_victim"},
    {UrgentWait::kOverFairShare, "over_rights"},
}}};

enum class Admission { kFcfs, kStaticShares, kShares };

/// \brief Parameters of one policy under comparison.
struct PolicyParams {
  Admission admission = Admission::kShares;
  bool learn_sizes = true;
  bool watch_health = true;
  bool shared_spares = true;  ///< otherwise one spare per pool and zone
  bool lend_to_waves = true;
  bool expect_drains = true;  ///< shortest expected drain first
  std::size_t spares = 7;
  JobQueueConfig queue;
  PlacementConfig placement;
  EstimatorConfig estimator;
  UrgentConfig urgent;
  WaveConfig wave;
  std::ostream* trace = nullptr;  ///< receives one line per step
};

[[nodiscard]] PolicyParams ParamsOf(PolicyKind kind);

/// \brief Figures of one run. Waits are in milliseconds.
struct RunFigures {
  double held_back = 0;     ///< fraction of slot time kept idle on purpose
  double buffer_hosts = 0;  ///< spare hosts
  double roll_out = 0;      ///< multiple of the lower bound; 0 if not completed
  double roll_out_without_lost = 0;  ///< the same without hosts lost during it
  double host_moves = 0;             ///< over the trace, which has one wave
  double task_moves = 0;             ///< by drains
  double drained_slots = 0;
  double failed_starts = 0;  ///< per 1,000 jobs
  double preempted = 0;  ///< tasks preempted for urgent work, per 1,000 jobs
  double lost_work = 0;  ///< of preempted tasks, as a fraction of all work
  double distance_mean = 0;  ///< to the fair share, as a fraction of capacity
  double distance_max = 0;
  std::array<std::vector<double>, 2> waits;  ///< normal, urgent
  /// Urgent waits, excluding time in which the team was at its limit.
  std::vector<double> urgent_waits_below_limit;
  std::int64_t limit_violations = 0;
  std::int64_t budget_violations = 0;
  /// Pool-seconds below budget beyond the time that a replacement takes.
  std::int64_t unreplaced_seconds = 0;
  std::int64_t below_budget_seconds = 0;  ///< pool-seconds below budget
  std::int64_t max_wait_exceeded = 0;
  std::int64_t unfinished = 0;
};

[[nodiscard]] RunFigures Run(const Trace& trace, const PolicyParams& params);

}  // namespace boragewinch::bench

#endif  // BORAGEWINCH_BENCH_POLICY_RUN_H_
