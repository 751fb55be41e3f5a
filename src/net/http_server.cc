#include "net/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "base/json.h"

namespace boragewinch {

namespace {

// Limits the request line and headers of one request; larger ones get status
// 414 or 431.
constexpr std::size_t kConnectionMemoryBytes = 32 * 1024;

[[nodiscard]] HttpResponse ErrorResponse(int status,
                                         ErrorCode code,
                                         const std::string& detail) {
  Json json;
  json["error"] = std::string(kErrorCodes.Name(code));
  json["detail"] = detail;
  return {status, WriteJson(json)};
}

MHD_Result CollectHeader(void* target,
                         MHD_ValueKind,
                         const char* name,
                         const char* value) {
  std::string lower(name);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  (*static_cast<std::map<std::string, std::string>*>(target))[lower] =
      value ? value : "";
  return MHD_YES;
}

MHD_Result CollectQuery(void* target,
                        MHD_ValueKind,
                        const char* name,
                        const char* value) {
  (*static_cast<std::map<std::string, std::string>*>(target))[name] =
      value ? value : "";
  return MHD_YES;
}

}  // namespace

struct HttpResponder::State {
  MHD_Connection* connection = nullptr;
  std::optional<HttpResponse> response;
  HttpRequest request;
  bool too_large = false;
  bool dispatched = false;
  bool suspended = false;
  bool closed = false;
  std::function<void()> on_resumed;  ///< called after the connection resumed
};

HttpResponder::HttpResponder(std::shared_ptr<State> state)
    : state_(std::move(state)) {}

void HttpResponder::operator()(HttpResponse response) const {
  if (state_->closed || state_->response)
    return;
  state_->response = std::move(response);
  if (state_->suspended) {
    state_->suspended = false;
    MHD_resume_connection(state_->connection);
    state_->on_resumed();
  }
}

struct HttpServer::Impl {
  using RequestState = HttpResponder::State;

  Impl(EventLoop& event_loop,
       HttpServerLimits server_limits,
       Handler on_request)
      : loop(event_loop),
        limits(server_limits),
        handler(std::move(on_request)) {}

  static MHD_Result Access(void* self,
                           MHD_Connection* connection,
                           const char* url,
                           const char* method,
                           const char*,
                           const char* data,
                           size_t* size,
                           void** context) {
    auto* impl = static_cast<Impl*>(self);
    if (*context == nullptr)
      return impl->Begin(connection, url, method, context);
    auto& state = *static_cast<std::shared_ptr<RequestState>*>(*context);
    if (*size > 0) {
      impl->Receive(*state, data, *size);
      *size = 0;
      return MHD_YES;
    }
    return impl->Respond(connection, state);
  }

  static void Completed(void* self,
                        MHD_Connection*,
                        void** context,
                        MHD_RequestTerminationCode) {
    if (*context == nullptr)
      return;
    auto* state = static_cast<std::shared_ptr<RequestState>*>(*context);
    (*state)->closed = true;
    --static_cast<Impl*>(self)->open;
    delete state;
    *context = nullptr;
  }

  MHD_Result Begin(MHD_Connection* connection,
                   const char* url,
                   const char* method,
                   void** context) {
    auto state = std::make_shared<RequestState>();
    state->connection = connection;
    state->request.method = method;
    state->request.path = url;
    state->on_resumed = [this, key = std::weak_ptr(state)] {
      suspended.erase(key.lock());
      ScheduleRun();
    };
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              &state->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectQuery,
                              &state->request.query);
    // Freed by Completed, which libmicrohttpd calls for every request.
    *context = new std::shared_ptr<RequestState>(std::move(state));
    ++open;
    return MHD_YES;
  }

  void Receive(RequestState& state, const char* data, std::size_t size) const {
    if (state.request.body.size() + size > limits.max_body_bytes)
      state.too_large = true;
    if (!state.too_large)
      state.request.body.append(data, size);
  }

  MHD_Result Respond(MHD_Connection* connection,
                     const std::shared_ptr<RequestState>& state) {
    if (!state->dispatched) {
      state->dispatched = true;
      if (state->too_large) {
        LogEvent(EventId::kBoundReached, {{"bound", "body_bytes"}});
        state->response =
            ErrorResponse(413, ErrorCode::kTooLarge,
                          "request body exceeds " +
                              std::to_string(limits.max_body_bytes) + " bytes");
      } else if (closing) {
        state->response = ErrorResponse(503, ErrorCode::kUnavailable,
                                        "the server is shutting down");
      } else {
        handler(std::move(state->request), HttpResponder(state));
      }
    }
    if (!state->response) {
      state->suspended = true;
      suspended.insert(state);
      MHD_suspend_connection(connection);
      return MHD_YES;
    }
    return Send(connection, *state->response);
  }

