#ifndef BORAGEWINCH_ENTRY_SCHEDULER_HOOKS_H_
#define BORAGEWINCH_ENTRY_SCHEDULER_HOOKS_H_

#include <functional>
#include <optional>
#include <vector>

#include "base/strong_id.h"
#include "base/time.h"
#include "model/job.h"
#include "model/outcome.h"
#include "model/resources.h"

namespace boragewinch {

/// \brief A queued request, as the scheduling policy sees it.
struct QueuedJob {
  RequestId id;
  TeamName team;
  QueueName queue;
  PoolName pool;
  CustomerName customer;
  Resources declared;
  Millis declared_run_time{0};
  Urgency urgency = Urgency::kNormal;
  bool repeatable = false;
  TimePoint submitted;
  TimePoint deadline;
};

/// \brief A worker of the job's pool with a free slot.
struct WorkerCandidate {
  HostName host;
  RackName rack;
  Resources total;
  Resources declared_in_use;  ///< of this process's own tasks
  Resources usage;            ///< measured, with a lag
  std::int64_t slots = 0;
  std::int64_t free_slots = 0;
  std::uint32_t start_failures = 0;  ///< in a row
};

/// \brief How a task of a request ended, for the policy's estimates.
struct EndedTask {
  RequestId id;
  HostName host;
  Outcome outcome = Outcome::kFinished;
  Millis run_time{0};
  Resources used;  ///< as its worker last reported, else as declared
};

/// \brief Callbacks into the scheduling policy.
struct SchedulerHooks {
  using Startable = std::function<bool(const QueuedJob&)>;

  std::function<void(const QueuedJob&, TimePoint now)> enqueue;
  std::function<void(const RequestId&)> remove;
  /// Takes the next job that is startable out of the queue.
  std::function<std::optional<RequestId>(TimePoint now, const Startable&)> next;
  std::function<std::optional<HostName>(const QueuedJob&,
                                        const std::vector<WorkerCandidate>&,
                                        TimePoint now)>
      choose_worker;
  std::function<void(const QueuedJob&, const HostName&, TimePoint now)>
      on_started;
  std::function<void(const EndedTask&, TimePoint now)> on_ended;
};

/// \returns a FIFO policy: urgent jobs first, each on the worker with the most
/// free slots that can hold the declared resources.
[[nodiscard]] SchedulerHooks MakeSimpleScheduler();

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_SCHEDULER_HOOKS_H_
