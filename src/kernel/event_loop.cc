#include "kernel/event_loop.h"

#include <ctime>

#include <chrono>
#include <deque>
#include <utility>

#include <ev.h>

namespace boragewinch {

namespace {

constexpr double kMillisPerSecond = 1'000.0;

class TimerWatch final : public Watch {
 public:
  TimerWatch(struct ev_loop* loop,
             Millis delay,
             Millis repeat,
             std::function<void(TimePoint)> callback,
             const EventLoop* clock)
      : loop_(loop), callback_(std::move(callback)), clock_(clock) {
    ev_timer_init(&timer_, &TimerWatch::OnTimer,
                  static_cast<double>(delay.count()) / kMillisPerSecond,
                  static_cast<double>(repeat.count()) / kMillisPerSecond);
    timer_.data = this;
    ev_now_update(loop_);
    ev_timer_start(loop_, &timer_);
  }
  ~TimerWatch() override { ev_timer_stop(loop_, &timer_); }

 private:
  static void OnTimer(struct ev_loop*, ev_timer* timer, int) {
    auto* self = static_cast<TimerWatch*>(timer->data);
    // The callback may destroy this watch, so it is called from a copy.
    const auto callback = self->callback_;
    callback(self->clock_->now());
  }

  struct ev_loop* loop_;
  std::function<void(TimePoint)> callback_;
  const EventLoop* clock_;
  ev_timer timer_{};
};

class DescriptorWatch final : public Watch {
 public:
  DescriptorWatch(struct ev_loop* loop,
                  int descriptor,
                  Readiness interest,
                  std::function<void(Readiness)> callback)
      : loop_(loop), callback_(std::move(callback)) {
    const int events =
        (interest.readable ? EV_READ : 0) | (interest.writable ? EV_WRITE : 0);
    ev_io_init(&io_, &DescriptorWatch::OnIo, descriptor, events);
    io_.data = this;
    ev_io_start(loop_, &io_);
  }
  ~DescriptorWatch() override { ev_io_stop(loop_, &io_); }

 private:
  static void OnIo(struct ev_loop*, ev_io* io, int events) {
    auto* self = static_cast<DescriptorWatch*>(io->data);
    const auto callback = self->callback_;
    callback({(events & EV_READ) != 0, (events & EV_WRITE) != 0});
  }

  struct ev_loop* loop_;
  std::function<void(Readiness)> callback_;
  ev_io io_{};
};

class SignalWatch final : public Watch {
 public:
  SignalWatch(struct ev_loop* loop,
              int signal_number,
              std::function<void()> callback)
      : loop_(loop), callback_(std::move(callback)) {
    ev_signal_init(&signal_, &SignalWatch::OnSignal, signal_number);
    signal_.data = this;
    ev_signal_start(loop_, &signal_);
  }
  ~SignalWatch() override { ev_signal_stop(loop_, &signal_); }

 private:
  static void OnSignal(struct ev_loop*, ev_signal* signal, int) {
    static_cast<SignalWatch*>(signal->data)->callback_();
  }

  struct ev_loop* loop_;
  std::function<void()> callback_;
  ev_signal signal_{};
};

}  // namespace

struct EventLoop::Impl {
  struct ev_loop* loop = nullptr;
  ev_prepare prepare{};
  ev_check check{};
  ev_idle idle{};
  std::chrono::steady_clock::time_point wait_start;
  std::chrono::steady_clock::duration idle_time{0};
  std::deque<std::function<void()>> posted;

  void RunPosted() {
    // Callbacks posted by these run in the next iteration, so that sockets and
    // timers are served in between.
    for (std::size_t count = posted.size(); count > 0; --count) {
      const auto callback = std::move(posted.front());
      posted.pop_front();
      callback();
    }
    if (posted.empty())
      ev_idle_stop(loop, &idle);
    else
      ev_idle_start(loop, &idle);
  }
};

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {
  impl_->loop = ev_loop_new(EVBACKEND_EPOLL);
  ev_prepare_init(&impl_->prepare,
                  [](struct ev_loop*, ev_prepare* watcher, int) {
                    auto* impl = static_cast<Impl*>(watcher->data);
                    impl->RunPosted();
                    impl->wait_start = std::chrono::steady_clock::now();
                  });
  impl_->prepare.data = impl_.get();
  ev_prepare_start(impl_->loop, &impl_->prepare);
  // libev blocks between its prepare and check watchers.
  ev_check_init(&impl_->check, [](struct ev_loop*, ev_check* watcher, int) {
    auto* impl = static_cast<Impl*>(watcher->data);
    impl->idle_time += std::chrono::steady_clock::now() - impl->wait_start;
  });
  impl_->check.data = impl_.get();
  ev_check_start(impl_->loop, &impl_->check);
  // An active idle watcher keeps the loop from blocking while callbacks are
  // posted.
  ev_idle_init(&impl_->idle, [](struct ev_loop*, ev_idle*, int) {});
}

EventLoop::~EventLoop() {
  impl_->posted.clear();
  ev_idle_stop(impl_->loop, &impl_->idle);
  ev_prepare_stop(impl_->loop, &impl_->prepare);
  ev_check_stop(impl_->loop, &impl_->check);
  ev_loop_destroy(impl_->loop);
}

// CLOCK_BOOTTIME, since the leases of this process also expire while the
// machine is suspended.
TimePoint EventLoop::now() const noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return FromMillis(static_cast<std::int64_t>(time.tv_sec) * 1'000 +
                    time.tv_nsec / 1'000'000);
}

std::int64_t EventLoop::unix_millis() const noexcept {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

Millis EventLoop::idle_time() const noexcept {
  return std::chrono::duration_cast<Millis>(impl_->idle_time);
}

std::int64_t EventLoop::unix_seconds() const noexcept {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void EventLoop::Post(std::function<void()> callback) {
  impl_->posted.push_back(std::move(callback));
  ev_idle_start(impl_->loop, &impl_->idle);
}

WatchHandle EventLoop::Every(Millis interval,
                             std::function<void(TimePoint)> callback) {
  return std::make_unique<TimerWatch>(impl_->loop, interval, interval,
                                      std::move(callback), this);
}

WatchHandle EventLoop::After(Millis delay,
                             std::function<void(TimePoint)> callback) {
  return std::make_unique<TimerWatch>(impl_->loop, delay, Millis(0),
                                      std::move(callback), this);
}

WatchHandle EventLoop::OnReady(int descriptor,
                               Readiness interest,
                               std::function<void(Readiness)> callback) {
  return std::make_unique<DescriptorWatch>(impl_->loop, descriptor, interest,
                                           std::move(callback));
}

WatchHandle EventLoop::OnSignal(int signal_number,
                                std::function<void()> callback) {
  return std::make_unique<SignalWatch>(impl_->loop, signal_number,
                                       std::move(callback));
}

void EventLoop::Run() {
  ev_run(impl_->loop, 0);
}

void EventLoop::Stop() {
  ev_break(impl_->loop, EVBREAK_ALL);
}

}  // namespace boragewinch
