#ifndef BORAGEWINCH_SCHEDULER_REQUEST_QUEUE_H_
#define BORAGEWINCH_SCHEDULER_REQUEST_QUEUE_H_

#include <cstddef>
#include <deque>
#include <functional>

#include "base/time.h"

namespace boragewinch::scheduler {

/// \brief Limits on the requests that a leader serves.
struct RequestQueueOptions {
  /// Requests served in one iteration of the event loop.
  std::size_t max_per_iteration = 32;
  /// Queued requests; further ones are rejected.
  std::size_t max_queued = 2'000;
  /// A request that waited longer is rejected: its gateway times out an attempt
  /// after 900 ms and could then no longer report that it was not executed.
  Millis max_wait{600};
};

/// \brief Bounded queue that serves a few requests per event-loop iteration, so
/// that messages of replicas and call agents are read in between. After an
/// election all gateways send their held requests at once; served in a single
/// iteration, they kept a leader from reading its followers' messages for
/// longer than the election timeout.
class RequestQueue {
 public:
  struct Hooks {
    /// Runs the callback in the next iteration of the event loop.
    std::function<void(std::function<void()>)> post;
    std::function<TimePoint()> now;
  };
  struct Request {
    std::function<void()> serve;
    std::function<void()> reject;
  };

  RequestQueue(RequestQueueOptions options, Hooks hooks);
  RequestQueue(const RequestQueue&) = delete;
  RequestQueue& operator=(const RequestQueue&) = delete;

  /// \brief Serves the request now or in a later iteration, or rejects it.
  void Add(Request request);
  [[nodiscard]] std::size_t waiting() const noexcept { return queue_.size(); }

 private:
  struct QueuedRequest {
    TimePoint queued_at;
    Request request;
  };

  void ScheduleNextIteration();
  void ServeQueued();

  RequestQueueOptions options_;
  Hooks hooks_;
  std::deque<QueuedRequest> queue_;
  std::size_t served_ = 0;  ///< in this iteration
  bool iteration_scheduled_ = false;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_REQUEST_QUEUE_H_
