#ifndef BORAGEWINCH_ENTRY_ENTRY_ACTIONS_H_
#define BORAGEWINCH_ENTRY_ENTRY_ACTIONS_H_

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/strong_id.h"
#include "base/time.h"
#include "entry/peer_message.h"
#include "model/fleet_types.h"
#include "model/job.h"
#include "model/worker_types.h"

namespace boragewinch {

/// Number of an open call. Services count their calls from 1; the core counts
/// the calls forwarded by peers from 2^62.
using CallId = std::uint64_t;

/// \brief A caller's submit.
struct SubmitCall {
  CallId call = 0;
  std::string key;   ///< "<key id>.<secret>"; empty without a key
  RequestId ticket;  ///< empty for a plain POST
  JobSpec spec;
  TimePoint deadline;  ///< of the call
};

/// \brief A caller's status, result or cancel call.
struct RequestCall {
  CallId call = 0;
  std::string key;
  RequestId request;
  TimePoint deadline;
};

/// \brief Answers a caller. Emitted exactly once for each call.
struct AnswerCaller {
  CallId call = 0;
  JobAnswer answer;
};

struct SendPeer {
  EntryName entry;
  PeerMessage message;
};

/// \brief Starts a task. The service sends it at most once and reports the
/// response, or its loss, with OnStartResponse. The worker rejects a start that
/// names another worker incarnation or an older assignment with `leaving`. A
/// rejected task id stays rejected, so a duplicate of the start never runs.
struct StartTask {
  HostName host;
  std::string address;
  Incarnation worker_incarnation;
  TaskId task;
  JobSpec spec;
  PoolName pool;
  FleetVersion assignment = 0;
  Millis lease = kTaskLease;
  std::string progress;  ///< of the last stopped attempt; may be empty
};

struct StopTask {
  HostName host;
  std::string address;
  TaskId task;
};

/// \brief Asks a worker never to run `task`. The response goes to
/// OnForbidResponse.
struct ForbidTask {
  HostName host;
  std::string address;
  TaskId task;
};

/// \brief Answers a leave announcement. Emitted exactly once for each.
struct AnswerLeave {
  CallId call = 0;
  bool confirmed = false;  ///< all reachable zone peers have recorded it
};

/// \brief Asks a worker to stop `task` and return its progress as the body of
/// the result. The service sends it once and reports the response, or its
/// loss, with OnCheckpointResponse.
struct CheckpointTask {
  HostName host;
  std::string address;
  TaskId task;
};

using EntryAction = std::variant<AnswerCaller,
                                 SendPeer,
                                 StartTask,
                                 StopTask,
                                 ForbidTask,
                                 AnswerLeave,
                                 CheckpointTask>;

/// \brief A worker's response to a start. A rejection by another incarnation
/// than the start names does not prove that the named one did not run the task:
/// an HTTP client may retry a request whose connection broke.
struct StartReply {
  StartResponse response = StartResponse::kStarted;
  Incarnation incarnation;  ///< of the responding worker
};

/// kForbidden guarantees that this incarnation has not started the task and
/// never will. A worker therefore remembers the ids of ended tasks even after
/// their results were acknowledged.
enum class ForbidState { kForbidden, kRunning, kEnded };

/// \brief What a worker knows about a forbidden task.
struct ForbidResponse {
  ForbidState state = ForbidState::kForbidden;
  Incarnation incarnation;  ///< of the worker
};

enum class CheckpointResponse {
  kStopped,      ///< the task ends as stopped; its result has the progress
  kNotRunning,   ///< the task has ended or was never started
  kUnsupported,  ///< the worker has no checkpoint
};

/// \brief Response to a worker's heartbeat.
struct WorkerReportResponse {
  std::vector<TaskId> renewed;  ///< lease runs from when the heartbeat was sent
  std::vector<TaskId> stop;
  std::vector<TaskId> acknowledged;  ///< results that need not be kept
  bool drain = false;
  PoolName pool;
  FleetVersion assignment = 0;
};

enum class ResultAck {
  kAcknowledged,  ///< the worker may drop the result
  kKept,  ///< the worker keeps it until a heartbeat response acknowledges it
};

/// \brief Contents of the control leader's response to control.sync.
struct ControlResponse {
  TimePoint confirmed_at;  ///< when the call was sent
  bool registered = true;  ///< the ledger knows this incarnation
  std::uint64_t allotment_version = 0;
  std::map<TeamName, std::int64_t> allotment;
  std::vector<KeyId> tombstones;
  std::vector<EntryHost> entries;  ///< of all zones
};

/// \brief Running tasks taken over from another incarnation, whose leases this
/// process renews.
struct TakenOver {
  EntryName entry;
  Incarnation incarnation;
  std::map<TeamName, std::int64_t> running;
};

/// \brief Report of this process to the control leader.
struct ControlReport {
  FleetVersion version = 0;
  std::uint64_t allotment_version = 0;
  std::map<TeamName, std::int64_t> running;   ///< counted against allotments
  std::map<TeamName, std::int64_t> wanted;    ///< running and queued
  std::map<TeamName, std::int64_t> returned;  ///< idle units offered back
  std::vector<TakenOver> taken_over;
  std::vector<UnresponsivePeer> unresponsive;
  std::vector<KeyId> tombstones;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_ENTRY_ACTIONS_H_
