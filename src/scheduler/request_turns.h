#ifndef BORAGEWINCH_SCHEDULER_REQUEST_TURNS_H_
#define BORAGEWINCH_SCHEDULER_REQUEST_TURNS_H_

#include <cstddef>
#include <deque>
#include <functional>

#include "base/time.h"

namespace boragewinch::scheduler {

/// \brief Limits on the requests that a leader serves.
struct RequestTurnsOptions {
  /// Requests served in one turn of the event loop.
  std::size_t per_turn = 32;
  /// Requests that wait for a turn; more are refused.
  std::size_t max_waiting = 2'000;
  /// A request that waited longer is refused: its gateway gives a try 900 ms
  /// and could no longer say that it was not run.
  Millis longest_wait{600};
};

/// \brief Serves requests a few at a time, so that the messages of replicas and
/// call agents are read in between. After an election all gateways send what
/// they held back at once; served in one turn, it kept a leader from hearing
/// its followers for longer than the election timeout.
class RequestTurns {
 public:
  struct Hooks {
    /// Calls back in the next turn of the event loop.
    std::function<void(std::function<void()>)> post;
    std::function<TimePoint()> now;
  };
  struct Request {
    std::function<void()> serve;
    std::function<void()> refuse;
  };

  RequestTurns(RequestTurnsOptions options, Hooks hooks);
  RequestTurns(const RequestTurns&) = delete;
  RequestTurns& operator=(const RequestTurns&) = delete;

  /// \brief Serves the request now or in a later turn, or refuses it.
  void Add(Request request);
  [[nodiscard]] std::size_t waiting() const noexcept { return queue_.size(); }

 private:
  struct Waiting {
    TimePoint since;
    Request request;
  };

  void EndTurnSoon();
  void NextTurn();

  RequestTurnsOptions options_;
  Hooks hooks_;
  std::deque<Waiting> queue_;
  std::size_t served_ = 0;  ///< in this turn
  bool end_due_ = false;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_REQUEST_TURNS_H_
