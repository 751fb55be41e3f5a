#ifndef BORAGEWINCH_SCHEDULER_TASK_PLANNER_H_
#define BORAGEWINCH_SCHEDULER_TASK_PLANNER_H_

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "base/enum_table.h"
#include "jobs/job_ledger.h"
#include "overload/admission.h"

namespace boragewinch::scheduler {

/// \brief Order in which waiting jobs of one priority start.
enum class StartOrder {
  /// Jobs that can meet their objective first, then the late ones; both by
  /// earliest objective.
  kObjective,
  /// As overload::StartsBefore, with expected instead of estimated durations.
  kLeastLoss,
};

inline constexpr EnumTable<StartOrder, 2> kStartOrders{{{
    {StartOrder::kObjective, "objective"},
    {StartOrder::kLeastLoss, "least-loss"},
}}};

/// \brief Limits of the planner.
struct TaskPlannerOptions {
  StartOrder order = StartOrder::kObjective;
  /// Maximum number of starts in a plan, which share one log entry.
  std::size_t max_starts = 96;
  /// A job counts as late when this multiple of its remaining critical path no
  /// longer fits before its objective. Estimates are rough, and each step waits
  /// for the report of the last end and for free capacity.
  double critical_path_margin = 1.5;
  /// The same for StartOrder::kLeastLoss. A job that is late by little still
  /// comes soon, so the margin need not cover rough estimates.
  double expected_path_margin = 1.0;
  /// Longest time for which the waiting tasks of a pool reserve workers. A job
  /// for which there is capacity twice over has to start within 3 s (the users'
  /// rule LOST), also if all of that capacity is reserved.
  Millis max_reservation{2'000};
  /// Time after a reservation in which all tasks may use the capacity: long
  /// enough for several plans.
  Millis reservation_pause{500};
  /// Longest time for which a task avoids workers on which it failed while
  /// another one may become free, and quarantined ones in any case. The rule
  /// LOST allows 3 s without a run; a plan, its log entry and the call take the
  /// rest.
  Millis max_avoidance{2'000};
};

/// \returns the expected duration of a task of the queue with this estimate.
using ExpectedDuration =
    std::function<Millis(const QueueName&, Millis estimate)>;

/// \brief Queries of the planner about workers and tasks.
struct PlannerHooks {
  /// \returns how many tasks may start on the worker now: 0 on an unresponsive
  /// worker, 1 on one with recent failures.
  std::function<std::size_t(const jobs::WorkerIncarnation&)> start_limit;
  /// Whether the worker, once it has free capacity, is expected to accept a
  /// start within max_avoidance.
  std::function<bool(const jobs::WorkerIncarnation&)> accepts_soon;
  /// Whether the worker responds, but start_limit is 0 because most of its
  /// recent runs have failed.
  std::function<bool(const jobs::WorkerIncarnation&)> is_quarantined;
  /// Whether a task of an advised queue may run on the worker now.
  std::function<bool(const jobs::TaskName&, const jobs::WorkerIncarnation&)>
      is_advised;
  /// Whether the task has failed on the worker.
  std::function<bool(const jobs::TaskName&, const jobs::WorkerIncarnation&)>
      has_failed_on;
  /// For StartOrder::kLeastLoss; empty: the estimates are used.
  ExpectedDuration expected_duration;
  /// Whether the worker is in a zone that was returned to use and is still
  /// slow; warm workers get tasks first. Empty: no worker is cold.
  std::function<bool(const jobs::WorkerIncarnation&)> is_cold;
};

/// \returns the time by which the job should complete: `from` plus `stretch`
/// times its critical path plus the latency target of its queue.
/// \param expected durations of its tasks; empty: the estimates are used.
[[nodiscard]] jobs::UnixMillis ObjectiveOf(
    const jobs::Job& job,
    const jobs::QueueConfig& queue,
    jobs::UnixMillis from,
    const ExpectedDuration& expected = nullptr);

/// \returns the critical path over the durations of the incomplete steps.
[[nodiscard]] Millis RemainingCriticalPath(
    const jobs::Job& job,
    const jobs::Occurrence& occurrence,
    const ExpectedDuration& expected = nullptr);

/// \returns the critical path over the durations of all steps.
[[nodiscard]] Millis CriticalPathOf(const jobs::JobSpec& spec,
                                    const QueueName& queue,
                                    const ExpectedDuration& expected = nullptr);

/// \brief Limits the time for which the workers of each pool are reserved.
class ReservationClock {
 public:
  explicit ReservationClock(const TaskPlannerOptions& options)
      : max_reservation_(options.max_reservation.count()),
        pause_(options.reservation_pause.count()) {}

  /// \brief Begins a reservation in the pool if none has begun and no pause is
  /// due. A wall clock that went back begins a new one.
  /// \returns whether workers of the pool may be reserved now.
  [[nodiscard]] bool MayReserve(const PoolName& pool, jobs::UnixMillis now);

 private:
  std::int64_t max_reservation_;
  std::int64_t pause_;
  std::map<PoolName, jobs::UnixMillis> began_;
};

/// \brief Limits the time for which a task avoids workers on which it failed or
/// which are quarantined.
class AvoidanceClock {
 public:
  explicit AvoidanceClock(const TaskPlannerOptions& options)
      : max_avoidance_(options.max_avoidance.count()) {}

  /// \brief Begins to wait with the first call after each run.
  /// \param task the waiting task, or the first member of a waiting gang.
  /// \param last_run the number of its latest run.
  /// \returns whether the task may still wait. A wall clock that went back
  /// begins the time again.
  [[nodiscard]] bool MayWait(const jobs::TaskName& task,
                             std::uint32_t last_run,
                             jobs::UnixMillis now);
  /// \brief Forgets tasks that have not waited for some time.
  void Prune(jobs::UnixMillis now);

 private:
  struct Wait {
    std::uint32_t last_run = 0;
    jobs::UnixMillis began = 0;
    jobs::UnixMillis asked = 0;
  };

  std::int64_t max_avoidance_;
  std::map<jobs::TaskName, Wait> waits_;
};

/// \brief Decides which waiting tasks start on which workers. Designed for
/// bursts in which one queue demands several times its mean load, more than its
/// pool's capacity: jobs that can still meet their objective go first (see
/// StartOrder), and running tasks are not preempted.
class TaskPlanner {
 public:
  explicit TaskPlanner(TaskPlannerOptions options)
      : options_(options), reservations_(options), avoidances_(options) {}

  /// \returns the starts to store now, subject to free capacity, labels,
  /// per-worker limits and customer limits.
  [[nodiscard]] std::vector<jobs::StartRecord> Plan(
      const jobs::JobLedger& ledger,
      const PlannerHooks& hooks,
      jobs::UnixMillis now);

  /// \returns what the last plan with StartOrder::kLeastLoss has left waiting.
  [[nodiscard]] const std::map<PoolName, overload::PoolBacklog>& backlogs()
      const noexcept {
    return backlogs_;
  }
  /// \returns the customers that demanded far more than their share then.
  [[nodiscard]] const std::set<CustomerName>& over_share() const noexcept {
    return over_share_;
  }

 private:
  TaskPlannerOptions options_;
  ReservationClock reservations_;
  AvoidanceClock avoidances_;
  std::map<PoolName, overload::PoolBacklog> backlogs_;
  std::set<CustomerName> over_share_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_TASK_PLANNER_H_
