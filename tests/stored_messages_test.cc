#define BOOST_TEST_MODULE stored_messages
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include <boost/random/mersenne_twister.hpp>

#include "jobs/job_ledger.h"
#include "platform/job_codec.h"
#include "random_seeds.h"

// What a request decoder accepts goes into the replicated log and into
// snapshots. A replica that can't read it there can't lead any more.
namespace boragewinch::platform {
namespace {

using jobs::Batch;
using jobs::kMaxNameBytes;
using jobs::kMaxNumber;
using jobs::kMaxTextBytes;

/// Random messages with texts and numbers at, just below and just above their
/// limits. About half of them are valid.
class Messages {
 public:
  explicit Messages(std::uint64_t seed) : random_(seed) {}

  Json Job() {
    Json job;
    job["spec"] = Text(jobs::kMaxPayloadBytes);
    for (std::uint64_t steps = 1 + Pick(3); steps > 0; --steps) {
      Json step;
      step["count"] = Number(jobs::kMaxTasksPerStep);
      for (const char* name : {"cpu", "memMb", "gpu", "estimatedMs",
                               "maxPerServer", "targetMs", "mayMiss"}) {
        MaybePut(&step, name, Number(kMaxNumber));
      }
      for (const char* name : {"requiredLabel", "dataRack"})
        MaybePut(&step, name, Text(kMaxNameBytes));
      MaybePut(&step, "image", Text(kMaxTextBytes));
      for (const char* name : {"checkpointing", "gang", "longRunning"})
        MaybePut(&step, name, Pick(2) == 0);
      job["steps"].append(step);
    }
    MaybePut(&job, "repeatCount", Number(jobs::kMaxRepeats));
    MaybePut(&job, "startAtMs", Number(kMaxNumber));
    MaybePut(&job, "intervalMs", Number(kMaxNumber));
    return job;
  }

  Json Config() {
    Json config;
    config["version"] = Number(kMaxNumber);
    Json service;
    service["name"] = Text(kMaxNameBytes);
    config["services"].append(service);
    Json route;
    route["name"] = Text(kMaxNameBytes);
    route["host"] = Text(kMaxTextBytes);
    route["pathPrefix"] = Text(kMaxTextBytes);
    route["service"] = service["name"];
    route["timeoutMs"] = 1;
    MaybePut(&route, "priority", Number(kMaxNumber));
    MaybePut(&route, "maxAttempts", Number(kMaxNumber));
    MaybePut(&route, "targetLatencyMs", Number(kMaxNumber));
    MaybePut(&route, "stretch", 1.6);
    config["routes"].append(route);
    Json tenant;
    tenant["name"] = Text(kMaxNameBytes);
    tenant["apiKeys"].append(Text(kMaxTextBytes));
    MaybePut(&tenant["cap"], "cpu", Number(kMaxNumber));
    config["tenants"].append(tenant);
    return config;
  }

  Json Heartbeat() {
    Json heartbeat;
    heartbeat["service"] = Text(kMaxNameBytes);
    heartbeat["address"] = Text(kMaxNameBytes);
    heartbeat["zone"] = Text(kMaxNameBytes);
    heartbeat["state"] = Pick(2) == 0 ? "ready" : "draining";
    heartbeat["sequence"] = Number(kMaxNumber);
    MaybePut(&heartbeat, "machineId", Text(kMaxNameBytes));
    MaybePut(&heartbeat, "born", Number(kMaxNumber));
    for (std::uint64_t labels = Pick(4); labels > 0; --labels)
      heartbeat["labels"].append(Text(kMaxTextBytes));
    heartbeat["capacity"]["cpu"] = Number(kMaxNumber);
    return heartbeat;
  }

  Json Wave() {
    Json wave;
    wave["wave"] = Number(kMaxNumber);
    for (std::uint64_t hosts = Pick(4); hosts > 0; --hosts)
      wave["machines"].append(Text(kMaxTextBytes));
    wave["durationS"] = Number(kMaxNumber / 1'000);
    wave["cap"] = Number(kMaxNumber);
    return wave;
  }

  std::string Text(std::size_t limit) {
    // Bytes that JSON escapes must not make a text longer than its limit.
    static constexpr char kFills[] = {'a', '"', '\n', '\xc3'};
    const std::size_t size = Near(limit);
    return std::string(size, kFills[Pick(sizeof(kFills))]);
  }

 private:
  std::uint64_t Pick(std::uint64_t count) { return random_() % count; }
  std::uint64_t Near(std::uint64_t limit) {
    const std::uint64_t values[] = {1, limit / 4 + 1, limit - 1, limit};
    return Pick(24) == 0 ? limit + 1 : values[Pick(std::size(values))];
  }
  Json Number(std::int64_t limit) {
    return ::Json::Int64(Near(static_cast<std::uint64_t>(limit)));
  }
  template <typename T>
  void MaybePut(Json* json, const char* name, const T& value) {
    if (Pick(2) == 0)
      (*json)[name] = value;
  }

  boost::random::mt19937_64 random_;
};

/// \returns what is wrong with reading the batch from the log and from a
/// snapshot; empty if nothing.
[[nodiscard]] std::string ReadBack(const Batch& batch) {
  const std::string bytes = EncodeBatch(batch);
  const Result<Batch> read = jobs::DecodeBatch(bytes);
  if (!read)
    return "log: " + read.error().Text();
  if (EncodeBatch(read.value()) != bytes)
    return "log: another batch";
  jobs::JobLedger ledger;
  ledger.Apply(batch);
  jobs::JobLedger follower;
  follower.Apply(read.value());
  const std::string snapshot = ledger.Snapshot();
  if (follower.Snapshot() != snapshot)
    return "log: another ledger";
  const Result<jobs::JobLedger> restored = jobs::JobLedger::Restore(snapshot);
  if (!restored)
    return "snapshot: " + restored.error().Text();
  return restored.value().Snapshot() == snapshot ? ""
                                                 : "snapshot: another ledger";
}

// Guards against a limit that is larger in a request than in the log: an image
// name of 604 bytes was accepted, and no replica could lead any more.
BOOST_AUTO_TEST_CASE(WhatIsAcceptedCanBeReadAgain) {
  const std::uint64_t runs = FromEnvironment("BORAGEWINCH_RANDOM_RUNS", 100);
  const std::uint64_t first = FromEnvironment("BORAGEWINCH_RANDOM_SEED", 1);
  std::size_t accepted = 0;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    Messages messages(seed);
    std::vector<Batch> batches;
    if (const auto job = DecodeJob(WriteJson(messages.Job()))) {
      batches.emplace_back().submissions.push_back(
          {jobs::JobId("00000000000000aa"), QueueName("q"), {}, job.value()});
    }
    if (const auto config = DecodeConfig(WriteJson(messages.Config()))) {
      if (ValidateFleetConfig(config.value()))
        batches.emplace_back().config = config.value();
    }
    if (const auto heartbeat = DecodeHeartbeat(
            messages.Text(kMaxTextBytes), WriteJson(messages.Heartbeat()))) {
      batches.emplace_back().workers.push_back(heartbeat.value().worker);
    }
    if (const auto wave = DecodeWave(WriteJson(messages.Wave())))
      batches.emplace_back().waves.push_back(wave.value());
    for (const Batch& batch : batches)
      BOOST_TEST(ReadBack(batch) == "",
                 "seed " << seed << ": " << ReadBack(batch));
    accepted += batches.size();
  }
  // Messages that are hardly ever accepted would test nothing.
  BOOST_TEST(accepted >= runs);
}

}  // namespace
}  // namespace boragewinch::platform
