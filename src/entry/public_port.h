#ifndef BORAGEWINCH_ENTRY_PUBLIC_PORT_H_
#define BORAGEWINCH_ENTRY_PUBLIC_PORT_H_

#include <memory>
#include <string>

#include "entry/caller_api.h"
#include "entry/entry_options.h"
#include "entry/operator_api.h"
#include "entry/task_link.h"
#include "kernel/kernel.h"
#include "net/http_server.h"

namespace boragewinch {

/// \brief HTTP server for callers, workers and operators.
class PublicPort final : public Service {
 public:
  explicit PublicPort(const EntryOptions& options);

  [[nodiscard]] Status Start(Kernel& kernel) override;

  /// \brief Stops accepting and closes each connection after its response.
  void StopAccepting() { server_->StopAccepting(); }
  [[nodiscard]] const std::string& address() const noexcept {
    return server_->address();
  }
  /// \returns the number of requests without a response yet.
  [[nodiscard]] std::size_t unanswered() const noexcept {
    return server_->open_requests();
  }

 private:
  void Serve(const HttpRequest& request, const HttpResponder& respond);

  const EntryOptions& options_;
  CallerApi* callers_ = nullptr;
  TaskLink* tasks_ = nullptr;
  OperatorApi* operators_ = nullptr;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_PUBLIC_PORT_H_
