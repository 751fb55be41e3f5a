#include "fleet/fleet_state.h"

#include <utility>

#include "base/hash.h"
#include "base/invariant.h"
#include "fleet/codec.h"

namespace boragewinch {

namespace {

constexpr std::int64_t kSnapshotFormat = 1;

[[nodiscard]] bool NeedsOperator(const CommandBody& body) noexcept {
  return std::holds_alternative<ApplySheet>(body) ||
         std::holds_alternative<CreateKey>(body) ||
         std::holds_alternative<DeclareEntryLost>(body);
}

template <typename Id, typename T>
void CopyChanged(const std::map<Id, T>& all,
                 FleetVersion since,
                 std::map<Id, T>* changed) {
  for (const auto& [id, value] : all) {
    if (value.version > since)
      changed->emplace_hint(changed->end(), id, value);
  }
}

}  // namespace

CommandResult FleetState::Apply(std::uint64_t index, std::string_view bytes) {
  CommandResult result;
  result.version = view_.version;
  result.index = index;
  if (!CheckInvariant(Invariant::kConfiguration, index > last_index_,
                      "a log entry was applied twice or out of order")) {
    result.errors.push_back(Error{ErrorCode::kConflict,
                                  "log index " + std::to_string(index) +
                                      " follows " + std::to_string(last_index_),
                                  std::nullopt});
    return result;
  }
  last_index_ = index;
  if (bytes.empty()) {
    result.accepted = true;
    return result;
  }
  const FleetVersion before = view_.version;
  if (const auto command = DecodeCommand(bytes))
    result = ExecuteOnce(command.value());
  else
    result.errors.push_back(command.error());
  CheckInvariant(Invariant::kConfiguration, view_.version >= before,
                 "the fleet version decreased");
  return result;
}

CommandResult FleetState::ExecuteOnce(const Command& command) {
  CommandResult result;
  result.version = view_.version;
  result.index = last_index_;
  const OperationId& id = command.call.operation_id;
  const std::uint64_t fingerprint =
      command.from_operator() ? CommandFingerprint(command) : 0;
  if (const StoredOperation* stored = operations_.Find(id)) {
    if (stored->fingerprint == fingerprint) {
      result = stored->result;
      result.resent = true;
      return result;
    }
    result.errors.push_back(
        Error{ErrorCode::kConflict,
              "operation id " + id.str() + " was used for another command (" +
                  stored->command + " by " + stored->operator_name + ")",
              std::nullopt});
    return result;
  }
  Status status = CheckCall(command);
  if (status) {
    status = std::visit(
        [&](const auto& body) { return Execute(body, command.call, &result); },
        command.body);
  }
  result.accepted = status.has_value();
  result.version = view_.version;
  if (!status && result.errors.empty())
    result.errors.push_back(status.error());
  if (result.errors.size() > kMaxResultErrors)
    result.errors.resize(kMaxResultErrors, result.errors.front());
  if (result.notes.size() > kMaxResultNotes)
    result.notes.resize(kMaxResultNotes);
  if (command.from_operator()) {
    if (result.changed)
      operator_version_ = view_.version;
    operations_.Store(id, {fingerprint, command.call.operator_name,
                           std::string(CommandName(command.body)), result});
  }
  return result;
}

Status FleetState::CheckCall(const Command& command) const {
  if (!command.from_operator()) {
    if (NeedsOperator(command.body))
      return CheckOperatorCall(command);
    return Ok();
  }
  BW_CHECK(CheckOperatorCall(command));
  if (!command.call.expected_version)
    return Ok();
  const FleetVersion expected = *command.call.expected_version;
  if (expected >= operator_version_ && expected <= view_.version)
    return Ok();
  std::string winner = operations_.FirstChangeAfter(expected);
  if (winner.empty())
    winner = "an operation that is no longer in the operation table";
  return Fail(ErrorCode::kVersionConflict,
              expected > view_.version
                  ? "version " + std::to_string(expected) +
                        " does not exist yet, the current version is " +
                        std::to_string(view_.version)
                  : "the fleet has changed since version " +
                        std::to_string(expected) + " by " + winner +
                        ", the current version is " +
                        std::to_string(view_.version));
}

FleetVersion FleetState::BumpVersion(CommandResult* result) {
  if (!result->changed) {
    result->changed = true;
    ++view_.version;
  }
  return view_.version;
}

void FleetState::AddRemoval(EntityKind kind, const std::string& name) {
  removals_.push_back({view_.version, kind, name});
  while (removals_.size() > kMaxRemovals) {
    removals_floor_ = removals_.front().version;
    removals_.pop_front();
  }
}

std::set<KeyId> FleetState::Tombstones() const {
  std::set<KeyId> ids;
  for (const auto& [id, key] : view_.keys) {
    if (key.withdrawn)
      ids.insert(ids.end(), id);
  }
  return ids;
}

FleetDelta FleetState::DeltaSince(FleetVersion version) const {
  FleetDelta delta;
  delta.from = version;
  if (version == 0 || version < removals_floor_) {
    delta.full = true;
    delta.changed = view_;
    return delta;
  }
  delta.changed.version = view_.version;
  if (version >= view_.version)
    return delta;
  CopyChanged(view_.pools, version, &delta.changed.pools);
  CopyChanged(view_.teams, version, &delta.changed.teams);
  CopyChanged(view_.queues, version, &delta.changed.queues);
  CopyChanged(view_.hosts, version, &delta.changed.hosts);
  CopyChanged(view_.keys, version, &delta.changed.keys);
  for (const Removal& removal : removals_) {
    if (removal.version > version)
      delta.removed.push_back(removal);
  }
  return delta;
}

std::string FleetState::Snapshot() const {
  Json json(::Json::objectValue);
  json["format"] = ::Json::Int64(kSnapshotFormat);
  json["last_index"] = Counter(last_index_);
  json["view"] = ToJson(view_);
  json["operator_version"] = Counter(operator_version_);
  json["ledger"] = ToJson(ledger_);
  Json& drains = json["drains"] = Json(::Json::objectValue);
  for (const auto& [host, drain] : drains_) {
    drains[host.str()]["version"] = Counter(drain.version);
    drains[host.str()]["operator"] = drain.operator_name;
    if (drain.boots)
      drains[host.str()]["boots"] = ::Json::Int64(*drain.boots);
  }
  Json& moves = json["moves"] = Json(::Json::objectValue);
  for (const auto& [host, move] : moves_) {
    Json& item = moves[host.str()];
    item["pool"] = move.pool.str();
    item["moved"] = move.moved;
    item["version"] = Counter(move.version);
    item["operator"] = move.operator_name;
  }
  json["removals"] = ArrayOf(removals_);
  json["removals_floor"] = Counter(removals_floor_);
  json["answers"] = operations_.Save();
  return WriteJson(json);
}

Result<FleetState> FleetState::Restore(std::string_view snapshot) {
  BW_TRY(const auto json, ParseTrustedJson(snapshot));
  FleetState state;
  BW_TRY(const auto format,
         IntField(json, "format", kSnapshotFormat, kSnapshotFormat));
  static_cast<void>(format);
  BW_TRY(state.last_index_, CounterField(json, "last_index"));
  BW_TRY(state.view_, FleetViewFromJson(json["view"]));
  BW_TRY(state.operator_version_, CounterField(json, "operator_version"));
  BW_TRY(state.ledger_, LedgerFromJson(json["ledger"]));
  for (const char* table : {"drains", "moves"}) {
    if (!json[table].isObject()) {
      return Fail(ErrorCode::kInvalidField,
                  "field \"" + std::string(table) + "\" must be an object");
    }
  }
  for (const auto& host : json["drains"].getMemberNames()) {
    const Json& item = json["drains"][host];
    DrainRecord drain;
    BW_TRY(drain.version, CounterField(item, "version"));
    BW_TRY(drain.operator_name, StringField(item, "operator"));
    if (item.isMember("boots")) {
      BW_TRY(drain.boots, IntField(item, "boots", 0, INT64_MAX));
    }
    state.drains_.emplace(host, std::move(drain));
  }
  for (const auto& host : json["moves"].getMemberNames()) {
    const Json& item = json["moves"][host];
    PendingMove move;
    BW_TRY(move.pool, NameField<PoolName>(item, "pool"));
    BW_TRY(move.moved, BoolFieldOr(item, "moved", false));
    BW_TRY(move.version, CounterField(item, "version"));
    BW_TRY(move.operator_name, StringField(item, "operator"));
    state.moves_.emplace(host, std::move(move));
  }
  BW_TRY(const auto removals, ArrayField(json, "removals", kMaxRemovals));
  for (const Json& item : removals) {
    BW_TRY(auto removal, RemovalFromJson(item));
    state.removals_.push_back(std::move(removal));
  }
  BW_TRY(state.removals_floor_, CounterField(json, "removals_floor"));
  BW_TRY(const auto operations,
         ArrayField(json, "answers", kMaxStoredOperations));
  BW_TRY(state.operations_, OperationTable::Load(operations));
  return state;
}

std::uint64_t FleetState::hash() const {
  return Hash64(Snapshot());
}

}  // namespace boragewinch
