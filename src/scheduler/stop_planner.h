#ifndef BORAGEWINCH_SCHEDULER_STOP_PLANNER_H_
#define BORAGEWINCH_SCHEDULER_STOP_PLANNER_H_

#include <functional>
#include <set>
#include <vector>

#include "evacuation/zone_exit.h"
#include "jobs/job_ledger.h"

namespace boragewinch::scheduler {

/// \brief A run that is to be stopped, and the reason.
struct StopOrder {
  jobs::RunName run;
  jobs::WorkerIncarnation worker;
  const char* reason = "";
};

/// \returns the progress of a run in percent, as its worker reported it.
using PercentOf =
    std::function<int(const jobs::RunName&, const jobs::WorkerIncarnation&)>;

/// \returns whether a stop of the run is in flight to a responsive worker.
using IsStopping =
    std::function<bool(const jobs::RunName&, const jobs::WorkerIncarnation&)>;

/// \returns whether a stop of the run that is sent now may end it, if it is at
/// work meanwhile: with it, no more than StepSpec::max_unavailable tasks of its
/// step are unavailable. True for runs that are not needed, and on draining
/// workers.
[[nodiscard]] bool MayInterrupt(const jobs::JobLedger& ledger,
                                const jobs::RunName& run,
                                const jobs::Worker& worker,
                                const PercentOf& percent_of);

/// \brief Decides which runs to stop: those of finished jobs, extra copies of
/// finished tasks, long-running tasks on draining or cordoned workers, and
/// those that may leave an evacuated zone.
///
/// Stops on cordoned workers and in evacuated zones respect
/// StepSpec::max_unavailable. Stops on draining workers do not, but they wait
/// while a stop on another worker is in flight: that one could arrive later and
/// make one task too many unavailable.
[[nodiscard]] std::vector<StopOrder> PlanStops(
    const jobs::JobLedger& ledger,
    const std::set<jobs::WorkerIncarnation>& cordoned,
    const PercentOf& percent_of,
    const IsStopping& is_stopping,
    const evacuation::ZoneExits& zone_exits = {});

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_STOP_PLANNER_H_
