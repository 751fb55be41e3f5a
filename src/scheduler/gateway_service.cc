#include "scheduler/gateway_service.h"

#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

namespace {

/// Interval between queries for the leader.
constexpr Millis kRefreshInterval{1'000};
/// A host that has received no response of a leader for three of these
/// intervals is not ready.
constexpr Millis kLeaderTimeout{3'000};
constexpr Millis kStopPollInterval{50};
/// A response is sent 150 ms before its caller times out, so event-loop stalls
/// near that length must be detected.
constexpr Millis kStallTickInterval{50};
constexpr Millis kMinStall{125};
constexpr Millis kStallBacklog{100};
/// Time for a stopping host to write its last responses.
constexpr Millis kStopResponseTime{100};
constexpr std::size_t kMaxBodyBytes = 512UL * 1024;
/// Requests that may wait for the leader; further ones are rejected at once.
constexpr std::size_t kMaxOpenRequests = 2'000;

}  // namespace

GatewayService::GatewayService(GatewayOptions options, CallerRequests requests)
    : options_(std::move(options)),
      requests_(std::move(requests)),
      stall_(kMinStall, kStallBacklog) {}

GatewayService::~GatewayService() = default;

Status GatewayService::Start(Kernel& kernel) {
  loop_ = &kernel.loop();
  client_ = std::make_unique<HttpClient>(*loop_, HttpClientLimits{});
  rpc_ = std::make_unique<RpcClient>(*client_, options_.cluster_secret);
  relay_ = std::make_unique<RelayClient>(*loop_, *rpc_, options_.relay);
  budget_ = std::make_unique<BodyBudget>(
      BodyBudgetLimitsFor(options_.memory_mb, BodyBudgetUse::kGateway));
  budget_monitor_ = std::make_unique<BodyBudgetMonitor>(*loop_, *budget_);
  HttpServerLimits limits;
  limits.max_body_bytes = kMaxBodyBytes;
  caller_server_ = std::make_unique<HttpServer>(
      *loop_, limits,
      [this](HttpRequest request, const HttpResponder& respond) {
        Serve(std::move(request), respond);
      },
      budget_.get());
  BW_CHECK(caller_server_->Listen(options_.listen_callers));
  readiness_server_ = std::make_unique<HttpServer>(
      *loop_, limits,
      [this](const HttpRequest&, const HttpResponder& respond) {
        respond({Ready(loop_->now()) ? 200 : 503, "{}"});
      },
      budget_.get());
  BW_CHECK(readiness_server_->Listen(options_.listen_ready));
  if (!options_.listen_metrics.empty()) {
    metrics_server_ = std::make_unique<HttpServer>(
        *loop_, limits,
        [this](const HttpRequest&, const HttpResponder& respond) {
          metrics_.Gauge("log_lines_dropped", {},
                         static_cast<double>(DroppedLogLines()));
          budget_monitor_->Export(metrics_);
          respond({200, metrics_.PrometheusText(), kPrometheusContentType});
        },
        budget_.get());
    BW_CHECK(metrics_server_->Listen(options_.listen_metrics));
  }
  stall_tick_ = loop_->Every(kStallTickInterval,
                             [this](TimePoint now) { stall_.Tick(now); });
  relay_->Refresh();
  refresh_ =
      loop_->Every(kRefreshInterval, [this](TimePoint) { relay_->Refresh(); });
  return Ok();
}

bool GatewayService::Ready(TimePoint now) const {
  return !stopping_ && relay_->last_leader_response() != TimePoint() &&
         now - relay_->last_leader_response() < kLeaderTimeout;
}

void GatewayService::Serve(HttpRequest request, const HttpResponder& respond) {
  const TimePoint now = loop_->now();
  if (caller_server_->open_requests() > kMaxOpenRequests) {
    LogEvent(EventId::kBoundReached, {{"bound", "open_requests"}});
    respond({503,
             R"({"error":"table_full"})",
             "application/json",
             {{"Retry-After", "1"}}});
    return;
  }
  const Millis timeout = requests_.timeout(request) - stall_.PossibleDelay(now);
  const Responders responders =
      requests_.is_read(request) ? options_.reads : Responders::kLeader;
  relay_->Send(
      {Surface::kCallers, std::move(request)}, now + timeout,
      [this, respond, now](HttpResponse response) {
        metrics_.Observe("relay", {"", std::to_string(response.status)},
                         loop_->now() - now);
        respond(std::move(response));
      },
      responders);
}

std::size_t GatewayService::open_requests() const {
  return caller_server_ ? caller_server_->open_requests() : 0;
}

void GatewayService::Stop(const std::function<void()>& done) {
  const TimePoint now = loop_->now();
  stopping_ = true;
  on_stopped_ = done;
  stop_accepting_at_ = now + options_.stop_not_ready_time;
  stop_deadline_ = stop_accepting_at_ + options_.stop_drain_timeout;
  // Every request needs a response: without one the caller cannot know whether
  // a leader has accepted it or still may.
  relay_->StopRetriesAt(stop_deadline_ - options_.relay.attempt_timeout -
                        kStopResponseTime);
  stop_tick_ =
      loop_->Every(kStopPollInterval, [this](TimePoint at) { FinishStop(at); });
}

void GatewayService::FinishStop(TimePoint now) {
  if (now < stop_accepting_at_)
    return;
  if (std::exchange(accepting_, false))
    caller_server_->StopAccepting();
  if (caller_server_->open_requests() > 0 && now < stop_deadline_)
    return;
  stop_tick_.reset();
  refresh_.reset();
  std::exchange(on_stopped_, nullptr)();
}

}  // namespace boragewinch::scheduler
