#include <deque>
#include <memory>

#include "entry/scheduler_hooks.h"

namespace boragewinch {

namespace {

struct SimpleQueue {
  std::deque<QueuedJob> urgent;
  std::deque<QueuedJob> normal;
};

}  // namespace

SchedulerHooks MakeSimpleScheduler() {
  auto queue = std::make_shared<SimpleQueue>();
  SchedulerHooks hooks;
  hooks.enqueue = [queue](const QueuedJob& job, TimePoint) {
    (job.urgency == Urgency::kUrgent ? queue->urgent : queue->normal)
        .push_back(job);
  };
  hooks.remove = [queue](const RequestId& id) {
    for (auto* jobs : {&queue->urgent, &queue->normal})
      std::erase_if(*jobs, [&](const QueuedJob& job) { return job.id == id; });
  };
  hooks.next = [queue](TimePoint, const SchedulerHooks::Startable& startable)
      -> std::optional<RequestId> {
    for (auto* jobs : {&queue->urgent, &queue->normal}) {
      for (auto job = jobs->begin(); job != jobs->end(); ++job) {
        if (startable(*job)) {
          RequestId id = job->id;
          jobs->erase(job);
          return id;
        }
      }
    }
    return std::nullopt;
  };
  hooks.choose_worker = [](const QueuedJob& job,
                           const std::vector<WorkerCandidate>& candidates,
                           TimePoint) -> std::optional<HostName> {
    const WorkerCandidate* best = nullptr;
    for (const WorkerCandidate& candidate : candidates) {
      Resources available = candidate.total;
      available -= candidate.declared_in_use;
      if (job.declared.FitsInto(available) &&
          (best == nullptr || candidate.free_slots > best->free_slots)) {
        best = &candidate;
      }
    }
    if (best == nullptr)
      return std::nullopt;
    return best->host;
  };
  hooks.on_started = [](const QueuedJob&, const HostName&, TimePoint) {};
  hooks.on_ended = [](const EndedTask&, TimePoint) {};
  return hooks;
}

}  // namespace boragewinch
