#define BOOST_TEST_MODULE ledger_age
#include <boost/test/unit_test.hpp>

#include <malloc.h>

#include <cstdint>
#include <iostream>
#include <string>
#include <utility>

#include "ledger_builder.h"
#include "random_seeds.h"

namespace boragewinch::jobs {
namespace {

constexpr UnixMillis kDay = 24 * 3'600'000;
constexpr UnixMillis kStart = 1'700'000'000'000;
/// Time at the end of each day in which jobs are submitted, longer than the
/// ledger remembers any of them.
constexpr UnixMillis kBusy = 900'000;
constexpr UnixMillis kJobInterval = 200;
constexpr UnixMillis kWorkerInterval = 5'000;

/// Plays days of a fleet: configurations that rename a queue, jobs that finish,
/// and workers that come under new ids and depart.
class Days {
 public:
  explicit Days(int configs_a_day) : configs_a_day_(configs_a_day) {
    Batch batch;
    batch.config = builder_.ledger().config();
    batch.config->version = 1;
    Store(kStart, std::move(batch));
  }

  void PlayDay(int day) {
    const UnixMillis begin = kStart + day * kDay;
    const UnixMillis end = begin + kDay;
    for (int i = 0; i < configs_a_day_; ++i)
      Configure(begin + i * (kDay - kBusy) / configs_a_day_);
    for (UnixMillis at = end - kBusy; at < end; at += kJobInterval) {
      RunJob(at);
      if (at % kWorkerInterval == 0)
        ReplaceWorker(at);
    }
  }

  [[nodiscard]] std::size_t snapshot_bytes() const {
    return ledger_.Snapshot().size();
  }
  [[nodiscard]] const JobLedger& ledger() const { return ledger_; }
  [[nodiscard]] const JobId& last_job() const { return last_job_; }

 private:
  void Store(UnixMillis at, Batch batch) {
    batch.now = at;
    ledger_.Apply(batch);
  }

  void Configure(UnixMillis at) {
    Batch batch;
    batch.config = builder_.ledger().config();
    batch.config->version = ++version_;
    batch.config->queues[0].name = QueueName("q" + std::to_string(version_));
    CustomerConfig customer = batch.config->customers.begin()->second;
    customer.name = CustomerName("c" + std::to_string(version_));
    batch.config->customers[customer.name] = customer;
    Store(at, std::move(batch));
  }

  void RunJob(UnixMillis at) {
    last_job_ = JobId("job" + std::to_string(++jobs_));
    Batch batch;
    Submission submission;
    submission.id = last_job_;
    submission.virtual_host = "example";
    submission.path_prefix = "/q/";
    submission.customer = CustomerName("c" + std::to_string(version_));
    submission.spec.steps = {LedgerBuilder::Tasks(1)};
    batch.submissions.push_back(submission);
    Store(at, std::move(batch));
    const RunName run{{last_job_, 0, 0, 0}, 1};
    Batch start;
    start.starts.push_back({run, worker_});
    Store(at + 10, std::move(start));
    Batch end;
    end.ends.push_back({run, worker_, RunEnd::kDone, "", ++ends_});
    Store(at + 100, std::move(end));
  }

  void ReplaceWorker(UnixMillis at) {
    Batch batch;
    WorkerRecord record;
    record.incarnation = {WorkerId("w" + std::to_string(++workers_)), at};
    record.address = "w:80";
    record.pool = PoolName("p");
    record.capacity = {16'000, 32'000, 0};
    worker_ = record.incarnation;
    ends_ = 0;
    batch.workers.push_back(record);
    Store(at, std::move(batch));
  }

