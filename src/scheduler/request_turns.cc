#include "scheduler/request_turns.h"

#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

RequestTurns::RequestTurns(RequestTurnsOptions options, Hooks hooks)
    : options_(options), hooks_(std::move(hooks)) {}

void RequestTurns::Add(Request request) {
  ScheduleNextIteration();
  if (queue_.empty() && served_ < options_.per_turn) {
    ++served_;
    request.serve();
    return;
  }
  if (queue_.size() >= options_.max_waiting) {
    LogEvent(EventId::kBoundReached, {{"bound", "waiting_requests"}});
    request.reject();
    return;
  }
  queue_.push_back({hooks_.now(), std::move(request)});
}

void RequestTurns::ScheduleNextIteration() {
  if (!std::exchange(iteration_scheduled_, true))
    hooks_.post([this] { ServeQueued(); });
}

void RequestTurns::ServeQueued() {
  iteration_scheduled_ = false;
  served_ = 0;
  const TimePoint now = hooks_.now();
  while (!queue_.empty() && served_ < options_.per_turn) {
    const QueuedRequest next = std::move(queue_.front());
    queue_.pop_front();
    ++served_;
    if (now - next.queued_at > options_.longest_wait)
      next.request.reject();
    else
      next.request.serve();
  }
  // The next iteration resets the count.
  if (served_ > 0)
    ScheduleNextIteration();
}

}  // namespace boragewinch::scheduler
