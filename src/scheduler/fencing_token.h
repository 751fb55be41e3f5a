#ifndef BORAGEWINCH_SCHEDULER_FENCING_TOKEN_H_
#define BORAGEWINCH_SCHEDULER_FENCING_TOKEN_H_

#include <algorithm>
#include <cstdint>

namespace boragewinch::scheduler {

/// Bits of a token for the join number of a worker: 268 million joins, of which
/// docs/CAPACITY.md expects 1,800 a day. The tokens of 33 million terms fit
/// into the 53 bits that every JSON parser keeps.
inline constexpr int kJoinNumberBits = 28;

/// \returns the fencing token of orders to one incarnation of a worker. It
/// grows with the term, and within a term with each incarnation, so a worker
/// that has carried out an order for its present incarnation ignores all for
/// earlier ones.
/// \param join_number see jobs::Worker::join_number.
[[nodiscard]] constexpr std::uint64_t FencingToken(
    std::uint64_t term,
    std::int64_t join_number) noexcept {
  constexpr std::int64_t kMaxJoinNumber =
      (std::int64_t{1} << kJoinNumberBits) - 1;
  return (term << kJoinNumberBits) |
         static_cast<std::uint64_t>(std::min(join_number, kMaxJoinNumber));
}

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_FENCING_TOKEN_H_
