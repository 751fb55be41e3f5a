#ifndef BORAGEWINCH_ENTRY_ENTRY_CORE_H_
#define BORAGEWINCH_ENTRY_ENTRY_CORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "entry/allotment_tracker.h"
#include "entry/backoff.h"
#include "entry/call_table.h"
#include "entry/entry_actions.h"
#include "entry/entry_config.h"
#include "entry/freshness.h"
#include "entry/key_ring.h"
#include "entry/peer_table.h"
#include "entry/request_table.h"
#include "entry/scheduler_hooks.h"
#include "entry/worker_table.h"
#include "model/fleet_view.h"

namespace boragewinch {

/// \brief Counters for metrics.
struct EntryCounters {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t starts = 0;
  std::uint64_t taken_over = 0;
  std::uint64_t results_rejected = 0;
  std::uint64_t checkpoints_sent = 0;      ///< including retries
  std::uint64_t checkpoints_declined = 0;  ///< by workers without support
  std::uint64_t tasks_moved = 0;           ///< off draining hosts
  std::uint64_t progress_dropped = 0;      ///< too large, or no space left
};

/// \brief State machine of an entry host, without I/O. Inputs are method calls
/// with the current time; outputs are actions, collected with TakeActions after
/// each input.
class EntryCore {
 public:
  EntryCore(EntryConfig config,
            SchedulerHooks hooks,
            RandomHook random,
            TimePoint now);

  /// \returns a new request id, or kUnavailable while stopping.
  [[nodiscard]] Result<RequestId> NewTicket(TimePoint now);

  // Calls of callers. Each gets exactly one AnswerCaller, at its deadline at
  // the latest.
  void Submit(SubmitCall call, TimePoint now);
  void Query(RequestCall call, TimePoint now);
  /// \brief Like Query, but waits for the end of the request; answers with
  /// the current status at the call's deadline.
  void Await(RequestCall call, TimePoint now);
  void Cancel(RequestCall call, TimePoint now);
  void FetchResult(RequestCall call, TimePoint now);

  void OnPeerMessage(const EntryName& from, PeerMessage message, TimePoint now);

  // Reports and responses of workers.
  [[nodiscard]] WorkerReportResponse OnWorkerReport(const WorkerReport& report,
                                                    TimePoint now);
  /// \brief Marks the worker as leaving. Answered by AnswerLeave once the
  /// zone's reachable peers have the mark, so that it survives a crash of this
  /// process.
  void OnWorkerLeave(CallId call, const LeavingWorker& worker, TimePoint now);
  /// \param reply an Error means that the response is lost.
  void OnStartResponse(const TaskId& task,
                       const HostName& host,
                       const Result<StartReply>& reply,
                       TimePoint now);
  void OnForbidResponse(const TaskId& task,
                        const HostName& host,
                        const Result<ForbidResponse>& response,
                        TimePoint now);
  /// \param response an Error means that the response is lost.
  void OnCheckpointResponse(const TaskId& task,
                            const HostName& host,
                            const Result<CheckpointResponse>& response,
                            TimePoint now);
  /// \returns kProtocol (corrupted, or the task has not ended), kTooLarge,
  /// kConflict (second result or another attempt) or kNotFound (unknown
  /// request). The worker drops results rejected with the last two.
  [[nodiscard]] Result<ResultAck> OnResult(TaskResult result, TimePoint now);

  /// \brief Stops a running repeatable request of this process; it is queued
  /// again when its worker confirms the stop.
  /// \returns whether the request may be stopped.
  bool Preempt(const RequestId& request, TimePoint now);

  // Updates from the control leader.
  void OnFleetUpdate(FleetView view, TimePoint now);
  void OnControlResponse(const ControlResponse& response, TimePoint now);
  void OnKeyWithdrawn(const KeyId& key, TimePoint now);
  /// \brief Offers idle units above the leader's caps, by team, back to it.
  void SetAllotmentCaps(std::map<TeamName, std::int64_t> caps) {
    allotments_.SetCaps(std::move(caps));
  }
  [[nodiscard]] ControlReport BuildControlReport(TimePoint now) const;

  /// \brief Begins the planned stop, which is complete when `stopped` is true.
  void Stop(TimePoint now);
  /// \brief Call at least every 100 ms.
  void Tick(TimePoint now);
  [[nodiscard]] std::vector<EntryAction> TakeActions();

