#define BOOST_TEST_MODULE wave
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>

#include "policy/buffer_planner.h"
#include "policy/share_blend.h"
#include "policy/sheet_transition.h"
#include "policy/wave_planner.h"

namespace boragewinch {
namespace {

constexpr std::int64_t kStart = 1'000'000;

// Hosts are assigned to three zones in turn, with four hosts per rack.
FleetView Fleet(int pools, int hosts, std::int64_t min_available) {
  FleetView fleet;
  int index = 0;
  for (int p = 0; p < pools; ++p) {
    const PoolName pool("p" + std::to_string(p));
    fleet.pools[pool] = {.name = pool, .min_available = min_available};
    for (int h = 0; h < hosts; ++h, ++index) {
      const std::string zone = "z" + std::to_string(index % 3);
      const HostName name("h" + std::to_string(index));
      fleet.hosts[name] = {name,
                           pool,
                           ZoneName(zone),
                           RackName(zone + "r" + std::to_string(index / 12)),
                           HostState::kActive,
                           1,
                           kStart};
    }
  }
  return fleet;
}

int Available(const FleetView& fleet,
              const std::set<HostName>& lost,
              const PoolName& pool) {
  return static_cast<int>(std::count_if(
      fleet.hosts.begin(), fleet.hosts.end(), [&](const auto& item) {
        return item.second.pool == pool && !lost.contains(item.first) &&
               item.second.state == HostState::kActive;
      }));
}

const WaveConfig kDemo{.seconds_per_day = 1,
                       .host_seconds = 2,
                       .target_concurrency = 1};

// Guards against drains that exceed the budget, hosts past their period and
// hosts maintained too often, with a period of 35 s.
BOOST_AUTO_TEST_CASE(EveryHostOnceInItsPeriod) {
  FleetView fleet = Fleet(3, 9, 6);
  std::map<HostName, std::int64_t> ends;
  std::map<HostName, int> times;
  for (std::int64_t wall = kStart; wall < kStart + 70; ++wall) {
    for (auto& [name, host] : fleet.hosts) {
      if (host.state == HostState::kDraining && ends[name] <= wall) {
        host.state = HostState::kActive;
        host.maintained_at = wall;
        ++times[name];
      }
    }
    const WavePlan plan = PlanWave(fleet, {}, wall, kDemo);
    BOOST_TEST((plan == PlanWave(FleetView(fleet), {}, wall, kDemo)));
    for (const HostName& host : plan.start) {
      fleet.hosts[host].state = HostState::kDraining;
      ends[host] = wall + kDemo.host_seconds;
    }
    for (const PoolWave& wave : plan.pools) {
      BOOST_TEST(Available(fleet, {}, wave.pool) >= wave.min_available);
      BOOST_TEST(wave.overdue == 0);
    }
  }
  for (const auto& [name, host] : fleet.hosts) {
    BOOST_TEST(times[name] >= 1);
    BOOST_TEST(times[name] <= 3);  // the lead is long for so short a period
  }
}

// Guards against a wave that continues after losses have used up its budget.
BOOST_AUTO_TEST_CASE(LossesPauseWaveAndCancelDrains) {
  FleetView fleet = Fleet(1, 9, 6);
  const std::int64_t wall = kStart + 35;
  WavePlan plan = PlanWave(fleet, {}, wall, kDemo);
  BOOST_TEST(plan.start.size() == 2u);  // one of three is kept for a loss
  FleetVersion version = 10;
  for (const HostName& host : plan.start) {
    fleet.hosts[host].state = HostState::kDraining;
    fleet.hosts[host].assignment = version++;
  }
  const HostName latest = plan.start.back();
  plan = PlanWave(fleet, {}, wall, kDemo);
  BOOST_TEST((plan.pools[0].wait == WaveWait::kLossReserve));
  std::set<HostName> lost;
  for (const auto& [name, host] : fleet.hosts) {
    if (host.state == HostState::kActive && lost.size() < 1)
      lost.insert(name);
  }
  plan = PlanWave(fleet, lost, wall, kDemo);
  BOOST_TEST((plan.pools[0].wait == WaveWait::kLosses));
  BOOST_TEST(plan.cancel.empty());
  for (const auto& [name, host] : fleet.hosts) {
    if (host.state == HostState::kActive && lost.size() < 2)
      lost.insert(name);
  }
  plan = PlanWave(fleet, lost, wall, kDemo);
  BOOST_TEST((plan.pools[0].wait == WaveWait::kDrainsCancelled));
  BOOST_REQUIRE(plan.cancel.size() == 1u);
  BOOST_TEST(plan.cancel[0] == latest);
  // The maintenance of a rebooting host can't be cancelled.
  for (auto& [name, host] : fleet.hosts) {
    if (host.state == HostState::kDraining)
      host.state = HostState::kRebooting;
  }
  BOOST_TEST(PlanWave(fleet, lost, wall, kDemo).cancel.empty());
}

// Guards against drains in a pool without slack, and against a pool with a
// slack of one that is never maintained.
BOOST_AUTO_TEST_CASE(SmallSlack) {
  const std::int64_t wall = kStart + 35;
  WavePlan plan = PlanWave(Fleet(1, 6, 6), {}, wall, kDemo);
  BOOST_TEST(plan.start.empty());
  BOOST_TEST((plan.pools[0].wait == WaveWait::kNoSlack));
  BOOST_TEST(plan.pools[0].lend_wanted == 2);
  BOOST_TEST(!plan.end_estimate);
  plan = PlanWave(Fleet(1, 7, 6), {}, wall, kDemo);
  BOOST_TEST(plan.start.size() == 1u);
  BOOST_TEST(*plan.end_estimate == wall + 7 * kDemo.host_seconds);
}

// Guards against more hosts in maintenance than the fleet's cap, and against
// concurrent maintenance of hosts of several racks where those of one suffice.
BOOST_AUTO_TEST_CASE(CapAndRacks) {
  WaveConfig config = kDemo;
  config.max_in_maintenance = 5;
  const FleetView fleet = Fleet(2, 24, 8);
  const WavePlan capped = PlanWave(fleet, {}, kStart + 35, config);
  BOOST_TEST(capped.start.size() == 5u);
  const WavePlan plan = PlanWave(Fleet(1, 24, 19), {}, kStart + 35, kDemo);
  std::set<RackName> racks;
  for (const HostName& host : plan.start)
    racks.insert(fleet.hosts.at(host).rack);
  BOOST_TEST(plan.start.size() == 4u);
  BOOST_TEST(racks.size() == 1u);
}

// Guards against a host lost during its maintenance being counted twice, as
// lost and as in maintenance, which stops the wave until it is back.
BOOST_AUTO_TEST_CASE(HostLostInMaintenanceCountsOnce) {
  FleetView fleet = Fleet(1, 10, 7);
  const HostName rebooting("h0");
  fleet.hosts[rebooting].state = HostState::kRebooting;
  const WavePlan plan = PlanWave(fleet, {rebooting}, kStart + 35, kDemo);
  // Nine of ten are alive with a budget of seven: one may be in maintenance,
  // one is the reserve.
  BOOST_TEST(plan.pools[0].concurrency_limit == 1);
  BOOST_REQUIRE(plan.start.size() == 1u);
  fleet.hosts[plan.start[0]].state = HostState::kDraining;
  BOOST_TEST(PlanWave(fleet, {rebooting}, kStart + 35, kDemo).start.empty());
}

// Guards against long drains that use up the budget while hosts with shorter
// ones wait, and against a host past its deadline waiting for shorter drains.
BOOST_AUTO_TEST_CASE(ShortestDrainFirstInARollOut) {
  FleetView fleet = Fleet(1, 9, 7);
  fleet.pools.begin()->second.maintenance_days = 35;
  WaveConfig config{.host_seconds = 600, .rollout_since = kStart + 1};
  for (const auto& [name, host] : fleet.hosts)
    config.expected_drain[name] = Millis(9'000);
  config.expected_drain[HostName("h5")] = Millis(100);
  WavePlan plan = PlanWave(fleet, {}, kStart + 2, config);
  BOOST_REQUIRE(plan.start.size() == 1u);
  BOOST_TEST(plan.start[0] == HostName("h5"));
  // One host is past its period.
  fleet.hosts[HostName("h7")].maintained_at -= 36 * config.seconds_per_day;
  plan = PlanWave(fleet, {}, kStart + 2, config);
  BOOST_REQUIRE(plan.start.size() == 1u);
  BOOST_TEST(plan.start[0] == HostName("h7"));
}

FleetView FleetWithSpares(int spares) {
  FleetView fleet = Fleet(5, 9, 6);
  const PoolName spare("spare");
  fleet.pools[spare] = {.name = spare, .spare = true};
  for (int i = 0; i < spares; ++i) {
    const std::string zone = "z" + std::to_string(i % 3);
    const HostName name("s" + std::to_string(i));
    fleet.hosts[name] = {name, spare, ZoneName(zone), RackName(zone + "s")};
  }
  return fleet;
}

// Guards against spares that stay idle while a budget is violated, and against
// moves that no budget requires.
BOOST_AUTO_TEST_CASE(SparesRestoreBudgetsWithFewestMoves) {
  const FleetView fleet = FleetWithSpares(3);
  BOOST_TEST(PlanBuffers(fleet, {}, {}).moves.empty());
  std::set<HostName> lost;
  for (int i = 0; i < 5; ++i)
    lost.insert(HostName("h" + std::to_string(i)));
  const BufferPlan plan = PlanBuffers(fleet, lost, {});
  BOOST_TEST(plan.moves.size() == 2u);
  for (const HostMove& move : plan.moves)
    BOOST_TEST(move.to == PoolName("p0"));
  BOOST_TEST(plan.missing == 0);
  for (int i = 5; i < 8; ++i)
    lost.insert(HostName("h" + std::to_string(i)));
  BOOST_TEST(PlanBuffers(fleet, lost, {}).missing == 2);
}

// Guards against a buffer that does not cover a zone, or covers it with more
// than one spare for each pool and zone.
BOOST_AUTO_TEST_CASE(BufferIsSizedForTheWorstLoss) {
  FleetView fleet = FleetWithSpares(3);
  for (auto& [name, pool] : fleet.pools)
    pool.min_available = pool.spare ? 0 : 7;
  const BufferPlan plan = PlanBuffers(fleet, {}, {});
  BOOST_TEST((plan.binding == BufferScenario::kZone));
  // One for each pool and one for the spare lost with the zone.
  BOOST_TEST(plan.spares_needed == 6);
  BOOST_TEST(plan.unshared_spares == 15);
  double cost = 0;
  for (const PoolTarget& target : plan.pools)
    cost += target.cost_hosts;
  BOOST_TEST(cost == 6, boost::test_tools::tolerance(1e-9));
}

// Guards against a transition that violates a budget or moves a host twice.
BOOST_AUTO_TEST_CASE(SheetMovesKeepBudgets) {
  FleetView before = Fleet(2, 4, 3);
  before.teams[TeamName("a")] = {TeamName("a"), 1, 30};
  before.teams[TeamName("b")] = {TeamName("b"), 1, 30};
  FleetView after = before;
  after.teams[TeamName("a")].share = 3;
  after.teams[TeamName("b")].limit = 10;
  // The pools swap two hosts; the budget of each allows one move at a time.
  for (const char* host : {"h0", "h1"})
    after.hosts[HostName(host)].pool = PoolName("p1");
  for (const char* host : {"h4", "h5"})
    after.hosts[HostName(host)].pool = PoolName("p0");
  const SheetPlan plan =
      PlanSheet({before, after, {}, {{TeamName("b"), 20}}, 64, Millis(1000)});
  BOOST_TEST(plan.moves.size() == 4u);
  BOOST_TEST(plan.blocked.empty());
  BOOST_TEST(plan.moves.back().step == 1);
  BOOST_REQUIRE(plan.teams.size() == 2u);
  BOOST_TEST(plan.teams[0].slots_after == 48);
  BOOST_TEST(plan.teams[1].to_end == 10);
  BOOST_TEST((plan.settle_time == Millis(693)));
  const auto half =
      BlendShares(SharesOf(before), SharesOf(after), Millis(50), Millis(100));
  BOOST_TEST(half.at(TeamName("a")) == 625'000);
  for (const PoolChange& pool : plan.pools) {
    const bool swaps =
        pool.pool == PoolName("p0") || pool.pool == PoolName("p1");
    BOOST_TEST(pool.hosts_before == pool.hosts_after);
    BOOST_TEST(pool.moves_in == (swaps ? 2 : 0));
    BOOST_TEST(pool.moves_out == (swaps ? 2 : 0));
  }
  const Json json = ToJson(plan, "slots");
  BOOST_TEST(json["teams"][0]["slots_after"].asDouble() == 48);
  BOOST_TEST(json["moves"].size() == 4u);
}

// Guards against a sheet that changes shares abruptly, so that running tasks
// exceed them at once, and against a jump when a second sheet is accepted
// during the blend.
BOOST_AUTO_TEST_CASE(SharesChangeGradually) {
  const TeamName a("a");
  const TeamName b("b");
  const auto part = [&](const TeamShares& shares) {
    return static_cast<double>(shares.at(a)) /
           static_cast<double>(shares.at(a) + shares.at(b));
  };
  const TimePoint start = FromMillis(1'000);
  ShareBlend blend(Millis(60'000));
  blend.Accept({{a, 1}, {b, 1}}, start);
  BOOST_TEST(part(blend.At(start)) == 0.5);
  const TeamShares next = {{a, 3}, {b, 1}};
  blend.Accept(next, start);
  BOOST_TEST(part(blend.At(start)) == 0.5);
  // A version with the same shares doesn't restart the blend.
  blend.Accept(next, start + Millis(30'000));
  BOOST_TEST(part(blend.At(start + Millis(30'000))) == 0.625);
  double last = 0.5;
  for (int ms = 0; ms <= 60'000; ms += 250) {
    const double now = part(blend.At(start + Millis(ms)));
    BOOST_TEST(now >= last);
    BOOST_TEST(now - last < 0.002);
    last = now;
  }
  BOOST_TEST((blend.At(start + Millis(60'000)) == next));
  const TimePoint second = start + Millis(60'000);
  blend.Accept({{a, 1}, {b, 3}}, second);
  const TimePoint third = second + Millis(30'000);
  const double before = part(blend.At(third));
  blend.Accept({{a, 1}, {b, 1}}, third);
  BOOST_TEST(part(blend.At(third)) == before,
             boost::test_tools::tolerance(1e-5));
}

// Guards against a division by zero or a delay if the duration is 0.
BOOST_AUTO_TEST_CASE(BlendWithoutDurationIsImmediate) {
  ShareBlend blend(Millis(0));
  blend.Accept({{TeamName("a"), 1}}, FromMillis(1));
  const TeamShares next = {{TeamName("a"), 2}, {TeamName("b"), 1}};
  blend.Accept(next, FromMillis(2));
  BOOST_TEST((blend.At(FromMillis(2)) == next));
}

}  // namespace
}  // namespace boragewinch
