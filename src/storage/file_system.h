#ifndef BORAGEWINCH_STORAGE_FILE_SYSTEM_H_
#define BORAGEWINCH_STORAGE_FILE_SYSTEM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace boragewinch {

/// \brief The file operations used by storage, as replaceable functions.
/// Failures are kStorageWrite unless stated otherwise; opening a path that does
/// not exist can also give kStorageMissing.
struct FileSystem {
  /// Opens a file for appending and creates it if it does not exist.
  std::function<Result<int>(const std::string& path)> open;
  /// Appends a prefix of the bytes. \returns its length, at least 1.
  std::function<Result<std::size_t>(int file, std::string_view bytes)> append;
  /// Makes the content of the file durable.
  std::function<Status(int file)> sync;
  std::function<Status(int file, std::uint64_t bytes)> truncate;
  std::function<void(int file)> close;
  /// \returns the whole content, or kStorageMissing.
  std::function<Result<std::string>(const std::string& path)> read;
  std::function<Status(const std::string& from, const std::string& to)> rename;
  std::function<Status(const std::string& path)> remove;
  /// \returns the sorted names in a directory, or kStorageMissing.
  std::function<Result<std::vector<std::string>>(const std::string& directory)>
      list;
  /// Makes the creation, renaming and removal of files in the directory
  /// durable.
  std::function<Status(const std::string& directory)> sync_directory;
  /// Creates a file and locks it exclusively until it is closed.
  /// \returns the file, or kConflict if another process has locked it.
  std::function<Result<int>(const std::string& path)> lock;
};

/// \returns the POSIX implementation.
[[nodiscard]] FileSystem PosixFileSystem();

/// \brief Appends all bytes, continuing after short writes.
[[nodiscard]] Status AppendAll(const FileSystem& file_system,
                               int file,
                               std::string_view bytes);

}  // namespace boragewinch

#endif  // BORAGEWINCH_STORAGE_FILE_SYSTEM_H_
