#include "entry/peer_codec.h"

#include <limits>
#include <utility>

#include "base/hash.h"

namespace boragewinch::peer_codec {

namespace {

constexpr std::int64_t kMaxCounter = std::numeric_limits<std::int64_t>::max();
// 100 years: longer than any valid deadline or uptime.
constexpr std::int64_t kMaxMillis = 100L * 365 * 24 * 3600 * 1000;

[[nodiscard]] Status RequireObject(const Json& json, const char* what) {
  if (!json.isObject()) {
    return Fail(ErrorCode::kInvalidField,
                std::string(what) + " must be a JSON object");
  }
  return Ok();
}

[[nodiscard]] Result<std::string> ReadBody(const Json& json,
                                           std::uint64_t hash) {
  BW_TRY(auto body, StringFieldOr(json, "body", "", kMaxResultBytes));
  if (!body.empty() && Hash64(body) != hash) {
    return Fail(ErrorCode::kProtocol,
                "field \"body\" does not match its checksum");
  }
  return body;
}

}  // namespace

Json WriteCounter(std::uint64_t value) {
  return ::Json::Int64(value);
}

Json Write(const RecordVersion& version) {
  Json json(::Json::objectValue);
  json["id"] = version.id.str();
  json["epoch"] = WriteCounter(version.epoch);
  json["generation"] = WriteCounter(version.generation);
  json["revision"] = WriteCounter(version.revision);
  return json;
}

Json Write(const Intent& intent) {
  Json json(::Json::objectValue);
  json["attempt"] = intent.attempt;
  json["worker"] = intent.worker.str();
  json["worker_incarnation"] = intent.worker_incarnation.str();
  json["worker_address"] = intent.worker_address;
  return json;
}

Json Write(const Closing& closing) {
  Json json(::Json::objectValue);
  json["outcome"] = std::string(kOutcomes.Name(closing.outcome));
  json["reason"] = std::string(kRefusalReasons.Name(closing.reason));
  json["body"] = closing.body;
  json["hash"] = Hex64(closing.body_hash);
  return json;
}

Json Write(const JobAnswer& answer) {
  Json json(::Json::objectValue);
  json["request"] = answer.request.str();
  json["outcome"] = std::string(kOutcomes.Name(answer.outcome));
  json["reason"] = std::string(kRefusalReasons.Name(answer.reason));
  json["started"] = answer.started;
  json["body"] = answer.body;
  json["hash"] = Hex64(answer.body_hash);
  return json;
}

Json Write(const LeavingWorker& worker) {
  Json json(::Json::objectValue);
  json["host"] = worker.host.str();
  json["incarnation"] = worker.incarnation.str();
  return json;
}

Json Write(const UnresponsivePeer& peer) {
  Json json(::Json::objectValue);
  json["entry"] = peer.entry.str();
  json["incarnation"] = peer.incarnation.str();
  json["silence_ms"] = ::Json::Int64(peer.unresponsive_for.count());
  json["fenced"] = peer.fenced;
  return json;
}

Json Write(const std::map<TeamName, std::int64_t>& counts) {
  Json json(::Json::objectValue);
  for (const auto& [team, count] : counts)
    json[team.str()] = ::Json::Int64(count);
  return json;
}

Result<std::uint64_t> ReadCounter(const Json& json, const char* name) {
  BW_TRY(auto value, IntFieldOr(json, name, 0, 0, kMaxCounter));
  return static_cast<std::uint64_t>(value);
}

Result<std::uint64_t> ReadHash(const Json& json, const char* name) {
  BW_TRY(auto text, StringFieldOr(json, name, "0", 16));
  if (text.empty() ||
      text.find_first_not_of("0123456789abcdef") != std::string::npos) {
    return Fail(ErrorCode::kInvalidField,
                "field \"" + std::string(name) +
                    "\" must be 1 to 16 hexadecimal digits");
  }
  return std::stoull(text, nullptr, 16);
}

Result<Millis> ReadMillis(const Json& json, const char* name) {
  BW_TRY(auto value, IntFieldOr(json, name, 0, 0, kMaxMillis));
  return Millis(value);
}

Result<std::string> ReadString(const Json& json) {
  if (!json.isString())
    return Fail(ErrorCode::kInvalidField, "an item must be a string");
  std::string text = json.asString();
  if (text.empty() || text.size() > kMaxIdBytes)
    return Fail(ErrorCode::kTooLarge, "an item must have 1 to 280 bytes");
  return text;
}

Result<RecordVersion> ReadVersion(const Json& json) {
  BW_CHECK(RequireObject(json, "a version"));
  RecordVersion version;
  BW_TRY(auto id, StringField(json, "id", kMaxIdBytes));
  BW_TRY(version.epoch, ReadCounter(json, "epoch"));
  BW_TRY(version.generation, ReadCounter(json, "generation"));
  BW_TRY(version.revision, ReadCounter(json, "revision"));
  version.id = RequestId(std::move(id));
  return version;
}

Result<Intent> ReadIntent(const Json& json) {
  BW_CHECK(RequireObject(json, "an intent"));
  Intent intent;
  BW_TRY(auto attempt, IntFieldOr(json, "attempt", 0, 0, 999'999'999));
  BW_TRY(intent.worker, ReadId<HostName>(json, "worker"));
  BW_TRY(intent.worker_incarnation,
         ReadId<Incarnation>(json, "worker_incarnation"));
  BW_TRY(intent.worker_address, StringFieldOr(json, "worker_address", ""));
  intent.attempt = static_cast<std::uint32_t>(attempt);
  return intent;
}

Result<Closing> ReadClosing(const Json& json) {
  BW_CHECK(RequireObject(json, "a closing"));
  Closing closing;
  BW_TRY(closing.outcome, ReadEnum(json, "outcome", kOutcomes));
  BW_TRY(closing.reason, ReadEnum(json, "reason", kRefusalReasons));
  BW_TRY(closing.body_hash, ReadHash(json, "hash"));
  BW_TRY(closing.body, ReadBody(json, closing.body_hash));
  return closing;
}

Result<JobAnswer> ReadAnswer(const Json& json) {
  BW_CHECK(RequireObject(json, "an answer"));
  JobAnswer answer;
  BW_TRY(answer.request, ReadId<RequestId>(json, "request"));
  BW_TRY(answer.outcome, ReadEnum(json, "outcome", kOutcomes));
  BW_TRY(answer.reason, ReadEnum(json, "reason", kRefusalReasons));
  BW_TRY(answer.started, BoolFieldOr(json, "started", false));
  BW_TRY(answer.body_hash, ReadHash(json, "hash"));
  BW_TRY(answer.body, ReadBody(json, answer.body_hash));
  return answer;
}

Result<LeavingWorker> ReadLeaving(const Json& json) {
  BW_CHECK(RequireObject(json, "a leaving worker"));
  LeavingWorker worker;
  BW_TRY(worker.host, ReadId<HostName>(json, "host"));
  BW_TRY(worker.incarnation, ReadId<Incarnation>(json, "incarnation"));
  return worker;
}

Result<UnresponsivePeer> ReadUnresponsive(const Json& json) {
  BW_CHECK(RequireObject(json, "an unresponsive peer"));
  UnresponsivePeer peer;
  BW_TRY(peer.entry, ReadId<EntryName>(json, "entry"));
  BW_TRY(peer.incarnation, ReadId<Incarnation>(json, "incarnation"));
  BW_TRY(peer.unresponsive_for, ReadMillis(json, "silence_ms"));
  BW_TRY(peer.fenced, BoolFieldOr(json, "fenced", false));
  return peer;
}

Result<std::map<TeamName, std::int64_t>> ReadTeamCounts(const Json& json) {
  std::map<TeamName, std::int64_t> counts;
  if (json.isNull())
    return counts;
  BW_CHECK(RequireObject(json, "team counts"));
  if (json.size() > kMaxArrayItems)
    return Fail(ErrorCode::kTooLarge, "too many teams");
  for (const auto& team : json.getMemberNames()) {
    BW_TRY(auto count, IntField(json, team.c_str(), 0, kMaxCounter));
    counts.emplace(TeamName(team), count);
  }
  return counts;
}

Status ReadArray(const Json& json,
                 const char* name,
                 const std::function<Status(const Json&)>& read) {
  const Json& items = json[name];
  if (items.isNull())
    return Ok();
  if (!items.isArray() || items.size() > kMaxArrayItems) {
    return Fail(ErrorCode::kInvalidField,
                "field \"" + std::string(name) +
                    "\" must be an array of at most 100000 items");
  }
  for (const Json& item : items)
    BW_CHECK(read(item));
  return Ok();
}

}  // namespace boragewinch::peer_codec
