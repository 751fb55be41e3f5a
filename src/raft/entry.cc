#include "raft/entry.h"

#include "base/hash.h"
#include "storage/bytes.h"

namespace boragewinch::raft {

std::string EncodeEntry(const Entry& entry) {
  std::string bytes;
  PutU64(&bytes, entry.term);
  PutU64(&bytes, static_cast<std::uint64_t>(entry.kind));
  return bytes + entry.data;
}

Result<Entry> DecodeEntry(std::string_view bytes) {
  ByteReader reader(bytes);
  const auto term = reader.U64();
  const auto kind = reader.U64();
  if (!kind || *kind >= kEntryKinds.entries.size())
    return Fail(ErrorCode::kStorageCorrupt,
                "log record does not hold a valid entry");
  return Entry{*term, kEntryKinds.entries[*kind].first,
               std::string(reader.rest())};
}

std::uint64_t ChainHash(std::uint64_t previous, const Entry& entry) {
  std::string bytes;
  PutU64(&bytes, previous);
  return Hash64(bytes + EncodeEntry(entry));
}

}  // namespace boragewinch::raft
