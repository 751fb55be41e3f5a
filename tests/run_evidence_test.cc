#define BOOST_TEST_MODULE run_evidence
#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>

#include "ledger_builder.h"

// What the ledger takes for shown about a run: that it has begun, that no start
// of its task is under way, and how it has ended.
namespace boragewinch::jobs {
namespace {

using Builder = LedgerBuilder;

// Guards against the loss of an end that is stored in one batch with the
// departure or replacement of its worker (review/14): the task was done again,
// or its failure did not count.
BOOST_AUTO_TEST_CASE(AnEndCountsBesideTheDepartureOfItsWorker) {
  const WorkerIncarnation incarnation = Builder::IncarnationOf("w");
  WorkerRecord record;
  record.incarnation = incarnation;
  record.address = "w:80";
  record.host = HostName("h");
  record.pool = PoolName("p");
  const auto with = [&record](const auto& change) {
    WorkerRecord changed = record;
    change(&changed);
    return changed;
  };
  const WorkerRecord events[] = {
      with([](WorkerRecord* departed) { departed->departed = true; }),
      with([](WorkerRecord* restarted) {
        restarted->incarnation.start_time = 2;
      }),
      with([](WorkerRecord* next) {
        next->incarnation = Builder::IncarnationOf("next", 2);
      })};
  for (const WorkerRecord& event : events) {
    for (const bool same_batch : {true, false}) {
      BOOST_TEST_CONTEXT(event.incarnation.Text() << same_batch) {
        Builder builder;
        Batch batch;
        batch.workers = {record};
        builder.Apply(batch);
        builder.Submit("done", {Builder::Tasks(1)});
        builder.Submit("failed", {Builder::Tasks(1)});
        const RunName done = Builder::Run("done", 0, 0);
        const RunName failed = Builder::Run("failed", 0, 0);
        builder.Start(done, "w").Start(failed, "w");
        batch = {};
        batch.ends = {{done, incarnation, RunEnd::kDone, "", 1},
                      {failed, incarnation, RunEnd::kFailed, "", 2}};
        if (!same_batch)
          builder.Apply(std::exchange(batch, {}));
        batch.workers = {event};
        builder.Apply(batch);
        BOOST_TEST((builder.job("done").state == JobState::kCompleted));
        const Task* task = builder.ledger().FindTask(failed.task);
        BOOST_REQUIRE(task != nullptr);
        BOOST_TEST(task->failures == 1U);
        BOOST_TEST(builder.ledger().FindWorker(incarnation) == nullptr);
        BOOST_TEST(builder.ledger().UsageOf(CustomerName("c")).cpu_millis == 0);
      }
    }
  }
}

// Guards against a job that counts as begun although no worker has executed a
// run of it: its start was decided, and the worker is lost (review/15).
BOOST_AUTO_TEST_CASE(AJobIsQueuedUntilARunHasBegun) {
  Builder builder;
  builder.AddWorker("w").AddWorker("v").Submit("job", {Builder::Tasks(2)});
  const auto is_queued = [&builder](std::int64_t queued) {
    BOOST_TEST(builder.ledger().QueuedOf(QueueName("q")) == queued);
    BOOST_TEST((builder.job("job").state ==
                (queued > 0 ? JobState::kQueued : JobState::kRunning)));
    const auto restored = JobLedger::Restore(builder.ledger().Snapshot());
    BOOST_REQUIRE(restored);
    BOOST_TEST(restored.value().QueuedOf(QueueName("q")) == queued);
  };
  builder.Start(Builder::Run("job", 0, 0), "w");
  builder.Start(Builder::Run("job", 0, 1), "w");
  is_queued(1);
  builder.End(Builder::Run("job", 0, 0), "w", RunEnd::kRejected);
  builder.End(Builder::Run("job", 0, 1), "w", RunEnd::kLost);
  is_queued(1);
  builder.Start(Builder::Run("job", 0, 0, 2), "v");
  // Not decided yet.
  builder.Begin(Builder::Run("job", 0, 0, 3));
  is_queued(1);
  builder.Begin(Builder::Run("job", 0, 0, 2));
  is_queued(0);
  // A run that has begun counts for good.
  builder.End(Builder::Run("job", 0, 0, 2), "v", RunEnd::kLost);
  is_queued(0);
}

// Guards against a confirmation that is lost with a snapshot or a restart of
// the worker: a new leader takes the start for one without a response.
BOOST_AUTO_TEST_CASE(AConfirmedRunStaysConfirmed) {
  Builder builder;
  builder.AddWorker("w").Submit("job", {Builder::Tasks(2)});
  const RunName run = Builder::Run("job", 0, 0);
  const RunName other = Builder::Run("job", 0, 1);
  builder.Start(run, "w").Start(other, "w");
  Batch batch;
  batch.confirmed = {run, Builder::Run("job", 0, 0, 2)};
  builder.Apply(batch);
  BOOST_TEST((builder.job("job").state == JobState::kRunning));
  batch = {};
  batch.workers = {
      builder.ledger().FindWorker(Builder::IncarnationOf("w"))->record};
  batch.workers[0].incarnation.start_time = 2;
  builder.Apply(batch);
  const auto restored = JobLedger::Restore(builder.ledger().Snapshot());
  BOOST_REQUIRE(restored);
  for (const JobLedger* ledger : {&builder.ledger(), &restored.value()}) {
    BOOST_REQUIRE(ledger->FindRun(run) != nullptr);
    BOOST_TEST(ledger->FindRun(run)->confirmed);
    BOOST_REQUIRE(ledger->FindRun(other) != nullptr);
    BOOST_TEST(!ledger->FindRun(other)->confirmed);
  }
}

// Guards against a job whose end was reported and that still counts as queued,
// and against counts that are wrong for a job that ends before it has begun.
BOOST_AUTO_TEST_CASE(AReportedEndShowsThatAJobHasBegun) {
  Builder builder;
  builder.AddWorker("w");
  for (const char* id : {"reported", "cancelled", "waiting"})
    builder.Submit(id, {Builder::Tasks(2)});
  builder.Start(Builder::Run("reported", 0, 0), "w");
  builder.Start(Builder::Run("cancelled", 0, 0), "w");
  BOOST_TEST(builder.ledger().QueuedOf(QueueName("q")) == 3);
  builder.End(Builder::Run("reported", 0, 0), "w", RunEnd::kDone, 1);
  BOOST_TEST(builder.ledger().QueuedOf(QueueName("q")) == 2);
  builder.Cancel("cancelled");
  builder.Begin(Builder::Run("cancelled", 0, 0));
  BOOST_TEST(builder.ledger().QueuedOf(QueueName("q")) == 1);
  BOOST_TEST((builder.job("cancelled").state == JobState::kCanceled));
}

}  // namespace
}  // namespace boragewinch::jobs
