#include <array>
#include <ctime>
#include <string_view>
#include <utility>

#include "ctl/boragectl.h"
#include "ctl/table.h"

namespace boragewinch {

namespace {

constexpr char kNoEntries[] = "--entries names no entry host of this zone";

// Rows of a response that is a list or has the list as its member `name`.
[[nodiscard]] std::vector<Json> RowsOf(const Json& response, const char* name) {
  return response.isObject() ? Rows(response[name]) : Rows(response);
}

// Replaces the Unix time in `member` by a readable date and time.
void ShowTime(Json* row, const char* member) {
  if (!row->isObject() || !(*row)[member].isInt64())
    return;
  const auto seconds = static_cast<std::time_t>((*row)[member].asInt64());
  std::tm parts{};
  std::array<char, 32> text{};
  if (seconds == 0)
    (*row)[member] = "never";
  else if (gmtime_r(&seconds, &parts) != nullptr &&
           std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M UTC",
                         &parts) > 0)
    (*row)[member] = text.data();
}

// One line for each invariant that `body` reports as violated.
[[nodiscard]] std::string ViolationText(const std::string& process,
                                        const Json& body) {
  std::string text;
  const Json& invariants = body["invariants"];
  if (!invariants.isObject())
    return text;
  for (const std::string& name : invariants.getMemberNames()) {
    const Json& counts = invariants[name];
    if (!counts.isObject())
      continue;
    if (auto violated = IntFieldOr(counts, "violated", 0, 0, INT64_MAX);
        violated && violated.value() > 0) {
      text += process + ": invariant " + name + " violated " +
              std::to_string(violated.value()) + " times\n";
    }
  }
  return text;
}

}  // namespace

int Boragectl::SheetHistory() {
  const CallResult response = client_.CallControl("GET", "/v1/history");
  if (!response.ok())
    return ReportError(response);
  Print(response.body,
        FormatTable({"version", "operator", "command", "accepted", "changed",
                     "operation_id", "errors", "notes"},
                    RowsOf(response.body, "operations")));
  return kExitOk;
}

int Boragectl::WaveStatus() {
  const CallResult response = client_.CallControl("GET", "/v1/waves");
  if (!response.ok())
    return ReportError(response);
  Json total = response.body;
  total.removeMember("pools");
  ShowTime(&total, "end_estimate");
  std::vector<Json> pools = RowsOf(response.body, "pools");
  for (Json& pool : pools)
    ShowTime(&pool, "end_estimate");
  Print(response.body,
        FormatTable({"pool", "hosts", "available", "min_available", "in_work",
                     "due", "done", "wait", "end_estimate"},
                    pools) +
            "all: " + CellText(total) + "\n");
  return kExitOk;
}

int Boragectl::List(const char* part, const std::vector<std::string>& members) {
  const CallResult response = client_.CallControl("GET", "/v1/fleet");
  if (!response.ok())
    return ReportError(response);
  Json document;
  document["version"] = response.body["version"];
  Json& shown = document[part] = Json(::Json::arrayValue);
  std::vector<Json> rows;
  for (const Json& row : Rows(response.body[part])) {
    const bool other_zone = !config_.zone.empty() && row.isObject() &&
                            row.isMember("zone") &&
                            CellText(row["zone"]) != config_.zone;
    if (other_zone)
      continue;
    shown.append(row);
    rows.push_back(row);
    ShowTime(&rows.back(), "maintained_at");
  }
  Print(document, FormatTable(members, rows));
  return kExitOk;
}

int Boragectl::JobShow(const std::string& id, bool one_line) {
  const std::vector<EntryAddress> targets = entries();
  if (targets.empty())
    return BadUsage(kNoEntries);
  // Only the owner and the backup have the record, so all entry hosts are
  // called. GET /v1/jobs/<id> is for callers and needs a key of the job's team.
  const auto responses = client_.CallAll(Addresses(targets), "GET",
                                         "/v1/explain?kind=job&name=" + id);
  const CallResult* best = nullptr;
  const CallResult* failed = nullptr;
  for (const CallResult& response : responses) {
    if (!response.ok()) {
      // An unreachable entry host may be the one that has the record.
      if (failed == nullptr || IsUnreachable(response.error->code))
        failed = &response;
      continue;
    }
    const bool owner =
        !ValueOr(BoolFieldOr(response.body, "replica", false), false);
    if (best == nullptr || owner)
      best = &response;
  }
  if (best == nullptr)
    return ReportError(*failed);
  Print(best->body, one_line ? CellText(best->body["text"]) + "\n"
                             : FormatDocument(best->body));
  return kExitOk;
}

