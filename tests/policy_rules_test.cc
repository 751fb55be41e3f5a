#define BOOST_TEST_MODULE policy_rules
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>
#include <string>

#include "policy/estimator.h"
#include "policy/urgent_headroom.h"
#include "policy/worker_health.h"

namespace boragewinch {
namespace {

// Guards against declared sizes, up to ten times too large or too small, being
// used for a queue whose usage is known.
BOOST_AUTO_TEST_CASE(EstimateIsLearnedWithMargin) {
  auto estimator = std::move(Estimator::Make()).value();
  const TeamName team("t");
  const QueueName queue("q");
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> exponent(-1, 1);
  std::lognormal_distribution<double> usage(std::log(1'000), 0.3);
  for (int i = 0; i < 500; ++i) {
    const auto used = static_cast<std::int64_t>(usage(random));
    const auto declared = static_cast<std::int64_t>(
        static_cast<double>(used) * std::pow(10, exponent(random)));
    estimator.Observe(team, queue, {declared, declared, 0}, Millis(declared),
                      {used, used, 0}, Millis(used));
  }
  const auto estimate =
      estimator.Estimate(team, queue, {10'000, 100, 2}, Millis(1));
  BOOST_TEST(estimate.demand.cpu_millis > 1'000);
  BOOST_TEST(estimate.demand.cpu_millis < 2'500);
  BOOST_TEST(estimate.demand.memory_mb > 1'000);
  BOOST_TEST(estimate.demand.accelerators == 2);
  BOOST_TEST(estimator.Estimate(team, QueueName("new"), {5, 6, 0}, Millis(7))
                 .samples == 0u);
}

struct HealthFixture {
  WorkerHealth health = std::move(WorkerHealth::Make()).value();
  PoolName pool{"p"};
  TimePoint now = FromMillis(1'000);

  void RunStarts(const std::string& bad, int rounds) {
    for (int i = 0; i < rounds; ++i, now += Millis(500)) {
      for (const char* host : {"h0", "h1", "h2", "h3"}) {
        if (health.Allows(HostName(host), now)) {
          health.OnStartIssued(HostName(host), now);
          health.OnStart(HostName(host), pool,
                         bad.find(host) == std::string::npos, now);
        }
      }
    }
  }
};

// Guards against a worker that fails every start and still gets work.
BOOST_FIXTURE_TEST_CASE(FailingWorkerIsQuarantined, HealthFixture) {
  health.SetBudget(pool, 1);
  RunStarts("h1", 20);
  BOOST_TEST((health.State(HostName("h1"), now) == HealthState::kQuarantined));
  BOOST_TEST(health.Quarantined(now).size() == 1u);
  // It is tried again later, and quarantined for longer if it still fails.
  now += Millis(31'000);
  BOOST_TEST(health.Allows(HostName("h1"), now));
  RunStarts("h1", 10);
  now += Millis(31'000);
  BOOST_TEST(!health.Allows(HostName("h1"), now));
}

// Guards against quarantining more workers than the pool's budget allows, or a
// whole pool because of jobs that fail on every worker.
BOOST_FIXTURE_TEST_CASE(BudgetLimitsQuarantine, HealthFixture) {
  RunStarts("h1", 20);
  BOOST_TEST(health.Quarantined(now).empty());
  BOOST_TEST((health.State(HostName("h1"), now) == HealthState::kThrottled));
  health.SetBudget(pool, 4);
  RunStarts("h0 h1 h2 h3", 100);
  BOOST_TEST(health.Quarantined(now).size() < 4u);
}

PreemptionCandidate Candidate(const char* id, int ran_ms) {
  return {{RequestId(id), 1}, HostName("h"), Millis(ran_ms), true, false, true};
}

// Guards against preemption of a task that must not be stopped or of the wrong
// one, and against waiting until the bound can't be met any more.
BOOST_AUTO_TEST_CASE(UrgentJobPreemptsTheLeastWork) {
  UrgentState state{.ends_per_second = 1};
  state.running = {Candidate("a", 900), Candidate("b", 400),
                   Candidate("c", 100), Candidate("d", 100),
                   Candidate("e", 100)};
  state.running[2].repeatable = false;
  state.running[3].urgent = true;
  state.running[4].over_share = false;
  auto decision = DecideUrgent(state, {});
  BOOST_TEST((decision.action == UrgentAction::kStop));
  BOOST_TEST(decision.stop->task.request == RequestId("b"));
  state.within_fair_share = false;
  BOOST_TEST((DecideUrgent(state, {}).action == UrgentAction::kWait));
  state.running[0].same_team = true;
  BOOST_TEST(DecideUrgent(state, {}).stop->task.request == RequestId("a"));
  state.ends_per_second = 50;
  BOOST_TEST((DecideUrgent(state, {}).action == UrgentAction::kWait));
  state.waited = Millis(900);
  BOOST_TEST((DecideUrgent(state, {}).action == UrgentAction::kStop));
  state.free_slots = 1;
  BOOST_TEST((DecideUrgent(state, {}).action == UrgentAction::kStart));
}

// Guards against a preemption that frees too little capacity, so that the start
// of the urgent job fails, and against a team at its task limit that preempts
// other teams' tasks, which does not let its own job start.
BOOST_AUTO_TEST_CASE(UrgentJobPreemptsOnlyTasksThatLetItStart) {
  UrgentState state;
  state.running = {Candidate("a", 100), Candidate("b", 400)};
  state.running[0].fits = false;
  BOOST_TEST(DecideUrgent(state, {}).stop->task.request == RequestId("b"));
  state.running.pop_back();
  BOOST_TEST(DecideUrgent(state, {}).stop->task.request == RequestId("a"));
  state.at_limit = true;
  BOOST_TEST((DecideUrgent(state, {}).action == UrgentAction::kWait));
  state.running[0].same_team = true;
  BOOST_TEST((DecideUrgent(state, {}).action == UrgentAction::kStop));
}

// Guards against a wait after which it is too late to stop a task, because the
// next decision comes after the latest time for it.
BOOST_AUTO_TEST_CASE(PreemptionAllowsForTheDecisionInterval) {
  UrgentState state{.ends_per_second = 1'000, .waited = Millis(790)};
  state.running = {Candidate("a", 100)};
  BOOST_TEST((DecideUrgent(state, {}).action == UrgentAction::kWait));
  state.waited = Millis(810);
  BOOST_TEST((DecideUrgent(state, {}).action == UrgentAction::kStop));
}

}  // namespace
}  // namespace boragewinch
