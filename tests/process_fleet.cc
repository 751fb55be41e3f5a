#include "process_fleet.h"

#include <curl/curl.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>

#include "fixture_error.h"

namespace boragewinch {

namespace {

constexpr char kZoneDigits[] = "0123456789";

[[nodiscard]] std::string Joined(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts)
    text += (text.empty() ? "" : ",") + part;
  return text;
}

}  // namespace

ProcessFleet::ProcessFleet(FleetShape shape)
    : key1("k1.secret-of-t1"), key2("k2.secret-of-t2"), shape_(shape) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  signal(SIGPIPE, SIG_IGN);
  std::string name =
      (std::filesystem::temp_directory_path() / "boragewinch-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr)
    throw FixtureError(ErrorCode::kStorageWrite,
                       "can't create a temporary directory");
  directory_ = name;
  Define("platform",
         {"fake-platform", "--reboot-ms=" + std::to_string(shape_.reboot_ms)});
  DefineControl();
  for (int zone = 1; zone <= shape_.zones; ++zone) {
    std::vector<std::string> control;
    for (const char* host : {"c1", "c2", "c3"}) {
      std::string target = children_.at(host).address;
      if (shape_.control_relays) {
        auto& relay = relays_["z" + std::to_string(zone) + "-" + host];
        relay = std::make_unique<FaultRelay>(target);
        target = relay->address();
      }
      control.push_back(target);
    }
    DefineZone(zone, Joined(control));
  }
  for (const std::string& child : start_order_)
    Start(child);
  WaitUntilReady();
}

ProcessFleet::~ProcessFleet() {
  for (auto& [name, child] : children_)
    child.process.Signal(SIGKILL);
  children_.clear();
  if (std::getenv("PROCESS_FLEET_KEEP") == nullptr)
    std::filesystem::remove_all(directory_);
}

void ProcessFleet::Define(const std::string& name,
                          std::vector<std::string> arguments) {
  Child& child = children_[name];
  child.arguments = std::move(arguments);
  const std::string program = child.arguments.front();
  if (program != "fake-worker") {
    child.address = FreeAddress();
    child.arguments.push_back("--listen=" + child.address);
  }
  if (program.starts_with("boraged"))
    child.arguments.push_back("--name=" + name);
  start_order_.push_back(name);
}

void ProcessFleet::DefineControl() {
  for (const char* name : {"c1", "c2", "c3"}) {
    std::filesystem::create_directory(data(name));
    Define(name,
           {"boraged-control", "--data=" + data(name),
            "--platform=" + children_.at("platform").address,
            "--snapshot-entries=" + std::to_string(shape_.snapshot_entries)});
    std::vector<std::string>& arguments = children_.at(name).arguments;
    arguments.insert(arguments.end(), shape_.control_arguments.begin(),
                     shape_.control_arguments.end());
  }
  for (const std::string from : {"c1", "c2", "c3"}) {
    std::vector<std::string> peers;
    for (const std::string to : {"c1", "c2", "c3"}) {
      std::string target = children_.at(to).address;
      if (shape_.control_relays && from != to) {
        auto& relay = relays_["raft-" + from + "-" + to];
        relay = std::make_unique<FaultRelay>(target);
        target = relay->address();
      }
      peers.push_back(to + "=" + target);
    }
    children_.at(from).arguments.push_back("--peers=" + Joined(peers));
  }
}

void ProcessFleet::DefineZone(int zone, const std::string& control) {
  const std::string number(1, kZoneDigits[zone]);
  std::vector<std::string> for_workers;
  for (int i = 1; i <= shape_.entries; ++i) {
    const std::string name = "e" + number + std::to_string(i);
    const std::string peer = FreeAddress();
    Define(name, {"boraged-entry", "--zone=z" + number, "--control=" + control,
                  "--peer-listen=" + peer,
                  "--stop-timeout-ms=" + std::to_string(shape_.stop_timeout_ms),
                  "--drain-move-after-ms=" +
                      std::to_string(shape_.drain_move_after_ms)});
    Child& child = children_.at(name);
    child.peer_address = peer;
    if (shape_.peer_relays) {
      auto& relay = relays_["peer-" + name];
      relay = std::make_unique<FaultRelay>(peer);
      child.arguments.push_back("--peer-advertise=" + relay->address());
    }
    for_workers.push_back(child.address);
    if (shape_.worker_relays) {
      auto& relay = relays_["workers-" + name];
      relay = std::make_unique<FaultRelay>(child.address);
      for_workers.back() = relay->address();
    }
    entry_names_.push_back(name);
  }
  DefineWorkers(zone, Joined(for_workers));
}

