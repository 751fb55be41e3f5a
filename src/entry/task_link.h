#ifndef BORAGEWINCH_ENTRY_TASK_LINK_H_
#define BORAGEWINCH_ENTRY_TASK_LINK_H_

#include <functional>
#include <map>
#include <string>

#include "entry/entry_core.h"
#include "kernel/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/http_types.h"

namespace boragewinch {

/// \brief Carries starts, stops and prohibitions to workers, and workers'
/// reports and results to the core.
class TaskLink {
 public:
  TaskLink(EventLoop& loop,
           HttpClient& client,
           EntryCore& core,
           std::function<void()> flush);

  void Start(const StartTask& action);
  void Stop(const StopTask& action);
  void Forbid(const ForbidTask& action);

  /// \returns whether `request` belongs to the workers' interface.
  [[nodiscard]] static bool Handles(const HttpRequest& request);
  void Serve(const HttpRequest& request, const HttpResponder& respond);
  void OnLeaveAnswer(const AnswerLeave& answer);

 private:
  [[nodiscard]] Result<Json> OnHeartbeat(const Json& body);
  /// \brief Answers when the core does, or at once if `body` is malformed.
  [[nodiscard]] Status OnLeave(const Json& body, const HttpResponder& respond);
  [[nodiscard]] Result<Json> OnResult(const Json& body);

  EventLoop& loop_;
  HttpClient& client_;
  EntryCore& core_;
  std::function<void()> flush_;
  std::map<CallId, HttpResponder> leaves_;
  CallId next_leave_ = 1;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_TASK_LINK_H_
