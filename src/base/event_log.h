#ifndef BORAGEWINCH_BASE_EVENT_LOG_H_
#define BORAGEWINCH_BASE_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "base/event.h"

namespace boragewinch {

/// \brief One named value of a log event.
struct EventField {
  EventField(std::string_view name, std::string value)
      : name(name), value(std::move(value)) {}
  EventField(std::string_view name, const char* value)
      : name(name), value(value) {}
  EventField(std::string_view name, std::string_view value)
      : name(name), value(value) {}
  EventField(std::string_view name, long value)
      : name(name), value(std::to_string(value)) {}
  EventField(std::string_view name, unsigned long value)
      : name(name), value(std::to_string(value)) {}
  EventField(std::string_view name, int value)
      : name(name), value(std::to_string(value)) {}

  std::string_view name;
  std::string value;
};

enum class EventStream { kStandardError, kStandardOutput };

/// \brief Configures log4cxx to write one line per event.
/// \param process name shown in each line.
/// \param level lowest level that is written.
void ConfigureEventLog(std::string_view process,
                       EventLevel level,
                       EventStream stream = EventStream::kStandardError);

/// \brief Writes "BW<number> <name> field=value ...".
void LogEvent(EventId id, std::initializer_list<EventField> fields);

/// \brief Starts to buffer lines, so that many of them share one system call.
/// Warnings and errors are written immediately, after the lines before them.
/// Has no effect on a log to the standard error stream.
/// \param schedule called when a line enters the empty buffer, and while the
/// reader of the log is slow; must arrange for a call of FlushEventLog soon. If
/// empty, the buffer is flushed and buffering ends.
void BufferEventLog(std::function<void()> schedule);

/// \brief Writes the buffered lines as far as the reader of the log accepts
/// them. The others wait, up to a limit beyond which lines of the lowest levels
/// are dropped. No call of this interface waits for the reader.
void FlushEventLog();

/// \returns how many lines were dropped since the log was configured.
[[nodiscard]] std::uint64_t DroppedLogLines();

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_EVENT_LOG_H_
