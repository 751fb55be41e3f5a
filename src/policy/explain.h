#ifndef BORAGEWINCH_POLICY_EXPLAIN_H_
#define BORAGEWINCH_POLICY_EXPLAIN_H_

#include <cstdint>
#include <set>
#include <string>

#include "base/enum_table.h"
#include "model/fleet_view.h"
#include "policy/buffer_planner.h"
#include "policy/job_queue.h"
#include "policy/placement.h"
#include "policy/wave_planner.h"

namespace boragewinch {

/// \brief Reason why a job waits, or state of a host, team or pool.
enum class ExplanationReason {
  kNotWaiting,            ///< job: not in the queue
  kTeamLimit,             ///< job, team: the team's task limit is reached
  kNeverFits,             ///< job: larger than every worker of its pool
  kPoolFull,              ///< job: no slot is free in its pool
  kInsufficientCapacity,  ///< job: no worker with a free slot has the resources
  kOtherTeams,            ///< job: teams further below their share start first
  kNext,                  ///< job: startable in the next scheduling decision
  kAccepting,             ///< host: accepts tasks
  kMaintenance,           ///< host: draining, drained, rebooting or returning
  kDueSoon,               ///< host: selected for the next drain
  kLost,                  ///< host: sends no heartbeats or is leaving
  kBelowShare,            ///< team: below its fair share
  kAtShare,               ///< team: at its fair share
  kAboveShare,            ///< team: above it, with capacity unused by others
  kBelowBudget,           ///< pool: available workers are below its budget
  kWave,                  ///< pool: a maintenance wave is in progress
  kNoMaintenance,         ///< pool: no maintenance due or in progress
};

inline constexpr EnumTable<ExplanationReason, 17> kExplanationReasons{{{
    {ExplanationReason::kNotWaiting, "not_waiting"},
    {ExplanationReason::kTeamLimit, "team_limit"},
    {ExplanationReason::kNeverFits, "never_fits"},
    {ExplanationReason::kPoolFull, "pool_full"},
    {ExplanationReason::kInsufficientCapacity, "no_room"},
    {ExplanationReason::kOtherTeams, "other_teams"},
    {ExplanationReason::kNext, "next"},
    {ExplanationReason::kAccepting, "serves"},
    {ExplanationReason::kMaintenance, "maintenance"},
    {ExplanationReason::kDueSoon, "due_soon"},
    {ExplanationReason::kLost, "lost"},
    {ExplanationReason::kBelowShare, "below_share"},
    {ExplanationReason::kAtShare, "at_share"},
    {ExplanationReason::kAboveShare, "borrows"},
    {ExplanationReason::kBelowBudget, "below_budget"},
    {ExplanationReason::kWave, "wave"},
    {ExplanationReason::kNoMaintenance, "quiet"},
}}};

/// \brief One-line explanation for an operator.
struct Explanation {
  ExplanationReason reason;
  std::string text;  ///< without line breaks
};

/// \param team_limit tasks of the job's team allotted to this entry host.
[[nodiscard]] Explanation ExplainJob(const RequestId& id,
                                     JobQueue& queue,
                                     const Placement& placement,
                                     std::int64_t team_running,
                                     std::int64_t team_limit,
                                     TimePoint now);

/// \param lost hosts that count as lost whatever their state is.
[[nodiscard]] Explanation ExplainHost(const Host& host,
                                      const std::set<HostName>& lost,
                                      const WavePlan& plan);

/// \param running tasks of the team in the whole fleet.
[[nodiscard]] Explanation ExplainTeam(const Team& team,
                                      JobQueue& queue,
                                      std::int64_t running,
                                      TimePoint now);

[[nodiscard]] Explanation ExplainPool(const PoolName& pool,
                                      const WavePlan& waves,
                                      const BufferPlan& buffers);

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_EXPLAIN_H_
