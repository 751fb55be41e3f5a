#ifndef BORAGEWINCH_CTL_FLEET_CLIENT_H_
#define BORAGEWINCH_CTL_FLEET_CLIENT_H_

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "kernel/event_loop.h"
#include "net/http_client.h"

namespace boragewinch {

/// \brief Result of one call of the operator API.
struct CallResult {
  Json body;  ///< JSON document of the response, also of an error
  std::optional<Error> error;  ///< absent on success
  /// The call failed after it was sent, so the server may have carried it out.
  bool may_have_acted = false;

  [[nodiscard]] bool ok() const noexcept { return !error; }
};

/// \returns whether another server or a later attempt may succeed.
[[nodiscard]] bool IsUnreachable(ErrorCode code) noexcept;

/// \brief Blocking client of the operator API. Runs the event loop while it
/// waits.
class FleetClient {
 public:
  /// Called about once a second during a call or pause.
  using Progress = std::function<void(Millis elapsed, const std::string& text)>;

  /// \param control "IP:port" of each control host.
  /// \param timeout for a call of the control group with all its attempts.
  /// \param attempt_timeout for one attempt.
  FleetClient(EventLoop& loop,
              std::vector<std::string> control,
              std::string secret,
              Millis timeout,
              Millis attempt_timeout,
              Progress progress);

  /// \brief Calls the control group. If a control host does not respond or does
  /// not lead, retries at the next one with the same body, so that an operation
  /// keeps its operation_id. Backs off exponentially with full jitter after
  /// each round.
  [[nodiscard]] CallResult CallControl(const std::string& method,
                                       const std::string& path,
                                       const Json& body = Json());

  /// \brief Calls all addresses concurrently, without retries.
  /// \returns the results in the order of `addresses`.
  [[nodiscard]] std::vector<CallResult> CallAll(
      const std::vector<std::string>& addresses,
      const std::string& method,
      const std::string& path);

  /// \brief Runs the event loop for `time`.
  void Pause(Millis time);

  /// \brief Sets the text passed to the progress callback.
  void SetProgressText(std::string text) { progress_text_ = std::move(text); }

  [[nodiscard]] TimePoint now() const noexcept { return loop_.now(); }
  [[nodiscard]] Millis timeout() const noexcept { return timeout_; }
  [[nodiscard]] bool has_control() const noexcept { return !control_.empty(); }

 private:
  [[nodiscard]] HttpCall MakeCall(const std::string& address,
                                  const std::string& method,
                                  const std::string& path,
                                  Millis timeout) const;
  [[nodiscard]] std::vector<CallResult> SendAll(std::vector<HttpCall> calls);

  EventLoop& loop_;
  HttpClient http_;
  std::vector<std::string> control_;
  std::string secret_;
  Millis timeout_;
  Millis attempt_timeout_;
  std::string progress_text_;
  TimePoint started_;
  WatchHandle progress_timer_;
  std::size_t preferred_ = 0;  ///< index of the control host to call first
  std::minstd_rand random_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_CTL_FLEET_CLIENT_H_
