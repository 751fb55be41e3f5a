#ifndef BORAGEWINCH_ENTRY_OPERATOR_API_H_
#define BORAGEWINCH_ENTRY_OPERATOR_API_H_

#include <string>

#include "base/metrics.h"
#include "entry/entry_options.h"
#include "entry/entry_service.h"
#include "kernel/kernel.h"
#include "net/http_types.h"

namespace boragewinch {

/// Header that carries the operators' credential.
inline constexpr char kOperatorHeader[] = "x-boragewinch-operator";

/// \brief HTTP API for operators: status, jobs, metrics and explanations of
/// this entry host, and key withdrawals.
class OperatorApi final : public Service {
 public:
  explicit OperatorApi(const EntryOptions& options);

  [[nodiscard]] Status Start(Kernel& kernel) override;

  /// \returns whether `request` is an operator request on a path that the
  /// caller API also serves.
  [[nodiscard]] bool Handles(const HttpRequest& request) const;
  [[nodiscard]] HttpResponse Serve(const HttpRequest& request);

 private:
  /// \brief Counts an answer to a caller.
  void Observe(const JobAnswer& answer, TimePoint now);
  [[nodiscard]] Json StatusJson(TimePoint now) const;
  [[nodiscard]] Json JobsJson(const HttpRequest& request) const;
  [[nodiscard]] Result<Json> Explain(const HttpRequest& request) const;
  [[nodiscard]] Result<Json> Withdraw(const HttpRequest& request);
  void UpdateGauges(TimePoint now);

  const EntryOptions& options_;
  EventLoop* loop_ = nullptr;
  EntryService* entry_ = nullptr;
  EntryCore* core_ = nullptr;
  Metrics* metrics_ = nullptr;
  PolicyScheduler* scheduler_ = nullptr;
  std::string secret_hash_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_OPERATOR_API_H_
