#ifndef BORAGEWINCH_BASE_EVENT_H_
#define BORAGEWINCH_BASE_EVENT_H_

#include <array>
#include <optional>
#include <string_view>

namespace boragewinch {

enum class EventLevel { kDebug, kInfo, kWarn, kError };

/// \brief Numbered log events. Numbers are stable and never reused:
/// 1xxx process, 2xxx replication and storage, 3xxx fleet state,
/// 4xxx requests, 5xxx workers, 6xxx maintenance, 7xxx runs of tasks,
/// 9xxx invariants.
enum class EventId {
  kProcessStarted = 1001,
  kProcessStopping = 1002,
  kProcessStopped = 1003,
  kSettingInvalid = 1004,
  kPortOpen = 1005,
  kCallFailed = 1006,
  kBoundReached = 1007,
  kMalformedMessage = 1008,
  kReloadRequested = 1009,
  kPeerBuildDiffers = 1010,
  kLogLinesDropped = 1011,
  kRoleChanged = 2001,
  kLogTailTruncated = 2002,
  kStorageFailed = 2003,
  kSnapshotWritten = 2004,
  kSnapshotInstalled = 2005,
  kReplicaRejoined = 2006,
  kReplicaRegressed = 2007,
  kLeadershipChanged = 2008,
  kLeaderDiskSlow = 2009,
  kTolerableLossesChanged = 2010,
  kCommandCommitted = 3001,
  kCommandRefused = 3002,
  kStateApplied = 3003,
  kKeyWithdrawn = 3004,
  kFreshnessLost = 3005,
  kFreshnessRegained = 3006,
  kAllotmentChanged = 3007,
  kEntryRegistered = 3008,
  kEntryLost = 3009,
  kRequestAccepted = 4001,
  kRequestRefused = 4002,
  kRequestIntended = 4003,
  kRequestStarted = 4004,
  kRequestEnded = 4005,
  kRequestUnknown = 4006,
  kRequestTakenOver = 4007,
  kOwnerFenced = 4008,
  kResultRejected = 4009,
  kJobApiResponded = 4010,
  kRelayFailed = 4011,
  kLeaderUnreachable = 4012,
  kJobRejected = 4013,
  kWorkerJoined = 5001,
  kWorkerLost = 5002,
  kWorkerLeaving = 5003,
  kWorkerHealthChanged = 5004,
  kCallAgentLeft = 5005,
  kCallAgentChanged = 5006,
  kWorkerUnlisted = 5007,
  kWorkerLeaveUnclear = 5008,
  kWorkerReportDisputed = 5009,
  kDrainGranted = 6001,
  kDrainDone = 6002,
  kDrainRefused = 6003,
  kHostReturned = 6004,
  kWaveProgress = 6005,
  kBufferMove = 6006,
  kPlatformFailed = 6007,
  kTaskMoved = 6008,
  kTaskNotMoved = 6009,
  kPoolSized = 6010,
  kLeaderLoad = 6011,
  kZoneEvacuation = 6012,
  kRunOrdered = 7001,
  kRunNotTaken = 7002,
  kRunEnded = 7003,
  kRunUnexpected = 7004,
  kRunStopDecided = 7005,
  kRunStopOrdered = 7006,
  kRunSlow = 7007,
  kRunEndsMissing = 7008,
  kCopyStarted = 7009,
  kCopyEnded = 7010,
  kRunEndsDropped = 7011,
  kRunUnsettled = 7030,
  kInvariantViolated = 9001,
};

/// \brief Catalogue entry for an event.
struct EventInfo {
  EventId id;
  EventLevel level;
  std::string_view name;
  std::string_view meaning;
};

/// \returns the catalogue entry of an event. event_catalogue_test compares the
/// catalogue with docs/events.md.
[[nodiscard]] const EventInfo& event_info(EventId id) noexcept;

/// \brief The range of all catalogue entries, ordered by number.
struct EventCatalogue {
  const EventInfo* first;
  const EventInfo* last;
  [[nodiscard]] const EventInfo* begin() const noexcept { return first; }
  [[nodiscard]] const EventInfo* end() const noexcept { return last; }
};
[[nodiscard]] EventCatalogue event_catalogue() noexcept;

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_EVENT_H_
