#include "child_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <optional>
#include <random>

#include "fixture_error.h"

namespace boragewinch {

namespace {

/// A process that holds this address and port has claimed the network.
constexpr int kClaimHost = 254;
constexpr std::uint16_t kClaimPort = 7'999;
/// Ports below the kernel's ephemeral range: outgoing connections do not take a
/// port that was found free.
constexpr std::uint32_t kFirstPort = 12'000;
constexpr std::uint32_t kPorts = 20'000;
constexpr int kMaxAttempts = 5'000;

/// \returns a socket that is bound to `ip` and `port`, or nothing if they are
/// in use. It does not listen.
[[nodiscard]] std::optional<int> Bind(const std::string& ip,
                                      std::uint16_t port) {
  const int bound = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &endpoint.sin_addr);
  endpoint.sin_port = htons(port);
  if (bind(bound, reinterpret_cast<sockaddr*>(&endpoint), sizeof(endpoint)) ==
      0)
    return bound;
  close(bound);
  return std::nullopt;
}

}  // namespace

std::string ClaimNetwork() {
  std::random_device random;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const std::string network = "127." + std::to_string(16 + random() % 200) +
                                "." + std::to_string(1 + random() % 250) + ".";
    // The socket stays open: closing it would end the claim.
    if (Bind(network + std::to_string(kClaimHost), kClaimPort))
      return network;
  }
  throw FixtureError(ErrorCode::kUnavailable, "no free loopback network");
}

std::string FreeAddress() {
  static const std::string ip = ClaimNetwork() + "1";
  static std::uint32_t next = 0;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    if (const auto probe = Bind(ip, port)) {
      close(*probe);
      return ip + ":" + std::to_string(port);
    }
  }
  throw FixtureError(ErrorCode::kUnavailable, "no free port");
}

ChildProcess::~ChildProcess() {
  Kill();
}

void ChildProcess::Start(std::vector<std::string> arguments,
                         const std::string& log) {
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (std::string& argument : arguments)
    pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  sigset_t held;
  sigset_t mask;
  sigemptyset(&held);
  for (const int signal_number : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&held, signal_number);
  pthread_sigmask(SIG_BLOCK, &held, &mask);
  const pid_t pid = fork();
  if (pid != 0)
    pthread_sigmask(SIG_SETMASK, &mask, nullptr);
  if (pid < 0)
    throw FixtureError(ErrorCode::kUnavailable,
                       "can't start " + arguments.front());
  if (pid == 0) {
    // The child must not outlive a test that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // The child must not keep sockets of the test process open, for example
    // those of a fake server.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    signal(SIGPIPE, SIG_DFL);
    execv(pointers.front(), pointers.data());
    _exit(127);
  }
  pid_ = pid;
  exit_code_ = -1'000;
}

void ChildProcess::Reap(bool wait) {
  int status = 0;
  if (pid_ > 0 && waitpid(pid_, &status, wait ? 0 : WNOHANG) == pid_) {
    pid_ = 0;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
}

void ChildProcess::Signal(int signal_number) {
  Reap(false);
  if (pid_ > 0)
    kill(pid_, signal_number);
}

void ChildProcess::Kill() {
  Signal(SIGKILL);
  Reap(true);
}

bool ChildProcess::Runs() {
  Reap(false);
  return pid_ > 0;
}

}  // namespace boragewinch
