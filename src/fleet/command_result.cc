#include "fleet/command_result.h"

#include <limits>
#include <utility>

#include "fleet/codec.h"

namespace boragewinch {

namespace {

constexpr std::size_t kMaxDetailBytes = 4'096;

}  // namespace

Json ToJson(const Error& error) {
  Json json(::Json::objectValue);
  json["code"] = std::string(kErrorCodes.Name(error.code));
  json["detail"] = error.detail;
  if (error.position) {
    json["file"] = error.position->file;
    json["line"] = error.position->line;
    json["column"] = error.position->column;
  }
  return json;
}

Status ReadError(const Json& json, Error* error) {
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max();
  BW_TRY(const auto name, StringField(json, "code"));
  const auto code = kErrorCodes.Parse(name);
  if (!code)
    return Fail(ErrorCode::kInvalidField,
                "unknown error code \"" + name + "\"");
  *error = Error{*code, "", std::nullopt};
  BW_TRY(error->detail, StringFieldOr(json, "detail", "", kMaxDetailBytes));
  if (json.isMember("line")) {
    SourcePosition position;
    BW_TRY(position.file, StringFieldOr(json, "file", "", kMaxDetailBytes));
    BW_TRY(const auto line, IntField(json, "line", 0, kMax));
    BW_TRY(const auto column, IntFieldOr(json, "column", 0, 0, kMax));
    position.line = static_cast<std::uint32_t>(line);
    position.column = static_cast<std::uint32_t>(column);
    error->position = std::move(position);
  }
  return Ok();
}

Json ToJson(const CommandResult& result) {
  Json json(::Json::objectValue);
  json["accepted"] = result.accepted;
  json["changed"] = result.changed;
  json["resent"] = result.resent;
  json["version"] = Counter(result.version);
  json["index"] = Counter(result.index);
  json["errors"] = ArrayOf(result.errors);
  json["notes"] = Json(::Json::arrayValue);
  for (const auto& note : result.notes)
    json["notes"].append(note);
  return json;
}

Result<CommandResult> CommandResultFromJson(const Json& json) {
  CommandResult result;
  BW_TRY(result.accepted, BoolFieldOr(json, "accepted", false));
  BW_TRY(result.changed, BoolFieldOr(json, "changed", false));
  BW_TRY(result.resent, BoolFieldOr(json, "resent", false));
  BW_TRY(result.version, CounterField(json, "version"));
  BW_TRY(result.index, CounterField(json, "index"));
  BW_TRY(const auto errors, ArrayField(json, "errors", kMaxResultErrors + 1));
  for (const Json& item : errors) {
    Error error{ErrorCode::kInvalidField, "", std::nullopt};
    BW_CHECK(ReadError(item, &error));
    result.errors.push_back(std::move(error));
  }
  BW_TRY(const auto notes, ArrayField(json, "notes", kMaxResultNotes + 1));
  for (const Json& item : notes) {
    if (!item.isString() || item.asString().size() > kMaxDetailBytes)
      return Fail(ErrorCode::kInvalidField, "a note must be a short string");
    result.notes.push_back(item.asString());
  }
  return result;
}

}  // namespace boragewinch
