#define BOOST_TEST_MODULE host_decisions
#include <boost/test/unit_test.hpp>

#include <set>

#include "ledger_builder.h"
#include "scheduler/maintenance_scheduler.h"
#include "scheduler/pool_balancer.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

[[nodiscard]] TimePoint At(std::int64_t millis) {
  return FromMillis(100'000 + millis);
}

/// Pools "p" and "idle" with four hosts each, and standby pool "off" with two
/// hosts.
class HostFixture {
 public:
  HostFixture() {
    jobs::Batch batch;
    batch.config = builder.ledger().config();
    ++batch.config->version;
    batch.config->pools[PoolName("idle")] = {PoolName("idle"), true, false};
    batch.config->pools[PoolName("off")] = {PoolName("off"), true, true};
    builder.Apply(batch);
    for (const char* pool : {"p", "idle"}) {
      for (int i = 0; i < 4; ++i)
        AddHost(pool + std::to_string(i), pool);
    }
    for (const char* host : {"off0", "off1"})
      rows.push_back({HostName(host), PoolName("off"), HostState::kUp, {}});
  }

  void AddHost(const std::string& name, const std::string& pool) {
    jobs::WorkerRecord record;
    record.incarnation = LedgerBuilder::IncarnationOf("w-" + name);
    record.host = HostName(name);
    record.address = name + ":80";
    record.pool = PoolName(pool);
    record.capacity = {16'000, 32'000, 0};
    jobs::Batch batch;
    batch.workers.push_back(record);
    builder.Apply(batch);
    rows.push_back(
        {record.host, record.pool, HostState::kUp, record.incarnation.id});
  }

  void RefreshList(std::int64_t millis) {
    inventory.OnList(rows, At(millis), At(millis));
  }

  void StartWave(std::vector<HostName> hosts, std::int64_t at_once) {
    jobs::Batch batch;
    batch.waves.push_back({1, std::move(hosts), Millis(20'000), at_once});
    builder.Apply(batch);
  }

  LedgerBuilder builder;
  std::vector<HostRow> rows;
  HostInventory inventory;
};

struct Balance : HostFixture {
  std::vector<HostMove> Decide(std::int64_t millis) {
    return balancer.Decide(
        builder.ledger(), inventory,
        [&](const jobs::WorkerIncarnation& incarnation) {
          return unresponsive.count(incarnation.id.str()) == 0;
        },
        {}, [](const HostName&) { return true; }, 1'000 + millis, At(millis));
  }
  /// Submits `count` jobs of 8 tasks of 1 s on 4 cores each, 32 core seconds a
  /// job.
  void SubmitJobs(int count, const std::string& name = "job") {
    for (int i = 0; i < count; ++i)
      builder.Submit(name + std::to_string(i),
                     {LedgerBuilder::Tasks(8, 4'000)});
  }

  std::set<std::string> unresponsive;  ///< worker ids
  PoolBalancer balancer{PoolBalancerOptions{}};
};

// Guards against a long-running task that never starts because its pool has
// fewer hosts than its limit per worker requires: with nothing else waiting, no
// host was ordered for 20 s.
BOOST_FIXTURE_TEST_CASE(ALongRunningTaskThatWaitsBringsHosts, Balance) {
  jobs::StepSpec step = LedgerBuilder::Tasks(6);
  step.long_running = true;
  step.max_per_worker = 1;
  builder.Submit("lasting", {step});
  for (std::uint32_t i = 0; i < 4; ++i)
    builder.Start(LedgerBuilder::Run("lasting", 0, i),
                  "w-p" + std::to_string(i));
  RefreshList(0);
  const auto moves = Decide(50);
  BOOST_REQUIRE(moves.size() == 2U);
  BOOST_TEST(moves[0].to.str() == "p");
  BOOST_TEST(moves[1].to.str() == "p");
}

// Guards against a burst that waits for hosts because too few moves may be in
// flight, and against more orders than the platform's rate limit.
BOOST_FIXTURE_TEST_CASE(MovesFollowTheRateOfThePlatform, Balance) {
  for (int i = 0; i < 200; ++i) {
    rows.push_back({HostName("more" + std::to_string(i)),
                    PoolName("off"),
                    HostState::kUp,
                    {}});
  }
  RefreshList(0);
  SubmitJobs(200);
  std::size_t first_second = 0;
  for (int millis = 0; millis < 1'000; millis += 100)
    first_second += Decide(millis).size();
  // 64 a second, of which moves may use 0.8, and a burst of half a second.
  BOOST_TEST(first_second >= 60U);
  BOOST_TEST(first_second <= 77U);
  std::size_t next_second = 0;
  for (int millis = 1'000; millis < 2'000; millis += 100)
    next_second += Decide(millis).size();
  BOOST_TEST(next_second >= 48U);
  BOOST_TEST(next_second <= 52U);
}

// Guards against unresponsive workers that count as capacity, so that work
// waits until they respond again.
BOOST_FIXTURE_TEST_CASE(UnresponsiveWorkersAreReplaced, Balance) {
  RefreshList(0);
  builder.Submit("job", {LedgerBuilder::Tasks(2, 16'000)});
  // The work arrived before the window; the reserve of three hosts suffices.
  BOOST_TEST(Decide(1'800).empty());
  unresponsive = {"w-p0", "w-p1", "w-p2"};
  const auto moves = Decide(1'900);
  BOOST_REQUIRE(moves.size() == 2U);
  BOOST_TEST(moves[0].to.str() == "p");
}

// Guards against a pool that stays too small for a burst of one of its queues
// while hosts of other pools are idle.
BOOST_FIXTURE_TEST_CASE(ABurstBringsHosts, Balance) {
  RefreshList(0);
  BOOST_TEST(Decide(0).empty());
  SubmitJobs(5);
  const auto moves = Decide(50);
  BOOST_TEST(moves.size() >= 3U);
  std::size_t from_standby = 0;
  for (const HostMove& move : moves) {
    BOOST_TEST(move.to.str() == "p");
    from_standby += move.worker.id.empty() ? 1 : 0;
  }
  // Standby hosts are used first; the idle pool keeps its reserve.
  BOOST_TEST(from_standby == 2U);
  BOOST_TEST(moves.size() - from_standby <= 1U);
}

/// Simulates the start of a burst with `per_second` jobs of 32 core seconds.
/// \returns the number of hosts ordered in the first `millis`.
[[nodiscard]] std::size_t HostsOrderedAtStart(Balance* fixture,
                                              int per_second,
                                              std::int64_t millis) {
  std::size_t ordered = 0;
  const std::int64_t gap = 1'000 / per_second;
  int jobs = 0;
  for (std::int64_t at = 0; at <= millis; at += 100) {
    fixture->builder.At(1'000 + at);
    for (; jobs * gap <= at; ++jobs)
      fixture->SubmitJobs(1, "burst" + std::to_string(jobs));
    fixture->RefreshList(at);
    ordered += fixture->Decide(at).size();
  }
  return ordered;
}

// Guards against hosts that are ordered only as the demand rises: a burst of
// 8 s whose demand rises for 2 s had its last host 5 s after its start.
BOOST_FIXTURE_TEST_CASE(TheStartOfABurstBringsHostsForItsPeak, Balance) {
  for (int i = 0; i < 20; ++i) {
    rows.push_back({HostName("spare" + std::to_string(i)),
                    PoolName("off"),
                    HostState::kUp,
                    {}});
  }
  // Five jobs a second need ten hosts; the pool has four.
  BOOST_TEST(HostsOrderedAtStart(this, 5, 500) >= 6U);
}

// Guards against a large reserve for a pool whose burst is just over, while the
// pool that is expected to have the next burst has too few hosts.
BOOST_FIXTURE_TEST_CASE(TheReserveIsSmallestAfterABurst, Balance) {
  for (int i = 0; i < 8; ++i)
    AddHost("extra" + std::to_string(i), "p");
  RefreshList(0);
  BOOST_TEST(Decide(0).empty());
  BOOST_TEST(balancer.sizings().at(PoolName("p")).reserve ==
             balancer.sizings().at(PoolName("idle")).reserve);
  SubmitJobs(9);
  (void)Decide(100);
  (void)Decide(200);
  BOOST_TEST(balancer.sizings().at(PoolName("p")).reserve <
             balancer.sizings().at(PoolName("idle")).reserve);
}

// Guards against a host that is moved again before its new worker has started.
BOOST_FIXTURE_TEST_CASE(AMoveUnderWayIsNotOrderedAgain, Balance) {
  RefreshList(0);
  SubmitJobs(5);
  const auto first = Decide(50);
  BOOST_TEST(!first.empty());
  for (const HostMove& move : first) {
    balancer.OnResponse(move, HostVerdict::kDone, At(60));
    if (!move.worker.id.empty())
      BOOST_TEST(balancer.cordoned().count(move.worker) == 1U);
  }
  BOOST_TEST(Decide(100).empty());
}

// Guards against moves that end running tasks.
BOOST_FIXTURE_TEST_CASE(HostsWithRunsStay, Balance) {
  builder.Submit("busy", {LedgerBuilder::Tasks(4)});
  for (std::uint32_t i = 0; i < 4; ++i) {
    builder.Start(LedgerBuilder::Run("busy", 0, i),
                  "w-idle" + std::to_string(i));
  }
  RefreshList(0);
  SubmitJobs(9);
  for (const HostMove& move : Decide(50))
    BOOST_TEST(move.worker.id.empty());
}

// Guards against paying for idle hosts, and against moves back and forth: idle
// hosts move to standby only after PoolBalancerOptions::idle.
BOOST_FIXTURE_TEST_CASE(IdleHostsMoveToStandbyAfterADelay, Balance) {
  for (int i = 0; i < 6; ++i)
    AddHost("extra" + std::to_string(i), "idle");
  RefreshList(0);
  BOOST_TEST(Decide(0).empty());
  BOOST_TEST(Decide(1'000).empty());
  const auto moves = Decide(1'600);
  BOOST_TEST(!moves.empty());
  for (const HostMove& move : moves)
    BOOST_TEST(move.to.str() == "off");
}

// Guards against workers of hosts in standby that count as capacity forever,
// and against a live worker that is considered ended because of a list that was
// requested before the move.
BOOST_FIXTURE_TEST_CASE(TheListShowsTheEndOfAMovedWorker, Balance) {
  for (int i = 0; i < 6; ++i)
    AddHost("extra" + std::to_string(i), "idle");
  RefreshList(0);
  BOOST_TEST(Decide(0).empty());
  const auto moves = Decide(1'600);
  BOOST_REQUIRE(!moves.empty());
  balancer.OnResponse(moves[0], HostVerdict::kDone, At(1'700));
  for (HostRow& row : rows) {
    if (row.host == moves[0].host)
      row = {row.host, moves[0].to, HostState::kUp, {}};
  }
  inventory.OnList(rows, At(1'650), At(1'800));
  BOOST_TEST(balancer.EndedWorkers(builder.ledger(), inventory).empty());
  RefreshList(3'900);
  const auto ended = balancer.EndedWorkers(builder.ledger(), inventory);
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST((ended[0] == moves[0].worker));
}

// Guards against starts on a worker whose host an earlier leader has ordered to
// move: the order may be carried out after the change of leadership.
BOOST_FIXTURE_TEST_CASE(AnInheritedMoveKeepsTheWorkerCordoned, Balance) {
  const jobs::WorkerIncarnation incarnation =
      LedgerBuilder::IncarnationOf("w-idle0");
  balancer.Inherit(builder.ledger(), HostName("idle0"), PoolName("p"), At(-500),
                   At(0));
  BOOST_TEST(balancer.cordoned().count(incarnation) == 1U);
  for (HostRow& row : rows) {
    if (row.host.str() == "idle0")
      row = {row.host, PoolName("p"), HostState::kUp, jobs::WorkerId("next")};
  }
  RefreshList(1'000);
  BOOST_REQUIRE(balancer.EndedWorkers(builder.ledger(), inventory).size() ==
                1U);
  BOOST_TEST(
      (balancer.EndedWorkers(builder.ledger(), inventory)[0] == incarnation));
}

// Guards against an old move that reserves its host after every change of
// leadership.
BOOST_FIXTURE_TEST_CASE(AnOldInheritedMoveIsForgotten, Balance) {
  balancer.Inherit(builder.ledger(), HostName("idle0"), PoolName("p"),
                   At(-20'000), At(0));
  BOOST_TEST(balancer.cordoned().empty());
}

struct Wave : HostFixture {
  WaveActions Decide(std::int64_t millis) {
    return maintenance.Decide(builder.ledger(), At(millis));
  }
  MaintenanceScheduler maintenance{Millis(2'000), inventory};
};

// Guards against more hosts down at once than the wave allows.
BOOST_FIXTURE_TEST_CASE(AWaveRespectsItsLimit, Wave) {
  RefreshList(0);
  StartWave({HostName("p0"), HostName("p1"), HostName("p2")}, 2);
  const auto actions = Decide(10);
  BOOST_REQUIRE(actions.maintain.size() == 2U);
  for (const auto& order : actions.maintain) {
    maintenance.OnOrderSent(order.host, 1, At(10));
    const auto progress =
        maintenance.OnResponse(order.host, 1, HostVerdict::kDone, At(20));
    BOOST_REQUIRE(progress.has_value());
    jobs::Batch batch;
    batch.progress.push_back(*progress);
    builder.Apply(batch);
  }
  BOOST_TEST(Decide(100).maintain.empty());
  // A list requested before the end of the maintenance proves nothing.
  RefreshList(1'500);
  BOOST_TEST(Decide(2'500).maintain.empty());
  RefreshList(2'600);
  BOOST_TEST(Decide(2'700).maintain.size() == 1U);
}

// Guards against an order without a response that is treated as not sent.
BOOST_FIXTURE_TEST_CASE(AnUnansweredOrderCountsAsDown, Wave) {
  RefreshList(0);
  StartWave({HostName("p0"), HostName("p1")}, 1);
  const auto actions = Decide(10);
  BOOST_REQUIRE(actions.maintain.size() == 1U);
  maintenance.OnOrderSent(actions.maintain[0].host, 1, At(10));
  BOOST_TEST(!maintenance.OnResponse(actions.maintain[0].host, 1,
                                     Fail(ErrorCode::kTimeout, ""), At(3'010)));
  BOOST_TEST(Decide(3'100).maintain.empty());
}

// Guards against more hosts down than the wave allows after a change of
// leadership: the earlier leader's order may be in progress.
BOOST_FIXTURE_TEST_CASE(AnInheritedOrderCountsAsDown, Wave) {
  RefreshList(0);
  StartWave({HostName("p0"), HostName("p1")}, 1);
  maintenance.Inherit(HostName("p0"), 1, At(0));
  BOOST_TEST(Decide(10).maintain.empty());
  RefreshList(2'100);
  BOOST_TEST(Decide(2'110).maintain.size() == 1U);
}

// Guards against starts on a worker that is about to end, and against runs that
// count as over because the platform responds with "done": it does so also for
// a maintenance that an earlier leader ordered, and then no run has ended.
BOOST_FIXTURE_TEST_CASE(AMaintainedHostGetsNoWorkUntilItIsListedAgain, Wave) {
  RefreshList(0);
  StartWave({HostName("p0"), HostName("p1")}, 1);
  const auto actions = Decide(10);
  BOOST_REQUIRE(actions.maintain.size() == 1U);
  const HostName host = actions.maintain[0].host;
  const jobs::WorkerIncarnation incarnation = actions.maintain[0].worker;
  maintenance.OnOrderSent(host, 1, At(10));
  const auto progress =
      maintenance.OnResponse(host, 1, HostVerdict::kDone, At(20));
  BOOST_REQUIRE(progress.has_value());
  jobs::Batch batch;
  batch.progress.push_back(*progress);
  builder.Apply(batch);
  BOOST_TEST(builder.ledger().FindWorker(incarnation) != nullptr);
  Decide(30);
  BOOST_TEST(maintenance.cordoned().count(incarnation) == 1U);
  RefreshList(2'100);
  Decide(2'200);
  BOOST_TEST(maintenance.cordoned().count(incarnation) == 0U);
}

// Guards against a maintenance that ends running tasks: no tasks are started on
// the host's worker, and the order is issued once its runs have ended.
BOOST_FIXTURE_TEST_CASE(AHostWithRunsIsCordonedFirst, Wave) {
  builder.Submit("job", {LedgerBuilder::Tasks(1)});
  builder.Start(LedgerBuilder::Run("job", 0, 0), "w-p0");
  RefreshList(0);
  StartWave({HostName("p0")}, 1);
  BOOST_TEST(Decide(10).maintain.empty());
  BOOST_TEST(
      maintenance.cordoned().count(LedgerBuilder::IncarnationOf("w-p0")) == 1U);
  builder.End(LedgerBuilder::Run("job", 0, 0), "w-p0", jobs::RunEnd::kDone, 1);
  BOOST_TEST(Decide(20).maintain.size() == 1U);
}

// Guards against a wave that never completes because a host was removed, and
// against one that completes although a crashed host, missing from the lists
// for some seconds, has not been maintained.
BOOST_FIXTURE_TEST_CASE(ARemovedHostNeedsNoMaintenance, Wave) {
  StartWave({HostName("gone")}, 1);
  RefreshList(0);
  RefreshList(2'000);
  RefreshList(8'000);
  BOOST_TEST(Decide(8'010).progress.empty());
  RefreshList(31'000);
  BOOST_TEST(Decide(31'010).progress.size() == 1U);
}

// Guards against a wave that is delayed by a host that was removed on purpose:
// its worker drained, then the host was no longer listed.
BOOST_FIXTURE_TEST_CASE(ARemovedDrainedHostDelaysNoWave, Wave) {
  jobs::WorkerRecord record =
      builder.ledger().FindWorker(LedgerBuilder::IncarnationOf("w-p0"))->record;
  record.draining = true;
  jobs::Batch batch;
  batch.workers.push_back(record);
  builder.Apply(batch);
  StartWave({HostName("p0"), HostName("p1")}, 2);
  RefreshList(0);
  (void)maintenance.Decide(builder.ledger(), At(0));
  std::erase_if(rows, [](const HostRow& row) {
    return row.host.str() == "p0" || row.host.str() == "p1";
  });
  RefreshList(1'000);
  BOOST_TEST(maintenance.Decide(builder.ledger(), At(7'000)).progress.empty());
  const WaveActions actions = maintenance.Decide(builder.ledger(), At(9'100));
  BOOST_REQUIRE(actions.progress.size() == 1U);
  BOOST_TEST(actions.progress[0].host.str() == "p0");
}

// Guards against starts on a worker that a maintenance order without a response
// ends when it is carried out late.
BOOST_FIXTURE_TEST_CASE(AnUnansweredOrderKeepsTheHostCordoned, Wave) {
  RefreshList(0);
  StartWave({HostName("p0")}, 1);
  BOOST_REQUIRE(Decide(10).maintain.size() == 1U);
  maintenance.OnOrderSent(HostName("p0"), 1, At(10));
  BOOST_TEST(!maintenance.OnResponse(HostName("p0"), 1,
                                     Fail(ErrorCode::kTimeout, ""), At(3'010)));
  BOOST_TEST(Decide(3'100).maintain.empty());
  BOOST_TEST(
      maintenance.cordoned().count(LedgerBuilder::IncarnationOf("w-p0")) == 1U);
}

// Guards against one host too many that is down: an order without a response is
// carried out late, after the platform has refused to take it again and another
// host of the wave was ordered.
BOOST_FIXTURE_TEST_CASE(AnOrderThatMayBeCarriedOutLateCountsAsDown, Wave) {
  const HostName host("p0");
  RefreshList(0);
  StartWave({host, HostName("p1")}, 1);
  BOOST_REQUIRE(Decide(10).maintain.size() == 1U);
  maintenance.OnOrderSent(host, 1, At(10));
  BOOST_TEST(!maintenance.OnResponse(host, 1, Fail(ErrorCode::kTimeout, ""),
                                     At(3'010)));
  RefreshList(5'100);
  const auto repeated = Decide(5'200);
  BOOST_REQUIRE(repeated.maintain.size() == 1U);
  BOOST_TEST(repeated.maintain[0].host.str() == "p0");
  maintenance.OnOrderSent(host, 1, At(5'200));
  BOOST_TEST(
      !maintenance.OnResponse(host, 1, HostVerdict::kTooMany, At(5'210)));
  RefreshList(7'300);
  BOOST_TEST(Decide(5'300).maintain.empty());
  for (std::int64_t millis = 7'400; millis < 18'000; millis += 500) {
    for (const auto& order : Decide(millis).maintain)
      BOOST_TEST(order.host.str() == "p0");
    BOOST_TEST(maintenance.cordoned().count(
                   LedgerBuilder::IncarnationOf("w-p1")) == 0U);
  }
  // Once it has begun, a late copy has no effect.
  maintenance.OnOrderSent(host, 1, At(18'000));
  const auto progress =
      maintenance.OnResponse(host, 1, HostVerdict::kDone, At(18'010));
  BOOST_REQUIRE(progress.has_value());
  jobs::Batch batch;
  batch.progress.push_back(*progress);
  builder.Apply(batch);
  RefreshList(20'100);
  const auto next = Decide(20'200);
  BOOST_REQUIRE(next.maintain.size() == 1U);
  BOOST_TEST(next.maintain[0].host.str() == "p1");
}

// Guards against a wave that waits for an order that was never carried out.
BOOST_FIXTURE_TEST_CASE(AnOrderIsNoLongerCarriedOutAfterAWhile, Wave) {
  RefreshList(0);
  StartWave({HostName("p0"), HostName("p1")}, 1);
  maintenance.Inherit(HostName("p0"), 1, At(0));
  // The host's worker has work, so the order is not repeated.
  builder.Submit("job", {LedgerBuilder::Tasks(1)});
  builder.Start(LedgerBuilder::Run("job", 0, 0), "w-p0");
  RefreshList(14'900);
  BOOST_TEST(Decide(14'950).maintain.empty());
  RefreshList(15'100);
  const auto actions = Decide(15'200);
  BOOST_REQUIRE(actions.maintain.size() == 1U);
  BOOST_TEST(actions.maintain[0].host.str() == "p1");
}

}  // namespace
}  // namespace boragewinch::scheduler
