#ifndef BORAGEWINCH_SOAK_FAULT_INJECTOR_H_
#define BORAGEWINCH_SOAK_FAULT_INJECTOR_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fault_schedule.h"
#include "platform_cluster.h"

namespace boragewinch::platform {

/// \brief Injects the faults of a schedule into a cluster and ends each after
/// its duration.
class FaultInjector {
 public:
  /// \param log receives one line for each fault as it is injected.
  FaultInjector(PlatformCluster& cluster,
                std::vector<Fault> faults,
                std::function<void(const std::string&)> log);

  void Begin();
  /// \brief Injects no further faults, ends all active ones and starts every
  /// program that is not running.
  void Heal();
  /// \returns one line for each program that exited unexpectedly.
  [[nodiscard]] const std::vector<std::string>& unexpected_exits() const {
    return unexpected_exits_;
  }

 private:
  /// State of a program as the injected faults should leave it.
  enum class ExpectedState { kRunning, kStopping, kDown, kFrozen };

  void Inject(const Fault& fault);
  void InjectIntoProgram(const Fault& fault, const std::string& name);
  void InjectIntoRelay(const Fault& fault);
  void InjectIntoWorker(const Fault& fault);
  void KillFor(const std::string& name, Millis duration);
  void Restart(const std::string& name);
  void CheckPrograms();
  void Schedule(Millis delay, std::function<void()> action);

  PlatformCluster& cluster_;
  std::vector<Fault> faults_;
  std::function<void(const std::string&)> log_;
  std::map<std::string, ExpectedState> expected_;
  std::map<std::string, Millis> restart_delays_;
  std::vector<std::string> unexpected_exits_;
  std::vector<WatchHandle> timers_;
  WatchHandle check_;
};

}  // namespace boragewinch::platform

#endif  // BORAGEWINCH_SOAK_FAULT_INJECTOR_H_
