#include "fleet/fleet_delta.h"

#include <utility>

#include "base/invariant.h"
#include "fleet/codec.h"

namespace boragewinch {

namespace {

template <typename Id, typename T>
void Merge(const std::map<Id, T>& changed, std::map<Id, T>* into) {
  for (const auto& [id, value] : changed)
    (*into)[id] = value;
}

template <typename Id, typename T, typename Read>
[[nodiscard]] Status ReadAll(const Json& json,
                             const char* name,
                             std::size_t max,
                             Read read,
                             std::map<Id, T>* into) {
  BW_TRY(const auto array, ArrayField(json, name, max));
  for (const Json& item : array) {
    BW_TRY(auto value, read(item));
    if constexpr (requires { value.name; })
      into->emplace(value.name, value);
    else
      into->emplace(value.id, value);
  }
  return Ok();
}

void Remove(const Removal& removal, FleetView* view) {
  switch (removal.kind) {
    case EntityKind::kPool:
      view->pools.erase(PoolName(removal.name));
      return;
    case EntityKind::kTeam:
      view->teams.erase(TeamName(removal.name));
      return;
    case EntityKind::kQueue:
      view->queues.erase(QueueName(removal.name));
      return;
    case EntityKind::kHost:
      view->hosts.erase(HostName(removal.name));
      return;
  }
}

}  // namespace

Json ToJson(const Removal& removal) {
  Json json(::Json::objectValue);
  json["version"] = Counter(removal.version);
  json["kind"] = std::string(kEntityKinds.Name(removal.kind));
  json["name"] = removal.name;
  return json;
}

Result<Removal> RemovalFromJson(const Json& json) {
  Removal removal;
  BW_TRY(removal.version, CounterField(json, "version"));
  BW_TRY(const auto kind, StringField(json, "kind"));
  BW_TRY(removal.name, NameText(json, "name"));
  const auto parsed = kEntityKinds.Parse(kind);
  if (!parsed)
    return Fail(ErrorCode::kInvalidField, "unknown kind \"" + kind + "\"");
  removal.kind = *parsed;
  return removal;
}

Json ToJson(const FleetView& view) {
  Json json(::Json::objectValue);
  json["version"] = Counter(view.version);
  json["pools"] = ArrayOfValues(view.pools);
  json["teams"] = ArrayOfValues(view.teams);
  json["queues"] = ArrayOfValues(view.queues);
  json["hosts"] = ArrayOfValues(view.hosts);
  json["keys"] = ArrayOfValues(view.keys);
  return json;
}

Result<FleetView> FleetViewFromJson(const Json& json) {
  FleetView view;
  BW_TRY(view.version, CounterField(json, "version"));
  BW_CHECK(ReadAll(json, "pools", kMaxPools, PoolFromJson, &view.pools));
  BW_CHECK(ReadAll(json, "teams", kMaxTeams, TeamFromJson, &view.teams));
  BW_CHECK(ReadAll(json, "queues", kMaxQueues, QueueFromJson, &view.queues));
  BW_CHECK(ReadAll(json, "hosts", kMaxHosts, HostFromJson, &view.hosts));
  BW_CHECK(ReadAll(json, "keys", kMaxKeys, KeyFromJson, &view.keys));
  return view;
}

Json ToJson(const FleetDelta& delta) {
  Json json = ToJson(delta.changed);
  json["from"] = Counter(delta.from);
  json["full"] = delta.full;
  json["removed"] = ArrayOf(delta.removed);
  return json;
}

Result<FleetDelta> FleetDeltaFromJson(const Json& json) {
  FleetDelta delta;
  BW_TRY(delta.changed, FleetViewFromJson(json));
  BW_TRY(delta.from, CounterField(json, "from"));
  BW_TRY(delta.full, BoolFieldOr(json, "full", false));
  BW_TRY(const auto removed, ArrayField(json, "removed", kMaxRemovals));
  for (const Json& item : removed) {
    BW_TRY(auto removal, RemovalFromJson(item));
    delta.removed.push_back(std::move(removal));
  }
  return delta;
}

Status ApplyDelta(const FleetDelta& delta, FleetView* view) {
  const FleetVersion to = delta.changed.version;
  if (to < view->version || (!delta.full && delta.from > view->version)) {
    return Fail(ErrorCode::kVersionConflict,
                "a delta from version " + std::to_string(delta.from) + " to " +
                    std::to_string(to) + " can't be applied to version " +
                    std::to_string(view->version));
  }
  const FleetVersion before = view->version;
  const auto old_keys = view->keys;
  if (delta.full) {
    *view = delta.changed;
  } else {
    for (const Removal& removal : delta.removed)
      Remove(removal, view);
    Merge(delta.changed.pools, &view->pools);
    Merge(delta.changed.teams, &view->teams);
    Merge(delta.changed.queues, &view->queues);
    Merge(delta.changed.hosts, &view->hosts);
    Merge(delta.changed.keys, &view->keys);
    view->version = to;
  }
  // A tombstone may reach this process before its withdrawal is in the log.
  for (const auto& [id, key] : old_keys) {
    if (key.withdrawn)
      view->keys.try_emplace(id, key).first->second.withdrawn = true;
  }
  CheckInvariant(Invariant::kConfiguration, view->version >= before,
                 "the version of an entry host's view decreased");
  return Ok();
}

}  // namespace boragewinch
