// boraged-entry: serves the callers, workers and operators of an availability
// zone.

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/settings.h"
#include "entry/control_link.h"
#include "entry/entry_service.h"
#include "entry/outbound_service.h"
#include "entry/peer_link.h"
#include "entry/public_port.h"
#include "entry/service_names.h"
#include "kernel/kernel.h"
#include "model/job.h"

namespace boragewinch {
namespace {

// Holds one job and its result at their maximum sizes.
constexpr std::int64_t kMinRecordBytes = kMaxPayloadBytes + kMaxResultBytes;

void CheckName(const Settings& settings,
               const char* setting,
               std::vector<Error>* errors) {
  const std::string& value = settings.text(setting);
  if (!value.empty() && !IsValidName(value)) {
    errors->push_back({ErrorCode::kInvalidSetting,
                       "--" + std::string(setting) + " is \"" + value +
                           "\"; allowed are 1 to 64 characters of A-Z a-z 0-9 "
                           "_ -",
                       std::nullopt});
  }
}

int Main(int argc, const char* const* argv) {
  SettingsBuilder builder("boraged-entry",
                          "entry host of the boragewinch fleet manager");
  builder.Required("name", "name of this entry host, unique in the fleet")
      .Required("zone", "availability zone of this entry host")
      .RequiredAddress("listen", "address for callers, workers and operators")
      .RequiredAddress("peer-listen", "address for other boragewinch processes")
      .Address("peer-advertise",
               "address at which other processes reach --peer-listen; by "
               "default the listening address")
      .AddressList("control", "control hosts, at least one")
      .Required("cluster-secret", "secret shared by all processes")
      .Required("operator-secret", "credential required from operators")
      .Integer("stop-timeout-ms", "timeout of a planned stop", 60'000, 0,
               3'600'000)
      .Integer("share-blend-ms",
               "time over which shares change to those of a new sheet", 60'000,
               0, 86'400'000)
      .Integer("max-record-bytes",
               "memory limit for jobs and results, in bytes",
               std::int64_t{kDefaultRecordBytes}, kMinRecordBytes,
               std::int64_t{1} << 40)
      .Integer("drain-move-after-ms",
               "run time after which a repeatable task leaves a draining host",
               30'000, 1'000, kMaxRunTime.count())
      .Flag("verbose", "writes debug events");
  std::vector<Error> errors;
  const Settings settings = builder.Parse(argc, argv, &errors);
  CheckName(settings, "name", &errors);
  CheckName(settings, "zone", &errors);
  if (settings.list("control").empty()) {
    errors.push_back({ErrorCode::kInvalidSetting,
                      "--control (BORAGEWINCH_CONTROL) must name at least one "
                      "control host",
                      std::nullopt});
  }
  if (auto code = HandleStandardSettings(builder, settings, errors))
    return *code;
  ConfigureEventLog(
      "boraged-entry/" + settings.text("name"),
      settings.flag("verbose") ? EventLevel::kDebug : EventLevel::kInfo);
  EntryOptions options;
  options.name = EntryName(settings.text("name"));
  options.zone = ZoneName(settings.text("zone"));
  options.listen = settings.text("listen");
  options.peer_listen = settings.text("peer-listen");
  options.peer_advertise = settings.text("peer-advertise");
  for (const std::string& address : settings.list("control"))
    options.control.push_back(address.substr(address.find('=') + 1));
  options.cluster_secret = settings.text("cluster-secret");
  options.operator_secret = settings.text("operator-secret");
  options.share_blend = Millis(settings.integer("share-blend-ms"));
  options.stop_timeout = Millis(settings.integer("stop-timeout-ms"));
  options.max_record_bytes =
      static_cast<std::size_t>(settings.integer("max-record-bytes"));
  options.drain_move_after = Millis(settings.integer("drain-move-after-ms"));

  Kernel kernel;
  kernel.Add(kOutboundService,
             std::make_unique<OutboundService>(options.cluster_secret));
  kernel.Add(kEntryService, std::make_unique<EntryService>(options));
  kernel.Add(kPeersService, std::make_unique<PeerLink>(options));
  kernel.Add(kControlService, std::make_unique<ControlLink>(options));
  kernel.Add(kTasksService, std::make_unique<TaskLink>());
  kernel.Add(kCallersService, std::make_unique<CallerApi>());
  kernel.Add(kOperatorsService, std::make_unique<OperatorApi>(options));
  kernel.Add(kPublicService, std::make_unique<PublicPort>(options));
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
