#define BOOST_TEST_MODULE run_settling_random
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ledger_builder.h"
#include "random_seeds.h"
#include "scheduler/worker_session.h"
#include "simulated_worker.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

constexpr Millis kEnds{120'000};
/// A stop takes less than 1 s on any deployment; it is then listed as an end.
constexpr Millis kStopTime{1'000};

/// Time within which a run is settled after the last call that got no
/// response: an open list that waits or fails, a start and a stop that are
/// repeated, a list that is open when the stop is accepted, and the stop.
[[nodiscard]] Millis SettlingBound() {
  const WorkerSessionOptions options;
  return options.hold_wait + options.hold_timeout + options.retry_delay +
         2 * (options.order_timeout + options.start_retry_delay) +
         options.hold_wait + kStopTime;
}

struct Totals {
  int starts = 0;
  int settled = 0;
  int lost_calls = 0;
  Millis longest{0};
};

/// One worker whose responses, orders and lists are delayed and lost. Its lists
/// wait for an end as on the platform. Orders are sent and responses are
/// handled as in WorkerFleet.
class RandomRun {
 public:
  RandomRun(std::uint64_t seed, Totals* totals)
      : random_(seed), totals_(*totals) {
    // Stays constant, so that repetitions of lists and stops can fall into
    // step.
    round_trip_ = Millis(2 + Pick(60));
    // Few runs: a list then waits for its whole time instead of for an end.
    tasks_ = static_cast<std::uint32_t>(1 + Pick(4));
    longest_run_ms_ = Pick(2) == 0 ? 10'000 : 100'000;
    lost_orders_percent_ = 10 + Pick(50);
    lost_lists_percent_ = Pick(3) == 0 ? Pick(40) : 0;
    builder_.AddWorker("w").Submit("job", {LedgerBuilder::Tasks(tasks_)});
    if (Pick(2) == 0)
      InheritWithUnexpectedRun();
    session_.Sync(worker(), RunPhase::kInherited, now_);
  }

  /// \returns the first violation; empty if there is none.
  [[nodiscard]] std::string Execute() {
    const TimePoint end = now_ + kEnds;
    for (; now_ < end && violation_.empty(); now_ += Millis(1)) {
      builder_.At(ToMillis(now_));
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = events_.extract(events_.begin());
        event.mapped()();
      }
      simulated_.Advance(now_);
      AnswerHold();
      StartTasks();
      if (Pick(700) == 0)
        StopSomeRun();
      CheckSession();
      CheckSettling();
    }
    return violation_;
  }

 private:
  struct OpenHold {
    HoldCall call;
    TimePoint until;
  };

  [[nodiscard]] std::uint64_t Pick(std::uint64_t bound) {
    return random_() % bound;
  }
  [[nodiscard]] const jobs::Worker& worker() const {
    return *builder_.ledger().FindWorker(incarnation_);
  }
  /// \returns a delay by which one response may overtake another one.
  [[nodiscard]] Millis Lateness() {
    return Millis(Pick(4) == 0 ? Pick(300) : 0);
  }
  void After(Millis delay, std::function<void()> action) {
    events_.emplace(now_ + delay, std::move(action));
  }
  void Report(const std::string& violation) {
    if (violation_.empty())
      violation_ = violation + " at " + std::to_string(ToMillis(now_)) + " ms";
  }

  [[nodiscard]] SimulatedWorker::Hooks Hooks() {
    SimulatedWorker::Hooks hooks;
    hooks.on_started = [this](const jobs::RunName& run, TimePoint) {
      ++totals_.starts;
      // The session, not the worker, has to rule out a second run.
      if (const auto other = running_.find(run.task); other != running_.end())
        Report("two runs of " + run.task.Text());
      running_[run.task] = run.number;
    };
    hooks.on_ended = [this](const jobs::RunName& run, jobs::RunEnd, TimePoint) {
      running_.erase(run.task);
    };
    hooks.on_acknowledged = [](const jobs::RunName&, jobs::RunEnd, TimePoint) {
    };
    return hooks;
  }

  /// \brief The worker runs an earlier run of the task that the ledger assigns
  /// to it: an order of an earlier leader was carried out late.
  void InheritWithUnexpectedRun() {
    const jobs::RunName earlier = LedgerBuilder::Run("job", 0, 0, 1);
    StartCall call;
    call.run = earlier;
    call.lease_until_ms = 5'000;
    (void)simulated_.Execute(call, Millis(100'000), now_);
    builder_.Start(earlier, "w").End(earlier, "w", jobs::RunEnd::kLost);
    builder_.Start(LedgerBuilder::Run("job", 0, 0, 2), "w");
  }

  void Apply(const jobs::Batch& batch) {
    builder_.Apply(batch);
    session_.Sync(worker(), RunPhase::kPlanned, now_);
  }

  void StartTasks() {
    jobs::Batch batch;
    if (session_.Reachable(now_)) {
      for (std::uint32_t index = 0; index < tasks_; ++index) {
        const jobs::TaskName name = LedgerBuilder::Run("job", 0, index).task;
        const jobs::Task* task = builder_.ledger().FindTask(name);
        if (task != nullptr && !task->done && task->runs.empty() &&
            Pick(50) == 0)
          batch.starts.push_back({{name, task->last_run + 1}, incarnation_});
      }
    }
    if (batch.starts.empty())
      return;
    Apply(batch);
    for (const jobs::StartRecord& start : batch.starts)
      SendStart(start.run);
  }

  void StopSomeRun() {
    if (worker().runs.empty())
      return;
    auto run = worker().runs.begin();
    std::advance(run, Pick(worker().runs.size()));
    (void)session_.RequestStop(*run);
  }

  /// \brief Sends an order: the request or the response may be lost or late.
  void Send(const jobs::RunName& run,
            const std::function<CallResponse()>& execute,
            const std::function<void(const Result<CallResponse>&)>& respond) {
    const Millis timeout = WorkerSessionOptions{}.order_timeout;
    const std::uint64_t fate = Pick(100);
    const bool is_lost = fate < lost_orders_percent_;
    // Two thirds of the lost calls are never carried out.
    const bool is_executed = !is_lost || fate % 3 == 0;
    const Millis one_way = round_trip_ / 2;
    if (is_executed)
      After(is_lost ? Millis(Pick(2'000)) : one_way,
            [this, execute, respond, is_lost, one_way] {
              const CallResponse response = execute();
              if (!is_lost)
                After(one_way + Lateness(),
                      [respond, response] { respond(response); });
            });
    if (is_lost) {
      ++totals_.lost_calls;
      // What is repeated after the worker has accepted a stop adds no time.
      if (worker().runs.count(run) == 0)
        last_lost_unexpected_ = now_ + timeout;
      else if (stop_accepted_.count(run) == 0)
        last_lost_[run] = now_ + timeout;
      After(timeout,
            [respond] { respond(Fail(ErrorCode::kTimeout, "no response")); });
    }
  }

  void SendStart(const jobs::RunName& run) {
    const auto lease = session_.LeaseUntil();
    if (!lease)
      return;
    StartCall call;
    call.run = run;
    call.token = kToken;
    call.lease_until_ms = *lease;
    session_.OnGrant(*lease);
    session_.OnStartSent(run, now_);
    const Millis duration(100 + Pick(longest_run_ms_));
    Send(
        run,
        [this, call, duration] {
          return simulated_.Execute(call, duration, now_);
        },
        [this, run](const Result<CallResponse>& response) {
          if (const auto how = session_.OnStartResponse(run, response, now_))
            End({{run, incarnation_, *how, "", 0}});
        });
  }

  void SendStop(const jobs::RunName& run) {
    session_.OnStopSent(run, now_);
    const StopCall call{run, kToken, Millis(0)};
    Send(
        run, [this, call] { return simulated_.Execute(call, now_); },
        [this, run](const Result<CallResponse>& response) {
          if (response)
            stop_accepted_.insert(run);
          session_.OnStopResponse(run, response, now_);
        });
  }

  void SendHold() {
    HoldCall call = session_.PrepareHold(worker(), now_);
    call.token = kToken;
    const std::uint64_t hold = ++holds_;
    if (Pick(100) < lost_lists_percent_) {
      ++totals_.lost_calls;
      last_lost_list_ = now_ + call.wait + call.timeout;
      After(call.wait + call.timeout, [this, hold] {
        if (hold == holds_)
          session_.OnHoldFailed(now_);
      });
      return;
    }
    After(round_trip_ / 2, [this, call] {
      open_hold_ = OpenHold{call, now_ + call.wait};
    });
  }

  /// \brief Responds to the open list request when its wait is over or a run
  /// has ended.
  void AnswerHold() {
    if (!open_hold_)
      return;
    HoldCall call = open_hold_->call;
    const HoldResponse response = simulated_.Execute(call, incarnation_, now_);
    if (response.ended.empty() && now_ < open_hold_->until)
      return;
    open_hold_.reset();
    After(round_trip_ / 2 + Lateness(), [this, response] { OnHold(response); });
  }

  void OnHold(const HoldResponse& response) {
    std::vector<jobs::RunName> unexpected_runs;
    const auto ends =
        session_.OnHoldResponse(worker(), response, now_, &unexpected_runs);
    for (const jobs::RunName& run : unexpected_runs) {
      const StopCall call{run, kToken, Millis(0)};
      Send(
          run, [this, call] { return simulated_.Execute(call, now_); },
          [](const Result<CallResponse>&) {});
    }
    End(ends);
  }

  void End(const std::vector<jobs::EndRecord>& ends) {
    if (ends.empty())
      return;
    jobs::Batch batch;
    for (jobs::EndRecord end : ends) {
      if (const auto running = running_.find(end.run.task);
          end.end_sequence == 0 && running != running_.end() &&
          running->second == end.run.number) {
        Report("settled while it runs: " + end.run.task.Text());
      }
      // The task goes on to its next run, so that the load stays.
      end.how = jobs::RunEnd::kLost;
      batch.ends.push_back(end);
    }
    totals_.settled += static_cast<int>(batch.ends.size());
    Apply(batch);
  }

  void CheckSession() {
    for (const jobs::RunName& run : session_.StopsDue(now_))
      SendStop(run);
    for (const jobs::RunName& run : session_.StartsDue(now_))
      SendStart(run);
    if (session_.HoldDue(now_))
      SendHold();
    End(session_.ExpireLease(worker(), now_));
  }

  void CheckSettling() {
    for (const auto& [run, track] : session_.tracks()) {
      if (track.phase == RunPhase::kConfirmed && !track.stop_requested) {
        unsettled_since_.erase(run);
        continue;
      }
      const TimePoint since =
          std::max({unsettled_since_.try_emplace(run, now_).first->second,
                    last_lost_.count(run) > 0 ? last_lost_[run] : TimePoint(),
                    last_lost_unexpected_, last_lost_list_});
      const Millis age = now_ - since;
      totals_.longest = std::max(totals_.longest, age);
      if (age > SettlingBound())
        Report(run.task.Text() + " run " + std::to_string(run.number) +
               " is unsettled in phase " +
               std::string(kRunPhases.Name(track.phase)) + " after " +
               std::to_string(age.count()) + " ms");
    }
    std::erase_if(unsettled_since_, [&](const auto& item) {
      return session_.tracks().count(item.first) == 0;
    });
  }

  static constexpr std::uint64_t kToken = 5;

  std::mt19937_64 random_;
  Totals& totals_;
  Millis round_trip_{0};
  std::uint32_t tasks_ = 1;
  std::uint64_t longest_run_ms_ = 0;
  std::uint64_t lost_orders_percent_ = 0;
  std::uint64_t lost_lists_percent_ = 0;
  TimePoint now_ = FromMillis(1'000'000);
  std::multimap<TimePoint, std::function<void()>> events_;
  const jobs::WorkerIncarnation incarnation_ =
      LedgerBuilder::IncarnationOf("w");
  SimulatedWorker simulated_{incarnation_, Hooks(), now_};
  std::optional<OpenHold> open_hold_;
  std::uint64_t holds_ = 0;
  std::map<jobs::TaskName, std::uint32_t> running_;
  LedgerBuilder builder_;
  WorkerSession session_{WorkerSessionOptions{}, now_};
  std::map<jobs::RunName, TimePoint> unsettled_since_;
  /// End of the latest order of a run that got no response.
  std::map<jobs::RunName, TimePoint> last_lost_;
  TimePoint last_lost_list_;
  TimePoint last_lost_unexpected_;  ///< the same for unexpected runs
  /// Runs of which the session has an accepted stop.
  std::set<jobs::RunName> stop_accepted_;
  std::string violation_;
};

// Guards against a run that is never settled because its stop is repeated, and
// against one that is settled while it runs.
BOOST_AUTO_TEST_CASE(RunsAreSettledWithinTheBound) {
  const std::uint64_t runs = FromEnvironment("BORAGEWINCH_RANDOM_RUNS", 60);
  const std::uint64_t first =
      FromEnvironment("BORAGEWINCH_RANDOM_SEED", 71'000);
  Totals totals;
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    const std::string violation = RandomRun(seed, &totals).Execute();
    failed += violation.empty() ? 0 : 1;
    BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
  }
  std::cout << runs << " runs, " << failed << " failed: " << totals.starts
            << " starts, " << totals.settled << " ended, " << totals.lost_calls
            << " lost calls; longest unsettled " << totals.longest.count()
            << " ms of " << SettlingBound().count() << " ms\n";
  BOOST_TEST(totals.lost_calls > 0);
  BOOST_TEST(totals.settled > 0);
}

}  // namespace
}  // namespace boragewinch::scheduler
