#ifndef BORAGEWINCH_BASE_LOG_OUTPUT_H_
#define BORAGEWINCH_BASE_LOG_OUTPUT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/event.h"

namespace boragewinch {

/// \brief Writes to a descriptor that other programs may share, without waiting
/// for its reader.
///
/// Pipes and terminals are opened again, which gives a description of this
/// process alone that can be non-blocking. Where that fails, as little is
/// written at once as a pipe that is writable accepts.
class LogOutput {
 public:
  explicit LogOutput(int descriptor);
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;
  ~LogOutput();

  /// \returns how many bytes were written, fewer than `bytes` has if the reader
  /// is slow; nothing if the descriptor can't be written to.
  [[nodiscard]] std::optional<std::size_t> Write(std::string_view bytes) const;

 private:
  enum class Kind {
    kBlocking,     ///< a file, which accepts all bytes
    kNonBlocking,  ///< opened again
    kPolled,       ///< a pipe or terminal that could not be opened again
    kSocket,
  };

  [[nodiscard]] std::optional<std::size_t> WriteOnce(
      std::string_view bytes) const;

  int descriptor_;
  Kind kind_ = Kind::kBlocking;
};

/// \brief Log lines that wait for the reader of the log. Beyond a limit, lines
/// of the lowest level are dropped and counted.
class LogBacklog {
 public:
  /// Writes like LogOutput::Write.
  using Write = std::function<std::optional<std::size_t>(std::string_view)>;

  /// Lines that were dropped since the last call of TakeDropped.
  struct Dropped {
    std::uint64_t lines = 0;
    std::string first;  ///< begin of the first one, with its time
    std::string last;
  };

  LogBacklog(Write write, std::size_t max_bytes)
      : write_(std::move(write)), max_bytes_(max_bytes) {}

  /// \param line with its end.
  void Add(EventLevel level, std::string line);
  /// \brief Writes what the reader accepts.
  void Flush();
  [[nodiscard]] bool empty() const noexcept {
    return lines_.empty() && writing_.empty();
  }
  /// \returns the lines that were dropped, once all others are written; nothing
  /// if there are none, others still wait or the last write has failed.
  [[nodiscard]] std::optional<Dropped> TakeDropped();
  [[nodiscard]] std::uint64_t total_dropped() const noexcept {
    return total_dropped_;
  }

 private:
  struct Line {
    EventLevel level = EventLevel::kDebug;
    std::string text;
  };
  static constexpr std::size_t kLevels = 4;

  /// \brief Makes room for a line of that level.
  /// \returns false if all lines that wait are of a higher level.
  bool MakeRoom(EventLevel level, std::size_t bytes);
  void CountDropped(std::string_view line);

  Write write_;
  std::size_t max_bytes_;
  bool failing_ = false;  ///< the last write failed
  std::string writing_;   ///< lines of which a part may be written
  std::deque<Line> lines_;
  std::size_t bytes_ = 0;  ///< of `lines_`
  std::array<std::size_t, kLevels> lines_of_level_{};
  Dropped dropped_;
  std::uint64_t total_dropped_ = 0;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_LOG_OUTPUT_H_
