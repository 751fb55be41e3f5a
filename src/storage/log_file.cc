#include "storage/log_file.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/hash.h"
#include "storage/bytes.h"

namespace boragewinch {

namespace {

constexpr std::string_view kMarker = "BWREC001";
constexpr std::string_view kPrefix = "log-";
constexpr std::size_t kIndexDigits = 20;
constexpr std::size_t kHeaderBytes = 40;

struct Record {
  std::uint64_t index = 0;
  std::uint64_t synced = 0;
  std::string_view bytes;
};

[[nodiscard]] std::string EncodeRecord(std::uint64_t index,
                                       std::uint64_t synced,
                                       std::string_view bytes) {
  std::string checked;
  checked.reserve(kHeaderBytes + bytes.size());
  PutU64(&checked, bytes.size());
  PutU64(&checked, index);
  PutU64(&checked, synced);
  const std::size_t numbers = checked.size();
  checked.append(bytes);
  std::string record(kMarker);
  record.reserve(kHeaderBytes + bytes.size());
  PutU64(&record, Hash64(checked));
  record.append(checked, 0, numbers);
  record.append(bytes);
  return record;
}

// Decodes the record at the start of `bytes`; nothing if it is damaged.
[[nodiscard]] std::optional<Record> DecodeRecord(std::string_view bytes) {
  ByteReader reader(bytes);
  const auto marker = reader.Take(kMarker.size());
  const auto hash = reader.U64();
  const std::string_view checked = reader.rest();
  const auto size = reader.U64();
  const auto index = reader.U64();
  const auto synced = reader.U64();
  if (marker != kMarker || !synced || *size > kMaxRecordBytes)
    return std::nullopt;
  const auto content = reader.Take(*size);
  if (!content || Hash64(checked.substr(0, 24 + *size)) != *hash)
    return std::nullopt;
  return Record{*index, *synced, *content};
}

// Unsynced bytes can reach the disk in any order, so an intact record after a
// damaged one does not prove corruption. It does if its header says that the
// damaged index was synced.
[[nodiscard]] bool ProvesSynced(std::string_view rest, std::uint64_t index) {
  for (std::size_t at = rest.find(kMarker, 1); at != std::string_view::npos;
       at = rest.find(kMarker, at + 1)) {
    if (const auto record = DecodeRecord(rest.substr(at));
        record && record->index > index && record->synced >= index) {
      return true;
    }
  }
  return false;
}

[[nodiscard]] std::optional<std::uint64_t> SegmentIndex(std::string_view name) {
  if (name.size() != kPrefix.size() + kIndexDigits ||
      !name.starts_with(kPrefix)) {
    return std::nullopt;
  }
  std::uint64_t first = 0;
  const auto [end, error] = std::from_chars(name.data() + kPrefix.size(),
                                            name.data() + name.size(), first);
  if (error != std::errc() || end != name.data() + name.size() || first == 0)
    return std::nullopt;
  return first;
}

}  // namespace

LogFile::LogFile(FileSystem file_system,
                 std::string directory,
                 LogFileOptions options)
    : file_system_(std::move(file_system)),
      directory_(std::move(directory)),
      options_(options) {}

LogFile::~LogFile() {
  CloseCurrent();
}

std::uint64_t LogFile::first_index() const noexcept {
  return segments_.empty() ? 1 : segments_.front().first;
}

std::uint64_t LogFile::next_index() const noexcept {
  return segments_.empty() ? 1 : segments_.back().next();
}

std::string LogFile::Path(std::uint64_t first) const {
  std::string digits = std::to_string(first);
  digits.insert(0, kIndexDigits - digits.size(), '0');
  return directory_ + "/" + std::string(kPrefix) + digits;
}

void LogFile::CloseCurrent() {
  if (file_)
    file_system_.close(*file_);
  file_.reset();
}

Status LogFile::MarkIfFailed(Status status) {
  if (!status)
    failed_ = true;
  return status;
}

Result<LogRecovery> LogFile::Open() {
  BW_TRY(const auto names, file_system_.list(directory_));
  std::vector<std::uint64_t> firsts;
  for (const std::string& name : names) {
    if (const auto first = SegmentIndex(name))
      firsts.push_back(*first);
  }
  std::sort(firsts.begin(), firsts.end());
  LogRecovery recovery;
  if (!firsts.empty())
    recovery.first_index = firsts.front();
  for (const std::uint64_t first : firsts)
    BW_CHECK(ReadSegment(first, first == firsts.back(), &recovery));
  if (segments_.empty()) {
    BW_CHECK(MarkIfFailed(AddSegment(1)));
  } else {
    BW_CHECK(MarkIfFailed(OpenCurrent()));
    if (recovery.truncated_bytes > 0)
      BW_CHECK(MarkIfFailed(
          file_system_.truncate(*file_, segments_.back().bytes())));
    // Also makes bytes durable that an earlier process wrote but did not sync.
    BW_CHECK(Sync());
  }
  return recovery;
}

Status LogFile::ReadSegment(std::uint64_t first,
                            bool last,
                            LogRecovery* recovery) {
  BW_TRY(const std::string content, file_system_.read(Path(first)));
  if (!segments_.empty() && first != next_index()) {
    return Fail(ErrorCode::kStorageCorrupt,
                "log segment should begin at record " +
                    std::to_string(next_index()) + " but begins at record " +
                    std::to_string(first) +
                    ": records are missing or duplicated");
  }
  segments_.push_back({first, {}});
  Segment& segment = segments_.back();
  std::string_view rest = content;
  while (!rest.empty()) {
    const auto record = DecodeRecord(rest);
    if (!record || record->index != segment.next()) {
      // A segment is synced before the next one is started.
      if (!last || record || ProvesSynced(rest, segment.next())) {
        return Fail(ErrorCode::kStorageCorrupt,
                    "log record " + std::to_string(segment.next()) + " in \"" +
                        Path(first) + "\" at byte " +
                        std::to_string(segment.bytes()) + " is damaged");
      }
      recovery->truncated_bytes = rest.size();
      return Ok();
    }
    const std::size_t bytes = kHeaderBytes + record->bytes.size();
    segment.ends.push_back(segment.bytes() + bytes);
    recovery->records.emplace_back(record->bytes);
    rest.remove_prefix(bytes);
  }
  return Ok();
}

Status LogFile::OpenCurrent() {
  CloseCurrent();
  BW_TRY(file_, file_system_.open(Path(segments_.back().first)));
  return Ok();
}

Status LogFile::AddSegment(std::uint64_t first) {
  segments_.push_back({first, {}});
  BW_CHECK(OpenCurrent());
  return file_system_.sync_directory(directory_);
}

Status LogFile::RemoveSegment(std::uint64_t first) {
  BW_CHECK(file_system_.remove(Path(first)));
  return file_system_.sync_directory(directory_);
}

Status LogFile::Append(std::string_view record) {
  if (record.size() > kMaxRecordBytes) {
    return Fail(ErrorCode::kTooLarge,
                "log record has " + std::to_string(record.size()) + " bytes");
  }
  if (failed_ || !file_)
    return Fail(ErrorCode::kStorageWrite, "an earlier log operation failed");
  if (segments_.back().bytes() >= options_.segment_bytes) {
    BW_CHECK(Sync());
    BW_CHECK(MarkIfFailed(AddSegment(next_index())));
  }
  const std::string bytes = EncodeRecord(next_index(), synced_, record);
  BW_CHECK(MarkIfFailed(AppendAll(file_system_, *file_, bytes)));
  Segment& segment = segments_.back();
  segment.ends.push_back(segment.bytes() + bytes.size());
  return Ok();
}

Status LogFile::Sync() {
  if (failed_ || !file_)
    return Fail(ErrorCode::kStorageWrite, "an earlier log operation failed");
  BW_CHECK(MarkIfFailed(file_system_.sync(*file_)));
  synced_ = next_index() - 1;
  return Ok();
}

Status LogFile::TruncateSuffix(std::uint64_t from) {
  if (failed_ || !file_)
    return Fail(ErrorCode::kStorageWrite, "an earlier log operation failed");
  if (from >= next_index())
    return Ok();
  if (from < first_index()) {
    return Fail(ErrorCode::kConflict,
                "record " + std::to_string(from) +
                    " is before the first record of the log");
  }
  return MarkIfFailed(DoTruncateSuffix(from));
}

Status LogFile::DoTruncateSuffix(std::uint64_t from) {
  // Removes the newest segment first, so that a crash in between leaves no gap.
  while (segments_.back().first > from) {
    CloseCurrent();
    const std::uint64_t first = segments_.back().first;
    segments_.pop_back();
    BW_CHECK(RemoveSegment(first));
  }
  Segment& segment = segments_.back();
  segment.ends.resize(from - segment.first);
  if (!file_)
    BW_CHECK(OpenCurrent());
  BW_CHECK(file_system_.truncate(*file_, segment.bytes()));
  // Without this sync, new records could mix with the removed ones after a
  // crash.
  return Sync();
}

Status LogFile::DropPrefix(std::uint64_t first_kept) {
  if (failed_ || !file_)
    return Fail(ErrorCode::kStorageWrite, "an earlier log operation failed");
  while (segments_.size() > 1 && segments_.front().next() <= first_kept) {
    BW_CHECK(MarkIfFailed(RemoveSegment(segments_.front().first)));
    segments_.erase(segments_.begin());
  }
  return Ok();
}

Status LogFile::Reset(std::uint64_t next) {
  if (failed_)
    return Fail(ErrorCode::kStorageWrite, "an earlier log operation failed");
  CloseCurrent();
  while (!segments_.empty()) {
    const std::uint64_t first = segments_.back().first;
    segments_.pop_back();
    BW_CHECK(MarkIfFailed(RemoveSegment(first)));
  }
  synced_ = next - 1;
  return MarkIfFailed(AddSegment(next));
}

}  // namespace boragewinch
