#ifndef BORAGEWINCH_SCHEDULER_LEADER_LOAD_H_
#define BORAGEWINCH_SCHEDULER_LEADER_LOAD_H_

#include <cstddef>
#include <optional>

#include "base/time.h"
#include "jobs/ledger_batch.h"

namespace boragewinch::scheduler {

/// \brief What a leader has done in some time.
struct LoadReport {
  Millis time{0};
  Millis busy{0};  ///< time in which the event loop did not wait
  std::size_t batches = 0;
  std::size_t starts = 0;
  std::size_t ends = 0;
  std::size_t jobs = 0;           ///< accepted
  std::size_t worker_notes = 0;   ///< stored
  std::size_t caller_calls = 0;   ///< requests of callers that it served
  std::size_t control_calls = 0;  ///< requests of workers and operators
};

/// \brief Counts the leader's work, to tell a busy leader from busy workers.
class LeaderLoad {
 public:
  /// \param idle time for which the event loop has waited so far.
  void Begin(TimePoint now, Millis idle);
  void OnStored(const jobs::Batch& batch);
  void OnCallerCall() { ++report_.caller_calls; }
  void OnControlCall() { ++report_.control_calls; }
  /// \returns what was done since the last report, once `interval` has passed.
  [[nodiscard]] std::optional<LoadReport> Take(TimePoint now,
                                               Millis idle,
                                               Millis interval);

 private:
  TimePoint since_;
  Millis idle_before_{0};
  LoadReport report_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_LEADER_LOAD_H_
