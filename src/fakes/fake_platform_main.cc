// Stand-in for the platform's reboot interface.

#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/json.h"
#include "base/settings.h"
#include "kernel/kernel.h"
#include "net/http_server.h"

namespace boragewinch {
namespace {

class PlatformService final : public Service {
 public:
  explicit PlatformService(const Settings& settings) : settings_(settings) {}

  Status Start(Kernel& kernel) override {
    loop_ = &kernel.loop();
    server_ = std::make_unique<HttpServer>(
        kernel.loop(), HttpServerLimits{},
        [this](const HttpRequest& request, const HttpResponder& respond) {
          respond(Answer(request));
        });
    return server_->Listen(settings_.text("listen"));
  }

 private:
  struct HostRecord {
    std::int64_t boots = 0;
    TimePoint up_at;
  };

  [[nodiscard]] HttpResponse Answer(const HttpRequest& request) {
    static const std::string kPrefix = "/hosts/";
    static const std::string kReboot = "/reboot";
    if (!request.path.starts_with(kPrefix))
      return {404, R"({"error":"not_found"})"};
    std::string name = request.path.substr(kPrefix.size());
    const TimePoint now = loop_->now();
    if (request.method == "POST" && name.ends_with(kReboot)) {
      name.resize(name.size() - kReboot.size());
      HostRecord& host = hosts_[name];
      // A second order while the host reboots is the same reboot.
      if (host.up_at <= now) {
        ++host.boots;
        host.up_at = now + Millis(settings_.integer("reboot-ms"));
      }
    }
    const HostRecord& host = hosts_[name];
    Json json;
    json["host"] = name;
    json["boots"] = ::Json::Int64(host.boots);
    json["up"] = host.up_at <= now;
    return {200, WriteJson(json)};
  }

  const Settings& settings_;
  EventLoop* loop_ = nullptr;
  std::unique_ptr<HttpServer> server_;
  std::map<std::string, HostRecord> hosts_;
};

int Main(int argc, const char* const* argv) {
  SettingsBuilder builder("fake-platform", "stand-in for the platform");
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
  return boragewinch::Main(argc, argv);
}
