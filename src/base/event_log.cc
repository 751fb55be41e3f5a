#include "base/event_log.h"

#include <array>
#include <cstdio>
#include <string>
#include <utility>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "base/json.h"

namespace boragewinch {

namespace {

[[nodiscard]] log4cxx::LevelPtr ToLevel(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return log4cxx::Level::getDebug();
    case EventLevel::kInfo:
      return log4cxx::Level::getInfo();
    case EventLevel::kWarn:
      return log4cxx::Level::getWarn();
    case EventLevel::kError:
      break;
  }
  return log4cxx::Level::getError();
}

[[nodiscard]] const log4cxx::LoggerPtr& Logger() {
  static const log4cxx::LoggerPtr kLogger =
      log4cxx::Logger::getLogger("boragewinch");
  return kLogger;
}

/// State of the buffering of lines to the standard output stream.
struct Buffering {
  log4cxx::ConsoleAppenderPtr appender;  ///< null for standard error
  std::function<void()> schedule;
  bool pending = false;  ///< lines are buffered
};

[[nodiscard]] Buffering& BufferingState() {
  static Buffering buffering;
  return buffering;
}

// Writes untrusted values with a space, quote or control character as JSON
// strings, so that a name can't forge a log line.
[[nodiscard]] std::string Quote(const std::string& value) {
  for (const char c : value) {
    if (c <= ' ' || c == '"' || c == '\\' || c == 0x7f)
      return WriteJson(Json(value));
  }
  return value.empty() ? "\"\"" : value;
}

}  // namespace

void ConfigureEventLog(std::string_view process,
                       EventLevel level,
                       EventStream stream) {
  const std::string pattern = "%d{yyyy-MM-dd'T'HH:mm:ss.SSS'Z'}{UTC} %p " +
                              std::string(process) + " %m%n";
  const log4cxx::LayoutPtr layout(new log4cxx::PatternLayout(pattern));
  const bool to_output = stream == EventStream::kStandardOutput;
  const log4cxx::ConsoleAppenderPtr appender(new log4cxx::ConsoleAppender(
      layout, to_output ? log4cxx::ConsoleAppender::getSystemOut()
                        : log4cxx::ConsoleAppender::getSystemErr()));
  if (to_output) {
    // A full buffer is flushed, so its size limits the buffered lines.
    static std::array<char, 64UL * 1024> buffer;
    std::setvbuf(stdout, buffer.data(), _IOFBF, buffer.size());
  }
  BufferingState() = {to_output ? appender : nullptr, nullptr, false};
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  Logger()->setLevel(ToLevel(level));
}

void LogEvent(EventId id, std::initializer_list<EventField> fields) {
  const EventInfo& info = event_info(id);
  const log4cxx::LevelPtr level = ToLevel(info.level);
  if (!Logger()->isEnabledFor(level))
    return;
  std::string line = "BW" + std::to_string(static_cast<int>(id)) + " " +
                     std::string(info.name);
  for (const EventField& field : fields)
    line += " " + std::string(field.name) + "=" + Quote(field.value);
  Logger()->forcedLog(level, line, log4cxx::spi::LocationInfo("", "", "", 0));
  Buffering& buffering = BufferingState();
  if (!buffering.schedule)
    return;
  const bool first = !std::exchange(buffering.pending, true);
  if (info.level == EventLevel::kWarn || info.level == EventLevel::kError)
    FlushEventLog();
  else if (first)
    buffering.schedule();
}

void BufferEventLog(std::function<void()> schedule) {
  FlushEventLog();
  Buffering& buffering = BufferingState();
  if (buffering.appender == nullptr)
    return;
  buffering.appender->setImmediateFlush(!schedule);
  buffering.schedule = std::move(schedule);
}

void FlushEventLog() {
  if (std::exchange(BufferingState().pending, false))
    std::fflush(stdout);
}

}  // namespace boragewinch
