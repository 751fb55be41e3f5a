#define BOOST_TEST_MODULE result_process
#include <boost/test/unit_test.hpp>

#include "base/hash.h"
#include "process_fleet.h"

namespace boragewinch {
namespace {

// Posts results in the name of worker z1-r1-h1, without being that worker.
struct ForgingWorker {
  explicit ForgingWorker(ProcessFleet& in_fleet) : fleet(in_fleet) {}

  Json Result(const std::string& task, const std::string& text) const {
    Json json;
    json["task"] = task;
    json["host"] = "z1-r1-h1";
    json["incarnation"] = "0000000000000001";
    json["state"] = "finished";
    json["body"] = text;
    json["length"] = ::Json::UInt64(text.size());
    json["hash"] = Hex64(Hash64(text));
    return json;
  }
  Reply Post(const Json& result, const std::string& entry = "e11") const {
    return Http("POST", "http://" + fleet.address(entry) + "/v1/tasks/result",
                {}, WriteJson(result));
  }

  ProcessFleet& fleet;
};

struct Fixture {
  ProcessFleet fleet{FleetShape{}};
  ForgingWorker worker{fleet};

  std::string Started(int run_ms) {
    const std::string ticket = fleet.Ticket("e11");
    BOOST_TEST(
        fleet.Put("e11", ticket, ProcessFleet::Spec("open", run_ms, false))
            .status == 200);
    BOOST_TEST(Eventually(Millis(5'000),
                          [&] { return fleet.Executions().contains(ticket); }));
    return ticket;
  }
  std::string Body(const std::string& ticket) {
    Reply reply;
    (void)Eventually(Millis(10'000), [&] {
      reply = Http("GET", "http://" + fleet.address("e11") + "/v1/jobs/" +
                              ticket + "/result");
      return reply.status == 200;
    });
    return reply.body;
  }
};

// Guards against a corrupted result that a caller gets as complete.
BOOST_FIXTURE_TEST_CASE(CorruptedResultIsRefused, Fixture) {
  const std::string ticket = Started(1'500);
  Json wrong_hash = worker.Result(ticket + "/1", "torn");
  wrong_hash["hash"] = "0123456789abcdef";
  BOOST_TEST(worker.Post(wrong_hash).status == 400);
  Json wrong_length = worker.Result(ticket + "/1", "torn");
  wrong_length["length"] = 400;
  BOOST_TEST(worker.Post(wrong_length).status == 400);
  Json no_hash = worker.Result(ticket + "/1", "torn");
  no_hash.removeMember("hash");
  BOOST_TEST(worker.Post(no_hash).status == 400);
  BOOST_TEST(Body(ticket) == "echo");
  BOOST_TEST(fleet.Violations() == "");
}

/// \returns whether the entry host did not acknowledge the result, so that the
/// worker keeps it.
[[nodiscard]] bool NotAcknowledged(const Reply& reply) {
  return reply.status >= 400 || !reply.json()["acknowledged"].asBool();
}

// Guards against a second or late result that replaces the first one, and
// against a result that is stored for another request.
BOOST_FIXTURE_TEST_CASE(DuplicateLateAndMismatchedResultsChangeNothing,
                        Fixture) {
  const std::string first = Started(1);
  const std::string second = Started(2'000);
  BOOST_TEST(Body(first) == "echo");
  // A worker that resends the same bytes is acknowledged or refused; neither
  // may change the answer.
  const int same = worker.Post(worker.Result(first + "/1", "echo")).status;
  BOOST_TEST((same == 200 || same == 409));
  BOOST_TEST(worker.Post(worker.Result(first + "/1", "other")).status != 500);
  // An attempt that this owner has not made may be one of a newer owner, so its
  // result is refused or not acknowledged.
  const Reply newer = worker.Post(worker.Result(first + "/7", "other"));
  BOOST_TEST(NotAcknowledged(newer), newer.body);
  // A result for an earlier incarnation of this entry host is relayed to the
  // peers, one of which may have taken the request over, and is not
  // acknowledged.
  const Reply earlier = worker.Post(worker.Result("z1.e11.0.1/1", "other"));
  BOOST_TEST(NotAcknowledged(earlier), earlier.body);
  BOOST_TEST(worker.Post(worker.Result("nobody/1", "other")).status >= 400);
  const Reply other = worker.Post(worker.Result(second + "/2", "other"));
  BOOST_TEST(NotAcknowledged(other), other.body);
  BOOST_TEST(Body(first) == "echo");
  BOOST_TEST(Body(second) == "echo");
  BOOST_TEST(fleet.Violations() == "");
}

// Guards against a result that is lost because the worker posts it to an entry
// host that does not own the request.
BOOST_FIXTURE_TEST_CASE(ResultPostedToAnotherEntryHostIsStored, Fixture) {
  const std::string ticket = Started(20'000);
  const Reply reply = worker.Post(worker.Result(ticket + "/1", "late"), "e12");
  BOOST_TEST(reply.status == 200, reply.body);
  BOOST_TEST(Body(ticket) == "late");
  BOOST_TEST(fleet.Violations() == "");
}

}  // namespace
}  // namespace boragewinch
