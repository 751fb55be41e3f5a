#define BOOST_TEST_MODULE job_api
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <utility>

#include "scheduler/job_api.h"
#include "single_replica.h"

namespace boragewinch::scheduler {
namespace {

constexpr char kJob[] = "00000000000000aa";

[[nodiscard]] jobs::JobSpec OneTask() {
  jobs::JobSpec spec;
  spec.payload = "x";
  jobs::StepSpec step;
  step.tasks = 1;
  step.request = Resources{100, 1, 0};
  step.estimate = Millis(100);
  spec.steps.push_back(step);
  return spec;
}

[[nodiscard]] jobs::FleetConfig TwoQueues() {
  jobs::FleetConfig config;
  config.version = 1;
  config.pools[PoolName("pool")].name = PoolName("pool");
  for (const char* name : {"a", "b"}) {
    jobs::QueueConfig queue;
    queue.name = QueueName(name);
    queue.virtual_host = "host";
    queue.path_prefix = std::string("/") + name + "/";
    queue.pool = PoolName("pool");
    config.queues.push_back(queue);
    jobs::CustomerConfig customer;
    customer.name = CustomerName(name);
    customer.keys = {std::string("key-") + name};
    config.customers[customer.name] = customer;
  }
  return config;
}

struct Fixture : SingleReplica {
  Fixture() {
    Lead();
    BOOST_REQUIRE(
        Store([](jobs::Batch* batch) { batch->config = TwoQueues(); }));
    api.emplace(*replica, metrics);
  }

  [[nodiscard]] static CallerAddress Caller(const std::string& queue,
                                            const std::string& customer) {
    return {"host", "/" + queue + "/" + kJob, "key-" + customer};
  }

  void Submit(std::optional<JobApiStatus>* status,
              const std::string& queue = "a",
              const std::string& customer = "a") {
    api->Submit(Caller(queue, customer), OneTask(), loop.now(),
                [status](const JobApiResponse& response) {
                  *status = response.status;
                });
  }