  int configs_a_day_;
  LedgerBuilder builder_;
  JobLedger ledger_;
  std::int64_t version_ = 1;
  std::int64_t jobs_ = 0;
  std::int64_t workers_ = 0;
  std::int64_t ends_ = 0;
  WorkerIncarnation worker_;
  JobId last_job_;
};

// Guards against a ledger that grows with its age: finished jobs, departed
// workers, names of queues and customers that are gone. A month of the largest
// rate of changes is BORAGEWINCH_AGE_DAYS=30 BORAGEWINCH_AGE_CONFIGS=36000.
BOOST_AUTO_TEST_CASE(TheLastDayTakesNoMoreThanTheSecond) {
  const auto days =
      static_cast<int>(FromEnvironment("BORAGEWINCH_AGE_DAYS", 6));
  Days fleet(static_cast<int>(FromEnvironment("BORAGEWINCH_AGE_CONFIGS", 500)));
  fleet.PlayDay(0);
  fleet.PlayDay(1);
  const std::size_t bytes = fleet.snapshot_bytes();
  const std::size_t memory = mallinfo2().uordblks;
  for (int day = 2; day < days; ++day)
    fleet.PlayDay(day);
  const std::size_t last_bytes = fleet.snapshot_bytes();
  const std::size_t last_memory = mallinfo2().uordblks;
  std::cout << "after day 2: snapshot " << bytes << " bytes, heap " << memory
            << "; after day " << days << ": " << last_bytes << ", "
            << last_memory << "\n";
  BOOST_TEST(last_bytes * 10 <= bytes * 11);
  BOOST_TEST(last_memory * 10 <= memory * 11);
  BOOST_TEST(fleet.ledger().FindJob(fleet.last_job()) != nullptr);
}

// Guards against a finished job or a departure that is forgotten while callers
// still ask for it, or late messages still arrive; also across a snapshot.
BOOST_AUTO_TEST_CASE(WhatIsStillAskedForIsKept) {
  LedgerBuilder builder;
  builder.At(kStart).AddWorker("w").Submit("job", {LedgerBuilder::Tasks(1)});
  builder.Start(LedgerBuilder::Run("job", 0, 0), "w");
  builder.End(LedgerBuilder::Run("job", 0, 0), "w", RunEnd::kDone, 1);
  const WorkerRecord record =
      builder.ledger().FindCurrent(WorkerId("w"))->record;
  Batch leaves;
  leaves.workers = {record};
  leaves.workers[0].departed = true;
  builder.Apply(leaves);
  auto restored = JobLedger::Restore(builder.ledger().Snapshot());
  BOOST_REQUIRE(restored);
  JobLedger& ledger = restored.value();
  Batch late;
  late.workers = {record};
  late.now = kStart + kDepartureMemory.count();
  ledger.Apply(late);
  BOOST_TEST(ledger.FindCurrent(WorkerId("w")) == nullptr);
  BOOST_TEST(ledger.FindJob(JobId("job")) != nullptr);
  late.now += 1;
  ledger.Apply(late);
  BOOST_TEST(ledger.FindCurrent(WorkerId("w")) != nullptr);
  BOOST_TEST(ledger.FindJob(JobId("job")) == nullptr);
}

// Guards against runs that nobody stops, as the ledger has forgotten their job.
BOOST_AUTO_TEST_CASE(AFinishedJobWithARunIsKept) {
  LedgerBuilder builder;
  builder.At(kStart).AddWorker("w").Submit("job", {LedgerBuilder::Tasks(1)});
  builder.Start(LedgerBuilder::Run("job", 0, 0), "w").Cancel("job");
  builder.At(kStart + 10 * kFinishedJobMemory.count()).Apply({});
  BOOST_REQUIRE(builder.ledger().FindJob(JobId("job")) != nullptr);
  builder.End(LedgerBuilder::Run("job", 0, 0), "w", RunEnd::kStopped, 1);
  builder.Apply({});
  BOOST_TEST(builder.ledger().FindJob(JobId("job")) == nullptr);
}

// Guards against a burst of jobs that fills the memory of the host.
BOOST_AUTO_TEST_CASE(FinishedJobsAreBoundedInNumber) {
  LedgerBuilder builder;
  constexpr std::size_t kExcess = 100;
  for (std::size_t i = 0; i < kMaxFinishedJobs + kExcess; ++i) {
    const std::string id = "job" + std::to_string(i);
    builder.At(kStart + static_cast<UnixMillis>(i / 1'000));
    builder.Submit(id, {LedgerBuilder::Tasks(1)}).Cancel(id);
  }
  builder.Apply({});
  BOOST_TEST(builder.ledger().jobs().size() == kMaxFinishedJobs);
}

}  // namespace
}  // namespace boragewinch::jobs
