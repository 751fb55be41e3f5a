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
  /// Waits before an election are drawn from one to two of these. With three
  /// zones 1.5 ms apart and syncs of some 10 ms, 500 ms is far from a false
  /// alarm, and an election ends well within 2 s.
  Millis election_timeout{500};
  Millis heartbeat_interval{100};
  std::size_t max_batch_entries = 256;
  std::size_t max_batch_bytes = 512UL * 1024;
  /// Entries sent to a follower and not yet acknowledged.
  std::uint64_t max_inflight_entries = 1024;
  /// Entries of the leader that are not yet committed.
  std::uint64_t max_uncommitted_entries = 4096;
  std::size_t snapshot_chunk_bytes = 512UL * 1024;
  /// Whether followers are told of each commit at once. Otherwise they learn of
  /// it with the next entries or heartbeat, which halves the leader's messages;
  /// a committed change of members is still announced.
  bool announce_commits = true;
};

/// \brief What a node starts from.
struct NodeState {
  std::uint64_t term = 0;
  ReplicaId vote;
  SnapshotPtr snapshot;           ///< never null
  std::uint64_t first_index = 1;  ///< index of entries[0]
  std::vector<Entry> entries;     ///< synced entries
};

/// \brief What the owner of a node must do, in this order, and sync before it
/// sends the messages: store `install`, store term and vote, cut the log,
/// append the entries from `append_from` to the last.
struct Actions {
  SnapshotPtr install;     ///< snapshot from the leader, or null
  bool reset_log = false;  ///< with `install`: no stored entry remains valid
  bool hard_state = false;
  std::optional<std::uint64_t> truncate_from;
  std::optional<std::uint64_t> append_from;
  std::vector<Message> messages;
  /// Followers that have lost entries which they had acknowledged.
  std::vector<ReplicaId> regressed;
};

/// \brief The Raft algorithm as a state machine without disk, network or
/// clock. Each call may leave work behind, which TakeActions returns.
class Node {
 public:
  Node(ReplicaId self,
       const NodeOptions& options,
       RandomSource random,
       const NodeState& state,
       TimePoint now);

  /// \brief Handles a message that is addressed to this replica.
  void Step(const Message& message, TimePoint now);
  void Tick(TimePoint now);
  /// \brief Tells a leader that its host stood still until now: answers that
  /// wait to be read are older than they seem, so it asks once more before it
  /// steps down. ConfirmedAt is not affected.
  void NoteStall(TimePoint now);

  /// \returns the index of the new entry, or kNotLeader, kUnavailable during a
  /// leadership transfer, kTableFull or kTooLarge.
  [[nodiscard]] Result<std::uint64_t> Propose(std::string command,
                                              TimePoint now);

  /// \brief Starts one change of members; the next is accepted once this one
  /// is committed.
  /// \returns the index of the entry, or kNotLeader, kConflict, kUnavailable.
  [[nodiscard]] Result<std::uint64_t> Change(MemberChange change,
                                             const ReplicaId& id,
                                             TimePoint now);

  /// \brief Asks a voter to become leader as soon as it has all entries. If it
  /// was asked and does not within the election timeout, this replica holds an
  /// election of its own.
  [[nodiscard]] Status TransferLeadership(const ReplicaId& to, TimePoint now);

  /// \brief Sends a round of heartbeats, whose answers advance ConfirmedAt.
  [[nodiscard]] Status RequestConfirmation(TimePoint now);

  /// \returns the latest time at which this replica certainly was leader and
  /// knew every entry committed by then; nothing if there is none, or once
  /// another replica was asked to take over: its election does not wait for
  /// the followers' silence, so no lease follows from a confirmation.
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt(TimePoint now) const;

  /// \returns the work left by the calls since the last one.
  [[nodiscard]] Actions TakeActions();

  /// \brief Reports that all entries up to `index` are synced.
  void Persisted(std::uint64_t index, TimePoint now);

  /// \brief Takes a snapshot that is stored at this replica; the entries up to
  /// `drop_to` are forgotten.
  void Compact(SnapshotPtr snapshot, std::uint64_t drop_to);