  [[nodiscard]] bool stopping() const noexcept { return stopping_; }
  /// \returns whether all requests have ended or have another owner and all
  /// calls are answered.
  [[nodiscard]] bool stopped() const noexcept;
  [[nodiscard]] std::size_t open_requests() const noexcept {
    return table_.open();
  }
  [[nodiscard]] bool fresh(TimePoint now) const noexcept {
    return freshness_.Within(now);
  }
  [[nodiscard]] bool isolated(TimePoint now) const noexcept {
    return !isolation_.Within(now);
  }
  [[nodiscard]] const FleetView& view() const noexcept { return view_; }
  [[nodiscard]] const RequestTable& requests() const noexcept { return table_; }
  [[nodiscard]] const WorkerTable& workers() const noexcept { return workers_; }
  [[nodiscard]] const PeerTable& peers() const noexcept { return peers_; }
  [[nodiscard]] const AllotmentTracker& allotments() const noexcept {
    return allotments_;
  }
  [[nodiscard]] const KeyRing& keys() const noexcept { return ring_; }
  [[nodiscard]] const EntryCounters& counters() const noexcept {
    return counters_;
  }

 private:
  using Phase = RequestPhase;

  // entry_core.cc: calls and admission.
  void BeginInput(TimePoint now);
  void FinishInput(TimePoint now);
  void Emit(EntryAction action) { actions_.push_back(std::move(action)); }
  void OpenLocal(CallId id, OpenCall call, TimePoint now);
  void Route(CallId id, TimePoint now);
  void RouteByRequestId(CallId id, const RequestId& request, TimePoint now);
  void Answer(CallId id, JobAnswer answer);
  void AnswerWith(CallId id, Outcome outcome, RefusalReason reason);
  void AnswerAtDeadline(CallId id, TimePoint now);
  void ServeRecord(CallId id, RequestRecord& record, TimePoint now);
  void AdmitNew(CallId id, TimePoint now);
  void CreateRecord(CallId id, TimePoint now);
  void Refuse(CallId id, RefusalReason reason, TimePoint now);
  [[nodiscard]] RefusalReason AdmissionReason(OpenCall& call, TimePoint now);
  [[nodiscard]] RefusalReason AccessReason(const RequestRecord& record,
                                           const std::string& key) const;
  [[nodiscard]] JobAnswer StatusOf(const RequestRecord& record,
                                   bool with_body) const;
  void AnswerWaiters(const RequestRecord& record);
  void CancelRecord(RequestRecord& record, TimePoint now);
  [[nodiscard]] RequestId NextId();

  // entry_forward.cc: calls that need a peer.
  void Forward(CallId id,
               const std::vector<EntryName>& first,
               std::vector<EntryName> fallback_peers,
               TimePoint now);
  void SendCall(CallId id, OpenCall& call, TimePoint now);
  void HandleDueCall(CallId id, TimePoint now);
  void StartFind(CallId id, TimePoint now);
  void FinishFind(CallId id, TimePoint now);
  void Receive(const EntryName& from,
               const Incarnation& incarnation,
               PeerForward message,
               TimePoint now);
  void Receive(const EntryName& from, PeerForwardAnswer message, TimePoint now);
  void Receive(const EntryName& from,
               const Incarnation& incarnation,
               const PeerFind& message);
  void Receive(const EntryName& from, const PeerFound& message, TimePoint now);

  // entry_replication.cc: replication, fencing, takeover, handover.
  void SendTo(const EntryName& entry, PeerBody body);
  void AssignBackup(RequestRecord& record,
                    const EntryName& entry,
                    TimePoint now);
  void BumpRevision(RequestRecord& record, TimePoint now);
  void SendToBackup(RequestRecord& record, TimePoint now);
  void OnReplicated(RequestRecord& record, TimePoint now);
  void OnBackupLost(RequestRecord& record, bool may_have_fenced, TimePoint now);
  void AssignReachableBackup(RequestRecord& record, TimePoint now);
  void OnPeerReplaced(const EntryName& entry,
                      const ReplacedPeer& replaced,
                      TimePoint now);
  void TakeOver(const EntryName& entry,
                const Incarnation& incarnation,
                std::uint64_t epoch,
                TimePoint now);
  void TakeOverRecord(RequestRecord& record, TimePoint now);
  void Fence(const EntryName& entry, TimePoint now);
  void YieldOwnership(RequestRecord& record,
                      const EntryName& to,
                      TimePoint now);
  [[nodiscard]] bool RejectFencedOrReleased(const EntryName& from,
                                            const RecordVersion& version);
  /// \returns nullptr if the change was rejected.
  [[nodiscard]] RequestRecord* FindReplicaForUpdate(
      const EntryName& from,
      const RecordVersion& version);
  void Receive(const EntryName& from, PeerStore message, TimePoint now);
  void Receive(const EntryName& from, PeerIntend message, TimePoint now);
  void Receive(const EntryName& from, PeerClose message, TimePoint now);
  void Receive(const EntryName& from, const PeerAck& message, TimePoint now);
  void Receive(const EntryName& from, const PeerFenced& message, TimePoint now);
  void Receive(const EntryName& from,
               const PeerHandOver& message,
               TimePoint now);
  void Receive(const EntryName& from,
               const PeerReleased& message,
               TimePoint now);
  void ReceiveGossip(const EntryName& from,
                     const PeerMessage& message,
                     TimePoint now);

