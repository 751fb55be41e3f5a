#define BOOST_TEST_MODULE raft_message
#include <boost/test/unit_test.hpp>

#include <boost/test/data/test_case.hpp>

#include <functional>
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

// Guards against a malformed message that crashes or corrupts the replica.
BOOST_DATA_TEST_CASE(MalformedMessageIsRefused, kBadMessages, bad) {
  const auto json = ParseJson(bad.text);
  BOOST_REQUIRE(json);
  const auto message = MessageFromJson(json.value());
  BOOST_REQUIRE(!message);
  BOOST_TEST(kErrorCodes.Name(message.error().code) ==
             kErrorCodes.Name(bad.code));
}

// Guards against commands that the JSON encoding changes: they may hold any
// bytes.
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

[[nodiscard]] Message Append() {
  Message message;
  message.cluster = "c";
  message.from = ReplicaId("a.1");
  message.to = ReplicaId("b.1");
  message.session = "s";
  message.boots = 3;
  message.term = 7;
  message.index = 300;
  message.log_term = 6;
  message.last_index = 301;
  message.commit = 299;
  message.config_index = 2;
  message.offset = 5;
  message.total = 6;
  message.chain = ~0ULL;
  message.hash = 1;
  message.sent_ms = 123;
  message.granted = true;
  message.transfer = true;
  for (int byte = 0; byte < 256; ++byte)
    message.data.push_back(static_cast<char>(byte));
  message.entries = {{7, EntryKind::kCommand, message.data},
                     {8, EntryKind::kNoop, ""}};
  return message;
}

// Guards against commands that the binary encoding changes.
BOOST_AUTO_TEST_CASE(MessageSurvivesBinaryEncoding) {
  const Message message = Append();
  const auto copy = DecodeMessage(EncodeMessage(message));
  BOOST_REQUIRE(copy);
  BOOST_TEST((copy.value().entries == message.entries));
  BOOST_TEST(WriteJson(ToJson(copy.value())) == WriteJson(ToJson(message)));
}

// Guards against malformed bytes that crash or corrupt the replica.
BOOST_AUTO_TEST_CASE(MalformedBytesAreRefused) {
  const auto code_of = [](const std::string& bytes) {
    const auto read = DecodeMessage(bytes);
    return read ? std::string("taken")
                : std::string(kErrorCodes.Name(read.error().code));
  };
  const std::string bytes = EncodeMessage(Append());
  for (std::size_t size = 0; size < bytes.size(); ++size)
    BOOST_TEST(code_of(bytes.substr(0, size)) == "invalid_field");
  BOOST_TEST(code_of(bytes + "x") == "invalid_field");
  std::string other = bytes;
  other[0] = 99;  // invalid message kind
  BOOST_TEST(code_of(other) == "invalid_field");
  const auto changed = [&](const std::function<void(Message*)>& change) {
    Message message = Append();
    change(&message);
    return code_of(EncodeMessage(message));
  };
  BOOST_TEST(changed([](Message* m) { m->index = kMaxIndex + 1; }) ==
             "invalid_field");
  BOOST_TEST(changed([](Message* m) { m->offset = kMaxSnapshotBytes + 1; }) ==
             "invalid_field");
  BOOST_TEST(changed([](Message* m) { m->sent_ms = -1; }) == "invalid_field");
  BOOST_TEST(changed([](Message* m) { m->from = ReplicaId(); }) ==
             "invalid_field");
  BOOST_TEST(changed([](Message* m) { m->cluster.resize(kMaxIdBytes + 1); }) ==
             "too_large");
  BOOST_TEST(changed([](Message* m) {
               m->entries.push_back({1, EntryKind::kConfiguration, "{}"});
             }) == "invalid_field");
  BOOST_TEST(changed([](Message* m) {
               m->data.resize(kMaxCommandBytes + 1);
             }) == "too_large");
}

}  // namespace
}  // namespace boragewinch::raft
