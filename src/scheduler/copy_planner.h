#ifndef BORAGEWINCH_SCHEDULER_COPY_PLANNER_H_
#define BORAGEWINCH_SCHEDULER_COPY_PLANNER_H_

#include <functional>
#include <optional>
#include <vector>

#include "base/time.h"
#include "jobs/job_ledger.h"
#include "overload/speculation.h"
#include "scheduler/task_planner.h"

namespace boragewinch::scheduler {

/// \brief Limits of speculative copies.
struct CopyPlannerOptions {
  overload::SpeculationMode mode = overload::SpeculationMode::kOff;
  /// Share of a pool's capacity that its copies may use at a time. Some 3% of
  /// the tasks are slow, of a third of the steps, and run seven times as long.
  double max_pool_share = 0.05;
  /// Time between two scans of the running tasks. It delays a copy by half of
  /// it on average, against task durations of 640 ms and more.
  Millis scan_interval{250};
};

/// \brief What the leader knows about runs and durations.
struct CopyHooks {
  /// \returns the time since the start of the run was sent, or since this
  /// leader first saw it; nothing before that and once it is to be stopped.
  std::function<std::optional<Millis>(const jobs::RunName&,
                                      const jobs::WorkerIncarnation&)>
      elapsed;
  /// \returns the median duration of a task of the queue with this estimate.
  ExpectedDuration expected_duration;
  /// \returns overload::DurationModel::Spread.
  std::function<double(const QueueName&)> spread;
  /// Whether the worker fails or delays tasks, or does not respond.
  std::function<bool(const jobs::WorkerIncarnation&)> is_suspect;
};

/// \brief Places second runs of slow tasks after the ordinary starts of a plan,
/// in capacity that no waiting task could use.
///
/// Load: some 1,500 runs, of which a third are of speculative steps, and a plan
/// every 20 ms. Only runs of speculative steps are looked at, every
/// CopyPlannerOptions::scan_interval.
class CopyPlanner {
 public:
  explicit CopyPlanner(CopyPlannerOptions options) : options_(options) {}

  /// \param starts the ordinary starts of this plan.
  /// \param max_starts maximum number of copies.
  /// \param now on the monotonic clock.
  /// \returns the starts of copies to store beside `starts`.
  [[nodiscard]] std::vector<jobs::StartRecord> Plan(
      const jobs::JobLedger& ledger,
      const PlannerHooks& hooks,
      const CopyHooks& copy_hooks,
      const std::vector<jobs::StartRecord>& starts,
      std::size_t max_starts,
      TimePoint now);

 private:
  CopyPlannerOptions options_;
  std::optional<TimePoint> scanned_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_COPY_PLANNER_H_
