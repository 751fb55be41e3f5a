#ifndef REVIEW_STAND_INS_3_HTTP_H_
#define REVIEW_STAND_INS_3_HTTP_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;
};

struct Response {
  int status = 0;  ///< 0: no response
  std::string body;
  std::function<void()> on_sent;  ///< called after the last byte was written
};

/// Sends one request over a new connection.
Response Call(const std::string& address,
              const Request& request,
              Millis timeout);

/// An HTTP/1.1 server with a thread per connection.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  /// Listens on "IP:PORT", or on "IP" and a port that the system chooses.
  Server(const std::string& listen_address, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] const std::string& address() const { return address_; }
  /// Closes the listening socket and all connections.
  void Close();

 private:
  struct State;
  void Accept();

  std::string address_;
  std::shared_ptr<State> state_;
  std::thread acceptor_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_3_HTTP_H_