  [[nodiscard]] const ReplicaId& id() const noexcept { return self_; }
  [[nodiscard]] Role role() const noexcept { return role_; }
  [[nodiscard]] std::uint64_t term() const noexcept { return term_; }
  [[nodiscard]] const ReplicaId& vote() const noexcept { return vote_; }
  /// \returns the leader of the present term, empty if it is not known.
  [[nodiscard]] const ReplicaId& leader() const noexcept { return leader_; }
  [[nodiscard]] std::uint64_t commit_index() const noexcept { return commit_; }
  [[nodiscard]] const RaftLog& log() const noexcept { return log_; }
  [[nodiscard]] const Configuration& configuration() const {
    return log_.configuration();
  }
  [[nodiscard]] bool change_pending() const {
    return log_.configuration_index() > commit_;
  }
  /// \returns whether `id` has answered within the election timeout and has
  /// all committed entries; false unless this replica is the leader.
  [[nodiscard]] bool IsCaughtUp(const ReplicaId& id, TimePoint now) const;
  /// \returns how long ago `id` answered this leader, or how long this replica
  /// has led if it never did; 0 unless this replica is the leader.
  [[nodiscard]] Millis SilentFor(const ReplicaId& id, TimePoint now) const;
  /// \returns whether `id` has answered within the election timeout; false
  /// unless this replica is the leader.
  [[nodiscard]] bool IsInContact(const ReplicaId& id, TimePoint now) const;

 private:
  /// What a leader knows of another member.
  struct Progress {
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    std::uint64_t match_boots = 0;  ///< start of the peer that acknowledged
    std::optional<TimePoint> contact;
    bool probing = true;  ///< one message at a time until `next` is known
    bool probe_sent = false;
    SnapshotPtr snapshot;  ///< being sent
    std::string encoded;
    std::uint64_t encoded_hash = 0;
    std::uint64_t offset = 0;
  };

  void StepHigherTerm(const Message& message, TimePoint now);
  void HandlePreVote(const Message& message, TimePoint now);
  void HandlePreVoteReply(const Message& message, TimePoint now);
  void HandleVote(const Message& message, TimePoint now);
  void HandleVoteReply(const Message& message, TimePoint now);
  void HandleAppend(const Message& message, TimePoint now);
  /// \returns what is known of the sender, or nullptr if it does not concern
  /// this leader.
  [[nodiscard]] Progress* NoteReply(const Message& message, TimePoint now);
  void HandleAppendReply(const Message& message, TimePoint now);
  void HandleSnapshot(const Message& message, TimePoint now);
  void HandleSnapshotReply(const Message& message, TimePoint now);
  void HandleTimeoutNow(const Message& message, TimePoint now);

  [[nodiscard]] bool AcceptLeader(const Message& message, TimePoint now);
  [[nodiscard]] bool StoreEntries(const Message& message);
  void InstallSnapshot(Snapshot snapshot);
  void FollowCommit(const Message& message, std::uint64_t match);

  void BecomeFollower(std::uint64_t term,
                      const ReplicaId& leader,
                      TimePoint now);
  void StartPreVote(TimePoint now);
  void StartElection(bool transfer, TimePoint now);
  void BecomeLeader(TimePoint now);
  void CheckLeadership(TimePoint now);
  [[nodiscard]] Status RequireLeader(TimePoint now);
  void AppendAsLeader(EntryKind kind, std::string data, TimePoint now);
  void SyncProgress();

  void Broadcast(bool heartbeat, TimePoint now);
  /// \returns whether a message was sent.
  bool SendAppend(const ReplicaId& to,
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
  [[nodiscard]] bool HeardLeader(TimePoint now) const;
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
  std::uint64_t handed_out_ = 0;  ///< entries given to the owner for storing
  std::uint64_t persisted_ = 0;
  Role role_ = Role::kFollower;
  ReplicaId leader_;
  std::optional<TimePoint> leader_contact_;
  TimePoint election_at_;
  std::set<ReplicaId> votes_;
  Actions actions_;

  // Of a follower: the snapshot being received.
  std::string incoming_;
  std::uint64_t incoming_hash_ = 0;

  // Of a leader.
  std::map<ReplicaId, Progress> progress_;
  TimePoint leader_since_;
  TimePoint heartbeat_at_;
  TimePoint stall_counts_until_;
  ReplicaId transfer_to_;
  TimePoint transfer_until_;
  bool handed_over_ = false;  ///< the target was asked in this term
};

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_RAFT_NODE_H_
