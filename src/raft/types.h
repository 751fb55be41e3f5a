#ifndef BORAGEWINCH_RAFT_TYPES_H_
#define BORAGEWINCH_RAFT_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "base/enum_table.h"
#include "base/strong_id.h"
#include "base/time.h"

namespace boragewinch::raft {

/// \brief `<host>.<16 hexadecimal digits>`. The digits are random for each new
/// data directory, so a replica that has lost its directory gets a new
/// identity.
using ReplicaId = StrongId<struct ReplicaTag>;

/// \returns the host part of a replica id.
[[nodiscard]] inline std::string HostOf(const ReplicaId& id) {
  return id.str().substr(0, id.str().rfind('.'));
}

/// \brief Random number generator, seeded by the caller.
using RandomSource = std::function<std::uint64_t()>;

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

inline constexpr EnumTable<Role, 4> kRoles{{{
    {Role::kFollower, "follower"},
    {Role::kPreCandidate, "pre_candidate"},
    {Role::kCandidate, "candidate"},
    {Role::kLeader, "leader"},
}}};

/// Term of the entry that forms a cluster; every first member stores the same
/// entry. Leaders have later terms.
inline constexpr std::uint64_t kFormTerm = 1;

/// Limits on messages from other replicas.
inline constexpr std::size_t kMaxReplicas = 15;
inline constexpr std::size_t kMaxIdBytes = 96;
inline constexpr std::size_t kMaxCommandBytes = 4UL * 1024 * 1024;
inline constexpr std::size_t kMaxSnapshotBytes = 256UL * 1024 * 1024;
/// Lowest rate at which entries are assumed to reach a follower: a host's link
/// of 200 Mbit/s (25,000 bytes/ms) with 25 transfers at once.
inline constexpr std::size_t kMinTransferBytesPerMs = 1'000;

/// \returns the longest time that a message of this size is assumed to be on
/// its way.
[[nodiscard]] constexpr Millis MaxTransferTime(std::size_t bytes) {
  return Millis(static_cast<std::int64_t>(bytes / kMinTransferBytesPerMs));
}

/// \returns the timeout of a call that carries a message of this size. It is
/// longer than MaxTransferTime, since a call that times out discards what was
/// sent of it.
[[nodiscard]] constexpr Millis StepTimeout(std::size_t bytes) {
  return Millis(1'000) + 4 * MaxTransferTime(bytes);
}

/// Terms and indexes stay below 2^53, so that JSON numbers hold them exactly.
inline constexpr std::uint64_t kMaxIndex = (1ULL << 53) - 1;

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_RAFT_TYPES_H_
