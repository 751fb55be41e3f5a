#include "fault_injector.h"

#include <csignal>
#include <filesystem>
#include <utility>

namespace boragewinch::platform {

namespace {

constexpr Millis kCheckInterval{50};
constexpr Millis kRelayDelay{250};
/// Time between SIGTERM and SIGKILL, as on the platform.
constexpr Millis kStopGracePeriod{6'000};

}  // namespace

FaultInjector::FaultInjector(PlatformCluster& cluster,
                             std::vector<Fault> faults,
                             std::function<void(const std::string&)> log)
    : cluster_(cluster), faults_(std::move(faults)), log_(std::move(log)) {
  for (const auto* names : {&cluster_.schedulers(), &cluster_.gateways()}) {
    for (const std::string& name : *names)
      expected_[name] = ExpectedState::kRunning;
  }
}

void FaultInjector::Schedule(Millis delay, std::function<void()> action) {
  timers_.push_back(cluster_.loop().After(
      delay, [action = std::move(action)](TimePoint) { action(); }));
}

void FaultInjector::Begin() {
  check_ = cluster_.loop().Every(kCheckInterval,
                                 [this](TimePoint) { CheckPrograms(); });
  for (const Fault& fault : faults_)
    Schedule(fault.at, [this, fault] { Inject(fault); });
}

void FaultInjector::CheckPrograms() {
  for (auto& [name, expected] : expected_) {
    ChildProcess& process = cluster_.process(name);
    if (expected == ExpectedState::kDown || process.Runs())
      continue;
    if (expected != ExpectedState::kStopping || process.exit_code() != 0) {
      unexpected_exits_.push_back(name + " exited unexpectedly, exit code " +
                                  std::to_string(process.exit_code()));
    }
    expected = ExpectedState::kDown;
    Schedule(restart_delays_[name], [this, name = name] { Restart(name); });
  }
}

void FaultInjector::Restart(const std::string& name) {
  if (expected_.at(name) != ExpectedState::kDown ||
      cluster_.process(name).Runs())
    return;
  expected_.at(name) = ExpectedState::kRunning;
  cluster_.Start(name);
}

void FaultInjector::KillFor(const std::string& name, Millis duration) {
  if (expected_.at(name) == ExpectedState::kDown)
    return;
  expected_.at(name) = ExpectedState::kDown;
  cluster_.process(name).Kill();
  Schedule(duration, [this, name] { Restart(name); });
}

void FaultInjector::InjectIntoProgram(const Fault& fault,
                                      const std::string& name) {
  ExpectedState& expected = expected_.at(name);
  ChildProcess& process = cluster_.process(name);
  if (fault.kind == FaultKind::kKill) {
    KillFor(name, fault.duration);
    return;
  }
  if (fault.kind == FaultKind::kLoseDisk) {
    KillFor(name, fault.duration);
    for (const auto& entry :
         std::filesystem::directory_iterator(cluster_.data_directory(name))) {
      std::filesystem::remove_all(entry.path());
    }
    return;
  }
  if (expected != ExpectedState::kRunning)
    return;
  switch (fault.kind) {
    case FaultKind::kStop:
      expected = ExpectedState::kStopping;
      restart_delays_[name] = fault.duration;
      process.Signal(SIGTERM);
      Schedule(kStopGracePeriod, [this, name, pid = process.pid()] {
        if (cluster_.process(name).pid() == pid &&
            expected_.at(name) == ExpectedState::kStopping &&
            cluster_.process(name).Runs()) {
          log_("killing " + name +
               ", which did not exit in time after SIGTERM");
          KillFor(name, restart_delays_[name]);
        }
      });
      break;
    case FaultKind::kFreeze:
      expected = ExpectedState::kFrozen;
      process.Signal(SIGSTOP);
      Schedule(fault.duration, [this, name, pid = process.pid()] {
        if (cluster_.process(name).pid() != pid)
          return;
        cluster_.process(name).Signal(SIGCONT);
        if (expected_.at(name) == ExpectedState::kFrozen)
          expected_.at(name) = ExpectedState::kRunning;
      });
      break;
    default:
      process.Signal(SIGHUP);
  }
}

void FaultInjector::InjectIntoRelay(const Fault& fault) {
  FaultRelay& relay = cluster_.relay(fault.target);
  RelayMode mode = RelayMode::kForward;
  switch (fault.kind) {
    case FaultKind::kBlackhole:
      relay.BlackholeExisting();
      return;
    case FaultKind::kReset:
      relay.ResetExisting();
      return;
    case FaultKind::kDelay:
      relay.SetDelay(kRelayDelay);
      Schedule(fault.duration, [&relay] { relay.SetDelay(Millis(0)); });
      return;
    case FaultKind::kCut:
      mode = RelayMode::kCut;
      break;
    case FaultKind::kStall:
      mode = RelayMode::kStall;
      break;
    case FaultKind::kDropRequests:
      mode = RelayMode::kDropRequests;
      break;
    default:
      mode = RelayMode::kDropResponses;
  }
  relay.SetMode(mode);
  // If faults of a relay overlap, the first one to end restores forwarding.
  Schedule(fault.duration, [&relay] { relay.SetMode(RelayMode::kForward); });
}

void FaultInjector::InjectIntoWorker(const Fault& fault) {
  FakeHosts& hosts = cluster_.hosts();
  FakeBackend* worker = hosts.WorkerOn(fault.target);
  if (worker == nullptr)
    return;
  const std::string incarnation = worker->incarnation();
  // The fault is undone only on the incarnation that it was injected into.
  const auto at_end = [this, &fault,
                       incarnation](std::function<void(FakeBackend*)> end) {
    Schedule(fault.duration,
             [this, host = fault.target, incarnation, end = std::move(end)] {
               FakeBackend* current = cluster_.hosts().WorkerOn(host);
               if (current != nullptr && current->incarnation() == incarnation)
                 end(current);
             });
  };
  switch (fault.kind) {
    case FaultKind::kWorkerCrash:
      hosts.Crash(fault.target, fault.duration);
      break;
    case FaultKind::kWorkerUnresponsive:
    case FaultKind::kWorkerDelayed:
      worker->SetResponseMode(fault.kind == FaultKind::kWorkerDelayed
                                  ? ResponseMode::kDelayed
                                  : ResponseMode::kUnresponsive);
      at_end([](FakeBackend* current) {
        current->SetResponseMode(ResponseMode::kNormal);
      });
      break;
    case FaultKind::kWorkerFails:
      worker->SetFailsAll(true);
      at_end([](FakeBackend* current) { current->SetFailsAll(false); });
      break;
    case FaultKind::kWorkerRefuses:
      worker->SetRefusesStarts(true);
      at_end([](FakeBackend* current) { current->SetRefusesStarts(false); });
      break;
    default:
      hosts.Drain(fault.target);
  }
}

void FaultInjector::Inject(const Fault& fault) {
  log_(ToText(fault));
  switch (fault.kind) {
    case FaultKind::kKill:
    case FaultKind::kStop:
    case FaultKind::kFreeze:
    case FaultKind::kReload:
    case FaultKind::kLoseDisk: {
      std::string name = fault.target;
      if (name == "leader") {
        name = cluster_.Leader();
        log_("leader: " + name);
      }
      if (!name.empty())
        InjectIntoProgram(fault, name);
      return;
    }
    case FaultKind::kKillAll:
      for (const std::string& name : cluster_.schedulers())
        KillFor(name, fault.duration);
      return;
    case FaultKind::kHostApiUnavailable:
      cluster_.hosts().SetUnavailable(true);
      Schedule(fault.duration,
               [this] { cluster_.hosts().SetUnavailable(false); });
      return;
    case FaultKind::kConfig:
      cluster_.ChangeConfig();
      return;
    case FaultKind::kDelay:
    case FaultKind::kCut:
    case FaultKind::kStall:
    case FaultKind::kDropRequests:
    case FaultKind::kDropResponses:
    case FaultKind::kBlackhole:
    case FaultKind::kReset:
      InjectIntoRelay(fault);
      return;
    default:
      InjectIntoWorker(fault);
  }
}

void FaultInjector::Heal() {
  timers_.clear();
  for (const std::string& name : cluster_.relays()) {
    cluster_.relay(name).SetDelay(Millis(0));
    cluster_.relay(name).SetMode(RelayMode::kForward);
  }
  cluster_.hosts().SetUnavailable(false);
  for (const std::string& host : cluster_.hosts().names()) {
    if (FakeBackend* worker = cluster_.hosts().WorkerOn(host);
        worker != nullptr) {
      worker->SetResponseMode(ResponseMode::kNormal);
      worker->SetFailsAll(false);
      worker->SetRefusesStarts(false);
    }
  }
  for (auto& [name, expected] : expected_) {
    restart_delays_[name] = Millis(0);
    cluster_.process(name).Signal(SIGCONT);
    if (expected == ExpectedState::kFrozen)
      expected = ExpectedState::kRunning;
    Restart(name);
  }
}

}  // namespace boragewinch::platform
