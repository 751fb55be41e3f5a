#ifndef BORAGEWINCH_BASE_JSON_H_
#define BORAGEWINCH_BASE_JSON_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <json/value.h>

#include "base/result.h"

namespace boragewinch {

using Json = ::Json::Value;

/// Nesting limit for untrusted JSON.
inline constexpr int kMaxJsonDepth = 32;

/// Limit on the values of an untrusted document. Each one takes about 110 bytes
/// of memory and as little as two bytes of text; together they take some three
/// times as much as the largest body, which has 4 MiB. The largest message is a
/// configuration, with some 15 values for each of up to 1,700 queues.
inline constexpr std::size_t kMaxJsonValues = 120'000;

/// \brief Parses one JSON document from outside.
/// \returns the document, kTooLarge if it may have more than kMaxJsonValues, or
/// kInvalidJson with the parser's message and position.
[[nodiscard]] Result<Json> ParseJson(std::string_view text);

/// \brief Parses a document that a process of this system has written, of any
/// size.
[[nodiscard]] Result<Json> ParseTrustedJson(std::string_view text);

/// \returns `value` on one line, without trailing newline.
[[nodiscard]] std::string WriteJson(const Json& value);

/// \brief Reads a required string member.
/// \returns kMissingField, kInvalidField (wrong type) or kTooLarge.
[[nodiscard]] Result<std::string> StringField(const Json& object,
                                              const char* name,
                                              std::size_t max_bytes = 128);

/// \brief Reads a required integer member within [low, high].
[[nodiscard]] Result<std::int64_t> IntField(const Json& object,
                                            const char* name,
                                            std::int64_t low,
                                            std::int64_t high);

/// \brief Reads a required boolean member.
[[nodiscard]] Result<bool> BoolField(const Json& object, const char* name);

/// \brief Like StringField, with a default for an absent member.
[[nodiscard]] Result<std::string> StringFieldOr(const Json& object,
                                                const char* name,
                                                std::string fallback,
                                                std::size_t max_bytes = 128);

/// \brief Like IntField, with a default for an absent member.
[[nodiscard]] Result<std::int64_t> IntFieldOr(const Json& object,
                                              const char* name,
                                              std::int64_t fallback,
                                              std::int64_t low,
                                              std::int64_t high);

/// \brief Reads a boolean member, with a default for an absent one.
[[nodiscard]] Result<bool> BoolFieldOr(const Json& object,
                                       const char* name,
                                       bool fallback);

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_JSON_H_
