#ifndef BORAGEWINCH_CONTROL_PLATFORM_CLIENT_H_
#define BORAGEWINCH_CONTROL_PLATFORM_CLIENT_H_

#include <functional>
#include <string>

#include "base/strong_id.h"
#include "net/http_client.h"

namespace boragewinch {

/// \brief What the platform says of a host.
struct PlatformHost {
  std::int64_t boots = 0;
  bool up = false;
};

/// \brief Client of the platform's reboot interface.
class PlatformClient {
 public:
  using Done = std::function<void(Result<PlatformHost>)>;

  /// \param address "IP:port"; empty when there is no platform interface.
  PlatformClient(HttpClient& client, std::string address);

  [[nodiscard]] bool available() const noexcept { return !address_.empty(); }
  /// \brief Orders a reboot; a second order during it has no effect.
  void Reboot(const HostName& host, Done done);
  void Query(const HostName& host, Done done);

 private:
  void Call(const char* method, const std::string& path, Done done);

  HttpClient& client_;
  std::string address_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_CONTROL_PLATFORM_CLIENT_H_
