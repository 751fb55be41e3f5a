#define BOOST_TEST_MODULE log_output
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <csignal>
#include <optional>
#include <string>
#include <string_view>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/event_log.h"
#include "base/log_output.h"

namespace boragewinch {
namespace {

/// The write end of a channel whose reader reads only when it is told to.
class SlowReader {
 public:
  explicit SlowReader(bool socket) {
    if (socket)
      BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends_) == 0);
    else
      BOOST_REQUIRE(pipe(ends_) == 0);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  SlowReader(const SlowReader&) = delete;
  SlowReader& operator=(const SlowReader&) = delete;
  ~SlowReader() {
    if (ends_[0] >= 0)
      close(ends_[0]);
    close(ends_[1]);
  }

  [[nodiscard]] int writer() const { return ends_[1]; }
  void CloseReader() {
    close(ends_[0]);
    ends_[0] = -1;
  }
  /// \returns what is in the channel.
  std::string ReadAll() const {
    std::string all;
    char buffer[4'096];
    for (ssize_t n = 0; (n = read(ends_[0], buffer, sizeof buffer)) > 0;)
      all.append(buffer, static_cast<std::size_t>(n));
    return all;
  }

 private:
  int ends_[2] = {-1, -1};
};

// Guards against a process that stands still because nobody reads its log: a
// write to a full pipe or socket waits for the reader.
BOOST_AUTO_TEST_CASE(AWriteDoesNotWaitForTheReader) {
  for (const bool socket : {false, true}) {
    const SlowReader reader(socket);
    const LogOutput output(reader.writer());
    const std::string bytes(100'000, 'x');
    std::size_t sent = 0;
    for (int i = 0; i < 50; ++i) {
      const auto written = output.Write(bytes);
      BOOST_REQUIRE(written.has_value());
      sent += *written;
    }
    BOOST_TEST(sent < 50 * bytes.size());
    BOOST_TEST(reader.ReadAll().size() == sent);
    BOOST_TEST(output.Write("more").value_or(0) == 4U);
  }
}

// Guards against other programs that share the descriptor and find it
// non-blocking all at once.
BOOST_AUTO_TEST_CASE(TheSharedDescriptorStaysBlocking) {
  for (const bool socket : {false, true}) {
    const SlowReader reader(socket);
    const LogOutput output(reader.writer());
    BOOST_TEST((fcntl(reader.writer(), F_GETFL) & O_NONBLOCK) == 0);
  }
}

/// A backlog whose reader accepts a number of bytes.
struct LimitedReader {
  [[nodiscard]] std::optional<std::size_t> Accept(std::string_view bytes) {
    const std::size_t count = std::min(bytes.size(), accepts);
    accepts -= count;
    text += bytes.substr(0, count);
    return count;
  }
  std::size_t accepts = 0;
  std::string text;
  LogBacklog backlog{[this](std::string_view bytes) { return Accept(bytes); },
                     100};
};

// Guards against lines that are reordered, torn or written twice by partial
// writes.
BOOST_FIXTURE_TEST_CASE(LinesAreWrittenInOrderAndOnce, LimitedReader) {
  std::string expected;
  for (int i = 0; i < 10; ++i) {
    const std::string line = "line " + std::to_string(i) + "\n";
    expected += line;
    backlog.Add(i % 2 == 0 ? EventLevel::kInfo : EventLevel::kWarn, line);
    accepts += 3;
    backlog.Flush();
  }
  accepts = 1'000;
  backlog.Flush();
  BOOST_TEST(backlog.empty());
  BOOST_TEST(text == expected);
  BOOST_TEST(!backlog.TakeDropped().has_value());
}

// Guards against memory that grows while nobody reads the log, and against
// errors that are lost for lines of a lower level.
BOOST_FIXTURE_TEST_CASE(LinesOfTheLowestLevelAreDropped, LimitedReader) {
  for (int i = 0; i < 20; ++i)
    backlog.Add(EventLevel::kInfo, "T" + std::to_string(100 + i) + " info\n");
  for (int i = 0; i < 3; ++i)
    backlog.Add(EventLevel::kError, "T" + std::to_string(200 + i) + " bad!\n");
  backlog.Flush();
  BOOST_TEST(!backlog.TakeDropped().has_value());  // the reader is still slow
  accepts = 1'000;
  backlog.Flush();
  BOOST_TEST(text.size() <= 100U);
  BOOST_TEST(text.find("T200 bad!\nT201 bad!\nT202 bad!\n") !=
             std::string::npos);
  const auto dropped = backlog.TakeDropped();
  BOOST_REQUIRE(dropped.has_value());
  BOOST_TEST(dropped->lines ==
             23U - std::count(text.begin(), text.end(), '\n'));
  BOOST_TEST(dropped->first == "T110");
  BOOST_TEST(backlog.total_dropped() == dropped->lines);
  BOOST_TEST(!backlog.TakeDropped().has_value());
}

// Guards against a log that ends for good with the first write that fails.
BOOST_AUTO_TEST_CASE(LinesThatCanNotBeWrittenAreCounted) {
  bool fails = true;
  std::string text;
  LogBacklog backlog(
      [&](std::string_view bytes) -> std::optional<std::size_t> {
        if (fails)
          return std::nullopt;
        text += bytes;
        return bytes.size();
      },
      100);
  backlog.Add(EventLevel::kInfo, "T1 a\n");
  backlog.Add(EventLevel::kInfo, "T2 b\n");
  backlog.Flush();
  BOOST_TEST(backlog.empty());
  // A line about it would fail as well, and so on without end.
  BOOST_TEST(!backlog.TakeDropped().has_value());
  fails = false;
  backlog.Add(EventLevel::kInfo, "T3 c\n");
  backlog.Flush();
  BOOST_TEST(text == "T3 c\n");
  const auto dropped = backlog.TakeDropped();
  BOOST_REQUIRE(dropped.has_value());
  BOOST_TEST(dropped->lines == 2U);
  BOOST_TEST(dropped->last == "T2");
}

// Guards against a process that crashes because its log can't be written to.
BOOST_AUTO_TEST_CASE(EventsSurviveAReaderThatHasEnded) {
  std::signal(SIGPIPE, SIG_IGN);
  for (const bool socket : {false, true}) {
    SlowReader reader(socket);
    const int saved = dup(STDOUT_FILENO);
    dup2(reader.writer(), STDOUT_FILENO);
    ConfigureEventLog("test", EventLevel::kInfo, EventStream::kStandardOutput);
    reader.CloseReader();
    for (int i = 0; i < 10; ++i)
      LogEvent(EventId::kStorageFailed, {{"error", "full"}});
    dup2(saved, STDOUT_FILENO);
    close(saved);
    BOOST_TEST(DroppedLogLines() == 10U);
  }
}

// Guards against a process that stops deciding while the reader of its log
// stands still (review/9), and against a reader that isn't told what is
// missing.
BOOST_AUTO_TEST_CASE(EventsDoNotWaitForTheReader) {
  constexpr int kLines = 30'000;
  const SlowReader reader(false);
  const int saved = dup(STDOUT_FILENO);
  dup2(reader.writer(), STDOUT_FILENO);
  ConfigureEventLog("test", EventLevel::kInfo, EventStream::kStandardOutput);
  int scheduled = 0;
  BufferEventLog([&scheduled] { ++scheduled; });
  for (int i = 0; i < kLines; ++i)
    LogEvent(EventId::kRunOrdered, {{"run", i}});
  LogEvent(EventId::kStorageFailed, {{"error", "full"}});
  std::string text = reader.ReadAll();
  while (scheduled > 0) {
    scheduled = 0;
    FlushEventLog();
    text += reader.ReadAll();
  }
  BufferEventLog(nullptr);
  dup2(saved, STDOUT_FILENO);
  close(saved);
  const auto dropped = DroppedLogLines();
  BOOST_TEST(dropped > 0U);
  BOOST_TEST(dropped < static_cast<std::uint64_t>(kLines));
  BOOST_TEST(text.find("storage_failed") != std::string::npos);
  BOOST_TEST(text.find("log_lines_dropped lines=" + std::to_string(dropped)) !=
             std::string::npos);
  BOOST_TEST(std::count(text.begin(), text.end(), '\n') ==
             static_cast<std::ptrdiff_t>(kLines + 2 - dropped));
}

}  // namespace
}  // namespace boragewinch
