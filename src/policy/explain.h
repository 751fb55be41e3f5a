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

/// \brief Why a job waits, or what a host, team or pool does.
enum class WhyReason {
  kNotWaiting,   ///< job: not in the queue
  kTeamLimit,    ///< job, team: the upper limit is reached
  kNeverFits,    ///< job: no worker could hold it
  kPoolFull,     ///< job: no slot is free in its pool
  kNoRoom,       ///< job: slots are free, but none with enough resources
  kOtherTeams,   ///< job: teams further below their share go first
  kNext,         ///< job: starts with the next decision
  kServes,       ///< host: takes work
  kMaintenance,  ///< host: drained, rebooting or returning
  kDueSoon,      ///< host: drains with the next budget
  kLost,         ///< host: silent
  kBelowShare,   ///< team: runs less than it is entitled to
  kAtShare,      ///< team: runs what it is entitled to
  kBorrows,      ///< team: runs more than that, from what others leave
  kBelowBudget,  ///< pool: losses exceed its budget
  kWave,         ///< pool: a wave is in progress
  kQuiet,        ///< pool: nothing to do
};

inline constexpr EnumTable<WhyReason, 17> kWhyReasons{{{
    {WhyReason::kNotWaiting, "not_waiting"},
    {WhyReason::kTeamLimit, "team_limit"},
    {WhyReason::kNeverFits, "never_fits"},
    {WhyReason::kPoolFull, "pool_full"},
    {WhyReason::kNoRoom, "no_room"},
    {WhyReason::kOtherTeams, "other_teams"},
    {WhyReason::kNext, "next"},
    {WhyReason::kServes, "serves"},
    {WhyReason::kMaintenance, "maintenance"},
    {WhyReason::kDueSoon, "due_soon"},
    {WhyReason::kLost, "lost"},
    {WhyReason::kBelowShare, "below_share"},
    {WhyReason::kAtShare, "at_share"},
    {WhyReason::kBorrows, "borrows"},
    {WhyReason::kBelowBudget, "below_budget"},
    {WhyReason::kWave, "wave"},
    {WhyReason::kQuiet, "quiet"},
}}};

/// \brief One line for an operator.
struct Why {
  WhyReason reason;
  std::string text;  ///< without line break
};

/// \param team_limit tasks of the job's team allotted to this entry host.
[[nodiscard]] Why ExplainJob(const RequestId& id,
                             JobQueue& queue,
                             const Placement& placement,
                             std::int64_t team_running,
                             std::int64_t team_limit,
                             TimePoint now);

[[nodiscard]] Why ExplainHost(const Host& host,
                              const std::set<HostName>& lost,
                              const WavePlan& plan);

[[nodiscard]] Why ExplainTeam(const Team& team,
                              JobQueue& queue,
                              std::int64_t running,
                              TimePoint now);

[[nodiscard]] Why ExplainPool(const PoolName& pool,
                              const WavePlan& waves,
                              const BufferPlan& buffers);

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_EXPLAIN_H_
