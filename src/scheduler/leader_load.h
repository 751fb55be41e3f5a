#ifndef BORAGEWINCH_SCHEDULER_LEADER_LOAD_H_
#define BORAGEWINCH_SCHEDULER_LEADER_LOAD_H_

#include <cstddef>
#include <optional>

#include "base/time.h"
#include "jobs/ledger_batch.h"

namespace boragewinch::scheduler {

/// \brief Work of a leader within an interval.
struct LoadReport {
  Millis time{0};  ///< length of the interval
  Millis busy{0};  ///< time in which the event loop was not idle
  std::size_t batches = 0;
  std::size_t starts = 0;
  std::size_t ends = 0;
  std::size_t jobs = 0;            ///< accepted
  std::size_t worker_records = 0;  ///< stored
  std::size_t caller_calls = 0;    ///< served requests of callers
  std::size_t control_calls = 0;   ///< served requests of workers and operators
};

/// \brief Counts the leader's work, to distinguish a busy leader from busy
/// workers.
class LeaderLoad {
 public:
  /// \param idle total time for which the event loop has been idle.
  void Begin(TimePoint now, Millis idle);
  void OnStored(const jobs::Batch& batch);
  void OnCallerCall() { ++report_.caller_calls; }
  void OnControlCall() { ++report_.control_calls; }
  /// \returns the work since the last report, once `interval` has passed.
  [[nodiscard]] std::optional<LoadReport> Take(TimePoint now,
                                               Millis idle,
                                               Millis interval);

 private:
  TimePoint since_;
  Millis idle_at_begin_{0};
  LoadReport report_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_LEADER_LOAD_H_
