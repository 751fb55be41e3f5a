#ifndef BORAGEWINCH_ENTRY_PEER_LINK_H_
#define BORAGEWINCH_ENTRY_PEER_LINK_H_

#include <memory>
#include <string>

#include "entry/control_link.h"
#include "entry/entry_options.h"
#include "entry/entry_service.h"
#include "entry/outbound_service.h"
#include "net/http_server.h"
#include "net/rpc_server.h"

namespace boragewinch {

/// \brief Sends messages to other entry hosts and receives theirs.
class PeerLink final : public Service {
 public:
  explicit PeerLink(const EntryOptions& options);

  [[nodiscard]] Status Start(Kernel& kernel) override;

  /// \returns the "IP:port" advertised to other processes.
  [[nodiscard]] const std::string& address() const noexcept;

 private:
  void BindMethods();
  void OnCall(const Json& body, const RpcReply& reply);
  void Send(const SendPeer& action);

  const EntryOptions& options_;
  EntryService* entry_ = nullptr;
  OutboundService* outbound_ = nullptr;
  ControlLink* control_ = nullptr;
  std::unique_ptr<RpcServer> rpc_server_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_PEER_LINK_H_
