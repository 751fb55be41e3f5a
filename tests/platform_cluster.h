#ifndef BORAGEWINCH_TESTS_PLATFORM_CLUSTER_H_
#define BORAGEWINCH_TESTS_PLATFORM_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "child_process.h"
#include "fault_relay.h"
#include "net/rpc_client.h"
#include "platform/fakes/fake_callers.h"
#include "platform/fakes/fake_hosts.h"
#include "platform/fakes/guarantee_checker.h"

namespace boragewinch::platform {

struct ClusterOptions {
  int schedulers = 3;
  int gateways = 2;
  /// Hosts of the pools "main", "batch" and the standby pool "spare".
  std::map<std::string, int> pools{{"main", 5}, {"batch", 4}, {"spare", 3}};
  FakeCallersConfig callers;
  std::uint64_t seed = 1;
  bool speculation = false;  ///< `--speculation` of the schedulers
  /// Programs of schedulers, by name, in place of the boraged-scheduler that
  /// was built.
  std::map<std::string, std::string> scheduler_programs;
  /// For logs and data; empty: a temporary one, which is removed unless the
  /// environment variable PROCESS_FLEET_KEEP is set.
  std::string directory;
};

/// \brief Schedulers and gateways as processes on loopback, with fake workers,
/// hosts, callers and a fake operator in this process. Schedulers are s1, s2
/// and so on, gateways g1, g2 and so on. Calls to a scheduler pass through the
/// relay "s1", or "s1-control" for workers and operators; callers reach a
/// gateway through the relay "g1". Only the polls behind Leader() bypass them.
class PlatformCluster {
 public:
  explicit PlatformCluster(ClusterOptions options);
  PlatformCluster(const PlatformCluster&) = delete;
  PlatformCluster& operator=(const PlatformCluster&) = delete;
  ~PlatformCluster();

  /// \brief Starts all programs, then waits until the first configuration is
  /// acknowledged and a leader is known.
  [[nodiscard]] bool Begin(Millis limit);
  /// \brief Runs the event loop until `holds` returns true or `limit` is over.
  /// \returns whether `holds` returned true.
  [[nodiscard]] bool RunUntil(Millis limit, std::function<bool()> holds);
  void RunFor(Millis time);
  /// \brief Stops submissions, cancels long-running jobs, waits until accepted
  /// jobs, calls and configuration changes are complete, and checks the
  /// guarantees that hold at the end.
  /// \returns whether all were complete within `limit`.
  [[nodiscard]] bool Settle(Millis limit);

  /// \brief Starts a scheduler or gateway that is not running.
  void Start(const std::string& name);
  [[nodiscard]] ChildProcess& process(const std::string& name);
  [[nodiscard]] FaultRelay& relay(const std::string& name);
  [[nodiscard]] const std::vector<std::string>& schedulers() const {
    return schedulers_;
  }
  [[nodiscard]] const std::vector<std::string>& gateways() const {
    return gateways_;
  }
  [[nodiscard]] std::vector<std::string> relays() const;
  /// \returns the scheduler that reports itself as leader; empty if none does.
  [[nodiscard]] std::string Leader() const;
  /// \returns "IP:port" at which callers reach a gateway.
  [[nodiscard]] const std::string& address(const std::string& name) const;
  /// \brief Sends a new version of the configuration until it is acknowledged.
  /// \returns the version.
  std::int64_t ChangeConfig();
  /// \brief Sends the order to evacuate a zone, or to return it to use, until
  /// it is acknowledged. \param control the scheduler to send it to first;
  /// empty: any.
  void OrderZone(const std::string& zone,
                 bool evacuated,
                 const std::string& control = "");
  /// \returns whether every order for a zone has been acknowledged.
  [[nodiscard]] bool zone_orders_acknowledged() const {
    return zone_retries_.empty();
  }
  /// \brief Asks any scheduler for the evacuated zones.
  /// \param done gets their names, or an error without a 200.
  void ReadZones(
      const std::function<void(Result<std::set<std::string>>)>& done);

  [[nodiscard]] EventLoop& loop() { return loop_; }
  [[nodiscard]] GuaranteeChecker& checker() { return checker_; }
  [[nodiscard]] FakeHosts& hosts() { return *hosts_; }
  [[nodiscard]] FakeCallers& callers() { return *callers_; }
  [[nodiscard]] const std::string& directory() const { return directory_; }
  /// \returns the data directory of a scheduler.
  [[nodiscard]] std::string data_directory(const std::string& scheduler) const {
    return directory_ + "/data-" + scheduler;
  }

 private:
  struct Program {
    std::vector<std::string> arguments;
    /// Of a scheduler itself, not of its relay; empty for a gateway.
    std::string internal_address;
    std::string caller_address;
    bool started = false;
    bool leads = false;
    ChildProcess process;
  };

  void DefineSchedulers(const std::string& network);
  void DefineGateways(const std::string& network);
  [[nodiscard]] std::string Configuration(std::int64_t version) const;
  void SendZoneOrder(int order,
                     const std::string& zone,
                     bool evacuated,
                     const std::string& control);
  void SendConfig(std::int64_t version, const std::string& document);
  void ReadConfig();
  void PollLeaders();
  [[nodiscard]] std::string RandomControl();

  ClusterOptions options_;
  EventLoop loop_;
  HttpClient client_;
  RpcClient rpc_;
  GuaranteeChecker checker_;
  std::mt19937_64 random_;
  std::string directory_;
  bool keep_directory_ = true;
  std::map<std::string, Program> programs_;
  std::map<std::string, std::unique_ptr<FaultRelay>> relays_;
  std::vector<std::string> schedulers_;
  std::vector<std::string> gateways_;
  std::vector<std::string> controls_;
  std::string seeds_;
  std::unique_ptr<FakeHosts> hosts_;
  std::unique_ptr<FakeCallers> callers_;
  std::int64_t config_version_ = 0;
  std::int64_t last_read_version_ = 0;
  WatchHandle config_reader_;
  WatchHandle leader_poll_;
  std::map<std::int64_t, WatchHandle> config_retries_;
  int zone_orders_ = 0;
  std::map<int, WatchHandle> zone_retries_;  ///< by order
};

}  // namespace boragewinch::platform

#endif  // BORAGEWINCH_TESTS_PLATFORM_CLUSTER_H_
