#ifndef BORAGEWINCH_ENTRY_PEER_CODEC_H_
#define BORAGEWINCH_ENTRY_PEER_CODEC_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/json.h"
#include "base/result.h"
#include "entry/peer_message.h"

/// JSON encoding and decoding of the parts of peer messages.
namespace boragewinch::peer_codec {

inline constexpr std::size_t kMaxIdBytes = 280;
inline constexpr ::Json::ArrayIndex kMaxArrayItems = 100'000;

[[nodiscard]] Json WriteCounter(std::uint64_t value);
[[nodiscard]] Json Write(const RecordVersion& version);
[[nodiscard]] Json Write(const Intent& intent);
[[nodiscard]] Json Write(const Closing& closing);
[[nodiscard]] Json Write(const JobAnswer& answer);
[[nodiscard]] Json Write(const LeavingWorker& worker);
[[nodiscard]] Json Write(const UnresponsivePeer& peer);
[[nodiscard]] Json Write(const std::map<TeamName, std::int64_t>& counts);

/// All Read functions fail with kInvalidField, kMissingField or kTooLarge.
[[nodiscard]] Result<std::uint64_t> ReadCounter(const Json& json,
                                                const char* name);
[[nodiscard]] Result<std::uint64_t> ReadHash(const Json& json,
                                             const char* name);
[[nodiscard]] Result<Millis> ReadMillis(const Json& json, const char* name);
[[nodiscard]] Result<std::string> ReadString(const Json& json);
[[nodiscard]] Result<RecordVersion> ReadVersion(const Json& json);
[[nodiscard]] Result<Intent> ReadIntent(const Json& json);
[[nodiscard]] Result<Closing> ReadClosing(const Json& json);
[[nodiscard]] Result<JobAnswer> ReadAnswer(const Json& json);
[[nodiscard]] Result<LeavingWorker> ReadLeaving(const Json& json);
[[nodiscard]] Result<UnresponsivePeer> ReadUnresponsive(const Json& json);
[[nodiscard]] Result<std::map<TeamName, std::int64_t>> ReadTeamCounts(
    const Json& json);
/// \brief Calls `read` for each item of the optional array `name`.
[[nodiscard]] Status ReadArray(const Json& json,
                               const char* name,
                               const std::function<Status(const Json&)>& read);

template <typename Id>
[[nodiscard]] Result<Id> ReadId(const Json& json, const char* name) {
  BW_TRY(auto text, StringFieldOr(json, name, "", kMaxIdBytes));
  return Id(std::move(text));
}

template <typename E, std::size_t N>
[[nodiscard]] Result<E> ReadEnum(const Json& json,
                                 const char* name,
                                 const EnumTable<E, N>& table) {
  BW_TRY(auto text, StringField(json, name));
  const auto value = table.Parse(text);
  if (!value) {
    return Fail(ErrorCode::kInvalidField, "field \"" + std::string(name) +
                                              "\" has the unknown value \"" +
                                              text + "\"");
  }
  return *value;
}

}  // namespace boragewinch::peer_codec

#endif  // BORAGEWINCH_ENTRY_PEER_CODEC_H_
