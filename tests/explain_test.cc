#define BOOST_TEST_MODULE explain
#include <boost/test/unit_test.hpp>

#include <string>

#include "policy/explain.h"

namespace boragewinch {
namespace {

const PoolName kPool("p");
const TeamName kTeam("a");

struct Fixture {
  JobQueue queue = JobQueue::Make().value();
  Placement placement = Placement::Make().value();
  TimePoint now = FromMillis(1'000);

  Fixture() {
    queue.SetCapacity({10, 10'000, 10'000, 0});
    queue.SetShares({{kTeam, 1}, {TeamName("b"), 1}});
    AddWorker(2, {4'000, 4'000, 0});
  }
  void AddWorker(std::int64_t free_slots, Resources free) {
    WorkerView view{.host = HostName("h"), .pool = kPool};
    view.free_slots = free_slots;
    view.free = free;
    view.total = {4'000, 4'000, 0};
    placement.UpdateWorker(view, now);
  }
  static PendingJob Job(const char* id, const char* team, Resources demand) {
    PendingJob job{.id = RequestId(id), .team = TeamName(team)};
    job.pool = kPool;
    job.demand = demand;
    job.enqueued = FromMillis(1'000);
    return job;
  }
  Explanation Explain(const char* id, std::int64_t running = 0) {
    return ExplainJob(RequestId(id), queue, placement, running, 5,
                      now + Millis(250));
  }
};

void CheckLine(const Explanation& explanation,
               ExplanationReason reason,
               const char* part) {
  BOOST_TEST(kExplanationReasons.Name(explanation.reason) ==
             kExplanationReasons.Name(reason));
  BOOST_TEST(explanation.text.find(part) != std::string::npos,
             explanation.text);
  BOOST_TEST(explanation.text.find('\n') == std::string::npos);
}

// Guards against a wrong reason for a waiting job. In each case the job waits
// for one reason only.
BOOST_FIXTURE_TEST_CASE(WaitingJobNamesItsReason, Fixture) {
  const Resources small{1'000, 1'000, 0};
  BOOST_REQUIRE(queue.Push(Job("j", "a", small), now));
  BOOST_REQUIRE(queue.Push(Job("huge", "a", {9'000, 1, 0}), now));
  CheckLine(Explain("none"), ExplanationReason::kNotWaiting, "is not waiting");
  CheckLine(Explain("huge"), ExplanationReason::kNeverFits,
            "no worker of pool p is large enough");
  CheckLine(Explain("j", 5), ExplanationReason::kTeamLimit,
            "job j has waited 250 ms: team a runs 5 of 5 tasks allotted");
  CheckLine(Explain("j"), ExplanationReason::kNext, "it can start now");
  AddWorker(2, {500, 4'000, 0});
  CheckLine(Explain("j"), ExplanationReason::kInsufficientCapacity,
            "no worker of pool p with a free slot has enough resources");
  AddWorker(0, {4'000, 4'000, 0});
  CheckLine(Explain("j"), ExplanationReason::kPoolFull,
            "pool p has no free slot");
  AddWorker(2, {4'000, 4'000, 0});
  BOOST_REQUIRE(queue.Push(Job("other", "b", small), now));
  for (const char* id : {"r1", "r2", "r3", "r4", "r5", "r6"})
    queue.OnStarted(Job(id, "a", small), now);
  CheckLine(Explain("j"), ExplanationReason::kOtherTeams,
            "runs 60% of capacity and is entitled to 50%");
}

// Guards against a host whose explanation omits why it accepts no tasks or
// which pool it belongs to.
BOOST_AUTO_TEST_CASE(HostNamesItsStateAndPool) {
  Host host{HostName("h"), kPool, ZoneName("z"), RackName("r")};
  WavePlan plan;
  CheckLine(ExplainHost(host, {}, plan), ExplanationReason::kAccepting,
            "host h of pool p (its own pool) accepts tasks");
  host.lent_from = PoolName("spare");
  CheckLine(ExplainHost(host, {}, plan), ExplanationReason::kAccepting,
            "(lent by pool spare) accepts tasks");
  plan.start = {host.name};
  CheckLine(ExplainHost(host, {}, plan), ExplanationReason::kDueSoon,
            "is about to be drained");
  CheckLine(ExplainHost(host, {host.name}, plan), ExplanationReason::kLost,
            "sends no heartbeats or is leaving");
  host.state = HostState::kDraining;
  CheckLine(ExplainHost(host, {}, plan), ExplanationReason::kMaintenance,
            "is draining");
  host.state = HostState::kLost;
  CheckLine(ExplainHost(host, {}, plan), ExplanationReason::kLost,
            "sends no heartbeats or is leaving");
}

// Guards against a team reported below its share while it is at its limit, or
// above it while it only uses capacity that other teams leave.
BOOST_FIXTURE_TEST_CASE(TeamNamesItsShare, Fixture) {
  const Team team{kTeam, 1, 8};
  const Resources demand{1'000, 1'000, 0};
  BOOST_REQUIRE(queue.Push(Job("j", "a", demand), now));
  BOOST_REQUIRE(queue.Push(Job("k", "b", demand), now));
  CheckLine(ExplainTeam(team, queue, 0, now), ExplanationReason::kBelowShare,
            "runs 0 tasks, 0% of capacity, entitled to 50%, 1 waiting: below");
  for (const char* id : {"1", "2", "3", "4", "5"})
    queue.OnStarted(Job(id, "a", demand), now);
  CheckLine(ExplainTeam(team, queue, 5, now), ExplanationReason::kAtShare,
            "at its share");
  queue.OnStarted(Job("6", "a", demand), now);
  CheckLine(ExplainTeam(team, queue, 6, now), ExplanationReason::kAboveShare,
            "above its share, with capacity that other teams leave unused");
  CheckLine(ExplainTeam(team, queue, 8, now), ExplanationReason::kTeamLimit,
            "at its limit of 8");
}

// Guards against a waiting wave for which no reason is given, and against a
// pool below its budget that is not reported as such.
BOOST_AUTO_TEST_CASE(PoolNamesItsWave) {
  WavePlan waves;
  waves.pools = {{.pool = kPool, .hosts = 8, .available = 8}};
  PoolWave& wave = waves.pools.front();
  wave.min_available = 6;
  BufferPlan buffers;
  buffers.spares = 2;
  buffers.pools = {{.pool = kPool, .target = 8}};
  CheckLine(ExplainPool(kPool, waves, buffers),
            ExplanationReason::kNoMaintenance,
            "pool p: 8 of 8 workers available, availability budget 6, "
            "0 in maintenance, 0 due (nothing_due), target size 8, "
            "2 shared spares");
  wave.due = 3;
  wave.wait = WaveWait::kLossReserve;
  CheckLine(ExplainPool(kPool, waves, buffers), ExplanationReason::kWave,
            "3 due (loss_reserve)");
  wave.available = 5;
  wave.wait = WaveWait::kLosses;
  CheckLine(ExplainPool(kPool, waves, buffers), ExplanationReason::kBelowBudget,
            "5 of 8 workers available");
}

}  // namespace
}  // namespace boragewinch
