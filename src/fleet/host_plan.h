#ifndef BORAGEWINCH_FLEET_HOST_PLAN_H_
#define BORAGEWINCH_FLEET_HOST_PLAN_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "base/enum_table.h"
#include "base/strong_id.h"
#include "model/fleet_view.h"

namespace boragewinch {

/// \brief A drain that has not been ended by a return.
struct DrainRecord {
  FleetVersion version = 0;   ///< the latest drain has the highest version
  std::string operator_name;  ///< empty for the control service
  /// The platform's boot count before the reboot of this maintenance; set once.
  std::optional<std::int64_t> boots;
};

/// \brief A host on its way to another pool: drain, move, return.
struct PendingMove {
  PoolName pool;
  bool moved = false;  ///< already in `pool`; only the return is missing
  FleetVersion version = 0;
  std::string operator_name;
};

/// \brief What the control service has to do next for a pending move.
enum class MoveStep {
  kNone,    ///< no move is pending
  kDrain,   ///< submit DrainHost
  kWait,    ///< wait until the host is drained
  kMove,    ///< submit MoveHost
  kReturn,  ///< submit ReturnHost
};

inline constexpr EnumTable<MoveStep, 5> kMoveSteps{{{
    {MoveStep::kNone, "none"},
    {MoveStep::kDrain, "drain"},
    {MoveStep::kWait, "wait"},
    {MoveStep::kMove, "move"},
    {MoveStep::kReturn, "return"},
}}};

/// \returns the number of workers of `pool` in service: active and not in
/// `lost`.
[[nodiscard]] std::int64_t AvailableWorkers(const FleetView& view,
                                            const PoolName& pool,
                                            const std::set<HostName>& lost);

/// \returns whether the control service may report `to` for a host in `from`.
/// \param drained whether the host has a drain record.
[[nodiscard]] bool IsHostTransition(HostState from,
                                    HostState to,
                                    bool drained) noexcept;

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_HOST_PLAN_H_
