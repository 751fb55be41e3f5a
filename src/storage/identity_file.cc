#include "storage/identity_file.h"

#include <limits>
#include <utility>

#include "base/json.h"

namespace boragewinch {

namespace {

[[nodiscard]] Result<HardState> HardStateFromJson(const Json& json) {
  constexpr std::int64_t kMax = std::numeric_limits<std::int64_t>::max();
  HardState state;
  BW_TRY(state.cluster, StringField(json, "cluster"));
  BW_TRY(state.replica, StringField(json, "replica"));
  BW_TRY(const auto term, IntField(json, "term", 0, kMax));
  BW_TRY(state.vote, StringField(json, "vote"));
  BW_TRY(const auto boots, IntField(json, "boots", 0, kMax));
  BW_TRY(state.has_log, BoolFieldOr(json, "has_log", false));
  BW_TRY(state.member, BoolFieldOr(json, "member", false));
  state.term = static_cast<std::uint64_t>(term);
  state.boots = static_cast<std::uint64_t>(boots);
  return state;
}

}  // namespace

IdentityFile::IdentityFile(FileSystem file_system, std::string directory)
    : file_(std::move(file_system), std::move(directory), "identity") {}

Status IdentityFile::Write(const HardState& state) const {
  Json json(::Json::objectValue);
  json["cluster"] = state.cluster;
  json["replica"] = state.replica;
  json["term"] = ::Json::Int64(state.term);
  json["vote"] = state.vote;
  json["boots"] = ::Json::Int64(state.boots);
  json["has_log"] = state.has_log;
  json["member"] = state.member;
  return file_.Write(WriteJson(json));
}

Result<std::optional<HardState>> IdentityFile::Read() const {
  BW_TRY(const auto content, file_.Read());
  if (!content)
    return std::optional<HardState>();
  const auto parse = [&]() -> Result<HardState> {
    BW_TRY(const Json json, ParseTrustedJson(*content));
    return HardStateFromJson(json);
  };
  auto state = parse();
  if (!state) {
    return Fail(ErrorCode::kStorageCorrupt,
                "identity file: " + state.error().Text());
  }
  return std::optional<HardState>(std::move(state).value());
}

}  // namespace boragewinch
