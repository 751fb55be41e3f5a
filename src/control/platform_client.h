#ifndef BORAGEWINCH_CONTROL_PLATFORM_CLIENT_H_
#define BORAGEWINCH_CONTROL_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/strong_id.h"
#include "net/http_client.h"

namespace boragewinch {

inline constexpr Millis kPlatformTimeout{2'000};
inline constexpr std::size_t kMaxPlatformResponseBytes = 4'096;

/// \brief State of a host as the platform reports it.
struct PlatformHost {
  std::int64_t boots = 0;  ///< grows with each reboot
  bool up = false;
};

/// \brief Client of the platform's reboot interface.
class PlatformClient {
 public:
  /// Called with the state of the requested host, or with
  ///  - kTransport or kTableFull: the request was not sent;
  ///  - kTimeout, kProtocol or kTooLarge: the platform may have acted;
  ///  - kUnavailable: status 5xx; kNotFound: status 404; kProtocol: any other
  ///    status than 200;
  ///  - kInvalidJson, kMissingField or kInvalidField: malformed response;
  ///  - kConflict: the response describes another host.
  using Done = std::function<void(Result<PlatformHost>)>;

  /// \param address "IP:port"; empty without a platform interface.
  PlatformClient(HttpClient& client,
                 std::string address,
                 Millis timeout = kPlatformTimeout);

  [[nodiscard]] bool available() const noexcept { return !address_.empty(); }
  /// \brief Requests a reboot of a host that has booted `expected_boots` times.
  /// The platform ignores the request if the host has booted more often, so
  /// a repeated or late copy of it causes no further reboot.
  void Reboot(const HostName& host, std::int64_t expected_boots, Done done);
  void Query(const HostName& host, Done done);

 private:
  void Send(const HostName& host, HttpCall call, Done done);

  HttpClient& client_;
  std::string address_;
  Millis timeout_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_CONTROL_PLATFORM_CLIENT_H_
