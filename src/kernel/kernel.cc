#include "kernel/kernel.h"

#include <csignal>
#include <set>

#include "base/build_info.h"
#include "base/event_log.h"
#include "base/invariant.h"

namespace boragewinch {

namespace {

/// Maximum time for which a log line is buffered. A process that is killed
/// loses its buffered lines; warnings and errors are not buffered.
constexpr Millis kMaxLogDelay{20};

/// \param how SIG_BLOCK or SIG_UNBLOCK.
void MaskSignals(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal_number : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&signals, signal_number);
  pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

void HoldSignals() {
  MaskSignals(SIG_BLOCK);
}

Kernel::Kernel() = default;

Kernel::~Kernel() {
  while (!services_.empty())
    services_.pop_back();
}

void Kernel::Add(std::string name, std::unique_ptr<Service> service) {
  services_.emplace_back(std::move(name), std::move(service));
}

Service* Kernel::FindService(std::string_view name) const {
  for (const auto& [known, service] : services_) {
    if (known == name)
      return service.get();
  }
  return nullptr;
}

Status Kernel::Run() {
  // Writing to a socket closed by the peer must not terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  std::set<std::string_view> names;
  for (const auto& [name, service] : services_) {
    if (!names.insert(name).second) {
      return Fail(ErrorCode::kDuplicateName,
                  "two services have the name \"" + name + "\"");
    }
  }
  // Installed before the services start, which takes about 100 ms: the default
  // action would terminate the process. The loop handles the signals later.
  const WatchHandle terminate =
      loop_.OnSignal(SIGTERM, [this] { RequestStop(); });
  const WatchHandle interrupt =
      loop_.OnSignal(SIGINT, [this] { RequestStop(); });
  const WatchHandle reload =
      loop_.OnSignal(SIGHUP, [] { LogEvent(EventId::kReloadRequested, {}); });
  MaskSignals(SIG_UNBLOCK);
  for (const auto& [name, service] : services_) {
    BW_CHECK(service->Start(*this));
    ++running_;
  }
  const BuildInfo& build = build_info();
  LogEvent(EventId::kProcessStarted, {{"version", build.version},
                                      {"revision", build.revision},
                                      {"commit", build.commit}});
  WatchHandle log_flush;
  BufferEventLog([this, &log_flush] {
    log_flush = loop_.After(kMaxLogDelay, [](TimePoint) { FlushEventLog(); });
  });
  loop_.Run();
  BufferEventLog(nullptr);
  unsigned long violations = 0;
  for (const auto& [invariant, name] : kInvariants.entries)
    violations += invariant_count(invariant).violated;
  LogEvent(EventId::kProcessStopped, {{"open_requests", open_requests()},
                                      {"invariant_violations", violations}});
  return Ok();
}

unsigned long Kernel::open_requests() const {
  unsigned long open = 0;
  for (const auto& [name, service] : services_)
    open += service->open_requests();
  return open;
}

void Kernel::RequestStop() {
  if (stopping_)
    return;
  stopping_ = true;
  LogEvent(EventId::kProcessStopping, {{"open_requests", open_requests()}});
  StopNext();
}

void Kernel::StopNext() {
  if (running_ == 0) {
    loop_.Stop();
    return;
  }
  --running_;
  services_[running_].second->Stop(
      [this] { loop_.Post([this] { StopNext(); }); });
}

}  // namespace boragewinch
