#include "base/event_log.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <unistd.h>

#include "base/json.h"
#include "base/log_output.h"

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

/// Lines that wait for a slow reader; some 6,000 of them.
constexpr std::size_t kMaxBacklogBytes = 1024UL * 1024;

[[nodiscard]] EventLevel LevelOf(const log4cxx::LevelPtr& level) {
  if (level->isGreaterOrEqual(log4cxx::Level::getError()))
    return EventLevel::kError;
  if (level->isGreaterOrEqual(log4cxx::Level::getWarn()))
    return EventLevel::kWarn;
  return level->isGreaterOrEqual(log4cxx::Level::getInfo())
             ? EventLevel::kInfo
             : EventLevel::kDebug;
}

/// Formats lines and adds them to the backlog.
class BacklogAppender : public log4cxx::AppenderSkeleton {
 public:
  BacklogAppender(log4cxx::LayoutPtr format, int descriptor)
      : format_(std::move(format)), output_(descriptor) {}

  void close() override { backlog_.Flush(); }
  [[nodiscard]] bool requiresLayout() const override { return false; }

  [[nodiscard]] LogBacklog& backlog() noexcept { return backlog_; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    log4cxx::LogString formatted;
    format_->format(formatted, event, pool);
    std::string line;
    log4cxx::helpers::Transcoder::encodeUTF8(formatted, line);
    backlog_.Add(LevelOf(event->getLevel()), std::move(line));
  }

 private:
  log4cxx::LayoutPtr format_;
  LogOutput output_;
  LogBacklog backlog_{
      [this](std::string_view bytes) { return output_.Write(bytes); },
      kMaxBacklogBytes};
};

/// State of the buffering of lines.
struct Buffering {
  std::shared_ptr<BacklogAppender> appender;  ///< null before the configuration
  bool may_buffer = false;  ///< the log goes to standard output
  std::function<void()> schedule;
  bool pending = false;  ///< a flush is scheduled
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
  const auto appender = std::make_shared<BacklogAppender>(
      layout, to_output ? STDOUT_FILENO : STDERR_FILENO);
  BufferingState() = {appender, to_output, nullptr, false};
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  Logger()->setLevel(ToLevel(level));
}

void LogEvent(EventId id, std::initializer_list<EventField> fields) {
  const EventInfo& info = event_info(id);
  const log4cxx::LevelPtr level = ToLevel(info.level);
  if (!Logger()->isEnabledFor(level))
    return;
  // GCC 12 reports a false -Wrestrict for a literal + a temporary string.
  std::string line("BW");
  line += std::to_string(static_cast<int>(id));
  line += ' ';
  line += info.name;
  for (const EventField& field : fields) {
    line += ' ';
    line += field.name;
    line += '=';
    line += Quote(field.value);
  }
  Logger()->forcedLog(level, line, log4cxx::spi::LocationInfo("", "", "", 0));
  Buffering& buffering = BufferingState();
  if (!buffering.schedule || info.level == EventLevel::kWarn ||
      info.level == EventLevel::kError) {
    FlushEventLog();
  } else if (!std::exchange(buffering.pending, true)) {
    buffering.schedule();
  }
}

void BufferEventLog(std::function<void()> schedule) {
  Buffering& buffering = BufferingState();
  buffering.schedule = nullptr;
  FlushEventLog();
  if (buffering.may_buffer)
    buffering.schedule = std::move(schedule);
}

void FlushEventLog() {
  Buffering& buffering = BufferingState();
  if (buffering.appender == nullptr)
    return;
  LogBacklog& backlog = buffering.appender->backlog();
  backlog.Flush();
  buffering.pending = false;
  // This line is a warning, so it is written at once.
  if (const auto dropped = backlog.TakeDropped()) {
    LogEvent(EventId::kLogLinesDropped, {{"lines", dropped->lines},
                                         {"first", dropped->first},
                                         {"last", dropped->last}});
  }
  if (!backlog.empty() && buffering.schedule) {
    buffering.pending = true;
    buffering.schedule();
  }
}

std::uint64_t DroppedLogLines() {
  const auto& appender = BufferingState().appender;
  return appender == nullptr ? 0 : appender->backlog().total_dropped();
}

}  // namespace boragewinch
