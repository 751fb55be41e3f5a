#define BOOST_TEST_MODULE overload_admission
#include <boost/test/unit_test.hpp>

#include "overload/admission.h"

namespace boragewinch::overload {
namespace {

const PoolName kPool("p");
/// Time after which the rate of starts is known.
constexpr Millis kSaturated{3'000};

/// A pool that starts 100 tasks a second, a plan each 50 ms.
struct Fixture {
  void PlanFor(Millis time, WaitingTasks waiting, bool saturated = true) {
    for (const TimePoint end = now + time; now < end; now += Millis(50)) {
      PoolBacklog backlog;
      backlog.by_priority[1] = waiting;
      backlog.starts = 5;
      backlog.saturated = saturated;
      admission.OnPlan({{kPool, backlog}}, over_share, now);
    }
    now -= Millis(50);
  }

  [[nodiscard]] AdmissionDecision Decide(const char* customer = "a",
                                         std::int64_t priority = 1) const {
    return admission.Decide(ArrivalOf(customer, priority), now);
  }

  /// 10 tasks that take 500 ms, to end within 2 s.
  [[nodiscard]] static Arrival ArrivalOf(const char* customer,
                                         std::int64_t priority) {
    return {kPool,       CustomerName(customer), priority, 10,
            Millis(500), Millis(2'000)};
  }

  Admission admission;
  std::set<CustomerName> over_share{CustomerName("hot")};
  TimePoint now = FromMillis(1'000'000);
};

// Guards against rejections of jobs that can be served in time.
BOOST_FIXTURE_TEST_CASE(AJobThatMeetsItsObjectiveIsAccepted, Fixture) {
  PlanFor(kSaturated, {130, 5'000});
  const AdmissionDecision decision = Decide("hot");
  BOOST_TEST((decision.verdict == AdmissionVerdict::kAccept));
  // 1.3 s of tasks start before it, in 95 of 100 ms measured.
  BOOST_TEST(decision.wait.count() >= 1'200);
  BOOST_TEST(decision.wait.count() <= 1'400);
}

// Guards against a job that waits until it is of no use.
BOOST_FIXTURE_TEST_CASE(AJobThatEndsTooLateIsRejected, Fixture) {
  // It is of use for 6 s; hosts may follow the load.
  PlanFor(kSaturated, {200, 700});
  BOOST_TEST((Decide().verdict == AdmissionVerdict::kAcceptLate));
  PlanFor(kSaturated, {200, 1'000});
  const AdmissionDecision decision = Decide();
  BOOST_TEST((decision.verdict == AdmissionVerdict::kTooLate));
  BOOST_TEST(decision.rejected());
}

// Guards against a customer above its share that fills the backlog with jobs
// that become late, and against a caller that comes back before there is room.
BOOST_FIXTURE_TEST_CASE(ALateJobOfACustomerOverItsShareIsRejected, Fixture) {
  PlanFor(kSaturated, {200, 300});
  BOOST_TEST((Decide("hot").verdict == AdmissionVerdict::kAcceptLate));
  PlanFor(kSaturated, {200, 600});
  const AdmissionDecision decision = Decide("hot");
  BOOST_TEST((decision.verdict == AdmissionVerdict::kOverShare));
  BOOST_TEST(decision.retry_after.count() >= 7'500);
  BOOST_TEST(decision.retry_after.count() <= 8'500);
  BOOST_TEST((Decide("a").verdict == AdmissionVerdict::kAcceptLate));
}

// Guards against urgent jobs that are rejected for the backlog of others.
BOOST_FIXTURE_TEST_CASE(LowerPrioritiesDoNotCount, Fixture) {
  PlanFor(kSaturated, {5'000, 5'000});
  BOOST_TEST((Decide("a", 1).verdict == AdmissionVerdict::kTooLate));
  BOOST_TEST((Decide("a", 0).verdict == AdmissionVerdict::kAccept));
}

// Guards against rejections while the rate of starts is unknown: on a new
// leader, at the start of a burst, and when few jobs arrive.
BOOST_FIXTURE_TEST_CASE(NothingIsRejectedWithoutSaturation, Fixture) {
  BOOST_TEST((Decide().verdict == AdmissionVerdict::kAccept));
  PlanFor(Millis(1'500), {5'000, 5'000});
  BOOST_TEST((Decide().verdict == AdmissionVerdict::kAccept));
  PlanFor(Millis(1'000), {5'000, 5'000});
  BOOST_TEST(Decide().rejected());
  PlanFor(Millis(50), {5'000, 5'000}, false);
  BOOST_TEST((Decide().verdict == AdmissionVerdict::kAccept));
}

// Guards against all submissions between two plans that take the same room.
BOOST_FIXTURE_TEST_CASE(AcceptedJobsCountUntilTheNextPlan, Fixture) {
  PlanFor(kSaturated, {130, 0});
  BOOST_TEST((Decide().verdict == AdmissionVerdict::kAccept));
  for (int i = 0; i < 5; ++i)
    admission.OnAccepted(ArrivalOf("a", 1), AdmissionVerdict::kAccept);
  BOOST_TEST((Decide().verdict == AdmissionVerdict::kAcceptLate));
}

}  // namespace
}  // namespace boragewinch::overload
