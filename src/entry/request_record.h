#ifndef BORAGEWINCH_ENTRY_REQUEST_RECORD_H_
#define BORAGEWINCH_ENTRY_REQUEST_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/enum_table.h"
#include "base/strong_id.h"
#include "base/time.h"
#include "model/job.h"
#include "model/outcome.h"
#include "model/worker_types.h"

namespace boragewinch {

/// \brief Where a request stands at its owner.
enum class RequestPhase {
  kStoring,      ///< waits for the backup's copy
  kQueued,       ///< waits for a worker
  kIntending,    ///< waits for the backup's acknowledgement of the intent
  kStarting,     ///< the start was sent
  kUnconfirmed,  ///< whether the task runs is being found out
  kRunning,
  kClosing,  ///< waits for the backup before "not run" is answered
  kEnded,
};

inline constexpr EnumTable<RequestPhase, 8> kRequestPhases{{{
    {RequestPhase::kStoring, "storing"},
    {RequestPhase::kQueued, "queued"},
    {RequestPhase::kIntending, "intending"},
    {RequestPhase::kStarting, "starting"},
    {RequestPhase::kUnconfirmed, "unconfirmed"},
    {RequestPhase::kRunning, "running"},
    {RequestPhase::kClosing, "closing"},
    {RequestPhase::kEnded, "ended"},
}}};

/// \brief The worker that an attempt is meant for.
struct Intent {
  std::uint32_t attempt = 0;  ///< 0 before the first one
  HostName worker;
  Incarnation worker_incarnation;
  std::string worker_address;
};

/// \brief How a request ended.
struct Closing {
  Outcome outcome = Outcome::kAccepted;
  RefusalReason reason = RefusalReason::kNone;
  std::string body;  ///< the worker's result
  std::uint64_t body_hash = 0;
};

/// \brief The owner's knowledge of the copy at its backup.
struct BackupCopy {
  EntryName entry;
  Incarnation incarnation;
  std::uint64_t epoch = 0;         ///< the owner's epoch towards this backup
  std::uint64_t acknowledged = 0;  ///< newest acknowledged revision; 0 is none
  TimePoint sent;                  ///< when the present revision was first sent
  TimePoint next_send;
  std::uint32_t tries = 0;
};

/// \brief The move of a running task off a draining host.
struct TaskMove {
  FleetVersion drain = 0;  ///< the assignment that began the drain
  bool settled = false;    ///< the worker has answered: it is not asked again
  std::uint32_t tries = 0;
  TimePoint next_send;
  std::optional<TimePoint> stopped_at;  ///< its end was reported, not yet its
                                        ///< progress
};

/// \brief The owner process of a replica.
struct ReplicaOwner {
  EntryName entry;
  Incarnation incarnation;
  std::uint64_t epoch = 0;
};

/// \brief A request as its owner or its backup keeps it.
struct RequestRecord {
  RequestId id;
  JobSpec spec;
  bool open_queue = false;
  RequestPhase phase = RequestPhase::kStoring;
  Intent intent;
  Closing closing;
  bool started = false;       ///< a start was sent by this process
  bool may_have_run = false;  ///< an attempt elsewhere can't be excluded
  bool cancel_requested = false;
  bool taken_over = false;  ///< accepted by another incarnation
  bool fetched = false;
  TimePoint deadline;  ///< for the start
  TimePoint created;
  TimePoint since;        ///< start of the present phase
  TimePoint lease_until;  ///< the present attempt has ended for certain
  TimePoint next_forbid;
  TimePoint due = TimePoint::max();  ///< entry in the table's due list
  std::uint32_t forbid_tries = 0;
  std::uint32_t bad_starts = 0;
  std::uint32_t missing_reports = 0;  ///< in a row, while running
  std::uint32_t next_attempt = 1;
  std::uint64_t generation = 0;  ///< grows with each take-over
  std::uint64_t revision = 1;    ///< grows with each replicated change
  std::string progress;          ///< the worker's, for the next attempt
  std::optional<TaskMove> move;  ///< of the present attempt
  std::optional<BackupCopy> copy;
  std::optional<ReplicaOwner> owner;  ///< set while this is a replica

  [[nodiscard]] TaskId task() const { return {id, intent.attempt}; }
  [[nodiscard]] bool has_task() const noexcept {
    return phase == RequestPhase::kStarting ||
           phase == RequestPhase::kUnconfirmed ||
           phase == RequestPhase::kRunning;
  }
  /// \returns whether a worker may have been sent a start.
  [[nodiscard]] bool started_or_taken() const noexcept {
    return started || may_have_run || taken_over;
  }
  /// \returns whether every copy holds the present revision.
  [[nodiscard]] bool replicated() const noexcept {
    return !copy || copy->acknowledged >= revision;
  }
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_REQUEST_RECORD_H_
