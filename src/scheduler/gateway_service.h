#ifndef BORAGEWINCH_SCHEDULER_GATEWAY_SERVICE_H_
#define BORAGEWINCH_SCHEDULER_GATEWAY_SERVICE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/metrics.h"
#include "kernel/kernel.h"
#include "net/body_budget.h"
#include "net/body_budget_monitor.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/rpc_client.h"
#include "scheduler/relay.h"
#include "scheduler/stall_detector.h"

namespace boragewinch::scheduler {

/// \brief Settings of a gateway host.
struct GatewayOptions {
  std::string listen_callers;
  std::string listen_ready;    ///< readiness probe of the load balancer
  std::string listen_metrics;  ///< empty: none
  std::string cluster_secret;
  RelayClient::Options relay;
  /// Which hosts respond to reads of callers.
  Responders reads = Responders::kLeader;
  std::int64_t memory_mb = 0;  ///< of the host; 0: unknown
  /// Time for which a stopping host reports not ready but still accepts
  /// connections. The load balancer probes once a second and removes the host
  /// after the second failure.
  Millis stop_not_ready_time{2'500};
  /// Time for which a stopping host then waits for open requests.
  Millis stop_drain_timeout{2'500};
};

/// \brief What a gateway needs to know of a request.
struct CallerRequests {
  /// \returns how long the caller waits for the response.
  std::function<Millis(const HttpRequest&)> timeout;
  /// \returns whether the request only reads.
  std::function<bool(const HttpRequest&)> is_read;
};

/// \brief The service of a gateway host: accepts callers' requests and forwards
/// them to the leader of the scheduler. It has no persistent state.
class GatewayService final : public Service {
 public:
  GatewayService(GatewayOptions options, CallerRequests requests);
  ~GatewayService() override;

  [[nodiscard]] Status Start(Kernel& kernel) override;
  void Stop(const std::function<void()>& done) override;
  [[nodiscard]] std::size_t open_requests() const override;

 private:
  void Serve(HttpRequest request, const HttpResponder& respond);
  [[nodiscard]] bool Ready(TimePoint now) const;
  void FinishStop(TimePoint now);

  GatewayOptions options_;
  CallerRequests requests_;
  EventLoop* loop_ = nullptr;
  Metrics metrics_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<RpcClient> rpc_;
  std::unique_ptr<RelayClient> relay_;
  std::unique_ptr<BodyBudget> budget_;  ///< used by the servers
  std::unique_ptr<BodyBudgetMonitor> budget_monitor_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> readiness_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  WatchHandle refresh_;
  WatchHandle stall_tick_;
  StallDetector stall_;
  WatchHandle stop_tick_;
  std::function<void()> on_stopped_;
  TimePoint stop_accepting_at_;
  TimePoint stop_deadline_;
  bool stopping_ = false;
  bool accepting_ = true;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_GATEWAY_SERVICE_H_
