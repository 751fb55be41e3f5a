#include "fault_relay.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include "fixture_error.h"

namespace boragewinch {

namespace {

constexpr int kPollMs = 20;        // maximum time until a new mode takes effect
constexpr int kDelayedPollMs = 2;  // resolution of the delay
constexpr std::size_t kMaxPendingBytes = 256 * 1024;

[[nodiscard]] sockaddr_in Endpoint(const std::string& address) {
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  const auto colon = address.rfind(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
  endpoint.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return endpoint;
}

void SetSocketOptions(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  fcntl(descriptor, F_SETFL, O_NONBLOCK);
}

}  // namespace

FaultRelay::FaultRelay(std::string target, const std::string& listen_address)
    : target_(std::move(target)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in endpoint = Endpoint(listen_address);
  socklen_t size = sizeof(endpoint);
  auto* generic = reinterpret_cast<sockaddr*>(&endpoint);
  if (bind(listener_, generic, size) != 0 || listen(listener_, 512) != 0 ||
      getsockname(listener_, generic, &size) != 0)
    throw FixtureError(ErrorCode::kUnavailable, "the relay can't listen");
  address_ = listen_address.substr(0, listen_address.rfind(':') + 1) +
             std::to_string(ntohs(endpoint.sin_port));
  thread_ = std::thread([this] { Run(); });
}

FaultRelay::~FaultRelay() {
  stop_ = true;
  thread_.join();
  for (const Link& link : links_)
    Close(link);
  close(listener_);
}

void FaultRelay::Close(const Link& link) {
  close(link.up.from);
  close(link.up.to);
}

void FaultRelay::Reset(const Link& link) {
  const linger abort{1, 0};
  setsockopt(link.up.from, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  setsockopt(link.up.to, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  Close(link);
}

std::size_t FaultRelay::SendableBytes(const Pipe& pipe) const {
  const std::int64_t delay = delay_ms_;
  if (delay == 0)
    return pipe.pending.size();
  const auto limit =
      std::chrono::steady_clock::now() - std::chrono::milliseconds(delay);
  std::size_t sendable = 0;
  for (const auto& [at, bytes] : pipe.arrivals) {
    if (at > limit)
      break;
    sendable += bytes;
  }
  return std::min(sendable, pipe.pending.size());
}

void FaultRelay::Accept() {
  for (;;) {
    const int caller =
        accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (caller < 0)
      return;
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in endpoint = Endpoint(target_);
    // A connect to loopback succeeds or fails without waiting.
    if (mode_ == RelayMode::kCut ||
        connect(server, reinterpret_cast<const sockaddr*>(&endpoint),
                sizeof(endpoint)) != 0) {
      close(caller);
      close(server);
      continue;
    }
    SetSocketOptions(caller);
    SetSocketOptions(server);
    links_.push_back(
        Link{{caller, server, {}, {}}, {server, caller, {}, {}}, generation_});
  }
}

bool FaultRelay::Pump(Pipe* pipe) {
  char buffer[64 * 1024];
  while (pipe->pending.size() < kMaxPendingBytes) {
    const ssize_t got = read(pipe->from, buffer, sizeof(buffer));
    if (got == 0 || (got < 0 && errno != EAGAIN))
      return false;
    if (got < 0)
      break;
    pipe->pending.append(buffer, static_cast<std::size_t>(got));
    pipe->arrivals.emplace_back(std::chrono::steady_clock::now(),
                                static_cast<std::size_t>(got));
  }
  for (std::size_t sendable = SendableBytes(*pipe); sendable > 0;) {
    const ssize_t put =
        send(pipe->to, pipe->pending.data(), sendable, MSG_NOSIGNAL);
    if (put < 0)
      return errno == EAGAIN;
    auto sent = static_cast<std::size_t>(put);
    bytes_ += sent;
    pipe->forwarded += sent;
    sendable -= sent;
    pipe->pending.erase(0, sent);
    while (sent > 0) {
      const std::size_t first = std::min(sent, pipe->arrivals.front().second);
      pipe->arrivals.front().second -= first;
      sent -= first;
      if (pipe->arrivals.front().second == 0)
        pipe->arrivals.pop_front();
    }
  }
  return true;
}

bool FaultRelay::Drop(Pipe* pipe, bool* dropped) {
  char buffer[64 * 1024];
  *dropped = *dropped || !pipe->pending.empty();
  pipe->pending.clear();
  pipe->arrivals.clear();
  for (;;) {
    const ssize_t got = read(pipe->from, buffer, sizeof(buffer));
    if (got <= 0)
      return got < 0 && errno == EAGAIN;
    *dropped = true;
  }
}

bool FaultRelay::PumpLink(Link* link, RelayMode mode) {
  switch (mode) {
    case RelayMode::kDropRequests:
      return Drop(&link->up, &link->lost_bytes) && Pump(&link->down);
    case RelayMode::kDropResponses:
      return Pump(&link->up) && Drop(&link->down, &link->lost_bytes);
    default:
      return !link->lost_bytes && Pump(&link->up) && Pump(&link->down);
  }
}

bool FaultRelay::PumpCalls(Link* link, RelayMode mode) {
  const std::uint64_t up = link->up.forwarded;
  const std::uint64_t down = link->down.forwarded;
  const bool open = PumpLink(link, mode);
  if (link->up.forwarded != up)
    link->open_call = true;
  // PumpLink forwards calls first, so what it returned answers the last call.
  if (link->down.forwarded != down)
    link->open_call = false;
  return open;
}

void FaultRelay::Run() {
  int resets_done = 0;
  while (!stop_) {
    const RelayMode mode = mode_;
    if (mode == RelayMode::kCut) {
      for (const Link& link : links_)
        Close(link);
      links_.clear();
    }
    if (const int resets = resets_; resets != resets_done) {
      resets_done = resets;
      for (const Link& link : links_)
        Reset(link);
      links_.clear();
    }
    std::vector<pollfd> polled{{listener_, POLLIN, 0}};
    if (mode != RelayMode::kCut && mode != RelayMode::kStall) {
      for (const Link& link : links_) {
        if (link.generation != generation_)
          continue;
        for (const Pipe* pipe : {&link.up, &link.down}) {
          if (pipe->pending.size() < kMaxPendingBytes)
            polled.push_back({pipe->from, POLLIN, 0});
          if (SendableBytes(*pipe) > 0)
            polled.push_back({pipe->to, POLLOUT, 0});
        }
      }
    }
    poll(polled.data(), polled.size(),
         delay_ms_ == 0 ? kPollMs : kDelayedPollMs);
    Accept();
    if (mode == RelayMode::kCut || mode == RelayMode::kStall || mode_ != mode)
      continue;
    int open_calls = 0;
    for (auto link = links_.begin(); link != links_.end();) {
      const bool open =
          link->generation != generation_ || PumpCalls(&*link, mode);
      if (!open)
        Close(*link);
      open_calls += open && link->open_call ? 1 : 0;
      link = open ? std::next(link) : links_.erase(link);
    }
    open_calls_ = open_calls;
    applied_mode_ = mode;
  }
}

}  // namespace boragewinch
