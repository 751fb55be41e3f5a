#define BOOST_TEST_MODULE fleet
#include <boost/test/unit_test.hpp>

#include <boost/test/data/test_case.hpp>

#include "base/invariant.h"
#include "fleet/fleet_state.h"
#include "fleet/sheet_parser.h"

namespace boragewinch {
namespace {

const std::string kSheet =
    "kind,name,pool,team,zone,rack,share,limit,min_available,spare,"
    "maintenance_days,open\n"
    "pool,p,,,,,,,2,no,,\n"
    "pool,r,,,,,,,0,no,,\n"
    "pool,s,,,,,,,1,yes,,\n"
    "team,t,,,,,2,10,,,,\n"
    "queue,q,p,t,,,,,,,,yes\n"
    "host,h1,p,,za,r1,,,,,,\n"
    "host,h2,p,,za,r2,,,,,,\n"
    "host,h3,p,,zb,r3,,,,,,\n"
    "host,x1,s,,zb,r4,,,,,,\n"
    "host,x2,s,,zc,r5,,,,,,\n";

const std::string kHash(64, 'a');

[[nodiscard]] std::string CodeOf(const CommandResult& result) {
  return result.accepted
             ? "accepted"
             : std::string(kErrorCodes.Name(result.errors.at(0).code));
}

/// A fleet state with helpers that submit commands.
struct Fleet {
  Fleet() {
    SetInvariantHandler([](Invariant invariant, std::string_view detail) {
      BOOST_ERROR(kInvariants.Name(invariant) << ": " << detail);
    });
    BOOST_REQUIRE(Apply(kSheet).accepted);
  }

  CommandResult Submit(const Command& command) {
    return state.Apply(++index, EncodeCommand(command));
  }
  CommandResult Control(CommandBody body) {
    return Submit({{}, std::move(body)});
  }
  CommandResult Operator(CommandBody body) {
    return Submit({{OperationId("op-" + std::to_string(++operation)), "ivan",
                    state.version()},
                   std::move(body)});
  }
  CommandResult Apply(const std::string& text, bool allow = false) {
    std::vector<Error> errors;
    ApplySheet body{ParseSheet(text, "a.csv", &errors), allow, {}};
    BOOST_REQUIRE(errors.empty());
    return Operator(std::move(body));
  }
  [[nodiscard]] const Host& host(const std::string& name) const {
    return state.view().hosts.at(HostName(name));
  }
  CommandResult Set(const std::string& name, HostState to) {
    return Control(SetHostState{HostName(name), to, host(name).assignment, 99});
  }

