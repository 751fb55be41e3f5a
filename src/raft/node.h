#ifndef BORAGEWINCH_RAFT_NODE_H_
#define BORAGEWINCH_RAFT_NODE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "raft/configuration.h"
#include "raft/message.h"
#include "raft/raft_log.h"
#include "raft/snapshot.h"
#include "raft/types.h"

namespace boragewinch::raft {

/// \brief Timing and flow limits of a node.
struct NodeOptions {
  /// The election timer is random between one and two times this. With three
  /// zones 1.5 ms apart and fsyncs of about 10 ms, 500 ms avoids needless
  /// elections, and an election completes well within 2 s.
  Millis election_timeout{500};
  Millis heartbeat_interval{100};
  /// Limits on the entries of one message. A follower is sent the next entries
  /// once it has acknowledged these, so they also bound what is in flight to
  /// it; a single entry may be larger than `max_batch_bytes`.
  std::size_t max_batch_entries = 256;
  std::size_t max_batch_bytes = 512UL * 1024;
  /// Limit on entries of the leader that are not yet committed.
  std::uint64_t max_uncommitted_entries = 4096;
  std::size_t snapshot_chunk_bytes = 512UL * 1024;
  /// Whether each advance of the commit index is sent to followers at once.
  /// Otherwise it goes with the next entries or heartbeat, which halves the
  /// leader's messages; a committed membership change is always sent at once.
  bool announce_commits = true;
};

/// \brief Persistent state from which a node starts.
struct NodeState {
  std::uint64_t term = 0;
  ReplicaId vote;
  SnapshotPtr snapshot;           ///< never null
  std::uint64_t first_index = 1;  ///< index of entries[0]
  std::vector<Entry> entries;     ///< durable entries
};

/// \brief Work for the owner of a node, in this order, all durable before the
/// messages are sent: store `install`, store term and vote, truncate the log,
/// append the entries from `append_from` to the last.
struct Actions {
  SnapshotPtr install;      ///< snapshot from the leader, or null
  bool reset_log = false;   ///< with `install`: no stored entry remains valid
  bool hard_state = false;  ///< term or vote has changed
  std::optional<std::uint64_t> truncate_from;
  std::optional<std::uint64_t> append_from;
  std::vector<Message> messages;
  /// Followers that have lost entries they had acknowledged.
  std::vector<ReplicaId> regressed;
};

/// \brief The Raft algorithm as a state machine without disk, network or
/// clock. Calls queue work for the owner, which TakeActions returns.
class Node {
 public:
  Node(ReplicaId self,
       const NodeOptions& options,
       RandomSource random,
       NodeState state,
       TimePoint now);

  /// \brief Handles a message that is addressed to this replica.
  void Step(const Message& message, TimePoint now);
  void Tick(TimePoint now);
  /// \brief Tells a leader that its process was stalled until now. It sends
  /// another heartbeat before it steps down: replies that are still unread in
  /// its sockets prove contact only from before the stall. Does not affect
  /// ConfirmedAt.
  void NotifyStall(TimePoint now);

  /// \returns the index of the new entry, or kNotLeader, kUnavailable during a
  /// leadership transfer, kTableFull or kTooLarge.
  [[nodiscard]] Result<std::uint64_t> Propose(std::string command,
                                              TimePoint now);

  /// \brief Starts a membership change; the next one is accepted once this one
  /// is committed.
  /// \returns the index of the entry, or kNotLeader, kConflict, kUnavailable.
  [[nodiscard]] Result<std::uint64_t> Change(MemberChange change,
                                             const ReplicaId& id,
                                             TimePoint now);

  /// \brief Asks a voter to become leader once it has all entries. If it was
  /// asked and has not taken over within the election timeout, this replica
  /// starts an election itself.
  [[nodiscard]] Status TransferLeadership(const ReplicaId& to, TimePoint now);

