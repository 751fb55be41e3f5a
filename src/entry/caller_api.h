#ifndef BORAGEWINCH_ENTRY_CALLER_API_H_
#define BORAGEWINCH_ENTRY_CALLER_API_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>

#include "base/metrics.h"
#include "entry/entry_core.h"
#include "kernel/event_loop.h"
#include "net/http_server.h"

namespace boragewinch {

/// Header with a team's key, "<key id>.<secret>".
inline constexpr char kKeyHeader[] = "x-boragewinch-key";

/// \returns the HTTP status of an answer; see docs/api.md.
[[nodiscard]] int HttpStatusOf(const JobAnswer& answer) noexcept;

/// \returns the answer as callers see it, without the result.
[[nodiscard]] Json ToCallerJson(const JobAnswer& answer);

/// \brief Translates callers' HTTP requests to calls of the core and the
/// core's answers back.
class CallerApi {
 public:
  /// \param flush carries out the core's actions after a call.
  CallerApi(EventLoop& loop,
            EntryCore& core,
            Metrics& metrics,
            std::function<void()> flush);

  /// \returns whether `request` belongs to this interface.
  [[nodiscard]] static bool Handles(const HttpRequest& request);
  void Serve(const HttpRequest& request, const HttpResponder& respond);
  /// \brief Sends the core's answer to the caller that waits for it.
  void OnAnswer(const AnswerCaller& action);
  [[nodiscard]] std::size_t open_calls() const noexcept {
    return calls_.size();
  }

 private:
  enum class Kind { kSubmit, kStatus, kCancel, kResult };

  struct Call {
    Kind kind = Kind::kStatus;
    HttpResponder respond;
    RequestId request;
    std::string key;
    TimePoint opened;
    TimePoint wait_until;  ///< a status call waits for the end until then
    Millis poll{0};        ///< pause before the next look at the request
    WatchHandle timer;
  };

  void Submit(const HttpRequest& request, const HttpResponder& respond);
  void OpenRequestCall(Kind kind,
                       const HttpRequest& request,
                       const HttpResponder& respond);
  void AskAgain(CallId id);

  EventLoop& loop_;
  EntryCore& core_;
  Metrics& metrics_;
  std::function<void()> flush_;
  std::map<CallId, Call> calls_;
  CallId next_call_ = 1;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_CALLER_API_H_
