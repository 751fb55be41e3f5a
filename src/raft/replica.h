#ifndef BORAGEWINCH_RAFT_REPLICA_H_
#define BORAGEWINCH_RAFT_REPLICA_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "raft/node.h"
#include "storage/identity_file.h"
#include "storage/log_file.h"
#include "storage/snapshot_file.h"

namespace boragewinch::raft {

struct ReplicaOptions {
  std::string directory;  ///< existing data directory
  std::string host;       ///< name of this host
  /// Names of the hosts that form the cluster, including this one. They are
  /// also the first hosts that a replica without a cluster asks; with
  /// `admit_any_host`, other hosts may be members, and any of them may lead.
  std::vector<std::string> hosts;
  NodeOptions node;
  LogFileOptions log;
  /// A snapshot is taken after this many applied entries and up to a quarter
  /// more, which depends on the replica's id: replicas that take one at the
  /// same entry would all stall at once. A busy replica puts it off, up to
  /// twice this number, which bounds the entries that a restart reads and
  /// applies again.
  std::uint64_t snapshot_entries = 8192;
  /// A snapshot is also taken after applied entries of this many bytes, or of
  /// as many as the last snapshot has, with the same spread and delay. Together
  /// with `retain_bytes` it bounds the memory and disk space of the log.
  std::uint64_t snapshot_bytes = 16UL * 1024 * 1024;
  /// Maximum number of committed entries applied in one batch. A restarted
  /// replica applies its log in batches, between which it handles messages and
  /// sends heartbeats.
  std::uint64_t max_apply_batch = 128;
  /// Entries before the snapshot index that are kept for followers that lag a
  /// little, and their bytes.
  std::uint64_t retain_entries = 1024;
  std::uint64_t retain_bytes = 8UL * 1024 * 1024;
  /// How often a replica without a cluster asks to join one. The leader checks
  /// for a due membership change with each heartbeat, and reports the tolerable
  /// losses at most once in this time.
  Millis join_interval{500};
  /// Whether the leader adds, promotes, demotes and removes members
  /// automatically.
  bool manage_members = true;
  /// Target number of voters. Further members stay learners until a voter has
  /// not replied for `replace_after`. 0: every member becomes a voter.
  std::size_t voters = 0;
  Millis replace_after{2'000};
  /// Whether this replica may form a new cluster with `hosts`. Set only for the
  /// first start of a deployment: replicas that have all lost their directories
  /// must not start over with empty state.
  bool may_form_cluster = true;
  /// Whether hosts that are not in `hosts` may join.
  bool admit_any_host = false;
};

/// \brief Callbacks of a replica. The `on_` hooks may be empty.
struct ReplicaHooks {
  /// Sends a message to the replica of `host`; it may be lost.
  std::function<void(const std::string& host, const Message& message)> send;
  /// Applies a committed command. Called once per index and process, in order;
  /// after a restart, again from the last snapshot on.
  std::function<void(std::uint64_t index, const std::string& command)> apply;
  /// \returns the state after all commands applied so far.
  std::function<std::string()> take_snapshot;
  /// \returns whether a due snapshot, which stalls the replica, should wait.
  /// Empty: never.
  std::function<bool()> is_busy;
  /// Replaces the state with one returned by take_snapshot.
  std::function<Status(const std::string& state)> restore;
  /// Called after commands up to `index` have been applied.
  std::function<void(std::uint64_t index)> on_commit;
  /// Called when the role, the term or the known leader has changed.
  std::function<void(Role role, std::uint64_t term, const ReplicaId& leader)>
      on_role;
  /// Called once with the error that stopped the replica (kStorageWrite and
  /// so on), and with kConflict for each replica that runs with an old copy of
  /// its data directory.
  std::function<void(const Error& error)> on_error;
};

/// \brief One replica of the state machine: a Node with its stored log,
/// snapshot and identity. It has no thread, socket or clock: the owner passes
/// in messages and the time, and calls Tick at least every 20 ms. All other
/// calls require a successful Start.
class Replica {
 public:
  Replica(FileSystem file_system,
          ReplicaOptions options,
          ReplicaHooks hooks,
          RandomSource random);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// \brief Locks the data directory, reads it and restores the state machine.
  /// An empty directory gives a replica with a new id and no cluster.
  /// \returns kConflict if another process has locked the directory,
  /// kStorageCorrupt or kStorageMissing if a part of it is damaged or missing.
  [[nodiscard]] Status Start(TimePoint now);

  /// \returns why the message was rejected; the caller may ignore this.
  /// kFenced: from an older start of a replica, or from an old copy of its
  /// data directory. kConflict: from another cluster or for another replica.
  [[nodiscard]] Status Receive(const Message& message, TimePoint now);

  void Tick(TimePoint now);
  /// \brief Tells the replica that its process was stalled until now.
  void NotifyStall(TimePoint now) { node_->NotifyStall(now); }

  /// \brief Appends a command to the log. It is committed once apply is called
  /// with the returned index in the same term; if the term changes first, it
  /// may be lost.
  /// \returns the index, or kNotLeader, kUnavailable, kTableFull, kTooLarge.
  [[nodiscard]] Result<std::uint64_t> Propose(std::string command,
                                              TimePoint now);

  /// \brief Like Propose, with one fsync for all commands.
  /// \returns the index of the first; the others follow. On an error the
  /// commands before the failed one are in the log.
  [[nodiscard]] Result<std::uint64_t> ProposeBatch(
      std::vector<std::string> commands,
      TimePoint now);