  /// \brief Sends a round of heartbeats, whose replies advance ConfirmedAt.
  [[nodiscard]] Status RequestConfirmation(TimePoint now);

  /// \returns the latest time at which this replica certainly was leader and
  /// knew every entry committed by then. Nothing if there is none, or once
  /// another replica was asked to take over: it is elected without waiting for
  /// the election timeout, so a confirmation would not give a lease.
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt(TimePoint now) const;

  /// \returns the work queued since the last call.
  [[nodiscard]] Actions TakeActions();

  /// \brief Reports that all entries up to `index` are durable.
  void Persisted(std::uint64_t index, TimePoint now);

  /// \brief Adopts a snapshot that this replica has stored, and discards the
  /// entries up to `drop_to`.
  void Compact(SnapshotPtr snapshot, std::uint64_t drop_to);

  [[nodiscard]] const ReplicaId& id() const noexcept { return self_; }
  [[nodiscard]] Role role() const noexcept { return role_; }
  [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
  [[nodiscard]] const ReplicaId& vote() const noexcept { return vote_; }
  /// \returns the leader of the current term, empty if it is not known.
  [[nodiscard]] const ReplicaId& leader() const noexcept { return leader_; }
  [[nodiscard]] std::uint64_t commit_index() const noexcept { return commit_; }
  [[nodiscard]] const RaftLog& log() const noexcept { return log_; }
  [[nodiscard]] const Configuration& configuration() const {
    return log_.configuration();
  }
  [[nodiscard]] bool change_pending() const {
    return log_.configuration_index() > commit_;
  }
  /// \returns whether `id` has replied within the election timeout and has
  /// all committed entries; false unless this replica is the leader.
  [[nodiscard]] bool IsCaughtUp(const ReplicaId& id, TimePoint now) const;
  /// \returns the time since `id` last replied to this leader, or since this
  /// replica became leader if it never did; 0 unless this replica is the
  /// leader.
  [[nodiscard]] Millis TimeSinceContact(const ReplicaId& id,
                                        TimePoint now) const;
  /// \returns whether `id` has replied within the election timeout; false
  /// unless this replica is the leader.
  [[nodiscard]] bool IsInContact(const ReplicaId& id, TimePoint now) const;

 private:
  /// Entries or a snapshot chunk that a follower has not acknowledged yet.
  struct Transfer {
    std::uint64_t last = 0;  ///< last of the entries; 0 for a snapshot chunk
    std::size_t bytes = 0;
    TimePoint sent;
    std::uint64_t boots = 0;  ///< latest `boots` seen of the follower by then
  };

  /// Replication state of another member, kept by the leader.
  struct Progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    std::uint64_t match_boots = 0;  ///< `boots` of the peer that acknowledged
    std::uint64_t boots = 0;        ///< latest in a reply
    /// Commit index that the messages to the follower have announced.
    std::uint64_t announced = 0;
    std::optional<TimePoint> last_contact;
    TimePoint heartbeat_at;  ///< when the next message is due at the latest
    bool probing = true;     ///< only empty messages until `next` is known
    bool probe_sent = false;
    std::optional<Transfer> transfer;
    unsigned losses = 0;   ///< transfers lost since one was acknowledged
    SnapshotPtr snapshot;  ///< being sent, or null
    std::string encoded;   ///< `snapshot`
    std::uint64_t encoded_hash = 0;
    std::uint64_t offset = 0;  ///< of the next chunk in `encoded`
  };

  void StepHigherTerm(const Message& message, TimePoint now);
  void HandlePreVote(const Message& message, TimePoint now);
  void HandlePreVoteReply(const Message& message, TimePoint now);
  void HandleVote(const Message& message, TimePoint now);
  void HandleVoteReply(const Message& message, TimePoint now);
  void HandleAppend(const Message& message, TimePoint now);
  /// \returns the sender's progress, or nullptr if this replica is not the
  /// leader or the sender is not a member.
  [[nodiscard]] Progress* RecordReply(const Message& message, TimePoint now);
  void HandleAppendReply(const Message& message, TimePoint now);
  void HandleSnapshot(const Message& message, TimePoint now);
  void HandleSnapshotReply(const Message& message, TimePoint now);
  void HandleTimeoutNow(const Message& message, TimePoint now);

