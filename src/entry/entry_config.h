#ifndef BORAGEWINCH_ENTRY_ENTRY_CONFIG_H_
#define BORAGEWINCH_ENTRY_ENTRY_CONFIG_H_

#include <cstddef>
#include <cstdint>

#include "base/strong_id.h"
#include "base/time.h"
#include "fleet/bounds.h"

namespace boragewinch {

/// Keyed work is refused when the last leader confirmation is older than this.
inline constexpr Millis kFreshnessBound{5'000};
/// A backup takes over the records of an owner from which it has received no
/// message for this long.
inline constexpr Millis kOwnerTimeout{3'000};
inline constexpr Millis kGossipInterval{250};
/// A quarter of the 256 MB that an entry host may use (docs/design.md 1.4).
inline constexpr std::size_t kDefaultRecordBytes = 64UL * 1024 * 1024;

/// \brief Identity, limits and timeouts of one entry host process.
struct EntryConfig {
  ZoneName zone;
  EntryName name;
  Incarnation incarnation;

  std::size_t max_records = 100'000;  ///< own records and replicas together
  std::size_t max_queued_per_queue = 20'000;
  std::size_t max_calls = 20'000;
  std::size_t max_results = 50'000;
  /// Size of jobs, progress and results in own records and replicas. Results of
  /// admitted jobs are always accepted, so they may exceed it.
  std::size_t max_record_bytes = kDefaultRecordBytes;
  std::size_t max_peers = 64;
  std::size_t max_workers = 10'000;
  std::size_t max_tombstones = 100'000;
  Millis result_retention{10L * 60 * 1000};
  Millis ticket_lifetime{10L * 60 * 1000};  ///< at most result_retention
  Millis start_timeout{5'000};  ///< then it is unknown whether the task runs
  /// A repeatable job is queued after this even if no backup has stored it.
  Millis replication_timeout{1'000};
  Millis closing_timeout{30'000};  ///< then the outcome is unknown
  Millis find_timeout{1'000};      ///< for the search of a client_request_id
  Millis initial_backoff{200};
  Millis max_backoff{2'000};
  /// A repeatable task on a draining host is moved if it has run this long and
  /// is expected to run as long again.
  Millis drain_move_after{30'000};
  /// Longest wait for the progress of a stopped task.
  Millis progress_timeout{5'000};
  std::uint32_t max_rejected_starts = 20;  ///< starts rejected as bad_task
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_ENTRY_CONFIG_H_
