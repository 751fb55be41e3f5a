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

/// \brief Phase of a request at its owner.
enum class RequestPhase {
  kStoring,      ///< waits until the backup has stored it
  kQueued,       ///< waits for a worker
  kIntending,    ///< waits for the backup's acknowledgement of the intent
  kStarting,     ///< the start was sent
  kUnconfirmed,  ///< unknown whether the task runs; being resolved
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

/// \brief The worker chosen for an attempt, replicated before the start.
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

/// \brief The owner's replication state towards its backup.
struct BackupState {
  EntryName entry;
  Incarnation incarnation;
  std::uint64_t epoch = 0;         ///< the owner's epoch towards this backup
  std::uint64_t acknowledged = 0;  ///< newest acknowledged revision; 0 is none
  TimePoint sent;                  ///< when the current revision was first sent
  TimePoint next_send;
  std::uint32_t attempts = 0;
};

/// \brief The move of a running task off a draining host.
struct TaskMove {
  FleetVersion drain = 0;  ///< the assignment that started the drain
  bool settled = false;    ///< the worker has answered; no further attempt
  std::uint32_t attempts = 0;
  TimePoint next_send;
  /// When its end was reported, while its progress is still missing.
  std::optional<TimePoint> stopped_at;
};

/// \brief The owner of a replica.
struct ReplicaOwner {
  EntryName entry;
  Incarnation incarnation;
  std::uint64_t epoch = 0;
};

/// \brief A request as stored by its owner or its backup.
struct RequestRecord {
  RequestId id;
  JobSpec spec;
  bool open_queue = false;
  RequestPhase phase = RequestPhase::kStoring;
  Intent intent;
  Closing closing;
  /// A start was sent, and the worker has not ruled out that the task ran.
  bool started = false;
  /// An attempt may have run, at this or at another owner. Never reset.
  bool may_have_run = false;
  bool cancel_requested = false;
  bool taken_over = false;  ///< by this process, from another owner
  bool fetched = false;     ///< the result was sent to a caller
  TimePoint deadline;       ///< latest time of the start
  TimePoint created;
  TimePoint since;        ///< start of the current phase
  TimePoint lease_until;  ///< the current attempt has ended by then
  TimePoint next_forbid;
  TimePoint due = TimePoint::max();  ///< key in the table's due list
  std::uint32_t forbid_attempts = 0;
  std::uint32_t rejected_starts = 0;  ///< rejected as bad_task
  std::uint32_t missing_reports = 0;  ///< consecutive, while running
  std::uint32_t next_attempt = 1;
  std::uint64_t generation = 0;  ///< incremented by each takeover
  std::uint64_t revision = 1;    ///< incremented by each replicated change
  std::string progress;          ///< checkpoint for the next attempt
  std::optional<TaskMove> move;  ///< of the current attempt
  std::optional<BackupState> backup;
  std::optional<ReplicaOwner> owner;  ///< set only in a replica

  [[nodiscard]] TaskId task() const { return {id, intent.attempt}; }
  [[nodiscard]] bool has_task() const noexcept {
    return phase == RequestPhase::kStarting ||
           phase == RequestPhase::kUnconfirmed ||
           phase == RequestPhase::kRunning;
  }
  /// \returns whether a worker may have been sent a start.
  [[nodiscard]] bool may_have_started() const noexcept {
    return started || may_have_run || taken_over;
  }
  /// \returns whether the backup, if any, has stored the current revision.
  [[nodiscard]] bool replicated() const noexcept {
    return !backup || backup->acknowledged >= revision;
  }
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_REQUEST_RECORD_H_
