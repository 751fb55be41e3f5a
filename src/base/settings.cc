#include "base/settings.h"

#include <arpa/inet.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <utility>

#include <popt.h>

#include "base/build_info.h"

namespace boragewinch {

namespace {

[[nodiscard]] bool IsAddress(const std::string& value) {
  const auto colon = value.rfind(':');
  if (colon == std::string::npos)
    return false;
  in_addr address{};
  if (inet_pton(AF_INET, value.substr(0, colon).c_str(), &address) != 1)
    return false;
  const std::string port = value.substr(colon + 1);
  if (port.empty() || port.size() > 5 ||
      port.find_first_not_of("0123456789") != std::string::npos)
    return false;
  return std::stol(port) <= 65535;
}

[[nodiscard]] std::vector<std::string> SplitList(const std::string& value) {
  std::vector<std::string> parts;
  std::istringstream stream(value);
  for (std::string part; std::getline(stream, part, ',');) {
    if (!part.empty())
      parts.push_back(part);
  }
  return parts;
}

[[nodiscard]] auto Invalid(const SettingSpec& spec,
                           const std::string& value,
                           const std::string& requirement) {
  return Fail(ErrorCode::kInvalidSetting,
              "--" + spec.name + " (" + EnvironmentName(spec.name) + ") is \"" +
                  value + "\"; " + requirement);
}

[[nodiscard]] Status CheckInteger(const SettingSpec& spec,
                                  const std::string& value) {
  const std::string requirement = "must be an integer from " +
                                  std::to_string(spec.low) + " to " +
                                  std::to_string(spec.high);
  char* end = nullptr;
  errno = 0;
  const long long number = std::strtoll(value.c_str(), &end, 10);
  if (value.empty() || *end != '\0' || errno != 0 || number < spec.low ||
      number > spec.high)
    return Invalid(spec, value, requirement);
  return Ok();
}

[[nodiscard]] Status Check(const SettingSpec& spec, const std::string& value) {
  if (value.empty()) {
    if (spec.required)
      return Invalid(spec, value, "a value is required");
    return Ok();
  }
  switch (spec.kind) {
    case SettingKind::kText:
      return Ok();
    case SettingKind::kFlag:
      if (value != "0" && value != "1")
        return Invalid(spec, value, "must be 0 or 1");
      return Ok();
    case SettingKind::kInteger:
      return CheckInteger(spec, value);
    case SettingKind::kAddress:
      if (!IsAddress(value))
        return Invalid(spec, value, "must be IPv4:port");
      return Ok();
    case SettingKind::kAddressList:
      break;
  }
  for (const std::string& part : SplitList(value)) {
    const auto equals = part.find('=');
    const std::string address =
        equals == std::string::npos ? part : part.substr(equals + 1);
    if (!IsAddress(address)) {
      return Invalid(
          spec, value,
          "must be a list of [name=]IPv4:port, found \"" + part + "\"");
    }
  }
  return Ok();
}

}  // namespace

const std::string& Settings::text(std::string_view name) const {
  static const std::string kEmpty;
  const auto found = values_.find(name);
  return found == values_.end() ? kEmpty : found->second;
}

std::int64_t Settings::integer(std::string_view name) const {
  return std::strtoll(text(name).c_str(), nullptr, 10);
}

bool Settings::flag(std::string_view name) const {
  return text(name) == "1";
}

std::vector<std::string> Settings::list(std::string_view name) const {
  return SplitList(text(name));
}

SettingsBuilder::SettingsBuilder(std::string program, std::string summary)
    : program_(std::move(program)), summary_(std::move(summary)) {}

SettingsBuilder& SettingsBuilder::Text(std::string name,
                                       std::string help,
                                       std::string fallback) {
  specs_.push_back({std::move(name), SettingKind::kText, std::move(help),
                    std::move(fallback)});
  return *this;
}

SettingsBuilder& SettingsBuilder::Required(std::string name, std::string help) {
  specs_.push_back(
      {std::move(name), SettingKind::kText, std::move(help), "", true});
  return *this;
}

SettingsBuilder& SettingsBuilder::Integer(std::string name,
                                          std::string help,
                                          std::int64_t fallback,
                                          std::int64_t low,
                                          std::int64_t high) {
  specs_.push_back({std::move(name), SettingKind::kInteger, std::move(help),
                    std::to_string(fallback), false, low, high});
  return *this;
}

SettingsBuilder& SettingsBuilder::Address(std::string name,
                                          std::string help,
                                          std::string fallback) {
  specs_.push_back({std::move(name), SettingKind::kAddress, std::move(help),
                    std::move(fallback)});
  return *this;
}

SettingsBuilder& SettingsBuilder::RequiredAddress(std::string name,
                                                  std::string help) {
  specs_.push_back(
      {std::move(name), SettingKind::kAddress, std::move(help), "", true});
  return *this;
}

SettingsBuilder& SettingsBuilder::AddressList(std::string name,
                                              std::string help) {
  specs_.push_back(
      {std::move(name), SettingKind::kAddressList, std::move(help)});
  return *this;
}

SettingsBuilder& SettingsBuilder::Flag(std::string name, std::string help) {
  specs_.push_back({std::move(name), SettingKind::kFlag, std::move(help), "0"});
  return *this;
}

Settings SettingsBuilder::Parse(int argc,
                                const char* const* argv,
                                std::vector<Error>* errors) const {
  Settings settings;
  for (const SettingSpec& spec : specs_) {
    const char* value = std::getenv(EnvironmentName(spec.name).c_str());
    settings.values_[spec.name] = value ? value : spec.fallback;
  }

  // Each option is identified by its position in the table, counted from 1.
  const int help_id = static_cast<int>(specs_.size()) + 1;
  const int version_id = help_id + 1;
  std::vector<poptOption> table;
  for (std::size_t i = 0; i < specs_.size(); ++i) {
    const unsigned kind =
        specs_[i].kind == SettingKind::kFlag ? POPT_ARG_NONE : POPT_ARG_STRING;
    table.push_back({specs_[i].name.c_str(), '\0', kind, nullptr,
                     static_cast<int>(i) + 1, nullptr, nullptr});
  }
  table.push_back(
      {"help", 'h', POPT_ARG_NONE, nullptr, help_id, nullptr, nullptr});
  table.push_back(
      {"version", 'V', POPT_ARG_NONE, nullptr, version_id, nullptr, nullptr});
  table.push_back(POPT_TABLEEND);

  poptContext context = poptGetContext(
      program_.c_str(), argc, const_cast<const char**>(argv), table.data(), 0);
  int id = 0;
  while ((id = poptGetNextOpt(context)) > 0) {
    if (id == help_id) {
      settings.help_ = true;
    } else if (id == version_id) {
      settings.version_ = true;
    } else {
      const SettingSpec& spec = specs_[id - 1];
      char* argument = poptGetOptArg(context);
      // An empty integer counts as absent: deployment scripts pass an empty
      // value for each setting that is not set.
      const bool absent =
          spec.kind == SettingKind::kInteger && argument && *argument == '\0';
      if (!absent)
        settings.values_[spec.name] = argument ? argument : "1";
      std::free(argument);
    }
  }
  if (id < -1) {
    errors->push_back(
        {ErrorCode::kInvalidSetting,
         std::string(poptBadOption(context, POPT_BADOPTION_NOALIAS)) + ": " +
             poptStrerror(id) + "; --help lists the options",
         std::nullopt});
  }
  while (const char* argument = poptGetArg(context))
    settings.arguments_.emplace_back(argument);
  poptFreeContext(context);

  for (const SettingSpec& spec : specs_) {
    if (Status status = Check(spec, settings.values_[spec.name]); !status)
      errors->push_back(status.error());
  }
  return settings;
}

std::string SettingsBuilder::Help() const {
  std::ostringstream out;
  out << program_ << " " << BuildText(build_info()) << ": " << summary_
      << "\n\n";
  for (const SettingSpec& spec : specs_) {
    out << "  --" << spec.name;
    if (spec.kind != SettingKind::kFlag)
      out << "=VALUE";
    out << "  (" << EnvironmentName(spec.name) << ")\n      " << spec.help;
    if (spec.required)
      out << " (required)";
    else if (!spec.fallback.empty())
      out << " (default " << spec.fallback << ")";
    if (spec.kind == SettingKind::kInteger)
      out << " [" << spec.low << " to " << spec.high << "]";
    out << "\n";
  }
  out << "  --help, --version\n\nExit codes: 0 done, 1 failed, 2 bad settings, "
         "3 no server reachable, 4 refused.\n";
  return out.str();
}

std::string EnvironmentName(std::string_view name) {
  std::string text = "BORAGEWINCH_";
  for (const char c : name) {
    text +=
        c == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  return text;
}

std::optional<int> HandleStandardSettings(const SettingsBuilder& builder,
                                          const Settings& settings,
                                          const std::vector<Error>& errors) {
  if (settings.help_requested()) {
    std::fputs(builder.Help().c_str(), stdout);
    return kExitOk;
  }
  if (settings.version_requested()) {
    std::printf("%s\n", BuildText(build_info()).c_str());
    return kExitOk;
  }
  for (const Error& error : errors)
    std::fprintf(stderr, "BW1004 setting_invalid %s\n", error.Text().c_str());
  if (!errors.empty())
    return kExitBadSettings;
  return std::nullopt;
}

}  // namespace boragewinch
