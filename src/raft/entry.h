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

/// \brief One entry of the replicated log; its position gives its index.
struct Entry {
  std::uint64_t term = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string data;  ///< opaque command, or a configuration as JSON

  friend bool operator==(const Entry&, const Entry&) = default;
};

/// \returns the entry serialized as a log record.
[[nodiscard]] std::string EncodeEntry(const Entry& entry);

/// \returns the entry, or kStorageCorrupt.
[[nodiscard]] Result<Entry> DecodeEntry(std::string_view bytes);

/// \returns the hash chain value at `entry`, given the value at the entry
/// before it. Equal values at an index mean equal logs up to that index.
[[nodiscard]] std::uint64_t ChainHash(std::uint64_t previous,
                                      const Entry& entry);

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_RAFT_ENTRY_H_
