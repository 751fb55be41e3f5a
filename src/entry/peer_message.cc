#include "entry/peer_message.h"

#include <iterator>
#include <utility>

#include "base/hash.h"
#include "entry/peer_codec.h"

namespace boragewinch {

namespace peer_codec {

namespace {

// Omitted when empty, since few records have progress.
void WriteProgress(const std::string& progress, Json* json) {
  if (!progress.empty())
    (*json)["progress"] = progress;
}

[[nodiscard]] Json Encode(const PeerStore& m) {
  Json json(::Json::objectValue);
  json["version"] = Write(m.version);
  json["spec"] = ToJson(m.spec);
  json["open_queue"] = m.open_queue;
  json["ended"] = m.ended;
  json["may_have_run"] = m.may_have_run;
  json["started"] = m.started;
  json["cancel_requested"] = m.cancel_requested;
  json["deadline_left_ms"] = ::Json::Int64(m.deadline_left.count());
  json["intent"] = Write(m.intent);
  json["closing"] = Write(m.closing);
  WriteProgress(m.progress, &json);
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeStore(const Json& json) {
  PeerStore m;
  BW_TRY(m.version, ReadVersion(json["version"]));
  BW_TRY(m.spec, JobSpecFromJson(json["spec"]));
  BW_TRY(m.open_queue, BoolFieldOr(json, "open_queue", false));
  BW_TRY(m.ended, BoolFieldOr(json, "ended", false));
  BW_TRY(m.may_have_run, BoolFieldOr(json, "may_have_run", false));
  BW_TRY(m.started, BoolFieldOr(json, "started", false));
  BW_TRY(m.cancel_requested, BoolFieldOr(json, "cancel_requested", false));
  BW_TRY(m.deadline_left, ReadMillis(json, "deadline_left_ms"));
  BW_TRY(m.intent, ReadIntent(json["intent"]));
  BW_TRY(m.closing, ReadClosing(json["closing"]));
  BW_TRY(m.progress, StringFieldOr(json, "progress", "", kMaxProgressBytes));
  return PeerBody(std::move(m));
}

[[nodiscard]] Json Encode(const PeerIntend& m) {
  Json json(::Json::objectValue);
  json["version"] = Write(m.version);
  json["intent"] = Write(m.intent);
  WriteProgress(m.progress, &json);
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeIntend(const Json& json) {
  PeerIntend m;
  BW_TRY(m.version, ReadVersion(json["version"]));
  BW_TRY(m.intent, ReadIntent(json["intent"]));
  BW_TRY(m.progress, StringFieldOr(json, "progress", "", kMaxProgressBytes));
  return PeerBody(std::move(m));
}

[[nodiscard]] Json Encode(const PeerClose& m) {
  Json json(::Json::objectValue);
  json["version"] = Write(m.version);
  json["started"] = m.started;
  json["closing"] = Write(m.closing);
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeClose(const Json& json) {
  PeerClose m;
  BW_TRY(m.version, ReadVersion(json["version"]));
  BW_TRY(m.started, BoolFieldOr(json, "started", false));
  BW_TRY(m.closing, ReadClosing(json["closing"]));
  return PeerBody(std::move(m));
}

[[nodiscard]] Json Encode(const PeerAck& m) {
  Json json(::Json::objectValue);
  json["version"] = Write(m.version);
  json["known"] = m.known;
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeAck(const Json& json) {
  PeerAck m;
  BW_TRY(m.version, ReadVersion(json["version"]));
  BW_TRY(m.known, BoolFieldOr(json, "known", true));
  return PeerBody(std::move(m));
}

[[nodiscard]] Json Encode(const PeerFenced& m) {
  Json json(::Json::objectValue);
  json["epoch"] = WriteCounter(m.epoch);
  json["request"] = m.request.str();
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeFenced(const Json& json) {
  PeerFenced m;
  BW_TRY(m.epoch, ReadCounter(json, "epoch"));
  BW_TRY(m.request, ReadId<RequestId>(json, "request"));
  return PeerBody(std::move(m));
}

[[nodiscard]] Json Encode(const PeerGossip& m) {
  Json json(::Json::objectValue);
  json["sequence"] = WriteCounter(m.sequence);
  json["uptime_ms"] = ::Json::Int64(m.uptime.count());
  json["epoch"] = WriteCounter(m.epoch);
  json["stopping"] = m.stopping;
  json["running"] = Write(m.running);
  json["queued"] = Write(m.queued);
  for (const LeavingWorker& worker : m.leaving)
    json["leaving"].append(Write(worker));
  for (const KeyId& key : m.tombstones)
    json["tombstones"].append(key.str());
  for (const UnresponsivePeer& peer : m.unresponsive)
    json["silent"].append(Write(peer));
  for (const TaskId& task : m.taken_over)
    json["taken_over"].append(task.Text());
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeGossip(const Json& json) {
  PeerGossip m;
  BW_TRY(m.sequence, ReadCounter(json, "sequence"));
  BW_TRY(m.uptime, ReadMillis(json, "uptime_ms"));
  BW_TRY(m.epoch, ReadCounter(json, "epoch"));
  BW_TRY(m.stopping, BoolFieldOr(json, "stopping", false));
  BW_TRY(m.running, ReadTeamCounts(json["running"]));
  BW_TRY(m.queued, ReadTeamCounts(json["queued"]));
  BW_CHECK(ReadArray(json, "leaving", [&m](const Json& item) -> Status {
    BW_TRY(auto worker, ReadLeaving(item));
    m.leaving.push_back(std::move(worker));
    return Ok();
  }));
  BW_CHECK(ReadArray(json, "tombstones", [&m](const Json& item) -> Status {
    BW_TRY(auto key, ReadString(item));
    m.tombstones.emplace_back(std::move(key));
    return Ok();
  }));
  BW_CHECK(ReadArray(json, "silent", [&m](const Json& item) -> Status {
    BW_TRY(auto peer, ReadUnresponsive(item));
    m.unresponsive.push_back(std::move(peer));
    return Ok();
  }));
  BW_CHECK(ReadArray(json, "taken_over", [&m](const Json& item) -> Status {
    BW_TRY(auto text, ReadString(item));
    BW_TRY(auto task, TaskId::Parse(text));
    m.taken_over.push_back(std::move(task));
    return Ok();
  }));
  return PeerBody(std::move(m));
}

[[nodiscard]] Json Encode(const PeerGossipAnswer& m) {
  Json json(::Json::objectValue);
  json["sequence"] = WriteCounter(m.sequence);
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeGossipAnswer(const Json& json) {
  PeerGossipAnswer m;
  BW_TRY(m.sequence, ReadCounter(json, "sequence"));
  return PeerBody(m);
}

[[nodiscard]] Json Encode(const PeerFind& m) {
  Json json(::Json::objectValue);
  json["reference"] = WriteCounter(m.reference);
  json["team"] = m.team.str();
  json["client_request_id"] = m.client_request_id;
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeFind(const Json& json) {
  PeerFind m;
  BW_TRY(m.reference, ReadCounter(json, "reference"));
  BW_TRY(m.team, ReadId<TeamName>(json, "team"));
  BW_TRY(m.client_request_id,
         StringField(json, "client_request_id", kMaxNameBytes));
  return PeerBody(std::move(m));
}

[[nodiscard]] Json Encode(const PeerFound& m) {
  Json json(::Json::objectValue);
  json["reference"] = WriteCounter(m.reference);
  json["known"] = m.known;
  json["pending"] = m.pending;
  json["answer"] = Write(m.answer);
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeFound(const Json& json) {
  PeerFound m;
  BW_TRY(m.reference, ReadCounter(json, "reference"));
  BW_TRY(m.known, BoolFieldOr(json, "known", false));
  BW_TRY(m.pending, BoolFieldOr(json, "pending", false));
  BW_TRY(m.answer, ReadAnswer(json["answer"]));
  return PeerBody(std::move(m));
}

[[nodiscard]] Json Encode(const PeerForward& m) {
  Json json(::Json::objectValue);
  json["reference"] = WriteCounter(m.reference);
  json["kind"] = std::string(kCallKinds.Name(m.kind));
  json["hops"] = m.hops;
  json["request"] = m.request.str();
  json["key"] = m.key;
  json["timeout_ms"] = ::Json::Int64(m.timeout.count());
  if (m.spec)
    json["spec"] = ToJson(*m.spec);
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeForward(const Json& json) {
  PeerForward m;
  BW_TRY(m.reference, ReadCounter(json, "reference"));
  BW_TRY(m.kind, ReadEnum(json, "kind", kCallKinds));
  BW_TRY(auto hops, IntFieldOr(json, "hops", 0, 0, 16));
  BW_TRY(m.request, ReadId<RequestId>(json, "request"));
  BW_TRY(m.key, StringFieldOr(json, "key", "", 256));
  BW_TRY(m.timeout, ReadMillis(json, "timeout_ms"));
  m.hops = static_cast<std::uint32_t>(hops);
  if (json.isMember("spec")) {
    BW_TRY(m.spec, JobSpecFromJson(json["spec"]));
  }
  return PeerBody(std::move(m));
}

[[nodiscard]] Json Encode(const PeerForwardAnswer& m) {
  Json json(::Json::objectValue);
  json["reference"] = WriteCounter(m.reference);
  json["answer"] = Write(m.answer);
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeForwardAnswer(const Json& json) {
  PeerForwardAnswer m;
  BW_TRY(m.reference, ReadCounter(json, "reference"));
  BW_TRY(m.answer, ReadAnswer(json["answer"]));
  return PeerBody(std::move(m));
}

[[nodiscard]] Json Encode(const PeerHandOver& m) {
  Json json(::Json::objectValue);
  json["epoch"] = WriteCounter(m.epoch);
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeHandOver(const Json& json) {
  PeerHandOver m;
  BW_TRY(m.epoch, ReadCounter(json, "epoch"));
  return PeerBody(m);
}

[[nodiscard]] Json Encode(const PeerHandedOver& m) {
  Json json(::Json::objectValue);
  json["epoch"] = WriteCounter(m.epoch);
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeHandedOver(const Json& json) {
  PeerHandedOver m;
  BW_TRY(m.epoch, ReadCounter(json, "epoch"));
  return PeerBody(m);
}

[[nodiscard]] Json Encode(const PeerReleased& m) {
  Json json(::Json::objectValue);
  json["epoch"] = WriteCounter(m.epoch);
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeReleased(const Json& json) {
  PeerReleased m;
  BW_TRY(m.epoch, ReadCounter(json, "epoch"));
  return PeerBody(m);
}

[[nodiscard]] Json Encode(const PeerResult& m) {
  Json json(::Json::objectValue);
  json["task"] = m.result.task.Text();
  json["state"] = std::string(kTaskStates.Name(m.result.state));
  json["body"] = m.result.body;
  json["length"] = WriteCounter(m.result.length);
  json["hash"] = Hex64(m.result.hash);
  return json;
}

[[nodiscard]] Result<PeerBody> DecodeResult(const Json& json) {
  PeerResult m;
  BW_TRY(auto task, StringField(json, "task", kMaxIdBytes));
  BW_TRY(m.result.task, TaskId::Parse(task));
  BW_TRY(m.result.state, ReadEnum(json, "state", kTaskStates));
  BW_TRY(m.result.body, StringFieldOr(json, "body", "", kMaxResultBytes));
  BW_TRY(m.result.length, ReadCounter(json, "length"));
  BW_TRY(m.result.hash, ReadHash(json, "hash"));
  return PeerBody(std::move(m));
}

struct BodyCodec {
  const char* method;
  Result<PeerBody> (*decode)(const Json&);
};

// In the order of the alternatives of PeerBody.
constexpr BodyCodec kCodecs[] = {
    {"peer.store", DecodeStore},
    {"peer.intend", DecodeIntend},
    {"peer.close", DecodeClose},
    {"peer.ack", DecodeAck},
    {"peer.fenced", DecodeFenced},
    {"peer.gossip", DecodeGossip},
    {"peer.gossip_answer", DecodeGossipAnswer},
    {"peer.find", DecodeFind},
    {"peer.found", DecodeFound},
    {"peer.forward", DecodeForward},
    {"peer.forward_answer", DecodeForwardAnswer},
    {"peer.hand_over", DecodeHandOver},
    {"peer.handed_over", DecodeHandedOver},
    {"peer.released", DecodeReleased},
    {"peer.result", DecodeResult},
};
static_assert(std::size(kCodecs) == std::variant_size_v<PeerBody>);

}  // namespace

}  // namespace peer_codec

using peer_codec::BodyCodec;
using peer_codec::Encode;
using peer_codec::kCodecs;
using peer_codec::ReadId;

std::string MethodOf(const PeerMessage& message) {
  return kCodecs[message.body.index()].method;
}

Json ToJson(const PeerMessage& message) {
  Json json(::Json::objectValue);
  json["from"] = message.from.str();
  json["to"] = message.to.str();
  json["type"] = MethodOf(message);
  json["body"] =
      std::visit([](const auto& body) { return Encode(body); }, message.body);
  return json;
}

Result<PeerMessage> PeerMessageFromJson(const Json& json) {
  if (!json.isObject() || !json["body"].isObject()) {
    return Fail(ErrorCode::kInvalidField,
                "a peer message must be a JSON object with a body");
  }
  PeerMessage message;
  BW_TRY(message.from, ReadId<Incarnation>(json, "from"));
  BW_TRY(message.to, ReadId<Incarnation>(json, "to"));
  BW_TRY(auto type, StringField(json, "type"));
  for (const BodyCodec& codec : kCodecs) {
    if (type == codec.method) {
      BW_TRY(message.body, codec.decode(json["body"]));
      return message;
    }
  }
  return Fail(ErrorCode::kInvalidField,
              "unknown peer message type \"" + type + "\"");
}

}  // namespace boragewinch
