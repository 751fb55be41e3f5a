#define BOOST_TEST_MODULE fleet_random
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iostream>
#include <set>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "base/invariant.h"
#include "fleet/allotment_planner.h"
#include "fleet/fleet_state.h"
#include "fleet/reclaim_planner.h"
#include "model/worker_types.h"
#include "random_seeds.h"

namespace boragewinch {
namespace {

constexpr int kSteps = 2'000;
constexpr int kPools = 3;
constexpr int kTeams = 3;
constexpr int kHosts = 14;
constexpr int kKeys = 40;
constexpr int kEntries = 4;

void FailOnViolation(Invariant invariant, std::string_view detail) {
  BOOST_FAIL("invariant " << kInvariants.Name(invariant) << ": " << detail);
}

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  /// \returns a number from 0 to `bound` - 1.
  [[nodiscard]] int Below(int bound) {
    return boost::random::uniform_int_distribution<int>(0, bound - 1)(engine_);
  }
  [[nodiscard]] bool OneIn(int n) { return Below(n) == 0; }
  template <typename Id>
  [[nodiscard]] Id Name(const char* prefix, int bound) {
    return Id(prefix + std::to_string(Below(bound)));
  }

 private:
  boost::random::mt19937_64 engine_;
};

/// Replaces BOOST_REQUIRE, which costs about a microsecond even on success.
#define REQUIRE_FAST(condition)                 \
  do {                                          \
    if (!(condition))                           \
      BOOST_REQUIRE_MESSAGE(false, #condition); \
  } while (false)

/// Runs `body(random)` for every seed; a failure names its seed.
template <typename Body>
void ForEachSeed(const char* what, Body body) {
  const auto runs = FromEnvironment("BORAGEWINCH_RANDOM_RUNS", 100);
  const auto base = FromEnvironment("BORAGEWINCH_RANDOM_SEED", 1);
  std::cout << what << ": seeds " << base << " to " << base + runs - 1 << ", "
            << kSteps << " steps each\n";
  SetInvariantHandler(FailOnViolation);
  for (std::uint64_t seed = base; seed < base + runs; ++seed) {
    BOOST_TEST_CONTEXT(
        "BORAGEWINCH_RANDOM_RUNS=1 BORAGEWINCH_RANDOM_SEED=" << seed) {
      Random random(seed);
      body(random);
    }
  }
}

[[nodiscard]] Sheet RandomSheet(Random& random) {
  Sheet sheet;
  sheet.pools.push_back({Pool{.name = PoolName("spare"), .spare = true}});
  for (int i = 0; i < kPools; ++i) {
    Pool pool{.name = PoolName("p" + std::to_string(i))};
    pool.min_available = random.Below(3);
    sheet.pools.push_back({pool});
  }
  for (int i = 0; i < kTeams; ++i) {
    if (i > 0 && random.OneIn(6))
      continue;
    Team team{.name = TeamName("t" + std::to_string(i))};
    team.limit = random.Below(30);
    sheet.teams.push_back({team});
  }
  Queue queue{.name = random.Name<QueueName>("q", 3), .pool = PoolName("p0")};
  queue.team = TeamName("t0");
  queue.open = random.OneIn(2);
  sheet.queues.push_back({queue});
  if (random.OneIn(3))
    return sheet;
  for (int i = 0; i < kHosts; ++i) {
    if (random.OneIn(8))
      continue;
    Host host{.name = HostName("h" + std::to_string(i))};
    host.pool =
        sheet.pools[(i + random.Below(8) / 7) % (kPools + 1)].value.name;
    host.zone = ZoneName("za");
    host.rack = RackName("r" + std::to_string(i / 4));
    sheet.hosts.push_back({host});
  }
  return sheet;
}

/// Generates random commands of every kind, most of them valid in `state`.
class CommandSource {
 public:
  CommandSource(Random* random, const FleetState* state)
      : random_(*random), state_(*state) {}

  [[nodiscard]] Command Next() {
    // Simulates a lost response: the operator resends a command.
    if (!sent_.empty() && random_.OneIn(10))
      return sent_[random_.Below(static_cast<int>(sent_.size()))];
    Command command{{}, Body()};
    const bool operators_only =
        std::holds_alternative<ApplySheet>(command.body) ||
        std::holds_alternative<CreateKey>(command.body) ||
        std::holds_alternative<DeclareEntryLost>(command.body);
    const bool of_operator = IsOperatorCommand(command.body);
    if (operators_only || (of_operator && random_.OneIn(2))) {
      command.call = {OperationId("o" + std::to_string(++operations_)), "ivan",
                      state_.version()};
      // Simulates concurrent operators: the expected version may be stale.
      if (random_.OneIn(4) && state_.version() > 2)
        command.call.expected_version = state_.version() - random_.Below(3);
      sent_.push_back(command);
    }
    return command;
  }

 private:
  [[nodiscard]] HostName SomeHost() {
    return random_.Name<HostName>("h", kHosts + 1);
  }
  [[nodiscard]] PoolName SomePool() {
    return random_.OneIn(4) ? PoolName("spare")
                            : random_.Name<PoolName>("p", kPools);
  }
  [[nodiscard]] EntryRun SomeRun() {
    return {random_.Name<EntryName>("e", kEntries),
            random_.Name<Incarnation>("i", 1 + operations_ / 20)};
  }
  [[nodiscard]] EntryRun KnownRun() {
    const EntryRun run = SomeRun();
    const auto it = state_.ledger().entries.find(run.entry);
    return it == state_.ledger().entries.end()
               ? run
               : EntryRun{run.entry, it->second.incarnation};
  }
  [[nodiscard]] std::set<HostName> Lost() {
    std::set<HostName> lost;
    while (random_.OneIn(3))
      lost.insert(SomeHost());
    return lost;
  }
  [[nodiscard]] std::vector<AllotmentTransfer> Transfers() {
    std::vector<AllotmentTransfer> transfers;
    while (random_.OneIn(2)) {
      transfers.push_back(
          {KnownRun(), random_.Name<TeamName>("t", kTeams), random_.Below(5)});
    }
    return transfers;
  }

  [[nodiscard]] CommandBody Body() {
    const auto& reserved = state_.ledger().reserved;
    switch (random_.Below(16)) {
      case 0:
        // Rare: applying a sheet takes as much time as ten other commands.
        if (operations_ > 0 && !random_.OneIn(5))
          return WithdrawKey{{random_.Name<KeyId>("k", kKeys)}};
        return ApplySheet{RandomSheet(random_), !random_.OneIn(3), {}};
      case 1:
        return CreateKey{random_.Name<KeyId>("k", kKeys),
                         random_.Name<TeamName>("t", kTeams),
                         std::string(64, 'a')};
      case 2:
      case 3:
      case 4:
        return DrainHost{SomeHost(), Lost()};
      case 5:
        return ReturnHost{SomeHost()};
      case 6:
        return MoveHost{SomeHost(), SomePool(), random_.OneIn(2), Lost()};
      case 7:
      case 8:
      case 9: {
        SetHostState set{SomeHost()};
        set.state = kHostStates.entries[random_.Below(6)].first;
        const auto it = state_.view().hosts.find(set.host);
        if (it != state_.view().hosts.end())
          set.assignment = it->second.assignment - random_.Below(8) / 7;
        return set;
      }
      case 10:
        return RegisterHost{SomeHost(), ZoneName("zb"), RackName("r")};
      case 11: {
        const EntryRun run = SomeRun();
        return RegisterEntry{run.entry, ZoneName("za"), run.incarnation,
                             "127.0.0.1:1", "127.0.0.1:2"};
      }
      case 12:
        if (random_.OneIn(4))
          return DeclareEntryLost{SomeRun().entry, Transfers()};
        if (random_.OneIn(3))
          return RetireEntry{KnownRun(), Transfers()};
        return ReclaimEntry{
            reserved.empty() ? SomeRun() : reserved.begin()->first,
            Transfers()};
      default: {
        ChangeAllotments changes;
        for (int i = 1 + random_.Below(3); i > 0; --i) {
          AllotmentChange change{KnownRun()};
          const auto it = state_.ledger().entries.find(change.run.entry);
          if (it != state_.ledger().entries.end())
            change.allotment_version =
                it->second.allotment_version - random_.Below(8) / 7;
          change.deltas[random_.Name<TeamName>("t", kTeams)] =
              random_.Below(20) - 8;
          changes.changes.push_back(std::move(change));
        }
        return changes;
      }
    }
  }

  Random& random_;
  const FleetState& state_;
  std::vector<Command> sent_;
  int operations_ = 0;
};

/// Test oracle: checks the state before and after each command independently of
/// the code under test.
class TransitionChecker {
 public:
  explicit TransitionChecker(const FleetState* state) : state_(*state) {}

  void Before(const Command& command) {
    // Copying only after a change reduces the run time by a third.
    if (version_ != state_.version())
      hosts_ = state_.view().hosts;
    version_ = state_.version();
    if (ledger_version_ != state_.ledger().version)
      totals_ = state_.ledger().Totals();
    ledger_version_ = state_.ledger().version;
    lost_.clear();
    if (const auto* drain = std::get_if<DrainHost>(&command.body))
      lost_ = drain->lost;
    if (const auto* move = std::get_if<MoveHost>(&command.body))
      lost_ = move->lost;
  }

  void After(const Command& command, const CommandResult& result) {
    const FleetView& view = state_.view();
    REQUIRE_FAST(view.version >= version_);
    REQUIRE_FAST(view.version <= version_ + 1);
    const bool observed = std::holds_alternative<SetHostState>(command.body);
    const bool sheet = std::holds_alternative<ApplySheet>(command.body);
    for (const auto& [name, pool] : view.pools) {
      const auto before = Available(hosts_, name);
      const auto after = Available(view.hosts, name);
      if (after < before && !observed && !sheet)
        REQUIRE_FAST(after >= pool.min_available);
    }
    for (const auto& [name, host] : view.hosts) {
      REQUIRE_FAST(view.pools.contains(host.pool));
      const auto old = hosts_.find(name);
      if (old == hosts_.end() || old->second.pool == host.pool)
        continue;
      REQUIRE_FAST((old->second.state == HostState::kDrained ||
                    old->second.pool == PoolName("spare")));
      REQUIRE_FAST(host.assignment > old->second.assignment);
      REQUIRE_FAST(host.state != HostState::kActive);
    }
    for (const auto& [team, total] : state_.ledger().Totals()) {
      const auto limit = view.teams.find(team);
      const auto most =
          std::max(limit == view.teams.end() ? 0 : limit->second.limit,
                   totals_.contains(team) ? totals_[team] : 0);
      REQUIRE_FAST(total <= most);
    }
    CheckKeys(command, result);
    CheckOperator(command, result);
  }

 private:
  [[nodiscard]] std::int64_t Available(const std::map<HostName, Host>& hosts,
                                       const PoolName& pool) const {
    std::int64_t count = 0;
    for (const auto& [name, host] : hosts) {
      count += host.pool == pool && host.state == HostState::kActive &&
               !lost_.contains(name);
    }
    return count;
  }

  void CheckKeys(const Command& command, const CommandResult& result) {
    if (const auto* body = std::get_if<WithdrawKey>(&command.body);
        body && result.accepted) {
      withdrawn_.insert(body->ids.begin(), body->ids.end());
    }
    for (const KeyId& id : withdrawn_)
      REQUIRE_FAST(state_.view().keys.at(id).withdrawn);
  }

  void CheckOperator(const Command& command, const CommandResult& result) {
    if (!command.from_operator())
      return;
    const auto [first, is_new] =
        first_results_.emplace(command.call.operation_id, result);
    REQUIRE_FAST(result.resent == !is_new);
    REQUIRE_FAST(result.accepted == first->second.accepted);
    REQUIRE_FAST(result.version == first->second.version);
    REQUIRE_FAST(result.index == first->second.index);
    if (!is_new) {
      REQUIRE_FAST(state_.version() == version_);
      return;
    }
    if (result.accepted && command.call.expected_version)
      REQUIRE_FAST(*command.call.expected_version >= last_operator_change_);
    if (result.changed)
      last_operator_change_ = result.version;
  }

  const FleetState& state_;
  std::map<HostName, Host> hosts_;
  FleetVersion version_ = 0;
  std::uint64_t ledger_version_ = 0;
  TeamCounts totals_;
  std::set<HostName> lost_;
  std::set<KeyId> withdrawn_;
  std::map<OperationId, CommandResult> first_results_;
  FleetVersion last_operator_change_ = 0;
};

// Guards against a sequence of concurrent, resent, stale and invalid commands
// that breaks an invariant, makes replicas diverge, or makes the view of an
// entry host that applies deltas diverge.
BOOST_AUTO_TEST_CASE(RandomCommandsKeepTheInvariants) {
  ForEachSeed("random commands", [](Random& random) {
    FleetState state;
    FleetState replica;
    FleetView follower;
    CommandSource source(&random, &state);
    TransitionChecker checker(&state);
    // Step at which the replica installs a snapshot; 0 for none.
    const int restore_at = random.OneIn(5) ? 0 : random.Below(kSteps);
    for (int step = 1; step <= kSteps; ++step) {
      const Command command = source.Next();
      const std::string bytes = EncodeCommand(command);
      checker.Before(command);
      checker.After(command, state.Apply(step, bytes));
      if (step > restore_at)
        replica.Apply(step, bytes);
      if (step == restore_at) {
        const std::string snapshot = state.Snapshot();
        auto restored = FleetState::Restore(snapshot);
        REQUIRE_FAST(restored);
        replica = std::move(restored).value();
        REQUIRE_FAST(replica.Snapshot() == snapshot);
      }
      if (random.OneIn(100)) {
        const auto delta =
            FleetDeltaFromJson(ToJson(state.DeltaSince(follower.version)));
        REQUIRE_FAST(delta);
        REQUIRE_FAST(ApplyDelta(delta.value(), &follower));
        REQUIRE_FAST(WriteJson(ToJson(follower)) ==
                     WriteJson(ToJson(state.view())));
      }
    }
    REQUIRE_FAST(replica.hash() == state.hash());
  });
}

/// Simulates entry hosts in two zones that start, renew and take over tasks of
/// one team by the rules of docs/design.md 4.3. Injects crashes and restarts,
/// partitions of entry hosts and zones, leader changes and new limits.
class TaskSimulation {
 public:
  explicit TaskSimulation(Random* random) : random_(*random) {
    SetLimit(20);
    for (int i = 0; i < 5; ++i) {
      procs_.push_back(
          {EntryName("e" + std::to_string(i)), ZoneName(i < 3 ? "za" : "zb")});
      Restart(&procs_.back());
    }
  }

  void Step() {
    now_ += Millis(500);
    InjectFaults();
    for (Proc& proc : procs_) {
      if (Active(proc)) {
        Gossip(&proc);
        TakeOver(&proc);
      }
    }
    for (Proc& proc : procs_) {
      if (Active(proc) && !zone_cut_[proc.zone])
        Sync(&proc);
    }
    RunLeader();
    RunTasks();
    // The sum of the allotments bounds the number of running tasks.
    REQUIRE_FAST(static_cast<std::int64_t>(tasks_.size()) <=
                 state_.ledger().Total(kTeam));
  }

  [[nodiscard]] int started() const { return started_; }
  [[nodiscard]] int reclaimed() const { return reclaimed_; }
  [[nodiscard]] int transferred() const { return transferred_; }

 private:
  struct Proc {
    EntryName name;
    ZoneName zone;
    EntryRun run;
    bool alive = false;
    bool cut = false;  ///< neither peers nor leader are reachable
    /// Isolated: starts no tasks and renews no leases. Only a response of the
    /// leader ends this: a peer that restarted doesn't know that this run may
    /// have been fenced and reclaimed.
    bool stopped = false;
    TimePoint last_response;
    std::uint64_t version = 0;
    std::int64_t allotment = 0;
    std::int64_t offered = 0;
    std::int64_t wanted = 0;
    std::map<EntryRun, TimePoint> last_message;
    std::set<EntryRun> fenced;
  };
  struct Task {
    EntryRun charged_run;  ///< run whose allotment covers the task
    EntryRun renewer;
    EntryRun backup;
    TimePoint lease_end;
    /// Runs that started the task or took it over. Each counts it until its
    /// end, since a partitioned run doesn't know who renews its lease.
    std::set<EntryRun> counted_by;
  };

  inline static const TeamName kTeam{"t"};
  static constexpr Millis kOwnerTimeout{3'000};

  CommandResult Submit(CommandBody body, OperatorCall call = {}) {
    return state_.Apply(++index_,
                        EncodeCommand({std::move(call), std::move(body)}));
  }
  void SetLimit(std::int64_t limit) {
    ApplySheet body;
    body.allow_lowering = true;
    body.sheet.pools.push_back({Pool{.name = PoolName("s"), .spare = true}});
    body.sheet.teams.push_back({Team{.name = kTeam, .limit = limit}});
    REQUIRE_FAST(Submit(body, {OperationId("o" + std::to_string(index_)),
                               "ivan", state_.version()})
                     .accepted);
  }
  void Restart(Proc* proc) {
    const Proc old = *proc;
    *proc = {old.name, old.zone};
    proc->run = {old.name, Incarnation("i" + std::to_string(++runs_))};
    proc->alive = true;
    proc->last_response = now_;
  }
  [[nodiscard]] static bool Active(const Proc& proc) {
    return proc.alive && !proc.cut;
  }
  [[nodiscard]] bool Isolated(const Proc& proc) const {
    return now_ - proc.last_response >= kIsolationBound;
  }
  [[nodiscard]] std::int64_t Running(const Proc& proc) const {
    return std::count_if(tasks_.begin(), tasks_.end(), [&](const Task& task) {
      return task.counted_by.contains(proc.run);
    });
  }
  [[nodiscard]] EntryRun BackupFor(const Proc& proc) const {
    for (const Proc& peer : procs_) {
      if (Active(proc) && Active(peer) && peer.zone == proc.zone &&
          peer.name != proc.name) {
        return peer.run;
      }
    }
    return {};
  }

  void InjectFaults() {
    for (Proc& proc : procs_) {
      if (!proc.alive && random_.OneIn(20))
        Restart(&proc);
      else if (proc.alive && random_.OneIn(300))
        proc.alive = false;
      if (random_.OneIn(proc.cut ? 100 : 300))
        proc.cut = !proc.cut;
    }
    for (const char* zone : {"za", "zb"}) {
      bool& cut = zone_cut_[ZoneName(zone)];
      if (random_.OneIn(cut ? 50 : 400))
        cut = !cut;
    }
    if (random_.OneIn(300))
      SetLimit(random_.Below(40));
    if (random_.OneIn(300)) {
      reclaims_ = ReclaimPlanner(now_);
      allotments_ = AllotmentPlanner();
    }
  }

  void Gossip(Proc* proc) {
    for (Proc& peer : procs_) {
      if (!Active(peer) || peer.zone != proc->zone || peer.name == proc->name)
        continue;
      if (peer.fenced.contains(proc->run)) {
        proc->alive = false;
        return;
      }
      peer.last_message[proc->run] = now_;
      proc->last_response = now_;
    }
  }

  void TakeOver(Proc* proc) {
    for (const auto& [run, last_message] : proc->last_message) {
      if (!proc->alive || now_ - last_message < kOwnerTimeout ||
          !proc->fenced.insert(run).second) {
        continue;
      }
      for (Task& task : tasks_) {
        if (task.renewer == run && task.backup == proc->run) {
          task.renewer = proc->run;
          task.counted_by.insert(proc->run);
          task.backup = BackupFor(*proc);
        }
      }
    }
  }

  void Sync(Proc* proc) {
    auto entry = state_.ledger().entries.find(proc->name);
    if (entry == state_.ledger().entries.end() ||
        entry->second.incarnation != proc->run.incarnation) {
      if (!Submit(RegisterEntry{proc->name, proc->zone, proc->run.incarnation,
                                "a:1", "a:2"})
               .accepted) {
        proc->alive = false;
        return;
      }
      entry = state_.ledger().entries.find(proc->name);
    }
    proc->last_response = now_;
    proc->stopped = false;
    if (proc->version != entry->second.allotment_version) {
      proc->version = entry->second.allotment_version;
      const auto counts = entry->second.allotment.find(kTeam);
      proc->allotment =
          counts == entry->second.allotment.end() ? 0 : counts->second;
      proc->offered = 0;
    }
    const auto cap = caps_.find(proc->name);
    if (cap != caps_.end() && proc->offered == 0) {
      proc->offered = std::max<std::int64_t>(
          0, proc->allotment - std::max(Running(*proc), cap->second[kTeam]));
    }
    EntryReport report{proc->run, proc->version};
    report.running[kTeam] = Running(*proc);
    report.wanted[kTeam] = proc->wanted;
    report.returned[kTeam] = proc->offered;
    std::map<EntryRun, UnresponsiveRun> unresponsive;
    for (const EntryRun& run : proc->fenced) {
      unresponsive[run].unresponsive_for = now_ - proc->last_message.at(run);
      unresponsive[run].fenced = true;
    }
    for (const Task& task : tasks_) {
      if (task.renewer == proc->run && task.charged_run != proc->run)
        ++unresponsive[task.charged_run].taken_over[kTeam];
    }
    for (auto& [run, peer] : unresponsive) {
      peer.run = run;
      report.unresponsive_peers.push_back(peer);
    }
    reclaims_.Observe(report, now_);
    allotments_.Observe(report, now_);
  }

  void RunLeader() {
    for (const ReclaimEntry& reclaim : reclaims_.Plan(state_.ledger(), now_)) {
      REQUIRE_FAST(Submit(reclaim).accepted);
      ++reclaimed_;
      for (const AllotmentTransfer& transfer : reclaim.transfers) {
        transferred_ += static_cast<int>(transfer.count);
        for (Task& task : tasks_) {
          if (task.charged_run == reclaim.run && task.renewer == transfer.to)
            task.charged_run = transfer.to;
        }
      }
    }
    AllotmentPlan plan =
        allotments_.Plan(state_.view().teams, state_.ledger(), now_);
    caps_ = std::move(plan.caps);
    if (!plan.command.changes.empty())
      Submit(std::move(plan.command));
  }

  void RunTasks() {
    std::erase_if(tasks_, [&](const Task& task) {
      return now_ >= task.lease_end || random_.OneIn(60);
    });
    for (Proc& proc : procs_) {
      proc.stopped = proc.stopped || Isolated(proc);
      if (!proc.alive || proc.stopped)
        continue;
      for (Task& task : tasks_) {
        if (task.renewer == proc.run)
          task.lease_end = now_ + kTaskLease;
      }
      // The demand alternates between spikes and almost zero.
      if (random_.OneIn(10))
        proc.wanted = random_.OneIn(2) ? 0 : random_.Below(25);
      for (std::int64_t available =
               proc.allotment - proc.offered - Running(proc);
           available > 0 && proc.wanted > 0; --available) {
        tasks_.push_back({proc.run,
                          proc.run,
                          BackupFor(proc),
                          now_ + kTaskLease,
                          {proc.run}});
        --proc.wanted;
        ++started_;
      }
    }
  }

  Random& random_;
  TimePoint now_ = FromMillis(1'000'000);
  FleetState state_;
  std::uint64_t index_ = 0;
  int runs_ = 0;
  std::vector<Proc> procs_;
  std::map<ZoneName, bool> zone_cut_;
  std::vector<Task> tasks_;
  std::map<EntryName, TeamCounts> caps_;
  ReclaimPlanner reclaims_{now_};
  AllotmentPlanner allotments_;
  int started_ = 0;
  int reclaimed_ = 0;
  int transferred_ = 0;
};

// Guards against running tasks without an allotment, which could exceed a team
// limit, and against units that are never reclaimed.
BOOST_AUTO_TEST_CASE(AllotmentsCoverEveryRunningTask) {
  int started = 0;
  int reclaimed = 0;
  int transferred = 0;
  ForEachSeed("allotments", [&](Random& random) {
    TaskSimulation simulation(&random);
    for (int step = 0; step < kSteps; ++step)
      simulation.Step();
    started += simulation.started();
    reclaimed += simulation.reclaimed();
    transferred += simulation.transferred();
  });
  std::cout << started << " tasks started, " << reclaimed
            << " allotments reclaimed, " << transferred
            << " units moved to peers\n";
  BOOST_TEST(started > 0);
  BOOST_TEST(reclaimed > 0);
  BOOST_TEST(transferred > 0);
}

}  // namespace
}  // namespace boragewinch
