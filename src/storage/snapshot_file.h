#ifndef BORAGEWINCH_STORAGE_SNAPSHOT_FILE_H_
#define BORAGEWINCH_STORAGE_SNAPSHOT_FILE_H_

#include <optional>
#include <string>
#include <string_view>

#include "storage/file_system.h"

namespace boragewinch {

/// \brief A file that is replaced atomically: after a crash it holds either the
/// old or the new content. An xxHash64 protects the content.
class SnapshotFile {
 public:
  SnapshotFile(FileSystem file_system,
               std::string directory,
               const std::string& name);

  /// \brief Writes a temporary file, syncs it, renames it and syncs the
  /// directory. The content is durable when this returns success.
  [[nodiscard]] Status Write(std::string_view content) const;

  /// \returns the content, nothing if the file does not exist, or
  /// kStorageCorrupt.
  [[nodiscard]] Result<std::optional<std::string>> Read() const;

 private:
  FileSystem file_system_;
  std::string directory_;
  std::string path_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_STORAGE_SNAPSHOT_FILE_H_
