#include "control/operator_api.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <utility>

#include "base/invariant.h"
#include "base/secret.h"
#include "control/control_service.h"
#include "fleet/sheet_diff.h"
#include "fleet/sheet_parser.h"
#include "policy/sheet_transition.h"

namespace boragewinch {

namespace {

// Freshness bound of an entry host (src/entry/entry_config.h) plus the margin
// for clock drift.
constexpr Millis kFreshnessExpiry = GranterLease(Millis(5'000));
constexpr ::Json::ArrayIndex kMaxListedOperations = 100;
constexpr char kOperatorHeader[] = "x-boragewinch-operator";

[[nodiscard]] int StatusOf(ErrorCode code) noexcept {
  switch (code) {
    case ErrorCode::kVersionConflict:
    case ErrorCode::kBudgetExceeded:
    case ErrorCode::kLimitExceeded:
    case ErrorCode::kNeedsConfirmation:
    case ErrorCode::kConflict:
    case ErrorCode::kDuplicateName:
      return 409;
    case ErrorCode::kUnknownName:
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kUnauthorized:
      return 403;
    case ErrorCode::kNotLeader:
    case ErrorCode::kUnavailable:
    case ErrorCode::kTableFull:
    case ErrorCode::kTimeout:
    case ErrorCode::kStorageWrite:
      return 503;
    default:
      return 400;
  }
}

[[nodiscard]] HttpResponse ErrorResponse(const std::vector<Error>& errors) {
  Json json;
  json["error"] = std::string(kErrorCodes.Name(errors.front().code));
  json["detail"] = errors.front().detail;
  Json list(::Json::arrayValue);
  for (const Error& error : errors) {
    Json item;
    item["error"] = std::string(kErrorCodes.Name(error.code));
    item["detail"] = error.detail;
    if (error.position) {
      item["file"] = error.position->file;
      item["line"] = error.position->line;
      item["column"] = error.position->column;
    }
    list.append(std::move(item));
  }
  json["errors"] = std::move(list);
  return {StatusOf(errors.front().code), WriteJson(json)};
}

[[nodiscard]] HttpResponse ToResponse(const Result<Json>& result) {
  if (result)
    return {200, WriteJson(result.value())};
  return ErrorResponse({result.error()});
}

[[nodiscard]] std::string Query(const HttpRequest& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

/// Converts {"operation_id", "operator", "expected_version", "command": {...}}
/// to the flat JSON of a log entry.
[[nodiscard]] Result<Command> ReadOperation(const Json& json) {
  if (!json.isObject() || !json["command"].isObject()) {
    return Fail(ErrorCode::kMissingField,
                "an operation needs an object \"command\"");
  }
  Json flat = json["command"];
  BW_TRY(const auto type, StringField(flat, "type"));
  flat.removeMember("type");
  // Operators withdraw a single "id"; a log entry has a list of "ids".
  if (type == "withdraw_key" && flat.isMember("id")) {
    if (flat.isMember("ids"))
      return Fail(ErrorCode::kInvalidField, "name either \"id\" or \"ids\"");
    flat["ids"].append(flat["id"]);
    flat.removeMember("id");
  }
  flat["command"] = type;
  for (const char* name : {"operation_id", "operator", "expected_version"}) {
    if (json.isMember(name))
      flat[name] = json[name];
  }
  BW_TRY(Command command, CommandFromJson(flat));
  BW_CHECK(CheckOperatorCall(command));
  return command;
}

}  // namespace

ControlOperatorApi::ControlOperatorApi(ControlService& service,
                                       LeaderController& controller,
                                       EventLoop& loop)
    : service_(service),
      controller_(controller),
      loop_(loop),
      secret_hash_(HashSecret(service.options().operator_secret)) {}

bool ControlOperatorApi::Authorized(const HttpRequest& request) const {
  const auto secret = request.headers.find(kOperatorHeader);
  return secret != request.headers.end() &&
         SecretMatches(secret->second, secret_hash_);
}

bool ControlOperatorApi::ServedByFollower(const HttpRequest& request) const {
  return request.method == "GET" && request.path == "/v1/status";
}

void ControlOperatorApi::Serve(const HttpRequest& request,
                               const Respond& respond) {
  const bool post = request.method == "POST";
  const std::string& path = request.path;
  if (post && path == "/v1/operations") {
    HandleOperation(request, respond);
  } else if (post && path == "/v1/sheets") {
    HandleSheet(request, respond);
  } else if (request.method != "GET") {
    respond({405, R"({"error":"protocol","detail":"method not allowed"})"});
  } else if (path == "/v1/status") {
    respond({200, WriteJson(StatusJson())});
  } else if (path == "/v1/fleet") {
    respond({200, WriteJson(FleetJson())});
  } else if (path == "/v1/in-force") {
    respond({200, WriteJson(InForceJson(request))});
  } else if (path == "/v1/waves") {
    respond({200, WriteJson(controller_.WavesJson(loop_.now()))});
  } else if (path == "/v1/history") {
    respond({200, WriteJson(HistoryJson())});
  } else if (path == "/v1/explain") {
    respond(ToResponse(controller_.Explain(
        Query(request, "kind"), Query(request, "name"), loop_.now())));
  } else {
    respond({404, R"({"error":"not_found","detail":"no such path"})"});
  }
}

void ControlOperatorApi::HandleOperation(const HttpRequest& request,
                                         const Respond& respond) {
  const Result<Json> json = ParseJson(request.body);
  if (!json) {
    respond(ErrorResponse({json.error()}));
    return;
  }
  Result<Command> command = ReadOperation(json.value());
  if (!command) {
    respond(ErrorResponse({command.error()}));
    return;
  }
  Submit(std::move(command).value(), respond);
}

void ControlOperatorApi::SetLeaderFields(Command* command) const {
  const auto unavailable =
      service_.reports().Unavailable(service_.state().view(), loop_.now());
  if (auto* drain = std::get_if<DrainHost>(&command->body))
    drain->lost = unavailable;
  if (auto* move = std::get_if<MoveHost>(&command->body)) {
    move->lost = unavailable;
    move->lend = false;  // only the control service lends
  }
  if (auto* sheet = std::get_if<ApplySheet>(&command->body)) {
    sheet->running = service_.reports().Running();
    sheet->wall_seconds = loop_.unix_seconds();
  }
  if (auto* wave = std::get_if<StartWave>(&command->body))
    wave->wall_seconds = loop_.unix_seconds();
  if (auto* lost = std::get_if<DeclareEntryLost>(&command->body))
    lost->transfers = controller_.TransfersFrom(lost->entry, loop_.now());
}

void ControlOperatorApi::Submit(Command command, const Respond& respond) {
  SetLeaderFields(&command);
  service_.Propose(command, [respond](const Result<CommandResult>& result) {
    if (!result)
      respond(ErrorResponse({result.error()}));
    else if (!result.value().accepted)
      respond(ErrorResponse(result.value().errors));
    else
      respond({200, WriteJson(ToJson(result.value()))});
  });
}

void ControlOperatorApi::HandleSheet(const HttpRequest& request,
                                     const Respond& respond) {
  const auto read = [&]() -> Result<Json> { return ParseJson(request.body); }();
  if (!read || !read.value().isObject()) {
    respond(ErrorResponse(
        {read ? Error{ErrorCode::kInvalidField,
                      "the body must be a JSON object", std::nullopt}
              : read.error()}));
    return;
  }
  const Json& json = read.value();
  const auto mode = StringField(json, "mode");
  const auto file = StringFieldOr(json, "file", "sheet", 256);
  const auto text = StringField(json, "text", kMaxSheetBytes);
  for (const auto* field : {&mode, &file, &text}) {
    if (!*field) {
      respond(ErrorResponse({field->error()}));
      return;
    }
  }
  std::vector<Error> errors;
  Sheet sheet = ParseSheet(text.value(), file.value(), &errors);
  if (!errors.empty()) {
    respond(ErrorResponse(errors));
    return;
  }
  if (mode.value() == "apply") {
    Json flat = json;
    for (const char* name : {"mode", "file", "text"})
      flat.removeMember(name);
    flat["command"] = "apply_sheet";
    flat["sheet"] = ToJson(sheet);
    Result<Command> command = CommandFromJson(flat);
    Status allowed = command ? CheckOperatorCall(command.value())
                             : Status(outcome::failure(command.error()));
    if (!allowed)
      respond(ErrorResponse({allowed.error()}));
    else
      Submit(std::move(command).value(), respond);
    return;
  }
  if (mode.value() != "check" && mode.value() != "diff") {
    respond(ErrorResponse(
        {Error{ErrorCode::kInvalidField, "mode must be check, diff or apply",
               std::nullopt}}));
    return;
  }
  const SheetDiff diff =
      DiffSheet(service_.state().view(), sheet, service_.reports().Running());
  Json result = ToJson(diff);
  result["version"] = ::Json::UInt64(service_.state().version());
  if (mode.value() == "diff")
    result["plan"] = SheetPlanJson(sheet);
  respond({200, WriteJson(result)});
}

Json ControlOperatorApi::SheetPlanJson(const Sheet& sheet) const {
  const FleetView& before = service_.state().view();
  const FleetView after = ViewAfter(before, sheet);
  const std::set<HostName> lost =
      service_.reports().Unavailable(before, loop_.now());
  // Workers don't report their slots to the control group, so shares are shown
  // as numbers of hosts in a fully loaded fleet.
  const auto serving = std::count_if(
      after.hosts.begin(), after.hosts.end(), [&after](const auto& item) {
        const auto pool = after.pools.find(item.second.pool);
        return pool != after.pools.end() && !pool->second.spare;
      });
  return ToJson(PlanSheet({.before = before,
                           .after = after,
                           .lost = lost,
                           .running = service_.reports().Running(),
                           .slots = serving}),
                "hosts");
}

Json ControlOperatorApi::StatusJson() const {
  const raft::Replica& replica = service_.replica();
  Json json;
  json["name"] = service_.options().name;
  json["replica"] = replica.id().str();
  json["role"] = std::string(raft::kRoles.Name(replica.role()));
  json["leader"] = replica.leader().str();
  json["term"] = ::Json::UInt64(replica.term());
  json["commit"] = ::Json::UInt64(replica.commit_index());
  json["version"] = ::Json::UInt64(service_.state().version());
  json["hash"] = ::Json::UInt64(service_.state().hash());
  json["replicas"] = ToJson(replica.configuration());
  if (replica.failure())
    json["failure"] = replica.failure()->Text();
  for (const auto& [invariant, name] : kInvariants.entries) {
    const InvariantCount count = invariant_count(invariant);
    Json& entry = json["invariants"][std::string(name)];
    entry["checked"] = ::Json::UInt64(count.checked);
    entry["violated"] = ::Json::UInt64(count.violated);
  }
  return json;
}

Json ControlOperatorApi::FleetJson() const {
  const FleetState& state = service_.state();
  Json json = ToJson(state.view());
  for (Json& key : json["keys"])
    key.removeMember("secret_hash");
  json["operator_version"] = ::Json::UInt64(state.operator_version());
  json["entries"] = ArrayOfValues(state.ledger().entries);
  Json workers(::Json::arrayValue);
  for (const auto& [name, host] : state.view().hosts) {
    Json item;
    item["host"] = name.str();
    const auto status = service_.reports().StatusOf(name, loop_.now());
    item["heard"] = status && !status->lost;
    item["leaving"] = status && status->leaving;
    workers.append(std::move(item));
  }
  json["workers"] = std::move(workers);
  return json;
}

Json ControlOperatorApi::HistoryJson() const {
  const OperationTable& operations = service_.state().operations();
  Json list(::Json::arrayValue);
  const auto& order = operations.order();
  // Newest first.
  for (auto id = order.rbegin();
       id != order.rend() && list.size() < kMaxListedOperations; ++id) {
    const StoredOperation* stored = operations.Find(*id);
    Json item = ToJson(stored->result);
    item["operation_id"] = id->str();
    item["operator"] = stored->operator_name;
    item["command"] = stored->command;
    list.append(std::move(item));
  }
  Json json;
  json["operations"] = std::move(list);
  return json;
}

Json ControlOperatorApi::InForceJson(const HttpRequest& request) const {
  const auto version = static_cast<FleetVersion>(
      std::strtoull(Query(request, "version").c_str(), nullptr, 10));
  Json missing(::Json::arrayValue);
  Json expired(::Json::arrayValue);
  for (const auto& [name, entry] : service_.state().ledger().entries) {
    const auto latest = service_.reports().latest().find(name);
    const FleetVersion has = latest == service_.reports().latest().end()
                                 ? 0
                                 : latest->second.report.version;
    if (has >= version)
      continue;
    Json item;
    item["entry"] = name.str();
    item["zone"] = entry.zone.str();
    item["version"] = ::Json::UInt64(has);
    // An entry host without contact for longer than its freshness bound refuses
    // keyed work. The other rules of docs/design.md 4.1 (allotments, workers'
    // acknowledgements) don't depend on the version that it has.
    const bool out_of_contact =
        latest == service_.reports().latest().end()
            ? controller_.LeadingFor(loop_.now()) > kFreshnessExpiry
            : loop_.now() - latest->second.received > kFreshnessExpiry;
    (out_of_contact ? expired : missing).append(std::move(item));
  }
  Json over_limit(::Json::arrayValue);
  for (const auto& [name, team] : service_.state().view().teams) {
    if (service_.state().ledger().Total(name) > team.limit)
      over_limit.append(name.str());
  }
  Json json;
  json["version"] = ::Json::UInt64(service_.state().version());
  json["in_force"] = missing.empty() && over_limit.empty();
  json["missing"] = std::move(missing);
  json["lapsed"] = std::move(expired);
  json["teams_over_limit"] = std::move(over_limit);
  return json;
}

}  // namespace boragewinch