  /// \returns the index of the entry, or the errors of Node::Change.
  [[nodiscard]] Result<std::uint64_t> Change(MemberChange change,
                                             const ReplicaId& id,
                                             TimePoint now);

  /// \brief Transfers leadership to a voter that is in contact and has all
  /// committed entries.
  /// \returns kNotLeader, or kUnavailable if there is no such voter.
  [[nodiscard]] Status TransferLeadership(TimePoint now);

  /// \brief Sends a round of heartbeats. Leadership at time t is confirmed once
  /// ConfirmedAt returns t or later.
  [[nodiscard]] Status RequestConfirmation(TimePoint now);

  /// \returns how many further voters the cluster can lose, of those that the
  /// leader is in contact with, before it has no majority; nothing unless this
  /// replica is the leader.
  [[nodiscard]] std::optional<std::size_t> TolerableLosses(TimePoint now) const;

  /// \returns Node::ConfirmedAt, or nothing after a storage failure or while
  /// there are unapplied committed entries.
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt(TimePoint now) const;

  /// \returns whether there are unapplied committed entries; Tick and Receive
  /// apply them in batches.
  [[nodiscard]] bool behind() const;

  [[nodiscard]] const ReplicaId& id() const noexcept { return id_; }
  /// \returns the id of the cluster, empty until the replica belongs to one.
  [[nodiscard]] const std::string& cluster() const noexcept {
    return hard_.cluster;
  }
  [[nodiscard]] Role role() const noexcept;
  [[nodiscard]] std::uint64_t term() const noexcept { return node_->term(); }
  [[nodiscard]] const ReplicaId& leader() const noexcept {
    return node_->leader();
  }
  [[nodiscard]] std::uint64_t commit_index() const noexcept {
    return node_->commit_index();
  }
  [[nodiscard]] std::uint64_t applied_index() const noexcept {
    return applied_;
  }
  [[nodiscard]] const Configuration& configuration() const {
    return node_->configuration();
  }
  [[nodiscard]] const Node& node() const noexcept { return *node_; }
  /// \returns the error that stopped the replica until its restart, if any.
  [[nodiscard]] const std::optional<Error>& failure() const noexcept {
    return failure_;
  }

 private:
  /// The latest start seen of another replica.
  struct Peer {
    std::uint64_t boots = 0;
    std::string session;
    TimePoint first_seen;
  };
  struct JoinRequest {
    ReplicaId id;
    TimePoint at;
  };

  [[nodiscard]] Status ReadDataDirectory(TimePoint now);
  [[nodiscard]] Result<NodeState> ReadLog(SnapshotPtr snapshot);
  [[nodiscard]] Status CheckUsable() const;
  [[nodiscard]] Status CheckSession(const Message& message, TimePoint now);

  void Flush(TimePoint now);
  [[nodiscard]] Status Persist(const Actions& actions);
  [[nodiscard]] Status PersistLog(const Actions& actions);
  [[nodiscard]] Status Install(const Snapshot& snapshot);
  [[nodiscard]] Status ApplyCommitted(std::uint64_t at_most);
  [[nodiscard]] bool SnapshotDue() const;
  [[nodiscard]] Status MaybeSnapshot();
  [[nodiscard]] Status RecordMembership(const Configuration& configuration);
  void Stop(const Error& error);
  void ReportRole();
  void Send(Message message);

  void HandleJoin(const Message& message, TimePoint now);
  void ForwardJoin(const Message& message);
  void RejoinRemoved(const Message& message, TimePoint now);
  void RecordContact(const Message& message, TimePoint now);
  void RequestToJoin();
  [[nodiscard]] Status HandleForm(const Message& message, TimePoint now);
  [[nodiscard]] Status FormCluster(const std::string& cluster,
                                   const Entry& members,
                                   TimePoint now);
  void SendJoin(const ReplicaId& to, const std::string& host);
  void MaybeForm(TimePoint now);
  void ManageMembers(TimePoint now);
  [[nodiscard]] std::optional<ReplicaId> ReplaceableMember(TimePoint now) const;
  void ReportTolerableLosses(TimePoint now);
  [[nodiscard]] bool MayPromote(const ReplicaId& learner, TimePoint now) const;
  void ReportRegression(const ReplicaId& id, const std::string& evidence);

  FileSystem file_system_;
  ReplicaOptions options_;
  ReplicaHooks hooks_;
  RandomSource random_;
  IdentityFile identity_;
  SnapshotFile snapshot_file_;
  LogFile log_;
  std::optional<int> lock_;
  std::optional<Error> failure_;
  HardState hard_;
  ReplicaId id_;
  std::string session_;
  std::unique_ptr<Node> node_;
  std::uint64_t applied_ = 0;
  std::uint64_t applied_chain_ = 0;
  std::uint64_t snapshot_index_ = 0;
  std::uint64_t snapshot_size_ = 0;  ///< bytes of the last snapshot
  bool flushing_ = false;

  Role reported_role_ = Role::kFollower;
  std::uint64_t reported_term_ = 0;
  ReplicaId reported_leader_;

  std::map<ReplicaId, Peer> peers_;
  std::map<std::string, JoinRequest> join_requests_;  ///< by host
  std::set<ReplicaId> regressed_;
  TimePoint join_at_;
  /// Hosts that have sent messages to an earlier replica of this host, with the
  /// time of the latest one. They are members, whatever the settings name.
  std::map<std::string, TimePoint> contacts_;
  TimePoint report_losses_at_;                  ///< not before this
  std::optional<std::size_t> reported_losses_;  ///< nothing unless leading
};

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_RAFT_REPLICA_H_
