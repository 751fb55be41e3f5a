#include "fleet/codec.h"

#include <utility>

namespace boragewinch {

namespace {

constexpr std::size_t kMaxAddressBytes = 64;
constexpr std::size_t kMaxHashBytes = 128;

}  // namespace

Json ToJson(const Pool& pool) {
  Json json(::Json::objectValue);
  json["name"] = pool.name.str();
  json["min_available"] = ::Json::Int64(pool.min_available);
  json["spare"] = pool.spare;
  json["maintenance_days"] = ::Json::Int64(pool.maintenance_days);
  json["wave_since"] = ::Json::Int64(pool.wave_since);
  json["version"] = Counter(pool.version);
  return json;
}

Json ToJson(const Team& team) {
  Json json(::Json::objectValue);
  json["name"] = team.name.str();
  json["share"] = ::Json::Int64(team.share);
  json["limit"] = ::Json::Int64(team.limit);
  json["version"] = Counter(team.version);
  return json;
}

Json ToJson(const Queue& queue) {
  Json json(::Json::objectValue);
  json["name"] = queue.name.str();
  json["pool"] = queue.pool.str();
  json["team"] = queue.team.str();
  json["open"] = queue.open;
  json["version"] = Counter(queue.version);
  return json;
}

Json ToJson(const Host& host) {
  Json json(::Json::objectValue);
  json["name"] = host.name.str();
  json["pool"] = host.pool.str();
  json["zone"] = host.zone.str();
  json["rack"] = host.rack.str();
  json["state"] = std::string(kHostStates.Name(host.state));
  json["assignment"] = Counter(host.assignment);
  json["maintained_at"] = ::Json::Int64(host.maintained_at);
  json["version"] = Counter(host.version);
  if (!host.lent_from.empty()) {
    json["lent_from"] = host.lent_from.str();
    json["lent_at"] = ::Json::Int64(host.lent_at);
  }
  return json;
}

Json ToJson(const Key& key) {
  Json json(::Json::objectValue);
  json["id"] = key.id.str();
  json["team"] = key.team.str();
  json["secret_hash"] = key.secret_hash;
  json["withdrawn"] = key.withdrawn;
  json["version"] = Counter(key.version);
  return json;
}

Json ToJson(const EntryHost& entry) {
  Json json(::Json::objectValue);
  json["name"] = entry.name.str();
  json["zone"] = entry.zone.str();
  json["incarnation"] = entry.incarnation.str();
  json["address"] = entry.address;
  json["peer_address"] = entry.peer_address;
  json["allotment"] = ToJson(entry.allotment);
  json["allotment_version"] = Counter(entry.allotment_version);
  return json;
}

Json ToJson(const TeamCounts& counts) {
  Json json(::Json::objectValue);
  for (const auto& [team, count] : counts)
    json[team.str()] = ::Json::Int64(count);
  return json;
}

Result<Pool> PoolFromJson(const Json& json) {
  Pool pool;
  BW_TRY(pool.name, NameField<PoolName>(json, "name"));
  BW_TRY(pool.min_available,
         IntFieldOr(json, "min_available", 0, 0, kMaxHosts));
  BW_TRY(pool.spare, BoolFieldOr(json, "spare", false));
  BW_TRY(pool.maintenance_days,
         IntFieldOr(json, "maintenance_days", pool.maintenance_days, 1,
                    kMaxMaintenanceDays));
  BW_TRY(pool.wave_since, IntFieldOr(json, "wave_since", 0, 0, kMaxCounter));
  BW_TRY(pool.version, CounterField(json, "version"));
  return pool;
}

Result<Team> TeamFromJson(const Json& json) {
  Team team;
  BW_TRY(team.name, NameField<TeamName>(json, "name"));
  BW_TRY(team.share, IntField(json, "share", 1, kMaxShare));
  BW_TRY(team.limit, IntField(json, "limit", 0, kMaxLimit));
  BW_TRY(team.version, CounterField(json, "version"));
  return team;
}

Result<Queue> QueueFromJson(const Json& json) {
  Queue queue;
  BW_TRY(queue.name, NameField<QueueName>(json, "name"));
  BW_TRY(queue.pool, NameField<PoolName>(json, "pool"));
  BW_TRY(queue.team, NameField<TeamName>(json, "team"));
  BW_TRY(queue.open, BoolFieldOr(json, "open", false));
  BW_TRY(queue.version, CounterField(json, "version"));
  return queue;
}

Result<Host> HostFromJson(const Json& json) {
  Host host;
  BW_TRY(host.name, NameField<HostName>(json, "name"));
  BW_TRY(host.pool, NameField<PoolName>(json, "pool"));
  BW_TRY(host.zone, NameField<ZoneName>(json, "zone"));
  BW_TRY(host.rack, NameField<RackName>(json, "rack"));
  BW_TRY(const auto state, StringFieldOr(json, "state", "active"));
  const auto parsed = kHostStates.Parse(state);
  if (!parsed)
    return Fail(ErrorCode::kInvalidField,
                "unknown host state \"" + state + "\"");
  host.state = *parsed;
  BW_TRY(host.assignment, CounterField(json, "assignment"));
  BW_TRY(host.maintained_at,
         IntFieldOr(json, "maintained_at", 0, 0, kMaxCounter));
  BW_TRY(host.version, CounterField(json, "version"));
  BW_TRY(host.lent_from, OptionalName<PoolName>(json, "lent_from"));
  BW_TRY(host.lent_at, IntFieldOr(json, "lent_at", 0, 0, kMaxCounter));
  return host;
}

Result<Key> KeyFromJson(const Json& json) {
  Key key;
  BW_TRY(key.id, NameField<KeyId>(json, "id"));
  BW_TRY(key.team, OptionalName<TeamName>(json, "team"));
  BW_TRY(key.secret_hash,
         StringFieldOr(json, "secret_hash", "", kMaxHashBytes));
  BW_TRY(key.withdrawn, BoolFieldOr(json, "withdrawn", false));
  BW_TRY(key.version, CounterField(json, "version"));
  return key;
}

Result<EntryHost> EntryHostFromJson(const Json& json) {
  EntryHost entry;
  BW_TRY(entry.name, NameField<EntryName>(json, "name"));
  BW_TRY(entry.zone, NameField<ZoneName>(json, "zone"));
  BW_TRY(entry.incarnation, NameField<Incarnation>(json, "incarnation"));
  BW_TRY(entry.address, StringField(json, "address", kMaxAddressBytes));
  BW_TRY(entry.peer_address,
         StringField(json, "peer_address", kMaxAddressBytes));
  BW_TRY(entry.allotment, CountsField(json, "allotment"));
  BW_TRY(entry.allotment_version, CounterField(json, "allotment_version"));
  return entry;
}

Result<TeamCounts> CountsField(const Json& json,
                               const char* name,
                               std::int64_t low) {
  TeamCounts counts;
  if (!json.isObject() || !json.isMember(name) || json[name].isNull())
    return counts;
  const Json& object = json[name];
  if (!object.isObject()) {
    return Fail(ErrorCode::kInvalidField,
                "field \"" + std::string(name) + "\" must be an object");
  }
  // More than kMaxTeams: transfers may add removed teams to a full allotment.
  constexpr std::size_t kMaxCounts = 4 * kMaxTeams;
  if (object.size() > kMaxCounts) {
    return Fail(ErrorCode::kTooLarge,
                "field \"" + std::string(name) + "\" lists at most " +
                    std::to_string(kMaxCounts) + " teams");
  }
  for (const auto& team : object.getMemberNames()) {
    if (!IsValidName(team)) {
      return Fail(ErrorCode::kInvalidField, "field \"" + std::string(name) +
                                                "\" has a malformed team name");
    }
    BW_TRY(const auto count, IntField(object, team.c_str(), low, kMaxLimit));
    counts.emplace(team, count);
  }
  return counts;
}

Result<std::uint64_t> CounterField(const Json& json, const char* name) {
  BW_TRY(const auto value, IntFieldOr(json, name, 0, 0, kMaxCounter));
  return static_cast<std::uint64_t>(value);
}

Result<Json> ArrayField(const Json& json, const char* name, std::size_t max) {
  if (!json.isObject())
    return Fail(ErrorCode::kInvalidField, "a JSON object is expected");
  if (!json.isMember(name) || json[name].isNull())
    return Json(::Json::arrayValue);
  const Json& array = json[name];
  if (!array.isArray()) {
    return Fail(ErrorCode::kInvalidField,
                "field \"" + std::string(name) + "\" must be an array");
  }
  if (array.size() > max) {
    return Fail(ErrorCode::kTooLarge,
                "field \"" + std::string(name) + "\" has " +
                    std::to_string(array.size()) + " elements, at most " +
                    std::to_string(max) + " are allowed");
  }
  return array;
}

Result<std::string> NameText(const Json& json, const char* name) {
  BW_TRY(auto text, StringField(json, name, kMaxNameBytes));
  if (!IsValidName(text)) {
    return Fail(ErrorCode::kInvalidField,
                "field \"" + std::string(name) +
                    "\" must be 1 to 64 characters of A-Z a-z 0-9 _ -");
  }
  return text;
}

}  // namespace boragewinch
