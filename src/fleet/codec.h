#ifndef BORAGEWINCH_FLEET_CODEC_H_
#define BORAGEWINCH_FLEET_CODEC_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/json.h"
#include "base/result.h"
#include "fleet/bounds.h"
#include "model/fleet_types.h"
#include "model/job.h"

namespace boragewinch {

/// Number of tasks by team.
using TeamCounts = std::map<TeamName, std::int64_t>;

[[nodiscard]] Json ToJson(const Pool& pool);
[[nodiscard]] Json ToJson(const Team& team);
[[nodiscard]] Json ToJson(const Queue& queue);
[[nodiscard]] Json ToJson(const Host& host);
[[nodiscard]] Json ToJson(const Key& key);
[[nodiscard]] Json ToJson(const EntryHost& entry);
[[nodiscard]] Json ToJson(const TeamCounts& counts);

[[nodiscard]] Result<Pool> PoolFromJson(const Json& json);
[[nodiscard]] Result<Team> TeamFromJson(const Json& json);
[[nodiscard]] Result<Queue> QueueFromJson(const Json& json);
[[nodiscard]] Result<Host> HostFromJson(const Json& json);
[[nodiscard]] Result<Key> KeyFromJson(const Json& json);
[[nodiscard]] Result<EntryHost> EntryHostFromJson(const Json& json);

/// \brief Reads the object member `name` as numbers of tasks by team.
/// \returns an empty map if the member is absent; kInvalidField for a count
/// outside [low, kMaxLimit] or a malformed name.
[[nodiscard]] Result<TeamCounts> CountsField(const Json& json,
                                             const char* name,
                                             std::int64_t low = 0);

/// \returns the version or counter in member `name`, 0 if it is absent.
[[nodiscard]] Result<std::uint64_t> CounterField(const Json& json,
                                                 const char* name);

/// \returns member `name` if it is an array of at most `max` elements; an empty
/// array if it is absent.
[[nodiscard]] Result<Json> ArrayField(const Json& json,
                                      const char* name,
                                      std::size_t max);

/// \returns the text of member `name`, checked with IsValidName.
[[nodiscard]] Result<std::string> NameText(const Json& json, const char* name);

/// \brief Reads a required name of kind `Id`.
template <typename Id>
[[nodiscard]] Result<Id> NameField(const Json& json, const char* name) {
  BW_TRY(auto text, NameText(json, name));
  return Id(std::move(text));
}

/// \brief Like NameField; an absent or empty member gives an empty id.
template <typename Id>
[[nodiscard]] Result<Id> OptionalName(const Json& json, const char* name) {
  if (!json.isObject() || !json.isMember(name) || json[name] == "")
    return Id();
  return NameField<Id>(json, name);
}

/// \returns `value` as a JSON integer; counters stay far below 2^63.
[[nodiscard]] inline Json Counter(std::uint64_t value) {
  return Json(static_cast<::Json::Int64>(value));
}

/// \returns a JSON array of ToJson of each element.
template <typename Range>
[[nodiscard]] Json ArrayOf(const Range& range) {
  Json array(::Json::arrayValue);
  for (const auto& element : range)
    array.append(ToJson(element));
  return array;
}

/// \returns a JSON array of the values of `map`, in key order.
template <typename Map>
[[nodiscard]] Json ArrayOfValues(const Map& map) {
  Json array(::Json::arrayValue);
  for (const auto& [key, value] : map)
    array.append(ToJson(value));
  return array;
}

/// \returns a JSON array of `ids` as strings.
template <typename Range>
[[nodiscard]] Json ArrayOfIds(const Range& ids) {
  Json array(::Json::arrayValue);
  for (const auto& id : ids)
    array.append(id.str());
  return array;
}

/// \brief Reads an array of names into the container `Ids`.
template <typename Ids>
[[nodiscard]] Result<Ids> IdsField(const Json& json,
                                   const char* name,
                                   std::size_t max) {
  BW_TRY(const auto array, ArrayField(json, name, max));
  Ids ids;
  for (const Json& element : array) {
    if (!element.isString() || !IsValidName(element.asString())) {
      return Fail(ErrorCode::kInvalidField,
                  "field \"" + std::string(name) + "\" must list valid names");
    }
    ids.insert(ids.end(), typename Ids::value_type(element.asString()));
  }
  return ids;
}

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_CODEC_H_
