#ifndef BORAGEWINCH_SCHEDULER_TASK_PLANNER_H_
#define BORAGEWINCH_SCHEDULER_TASK_PLANNER_H_

#include <functional>
#include <vector>

#include "jobs/job_ledger.h"

namespace boragewinch::scheduler {

/// \brief Limits of the planner.
struct TaskPlannerOptions {
  /// Starts of one plan: they share one entry of the log.
  std::size_t max_starts = 96;
  /// A job counts as too late to meet its objective when so many times its
  /// remaining chain no longer fits. Estimates are rough, and each step waits
  /// for the notice of the last end and for room.
  double chain_margin = 1.5;
};

/// \brief What the planner asks about workers.
struct PlannerHooks {
  /// \returns how many tasks may start on the worker now: none on a silent one,
  /// one on a worker that has failed lately.
  std::function<std::size_t(const jobs::WorkerLife&)> start_limit;
  /// Whether a task of a queue with advice may run on the worker now.
  std::function<bool(const jobs::TaskName&, const jobs::WorkerLife&)>
      is_advised;
  /// Whether the task has failed on the worker.
  std::function<bool(const jobs::TaskName&, const jobs::WorkerLife&)> avoids;
};

/// \returns the time by which callers expect the job: `stretch` times its
/// longest chain of estimates and the target latency of its queue.
[[nodiscard]] jobs::UnixMillis ObjectiveOf(const jobs::Job& job,
                                           const jobs::QueueRule& queue,
                                           jobs::UnixMillis from);

/// \returns the longest chain of estimates of the steps that are not complete.
[[nodiscard]] Millis RemainingChain(const jobs::Job& job,
                                    const jobs::Occurrence& occurrence);

/// \brief Decides which waiting tasks start on which workers. It answers the
/// load in which one queue at a time asks for several times its mean, more than
/// its pool holds: jobs that can still meet their objective go first, the
/// oldest of them first, and what has begun is finished.
class TaskPlanner {
 public:
  explicit TaskPlanner(TaskPlannerOptions options) : options_(options) {}

  /// \returns the starts to store now, within room, labels, limits per worker
  /// and the customers' limits.
  [[nodiscard]] std::vector<jobs::StartNote> Plan(const jobs::JobLedger& ledger,
                                                  const PlannerHooks& hooks,
                                                  jobs::UnixMillis now) const;

 private:
  TaskPlannerOptions options_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_TASK_PLANNER_H_
