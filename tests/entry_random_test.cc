#define BOOST_TEST_MODULE entry_random
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>

#include "base/event_log.h"
#include "base/invariant.h"
#include "entry_world.h"

namespace boragewinch::testing {
namespace {

constexpr int kSteps = 2'000;
constexpr Millis kStepTime{100};
// Faults stop after these steps; leases of 30 s and deadlines of 20 s expire
// before the run ends.
constexpr int kFaultSteps = 1'000;

[[nodiscard]] std::uint64_t EnvNumber(const char* name,
                                      std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

struct Totals {
  std::uint64_t submits = 0;
  std::uint64_t executions = 0;
  std::uint64_t accepted = 0;
  std::uint64_t finished = 0;
  std::uint64_t unknown = 0;
  std::uint64_t not_run = 0;
  std::uint64_t crashes = 0;
  std::uint64_t taken_over = 0;
  std::uint64_t reclaimed = 0;
  std::uint64_t stops = 0;
  std::uint64_t moved = 0;
};

class RandomRun {
 public:
  RandomRun(std::uint64_t seed, Totals* totals)
      : world_(3, 4, seed, Config()),
        totals_(*totals),
        crashes_(seed % 3 != 0) {
    world_.check_client_ids = !crashes_;
  }

  [[nodiscard]] std::vector<std::string> Execute() {
    world_.Run(Millis(2'000));
    for (int step = 0; step < kSteps; ++step) {
      if (step < kFaultSteps) {
        InjectFaults();
        IssueCalls();
      } else if (step == kFaultSteps) {
        HealFaults();
      }
      world_.Run(kStepTime);
    }
    CheckCompletion();
    return world_.faults;
  }

 private:
  // Simulated tasks run for 0.5 s to 4.5 s, shorter than the default delay.
  [[nodiscard]] static EntryConfig Config() {
    EntryConfig config;
    config.drain_move_after = Millis(200);
    return config;
  }
  [[nodiscard]] int Pick(std::size_t count) {
    return static_cast<int>(world_.random() % count);
  }
  [[nodiscard]] bool OneIn(std::uint64_t n) { return world_.random() % n == 0; }

  void InjectFaults() {
    if (OneIn(60)) {
      world_.link.drop_percent = Pick(30);
      world_.link.duplicate_percent = Pick(20);
      world_.link.corrupt_percent = Pick(30);
      world_.link.max_delay_ms = 1 + Pick(1'500);
    }
    if (crashes_ && OneIn(250)) {
      world_.Crash(Pick(3));
      ++totals_.crashes;
    }
    for (int entry = 0; entry < 3; ++entry) {
      EntryCore& core = *world_.cores[static_cast<std::size_t>(entry)];
      if (core.stopped()) {
        world_.Crash(entry);
        ++totals_.stops;
      } else if (crashes_ && OneIn(1'200)) {
        core.Stop(world_.now);
      }
    }
    if (OneIn(150))
      world_.Freeze(Pick(3), Millis(1'000 + Pick(15'000)));
    if (OneIn(700))
      world_.Freeze(Pick(3), Millis(60'000));
    if (OneIn(200))
      world_.CrashWorker(Pick(4));
    if (OneIn(400))
      world_.workers[static_cast<std::size_t>(Pick(4))].leaving = true;
    if (OneIn(60))
      world_.Drain(Pick(4), OneIn(3));
    if (OneIn(500)) {
      FakeWorker& worker = world_.workers[static_cast<std::size_t>(Pick(4))];
      worker.checkpoint = !worker.checkpoint;
    }
    if (OneIn(200)) {
      const int alone = Pick(3);
      for (int other = -1; other < 3; ++other)
        world_.cut.emplace(alone, other);
      cut_until_ = world_.now + Millis(5'000 + Pick(60'000));
    } else if (world_.now >= cut_until_ && OneIn(80)) {
      world_.cut.clear();
      for (int i = Pick(4); i > 0; --i)
        world_.cut.emplace(Pick(3), OneIn(2) ? Pick(4) - 1 : 100 + Pick(4));
    }
    if (OneIn(500)) {
      const KeyId key("k" + std::to_string(2 + Pick(2)));
      world_.withdrawn.emplace(key, world_.now);
      world_.cores[static_cast<std::size_t>(Pick(3))]->OnKeyWithdrawn(
          key, world_.now);
    }
    if (OneIn(200))
      world_.ledger.limit[TeamName("intake")] = 2 + Pick(12);
  }

  void IssueCalls() {
    const int entry = Pick(3);
    EntryCore& core = *world_.cores[static_cast<std::size_t>(entry)];
    if (world_.frozen_until[static_cast<std::size_t>(entry)] > world_.now)
      return;
    if (OneIn(3)) {
      JobSpec spec = world_.Job(OneIn(2));
      if (OneIn(3))
        spec.queue = QueueName("open");
      if (OneIn(4))
        spec.client_request_id = "c" + std::to_string(Pick(100));
      RequestId ticket;
      if (OneIn(3)) {
        if (!tickets_.empty() && OneIn(3)) {
          std::tie(ticket, spec) =
              tickets_[static_cast<std::size_t>(Pick(tickets_.size()))];
        } else {
          const auto fresh = core.NewTicket(world_.now);
          if (!fresh)
            return;
          ticket = fresh.value();
          spec.client_request_id.clear();
          tickets_.emplace_back(ticket, spec);
        }
      }
      ++totals_.submits;
      submits_.push_back(world_.Submit(entry, spec, ticket,
                                       OneIn(4) ? "k2.secret" : "k1.secret"));
    }
    if (!submits_.empty() && OneIn(4)) {
      const JobAnswer* answer = world_.answer(
          submits_[static_cast<std::size_t>(Pick(submits_.size()))]);
      if (answer != nullptr && !answer->request.empty()) {
        const CallKind kind = OneIn(3)   ? CallKind::kCancel
                              : OneIn(2) ? CallKind::kResult
                                         : CallKind::kQuery;
        asks_.push_back(world_.Ask(entry, kind, answer->request));
      }
    }
  }

  void HealFaults() {
    world_.link = Link{};
    world_.cut.clear();
    for (int worker = 0; worker < 4; ++worker)
      world_.Drain(worker, false);
    for (TimePoint& until : world_.frozen_until)
      until = std::min(until, world_.now);
  }

  // Each accepted request has ended, or its outcome is unknown.
  void CheckCompletion() {
    std::map<RequestId, CallId> queries;
    for (const CallId call : submits_) {
      const JobAnswer* answer = world_.answer(call);
      if (answer == nullptr)
        continue;  // Its entry host crashed.
      if (answer->outcome == Outcome::kRefusedNotRun)
        ++totals_.not_run;
      if (answer->outcome == Outcome::kAccepted) {
        ++totals_.accepted;
        queries[answer->request] =
            world_.Ask(Pick(3), CallKind::kQuery, answer->request);
      }
    }
    world_.Run(Millis(6'000));
    for (const auto& [request, call] : queries) {
      const JobAnswer* answer = world_.answer(call);
      if (answer == nullptr || answer->outcome == Outcome::kAccepted ||
          answer->outcome == Outcome::kRunning) {
        world_.faults.push_back("request did not end: " + request.str());
        continue;
      }
      if (answer->outcome == Outcome::kFinished)
        ++totals_.finished;
      if (answer->outcome == Outcome::kUnknownMayHaveRun)
        ++totals_.unknown;
    }
    for (const auto& [request, count] : world_.executions)
      totals_.executions += static_cast<std::uint64_t>(count);
    totals_.reclaimed += static_cast<std::uint64_t>(world_.reclaimed);
    for (const auto& core : world_.cores) {
      totals_.taken_over += core->counters().taken_over;
      totals_.moved += core->counters().tasks_moved;
    }
  }

  World world_;
  Totals& totals_;
  bool crashes_;
  TimePoint cut_until_;
  std::vector<CallId> submits_;
  std::vector<CallId> asks_;
  std::vector<std::pair<RequestId, JobSpec>> tickets_;
};

// Guards invariants I4 to I7 and the completion of each request under any mix
// of crashes, suspended processes, cut links, and lost, late, corrupted and
// duplicated messages.
BOOST_AUTO_TEST_CASE(InvariantsHoldUnderFaults) {
  ConfigureEventLog("entry_random_test", EventLevel::kError);
  const std::uint64_t runs = EnvNumber("BORAGEWINCH_RANDOM_RUNS", 60);
  const std::uint64_t first = EnvNumber("BORAGEWINCH_RANDOM_SEED", 1);
  std::string violated;
  const InvariantHandler previous = SetInvariantHandler(
      [&violated](Invariant invariant, std::string_view detail) {
        violated = std::string(kInvariants.Name(invariant)) + ": " +
                   std::string(detail);
      });
  Totals totals;
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    violated.clear();
    std::vector<std::string> faults = RandomRun(seed, &totals).Execute();
    if (!violated.empty())
      faults.push_back("assertion " + violated);
    // A run with many faults has one cause; its first ones are shown.
    for (std::size_t i = 0; i < std::min<std::size_t>(faults.size(), 3); ++i) {
      BOOST_ERROR("seed " << seed << ": " << faults[i] << " (" << faults.size()
                          << " in all)");
    }
    failed += faults.empty() ? 0 : 1;
  }
  SetInvariantHandler(previous);
  std::cout << runs << " runs of " << kSteps << " steps, seeds " << first
            << " to " << first + runs - 1 << ": " << failed << " failed; "
            << totals.submits << " submits, " << totals.accepted
            << " accepted, " << totals.executions << " executions, "
            << totals.finished << " finished, " << totals.unknown
            << " unknown, " << totals.not_run << " not run, " << totals.crashes
            << " entry crashes, " << totals.taken_over << " taken over, "
            << totals.reclaimed << " reclaimed, " << totals.stops
            << " planned stops, " << totals.moved << " tasks moved\n";
}

}  // namespace
}  // namespace boragewinch::testing
