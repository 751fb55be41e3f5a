#define BOOST_TEST_MODULE ledger
#include <boost/test/unit_test.hpp>

#include "base/invariant.h"
#include "fleet/allotment_planner.h"
#include "fleet/fleet_state.h"
#include "fleet/reclaim_planner.h"
#include "model/worker_types.h"

namespace boragewinch {
namespace {

const TeamName kTeam("t");

[[nodiscard]] EntryRun Run(const std::string& entry, const std::string& run) {
  return {EntryName(entry), Incarnation(run)};
}

/// A fleet with one team of limit 12.
struct Fleet {
  Fleet() {
    SetInvariantHandler([](Invariant invariant, std::string_view detail) {
      BOOST_ERROR(kInvariants.Name(invariant) << ": " << detail);
    });
    SetLimit(12);
  }

  CommandResult Submit(CommandBody body, OperatorCall call = {}) {
    return state.Apply(++index,
                       EncodeCommand({std::move(call), std::move(body)}));
  }
  OperatorCall Call() {
    return {OperationId("op-" + std::to_string(index)), "ivan",
            state.version()};
  }
  void SetLimit(std::int64_t limit) {
    ApplySheet body;
    body.allow_lowering = true;
    body.sheet.pools.push_back({Pool{.name = PoolName("s"), .spare = true}});
    body.sheet.teams.push_back({Team{.name = kTeam, .limit = limit}});
    BOOST_REQUIRE(Submit(body, Call()).accepted);
  }
  CommandResult Register(const EntryRun& run, const std::string& zone = "za") {
    return Submit(RegisterEntry{run.entry, ZoneName(zone), run.incarnation,
                                "127.0.0.1:1", "127.0.0.1:2"});
  }
  [[nodiscard]] std::uint64_t VersionOf(const EntryRun& run) const {
    return state.ledger().entries.at(run.entry).allotment_version;
  }
  void Change(const EntryRun& run, std::int64_t delta) {
    Submit(ChangeAllotments{{{run, VersionOf(run), {{kTeam, delta}}}}});
  }
  [[nodiscard]] std::int64_t Allotment(const EntryRun& run) const {
    const TeamCounts* counts = state.ledger().AllotmentOf(run);
    if (!counts || !counts->contains(kTeam))
      return 0;
    return counts->at(kTeam);
  }
  [[nodiscard]] std::int64_t Total() const {
    return state.ledger().Total(kTeam);
  }