  MHD_Result Send(MHD_Connection* connection,
                  const HttpResponse& response) const {
    MHD_Response* mhd_response = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char*>(response.body.data()),
        MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            response.content_type.c_str());
    for (const auto& [name, value] : response.headers)
      MHD_add_response_header(mhd_response, name.c_str(), value.c_str());
    if (stopping)
      MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONNECTION,
                              "close");
    const MHD_Result result = MHD_queue_response(
        connection, static_cast<unsigned>(response.status), mhd_response);
    MHD_destroy_response(mhd_response);
    return result;
  }

  void ScheduleRun() {
    if (run_scheduled)
      return;
    run_scheduled = true;
    loop.Post([this, alive = std::weak_ptr<int>(lifetime)] {
      if (alive.expired())
        return;
      run_scheduled = false;
      Run();
    });
  }

  void Run() {
    MHD_run(daemon);
    MHD_UNSIGNED_LONG_LONG wait_ms = 0;
    timer.reset();
    if (MHD_get_timeout(daemon, &wait_ms) == MHD_YES) {
      if (wait_ms == 0) {
        ScheduleRun();
        return;
      }
      timer = loop.After(Millis(static_cast<std::int64_t>(wait_ms)),
                         [this](TimePoint) { ScheduleRun(); });
    }
  }

  EventLoop& loop;
  HttpServerLimits limits;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  std::string address;
  WatchHandle readable;
  WatchHandle timer;
  std::shared_ptr<int> lifetime = std::make_shared<int>(0);
  std::set<std::shared_ptr<RequestState>> suspended;
  std::size_t open = 0;
  bool run_scheduled = false;
  bool stopping = false;
  bool closing = false;  ///< being destroyed; the handler is not called
};

HttpServer::HttpServer(EventLoop& loop,
                       HttpServerLimits limits,
                       Handler handler)
    : impl_(std::make_unique<Impl>(loop, limits, std::move(handler))) {}

HttpServer::~HttpServer() {
  impl_->readable.reset();
  impl_->timer.reset();
  if (impl_->daemon) {
    // A planned stop first waits for open_requests() to reach 0. Requests that
    // are still open get a response here, since libmicrohttpd aborts the
    // process if it is stopped while a connection is suspended. Their handler
    // may have passed them on, so the outcome is unknown; requests that are
    // read from now on are certainly not executed.
    impl_->closing = true;
    const auto unanswered = impl_->suspended;
    for (const auto& state : unanswered) {
      const HttpResponder respond(state);
      respond(ErrorResponse(504, ErrorCode::kUnavailable,
                            "the server was shut down before the response"));
    }
    MHD_run(impl_->daemon);
    MHD_stop_daemon(impl_->daemon);
  }
  impl_->lifetime.reset();
}

Status HttpServer::Listen(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  if (colon == std::string::npos ||
      inet_pton(AF_INET, address.substr(0, colon).c_str(),
                &endpoint.sin_addr) != 1) {
    return Fail(ErrorCode::kTransport, "\"" + address + "\" is not IPv4:port");
  }
  endpoint.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  impl_->daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
      &Impl::Access, impl_.get(), MHD_OPTION_SOCK_ADDR, &endpoint,
      MHD_OPTION_NOTIFY_COMPLETED, &Impl::Completed, impl_.get(),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes,
      MHD_OPTION_CONNECTION_LIMIT, impl_->limits.max_connections,
      MHD_OPTION_PER_IP_CONNECTION_LIMIT,
      impl_->limits.max_connections_per_address, MHD_OPTION_CONNECTION_TIMEOUT,
      impl_->limits.idle_seconds, MHD_OPTION_END);
  if (impl_->daemon == nullptr)
    return Fail(ErrorCode::kTransport, "can't listen on " + address);
  const MHD_DaemonInfo* port =
      MHD_get_daemon_info(impl_->daemon, MHD_DAEMON_INFO_BIND_PORT);
  impl_->address = address.substr(0, colon + 1) + std::to_string(port->port);
  const MHD_DaemonInfo* epoll =
      MHD_get_daemon_info(impl_->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  impl_->readable =
      impl_->loop.OnReady(epoll->epoll_fd, {.readable = true},
                          [impl = impl_.get()](Readiness) { impl->Run(); });
  LogEvent(EventId::kPortOpen, {{"address", impl_->address}});
  return Ok();
}

const std::string& HttpServer::address() const noexcept {
  return impl_->address;
}

void HttpServer::StopAccepting() {
  impl_->stopping = true;
  if (impl_->daemon) {
    if (const int listener = MHD_quiesce_daemon(impl_->daemon); listener >= 0)
      close(listener);
  }
}

std::size_t HttpServer::open_requests() const noexcept {
  return impl_->open;
}

}  // namespace boragewinch
