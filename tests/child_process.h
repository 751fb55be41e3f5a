#ifndef BORAGEWINCH_TESTS_CHILD_PROCESS_H_
#define BORAGEWINCH_TESTS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace boragewinch {

/// \brief Claims a network of 250 loopback addresses until this process exits,
/// so that tests with fixed addresses or ports can run at once.
/// \returns its first three numbers with a dot, for example "127.16.1.".
[[nodiscard]] std::string ClaimNetwork();

/// \returns "IP:port" with a free port in a network of this process.
[[nodiscard]] std::string FreeAddress();

/// \brief A child process.
class ChildProcess {
 public:
  ChildProcess() = default;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  /// Kills the process and waits for its exit.
  ~ChildProcess();

  /// \brief Starts a program with blocked SIGTERM, SIGINT and SIGHUP, which it
  /// unblocks itself: their default action would end it while it is loaded.
  /// \param arguments the program, followed by its arguments.
  /// \param log file to which its output is appended.
  void Start(std::vector<std::string> arguments, const std::string& log);
  void Signal(int signal_number);
  /// \brief Sends SIGKILL and waits for the exit.
  void Kill();
  [[nodiscard]] bool Runs();
  [[nodiscard]] pid_t pid() const noexcept { return pid_; }
  /// \returns the exit code, -signal, or -1000 if it still runs.
  [[nodiscard]] int exit_code() const noexcept { return exit_code_; }

 private:
  void Reap(bool wait);

  pid_t pid_ = 0;
  int exit_code_ = -1'000;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_TESTS_CHILD_PROCESS_H_
