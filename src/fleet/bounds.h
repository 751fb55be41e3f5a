#ifndef BORAGEWINCH_FLEET_BOUNDS_H_
#define BORAGEWINCH_FLEET_BOUNDS_H_

#include <cstddef>
#include <cstdint>
#include <limits>

#include "base/time.h"

namespace boragewinch {

/// Sizes of the fleet state. The first design size is 7,100 workers and 306
/// pools (docs/design.md 1.4); each bound is at least twice that.
inline constexpr std::size_t kMaxHosts = 16'384;
inline constexpr std::size_t kMaxPools = 1'024;
inline constexpr std::size_t kMaxTeams = 256;
inline constexpr std::size_t kMaxQueues = 4'096;
/// Withdrawn keys stay, since ids are never reused; about 40 MB when full.
inline constexpr std::size_t kMaxKeys = 262'144;
inline constexpr std::size_t kMaxEntryHosts = 256;
/// Old incarnations whose allotment waits for a reclaim.
inline constexpr std::size_t kMaxReserved = 1'024;
/// Incarnations that may not register again.
inline constexpr std::size_t kMaxFormerIncarnations = 4'096;
inline constexpr std::size_t kMaxAnswers = 4'096;
/// Removals kept for deltas; an entry host that is further behind gets the
/// whole state.
inline constexpr std::size_t kMaxRemovals = 4'096;
inline constexpr std::size_t kMaxIdsPerCommand = 1'024;
/// Bounds an answer in the table: 4,096 answers of 100 sheet errors would hold
/// about 60 MB.
inline constexpr std::size_t kMaxAnswerErrors = 10;
inline constexpr std::size_t kMaxAnswerNotes = 20;

inline constexpr std::int64_t kMaxShare = 1'000'000;
inline constexpr std::int64_t kMaxLimit = 1'000'000;
inline constexpr std::int64_t kMaxMaintenanceDays = 3'650;
inline constexpr std::int64_t kMaxCounter =
    std::numeric_limits<std::int64_t>::max();

/// An entry host that nobody has answered for this long dispatches nothing and
/// renews no lease (docs/design.md 4.3).
inline constexpr Millis kIsolationBound{10'000};
/// A sync report older than this says nothing about the present.
inline constexpr Millis kReportFresh{3'000};

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_BOUNDS_H_
