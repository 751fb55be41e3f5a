#include "platform_cluster.h"

#include <curl/curl.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <utility>

#include "fixture_error.h"

namespace boragewinch::platform {

namespace {

constexpr char kSecret[] = "test-cluster";
constexpr char kVirtualHost[] = "jobs.example";
constexpr char kKey[] = "key-of-t1";
constexpr char kInternalPort[] = "7000";
constexpr char kControlPort[] = "8345";
constexpr char kCallerPort[] = "8340";
constexpr char kReadyPort[] = "8343";
constexpr int kMaxAttempts = 4;
constexpr Millis kConditionStep{20};
constexpr Millis kLeaderPoll{100};
constexpr Millis kConfigReadInterval{400};
constexpr Millis kConfigTimeout{1'000};
constexpr Millis kConfigRetryDelay{300};
/// The last octet of a process's address is this much above its relay's.
constexpr int kProcessOffset = 100;
constexpr int kFirstGateway = 20;

[[nodiscard]] std::string IpAddress(const std::string& network, int number) {
  return network + std::to_string(number);
}

}  // namespace

PlatformCluster::PlatformCluster(ClusterOptions options)
    : options_(std::move(options)),
      client_(loop_, HttpClientLimits{}),
      rpc_(client_, kSecret),
      checker_(kMaxAttempts),
      random_(options_.seed),
      directory_(options_.directory) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  signal(SIGPIPE, SIG_IGN);
  if (directory_.empty()) {
    directory_ = (std::filesystem::temp_directory_path() / "boragewinch-XXXXXX")
                     .string();
    if (mkdtemp(directory_.data()) == nullptr)
      throw FixtureError(ErrorCode::kStorageWrite,
                         "cannot create a temporary directory");
    keep_directory_ = std::getenv("PROCESS_FLEET_KEEP") != nullptr;
  }
  // The ports are fixed, so each cluster on this machine needs its own network.
  const std::string network = ClaimNetwork();
  for (int i = 1; i <= options_.schedulers; ++i) {
    const std::string name = "s" + std::to_string(i);
    const std::string ip = IpAddress(network, i);
    const std::string process_ip = IpAddress(network, i + kProcessOffset);
    relays_[name] = std::make_unique<FaultRelay>(
        process_ip + ":" + kInternalPort, ip + ":" + kInternalPort);
    relays_[name + "-control"] = std::make_unique<FaultRelay>(
        process_ip + ":" + kControlPort, ip + ":" + kControlPort);
    controls_.push_back(ip + ":" + kControlPort);
    seeds_ += (seeds_.empty() ? "" : ",") + controls_.back();
    schedulers_.push_back(name);
  }
  FakeHostsConfig hosts;
  hosts.pools = options_.pools;
  hosts.standby = "spare";
  hosts.controls = controls_;
  hosts_ =
      std::make_unique<FakeHosts>(loop_, client_, checker_, std::move(hosts));
  if (!hosts_->Start())
    throw FixtureError(ErrorCode::kUnavailable, "the fake hosts cannot listen");
  DefineSchedulers(network);
  DefineGateways(network);
  FakeCallersConfig callers = options_.callers;
  callers.virtual_host = kVirtualHost;
  callers.key = kKey;
  callers.seed = options_.seed;
  callers.prefixes = {"/main/", "/batch/"};
  for (const std::string& name : gateways_)
    callers.gateways.push_back(address(name));
  callers_ = std::make_unique<FakeCallers>(loop_, checker_, std::move(callers));
}

PlatformCluster::~PlatformCluster() {
  for (auto& [name, program] : programs_)
    program.process.Signal(SIGKILL);
  programs_.clear();
  if (!keep_directory_)
    std::filesystem::remove_all(directory_);
}

void PlatformCluster::DefineSchedulers(const std::string& network) {
  for (int i = 1; i <= options_.schedulers; ++i) {
    const std::string& name = schedulers_[static_cast<std::size_t>(i - 1)];
    const std::string process_ip = IpAddress(network, i + kProcessOffset);
    Program& program = programs_[name];
    program.internal_address = process_ip + ":" + kInternalPort;
    std::filesystem::create_directories(data_directory(name));
    const auto replaced = options_.scheduler_programs.find(name);
    program.arguments = {
        replaced == options_.scheduler_programs.end()
            ? std::string(BORAGEWINCH_BIN) + "/boraged-scheduler"
            : replaced->second,
        "--name=" + name,
        "--ip=" + IpAddress(network, i),
        "--internal-listen=" + program.internal_address,
        "--control=" + process_ip + ":" + kControlPort,
        "--data=" + data_directory(name),
        "--seeds=" + seeds_,
        std::string("--internal-port=") + kInternalPort,
        std::string("--cluster-secret=") + kSecret,
        "--host-platform=" + hosts_->address(),
        "--start-order=least-loss",
        "--admission=least-loss",
    };
    if (options_.speculation)
      program.arguments.emplace_back("--speculation=on");
  }
}

void PlatformCluster::DefineGateways(const std::string& network) {
  for (int i = 1; i <= options_.gateways; ++i) {
    const std::string name = "g" + std::to_string(i);
    const std::string ip = IpAddress(network, kFirstGateway + i);
    const std::string process_ip =
        IpAddress(network, kFirstGateway + i + kProcessOffset);
    Program& program = programs_[name];
    program.caller_address = ip + ":" + kCallerPort;
    relays_[name] = std::make_unique<FaultRelay>(process_ip + ":" + kCallerPort,
                                                 program.caller_address);
    program.arguments = {
        std::string(BORAGEWINCH_BIN) + "/boraged-gateway",
        "--name=" + name,
        "--callers=" + process_ip + ":" + kCallerPort,
        "--ready=" + process_ip + ":" + kReadyPort,
        "--seeds=" + seeds_,
        std::string("--internal-port=") + kInternalPort,
        std::string("--cluster-secret=") + kSecret,
        "--reads=followers",
    };
    gateways_.push_back(name);
  }
}

void PlatformCluster::Start(const std::string& name) {
  Program& program = programs_.at(name);
  std::vector<std::string> arguments = program.arguments;
  if (!program.internal_address.empty()) {
    arguments.push_back(std::string("--first-start=") +
                        (program.started ? "false" : "true"));
  }
  program.started = true;
  program.process.Start(std::move(arguments), directory_ + "/" + name + ".log");
}

ChildProcess& PlatformCluster::process(const std::string& name) {
  return programs_.at(name).process;
}

FaultRelay& PlatformCluster::relay(const std::string& name) {
  return *relays_.at(name);
}

std::vector<std::string> PlatformCluster::relays() const {
  std::vector<std::string> names;
  for (const auto& [name, relay] : relays_)
    names.push_back(name);
  return names;
}

const std::string& PlatformCluster::address(const std::string& name) const {
  return programs_.at(name).caller_address;
}

std::string PlatformCluster::Leader() const {
  for (const std::string& name : schedulers_) {
    if (programs_.at(name).leads)
      return name;
  }
  return "";
}

void PlatformCluster::PollLeaders() {
  for (const std::string& name : schedulers_) {
    Program& program = programs_.at(name);
    rpc_.Call(program.internal_address, "relay.view", Json(::Json::objectValue),
              Millis(500), [&program](const Result<Json>& response) {
                program.leads = response && response.value().isObject() &&
                                response.value()["leads"].isBool() &&
                                response.value()["leads"].asBool();
              });
  }
}

bool PlatformCluster::RunUntil(Millis limit, std::function<bool()> holds) {
  const TimePoint deadline = loop_.now() + limit;
  bool held = false;
  const WatchHandle step = loop_.Every(kConditionStep, [&](TimePoint now) {
    held = holds();
    if (held || now >= deadline)
      loop_.Stop();
  });
  loop_.Run();
  return held;
}

void PlatformCluster::RunFor(Millis time) {
  (void)RunUntil(time, [] { return false; });
}

bool PlatformCluster::Begin(Millis limit) {
  for (auto& [name, program] : programs_)
    Start(name);
  leader_poll_ = loop_.Every(kLeaderPoll, [this](TimePoint) { PollLeaders(); });
  config_reader_ =
      loop_.Every(kConfigReadInterval, [this](TimePoint) { ReadConfig(); });
  ChangeConfig();
  return RunUntil(limit, [this] {
    return checker_.newest_acknowledged_config() > 0 && !Leader().empty();
  });
}

bool PlatformCluster::Settle(Millis limit) {
  callers_->StopSubmitting();
  callers_->CancelLongRunning();
  const bool settled = RunUntil(limit, [this] {
    return callers_->open() == 0 && checker_.Unfinished().empty() &&
           config_retries_.empty() &&
           checker_.newest_acknowledged_config() == last_read_version_;
  });
  checker_.CheckEnd(loop_.now());
  return settled;
}

std::string PlatformCluster::RandomControl() {
  return controls_[random_() % controls_.size()];
}

std::string PlatformCluster::Configuration(std::int64_t version) const {
  Json body;
  body["version"] = ::Json::Int64(version);
  const std::string extra = "extra" + std::to_string(version);
  for (const std::string& name :
       {std::string("main"), std::string("batch"), extra}) {
    Json route;
    // Each version gives the routes other names; callers know their prefixes.
    route["name"] = "r-" + name + "-" + std::to_string(version);
    route["host"] = kVirtualHost;
    route["pathPrefix"] = "/" + name + "/";
    route["kind"] = "non_idempotent";
    route["timeoutMs"] = 3'000;
    route["targetLatencyMs"] = 600;
    route["priority"] = 0;
    route["service"] = name == extra ? "main" : name;
    route["maxAttempts"] = kMaxAttempts;
    route["stretch"] = 2.0;
    route["public"] = false;
    body["routes"].append(std::move(route));
  }
  for (const auto& [name, hosts] : options_.pools) {
    Json service;
    service["name"] = name;
    service["enforcesCapacity"] = true;
    service["standby"] = name == "spare";
    body["services"].append(std::move(service));
  }
  Json tenant;
  tenant["name"] = "t1";
  tenant["apiKeys"].append(kKey);
  tenant["weight"] = 10;
  body["tenants"].append(std::move(tenant));
  return WriteJson(body);
}

std::int64_t PlatformCluster::ChangeConfig() {
  config_version_ += 1 + static_cast<std::int64_t>(random_() % 3);
  SendConfig(config_version_, Configuration(config_version_));
  return config_version_;
}

void PlatformCluster::SendConfig(std::int64_t version,
                                 const std::string& document) {
  HttpCall call;
  call.method = "PUT";
  call.url = "http://" + RandomControl() + "/-/config";
  call.body = document;
  call.timeout = kConfigTimeout;
  config_retries_[version] = nullptr;
  client_.Send(std::move(call),
               [this, version, document](const Result<HttpResponse>& result) {
                 if (result && result.value().status == 200) {
                   checker_.OnConfigAcknowledged(version);
                   config_retries_.erase(version);
                   return;
                 }
                 config_retries_[version] = loop_.After(
                     kConfigRetryDelay, [this, version, document](TimePoint) {
                       SendConfig(version, document);
                     });
               });
}

void PlatformCluster::OrderZone(const std::string& zone,
                                bool evacuated,
                                const std::string& control) {
  if (!evacuated)
    checker_.OnWithdrawalSent(zone);
  SendZoneOrder(++zone_orders_, zone, evacuated,
                control.empty() ? RandomControl()
                                : relay(control + "-control").address());
}

void PlatformCluster::SendZoneOrder(int order,
                                    const std::string& zone,
                                    bool evacuated,
                                    const std::string& control) {
  HttpCall call;
  call.method = evacuated ? "POST" : "DELETE";
  call.url = "http://" + control + "/-/evacuations/" + zone;
  call.timeout = kConfigTimeout;
  zone_retries_[order] = nullptr;
  client_.Send(std::move(call), [this, order, zone, evacuated](
                                    const Result<HttpResponse>& result) {
    const int status = result ? result.value().status : 0;
    if (status >= 200 && status < 300) {
      if (evacuated)
        checker_.OnEvacuated(zone, loop_.now());
      zone_retries_.erase(order);
      return;
    }
    if (status >= 400 && status < 500)
      checker_.OnEvacuationRefused(zone, status, loop_.now());
    zone_retries_[order] = loop_.After(kConfigRetryDelay, [=, this](TimePoint) {
      SendZoneOrder(order, zone, evacuated, RandomControl());
    });
  });
}

void PlatformCluster::ReadZones(
    const std::function<void(Result<std::set<std::string>>)>& done) {
  HttpCall call;
  call.url = "http://" + RandomControl() + "/-/evacuations";
  call.timeout = kConfigTimeout;
  client_.Send(std::move(call), [done](const Result<HttpResponse>& result) {
    if (!result || result.value().status != 200) {
      done(Fail(ErrorCode::kUnavailable, "no list of evacuated zones"));
      return;
    }
    std::set<std::string> zones;
    const Result<Json> json = ParseJson(result.value().body);
    if (json) {
      for (const Json& row : json.value()["zones"])
        zones.insert(row["zone"].asString());
    }
    done(std::move(zones));
  });
}

void PlatformCluster::ReadConfig() {
  HttpCall call;
  call.url = "http://" + RandomControl() + "/-/config";
  call.timeout = kConfigTimeout;
  const std::int64_t floor = checker_.config_floor();
  client_.Send(std::move(call),
               [this, floor](const Result<HttpResponse>& result) {
                 if (!result || result.value().status != 200)
                   return;
                 const Result<Json> json = ParseJson(result.value().body);
                 if (!json || !json.value()["version"].isInt64())
                   return;
                 last_read_version_ = json.value()["version"].asInt64();
                 checker_.OnConfigRead(last_read_version_, floor, loop_.now());
               });
}

}  // namespace boragewinch::platform
