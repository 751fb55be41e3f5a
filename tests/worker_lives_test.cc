#define BOOST_TEST_MODULE worker_lives
#include <boost/test/unit_test.hpp>

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "scheduler/fencing_token.h"
#include "scheduler/worker_fleet.h"
#include "simulated_worker.h"
#include "single_replica.h"

namespace boragewinch::scheduler {
namespace {

const jobs::JobId kJob("00000000000000aa");

[[nodiscard]] jobs::RunName RunOf(std::uint32_t index) {
  return {{kJob, 0, 0, index}, 1};
}

/// The leader and one worker that starts again under its id. Starts and stops
/// are carried out at once; holds when the test says so.
struct Fixture : SingleReplica {
  Fixture() {
    on_stored = [this](const jobs::Batch& batch, TimePoint now) {
      if (fleet)
        fleet->OnStored(batch, now);
    };
    Lead();
    Join();
    StoreChange([](jobs::Batch* batch) {
      jobs::Submission submission;
      submission.id = kJob;
      submission.queue = QueueName("q");
      jobs::StepSpec step;
      step.tasks = 8;
      step.request = {100, 1, 0};
      step.estimate = Millis(100);
      submission.spec.steps.push_back(step);
      batch->submissions.push_back(submission);
    });
    WorkerCalls calls;
    calls.start = [this](const jobs::WorkerRecord&, const StartCall& call,
                         const WorkerCalls::Done<CallResponse>& done) {
      if (holds_up_starts)
        late_starts.push_back(call);
      else
        done(worker.Execute(call, Millis(0), loop.now()));
    };
    calls.stop = [this](const jobs::WorkerRecord&, const StopCall& call,
                        const WorkerCalls::Done<CallResponse>& done) {
      done(worker.Execute(call, loop.now()));
    };
    calls.hold = [this](const jobs::WorkerRecord& record, const HoldCall& call,
                        WorkerCalls::Done<HoldResponse> done) {
      hold = Hold{call, record.incarnation, std::move(done)};
    };
    fleet.emplace(
        loop, *replica, calls,
        [](const jobs::TaskName&, const jobs::WorkerIncarnation&) {
          return std::string();
        },
        WorkerSessionOptions{}, metrics);
    fleet->OnLeadership(true, loop.now());
    AnswerHold();
  }

  struct Hold {
    HoldCall call;
    jobs::WorkerIncarnation to;
    WorkerCalls::Done<HoldResponse> done;
  };

  void StoreChange(const std::function<void(jobs::Batch*)>& change) {
    BOOST_REQUIRE(Store(change));
    // The hook on_stored runs after the response.
    loop.Post([this] { loop.Stop(); });
    loop.Run();
  }

  /// \brief The present life of the worker reports.
  void Join() {
    StoreChange([this](jobs::Batch* batch) {
      jobs::WorkerRecord record;
      record.incarnation = worker.incarnation();
      record.address = "w:80";
      record.pool = PoolName("p");
      record.capacity = {16'000, 32'000, 0};
      batch->workers.push_back(record);
    });
  }

  void Restart() {
    worker.Crash();
    worker.Restart(worker.incarnation().start_time + 1, loop.now());
  }

  /// \returns the next hold, which is sent after a short delay.
  [[nodiscard]] Hold TakeHold() {
    while (!hold) {
      RunFor(Millis(10));
      fleet->Tick(loop.now());
    }
    return *std::exchange(hold, std::nullopt);
  }

  /// \brief The worker carries out the next hold, and the ends that it lists
  /// are stored.
  void AnswerHold() {
    const Hold next = TakeHold();
    next.done(worker.Execute(next.call, next.to, loop.now()));
    RunFor(Millis(20));
  }

  void Run(std::uint32_t index) {
    StoreChange([&](jobs::Batch* batch) {
      batch->starts.push_back({RunOf(index), worker.incarnation()});
    });
  }

  /// Ends that the worker need not list any more.
  std::set<jobs::RunName> acknowledged;
  std::vector<jobs::RunName> started;
  bool holds_up_starts = false;
  std::vector<StartCall> late_starts;
  SimulatedWorker worker{
      {jobs::WorkerId("w"), 1},
      {[this](const jobs::RunName& run, TimePoint) { started.push_back(run); },
       [](const jobs::RunName&, jobs::RunEnd, TimePoint) {},
       [this](const jobs::RunName& run, jobs::RunEnd, TimePoint) {
         acknowledged.insert(run);
       }},
      loop.now()};
  Metrics metrics;
  std::optional<WorkerFleet> fleet;
  std::optional<Hold> hold;
};

// Guards against a second run of a task that has ended as done: a hold for an
// earlier life of the worker, carried out late, made the present one forget an
// end that had not been read.
BOOST_FIXTURE_TEST_CASE(ALateHoldOfAnEarlierLifeAcknowledgesNothing, Fixture) {
  for (const std::uint32_t index : {0U, 1U, 2U})
    Run(index);
  AnswerHold();
  const Hold late = TakeHold();
  BOOST_REQUIRE(late.call.last_end_sequence == 3);
  Restart();
  Join();
  AnswerHold();
  Run(3);
  (void)worker.Execute(late.call, late.to, loop.now());
  BOOST_TEST(acknowledged.count(RunOf(3)) == 0U);
  AnswerHold();
  BOOST_TEST(
      replica->ledger().FindWorker(worker.incarnation())->last_end_sequence ==
      1);
}

// Guards against two runs of one task: a start for an earlier life, carried out
// late, after its run has been ended.
BOOST_FIXTURE_TEST_CASE(ALateStartOfAnEarlierLifeStartsNothing, Fixture) {
  holds_up_starts = true;
  Run(0);
  BOOST_REQUIRE(late_starts.size() == 1U);
  Restart();
  Join();
  BOOST_TEST(late_starts.size() == 1U);
  AnswerHold();
  BOOST_TEST(replica->ledger().FindTask(RunOf(0).task)->runs.empty());
  (void)worker.Execute(late_starts.front(), Millis(0), loop.now());
  BOOST_TEST(started.empty());
}

// Guards against a start on a life that orders for earlier ones still reach.
BOOST_FIXTURE_TEST_CASE(NothingStartsBeforeTheFirstListOfALife, Fixture) {
  BOOST_TEST(fleet->StartLimitOf(worker.incarnation(), loop.now()) > 0U);
  Restart();
  Join();
  BOOST_TEST(fleet->StartLimitOf(worker.incarnation(), loop.now()) == 0U);
  Run(0);
  BOOST_TEST(started.empty());
  AnswerHold();
  BOOST_TEST(fleet->StartLimitOf(worker.incarnation(), loop.now()) > 0U);
}

// Guards against tokens that do not grow: the first order of a life outranks
// all orders for earlier ones, and those of a later leader outrank both.
BOOST_AUTO_TEST_CASE(TokensGrowWithTermsAndJoins) {
  constexpr std::int64_t kLargest = std::int64_t{1} << 40;
  BOOST_TEST(FencingToken(1, 2) > FencingToken(1, 1));
  BOOST_TEST(FencingToken(2, 0) > FencingToken(1, kLargest));
  BOOST_TEST(FencingToken(1, kLargest) >= FencingToken(1, kLargest - 1));
  BOOST_TEST(FencingToken(1, 0) > 1'000'000U);  // tokens were terms before
}

}  // namespace
}  // namespace boragewinch::scheduler
