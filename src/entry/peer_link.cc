#include "entry/peer_link.h"

#include <utility>
#include <vector>

#include "base/event_log.h"
#include "entry/service_names.h"

namespace boragewinch {

namespace {

constexpr Millis kPeerTimeout{1'000};
constexpr std::size_t kMaxPeerBodyBytes = 16UL * 1024 * 1024;

/// Method names of all messages between entry hosts.
template <std::size_t... Index>
[[nodiscard]] std::vector<std::string> MethodNames(
    std::index_sequence<Index...>) {
  return {MethodOf(
      PeerMessage{{}, {}, std::variant_alternative_t<Index, PeerBody>()})...};
}

}  // namespace

PeerLink::PeerLink(const EntryOptions& options) : options_(options) {}

Status PeerLink::Start(Kernel& kernel) {
  BW_TRY(entry_, kernel.Require<EntryService>(kEntryService));
  BW_TRY(outbound_, kernel.Require<OutboundService>(kOutboundService));
  BW_TRY(control_, kernel.Require<ControlLink>(kControlService));
  entry_->On<SendPeer>([this](const SendPeer& action) { Send(action); });
  rpc_server_ = std::make_unique<RpcServer>(options_.cluster_secret);
  BindMethods();
  HttpServerLimits limits;
  limits.max_body_bytes = kMaxPeerBodyBytes;
  server_ = std::make_unique<HttpServer>(
      kernel.loop(), limits,
      [this](const HttpRequest& request, const HttpResponder& respond) {
        rpc_server_->Serve(request, respond);
      });
  return server_->Listen(options_.peer_listen);
}

const std::string& PeerLink::address() const noexcept {
  return options_.peer_advertise.empty() ? server_->address()
                                         : options_.peer_advertise;
}

void PeerLink::BindMethods() {
  constexpr auto kIndexes =
      std::make_index_sequence<std::variant_size_v<PeerBody>>();
  for (const std::string& name : MethodNames(kIndexes)) {
    rpc_server_->Bind(name, [this](const Json& body, const RpcReply& reply) {
      OnCall(body, reply);
    });
  }
}

void PeerLink::OnCall(const Json& body, const RpcReply& reply) {
  const auto name = StringField(body, "from_entry", kMaxNameBytes);
  Result<PeerMessage> message = PeerMessageFromJson(body["message"]);
  if (!name || !message) {
    const Error& error = name ? message.error() : name.error();
    LogEvent(EventId::kMalformedMessage, {{"error", error.Text()}});
    reply(outcome::failure(error));
    return;
  }
  entry_->core().OnPeerMessage(EntryName(name.value()),
                               std::move(message).value(),
                               entry_->loop().now());
  // Messages are one-way; the core responds with messages of its own.
  reply(Json(::Json::objectValue));
  entry_->Flush();
}

void PeerLink::Send(const SendPeer& action) {
  for (const EntryHost& entry : control_->entries()) {
    if (entry.name != action.entry)
      continue;
    Json body;
    body["from_entry"] = options_.name.str();
    body["message"] = ToJson(action.message);
    outbound_->rpc().Call(
        entry.peer_address, MethodOf(action.message), body, kPeerTimeout,
        [](const Result<Json>& result) {
          // Not retried here: the core repeats messages that need a response.
          if (!result) {
            LogEvent(EventId::kCallFailed, {{"error", result.error().Text()}});
          }
        });
  }
}

}  // namespace boragewinch
