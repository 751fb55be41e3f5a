#include "raft/message.h"

#include <charconv>
#include <limits>
#include <utility>

#include "base/hash.h"
#include "base/wire.h"
#include "raft/configuration.h"

namespace boragewinch::raft {

namespace {

constexpr std::size_t kMaxEntries = 4096;
constexpr std::size_t kHashDigits = 16;
/// A command of the maximum size must fit into one message.
constexpr std::size_t kMaxDataBytes = kMaxCommandBytes;

void PutNumber(Json* json, const char* name, std::uint64_t value) {
  if (value != 0)
    (*json)[name] = ::Json::Int64(value);
}

[[nodiscard]] Result<std::uint64_t> NumberField(
    const Json& json,
    const char* name,
    std::uint64_t high = kMaxIndex) {
  BW_TRY(const auto value,
         IntFieldOr(json, name, 0, 0, static_cast<std::int64_t>(high)));
  return static_cast<std::uint64_t>(value);
}

[[nodiscard]] Result<std::uint64_t> HashField(const Json& json,
                                              const char* name) {
  BW_TRY(const auto text, StringFieldOr(json, name, "0", kHashDigits));
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (error != std::errc() || end != text.data() + text.size()) {
    return Fail(ErrorCode::kInvalidField,
                "field \"" + std::string(name) + "\" must be hexadecimal");
  }
  return value;
}

[[nodiscard]] Result<std::string> DataField(const Json& json,
                                            const char* name) {
  // BytesToText encodes bytes from 128 up as two bytes.
  BW_TRY(const auto text, StringFieldOr(json, name, "", 2 * kMaxDataBytes));
  BW_TRY(auto bytes, BytesFromText(text));
  if (bytes.size() > kMaxDataBytes) {
    return Fail(ErrorCode::kTooLarge,
                "field \"" + std::string(name) + "\" holds " +
                    std::to_string(bytes.size()) + " bytes, at most " +
                    std::to_string(kMaxDataBytes) + " are allowed");
  }
  return bytes;
}

[[nodiscard]] Status CheckEntry(const Entry& entry) {
  if (entry.kind == EntryKind::kConfiguration) {
    BW_TRY(const Json members, ParseTrustedJson(entry.data));
    BW_CHECK(ConfigurationFromJson(members));
  }
  return Ok();
}

[[nodiscard]] Result<std::vector<Entry>> EntriesField(const Json& json) {
  std::vector<Entry> entries;
  if (!json.isMember("entries"))
    return entries;
  const Json& list = json["entries"];
  if (!list.isArray())
    return Fail(ErrorCode::kInvalidField, "field \"entries\" must be a list");
  if (list.size() > kMaxEntries) {
    return Fail(ErrorCode::kTooLarge,
                "field \"entries\" has " + std::to_string(list.size()) +
                    " elements, at most " + std::to_string(kMaxEntries) +
                    " are allowed");
  }
  entries.reserve(list.size());
  for (const Json& item : list) {
    if (!item.isObject())
      return Fail(ErrorCode::kInvalidField, "an entry must be an object");
    Entry entry;
    BW_TRY(entry.term, NumberField(item, "term"));
    BW_TRY(const auto name, StringField(item, "kind", kMaxIdBytes));
    const auto kind = kEntryKinds.Parse(name);
    if (!kind)
      return Fail(ErrorCode::kInvalidField, "unknown entry kind");
    entry.kind = *kind;
    BW_TRY(entry.data, DataField(item, "data"));
    BW_CHECK(CheckEntry(entry));
    entries.push_back(std::move(entry));
  }
  return entries;
}

}  // namespace

std::string BytesToText(std::string_view bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x80) {
      text.push_back(c);
    } else {
      text.push_back(static_cast<char>(0xc0 | (byte >> 6)));
      text.push_back(static_cast<char>(0x80 | (byte & 0x3f)));
    }
  }
  return text;
}

Result<std::string> BytesFromText(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto first = static_cast<unsigned char>(text[i]);
    if (first < 0x80) {
      bytes.push_back(text[i]);
      continue;
    }
    const auto second =
        i + 1 < text.size() ? static_cast<unsigned char>(text[i + 1]) : 0;
    if ((first != 0xc2 && first != 0xc3) || (second & 0xc0) != 0x80) {
      return Fail(
          ErrorCode::kInvalidField,
          "text holds a code point above 255 and can't be decoded to bytes");
    }
    bytes.push_back(static_cast<char>((first & 0x03) << 6 | (second & 0x3f)));
    ++i;
  }
  return bytes;
}

std::string EncodeMessage(const Message& message) {
  WireWriter out;
  out.Enum(message.kind);
  out.Text(message.cluster);
  out.Text(message.from.str());
  out.Text(message.to.str());
  out.Text(message.session);
  out.Number(message.boots);
  out.Number(message.term);
  out.Number(message.index);
  out.Number(message.log_term);
  out.Number(message.last_index);
  out.Number(message.commit);
  out.Number(message.config_index);
  out.Number(message.offset);
  out.Number(message.total);
  out.Signed(message.sent_ms);
  out.Number(message.chain);
  out.Number(message.hash);
  out.Flag(message.granted);
  out.Flag(message.transfer);
  out.Text(message.data);
  out.Number(message.entries.size());
  for (const Entry& entry : message.entries) {
    out.Number(entry.term);
    out.Enum(entry.kind);
    out.Text(entry.data);
  }
  return out.Take();
}

