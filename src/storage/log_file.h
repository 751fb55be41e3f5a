#ifndef BORAGEWINCH_STORAGE_LOG_FILE_H_
#define BORAGEWINCH_STORAGE_LOG_FILE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "storage/file_system.h"

namespace boragewinch {

/// Maximum size of a record, for writing and for recovery.
inline constexpr std::size_t kMaxRecordBytes = 16UL * 1024 * 1024;

struct LogFileOptions {
  /// A segment that has reached this size is closed and a new one is started.
  std::uint64_t segment_bytes = 4UL * 1024 * 1024;
};

/// \brief What was found in a log when it was opened.
struct LogRecovery {
  std::uint64_t first_index = 1;
  std::vector<std::string> records;   ///< from first_index on, without gaps
  std::uint64_t truncated_bytes = 0;  ///< size of the torn tail
};

/// \brief A sequence of numbered records in segment files of one directory.
///
/// A record has a header (marker, xxHash64, length, index, highest index that
/// was synced when it was written) and its content. It is durable only once
/// Sync has succeeded. After a failed write or sync every later operation fails
/// with kStorageWrite, since it is unknown what has reached the disk.
class LogFile {
 public:
  LogFile(FileSystem file_system,
          std::string directory,
          LogFileOptions options);
  ~LogFile();
  LogFile(const LogFile&) = delete;
  LogFile& operator=(const LogFile&) = delete;

  /// \brief Reads all segments. A torn tail, which can only hold records that
  /// were never synced, is truncated and reported.
  /// \returns kStorageCorrupt if a synced record is damaged or missing.
  [[nodiscard]] Result<LogRecovery> Open();

  /// \brief Writes the record next_index(); not durable until Sync.
  [[nodiscard]] Status Append(std::string_view record);

  [[nodiscard]] Status Sync();

  /// \brief Removes the records from `from` on, durably.
  [[nodiscard]] Status TruncateSuffix(std::uint64_t from);

  /// \brief Removes closed segments whose records are all below `first_kept`.
  [[nodiscard]] Status DropPrefix(std::uint64_t first_kept);

  /// \brief Removes all records; the next one gets the index `next`.
  [[nodiscard]] Status Reset(std::uint64_t next);

  [[nodiscard]] std::uint64_t first_index() const noexcept;
  [[nodiscard]] std::uint64_t next_index() const noexcept;
  /// \returns whether a write or sync has failed.
  [[nodiscard]] bool failed() const noexcept { return failed_; }

 private:
  struct Segment {
    std::uint64_t first = 1;
    std::vector<std::uint64_t> ends;  ///< end offset of each record
    [[nodiscard]] std::uint64_t next() const noexcept {
      return first + ends.size();
    }
    [[nodiscard]] std::uint64_t bytes() const noexcept {
      return ends.empty() ? 0 : ends.back();
    }
  };

  [[nodiscard]] std::string Path(std::uint64_t first) const;
  [[nodiscard]] Status ReadSegment(std::uint64_t first,
                                   bool last,
                                   LogRecovery* recovery);
  [[nodiscard]] Status AddSegment(std::uint64_t first);
  [[nodiscard]] Status RemoveSegment(std::uint64_t first);
  [[nodiscard]] Status DoTruncateSuffix(std::uint64_t from);
  [[nodiscard]] Status MarkIfFailed(Status status);
  [[nodiscard]] Status OpenCurrent();
  void CloseCurrent();

  FileSystem file_system_;
  std::string directory_;
  LogFileOptions options_;
  std::vector<Segment> segments_;
  std::optional<int> file_;  ///< descriptor of the last segment
  std::uint64_t synced_ = 0;
  bool failed_ = false;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_STORAGE_LOG_FILE_H_
