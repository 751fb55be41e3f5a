#ifndef BORAGEWINCH_NET_HTTP_SERVER_H_
#define BORAGEWINCH_NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "kernel/event_loop.h"
#include "net/http_types.h"

namespace boragewinch {

/// \brief Bounds of a server.
struct HttpServerLimits {
  std::size_t max_body_bytes = 512 * 1024;
  unsigned max_connections = 1'024;
  unsigned max_connections_per_address = 1'024;
  unsigned idle_seconds = 30;  ///< slow or silent connections are closed
};

/// \brief The right to answer one request, at any later time. Answers after
/// the first, or after the caller has gone, have no effect.
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

  HttpServer(EventLoop& loop, HttpServerLimits limits, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// \param address "IP:port"; port 0 takes a free one.
  /// \returns kTransport if the port can't be opened.
  [[nodiscard]] Status Listen(const std::string& address);
  /// \returns "IP:port" with the port in use.
  [[nodiscard]] const std::string& address() const noexcept;
  /// \brief Accepts no further connections and closes each after its answer.
  void StopAccepting();
  /// \returns requests that have not been answered yet.
  [[nodiscard]] std::size_t open_requests() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_NET_HTTP_SERVER_H_
