#include "base/log_output.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace boragewinch {

namespace {

/// Bytes that are given to one write call.
constexpr std::size_t kWriteBytes = 64UL * 1024;
/// Length of the time at the begin of a line.
constexpr std::size_t kTimeBytes = 26;

// O_NONBLOCK belongs to the open file description: setting it on the descriptor
// would change those of all programs that share it.
/// \returns a non-blocking descriptor of the same pipe or terminal; -1 if there
/// is none.
[[nodiscard]] int OpenAgain(int descriptor, const struct stat& status) {
  const std::string path = "/proc/self/fd/" + std::to_string(descriptor);
  const int own =
      open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
  if (own < 0)
    return own;
  struct stat opened {};
  if (fstat(own, &opened) == 0 && opened.st_dev == status.st_dev &&
      opened.st_ino == status.st_ino) {
    return own;
  }
  close(own);
  return -1;
}

}  // namespace

LogOutput::LogOutput(int descriptor) : descriptor_(descriptor) {
  struct stat status {};
  if (fstat(descriptor, &status) != 0)
    return;
  if (S_ISSOCK(status.st_mode)) {
    kind_ = Kind::kSocket;
  } else if (S_ISFIFO(status.st_mode) || S_ISCHR(status.st_mode)) {
    const int own = OpenAgain(descriptor, status);
    kind_ = own < 0 ? Kind::kPolled : Kind::kNonBlocking;
    if (own >= 0)
      descriptor_ = own;
  }
}

LogOutput::~LogOutput() {
  if (kind_ == Kind::kNonBlocking)
    close(descriptor_);
}

std::optional<std::size_t> LogOutput::WriteOnce(std::string_view bytes) const {
  ssize_t written = 0;
  if (kind_ == Kind::kSocket) {
    written = send(descriptor_, bytes.data(), bytes.size(),
                   MSG_DONTWAIT | MSG_NOSIGNAL);
  } else if (kind_ == Kind::kPolled) {
    // A pipe that is writable accepts PIPE_BUF bytes.
    pollfd writable{descriptor_, POLLOUT, 0};
    if (poll(&writable, 1, 0) <= 0 || (writable.revents & POLLOUT) == 0)
      return 0;
    written = write(descriptor_, bytes.data(),
                    std::min<std::size_t>(bytes.size(), PIPE_BUF));
  } else {
    written = write(descriptor_, bytes.data(), bytes.size());
  }
  if (written >= 0)
    return static_cast<std::size_t>(written);
  if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
    return 0;
  return std::nullopt;
}

std::optional<std::size_t> LogOutput::Write(std::string_view bytes) const {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const auto more = WriteOnce(bytes.substr(written));
    if (!more)
      return std::nullopt;
    if (*more == 0)
      break;
    written += *more;
  }
  return written;
}

void LogBacklog::CountDropped(std::string_view line) {
  ++total_dropped_;
  const std::string time(line.substr(0, line.find(' ')).substr(0, kTimeBytes));
  if (dropped_.lines++ == 0)
    dropped_.first = time;
  dropped_.last = time;
}

bool LogBacklog::MakeRoom(EventLevel level, std::size_t bytes) {
  while (bytes_ + writing_.size() + bytes > max_bytes_) {
    std::size_t lowest = 0;
    while (lowest < kLevels && lines_of_level_.at(lowest) == 0)
      ++lowest;
    // Of lines of one level the earliest are kept: they tell what began.
    if (lowest >= static_cast<std::size_t>(level))
      return false;
    const auto oldest =
        std::find_if(lines_.begin(), lines_.end(), [lowest](const Line& line) {
          return static_cast<std::size_t>(line.level) == lowest;
        });
    CountDropped(oldest->text);
    bytes_ -= oldest->text.size();
    --lines_of_level_.at(lowest);
    lines_.erase(oldest);
  }
  return true;
}

void LogBacklog::Add(EventLevel level, std::string line) {
  if (!MakeRoom(level, line.size())) {
    CountDropped(line);
    return;
  }
  bytes_ += line.size();
  ++lines_of_level_.at(static_cast<std::size_t>(level));
  lines_.push_back({level, std::move(line)});
}

void LogBacklog::Flush() {
  while (!empty()) {
    while (!lines_.empty() && writing_.size() < kWriteBytes) {
      const Line& line = lines_.front();
      writing_ += line.text;
      bytes_ -= line.text.size();
      --lines_of_level_.at(static_cast<std::size_t>(line.level));
      lines_.pop_front();
    }
    const auto written = write_(writing_);
    failing_ = !written;
    if (!written) {
      // The next lines may fail as well, so nothing is written about it now.
      while (!writing_.empty()) {
        const std::size_t end =
            std::min(writing_.find('\n'), writing_.size() - 1);
        CountDropped(std::string_view(writing_).substr(0, end));
        writing_.erase(0, end + 1);
      }
      return;
    }
    const bool all = *written == writing_.size();
    writing_.erase(0, *written);
    if (!all)
      return;
  }
}

std::optional<LogBacklog::Dropped> LogBacklog::TakeDropped() {
  if (dropped_.lines == 0 || failing_ || !empty())
    return std::nullopt;
  return std::exchange(dropped_, {});
}

}  // namespace boragewinch
