#ifndef BORAGEWINCH_NET_RPC_CLIENT_H_
#define BORAGEWINCH_NET_RPC_CLIENT_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "base/json.h"
#include "base/result.h"
#include "net/http_client.h"

namespace boragewinch {

/// \brief Calls JSON-RPC 2.0 methods of the project's other processes.
///
/// libjsonrpccpp's client blocks, so this class only uses its message format.
class RpcClient {
 public:
  using Done = std::function<void(Result<Json>)>;
  using BinaryDone = std::function<void(Result<std::string>)>;

  RpcClient(HttpClient& http, std::string secret);

  /// \brief Calls `method` at `address` ("IP:port").
  /// \returns through `done`: the result, the remote Error, or the Error of the
  /// HTTP client (kTransport: the server has not received the call).
  void Call(const std::string& address,
            const std::string& method,
            Json body,
            Millis timeout,
            Done done);

  /// \brief Like Call, for a method bound with RpcServer::BindBinary.
  void CallBinary(const std::string& address,
                  const std::string& method,
                  std::string body,
                  Millis timeout,
                  BinaryDone done);
  /// \returns whether the server at `address` has reported that it supports
  /// binary calls; earlier versions do not.
  [[nodiscard]] bool SupportsBinary(const std::string& address) const {
    return binary_addresses_.count(address) > 0;
  }

 private:
  HttpClient& http_;
  std::string secret_;
  std::uint64_t next_id_ = 1;
  std::set<std::string> binary_addresses_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_NET_RPC_CLIENT_H_
