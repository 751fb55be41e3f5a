#include "fleet/sync_message.h"

#include <utility>

#include "base/hash.h"

namespace boragewinch {

namespace {

constexpr std::size_t kMaxReportedWorkers = 10'000;
constexpr std::size_t kMaxReportedPeers = 256;
constexpr std::size_t kMaxReportedKeys = 100'000;
constexpr std::size_t kMaxAddressBytes = 64;

[[nodiscard]] Json ToJsonObject(const WorkerStatus& status) {
  Json json;
  json["host"] = status.host.str();
  json["zone"] = status.zone.str();
  json["rack"] = status.rack.str();
  json["incarnation"] = status.incarnation.str();
  // Members that are false or 0 are omitted to keep reports small.
  if (status.lost)
    json["lost"] = true;
  if (status.leaving)
    json["leaving"] = true;
  if (status.idle)
    json["idle"] = true;
  if (status.acknowledged_drain)
    json["acknowledged_drain"] = true;
  json["acknowledged_assignment"] = Counter(status.acknowledged_assignment);
  return json;
}

[[nodiscard]] Result<WorkerStatus> WorkerStatusFromJson(const Json& json) {
  WorkerStatus status;
  BW_TRY(status.host, NameField<HostName>(json, "host"));
  BW_TRY(status.zone, NameField<ZoneName>(json, "zone"));
  BW_TRY(status.rack, NameField<RackName>(json, "rack"));
  BW_TRY(status.incarnation, NameField<Incarnation>(json, "incarnation"));
  BW_TRY(status.lost, BoolFieldOr(json, "lost", false));
  BW_TRY(status.leaving, BoolFieldOr(json, "leaving", false));
  BW_TRY(status.idle, BoolFieldOr(json, "idle", false));
  BW_TRY(status.acknowledged_drain,
         BoolFieldOr(json, "acknowledged_drain", false));
  BW_TRY(status.acknowledged_assignment,
         CounterField(json, "acknowledged_assignment"));
  return status;
}

[[nodiscard]] Json ToJsonObject(const TakeOverReport& report) {
  Json json;
  json["entry"] = report.entry.str();
  json["incarnation"] = report.incarnation.str();
  json["running"] = ToJson(report.running);
  return json;
}

[[nodiscard]] Result<TakeOverReport> TakeOverFromJson(const Json& json) {
  TakeOverReport report;
  BW_TRY(report.entry, NameField<EntryName>(json, "entry"));
  BW_TRY(report.incarnation, NameField<Incarnation>(json, "incarnation"));
  BW_TRY(report.running, CountsField(json, "running"));
  return report;
}

[[nodiscard]] Json ToJsonObject(const UnresponsivePeerReport& report) {
  Json json;
  json["entry"] = report.entry.str();
  json["incarnation"] = report.incarnation.str();
  json["silence_ms"] = ::Json::Int64(report.unresponsive_for.count());
  json["fenced"] = report.fenced;
  return json;
}

[[nodiscard]] Result<UnresponsivePeerReport> UnresponsivePeerFromJson(
    const Json& json) {
  UnresponsivePeerReport report;
  BW_TRY(report.entry, NameField<EntryName>(json, "entry"));
  BW_TRY(report.incarnation, NameField<Incarnation>(json, "incarnation"));
  BW_TRY(const auto millis, CounterField(json, "silence_ms"));
  BW_TRY(report.fenced, BoolFieldOr(json, "fenced", false));
  report.unresponsive_for = Millis(static_cast<std::int64_t>(millis));
  return report;
}

template <typename Element, typename Reader>
[[nodiscard]] Status ReadArray(const Json& json,
                               const char* name,
                               std::size_t max,
                               Reader reader,
                               std::vector<Element>* elements) {
  BW_TRY(const auto array, ArrayField(json, name, max));
  for (const Json& item : array) {
    if (!item.isObject()) {
      return Fail(ErrorCode::kInvalidField,
                  "field \"" + std::string(name) + "\" must list objects");
    }
    BW_TRY(auto element, reader(item));
    elements->push_back(std::move(element));
  }
  return Ok();
}

template <typename Element>
[[nodiscard]] Json ObjectsOf(const std::vector<Element>& elements) {
  Json array(::Json::arrayValue);
  for (const Element& element : elements)
    array.append(ToJsonObject(element));
  return array;
}

}  // namespace

std::uint64_t HashOf(const std::vector<EntryHost>& entries) {
  std::string text;
  for (const EntryHost& entry : entries) {
    text += entry.name.str() + " " + entry.zone.str() + " " +
            entry.incarnation.str() + " " + entry.address + " " +
            entry.peer_address + "\n";
  }
  return Hash64(text);
}

Json ToJson(const SyncReport& report) {
  Json json;
  json["entry"] = report.entry.str();
  json["zone"] = report.zone.str();
  json["incarnation"] = report.incarnation.str();
  json["address"] = report.address;
  json["peer_address"] = report.peer_address;
  json["version"] = Counter(report.version);
  json["allotment_version"] = Counter(report.allotment_version);
  json["entries_hash"] = Hex64(report.entries_hash);
  json["retiring"] = report.retiring;
  json["running"] = ToJson(report.running);
  json["wanted"] = ToJson(report.wanted);
  json["returned"] = ToJson(report.returned);
  json["taken_over"] = ObjectsOf(report.taken_over);
  json["silent"] = ObjectsOf(report.unresponsive);
  json["tombstones"] = ArrayOfIds(report.tombstones);
  json["workers"] = ObjectsOf(report.workers);
  json["workers_base"] = Counter(report.workers_base);
  json["workers_sequence"] = Counter(report.workers_sequence);
  return json;
}

Result<SyncReport> SyncReportFromJson(const Json& json) {
  SyncReport report;
  BW_TRY(report.entry, NameField<EntryName>(json, "entry"));
  BW_TRY(report.zone, NameField<ZoneName>(json, "zone"));
  BW_TRY(report.incarnation, NameField<Incarnation>(json, "incarnation"));
  BW_TRY(report.address, StringField(json, "address", kMaxAddressBytes));
  BW_TRY(report.peer_address,
         StringField(json, "peer_address", kMaxAddressBytes));
  BW_TRY(report.version, CounterField(json, "version"));
  BW_TRY(report.allotment_version, CounterField(json, "allotment_version"));
  BW_TRY(const auto hash, StringFieldOr(json, "entries_hash", "0", 16));
  report.entries_hash = std::strtoull(hash.c_str(), nullptr, 16);
  BW_TRY(report.retiring, BoolFieldOr(json, "retiring", false));
  BW_TRY(report.running, CountsField(json, "running"));
  BW_TRY(report.wanted, CountsField(json, "wanted"));
  BW_TRY(report.returned, CountsField(json, "returned"));
  BW_CHECK(ReadArray(json, "taken_over", kMaxReportedPeers, TakeOverFromJson,
                     &report.taken_over));
  BW_CHECK(ReadArray(json, "silent", kMaxReportedPeers,
                     UnresponsivePeerFromJson, &report.unresponsive));
  BW_TRY(report.tombstones,
         IdsField<std::vector<KeyId>>(json, "tombstones", kMaxReportedKeys));
  BW_CHECK(ReadArray(json, "workers", kMaxReportedWorkers, WorkerStatusFromJson,
                     &report.workers));
  BW_TRY(report.workers_base, CounterField(json, "workers_base"));
  BW_TRY(report.workers_sequence, CounterField(json, "workers_sequence"));
  return report;
}

Json ToJson(const SyncResponse& response) {
  Json json;
  json["registered"] = response.registered;
  json["delta"] = ToJson(response.delta);
  json["allotment_version"] = Counter(response.allotment_version);
  json["allotment"] = ToJson(response.allotment);
  json["caps"] = ToJson(response.caps);
  if (response.entries)
    json["entries"] = ArrayOf(*response.entries);
  json["resend_workers"] = response.resend_workers;
  return json;
}

Result<SyncResponse> SyncResponseFromJson(const Json& json) {
  if (!json.isObject())
    return Fail(ErrorCode::kInvalidField,
                "a sync response must be a JSON object");
  SyncResponse response;
  BW_TRY(response.registered, BoolFieldOr(json, "registered", false));
  BW_TRY(response.delta, FleetDeltaFromJson(json["delta"]));
  BW_TRY(response.allotment_version, CounterField(json, "allotment_version"));
  BW_TRY(response.allotment, CountsField(json, "allotment"));
  BW_TRY(response.caps, CountsField(json, "caps"));
  BW_TRY(response.resend_workers, BoolFieldOr(json, "resend_workers", false));
  if (json.isMember("entries")) {
    response.entries.emplace();
    BW_CHECK(ReadArray(json, "entries", kMaxReportedPeers, EntryHostFromJson,
                       &*response.entries));
  }
  return response;
}

}  // namespace boragewinch
