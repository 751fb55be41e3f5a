#ifndef BORAGEWINCH_NET_HTTP_SERVER_H_
#define BORAGEWINCH_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/result.h"
#include "kernel/event_loop.h"
#include "net/body_budget.h"
#include "net/http_types.h"

namespace boragewinch {

/// \brief Limits of a server.
struct HttpServerLimits {
  std::size_t max_body_bytes = 512 * 1024;
  unsigned max_connections = 1'024;
  unsigned max_connections_per_address = 1'024;
  unsigned idle_seconds = 30;  ///< inactive connections are closed
};

/// \brief How a server treats a request whose headers it has read.
struct HttpAdmission {
  BodySender sender = BodySender::kPublic;
  /// If set, it is sent at once and the connection is closed before the body is
  /// read.
  std::optional<HttpResponse> refusal;
};

/// \brief Decides on a request by its headers; it has no body yet.
using HttpAdmit = std::function<HttpAdmission(const HttpRequest&)>;

/// \brief Sends the response to one request, at any later time. Calls after the
/// first one, or after the client has disconnected, have no effect.
class HttpResponder {
 public:
  struct State;
  explicit HttpResponder(std::shared_ptr<State> state);
  /// \brief Sends `response`.
  void operator()(HttpResponse response) const;

 private:
  std::shared_ptr<State> state_;
};

/// \brief HTTP/1.1 server: libmicrohttpd driven by the event loop.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, HttpResponder)>;

  /// \param budget of the process, which must outlive the server; nullptr:
  /// memory is limited by the number of connections only.
  /// \param admit if empty, every request is of BodySender::kPublic.
  HttpServer(EventLoop& loop,
             HttpServerLimits limits,
             Handler handler,
             BodyBudget* budget = nullptr,
             HttpAdmit admit = {});
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// \param address "IP:port"; port 0 selects a free port.
  /// \returns kTransport if the port can't be opened.
  [[nodiscard]] Status Listen(const std::string& address);
  /// \returns "IP:port" with the port in use.
  [[nodiscard]] const std::string& address() const noexcept;
  /// \brief Accepts no further connections and closes each one after its
  /// response.
  void StopAccepting();
  /// \returns the number of requests without a response.
  [[nodiscard]] std::size_t open_requests() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_NET_HTTP_SERVER_H_
