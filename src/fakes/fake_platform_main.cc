// Fake of the platform's reboot interface.

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/settings.h"
#include "fakes/fake_platform.h"
#include "kernel/kernel.h"
#include "net/http_server.h"

namespace boragewinch {
namespace {

class PlatformService final : public Service {
 public:
  explicit PlatformService(const Settings& settings) : settings_(settings) {}

  Status Start(Kernel& kernel) override {
    server_ = std::make_unique<HttpServer>(
        kernel.loop(), HttpServerLimits{},
        [this, &loop = kernel.loop()](const HttpRequest& request,
                                      const HttpResponder& respond) {
          respond(platform_.HandleRequest(request, loop.now()));
        });
    return server_->Listen(settings_.text("listen"));
  }

 private:
  const Settings& settings_;
  FakePlatform platform_{Millis(settings_.integer("reboot-ms"))};
  std::unique_ptr<HttpServer> server_;
};

int Main(int argc, const char* const* argv) {
  SettingsBuilder builder("fake-platform",
                          "fake of the platform's reboot interface");
  builder.RequiredAddress("listen", "address to serve")
      .Integer("reboot-ms", "duration of a reboot", 2'000, 1, 3'600'000);
  std::vector<Error> errors;
  const Settings settings = builder.Parse(argc, argv, &errors);
  if (auto code = HandleStandardSettings(builder, settings, errors))
    return *code;
  ConfigureEventLog("fake-platform", EventLevel::kWarn);
  Kernel kernel;
  kernel.Add("platform", std::make_unique<PlatformService>(settings));
  if (Status status = kernel.Run(); !status) {
    std::fprintf(stderr, "%s\n", status.error().Text().c_str());
    return kExitFailed;
  }
  return kExitOk;
}

}  // namespace
}  // namespace boragewinch

int main(int argc, char** argv) {
  boragewinch::HoldSignals();
  return boragewinch::Main(argc, argv);
}
