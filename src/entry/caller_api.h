#ifndef BORAGEWINCH_ENTRY_CALLER_API_H_
#define BORAGEWINCH_ENTRY_CALLER_API_H_

#include <cstdint>
#include <list>
#include <map>
#include <string>

#include "base/metrics.h"
#include "entry/entry_service.h"
#include "kernel/kernel.h"
#include "net/http_server.h"

namespace boragewinch {

/// Header that carries a team's key, "<key id>.<secret>".
inline constexpr char kKeyHeader[] = "x-boragewinch-key";

/// \returns the HTTP status of an answer; see docs/api.md.
[[nodiscard]] int HttpStatusOf(const JobAnswer& answer) noexcept;

/// \returns the answer in the form of the caller API, without the result.
[[nodiscard]] Json ToCallerJson(const JobAnswer& answer);

/// \brief HTTP API for callers: turns requests into calls of the core and the
/// core's answers into responses.
class CallerApi final : public Service {
 public:
  [[nodiscard]] Status Start(Kernel& kernel) override;

  /// \returns whether the path of `request` belongs to this API.
  [[nodiscard]] static bool Handles(const HttpRequest& request);
  void Serve(const HttpRequest& request, const HttpResponder& respond);
  [[nodiscard]] std::size_t open_calls() const noexcept {
    return calls_.size();
  }

 private:
  enum class Kind { kSubmit, kStatus, kCancel, kResult };

  struct Call {
    Kind kind = Kind::kStatus;
    HttpResponder respond;
    TimePoint opened;
  };

  /// \brief Sends the core's answer to the waiting caller.
  void OnAnswer(const AnswerCaller& action);
  void Submit(const HttpRequest& request, const HttpResponder& respond);
  void OpenRequestCall(Kind kind,
                       const HttpRequest& request,
                       const HttpResponder& respond);

  EventLoop* loop_ = nullptr;
  EntryService* entry_ = nullptr;
  EntryCore* core_ = nullptr;
  Metrics* metrics_ = nullptr;
  std::map<CallId, Call> calls_;
  CallId next_call_ = 1;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_CALLER_API_H_
