#include "net/rpc_client.h"

#include <utility>

#include "net/rpc_server.h"

namespace boragewinch {

namespace {

[[nodiscard]] Result<Json> ReadEnvelope(const HttpResponse& response,
                                        std::uint64_t id) {
  BW_TRY(const Json envelope, ParseJson(response.body));
  if (response.status != 200 || !envelope.isObject()) {
    return Fail(response.status == 401 ? ErrorCode::kUnauthorized
                                       : ErrorCode::kProtocol,
                "status " + std::to_string(response.status));
  }
  const Json& error = envelope["error"];
  if (error.isObject()) {
    const std::string name =
        error["message"].isString() ? error["message"].asString() : "";
    const std::string detail =
        error["data"].isString() ? error["data"].asString() : name;
    return Fail(kErrorCodes.Parse(name).value_or(ErrorCode::kProtocol), detail);
  }
  if (!envelope["id"].isUInt64() || envelope["id"].asUInt64() != id)
    return Fail(ErrorCode::kProtocol, "answer to another call");
  return envelope["result"];
}

}  // namespace

RpcClient::RpcClient(HttpClient& http, std::string secret)
    : http_(http), secret_(std::move(secret)) {}

void RpcClient::Call(const std::string& address,
                     const std::string& method,
                     Json body,
                     Millis timeout,
                     Done done) {
  const std::uint64_t id = next_id_++;
  Json envelope;
  envelope["jsonrpc"] = "2.0";
  envelope["method"] = method;
  envelope["id"] = ::Json::UInt64(id);
  envelope["params"]["body"] = std::move(body);
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + address + "/rpc";
  call.headers[kClusterSecretHeader] = secret_;
  call.body = WriteJson(envelope);
  call.timeout = timeout;
  http_.Send(std::move(call),
             [id, done = std::move(done)](Result<HttpResponse> result) {
               if (!result) {
                 done(outcome::failure(result.error()));
                 return;
               }
               done(ReadEnvelope(result.value(), id));
             });
}

}  // namespace boragewinch
