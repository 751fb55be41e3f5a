#include "base/event_log.h"

#include <string>

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

// Values come from outside, so one with a space, quote or control character
// is written as a JSON string: a log line can't be forged through a name.
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
  const log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(
      layout, stream == EventStream::kStandardOutput
                  ? log4cxx::ConsoleAppender::getSystemOut()
                  : log4cxx::ConsoleAppender::getSystemErr()));
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
}

}  // namespace boragewinch
