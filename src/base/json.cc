#include "base/json.h"

#include <algorithm>
#include <memory>
#include <sstream>
#include <utility>

#include <json/reader.h>
#include <json/writer.h>

namespace boragewinch {

namespace {

[[nodiscard]] bool Has(const Json& object, const char* name) {
  return object.isObject() && object.isMember(name) && !object[name].isNull();
}

[[nodiscard]] auto Missing(const char* name) {
  return Fail(ErrorCode::kMissingField,
              "field \"" + std::string(name) + "\" is required");
}

/// \returns an upper bound of the number of values in a document. Characters in
/// strings count as well, as only a parser can tell them from others.
[[nodiscard]] std::size_t MaxValuesOf(std::string_view text) {
  return 1 + static_cast<std::size_t>(std::count_if(
                 text.begin(), text.end(),
                 [](char c) { return c == ',' || c == '[' || c == '{'; }));
}

}  // namespace

Result<Json> ParseJson(std::string_view text) {
  if (text.size() > kMaxJsonValues && MaxValuesOf(text) > kMaxJsonValues) {
    return Fail(ErrorCode::kTooLarge, "the document has more than " +
                                          std::to_string(kMaxJsonValues) +
                                          " values");
  }
  return ParseTrustedJson(text);
}

Result<Json> ParseTrustedJson(std::string_view text) {
  static const ::Json::CharReaderBuilder kBuilder = [] {
    ::Json::CharReaderBuilder builder;
    ::Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = kMaxJsonDepth;
    builder["strictRoot"] = false;
    return builder;
  }();
  // The reader is reused: creating one looks up a dozen settings, which takes
  // longer than parsing a short message.
  static thread_local const std::unique_ptr<::Json::CharReader> kReader(
      kBuilder.newCharReader());
  Json value;
  std::string errors;
  // jsoncpp reports excessive depth by exception.
  try {
    if (!kReader->parse(text.data(), text.data() + text.size(), &value,
                        &errors)) {
      return Fail(ErrorCode::kInvalidJson, std::move(errors));
    }
  } catch (const std::exception& failure) {
    return Fail(ErrorCode::kInvalidJson, failure.what());
  }
  return value;
}

std::string WriteJson(const Json& value) {
  static const ::Json::StreamWriterBuilder kBuilder = [] {
    ::Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return builder;
  }();
  static thread_local const std::unique_ptr<::Json::StreamWriter> kWriter(
      kBuilder.newStreamWriter());
  std::ostringstream out;
  kWriter->write(value, &out);
  return std::move(out).str();
}

Result<std::string> StringField(const Json& object,
                                const char* name,
                                std::size_t max_bytes) {
  if (!Has(object, name))
    return Missing(name);
  const Json& value = object[name];
  if (!value.isString()) {
    return Fail(ErrorCode::kInvalidField,
                "field \"" + std::string(name) + "\" must be a string");
  }
  std::string text = value.asString();
  if (text.size() > max_bytes) {
    return Fail(ErrorCode::kTooLarge,
                "field \"" + std::string(name) + "\" has " +
                    std::to_string(text.size()) + " bytes, at most " +
                    std::to_string(max_bytes) + " are allowed");
  }
  return text;
}

Result<std::int64_t> IntField(const Json& object,
                              const char* name,
                              std::int64_t low,
                              std::int64_t high) {
  if (!Has(object, name))
    return Missing(name);
  const Json& value = object[name];
  const bool in_range = value.isInt64() && !value.isBool() &&
                        value.asInt64() >= low && value.asInt64() <= high;
  if (!in_range) {
    return Fail(ErrorCode::kInvalidField,
                "field \"" + std::string(name) + "\" must be an integer from " +
                    std::to_string(low) + " to " + std::to_string(high) +
                    ", found " + WriteJson(value).substr(0, 64));
  }
  return value.asInt64();
}

Result<bool> BoolField(const Json& object, const char* name) {
  if (!Has(object, name))
    return Missing(name);
  return BoolFieldOr(object, name, false);
}

Result<std::string> StringFieldOr(const Json& object,
                                  const char* name,
                                  std::string fallback,
                                  std::size_t max_bytes) {
  if (!Has(object, name))
    return fallback;
  return StringField(object, name, max_bytes);
}

Result<std::int64_t> IntFieldOr(const Json& object,
                                const char* name,
                                std::int64_t fallback,
                                std::int64_t low,
                                std::int64_t high) {
  if (!Has(object, name))
    return fallback;
  return IntField(object, name, low, high);
}

Result<bool> BoolFieldOr(const Json& object, const char* name, bool fallback) {
  if (!Has(object, name))
    return fallback;
  if (!object[name].isBool()) {
    return Fail(ErrorCode::kInvalidField,
                "field \"" + std::string(name) + "\" must be true or false");
  }
  return object[name].asBool();
}

}  // namespace boragewinch
