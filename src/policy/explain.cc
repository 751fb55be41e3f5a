#include "policy/explain.h"

#include <algorithm>
#include <cmath>

namespace boragewinch {

namespace {

[[nodiscard]] std::string Percent(double fraction) {
  return std::to_string(std::lround(fraction * 100)) + "%";
}

[[nodiscard]] std::string Of(std::int64_t part, std::int64_t whole) {
  return std::to_string(part) + " of " + std::to_string(whole);
}

}  // namespace

Explanation ExplainJob(const RequestId& id,
                       JobQueue& queue,
                       const Placement& placement,
                       std::int64_t team_running,
                       std::int64_t team_limit,
                       TimePoint now) {
  const PendingJob* job = queue.Find(id);
  if (job == nullptr)
    return {ExplanationReason::kNotWaiting,
            "job " + id.str() + " is not waiting"};
  const std::string subject = "job " + id.str() + " has waited " +
                              std::to_string((now - job->enqueued).count()) +
                              " ms: ";
  if (placement.NeverFits(job->demand, job->pool)) {
    return {
        ExplanationReason::kNeverFits,
        subject + "no worker of pool " + job->pool.str() + " is large enough"};
  }
  if (team_running >= team_limit) {
    return {ExplanationReason::kTeamLimit,
            subject + "team " + job->team.str() + " runs " +
                Of(team_running, team_limit) +
                " tasks allotted to it at this entry host"};
  }
  if (placement.FreeSlots(job->pool) <= 0) {
    return {ExplanationReason::kPoolFull,
            subject + "pool " + job->pool.str() + " has no free slot"};
  }
  if (!placement.Choose(*job, now)) {
    return {ExplanationReason::kInsufficientCapacity,
            subject + "no worker of pool " + job->pool.str() +
                " with a free slot has enough resources"};
  }
  const TeamShareStatus share_status = queue.ShareStatus(job->team, now);
  if (share_status.running > share_status.fair_share) {
    return {ExplanationReason::kOtherTeams,
            subject + "team " + job->team.str() + " runs " +
                Percent(share_status.running) +
                " of capacity and is entitled to " +
                Percent(share_status.fair_share)};
  }
  return {ExplanationReason::kNext, subject + "it can start now"};
}

Explanation ExplainHost(const Host& host,
                        const std::set<HostName>& lost,
                        const WavePlan& plan) {
  const std::string subject =
      "host " + host.name.str() + " of pool " + host.pool.str() +
      (host.lent_from.empty()
           ? " (its own pool) "
           : " (lent by pool " + host.lent_from.str() + ") ");
  if (host.state == HostState::kLost || lost.contains(host.name))
    return {ExplanationReason::kLost,
            subject + "sends no heartbeats or is leaving"};
  if (host.state != HostState::kActive) {
    return {ExplanationReason::kMaintenance,
            subject + "is " + std::string(kHostStates.Name(host.state))};
  }
  if (std::find(plan.start.begin(), plan.start.end(), host.name) !=
      plan.start.end()) {
    return {ExplanationReason::kDueSoon, subject + "is about to be drained"};
  }
  return {ExplanationReason::kAccepting, subject + "accepts tasks"};
}

Explanation ExplainTeam(const Team& team,
                        JobQueue& queue,
                        std::int64_t running,
                        TimePoint now) {
  const TeamShareStatus share_status = queue.ShareStatus(team.name, now);
  const std::string subject =
      "team " + team.name.str() + " runs " + std::to_string(running) +
      " tasks, " + Percent(share_status.running) +
      " of capacity, entitled to " + Percent(share_status.fair_share) + ", " +
      std::to_string(share_status.waiting) + " waiting: ";
  if (running >= team.limit)
    return {ExplanationReason::kTeamLimit,
            subject + "at its limit of " + std::to_string(team.limit)};
  // Shares are met only to whole slots, so deviations within 2 % of capacity,
  // the target of the policy benchmark, count as at the share.
  constexpr double kTolerance = 0.02;
  if (share_status.running > share_status.fair_share + kTolerance)
    return {ExplanationReason::kAboveShare,
            subject +
                "above its share, with capacity that other teams leave "
                "unused"};
  if (share_status.running < share_status.fair_share - kTolerance)
    return {ExplanationReason::kBelowShare, subject + "below its share"};
  return {ExplanationReason::kAtShare, subject + "at its share"};
}

Explanation ExplainPool(const PoolName& pool,
                        const WavePlan& waves,
                        const BufferPlan& buffers) {
  std::string text = "pool " + pool.str();
  ExplanationReason reason = ExplanationReason::kNoMaintenance;
  for (const PoolWave& wave : waves.pools) {
    if (wave.pool != pool)
      continue;
    text += ": " + Of(wave.available, wave.hosts) +
            " workers available, availability budget " +
            std::to_string(wave.min_available) + ", " +
            std::to_string(wave.in_maintenance) + " in maintenance, " +
            std::to_string(wave.due) + " due (" +
            std::string(kWaveWaits.Name(wave.wait)) + ")";
    if (wave.available < wave.min_available)
      reason = ExplanationReason::kBelowBudget;
    else if (wave.due + wave.in_maintenance > 0)
      reason = ExplanationReason::kWave;
  }
  for (const PoolTarget& target : buffers.pools) {
    if (target.pool == pool) {
      text += ", target size " + std::to_string(target.target) + ", " +
              std::to_string(buffers.spares) + " shared spares";
    }
  }
  return {reason, text};
}

}  // namespace boragewinch