  FleetState state;
  std::uint64_t index = 0;
};

// Guards against grants above the limit, by one command or several.
BOOST_AUTO_TEST_CASE(SumOfAllotmentsStaysWithinTheLimit) {
  Fleet fleet;
  const auto a = Run("a", "1");
  const auto b = Run("b", "1");
  fleet.Register(a);
  fleet.Register(b);
  fleet.Submit(ChangeAllotments{{{a, fleet.VersionOf(a), {{kTeam, 8}}},
                                 {b, fleet.VersionOf(b), {{kTeam, 8}}}}});
  BOOST_TEST(fleet.Allotment(a) == 8);
  BOOST_TEST(fleet.Allotment(b) == 4);
  fleet.Change(b, 1);
  BOOST_TEST(fleet.Total() == 12);
  // Units that one returns can be granted by the same command.
  fleet.Submit(ChangeAllotments{{{a, fleet.VersionOf(a), {{kTeam, -3}}},
                                 {b, fleet.VersionOf(b), {{kTeam, 3}}}}});
  BOOST_TEST(fleet.Allotment(a) == 5);
  BOOST_TEST(fleet.Allotment(b) == 7);
}

// Guards against grants while partitioned entry hosts hold more than a lowered
// limit.
BOOST_AUTO_TEST_CASE(LoweredLimitGrantsNothingUntilTheSumHasShrunk) {
  Fleet fleet;
  const auto a = Run("a", "1");
  fleet.Register(a);
  fleet.Change(a, 10);
  fleet.SetLimit(6);
  fleet.Change(a, 1);
  BOOST_TEST(fleet.Total() == 10);
  fleet.Change(a, -5);
  fleet.Change(a, 4);
  BOOST_TEST(fleet.Total() == 6);
}

// Guards against applying one decrease twice, and against a decrease by more
// units than are held.
BOOST_AUTO_TEST_CASE(ChangeOfAnOlderVersionHasNoEffect) {
  Fleet fleet;
  const auto a = Run("a", "1");
  fleet.Register(a);
  fleet.Change(a, 10);
  const ChangeAllotments decrease{{{a, fleet.VersionOf(a), {{kTeam, -4}}}}};
  fleet.Submit(decrease);
  fleet.Submit(decrease);
  BOOST_TEST(fleet.Allotment(a) == 6);
  fleet.Change(a, -7);
  BOOST_TEST(fleet.Allotment(a) == 6);
}

// Guards against granting the units of a restarted entry host while its old
// tasks run, and against the old run registering again.
BOOST_AUTO_TEST_CASE(OldRunStaysReservedUntilItIsReclaimed) {
  Fleet fleet;
  const auto old_run = Run("a", "1");
  const auto new_run = Run("a", "2");
  const auto peer = Run("b", "1");
  fleet.Register(old_run);
  fleet.Register(peer);
  fleet.Change(old_run, 12);
  BOOST_TEST(fleet.Register(new_run).accepted);
  BOOST_TEST(fleet.Allotment(new_run) == 0);
  fleet.Change(new_run, 1);
  BOOST_TEST(fleet.Allotment(new_run) == 0);
  BOOST_TEST(static_cast<int>(fleet.Register(old_run).errors.at(0).code) ==
             static_cast<int>(ErrorCode::kFenced));
  BOOST_REQUIRE(
      fleet.Submit(ReclaimEntry{old_run, {{peer, kTeam, 5}}}).accepted);
  BOOST_TEST(fleet.Allotment(peer) == 5);
  BOOST_TEST(fleet.Total() == 5);
  // A new leader may resend the reclaim.
  BOOST_REQUIRE(
      fleet.Submit(ReclaimEntry{old_run, {{peer, kTeam, 5}}}).accepted);
  BOOST_TEST(fleet.Total() == 5);
  BOOST_TEST(!fleet.Register(old_run).accepted);
}

// Guards against transfers that create units or give them to an ended run.
BOOST_AUTO_TEST_CASE(TransferMovesOnlyWhatEnds) {
  Fleet fleet;
  const auto a = Run("a", "1");
  const auto b = Run("b", "1");
  fleet.Register(a);
  fleet.Register(b);
  fleet.Change(a, 3);
  const std::vector<std::vector<AllotmentTransfer>> bad = {
      {{b, kTeam, 4}},         {{b, kTeam, 2}, {b, kTeam, 2}},
      {{b, TeamName("u"), 1}}, {{Run("b", "0"), kTeam, 1}},
      {{a, kTeam, 1}},
  };
  for (const auto& transfers : bad)
    BOOST_TEST(!fleet.Submit(RetireEntry{a, transfers}).accepted);
  BOOST_TEST(fleet.Allotment(a) == 3);
  BOOST_TEST(fleet.Submit(RetireEntry{a, {{b, kTeam, 3}}}).accepted);
  BOOST_TEST(fleet.Allotment(b) == 3);
  BOOST_TEST(!fleet.state.ledger().entries.contains(a.entry));
}

// Guards against a declared loss that keeps the allotment of an older run.
BOOST_AUTO_TEST_CASE(DeclaredLostEndsEveryRun) {
  Fleet fleet;
  const auto old_run = Run("a", "1");
  const auto new_run = Run("a", "2");
  fleet.Register(old_run);
  fleet.Change(old_run, 7);
  fleet.Register(new_run);
  fleet.Change(new_run, 5);
  BOOST_TEST(fleet.Submit(DeclareEntryLost{EntryName("a"), {}}, fleet.Call())
                 .accepted);
  BOOST_TEST(fleet.Total() == 0);
  BOOST_TEST(!fleet.Register(new_run).accepted);
  BOOST_TEST(!fleet.Submit(DeclareEntryLost{EntryName("x"), {}}, fleet.Call())
                  .accepted);
}

// Guards against a ledger that differs after a restart of a control host.
BOOST_AUTO_TEST_CASE(LedgerSurvivesASnapshot) {
  Fleet fleet;
  fleet.Register(Run("a", "1"));
  fleet.Change(Run("a", "1"), 7);
  fleet.Register(Run("a", "2"));
  fleet.Register(Run("b", "1"));
  fleet.Submit(RetireEntry{Run("b", "1"), {}});
  const auto restored = FleetState::Restore(fleet.state.Snapshot());
  BOOST_REQUIRE(restored);
  BOOST_TEST(restored.value().hash() == fleet.state.hash());
  BOOST_TEST(restored.value().ledger().Total(kTeam) == 7);
}

// ReclaimPlanner -----------------------------------------------------------

/// Two entry hosts in zone za and one in zb; a holds 6 units.
struct ReclaimFixture : Fleet {
  ReclaimFixture() {
    Register(a);
    Register(b);
    Register(Run("c", "1"), "zb");
    Change(a, 6);
    Change(b, 2);
  }

