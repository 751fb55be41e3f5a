#define BOOST_TEST_MODULE model
#include <boost/test/unit_test.hpp>

#include <boost/test/data/test_case.hpp>

#include "model/job.h"
#include "model/worker_types.h"

namespace boragewinch {
namespace {

struct BadJob {
  const char* text;
  ErrorCode code;
};

std::ostream& operator<<(std::ostream& out, const BadJob& job) {
  return out << job.text;
}

const BadJob kBadJobs[] = {
    {"[]", ErrorCode::kInvalidField},
    {"{}", ErrorCode::kInvalidField},
    {R"({"queue":"a b"})", ErrorCode::kInvalidField},
    {R"({"queue":"q","cpu_millis":-1})", ErrorCode::kInvalidField},
    {R"({"queue":"q","cpu_millis":"1"})", ErrorCode::kInvalidField},
    {R"({"queue":"q","urgency":"soon"})", ErrorCode::kInvalidField},
    {R"({"queue":"q","repeatable":1})", ErrorCode::kInvalidField},
    {R"({"queue":"q","start_deadline_ms":0})", ErrorCode::kInvalidField},
};

// Guards against malformed jobs that are queued with default values.
BOOST_DATA_TEST_CASE(MalformedJobIsRefused, kBadJobs, bad) {
  const auto json = ParseJson(bad.text);
  BOOST_REQUIRE(json);
  const auto spec = JobSpecFromJson(json.value());
  BOOST_REQUIRE(!spec);
  BOOST_TEST(kErrorCodes.Name(spec.error().code) == kErrorCodes.Name(bad.code));
}

// Guards against a field that is not copied from an entry host to its backup.
BOOST_AUTO_TEST_CASE(JobSurvivesEncoding) {
  JobSpec spec;
  spec.team = TeamName("intake");
  spec.queue = QueueName("wash");
  spec.customer = CustomerName("hut-7");
  spec.declared = {2000, 4096, 1};
  spec.declared_run_time = Millis(1500);
  spec.urgency = Urgency::kUrgent;
  spec.repeatable = true;
  spec.client_request_id = "c-1";
  spec.payload = "sheets \"12\"\n";
  const auto copy = JobSpecFromJson(ToJson(spec));
  BOOST_REQUIRE(copy);
  BOOST_TEST(WriteJson(ToJson(copy.value())) == WriteJson(ToJson(spec)));
}

// Guards against stack exhaustion by deeply nested JSON from a caller.
BOOST_AUTO_TEST_CASE(DeepJsonIsRefused) {
  const auto json = ParseJson(std::string(100'000, '['));
  BOOST_REQUIRE(!json);
  BOOST_TEST((json.error().code == ErrorCode::kInvalidJson));
}

// Guards against a result being matched to a truncated task id.
BOOST_AUTO_TEST_CASE(TaskIdNeedsRequestAndAttempt) {
  for (const char* text : {"", "a", "/1", "a/", "a/x", "a/1234567890"})
    BOOST_TEST(!TaskId::Parse(text));
  const auto task = TaskId::Parse("z.e.i.1/2");
  BOOST_REQUIRE(task);
  BOOST_TEST(task.value().Text() == "z.e.i.1/2");
}

}  // namespace
}  // namespace boragewinch
