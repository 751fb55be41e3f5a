// The part of WorkerFleet that responds to the planners' queries.

#include <limits>

#include "scheduler/worker_fleet.h"

namespace boragewinch::scheduler {

std::size_t WorkerFleet::StartLimitOf(
    const jobs::WorkerIncarnation& incarnation,
    TimePoint now) const {
  const auto tracked = workers_.find(incarnation);
  if (tracked == workers_.end() || !tracked->second.session.Reachable(now))
    return 0;
  const HostName& name = tracked->second.health_name;
  if (!health_.Allows(name, now))
    return 0;
  // A worker that fails its tasks at once always has free capacity: without a
  // limit it would get all tasks of a burst.
  return health_.State(name, now) == HealthState::kNormal
             ? std::numeric_limits<std::size_t>::max()
             : 1;
}

bool WorkerFleet::AcceptsSoon(const jobs::WorkerIncarnation& incarnation,
                              TimePoint now) const {
  const auto tracked = workers_.find(incarnation);
  return tracked != workers_.end() && IsPresent(incarnation, now) &&
         health_.State(tracked->second.health_name, now) !=
             HealthState::kQuarantined;
}

bool WorkerFleet::IsQuarantined(const jobs::WorkerIncarnation& incarnation,
                                TimePoint now) const {
  const auto tracked = workers_.find(incarnation);
  return tracked != workers_.end() && tracked->second.session.Reachable(now) &&
         health_.State(tracked->second.health_name, now) ==
             HealthState::kQuarantined;
}

// The members of a gang fail together: where one failed, the next run of the
// others would fail as well.
jobs::TaskName WorkerFleet::AttemptOf(const jobs::TaskName& task) const {
  const jobs::Job* job = replica_.ledger().FindJob(task.job);
  jobs::TaskName attempt = task;
  if (job != nullptr && job->spec && job->spec->steps[task.step].gang)
    attempt.index = 0;
  return attempt;
}

bool WorkerFleet::HasFailedOn(
    const jobs::TaskName& task,
    const jobs::WorkerIncarnation& incarnation) const {
  const auto found = failed_on_.find(AttemptOf(task));
  return found != failed_on_.end() && found->second.count(incarnation) > 0;
}

bool WorkerFleet::IsPresent(const jobs::WorkerIncarnation& incarnation,
                            TimePoint now) const {
  const WorkerSession* session = FindSession(incarnation);
  return session != nullptr &&
         (now - leading_since_ <= options_.unresponsive_after ||
          session->HasRespondedRecently(now));
}

int WorkerFleet::PercentOf(const jobs::RunName& run,
                           const jobs::WorkerIncarnation& incarnation) const {
  const WorkerSession* session = FindSession(incarnation);
  if (session == nullptr || !session->Reachable(loop_.now()))
    return 0;
  const auto track = session->tracks().find(run);
  return track == session->tracks().end() || track->second.stop_requested
             ? 0
             : track->second.percent;
}

bool WorkerFleet::IsStopping(const jobs::RunName& run,
                             const jobs::WorkerIncarnation& incarnation) const {
  const WorkerSession* session = FindSession(incarnation);
  if (session == nullptr || !session->Reachable(loop_.now()))
    return false;
  const auto track = session->tracks().find(run);
  return track != session->tracks().end() && track->second.stop_requested;
}

std::optional<Millis> WorkerFleet::ElapsedOf(
    const jobs::RunName& run,
    const jobs::WorkerIncarnation& incarnation,
    TimePoint now) const {
  const WorkerSession* session = FindSession(incarnation);
  if (session == nullptr)
    return std::nullopt;
  const auto found = session->tracks().find(run);
  if (found == session->tracks().end() || found->second.stop_requested)
    return std::nullopt;
  const RunTrack& track = found->second;
  switch (track.phase) {
    case RunPhase::kOrdered:
    case RunPhase::kOutcomeUnknown:
    case RunPhase::kConfirmed:
      return now - (track.starts_sent > 0 ? track.start_sent : track.since);
    case RunPhase::kInherited:
    case RunPhase::kPlanned:
    case RunPhase::kStopping:
    case RunPhase::kStopped:
      break;
  }
  return std::nullopt;
}

bool WorkerFleet::IsSuspect(const jobs::WorkerIncarnation& incarnation,
                            TimePoint now) const {
  const auto tracked = workers_.find(incarnation);
  return tracked == workers_.end() ||
         !tracked->second.session.HasRespondedRecently(now) ||
         health_.State(tracked->second.health_name, now) !=
             HealthState::kNormal;
}

}  // namespace boragewinch::scheduler
