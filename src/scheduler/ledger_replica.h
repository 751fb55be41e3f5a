#ifndef BORAGEWINCH_SCHEDULER_LEDGER_REPLICA_H_
#define BORAGEWINCH_SCHEDULER_LEDGER_REPLICA_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "jobs/job_ledger.h"
#include "kernel/event_loop.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"
#include "raft/replica.h"
#include "scheduler/disk_latency_monitor.h"
#include "scheduler/stall_detector.h"
#include "storage/file_system.h"

namespace boragewinch::scheduler {

/// \brief Settings of the replicated ledger.
struct LedgerReplicaOptions {
  std::string directory;           ///< existing data directory
  std::string host;                ///< IPv4 address of this host
  std::vector<std::string> hosts;  ///< IPv4 addresses of the initial members
  std::string port;               ///< for internal calls, the same on all hosts
  bool may_form_cluster = false;  ///< see raft::ReplicaOptions
  std::size_t voters = 3;         ///< number of voting replicas; 0: all
  /// Entries between two snapshots, about 20 s under load. A restart replays
  /// the entries since the last snapshot at 0.1 ms of CPU time each; a snapshot
  /// takes about 30 ms.
  std::uint64_t snapshot_entries = 1'024;
  /// Time without a message of the leader after which an election starts. A
  /// sync of a slow disk takes 150 ms, CPU steal up to 100 ms.
  Millis election_timeout{700};
  FileSystem file_system = PosixFileSystem();
};

/// \brief The replicated job ledger of a process: a Raft replica, its calls to
/// the other replicas and the batching of changes.
///
/// Only one batch is in flight at a time, so that every decision is based on a
/// state without pending changes.
class LedgerReplica {
 public:
  /// Called once: with Ok after the change was applied, kNotLeader if it was
  /// certainly not stored, kUnavailable if the outcome is unknown.
  using Reply = std::function<void(Status)>;

  struct Hooks {
    /// Adds the leader's scheduling decisions to the next batch.
    std::function<void(jobs::Batch*, TimePoint)> decide;
    /// A batch proposed by this leader was applied.
    std::function<void(const jobs::Batch&, TimePoint)> on_stored;
    /// A batch of any leader was applied to this replica.
    std::function<void(const jobs::Batch&, TimePoint)> on_applied;
    /// This replica started (true) or stopped acting as leader. It starts with
    /// its first leader lease of a term and stops when it loses leadership.
    std::function<void(bool acting, TimePoint)> on_leadership;
  };

  LedgerReplica(EventLoop& loop,
                RpcClient& rpc,
                LedgerReplicaOptions options,
                Hooks hooks);
  ~LedgerReplica();
  LedgerReplica(const LedgerReplica&) = delete;
  LedgerReplica& operator=(const LedgerReplica&) = delete;

  /// \brief Opens the data directory and binds the raft.step method.
  [[nodiscard]] Status Start(RpcServer* server);

  /// \brief Adds `change` to the next batch.
  /// \param reply gets kInvalidField or kTooLarge for a change that replicas
  /// could not read from the log; nothing of it is stored.
  void Submit(const jobs::Batch& change, Reply reply);
  /// \brief Schedules a batch because new decisions may be possible.
  void Wake();

  [[nodiscard]] const jobs::JobLedger& ledger() const noexcept {
    return ledger_;
  }
  /// \returns whether this replica is the leader with a valid leader lease, and
  /// may therefore serve reads and issue orders.
  [[nodiscard]] bool HasLeaderLease(TimePoint now) const;
  /// \returns the Raft term, under which the leader issues orders; 0 while the
  /// data directory cannot be read.
  [[nodiscard]] std::uint64_t term() const noexcept {
    return storage_open_ ? replica_->term() : 0;
  }
  /// \returns the host of the known leader, or an empty string.
  [[nodiscard]] std::string LeaderHost() const;
  [[nodiscard]] bool leading() const noexcept {
    return storage_open_ && replica_->role() == raft::Role::kLeader;
  }
  /// \returns whether this follower received a message from the leader within
  /// the election timeout, so that its ledger lacks at most the latest entries.
  [[nodiscard]] bool Follows(TimePoint now) const;
  /// \returns the index of the last entry that the ledger includes; 0 while the
  /// data directory cannot be read.
  [[nodiscard]] std::uint64_t applied_index() const noexcept {
    return storage_open_ ? replica_->applied_index() : 0;
  }
  /// \returns raft::Replica::TolerableLosses.
  [[nodiscard]] std::optional<std::size_t> TolerableLosses(
      TimePoint now) const {
    return storage_open_ ? replica_->TolerableLosses(now) : std::nullopt;
  }
  /// \brief Transfers leadership and rejects further changes.
  void Retire();
  [[nodiscard]] std::size_t open_changes() const noexcept {
    return pending_replies_.size() + open_batch_replies_.size();
  }
  /// \returns whether the job was submitted here and is not stored yet.
  [[nodiscard]] bool IsSubmissionPending(const jobs::JobId& id) const;
  /// \returns the workers of the starts in the batch in flight.
  [[nodiscard]] std::set<jobs::WorkerIncarnation> WorkersInOpenBatch() const;
  /// Hosts of all members.
  [[nodiscard]] std::vector<std::string> MemberHosts() const;

 private:
  struct OpenBatch {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    jobs::Batch batch;
  };

  [[nodiscard]] raft::ReplicaHooks MakeHooks();
  void SendStep(const std::string& host, const raft::Message& message);
  void OnStep(const Json& body, const RpcReply& reply);
  void OnStepBytes(std::string_view body, const BinaryReply& reply);
  /// \brief Handles a message of another replica.
  /// \param response_messages receives messages to its sender; nullptr: they
  /// are sent by calls.
  void HandleMessage(const Result<raft::Message>& message,
                     std::vector<raft::Message>* response_messages);
  void OnApply(std::uint64_t index, const std::string& bytes);
  [[nodiscard]] Status Open(bool may_form_cluster);
  void Reopen();
  void OnTick(TimePoint now);
  void UpdateLeadership(TimePoint now);
  void Flush(TimePoint now);
  void TransferLeadershipIfSlow(TimePoint now);
  void FailAll(ErrorCode code, const std::string& why);

  EventLoop& loop_;
  RpcClient& rpc_;
  LedgerReplicaOptions options_;
  Hooks hooks_;
  jobs::JobLedger ledger_;
  std::unique_ptr<raft::Replica> replica_;
  WatchHandle tick_;
  WatchHandle flush_;
  WatchHandle reopen_;
  bool flush_scheduled_ = false;
  /// Messages to the sender of the current message.
  std::vector<raft::Message>* response_messages_ = nullptr;
  std::string response_host_;  ///< receiver of `response_messages_`
  jobs::Batch pending_;
  std::vector<Reply> pending_replies_;     ///< of `pending_`
  std::vector<Reply> open_batch_replies_;  ///< of the batch in flight
  std::optional<OpenBatch> open_batch_;
  TimePoint last_flush_;
  std::optional<TimePoint> last_leader_contact_;
  DiskLatencyMonitor disk_;
  StallDetector stall_;
  bool acting_leader_ = false;
  std::uint64_t acting_term_ = 0;
  bool retired_ = false;
  bool storage_open_ = true;        ///< the data directory was read
  bool batch_undecodable_ = false;  ///< a committed batch could not be decoded
  bool proposing_ = false;
  bool on_stored_pending_ = false;  ///< on_stored is pending for a stored batch
  bool catch_up_pending_ = false;   ///< committed entries are to be applied
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_LEDGER_REPLICA_H_
