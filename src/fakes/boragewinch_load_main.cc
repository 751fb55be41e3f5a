// Load generator: submits jobs as callers would and checks the results.

#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/settings.h"
#include "fakes/load_generator.h"
#include "kernel/kernel.h"

namespace boragewinch {
namespace {

class LoadService final : public Service {
 public:
  explicit LoadService(LoadConfig config) : config_(std::move(config)) {}

  Status Start(Kernel& kernel) override {
    HttpClientLimits limits;
    limits.max_connections_per_host = 256;
    client_ = std::make_unique<HttpClient>(kernel.loop(), limits);
    started_ = kernel.loop().now();
    generator_ = std::make_unique<LoadGenerator>(
        kernel.loop(), *client_, config_, [this, &kernel](const LoadReport&) {
          elapsed_ = kernel.loop().now() - started_;
          kernel.RequestStop();
        });
    generator_->Start();
    return Ok();
  }

  [[nodiscard]] const LoadReport& report() const {
    return generator_->report();
  }
  [[nodiscard]] Millis elapsed() const noexcept { return elapsed_; }

 private:
  LoadConfig config_;
  std::unique_ptr<HttpClient> client_;
  std::unique_ptr<LoadGenerator> generator_;
  TimePoint started_;
  Millis elapsed_{0};
};

[[nodiscard]] long Percentile(const std::vector<Millis>& sorted, int percent) {
  if (sorted.empty())
    return 0;
  const std::size_t index =
      std::min(sorted.size() - 1, sorted.size() * percent / 100);
  return sorted[index].count();
}

void Print(const LoadReport& report, Millis elapsed) {
  for (const auto& [name, count] : report.outcomes)
    std::printf("%-40s %ld\n", name.c_str(), count);
  std::vector<Millis> sorted = report.latencies;
  std::sort(sorted.begin(), sorted.end());
  std::printf("wrong results: %ld\n", report.wrong_results);
  std::printf("elapsed: %ld ms, %.0f jobs/s\n", elapsed.count(),
              elapsed.count() == 0
                  ? 0.0
                  : static_cast<double>(sorted.size()) * 1'000.0 /
                        static_cast<double>(elapsed.count()));
  std::printf("submit to result, ms: median %ld, 99th %ld, worst %ld\n",
              Percentile(sorted, 50), Percentile(sorted, 99),
              Percentile(sorted, 100));
}

[[nodiscard]] Result<std::vector<LoadTarget>> ReadTargets(
    const std::vector<std::string>& texts) {
  std::vector<LoadTarget> targets;
  for (const std::string& text : texts) {
    const auto equals = text.find('=');
    LoadTarget target{QueueName(text.substr(0, equals)), ""};
    if (equals != std::string::npos)
      target.key = text.substr(equals + 1);
    if (!IsValidName(target.queue.str())) {
      return Fail(ErrorCode::kInvalidSetting,
                  "--queues: \"" + text + "\" is not QUEUE or QUEUE=KEY");
    }
    targets.push_back(std::move(target));
  }
  return targets;
}

int Main(int argc, const char* const* argv) {
  SettingsBuilder builder("boragewinch-load", "submits jobs as callers would");
  builder.AddressList("entries", "entry hosts to call")
      .Required("queues", "list of QUEUE (open) or QUEUE=KEY")
      .Integer("jobs", "jobs to submit", 100, 1, 10'000'000)
      .Integer("in-flight", "jobs open concurrently", 64, 1, 4'096)
      .Integer("run-ms", "run time of each job", 10, 0, 3'600'000)
      .Integer("urgent-percent", "share of urgent jobs", 10, 0, 100)
      .Integer("repeatable-percent", "share of repeatable jobs", 50, 0, 100)
      .Integer("deadline-ms", "longest wait for the result of a job", 60'000, 1,
               3'600'000)
      .Integer("seed", "random seed", 1, 0, 1'000'000'000);
  std::vector<Error> errors;
  const Settings settings = builder.Parse(argc, argv, &errors);
  auto targets = ReadTargets(settings.list("queues"));
  if (!targets)
    errors.push_back(targets.error());
  if (settings.list("entries").empty()) {
    errors.push_back({ErrorCode::kInvalidSetting,
                      "--entries must name at least one address",
                      std::nullopt});
  }
  if (auto code = HandleStandardSettings(builder, settings, errors))
    return *code;
  ConfigureEventLog("boragewinch-load", EventLevel::kError);
  LoadConfig config;
  config.entries = settings.list("entries");
  config.targets = std::move(targets).value();
  config.jobs = settings.integer("jobs");
  config.in_flight = settings.integer("in-flight");
  config.run = Millis(settings.integer("run-ms"));
  config.urgent_percent = settings.integer("urgent-percent");
  config.repeatable_percent = settings.integer("repeatable-percent");
  config.deadline = Millis(settings.integer("deadline-ms"));
  config.seed = static_cast<std::uint32_t>(settings.integer("seed"));

  Kernel kernel;
  auto service = std::make_unique<LoadService>(std::move(config));
  const LoadService* load = service.get();
  kernel.Add("load", std::move(service));
  if (Status status = kernel.Run(); !status) {
    std::fprintf(stderr, "%s\n", status.error().Text().c_str());
    return kExitFailed;
  }
  Print(load->report(), load->elapsed());
  return load->report().wrong_results == 0 ? kExitOk : kExitFailed;
}

}  // namespace
}  // namespace boragewinch

int main(int argc, char** argv) {
  boragewinch::HoldSignals();
  return boragewinch::Main(argc, argv);
}
