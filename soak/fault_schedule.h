#ifndef BORAGEWINCH_SOAK_FAULT_SCHEDULE_H_
#define BORAGEWINCH_SOAK_FAULT_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/enum_table.h"
#include "base/time.h"

namespace boragewinch::platform {

/// \brief Kind of a fault. Each is undone after Fault::duration, unless it is
/// momentary.
enum class FaultKind {
  // Programs.
  kKill,      ///< SIGKILL
  kStop,      ///< SIGTERM
  kFreeze,    ///< SIGSTOP, then SIGCONT
  kReload,    ///< SIGHUP
  kKillAll,   ///< SIGKILL to all schedulers
  kLoseDisk,  ///< SIGKILL to a scheduler, whose data directory is emptied
  // Relays, see FaultRelay and RelayMode.
  kDelay,
  kCut,
  kStall,
  kDropRequests,
  kDropResponses,
  kBlackhole,  ///< of the open connections
  kReset,      ///< of the open connections
  // Workers, see FakeHosts and FakeBackend.
  kWorkerCrash,
  kWorkerUnresponsive,
  kWorkerDelayed,
  kWorkerFails,    ///< all runs fail
  kWorkerRefuses,  ///< all starts of runs are refused
  kWorkerDrain,
  // Others.
  kHostApiUnavailable,
  kConfig,  ///< an operator uploads a new configuration
};

inline constexpr EnumTable<FaultKind, 21> kFaultKinds{{{
    {FaultKind::kKill, "kill"},
    {FaultKind::kStop, "stop"},
    {FaultKind::kFreeze, "freeze"},
    {FaultKind::kReload, "reload"},
    {FaultKind::kKillAll, "kill_all"},
    {FaultKind::kLoseDisk, "lose_disk"},
    {FaultKind::kDelay, "delay"},
    {FaultKind::kCut, "cut"},
    {FaultKind::kStall, "stall"},
    {FaultKind::kDropRequests, "swallow_calls"},
    {FaultKind::kDropResponses, "swallow_answers"},
    {FaultKind::kBlackhole, "silence"},
    {FaultKind::kReset, "reset"},
    {FaultKind::kWorkerCrash, "worker_crash"},
    {FaultKind::kWorkerUnresponsive, "worker_silent"},
    {FaultKind::kWorkerDelayed, "worker_late"},
    {FaultKind::kWorkerFails, "worker_fails"},
    {FaultKind::kWorkerRefuses, "worker_refuses"},
    {FaultKind::kWorkerDrain, "worker_drain"},
    {FaultKind::kHostApiUnavailable, "hosts_away"},
    {FaultKind::kConfig, "config"},
}}};

/// \brief One fault of a schedule.
struct Fault {
  Millis at{0};  ///< from the start of the faults
  FaultKind kind = FaultKind::kKill;
  /// Program, relay or host; "leader" is the scheduler that leads at that time.
  std::string target;
  Millis duration{0};
};

/// \brief Names that a schedule may target.
struct FaultTargets {
  std::vector<std::string> schedulers;
  std::vector<std::string> gateways;
  std::vector<std::string> relays;
  std::vector<std::string> hosts;
};

/// \returns faults ordered by time, identical for the same arguments. There are
/// single, overlapping and repeated faults.
[[nodiscard]] std::vector<Fault> GenerateFaults(std::uint64_t seed,
                                                Millis time,
                                                const FaultTargets& targets);

/// \returns one line without a newline.
[[nodiscard]] std::string ToText(const Fault& fault);

}  // namespace boragewinch::platform

#endif  // BORAGEWINCH_SOAK_FAULT_SCHEDULE_H_