  [[nodiscard]] bool AcceptLeader(const Message& message, TimePoint now);
  [[nodiscard]] bool StoreEntries(const Message& message);
  void InstallSnapshot(Snapshot snapshot);
  void AdvanceCommit(const Message& message, std::uint64_t match);

  void BecomeFollower(std::uint64_t term,
                      const ReplicaId& leader,
                      TimePoint now);
  void StartPreVote(TimePoint now);
  void StartElection(bool transfer, TimePoint now);
  void BecomeLeader(TimePoint now);
  void CheckLeadership(TimePoint now);
  [[nodiscard]] Status RequireLeader(TimePoint now);
  void AppendAsLeader(EntryKind kind, std::string data, TimePoint now);
  void ReconcileProgress();

  /// \brief Sends what is due to each member, and with `heartbeat` at least an
  /// empty message.
  void Broadcast(bool heartbeat, TimePoint now);
  void SendHeartbeat(const ReplicaId& to, Progress* progress, TimePoint now);
  /// \returns whether the follower's transfer counts as lost at `now`.
  [[nodiscard]] bool IsOverdue(const Progress& progress, TimePoint now) const;
  /// \brief Records a lost transfer: its content is sent again once the
  /// follower replies.
  static void DropTransfer(Progress* progress);
  void SendAppend(const ReplicaId& to,
                  Progress* progress,
                  bool heartbeat,
                  TimePoint now);
  void SendSnapshot(const ReplicaId& to,
                    Progress* progress,
                    bool with_data,
                    TimePoint now);
  void MaybeCommit(TimePoint now);
  void MaybeTransfer(const ReplicaId& to);

  void ResetElectionTimer(TimePoint now);
  [[nodiscard]] bool HasLeaderContact(TimePoint now) const;
  [[nodiscard]] bool IsUpToDate(const Message& message) const;
  [[nodiscard]] bool MayVote(const Message& message) const;
  [[nodiscard]] bool HasMajority(const std::set<ReplicaId>& ids) const;
  [[nodiscard]] std::optional<TimePoint> MajorityContact(TimePoint now) const;
  Message& Send(MessageKind kind, const ReplicaId& to);
  Message& SendVoteRequest(MessageKind kind,
                           const ReplicaId& to,
                           std::uint64_t term);

  ReplicaId self_;
  NodeOptions options_;
  RandomSource random_;
  std::uint64_t term_ = 0;
  ReplicaId vote_;
  RaftLog log_;
  SnapshotPtr snapshot_;
  std::uint64_t commit_ = 0;
  std::uint64_t submitted_ = 0;  ///< last entry passed to the owner to store
  std::uint64_t persisted_ = 0;
  Role role_ = Role::kFollower;
  ReplicaId leader_;
  /// Time of the last message of a leader, or of the start: a message that
  /// arrived before it is forgotten.
  std::optional<TimePoint> last_leader_contact_;
  TimePoint election_at_;
  std::set<ReplicaId> votes_;
  Actions actions_;

  // Follower state: the snapshot being received.
  std::string incoming_snapshot_;
  std::uint64_t incoming_hash_ = 0;

  // Leader state.
  std::map<ReplicaId, Progress> progress_;
  TimePoint leader_since_;
  /// Commit index that followers are told without waiting for a heartbeat.
  std::uint64_t announced_commit_ = 0;
  TimePoint stall_grace_until_;
  ReplicaId transfer_to_;
  TimePoint transfer_until_;
  bool timeout_now_sent_ = false;  ///< to `transfer_to_` in this term
};

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_RAFT_NODE_H_
