#define BOOST_TEST_MODULE event_log
#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

#include "base/event_log.h"

namespace boragewinch {
namespace {

/// Redirects the standard output stream of this process to a file and
/// configures the event log to write to it.
class CapturedOutput {
 public:
  CapturedOutput()
      : path_(std::filesystem::temp_directory_path() /
              ("event_log_test." + std::to_string(getpid()))) {
    std::fflush(stdout);
    saved_ = dup(STDOUT_FILENO);
    const int file = open(path_.c_str(), O_CREAT | O_TRUNC | O_WRONLY, 0600);
    dup2(file, STDOUT_FILENO);
    close(file);
    ConfigureEventLog("test", EventLevel::kInfo, EventStream::kStandardOutput);
    // The C library does not buffer the first write after a change of the
    // buffer.
    LogEvent(EventId::kProcessStarted, {});
  }
  ~CapturedOutput() {
    BufferEventLog(nullptr);
    std::fflush(stdout);
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
    std::filesystem::remove(path_);
  }

  /// \returns the number of lines in the file, without that of the constructor.
  [[nodiscard]] int lines() const {
    std::ifstream file(path_);
    int count = -1;
    for (std::string line; std::getline(file, line); ++count) {
    }
    return count;
  }

 private:
  std::filesystem::path path_;
  int saved_ = -1;
};

// Boost.Test flushes the standard output stream at each check, so the checks
// follow once the stream is restored.

// Guards against a system call for each line, which costs a leader with a
// thousand runs per second too much CPU time.
BOOST_AUTO_TEST_CASE(LinesAreBufferedUntilTheFlush) {
  int scheduled = 0;
  std::vector<int> lines;
  std::vector<int> calls;
  {
    const CapturedOutput output;
    BufferEventLog([&scheduled] { ++scheduled; });
    for (int i = 0; i < 3; ++i)
      LogEvent(EventId::kRunOrdered, {{"run", i}});
    lines.push_back(output.lines());
    calls.push_back(scheduled);
    FlushEventLog();
    lines.push_back(output.lines());
    LogEvent(EventId::kRunOrdered, {{"run", 3}});
    lines.push_back(output.lines());
    calls.push_back(scheduled);
  }
  BOOST_TEST(lines == (std::vector<int>{0, 3, 3}),
             boost::test_tools::per_element());
  BOOST_TEST(calls == (std::vector<int>{1, 2}),
             boost::test_tools::per_element());
}

// Guards against a warning or error that is lost when the process ends right
// after it, and against reordered lines.
BOOST_AUTO_TEST_CASE(WarningsAreWrittenAtOnce) {
  std::vector<int> lines;
  {
    const CapturedOutput output;
    BufferEventLog([] {});
    LogEvent(EventId::kRunOrdered, {{"run", 1}});
    LogEvent(EventId::kWorkerLost, {{"worker", "w1"}});
    lines.push_back(output.lines());
    LogEvent(EventId::kRunOrdered, {{"run", 2}});
    lines.push_back(output.lines());
    LogEvent(EventId::kStorageFailed, {{"error", "full"}});
    lines.push_back(output.lines());
  }
  BOOST_TEST(lines == (std::vector<int>{2, 2, 4}),
             boost::test_tools::per_element());
}

// Guards against lines that are lost at a planned stop, and against lines that
// stay in the buffer of a program that never schedules a flush.
BOOST_AUTO_TEST_CASE(NothingIsBufferedWithoutASchedule) {
  std::vector<int> lines;
  {
    const CapturedOutput output;
    LogEvent(EventId::kRunOrdered, {{"run", 1}});
    lines.push_back(output.lines());
    BufferEventLog([] {});
    LogEvent(EventId::kRunOrdered, {{"run", 2}});
    lines.push_back(output.lines());
    BufferEventLog(nullptr);
    lines.push_back(output.lines());
    LogEvent(EventId::kRunOrdered, {{"run", 3}});
    lines.push_back(output.lines());
  }
  BOOST_TEST(lines == (std::vector<int>{1, 1, 2, 3}),
             boost::test_tools::per_element());
}

}  // namespace
}  // namespace boragewinch
