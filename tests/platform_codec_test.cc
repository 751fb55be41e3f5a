#define BOOST_TEST_MODULE platform_codec
#include <boost/test/unit_test.hpp>

#include <string>

#include "platform/job_codec.h"
#include "platform/request_handlers.h"

namespace boragewinch::platform {
namespace {

const std::string kRoutes =
    R"([{"name":"r1","host":"h","pathPrefix":"/a/","kind":"non_idempotent",)"
    R"("timeoutMs":3000,"service":"s1","maxAttempts":4,"stretch":1.6}])";

[[nodiscard]] std::string Document(const std::string& routes,
                                   const std::string& tenants = "[]") {
  return R"({"version":7,"routes":)" + routes +
         R"(,"services":[{"name":"s1"}],"tenants":)" + tenants + "}";
}

[[nodiscard]] Status ValidateDocument(const std::string& document) {
  BW_TRY(const jobs::FleetConfig config, DecodeConfig(document));
  return jobs::ValidateFleetConfig(config);
}

// Guards against fields that are decoded under a wrong name or meaning.
BOOST_AUTO_TEST_CASE(AConfigurationIsRead) {
  const auto config = DecodeConfig(
      Document(kRoutes, R"([{"name":"t","apiKeys":["k1","k2"],"weight":44,)"
                        R"("cap":{"cpu":705462,"memMb":2049874,"gpu":0}}])"));
  BOOST_REQUIRE(config);
  BOOST_TEST(config.value().version == 7);
  const jobs::QueueConfig* queue = config.value().FindQueue("h", "/a/0123");
  BOOST_REQUIRE(queue != nullptr);
  BOOST_TEST(queue->max_attempts == 4);
  BOOST_TEST(queue->stretch == 1.6);
  const jobs::CustomerConfig* customer = config.value().FindCustomer("k2");
  BOOST_REQUIRE(customer != nullptr);
  BOOST_TEST(customer->limit.cpu_millis == 705'462);
  BOOST_TEST(customer->weight == 44);
}

// Guards against an invalid configuration that is acknowledged or takes effect.
BOOST_AUTO_TEST_CASE(InvalidConfigurationsAreRefused) {
  const std::string valid = Document(kRoutes);
  BOOST_TEST(ValidateDocument(valid).has_value());
  std::string unknown = valid;
  unknown.replace(unknown.find(R"("service":"s1")"), 14, R"("service":"s9")");
  std::string timeout = valid;
  timeout.replace(timeout.find("3000"), 4, "0");
  const std::string twice =
      kRoutes.substr(0, kRoutes.size() - 1) + "," +
      R"({"name":"r2","host":"h","pathPrefix":"/a/","timeoutMs":1,)"
      R"("service":"s1"}])";
  const std::string documents[] = {
      "",
      "[]",
      "{}",
      valid.substr(0, valid.size() / 2),
      unknown,
      timeout,
      Document(twice),
      Document(
          kRoutes,
          R"([{"name":"a","apiKeys":["k"]},{"name":"b","apiKeys":["k"]}])"),
      R"({"version":"7","routes":[],"services":[]})",
  };
  for (const std::string& document : documents)
    BOOST_TEST(!ValidateDocument(document).has_value(), document);
}

// Guards against a job that is decoded differently from what its caller sent.
BOOST_AUTO_TEST_CASE(AJobIsRead) {
  const auto job = DecodeJob(
      R"({"spec":"text","steps":[{"count":4,"cpu":500,"memMb":256,)"
      R"("estimatedMs":900,"dataRack":"r1-3"},{"count":20,"cpu":2000,)"
      R"("dependsOn":[0],"checkpointing":true,"maxPerServer":2,"mayMiss":1,)"
      R"("longRunning":true,"fills":true,"gang":true}],)"
      R"("repeatCount":3,"startAtMs":1000,"intervalMs":50})");
  BOOST_REQUIRE(job);
  const jobs::JobSpec& spec = job.value();
  BOOST_TEST(spec.payload == "text");
  BOOST_TEST(spec.steps.at(0).data_rack.str() == "r1-3");
  BOOST_TEST(spec.steps.at(0).estimate.count() == 900);
  BOOST_TEST(spec.steps.at(1).depends_on.at(0) == 0U);
  BOOST_TEST(spec.steps.at(1).max_per_worker == 2);
  BOOST_TEST(spec.steps.at(1).max_unavailable == 1);
  BOOST_TEST(spec.steps.at(1).long_running);
  BOOST_TEST(spec.due(2) == 1'100);
}

// Guards against a malformed job that ends the process or is accepted.
BOOST_AUTO_TEST_CASE(MalformedJobsAreRefused) {
  for (const char* body :
       {"", "null", "[]", "{}", R"({"steps":[]})", R"({"steps":[{}]})",
        R"({"steps":[{"count":-1}]})", R"({"steps":[{"count":1.5}]})",
        R"({"steps":[{"count":99999999999}]})", R"({"steps":{"count":1}})",
        R"({"steps":[{"count":1,"dependsOn":[0]}]})",
        R"({"steps":[{"count":1,"dependsOn":"x"}]})",
        R"({"steps":[{"count":1,"cpu":"many"}]})",
        R"({"steps":[{"count":1}],"repeatCount":5})", R"({"steps":["x"]})",
        "{\"steps\":[{\"count\":1}"}) {
    BOOST_TEST(!DecodeJob(body).has_value(), body);
  }
}

// Guards against malformed heartbeats that register a worker.
BOOST_AUTO_TEST_CASE(MalformedHeartbeatsAreRefused) {
  const std::string valid =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready",)"
      R"("version":"v1","slots":8,"coldRemainingMs":0,"born":17,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},)"
      R"("labels":["a","r1-3"],"machineId":"m-1","sequence":4})";
  const auto heartbeat = DecodeHeartbeat("i-1", valid);
  BOOST_REQUIRE(heartbeat);
  BOOST_TEST(heartbeat.value().worker.rack.str() == "r1-3");
  BOOST_TEST(heartbeat.value().worker.host.str() == "m-1");
  BOOST_TEST(heartbeat.value().worker.incarnation.start_time == 17);
  BOOST_TEST(heartbeat.value().sequence == 4);
  for (const char* body :
       {"", "x", "{}", R"({"service":"s","address":"a","zone":"z"})",
        R"({"service":5,"address":"a","zone":"z","state":"ready"})",
        R"({"service":"s","address":"a","zone":"z","state":"asleep"})",
        R"({"service":"s","address":"a","zone":"z","state":"ready",)"
        R"("labels":[4]})"}) {
    BOOST_TEST(!DecodeHeartbeat("i-1", body).has_value(), body);
  }
  for (const char* field :
       {"service", "address", "zone", "version", "slots", "state",
        "coldRemainingMs", "capacity", "labels", "sequence"}) {
    Json json = ParseJson(valid).value();
    json.removeMember(field);
    BOOST_TEST(!DecodeHeartbeat("i-1", WriteJson(json)), "no " << field);
  }
  // Also fields that are not used.
  for (const char* field : {"service", "address", "zone", "version", "slots",
                            "state", "coldRemainingMs", "sequence", "capacity",
                            "labels", "born", "machineId"}) {
    Json json = ParseJson(valid).value();
    json[field] = std::string(field) == "capacity" ? Json("16")
                                                   : Json(::Json::objectValue);
    BOOST_TEST(!DecodeHeartbeat("i-1", WriteJson(json)), field);
  }
}

// Guards against a wave whose duration overflows, and against one that is
// accepted although it is malformed.
BOOST_AUTO_TEST_CASE(MalformedWavesAreRefused) {
  const auto body = [](const std::string& duration) {
    return R"({"wave":1,"machines":["m"],"cap":1,"durationS":)" + duration +
           "}";
  };
  const auto wave = DecodeWave(body("20.5"));
  BOOST_REQUIRE(wave);
  BOOST_TEST(wave.value().duration.count() == 20'500);
  for (const char* duration : {"-1", "1e300", "9e15", "null", "\"20\"", "[]"})
    BOOST_TEST(!DecodeWave(body(duration)).has_value(), duration);
  for (const char* text : {"", "[]", R"({"wave":1})", R"({"durationS":1})"})
    BOOST_TEST(!DecodeWave(text).has_value(), text);
}

// Guards against a request for the state of a malformed wave that gets the
// state of wave 0.
BOOST_AUTO_TEST_CASE(MalformedWaveNumbersAreRefused) {
  BOOST_TEST(DecodeWaveNumber("17").value() == 17);
  for (const char* text :
       {"", "abc", "1x", " 1", "-1", "1.5", "99999999999999999999"}) {
    BOOST_TEST(!DecodeWaveNumber(text).has_value(), text);
  }
}

// Guards against runs of one task that are mistaken for those of another.
BOOST_AUTO_TEST_CASE(TaskNamesAreReadBack) {
  const jobs::TaskName task{jobs::JobId("5c0e7a21d94b36f8"), 2, 1, 17};
  BOOST_TEST(EncodeTask(task) == "5c0e7a21d94b36f8.2.1.17");
  const auto read = DecodeTask(EncodeTask(task));
  BOOST_REQUIRE(read);
  BOOST_TEST((read.value() == task));
  for (const char* text : {"", "a", "a.1", "a.1.2", "a.1.2.x", "a.1.2.3.4",
                           "a.1.2.-3", "a.1.2.99999999999"}) {
    BOOST_TEST(!DecodeTask(text).has_value(), text);
  }
}

// Guards against a gateway that waits longer than its caller.
BOOST_AUTO_TEST_CASE(TheTimeoutOfACallerIsRead) {
  HttpRequest request;
  BOOST_TEST(CallerTimeoutOf(request).count() > 0);
  request.headers["request-deadline"] = "1234";
  BOOST_TEST(CallerTimeoutOf(request).count() == 1'234);
  request.headers["request-deadline"] = "soon";
  BOOST_TEST(CallerTimeoutOf(request).count() > 0);
}

}  // namespace
}  // namespace boragewinch::platform
