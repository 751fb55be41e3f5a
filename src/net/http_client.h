#ifndef BORAGEWINCH_NET_HTTP_CLIENT_H_
#define BORAGEWINCH_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "base/result.h"
#include "kernel/event_loop.h"
#include "net/http_types.h"

namespace boragewinch {

/// \brief Limits of a client.
struct HttpClientLimits {
  std::size_t max_response_bytes = 16 * 1024 * 1024;
  std::size_t max_calls = 4'096;  ///< in flight or waiting for a connection
  long max_connections_per_host = 64;
};

/// \brief HTTP/1.1 client: libcurl's multi interface driven by the event loop.
/// When a call times out, its connection is closed, so that an unresponsive
/// connection is not reused.
class HttpClient {
 public:
  using Done = std::function<void(Result<HttpResponse>)>;

  HttpClient(EventLoop& loop, HttpClientLimits limits);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// \brief Starts `call`; `done` is called once, from the loop.
  /// \returns through `done`: the response, whatever its status; kTransport or
  /// kTableFull if no byte of the request was sent; kTimeout, kProtocol or
  /// kTooLarge if the server may have processed the request.
  void Send(HttpCall call, Done done);

  [[nodiscard]] std::size_t open_calls() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_NET_HTTP_CLIENT_H_
