#ifndef BORAGEWINCH_ENTRY_TASK_LINK_H_
#define BORAGEWINCH_ENTRY_TASK_LINK_H_

#include <map>
#include <string>

#include "entry/entry_service.h"
#include "kernel/kernel.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/http_types.h"

namespace boragewinch {

/// \brief Sends starts, stops, forbids and checkpoint requests to workers, and
/// passes workers' reports and results to the core.
class TaskLink final : public Service {
 public:
  [[nodiscard]] Status Start(Kernel& kernel) override;

  /// \returns whether the path of `request` belongs to the worker API.
  [[nodiscard]] static bool Handles(const HttpRequest& request);
  void Serve(const HttpRequest& request, const HttpResponder& respond);

 private:
  void SendStart(const StartTask& action);
  void SendStop(const StopTask& action);
  void SendForbid(const ForbidTask& action);
  void SendCheckpoint(const CheckpointTask& action);
  void OnLeaveAnswer(const AnswerLeave& answer);
  [[nodiscard]] Result<Json> OnHeartbeat(const Json& body);
  /// \brief Responds once the core has decided.
  /// \returns an error, without a response, if `body` is malformed.
  [[nodiscard]] Status OnLeave(const Json& body, const HttpResponder& respond);
  [[nodiscard]] Result<Json> OnResult(const Json& body);

  EventLoop* loop_ = nullptr;
  HttpClient* client_ = nullptr;
  EntryService* entry_ = nullptr;
  EntryCore* core_ = nullptr;
  std::map<CallId, HttpResponder> pending_leaves_;
  CallId next_leave_ = 1;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_TASK_LINK_H_
