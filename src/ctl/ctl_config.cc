#include "ctl/ctl_config.h"

#include <fstream>
#include <utility>

#include "model/job.h"

namespace boragewinch {

namespace {

constexpr std::size_t kMaxSecretBytes = 4'096;

[[nodiscard]] EntryAddress ToEntryAddress(const std::string& text) {
  const auto equals = text.find('=');
  if (equals == std::string::npos)
    return {"", text};
  return {text.substr(0, equals), text.substr(equals + 1)};
}

[[nodiscard]] Status CheckName(const char* setting, const std::string& name) {
  if (!name.empty() && !IsValidName(name)) {
    return Fail(ErrorCode::kInvalidSetting,
                "--" + std::string(setting) + " is \"" + name +
                    "\"; allowed are 1 to 64 characters of A-Z a-z 0-9 _ -");
  }
  return Ok();
}

[[nodiscard]] Result<std::string> ReadSecret(const std::string& file,
                                             std::string environment) {
  if (file.empty())
    return environment;
  auto secret = ReadWholeFile(file, kMaxSecretBytes);
  if (!secret) {
    return Fail(ErrorCode::kInvalidSetting,
                "--operator-secret-file: " + secret.error().detail);
  }
  std::string text = std::move(secret).value();
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r'))
    text.pop_back();
  return text;
}

// The secret is sent in an HTTP header, which a control character could end.
[[nodiscard]] bool IsHeaderText(const std::string& text) {
  for (const char c : text) {
    if (c < ' ' || c == 0x7f)
      return false;
  }
  return !text.empty();
}

}  // namespace

SettingsBuilder CtlSettings() {
  SettingsBuilder builder("boragectl", "command-line client for operators");
  builder.AddressList("control", "control hosts")
      .AddressList("entries", "entry hosts, as zone=IP:port or IP:port")
      .Text("operator-secret-file",
            "file with the operators' secret; without it the secret is the "
            "environment variable BORAGEWINCH_OPERATOR_SECRET")
      .Text("operator",
            "operator name in the history (default: the login name)")
      .Text("zone",
            "call only the entry hosts, and list only the hosts, of this "
            "availability zone")
      .Text("operation-id",
            "id of an operation to resend because its response was lost")
      .Integer("expected-version",
               "refuse the change at any other fleet version; -1 stands for "
               "the current version",
               -1, -1, INT64_MAX)
      .Integer("limit", "jobs that \"job list\" shows for each entry host", 100,
               1, 10'000)
      .Integer("timeout-ms",
               "time to reach a server, and then to wait until a change is in "
               "force",
               30'000, 100, 3'600'000)
      .Flag("allow-lowering", "apply a sheet that lowers limits")
      .Flag("drain-first", "host move: drain the host, move it, return it")
      .Flag("json", "print one JSON document");
  return builder;
}

Result<CtlConfig> ReadCtlConfig(const Settings& settings,
                                std::string environment_secret,
                                const std::string& login) {
  CtlConfig config;
  BW_TRY(config.secret, ReadSecret(settings.text("operator-secret-file"),
                                   std::move(environment_secret)));
  if (!IsHeaderText(config.secret)) {
    return Fail(ErrorCode::kInvalidSetting,
                "the operators' secret is missing or has control characters; "
                "set BORAGEWINCH_OPERATOR_SECRET or --operator-secret-file");
  }
  for (const std::string& text : settings.list("control"))
    config.control.push_back(ToEntryAddress(text).address);
  for (const std::string& text : settings.list("entries"))
    config.entries.push_back(ToEntryAddress(text));
  for (const char* name : {"operator", "zone", "operation-id"})
    BW_CHECK(CheckName(name, settings.text(name)));
  if (const std::string& name = settings.text("operator"); !name.empty())
    config.operator_name = name;
  else if (IsValidName(login))
    config.operator_name = login;
  config.zone = settings.text("zone");
  config.operation_id = settings.text("operation-id");
  if (const auto version = settings.integer("expected-version"); version >= 0)
    config.expected_version = static_cast<FleetVersion>(version);
  config.list_limit = settings.integer("limit");
  config.timeout = Millis(settings.integer("timeout-ms"));
  config.json = settings.flag("json");
  config.drain_first = settings.flag("drain-first");
  config.allow_lowering = settings.flag("allow-lowering");
  return config;
}

Result<std::string> ReadWholeFile(const std::string& path,
                                  std::size_t max_bytes) {
  std::ifstream file(path, std::ios::binary);
  std::string text(max_bytes + 1, '\0');
  if (!file.read(text.data(), static_cast<std::streamsize>(text.size())) &&
      !file.eof()) {
    return Fail(ErrorCode::kNotFound, "can't read \"" + path + "\"");
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > max_bytes) {
    return Fail(ErrorCode::kTooLarge, "\"" + path + "\" has more than " +
                                          std::to_string(max_bytes) + " bytes");
  }
  return text;
}

}  // namespace boragewinch
