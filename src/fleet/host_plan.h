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

/// \brief A drain in effect, until a return ends it.
struct DrainRecord {
  FleetVersion version = 0;   ///< fleet version at which the drain started
  std::string operator_name;  ///< empty for the control service
  /// The platform's boot count before the maintenance reboot; set once.
  std::optional<std::int64_t> boots;
};

/// \brief A host that moves to another pool: drain, move, return.
struct PendingMove {
  PoolName pool;
  bool moved = false;  ///< in `pool` already; only the return is left
  FleetVersion version = 0;
  std::string operator_name;
};

/// \brief Next step of the control service for a pending move.
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

/// \returns whether an observed state `to` is valid for a host in `from`.
/// \param drained whether the host has a drain record.
[[nodiscard]] bool IsHostTransition(HostState from,
                                    HostState to,
                                    bool drained) noexcept;

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_HOST_PLAN_H_
