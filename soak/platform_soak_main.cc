// platform-soak: runs gateways and schedulers as processes on loopback, injects
// faults into them and checks the guarantees to callers.

#include <cstdio>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/settings.h"
#include "fault_injector.h"

namespace boragewinch::platform {
namespace {

/// Time for the programs to become ready.
constexpr Millis kBeginLimit{30'000};
/// Time after the last fault for leases to expire, a leader to be elected and
/// the remaining work to end.
constexpr Millis kSettleLimit{60'000};

void Print(const std::string& line) {
  std::printf("%s\n", line.c_str());
  std::fflush(stdout);
}

/// \returns the CPU time of a process so far; nullopt if it cannot be read.
[[nodiscard]] std::optional<double> CpuSeconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  double nanoseconds = 0;
  constexpr double kNanosPerSecond = 1e9;
  if (!(file >> nanoseconds))
    return std::nullopt;
  return nanoseconds / kNanosPerSecond;
}

[[nodiscard]] FaultTargets TargetsOf(PlatformCluster& cluster) {
  return {cluster.schedulers(), cluster.gateways(), cluster.relays(),
          cluster.hosts().names()};
}

void PrintCpuTime(PlatformCluster& cluster) {
  for (const std::string& name : cluster.schedulers()) {
    const pid_t pid = cluster.process(name).pid();
    const auto seconds = CpuSeconds(pid);
    Print(name + (name == cluster.Leader() ? " (leader)" : "") + " pid " +
          std::to_string(pid) + " CPU seconds " +
          (seconds ? std::to_string(*seconds) : "unknown"));
  }
}

int Run(const Settings& settings) {
  ClusterOptions options;
  options.seed = static_cast<std::uint64_t>(settings.integer("seed"));
  options.directory = settings.text("folder");
  const auto hosts = static_cast<int>(settings.integer("hosts"));
  options.pools = {{"main", hosts - hosts / 3 - hosts / 4},
                   {"batch", hosts / 3},
                   {"spare", hosts / 4}};
  options.callers.jobs_per_second =
      static_cast<double>(settings.integer("jobs-per-second"));
  if (settings.flag("speculative")) {
    constexpr int kSpeculativePercent = 30;
    options.speculation = true;
    options.callers.speculative_percent = kSpeculativePercent;
  }
  PlatformCluster cluster(std::move(options));
  const Millis time = Millis(1'000) * settings.integer("seconds");
  const bool without_faults = settings.flag("calm");
  std::vector<Fault> faults;
  if (!without_faults) {
    faults =
        GenerateFaults(static_cast<std::uint64_t>(settings.integer("seed")),
                       time, TargetsOf(cluster));
  }
  Print("seed " + settings.text("seed") + " seconds " +
        settings.text("seconds") + " directory " + cluster.directory());
  for (const Fault& fault : faults)
    Print("schedule: " + ToText(fault));
  if (settings.flag("schedule"))
    return kExitOk;
  if (!cluster.Begin(kBeginLimit)) {
    Print("BROKEN START the programs did not become ready");
    return kExitFailed;
  }
  const TimePoint begun = cluster.loop().now();
  const auto log = [&cluster, begun](const std::string& line) {
    Print(std::to_string((cluster.loop().now() - begun).count()) + " " + line);
  };
  if (without_faults)
    PrintCpuTime(cluster);
  FaultInjector injector(cluster, std::move(faults), log);
  cluster.callers().Start();
  injector.Begin();
  // The first violation ends the faults: later ones may be its consequences.
  if (cluster.RunUntil(
          time, [&cluster] { return !cluster.checker().violations().empty(); }))
    log("a guarantee is violated; no further faults");
  if (without_faults)
    PrintCpuTime(cluster);
  injector.Heal();
  log("healed: " + cluster.checker().Summary());
  const bool settled = cluster.Settle(kSettleLimit);
  log("end: " + cluster.checker().Summary());
  // Violations carry the time of the event loop, other lines the time since
  // `begun`.
  Print("start of the load and the faults, on the clock of the violations: " +
        std::to_string(ToMillis(begun)));
  bool passed = true;
  for (const std::string& violation : cluster.checker().violations()) {
    Print("BROKEN " + violation);
    passed = false;
  }
  for (const std::string& end : injector.unexpected_exits()) {
    Print("BROKEN END " + end);
    passed = false;
  }
  if (!settled && passed) {
    Print("BROKEN LOST jobs or calls are still open after " +
          std::to_string(kSettleLimit.count()) +
          " ms: " + std::to_string(cluster.callers().open()) + " calls");
    passed = false;
  }
  Print(std::string(passed ? "kept" : "FAILED") + " seed " +
        settings.text("seed") + " seconds " + settings.text("seconds"));
  return passed ? kExitOk : kExitFailed;
}

int Main(int argc, const char* const* argv) {
  SettingsBuilder builder(
      "platform-soak",
      "soak test of gateways and schedulers under injected faults");
  builder.Integer("seed", "seed of the faults and the load", 1, 0, 1L << 62)
      .Integer("seconds", "time during which faults are injected", 30, 1,
               86'400)
      .Integer("hosts", "fake hosts, a quarter of them on standby", 12, 4, 400)
      .Integer("jobs-per-second", "load", 4, 1, 500)
      .Text("folder",
            "directory for logs and data, kept at the end; empty: a temporary "
            "one, removed at the end")
      .Flag("calm", "injects no faults; prints the schedulers' CPU time")
      .Flag("speculative",
            "30% of the steps are speculative, some of their tasks are slow, "
            "and the schedulers start copies")
      .Flag("schedule", "prints the schedule and exits");
  std::vector<Error> errors;
  const Settings settings = builder.Parse(argc, argv, &errors);
  if (auto code = HandleStandardSettings(builder, settings, errors))
    return *code;
  ConfigureEventLog("platform-soak", EventLevel::kInfo,
                    EventStream::kStandardError);
  return Run(settings);
}

}  // namespace
}  // namespace boragewinch::platform

int main(int argc, char** argv) {
  return boragewinch::platform::Main(argc, argv);
}
