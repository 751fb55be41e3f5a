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

/// \brief An entry host of the settings.
struct EntryAddress {
  std::string zone;  ///< may be empty
  std::string address;

  /// \returns "zone IP:port", or the address alone.
  [[nodiscard]] std::string Text() const {
    return zone.empty() ? address : zone + " " + address;
  }
};

/// \brief Settings of boragectl in checked form.
struct CtlConfig {
  std::vector<std::string> control;  ///< "IP:port"
  std::vector<EntryAddress> entries;
  std::string secret;
  std::string operator_name = "operator";
  std::string zone;          ///< shows only this zone; empty shows all
  std::string operation_id;  ///< resends an earlier operation; may be empty
  std::optional<FleetVersion> expected_version;
  std::int64_t list_limit = 100;
  Millis timeout{30'000};
  /// A server that is silent for this long is passed over.
  Millis try_timeout{3'000};
  bool json = false;
  bool allow_lowering = false;
  bool drain_first = false;  ///< for a move: drain, move, return
};

/// \returns the settings that boragectl declares.
[[nodiscard]] SettingsBuilder CtlSettings();

/// \brief Turns parsed settings into a configuration.
/// \param environment_secret value of BORAGEWINCH_OPERATOR_SECRET, which has
/// no flag since other users of a host can read the flags of a process.
/// \param login name of the user, for an empty --operator.
/// \returns kInvalidSetting for an unreadable secret file, a missing secret or
/// a malformed name.
[[nodiscard]] Result<CtlConfig> ReadCtlConfig(const Settings& settings,
                                              std::string environment_secret,
                                              const std::string& login);

/// \brief Reads a file of at most `max_bytes`.
/// \returns its bytes, kNotFound or kTooLarge.
[[nodiscard]] Result<std::string> ReadWholeFile(const std::string& path,
                                                std::size_t max_bytes);

}  // namespace boragewinch

#endif  // BORAGEWINCH_CTL_CTL_CONFIG_H_