Result<Message> DecodeMessage(std::string_view bytes) {
  WireReader in(bytes);
  Message message;
  message.kind = in.Enum(kMessageKinds);
  message.cluster = in.Text(kMaxIdBytes);
  message.from = ReplicaId(std::string(in.Text(kMaxIdBytes)));
  message.to = ReplicaId(std::string(in.Text(kMaxIdBytes)));
  message.session = in.Text(kMaxIdBytes);
  message.boots = in.Number(kMaxIndex);
  message.term = in.Number(kMaxIndex);
  message.index = in.Number(kMaxIndex);
  message.log_term = in.Number(kMaxIndex);
  message.last_index = in.Number(kMaxIndex);
  message.commit = in.Number(kMaxIndex);
  message.config_index = in.Number(kMaxIndex);
  message.offset = in.Number(kMaxSnapshotBytes);
  message.total = in.Number(kMaxSnapshotBytes);
  message.sent_ms = in.Signed();
  if (message.sent_ms < 0 ||
      message.sent_ms > std::numeric_limits<std::int64_t>::max() / 2) {
    in.SetError("message time is out of range");
  }
  message.chain = in.Number();
  message.hash = in.Number();
  message.granted = in.Flag();
  message.transfer = in.Flag();
  message.data = in.Text(kMaxDataBytes);
  const std::size_t entries = in.Count(kMaxEntries);
  message.entries.reserve(entries);
  for (std::size_t i = 0; i < entries && !in.failed(); ++i) {
    Entry& entry = message.entries.emplace_back();
    entry.term = in.Number(kMaxIndex);
    entry.kind = in.Enum(kEntryKinds);
    entry.data = in.Text(kMaxDataBytes);
  }
  BW_CHECK(in.Finish());
  if (message.from.empty())
    return Fail(ErrorCode::kInvalidField, "message has no sender");
  for (const Entry& entry : message.entries)
    BW_CHECK(CheckEntry(entry));
  return message;
}

std::size_t DataBytes(const Message& message) {
  std::size_t bytes = message.data.size();
  for (const Entry& entry : message.entries)
    bytes += entry.data.size();
  return bytes;
}

Json ToJson(const Message& message) {
  Json json(::Json::objectValue);
  json["kind"] = std::string(kMessageKinds.Name(message.kind));
  json["cluster"] = message.cluster;
  json["from"] = message.from.str();
  json["to"] = message.to.str();
  json["session"] = message.session;
  PutNumber(&json, "boots", message.boots);
  PutNumber(&json, "term", message.term);
  PutNumber(&json, "index", message.index);
  PutNumber(&json, "log_term", message.log_term);
  PutNumber(&json, "last_index", message.last_index);
  PutNumber(&json, "commit", message.commit);
  PutNumber(&json, "config_index", message.config_index);
  PutNumber(&json, "offset", message.offset);
  PutNumber(&json, "total", message.total);
  json["sent_ms"] = ::Json::Int64(message.sent_ms);
  if (message.chain != 0)
    json["chain"] = Hex64(message.chain);
  if (message.hash != 0)
    json["hash"] = Hex64(message.hash);
  if (message.granted)
    json["granted"] = true;
  if (message.transfer)
    json["transfer"] = true;
  if (!message.data.empty())
    json["data"] = BytesToText(message.data);
  for (const Entry& entry : message.entries) {
    Json item(::Json::objectValue);
    item["term"] = ::Json::Int64(entry.term);
    item["kind"] = std::string(kEntryKinds.Name(entry.kind));
    item["data"] = BytesToText(entry.data);
    json["entries"].append(std::move(item));
  }
  return json;
}

Result<Message> MessageFromJson(const Json& json) {
  if (!json.isObject())
    return Fail(ErrorCode::kInvalidField, "a message must be a JSON object");
  Message message;
  BW_TRY(const auto name, StringField(json, "kind", kMaxIdBytes));
  const auto kind = kMessageKinds.Parse(name);
  if (!kind)
    return Fail(ErrorCode::kInvalidField, "unknown message kind");
  message.kind = *kind;
  BW_TRY(message.cluster, StringField(json, "cluster", kMaxIdBytes));
  BW_TRY(auto from, StringField(json, "from", kMaxIdBytes));
  BW_TRY(auto to, StringField(json, "to", kMaxIdBytes));
  if (from.empty())
    return Fail(ErrorCode::kInvalidField, "field \"from\" is empty");
  message.from = ReplicaId(std::move(from));
  message.to = ReplicaId(std::move(to));
  BW_TRY(message.session, StringField(json, "session", kMaxIdBytes));
  BW_TRY(message.boots, NumberField(json, "boots"));
  BW_TRY(message.term, NumberField(json, "term"));
  BW_TRY(message.index, NumberField(json, "index"));
  BW_TRY(message.log_term, NumberField(json, "log_term"));
  BW_TRY(message.last_index, NumberField(json, "last_index"));
  BW_TRY(message.commit, NumberField(json, "commit"));
  BW_TRY(message.config_index, NumberField(json, "config_index"));
  BW_TRY(message.offset, NumberField(json, "offset", kMaxSnapshotBytes));
  BW_TRY(message.total, NumberField(json, "total", kMaxSnapshotBytes));
  BW_TRY(message.sent_ms,
         IntFieldOr(json, "sent_ms", 0, 0,
                    std::numeric_limits<std::int64_t>::max() / 2));
  BW_TRY(message.chain, HashField(json, "chain"));
  BW_TRY(message.hash, HashField(json, "hash"));
  BW_TRY(message.granted, BoolFieldOr(json, "granted", false));
  BW_TRY(message.transfer, BoolFieldOr(json, "transfer", false));
  BW_TRY(message.data, DataField(json, "data"));
  BW_TRY(message.entries, EntriesField(json));
  return message;
}

}  // namespace boragewinch::raft
