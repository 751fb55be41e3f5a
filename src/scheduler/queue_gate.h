#ifndef BORAGEWINCH_SCHEDULER_QUEUE_GATE_H_
#define BORAGEWINCH_SCHEDULER_QUEUE_GATE_H_

#include <cstdint>
#include <deque>
#include <map>

#include "base/time.h"
#include "jobs/job_ledger.h"

namespace boragewinch::scheduler {

/// \brief Limits on the work that a queue holds.
struct QueueGateOptions {
  /// Beyond so much work, at the present rate of ends, jobs are refused: a
  /// caller that is told so at once can come back when the burst is over.
  Millis longest_wait{10'000};
  /// Share of the rate of ends that is accepted beyond that. Jobs that can meet
  /// their objective start before late ones, so callers are served while the
  /// rest of the rate carries off what waits.
  int overload_percent = 50;
  /// Open tasks of a queue that are accepted at any rate: a pool of 62 workers
  /// of 16 cores has 660 tasks of the shortest kind at work, and a burst adds
  /// 1,900 a second before its rate of ends is known.
  std::int64_t free_tasks = 2'000;
  /// Time over which the rate of ends is taken.
  Millis window{4'000};
};

/// \brief Decides whether a queue takes a further job. It answers a load that
/// rises above what workers or the leader can carry: what waits is bounded by
/// the rate at which tasks of the queue end, whatever the bottleneck is.
class QueueGate {
 public:
  explicit QueueGate(QueueGateOptions options) : options_(options) {}

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

  QueueGateOptions options_;
  std::map<QueueName, std::deque<Sample>> samples_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_QUEUE_GATE_H_
