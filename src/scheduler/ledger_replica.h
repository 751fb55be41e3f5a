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
#include "scheduler/disk_watch.h"
#include "scheduler/stall_watch.h"
#include "storage/file_system.h"

namespace boragewinch::scheduler {

/// \brief Settings of the replicated ledger.
struct LedgerReplicaOptions {
  std::string folder;              ///< data folder, which exists
  std::string host;                ///< IPv4 address of this host
  std::vector<std::string> hosts;  ///< IPv4 addresses known at the start
  std::string port;  ///< of the internal calls, equal on all hosts
  bool may_form = false;
  std::size_t voters = 3;  ///< replicas that vote; 0: all
  /// Entries after which a snapshot is written, some 20 s under load. A restart
  /// applies the entries since then, 0.1 ms of processor time each; a snapshot
  /// takes some 30 ms.
  std::uint64_t snapshot_entries = 1'024;
  /// Silence of the leader before an election. A sync of a slow disk takes
  /// 150 ms, a stolen processor share up to 100 ms.
  Millis election_timeout{700};
  FileSystem file_system = PosixFileSystem();
};

/// \brief The replicated job ledger of a process: a Raft replica, its calls to
/// the other replicas, and one batch of changes at a time.
///
/// One open batch keeps each decision on a state without changes under way.
class LedgerReplica {
 public:
  /// Called once after the change was applied; kNotLeader if it was certainly
  /// not stored, kUnavailable if that is unknown.
  using Reply = std::function<void(Status)>;
  /// Adds a change to the batch that is about to be stored.
  using Change = std::function<void(jobs::Batch*)>;

  struct Hooks {
    /// Adds the leader's own decisions to a batch that is about to be stored.
    std::function<void(jobs::Batch*, TimePoint)> decide;
    /// A batch of this leader has been applied.
    std::function<void(const jobs::Batch&, TimePoint)> on_stored;
    /// A batch of any leader has been applied to this replica.
    std::function<void(const jobs::Batch&, TimePoint)> on_applied;
    /// This replica has begun (true) or ceased to act as the leader.
    std::function<void(bool acts, TimePoint)> on_leadership;
  };

  LedgerReplica(EventLoop& loop,
                RpcClient& rpc,
                LedgerReplicaOptions options,
                Hooks hooks);
  ~LedgerReplica();
  LedgerReplica(const LedgerReplica&) = delete;
  LedgerReplica& operator=(const LedgerReplica&) = delete;

  /// \brief Reads the data folder and binds the replicas' method.
  [[nodiscard]] Status Start(RpcServer* server);

  /// \brief Stores `change` with the next batch.
  void Submit(const Change& change, Reply reply);
  /// \brief Asks for a batch soon, for decisions that have become possible.
  void Wake();

  [[nodiscard]] const jobs::JobLedger& ledger() const noexcept {
    return ledger_;
  }
  /// \returns whether this replica leads, has confirmed it within the
  /// leadership lease and may therefore answer reads and give orders.
  [[nodiscard]] bool MayAct(TimePoint now) const;
  /// \returns the number under which this leader gives orders; later leaders
  /// have higher ones. 0 while the data folder cannot be read.
  [[nodiscard]] std::uint64_t term() const noexcept {
    return opened_ ? replica_->term() : 0;
  }
  /// \returns the host that leads as far as is known, or an empty text.
  [[nodiscard]] std::string LeaderHost() const;
  [[nodiscard]] bool leading() const noexcept {
    return opened_ && replica_->role() == raft::Role::kLeader;
  }
  /// \returns whether this replica has heard from the leader within the
  /// election timeout. Its ledger then lacks at most what was stored just now.
  [[nodiscard]] bool Follows(TimePoint now) const;
  /// \brief Hands leadership over and stores nothing from now on.
  void Retire();
  [[nodiscard]] std::size_t open_changes() const noexcept {
    return replies_.size() + stored_replies_.size();
  }
  /// \returns the workers of starts that are being stored.
  [[nodiscard]] std::set<jobs::WorkerLife> WorkersInOpenBatch() const;
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
  void OnStepBytes(std::string_view body, const BytesReply& reply);
  /// \brief Handles a message of another replica.
  /// \param answers receives messages for its sender.
  void TakeMessage(const Result<raft::Message>& message,
                   std::vector<raft::Message>* answers);
  void OnApply(std::uint64_t index, const std::string& bytes);
  [[nodiscard]] Status Open(bool may_form);
  void Reopen();
  void OnTick(TimePoint now);
  void NoteLeadership(TimePoint now);
  void Flush(TimePoint now);
  void HandOverIfSlow(TimePoint now);
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
  bool flush_due_ = false;
  std::vector<raft::Message>* answers_ = nullptr;  ///< for a caller
  std::string answered_host_;                      ///< of `answers_`
  jobs::Batch pending_;
  std::vector<Reply> replies_;         ///< of `pending_`
  std::vector<Reply> stored_replies_;  ///< of the open batch
  std::optional<OpenBatch> open_;
  TimePoint flushed_at_;
  std::optional<TimePoint> leader_heard_;
  DiskWatch disk_;
  StallWatch stall_;
  bool acts_ = false;
  std::uint64_t acts_term_ = 0;
  bool retired_ = false;
  bool opened_ = true;       ///< the data folder was read
  bool unreadable_ = false;  ///< a committed batch could not be decoded
  bool proposing_ = false;
  bool noticing_ = false;     ///< a stored batch has yet to be carried out
  bool catching_up_ = false;  ///< a further slice of the log is to be applied
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_LEDGER_REPLICA_H_