  Metrics metrics;
  std::optional<JobApi> api;
};

// Guards against 429 (does not run) for a job that runs: the first attempt is
// being stored when the repeated one meets a queue that has become full.
BOOST_FIXTURE_TEST_CASE(ARepeatedAttemptOfAPendingJobIsNotRejected, Fixture) {
  constexpr int kFull = 8'000;
  std::optional<JobApiStatus> first;
  std::optional<JobApiStatus> repeated;
  std::optional<JobApiStatus> other;
  on_sync = [&] { Submit(&first); };
  on_stored = [&](const jobs::Batch&, TimePoint) {
    if (repeated || other)
      return;
    BOOST_TEST(!first.has_value());
    Submit(&repeated);
    CallerAddress caller = Caller("a", "a");
    caller.path = "/a/00000000000000bb";
    api->Submit(
        caller, OneTask(), loop.now(),
        [&](const JobApiResponse& response) { other = response.status; });
  };
  BOOST_REQUIRE(Store([](jobs::Batch* batch) {
    for (int i = 0; i < kFull; ++i) {
      batch->submissions.push_back({jobs::JobId("j" + std::to_string(i)),
                                    QueueName("a"), CustomerName("a"),
                                    OneTask()});
    }
  }));
  RunFor(Millis(100));
  BOOST_REQUIRE(first.has_value());
  BOOST_REQUIRE(repeated.has_value());
  BOOST_REQUIRE(other.has_value());
  BOOST_TEST((*other == JobApiStatus::kOverloaded));
  BOOST_TEST((*first == JobApiStatus::kDone));
  BOOST_TEST((*repeated == JobApiStatus::kDone));
  BOOST_TEST(replica->ledger().FindJob(jobs::JobId(kJob)) != nullptr);
}

// Guards against "no such job" for the cancellation of a job that is stored a
// moment later and runs.
BOOST_FIXTURE_TEST_CASE(APendingJobIsNotReportedAsUnknown, Fixture) {
  std::optional<JobApiStatus> submitted;
  std::optional<JobApiStatus> cancelled;
  const auto cancel = [&] {
    api->Cancel(
        Caller("a", "a"), loop.now(),
        [&](const JobApiResponse& response) { cancelled = response.status; });
  };
  Submit(&submitted);
  cancel();
  BOOST_TEST((*cancelled == JobApiStatus::kNotReady));
  RunFor(Millis(100));
  BOOST_TEST((*submitted == JobApiStatus::kDone));
  cancel();
  RunFor(Millis(100));
  BOOST_TEST((*cancelled == JobApiStatus::kDone));
}

// Guards against a caller that is told that its job was accepted although the
// id belongs to a job of another customer or queue, and against an accepted job
// that is unknown once its queue has another name.
BOOST_FIXTURE_TEST_CASE(TheIdOfAnotherJobIsRejected, Fixture) {
  std::optional<JobApiStatus> status;
  Submit(&status);
  RunFor(Millis(100));
  BOOST_TEST((*status == JobApiStatus::kDone));
  Submit(&status, "a", "b");
  BOOST_TEST((*status == JobApiStatus::kInvalid));
  Submit(&status, "b", "a");
  BOOST_TEST((*status == JobApiStatus::kInvalid));
  Submit(&status);
  BOOST_TEST((*status == JobApiStatus::kDone));
  // The queue's name changed in a later configuration.
  BOOST_REQUIRE(Store([](jobs::Batch* batch) {
    batch->config = TwoQueues();
    batch->config->version = 2;
    batch->config->queues[0].name = QueueName("renamed");
  }));
  Submit(&status);
  BOOST_TEST((*status == JobApiStatus::kDone));
  const auto state_of = [&](const std::string& customer) {
    std::optional<JobApiStatus> state;
    api->State(
        Caller("a", customer), loop.now(),
        [&](const JobApiResponse& response) { state = response.status; });
    return *state;
  };
  BOOST_TEST((state_of("a") == JobApiStatus::kDone));
  BOOST_TEST((state_of("b") == JobApiStatus::kNoJob));
}

/// A caller that cancels a job which the ledger doesn't have.
struct UnseenJob : Fixture {
  [[nodiscard]] JobApiStatus Cancel(const std::string& customer = "a",
                                    const std::string& id = kJob) {
    std::optional<JobApiStatus> status;
    CallerAddress caller = Caller("a", customer);
    caller.path = "/a/" + id;
    api->Cancel(caller, loop.now(), [&](const JobApiResponse& response) {
      status = response.status;
    });
    RunFor(Millis(60));
    BOOST_REQUIRE(status.has_value());
    return *status;
  }
  [[nodiscard]] JobApiStatus SubmitNow(const std::string& customer = "a") {
    std::optional<JobApiStatus> status;
    Submit(&status, "a", customer);
    RunFor(Millis(60));
    BOOST_REQUIRE(status.has_value());
    return *status;
  }
  [[nodiscard]] JobApiResponse State() {
    JobApiResponse state;
    api->State(Caller("a", "a"), loop.now(),
               [&](const JobApiResponse& response) { state = response; });
    return state;
  }
};

// Guards against a job that runs although its caller cancelled it and was told
// that it is unknown: a copy of its submission arrives later, from a gateway
// that was frozen.
BOOST_FIXTURE_TEST_CASE(ALateSubmissionOfACancelledJobDoesNotRun, UnseenJob) {
  BOOST_TEST((Cancel() == JobApiStatus::kNoJob));
  // Nobody has submitted it, so it isn't shown.
  BOOST_TEST((State().status == JobApiStatus::kNoJob));
  BOOST_TEST((Cancel() == JobApiStatus::kNoJob));
  BOOST_TEST((SubmitNow() == JobApiStatus::kDone));
  BOOST_TEST((State().state == jobs::JobState::kCanceled));
  BOOST_TEST(replica->ledger().startable().empty());
  BOOST_TEST(replica->ledger().active().empty());
  BOOST_TEST(replica->ledger().QueuedOf(QueueName("a")) == 0);
  BOOST_TEST(replica->ledger().LoadOf(QueueName("a")).open_tasks == 0);
  BOOST_TEST((Cancel() == JobApiStatus::kDone));
}

// Guards against a customer that cancels the jobs of others before they arrive.
BOOST_FIXTURE_TEST_CASE(TheJobOfAnotherCustomerStillRuns, UnseenJob) {
  BOOST_TEST((Cancel("b") == JobApiStatus::kNoJob));
  BOOST_TEST((SubmitNow("a") == JobApiStatus::kDone));
  BOOST_TEST((State().state == jobs::JobState::kQueued));
  BOOST_TEST(replica->ledger().startable().size() == 1U);
}

// Guards against a submission and a cancellation in one log entry that leave
// the job running.
BOOST_FIXTURE_TEST_CASE(ASubmissionBesideTheCancellationDoesNotRun, UnseenJob) {
  std::optional<JobApiStatus> cancelled;
  std::optional<JobApiStatus> submitted;
  api->Cancel(
      Caller("a", "a"), loop.now(),
      [&](const JobApiResponse& response) { cancelled = response.status; });
  Submit(&submitted);
  RunFor(Millis(60));
  BOOST_TEST((*submitted == JobApiStatus::kDone));
  BOOST_TEST((*cancelled == JobApiStatus::kDone));
  BOOST_TEST((State().state == jobs::JobState::kCanceled));
}

// Guards against memory and log entries for ids that no job can have.
BOOST_FIXTURE_TEST_CASE(AnImpossibleIdIsNotRemembered, UnseenJob) {
  const std::string bytes = replica->ledger().Snapshot();
  BOOST_TEST((Cancel("a", "no-job-id") == JobApiStatus::kNoJob));
  BOOST_TEST(replica->ledger().Snapshot() == bytes);
}

// A job that is accepted while a configuration is being stored.
struct ConfigurationUnderWay : Fixture {
  /// Submits a job while `config` is being stored: `within_batch` in the same
  /// log entry, after it otherwise.
  /// \returns the response.
  [[nodiscard]] JobApiStatus SubmitBeside(jobs::FleetConfig config,
                                          bool within_batch) {
    std::optional<JobApiStatus> status;
    config.version = replica->ledger().config().version + 1;
    if (!within_batch)
      on_sync = [&] { Submit(&status); };
    jobs::Batch change;
    change.config = std::move(config);
    replica->Submit(change, [](const Status& stored) { BOOST_TEST(!!stored); });
    if (within_batch)
      Submit(&status);
    RunFor(Millis(100));
    BOOST_REQUIRE(status.has_value());
    return *status;
  }
  [[nodiscard]] const jobs::Job* job() const {
    return replica->ledger().FindJob(jobs::JobId(kJob));
  }
};

// Guards against an accepted job that never starts, as a configuration gives
// its queue another name while the job is being stored (review/6).
BOOST_AUTO_TEST_CASE(AJobIsStoredUnderTheNewNameOfItsQueue) {
  for (const bool within_batch : {false, true}) {
    ConfigurationUnderWay fixture;
    jobs::FleetConfig config = TwoQueues();
    config.queues[0].name = QueueName("c");
    config.queues[0].max_attempts = 3;
    BOOST_TEST(
        (fixture.SubmitBeside(config, within_batch) == JobApiStatus::kDone));
    const jobs::Job* job = fixture.job();
    BOOST_REQUIRE(job != nullptr);
    BOOST_TEST((job->queue == QueueName("c")));
    BOOST_TEST(job->max_attempts == 3);
    const jobs::JobLedger& ledger = fixture.replica->ledger();
    BOOST_TEST(ledger.QueueOf(*job) != nullptr);
    BOOST_TEST(ledger.QueuedOf(QueueName("c")) == 1);
  }
}

// Guards against an accepted job that never starts, as a configuration removes
// its queue while the job is being stored.
BOOST_AUTO_TEST_CASE(AJobWhoseQueueIsBeingRemovedIsRejected) {
  for (const bool within_batch : {false, true}) {
    ConfigurationUnderWay fixture;
    jobs::FleetConfig config = TwoQueues();
    config.queues.erase(config.queues.begin());
    BOOST_TEST(
        (fixture.SubmitBeside(config, within_batch) == JobApiStatus::kNoQueue));
    BOOST_TEST(fixture.job() == nullptr);
  }
}

// Guards against a job that passes to another queue, which takes over the name
// of its own while the job is being stored.
BOOST_FIXTURE_TEST_CASE(AJobStaysOnItsPrefixWhileNamesAreExchanged,
                        ConfigurationUnderWay) {
  jobs::FleetConfig config = TwoQueues();
  std::swap(config.queues[0].name, config.queues[1].name);
  BOOST_TEST((SubmitBeside(config, true) == JobApiStatus::kDone));
  BOOST_REQUIRE(job() != nullptr);
  BOOST_TEST(replica->ledger().QueueOf(*job())->path_prefix == "/a/");
}

}  // namespace
}  // namespace boragewinch::scheduler
