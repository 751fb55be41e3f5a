#ifndef BORAGEWINCH_STORAGE_IDENTITY_FILE_H_
#define BORAGEWINCH_STORAGE_IDENTITY_FILE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "storage/snapshot_file.h"

namespace boragewinch {

/// \brief Persistent state of a replica, made durable before it acts on it.
struct HardState {
  std::string cluster;  ///< empty until the replica belongs to a cluster
  std::string replica;
  std::uint64_t term = 0;
  std::string vote;         ///< replica voted for in `term`, or empty
  std::uint64_t boots = 0;  ///< number of process starts with this directory
  bool has_log = false;     ///< set once the log or snapshot has content
  bool member = false;      ///< set once the replica has been a member

  friend bool operator==(const HardState&, const HardState&) = default;
};

/// \brief The file "identity" of a data directory.
class IdentityFile {
 public:
  IdentityFile(FileSystem file_system, std::string directory);

  [[nodiscard]] Status Write(const HardState& state) const;

  /// \returns the state, nothing if the file does not exist, or
  /// kStorageCorrupt.
  [[nodiscard]] Result<std::optional<HardState>> Read() const;

 private:
  SnapshotFile file_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_STORAGE_IDENTITY_FILE_H_
