#include "storage/snapshot_file.h"

#include <utility>

#include "base/hash.h"
#include "storage/bytes.h"

namespace boragewinch {

namespace {

constexpr std::string_view kMagic = "BWFILE01";

}  // namespace

SnapshotFile::SnapshotFile(FileSystem file_system,
                           std::string directory,
                           const std::string& name)
    : file_system_(std::move(file_system)),
      directory_(std::move(directory)),
      path_(directory_ + "/" + name) {}

Status SnapshotFile::Write(std::string_view content) const {
  const std::string temporary = path_ + ".tmp";
  std::string header(kMagic);
  PutU64(&header, content.size());
  PutU64(&header, Hash64(content));
  BW_TRY(const int file, file_system_.open(temporary));
  const auto write = [&]() -> Status {
    // A crash may have left a temporary file.
    BW_CHECK(file_system_.truncate(file, 0));
    BW_CHECK(AppendAll(file_system_, file, header));
    BW_CHECK(AppendAll(file_system_, file, content));
    return file_system_.sync(file);
  };
  const Status written = write();
  file_system_.close(file);
  BW_CHECK(written);
  BW_CHECK(file_system_.rename(temporary, path_));
  return file_system_.sync_directory(directory_);
}

Result<std::optional<std::string>> SnapshotFile::Read() const {
  auto bytes = file_system_.read(path_);
  if (!bytes) {
    if (bytes.error().code == ErrorCode::kStorageMissing)
      return std::optional<std::string>();
    return outcome::failure(bytes.error());
  }
  ByteReader reader(bytes.value());
  const auto magic = reader.Take(kMagic.size());
  const auto size = reader.U64();
  const auto hash = reader.U64();
  if (magic != kMagic || !size || !hash || reader.rest().size() != *size ||
      Hash64(reader.rest()) != *hash) {
    return Fail(
        ErrorCode::kStorageCorrupt,
        "\"" + path_ + "\" is truncated or does not match its checksum");
  }
  return std::optional<std::string>(std::string(reader.rest()));
}

}  // namespace boragewinch
