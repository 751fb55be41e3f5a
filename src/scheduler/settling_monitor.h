#ifndef BORAGEWINCH_SCHEDULER_SETTLING_MONITOR_H_
#define BORAGEWINCH_SCHEDULER_SETTLING_MONITOR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "jobs/job_ledger.h"
#include "scheduler/worker_session.h"

namespace boragewinch::scheduler {

/// \brief A run that is not settled within the bound.
struct OverdueRun {
  jobs::RunName run;
  Millis age{0};  ///< since it was first seen unsettled
  RunPhase phase = RunPhase::kInherited;
  ProofGap gap = ProofGap::kList;
  bool first = false;  ///< reported for the first time
};

/// \brief Finds runs that the leader has not settled within SettlingBound. It
/// does no I/O and reads no clock.
///
/// Load: some 350 workers with up to 64 runs, each looked at twice a second.
/// Only unsettled runs are stored.
class SettlingMonitor {
 public:
  /// Minimum time between two reports of a run.
  static constexpr Millis kReportInterval{5'000};

  explicit SettlingMonitor(Millis bound) : bound_(bound) {}

  /// \brief Records which runs of the worker are unsettled.
  /// \returns those past the bound that were not reported lately.
  [[nodiscard]] std::vector<OverdueRun> Observe(
      const jobs::WorkerIncarnation& worker,
      const WorkerSession& session,
      TimePoint now);
  void Forget(const jobs::WorkerIncarnation& worker) { workers_.erase(worker); }
  void Clear() { workers_.clear(); }

  [[nodiscard]] Millis bound() const noexcept { return bound_; }
  /// \returns the number of unsettled runs.
  [[nodiscard]] std::size_t unsettled_runs() const;
  /// \returns the age of the oldest unsettled run; 0 if there is none.
  [[nodiscard]] Millis OldestAge(TimePoint now) const;

 private:
  struct Unsettled {
    TimePoint since;
    std::optional<TimePoint> reported;
  };

  Millis bound_;
  std::map<jobs::WorkerIncarnation, std::map<jobs::RunName, Unsettled>>
      workers_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_SETTLING_MONITOR_H_
