#define BOOST_TEST_MODULE worker_call_codec
#include <boost/test/unit_test.hpp>

#include "ledger_builder.h"
#include "scheduler/worker_call_codec.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

jobs::WorkerRecord Worker(const std::string& id) {
  jobs::WorkerRecord worker;
  worker.incarnation = LedgerBuilder::IncarnationOf(id, 7);
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
  hold.last_end_sequence = 57;
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
// checkpoint or timeout than the leader set.
BOOST_AUTO_TEST_CASE(CallsSurviveEncoding) {
  const auto read = DecodeExchange(EncodeExchange(Exchange()));
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
  BOOST_TEST(hold.last_end_sequence == 57);
  BOOST_TEST(hold.lease_until_ms.value() == 486'001);
  BOOST_TEST(hold.wait.count() == 1'000);
  BOOST_TEST(hold.timeout.count() == 900);
  BOOST_TEST((exchange.calls[3].worker == Worker("v")));
}

// Guards against a message that repeats the payload for each task of a job: a
// payload has up to 4,096 bytes.
BOOST_AUTO_TEST_CASE(AMessageContainsThePayloadOfAJobOnce) {
  const std::string bytes = EncodeExchange(Exchange());
  const auto count = [&](const std::string& text) {
    std::size_t found = 0;
    for (auto at = bytes.find(text); at != std::string::npos;
         at = bytes.find(text, at + 1)) {
      ++found;
    }
    return found;
  };
  BOOST_TEST(count("payload") == 1U);
  BOOST_TEST(count("10.0.0.1:80") == 2U);
  BOOST_TEST(count("job") == 1U);
}

// Guards against a hold without a lease, sent while the worker's clock is
// unknown, that is decoded as one with a lease.
BOOST_AUTO_TEST_CASE(AHoldWithoutALeaseSurvivesEncoding) {
  CallExchange exchange;
  exchange.calls = {{1, Worker("w"), HoldCall()}};
  const auto read = DecodeExchange(EncodeExchange(exchange));
  BOOST_REQUIRE(read);
  BOOST_TEST(!std::get<HoldCall>(read.value().calls[0].order).lease_until_ms);
}

// Guards against ends, checkpoints or errors that are changed by encoding.
BOOST_AUTO_TEST_CASE(ResponsesSurviveEncoding) {
  CallExchangeReply reply;
  reply.agent = Incarnation("i");
  reply.zone = ZoneName("z");
  reply.leaving = true;
  HoldResponse list;
  list.call.clock_ms = 5;
  list.running.push_back({LedgerBuilder::Run("job", 0, 1), "c", 41});
  list.ended.push_back(
      {58, LedgerBuilder::Run("job", 0, 2), jobs::RunEnd::kFailed, "d"});
  HoldResponse late;
  late.call.verdict = CallVerdict::kLate;
  reply.responses.push_back({1, list});
  reply.responses.push_back({2, late});
  DelegatedResponse& failed = reply.responses.emplace_back();
  failed.id = 3;
  failed.result = Fail(ErrorCode::kTransport, "refused");
  const auto read = DecodeReply(EncodeReply(reply));
  BOOST_REQUIRE(read);
  BOOST_TEST(read.value().agent == Incarnation("i"));
  BOOST_TEST(read.value().zone == ZoneName("z"));
  BOOST_TEST(read.value().leaving);
  const auto& responses = read.value().responses;
  BOOST_REQUIRE(responses.size() == 3U);
  const HoldResponse& listed = responses[0].result.value();
  BOOST_TEST(listed.call.clock_ms.value() == 5);
  BOOST_TEST((listed.running.at(0).run == list.running[0].run));
  BOOST_TEST(listed.running[0].checkpoint == "c");
  BOOST_TEST(listed.running[0].percent == 41);
  BOOST_TEST(listed.ended.at(0).end_sequence == 58);
  BOOST_TEST((listed.ended[0].run == list.ended[0].run));
  BOOST_TEST((listed.ended[0].how == jobs::RunEnd::kFailed));
  BOOST_TEST(listed.ended[0].checkpoint == "d");
  BOOST_TEST((responses[1].result.value().call.verdict == CallVerdict::kLate));
  BOOST_TEST(!responses[1].result.value().call.clock_ms);
  BOOST_TEST((responses[2].result.error().code == ErrorCode::kTransport));
}

// Guards against a crash, or an order decoded from garbage, on a message of
// another version or an untrusted sender.
BOOST_AUTO_TEST_CASE(InvalidMessagesAreRejected) {
  const auto code_of = [](const std::string& bytes) {
    const auto read = DecodeExchange(bytes);
    return read ? std::string("taken")
                : std::string(kErrorCodes.Name(read.error().code));
  };
  CallExchange one;
  one.term = 9;
  one.calls = {{1, Worker("w"), Start(0)}};
  const std::string bytes = EncodeExchange(one);
  BOOST_REQUIRE(code_of(bytes) == "taken");
  for (std::size_t size = 0; size < bytes.size(); ++size)
    BOOST_TEST(code_of(bytes.substr(0, size)) == "invalid_field");
  BOOST_TEST(code_of(bytes + "x") == "invalid_field");
  BOOST_TEST(code_of("{}") != "taken");
  // The row of the call follows the table of jobs: id, worker, kind, timeout,
  // token, job, four numbers of the run, lease and payload.
  const std::size_t row = bytes.find("job") + 4;
  const auto with = [&](std::size_t offset, char value) {
    std::string other = bytes;
    other[row + offset] = value;
    return code_of(other);
  };
  BOOST_TEST(with(1, 99) == "invalid_field");  // no such worker
  BOOST_TEST(with(2, 7) == "invalid_field");   // no such kind of call
  BOOST_TEST(with(6, 5) == "invalid_field");   // no such job
  BOOST_TEST(with(14, 5) == "invalid_field");  // no such payload
  one.calls[0].order = StopCall{{}, 9, Millis(-1)};
  BOOST_TEST(code_of(EncodeExchange(one)) == "invalid_field");
  one.calls[0].order = StopCall{{}, 9, Millis(1)};
  BOOST_TEST(code_of(EncodeExchange(one)) == "taken");
  one.calls.resize(kMaxCallsPerExchange + 1, one.calls[0]);
  BOOST_TEST(code_of(EncodeExchange(one)) == "too_large");

  CallExchangeReply reply;
  HoldResponse list;
  list.ended.push_back(
      {58, LedgerBuilder::Run("job", 0, 2), jobs::RunEnd::kFailed, "d"});
  reply.responses.push_back({1, list});
  const std::string response = EncodeReply(reply);
  BOOST_REQUIRE(DecodeReply(response));
  for (std::size_t size = 0; size < response.size(); ++size)
    BOOST_TEST(!DecodeReply(response.substr(0, size)));
  std::string other = response;
  other[response.size() - 3] = 99;  // no such end
  BOOST_TEST(!DecodeReply(other));
}

// Guards against a call that continues beyond the timeout that the leader set.
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
