#ifndef BORAGEWINCH_SOAK_FAULT_PLAYER_H_
#define BORAGEWINCH_SOAK_FAULT_PLAYER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fault_schedule.h"
#include "platform_world.h"

namespace boragewinch::platform {

/// \brief Injects the faults of a schedule into a cluster and ends each after
/// its duration.
class FaultPlayer {
 public:
  /// \param log receives one line for each fault as it is injected.
  FaultPlayer(PlatformCluster& cluster,
              std::vector<Fault> faults,
              std::function<void(const std::string&)> log);

  void Begin();
  /// \brief Injects no further faults, ends all active ones and starts every
  /// program that is not running.
  void Heal();
  /// \returns one line for each program that exited unexpectedly.
  [[nodiscard]] const std::vector<std::string>& own_ends() const {
    return own_ends_;
  }

 private:
  /// State of a program that the injected faults lead to.
  enum class Wanted { kRuns, kStops, kIsDown, kFrozen };

  void Play(const Fault& fault);
  void PlayOnProgram(const Fault& fault, const std::string& name);
  void PlayOnRelay(const Fault& fault);
  void PlayOnWorker(const Fault& fault);
  void KillFor(const std::string& name, Millis length);
  void StartAgain(const std::string& name);
  void CheckPrograms();
  void Later(Millis delay, std::function<void()> action);

  PlatformCluster& cluster_;
  std::vector<Fault> faults_;
  std::function<void(const std::string&)> log_;
  std::map<std::string, Wanted> wanted_;
  std::map<std::string, Millis> stopped_for_;
  std::vector<std::string> own_ends_;
  std::vector<WatchHandle> timers_;
  WatchHandle check_;
};

}  // namespace boragewinch::platform

#endif  // BORAGEWINCH_SOAK_FAULT_PLAYER_H_