  // entry_dispatch.cc: starting tasks and closing requests.
  void Enqueue(RequestRecord& record, TimePoint now);
  [[nodiscard]] QueuedJob ToQueuedJob(const RequestRecord& record) const;
  void DispatchQueued(TimePoint now);
  [[nodiscard]] bool Dispatch(RequestRecord& record, TimePoint now);
  void Start(RequestRecord& record, TimePoint now);
  [[nodiscard]] bool MayStart(const RequestRecord& record, TimePoint now);
  void ReleaseTask(const RequestRecord& record);
  void Requeue(RequestRecord& record, TimePoint now);
  void MarkUnconfirmed(RequestRecord& record,
                       Millis forbid_after,
                       TimePoint now);
  void HandleNotRun(RequestRecord& record, TimePoint now);
  void HandleLeaseExpiry(RequestRecord& record, TimePoint now);
  void BeginClose(RequestRecord& record,
                  Outcome outcome,
                  RefusalReason reason,
                  TimePoint now);
  void End(RequestRecord& record, Closing closing, TimePoint now);
  void HandleDue(RequestRecord& record, TimePoint now);
  void UpdateDueTime(RequestRecord& record);
  [[nodiscard]] Resources UsageOf(const RequestRecord& record) const;

  // entry_workers.cc: reports and results.
  void HandleReportedTask(RequestRecord& record,
                          const TaskReport& task,
                          const WorkerReport& report,
                          WorkerReportResponse& response,
                          TimePoint now);
  void HandleRunningTask(RequestRecord& record,
                         const TaskReport& task,
                         const WorkerReport& report,
                         WorkerReportResponse& response,
                         TimePoint now);
  void HandleUnlistedTasks(const WorkerReport& report, TimePoint now);
  void MoveOffDrainingHost(RequestRecord& record, TimePoint now);
  [[nodiscard]] bool AwaitsProgress(RequestRecord& record, TimePoint now) const;
  void StoreProgress(RequestRecord& record, std::string progress);
  void Resume(RequestRecord& record, TimePoint now);
  void Adopt(RequestRecord& record,
             const TaskReport& task,
             const WorkerReport& report,
             TimePoint now);
  [[nodiscard]] Result<ResultAck> HandleResult(TaskResult result,
                                               bool relay,
                                               TimePoint now);

  // entry_tick.cc: periodic work.
  void SendGossip(TimePoint now);
  void FenceUnresponsivePeers(TimePoint now);
  void AssignMissingBackups(TimePoint now);
  void AdvanceStop(TimePoint now);
  void ReleaseReplicas(TimePoint now);
  void ReleaseReplicasOf(const EntryName& entry, TimePoint now);
  void ReleaseTransferredTasks(TimePoint now);
  void ReplaceLostBackups(TimePoint now);
  void LogFreshnessChange(TimePoint now);
  void AnswerLeaves(TimePoint now);

  struct PendingLeave {
    CallId call = 0;
    TimePoint marked_at;
  };

  EntryConfig config_;
  SchedulerHooks hooks_;
  RandomHook random_;
  TimePoint started_;
  TimePoint last_tick_;
  TimePoint next_gossip_;
  TimePoint next_sweep_;
  bool stopping_ = false;
  bool was_fresh_ = false;
  bool released_ = false;  ///< no peer relies on a replica here
  bool dirty_ = true;      ///< a queued job may have become startable
  std::uint64_t next_sequence_ = 1;
  /// Above the numbers of callers' calls and within the 63 bits that messages
  /// allow for a counter.
  std::uint64_t next_internal_call_ = std::uint64_t{1} << 62;
  /// (time, first sequence issued after it), for the age of tickets.
  std::deque<std::pair<TimePoint, std::uint64_t>> sequence_times_;
  std::uint64_t expired_below_ = 0;

  FleetView view_;
  KeyRing ring_;
  FreshnessTracker freshness_;
  FreshnessTracker isolation_;
  AllotmentTracker allotments_;
  WorkerTable workers_;
  PeerTable peers_;
  RequestTable table_;
  CallTable calls_;
  RetryBudget retries_;
  std::deque<PendingLeave> pending_leaves_;  ///< in the order of their marks
  std::set<RequestId> unreplicated_;
  std::map<std::pair<TeamName, std::string>, CallId> pending_finds_;
  std::map<RequestId, EntryName> new_owners_;
  std::deque<std::pair<TimePoint, RequestId>> new_owner_times_;
  EntryCounters counters_;
  std::vector<EntryAction> actions_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_ENTRY_CORE_H_
