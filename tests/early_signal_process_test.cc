#define BOOST_TEST_MODULE early_signal_process
#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include "child_process.h"

namespace boragewinch {
namespace {

/// A planned stop takes up to a few seconds.
constexpr std::chrono::seconds kStopLimit{60};

[[nodiscard]] std::vector<std::vector<std::string>> Programs(
    const std::string& directory) {
  const std::string bin = std::string(BORAGEWINCH_BIN) + "/";
  const std::string seeds = "--seeds=127.0.0.1:1";
  const std::string secret = "--cluster-secret=secret";
  const std::string operator_secret = "--operator-secret=secret";
  const auto address = [](const char* option) {
    return std::string(option) + "=" + FreeAddress();
  };
  const std::string control = FreeAddress();
  return {
      {bin + "boraged-gateway", "--name=g", "--internal-port=1",
       address("--callers"), address("--ready"), address("--metrics"), seeds,
       secret},
      {bin + "boraged-scheduler", "--name=s", "--internal-port=1", "--zone=z",
       "--ip=127.0.0.1", address("--control"),
       "--data=" + directory + "/scheduler", seeds, secret,
       address("--internal-listen"), address("--metrics"),
       "--host-platform=127.0.0.1:1", "--advice=127.0.0.1:1"},
      {bin + "boraged-control", "--name=c", "--listen=" + control,
       "--data=" + directory, "--peers=c=" + control, secret, operator_secret},
      {bin + "boraged-entry", "--name=e", "--zone=z", address("--listen"),
       address("--peer-listen"), "--control=127.0.0.1:1", secret,
       operator_secret},
  };
}

[[nodiscard]] std::string ReadAll(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Guards against a process that a signal at its start ends without a planned
// stop, and against one that never stops if it inherits blocked signals.
BOOST_AUTO_TEST_CASE(ASignalAtTheStartCausesAPlannedStop) {
  const std::filesystem::path directory =
      std::filesystem::temp_directory_path() /
      ("early-signal-" + std::to_string(getpid()));
  for (const int signal_number : {SIGTERM, SIGINT}) {
    std::filesystem::remove_all(directory);
    for (const char* data : {"scheduler", "control"})
      std::filesystem::create_directories(directory / data);
    for (const auto& arguments : Programs(directory.string())) {
      const std::string log = directory.string() + ".log";
      std::filesystem::remove(log);
      ChildProcess process;
      process.Start(arguments, log);
      process.Signal(SIGHUP);
      process.Signal(signal_number);
      const auto deadline = std::chrono::steady_clock::now() + kStopLimit;
      while (process.Runs() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      BOOST_TEST(process.exit_code() == 0, arguments.front()
                                               << ": exit code "
                                               << process.exit_code() << "\n"
                                               << ReadAll(log));
      std::filesystem::remove(log);
    }
  }
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace boragewinch
