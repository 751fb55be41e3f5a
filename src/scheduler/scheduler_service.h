#ifndef BORAGEWINCH_SCHEDULER_SCHEDULER_SERVICE_H_
#define BORAGEWINCH_SCHEDULER_SCHEDULER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "base/metrics.h"
#include "kernel/kernel.h"
#include "net/body_budget.h"
#include "net/body_budget_monitor.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"
#include "scheduler/admin_api.h"
#include "scheduler/advice_cache.h"
#include "scheduler/copy_planner.h"
#include "scheduler/host_calls.h"
#include "scheduler/host_manager.h"
#include "scheduler/job_api.h"
#include "scheduler/leader_load.h"
#include "scheduler/ledger_replica.h"
#include "scheduler/peer_builds.h"
#include "scheduler/relay.h"
#include "scheduler/task_planner.h"
#include "scheduler/worker_call_agent.h"
#include "scheduler/worker_call_router.h"
#include "scheduler/worker_calls.h"
#include "scheduler/worker_fleet.h"
#include "scheduler/worker_registry.h"

namespace boragewinch::scheduler {

/// \brief Settings of a scheduler host.
struct SchedulerOptions {
  LedgerReplicaOptions ledger;
  std::string listen_internal;  ///< internal calls of the other hosts
  std::string listen_control;   ///< calls of workers and operators
  std::string listen_metrics;   ///< empty: none
  std::string cluster_secret;
  ZoneName zone;  ///< empty if unknown
  WorkerSessionOptions worker_sessions;
  WorkerCallRouterOptions call_router;
  TaskPlannerOptions planner;
  CopyPlannerOptions copies;
  AdmissionRule admission = AdmissionRule::kBacklog;
  HostManagerOptions hosts;
  std::int64_t memory_mb = 0;  ///< of the host; 0: unknown
};

/// \brief Dependencies of the scheduler on the platform.
struct SchedulerDependencies {
  /// Create the clients for calls to workers and to the platform.
  std::function<WorkerCalls(HttpClient&)> worker_calls;
  std::function<HostCalls(HttpClient&)> host_calls;
  /// Serves a request of a caller, worker or operator on the leader.
  ServeRequest serve;
  /// Serves a request of a worker or operator on a follower. \returns false if
  /// the request must be forwarded to the leader.
  std::function<bool(const RelayedRequest&, const HttpResponder&)>
      serve_at_follower;
  /// Responds to a caller's read on a follower. \returns nothing if the request
  /// must be forwarded to the leader.
  std::function<std::optional<HttpResponse>(const RelayedRequest&)>
      read_at_follower;
};

/// \brief The service of a scheduler host: a replica of the job ledger and, on
/// the leader, all decisions on jobs, workers and hosts.
class SchedulerService final : public Service {
 public:
  SchedulerService(SchedulerOptions options,
                   SchedulerDependencies dependencies);
  ~SchedulerService() override;

  [[nodiscard]] Status Start(Kernel& kernel) override;
  void Stop(const std::function<void()>& done) override;

  [[nodiscard]] JobApi& jobs() noexcept { return *job_api_; }
  [[nodiscard]] AdminApi& admin() noexcept { return *admin_api_; }
  [[nodiscard]] WorkerRegistry& workers() noexcept { return *registry_; }
  [[nodiscard]] TimePoint now() const noexcept { return loop_->now(); }
  [[nodiscard]] jobs::UnixMillis wall_time() const {
    return loop_->unix_millis();
  }

 private:
  void ServeControl(const RelayedRequest& request,
                    const HttpResponder& respond);
  void Decide(jobs::Batch* batch, TimePoint now);
  /// \returns the copies to start beside `starts`.
  [[nodiscard]] std::vector<jobs::StartRecord> PlanCopies(
      const PlannerHooks& hooks,
      const std::vector<jobs::StartRecord>& starts,
      TimePoint now);
  void OnStored(const jobs::Batch& batch, TimePoint now);
  void OnLeadership(bool leading, TimePoint now);
  void OnTick(TimePoint now);
  void LogLoad(TimePoint now);
  void ExchangeBuilds();
  void RequestBuild();
  void StopRuns();
  /// \brief Logs the zones that the ledger of a new leader has as evacuated.
  void LogEvacuatedZones() const;
  void UpdateZoneMetrics();
  void StartCallAgents();
  void RequestAdvice(TimePoint now);
  void OpenDueOccurrences(jobs::Batch* batch, jobs::UnixMillis now) const;

  SchedulerOptions options_;
  SchedulerDependencies dependencies_;
  EventLoop* loop_ = nullptr;
  Metrics metrics_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<RpcClient> rpc_client_;
  std::unique_ptr<RpcServer> rpc_server_;
  std::unique_ptr<LedgerReplica> replica_;
  std::unique_ptr<WorkerFleet> fleet_;
  std::unique_ptr<JobApi> job_api_;
  std::unique_ptr<AdminApi> admin_api_;
  std::unique_ptr<WorkerRegistry> registry_;
  std::unique_ptr<HostManager> hosts_;
  WorkerCalls worker_calls_;  ///< direct calls from this host
  std::unique_ptr<WorkerCallRouter> call_router_;
  std::unique_ptr<WorkerCallAgent> call_agent_;
  WatchHandle call_flush_;
  std::unique_ptr<AdviceCache> advice_;
  TaskPlanner planner_;
  CopyPlanner copy_planner_;
  LeaderLoad load_;
  std::set<ZoneName> reported_zones_;  ///< zones that have a gauge
  PeerBuilds peer_builds_;
  std::unique_ptr<RelayServer> relay_;
  std::unique_ptr<RelayClient> control_relay_;  ///< used on followers
  std::unique_ptr<BodyBudget> budget_;          ///< used by the servers
  std::unique_ptr<BodyBudgetMonitor> budget_monitor_;
  std::unique_ptr<HttpServer> internal_;
  std::unique_ptr<HttpServer> control_;
  std::unique_ptr<HttpServer> metrics_server_;
  WatchHandle tick_;
  WatchHandle build_tick_;
  WatchHandle stop_timer_;
  std::uint64_t leadership_epoch_ = 0;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_SCHEDULER_SERVICE_H_
