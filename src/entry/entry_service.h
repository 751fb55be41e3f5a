#ifndef BORAGEWINCH_ENTRY_ENTRY_SERVICE_H_
#define BORAGEWINCH_ENTRY_ENTRY_SERVICE_H_

#include <memory>

#include "base/metrics.h"
#include "entry/caller_api.h"
#include "entry/control_link.h"
#include "entry/entry_core.h"
#include "entry/entry_options.h"
#include "entry/operator_api.h"
#include "entry/policy_scheduler.h"
#include "entry/task_link.h"
#include "kernel/kernel.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/rpc_client.h"
#include "net/rpc_server.h"

namespace boragewinch {

/// \brief The task of an entry host: owns the core and the sockets, feeds
/// messages to the core and carries out its actions.
class EntryService final : public Service {
 public:
  explicit EntryService(EntryOptions options);
  ~EntryService() override;

  [[nodiscard]] Status Start(Kernel& kernel) override;
  void Stop(const std::function<void()>& done) override;
  [[nodiscard]] std::size_t open_requests() const override;

 private:
  void ServePublic(const HttpRequest& request, const HttpResponder& respond);
  void BindPeerMethods();
  void OnPeerCall(const Json& body, const RpcReply& reply);
  void Flush();
  void Perform(const EntryAction& action);
  void SendToPeer(const SendPeer& action);
  void OnTick(TimePoint now);
  void RunPolicy(TimePoint now);
  void CloseWhenUnused(TimePoint now);

  EntryOptions options_;
  Incarnation incarnation_;
  EventLoop* loop_ = nullptr;
  PolicyScheduler scheduler_;
  TimePoint next_policy_update_;
  std::unique_ptr<EntryCore> core_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<RpcClient> rpc_client_;
  std::unique_ptr<RpcServer> rpc_server_;
  std::unique_ptr<HttpServer> public_server_;
  std::unique_ptr<HttpServer> peer_server_;
  std::unique_ptr<CallerApi> callers_;
  std::unique_ptr<TaskLink> tasks_;
  std::unique_ptr<ControlLink> control_;
  std::unique_ptr<OperatorApi> operators_;
  Metrics metrics_;
  WatchHandle tick_;
  std::function<void()> stopped_;
  TimePoint stop_until_;
  TimePoint quiet_since_;  ///< during a stop: last time something was open
  bool closed_ = false;    ///< the public port accepts no connections
  bool flushing_ = false;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_ENTRY_SERVICE_H_
