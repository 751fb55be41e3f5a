#ifndef BORAGEWINCH_CTL_CTL_CONFIG_H_
#define BORAGEWINCH_CTL_CTL_CONFIG_H_

#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/settings.h"
#include "base/time.h"
#include "model/fleet_types.h"

namespace boragewinch {

/// \brief Entry host from --entries.
struct EntryAddress {
  std::string zone;  ///< may be empty
  std::string address;

  /// \returns "zone IP:port", or the address alone.
  [[nodiscard]] std::string Text() const {
    return zone.empty() ? address : zone + " " + address;
  }
};

/// \brief Validated settings of boragectl.
struct CtlConfig {
  std::vector<std::string> control;  ///< "IP:port"
  std::vector<EntryAddress> entries;
  std::string secret;
  std::string operator_name = "operator";
  std::string zone;          ///< only this zone; all if empty
  std::string operation_id;  ///< of an operation to resend; may be empty
  std::optional<FleetVersion> expected_version;
  std::int64_t list_limit = 100;
  Millis timeout{30'000};
  /// Time limit of one request, after which the next server is called.
  Millis attempt_timeout{3'000};
  bool json = false;
  bool allow_lowering = false;
  bool drain_first = false;  ///< for a move: drain, move, return
};

[[nodiscard]] SettingsBuilder CtlSettings();

/// \brief Validates parsed settings.
/// \param environment_secret value of BORAGEWINCH_OPERATOR_SECRET, which has
/// no flag since other users of the host can read a process's arguments.
/// \param login login name, the default for --operator.
/// \returns kInvalidSetting for an unreadable secret file, a missing secret or
/// a malformed name.
[[nodiscard]] Result<CtlConfig> ReadCtlConfig(const Settings& settings,
                                              std::string environment_secret,
                                              const std::string& login);

/// \brief Reads a file of at most `max_bytes`.
/// \returns the contents, kNotFound or kTooLarge.
[[nodiscard]] Result<std::string> ReadWholeFile(const std::string& path,
                                                std::size_t max_bytes);

}  // namespace boragewinch

#endif  // BORAGEWINCH_CTL_CTL_CONFIG_H_
