#ifndef BORAGEWINCH_EVACUATION_ZONE_EXIT_H_
#define BORAGEWINCH_EVACUATION_ZONE_EXIT_H_

#include <functional>
#include <map>
#include <set>

#include "jobs/job_ledger.h"

namespace boragewinch::evacuation {

/// \brief Tests a worker for a property that is not in the ledger.
using WorkerPredicate = std::function<bool(const jobs::WorkerIncarnation&)>;

/// \brief Tests a run that may be running on a worker.
using RunPredicate =
    std::function<bool(const jobs::RunName&, const jobs::WorkerIncarnation&)>;

/// \brief Runs that may leave an evacuated zone, by worker.
using ZoneExits = std::map<jobs::WorkerIncarnation, std::set<jobs::RunName>>;

/// \returns the runs of long-running tasks in evacuated zones.
[[nodiscard]] ZoneExits LongRunningInEvacuatedZones(
    const jobs::JobLedger& ledger);

/// \brief Decides which long-running tasks may be moved out of evacuated zones:
/// those for which their pool has free capacity in other zones. The limits
/// StepSpec::max_unavailable are the caller's.
///
/// Each task gets capacity of its own. Waiting long-running tasks come first,
/// then the runs that are being stopped, so that a decision that is repeated
/// before the stopped tasks have started elsewhere does not promise their
/// capacity again. Tickets of the advice service are not considered: they are
/// requested only once a task is waiting.
///
/// Load: 350 workers in five pools and some 100 long-running tasks, at each
/// stored batch and each tick of 50 ms, some 40 times a second. Without a
/// long-running task in an evacuated zone, only the workers are visited.
///
/// \param usable whether tasks can be started on the worker now.
/// \param is_stopping whether a stop of the run is in flight.
[[nodiscard]] ZoneExits PlanZoneExits(const jobs::JobLedger& ledger,
                                      const WorkerPredicate& usable,
                                      const RunPredicate& is_stopping);

}  // namespace boragewinch::evacuation

#endif  // BORAGEWINCH_EVACUATION_ZONE_EXIT_H_
