#ifndef BORAGEWINCH_SCHEDULER_STOP_PLANNER_H_
#define BORAGEWINCH_SCHEDULER_STOP_PLANNER_H_

#include <functional>
#include <set>
#include <vector>

#include "jobs/job_ledger.h"

namespace boragewinch::scheduler {

/// \brief A run that should not go on, and why.
struct StopOrder {
  jobs::RunName run;
  jobs::WorkerLife worker;
  const char* reason = "";
};

/// \returns how far a run has come, in percent, as its worker listed it.
using PercentOf =
    std::function<int(const jobs::RunName&, const jobs::WorkerLife&)>;

/// \returns whether a stop of the run is under way to a worker that answers.
using IsStopping =
    std::function<bool(const jobs::RunName&, const jobs::WorkerLife&)>;

/// \brief Decides which runs are stopped: those of jobs in a final state, extra
/// copies of finished tasks, long-running tasks on workers that drain, and on
/// workers in `clearing` as far as the steps' availability allows. Draining
/// workers are not held to it, but wait for a stop that was allowed: it may
/// arrive after theirs, and then takes one task too many away.
[[nodiscard]] std::vector<StopOrder> PlanStops(
    const jobs::JobLedger& ledger,
    const std::set<jobs::WorkerLife>& clearing,
    const PercentOf& percent_of,
    const IsStopping& is_stopping);

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_STOP_PLANNER_H_