  /// Sends a report of each run in `alive` every second for `seconds`.
  /// \returns the number of planned reclaims.
  std::size_t Advance(int seconds,
                      const std::vector<EntryRun>& alive,
                      const UnresponsiveRun& unresponsive) {
    std::size_t reclaims = 0;
    for (int i = 0; i < seconds; ++i) {
      now += Millis(1'000);
      for (const EntryRun& run : alive) {
        EntryReport report{run};
        if (run.entry != unresponsive.run.entry || successor_reports)
          report.unresponsive_peers = {unresponsive};
        const auto decoded = EntryReportFromJson(ToJson(report));
        BOOST_REQUIRE(decoded);
        planner.Observe(decoded.value(), now);
      }
      last = planner.Plan(state.ledger(), now);
      reclaims += last.size();
    }
    return reclaims;
  }

  EntryRun a = Run("a", "1");
  EntryRun b = Run("b", "1");
  TimePoint now = FromMillis(1'000'000);
  ReclaimPlanner planner{now};
  std::vector<ReclaimEntry> last;
  /// Whether a new run also reports its unresponsive predecessor.
  bool successor_reports = false;
};

constexpr Millis kLong{600'000};

// Guards against a reclaim before the tasks of the old run have ended, and
// against one that ignores tasks whose leases a peer renews (rule 1).
BOOST_AUTO_TEST_CASE(RestartedEntryIsReclaimedAfterOneLease) {
  ReclaimFixture zone;
  const auto new_run = Run("a", "2");
  zone.Register(new_run);
  const UnresponsiveRun unresponsive{zone.a, kLong, true, {{kTeam, 4}}};
  BOOST_TEST(zone.Advance(31, {new_run, zone.b}, unresponsive) == 0);
  BOOST_TEST(zone.Advance(1, {new_run, zone.b}, unresponsive) == 1);
  BOOST_REQUIRE(zone.last.size() == 1);
  BOOST_TEST((zone.last[0].run == zone.a));
  BOOST_REQUIRE(zone.last[0].transfers.size() == 1);
  BOOST_TEST((zone.last[0].transfers[0].to == zone.b));
  BOOST_TEST(zone.last[0].transfers[0].count == 4);
  BOOST_TEST(zone.Submit(zone.last[0]).accepted);
  BOOST_TEST(zone.Total() == 6);
  BOOST_TEST(zone.Advance(5, {new_run, zone.b}, unresponsive) == 0);
}

// Guards against a reclaim while a peer that may have taken over tasks sends no
// reports.
BOOST_AUTO_TEST_CASE(RestartedEntryWaitsForAnUnresponsivePeer) {
  ReclaimFixture zone;
  const auto new_run = Run("a", "2");
  zone.Register(new_run);
  BOOST_TEST(zone.Advance(100, {new_run}, {zone.a}) == 0);
}

// Guards against ignoring tasks of an old run that its successor has taken over
// from a peer (found by fleet_random_test, seed 1056).
BOOST_AUTO_TEST_CASE(SuccessorMayHaveTakenOverTasksOfItsOldRun) {
  ReclaimFixture zone;
  const auto new_run = Run("a", "2");
  zone.Register(new_run);
  zone.successor_reports = true;
  const UnresponsiveRun unresponsive{zone.a, kLong, true, {{kTeam, 2}}};
  BOOST_TEST(zone.Advance(100, {zone.b}, unresponsive) == 0);
  BOOST_TEST(zone.Advance(1, {new_run, zone.b}, unresponsive) == 1);
  BOOST_REQUIRE(zone.last.at(0).transfers.size() == 2);
  BOOST_TEST((zone.last[0].transfers[0].to == new_run));
}

// Guards against the restart of a peer hiding tasks that it had taken over.
BOOST_AUTO_TEST_CASE(RestartOfAPeerRestartsTheWait) {
  ReclaimFixture zone;
  const auto a2 = Run("a", "2");
  const auto b2 = Run("b", "2");
  zone.Register(a2);
  BOOST_TEST(zone.Advance(25, {a2, zone.b}, {zone.a}) == 0);
  zone.Register(b2);
  BOOST_TEST(zone.Advance(31, {a2, b2}, {zone.a}) == 0);
  BOOST_TEST(zone.Advance(1, {a2, b2}, {zone.a}) == 2);
}

// Guards against a reclaim that is rejected forever because a peer reports more
// tasks than the run had units.
BOOST_AUTO_TEST_CASE(ExcessiveTakeOverIsCutToTheAllotment) {
  ReclaimFixture zone;
  zone.Register(Run("a", "2"));
  zone.Advance(32, {Run("a", "2"), zone.b},
               {zone.a, kLong, true, {{kTeam, 9}, {TeamName("u"), 1}}});
  BOOST_REQUIRE(zone.last.size() == 1);
  BOOST_TEST(zone.last[0].transfers.at(0).count == 6);
  BOOST_TEST(zone.last[0].transfers.size() == 1);
  BOOST_TEST(zone.Submit(zone.last[0]).accepted);
}

struct UnresponsiveCase {
  const char* what;
  Millis unresponsive_for;
  bool fenced;
  bool peer_reports;
  int seconds;
  bool reclaimed;
};

// Guards against a reclaim from an entry host that may still be active (rule
// 2): the leader and every zone peer must have received nothing for 40 s plus
// clock drift, and each peer must have fenced it.
BOOST_AUTO_TEST_CASE(UnresponsiveEntryIsReclaimedOnlyWhenAllHaveFencedIt) {
  const UnresponsiveCase cases[] = {
      {"all conditions hold", kLong, true, true, 41, true},
      {"too little time without reports to the leader", kLong, true, true, 40,
       false},
      {"too little time without messages to the peer", Millis(40'399), true,
       true, 60, false},
      {"the peer has not fenced it", kLong, false, true, 60, false},
      {"the peer is unresponsive too", kLong, true, false, 60, false},
  };
  for (const UnresponsiveCase& test : cases) {
    BOOST_TEST_CONTEXT(test.what) {
      ReclaimFixture zone;
      std::vector<EntryRun> alive = {Run("c", "1")};
      if (test.peer_reports)
        alive.push_back(zone.b);
      const auto reclaims =
          zone.Advance(test.seconds, alive,
                       {zone.a, test.unresponsive_for, test.fenced, {}});
      BOOST_TEST((reclaims > 0) == test.reclaimed);
    }
  }
}

// Guards against a reclaim by time from an entry host without zone peers, which
// nobody has fenced.
BOOST_AUTO_TEST_CASE(LoneEntryOfAZoneIsNeverReclaimedByTime) {
  ReclaimFixture zone;
  BOOST_TEST(zone.Advance(200, {zone.a, zone.b},
                          {Run("c", "1"), kLong, true, {}}) == 0);
}

// Guards against a new leader that counts time without reports from before its
// election.
BOOST_AUTO_TEST_CASE(NewLeaderStartsItsOwnMeasurement) {
  ReclaimFixture zone;
  const UnresponsiveRun unresponsive{zone.a, kLong, true, {}};
  BOOST_TEST(zone.Advance(40, {zone.b}, unresponsive) == 0);
  zone.planner = ReclaimPlanner(zone.now);
  BOOST_TEST(zone.Advance(40, {zone.b}, unresponsive) == 0);
  BOOST_TEST(zone.Advance(1, {zone.b}, unresponsive) == 1);
}

// Guards against a declared loss that frees units of tasks whose leases a peer
// still renews.
BOOST_AUTO_TEST_CASE(DeclaredLostMovesTakenOverUnits) {
  ReclaimFixture zone;
  zone.Advance(1, {zone.b}, {zone.a, Millis(5'000), true, {{kTeam, 4}}});
  const auto transfers =
      zone.planner.TransfersOf(zone.state.ledger(), zone.a.entry, zone.now);
  BOOST_REQUIRE(
      zone.Submit(DeclareEntryLost{zone.a.entry, transfers}, zone.Call())
          .accepted);
  BOOST_TEST(zone.Allotment(zone.b) == 6);
  BOOST_TEST(zone.Total() == 6);
}

// AllotmentPlanner ---------------------------------------------------------

/// Three entry hosts that report their running and queued tasks.
struct PlannerFixture : Fleet {
  PlannerFixture() {
    for (const EntryRun& run : runs)
      Register(run);
  }

  void Report(const EntryRun& run,
              std::int64_t running,
              std::int64_t wanted,
              std::int64_t returned = 0) {
    EntryReport report{run, VersionOf(run)};
    report.running[kTeam] = running;
    report.wanted[kTeam] = wanted;
    report.returned[kTeam] = returned;
    planner.Observe(report, now);
  }
  AllotmentPlan Step() {
    AllotmentPlan plan = planner.Plan(state.view().teams, state.ledger(), now);
    Submit(plan.command);
    return plan;
  }
  [[nodiscard]] std::vector<std::int64_t> Allotments() const {
    return {Allotment(runs[0]), Allotment(runs[1]), Allotment(runs[2])};
  }

  std::vector<EntryRun> runs = {Run("a", "1"), Run("b", "1"), Run("c", "1")};
  AllotmentPlanner planner;
  TimePoint now = FromMillis(1'000);
};

using Counts = std::vector<std::int64_t>;

// Guards against idle entry hosts without units when a partition begins.
BOOST_AUTO_TEST_CASE(IdleEntryHostsGetTheirFloor) {
  PlannerFixture fleet;
  for (const auto& run : fleet.runs)
    fleet.Report(run, 0, 0);
  fleet.Step();
  BOOST_TEST(fleet.Allotments() == (Counts{2, 2, 2}),
             boost::test_tools::per_element());
}

// Guards against one entry host taking all units, and against units that stay
// unused while an entry host needs them.
BOOST_AUTO_TEST_CASE(WantedUnitsAreSharedFairly) {
  PlannerFixture fleet;
  fleet.Report(fleet.runs[0], 0, 100);
  fleet.Report(fleet.runs[1], 0, 3);
  fleet.Report(fleet.runs[2], 0, 100);
  fleet.Step();
  BOOST_TEST(fleet.Allotments() == (Counts{5, 3, 4}),
             boost::test_tools::per_element());
  BOOST_TEST(fleet.Total() == 12);
}

// Guards against units staying at an entry host that no longer needs them, and
// against a decrease that the entry host has not offered.
BOOST_AUTO_TEST_CASE(UnusedUnitsMoveOnlyByOffer) {
  PlannerFixture fleet;
  fleet.Report(fleet.runs[0], 0, 12);
  fleet.Report(fleet.runs[1], 0, 0);
  fleet.Report(fleet.runs[2], 0, 0);
  fleet.Step();
  BOOST_TEST(fleet.Allotment(fleet.runs[0]) == 12);
  fleet.Report(fleet.runs[0], 1, 0);
  fleet.Report(fleet.runs[1], 0, 9);
  fleet.Report(fleet.runs[2], 0, 0);
  const auto plan = fleet.Step();
  BOOST_TEST(plan.command.changes.empty());
  BOOST_TEST(plan.caps.at(EntryName("a")).at(kTeam) == 2);
  fleet.Report(fleet.runs[0], 1, 0, 10);
  fleet.Step();
  BOOST_TEST(fleet.Allotments() == (Counts{2, 9, 1}),
             boost::test_tools::per_element());
}

// Guards against an unresolved offer: its units could never be used again.
BOOST_AUTO_TEST_CASE(UnneededOfferIsResolved) {
  PlannerFixture fleet;
  for (const auto& run : fleet.runs)
    fleet.Report(run, 0, 0);
  fleet.Step();
  const auto version = fleet.VersionOf(fleet.runs[0]);
  for (const auto& run : fleet.runs)
    fleet.Report(run, 0, 0, 1);
  fleet.Step();
  BOOST_TEST(fleet.VersionOf(fleet.runs[0]) > version);
  BOOST_TEST(fleet.Total() == 6);
}

// Guards against decisions from a report of an older allotment version, or for
// an entry host whose last report is too old.
BOOST_AUTO_TEST_CASE(MissingAndOutdatedReportsChangeNothing) {
  PlannerFixture fleet;
  fleet.Report(fleet.runs[0], 0, 5);
  fleet.now += kMaxReportAge + Millis(1);
  fleet.Report(fleet.runs[1], 0, 5);
  fleet.Change(fleet.runs[1], 1);
  BOOST_TEST(fleet.Step().command.changes.empty());
}

// Guards against a lowered limit that never takes effect, and against granting
// units that are reserved for an old run.
BOOST_AUTO_TEST_CASE(LoweredLimitShrinksReachableEntryHosts) {
  PlannerFixture fleet;
  for (const auto& run : fleet.runs) {
    fleet.Report(run, 0, 4);
    fleet.Step();
  }
  BOOST_TEST(fleet.Total() == 12);
  fleet.Register(Run("c", "2"));  // 4 units are reserved
  fleet.SetLimit(8);
  fleet.Report(fleet.runs[0], 4, 4);
  fleet.Report(fleet.runs[1], 4, 4);
  const auto plan = fleet.Step();
  BOOST_TEST(plan.caps.at(EntryName("a")).at(kTeam) == 2);
  BOOST_TEST(plan.caps.at(EntryName("b")).at(kTeam) == 2);
  fleet.Report(fleet.runs[0], 2, 4, 2);
  fleet.Report(fleet.runs[1], 2, 4, 2);
  fleet.Step();
  BOOST_TEST(fleet.Total() == 8);
  BOOST_TEST(fleet.Allotment(fleet.runs[0]) == 2);
}

}  // namespace
}  // namespace boragewinch
