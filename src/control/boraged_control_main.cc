// boraged-control: a replica of the fleet state, which operators and entry
// hosts call.

#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/settings.h"
#include "control/control_service.h"
#include "kernel/kernel.h"
#include "model/job.h"

namespace boragewinch {
namespace {

[[nodiscard]] std::map<std::string, std::string> ReadPeers(
    const Settings& settings,
    std::vector<Error>* errors) {
  std::map<std::string, std::string> peers;
  for (const std::string& item : settings.list("peers")) {
    const auto equals = item.find('=');
    if (equals == std::string::npos || !IsValidName(item.substr(0, equals))) {
      errors->push_back({ErrorCode::kInvalidSetting,
                         "--peers: \"" + item + "\" must be NAME=IPv4:port",
                         std::nullopt});
      continue;
    }
    peers[item.substr(0, equals)] = item.substr(equals + 1);
  }
  if (!peers.contains(settings.text("name"))) {
    errors->push_back(
        {ErrorCode::kInvalidSetting,
         "--peers must include --name (\"" + settings.text("name") + "\")",
         std::nullopt});
  }
  return peers;
}

int Main(int argc, const char* const* argv) {
  SettingsBuilder builder("boraged-control",
                          "control host of the boragewinch fleet manager");
  builder.Required("name", "name of this control host")
      .RequiredAddress("listen", "address for operators and other processes")
      .Required("data", "data directory; must exist")
      .AddressList("peers", "all control hosts, this one included, NAME=addr")
      .Address("platform", "platform interface, for reboots")
      .Required("cluster-secret", "secret shared by all processes")
      .Required("operator-secret", "credential that operators send")
      .Integer("snapshot-entries", "log entries between snapshots", 8192, 16,
               10'000'000)
      .Integer("election-timeout-ms",
               "time without a leader before an election", 500, 50, 60'000)
      .Integer("buffer-moves",
               "spare hosts that may move concurrently; 0 disables lending", 2,
               0, 100)
      .Integer("buffer-settle-ms",
               "time for which a host is lost before a spare replaces it",
               30'000, 0, 86'400'000)
      .Integer("buffer-stay-seconds", "minimum time for which a host is lent",
               600, 0, 86'400)
      .Flag("verbose", "writes debug events");
  std::vector<Error> errors;
  const Settings settings = builder.Parse(argc, argv, &errors);
  ControlOptions options;
  options.peers = ReadPeers(settings, &errors);
  if (auto code = HandleStandardSettings(builder, settings, errors))
    return *code;
  ConfigureEventLog(
      "boraged-control/" + settings.text("name"),
      settings.flag("verbose") ? EventLevel::kDebug : EventLevel::kInfo);
  options.name = settings.text("name");
  options.listen = settings.text("listen");
  options.data = settings.text("data");
  options.platform = settings.text("platform");
  options.cluster_secret = settings.text("cluster-secret");
  options.operator_secret = settings.text("operator-secret");
  options.snapshot_entries =
      static_cast<std::uint64_t>(settings.integer("snapshot-entries"));
  options.election_timeout = Millis(settings.integer("election-timeout-ms"));
  options.buffers.max_concurrent = settings.integer("buffer-moves");
  options.buffers.loss_delay = Millis(settings.integer("buffer-settle-ms"));
  options.buffers.min_stay_seconds = settings.integer("buffer-stay-seconds");

  Kernel kernel;
  kernel.Add("control", std::make_unique<ControlService>(std::move(options)));
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
