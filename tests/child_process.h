#ifndef BORAGEWINCH_TESTS_CHILD_PROCESS_H_
#define BORAGEWINCH_TESTS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace boragewinch {

/// \returns "127.0.0.1:port" that no process listens on.
[[nodiscard]] std::string FreeAddress();

/// \brief One process that this one starts and ends.
class ChildProcess {
 public:
  ChildProcess() = default;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  /// Ends the process and waits for it.
  ~ChildProcess();

  /// \param arguments the program comes first.
  /// \param log file that takes its output.
  void Start(std::vector<std::string> arguments, const std::string& log);
  void Signal(int signal_number);
  /// \brief SIGKILL, then waits for the end.
  void Kill();
  [[nodiscard]] bool Runs();
  [[nodiscard]] pid_t pid() const noexcept { return pid_; }
  /// \returns the exit code, -signal, or -1000 if it runs on.
  [[nodiscard]] int exit_code() const noexcept { return exit_code_; }

 private:
  void Reap(bool wait);

  pid_t pid_ = 0;
  int exit_code_ = -1'000;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_TESTS_CHILD_PROCESS_H_
