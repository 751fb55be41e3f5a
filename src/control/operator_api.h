#ifndef BORAGEWINCH_CONTROL_OPERATOR_API_H_
#define BORAGEWINCH_CONTROL_OPERATOR_API_H_

#include <functional>
#include <string>

#include "control/leader_controller.h"
#include "fleet/command.h"
#include "fleet/sheet.h"
#include "kernel/event_loop.h"
#include "net/http_types.h"

namespace boragewinch {

class ControlService;

/// \brief HTTP API of the control group for operators; see docs/api.md.
class ControlOperatorApi {
 public:
  using Respond = std::function<void(HttpResponse)>;

  ControlOperatorApi(ControlService& service,
                     LeaderController& controller,
                     EventLoop& loop);

  /// \returns whether `request` carries the operators' credential.
  [[nodiscard]] bool Authorized(const HttpRequest& request) const;
  /// \returns whether a follower may serve `request`.
  [[nodiscard]] bool ServedByFollower(const HttpRequest& request) const;
  void Serve(const HttpRequest& request, const Respond& respond);

 private:
  void HandleOperation(const HttpRequest& request, const Respond& respond);
  void Submit(Command command, const Respond& respond);
  void HandleSheet(const HttpRequest& request, const Respond& respond);
  /// \brief Sets the fields that the control leader fills in; see command.h.
  void SetLeaderFields(Command* command) const;
  /// \returns what each team and pool gains and loses by the sheet.
  [[nodiscard]] Json SheetPlanJson(const Sheet& sheet) const;
  [[nodiscard]] Json StatusJson() const;
  [[nodiscard]] Json FleetJson() const;
  [[nodiscard]] Json HistoryJson() const;
  [[nodiscard]] Json InForceJson(const HttpRequest& request) const;

  ControlService& service_;
  LeaderController& controller_;
  EventLoop& loop_;
  std::string secret_hash_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_CONTROL_OPERATOR_API_H_
