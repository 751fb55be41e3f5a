#ifndef BORAGEWINCH_NET_RPC_SERVER_H_
#define BORAGEWINCH_NET_RPC_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/json.h"
#include "base/result.h"
#include "net/http_server.h"
#include "net/http_types.h"

namespace boragewinch {

/// \brief Sends the result of one JSON-RPC call; called once, at any later
/// time.
using RpcReply = std::function<void(Result<Json>)>;

/// \brief Handles one method. The parameter is the "body" object of the call.
using RpcMethod = std::function<void(const Json& body, RpcReply reply)>;

/// \brief Sends the result of one binary call; called once, at any later time.
using BinaryReply = std::function<void(Result<std::string>)>;

/// \brief Handles one method whose parameter and result have a binary encoding
/// of their own, for calls that are too frequent or too large for JSON.
using BinaryMethod =
    std::function<void(std::string_view body, BinaryReply reply)>;

/// \brief Serves JSON-RPC 2.0 calls of the project's other processes.
///
/// libjsonrpccpp parses, validates and dispatches; HttpServer is the transport.
/// libjsonrpccpp responds synchronously, but a method may reply later. So its
/// response to a bound method is dropped, and the reply is sent when it comes.
class RpcServer {
 public:
  /// \param secret shared by the processes of a deployment; calls without it
  /// are rejected.
  explicit RpcServer(const std::string& secret);
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;
  ~RpcServer();

  /// \brief Binds `method`; each name can be bound once.
  void Bind(const std::string& name, RpcMethod method);

  /// \brief Binds `method` for binary calls; its name may also be bound with
  /// Bind, for callers of earlier versions.
  void BindBinary(const std::string& name, BinaryMethod method);

  /// \returns the response to a request without the secret, from its headers;
  /// nothing if it has the secret.
  [[nodiscard]] std::optional<HttpResponse> RefusalOf(
      const HttpRequest& request) const;

  /// \brief Handles one HTTP request that contains a call.
  void Serve(const HttpRequest& request, const HttpResponder& respond);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Path prefix of the method's name in a binary call. The response is status
/// 200 with the binary result, or another status with a JSON object that holds
/// the name of an ErrorCode in "error" and a "detail".
inline constexpr std::string_view kBinaryPath = "/bytes/";
/// Member of a JSON-RPC response: the server supports binary calls.
inline constexpr char kSupportsBinaryField[] = "takes_bytes";

/// Header with the deployment's shared secret.
inline constexpr char kClusterSecretHeader[] = "x-boragewinch-cluster";

}  // namespace boragewinch

#endif  // BORAGEWINCH_NET_RPC_SERVER_H_
