#ifndef BORAGEWINCH_ENTRY_OPERATOR_API_H_
#define BORAGEWINCH_ENTRY_OPERATOR_API_H_

#include <functional>
#include <string>

#include "base/metrics.h"
#include "entry/entry_core.h"
#include "entry/entry_options.h"
#include "entry/policy_scheduler.h"
#include "kernel/event_loop.h"
#include "net/http_types.h"

namespace boragewinch {

/// Header with the operators' credential.
inline constexpr char kOperatorHeader[] = "x-boragewinch-operator";

/// \brief What operators see of an entry host, and withdrawals of keys.
class OperatorApi {
 public:
  OperatorApi(EventLoop& loop,
              EntryCore& core,
              const EntryOptions& options,
              Metrics& metrics,
              PolicyScheduler& scheduler,
              std::function<void()> flush);

  /// \returns whether `request` is an operator's although its path could be a
  /// caller's.
  [[nodiscard]] bool Handles(const HttpRequest& request) const;
  [[nodiscard]] HttpResponse Serve(const HttpRequest& request);
  /// \brief Counts an answer to a caller.
  void Observe(const JobAnswer& answer, TimePoint now);

 private:
  [[nodiscard]] Json StatusJson(TimePoint now) const;
  [[nodiscard]] Json JobsJson(const HttpRequest& request) const;
  [[nodiscard]] Result<Json> Explain(const HttpRequest& request) const;
  [[nodiscard]] Result<Json> Withdraw(const HttpRequest& request);
  void UpdateGauges(TimePoint now);

  EventLoop& loop_;
  EntryCore& core_;
  const EntryOptions& options_;
  Metrics& metrics_;
  PolicyScheduler& scheduler_;
  std::function<void()> flush_;
  std::string secret_hash_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_OPERATOR_API_H_
