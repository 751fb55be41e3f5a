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

/// Number of an open call; the service counts up from 1 (below 2^62).
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

/// \brief Starts a task. The service sends it once, never twice, and reports
/// the answer or its loss with OnStartAnswer. The worker refuses a start that
/// names another worker incarnation or an older assignment with `leaving`,
/// and refuses a task id for good once it has refused it: a repeated copy of
/// a refused start must not run.
struct StartTask {
  HostName host;
  std::string address;
  Incarnation worker_incarnation;
  TaskId task;
  JobSpec spec;
  PoolName pool;
  FleetVersion assignment = 0;
  Millis lease = kTaskLease;
  std::string progress;  ///< of the last attempt that was stopped; may be empty
};

struct StopTask {
  HostName host;
  std::string address;
  TaskId task;
};

/// \brief Asks a worker to refuse `task` from now on. Answered by
/// OnForbidAnswer.
struct ForbidTask {
  HostName host;
  std::string address;
  TaskId task;
};

/// \brief Answers a leave announcement. Emitted exactly once for each.
struct AnswerLeave {
  CallId call = 0;
  bool confirmed = false;  ///< every reachable zone peer knows the mark
};

/// \brief Asks a worker to end `task` as stopped, with its progress as the
/// body of the result. The service sends it once and reports the answer or its
/// loss with OnCheckpointAnswer.
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

/// \brief A worker's answer to a start. A refusal by another incarnation than
/// the start names does not prove that the named one did not run it: an HTTP
/// client may repeat a request whose connection broke.
struct StartReply {
  StartAnswer answer = StartAnswer::kStarted;
  Incarnation incarnation;  ///< of the worker that answers
};

/// kForbidden is a promise: this incarnation has not started the task and never
/// will. A worker remembers the ids of ended tasks for that, also after their
/// results were acknowledged.
enum class ForbidState { kForbidden, kRunning, kEnded };

/// \brief What a worker knows about a forbidden task.
struct ForbidAnswer {
  ForbidState state = ForbidState::kForbidden;
  Incarnation incarnation;  ///< of the worker
};

enum class CheckpointAnswer {
  kStopped,      ///< the task ends as stopped; its result has the progress
  kNotRunning,   ///< the task has ended or was never started
  kUnsupported,  ///< the worker has no checkpoint
};

/// \brief Answer to a worker's heartbeat.
struct WorkerReportAnswer {
  std::vector<TaskId> renewed;  ///< lease counts from the heartbeat's sending
  std::vector<TaskId> stop;
  std::vector<TaskId> acknowledged;  ///< results that need not be kept
  bool drain = false;
  PoolName pool;
  FleetVersion assignment = 0;
};

enum class ResultAnswer {
  kAcknowledged,  ///< the worker may drop the result
  kKept,  ///< the worker keeps it until a heartbeat answer acknowledges it
};

/// \brief What the control leader's answer to control.sync contains.
struct ControlAnswer {
  TimePoint confirmed_at;  ///< when the answered call was sent
  bool registered = true;  ///< the ledger knows this incarnation
  std::uint64_t allotment_version = 0;
  std::map<TeamName, std::int64_t> allotment;
  std::vector<KeyId> tombstones;
  std::vector<EntryHost> entries;  ///< of all zones
};

/// \brief Records of another incarnation that this process renews.
struct TakenOver {
  EntryName entry;
  Incarnation incarnation;
  std::map<TeamName, std::int64_t> running;
};

/// \brief What this process tells the control leader.
struct ControlReport {
  FleetVersion version = 0;
  std::uint64_t allotment_version = 0;
  std::map<TeamName, std::int64_t> running;   ///< counted against allotments
  std::map<TeamName, std::int64_t> wanted;    ///< running and queued
  std::map<TeamName, std::int64_t> returned;  ///< offered, not spent
  std::vector<TakenOver> taken_over;
  std::vector<SilentPeer> silent;
  std::vector<KeyId> tombstones;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_ENTRY_ACTIONS_H_