  FleetState state;
  std::uint64_t index = 0;
  int operation = 0;
};

[[nodiscard]] std::string Replaced(std::string text,
                                   const std::string& from,
                                   const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

// Guards against two operators with the same expected version both succeeding,
// and against a conflict error that doesn't name the winning operation.
BOOST_AUTO_TEST_CASE(OneOfTwoOperatorsWithTheSameVersionWins) {
  Fleet fleet;
  const FleetVersion seen = fleet.state.version();
  const auto drain = [&](const char* id, const char* who, const char* host) {
    return fleet.Submit(
        {{OperationId(id), who, seen}, DrainHost{HostName(host), {}}});
  };
  BOOST_TEST(CodeOf(drain("a", "ivan", "h1")) == "accepted");
  const auto second = drain("b", "jana", "x1");
  BOOST_TEST(CodeOf(second) == "version_conflict");
  BOOST_TEST(second.errors.at(0).detail.find(
                 "operation a (drain_host by ivan)") != std::string::npos);
  BOOST_TEST(static_cast<int>(fleet.host("x1").state) ==
             static_cast<int>(HostState::kActive));
  const auto future = fleet.Submit(
      {{OperationId("c"), "jana", seen + 100}, ReturnHost{HostName("h1")}});
  BOOST_TEST(CodeOf(future) == "version_conflict");
}

// Guards against host state changes by the control service causing version
// conflicts for operators.
BOOST_AUTO_TEST_CASE(ObservedStatesDoNotConflictWithOperators) {
  Fleet fleet;
  const FleetVersion seen = fleet.state.version();
  BOOST_REQUIRE(fleet.Set("x2", HostState::kLost).accepted);
  BOOST_TEST(fleet.state.version() > seen);
  BOOST_TEST(CodeOf(fleet.Submit({{OperationId("a"), "ivan", seen},
                                  DrainHost{HostName("h1"), {}}})) ==
             "accepted");
}

// Guards against a command that is resent after a lost response being executed
// twice, also after a restart, and against reuse of an id for another command.
BOOST_AUTO_TEST_CASE(ResendGetsTheFirstResult) {
  Fleet fleet;
  const Command drain{{OperationId("a"), "ivan", fleet.state.version()},
                      DrainHost{HostName("h1"), {}}};
  const auto first = fleet.Submit(drain);
  BOOST_REQUIRE(fleet.Operator(ReturnHost{HostName("h1")}).accepted);
  auto restored = FleetState::Restore(fleet.state.Snapshot());
  BOOST_REQUIRE(restored);
  fleet.state = std::move(restored).value();
  Command resent = drain;
  // The leader may fill in other lost hosts when the command is resent.
  std::get<DrainHost>(resent.body).lost.insert(HostName("x1"));
  const auto second = fleet.Submit(resent);
  BOOST_TEST(second.resent);
  BOOST_TEST(second.accepted);
  BOOST_TEST(second.version == first.version);
  BOOST_TEST(second.index == first.index);
  BOOST_TEST(static_cast<int>(fleet.host("h1").state) ==
             static_cast<int>(HostState::kReturning));
  std::get<DrainHost>(resent.body).host = HostName("h2");
  BOOST_TEST(CodeOf(fleet.Submit(resent)) == "conflict");
}

// Guards against unbounded growth of the operation table.
BOOST_AUTO_TEST_CASE(OldestOperationIsDropped) {
  OperationTable table;
  for (std::size_t i = 0; i <= kMaxStoredOperations; ++i)
    table.Store(OperationId(std::to_string(i)), {});
  BOOST_TEST(table.size() == kMaxStoredOperations);
  BOOST_TEST(!table.Find(OperationId("0")));
  BOOST_TEST(table.Find(OperationId("1")));
}

// Guards against a drain that takes a pool below its availability budget
// because hosts count as available that are draining, returning, lost, or
// reported lost by the leader with the command.
BOOST_AUTO_TEST_CASE(DrainKeepsTheBudget) {
  Fleet fleet;
  BOOST_TEST(CodeOf(fleet.Control(DrainHost{
                 HostName("h1"), {HostName("h2")}})) == "budget_exceeded");
  BOOST_TEST(CodeOf(fleet.Operator(DrainHost{HostName("h1"), {}})) ==
             "accepted");
  BOOST_TEST(CodeOf(fleet.Operator(DrainHost{HostName("h2"), {}})) ==
             "budget_exceeded");
  // Draining a host twice has no further effect.
  BOOST_TEST(!fleet.Operator(DrainHost{HostName("h1"), {}}).changed);
  // Draining a lost host doesn't lower the number of available workers.
  BOOST_REQUIRE(fleet.Set("h3", HostState::kLost).accepted);
  BOOST_TEST(CodeOf(fleet.Control(DrainHost{HostName("h3"), {}})) ==
             "accepted");
  BOOST_REQUIRE(fleet.Operator(ReturnHost{HostName("h1")}).accepted);
  // A returning worker is not in service yet.
  BOOST_TEST(CodeOf(fleet.Operator(DrainHost{HostName("h2"), {}})) ==
             "budget_exceeded");
}

// Guards against moving a spare host away below the availability budget of the
// spare pool.
BOOST_AUTO_TEST_CASE(MoveKeepsTheBudgetOfTheSparePool) {
  Fleet fleet;
  BOOST_TEST(CodeOf(fleet.Control(MoveHost{
                 HostName("x1"), PoolName("p"), false, {}})) == "accepted");
  BOOST_TEST(fleet.host("x1").pool == PoolName("p"));
  BOOST_TEST(CodeOf(fleet.Control(
                 MoveHost{HostName("x2"), PoolName("p"), false, {}})) ==
             "budget_exceeded");
}

// Guards against a host changing its pool while tasks of the old one run.
BOOST_AUTO_TEST_CASE(HostMovesOnlyWhenDrained) {
  Fleet fleet;
  const MoveHost move{HostName("h1"), PoolName("r"), false, {}};
  BOOST_TEST(CodeOf(fleet.Operator(move)) == "conflict");
  BOOST_REQUIRE(fleet.Operator(DrainHost{HostName("h1"), {}}).accepted);
  BOOST_TEST(CodeOf(fleet.Operator(move)) == "conflict");
  BOOST_REQUIRE(fleet.Set("h1", HostState::kDrained).accepted);
  const FleetVersion assignment = fleet.host("h1").assignment;
  BOOST_TEST(CodeOf(fleet.Operator(move)) == "accepted");
  BOOST_TEST(fleet.host("h1").pool == PoolName("r"));
  BOOST_TEST(fleet.host("h1").assignment > assignment);
}

// Guards against a move with drain_first that stops before the host has been
// moved and returned to service.
BOOST_AUTO_TEST_CASE(CombinedMoveDrainsMovesAndReturns) {
  Fleet fleet;
  const HostName h1("h1");
  const auto step = [&] {
    return std::string(kMoveSteps.Name(fleet.state.NextMoveStep(h1)));
  };
  BOOST_TEST(step() == "none");
  BOOST_REQUIRE(fleet.Operator(MoveHost{h1, PoolName("r"), true, {}}).accepted);
  BOOST_TEST(step() == "wait");
  BOOST_REQUIRE(fleet.Set("h1", HostState::kDrained).accepted);
  BOOST_TEST(step() == "move");
  BOOST_REQUIRE(fleet.Control(MoveHost{h1, PoolName("r"), false, {}}).accepted);
  BOOST_TEST(step() == "return");
  BOOST_REQUIRE(fleet.Control(ReturnHost{h1}).accepted);
  BOOST_TEST(step() == "none");
  BOOST_REQUIRE(fleet.Set("h1", HostState::kActive).accepted);
  BOOST_TEST(fleet.state.drains().empty());
  BOOST_TEST(fleet.state.pending_moves().empty());
}

// Guards against an acknowledgement of an earlier drain completing a later one.
BOOST_AUTO_TEST_CASE(StaleObservationIsRefused) {
  Fleet fleet;
  BOOST_REQUIRE(fleet.Operator(DrainHost{HostName("h1"), {}}).accepted);
  const SetHostState drained{HostName("h1"), HostState::kDrained,
                             fleet.host("h1").assignment, 0};
  BOOST_REQUIRE(fleet.Operator(ReturnHost{HostName("h1")}).accepted);
  BOOST_REQUIRE(fleet.Operator(DrainHost{HostName("h1"), {}}).accepted);
  BOOST_TEST(CodeOf(fleet.Control(drained)) == "version_conflict");
}

struct Transition {
  HostState from;
  HostState to;
  bool drained;
  bool allowed;
};

std::ostream& operator<<(std::ostream& out, const Transition& transition) {
  return out << kHostStates.Name(transition.from) << " to "
             << kHostStates.Name(transition.to);
}

const Transition kTransitions[] = {
    {HostState::kActive, HostState::kDrained, false, false},
    {HostState::kActive, HostState::kLost, false, true},
    {HostState::kDraining, HostState::kActive, true, false},
    {HostState::kDraining, HostState::kDrained, true, true},
    {HostState::kDrained, HostState::kActive, true, false},
    {HostState::kRebooting, HostState::kActive, true, false},
    {HostState::kReturning, HostState::kActive, false, true},
    {HostState::kLost, HostState::kActive, true, false},
    {HostState::kLost, HostState::kActive, false, true},
    {HostState::kLost, HostState::kDrained, true, true},
    {HostState::kLost, HostState::kDrained, false, false},
};

// Guards against host state transitions that skip the drain or the return.
BOOST_DATA_TEST_CASE(HostStateTransition, kTransitions, transition) {
  BOOST_TEST(IsHostTransition(transition.from, transition.to,
                              transition.drained) == transition.allowed);
}

// Guards against forgetting a drain while its host is lost, and against not
// recording the time of the maintenance, from which the next one is due.
BOOST_AUTO_TEST_CASE(DrainSurvivesLossAndReboot) {
  Fleet fleet;
  BOOST_REQUIRE(fleet.Operator(DrainHost{HostName("h1"), {}}).accepted);
  BOOST_REQUIRE(fleet.Set("h1", HostState::kLost).accepted);
  BOOST_TEST(!fleet.Set("h1", HostState::kActive).accepted);
  BOOST_REQUIRE(fleet.Set("h1", HostState::kDrained).accepted);
  BOOST_REQUIRE(fleet.Set("h1", HostState::kRebooting).accepted);
  BOOST_REQUIRE(fleet.Set("h1", HostState::kReturning).accepted);
  BOOST_TEST(fleet.host("h1").maintained_at == 99);
  BOOST_TEST(fleet.state.drains().empty());
}

// Guards against a withdrawn key becoming valid again, in any order of
// commands.
BOOST_AUTO_TEST_CASE(WithdrawalIsPermanent) {
  Fleet fleet;
  const auto create = [&](const char* id) {
    return CodeOf(fleet.Operator(CreateKey{KeyId(id), TeamName("t"), kHash}));
  };
  BOOST_TEST(create("k1") == "accepted");
  BOOST_TEST(create("k1") == "duplicate_name");
  const FleetVersion stale = 0;
  const WithdrawKey both{{KeyId("k1"), KeyId("k2")}};
  BOOST_TEST(CodeOf(fleet.Submit({{OperationId("w"), "jana", stale}, both})) ==
             "version_conflict");
  BOOST_TEST(CodeOf(fleet.Submit({{OperationId("w2"), "jana", {}}, both})) ==
             "accepted");
  BOOST_TEST(!fleet.Control(both).changed);
  BOOST_TEST(create("k1") == "duplicate_name");
  BOOST_TEST(create("k2") == "duplicate_name");
  BOOST_TEST(fleet.state.Tombstones().size() == 2);
  // An entry host keeps a tombstone that is not in the log yet.
  FleetView view;
  view.keys[KeyId("k9")] = Key{.id = KeyId("k9"), .withdrawn = true};
  BOOST_REQUIRE(create("k9") == "accepted");
  BOOST_REQUIRE(ApplyDelta(fleet.state.DeltaSince(0), &view));
  BOOST_TEST(view.keys.at(KeyId("k9")).withdrawn);
  BOOST_REQUIRE(ApplyDelta(fleet.state.DeltaSince(1), &view));
  BOOST_TEST(view.keys.at(KeyId("k9")).withdrawn);
}

// Guards against keys of a removed team staying valid.
BOOST_AUTO_TEST_CASE(RemovedTeamLosesItsKeys) {
  Fleet fleet;
  BOOST_REQUIRE(
      fleet.Operator(CreateKey{KeyId("k"), TeamName("t"), kHash}).accepted);
  std::string text = Replaced(kSheet, "team,t,", "team,u,");
  text = Replaced(text, "queue,q,p,t,", "queue,q,p,u,");
  BOOST_TEST(CodeOf(fleet.Apply(text)) == "needs_confirmation");
  BOOST_TEST(!fleet.state.view().teams.contains(TeamName("u")));
  BOOST_TEST(CodeOf(fleet.Apply(text, true)) == "accepted");
  BOOST_TEST(fleet.state.view().keys.at(KeyId("k")).withdrawn);
}

// Guards against a sheet moving a host to another pool without a drain.
BOOST_AUTO_TEST_CASE(SheetMovesHostsByPendingMoves) {
  Fleet fleet;
  const std::string moved = Replaced(kSheet, "host,h1,p,", "host,h1,r,");
  BOOST_TEST(fleet.Apply(moved).changed);
  BOOST_TEST(fleet.host("h1").pool == PoolName("p"));
  BOOST_TEST(kMoveSteps.Name(fleet.state.NextMoveStep(HostName("h1"))) ==
             "drain");
  BOOST_TEST(!fleet.Apply(moved).changed);
  BOOST_TEST(fleet.Apply(kSheet).changed);
  BOOST_TEST(fleet.state.pending_moves().empty());
}

// Guards against a host being removed from the fleet while it has tasks.
BOOST_AUTO_TEST_CASE(RemovedRowRemovesOnlyDrainedHosts) {
  Fleet fleet;
  const std::string row = "host,h1,p,,za,r1,,,,,,\n";
  const std::string without = Replaced(kSheet, row, "");
  BOOST_TEST(!fleet.Apply(without).changed);
  BOOST_REQUIRE(fleet.Operator(DrainHost{HostName("h1"), {}}).accepted);
  BOOST_REQUIRE(fleet.Set("h1", HostState::kDrained).accepted);
  BOOST_TEST(fleet.Apply(without).changed);
  BOOST_TEST(!fleet.state.view().hosts.contains(HostName("h1")));
  BOOST_TEST(fleet.state.drains().empty());
  // Its worker registers again.
  const RegisterHost registration{HostName("h1"), ZoneName("za"),
                                  RackName("r1")};
  BOOST_TEST(fleet.Control(registration).changed);
  BOOST_TEST(fleet.host("h1").pool == PoolName("s"));
  BOOST_TEST(!fleet.Control(registration).changed);
}

// Guards against an invalid sheet being applied in part.
BOOST_AUTO_TEST_CASE(FaultySheetChangesNothing) {
  Fleet fleet;
  const auto before = WriteJson(ToJson(fleet.state.view()));
  ApplySheet body;
  body.sheet.teams.push_back({Team{.name = TeamName("u")}, {}});
  BOOST_TEST(CodeOf(fleet.Operator(body)) == "invalid_sheet");
  BOOST_TEST(WriteJson(ToJson(fleet.state.view())) == before);
}

struct BadCommand {
  const char* text;
  const char* code;
};

std::ostream& operator<<(std::ostream& out, const BadCommand& bad) {
  return out << bad.text;
}

const BadCommand kBadCommands[] = {
    {"{", "invalid_json"},
    {"[]", "invalid_field"},
    {"{}", "missing_field"},
    {R"({"command":"reboot"})", "invalid_field"},
    {R"({"command":"drain_host"})", "missing_field"},
    {R"({"command":"drain_host","host":"a b"})", "invalid_field"},
    {R"({"command":"drain_host","host":"h1","lost":[1]})", "invalid_field"},
    {R"({"command":"drain_host","host":"h1","lost":{}})", "invalid_field"},
    {R"({"command":"drain_host","host":"h9"})", "unknown_name"},
    {R"({"command":"move_host","host":"h1","pool":"z"})", "unknown_name"},
    {R"({"command":"create_key","id":"k","team":"t","secret_hash":"x"})",
     "invalid_field"},
    {R"({"command":"declare_entry_lost","entry":"e"})", "missing_field"},
    {R"({"command":"drain_host","host":"h1","operation_id":"o"})",
     "missing_field"},
    {R"({"command":"drain_host","host":"h1","operation_id":"o","operator":"i"})",
     "missing_field"},
    {R"({"command":"register_host","host":"h","zone":"z","rack":"r",)"
     R"("operation_id":"o","operator":"i","expected_version":1})",
     "unauthorized"},
    {R"({"command":"change_allotments","changes":[{"entry":"e",)"
     R"("incarnation":"i","deltas":{"t":1e9}}]})",
     "invalid_field"},
};

// Guards against a malformed or unauthorised command having an effect.
BOOST_DATA_TEST_CASE(BadCommandIsRefused, kBadCommands, bad) {
  Fleet fleet;
  const auto before = WriteJson(ToJson(fleet.state.view()));
  const auto result = fleet.state.Apply(++fleet.index, bad.text);
  BOOST_TEST(CodeOf(result) == bad.code);
  BOOST_TEST(WriteJson(ToJson(fleet.state.view())) == before);
}

// Guards against a JSON parser that, after an error of too deep nesting, fails
// on all further input.
BOOST_AUTO_TEST_CASE(CommandAfterADeepOneIsRead) {
  Fleet fleet;
  const std::string deep = std::string(100'000, '[');
  BOOST_TEST(CodeOf(fleet.state.Apply(++fleet.index, deep)) == "invalid_json");
  BOOST_TEST(CodeOf(fleet.Operator(DrainHost{HostName("h1"), {}})) ==
             "accepted");
}

// Guards against deltas that omit a removal or a change, or that move a view
// back to an older version.
BOOST_AUTO_TEST_CASE(DeltaLeadsToTheSameView) {
  Fleet fleet;
  FleetView view;
  BOOST_REQUIRE(ApplyDelta(fleet.state.DeltaSince(0), &view));
  const auto old_delta = fleet.state.DeltaSince(view.version);
  std::string text = Replaced(kSheet, "queue,q,p,t,", "queue,q2,p,t,");
  text = Replaced(text, "pool,r,,,,,,,0,no,,\n", "");
  BOOST_REQUIRE(fleet.Apply(text).accepted);
  BOOST_REQUIRE(fleet.Operator(DrainHost{HostName("h1"), {}}).accepted);
  const auto delta = fleet.state.DeltaSince(view.version);
  BOOST_TEST(!delta.full);
  BOOST_TEST(delta.changed.hosts.size() == 1);
  const auto decoded = FleetDeltaFromJson(ToJson(delta));
  BOOST_REQUIRE(decoded);
  BOOST_REQUIRE(ApplyDelta(decoded.value(), &view));
  BOOST_TEST(WriteJson(ToJson(view)) == WriteJson(ToJson(fleet.state.view())));
  BOOST_TEST(!ApplyDelta(old_delta, &view));
  FleetView behind;
  behind.version = delta.from - 1;
  BOOST_TEST(!ApplyDelta(delta, &behind));
}

// Guards against an entry host that lags far behind missing a removal.
BOOST_AUTO_TEST_CASE(LongAbsenceGetsTheWholeView) {
  Fleet fleet;
  const FleetVersion old_version = fleet.state.version();
  for (std::size_t i = 0; i <= kMaxRemovals / 2; ++i) {
    BOOST_REQUIRE(
        fleet.Apply(Replaced(kSheet, "queue,q,", "queue,q2,")).accepted);
    BOOST_REQUIRE(fleet.Apply(kSheet).accepted);
  }
  BOOST_TEST(fleet.state.DeltaSince(old_version).full);
  BOOST_TEST(!fleet.state.DeltaSince(fleet.state.version() - 1).full);
}

// Guards against applying a log entry twice after a restart.
BOOST_AUTO_TEST_CASE(OldIndexIsRefusedAndReported) {
  Fleet fleet;
  int violations = 0;
  SetInvariantHandler([&](Invariant invariant, std::string_view /*detail*/) {
    violations += invariant == Invariant::kConfiguration;
  });
  const std::string bytes = EncodeCommand({{}, DrainHost{HostName("h1"), {}}});
  BOOST_TEST(CodeOf(fleet.state.Apply(fleet.index, bytes)) == "conflict");
  BOOST_TEST(violations == 1);
  BOOST_TEST(fleet.state.drains().empty());
}

// Guards against a replica that differs after a restart, and against restoring
// a corrupted snapshot.
BOOST_AUTO_TEST_CASE(SnapshotRestoresTheSameState) {
  Fleet fleet;
  BOOST_REQUIRE(
      fleet.Operator(CreateKey{KeyId("k"), TeamName("t"), kHash}).accepted);
  BOOST_REQUIRE(
      fleet.Operator(MoveHost{HostName("h1"), PoolName("r"), true, {}})
          .accepted);
  const auto restored = FleetState::Restore(fleet.state.Snapshot());
  BOOST_REQUIRE(restored);
  BOOST_TEST(restored.value().Snapshot() == fleet.state.Snapshot());
  BOOST_TEST(restored.value().hash() == fleet.state.hash());
  BOOST_TEST(!FleetState::Restore("{}"));
  BOOST_TEST(!FleetState::Restore(fleet.state.Snapshot().substr(1)));
  BOOST_TEST(!FleetState::Restore(Replaced(fleet.state.Snapshot(),
                                           "\"state\":\"draining\"",
                                           "\"state\":\"asleep\"")));
}

}  // namespace
}  // namespace boragewinch
