#define BOOST_TEST_MODULE worker_call_codec
#include <boost/test/unit_test.hpp>

#include "ledger_builder.h"
#include "scheduler/worker_call_codec.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

jobs::WorkerNote Worker(const std::string& id) {
  jobs::WorkerNote worker;
  worker.life = LedgerBuilder::Life(id, 7);
  worker.address = "10.0.0.1:80";
  return worker;
}

StartCall Start(std::uint32_t index) {
  StartCall start;
  start.run = LedgerBuilder::Run("job", 1, index);
  start.payload = "payload";
  start.checkpoint = "saved";
  start.ticket = "ticket";
  start.token = 9;
  start.lease_until_ms = 486'000;
  start.timeout = Millis(400);
  return start;
}

CallExchange Exchange() {
  HoldCall hold;
  hold.token = 9;
  hold.ends_noted = 57;
  hold.lease_until_ms = 486'001;
  hold.wait = Millis(1'000);
  hold.timeout = Millis(900);
  StopCall stop;
  stop.run = LedgerBuilder::Run("job", 1, 3);
  stop.token = 9;
  stop.timeout = Millis(300);
  CallExchange exchange;
  exchange.term = 9;
  exchange.wait = Millis(100);
  exchange.calls = {{1, Worker("w"), Start(0)},
                    {2, Worker("w"), Start(1)},
                    {3, Worker("v"), stop},
                    {4, Worker("v"), hold}};
  return exchange;
}

// Guards against an order that reaches the worker with another lease, token,
// checkpoint or time than the leader gave it.
BOOST_AUTO_TEST_CASE(CallsComeBackAsTheyWere) {
  const auto read = CallExchangeFromJson(ToJson(Exchange()));
  BOOST_REQUIRE(read);
  const CallExchange& exchange = read.value();
  BOOST_TEST(exchange.term == 9U);
  BOOST_TEST(exchange.wait.count() == 100);
  BOOST_REQUIRE(exchange.calls.size() == 4U);
  const auto& start = std::get<StartCall>(exchange.calls[1].order);
  BOOST_TEST((start.run == LedgerBuilder::Run("job", 1, 1)));
  BOOST_TEST(start.payload == "payload");
  BOOST_TEST(start.checkpoint == "saved");
  BOOST_TEST(start.ticket == "ticket");
  BOOST_TEST(start.token == 9U);
  BOOST_TEST(start.lease_until_ms == 486'000);
  BOOST_TEST(start.timeout.count() == 400);
  BOOST_TEST((exchange.calls[1].worker == Worker("w")));
  const auto& stop = std::get<StopCall>(exchange.calls[2].order);
  BOOST_TEST((stop.run == LedgerBuilder::Run("job", 1, 3)));
  BOOST_TEST(stop.timeout.count() == 300);
  const auto& hold = std::get<HoldCall>(exchange.calls[3].order);
  BOOST_TEST(hold.ends_noted == 57);
  BOOST_TEST(hold.lease_until_ms.value() == 486'001);
  BOOST_TEST(hold.wait.count() == 1'000);
  BOOST_TEST(hold.timeout.count() == 900);
  BOOST_TEST((exchange.calls[3].worker == Worker("v")));
}

// Guards against a message that grows with the tasks of a job: a payload has up
// to 4,000 bytes.
BOOST_AUTO_TEST_CASE(AMessageHasThePayloadOfAJobOnce) {
  const Json json = ToJson(Exchange());
  BOOST_TEST(json["payloads"].size() == 1U);
  BOOST_TEST(json["workers"].size() == 2U);
}

// Guards against a lease that is granted although the worker's clock is
// unknown.
BOOST_AUTO_TEST_CASE(AHoldWithoutALeaseStaysOne) {
  CallExchange exchange;
  exchange.calls = {{1, Worker("w"), HoldCall()}};
  const auto read = CallExchangeFromJson(ToJson(exchange));
  BOOST_REQUIRE(read);
  BOOST_TEST(!std::get<HoldCall>(read.value().calls[0].order).lease_until_ms);
}

// Guards against ends, checkpoints or errors that change on their way.
BOOST_AUTO_TEST_CASE(AnswersComeBackAsTheyWere) {
  CallExchangeReply reply;
  reply.agent = Incarnation("i");
  reply.zone = ZoneName("z");
  reply.leaving = true;
  HoldAnswer list;
  list.call.clock_ms = 5;
  list.running.push_back({LedgerBuilder::Run("job", 0, 1), "c", 41});
  list.ended.push_back(
      {58, LedgerBuilder::Run("job", 0, 2), jobs::RunEnd::kFailed, "d"});
  HoldAnswer late;
  late.call.verdict = CallVerdict::kLate;
  reply.answers.push_back({1, list});
  reply.answers.push_back({2, late});
  DelegatedAnswer& failed = reply.answers.emplace_back();
  failed.id = 3;
  failed.answer = Fail(ErrorCode::kTransport, "refused");
  const auto read = CallExchangeReplyFromJson(ToJson(reply));
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().agent == Incarnation("i"));
  BOOST_TEST(read.value().zone == ZoneName("z"));
  BOOST_TEST(read.value().leaving);
  const auto& answers = read.value().answers;
  BOOST_REQUIRE(answers.size() == 3U);
  const HoldAnswer& listed = answers[0].answer.value();
  BOOST_TEST(listed.call.clock_ms.value() == 5);
  BOOST_TEST((listed.running.at(0).run == list.running[0].run));
  BOOST_TEST(listed.running[0].checkpoint == "c");
  BOOST_TEST(listed.running[0].percent == 41);
  BOOST_TEST(listed.ended.at(0).number == 58);
  BOOST_TEST((listed.ended[0].run == list.ended[0].run));
  BOOST_TEST((listed.ended[0].how == jobs::RunEnd::kFailed));
  BOOST_TEST(listed.ended[0].checkpoint == "d");
  BOOST_TEST((answers[1].answer.value().call.verdict == CallVerdict::kLate));
  BOOST_TEST(!answers[1].answer.value().call.clock_ms);
  BOOST_TEST((answers[2].answer.error().code == ErrorCode::kTransport));
}

// Guards against a process that ends, or an order that is guessed, on a message
// of another version or of a stranger.
BOOST_AUTO_TEST_CASE(InvalidMessagesAreRefusedWithATypedError) {
  const auto code_of = [](const Json& json) {
    const auto read = CallExchangeFromJson(json);
    return read ? std::string("taken")
                : std::string(kErrorCodes.Name(read.error().code));
  };
  BOOST_TEST(code_of(Json(::Json::objectValue)) == "missing_field");
  Json other = ToJson(Exchange());
  other["calls"][0][2] = 99;
  BOOST_TEST(code_of(other) == "invalid_field");
  other = ToJson(Exchange());
  other["calls"][0][1] = "restart";
  BOOST_TEST(code_of(other) == "invalid_field");
  other = ToJson(Exchange());
  other["calls"][0][5] = "job/1/2";
  BOOST_TEST(code_of(other) == "invalid_field");
  other = ToJson(Exchange());
  other["calls"][0][3] = -1;
  BOOST_TEST(code_of(other) == "invalid_field");
  other = ToJson(Exchange());
  other["calls"][0][7] = 5;
  BOOST_TEST(code_of(other) == "invalid_field");
  other = ToJson(Exchange());
  for (std::size_t n = 0; n <= kMaxCallsPerExchange; ++n)
    other["calls"].append(other["calls"][0]);
  BOOST_TEST(code_of(other) == "too_large");
  Json reply = ToJson(CallExchangeReply());
  reply["answers"].append("x");
  BOOST_TEST(!CallExchangeReplyFromJson(reply));
  BOOST_TEST(!CallExchangeReplyFromJson(Json()));
}

// Guards against a call that lasts beyond the time that the leader gave it.
BOOST_AUTO_TEST_CASE(ALimitShortensTheTimeOfACall) {
  WorkerOrder start = Start(0);
  LimitTime(&start, Millis(250));
  BOOST_TEST(TimeAllowed(start).count() == 250);
  HoldCall hold;
  hold.wait = Millis(1'000);
  hold.timeout = Millis(900);
  WorkerOrder order = hold;
  LimitTime(&order, Millis(1'200));
  BOOST_TEST(std::get<HoldCall>(order).wait.count() == 1'000);
  BOOST_TEST(TimeAllowed(order).count() == 1'200);
  LimitTime(&order, Millis(700));
  BOOST_TEST(TimeAllowed(order).count() == 700);
}

}  // namespace
}  // namespace boragewinch::scheduler
