#include "raft/snapshot.h"

#include "storage/bytes.h"

namespace boragewinch::raft {

std::string EncodeSnapshot(const Snapshot& snapshot) {
  const std::string members = WriteJson(ToJson(snapshot.configuration));
  std::string bytes;
  PutU64(&bytes, snapshot.index);
  PutU64(&bytes, snapshot.term);
  PutU64(&bytes, snapshot.chain);
  PutU64(&bytes, members.size());
  return bytes + members + snapshot.state;
}

Result<Snapshot> DecodeSnapshot(std::string_view bytes) {
  ByteReader reader(bytes);
  const auto index = reader.U64();
  const auto term = reader.U64();
  const auto chain = reader.U64();
  const auto size = reader.U64();
  const auto members = reader.Take(size.value_or(kMaxSnapshotBytes));
  if (!size || !members || *index > kMaxIndex || *term > kMaxIndex)
    return Fail(ErrorCode::kStorageCorrupt,
                "snapshot is truncated or holds invalid numbers");
  const auto json = ParseTrustedJson(*members);
  const auto configuration = json ? ConfigurationFromJson(json.value())
                                  : Result<Configuration>(json.error());
  if (!configuration) {
    return Fail(
        ErrorCode::kStorageCorrupt,
        "invalid configuration in snapshot: " + configuration.error().Text());
  }
  return Snapshot{*index, *term, *chain, configuration.value(),
                  std::string(reader.rest())};
}

}  // namespace boragewinch::raft
