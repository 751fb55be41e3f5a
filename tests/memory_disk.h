#ifndef BORAGEWINCH_TESTS_MEMORY_DISK_H_
#define BORAGEWINCH_TESTS_MEMORY_DISK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "storage/file_system.h"

namespace boragewinch {

/// \brief An in-memory disk that loses unsynced data in a crash. Of unsynced
/// appends a random prefix survives, possibly with damaged bytes; of unsynced
/// directory changes (create, rename, remove) a random prefix.
class MemoryDisk {
 public:
  using Random = std::function<std::uint64_t()>;

  struct File {
    std::string data;
    std::size_t synced = 0;
    std::optional<std::string> before_truncate;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  std::size_t capacity = SIZE_MAX;    ///< total size of all files
  std::size_t max_append = SIZE_MAX;  ///< longer writes become short writes
  bool fail_sync = false;
  /// Number of changes before a power failure; later ones fail without effect.
  std::uint64_t fail_after_changes = UINT64_MAX;

  [[nodiscard]] FileSystem Hooks() {
    FileSystem system;
    system.open = [this](const std::string& path) -> Result<int> {
      BW_CHECK(Change());
      if (names_.count(path) == 0) {
        names_[path] = std::make_shared<File>();
        pending_.push_back(names_);
      }
      open_[++last_file_] = names_[path];
      return last_file_;
    };
    system.append = [this](int file,
                           std::string_view bytes) -> Result<std::size_t> {
      BW_CHECK(Change());
      std::size_t used = 0;
      for (const auto& [path, content] : names_)
        used += content->data.size();
      const std::size_t free_space = capacity > used ? capacity - used : 0;
      const std::size_t count =
          std::min({bytes.size(), max_append, free_space});
      if (count == 0)
        return Fail(ErrorCode::kStorageWrite, "disk full");
      open_.at(file)->data.append(bytes.substr(0, count));
      return count;
    };
    system.sync = [this](int file) -> Status {
      BW_CHECK(Change());
      if (fail_sync)
        return Fail(ErrorCode::kStorageWrite, "sync failed");
      File& content = *open_.at(file);
      content.synced = content.data.size();
      content.before_truncate.reset();
      return Ok();
    };
    system.truncate = [this](int file, std::uint64_t bytes) -> Status {
      BW_CHECK(Change());
      File& content = *open_.at(file);
      if (bytes < content.synced && !content.before_truncate)
        content.before_truncate = content.data.substr(0, content.synced);
      content.data.resize(bytes);
      content.synced = std::min<std::size_t>(content.synced, bytes);
      return Ok();
    };
    system.close = [this](int file) {
      open_.erase(file);
      std::erase_if(locks_, [&](auto& lock) { return lock.second == file; });
    };
    system.read = [this](const std::string& path) -> Result<std::string> {
      if (const auto found = names_.find(path); found != names_.end())
        return found->second->data;
      return Fail(ErrorCode::kStorageMissing, "no file " + path);
    };
    system.rename = [this](const std::string& from,
                           const std::string& to) -> Status {
      BW_CHECK(Change());
      names_[to] = names_.at(from);
      names_.erase(from);
      pending_.push_back(names_);
      return Ok();
    };
    system.remove = [this](const std::string& path) -> Status {
      BW_CHECK(Change());
      names_.erase(path);
      pending_.push_back(names_);
      return Ok();
    };
    system.list =
        [this](
            const std::string& directory) -> Result<std::vector<std::string>> {
      std::vector<std::string> list;
      for (const auto& [path, content] : names_) {
        if (path.starts_with(directory + "/"))
          list.push_back(path.substr(directory.size() + 1));
      }
      return list;
    };
    system.sync_directory = [this](const std::string&) -> Status {
      BW_CHECK(Change());
      if (fail_sync)
        return Fail(ErrorCode::kStorageWrite, "sync failed");
      durable_ = names_;
      pending_.clear();
      return Ok();
    };
    system.lock = [this](const std::string& path) -> Result<int> {
      if (locks_.count(path) > 0)
        return Fail(ErrorCode::kConflict, "locked " + path);
      return locks_[path] = ++last_file_;
    };
    return system;
  }

  /// \brief Loses unsynced data, as in a power failure.
  void Crash(const Random& random) {
    fail_after_changes = UINT64_MAX;
    if (const std::size_t kept = random() % (pending_.size() + 1); kept > 0)
      durable_ = pending_[kept - 1];
    pending_.clear();
    names_ = durable_;
    open_.clear();
    locks_.clear();
    for (auto& [path, file] : names_) {
      if (file->before_truncate && random() % 2 == 0) {
        file->data = *file->before_truncate;
      } else if (const std::size_t unsynced = file->data.size() - file->synced;
                 unsynced > 0) {
        file->data.resize(file->synced + random() % (unsynced + 1));
        if (file->data.size() > file->synced && random() % 4 == 0)
          file->data[file->synced +
                     random() % (file->data.size() - file->synced)] ^= 0x55;
      }
      file->before_truncate.reset();
      file->synced = file->data.size();
    }
  }

  /// \brief Removes all files.
  void Wipe() {
    fail_after_changes = UINT64_MAX;
    for (Names* names : {&names_, &durable_})
      names->clear();
    pending_.clear();
    open_.clear();
    locks_.clear();
  }

  /// \returns a copy of all files, to pass to Restore.
  [[nodiscard]] std::map<std::string, std::string> Copy() const {
    std::map<std::string, std::string> copy;
    for (const auto& [path, file] : names_)
      copy[path] = file->data;
    return copy;
  }

  /// \brief Replaces all files with an older copy.
  void Restore(const std::map<std::string, std::string>& copy) {
    Wipe();
    for (const auto& [path, data] : copy)
      names_[path] = std::make_shared<File>(File{data, data.size(), {}});
    durable_ = names_;
  }

  /// \returns the content of a file, so that tests can corrupt it.
  [[nodiscard]] std::string& data(const std::string& path) {
    return names_.at(path)->data;
  }

 private:
  [[nodiscard]] Status Change() {
    if (fail_after_changes == 0)
      return Fail(ErrorCode::kStorageWrite, "power failure");
    --fail_after_changes;
    return Ok();
  }

  Names names_;
  Names durable_;
  std::vector<Names> pending_;
  std::map<int, std::shared_ptr<File>> open_;
  std::map<std::string, int> locks_;
  int last_file_ = 0;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_TESTS_MEMORY_DISK_H_
