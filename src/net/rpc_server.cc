#include "net/rpc_server.h"

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include <jsonrpccpp/server.h>

#include "base/event_log.h"
#include "base/secret.h"

namespace boragewinch {

namespace {

// Start of the range that JSON-RPC 2.0 reserves for servers.
constexpr int kServerError = -32000;

[[nodiscard]] Json Envelope(const Json& id, const Result<Json>& result) {
  Json json;
  json["jsonrpc"] = "2.0";
  json["id"] = id;
  json[kTakesBytes] = true;
  if (result) {
    json["result"] = result.value();
  } else {
    const Error& error = result.error();
    json["error"]["code"] = kServerError;
    json["error"]["message"] = std::string(kErrorCodes.Name(error.code));
    json["error"]["data"] = error.detail;
  }
  return json;
}

/// One call that is being answered.
struct Call {
  HttpResponder respond;
  Json id;
  Json body;
  bool dispatched = false;  ///< libjsonrpccpp has returned the envelope
  std::optional<Result<Json>> result;

  void Finish() const { respond({200, WriteJson(Envelope(id, *result))}); }
};

class Connector final : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void*) override {
    response_ = response;
    return true;
  }
  [[nodiscard]] const std::string& response() const noexcept {
    return response_;
  }

 private:
  std::string response_;
};

}  // namespace

struct RpcServer::Impl final : public jsonrpc::IProcedureInvokationHandler {
  explicit Impl(const std::string& secret)
      : secret_hash(HashSecret(secret)),
        protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2,
            *this)) {
    connector.SetHandler(protocol.get());
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json&,
                        Json& output) override {
    output = Json(::Json::nullValue);
    const auto method = methods.find(procedure.GetProcedureName());
    if (method == methods.end() || !current)
      return;
    method->second(current->body, [call = current](Result<Json> result) {
      if (call->result)
        return;
      call->result = std::move(result);
      if (call->dispatched)
        call->Finish();
    });
  }

  void ServeBytes(const HttpRequest& request,
                  const HttpResponder& respond) const;

  // Every method of this project answers, so notifications are not bound.
  void HandleNotificationCall(jsonrpc::Procedure&, const Json&) override {}

  std::string secret_hash;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
  Connector connector;
  std::map<std::string, RpcMethod> methods;
  std::map<std::string, BytesMethod, std::less<>> bytes_methods;
  std::shared_ptr<Call> current;
};

void RpcServer::Impl::ServeBytes(const HttpRequest& request,
                                 const HttpResponder& respond) const {
  const auto method = bytes_methods.find(
      std::string_view(request.path).substr(kBytesPath.size()));
  if (method == bytes_methods.end()) {
    LogEvent(EventId::kMalformedMessage, {{"reason", "bytes_method"}});
    respond({404, R"({"error":"not_found"})"});
    return;
  }
  method->second(request.body, [respond](Result<std::string> result) {
    if (result) {
      respond({200, std::move(result).value(), kBytesContentType});
      return;
    }
    Json json;
    json["error"] = std::string(kErrorCodes.Name(result.error().code));
    json["detail"] = result.error().detail;
    constexpr int kFailed = 500;
    respond({kFailed, WriteJson(json)});
  });
}

RpcServer::RpcServer(const std::string& secret)
    : impl_(std::make_unique<Impl>(secret)) {}

RpcServer::~RpcServer() = default;

void RpcServer::Bind(const std::string& name, RpcMethod method) {
  impl_->protocol->AddProcedure(
      jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                         "body", jsonrpc::JSON_OBJECT, NULL));
  impl_->methods[name] = std::move(method);
}

void RpcServer::BindBytes(const std::string& name, BytesMethod method) {
  impl_->bytes_methods[name] = std::move(method);
}

void RpcServer::Serve(const HttpRequest& request,
                      const HttpResponder& respond) {
  const auto secret = request.headers.find(kClusterSecretHeader);
  if (secret == request.headers.end() ||
      !SecretMatches(secret->second, impl_->secret_hash)) {
    LogEvent(EventId::kMalformedMessage, {{"reason", "cluster_secret"}});
    respond({401, R"({"error":"unauthorized"})"});
    return;
  }
  if (std::string_view(request.path).starts_with(kBytesPath)) {
    impl_->ServeBytes(request, respond);
    return;
  }
  // libjsonrpccpp takes a batch; it would answer its parts synchronously, so
  // only single calls are accepted. The parse also bounds the nesting.
  Result<Json> parsed = ParseJson(request.body);
  if (!parsed || !parsed.value().isObject()) {
    LogEvent(EventId::kMalformedMessage, {{"reason", "not_a_call"}});
    respond({400, R"({"error":"invalid_json"})"});
    return;
  }
  Json& envelope = parsed.value();
  auto call = std::make_shared<Call>(Call{respond, envelope["id"]});
  // libjsonrpccpp would parse the parameter a second time, so it gets an empty
  // one in its place.
  if (envelope["params"].isObject() && envelope["params"]["body"].isObject()) {
    Json& body = envelope["params"]["body"];
    call->body.swap(body);
    body = Json(::Json::objectValue);
  }
  impl_->current = call;
  impl_->connector.OnRequest(WriteJson(envelope));
  impl_->current = nullptr;
  call->dispatched = true;
  if (call->result) {
    call->Finish();
    return;
  }
  // No method took the call: the library's answer says why.
  if (impl_->connector.response().find("\"error\"") != std::string::npos) {
    LogEvent(EventId::kMalformedMessage, {{"reason", "rpc"}});
    respond({200, impl_->connector.response()});
  }
}

}  // namespace boragewinch