int Boragectl::JobList() {
  const std::vector<EntryAddress> targets = entries();
  if (targets.empty())
    return BadUsage(kNoEntries);
  const auto responses =
      client_.CallAll(Addresses(targets), "GET",
                      "/v1/jobs?limit=" + std::to_string(config_.list_limit));
  Json document;
  Json& jobs = document["jobs"] = Json(::Json::arrayValue);
  Json& failed = document["not_reached"] = Json(::Json::arrayValue);
  std::vector<Json> rows;
  const CallResult* first_error = nullptr;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    if (!responses[i].ok()) {
      failed.append(targets[i].Text());
      if (first_error == nullptr)
        first_error = &responses[i];
      continue;
    }
    for (Json row : RowsOf(responses[i].body, "jobs")) {
      jobs.append(row);
      rows.push_back(std::move(row));
    }
  }
  if (failed.size() == targets.size())
    return ReportError(*first_error);
  Print(document,
        FormatTable({"id", "team", "queue", "customer", "urgency", "phase",
                     "outcome", "reason", "worker", "replica"},
                    rows));
  if (!failed.empty()) {
    Err() << "boragectl: not reached: " << CellText(failed) << "\n";
    return kExitFailed;
  }
  return kExitOk;
}

int Boragectl::ShowStatus() {
  std::vector<std::string> names;
  std::vector<std::string> addresses;
  if (config_.zone.empty()) {
    for (const std::string& address : config_.control) {
      names.push_back("control " + address);
      addresses.push_back(address);
    }
  }
  for (const EntryAddress& entry : entries()) {
    names.push_back("entry " + entry.Text());
    addresses.push_back(entry.address);
  }
  if (addresses.empty())
    return BadUsage("--control and --entries name no process");
  const auto responses = client_.CallAll(addresses, "GET", "/v1/status");
  Json document;
  Json& processes = document["processes"] = Json(::Json::arrayValue);
  std::vector<Json> rows;
  std::string violations;
  std::size_t reached = 0;
  for (std::size_t i = 0; i < responses.size(); ++i) {
    Json row = responses[i].body.isObject() ? responses[i].body
                                            : Json(::Json::objectValue);
    row["process"] = names[i];
    row["answer"] =
        responses[i].ok()
            ? "ok"
            : std::string(kErrorCodes.Name(responses[i].error->code));
    if (responses[i].ok())
      ++reached;
    violations += ViolationText(names[i], row);
    processes.append(row);
    rows.push_back(std::move(row));
  }
  if (reached == 0)
    return ReportError(responses.front());
  Print(document,
        FormatTable({"process", "answer", "role", "leader", "term", "commit",
                     "version", "entry", "zone", "fresh", "queued", "running"},
                    rows));
  if (!violations.empty())
    Err() << violations;
  return reached == responses.size() && violations.empty() ? kExitOk
                                                           : kExitFailed;
}

int Boragectl::ShowMetrics() {
  const std::vector<EntryAddress> targets = entries();
  if (targets.empty())
    return BadUsage(kNoEntries);
  const auto responses =
      client_.CallAll(Addresses(targets), "GET", "/v1/metrics");
  Json document;
  Json& failed = document["not_reached"] = Json(::Json::arrayValue);
  std::vector<Json> values;
  std::vector<Json> durations;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    if (!responses[i].ok()) {
      failed.append(targets[i].Text());
      continue;
    }
    for (const char* part : {"counters", "gauges", "durations"}) {
      for (Json row : RowsOf(responses[i].body, part)) {
        row["entry"] = targets[i].Text();
        document[part].append(row);
        auto& rows = std::string_view(part) == "durations" ? durations : values;
        rows.push_back(std::move(row));
      }
    }
  }
  if (failed.size() == targets.size())
    return ReportError(responses.front());
  Print(document,
        FormatTable({"entry", "name", "team", "class", "value"}, values) +
            "\n" +
            FormatTable({"entry", "name", "team", "class", "count", "median_ms",
                         "p99_ms", "max_ms"},
                        durations));
  if (!failed.empty()) {
    Err() << "boragectl: not reached: " << CellText(failed) << "\n";
    return kExitFailed;
  }
  return kExitOk;
}

int Boragectl::Explain(const std::string& kind, const std::string& name) {
  if (kind == "job")
    return JobShow(name, true);
  if (kind != "host" && kind != "pool" && kind != "team")
    return BadUsage("explain takes job, host, team or pool");
  const CallResult response =
      client_.CallControl("GET", "/v1/explain?kind=" + kind + "&name=" + name);
  if (!response.ok())
    return ReportError(response);
  Print(response.body, CellText(response.body["text"]) + "\n");
  return kExitOk;
}

}  // namespace boragewinch
