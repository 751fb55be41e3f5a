#ifndef BORAGEWINCH_RAFT_SNAPSHOT_H_
#define BORAGEWINCH_RAFT_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"
#include "raft/configuration.h"

namespace boragewinch::raft {

/// \brief The state after applying the entry `index`; replaces all entries up
/// to it. Index 0 is the empty state.
struct Snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::uint64_t chain = 0;  ///< ChainHash at `index`
  Configuration configuration;
  std::string state;  ///< serialized state machine, opaque here
};

/// Snapshots are shared by the node and the transfers in progress.
using SnapshotPtr = std::shared_ptr<const Snapshot>;

[[nodiscard]] std::string EncodeSnapshot(const Snapshot& snapshot);

/// \returns the snapshot, or kStorageCorrupt.
[[nodiscard]] Result<Snapshot> DecodeSnapshot(std::string_view bytes);

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_RAFT_SNAPSHOT_H_
