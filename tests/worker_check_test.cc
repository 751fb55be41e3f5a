#define BOOST_TEST_MODULE worker_check
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <vector>

#include "ledger_builder.h"
#include "scheduler/worker_session.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;
using jobs::RunName;

[[nodiscard]] bool AnythingDue(WorkerSession* session,
                               const jobs::Worker& worker,
                               TimePoint now) {
  return session->HoldDue(now) || !session->StopsDue(now).empty() ||
         !session->StartsDue(now).empty() ||
         !session->ExpireLease(worker, now).empty();
}

class RandomSessionDriver {
 public:
  RandomSessionDriver(const jobs::Worker& worker,
                      std::uint64_t seed,
                      TimePoint now)
      : worker_(worker), rng_(seed), session_(WorkerSessionOptions{}, now) {
    session_.Sync(worker_, Coin() ? RunPhase::kPlanned : RunPhase::kInherited,
                  now);
    runs_.assign(worker_.runs.begin(), worker_.runs.end());
  }

  void Act(TimePoint now) {
    const RunName& run = runs_[rng_() % runs_.size()];
    switch (rng_() % 8) {
      case 0:
        session_.OnStartSent(run, now);
        break;
      case 1:
        (void)session_.OnStartResponse(run, Response(now), now);
        break;
      case 2:
        session_.RequestStop(run);
        break;
      case 3:
        session_.OnStopSent(run, now);
        break;
      case 4:
        session_.OnStopResponse(run, Response(now), now);
        break;
      case 5:
        if (const auto lease = session_.LeaseUntil())
          session_.OnGrant(*lease);
        session_.OnHoldSent(now);
        break;
      case 6:
        session_.OnHoldFailed(now);
        break;
      default:
        ReceiveHoldResponse(now);
        break;
    }
  }

  [[nodiscard]] WorkerSession& session() noexcept { return session_; }

 private:
  [[nodiscard]] bool Coin() { return rng_() % 2 == 0; }

  [[nodiscard]] Result<CallResponse> Response(TimePoint now) {
    if (Coin())
      return Fail(ErrorCode::kTimeout, "no response");
    return CallResponse{Coin() ? CallVerdict::kDone : CallVerdict::kLate,
                        ToMillis(now)};
  }

  void ReceiveHoldResponse(TimePoint now) {
    HoldResponse response;
    response.call.clock_ms = ToMillis(now);
    for (const RunName& run : runs_) {
      if (Coin())
        response.running.push_back({run, "", 10});
    }
    std::vector<RunName> unexpected_runs;
    (void)session_.OnHoldResponse(worker_, response, now, &unexpected_runs);
  }

  const jobs::Worker& worker_;
  std::mt19937_64 rng_;
  WorkerSession session_;
  std::vector<RunName> runs_;
};

// Guards against WorkerSession::NextDue returning a time that is too late: a
// hold call, a repeated start or stop, or the expiry of the lease would be
// delayed.
BOOST_AUTO_TEST_CASE(NothingFallsDueBeforeTheNextCheck) {
  LedgerBuilder ledger;
  ledger.AddWorker("w").Submit("j", {LedgerBuilder::Tasks(3)});
  for (std::uint32_t i = 0; i < 3; ++i)
    ledger.Start(LedgerBuilder::Run("j", 0, i), "w");
  const jobs::Worker& worker =
      *ledger.ledger().FindWorker(LedgerBuilder::IncarnationOf("w"));
  std::size_t due_steps = 0;
  std::size_t idle_steps = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    TimePoint now{Millis(100'000)};
    RandomSessionDriver driver(worker, seed, now);
    std::mt19937_64 rng(seed + 1'000);
    for (int i = 0; i < 60; ++i) {
      driver.Act(now);
      const TimePoint next = driver.session().NextDue(now);
      const TimePoint until =
          now + Millis(rng() % 10 == 0 ? 7'000 : rng() % 150);
      for (; now <= until; now += Millis(5)) {
        const bool due = AnythingDue(&driver.session(), worker, now);
        (due ? due_steps : idle_steps) += 1;
        if (due && now < next) {
          BOOST_TEST_CONTEXT("seed " << seed << " step " << i)
          BOOST_TEST(ToMillis(next) <= ToMillis(now));
        }
      }
    }
  }
  BOOST_TEST(due_steps > 1'000U);
  BOOST_TEST(idle_steps > 1'000U);
}

}  // namespace
}  // namespace boragewinch::scheduler
