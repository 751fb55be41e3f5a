#ifndef BORAGEWINCH_FAKES_FAKE_WORKER_H_
#define BORAGEWINCH_FAKES_FAKE_WORKER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "model/worker_types.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace boragewinch {

struct FakeWorkerConfig {
  HostName host;
  ZoneName zone;
  RackName rack;
  std::string listen = "127.0.0.1:0";
  std::vector<std::string> entries;  ///< "IP:port" of the zone's entry hosts
  std::string platform;              ///< "IP:port", may be empty
  Resources total{16'000, 32'768, 0};
  std::int64_t slots = kMaxSlotsPerWorker;
  Millis heartbeat = kHeartbeatInterval;
  bool checkpoint = true;  ///< supports /tasks/checkpoint
  bool fail_all = false;   ///< every task fails immediately
  /// Called at the start of each execution.
  std::function<void(const TaskId&)> on_execute;
  /// Called at the start (true) and the end (false) of each execution.
  std::function<void(const TaskId&, const TeamName&, bool started)> on_change;
};

/// \brief Fake worker of a backend server. Payloads are JSON:
/// {"run_ms": duration, "fail": bool, "echo": text}; the result is the text.
/// A payload that is not JSON runs for kDefaultRun and is returned unchanged.
class FakeWorker {
 public:
  FakeWorker(EventLoop& loop, HttpClient& client, FakeWorkerConfig config);
  ~FakeWorker();

  /// \brief Listens and starts to send heartbeats.
  [[nodiscard]] Status Start();
  [[nodiscard]] const std::string& address() const noexcept;
  /// \brief Refuses new tasks from now on and notifies one entry host.
  void Leave();
  [[nodiscard]] std::size_t running() const noexcept;

 private:
  struct Task {
    TaskReport report;
    TimePoint lease_until;
    TimePoint started;
    Millis prior_run_time{0};  ///< run time of earlier attempts
    WatchHandle timer;
    std::string body;  ///< result, or progress of a stopped task
    bool ended = false;
    int delivery_attempts = 0;  ///< attempts to deliver the result
    WatchHandle retry;
  };

  void Serve(const HttpRequest& request, const HttpResponder& respond);
  [[nodiscard]] Result<StartResponse> StartTask(const Json& body,
                                                TimePoint now);
  void EndTask(const TaskId& id, TaskState state, std::string progress = {});
  void PostResult(const TaskId& id);
  void SendHeartbeats();
  void OnHeartbeatResponse(const Json& response, TimePoint sent);
  void ExpireLeases(TimePoint now);
  void Restart();
  void PollPlatform();
  void RemoveEnded(const TaskId& id);

  EventLoop& loop_;
  HttpClient& client_;
  FakeWorkerConfig config_;
  HttpServer server_;
  Incarnation incarnation_;
  std::uint64_t sequence_ = 0;
  std::map<TaskId, Task> tasks_;
  std::set<TaskId> seen_;  ///< started or forbidden; not started again
  std::set<TaskId> forbidden_;
  bool leaving_ = false;
  bool rebooting_ = false;
  std::int64_t boots_ = 0;
  FleetVersion assignment_ = 0;
  PoolName pool_;
  bool drain_ = false;
  std::size_t next_entry_ = 0;
  WatchHandle heartbeat_;
  WatchHandle early_report_;
  WatchHandle platform_poll_;
};

/// Run time of a payload without "run_ms".
inline constexpr Millis kDefaultRun{5};

}  // namespace boragewinch

#endif  // BORAGEWINCH_FAKES_FAKE_WORKER_H_
