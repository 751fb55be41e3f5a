#ifndef BORAGEWINCH_NET_RPC_SERVER_H_
#define BORAGEWINCH_NET_RPC_SERVER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/json.h"
#include "base/result.h"
#include "net/http_server.h"
#include "net/http_types.h"

namespace boragewinch {

/// \brief Answers one JSON-RPC call, at any later time, once.
using RpcReply = std::function<void(Result<Json>)>;

/// \brief Handles one method. The parameter is the object "body" of the call.
using RpcMethod = std::function<void(const Json& body, RpcReply reply)>;

/// \brief Answers one call with bytes, at any later time, once.
using BytesReply = std::function<void(Result<std::string>)>;

/// \brief Handles one method whose parameter and result are bytes in a form of
/// their own, for calls that are too frequent or too large for JSON.
using BytesMethod =
    std::function<void(std::string_view body, BytesReply reply)>;

/// \brief Serves JSON-RPC 2.0 calls of the project's other processes.
///
/// libjsonrpccpp parses, validates and dispatches; HttpServer carries the
/// bytes. libjsonrpccpp answers synchronously, so a method that replies later
/// leaves a placeholder which is replaced when its reply comes.
class RpcServer {
 public:
  /// \param secret shared by the processes of a deployment; calls without
  /// it are refused.
  explicit RpcServer(const std::string& secret);
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;
  ~RpcServer();

  /// \brief Binds `method`; each name can be bound once.
  void Bind(const std::string& name, RpcMethod method);

  /// \brief Binds `method` for calls of bytes; its name may also be bound by
  /// Bind, for callers of earlier versions.
  void BindBytes(const std::string& name, BytesMethod method);

  /// \brief Handles one HTTP request that carries a call.
  void Serve(const HttpRequest& request, const HttpResponder& respond);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Path in front of the method's name in a call of bytes. It is answered with
/// 200 and bytes, or with another status and a JSON object with the name of an
/// ErrorCode in "error" and with "detail".
inline constexpr std::string_view kBytesPath = "/bytes/";
/// Member of a JSON-RPC response: the server takes calls of bytes.
inline constexpr char kTakesBytes[] = "takes_bytes";

/// Header with the deployment's shared secret.
inline constexpr char kClusterSecretHeader[] = "x-boragewinch-cluster";

}  // namespace boragewinch

#endif  // BORAGEWINCH_NET_RPC_SERVER_H_
