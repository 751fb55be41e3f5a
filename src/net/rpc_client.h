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
/// libjsonrpccpp's client blocks, so only its message format is used here.
class RpcClient {
 public:
  using Done = std::function<void(Result<Json>)>;
  using BytesDone = std::function<void(Result<std::string>)>;

  RpcClient(HttpClient& http, std::string secret);

  /// \brief Calls `method` at `address` ("IP:port").
  /// \returns through `done`: the result, the remote Error, or the transport's
  /// Error (kTransport: the other side has not seen the call).
  void Call(const std::string& address,
            const std::string& method,
            Json body,
            Millis timeout,
            Done done);

  /// \brief As Call, for a method that RpcServer::BindBytes has bound.
  void CallBytes(const std::string& address,
                 const std::string& method,
                 std::string body,
                 Millis timeout,
                 BytesDone done);
  /// \returns whether the server at `address` has said that it takes calls of
  /// bytes; those of earlier versions do not.
  [[nodiscard]] bool TakesBytes(const std::string& address) const {
    return bytes_addresses_.count(address) > 0;
  }

 private:
  HttpClient& http_;
  std::string secret_;
  std::uint64_t next_id_ = 1;
  std::set<std::string> bytes_addresses_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_NET_RPC_CLIENT_H_
