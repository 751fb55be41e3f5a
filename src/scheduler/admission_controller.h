#ifndef BORAGEWINCH_SCHEDULER_ADMISSION_CONTROLLER_H_
#define BORAGEWINCH_SCHEDULER_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <deque>
#include <map>

#include "base/time.h"
#include "jobs/job_ledger.h"

namespace boragewinch::scheduler {

/// \brief Limits on the backlog of a queue.
struct AdmissionControllerOptions {
  /// Longest backlog, as time to complete it at the current rate. Beyond it
  /// most jobs are rejected at once, so that callers can retry after the burst.
  Millis max_wait{10'000};
  /// Percentage of the completion rate that is still accepted beyond
  /// `max_wait`. New jobs, which can meet their objective, start before late
  /// ones, while the rest of the rate reduces the backlog.
  int overload_percent = 50;
  /// Open tasks of a queue up to which jobs are always admitted: a pool of 62
  /// workers with 16 cores runs 660 of the shortest tasks at once, and a burst
  /// adds 1,900 a second before its completion rate is known.
  std::int64_t burst_tasks = 2'000;
  /// Window over which the completion rate is measured.
  Millis window{4'000};
};

/// \brief Admission control: decides whether a queue accepts another job when
/// the load exceeds the capacity of the workers or of the leader. The backlog
/// is limited by the completion rate of the queue, whatever the bottleneck is.
class AdmissionController {
 public:
  explicit AdmissionController(AdmissionControllerOptions options)
      : options_(options) {}

  /// \returns whether a job of the queue may be accepted.
  [[nodiscard]] bool Admits(const QueueName& queue,
                            const jobs::QueueLoad& load,
                            TimePoint now);

 private:
  struct Sample {
    TimePoint at;
    std::int64_t ended = 0;
    std::int64_t accepted = 0;
  };

  AdmissionControllerOptions options_;
  std::map<QueueName, std::deque<Sample>> samples_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_ADMISSION_CONTROLLER_H_
