#define BOOST_TEST_MODULE gang_runs
#include <boost/test/unit_test.hpp>

#include <string>

#include "ledger_builder.h"

namespace boragewinch::jobs {
namespace {

constexpr std::uint32_t kMembers = 3;

/// A gang of three members, one on each worker.
struct Gang {
  Gang() {
    StepSpec step = LedgerBuilder::Tasks(kMembers);
    step.gang = true;
    step.checkpointing = true;
    builder.AddWorker("w0").AddWorker("w1").AddWorker("w2");
    builder.Submit("j", {step});
  }

  void StartAll(std::uint32_t run) {
    for (std::uint32_t i = 0; i < kMembers; ++i)
      builder.Start(LedgerBuilder::Run("j", 0, i, run), Worker(i));
  }
  void End(std::uint32_t member,
           std::uint32_t run,
           RunEnd how,
           const std::string& checkpoint = "") {
    Batch batch;
    batch.ends.push_back({LedgerBuilder::Run("j", 0, member, run),
                          LedgerBuilder::IncarnationOf(Worker(member)), how,
                          checkpoint, 0});
    builder.Apply(batch);
  }
  // A worker restarts under its id: its run ends without a report.
  void Restart(std::uint32_t member) {
    WorkerRecord record =
        builder.ledger()
            .FindWorker(LedgerBuilder::IncarnationOf(Worker(member)))
            ->record;
    record.incarnation.start_time = 2;
    Batch batch;
    batch.workers.push_back(record);
    builder.Apply(batch);
  }
  void CheckCheckpoints(const JobLedger& ledger,
                        const std::string& checkpoint) const {
    for (std::uint32_t i = 0; i < kMembers; ++i) {
      const Task* task = ledger.FindTask({JobId("j"), 0, 0, i});
      BOOST_REQUIRE(task != nullptr);
      BOOST_TEST(task->checkpoint == checkpoint, "member " << i);
    }
  }
  void CheckCheckpoints(const std::string& checkpoint) const {
    CheckCheckpoints(builder.ledger(), checkpoint);
  }
  static std::string Worker(std::uint32_t member) {
    return "w" + std::to_string(member);
  }

