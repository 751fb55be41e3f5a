#ifndef BORAGEWINCH_KERNEL_EVENT_LOOP_H_
#define BORAGEWINCH_KERNEL_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "base/time.h"

namespace boragewinch {

/// \brief Cancels its timer, descriptor or signal watch when destroyed.
class Watch {
 public:
  virtual ~Watch() = default;
};

using WatchHandle = std::unique_ptr<Watch>;

/// \brief I/O events of a descriptor: those to watch for or those that
/// occurred.
struct Readiness {
  bool readable = false;
  bool writable = false;
};

/// \brief The libev loop of a process. Single-threaded. Only it and the
/// programs' main functions read a clock.
class EventLoop {
 public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  /// \returns the current monotonic time, including time for which the machine
  /// was suspended.
  [[nodiscard]] TimePoint now() const noexcept;
  /// \returns seconds since the Unix epoch, for records that outlive a reboot.
  [[nodiscard]] std::int64_t unix_seconds() const noexcept;
  /// \returns milliseconds since the Unix epoch.
  [[nodiscard]] std::int64_t unix_millis() const noexcept;
  /// \returns the total time for which the loop has waited for events.
  [[nodiscard]] Millis idle_time() const noexcept;

  /// \brief Calls `callback` once from the loop, after the current callback.
  void Post(std::function<void()> callback);
  /// \brief Calls `callback` every `interval` until the handle is destroyed.
  [[nodiscard]] WatchHandle Every(Millis interval,
                                  std::function<void(TimePoint)> callback);
  /// \brief Calls `callback` once after `delay` unless the handle is destroyed.
  [[nodiscard]] WatchHandle After(Millis delay,
                                  std::function<void(TimePoint)> callback);
  /// \brief Calls `callback` while `descriptor` is ready for `interest`.
  [[nodiscard]] WatchHandle OnReady(int descriptor,
                                    Readiness interest,
                                    std::function<void(Readiness)> callback);
  /// \brief Calls `callback` each time `signal_number` is received.
  [[nodiscard]] WatchHandle OnSignal(int signal_number,
                                     std::function<void()> callback);

  /// \brief Runs until Stop is called.
  void Run();
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_KERNEL_EVENT_LOOP_H_
