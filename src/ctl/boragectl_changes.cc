#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <limits>
#include <utility>

#include "base/hash.h"
#include "base/secret.h"
#include "ctl/boragectl.h"
#include "ctl/table.h"
#include "fleet/sheet.h"

namespace boragewinch {

namespace {

constexpr Millis kInForcePoll{250};

[[nodiscard]] Result<FleetVersion> VersionOf(const Json& response) {
  BW_TRY(const auto version, IntField(response, "version", 0, INT64_MAX));
  return static_cast<FleetVersion>(version);
}

[[nodiscard]] bool IsInForce(const CallResult& response) {
  return response.ok() &&
         ValueOr(BoolFieldOr(response.body, "in_force", false), false);
}

// "e1 (zone a, version 7), ..." from the "missing" list of GET /v1/in-force.
[[nodiscard]] std::string MissingText(const Json& missing) {
  std::string text;
  for (const Json& item : Rows(missing)) {
    text += (text.empty() ? "" : ", ") + CellText(item["entry"]) + " (zone " +
            CellText(item["zone"]) + ", version " + CellText(item["version"]) +
            ")";
  }
  return text.empty() ? "entry hosts that are not known yet" : text;
}

// "changed team orders: limit 40 -> 30" from one change of a sheet's diff.
[[nodiscard]] std::string ChangeText(const Json& change) {
  std::string text = CellText(change["action"]) + " " +
                     CellText(change["kind"]) + " " + CellText(change["name"]);
  const char* separator = ": ";
  for (const Json& field : Rows(change["fields"])) {
    const std::string before = CellText(field["old"]);
    const std::string after = CellText(field["new"]);
    text += separator + CellText(field["name"]) + " " + before +
            (before.empty() || after.empty() ? "" : " -> ") + after;
    separator = ", ";
  }
  return text;
}

[[nodiscard]] std::string FormatNumber(double value, const char* format) {
  char text[64];
  std::snprintf(text, sizeof text, format, value);
  return text;
}

[[nodiscard]] double NumberOf(const Json& value) {
  return value.isNumeric() ? value.asDouble() : 0;
}

// "3 -> 4 (+1)" from members "<name>_before" and "<name>_after", or "3".
[[nodiscard]] std::string FormatChange(const Json& row,
                                       const std::string& name,
                                       int decimals) {
  const double before = NumberOf(row[name + "_before"]);
  const double after = NumberOf(row[name + "_after"]);
  const std::string precision = "." + std::to_string(decimals) + "f";
  const std::string plain = "%" + precision;
  const std::string signed_format = "%+" + precision;
  const std::string old_text = FormatNumber(before, plain.c_str());
  std::string new_text = FormatNumber(after, plain.c_str());
  if (old_text == new_text)
    return new_text;
  return old_text + " -> " + new_text + " (" +
         FormatNumber(after - before, signed_format.c_str()) + ")";
}

// Effect of a sheet on each team and pool. Unchanged pools are omitted, since a
// fleet has hundreds of pools.
[[nodiscard]] std::string PlanText(const Json& plan) {
  std::vector<Json> teams;
  for (const Json& team : Rows(plan["teams"])) {
    Json row;
    row["team"] = team["team"];
    row["share"] = FormatChange(team, "share", 0);
    row["hosts when full"] = FormatChange(team, "hosts", 1);
    row["limit"] = FormatChange(team, "limit", 0);
    row["tasks to end"] = team["to_end"];
    row["buffer hosts"] = FormatChange(team, "buffer", 2);
    teams.push_back(std::move(row));
  }
  std::string text =
      "\n" + FormatTable({"team", "share", "hosts when full", "limit",
                          "tasks to end", "buffer hosts"},
                         teams);
  std::vector<Json> pools;
  for (const Json& pool : Rows(plan["pools"])) {
    Json row;
    row["pool"] = pool["pool"];
    row["hosts"] = FormatChange(pool, "hosts", 0);
    row["moves in"] = pool["moves_in"];
    row["moves out"] = pool["moves_out"];
    row["buffer hosts"] = FormatChange(pool, "buffer", 2);
    if (pool["hosts_before"] != pool["hosts_after"] ||
        NumberOf(pool["moves_in"]) > 0 ||
        row["buffer hosts"].asString().find("->") != std::string::npos)
      pools.push_back(std::move(row));
  }
  if (!pools.empty()) {
    text += "\n" + FormatTable({"pool", "hosts", "moves in", "moves out",
                                "buffer hosts"},
                               pools);
  }
  std::int64_t steps = 0;
  for (const Json& move : Rows(plan["moves"])) {
    steps =
        std::max(steps, static_cast<std::int64_t>(NumberOf(move["step"])) + 1);
  }
  const std::vector<Json> blocked = Rows(plan["blocked"]);
  text += "\nhost moves: " + std::to_string(Rows(plan["moves"]).size()) +
          " in " + std::to_string(steps) + " steps, " +
          std::to_string(blocked.size()) + " not possible within the budgets\n";
  for (const Json& move : blocked) {
    text += "  " + CellText(move["host"]) + " from " + CellText(move["from"]) +
            " to " + CellText(move["to"]) + "\n";
  }
  const Json& buffer = plan["buffer"];
  return text + "buffer: spare hosts " + FormatChange(buffer, "spares", 0) +
         ", needed " + FormatChange(buffer, "needed", 0) + "\n";
}

[[nodiscard]] std::string SheetText(const Json& response) {
  std::string text;
  for (const Json& warning : Rows(response["warnings"])) {
    text += "warning: " + CellText(warning["kind"]) + " " +
            CellText(warning["name"]) + ": " + CellText(warning["text"]) + "\n";
  }
  for (const Json& conflict : Rows(response["conflicts"]))
    text += "conflict: " + CellText(conflict["detail"]) + "\n";
  const std::vector<Json> changes = Rows(response["changes"]);
  for (const Json& change : changes)
    text += ChangeText(change) + "\n";
  if (changes.empty())
    text += "no change\n";
  return response["plan"].isObject() ? text + PlanText(response["plan"]) : text;
}

[[nodiscard]] Json Command(const char* type) {
  Json command;
  command["type"] = type;
  return command;
}

}  // namespace

Json Boragectl::MakeOperation() const {
  Json body;
  body["operation_id"] = config_.operation_id.empty()
                             ? RandomHex64() + RandomHex64()
                             : config_.operation_id;
  body["operator"] = config_.operator_name;
  return body;
}

CallResult Boragectl::AddVersion(Json* body) {
  CallResult response;
  Json& expected = (*body)["expected_version"];
  if (config_.expected_version) {
    expected = ::Json::UInt64(*config_.expected_version);
    return response;
  }
  if (!config_.operation_id.empty()) {
    // A resend must have the content of the first attempt, which includes the
    // expected version.
    response.error = Error{ErrorCode::kInvalidSetting,
                           "--operation-id needs the --expected-version of the "
                           "first attempt",
                           std::nullopt};
    return response;
  }
  response = client_.CallControl("GET", "/v1/fleet");
  if (!response.ok())
    return response;
  if (auto found = VersionOf(response.body); found)
    expected = ::Json::UInt64(found.value());
  else
    response.error = found.error();
  return response;
}

int Boragectl::SubmitOperation(Json command, const std::string& done) {
  Json body = MakeOperation();
  if (const CallResult found = AddVersion(&body); !found.ok())
    return ReportError(found);
  body["command"] = std::move(command);
  CallResult response = client_.CallControl("POST", "/v1/operations", body);
  if (!response.ok())
    return ReportError(response, body);
  return FinishChange(std::move(response.body), done);
}

CallResult Boragectl::WaitInForce(FleetVersion version) {
  const std::string path = "/v1/in-force?version=" + std::to_string(version);
  const TimePoint deadline = client_.now() + client_.timeout();
  for (;;) {
    CallResult response = client_.CallControl("GET", path);
    if (!response.ok() || IsInForce(response) || client_.now() >= deadline)
      return response;
    client_.SetProgressText("version " + std::to_string(version) +
                            " waits for " +
                            MissingText(response.body["missing"]));
    client_.Pause(kInForcePoll);
  }
}

int Boragectl::FinishChange(Json document, const std::string& done) {
  const auto version = VersionOf(document);
  if (!version) {
    CallResult response;
    response.error = Error{ErrorCode::kProtocol, version.error().detail, {}};
    return ReportError(response);
  }
  client_.SetProgressText("committed as version " +
                          std::to_string(version.value()));
  const CallResult in_force_result = WaitInForce(version.value());
  document["in_force"] = IsInForce(in_force_result);
  if (in_force_result.ok())
    document["missing"] = in_force_result.body["missing"];
  else
    document["detail"] = in_force_result.error->Text();
  std::string committed;
  for (const Json& note : Rows(document["notes"]))
    committed += "note: " + CellText(note) + "\n";
  committed += done + ", version " + std::to_string(version.value());
  if (IsInForce(in_force_result)) {
    Print(document, committed + ", in force\n");
    return kExitOk;
  }
  Print(document, committed + ", not in force\n");
  if (in_force_result.ok()) {
    Err() << "boragectl: version " << version.value()
          << " is committed but not confirmed by "
          << MissingText(in_force_result.body["missing"]) << "\n";
  } else {
    Err() << "boragectl: version " << version.value()
          << " is committed; whether it is in force is not known: "
          << CellText(Json(in_force_result.error->Text())) << "\n";
  }
  return kExitFailed;
}

CallResult Boragectl::SendSheet(const std::string& file,
                                const char* mode,
                                Json body) {
  CallResult response;
  auto text = ReadWholeFile(file, kMaxSheetBytes);
  if (!text) {
    response.error = Error{ErrorCode::kInvalidSetting, text.error().detail, {}};
    return response;
  }
  body["mode"] = mode;
  body["file"] = file;
  body["text"] = std::move(text).value();
  body["allow_lowering"] = config_.allow_lowering;
  return client_.CallControl("POST", "/v1/sheets", body);
}

int Boragectl::SheetView(const std::string& file, const char* mode) {
  const CallResult response = SendSheet(file, mode, MakeOperation());
  if (!response.ok())
    return ReportError(response);
  Print(response.body, SheetText(response.body));
  // "sheet apply" would currently refuse a sheet with conflicts.
  return Rows(response.body["conflicts"]).empty() ? kExitOk : kExitRefused;
}

int Boragectl::SheetCheck(const std::string& file) {
  return SheetView(file, "check");
}

int Boragectl::SheetDiff(const std::string& file) {
  return SheetView(file, "diff");
}

int Boragectl::SheetApply(const std::string& file) {
  Json body = MakeOperation();
  if (const CallResult found = AddVersion(&body); !found.ok())
    return ReportError(found);
  CallResult response = SendSheet(file, "apply", body);
  if (!response.ok())
    return ReportError(response, body);
  return FinishChange(std::move(response.body), "applied " + file);
}

int Boragectl::HostMove(const std::string& host, const std::string& pool) {
  Json command = Command("move_host");
  command["host"] = host;
  command["pool"] = pool;
  command["drain_first"] = config_.drain_first;
  return SubmitOperation(std::move(command),
                         (config_.drain_first ? "move of " : "moved ") + host +
                             " to " + pool +
                             (config_.drain_first ? " begun" : ""));
}

int Boragectl::HostDrain(const std::string& host) {
  Json command = Command("drain_host");
  command["host"] = host;
  return SubmitOperation(std::move(command), "drain of " + host + " granted");
}

int Boragectl::HostReturn(const std::string& host) {
  Json command = Command("return_host");
  command["host"] = host;
  return SubmitOperation(std::move(command), "returned " + host);
}

int Boragectl::WaveStart(const std::string& pool) {
  Json command = Command("start_wave");
  command["pool"] = pool == "all" ? "" : pool;
  return SubmitOperation(std::move(command), "wave of " + pool + " started");
}

int Boragectl::EntryDeclareLost(const std::string& entry) {
  Json command = Command("declare_entry_lost");
  command["entry"] = entry;
  return SubmitOperation(std::move(command), "declared " + entry + " lost");
}

int Boragectl::KeyCreate(const std::string& team) {
  if (!config_.operation_id.empty()) {
    return BadUsage(
        "key create takes no --operation-id, since the first result belongs to "
        "a secret that is not stored; withdraw that key and create another");
  }
  const std::string id = "k" + RandomHex64();
  const std::string secret = RandomHex64() + RandomHex64();
  Json body = MakeOperation();
  if (const CallResult found = AddVersion(&body); !found.ok())
    return ReportError(found);
  Json command = Command("create_key");
  command["id"] = id;
  command["team"] = team;
  command["secret_hash"] = HashSecret(secret);
  body["command"] = std::move(command);
  CallResult response = client_.CallControl("POST", "/v1/operations", body);
  if (!response.ok()) {
    const int code = ReportError(response);
    if (response.may_have_acted) {
      err_ << "Key " << id << " may have been created; withdraw it with "
           << "\"boragectl key withdraw " << id << "\".\n";
    }
    return code;
  }
  // Printed before waiting, so that an interrupt doesn't lose the secret.
  if (!config_.json)
    Print(response.body, id + "." + secret + "\n");
  response.body["key"] = id + "." + secret;
  return FinishChange(std::move(response.body), "created key " + id);
}

int Boragectl::KeyWithdraw(const std::string& id) {
  // Entry hosts first: during a partition the control group may be
  // unreachable.
  std::vector<EntryAddress> unconfirmed = entries();
  Json confirmed(::Json::arrayValue);
  const std::string path = "/v1/keys/" + id + "/withdraw";
  const auto send = [&] {
    const auto responses =
        client_.CallAll(Addresses(unconfirmed), "POST", path);
    std::vector<EntryAddress> remaining;
    for (std::size_t i = 0; i < unconfirmed.size(); ++i) {
      if (responses[i].ok() &&
          ValueOr(BoolFieldOr(responses[i].body, "withdrawn", false), false))
        confirmed.append(unconfirmed[i].Text());
      else
        remaining.push_back(unconfirmed[i]);
    }
    unconfirmed = std::move(remaining);
  };
  if (!unconfirmed.empty())
    send();
  Json body = MakeOperation();
  Json command = Command("withdraw_key");
  command["ids"].append(id);
  body["command"] = std::move(command);
  const CallResult control =
      client_.CallControl("POST", "/v1/operations", body);
  if (!unconfirmed.empty())
    send();

  Json document;
  Json missing(::Json::arrayValue);
  for (const EntryAddress& entry : unconfirmed)
    missing.append(entry.Text());
  if (control.ok()) {
    confirmed.append("control group");
    if (const auto version = VersionOf(control.body)) {
      document["version"] = ::Json::UInt64(version.value());
      const CallResult in_force_result = WaitInForce(version.value());
      document["in_force"] = IsInForce(in_force_result);
      if (!IsInForce(in_force_result))
        missing.append(in_force_result.ok()
                           ? MissingText(in_force_result.body["missing"])
                           : "entry hosts whose state is not known");
    }
  } else {
    missing.append("control group");
    document["detail"] = control.error->Text();
  }
  document["id"] = id;
  document["confirmed"] = confirmed;
  document["not_confirmed"] = missing;
  const bool in_force =
      document["in_force"].isBool() && document["in_force"].asBool();
  Print(document,
        "key " + id + " withdrawn at: " + CellText(confirmed) +
            (missing.empty()
                 ? "\n"
                 : "\nnot confirmed by: " + CellText(missing) + "\n"));
  if (!control.ok())
    Err() << "boragectl: " << CellText(Json(control.error->Text())) << "\n";
  if (!missing.empty()) {
    Err() << "Entry hosts that have not confirmed refuse keyed work within 10 "
             "seconds after they lose contact with the control group.\n";
  }
  if (control.ok() && missing.empty() && in_force)
    return kExitOk;
  if (!control.ok() &&
      (confirmed.empty() || ExitCodeOf(control.error->code) == kExitRefused))
    return ExitCodeOf(control.error->code);
  return kExitFailed;
}

}  // namespace boragewinch
