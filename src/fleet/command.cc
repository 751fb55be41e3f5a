#include "fleet/command.h"

#include <array>
#include <type_traits>
#include <utility>

#include "base/hash.h"

namespace boragewinch {

namespace {

constexpr std::size_t kMaxAddressBytes = 64;
constexpr std::size_t kSecretHashBytes = 64;  // BLAKE2b-256 in hexadecimal
// An ApplySheet of 16,384 hosts has about 2.5 MB.
constexpr std::size_t kMaxCommandBytes = 8 * 1024 * 1024;

constexpr std::array<std::string_view, std::variant_size_v<CommandBody>>
    kCommandNames{"apply_sheet",       "create_key",         "withdraw_key",
                  "drain_host",        "return_host",        "move_host",
                  "set_host_state",    "register_host",      "register_entry",
                  "reclaim_entry",     "declare_entry_lost", "retire_entry",
                  "change_allotments", "start_wave"};

void WriteRun(const EntryRun& run, Json* json) {
  (*json)["entry"] = run.entry.str();
  (*json)["incarnation"] = run.incarnation.str();
}

[[nodiscard]] Result<EntryRun> ReadRun(const Json& json) {
  EntryRun run;
  BW_TRY(run.entry, NameField<EntryName>(json, "entry"));
  BW_TRY(run.incarnation, NameField<Incarnation>(json, "incarnation"));
  return run;
}

[[nodiscard]] Result<std::vector<AllotmentTransfer>> ReadTransfers(
    const Json& json) {
  BW_TRY(const auto array, ArrayField(json, "transfers", kMaxIdsPerCommand));
  std::vector<AllotmentTransfer> transfers;
  for (const Json& item : array) {
    AllotmentTransfer transfer;
    BW_TRY(transfer.to, ReadRun(item));
    BW_TRY(transfer.team, NameField<TeamName>(item, "team"));
    BW_TRY(transfer.count, IntField(item, "count", 0, kMaxLimit));
    transfers.push_back(std::move(transfer));
  }
  return transfers;
}

// Write and Read for each kind of command: serialize its members to JSON, and
// validate and parse them.

void Write(const ApplySheet& body, Json* json) {
  (*json)["sheet"] = ToJson(body.sheet);
  (*json)["allow_lowering"] = body.allow_lowering;
  (*json)["running"] = ToJson(body.running);
  (*json)["wall_seconds"] = ::Json::Int64(body.wall_seconds);
}

[[nodiscard]] Status Read(const Json& json, ApplySheet* body) {
  BW_TRY(body->sheet, SheetFromJson(json["sheet"]));
  BW_TRY(body->allow_lowering, BoolFieldOr(json, "allow_lowering", false));
  BW_TRY(body->running, CountsField(json, "running"));
  BW_TRY(body->wall_seconds,
         IntFieldOr(json, "wall_seconds", 0, 0, kMaxCounter));
  return Ok();
}

void Write(const CreateKey& body, Json* json) {
  (*json)["id"] = body.id.str();
  (*json)["team"] = body.team.str();
  (*json)["secret_hash"] = body.secret_hash;
}

[[nodiscard]] Status Read(const Json& json, CreateKey* body) {
  BW_TRY(body->id, NameField<KeyId>(json, "id"));
  BW_TRY(body->team, NameField<TeamName>(json, "team"));
  BW_TRY(body->secret_hash, StringField(json, "secret_hash", kSecretHashBytes));
  const bool hexadecimal = body->secret_hash.find_first_not_of(
                               "0123456789abcdef") == std::string::npos;
  if (body->secret_hash.size() != kSecretHashBytes || !hexadecimal) {
    return Fail(ErrorCode::kInvalidField,
                "field \"secret_hash\" must be 64 hexadecimal digits");
  }
  return Ok();
}

void Write(const WithdrawKey& body, Json* json) {
  (*json)["ids"] = ArrayOfIds(body.ids);
}

[[nodiscard]] Status Read(const Json& json, WithdrawKey* body) {
  BW_TRY(body->ids,
         IdsField<std::vector<KeyId>>(json, "ids", kMaxIdsPerCommand));
  return Ok();
}

void Write(const DrainHost& body, Json* json) {
  (*json)["host"] = body.host.str();
  (*json)["lost"] = ArrayOfIds(body.lost);
}

[[nodiscard]] Status Read(const Json& json, DrainHost* body) {
  BW_TRY(body->host, NameField<HostName>(json, "host"));
  BW_TRY(body->lost, IdsField<std::set<HostName>>(json, "lost", kMaxHosts));
  return Ok();
}

void Write(const ReturnHost& body, Json* json) {
  (*json)["host"] = body.host.str();
}

[[nodiscard]] Status Read(const Json& json, ReturnHost* body) {
  BW_TRY(body->host, NameField<HostName>(json, "host"));
  return Ok();
}

void Write(const MoveHost& body, Json* json) {
  (*json)["host"] = body.host.str();
  (*json)["pool"] = body.pool.str();
  (*json)["drain_first"] = body.drain_first;
  (*json)["lost"] = ArrayOfIds(body.lost);
  if (body.lend) {
    (*json)["lend"] = true;
    (*json)["wall_seconds"] = ::Json::Int64(body.wall_seconds);
  }
}

[[nodiscard]] Status Read(const Json& json, MoveHost* body) {
  BW_TRY(body->host, NameField<HostName>(json, "host"));
  BW_TRY(body->pool, NameField<PoolName>(json, "pool"));
  BW_TRY(body->drain_first, BoolFieldOr(json, "drain_first", false));
  BW_TRY(body->lost, IdsField<std::set<HostName>>(json, "lost", kMaxHosts));
  BW_TRY(body->lend, BoolFieldOr(json, "lend", false));
  BW_TRY(body->wall_seconds,
         IntFieldOr(json, "wall_seconds", 0, 0, kMaxCounter));
  return Ok();
}

void Write(const SetHostState& body, Json* json) {
  (*json)["host"] = body.host.str();
  (*json)["state"] = std::string(kHostStates.Name(body.state));
  (*json)["assignment"] = Counter(body.assignment);
  (*json)["wall_seconds"] = ::Json::Int64(body.wall_seconds);
  if (body.boots)
    (*json)["boots"] = ::Json::Int64(*body.boots);
}

[[nodiscard]] Status Read(const Json& json, SetHostState* body) {
  BW_TRY(body->host, NameField<HostName>(json, "host"));
  BW_TRY(const auto state, StringField(json, "state"));
  BW_TRY(body->assignment, CounterField(json, "assignment"));
  BW_TRY(body->wall_seconds,
         IntFieldOr(json, "wall_seconds", 0, 0, kMaxCounter));
  if (json.isMember("boots")) {
    BW_TRY(body->boots, IntField(json, "boots", 0, kMaxCounter));
  }
  const auto parsed = kHostStates.Parse(state);
  if (!parsed)
    return Fail(ErrorCode::kInvalidField,
                "unknown host state \"" + state + "\"");
  body->state = *parsed;
  return Ok();
}

void Write(const RegisterHost& body, Json* json) {
  (*json)["host"] = body.host.str();
  (*json)["zone"] = body.zone.str();
  (*json)["rack"] = body.rack.str();
  (*json)["wall_seconds"] = ::Json::Int64(body.wall_seconds);
}

[[nodiscard]] Status Read(const Json& json, RegisterHost* body) {
  BW_TRY(body->host, NameField<HostName>(json, "host"));
  BW_TRY(body->zone, NameField<ZoneName>(json, "zone"));
  BW_TRY(body->rack, NameField<RackName>(json, "rack"));
  BW_TRY(body->wall_seconds,
         IntFieldOr(json, "wall_seconds", 0, 0, kMaxCounter));
  return Ok();
}

void Write(const RegisterEntry& body, Json* json) {
  (*json)["entry"] = body.entry.str();
  (*json)["zone"] = body.zone.str();
  (*json)["incarnation"] = body.incarnation.str();
  (*json)["address"] = body.address;
  (*json)["peer_address"] = body.peer_address;
}

[[nodiscard]] Status Read(const Json& json, RegisterEntry* body) {
  BW_TRY(body->entry, NameField<EntryName>(json, "entry"));
  BW_TRY(body->zone, NameField<ZoneName>(json, "zone"));
  BW_TRY(body->incarnation, NameField<Incarnation>(json, "incarnation"));
  BW_TRY(body->address, StringField(json, "address", kMaxAddressBytes));
  BW_TRY(body->peer_address,
         StringField(json, "peer_address", kMaxAddressBytes));
  return Ok();
}

template <typename Body>
void WriteEndOfRun(const Body& body, Json* json) {
  WriteRun(body.run, json);
  (*json)["transfers"] = ArrayOf(body.transfers);
}

template <typename Body>
[[nodiscard]] Status ReadEndOfRun(const Json& json, Body* body) {
  BW_TRY(body->run, ReadRun(json));
  BW_TRY(body->transfers, ReadTransfers(json));
  return Ok();
}

void Write(const ReclaimEntry& body, Json* json) {
  WriteEndOfRun(body, json);
}

[[nodiscard]] Status Read(const Json& json, ReclaimEntry* body) {
  return ReadEndOfRun(json, body);
}

void Write(const RetireEntry& body, Json* json) {
  WriteEndOfRun(body, json);
}

[[nodiscard]] Status Read(const Json& json, RetireEntry* body) {
  return ReadEndOfRun(json, body);
}

void Write(const DeclareEntryLost& body, Json* json) {
  (*json)["entry"] = body.entry.str();
  (*json)["transfers"] = ArrayOf(body.transfers);
}

[[nodiscard]] Status Read(const Json& json, DeclareEntryLost* body) {
  BW_TRY(body->entry, NameField<EntryName>(json, "entry"));
  BW_TRY(body->transfers, ReadTransfers(json));
  return Ok();
}

void Write(const ChangeAllotments& body, Json* json) {
  (*json)["changes"] = ArrayOf(body.changes);
}

[[nodiscard]] Status Read(const Json& json, ChangeAllotments* body) {
  BW_TRY(const auto array, ArrayField(json, "changes", kMaxEntryHosts));
  for (const Json& item : array) {
    AllotmentChange change;
    BW_TRY(change.run, ReadRun(item));
    BW_TRY(change.allotment_version, CounterField(item, "allotment_version"));
    BW_TRY(change.deltas, CountsField(item, "deltas", -kMaxLimit));
    body->changes.push_back(std::move(change));
  }
  return Ok();
}

void Write(const StartWave& body, Json* json) {
  (*json)["pool"] = body.pool.str();
  (*json)["wall_seconds"] = ::Json::Int64(body.wall_seconds);
}

[[nodiscard]] Status Read(const Json& json, StartWave* body) {
  BW_TRY(body->pool, OptionalName<PoolName>(json, "pool"));
  BW_TRY(body->wall_seconds,
         IntFieldOr(json, "wall_seconds", 0, 0, kMaxCounter));
  return Ok();
}

/// Reads a command body of kind `name`.
template <std::size_t I = 0>
[[nodiscard]] Result<CommandBody> ReadBody(const Json& json,
                                           const std::string& name) {
  if constexpr (I == std::variant_size_v<CommandBody>) {
    return Fail(ErrorCode::kInvalidField, "unknown command \"" + name + "\"");
  } else {
    if (name != kCommandNames[I])
      return ReadBody<I + 1>(json, name);
    std::variant_alternative_t<I, CommandBody> body;
    BW_CHECK(Read(json, &body));
    return CommandBody(std::move(body));
  }
}

template <typename Body>
constexpr bool kIsOperatorBody =
    std::is_same_v<Body, ApplySheet> || std::is_same_v<Body, CreateKey> ||
    std::is_same_v<Body, WithdrawKey> || std::is_same_v<Body, DrainHost> ||
    std::is_same_v<Body, ReturnHost> || std::is_same_v<Body, MoveHost> ||
    std::is_same_v<Body, DeclareEntryLost> || std::is_same_v<Body, StartWave>;

}  // namespace

Json ToJson(const AllotmentTransfer& transfer) {
  Json json(::Json::objectValue);
  WriteRun(transfer.to, &json);
  json["team"] = transfer.team.str();
  json["count"] = ::Json::Int64(transfer.count);
  return json;
}

Json ToJson(const AllotmentChange& change) {
  Json json(::Json::objectValue);
  WriteRun(change.run, &json);
  json["allotment_version"] = Counter(change.allotment_version);
  json["deltas"] = ToJson(change.deltas);
  return json;
}

std::string_view CommandName(const CommandBody& body) noexcept {
  return kCommandNames[body.index()];
}

bool IsOperatorCommand(const CommandBody& body) noexcept {
  return std::visit(
      [](const auto& kind) {
        return kIsOperatorBody<std::decay_t<decltype(kind)>>;
      },
      body);
}

Status CheckOperatorCall(const Command& command) {
  if (!IsOperatorCommand(command.body)) {
    return Fail(ErrorCode::kUnauthorized,
                "command " + std::string(CommandName(command.body)) +
                    " is reserved for the control service");
  }
  if (!command.from_operator() || command.call.operator_name.empty()) {
    return Fail(ErrorCode::kMissingField,
                "an operator's command needs \"operation_id\" and "
                "\"operator\"");
  }
  // Withdrawing a key must not fail because of a stale version; new keys and
  // waves can't conflict with other changes.
  const bool versioned = !std::holds_alternative<WithdrawKey>(command.body) &&
                         !std::holds_alternative<CreateKey>(command.body) &&
                         !std::holds_alternative<StartWave>(command.body);
  if (!command.call.expected_version && versioned) {
    return Fail(ErrorCode::kMissingField,
                "command " + std::string(CommandName(command.body)) +
                    " needs \"expected_version\"");
  }
  return Ok();
}

Json ToJson(const Command& command) {
  Json json(::Json::objectValue);
  json["command"] = std::string(CommandName(command.body));
  if (command.from_operator()) {
    json["operation_id"] = command.call.operation_id.str();
    json["operator"] = command.call.operator_name;
  }
  if (command.call.expected_version)
    json["expected_version"] = Counter(*command.call.expected_version);
  std::visit([&](const auto& body) { Write(body, &json); }, command.body);
  return json;
}

Result<Command> CommandFromJson(const Json& json) {
  if (!json.isObject())
    return Fail(ErrorCode::kInvalidField, "a command must be a JSON object");
  Command command;
  BW_TRY(const auto name, StringField(json, "command"));
  BW_TRY(command.call.operation_id,
         OptionalName<OperationId>(json, "operation_id"));
  BW_TRY(const auto operator_name, OptionalName<OperationId>(json, "operator"));
  command.call.operator_name = operator_name.str();
  if (json.isMember("expected_version")) {
    BW_TRY(command.call.expected_version,
           CounterField(json, "expected_version"));
  }
  BW_TRY(command.body, ReadBody(json, name));
  return command;
}

std::string EncodeCommand(const Command& command) {
  return WriteJson(ToJson(command));
}

Result<Command> DecodeCommand(std::string_view bytes) {
  if (bytes.size() > kMaxCommandBytes) {
    return Fail(ErrorCode::kTooLarge,
                "a command has at most " + std::to_string(kMaxCommandBytes) +
                    " bytes, found " + std::to_string(bytes.size()));
  }
  BW_TRY(const auto json, ParseTrustedJson(bytes));
  return CommandFromJson(json);
}

std::uint64_t CommandFingerprint(const Command& command) {
  Json json = ToJson(command);
  for (const char* filled_in : {"lost", "running", "transfers", "wall_seconds"})
    json.removeMember(filled_in);
  return Hash64(WriteJson(json));
}

}  // namespace boragewinch
