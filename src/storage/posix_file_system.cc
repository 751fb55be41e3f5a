#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "storage/file_system.h"

namespace boragewinch {

namespace {

constexpr mode_t kFileMode = 0600;

[[nodiscard]] auto SystemError(const std::string& action, int number) {
  return Fail(ErrorCode::kStorageWrite,
              "can't " + action + ": " + std::strerror(number));
}

[[nodiscard]] Result<int> OpenFile(const std::string& path, int flags) {
  for (;;) {
    if (const int file = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
        file >= 0) {
      return file;
    }
    if (errno == ENOENT)
      return Fail(ErrorCode::kStorageMissing, "no file \"" + path + "\"");
    if (errno != EINTR)
      return SystemError("open \"" + path + "\"", errno);
  }
}

[[nodiscard]] Result<std::string> ReadFile(const std::string& path) {
  BW_TRY(const int file, OpenFile(path, O_RDONLY));
  std::string content;
  std::string buffer(64UL * 1024, '\0');
  for (;;) {
    const ssize_t count = ::read(file, buffer.data(), buffer.size());
    if (count > 0) {
      content.append(buffer, 0, count);
      continue;
    }
    if (count < 0 && errno == EINTR)
      continue;
    const int number = errno;
    ::close(file);
    if (count < 0)
      return SystemError("read \"" + path + "\"", number);
    return content;
  }
}

[[nodiscard]] Result<std::vector<std::string>> ListDirectory(
    const std::string& directory) {
  DIR* stream = ::opendir(directory.c_str());
  if (stream == nullptr) {
    return Fail(
        ErrorCode::kStorageMissing,
        "can't open directory \"" + directory + "\": " + std::strerror(errno));
  }
  std::vector<std::string> names;
  while (const dirent* entry = ::readdir(stream)) {
    if (std::string name = entry->d_name; name != "." && name != "..")
      names.push_back(std::move(name));
  }
  ::closedir(stream);
  std::sort(names.begin(), names.end());
  return names;
}

[[nodiscard]] Status SyncDirectory(const std::string& directory) {
  BW_TRY(const int file, OpenFile(directory, O_RDONLY | O_DIRECTORY));
  const int result = ::fsync(file);
  const int number = errno;
  ::close(file);
  if (result != 0)
    return SystemError("sync directory \"" + directory + "\"", number);
  return Ok();
}

[[nodiscard]] Result<int> LockFile(const std::string& path) {
  BW_TRY(const int file, OpenFile(path, O_RDWR | O_CREAT));
  if (::flock(file, LOCK_EX | LOCK_NB) == 0)
    return file;
  const int number = errno;
  ::close(file);
  if (number == EWOULDBLOCK) {
    return Fail(ErrorCode::kConflict,
                "another process has locked \"" + path + "\"");
  }
  return SystemError("lock \"" + path + "\"", number);
}

}  // namespace

FileSystem PosixFileSystem() {
  FileSystem system;
  system.open = [](const std::string& path) {
    return OpenFile(path, O_WRONLY | O_CREAT | O_APPEND);
  };
  system.append = [](int file, std::string_view bytes) -> Result<std::size_t> {
    for (;;) {
      const ssize_t count = ::write(file, bytes.data(), bytes.size());
      if (count > 0)
        return static_cast<std::size_t>(count);
      if (count == 0)
        return SystemError("write", ENOSPC);
      if (errno != EINTR)
        return SystemError("write", errno);
    }
  };
  system.sync = [](int file) -> Status {
    // A failed fdatasync is not retried: the kernel may have dropped the dirty
    // pages, and a second call would then report success.
    if (::fdatasync(file) != 0)
      return SystemError("sync", errno);
    return Ok();
  };
  system.truncate = [](int file, std::uint64_t bytes) -> Status {
    if (::ftruncate(file, static_cast<off_t>(bytes)) != 0)
      return SystemError("truncate", errno);
    return Ok();
  };
  system.close = [](int file) { ::close(file); };
  system.read = ReadFile;
  system.rename = [](const std::string& from, const std::string& to) -> Status {
    if (::rename(from.c_str(), to.c_str()) != 0)
      return SystemError("rename \"" + from + "\"", errno);
    return Ok();
  };
  system.remove = [](const std::string& path) -> Status {
    if (::unlink(path.c_str()) != 0 && errno != ENOENT)
      return SystemError("remove \"" + path + "\"", errno);
    return Ok();
  };
  system.list = ListDirectory;
  system.sync_directory = SyncDirectory;
  system.lock = LockFile;
  return system;
}

Status AppendAll(const FileSystem& file_system,
                 int file,
                 std::string_view bytes) {
  while (!bytes.empty()) {
    BW_TRY(const std::size_t written, file_system.append(file, bytes));
    if (written == 0 || written > bytes.size())
      return Fail(ErrorCode::kStorageWrite,
                  "write returned an invalid byte count");
    bytes.remove_prefix(written);
  }
  return Ok();
}

}  // namespace boragewinch
