#ifndef BORAGEWINCH_FLEET_BOUNDS_H_
#define BORAGEWINCH_FLEET_BOUNDS_H_

#include <cstddef>
#include <cstdint>
#include <limits>

#include "base/time.h"

namespace boragewinch {

/// Bounds of the fleet state: at least twice the design size of 7,100 workers
/// and 306 pools (docs/design.md 1.4).
inline constexpr std::size_t kMaxHosts = 16'384;
inline constexpr std::size_t kMaxPools = 1'024;
inline constexpr std::size_t kMaxTeams = 256;
inline constexpr std::size_t kMaxQueues = 4'096;
/// Includes withdrawn keys, since ids are never reused; about 40 MB when full.
inline constexpr std::size_t kMaxKeys = 262'144;
inline constexpr std::size_t kMaxEntryHosts = 256;
/// Allotments of replaced incarnations that have not been reclaimed yet.
inline constexpr std::size_t kMaxReserved = 1'024;
/// Ended incarnations that may not register again.
inline constexpr std::size_t kMaxFormerIncarnations = 4'096;
inline constexpr std::size_t kMaxStoredOperations = 4'096;
/// Removals kept for deltas; an entry host that lags further behind gets the
/// full state.
inline constexpr std::size_t kMaxRemovals = 4'096;
inline constexpr std::size_t kMaxIdsPerCommand = 1'024;
/// Errors and notes in a stored result: 4,096 results with 100 sheet errors
/// each would take about 60 MB.
inline constexpr std::size_t kMaxResultErrors = 10;
inline constexpr std::size_t kMaxResultNotes = 20;

inline constexpr std::int64_t kMaxShare = 1'000'000;
inline constexpr std::int64_t kMaxLimit = 1'000'000;
inline constexpr std::int64_t kMaxMaintenanceDays = 3'650;
inline constexpr std::int64_t kMaxCounter =
    std::numeric_limits<std::int64_t>::max();

/// An entry host to which neither the control leader nor a zone peer has
/// responded for this long is isolated: it starts no tasks and renews no leases
/// (docs/design.md 4.3).
inline constexpr Millis kIsolationBound{10'000};
/// Maximum age of a sync report that the planners use.
inline constexpr Millis kMaxReportAge{3'000};

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_BOUNDS_H_
