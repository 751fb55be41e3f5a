#include "scheduler/gateway_service.h"

#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

namespace {

/// Interval between queries for the leader. A host without a response of a
/// leader for three intervals is not ready.
constexpr Millis kRefreshInterval{1'000};
constexpr Millis kLeaderSilence{3'000};
constexpr Millis kStopTick{50};
/// A response is sent 150 ms before its caller times out, so event-loop stalls
/// near that length must be detected.
constexpr Millis kStallTick{50};
constexpr Millis kShortestStall{125};
constexpr Millis kStallBacklog{100};
/// Time for a stopping host to write its last responses.
constexpr Millis kStopAnswerTime{100};
constexpr std::size_t kMaxBodyBytes = 512UL * 1024;
/// Requests that may wait for the leader; further ones are rejected at once.
constexpr std::size_t kMaxOpenRequests = 2'000;

}  // namespace

GatewayService::GatewayService(GatewayOptions options, CallerPatience patience)
    : options_(std::move(options)),
      patience_(std::move(patience)),
      stall_(kShortestStall, kStallBacklog) {}

GatewayService::~GatewayService() = default;

Status GatewayService::Start(Kernel& kernel) {
  loop_ = &kernel.loop();
  client_ = std::make_unique<HttpClient>(*loop_, HttpClientLimits{});
  rpc_ = std::make_unique<RpcClient>(*client_, options_.cluster_secret);
  relay_ = std::make_unique<RelayClient>(*loop_, *rpc_, options_.relay);
  HttpServerLimits limits;
  limits.max_body_bytes = kMaxBodyBytes;
  callers_ = std::make_unique<HttpServer>(
      *loop_, limits,
      [this](HttpRequest request, const HttpResponder& respond) {
        Serve(std::move(request), respond);
      });
  BW_CHECK(callers_->Listen(options_.listen_callers));
  ready_ = std::make_unique<HttpServer>(
      *loop_, limits, [this](const HttpRequest&, const HttpResponder& respond) {
        respond({Ready(loop_->now()) ? 200 : 503, "{}"});
      });
  BW_CHECK(ready_->Listen(options_.listen_ready));
  if (!options_.listen_metrics.empty()) {
    metrics_server_ = std::make_unique<HttpServer>(
        *loop_, limits,
        [this](const HttpRequest&, const HttpResponder& respond) {
          respond({200, metrics_.PrometheusText(), kPrometheusContentType});
        });
    BW_CHECK(metrics_server_->Listen(options_.listen_metrics));
  }
  stall_tick_ =
      loop_->Every(kStallTick, [this](TimePoint now) { stall_.Tick(now); });
  relay_->Refresh();
  refresh_ =
      loop_->Every(kRefreshInterval, [this](TimePoint) { relay_->Refresh(); });
  return Ok();
}

bool GatewayService::Ready(TimePoint now) const {
  return !stopping_ && relay_->leader_heard() != TimePoint() &&
         now - relay_->leader_heard() < kLeaderSilence;
}

void GatewayService::Serve(HttpRequest request, const HttpResponder& respond) {
  const TimePoint now = loop_->now();
  if (callers_->open_requests() > kMaxOpenRequests) {
    LogEvent(EventId::kBoundReached, {{"bound", "open_requests"}});
    respond({503,
             R"({"error":"table_full"})",
             "application/json",
             {{"Retry-After", "1"}}});
    return;
  }
  const Millis patience = patience_(request) - stall_.Waited(now);
  relay_->Send({Surface::kCallers, std::move(request)}, now + patience,
               [this, respond, now](HttpResponse response) {
                 metrics_.Observe("relay",
                                  {"", std::to_string(response.status)},
                                  loop_->now() - now);
                 respond(std::move(response));
               });
}

std::size_t GatewayService::open_requests() const {
  return callers_ ? callers_->open_requests() : 0;
}

void GatewayService::Stop(const std::function<void()>& done) {
  const TimePoint now = loop_->now();
  stopping_ = true;
  stopped_ = done;
  stop_accepting_at_ = now + options_.stop_ready_wait;
  stop_until_ = stop_accepting_at_ + options_.stop_open_wait;
  // Every request needs a response: without one the caller can't know whether
  // an attempt reached a leader.
  relay_->StopTriesAt(stop_until_ - options_.relay.try_timeout -
                      kStopAnswerTime);
  stop_tick_ =
      loop_->Every(kStopTick, [this](TimePoint at) { StopWhenQuiet(at); });
}

void GatewayService::StopWhenQuiet(TimePoint now) {
  if (now < stop_accepting_at_)
    return;
  if (std::exchange(accepting_, false))
    callers_->StopAccepting();
  if (callers_->open_requests() > 0 && now < stop_until_)
    return;
  stop_tick_.reset();
  refresh_.reset();
  std::exchange(stopped_, nullptr)();
}

}  // namespace boragewinch::scheduler
