#ifndef BORAGEWINCH_CONTROL_CONTROL_SERVICE_H_
#define BORAGEWINCH_CONTROL_CONTROL_SERVICE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control/control_options.h"
#include "control/entry_reports.h"
#include "control/leader_controller.h"
#include "control/operator_api.h"
#include "control/proposals.h"
#include "fleet/fleet_state.h"
#include "kernel/kernel.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"
#include "raft/replica.h"

namespace boragewinch {

/// \brief Service of a control host: a Raft replica of the fleet state and, on
/// the leader, the control loops that change it.
class ControlService final : public Service {
 public:
  explicit ControlService(ControlOptions options);
  ~ControlService() override;

  [[nodiscard]] Status Start(Kernel& kernel) override;
  void Stop(const std::function<void()>& done) override;

  /// \brief Submits a command as the leader.
  /// \param reply called once when the command has been applied, or with
  /// kNotLeader or kUnavailable.
  void Propose(const Command& command, Proposals::Reply reply);

  [[nodiscard]] const FleetState& state() const noexcept { return state_; }
  [[nodiscard]] const EntryReports& reports() const noexcept {
    return reports_;
  }
  [[nodiscard]] const raft::Replica& replica() const noexcept {
    return *replica_;
  }
  [[nodiscard]] bool leading() const noexcept {
    return replica_->role() == raft::Role::kLeader;
  }
  [[nodiscard]] const ControlOptions& options() const noexcept {
    return options_;
  }
  /// \brief Linearizable read (Raft ReadIndex): calls `then` once a majority
  /// has confirmed, after this call, that this replica leads, or with an error
  /// if that takes too long.
  void AfterLeadershipConfirmed(std::function<void(Status)> then);

 private:
  /// A call that waits until a majority has confirmed leadership.
  struct WaitingCall {
    TimePoint received;
    std::function<void(Status)> then;
  };

  [[nodiscard]] raft::ReplicaHooks MakeHooks();
  void BindMethods();
  void SendRaft(const std::string& host, const raft::Message& message);
  void OnRaftStep(const Json& body, const RpcReply& reply);
  void OnSync(const Json& body, const RpcReply& reply);
  void HandleSync(SyncReport report, const RpcReply& reply);
  void RegisterRun(const SyncReport& report, const RpcReply& reply);
  [[nodiscard]] SyncResponse BuildSyncResponse(const SyncReport& report,
                                               bool workers_complete) const;
  void ServeOperator(const HttpRequest& request, const HttpResponder& respond);
  void OnForwardedHttp(const Json& body, const RpcReply& reply);
  /// \returns whether the call was forwarded to the leader.
  [[nodiscard]] bool ForwardToLeader(const std::string& method,
                                     Json body,
                                     const RpcReply& reply);
  [[nodiscard]] std::string LeaderAddress() const;
  void OnRole(raft::Role role,
              std::uint64_t term,
              const raft::ReplicaId& leader);
  void OnTick(TimePoint now);
  void CompleteConfirmedCalls(TimePoint now);
  void StopWhenIdle();

  ControlOptions options_;
  EventLoop* loop_ = nullptr;
  FleetState state_;
  EntryReports reports_;
  Proposals proposals_;
  std::unique_ptr<raft::Replica> replica_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<RpcClient> rpc_client_;
  std::unique_ptr<RpcServer> rpc_server_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<ControlOperatorApi> operator_api_;
  std::unique_ptr<PlatformClient> platform_;
  std::unique_ptr<LeaderController> controller_;
  std::deque<WaitingCall> waiting_;
  /// Results of log entries applied while a proposal is being appended.
  std::map<std::uint64_t, CommandResult> applied_in_propose_;
  bool proposing_ = false;
  bool was_leading_ = false;
  WatchHandle tick_;
  std::function<void()> on_stopped_;
  TimePoint stop_deadline_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_CONTROL_CONTROL_SERVICE_H_
