#include "net/rpc_client.h"

#include <utility>

#include "net/rpc_server.h"

namespace boragewinch {

namespace {

[[nodiscard]] ErrorCode CodeOf(int status) {
  return status == 401 ? ErrorCode::kUnauthorized : ErrorCode::kProtocol;
}

[[nodiscard]] Result<Json> ReadEnvelope(Json envelope,
                                        int status,
                                        std::uint64_t id) {
  if (status != 200 || !envelope.isObject())
    return Fail(CodeOf(status), "status " + std::to_string(status));
  const Json& error = envelope["error"];
  if (error.isObject()) {
    const std::string name =
        error["message"].isString() ? error["message"].asString() : "";
    const std::string detail =
        error["data"].isString() ? error["data"].asString() : name;
    return Fail(kErrorCodes.Parse(name).value_or(ErrorCode::kProtocol), detail);
  }
  if (!envelope["id"].isUInt64() || envelope["id"].asUInt64() != id)
    return Fail(ErrorCode::kProtocol, "response to another call");
  return std::move(envelope["result"]);
}

[[nodiscard]] Result<std::string> ReadBinaryResponse(HttpResponse response) {
  if (response.status == 200)
    return std::move(response.body);
  const Result<Json> json = ParseTrustedJson(response.body);
  const auto code =
      json && json.value().isObject() && json.value()["error"].isString()
          ? kErrorCodes.Parse(json.value()["error"].asString())
          : std::nullopt;
  if (!code || response.status == 401) {
    return Fail(CodeOf(response.status),
                "status " + std::to_string(response.status));
  }
  const Json& detail = json.value()["detail"];
  return Fail(*code, detail.isString() ? detail.asString() : "");
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
  http_.Send(std::move(call), [this, id, address, done = std::move(done)](
                                  const Result<HttpResponse>& result) {
    if (!result) {
      done(outcome::failure(result.error()));
      return;
    }
    Result<Json> envelope = ParseTrustedJson(result.value().body);
    if (!envelope) {
      done(outcome::failure(envelope.error()));
      return;
    }
    if (const Json& json = envelope.value();
        json.isObject() && json[kSupportsBinaryField].isBool()) {
      binary_addresses_.insert(address);
    }
    done(ReadEnvelope(std::move(envelope).value(), result.value().status, id));
  });
}

void RpcClient::CallBinary(const std::string& address,
                           const std::string& method,
                           std::string body,
                           Millis timeout,
                           BinaryDone done) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + address + std::string(kBinaryPath) + method;
  call.headers[kClusterSecretHeader] = secret_;
  call.body = std::move(body);
  call.content_type = kBinaryContentType;
  call.timeout = timeout;
  http_.Send(std::move(call), [this, address, done = std::move(done)](
                                  Result<HttpResponse> result) {
    if (!result) {
      done(outcome::failure(result.error()));
      return;
    }
    // A server of an earlier version rejects a binary call as malformed.
    if (const int status = result.value().status;
        status == 400 || status == 404) {
      binary_addresses_.erase(address);
    }
    done(ReadBinaryResponse(std::move(result).value()));
  });
}

}  // namespace boragewinch
