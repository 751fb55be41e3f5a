#ifndef BORAGEWINCH_ENTRY_ENTRY_SERVICE_H_
#define BORAGEWINCH_ENTRY_ENTRY_SERVICE_H_

#include <functional>
#include <memory>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "base/metrics.h"
#include "entry/entry_core.h"
#include "entry/entry_options.h"
#include "entry/policy_scheduler.h"
#include "kernel/kernel.h"

namespace boragewinch {

class ControlLink;
class PublicPort;

namespace impl {

template <typename Variant>
struct HandlersOf;

template <typename... Messages>
struct HandlersOf<std::variant<Messages...>> {
  using Type = std::tuple<std::vector<std::function<void(const Messages&)>>...>;
};

}  // namespace impl

/// \brief Owns the core of an entry host and its timer. Other services pass
/// messages to it and subscribe to the core's actions.
class EntryService final : public Service {
 public:
  explicit EntryService(const EntryOptions& options);
  ~EntryService() override;

  [[nodiscard]] Status Start(Kernel& kernel) override;
  void Stop(const std::function<void()>& done) override;
  [[nodiscard]] std::size_t open_requests() const override;

  /// \brief Adds a receiver of the core's actions of one type.
  template <typename Action>
  void On(std::function<void(const Action&)> handler) {
    std::get<std::vector<std::function<void(const Action&)>>>(handlers_)
        .push_back(std::move(handler));
  }
  /// \brief Delivers the core's actions to their receivers; call it after each
  /// message.
  void Flush();

  [[nodiscard]] EntryCore& core() noexcept { return *core_; }
  [[nodiscard]] PolicyScheduler& scheduler() noexcept { return scheduler_; }
  [[nodiscard]] Metrics& metrics() noexcept { return metrics_; }
  [[nodiscard]] EventLoop& loop() noexcept { return *loop_; }
  [[nodiscard]] const Incarnation& incarnation() const noexcept {
    return incarnation_;
  }

 private:
  void Perform(const EntryAction& action);
  void OnTick(TimePoint now);
  void RunPolicy(TimePoint now);
  void StopAcceptingWhenUnused(TimePoint now);

  const EntryOptions& options_;
  Incarnation incarnation_;
  EventLoop* loop_ = nullptr;
  ControlLink* control_ = nullptr;
  PublicPort* public_ = nullptr;
  impl::HandlersOf<EntryAction>::Type handlers_;
  PolicyScheduler scheduler_;
  TimePoint next_policy_update_;
  std::unique_ptr<EntryCore> core_;
  Metrics metrics_;
  WatchHandle tick_;
  std::function<void()> stopped_;
  TimePoint stop_deadline_;
  TimePoint idle_since_;  ///< during a stop: last time something was open
  bool closed_ = false;   ///< the public port accepts no connections
  bool flushing_ = false;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_ENTRY_SERVICE_H_