void ProcessFleet::DefineWorkers(int zone, const std::string& entries) {
  const std::string number(1, kZoneDigits[zone]);
  std::map<std::string, std::vector<std::string>> processes;
  for (int i = 0; i < shape_.hosts; ++i) {
    const std::string rack = "r" + std::to_string(i / 4 + 1);
    processes["w" + number + (shape_.worker_process_per_rack ? rack : "")]
        .push_back("z" + number + "-" + rack + "-h" +
                   std::to_string(i % 4 + 1));
  }
  for (int i = 1; i <= shape_.spares; ++i) {
    processes["s" + number].push_back("z" + number + "-spare-h" +
                                      std::to_string(i));
  }
  for (const auto& [name, hosts] : processes) {
    Define(name, {"fake-worker", "--zone=z" + number, "--entries=" + entries,
                  "--hosts=" + Joined(hosts),
                  "--platform=" + children_.at("platform").address,
                  "--task-log=" + directory_ + "/tasks.log"});
    if (!shape_.worker_checkpoints)
      children_.at(name).arguments.push_back("--no-checkpoint");
  }
}

void ProcessFleet::AddWorker(const std::string& name,
                             const std::string& host,
                             const std::string& entry) {
  Define(name,
         {"fake-worker", "--zone=z1", "--entries=" + entry, "--hosts=" + host});
  Start(name);
}

void ProcessFleet::Start(const std::string& name) {
  Child& child = children_.at(name);
  std::vector<std::string> arguments = child.arguments;
  arguments.front() = std::string(BORAGEWINCH_BIN) + "/" + arguments.front();
  setenv("BORAGEWINCH_CLUSTER_SECRET", kTestClusterSecret, 1);
  setenv("BORAGEWINCH_OPERATOR_SECRET", kTestOperatorSecret, 1);
  child.process.Start(arguments, directory_ + "/" + name + ".log");
}

void ProcessFleet::Signal(const std::string& name, int signal_number) {
  children_.at(name).process.Signal(signal_number);
}

void ProcessFleet::Kill(const std::string& name) {
  children_.at(name).process.Kill();
}

int ProcessFleet::WaitExit(const std::string& name, Millis limit) {
  ChildProcess& child = children_.at(name).process;
  (void)Eventually(limit, [&] { return !child.Runs(); });
  return child.exit_code();
}

bool ProcessFleet::Runs(const std::string& name) {
  return children_.at(name).process.Runs();
}

pid_t ProcessFleet::pid(const std::string& name) const {
  return children_.at(name).process.pid();
}

const std::string& ProcessFleet::address(const std::string& name) const {
  return children_.at(name).address;
}

const std::string& ProcessFleet::peer_address(const std::string& name) const {
  return children_.at(name).peer_address;
}

std::string ProcessFleet::data(const std::string& control) const {
  return directory_ + "/" + control;
}

std::vector<std::string> ProcessFleet::entries() const {
  std::vector<std::string> all;
  for (const std::string& name : entry_names_)
    all.push_back(address(name));
  return all;
}

FaultRelay& ProcessFleet::relay(const std::string& name) {
  return *relays_.at(name);
}

std::uint64_t ProcessFleet::RelayBytes(const std::string& prefix) const {
  std::uint64_t sum = 0;
  for (const auto& [name, relay] : relays_)
    sum += name.starts_with(prefix) ? relay->bytes() : 0;
  return sum;
}

}  // namespace boragewinch
