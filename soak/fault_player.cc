#include "fault_player.h"

#include <csignal>
#include <filesystem>
#include <utility>

namespace boragewinch::platform {

namespace {

constexpr Millis kCheckInterval{50};
constexpr Millis kRelayDelay{250};
/// Time between SIGTERM and SIGKILL, as on the platform.
constexpr Millis kGrace{6'000};

}  // namespace

FaultPlayer::FaultPlayer(PlatformCluster& cluster,
                         std::vector<Fault> faults,
                         std::function<void(const std::string&)> log)
    : cluster_(cluster), faults_(std::move(faults)), log_(std::move(log)) {
  for (const auto* names : {&cluster_.schedulers(), &cluster_.gateways()}) {
    for (const std::string& name : *names)
      wanted_[name] = Wanted::kRuns;
  }
}

void FaultPlayer::Later(Millis delay, std::function<void()> action) {
  timers_.push_back(cluster_.loop().After(
      delay, [action = std::move(action)](TimePoint) { action(); }));
}

void FaultPlayer::Begin() {
  check_ = cluster_.loop().Every(kCheckInterval,
                                 [this](TimePoint) { CheckPrograms(); });
  for (const Fault& fault : faults_)
    Later(fault.at, [this, fault] { Play(fault); });
}

void FaultPlayer::CheckPrograms() {
  for (auto& [name, wanted] : wanted_) {
    ChildProcess& process = cluster_.process(name);
    if (wanted == Wanted::kIsDown || process.Runs())
      continue;
    if (wanted != Wanted::kStops || process.exit_code() != 0) {
      own_ends_.push_back(name + " exited unexpectedly with " +
                          std::to_string(process.exit_code()));
    }
    wanted = Wanted::kIsDown;
    Later(stopped_for_[name], [this, name = name] { StartAgain(name); });
  }
}

void FaultPlayer::StartAgain(const std::string& name) {
  if (wanted_.at(name) != Wanted::kIsDown || cluster_.process(name).Runs())
    return;
  wanted_.at(name) = Wanted::kRuns;
  cluster_.Start(name);
}

void FaultPlayer::KillFor(const std::string& name, Millis length) {
  if (wanted_.at(name) == Wanted::kIsDown)
    return;
  wanted_.at(name) = Wanted::kIsDown;
  cluster_.process(name).Kill();
  Later(length, [this, name] { StartAgain(name); });
}

void FaultPlayer::PlayOnProgram(const Fault& fault, const std::string& name) {
  Wanted& wanted = wanted_.at(name);
  ChildProcess& process = cluster_.process(name);
  if (fault.kind == FaultKind::kKill) {
    KillFor(name, fault.length);
    return;
  }
  if (fault.kind == FaultKind::kLoseDisk) {
    KillFor(name, fault.length);
    for (const auto& entry :
         std::filesystem::directory_iterator(cluster_.data(name))) {
      std::filesystem::remove_all(entry.path());
    }
    return;
  }
  if (wanted != Wanted::kRuns)
    return;
  switch (fault.kind) {
    case FaultKind::kStop:
      wanted = Wanted::kStops;
      stopped_for_[name] = fault.length;
      process.Signal(SIGTERM);
      Later(kGrace, [this, name, pid = process.pid()] {
        if (cluster_.process(name).pid() == pid &&
            wanted_.at(name) == Wanted::kStops &&
            cluster_.process(name).Runs()) {
          log_("note: " + name +
               " is killed, it did not exit in time after SIGTERM");
          KillFor(name, stopped_for_[name]);
        }
      });
      break;
    case FaultKind::kFreeze:
      wanted = Wanted::kFrozen;
      process.Signal(SIGSTOP);
      Later(fault.length, [this, name, pid = process.pid()] {
        if (cluster_.process(name).pid() != pid)
          return;
        cluster_.process(name).Signal(SIGCONT);
        if (wanted_.at(name) == Wanted::kFrozen)
          wanted_.at(name) = Wanted::kRuns;
      });
      break;
    default:
      process.Signal(SIGHUP);
  }
}

void FaultPlayer::PlayOnRelay(const Fault& fault) {
  CutRelay& relay = cluster_.relay(fault.target);
  RelayMode mode = RelayMode::kForward;
  switch (fault.kind) {
    case FaultKind::kSilence:
      relay.SilencePresent();
      return;
    case FaultKind::kReset:
      relay.ResetPresent();
      return;
    case FaultKind::kDelay:
      relay.SetDelay(kRelayDelay);
      Later(fault.length, [&relay] { relay.SetDelay(Millis(0)); });
      return;
    case FaultKind::kCut:
      mode = RelayMode::kCut;
      break;
    case FaultKind::kStall:
      mode = RelayMode::kStall;
      break;
    case FaultKind::kSwallowCalls:
      mode = RelayMode::kSwallowCalls;
      break;
    default:
      mode = RelayMode::kSwallowAnswers;
  }
  relay.SetMode(mode);
  // If a later fault of the same relay ends first, the relay forwards again.
  Later(fault.length, [&relay] { relay.SetMode(RelayMode::kForward); });
}

void FaultPlayer::PlayOnWorker(const Fault& fault) {
  FakeHosts& hosts = cluster_.hosts();
  FakeBackend* worker = hosts.WorkerOn(fault.target);
  if (worker == nullptr)
    return;
  const std::string incarnation = worker->incarnation();
  // The fault is undone only on the incarnation that it was injected into.
  const auto at_end = [this, &fault,
                       incarnation](std::function<void(FakeBackend*)> end) {
    Later(fault.length,
          [this, host = fault.target, incarnation, end = std::move(end)] {
            FakeBackend* present = cluster_.hosts().WorkerOn(host);
            if (present != nullptr && present->incarnation() == incarnation)
              end(present);
          });
  };
  switch (fault.kind) {
    case FaultKind::kWorkerCrash:
      hosts.Crash(fault.target, fault.length);
      break;
    case FaultKind::kWorkerSilent:
    case FaultKind::kWorkerLate:
      worker->SetResponseMode(fault.kind == FaultKind::kWorkerLate
                                  ? ResponseMode::kDelayed
                                  : ResponseMode::kUnresponsive);
      at_end([](FakeBackend* present) {
        present->SetResponseMode(ResponseMode::kNormal);
      });
      break;
    case FaultKind::kWorkerFails:
      worker->SetFailsAll(true);
      at_end([](FakeBackend* present) { present->SetFailsAll(false); });
      break;
    case FaultKind::kWorkerRefuses:
      worker->SetRefuses(true);
      at_end([](FakeBackend* present) { present->SetRefuses(false); });
      break;
    default:
      hosts.Drain(fault.target);
  }
}

void FaultPlayer::Play(const Fault& fault) {
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
        PlayOnProgram(fault, name);
      return;
    }
    case FaultKind::kKillAll:
      for (const std::string& name : cluster_.schedulers())
        KillFor(name, fault.length);
      return;
    case FaultKind::kHostsAway:
      cluster_.hosts().SetUnavailable(true);
      Later(fault.length, [this] { cluster_.hosts().SetUnavailable(false); });
      return;
    case FaultKind::kConfig:
      cluster_.ChangeConfig();
      return;
    case FaultKind::kDelay:
    case FaultKind::kCut:
    case FaultKind::kStall:
    case FaultKind::kSwallowCalls:
    case FaultKind::kSwallowAnswers:
    case FaultKind::kSilence:
    case FaultKind::kReset:
      PlayOnRelay(fault);
      return;
    default:
      PlayOnWorker(fault);
  }
}

void FaultPlayer::Heal() {
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
      worker->SetRefuses(false);
    }
  }
  for (auto& [name, wanted] : wanted_) {
    stopped_for_[name] = Millis(0);
    cluster_.process(name).Signal(SIGCONT);
    if (wanted == Wanted::kFrozen)
      wanted = Wanted::kRuns;
    StartAgain(name);
  }
}

}  // namespace boragewinch::platform
