#define BOOST_TEST_MODULE raft_random
#include <boost/test/unit_test.hpp>

#include <iostream>

#include <log4cxx/logger.h>

#include "base/invariant.h"
#include "raft_cluster.h"
#include "random_seeds.h"

namespace boragewinch::raft {
namespace {

constexpr int kSteps = 2000;
constexpr Millis kRecoveryLimit{120'000};

struct Totals {
  std::uint64_t elections = 0;
  std::uint64_t commands = 0;
  std::uint64_t crashes = 0;
  std::uint64_t lost_disks = 0;
  std::uint64_t failed_disks = 0;
  std::uint64_t freezes = 0;
  std::uint64_t member_changes = 0;
  std::uint64_t confirmed = 0;
};

/// One run: random faults for kSteps, then recovery, then a comparison of all
/// replicas with every command that was ever applied.
class RandomRun {
 public:
  RandomRun(std::uint64_t seed, Totals* totals)
      : cluster_(seed % 2 == 0 ? 3 : 5, seed), totals_(totals) {
    ReplicaOptions& options = cluster_.options;
    options.node.election_timeout = Millis(200);
    options.node.heartbeat_interval = Millis(40);
    options.join_interval = Millis(200);
    options.node.max_batch_entries = 4;
    options.node.max_batch_bytes = 64;
    options.node.snapshot_chunk_bytes = 100;
    options.node.announce_commits = seed % 4 < 2;
    options.log.segment_bytes = 400;
    options.snapshot_entries = 20;
    options.max_apply_batch = 3;
    options.retain_entries = 5;
    cluster_.on_violation = [this](const std::string& text) {
      violations.push_back(text);
    };
    cluster_.network = [this](const Cluster::Sent& sent) {
      return Deliver(sent);
    };
  }

  std::vector<std::string> violations;

  void Execute() {
    for (const auto& host : cluster_.hosts)
      Start(*host);
    // The fault rate differs between runs: some clusters are mostly healthy,
    // others hardly ever.
    const std::uint64_t fault_interval = 8 + Pick(60);
    for (int step = 0; step < kSteps && violations.empty(); ++step) {
      cluster_.Step(Millis(1 + Pick(30)));
      if (Pick(2) == 0)
        Propose();
      if (Pick(fault_interval) == 0)
        InjectFault();
      if (Pick(10) == 0)
        Repair();
      CheckReads();
      if (cluster_.LeaseHolders() > 1)
        violations.push_back("two replicas hold a leader lease");
      for (const auto& host : cluster_.hosts) {
        const bool restart = hosts_to_restart_.erase(host->name) > 0;
        if (host->replica && (restart || host->disk.fail_after_changes == 0))
          Crash(*host);
        if (restart && !host->replica)
          Start(*host);
      }
    }
    if (violations.empty())
      EndFaults();
    totals_->elections += cluster_.elections;
    totals_->commands += cluster_.applied.size();
  }

 private:
  std::uint64_t Pick(std::uint64_t count) { return cluster_.Random() % count; }
  Cluster::Host& AnyHost() {
    return *cluster_.hosts[Pick(cluster_.hosts.size())];
  }

  std::vector<Millis> Deliver(const Cluster::Sent& sent) {
    if (faults_ended_)
      return {Millis(1 + Pick(3))};
    // Restarts voters right after a vote, when a lost vote would do harm.
    if (sent.message.kind == MessageKind::kVoteReply && sent.message.granted &&
        Pick(4) == 0) {
      hosts_to_restart_.insert(sent.from_host);
    }
    if (blocked_links_.count({sent.from_host, sent.to_host}) > 0 ||
        Pick(100) < loss_percent_)
      return {};
    std::vector<Millis> times;
    for (std::uint64_t copies = Pick(20) == 0 ? 2 : 1; copies > 0; --copies)
      times.emplace_back(Pick(10) == 0 ? Pick(2000) : 1 + Pick(20));
    return times;
  }

  void Start(Cluster::Host& host) {
    host.disk.fail_sync = false;
    host.disk.capacity = SIZE_MAX;
    host.disk.max_append = Pick(4) == 0 ? 7 : SIZE_MAX;
    if (!faults_ended_ && Pick(8) == 0)
      host.disk.fail_after_changes = Pick(40);
    const Status started = cluster_.Start(host);
    if (started)
      return;
    if (host.disk.fail_after_changes == 0)
      Crash(host);
    else
      violations.push_back(host.name + ": " + started.error().Text());
  }

  void Crash(Cluster::Host& host) {
    cluster_.Crash(host);
    ++totals_->crashes;
  }

  void Propose() {
    Cluster::Host& host = AnyHost();
    if (!host.replica || host.frozen)
      return;
    (void)host.replica->Propose("c" + std::to_string(++proposed_),
                                cluster_.now);
  }

  void InjectFault() {
    Cluster::Host& host = AnyHost();
    switch (Pick(15)) {
      case 10:
        // An immediate restart.
        if (host.replica) {
          Crash(host);
          Start(host);
        }
        break;
      case 0:
        // The process dies during one of its next writes.
        host.disk.fail_after_changes = Pick(16);
        break;
      case 1:
        host.frozen = host.replica != nullptr;
        totals_->freezes += host.frozen ? 1 : 0;
        break;
      case 2:
        loss_percent_ = Pick(40);
        break;
      case 3:
        blocked_links_.emplace(host.name, AnyHost().name);
        break;
      case 4:
        Partition();
        break;
      case 5:
        if (Pick(2) == 0)
          host.disk.fail_sync = true;
        else
          host.disk.capacity = 2000 + Pick(2000);
        ++totals_->failed_disks;
        break;
      case 6:
        LoseDisk(host);
        break;
      case 7:
        if (host.replica && !host.frozen)
          (void)host.replica->TransferLeadership(cluster_.now);
        break;
      case 8:
      case 9:
        ChangeMembers(host);
        break;
      default:
        StartConfirmedRead(host);
        break;
    }
  }

  void Repair() {
    Cluster::Host& host = AnyHost();
    if (!host.replica)
      Start(host);
    else if (host.replica->failure())
      Crash(host);
    host.frozen = false;
    if (Pick(3) == 0) {
      blocked_links_.clear();
      loss_percent_ = 0;
    }
    ReplaceRemovedHosts();
  }

  void Partition() {
    const std::uint64_t side = cluster_.Random();
    for (std::size_t i = 0; i < cluster_.hosts.size(); ++i) {
      for (std::size_t j = 0; j < cluster_.hosts.size(); ++j) {
        if ((side >> i & 1) != (side >> j & 1))
          blocked_links_.emplace(cluster_.hosts[i]->name,
                                 cluster_.hosts[j]->name);
      }
    }
  }

  // Limits lost disks and removed members to a minority until the cluster has
  // converged again. Returns whether one more may be lost, and counts it.
  [[nodiscard]] bool ReserveReplicaLoss() {
    if (cluster_.Converged())
      lost_replicas_ = 0;
    if (lost_replicas_ >= (cluster_.hosts.size() - 1) / 2 ||
        cluster_.applied.empty())
      return false;
    ++lost_replicas_;
    return true;
  }

  void LoseDisk(Cluster::Host& host) {
    if (!ReserveReplicaLoss())
      return;
    if (host.replica)
      Crash(host);
    host.disk.Wipe();
    ++totals_->lost_disks;
  }

  void ChangeMembers(Cluster::Host& host) {
    Cluster::Host* leader = cluster_.leader();
    if (!leader || leader->frozen || !host.replica || leader == &host ||
        !cluster_.Converged() || !ReserveReplicaLoss()) {
      return;
    }
    const auto kind =
        Pick(2) == 0 ? MemberChange::kDemote : MemberChange::kRemove;
    if (leader->replica->Change(kind, host.replica->id(), cluster_.now))
      ++totals_->member_changes;
  }

  // Asks a replica that believes it is leader for a confirmation. Once
  // confirmed, the replica must have applied everything committed before the
  // request.
  void StartConfirmedRead(Cluster::Host& host) {
    if (host.replica && !host.frozen &&
        host.replica->RequestConfirmation(cluster_.now)) {
      const std::uint64_t index =
          cluster_.applied.empty() ? 0 : cluster_.applied.rbegin()->first;
      reads_.push_back({host.name, cluster_.now, index});
    }
  }

  void CheckReads() {
    std::erase_if(reads_, [this](const Read& read) {
      const Cluster::Host& host = *cluster_.Find(read.host);
      if (!host.replica || host.replica->role() != Role::kLeader)
        return true;
      const auto confirmed = host.replica->ConfirmedAt(cluster_.now);
      if (host.frozen || !confirmed || *confirmed < read.at)
        return false;
      ++totals_->confirmed;
      if (host.replica->applied_index() < read.index)
        violations.push_back("stale read at " + read.host);
      return true;
    });
  }

  void EndFaults() {
    faults_ended_ = true;
    for (const auto& host : cluster_.hosts) {
      host->frozen = false;
      host->disk.fail_sync = false;
      host->disk.capacity = SIZE_MAX;
      host->disk.fail_after_changes = UINT64_MAX;
      if (host->replica && (host->replica->failure() || Pick(2) == 0))
        Crash(*host);
      if (!host->replica)
        Start(*host);
    }
    const bool done = cluster_.RunUntil(
        [this] {
          ReplaceRemovedHosts();
          return !violations.empty() || cluster_.Converged();
        },
        kRecoveryLimit);
    if (!violations.empty())
      return;
    if (!done) {
      violations.push_back("no recovery after the faults ended" + Describe());
      return;
    }
    for (const auto& host : cluster_.hosts) {
      std::vector<std::string> expected;
      for (const auto& [index, command] : cluster_.applied)
        expected.push_back(command);
      if (host->commands != expected)
        violations.push_back("state of " + host->name +
                             " lacks applied commands");
      for (const Error& error : host->errors) {
        if (error.code == ErrorCode::kConflict)
          violations.push_back(host->name + ": " + error.Text());
      }
    }
  }

  std::string Describe() {
    std::string text;
    for (const auto& host : cluster_.hosts) {
      if (!host->replica)
        continue;
      const Replica& replica = *host->replica;
      if (replica.failure())
        text += "\n  " + replica.failure()->Text();
      text += "\n  " + replica.id().str() + " " +
              std::string(kRoles.Name(replica.role())) + " term " +
              std::to_string(replica.term()) + " commit " +
              std::to_string(replica.commit_index()) + " last " +
              std::to_string(replica.node().log().last_index()) + " " +
              WriteJson(ToJson(replica.configuration()));
    }
    return text;
  }

  // Acts as an operator who empties the directory of a removed or demoted host.
  void ReplaceRemovedHosts() {
    Cluster::Host* leader = cluster_.leader();
    if (!leader || leader->replica->node().change_pending())
      return;
    const Configuration& members = leader->replica->configuration();
    for (const auto& host : cluster_.hosts) {
      if (!host->replica || host.get() == leader)
        continue;
      const ReplicaId& id = host->replica->id();
      const bool has_data = host->replica->applied_index() > 0;
      if (members.retired.count(id) > 0 ||
          (has_data && !members.IsMember(id))) {
        Crash(*host);
        host->disk.Wipe();
        Start(*host);
      }
    }
  }

  struct Read {
    std::string host;
    TimePoint at;
    std::uint64_t index;
  };

  Cluster cluster_;
  Totals* totals_;
  std::set<std::pair<std::string, std::string>> blocked_links_;
  std::set<std::string> hosts_to_restart_;
  std::uint64_t loss_percent_ = 5;
  bool faults_ended_ = false;
  std::size_t lost_replicas_ = 0;
  std::uint64_t proposed_ = 0;
  std::vector<Read> reads_;
};

// Guards against lost or changed committed entries, two leaders in a term, two
// leader leases at once, stale confirmed reads and a cluster that does not
// recover, under lost, duplicated, late and reordered messages, network
// partitions, crashes with torn files, full and failing disks, lost disks,
// frozen processes and membership changes.
BOOST_AUTO_TEST_CASE(RandomFaultsViolateNoGuarantee) {
  log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getOff());
  const std::uint64_t runs = FromEnvironment("BORAGEWINCH_RANDOM_RUNS", 100);
  const std::uint64_t first = FromEnvironment("BORAGEWINCH_RANDOM_SEED", 1);
  Totals totals;
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    RandomRun run(seed, &totals);
    const auto previous =
        SetInvariantHandler([&run](Invariant, std::string_view detail) {
          run.violations.push_back("invariant: " + std::string(detail));
        });
    run.Execute();
    SetInvariantHandler(previous);
    if (!run.violations.empty()) {
      ++failed;
      BOOST_ERROR("seed " << seed << ": " << run.violations.front());
    }
  }
  std::cout << "seeds " << first << " to " << first + runs - 1 << ", " << kSteps
            << " steps each: " << failed << " failed; " << totals.elections
            << " elections, " << totals.commands << " commands, "
            << totals.crashes << " crashes, " << totals.lost_disks
            << " lost disks, " << totals.failed_disks << " failed disks, "
            << totals.freezes << " freezes, " << totals.member_changes
            << " removals or demotions, " << totals.confirmed
            << " confirmed reads, "
            << invariant_count(Invariant::kConfiguration).checked
            << " invariant checks\n";
}

}  // namespace
}  // namespace boragewinch::raft
