#include "ctl/fleet_client.h"

#include <algorithm>
#include <utility>

namespace boragewinch {

namespace {

constexpr char kSecretHeader[] = "X-Boragewinch-Operator";
constexpr Millis kFirstBackoff{100};
constexpr Millis kMaxBackoff{2'000};
constexpr Millis kProgressInterval{1'000};

// For an error response without a known error name, such as a proxy's.
[[nodiscard]] ErrorCode CodeOfStatus(int status) noexcept {
  if (status >= 500)
    return ErrorCode::kUnavailable;
  switch (status) {
    case 401:
    case 403:
      return ErrorCode::kUnauthorized;
    case 404:
      return ErrorCode::kNotFound;
    case 413:
      return ErrorCode::kTooLarge;
    default:
      return status >= 400 ? ErrorCode::kInvalidField : ErrorCode::kProtocol;
  }
}

[[nodiscard]] CallResult ToCallResult(const Result<HttpResponse>& http_result) {
  CallResult result;
  if (!http_result) {
    result.error = http_result.error();
    result.may_have_acted = http_result.error().code != ErrorCode::kTransport &&
                            http_result.error().code != ErrorCode::kTableFull;
    return result;
  }
  const HttpResponse& response = http_result.value();
  const bool succeeded = response.status >= 200 && response.status < 300;
  auto json = ParseTrustedJson(response.body);
  if (json && json.value().isObject())
    result.body = std::move(json).value();
  if (succeeded && !result.body.isNull())
    return result;
  // A server error or a truncated response leaves the outcome indeterminate.
  result.may_have_acted = succeeded || response.status >= 500;
  const std::string name =
      ValueOr<std::string>(StringFieldOr(result.body, "error", ""), "");
  const ErrorCode fallback = CodeOfStatus(response.status);
  const std::string detail = ValueOr<std::string>(
      StringFieldOr(result.body, "detail", "", 64 * 1024), "");
  result.error =
      Error{kErrorCodes.Parse(name).value_or(fallback),
            detail.empty() ? "status " + std::to_string(response.status) +
                                 (name.empty() ? "" : ", " + name)
                           : detail,
            std::nullopt};
  // A control host that is not the leader does not execute the command.
  if (result.error->code == ErrorCode::kNotLeader)
    result.may_have_acted = false;
  return result;
}

}  // namespace

bool IsUnreachable(ErrorCode code) noexcept {
  switch (code) {
    case ErrorCode::kTransport:
    case ErrorCode::kTimeout:
    case ErrorCode::kProtocol:
    case ErrorCode::kUnavailable:
    case ErrorCode::kNotLeader:
      return true;
    default:
      return false;
  }
}

FleetClient::FleetClient(EventLoop& loop,
                         std::vector<std::string> control,
                         std::string secret,
                         Millis timeout,
                         Millis attempt_timeout,
                         Progress progress)
    : loop_(loop),
      http_(loop, {}),
      control_(std::move(control)),
      secret_(std::move(secret)),
      timeout_(timeout),
      attempt_timeout_(attempt_timeout),
      started_(loop.now()),
      progress_timer_(
          loop.Every(kProgressInterval,
                     [this, progress = std::move(progress)](TimePoint now) {
                       progress(now - started_, progress_text_);
                     })),
      random_(std::random_device()()) {}

HttpCall FleetClient::MakeCall(const std::string& address,
                               const std::string& method,
                               const std::string& path,
                               Millis timeout) const {
  HttpCall call{method, "http://" + address + path};
  call.headers[kSecretHeader] = secret_;
  call.timeout = timeout;
  return call;
}

std::vector<CallResult> FleetClient::SendAll(std::vector<HttpCall> calls) {
  std::vector<CallResult> results(calls.size());
  std::size_t open = calls.size();
  for (std::size_t i = 0; i < calls.size(); ++i) {
    http_.Send(std::move(calls[i]), [&, i](const Result<HttpResponse>& result) {
      results[i] = ToCallResult(result);
      if (--open == 0)
        loop_.Stop();
    });
  }
  while (open > 0)
    loop_.Run();
  return results;
}

CallResult FleetClient::CallControl(const std::string& method,
                                    const std::string& path,
                                    const Json& body) {
  CallResult result;
  if (control_.empty()) {
    result.error =
        Error{ErrorCode::kInvalidSetting, "--control is not set", std::nullopt};
    return result;
  }
  const TimePoint deadline = now() + timeout_;
  Millis backoff = kFirstBackoff;
  bool may_have_acted = false;
  for (std::size_t attempt = 1;; ++attempt) {
    const std::string& address = control_[preferred_];
    const Millis remaining = std::max(deadline - now(), Millis(1));
    HttpCall call =
        MakeCall(address, method, path, std::min(attempt_timeout_, remaining));
    if (!body.isNull())
      call.body = WriteJson(body);
    std::vector<HttpCall> calls;
    calls.push_back(std::move(call));
    result = std::move(SendAll(std::move(calls)).front());
    if (result.ok() || !IsUnreachable(result.error->code))
      return result;
    may_have_acted = may_have_acted || result.may_have_acted;
    preferred_ = (preferred_ + 1) % control_.size();
    Millis pause{0};
    if (attempt % control_.size() == 0) {
      pause = Millis(std::uniform_int_distribution<std::int64_t>(
          1, backoff.count())(random_));
      backoff = std::min(backoff * 2, kMaxBackoff);
    }
    if (now() + pause >= deadline) {
      result.may_have_acted = may_have_acted;
      return result;
    }
    if (pause > Millis(0))
      Pause(pause);
  }
}

std::vector<CallResult> FleetClient::CallAll(
    const std::vector<std::string>& addresses,
    const std::string& method,
    const std::string& path) {
  std::vector<HttpCall> calls;
  calls.reserve(addresses.size());
  for (const std::string& address : addresses) {
    calls.push_back(
        MakeCall(address, method, path, std::min(attempt_timeout_, timeout_)));
  }
  return SendAll(std::move(calls));
}

void FleetClient::Pause(Millis time) {
  bool over = false;
  const WatchHandle timer = loop_.After(time, [&](TimePoint) {
    over = true;
    loop_.Stop();
  });
  while (!over)
    loop_.Run();
}

}  // namespace boragewinch
