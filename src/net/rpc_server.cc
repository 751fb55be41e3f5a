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

// First code of the range that JSON-RPC 2.0 reserves for server errors.
constexpr int kServerError = -32000;

[[nodiscard]] Json Envelope(const Json& id, const Result<Json>& result) {
  Json json;
  json["jsonrpc"] = "2.0";
  json["id"] = id;
  json[kSupportsBinaryField] = true;
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

/// A call in progress.
struct Call {
  HttpResponder respond;
  Json id;
  Json body;
  bool dispatched = false;  ///< libjsonrpccpp has returned from the call
  std::optional<Result<Json>> result;

  void Finish() const { respond({200, WriteJson(Envelope(id, *result))}); }
};

/// Keeps the response of libjsonrpccpp instead of sending it.
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

  void ServeBinary(const HttpRequest& request,
                   const HttpResponder& respond) const;

  // Every method of this project has a result, so no notifications are bound.
  void HandleNotificationCall(jsonrpc::Procedure&, const Json&) override {}

  std::string secret_hash;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
  Connector connector;
  std::map<std::string, RpcMethod> methods;
  std::map<std::string, BinaryMethod, std::less<>> binary_methods;
  std::shared_ptr<Call> current;
};

void RpcServer::Impl::ServeBinary(const HttpRequest& request,
                                  const HttpResponder& respond) const {
  const auto method = binary_methods.find(
      std::string_view(request.path).substr(kBinaryPath.size()));
  if (method == binary_methods.end()) {
    LogEvent(EventId::kMalformedMessage, {{"reason", "bytes_method"}});
    respond({404, R"({"error":"not_found"})"});
    return;
  }
  method->second(request.body, [respond](Result<std::string> result) {
    if (result) {
      respond({200, std::move(result).value(), kBinaryContentType});
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

void RpcServer::BindBinary(const std::string& name, BinaryMethod method) {
  impl_->binary_methods[name] = std::move(method);
}

std::optional<HttpResponse> RpcServer::RefusalOf(
    const HttpRequest& request) const {
  const auto secret = request.headers.find(kClusterSecretHeader);
  if (secret != request.headers.end() &&
      SecretMatches(secret->second, impl_->secret_hash)) {
    return std::nullopt;
  }
  LogEvent(EventId::kMalformedMessage, {{"reason", "cluster_secret"}});
  return HttpResponse{401, R"({"error":"unauthorized"})"};
}

void RpcServer::Serve(const HttpRequest& request,
                      const HttpResponder& respond) {
  if (auto refusal = RefusalOf(request)) {
    respond(*std::move(refusal));
    return;
  }
  if (std::string_view(request.path).starts_with(kBinaryPath)) {
    impl_->ServeBinary(request, respond);
    return;
  }
  // libjsonrpccpp accepts batches and would answer their calls synchronously,
  // so only single calls are accepted. ParseJson also limits the nesting depth.
  Result<Json> parsed = ParseTrustedJson(request.body);
  if (!parsed || !parsed.value().isObject()) {
    LogEvent(EventId::kMalformedMessage, {{"reason", "not_a_call"}});
    respond({400, R"({"error":"invalid_json"})"});
    return;
  }
  Json& envelope = parsed.value();
  auto call = std::make_shared<Call>(Call{respond, envelope["id"]});
  // Moves the parameter out and passes an empty one, since libjsonrpccpp would
  // parse it a second time.
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
  // An error response of the library means that no method handled the call.
  // Otherwise the method replies later.
  if (impl_->connector.response().find("\"error\"") != std::string::npos) {
    LogEvent(EventId::kMalformedMessage, {{"reason", "rpc"}});
    respond({200, impl_->connector.response()});
  }
}

}  // namespace boragewinch
