#define BOOST_TEST_MODULE worker_check
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

#include "ledger_builder.h"
#include "scheduler/worker_link.h"

// Guards against a check of a worker that comes too late: its list, a repeated
// order or the lapse of its runs would wait although it is due.

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;
using jobs::RunName;

[[nodiscard]] bool AnythingDue(WorkerLink* link,
                               const jobs::Worker& worker,
                               TimePoint now) {
  return link->HoldDue(now) || !link->StopsDue(now).empty() ||
         !link->StartsDue(now).empty() || !link->Lapse(worker, now).empty();
}

class RandomContact {
 public:
  RandomContact(const jobs::Worker& worker, std::uint64_t seed, TimePoint now)
      : worker_(worker), luck_(seed), link_(WorkerLinkOptions{}, now) {
    link_.Sync(worker_, Coin() ? RunPhase::kPlanned : RunPhase::kInherited,
               now);
    runs_.assign(worker_.runs.begin(), worker_.runs.end());
  }

  void Act(TimePoint now) {
    const RunName& run = runs_[luck_() % runs_.size()];
    switch (luck_() % 8) {
      case 0:
        link_.OnStartSent(run, now);
        break;
      case 1:
        (void)link_.OnStartAnswer(run, Answer(now), now);
        break;
      case 2:
        link_.WantStop(run);
        break;
      case 3:
        link_.OnStopSent(run, now);
        break;
      case 4:
        link_.OnStopAnswer(run, Answer(now), now);
        break;
      case 5:
        if (const auto lease = link_.LeaseUntil())
          link_.OnGrant(*lease);
        link_.OnHoldSent(now);
        break;
      case 6:
        link_.OnHoldFailed(now);
        break;
      default:
        List(now);
        break;
    }
  }

  [[nodiscard]] WorkerLink& link() noexcept { return link_; }

 private:
  [[nodiscard]] bool Coin() { return luck_() % 2 == 0; }

  [[nodiscard]] Result<CallAnswer> Answer(TimePoint now) {
    if (Coin())
      return Fail(ErrorCode::kTimeout, "no answer");
    return CallAnswer{Coin() ? CallVerdict::kDone : CallVerdict::kLate,
                      ToMillis(now)};
  }

  void List(TimePoint now) {
    HoldAnswer answer;
    answer.call.clock_ms = ToMillis(now);
    for (const RunName& run : runs_) {
      if (Coin())
        answer.running.push_back({run, "", 10});
    }
    std::vector<RunName> strays;
    (void)link_.OnHoldAnswer(worker_, answer, now, &strays);
  }

  const jobs::Worker& worker_;
  std::mt19937_64 luck_;
  WorkerLink link_;
  std::vector<RunName> runs_;
};

BOOST_AUTO_TEST_CASE(NothingFallsDueBeforeTheNextCheck) {
  LedgerBuilder ledger;
  ledger.AddWorker("w").Submit("j", {LedgerBuilder::Tasks(3)});
  for (std::uint32_t i = 0; i < 3; ++i)
    ledger.Start(LedgerBuilder::Run("j", 0, i), "w");
  const jobs::Worker& worker =
      *ledger.ledger().FindWorker(LedgerBuilder::Life("w"));
  std::size_t due_steps = 0;
  std::size_t quiet_steps = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    TimePoint now{Millis(100'000)};
    RandomContact contact(worker, seed, now);
    std::mt19937_64 luck(seed + 1'000);
    for (int i = 0; i < 60; ++i) {
      contact.Act(now);
      const TimePoint next = contact.link().NextDue(now);
      const TimePoint until =
          now + Millis(luck() % 10 == 0 ? 7'000 : luck() % 150);
      for (; now <= until; now += Millis(5)) {
        const bool due = AnythingDue(&contact.link(), worker, now);
        (due ? due_steps : quiet_steps) += 1;
        if (due && now < next) {
          BOOST_TEST_CONTEXT("seed " << seed << " step " << i)
          BOOST_TEST(ToMillis(next) <= ToMillis(now));
        }
      }
    }
  }
  BOOST_TEST(due_steps > 1'000U);
  BOOST_TEST(quiet_steps > 1'000U);
}

}  // namespace
}  // namespace boragewinch::scheduler
