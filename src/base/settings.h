#ifndef BORAGEWINCH_BASE_SETTINGS_H_
#define BORAGEWINCH_BASE_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace boragewinch {

enum class SettingKind { kText, kInteger, kAddress, kAddressList, kFlag };

/// \brief Declares one setting: `--name` or `BORAGEWINCH_NAME`.
struct SettingSpec {
  std::string name;
  SettingKind kind = SettingKind::kText;
  std::string help;
  std::string fallback;
  bool required = false;
  std::int64_t low = 0;
  std::int64_t high = 0;
};

/// \brief The validated settings of a process. Command-line flags take
/// precedence over environment variables, and these over defaults.
class Settings {
 public:
  [[nodiscard]] const std::string& text(std::string_view name) const;
  [[nodiscard]] std::int64_t integer(std::string_view name) const;
  [[nodiscard]] bool flag(std::string_view name) const;
  /// \returns the elements of a comma-separated list.
  [[nodiscard]] std::vector<std::string> list(std::string_view name) const;
  /// \returns the positional arguments, in order.
  [[nodiscard]] const std::vector<std::string>& arguments() const noexcept {
    return arguments_;
  }
  [[nodiscard]] bool help_requested() const noexcept { return help_; }
  [[nodiscard]] bool version_requested() const noexcept { return version_; }

 private:
  friend class SettingsBuilder;
  std::map<std::string, std::string, std::less<>> values_;
  std::vector<std::string> arguments_;
  bool help_ = false;
  bool version_ = false;
};

/// \brief Declares settings, then parses and validates all of them.
class SettingsBuilder {
 public:
  explicit SettingsBuilder(std::string program, std::string summary);

  SettingsBuilder& Text(std::string name,
                        std::string help,
                        std::string fallback = "");
  SettingsBuilder& Required(std::string name, std::string help);
  SettingsBuilder& Integer(std::string name,
                           std::string help,
                           std::int64_t fallback,
                           std::int64_t low,
                           std::int64_t high);
  /// An "IP:port" that the process listens on or connects to.
  SettingsBuilder& Address(std::string name,
                           std::string help,
                           std::string fallback = "");
  SettingsBuilder& RequiredAddress(std::string name, std::string help);
  /// A comma-separated list of "IP:port" or "name=IP:port".
  SettingsBuilder& AddressList(std::string name, std::string help);
  SettingsBuilder& Flag(std::string name, std::string help);

  /// \param errors receives one error for each invalid setting.
  /// \returns the settings; valid only if `errors` stays empty.
  [[nodiscard]] Settings Parse(int argc,
                               const char* const* argv,
                               std::vector<Error>* errors) const;
  /// \returns the text for --help.
  [[nodiscard]] std::string Help() const;

 private:
  std::string program_;
  std::string summary_;
  std::vector<SettingSpec> specs_;
};

/// \returns the environment variable of the setting `name`.
[[nodiscard]] std::string EnvironmentName(std::string_view name);

/// \brief Handles --help, --version and invalid settings for a main function.
/// \returns the exit code if the process must exit (0 or 2), otherwise nothing.
[[nodiscard]] std::optional<int> HandleStandardSettings(
    const SettingsBuilder& builder,
    const Settings& settings,
    const std::vector<Error>& errors);

/// Exit codes of all programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadSettings = 2;
inline constexpr int kExitUnavailable = 3;
inline constexpr int kExitRefused = 4;

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_SETTINGS_H_
