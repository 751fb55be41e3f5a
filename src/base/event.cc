#include "base/event.h"

#include <algorithm>
#include <iterator>

namespace boragewinch {

namespace {

using enum EventLevel;

constexpr EventInfo kCatalogue[] = {
    {EventId::kProcessStarted, kInfo, "process_started",
     "The process has checked its settings and begins to serve."},
    {EventId::kProcessStopping, kInfo, "process_stopping",
     "A planned stop began: no new work is taken, open work is handed over."},
    {EventId::kProcessStopped, kInfo, "process_stopped",
     "The planned stop is complete."},
    {EventId::kSettingInvalid, kError, "setting_invalid",
     "A setting is missing or out of range; the process exits with code 2."},
    {EventId::kPortOpen, kInfo, "port_open", "A port accepts connections."},
    {EventId::kCallFailed, kDebug, "call_failed",
     "A call to another process failed or timed out; it is retried."},
    {EventId::kBoundReached, kWarn, "bound_reached",
     "A queue or table is full; further entries are refused."},
    {EventId::kMalformedMessage, kWarn, "malformed_message",
     "A message could not be parsed and was refused."},
    {EventId::kRoleChanged, kInfo, "role_changed",
     "A control replica changed its role."},
    {EventId::kLogTailCut, kWarn, "log_tail_cut",
     "An incomplete last record was removed from the log at start."},
    {EventId::kStorageFailed, kError, "storage_failed",
     "A write or sync failed; the replica stops voting and acknowledging."},
    {EventId::kSnapshotWritten, kInfo, "snapshot_written",
     "A snapshot was synced and the log before it was removed."},
    {EventId::kSnapshotInstalled, kInfo, "snapshot_installed",
     "A snapshot from the leader replaced the local state."},
    {EventId::kReplicaRejoined, kWarn, "replica_rejoined",
     "A replica without its data folder joined under a new identity."},
    {EventId::kReplicaRegressed, kError, "replica_regressed",
     "A replica runs with an old copy of its data folder and is demoted."},
    {EventId::kCommandCommitted, kInfo, "command_committed",
     "A command is synced on a majority of control replicas."},
    {EventId::kCommandRefused, kInfo, "command_refused",
     "A command was refused and changed nothing."},
    {EventId::kStateApplied, kDebug, "state_applied",
     "A newer version of the fleet state is in use."},
    {EventId::kKeyWithdrawn, kInfo, "key_withdrawn",
     "A key was withdrawn and is refused from now on."},
    {EventId::kFreshnessLost, kWarn, "freshness_lost",
     "No leader confirmation within the bound: keyed work is refused."},
    {EventId::kFreshnessRegained, kInfo, "freshness_regained",
     "The fleet state is confirmed again: keyed work is taken."},
    {EventId::kAllotmentChanged, kDebug, "allotment_changed",
     "The number of tasks that this entry host may run for a team changed."},
    {EventId::kEntryRegistered, kInfo, "entry_registered",
     "An entry host registered with a new incarnation."},
    {EventId::kEntryLost, kWarn, "entry_lost",
     "An entry host is counted as lost; its allotment returns."},
    {EventId::kRequestAccepted, kDebug, "request_accepted",
     "A request is stored at its owner and its backup."},
    {EventId::kRequestRefused, kInfo, "request_refused",
     "A request was refused and has not run."},
    {EventId::kRequestIntended, kDebug, "request_intended",
     "The backup has acknowledged the start of a request."},
    {EventId::kRequestStarted, kDebug, "request_started",
     "A worker has started the request."},
    {EventId::kRequestEnded, kDebug, "request_ended",
     "The outcome of a request is known."},
    {EventId::kRequestUnknown, kWarn, "request_unknown",
     "The outcome of a request can't be known; it is not started again."},
    {EventId::kRequestTakenOver, kInfo, "request_taken_over",
     "The backup became the owner of a request."},
    {EventId::kOwnerFenced, kWarn, "owner_fenced",
     "A silent entry host was fenced; its intents are refused."},
    {EventId::kResultRejected, kWarn, "result_rejected",
     "A result was torn, foreign or already known, and was refused."},
    {EventId::kWorkerJoined, kInfo, "worker_joined",
     "A worker announced itself."},
    {EventId::kWorkerLost, kWarn, "worker_lost",
     "A worker's heartbeat is overdue."},
    {EventId::kWorkerLeaving, kInfo, "worker_leaving",
     "A worker announced that it leaves; it gets no new work."},
    {EventId::kWorkerSetAside, kWarn, "worker_set_aside",
     "A worker fails what it starts and gets no new work for a while."},
    {EventId::kDrainGranted, kInfo, "drain_granted",
     "A host may be drained within its pool's availability budget."},
    {EventId::kDrainDone, kInfo, "drain_done",
     "A draining host has no tasks and every entry host knows of it."},
    {EventId::kDrainRefused, kInfo, "drain_refused",
     "A drain would break the availability budget of the pool."},
    {EventId::kHostReturned, kInfo, "host_returned",
     "A host is back in service after maintenance."},
    {EventId::kWaveProgress, kInfo, "wave_progress",
     "A maintenance wave moved on or waits, with the reason."},
    {EventId::kBufferMove, kInfo, "buffer_move",
     "A spare host is lent to a pool, comes back or stays after all."},
    {EventId::kPlatformFailed, kWarn, "platform_failed",
     "The platform gave no usable answer about a host; it is asked again."},
    {EventId::kTaskMoved, kInfo, "task_moved",
     "A task was stopped on a draining host and is queued again."},
    {EventId::kTaskStays, kInfo, "task_stays",
     "The worker has no checkpoint, so the drain waits for the task."},
    {EventId::kInvariantViolated, kError, "invariant_violated",
     "An internal check failed; the action was refused. Report this."},
};

}  // namespace

const EventInfo& event_info(EventId id) noexcept {
  const auto* found =
      std::find_if(std::begin(kCatalogue), std::end(kCatalogue),
                   [id](const EventInfo& info) { return info.id == id; });
  return found == std::end(kCatalogue) ? kCatalogue[0] : *found;
}

EventCatalogue event_catalogue() noexcept {
  return {std::begin(kCatalogue), std::end(kCatalogue)};
}

}  // namespace boragewinch
