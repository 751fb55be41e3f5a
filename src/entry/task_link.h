#ifndef BORAGEWINCH_ENTRY_TASK_LINK_H_
#define BORAGEWINCH_ENTRY_TASK_LINK_H_

#include <functional>
#include <string>

#include "entry/entry_core.h"
#include "kernel/event_loop.h"
#include "net/http_client.h"
#include "net/http_types.h"

namespace boragewinch {

/// \brief Carries starts, stops, prohibitions and checkpoints to workers, and
/// workers' reports and results to the core.
class TaskLink {
 public:
  TaskLink(EventLoop& loop,
           HttpClient& client,
           EntryCore& core,
           std::function<void()> flush);

  void Start(const StartTask& action);
  void Stop(const StopTask& action);
  void Forbid(const ForbidTask& action);
  void Checkpoint(const CheckpointTask& action);

  /// \returns whether `request` belongs to the workers' interface.
  [[nodiscard]] static bool Handles(const HttpRequest& request);
  [[nodiscard]] HttpResponse Serve(const HttpRequest& request);

 private:
  [[nodiscard]] Result<Json> OnHeartbeat(const Json& body);
  [[nodiscard]] Result<Json> OnLeave(const Json& body);
  [[nodiscard]] Result<Json> OnResult(const Json& body);

  EventLoop& loop_;
  HttpClient& client_;
  EntryCore& core_;
  std::function<void()> flush_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_TASK_LINK_H_
