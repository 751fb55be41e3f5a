#define BOOST_TEST_MODULE raft_message
#include <boost/test/unit_test.hpp>

#include <boost/test/data/test_case.hpp>

#include <ostream>

#include "base/json.h"
#include "raft/message.h"

namespace boragewinch::raft {
namespace {

struct BadMessage {
  const char* text;
  ErrorCode code;
};
std::ostream& operator<<(std::ostream& out, const BadMessage& message) {
  return out << message.text;
}
#define BW_MESSAGE(rest) \
  R"({"kind":"append","cluster":"c","from":"a.1","to":"b.1","session":"s")" rest
constexpr BadMessage kBadMessages[] = {
    {"[]", ErrorCode::kInvalidField},
    {"{}", ErrorCode::kMissingField},
    {R"({"kind":"none"})", ErrorCode::kInvalidField},
    {R"({"kind":"append"})", ErrorCode::kMissingField},
    {BW_MESSAGE(R"(,"term":-1})"), ErrorCode::kInvalidField},
    {BW_MESSAGE(R"(,"index":9007199254740992})"), ErrorCode::kInvalidField},
    {BW_MESSAGE(R"(,"chain":"xyz"})"), ErrorCode::kInvalidField},
    {BW_MESSAGE(R"(,"chain":"00000000000000001"})"), ErrorCode::kTooLarge},
    {BW_MESSAGE(R"(,"offset":1e12})"), ErrorCode::kInvalidField},
    {BW_MESSAGE(R"(,"data":"\u0100"})"), ErrorCode::kInvalidField},
    {BW_MESSAGE(R"(,"entries":{}})"), ErrorCode::kInvalidField},
    {BW_MESSAGE(R"(,"entries":[1]})"), ErrorCode::kInvalidField},
    {BW_MESSAGE(R"(,"entries":[{"term":1}]})"), ErrorCode::kMissingField},
    {BW_MESSAGE(R"(,"entries":[{"kind":"configuration","data":"{}"}]})"),
     ErrorCode::kInvalidField},
};
#undef BW_MESSAGE

// Guards against a message from outside that breaks the replica.
BOOST_DATA_TEST_CASE(MalformedMessageIsRefused, kBadMessages, bad) {
  const auto json = ParseJson(bad.text);
  BOOST_REQUIRE(json);
  const auto message = MessageFromJson(json.value());
  BOOST_REQUIRE(!message);
  BOOST_TEST(kErrorCodes.Name(message.error().code) ==
             kErrorCodes.Name(bad.code));
}

// Guards against commands that change on the way: any bytes may occur.
BOOST_AUTO_TEST_CASE(MessageSurvivesEncoding) {
  Message message;
  message.from = ReplicaId("a.1");
  message.to = ReplicaId("b.1");
  message.chain = ~0ULL;
  message.hash = 1;
  message.sent_ms = 123;
  for (int byte = 0; byte < 256; ++byte)
    message.data.push_back(static_cast<char>(byte));
  message.entries = {{7, EntryKind::kCommand, message.data},
                     {8, EntryKind::kNoop, ""}};
  const auto json = ParseJson(WriteJson(ToJson(message)));
  BOOST_REQUIRE(json);
  const auto copy = MessageFromJson(json.value());
  BOOST_REQUIRE(copy);
  BOOST_TEST((copy.value().data == message.data));
  BOOST_TEST((copy.value().entries == message.entries));
  BOOST_TEST(copy.value().chain == message.chain);
  BOOST_TEST(WriteJson(ToJson(copy.value())) == WriteJson(ToJson(message)));
}

}  // namespace
}  // namespace boragewinch::raft
