#define BOOST_TEST_MODULE job_ledger
#include <boost/test/unit_test.hpp>

#include "ledger_builder.h"

namespace boragewinch::jobs {
namespace {

using Builder = LedgerBuilder;

[[nodiscard]] Batch RoundTrip(const Batch& batch) {
  const Result<Batch> read = DecodeBatch(EncodeBatch(batch));
  BOOST_REQUIRE_MESSAGE(read, (read ? "" : read.error().Text()));
  return read.value();
}

// Guards against a batch that the leader stores but followers reject: a
// customer limit covers a whole fleet and exceeds the bounds for one host.
BOOST_AUTO_TEST_CASE(LimitsOfAWholeFleetAreReadBack) {
  Batch batch;
  batch.config =
      Builder().Limit({113'600'000, 908'800'000, 5'000}).ledger().config();
  const Batch read = RoundTrip(batch);
  BOOST_TEST(read.config->customers.at(CustomerName("c")).limit.cpu_millis ==
             113'600'000);
}

// Guards against a data directory that is unreadable after an upgrade: earlier
// versions wrote entries as JSON.
BOOST_AUTO_TEST_CASE(EntriesOfEarlierVersionsAreRead) {
  const Result<Batch> read =
      DecodeBatch(R"({"now":77,"cancel":["k"],"start":[["j",0,1,2,7,"w",5]],)"
                  R"("end":[["j",0,0,1,2,"w",5,"lapsed",9,"saved"]]})");
  BOOST_REQUIRE(read);
  const Batch& batch = read.value();
  BOOST_TEST(batch.now == 77);
  BOOST_REQUIRE(batch.cancels.size() == 1U);
  BOOST_REQUIRE(batch.starts.size() == 1U);
  BOOST_TEST((batch.starts[0].run.task == TaskName{JobId("j"), 0, 1, 2}));
  BOOST_TEST(batch.starts[0].run.number == 7U);
  BOOST_TEST((batch.starts[0].worker == Builder::IncarnationOf("w", 5)));
  BOOST_REQUIRE(batch.ends.size() == 1U);
  BOOST_TEST((batch.ends[0].how == RunEnd::kLeaseExpired));
  BOOST_TEST(batch.ends[0].end_sequence == 9);
  BOOST_TEST(batch.ends[0].checkpoint == "saved");
}

// Guards against a replica that applies a part of a damaged entry.
BOOST_AUTO_TEST_CASE(ADamagedEntryIsRejected) {
  Batch batch;
  batch.now = 77;
  batch.cancels = {JobId("k")};
  batch.starts = {{Builder::Run("j", 0, 2, 7), Builder::IncarnationOf("w", 5)}};
  batch.ends = {{Builder::Run("j", 0, 1, 2), Builder::IncarnationOf("w", 5),
                 RunEnd::kLeaseExpired, "saved", 9}};
  const std::string bytes = EncodeBatch(batch);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    BOOST_TEST(!DecodeBatch(bytes.substr(0, size)));
  BOOST_TEST(!DecodeBatch(bytes + "x"));
  // The last row: five numbers of the run, worker, kind of end, end sequence
  // number, and six bytes of the checkpoint.
  std::string other = bytes;
  other[bytes.size() - 9] = 9;  // no such worker
  BOOST_TEST(!DecodeBatch(other));
}

// Guards against members that only one side of the codec handles.
BOOST_AUTO_TEST_CASE(EveryPartOfABatchIsReadBack) {
  Batch batch;
  batch.now = 77;
  WorkerRecord worker;
  worker.incarnation = Builder::IncarnationOf("w", 5);
  worker.address = "10.0.0.1:80";
  worker.host = HostName("h");
  worker.pool = PoolName("p");
  worker.labels = {"a", "r1"};
  worker.rack = RackName("r1");
  worker.capacity = {1, 2, 3};
  worker.draining = true;
  batch.workers = {worker};
  StepSpec step = Builder::Tasks(3);
  step.depends_on = {};
  step.speculative = step.checkpointing = step.best_effort = true;
  step.max_unavailable = 2;
  step.max_per_worker = 1;
  step.image = "image";
  batch.submissions = {{JobId("j"),
                        QueueName("q"),
                        CustomerName("c"),
                        {"payload", {step}, 4, 1'000, Millis(50)}}};
  batch.cancels = {JobId("k")};
  batch.openings = {{JobId("j"), 3}};
  batch.begun = {{{JobId("j"), 3, 1, 2}, 5}};
  batch.confirmed = {{{JobId("k"), 0, 2, 1}, 4}};
  batch.ends = {{Builder::Run("j", 0, 1, 2), worker.incarnation,
                 RunEnd::kLeaseExpired, "saved", 9}};
  batch.starts = {{Builder::Run("j", 0, 2, 7), worker.incarnation}};
  batch.waves = {{3, {HostName("h")}, Millis(2'000), 4}};
  batch.progress = {{3, HostName("h")}};
  const Batch read = RoundTrip(batch);
  BOOST_TEST(read.now == 77);
  BOOST_TEST((read.workers.at(0) == worker));
  const JobSpec& spec = read.submissions.at(0).spec;
  BOOST_TEST(spec.payload == "payload");
  BOOST_TEST(spec.due(2) == 1'100);
  BOOST_TEST(spec.steps.at(0).image == "image");
  BOOST_TEST(spec.steps.at(0).max_unavailable == 2);
  BOOST_TEST(spec.steps.at(0).best_effort);
  BOOST_TEST(read.cancels.at(0).str() == "k");
  BOOST_TEST(read.openings.at(0).occurrence == 3U);
  BOOST_TEST((read.begun == batch.begun));
  BOOST_TEST((read.confirmed == batch.confirmed));
  BOOST_TEST((read.ends.at(0).run == batch.ends[0].run));
  BOOST_TEST(read.ends.at(0).checkpoint == "saved");
  BOOST_TEST(read.ends.at(0).end_sequence == 9);
  BOOST_TEST((read.starts.at(0).worker == worker.incarnation));
  BOOST_TEST(read.waves.at(0).at_once == 4);
  BOOST_TEST(read.progress.at(0).host.str() == "h");
}

// Guards against a repeated submission that replaces the accepted job.
BOOST_AUTO_TEST_CASE(ARepeatedSubmissionIsOneJob) {
  Builder builder;
  builder.AddWorker("w").Submit("job", {Builder::Tasks(2)});
  builder.Start(Builder::Run("job", 0, 0), "w");
  builder.Begin(Builder::Run("job", 0, 0));
  builder.Submit("job", {Builder::Tasks(9)});
  BOOST_TEST(builder.job("job").spec->steps[0].tasks == 2);
  BOOST_TEST((builder.job("job").state == JobState::kRunning));
  BOOST_TEST(builder.ledger().QueuedOf(QueueName("q")) == 0);
}

// Guards against a job that is completed before all its tasks have ended, and
// against steps that start before their dependencies are complete.
BOOST_AUTO_TEST_CASE(StepsFollowTheirDependencies) {
  StepSpec second = Builder::Tasks(1);
  second.depends_on = {0};
  Builder builder;
  builder.AddWorker("w").Submit("job", {Builder::Tasks(2), second});
  const auto ready = [&](std::size_t step) {
    const Job& job = builder.job("job");
    return job.StepReady(job.occurrences.at(0), step);
  };
  BOOST_TEST(ready(0));
  BOOST_TEST(!ready(1));
  for (std::uint32_t i : {0U, 1U}) {
    builder.Start(Builder::Run("job", 0, i), "w");
    builder.End(Builder::Run("job", 0, i), "w", RunEnd::kDone, i + 1);
  }
  BOOST_TEST(ready(1));
  BOOST_TEST((builder.job("job").state == JobState::kRunning));
  builder.Start(Builder::Run("job", 1, 0), "w");
  builder.End(Builder::Run("job", 1, 0), "w", RunEnd::kDone, 3);
  BOOST_TEST((builder.job("job").state == JobState::kCompleted));
  BOOST_TEST(builder.ledger().UsageOf(CustomerName("c")).cpu_millis == 0);
}

// Guards against counting an end twice when a worker reports it again.
BOOST_AUTO_TEST_CASE(AReportedEndCountsOnce) {
  Builder builder;
  builder.AddWorker("w").Submit("job", {Builder::Tasks(1)});
  builder.Start(Builder::Run("job", 0, 0), "w");
  for (int i = 0; i < 3; ++i)
    builder.End(Builder::Run("job", 0, 0), "w", RunEnd::kFailed, 1);
  BOOST_TEST((builder.job("job").state == JobState::kRunning));
  builder.Start(Builder::Run("job", 0, 0, 2), "w");
  builder.End(Builder::Run("job", 0, 0, 2), "w", RunEnd::kFailed, 2);
  BOOST_TEST((builder.job("job").state == JobState::kFailed));
}

// Guards against repeating a task that an unreachable worker has completed: its
// late report counts if the task is not done yet.
BOOST_AUTO_TEST_CASE(ALateEndOfALostRunCompletesTheTask) {
  Builder builder;
  builder.AddWorker("w").AddWorker("v").Submit("job", {Builder::Tasks(1)});
  builder.Start(Builder::Run("job", 0, 0), "w");
  builder.End(Builder::Run("job", 0, 0), "w", RunEnd::kLost);
  builder.Start(Builder::Run("job", 0, 0, 2), "v");
  builder.End(Builder::Run("job", 0, 0), "w", RunEnd::kDone, 1);
  BOOST_TEST((builder.job("job").state == JobState::kCompleted));
  // The other run still takes capacity until it is stopped.
  BOOST_TEST(builder.job("job").runs == 1);
  builder.End(Builder::Run("job", 0, 0, 2), "v", RunEnd::kStopped, 1);
  BOOST_TEST(builder.job("job").runs == 0);
}

// Guards against run numbers that are reused.
BOOST_AUTO_TEST_CASE(RunNumbersRise) {
  Builder builder;
  builder.AddWorker("w").Submit("job", {Builder::Tasks(1)});
  builder.Start(Builder::Run("job", 0, 0, 3), "w");
  builder.End(Builder::Run("job", 0, 0, 3), "w", RunEnd::kRejected);
  builder.Start(Builder::Run("job", 0, 0, 3), "w");
  BOOST_TEST(builder.job("job").runs == 0);
  builder.Start(Builder::Run("job", 0, 0, 4), "w");
  BOOST_TEST(builder.job("job").runs == 1);
}

// Guards against a batch that starts tasks of a job it cancels.
BOOST_AUTO_TEST_CASE(ACancelledJobStartsNothing) {
  Builder builder;
  builder.AddWorker("w").Submit("job", {Builder::Tasks(1)});
  Batch batch;
  batch.cancels = {JobId("job")};
  batch.starts = {{Builder::Run("job", 0, 0), Builder::IncarnationOf("w")}};
  builder.Apply(batch);
  BOOST_TEST((builder.job("job").state == JobState::kCanceled));
  BOOST_TEST(
      builder.ledger().FindWorker(Builder::IncarnationOf("w"))->runs.empty());
}

// Guards against a host that appears idle because its former worker is kept
// beside the current one.
BOOST_AUTO_TEST_CASE(ANewIncarnationReplacesTheEarlierOneOnAHost) {
  Builder builder;
  WorkerRecord old;
  old.incarnation = Builder::IncarnationOf("old", 10);
  old.address = "10.0.0.1:80";
  old.host = HostName("h");
  old.pool = PoolName("p");
  WorkerRecord fresh = old;
  fresh.incarnation = Builder::IncarnationOf("fresh", 20);
  fresh.address = "10.0.0.2:80";
  Batch batch;
  batch.workers = {old, fresh, old};
  builder.Apply(batch);
  BOOST_TEST(builder.ledger().workers().size() == 1U);
  BOOST_TEST(builder.ledger().FindCurrent(WorkerId("fresh")) != nullptr);
}

// Guards against two concurrent runs of a task: a start request for an earlier
// incarnation may still be executed by a later one with the same id.
BOOST_AUTO_TEST_CASE(ALaterIncarnationInheritsTheRuns) {
  Builder builder;
  builder.AddWorker("w").Submit("job", {Builder::Tasks(1)});
  const RunName run = Builder::Run("job", 0, 0);
  builder.Start(run, "w");
  WorkerRecord later;
  later.incarnation = Builder::IncarnationOf("w", 2);
  later.address = "w:80";
  later.pool = PoolName("p");
  later.capacity = {16'000, 32'000, 0};
  Batch batch;
  batch.workers = {later};
  builder.Apply(batch);
  BOOST_TEST(builder.ledger().workers().size() == 1U);
  BOOST_TEST(builder.job("job").runs == 1);
  BOOST_TEST(builder.ledger().HasRun(run, later.incarnation));
  const Worker* worker = builder.ledger().FindWorker(later.incarnation);
  BOOST_REQUIRE(worker != nullptr);
  BOOST_TEST(worker->runs.count(run) == 1U);
  BOOST_TEST(worker->inherited.count(run) == 1U);
  BOOST_TEST(worker->used.cpu_millis == 1'000);

  const Result<JobLedger> restored =
      JobLedger::Restore(builder.ledger().Snapshot());
  BOOST_REQUIRE(restored);
  BOOST_TEST(
      restored.value().FindWorker(later.incarnation)->inherited.count(run) ==
      1U);

  batch = {};
  batch.ends = {{run, later.incarnation, RunEnd::kLost, "", 0}};
  builder.Apply(batch);
  BOOST_TEST(builder.job("job").runs == 0);
  BOOST_TEST(builder.ledger().FindWorker(later.incarnation)->used.cpu_millis ==
             0);
  BOOST_TEST(builder.ledger().FindWorker(later.incarnation)->inherited.empty());
  BOOST_TEST(builder.ledger().UsageOf(CustomerName("c")).cpu_millis == 0);
}

// Guards against a heartbeat that arrives after the worker has departed.
BOOST_AUTO_TEST_CASE(ADepartedIncarnationIsNotRestored) {
  Builder builder;
  builder.AddWorker("w").Submit("job", {Builder::Tasks(1)});
  builder.Start(Builder::Run("job", 0, 0), "w");
  Batch batch;
  WorkerRecord departed_worker;
  departed_worker.incarnation = Builder::IncarnationOf("w");
  departed_worker.departed = true;
  batch.workers = {departed_worker};
  builder.Apply(batch);
  BOOST_TEST(builder.job("job").runs == 0);
  builder.AddWorker("w");
  BOOST_TEST(builder.ledger().workers().empty());
}

// Guards against a worker that had left, or a key that was withdrawn, in use
// again after a restart: late messages reach the restored ledger.
BOOST_AUTO_TEST_CASE(WhatLeftStaysAwayAfterARestart) {
  LedgerBuilder builder;
  builder.AddWorker("w");
  Batch first;
  first.config = builder.ledger().config();
  Batch departure;
  departure.workers.push_back(
      builder.ledger().FindWorker(LedgerBuilder::IncarnationOf("w"))->record);
  const Batch heartbeat = departure;
  departure.workers[0].departed = true;
  builder.Apply(departure);
  Batch second = first;
  ++second.config->version;
  second.config->customers.begin()->second.keys = {"next"};
  builder.Apply(second);
  Result<JobLedger> restored = JobLedger::Restore(builder.ledger().Snapshot());
  BOOST_REQUIRE(restored);
  JobLedger& ledger = restored.value();
  ledger.Apply(heartbeat);
  ledger.Apply(first);
  BOOST_TEST((ledger.FindWorker(LedgerBuilder::IncarnationOf("w")) == nullptr));
  BOOST_TEST((ledger.config().FindCustomer("key") == nullptr));
  BOOST_TEST((ledger.config().FindCustomer("next") != nullptr));
}

// Guards against a delayed message that revokes a drain.
BOOST_AUTO_TEST_CASE(ADrainIsNotRevoked) {
  Builder builder;
  builder.AddWorker("w", {1'000, 1'000, 0}, true).AddWorker("w");
  BOOST_TEST(builder.ledger()
                 .FindWorker(Builder::IncarnationOf("w"))
                 ->record.draining);
}

// Guards against an older configuration that replaces a newer one.
BOOST_AUTO_TEST_CASE(AnOlderConfigurationChangesNothing) {
  Builder builder;
  builder.Limit({5, 5, 5}).Limit({6, 6, 6});
  Batch batch;
  batch.config = builder.ledger().config();
  batch.config->version = 2;
  batch.config->document = "older";
  builder.Apply(batch);
  BOOST_TEST(builder.ledger().config().version == 3);
  BOOST_TEST(builder.ledger().config().document == "{}");
}

// Guards against gang members that count as missing after the gang has ended.
BOOST_AUTO_TEST_CASE(OneEndCompletesTheWholeGang) {
  StepSpec gang = Builder::Tasks(3);
  gang.gang = true;
  Builder builder;
  builder.AddWorker("w").Submit("job", {gang});
  for (std::uint32_t i : {0U, 1U, 2U})
    builder.Start(Builder::Run("job", 0, i), "w");
  builder.End(Builder::Run("job", 0, 1), "w", RunEnd::kDone, 1);
  BOOST_TEST((builder.job("job").state == JobState::kCompleted));
  BOOST_TEST(
      builder.ledger().FindWorker(Builder::IncarnationOf("w"))->runs.empty());
}

// Guards against a queue that rejects jobs because finished or cancelled tasks
// still count as open, or accepts jobs without bound because none count.
BOOST_AUTO_TEST_CASE(TheLoadOfAQueueFollowsItsTasks) {
  const QueueName queue("q");
  StepSpec long_running_step = Builder::Tasks(4);
  long_running_step.long_running = true;
  Builder builder;
  builder.AddWorker("w").Submit("job", {Builder::Tasks(2), Builder::Tasks(3)});
  builder.Submit("lasts", {long_running_step})
      .Submit("dropped", {Builder::Tasks(7)});
  BOOST_TEST(builder.ledger().LoadOf(queue).open_tasks == 12);
  builder.Start(Builder::Run("job", 0, 0), "w");
  builder.End(Builder::Run("job", 0, 0), "w", RunEnd::kDone, 1);
  BOOST_TEST(builder.ledger().LoadOf(queue).open_tasks == 11);
  BOOST_TEST(builder.ledger().LoadOf(queue).ended_tasks == 1);
  builder.Cancel("dropped").Cancel("lasts");
  BOOST_TEST(builder.ledger().LoadOf(queue).open_tasks == 4);
  const Result<JobLedger> restored =
      JobLedger::Restore(builder.ledger().Snapshot());
  BOOST_REQUIRE(restored);
  BOOST_TEST(restored.value().LoadOf(queue).open_tasks == 4);
  builder.Cancel("job");
  BOOST_TEST(builder.ledger().LoadOf(queue).open_tasks == 0);
}

// Guards against state that is lost in a snapshot.
BOOST_AUTO_TEST_CASE(ASnapshotRestoresTheLedger) {
  StepSpec second = Builder::Tasks(2);
  second.depends_on = {0};
  Builder builder;
  builder.AddWorker("w").Submit("job", {Builder::Tasks(2), second});
  builder.Submit("waits", {Builder::Tasks(1)});
  builder.Start(Builder::Run("job", 0, 0), "w");
  builder.Start(Builder::Run("job", 0, 1), "w");
  builder.End(Builder::Run("job", 0, 0), "w", RunEnd::kDone, 1);
  Batch batch;
  batch.waves = {{1, {HostName("h"), HostName("i")}, Millis(1'000), 1}};
  batch.progress = {{1, HostName("h")}};
  builder.Apply(batch);
  const Result<JobLedger> read =
      JobLedger::Restore(builder.ledger().Snapshot());
  BOOST_REQUIRE(read);
  const JobLedger& restored = read.value();
  BOOST_TEST(restored.Snapshot().size() == builder.ledger().Snapshot().size());
  BOOST_TEST(restored.QueuedOf(QueueName("q")) == 1);
  BOOST_TEST(restored.UsageOf(CustomerName("c")).cpu_millis == 1'000);
  BOOST_TEST(
      restored.FindWorker(Builder::IncarnationOf("w"))->used.cpu_millis ==
      1'000);
  BOOST_TEST(
      restored.FindWorker(Builder::IncarnationOf("w"))->last_end_sequence == 1);
  BOOST_TEST(
      restored.HasRun(Builder::Run("job", 0, 1), Builder::IncarnationOf("w")));
  BOOST_TEST(restored.waves().at(1).begun.size() == 1U);
  BOOST_TEST(restored.active().size() == 2U);
}

// Guards against a leader that does not know that a worker has restarted under
// its id, after a snapshot too, or that takes another worker at its address for
// the same one.
BOOST_AUTO_TEST_CASE(ARestartUnderTheSameIdIsRecorded) {
  LedgerBuilder builder;
  builder.AddWorker("w").AddWorker("other");
  const auto join = [&builder](const std::string& id, UnixMillis start_time,
                               UnixMillis at) {
    Batch batch;
    batch.workers.push_back(
        builder.ledger().FindCurrent(WorkerId("w"))->record);
    batch.workers[0].incarnation = LedgerBuilder::IncarnationOf(id, start_time);
    builder.At(at).Apply(batch);
  };
  BOOST_TEST(builder.ledger().FindCurrent(WorkerId("w"))->succeeded == 0);
  join("w", 2, 5'000);
  join("w", 2, 6'000);  // a later report of the same incarnation
  BOOST_TEST(builder.ledger().FindCurrent(WorkerId("w"))->succeeded == 5'000);
  const auto restored = JobLedger::Restore(builder.ledger().Snapshot());
  BOOST_REQUIRE(restored);
  BOOST_TEST(restored.value().FindCurrent(WorkerId("w"))->succeeded == 5'000);
  join("x", 3, 7'000);
  BOOST_TEST(builder.ledger().FindCurrent(WorkerId("x"))->succeeded == 0);
  BOOST_TEST(builder.ledger().FindCurrent(WorkerId("w")) == nullptr);
}

// Guards against equal fencing tokens of two incarnations of a worker: their
// numbers grow, also across a snapshot and after the worker was forgotten.
BOOST_AUTO_TEST_CASE(EachIncarnationGetsAHigherNumber) {
  LedgerBuilder builder;
  builder.AddWorker("w").AddWorker("other");
  const auto join = [](JobLedger* ledger, UnixMillis start_time) {
    Batch batch;
    batch.workers.resize(1);
    batch.workers[0].incarnation =
        LedgerBuilder::IncarnationOf("w", start_time);
    batch.workers[0].address = "w:80";
    batch.workers[0].pool = PoolName("p");
    ledger->Apply(batch);
    return ledger->FindCurrent(WorkerId("w"))->join_number;
  };
  auto restored = JobLedger::Restore(builder.ledger().Snapshot());
  BOOST_REQUIRE(restored);
  JobLedger& ledger = restored.value();
  BOOST_TEST(ledger.FindCurrent(WorkerId("w"))->join_number == 1);
  BOOST_TEST(ledger.FindCurrent(WorkerId("other"))->join_number == 2);
  BOOST_TEST(join(&ledger, 1) == 1);  // a later report of the same incarnation
  BOOST_TEST(join(&ledger, 2) == 3);
  Batch leaves;
  leaves.workers = {ledger.FindCurrent(WorkerId("w"))->record};
  leaves.workers[0].departed = true;
  ledger.Apply(leaves);
  BOOST_REQUIRE(ledger.FindCurrent(WorkerId("w")) == nullptr);
  auto again = JobLedger::Restore(ledger.Snapshot());
  BOOST_REQUIRE(again);
  BOOST_TEST(join(&again.value(), 3) == 4);
}

// Guards against cancellations of unknown jobs that are lost with a restart, or
// that are kept for ever.
BOOST_AUTO_TEST_CASE(CancellationsOfUnknownJobsAreKeptForAWhile) {
  LedgerBuilder builder;
  const auto cancel_of = [](const std::string& id) {
    return UnseenCancel{JobId(id), "example", "/q/", CustomerName("c")};
  };
  const auto cancel = [&](const std::string& id, UnixMillis at) {
    Batch batch;
    batch.unseen_cancels.push_back(cancel_of(id));
    const auto decoded = DecodeBatch(EncodeBatch(batch));
    BOOST_REQUIRE(decoded);
    builder.At(at).Apply(decoded.value());
  };
  cancel("first", 1'000);
  const auto restored = JobLedger::Restore(builder.ledger().Snapshot());
  BOOST_REQUIRE(restored);
  BOOST_TEST(restored.value().IsCancelledUnseen(cancel_of("first")));
  BOOST_TEST(!restored.value().IsCancelledUnseen(cancel_of("other")));
  cancel("second", 1'000 + kUnseenCancelMemory.count());
  BOOST_TEST(builder.ledger().IsCancelledUnseen(cancel_of("first")));
  cancel("third", 1'001 + kUnseenCancelMemory.count());
  BOOST_TEST(!builder.ledger().IsCancelledUnseen(cancel_of("first")));
  BOOST_TEST(builder.ledger().IsCancelledUnseen(cancel_of("second")));
  for (std::size_t i = 0; i < kMaxUnseenCancels; ++i)
    cancel(std::to_string(i), 2'000 + kUnseenCancelMemory.count());
  BOOST_TEST(!builder.ledger().IsCancelledUnseen(
      cancel_of(std::to_string(kMaxUnseenCancels - 1))));
}

/// A ledger with a job of a speculative task that runs on "a" and "b".
[[nodiscard]] Builder TwoRuns() {
  StepSpec step = Builder::Tasks(1);
  step.speculative = true;
  Builder builder;
  builder.AddWorker("a").AddWorker("b").AddWorker("c").Submit("job", {step});
  builder.Start(Builder::Run("job", 0, 0), "a")
      .Start(Builder::Run("job", 0, 0, 2), "b");
  return builder;
}

[[nodiscard]] const Task& OnlyTask(const Builder& builder) {
  return builder.job("job").occurrences.at(0).steps[0].tasks[0];
}

// Guards against a third run, a second one on the same worker, and copies of
// steps that must have none.
BOOST_AUTO_TEST_CASE(OnlySpeculativeTasksHaveASecondRun) {
  Builder builder = TwoRuns();
  builder.Start(Builder::Run("job", 0, 0, 3), "c");
  BOOST_TEST(OnlyTask(builder).runs.size() == 2U);
  // A number that was used, after the end of that run.
  builder.End(Builder::Run("job", 0, 0, 2), "b", RunEnd::kLost)
      .Start(Builder::Run("job", 0, 0, 2), "b")
      .Start(Builder::Run("job", 0, 0, 3), "a");
  BOOST_TEST(OnlyTask(builder).runs.size() == 1U);
  for (const auto flag : {&StepSpec::gang, &StepSpec::long_running}) {
    StepSpec step = Builder::Tasks(1);
    step.speculative = true;
    step.*flag = true;
    Builder other;
    other.AddWorker("a").AddWorker("b").Submit("job", {step});
    other.Start(Builder::Run("job", 0, 0), "a")
        .Start(Builder::Run("job", 0, 0, 2), "b");
    BOOST_TEST(OnlyTask(other).runs.size() == 1U);
  }
}

// Guards against capacity and usage that count only one of two runs, or count
// the second one after its end.
BOOST_AUTO_TEST_CASE(BothRunsCountAgainstTheLimits) {
  Builder builder = TwoRuns();
  const auto used_on = [&](const char* worker) {
    return builder.ledger()
        .FindWorker(Builder::IncarnationOf(worker))
        ->used.cpu_millis;
  };
  const CustomerName customer("c");
  BOOST_TEST(builder.ledger().UsageOf(customer).cpu_millis == 2'000);
  BOOST_TEST(used_on("a") == 1'000);
  BOOST_TEST(used_on("b") == 1'000);
  const Step& step = builder.job("job").occurrences.at(0).steps[0];
  BOOST_TEST(step.placed == 1);
  BOOST_TEST(step.waiting() == 0);
  builder.End(Builder::Run("job", 0, 0, 2), "b", RunEnd::kDone, 1);
  BOOST_TEST(builder.ledger().UsageOf(customer).cpu_millis == 1'000);
  builder.End(Builder::Run("job", 0, 0), "a", RunEnd::kStopped, 1);
  BOOST_TEST(builder.ledger().UsageOf(customer).cpu_millis == 0);
  BOOST_TEST(used_on("a") == 0);
  BOOST_TEST(builder.ledger().copied_tasks().empty());
}

// Guards against late ends of the other run that change the result, whichever
// run ends first.
BOOST_AUTO_TEST_CASE(TheFirstStoredEndOfTwoRunsCounts) {
  for (const RunEnd late : {RunEnd::kDone, RunEnd::kFailed, RunEnd::kLost}) {
    for (const bool copy_first : {true, false}) {
      Builder builder = TwoRuns();
      const RunName first = Builder::Run("job", 0, 0, copy_first ? 2 : 1);
      const RunName second = Builder::Run("job", 0, 0, copy_first ? 1 : 2);
      builder.End(first, copy_first ? "b" : "a", RunEnd::kDone, 1);
      BOOST_TEST((builder.job("job").state == JobState::kCompleted));
      BOOST_TEST(builder.ledger().stop_candidates().size() == 1U);
      BOOST_TEST(builder.ledger().LoadOf(QueueName("q")).ended_tasks == 1);
      builder.End(second, copy_first ? "a" : "b", late,
                  late == RunEnd::kLost ? 0 : 1);
      BOOST_TEST((builder.job("job").state == JobState::kCompleted));
      BOOST_TEST(builder.job("job").runs == 0);
      BOOST_TEST(builder.ledger().LoadOf(QueueName("q")).ended_tasks == 1);
      BOOST_TEST(builder.ledger().LoadOf(QueueName("q")).open_tasks == 0);
      BOOST_TEST(builder.ledger().stop_candidates().empty());
    }
  }
}

// Guards against both ends in one batch, which an agent may report together.
BOOST_AUTO_TEST_CASE(BothRunsEndInOneBatch) {
  Builder builder = TwoRuns();
  Batch batch;
  batch.ends.push_back({Builder::Run("job", 0, 0), Builder::IncarnationOf("a"),
                        RunEnd::kDone, "", 1});
  batch.ends.push_back({Builder::Run("job", 0, 0, 2),
                        Builder::IncarnationOf("b"), RunEnd::kDone, "", 1});
  builder.Apply(batch);
  BOOST_TEST((builder.job("job").state == JobState::kCompleted));
  BOOST_TEST(builder.job("job").completed_occurrences == 1);
  BOOST_TEST(builder.ledger().UsageOf(CustomerName("c")).cpu_millis == 0);
}

// Guards against a third run beside a failed one's other run, and against
// failures of copies that do not count as attempts.
BOOST_AUTO_TEST_CASE(FailuresOfBothRunsCount) {
  Builder builder = TwoRuns();
  builder.End(Builder::Run("job", 0, 0), "a", RunEnd::kFailed, 1);
  BOOST_TEST(OnlyTask(builder).failures == 1U);
  BOOST_TEST(builder.ledger().startable().empty());
  BOOST_TEST((builder.job("job").state == JobState::kRunning));
  builder.End(Builder::Run("job", 0, 0, 2), "b", RunEnd::kFailed, 1);
  BOOST_TEST((builder.job("job").state == JobState::kFailed));
}

// Guards against a task that waits or is lost although its other run goes on,
// or that never starts again after both are lost.
BOOST_AUTO_TEST_CASE(TheOtherRunGoesOnWhenAWorkerIsLost) {
  Builder builder = TwoRuns();
  Batch departure;
  departure.workers.push_back(
      builder.ledger().FindWorker(Builder::IncarnationOf("a"))->record);
  departure.workers.back().departed = true;
  builder.Apply(departure);
  BOOST_TEST(OnlyTask(builder).runs.size() == 1U);
  BOOST_TEST(builder.ledger().startable().empty());
  Builder lost = TwoRuns();
  lost.Apply(departure).End(Builder::Run("job", 0, 0, 2), "b", RunEnd::kLost);
  BOOST_TEST(lost.ledger().startable().size() == 1U);
  BOOST_TEST(OnlyTask(lost).failures == 0U);
  lost.Start(Builder::Run("job", 0, 0, 3), "c")
      .End(Builder::Run("job", 0, 0, 3), "c", RunEnd::kDone, 1);
  BOOST_TEST((lost.job("job").state == JobState::kCompleted));
  builder.End(Builder::Run("job", 0, 0, 2), "b", RunEnd::kDone, 1);
  BOOST_TEST((builder.job("job").state == JobState::kCompleted));
}

// Guards against a new leader that reads a snapshot without one of the runs.
BOOST_AUTO_TEST_CASE(ASnapshotKeepsBothRuns) {
  Builder builder = TwoRuns();
  for (const bool done : {false, true}) {
    if (done)
      builder.End(Builder::Run("job", 0, 0), "a", RunEnd::kDone, 1);
    const auto restored = JobLedger::Restore(builder.ledger().Snapshot());
    BOOST_REQUIRE(restored);
    const JobLedger& ledger = restored.value();
    const Task* task = ledger.FindTask({JobId("job"), 0, 0, 0});
    BOOST_REQUIRE(task != nullptr);
    BOOST_TEST(task->runs.size() == (done ? 1U : 2U));
    BOOST_TEST(task->last_run == 2U);
    BOOST_TEST((ledger.copied_tasks() == builder.ledger().copied_tasks()));
    BOOST_TEST(ledger.speculating().size() == (done ? 0U : 1U));
    BOOST_TEST(ledger.UsageOf(CustomerName("c")).cpu_millis ==
               (done ? 1'000 : 2'000));
    BOOST_TEST(ledger.stop_candidates().size() == (done ? 1U : 0U));
    BOOST_TEST(ledger.Snapshot() == builder.ledger().Snapshot());
  }
}

}  // namespace
}  // namespace boragewinch::jobs
