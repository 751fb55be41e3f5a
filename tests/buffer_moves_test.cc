#define BOOST_TEST_MODULE buffer_moves
#include <boost/test/unit_test.hpp>

#include <string>

#include "fleet/fleet_state.h"
#include "policy/buffer_moves.h"

namespace boragewinch {
namespace {

constexpr std::int64_t kWall = 1'000'000;

// Pool p has the hosts h0, h1, ... and the budget `min_available`; the spare
// pool has the hosts s0, s1, ...
struct Fixture {
  FleetView fleet;
  std::map<HostName, PendingMove> pending;
  std::set<HostName> unavailable;
  std::set<HostName> confirmed_lost;
  std::vector<PoolWave> waves;
  BufferMoveConfig config;
  const PoolName p{"p"};
  const PoolName spare{"spare"};

  void Make(int hosts, int spares, int min_available) {
    fleet.pools[p] = {.name = p, .min_available = min_available};
    fleet.pools[spare] = {.name = spare, .spare = true};
    for (int i = 0; i < hosts; ++i)
      Add("h" + std::to_string(i), p);
    for (int i = 0; i < spares; ++i)
      Add("s" + std::to_string(i), spare);
  }
  // Another pool whose budget a loss would violate, so that it needs a spare.
  void MakeOther() {
    const PoolName q("q");
    fleet.pools[q] = {.name = q, .min_available = 1};
    Add("q0", q);
  }
  void Add(const std::string& name, const PoolName& pool) {
    // One zone per host, so that the buffer is sized for the loss of one host.
    fleet.hosts[HostName(name)] = {HostName(name), pool, ZoneName(name),
                                   RackName("r")};
  }
  Host& At(const std::string& name) { return fleet.hosts.at(HostName(name)); }
  void Lose(const std::string& name) {
    At(name).state = HostState::kLost;
    unavailable.insert(HostName(name));
    confirmed_lost.insert(HostName(name));
  }
  void Recover(const std::string& name) {
    At(name).state = HostState::kActive;
    unavailable.erase(HostName(name));
    confirmed_lost.erase(HostName(name));
  }
  void Lend(const std::string& name, std::int64_t at) {
    At(name).pool = p;
    At(name).lent_from = spare;
    At(name).lent_at = at;
  }
  BufferMoves Decide(std::int64_t wall = kWall) const {
    return DecideBufferMoves(
        {fleet, pending, unavailable, confirmed_lost, waves, wall}, config);
  }
};

// Guards against a pool that stays below its budget while spares are idle, and
// against hosts that are moved because a worker restarts.
BOOST_FIXTURE_TEST_CASE(LostHostIsReplacedAfterTheDelay, Fixture) {
  Make(4, 2, 4);
  BOOST_TEST((Decide() == BufferMoves()));
  Lose("h1");
  confirmed_lost.clear();
  BOOST_TEST((Decide() == BufferMoves()));
  confirmed_lost.insert(HostName("h1"));
  const BufferMoves moves = Decide();
  BOOST_REQUIRE(moves.lend.size() == 1u);
  BOOST_TEST((moves.lend[0] == HostMove{HostName("s0"), spare, p}));
  BOOST_TEST(moves.returns.empty());
  // A new leader makes the same decision from the same state, and none once the
  // host is moving.
  BOOST_TEST((Decide() == moves));
  Lend("s0", kWall);
  At("s0").state = HostState::kReturning;
  BOOST_TEST((Decide() == BufferMoves()));
}

// Guards against more concurrent moves than configured, against moves with the
// setting 0, and against unavailable spares being lent.
BOOST_FIXTURE_TEST_CASE(ConcurrentMovesAreLimited, Fixture) {
  Make(6, 5, 6);
  for (const char* host : {"h0", "h1", "h2"})
    Lose(host);
  unavailable.insert(HostName("s0"));
  const BufferMoves moves = Decide();
  BOOST_REQUIRE(moves.lend.size() == 2u);
  BOOST_TEST(moves.lend[0].host == HostName("s1"));
  Lend("s1", kWall);
  At("s1").state = HostState::kReturning;
  BOOST_TEST(Decide().lend.size() == 1u);
  config.max_concurrent = 0;
  BOOST_TEST((Decide() == BufferMoves()));
}

// Guards against a move that violates the spare pool's own budget.
BOOST_FIXTURE_TEST_CASE(SparePoolKeepsItsBudget, Fixture) {
  Make(4, 2, 4);
  fleet.pools[spare].min_available = 1;
  Lose("h0");
  Lose("h1");
  BOOST_TEST(Decide().lend.size() == 1u);
  fleet.pools[spare].min_available = 2;
  BOOST_TEST(Decide().lend.empty());
}

// Guards against lent hosts that move back and forth when another host is lost
// intermittently, and against a return while a loss or a wave uses the budget.
BOOST_FIXTURE_TEST_CASE(LentHostComesBackOnceItIsNotNeeded, Fixture) {
  Make(4, 1, 4);
  MakeOther();
  Lose("h0");
  Lend("s0", kWall);
  const std::int64_t later = kWall + config.min_stay_seconds;
  BOOST_TEST((Decide(later) == BufferMoves()));
  Recover("h0");
  BOOST_TEST((Decide(later - 1) == BufferMoves()));
  const HostMove back{HostName("s0"), p, spare};
  BOOST_TEST((Decide(later).returns == std::vector<HostMove>{back}));
  // It stays while no pool needs a spare.
  fleet.pools[PoolName("q")].min_available = 0;
  BOOST_TEST((Decide(later) == BufferMoves()));
  fleet.pools[PoolName("q")].min_available = 1;
  waves = {{.pool = p, .due = 1}};
  BOOST_TEST((Decide(later) == BufferMoves()));
  waves.clear();
  unavailable.insert(HostName("h1"));
  BOOST_TEST((Decide(later) == BufferMoves()));
  unavailable.clear();
  pending[HostName("s0")] = {spare, false, 1, ""};
  BOOST_TEST((Decide(later) == BufferMoves()));
  // A second loss during the drain keeps the host.
  At("s0").state = HostState::kDraining;
  Lose("h2");
  BOOST_TEST((Decide(later).cancel == std::vector{HostName("s0")}));
  pending[HostName("s0")].operator_name = "ann";
  BOOST_TEST(Decide(later).cancel.empty());
}

// Guards against a host that is not lent being moved to the spare pool.
BOOST_FIXTURE_TEST_CASE(OwnHostsAreNotReturned, Fixture) {
  Make(6, 0, 4);
  BOOST_TEST((Decide() == BufferMoves()));
}

// Guards against a wave that never continues in a pool without slack although
// there are spares, against lending spares that are due for maintenance
// themselves, and against hosts that are returned while the wave is open.
BOOST_FIXTURE_TEST_CASE(WaveWithoutSlackBorrows, Fixture) {
  Make(4, 3, 4);
  MakeOther();
  fleet.pools[p].wave_since = 100;
  for (const char* host : {"s1", "s2"})
    At(host).maintained_at = 100;
  const WavePlan plan = PlanWave(fleet, {}, 200, {});
  BOOST_REQUIRE(plan.pools.front().lend_wanted == 3);
  waves = plan.pools;
  const BufferMoves moves = Decide(200);
  BOOST_REQUIRE(moves.lend.size() == 2u);
  BOOST_TEST(moves.lend[0].host == HostName("s1"));
  Lend("s1", 200);
  Lend("s2", 200);
  waves = PlanWave(fleet, {}, 2'000, {}).pools;
  BOOST_TEST((Decide(2'000) == BufferMoves()));
  for (auto& [name, host] : fleet.hosts)
    host.maintained_at = 2'000;
  Lose("s0");
  waves = PlanWave(fleet, {}, 2'000, {}).pools;
  BOOST_TEST(Decide(2'000).returns.size() == 1u);
}

[[nodiscard]] CommandResult Apply(FleetState& state,
                                  CommandBody body,
                                  const std::string& operation = "") {
  Command command;
  command.body = std::move(body);
  if (!operation.empty()) {
    command.call.operation_id = OperationId(operation);
    command.call.operator_name = "ann";
    command.call.expected_version = state.operator_version();
  }
  return state.Apply(state.last_index() + 1, EncodeCommand(command));
}

[[nodiscard]] ApplySheet MakeSheet(const char* host_pool = "spare") {
  ApplySheet apply;
  apply.sheet.pools = {{{.name = PoolName("p")}},
                       {{.name = PoolName("spare"), .spare = true}}};
  apply.sheet.hosts = {
      {{HostName("s"), PoolName(host_pool), ZoneName("z"), RackName("r")}}};
  apply.allow_lowering = true;
  return apply;
}

// Guards against a lent host that is returned by the next sheet, is not lent
// after the restore of a snapshot, stays lent in its own pool, or can't be
// assigned to its current pool by a sheet.
BOOST_AUTO_TEST_CASE(LendingIsReplicated) {
  const HostName s("s");
  const PoolName p("p");
  const PoolName spare("spare");
  FleetState state;
  BOOST_REQUIRE(Apply(state, MakeSheet(), "o1").accepted);
  BOOST_REQUIRE(Apply(state, MoveHost{s, p, false, {}, true, 7}).accepted);
  BOOST_TEST(state.view().hosts.at(s).pool == p);
  BOOST_TEST(state.view().hosts.at(s).home() == spare);
  auto restored = FleetState::Restore(state.Snapshot());
  BOOST_REQUIRE(restored);
  BOOST_TEST(restored.value().view().hosts.at(s).lent_at == 7);
  BOOST_TEST(restored.value().hash() == state.hash());
  // A sheet that lists the host in its own pool does not return it.
  BOOST_REQUIRE(Apply(state, MakeSheet(), "o2").accepted);
  BOOST_TEST(state.pending_moves().empty());
  BOOST_TEST(state.view().hosts.at(s).home() == spare);
  // Back in its own pool, the host is not lent any more.
  FleetState back = std::move(restored).value();
  BOOST_REQUIRE(Apply(back, SetHostState{s, HostState::kActive,
                                         back.view().hosts.at(s).assignment})
                    .accepted);
  BOOST_REQUIRE(Apply(back, MoveHost{s, spare, true, {}}).accepted);
  BOOST_REQUIRE(Apply(back, SetHostState{s, HostState::kDrained,
                                         back.view().hosts.at(s).assignment})
                    .accepted);
  BOOST_REQUIRE(Apply(back, MoveHost{s, spare, false, {}}).accepted);
  BOOST_TEST(back.view().hosts.at(s).pool == spare);
  BOOST_TEST(back.view().hosts.at(s).lent_from.empty());
  // A sheet that assigns the host to its current pool ends the lending.
  BOOST_REQUIRE(Apply(state, MakeSheet("p"), "o3").accepted);
  BOOST_TEST(state.view().hosts.at(s).home() == p);
  BOOST_TEST(state.pending_moves().empty());
}

}  // namespace
}  // namespace boragewinch
