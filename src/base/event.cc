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
     "A planned stop began: new work is refused, open work is handed over."},
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
    {EventId::kReloadRequested, kInfo, "reload_asked",
     "SIGHUP has no effect: settings are read only at the start."},
    {EventId::kPeerBuildDiffers, kInfo, "peer_build_differs",
     "Another scheduler host runs a program of other sources."},
    {EventId::kLogLinesDropped, kWarn, "log_lines_dropped",
     "The reader of the log was slow; lines of the lowest levels are missing."},
    {EventId::kRoleChanged, kInfo, "role_changed",
     "A control replica changed its role."},
    {EventId::kLogTailTruncated, kWarn, "log_tail_cut",
     "An incomplete last record was removed from the log at start."},
    {EventId::kStorageFailed, kError, "storage_failed",
     "A write or sync failed; the replica stops voting and acknowledging."},
    {EventId::kSnapshotWritten, kInfo, "snapshot_written",
     "A snapshot was synced and the log before it was removed."},
    {EventId::kSnapshotInstalled, kInfo, "snapshot_installed",
     "A snapshot from the leader replaced the local state."},
    {EventId::kReplicaRejoined, kWarn, "replica_rejoined",
     "A replica without its data directory joined under a new identity."},
    {EventId::kReplicaRegressed, kError, "replica_regressed",
     "A replica runs with an old copy of its data directory and is demoted."},
    {EventId::kLeadershipChanged, kInfo, "leadership_changed",
     "A scheduler host began or ceased to act as the leader."},
    {EventId::kLeaderDiskSlow, kWarn, "leader_disk_slow",
     "Syncs at the leader are slow, so it tries to transfer its leadership."},
    {EventId::kTolerableLossesChanged, kWarn, "tolerable_losses_changed",
     "The number of voters that may be lost before the majority changed."},
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
     "The fleet state is confirmed again: keyed work is accepted."},
    {EventId::kAllotmentChanged, kDebug, "allotment_changed",
     "The number of tasks that this entry host may run for a team changed."},
    {EventId::kEntryRegistered, kInfo, "entry_registered",
     "An entry host registered with a new incarnation."},
    {EventId::kEntryLost, kWarn, "entry_lost",
     "An entry host counts as lost; its allotment is reclaimed."},
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
     "The outcome of a request can't be determined; it is not started again."},
    {EventId::kRequestTakenOver, kInfo, "request_taken_over",
     "The backup became the owner of a request."},
    {EventId::kOwnerFenced, kWarn, "owner_fenced",
     "An unresponsive entry host was fenced; its intents are refused."},
    {EventId::kResultRejected, kWarn, "result_rejected",
     "A result was refused: it is damaged, too large or not final, or it is "
     "not of the attempt in progress."},
    {EventId::kJobApiResponded, kInfo, "desk_answered",
     "The leader responded to a call of the jobs API; `rules` is the version "
     "of the configuration that it used."},
    {EventId::kRelayFailed, kWarn, "relay_failed",
     "No leader responded to a relayed call in time; status 503 means that no "
     "leader received it."},
    {EventId::kLeaderUnreachable, kWarn, "leader_unreachable",
     "The known leader did not respond; the call is sent to another host."},
    {EventId::kJobRejected, kInfo, "job_rejected",
     "A job was rejected under overload; it does not run. `wait_ms` is the "
     "expected time until its first start."},
    {EventId::kWorkerJoined, kInfo, "worker_joined",
     "A worker registered or sent its first heartbeat."},
    {EventId::kWorkerLost, kWarn, "worker_lost",
     "A worker's heartbeat is overdue, or the worker has left."},
    {EventId::kWorkerLeaving, kInfo, "worker_leaving",
     "A worker announced that it is leaving; it gets no new work."},
    {EventId::kWorkerHealthChanged, kWarn, "worker_set_aside",
     "A worker with failed starts or slow runs was throttled or quarantined, "
     "or it has recovered."},
    {EventId::kCallAgentLeft, kWarn, "call_agent_left",
     "A scheduler host that makes calls to workers failed; others make its "
     "calls."},
    {EventId::kCallAgentChanged, kInfo, "call_agent_changed",
     "A scheduler host makes calls to workers again, or is about to stop."},
    {EventId::kWorkerUnlisted, kWarn, "worker_unlisted",
     "A worker reported a pool that no configuration has; it is not used."},
    {EventId::kWorkerLeaveUnclear, kInfo, "worker_leave_unclear",
     "A worker is said to have left, which may be a late message from before "
     "its restart; its runs are not given up."},
    {EventId::kWorkerReportDisputed, kWarn, "worker_report_disputed",
     "A report would replace a worker that still responds; it has no effect."},
    {EventId::kDrainGranted, kInfo, "drain_granted",
     "A host may be drained within its pool's availability budget."},
    {EventId::kDrainDone, kInfo, "drain_done",
     "A draining host has acknowledged the drain and runs no tasks."},
    {EventId::kDrainRefused, kInfo, "drain_refused",
     "A drain would break the availability budget of the pool."},
    {EventId::kHostReturned, kInfo, "host_returned",
     "A host is back in service after maintenance."},
    {EventId::kWaveProgress, kInfo, "wave_progress",
     "A maintenance wave was stored, the platform was ordered to maintain a "
     "host, or the number of hosts due or in maintenance has changed."},
    {EventId::kBufferMove, kInfo, "buffer_move",
     "A host is moved to another pool, returned, or kept although its return "
     "had begun."},
    {EventId::kPlatformFailed, kWarn, "platform_failed",
     "The platform gave no usable response; the call is repeated."},
    {EventId::kTaskMoved, kInfo, "task_moved",
     "A task was stopped on a draining host and is queued again."},
    {EventId::kTaskNotMoved, kInfo, "task_stays",
     "The worker does not support checkpoints, so the drain waits for the "
     "task."},
    {EventId::kPoolSized, kInfo, "pool_judged",
     "The hosts that a pool has, the number it needs and the demand that this "
     "number is computed from."},
    {EventId::kLeaderLoad, kInfo, "leader_load",
     "The work of the leading scheduler in the last second, and its busy "
     "time."},
    {EventId::kZoneEvacuation, kInfo, "zone_evacuation",
     "An order to evacuate a zone or to return it to use was stored or failed, "
     "or a new leader found the zone evacuated."},
    {EventId::kRunOrdered, kInfo, "run_ordered",
     "A start that is stored in the ledger is sent to its worker."},
    {EventId::kRunNotTaken, kInfo, "run_not_taken",
     "A worker refused a start or did not respond; `reason` says which."},
    {EventId::kRunEnded, kInfo, "run_ended",
     "A run ended; listed=no if its worker did not report the end."},
    {EventId::kRunUnexpected, kWarn, "run_stray",
     "A worker reports a run that the ledger does not assign to it; the run is "
     "stopped."},
    {EventId::kRunStopDecided, kInfo, "run_stop_decided",
     "A run is to be stopped; `reason` says why."},
    {EventId::kRunStopOrdered, kInfo, "run_stop_ordered",
     "A stop of a run is sent to its worker."},
    {EventId::kRunSlow, kInfo, "run_slow",
     "A run takes far longer than runs of its queue do; it counts against its "
     "worker."},
    {EventId::kRunEndsMissing, kWarn, "run_ends_missing",
     "A worker has forgotten ends of runs that are not stored in the ledger."},
    {EventId::kCopyStarted, kInfo, "copy_started",
     "A second run of a speculative task starts beside a slow one."},
    {EventId::kCopyEnded, kInfo, "copy_ended",
     "Both runs of a speculative task have ended; `first` is the one that "
     "counts."},
    {EventId::kRunEndsDropped, kWarn, "run_ends_dropped",
     "A list with ends arrived after the departure of its worker; their tasks "
     "run again."},
    {EventId::kRunUnsettled, kWarn, "run_unsettled",
     "It is not known for too long whether a run goes on; `lacks` says what "
     "its "
     "proof still needs."},
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
