#ifndef BORAGEWINCH_TESTS_PROCESS_FLEET_H_
#define BORAGEWINCH_TESTS_PROCESS_FLEET_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/json.h"
#include "base/time.h"
#include "child_process.h"
#include "fakes/load_generator.h"
#include "fault_relay.h"

namespace boragewinch {

inline constexpr char kTestOperatorSecret[] = "test-operator";
inline constexpr char kTestClusterSecret[] = "test-cluster";

/// \brief Response to a blocking call; status 0 if there was none.
struct Reply {
  int status = 0;
  std::string body;
  [[nodiscard]] Json json() const;
};

/// \brief Sends one HTTP request and waits for its response.
[[nodiscard]] Reply Http(const std::string& method,
                         const std::string& url,
                         const std::map<std::string, std::string>& headers = {},
                         const std::string& body = "",
                         Millis timeout = Millis(3'000));

/// \brief Polls `holds` until it returns true or `limit` has passed.
/// \returns whether it became true.
[[nodiscard]] bool Eventually(Millis limit, const std::function<bool()>& holds);

[[nodiscard]] TimePoint MonotonicNow();

/// \brief The processes of a test fleet and their settings.
struct FleetShape {
  int zones = 1;
  int entries = 2;  ///< in each zone
  int hosts = 8;    ///< in each zone, four to a rack
  int spares = 0;   ///< in each zone, in pool "spare", in a separate rack
  int min_available = 0;
  int limit = 500;  ///< of team t1; the limit of t2 is always 500
  int reboot_ms = 300;
  int snapshot_entries = 8192;   ///< log entries between snapshots
  int stop_timeout_ms = 60'000;  ///< of an entry host's planned stop
  int drain_move_after_ms = 30'000;
  bool worker_checkpoints = true;
  bool worker_process_per_rack = false;
  std::vector<std::string> control_arguments;  ///< extra ones of control hosts
  /// Relays from each zone to each control host ("z1-c1"), and from each
  /// control host to each other one ("raft-c1-c2").
  bool control_relays = false;
  bool worker_relays = false;  ///< from workers to each entry host
  bool peer_relays = false;    ///< from all processes to each entry host
};

/// \brief A fleet of the real binaries on loopback, in a temporary directory.
/// Control hosts are c1..c3, entry hosts e11, e12, e21 (zone, number), worker
/// processes w1 (zone) or w1r1 (zone, rack) and s1 (spare hosts of a zone),
/// hosts z1-r1-h1 and z1-spare-h1. Pool "main" has all hosts but the spare
/// ones; the queues are "open" (team t1, open), "q1" (t1) and "q2" (t2).
class ProcessFleet {
 public:
  explicit ProcessFleet(FleetShape shape);
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;
  /// Kills the children and removes the directory, unless PROCESS_FLEET_KEEP is
  /// set in the environment.
  ~ProcessFleet();

  /// \brief Starts one more worker, which reports to `entry` only.
  void AddWorker(const std::string& name,
                 const std::string& host,
                 const std::string& entry);
  /// \brief Starts a child with its configured arguments.
  void Start(const std::string& name);
  void Signal(const std::string& name, int signal_number);
  /// \brief Sends SIGKILL and waits for the exit.
  void Kill(const std::string& name);
  /// \returns the exit code, -signal, or -1000 if it still runs.
  [[nodiscard]] int WaitExit(const std::string& name, Millis limit);
  [[nodiscard]] bool Runs(const std::string& name);
  [[nodiscard]] pid_t pid(const std::string& name) const;

  [[nodiscard]] const std::string& address(const std::string& name) const;
  /// \returns the address of an entry host for other boragewinch processes.
  [[nodiscard]] const std::string& peer_address(const std::string& name) const;
  [[nodiscard]] std::string data(const std::string& control) const;
  /// \returns the log of a child.
  [[nodiscard]] std::string LogOf(const std::string& name) const;
  [[nodiscard]] const std::string& directory() const noexcept {
    return directory_;
  }
  /// \returns the addresses of all entry hosts.
  [[nodiscard]] std::vector<std::string> entries() const;
  [[nodiscard]] const std::vector<std::string>& entry_names() const {
    return entry_names_;
  }
  [[nodiscard]] FaultRelay& relay(const std::string& name);
  /// \returns the bytes forwarded by the relays whose names begin with
  /// `prefix`.
  [[nodiscard]] std::uint64_t RelayBytes(const std::string& prefix) const;

  [[nodiscard]] Reply Operator(const std::string& name,
                               const std::string& method,
                               const std::string& path,
                               const Json& body = Json());
  /// \brief Like Operator, at any control host that serves the call.
  [[nodiscard]] Reply Control(const std::string& method,
                              const std::string& path,
                              const Json& body = Json());
  [[nodiscard]] Json Status(const std::string& name);
  [[nodiscard]] std::string Leader();
  [[nodiscard]] std::int64_t Version();
  [[nodiscard]] static Json Operation(const std::string& id,
                                      std::int64_t version,
                                      const Json& command);
  [[nodiscard]] std::string SheetText(int limit) const;
  [[nodiscard]] Reply ApplySheet(int limit, bool allow_lowering);
  /// \brief Creates a key of `team` and waits until it is in force at every
  /// running entry host.
  /// \returns the key.
  [[nodiscard]] std::string CreateKey(const std::string& id,
                                      const std::string& team);
  [[nodiscard]] bool InForce(std::int64_t version, Millis limit);

  [[nodiscard]] static Json Spec(const std::string& queue,
                                 int run_ms,
                                 bool repeatable);
  [[nodiscard]] std::string Ticket(const std::string& entry);
  [[nodiscard]] Reply Put(const std::string& entry,
                          const std::string& ticket,
                          const Json& spec,
                          const std::string& key = "");
  [[nodiscard]] Reply Job(const std::string& entry,
                          const std::string& ticket,
                          const std::string& key = "");
  /// \brief Submits a job to `queue` at `entry` and waits until it ends.
  /// \returns the reason of a refusal, otherwise the outcome.
  [[nodiscard]] std::string RunJob(const std::string& entry,
                                   const std::string& queue = "open",
                                   const std::string& key = "");
  [[nodiscard]] LoadConfig Load(std::int64_t jobs) const;

  /// \returns the number of executions by request id, from the workers' log.
  [[nodiscard]] std::map<std::string, int> Executions() const;
  /// \returns the number of executions on `host`.
  [[nodiscard]] int ExecutionsOn(const std::string& host) const;
  /// \returns the number of tasks that have started and not ended on `host`.
  [[nodiscard]] int RunningOn(const std::string& host) const;
  /// \returns the peak number of concurrent tasks of `team`.
  [[nodiscard]] int PeakRunning(const std::string& team) const;
  /// \returns the violated invariants of all running processes, as text; empty
  /// if there are none.
  [[nodiscard]] std::string Violations();

  const std::string key1;  ///< of team t1
  const std::string key2;  ///< of team t2

 private:
  struct Child {
    std::vector<std::string> arguments;
    std::string address;
    std::string peer_address;
    ChildProcess process;
  };

  void Define(const std::string& name, std::vector<std::string> arguments);
  void DefineControl();
  void DefineZone(int zone, const std::string& control);
  void DefineWorkers(int zone, const std::string& entries);
  void WaitUntilReady();

  FleetShape shape_;
  std::string directory_;
  std::map<std::string, Child> children_;
  std::vector<std::string> start_order_;
  std::vector<std::string> entry_names_;
  std::map<std::string, std::unique_ptr<FaultRelay>> relays_;
};

/// \brief A load generator that runs on its own thread.
class BackgroundLoad {
 public:
  explicit BackgroundLoad(LoadConfig config);
  ~BackgroundLoad();
  /// \brief Waits until the load generator has finished.
  /// \returns the report.
  [[nodiscard]] const LoadReport& Wait();

 private:
  LoadConfig config_;
  LoadReport report_;
  std::thread thread_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_TESTS_PROCESS_FLEET_H_
