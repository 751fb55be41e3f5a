#include "scheduler/request_queue.h"

#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

RequestQueue::RequestQueue(RequestQueueOptions options, Hooks hooks)
    : options_(options), hooks_(std::move(hooks)) {}

void RequestQueue::Add(Request request) {
  ScheduleNextIteration();
  if (queue_.empty() && served_ < options_.max_per_iteration) {
    ++served_;
    request.serve();
    return;
  }
  if (queue_.size() >= options_.max_queued) {
    LogEvent(EventId::kBoundReached, {{"bound", "waiting_requests"}});
    request.reject();
    return;
  }
  queue_.push_back({hooks_.now(), std::move(request)});
}

void RequestQueue::ScheduleNextIteration() {
  if (!std::exchange(iteration_scheduled_, true))
    hooks_.post([this] { ServeQueued(); });
}

void RequestQueue::ServeQueued() {
  iteration_scheduled_ = false;
  served_ = 0;
  const TimePoint now = hooks_.now();
  while (!queue_.empty() && served_ < options_.max_per_iteration) {
    const QueuedRequest next = std::move(queue_.front());
    queue_.pop_front();
    ++served_;
    if (now - next.queued_at > options_.max_wait)
      next.request.reject();
    else
      next.request.serve();
  }
  // The next iteration resets the count.
  if (served_ > 0)
    ScheduleNextIteration();
}

}  // namespace boragewinch::scheduler
