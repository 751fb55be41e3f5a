#include "child_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <random>

#include "fixture_error.h"

namespace boragewinch {

// The ports are below the kernel's ephemeral range, so outgoing connections do
// not take a port that was found free. The first one is random, since several
// tests may run at once.
std::string FreeAddress() {
  static std::uint32_t next = std::random_device()();
  for (int attempt = 0; attempt < 5'000; ++attempt) {
    const auto port = static_cast<std::uint16_t>(12'000 + next++ % 20'000);
    const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    endpoint.sin_port = htons(port);
    const bool is_free = bind(probe, reinterpret_cast<sockaddr*>(&endpoint),
                              sizeof(endpoint)) == 0;
    close(probe);
    if (is_free)
      return "127.0.0.1:" + std::to_string(port);
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