  LedgerBuilder builder;
};

// Guards against members that are started from different checkpoints: every
// run then ends alone, and the job never completes.
BOOST_AUTO_TEST_CASE(MembersOfALostWorkerShareTheCheckpoint) {
  Gang gang;
  gang.StartAll(1);
  gang.Restart(0);
  Batch lost;
  lost.ends.push_back({LedgerBuilder::Run("j", 0, 0, 1),
                       LedgerBuilder::IncarnationOf("w0", 2), RunEnd::kLost, "",
                       0});
  gang.builder.Apply(lost);
  gang.End(1, 1, RunEnd::kGangMemberEnded, "saved by 1");
  gang.End(2, 1, RunEnd::kGangMemberEnded, "saved by 2");
  gang.CheckCheckpoints("saved by 2");
}

BOOST_AUTO_TEST_CASE(MembersOfADepartedWorkerShareTheCheckpoint) {
  Gang gang;
  gang.StartAll(1);
  Batch departed;
  WorkerRecord record = gang.builder.ledger()
                            .FindWorker(LedgerBuilder::IncarnationOf("w2"))
                            ->record;
  record.departed = true;
  departed.workers.push_back(record);
  gang.builder.Apply(departed);
  gang.End(0, 1, RunEnd::kGangMemberEnded, "saved");
  gang.End(1, 1, RunEnd::kLost);
  gang.CheckCheckpoints("saved");
}

// Guards against a start that is sent again with another checkpoint than the
// other members of its run carry.
BOOST_AUTO_TEST_CASE(LateEndOfAnEarlierRunChangesNoRunInProgress) {
  Gang gang;
  gang.StartAll(1);
  gang.End(0, 1, RunEnd::kGangMemberEnded, "first");
  gang.End(1, 1, RunEnd::kLost);
  gang.End(2, 1, RunEnd::kLost);
  gang.StartAll(2);
  Batch late;
  late.ends.push_back({LedgerBuilder::Run("j", 0, 1, 1),
                       LedgerBuilder::IncarnationOf("w1"),
                       RunEnd::kGangMemberEnded, "late", 1});
  gang.builder.Apply(late);
  gang.CheckCheckpoints("first");
  gang.End(1, 2, RunEnd::kStopped, "second");
  gang.CheckCheckpoints("second");
}

// Guards against a run in which a leader of the present version starts members
// with the different checkpoints that an earlier version has stored.
BOOST_AUTO_TEST_CASE(ChangeOfLeaderKeepsTheCheckpoint) {
  Gang gang;
  gang.StartAll(1);
  gang.End(0, 1, RunEnd::kGangMemberEnded, "saved");
  gang.End(1, 1, RunEnd::kLost);
  gang.End(2, 1, RunEnd::kLost);
  const auto restored = JobLedger::Restore(gang.builder.ledger().Snapshot());
  BOOST_REQUIRE(restored);
  gang.CheckCheckpoints(restored.value(), "saved");

  std::string snapshot = gang.builder.ledger().Snapshot();
  const std::string text = "\"saved\"";
  const std::size_t first = snapshot.find(text);
  BOOST_REQUIRE(first != std::string::npos);
  snapshot.replace(first, text.size(), "\"\"");
  auto mixed = JobLedger::Restore(snapshot);
  BOOST_REQUIRE(mixed);
  Batch starts;
  for (std::uint32_t i = 0; i < kMembers; ++i) {
    starts.starts.push_back({LedgerBuilder::Run("j", 0, i, 2),
                             LedgerBuilder::IncarnationOf(Gang::Worker(i))});
  }
  mixed.value().Apply(starts);
  gang.CheckCheckpoints(mixed.value(), "saved");
}

// Guards against a job that is shown as failed after one run because several
// members failed in it.
BOOST_AUTO_TEST_CASE(OneRunOfAGangIsOneAttempt) {
  Gang gang;
  gang.StartAll(1);
  for (std::uint32_t i = 0; i < kMembers; ++i)
    gang.End(i, 1, RunEnd::kFailed);
  BOOST_TEST((gang.builder.job("j").state == JobState::kRunning));
  gang.StartAll(2);
  BOOST_TEST((gang.builder.job("j").state == JobState::kRunning));
  gang.End(1, 2, RunEnd::kFailed);
  BOOST_TEST((gang.builder.job("j").state == JobState::kFailed));
}

BOOST_AUTO_TEST_CASE(AttemptsOfAGangSurviveASnapshot) {
  Gang gang;
  gang.StartAll(1);
  gang.End(0, 1, RunEnd::kFailed);
  auto restored = JobLedger::Restore(gang.builder.ledger().Snapshot());
  BOOST_REQUIRE(restored);
  Batch end;
  end.ends.push_back({LedgerBuilder::Run("j", 0, 1, 1),
                      LedgerBuilder::IncarnationOf("w1"), RunEnd::kFailed, "",
                      0});
  restored.value().Apply(end);
  const Job* job = restored.value().FindJob(JobId("j"));
  BOOST_REQUIRE(job != nullptr);
  BOOST_TEST((job->state == JobState::kRunning));
  BOOST_TEST(job->occurrences.at(0).steps[0].gang_failures == 1U);
}

// A single task is not a gang: each failed run of it counts.
BOOST_AUTO_TEST_CASE(EachRunOfATaskIsAnAttempt) {
  LedgerBuilder builder;
  builder.AddWorker("w0").Submit("j", {LedgerBuilder::Tasks(1)});
  for (std::uint32_t run = 1; run <= 2; ++run) {
    BOOST_TEST((builder.job("j").state != JobState::kFailed));
    builder.Start(LedgerBuilder::Run("j", 0, 0, run), "w0");
    builder.End(LedgerBuilder::Run("j", 0, 0, run), "w0", RunEnd::kFailed);
  }
  BOOST_TEST((builder.job("j").state == JobState::kFailed));
}

}  // namespace
}  // namespace boragewinch::jobs
