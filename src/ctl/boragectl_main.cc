// Command-line client for operators.

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "ctl/boragectl.h"

namespace boragewinch {
namespace {

[[nodiscard]] std::string Environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

int Main(int argc, const char* const* argv) {
  const SettingsBuilder builder = CtlSettings();
  std::vector<Error> errors;
  const Settings settings = builder.Parse(argc, argv, &errors);
  if (settings.help_requested())
    std::fputs((Boragectl::Usage() + "\n").c_str(), stdout);
  if (auto code = HandleStandardSettings(builder, settings, errors))
    return *code;
  auto config =
      ReadCtlConfig(settings, Environment("BORAGEWINCH_OPERATOR_SECRET"),
                    Environment("LOGNAME"));
  if (!config) {
    std::fprintf(stderr, "BW1004 setting_invalid %s\n",
                 config.error().Text().c_str());
    return kExitBadSettings;
  }
  ConfigureEventLog("boragectl", EventLevel::kError);
  EventLoop loop;
  Boragectl client(loop, std::move(config).value(), std::cout, std::cerr,
                   isatty(STDERR_FILENO) == 1);
  return client.Run(settings.arguments());
}

}  // namespace
}  // namespace boragewinch

int main(int argc, char** argv) {
  return boragewinch::Main(argc, argv);
}
