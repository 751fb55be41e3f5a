#ifndef BORAGEWINCH_SOAK_FAULT_SCHEDULE_H_
#define BORAGEWINCH_SOAK_FAULT_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/enum_table.h"
#include "base/time.h"

namespace boragewinch::platform {

/// \brief Kind of a fault that is injected from outside.
enum class FaultKind {
  kKill,
  kStop,
  kFreeze,
  kReload,
  kKillAll,
  kLoseDisk,
  kDelay,
  kCut,
  kStall,
  kDropRequests,
  kDropResponses,
  kBlackhole,
  kReset,
  kWorkerCrash,
  kWorkerUnresponsive,
  kWorkerDelayed,
  kWorkerFails,
  kWorkerRefuses,
  kWorkerDrain,
  kHostApiUnavailable,
  kConfig,
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
