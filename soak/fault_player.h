#ifndef BORAGEWINCH_SOAK_FAULT_PLAYER_H_
#define BORAGEWINCH_SOAK_FAULT_PLAYER_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fault_schedule.h"
#include "platform_world.h"

namespace boragewinch::platform {

/// \brief Plays a schedule on a world and ends every fault after its length.
class FaultPlayer {
 public:
  /// \param log takes one line for each fault as it is played.
  FaultPlayer(PlatformWorld& world,
              std::vector<Fault> faults,
              std::function<void(const std::string&)> log);

  void Begin();
  /// \brief Plays no further fault, ends all present ones and starts every
  /// program that does not run.
  void Heal();
  /// \returns one line for each program that ended by itself.
  [[nodiscard]] const std::vector<std::string>& own_ends() const {
    return own_ends_;
  }

 private:
  /// What the player has done to a program.
  enum class Wanted { kRuns, kStops, kIsDown, kFrozen };

  void Play(const Fault& fault);
  void PlayOnProgram(const Fault& fault, const std::string& name);
  void PlayOnRelay(const Fault& fault);
  void PlayOnWorker(const Fault& fault);
  void KillFor(const std::string& name, Millis length);
  void StartAgain(const std::string& name);
  void CheckPrograms();
  void Later(Millis delay, std::function<void()> action);

  PlatformWorld& world_;
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
