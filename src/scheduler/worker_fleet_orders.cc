// Which order a run gets whose start or stop is due.

#include "scheduler/late_orders.h"
#include "scheduler/stop_planner.h"
#include "scheduler/worker_fleet.h"

namespace boragewinch::scheduler {

bool WorkerFleet::MayInterruptNow(const jobs::Worker& worker,
                                  const jobs::RunName& run) const {
  const auto percent_of = [this](const jobs::RunName& other,
                                 const jobs::WorkerIncarnation& incarnation) {
    return PercentOf(other, incarnation);
  };
  return MayInterrupt(replica_.ledger(), run, worker, percent_of);
}

bool WorkerFleet::MayGiveUpStart(const jobs::Worker& worker,
                                 const WorkerSession& session,
                                 const jobs::RunName& run) const {
  const auto track = session.tracks().find(run);
  return track == session.tracks().end() ||
         track->second.phase == RunPhase::kPlanned ||
         loop_.now() - track->second.since >= kMaxLateOrder ||
         MayInterruptNow(worker, run);
}

void WorkerFleet::StartIfInUse(const jobs::Worker& worker,
                               const WorkerSession& session,
                               const jobs::RunName& run) {
  if (!replica_.ledger().IsEvacuated(worker.record.zone))
    SendStart(worker, run);
  else if (MayGiveUpStart(worker, session, run))
    Stop(run, worker.record.incarnation, "zone_evacuated");
}

// A start without a response is usually followed by a stop, so that the task
// can start elsewhere. The start may have been carried out late and the task be
// at work when the stop arrives. Where that would make too many tasks of its
// step unavailable, the start is repeated instead: it is idempotent. In an
// evacuated zone neither is sent until another task is available, a list shows
// the run, or the start can't arrive any more.
void WorkerFleet::StopOrRepeatStart(const jobs::Worker& worker,
                                    const WorkerSession& session,
                                    const jobs::RunName& run) {
  const bool evacuated = replica_.ledger().IsEvacuated(worker.record.zone);
  if (!session.MayRepeatStart(run) ||
      (evacuated ? MayGiveUpStart(worker, session, run)
                 : MayInterruptNow(worker, run))) {
    SendStop(worker, run);
  } else if (!evacuated) {
    SendStart(worker, run);
  }
}

}  // namespace boragewinch::scheduler
