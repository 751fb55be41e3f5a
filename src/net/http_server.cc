#include "net/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/json.h"

namespace boragewinch {

namespace {

// Limits the request line and headers of one request; larger ones get status
// 414 or 431.
constexpr std::size_t kConnectionMemoryBytes = 32 * 1024;

// A header that is kept costs a tree node and two strings beside its bytes.
constexpr std::size_t kHeaderOverheadBytes = 160;

// A request that is being handled holds its body, the message that forwards or
// stores it, and the copy that the HTTP client or the log sends.
constexpr std::size_t kCopiesOfBody = 3;

// A sender of fewer bytes at a time makes no progress that delays its eviction,
// otherwise a byte now and then would keep a body for ever.
constexpr std::size_t kProgressBytes = 1024;

// Interval at which connections are closed whose clients have gone.
constexpr Millis kEndedInterval{1'000};

// Responses up to this size are sent even if the budget is full: the request
// has been carried out, and its memory is larger than that.
constexpr std::size_t kSmallResponseBytes = 16UL * 1024;

// A refused client may send this much of its body before the connection is
// closed. If it were closed at once, the reset that follows unread bytes could
// overtake the response.
constexpr std::size_t kMaxDroppedBytes = 16UL * 1024 * 1024;
constexpr int kMaxDroppedIntervals = 2;

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

[[nodiscard]] HttpResponse NoMemoryResponse() {
  HttpResponse response = ErrorResponse(503, ErrorCode::kUnavailable,
                                        "the memory for requests is used up");
  response.headers["Retry-After"] = "1";
  return response;
}

[[nodiscard]] std::size_t HeaderBytes(const HttpRequest& request) {
  std::size_t bytes = request.path.size();
  for (const auto* map : {&request.headers, &request.query}) {
    for (const auto& [name, value] : *map)
      bytes += name.size() + value.size() + kHeaderOverheadBytes;
  }
  return bytes;
}

/// \returns the value of Content-Length, which libmicrohttpd has checked;
/// nothing for chunked bodies.
[[nodiscard]] std::optional<std::size_t> DeclaredLength(
    const HttpRequest& request) {
  const auto header = request.headers.find("content-length");
  if (header == request.headers.end() ||
      request.headers.count("transfer-encoding") > 0) {
    return std::nullopt;
  }
  std::size_t length = 0;
  const char* end = header->second.data() + header->second.size();
  const auto [rest, error] =
      std::from_chars(header->second.data(), end, length);
  if (error == std::errc::result_out_of_range)
    return std::numeric_limits<std::size_t>::max();
  return error == std::errc() && rest == end ? std::optional(length)
                                             : std::nullopt;
}

[[nodiscard]] std::string ClientAddress(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  if (info == nullptr || info->client_addr == nullptr ||
      info->client_addr->sa_family != AF_INET) {
    return "";
  }
  const auto* endpoint =
      reinterpret_cast<const sockaddr_in*>(info->client_addr);
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &endpoint->sin_addr, text, sizeof(text));
  return text;
}

/// \returns a response that is written to the socket itself: libmicrohttpd
/// can't send one in the middle of a body.
[[nodiscard]] std::string Serialize(const HttpResponse& response) {
  std::string text =
      "HTTP/1.1 " + std::to_string(response.status) + " " +
      MHD_get_reason_phrase_for(static_cast<unsigned>(response.status)) +
      "\r\nContent-Type: " + response.content_type +
      "\r\nContent-Length: " + std::to_string(response.body.size());
  for (const auto& [name, value] : response.headers)
    text += "\r\n" + name + ": " + value;
  return text + "\r\nConnection: close\r\n\r\n" + response.body;
}

/// A client's connection, from its acceptance to its end.
struct Connection {
  int socket = -1;
  BodyBudget::Id id = 0;
  bool evicted = false;
  HttpResponder::State* request = nullptr;  ///< the current one
};

}  // namespace

struct HttpResponder::State {
  MHD_Connection* connection = nullptr;
  std::optional<HttpResponse> response;
  HttpRequest request;
  std::optional<std::size_t> declared;  ///< Content-Length
  std::size_t header_bytes = 0;
  std::size_t progress = 0;  ///< bytes since the last noted progress
  bool has_body = false;
  bool refused = false;  ///< the response is sent; the body is dropped
  std::size_t dropped = 0;
  int dropped_intervals = 0;
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
       Handler on_request,
       BodyBudget* body_budget,
       HttpAdmit on_headers)
      : loop(event_loop),
        limits(server_limits),
        handler(std::move(on_request)),
        budget(body_budget),
        admit(std::move(on_headers)) {}

