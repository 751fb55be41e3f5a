#ifndef BORAGEWINCH_ENTRY_OUTBOUND_SERVICE_H_
#define BORAGEWINCH_ENTRY_OUTBOUND_SERVICE_H_

#include <optional>
#include <string>
#include <utility>

#include "kernel/kernel.h"
#include "net/http_client.h"
#include "net/rpc_client.h"

namespace boragewinch {

/// \brief Owns the HTTP and RPC clients for workers and other processes.
class OutboundService final : public Service {
 public:
  explicit OutboundService(std::string cluster_secret)
      : cluster_secret_(std::move(cluster_secret)) {}

  [[nodiscard]] Status Start(Kernel& kernel) override {
    http_.emplace(kernel.loop(), HttpClientLimits{});
    rpc_.emplace(*http_, cluster_secret_);
    return Ok();
  }

  [[nodiscard]] HttpClient& http() noexcept { return *http_; }
  [[nodiscard]] RpcClient& rpc() noexcept { return *rpc_; }

 private:
  std::string cluster_secret_;
  std::optional<HttpClient> http_;
  std::optional<RpcClient> rpc_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_OUTBOUND_SERVICE_H_
