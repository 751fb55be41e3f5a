#ifndef BORAGEWINCH_KERNEL_MAILBOX_H_
#define BORAGEWINCH_KERNEL_MAILBOX_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

#include "kernel/event_loop.h"

namespace boragewinch {

/// \brief The bounded message queue of a task. Messages are handled one at a
/// time from the loop, in the order of arrival.
template <typename Message>
class Mailbox {
 public:
  using Handler = std::function<void(Message)>;

  Mailbox(EventLoop& loop, std::size_t capacity, Handler handler)
      : loop_(loop), state_(std::make_shared<State>()) {
    state_->capacity = capacity;
    state_->handler = std::move(handler);
  }
  ~Mailbox() { state_->handler = nullptr; }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  /// \returns false, without queueing, when the mailbox is full.
  [[nodiscard]] bool Send(Message message) {
    if (state_->queue.size() >= state_->capacity)
      return false;
    state_->queue.push_back(std::move(message));
    if (state_->queue.size() == 1) {
      loop_.Post([state = state_] { Deliver(*state); });
    }
    return true;
  }

 private:
  struct State {
    std::deque<Message> queue;
    std::size_t capacity = 0;
    Handler handler;
  };

  static void Deliver(State& state) {
    while (!state.queue.empty() && state.handler) {
      Message message = std::move(state.queue.front());
      state.queue.pop_front();
      state.handler(std::move(message));
    }
  }

  EventLoop& loop_;
  std::shared_ptr<State> state_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_KERNEL_MAILBOX_H_
