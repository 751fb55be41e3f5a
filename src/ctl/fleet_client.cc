#include "ctl/fleet_client.h"

#include <algorithm>
#include <utility>

namespace boragewinch {

namespace {

constexpr char kSecretHeader[] = "X-Boragewinch-Operator";
constexpr Millis kFirstBackoff{100};
constexpr Millis kMaxBackoff{2'000};
constexpr Millis kProgressInterval{1'000};

// For a refusal without a known error name, such as one of a proxy.
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

[[nodiscard]] CallAnswer ReadAnswer(const Result<HttpResponse>& result) {
  CallAnswer answer;
  if (!result) {
    answer.error = result.error();
    answer.may_have_acted = result.error().code != ErrorCode::kTransport &&
                            result.error().code != ErrorCode::kTableFull;
    return answer;
  }
  const HttpResponse& response = result.value();
  const bool succeeded = response.status >= 200 && response.status < 300;
  auto json = ParseJson(response.body);
  if (json && json.value().isObject())
    answer.body = std::move(json).value();
  if (succeeded && !answer.body.isNull())
    return answer;
  // A server error or a cut answer says nothing about what was done.
  answer.may_have_acted = succeeded || response.status >= 500;
  const std::string name =
      ValueOr<std::string>(StringFieldOr(answer.body, "error", ""), "");
  const ErrorCode fallback = CodeOfStatus(response.status);
  const std::string detail = ValueOr<std::string>(
      StringFieldOr(answer.body, "detail", "", 64 * 1024), "");
  answer.error =
      Error{kErrorCodes.Parse(name).value_or(fallback),
            detail.empty() ? "status " + std::to_string(response.status) +
                                 (name.empty() ? "" : ", " + name)
                           : detail,
            std::nullopt};
  // A control host that is not the leader has not taken the command.
  if (answer.error->code == ErrorCode::kNotLeader)
    answer.may_have_acted = false;
  return answer;
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
                         Millis try_timeout,
                         Progress progress)
    : loop_(loop),
      http_(loop, {}),
      control_(std::move(control)),
      secret_(std::move(secret)),
      timeout_(timeout),
      try_timeout_(try_timeout),
      started_(loop.now()),
      tick_(loop.Every(kProgressInterval,
                       [this, progress = std::move(progress)](TimePoint now) {
                         progress(now - started_, text_);
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

std::vector<CallAnswer> FleetClient::SendAll(std::vector<HttpCall> calls) {
  std::vector<CallAnswer> answers(calls.size());
  std::size_t open = calls.size();
  for (std::size_t i = 0; i < calls.size(); ++i) {
    http_.Send(std::move(calls[i]), [&, i](const Result<HttpResponse>& result) {
      answers[i] = ReadAnswer(result);
      if (--open == 0)
        loop_.Stop();
    });
  }
  while (open > 0)
    loop_.Run();
  return answers;
}

CallAnswer FleetClient::Control(const std::string& method,
                                const std::string& path,
                                const Json& body) {
  CallAnswer answer;
  if (control_.empty()) {
    answer.error =
        Error{ErrorCode::kInvalidSetting, "--control is not set", std::nullopt};
    return answer;
  }
  const TimePoint deadline = now() + timeout_;
  Millis backoff = kFirstBackoff;
  bool may_have_acted = false;
  for (std::size_t attempt = 1;; ++attempt) {
    const std::string& address = control_[preferred_];
    const Millis left = std::max(deadline - now(), Millis(1));
    HttpCall call =
        MakeCall(address, method, path, std::min(try_timeout_, left));
    if (!body.isNull())
      call.body = WriteJson(body);
    std::vector<HttpCall> calls;
    calls.push_back(std::move(call));
    answer = std::move(SendAll(std::move(calls)).front());
    if (answer.ok() || !IsUnreachable(answer.error->code))
      return answer;
    may_have_acted = may_have_acted || answer.may_have_acted;
    preferred_ = (preferred_ + 1) % control_.size();
    Millis pause{0};
    if (attempt % control_.size() == 0) {
      pause = Millis(std::uniform_int_distribution<std::int64_t>(
          1, backoff.count())(random_));
      backoff = std::min(backoff * 2, kMaxBackoff);
    }
    if (now() + pause >= deadline) {
      answer.may_have_acted = may_have_acted;
      return answer;
    }
    if (pause > Millis(0))
      Pause(pause);
  }
}

std::vector<CallAnswer> FleetClient::Each(
    const std::vector<std::string>& addresses,
    const std::string& method,
    const std::string& path) {
  std::vector<HttpCall> calls;
  calls.reserve(addresses.size());
  for (const std::string& address : addresses) {
    calls.push_back(
        MakeCall(address, method, path, std::min(try_timeout_, timeout_)));
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
