#include "fleet/entry_report.h"

#include <utility>

namespace boragewinch {

namespace {

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

}  // namespace

Json ToJson(const UnresponsiveRun& peer) {
  Json json(::Json::objectValue);
  WriteRun(peer.run, &json);
  json["silent_ms"] = ::Json::Int64(peer.unresponsive_for.count());
  json["fenced"] = peer.fenced;
  json["taken_over"] = ToJson(peer.taken_over);
  return json;
}

Json ToJson(const EntryReport& report) {
  Json json(::Json::objectValue);
  WriteRun(report.run, &json);
  json["allotment_version"] = Counter(report.allotment_version);
  json["running"] = ToJson(report.running);
  json["wanted"] = ToJson(report.wanted);
  json["returned"] = ToJson(report.returned);
  json["silent_peers"] = ArrayOf(report.unresponsive_peers);
  return json;
}

Result<EntryReport> EntryReportFromJson(const Json& json) {
  EntryReport report;
  BW_TRY(report.run, ReadRun(json));
  BW_TRY(report.allotment_version, CounterField(json, "allotment_version"));
  BW_TRY(report.running, CountsField(json, "running"));
  BW_TRY(report.wanted, CountsField(json, "wanted"));
  BW_TRY(report.returned, CountsField(json, "returned"));
  BW_TRY(const auto peers, ArrayField(json, "silent_peers", kMaxIdsPerCommand));
  for (const Json& item : peers) {
    UnresponsiveRun peer;
    BW_TRY(peer.run, ReadRun(item));
    BW_TRY(const auto millis, IntField(item, "silent_ms", 0, kMaxCounter));
    peer.unresponsive_for = Millis(millis);
    BW_TRY(peer.fenced, BoolFieldOr(item, "fenced", false));
    BW_TRY(peer.taken_over, CountsField(item, "taken_over"));
    report.unresponsive_peers.push_back(std::move(peer));
  }
  return report;
}

}  // namespace boragewinch