  static Connection& Of(MHD_Connection* connection) {
    return *static_cast<Connection*>(
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context);
  }

  static void OnConnection(void* self,
                           MHD_Connection* connection,
                           void** context,
                           MHD_ConnectionNotificationCode code) {
    auto* impl = static_cast<Impl*>(self);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
      auto* closed = static_cast<Connection*>(*context);
      if (impl->budget)
        impl->budget->Close(closed->id);
      impl->connections.erase(closed);
      delete closed;
      *context = nullptr;
      return;
    }
    auto* opened = new Connection;
    *context = opened;
    impl->connections.insert(opened);
    opened->socket =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    if (!impl->budget)
      return;
    opened->id = impl->budget->Open(ClientAddress(connection),
                                    [impl, opened] { impl->Evict(*opened); });
    if (!impl->budget->Resize(opened->id, kConnectionMemoryBytes)) {
      impl->budget->CountRefusal();
      impl->Evict(*opened);
    }
  }

  // libmicrohttpd closes the connection when it finds the socket shut down.
  void Evict(Connection& connection) {
    connection.evicted = true;
    if (RequestState* state = connection.request;
        state != nullptr && !state->response && !state->refused) {
      Drop(*state);
      SendNow(connection, NoMemoryResponse());
    }
    shutdown(connection.socket, SHUT_RDWR);
    ScheduleRun();
  }

  // libmicrohttpd misses the end of a stream that arrives together with the
  // last bytes (epoll reports both at once), and would keep the connection
  // until it is idle for too long.
  // Refused connections are closed as well if their clients go on sending.
  void CloseEnded() {
    std::vector<pollfd> polled;
    for (const Connection* connection : connections) {
      if (RequestState* state = connection->request;
          state != nullptr && state->refused &&
          ++state->dropped_intervals > kMaxDroppedIntervals) {
        shutdown(connection->socket, SHUT_RDWR);
      }
      // A client may end its stream after a whole request and still read.
      if (connection->request == nullptr || !connection->request->dispatched)
        polled.push_back({connection->socket, POLLRDHUP, 0});
    }
    if (poll(polled.data(), polled.size(), 0) <= 0)
      return;
    for (const pollfd& ended : polled) {
      int unread = 0;
      if (ended.revents != 0 && ioctl(ended.fd, FIONREAD, &unread) == 0 &&
          unread == 0) {
        shutdown(ended.fd, SHUT_RDWR);
      }
    }
    ScheduleRun();
  }

  // Frees the request. An assignment of an empty one would keep the memory of
  // its body.
  static void Drop(RequestState& state) {
    const HttpRequest dropped = std::move(state.request);
  }

  // Sends a response as far as the socket accepts it.
  static void SendNow(const Connection& connection,
                      const HttpResponse& response) {
    const std::string text = Serialize(response);
    (void)send(connection.socket, text.data(), text.size(),
               MSG_NOSIGNAL | MSG_DONTWAIT);
  }

  // Responds to a request whose body is not complete and drops what still
  // arrives of it.
  void Refuse(const Connection& connection,
              RequestState& state,
              const HttpResponse& response) const {
    state.refused = true;
    Drop(state);
    state.header_bytes = 0;
    if (budget)
      budget->ForceResize(connection.id, kConnectionMemoryBytes);
    SendNow(connection, response);
    shutdown(connection.socket, SHUT_WR);
  }

  [[nodiscard]] bool Resize(const Connection& connection,
                            const RequestState& state,
                            std::size_t bytes) const {
    return !budget ||
           budget->Resize(connection.id,
                          kConnectionMemoryBytes + state.header_bytes + bytes);
  }

  static MHD_Result Access(void* self,
                           MHD_Connection* connection,
                           const char* url,
                           const char* method,
                           const char*,
                           const char* data,
                           size_t* size,
                           void** context) {
    auto* impl = static_cast<Impl*>(self);
    Connection& client = Of(connection);
    if (client.evicted)
      return MHD_NO;
    if (*context == nullptr)
      return impl->Begin(connection, client, url, method, context);
    auto& state = *static_cast<std::shared_ptr<RequestState>*>(*context);
    if (*size > 0) {
      const bool received = impl->Receive(client, *state, data, *size);
      *size = 0;
      return received ? MHD_YES : MHD_NO;
    }
    return impl->Respond(connection, client, state);
  }

  static void Completed(void* self,
                        MHD_Connection* connection,
                        void** context,
                        MHD_RequestTerminationCode) {
    if (*context == nullptr)
      return;
    auto* impl = static_cast<Impl*>(self);
    auto* state = static_cast<std::shared_ptr<RequestState>*>(*context);
    (*state)->closed = true;
    --impl->open;
    delete state;
    *context = nullptr;
    Connection& client = Of(connection);
    client.request = nullptr;
    if (impl->budget) {
      impl->budget->ForceResize(client.id, kConnectionMemoryBytes);
      impl->budget->SetPinned(client.id, false);
      impl->budget->Touch(client.id);
    }
  }

  MHD_Result Begin(MHD_Connection* connection,
                   Connection& client,
                   const char* url,
                   const char* method,
                   void** context) {
    auto owned = std::make_shared<RequestState>();
    RequestState& state = *owned;
    state.connection = connection;
    state.request.method = method;
    state.request.path = url;
    state.on_resumed = [this, key = std::weak_ptr(owned)] {
      suspended.erase(key.lock());
      ScheduleRun();
    };
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              &state.request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &CollectQuery,
                              &state.request.query);
    state.declared = DeclaredLength(state.request);
    state.header_bytes = HeaderBytes(state.request);
    state.has_body = state.declared.value_or(0) > 0 ||
                     state.request.headers.count("transfer-encoding") > 0;
    // Freed by Completed, which libmicrohttpd calls for every request.
    *context = new std::shared_ptr<RequestState>(std::move(owned));
    client.request = &state;
    ++open;
    std::optional<HttpResponse> refusal = RefusalOf(client, state);
    if (!refusal)
      return MHD_YES;
    if (state.has_body) {
      Refuse(client, state, *refusal);
      return MHD_YES;
    }
    state.response = std::move(refusal);
    state.dispatched = true;
    return Send(connection, client, state, true);
  }

  /// \returns the response to a request that is refused by its headers.
  [[nodiscard]] std::optional<HttpResponse> RefusalOf(
      const Connection& client,
      const RequestState& state) const {
    if (admit) {
      HttpAdmission admission = admit(state.request);
      if (admission.refusal)
        return std::move(admission.refusal);
      if (budget)
        budget->SetSender(client.id, admission.sender);
    }
    if (state.declared && *state.declared > limits.max_body_bytes)
      return TooLargeResponse();
    if (budget)
      budget->Touch(client.id);
    if (!Resize(client, state, 0)) {
      budget->CountRefusal();
      return NoMemoryResponse();
    }
    return std::nullopt;
  }

  [[nodiscard]] HttpResponse TooLargeResponse() const {
    LogEvent(EventId::kBoundReached, {{"bound", "body_bytes"}});
    return ErrorResponse(413, ErrorCode::kTooLarge,
                         "request body exceeds " +
                             std::to_string(limits.max_body_bytes) + " bytes");
  }

  /// \returns false if the connection is to be closed.
  [[nodiscard]] bool Receive(const Connection& client,
                             RequestState& state,
                             const char* data,
                             std::size_t size) const {
    if (state.refused) {
      state.dropped += size;
      return state.dropped <= kMaxDroppedBytes;
    }
    std::string& body = state.request.body;
    const std::size_t needed = body.size() + size;
    if (needed > limits.max_body_bytes) {
      Refuse(client, state, TooLargeResponse());
      return true;
    }
    if (needed > body.capacity()) {
      const std::size_t capacity = std::max(
          needed, std::min(2 * body.capacity(),
                           state.declared.value_or(limits.max_body_bytes)));
      if (!Resize(client, state, capacity)) {
        budget->CountRefusal();
        Refuse(client, state, NoMemoryResponse());
        return true;
      }
      // std::string::reserve would at least double the capacity.
      std::string larger;
      larger.reserve(capacity);
      larger.append(body);
      body = std::move(larger);
    }
    body.append(data, size);
    state.progress += size;
    if (budget && state.progress >= kProgressBytes) {
      state.progress = 0;
      budget->Touch(client.id);
    }
    return true;
  }

  MHD_Result Respond(MHD_Connection* connection,
                     Connection& client,
                     const std::shared_ptr<RequestState>& state) {
    if (state->refused)
      return MHD_NO;  // the body is complete; closes the connection
    if (!state->dispatched) {
      state->dispatched = true;
      const std::size_t bytes =
          kCopiesOfBody * state->request.body.capacity() + state->header_bytes;
      if (closing) {
        state->response = ErrorResponse(503, ErrorCode::kUnavailable,
                                        "the server is shutting down");
      } else if (!Resize(client, *state, bytes)) {
        budget->CountRefusal();
        Drop(*state);
        state->response = NoMemoryResponse();
      } else {
        if (budget)
          budget->SetPinned(client.id, true);
        handler(std::move(state->request), HttpResponder(state));
      }
    }
    if (!state->response) {
      state->suspended = true;
      suspended.insert(state);
      MHD_suspend_connection(connection);
      return MHD_YES;
    }
    return Send(connection, client, *state, stopping);
  }

  MHD_Result Send(MHD_Connection* connection,
                  const Connection& client,
                  RequestState& state,
                  bool close) const {
    Drop(state);
    state.header_bytes = 0;
    if (!Resize(client, state, state.response->body.size())) {
      budget->CountRefusal();
      // The request has been carried out, so its outcome must not be given as
      // a refusal.
      if (state.response->body.size() > kSmallResponseBytes) {
        state.response = ErrorResponse(504, ErrorCode::kUnavailable,
                                       "no memory for the response");
      }
      budget->ForceResize(client.id,
                          kConnectionMemoryBytes + state.response->body.size());
    }
    if (budget) {
      budget->SetPinned(client.id, false);
      budget->Touch(client.id);
    }
    const HttpResponse& response = *state.response;
    // The response lives until Completed is called.
    MHD_Response* mhd_response = MHD_create_response_from_buffer(
        response.body.size(), const_cast<char*>(response.body.data()),
        MHD_RESPMEM_PERSISTENT);
    MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONTENT_TYPE,
                            response.content_type.c_str());
    for (const auto& [name, value] : response.headers)
      MHD_add_response_header(mhd_response, name.c_str(), value.c_str());
    if (close)
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
  BodyBudget* budget;
  HttpAdmit admit;
  MHD_Daemon* daemon = nullptr;
  std::string address;
  WatchHandle readable;
  WatchHandle timer;
  WatchHandle ended_timer;
  std::set<Connection*> connections;
  std::shared_ptr<int> lifetime = std::make_shared<int>(0);
  std::set<std::shared_ptr<RequestState>> suspended;
  std::size_t open = 0;
  bool run_scheduled = false;
  bool stopping = false;
  bool closing = false;  ///< being destroyed; the handler is not called
};

HttpServer::HttpServer(EventLoop& loop,
                       HttpServerLimits limits,
                       Handler handler,
                       BodyBudget* budget,
                       HttpAdmit admit)
    : impl_(std::make_unique<Impl>(loop,
                                   limits,
                                   std::move(handler),
                                   budget,
                                   std::move(admit))) {}

HttpServer::~HttpServer() {
  impl_->readable.reset();
  impl_->timer.reset();
  impl_->ended_timer.reset();
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
      MHD_OPTION_NOTIFY_CONNECTION, &Impl::OnConnection, impl_.get(),
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
  if (impl_->budget) {
    impl_->ended_timer = impl_->loop.Every(
        kEndedInterval,
        [impl = impl_.get()](TimePoint) { impl->CloseEnded(); });
  }
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
