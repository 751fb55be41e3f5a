// Fake workers, each on a port of its own.

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/settings.h"
#include "fakes/fake_worker.h"
#include "kernel/kernel.h"

namespace boragewinch {
namespace {

class WorkersService final : public Service {
 public:
  explicit WorkersService(const Settings& settings) : settings_(settings) {}
  ~WorkersService() override {
    workers_.clear();
    if (run_log_ >= 0)
      close(run_log_);
    if (task_log_ >= 0)
      close(task_log_);
  }

  Status Start(Kernel& kernel) override {
    client_ = std::make_unique<HttpClient>(kernel.loop(), HttpClientLimits{});
    if (const std::string& path = settings_.text("run-log"); !path.empty()) {
      run_log_ = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      if (run_log_ < 0)
        return Fail(ErrorCode::kStorageWrite, "can't open " + path);
    }
    if (const std::string& path = settings_.text("task-log"); !path.empty()) {
      task_log_ = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      if (task_log_ < 0)
        return Fail(ErrorCode::kStorageWrite, "can't open " + path);
    }
    for (const std::string& host : settings_.list("hosts"))
      BW_CHECK(StartWorker(kernel.loop(), host));
    return Ok();
  }

 private:
  [[nodiscard]] Status StartWorker(EventLoop& loop, const std::string& host) {
    FakeWorkerConfig config;
    config.host = HostName(host);
    config.zone = ZoneName(settings_.text("zone"));
    config.rack = RackName(host.substr(0, host.rfind('-')));
    config.listen = settings_.text("listen");
    config.entries = settings_.list("entries");
    config.platform = settings_.text("platform");
    config.total.cpu_millis = settings_.integer("cores") * 1'000;
    config.total.memory_mb = settings_.integer("memory-mb");
    config.heartbeat = Millis(settings_.integer("heartbeat-ms"));
    config.fail_all = settings_.flag("fail-all");
    config.checkpoint = !settings_.flag("no-checkpoint");
    if (run_log_ >= 0) {
      config.on_execute = [this, host](const TaskId& task) {
        const std::string line = task.Text() + " " + host + "\n";
        // One write per line, so that lines of several processes don't
        // interleave.
        if (write(run_log_, line.data(), line.size()) < 0)
          std::perror("run-log");
      };
    }
    if (task_log_ >= 0) {
      config.on_change = [this, host, &loop](const TaskId& task,
                                             const TeamName& team, bool start) {
        const auto time =
            std::chrono::duration_cast<Millis>(loop.now().time_since_epoch());
        const std::string line = (start ? "start " : "end ") + task.Text() +
                                 " " + host + " " + team.str() + " " +
                                 std::to_string(time.count()) + "\n";
        if (write(task_log_, line.data(), line.size()) < 0)
          std::perror("task-log");
      };
    }
    workers_.push_back(
        std::make_unique<FakeWorker>(loop, *client_, std::move(config)));
    return workers_.back()->Start();
  }

  const Settings& settings_;
  std::unique_ptr<HttpClient> client_;
  std::vector<std::unique_ptr<FakeWorker>> workers_;
  int run_log_ = -1;
  int task_log_ = -1;
};

int Main(int argc, const char* const* argv) {
  SettingsBuilder builder("fake-worker", "fake backend servers");
  builder.Required("hosts", "comma-separated host names, <rack>-<host>")
      .Required("zone", "availability zone of the hosts")
      .AddressList("entries", "entry hosts of the zone")
      .Address("listen", "address to serve, port 0 for several hosts",
               "127.0.0.1:0")
      .Address("platform", "address of the platform, for reboots")
      .Integer("cores", "processors of each host", 16, 1, 1'000)
      .Integer("memory-mb", "memory of each host", 32'768, 1, 64L * 1024 * 1024)
      .Integer("heartbeat-ms", "heartbeat interval", 1'000, 10, 60'000)
      .Flag("no-checkpoint", "does not support /tasks/checkpoint")
      .Flag("fail-all", "every task fails immediately")
      .Text("run-log", "file to append a line to for each execution")
      .Text("task-log",
            "file to append a line to for each start and end, with team and "
            "monotonic milliseconds");
  std::vector<Error> errors;
  const Settings settings = builder.Parse(argc, argv, &errors);
  if (auto code = HandleStandardSettings(builder, settings, errors))
    return *code;
  ConfigureEventLog("fake-worker", EventLevel::kWarn);
  Kernel kernel;
  kernel.Add("workers", std::make_unique<WorkersService>(settings));
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
