#ifndef BORAGEWINCH_FAKES_FAKE_PLATFORM_H_
#define BORAGEWINCH_FAKES_FAKE_PLATFORM_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "net/http_types.h"

namespace boragewinch {

/// \brief Fake of the platform's reboot interface (docs/api.md).
class FakePlatform {
 public:
  explicit FakePlatform(Millis reboot_time) : reboot_time_(reboot_time) {}

  /// \returns the response to `request`; a reboot begins at `now`.
  [[nodiscard]] HttpResponse HandleRequest(const HttpRequest& request,
                                           TimePoint now);
  /// \returns how often `host` has been rebooted.
  [[nodiscard]] std::int64_t boots(const std::string& host) const;
  /// \returns whether `host` is not rebooting at `now`.
  [[nodiscard]] bool up(const std::string& host, TimePoint now) const;

 private:
  struct HostRecord {
    std::int64_t boots = 0;
    TimePoint up_at;
  };

  Millis reboot_time_;
  std::map<std::string, HostRecord> hosts_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_FAKES_FAKE_PLATFORM_H_
