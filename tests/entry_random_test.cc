#define BOOST_TEST_MODULE entry_random
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>

#include "base/event_log.h"
#include "base/invariant.h"
#include "entry_simulation.h"

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
      : sim_(3, 4, seed, Config()), totals_(*totals), crashes_(seed % 3 != 0) {
    sim_.check_client_ids = !crashes_;
  }

  [[nodiscard]] std::vector<std::string> Execute() {
    sim_.Run(Millis(2'000));
    for (int step = 0; step < kSteps; ++step) {
      if (step < kFaultSteps) {
        InjectFaults();
        IssueCalls();
      } else if (step == kFaultSteps) {
        HealFaults();
      }
      sim_.Run(kStepTime);
    }
    CheckCompletion();
    return sim_.violations;
  }

 private:
  // Simulated tasks run for 0.5 s to 4.5 s: too short to be moved off a
  // draining host after the default delay of 30 s.
  [[nodiscard]] static EntryConfig Config() {
    EntryConfig config;
    config.drain_move_after = Millis(200);
    return config;
  }
  [[nodiscard]] int Pick(std::size_t count) {
    return static_cast<int>(sim_.random() % count);
  }
  [[nodiscard]] bool OneIn(std::uint64_t n) { return sim_.random() % n == 0; }

  void InjectFaults() {
    if (OneIn(60)) {
      sim_.link.drop_percent = Pick(30);
      sim_.link.duplicate_percent = Pick(20);
      sim_.link.corrupt_percent = Pick(30);
      sim_.link.max_delay_ms = 1 + Pick(1'500);
    }
    if (crashes_ && OneIn(250)) {
      sim_.Crash(Pick(3));
      ++totals_.crashes;
    }
    for (int entry = 0; entry < 3; ++entry) {
      EntryCore& core = *sim_.cores[static_cast<std::size_t>(entry)];
      if (core.stopped()) {
        sim_.Crash(entry);
        ++totals_.stops;
      } else if (crashes_ && OneIn(1'200)) {
        core.Stop(sim_.now);
      }
    }
    if (OneIn(150))
      sim_.Freeze(Pick(3), Millis(1'000 + Pick(15'000)));
    if (OneIn(700))
      sim_.Freeze(Pick(3), Millis(60'000));
    if (OneIn(200))
      sim_.CrashWorker(Pick(4));
    if (OneIn(400))
      sim_.workers[static_cast<std::size_t>(Pick(4))].leaving = true;
    if (OneIn(60))
      sim_.Drain(Pick(4), OneIn(3));
    if (OneIn(500)) {
      FakeWorker& worker = sim_.workers[static_cast<std::size_t>(Pick(4))];
      worker.checkpoint = !worker.checkpoint;
    }
    if (OneIn(200)) {
      const int isolated = Pick(3);
      for (int other = -1; other < 3; ++other)
        sim_.cut.emplace(isolated, other);
      cut_until_ = sim_.now + Millis(5'000 + Pick(60'000));
    } else if (sim_.now >= cut_until_ && OneIn(80)) {
      sim_.cut.clear();
      for (int i = Pick(4); i > 0; --i)
        sim_.cut.emplace(Pick(3), OneIn(2) ? Pick(4) - 1 : 100 + Pick(4));
    }
    if (OneIn(500)) {
      const KeyId key("k" + std::to_string(2 + Pick(2)));
      sim_.withdrawn.emplace(key, sim_.now);
      sim_.cores[static_cast<std::size_t>(Pick(3))]->OnKeyWithdrawn(key,
                                                                    sim_.now);
    }
    if (OneIn(200))
      sim_.ledger.limit[TeamName("intake")] = 2 + Pick(12);
  }

  void IssueCalls() {
    const int entry = Pick(3);
    EntryCore& core = *sim_.cores[static_cast<std::size_t>(entry)];
    if (sim_.frozen_until[static_cast<std::size_t>(entry)] > sim_.now)
      return;
    if (OneIn(3)) {
      JobSpec spec = sim_.Job(OneIn(2));
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
          const auto fresh = core.NewTicket(sim_.now);
          if (!fresh)
            return;
          ticket = fresh.value();
          spec.client_request_id.clear();
          tickets_.emplace_back(ticket, spec);
        }
      }
      ++totals_.submits;
      submits_.push_back(sim_.Submit(entry, spec, ticket,
                                     OneIn(4) ? "k2.secret" : "k1.secret"));
    }
    if (!submits_.empty() && OneIn(4)) {
      const JobAnswer* answer = sim_.answer(
          submits_[static_cast<std::size_t>(Pick(submits_.size()))]);
      if (answer != nullptr && !answer->request.empty()) {
        const CallKind kind = OneIn(3)   ? CallKind::kCancel
                              : OneIn(2) ? CallKind::kResult
                                         : CallKind::kQuery;
        asks_.push_back(sim_.Ask(entry, kind, answer->request));
      }
    }
  }

  void HealFaults() {
    sim_.link = Link{};
    sim_.cut.clear();
    for (int worker = 0; worker < 4; ++worker)
      sim_.Drain(worker, false);
    for (TimePoint& until : sim_.frozen_until)
      until = std::min(until, sim_.now);
  }

  // Each accepted request has ended, or its outcome is unknown.
  void CheckCompletion() {
    std::map<RequestId, CallId> queries;
    for (const CallId call : submits_) {
      const JobAnswer* answer = sim_.answer(call);
      if (answer == nullptr)
        continue;  // Its entry host crashed.
      if (answer->outcome == Outcome::kRefusedNotRun)
        ++totals_.not_run;
      if (answer->outcome == Outcome::kAccepted) {
        ++totals_.accepted;
        queries[answer->request] =
            sim_.Ask(Pick(3), CallKind::kQuery, answer->request);
      }
    }
    sim_.Run(Millis(6'000));
    for (const auto& [request, call] : queries) {
      const JobAnswer* answer = sim_.answer(call);
      if (answer == nullptr || answer->outcome == Outcome::kAccepted ||
          answer->outcome == Outcome::kRunning) {
        sim_.violations.push_back("request did not end: " + request.str());
        continue;
      }
      if (answer->outcome == Outcome::kFinished)
        ++totals_.finished;
      if (answer->outcome == Outcome::kUnknownMayHaveRun)
        ++totals_.unknown;
    }
    for (const auto& [request, count] : sim_.executions)
      totals_.executions += static_cast<std::uint64_t>(count);
    totals_.reclaimed += static_cast<std::uint64_t>(sim_.reclaimed);
    for (const auto& core : sim_.cores) {
      totals_.taken_over += core->counters().taken_over;
      totals_.moved += core->counters().tasks_moved;
    }
  }

  EntrySimulation sim_;
  Totals& totals_;
  bool crashes_;
  TimePoint cut_until_;
  std::vector<CallId> submits_;
  std::vector<CallId> asks_;
  std::vector<std::pair<RequestId, JobSpec>> tickets_;
};

// Guards invariants I3 to I8 and the completion of each request under any mix
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
    std::vector<std::string> violations = RandomRun(seed, &totals).Execute();
    if (!violated.empty())
      violations.push_back("assertion " + violated);
    // A run with many violations has one cause; its first ones are shown.
    for (std::size_t i = 0; i < std::min<std::size_t>(violations.size(), 3);
         ++i) {
      BOOST_ERROR("seed " << seed << ": " << violations[i] << " ("
                          << violations.size() << " in all)");
    }
    failed += violations.empty() ? 0 : 1;
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
