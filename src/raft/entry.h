#ifndef BORAGEWINCH_RAFT_ENTRY_H_
#define BORAGEWINCH_RAFT_ENTRY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/enum_table.h"
#include "base/result.h"

namespace boragewinch::raft {

enum class EntryKind { kNoop, kCommand, kConfiguration };

inline constexpr EnumTable<EntryKind, 3> kEntryKinds{{{
    {EntryKind::kNoop, "noop"},
    {EntryKind::kCommand, "command"},
    {EntryKind::kConfiguration, "configuration"},
}}};

/// \brief One entry of the replicated log; its index follows from its place.
struct Entry {
  std::uint64_t term = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string data;  ///< opaque command, or a configuration as JSON

  friend bool operator==(const Entry&, const Entry&) = default;
};

/// \returns the bytes of a log record.
[[nodiscard]] std::string EncodeEntry(const Entry& entry);

/// \returns the entry, or kStorageCorrupt.
[[nodiscard]] Result<Entry> DecodeEntry(std::string_view bytes);

/// \returns a hash over `entry` and all entries before it, whose hash is
/// `before`. Equal hashes at an index mean equal logs up to it.
[[nodiscard]] std::uint64_t ChainHash(std::uint64_t before, const Entry& entry);

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_RAFT_ENTRY_H_
