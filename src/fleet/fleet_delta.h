#ifndef BORAGEWINCH_FLEET_FLEET_DELTA_H_
#define BORAGEWINCH_FLEET_FLEET_DELTA_H_

#include <map>
#include <string>
#include <vector>

#include "base/enum_table.h"
#include "base/json.h"
#include "base/result.h"
#include "model/fleet_view.h"

namespace boragewinch {

enum class EntityKind { kPool, kTeam, kQueue, kHost };

inline constexpr EnumTable<EntityKind, 4> kEntityKinds{{{
    {EntityKind::kPool, "pool"},
    {EntityKind::kTeam, "team"},
    {EntityKind::kQueue, "queue"},
    {EntityKind::kHost, "host"},
}}};

/// \brief The removal of a pool, team, queue or host. Keys are never removed.
struct Removal {
  FleetVersion version = 0;
  EntityKind kind = EntityKind::kPool;
  std::string name;
};

/// \brief Changes from the view of version `from` to that of version
/// `changed.version`.
struct FleetDelta {
  FleetVersion from = 0;
  bool full = false;  ///< `changed` is the whole view
  FleetView changed;  ///< its version is the one after the delta
  std::vector<Removal> removed;
};

[[nodiscard]] Json ToJson(const Removal& removal);
[[nodiscard]] Result<Removal> RemovalFromJson(const Json& json);
[[nodiscard]] Json ToJson(const FleetView& view);
[[nodiscard]] Result<FleetView> FleetViewFromJson(const Json& json);
[[nodiscard]] Json ToJson(const FleetDelta& delta);
[[nodiscard]] Result<FleetDelta> FleetDeltaFromJson(const Json& json);

/// \brief Updates `view` to the version of `delta`. Keys that are withdrawn in
/// `view` stay withdrawn.
/// \returns kVersionConflict, with `view` unchanged, if the delta ends before
/// the version of the view or starts after it.
[[nodiscard]] Status ApplyDelta(const FleetDelta& delta, FleetView* view);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_FLEET_DELTA_H_
