#define BOOST_TEST_MODULE json_size
#include <boost/test/unit_test.hpp>

#include <string>

#include "base/json.h"

namespace boragewinch {
namespace {

constexpr std::size_t kBodyBytes = 4UL * 1024 * 1024;

/// \returns an array whose elements have as little text as possible.
[[nodiscard]] std::string ArrayOf(std::size_t values,
                                  const std::string& value) {
  std::string text = "[";
  for (std::size_t i = 0; i < values; ++i)
    text += (i == 0 ? "" : ",") + value;
  return text + "]";
}

// Guards against a process that is ended for its memory because of a body of a
// few MB: as a tree, each value takes 50 times as much as its text.
BOOST_AUTO_TEST_CASE(ABodyOfManyValuesIsRefusedBeforeItIsParsed) {
  for (const std::string value :
       {"0", "[]", "{}", "\"\"", "[[]]", "{\"\":0}"}) {
    const auto json =
        ParseJson(ArrayOf(kBodyBytes / (value.size() + 1), value));
    BOOST_REQUIRE(!json);
    BOOST_TEST((json.error().code == ErrorCode::kTooLarge));
  }
  std::string object = "{";
  for (std::size_t i = 0; object.size() < kBodyBytes; ++i)
    object += (i == 0 ? "\"" : ",\"") + std::to_string(i) + "\":0";
  const auto json = ParseJson(object + "}");
  BOOST_REQUIRE(!json);
  BOOST_TEST((json.error().code == ErrorCode::kTooLarge));
}

// Guards against a limit that refuses large configurations, or long texts.
BOOST_AUTO_TEST_CASE(OrdinaryDocumentsOfTheSameSizeAreRead) {
  BOOST_TEST(!!ParseJson(ArrayOf(kMaxJsonValues - 2, "0")));
  BOOST_TEST(!!ParseJson("\"" + std::string(kBodyBytes, 'x') + "\""));
  BOOST_TEST(
      !!ParseJson(ArrayOf(1'000, "\"" + std::string(4'000, 'x') + "\"")));
}

// Guards against the system's own data that can't be read back.
BOOST_AUTO_TEST_CASE(TheSystemsOwnDataHasNoLimit) {
  const auto json = ParseTrustedJson(ArrayOf(2 * kMaxJsonValues, "0"));
  BOOST_REQUIRE(json);
  BOOST_TEST(json.value().size() == 2 * kMaxJsonValues);
}

}  // namespace
}  // namespace boragewinch
