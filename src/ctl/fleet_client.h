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

/// \brief Answer to one call of the operators' interface.
struct CallAnswer {
  Json body;                   ///< the server's document, also of a refusal
  std::optional<Error> error;  ///< absent on success
  /// The call failed after it was sent, so the server may have acted.
  bool may_have_acted = false;

  [[nodiscard]] bool ok() const noexcept { return !error; }
};

/// \returns whether another server or a later try may answer otherwise.
[[nodiscard]] bool IsUnreachable(ErrorCode code) noexcept;

/// \brief Blocking calls of the operators' interface over the event loop.
class FleetClient {
 public:
  /// Called about once a second while a call or pause goes on.
  using Progress = std::function<void(Millis elapsed, const std::string& text)>;

  /// \param control "IP:port" of each control host.
  /// \param timeout for all tries of one call together.
  /// \param try_timeout for one try.
  FleetClient(EventLoop& loop,
              std::vector<std::string> control,
              std::string secret,
              Millis timeout,
              Millis try_timeout,
              Progress progress);

  /// \brief Calls the control group: goes on to the next control host when one
  /// does not answer, with the same body, so that an operation keeps its
  /// operation_id. Pauses after each round: exponential backoff, full jitter.
  [[nodiscard]] CallAnswer Control(const std::string& method,
                                   const std::string& path,
                                   const Json& body = Json());

  /// \brief Sends one call to each address at the same time, without retry.
  /// \returns the answers in the order of `addresses`.
  [[nodiscard]] std::vector<CallAnswer> Each(
      const std::vector<std::string>& addresses,
      const std::string& method,
      const std::string& path);

  /// \brief Runs the loop for `time`.
  void Pause(Millis time);

  /// \brief Sets the text of the progress hook.
  void Describe(std::string text) { text_ = std::move(text); }

  [[nodiscard]] TimePoint now() const noexcept { return loop_.now(); }
  [[nodiscard]] Millis timeout() const noexcept { return timeout_; }
  [[nodiscard]] bool has_control() const noexcept { return !control_.empty(); }

 private:
  [[nodiscard]] HttpCall MakeCall(const std::string& address,
                                  const std::string& method,
                                  const std::string& path,
                                  Millis timeout) const;
  [[nodiscard]] std::vector<CallAnswer> SendAll(std::vector<HttpCall> calls);

  EventLoop& loop_;
  HttpClient http_;
  std::vector<std::string> control_;
  std::string secret_;
  Millis timeout_;
  Millis try_timeout_;
  std::string text_;
  TimePoint started_;
  WatchHandle tick_;
  std::size_t preferred_ = 0;  ///< control host that answered last
  std::minstd_rand random_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_CTL_FLEET_CLIENT_H_
