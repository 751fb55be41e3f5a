#ifndef BORAGEWINCH_MODEL_WORKER_TYPES_H_
#define BORAGEWINCH_MODEL_WORKER_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "base/time.h"
#include "model/fleet_types.h"
#include "model/resources.h"

namespace boragewinch {

inline constexpr std::int64_t kMaxSlotsPerWorker = 8;
inline constexpr std::int64_t kMaxConnectionsPerWorker = 64;
inline constexpr Millis kHeartbeatInterval{1'000};
inline constexpr Millis kWorkerLostAfter{3'000};
inline constexpr Millis kTaskLease{30'000};

/// \brief Identifies an attempt to run a request: "<request id>/<attempt>".
struct TaskId {
  RequestId request;
  std::uint32_t attempt = 1;

  // clang-tidy 14 mistakes the generated comparison with 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
  [[nodiscard]] std::string Text() const {
    return request.str() + "/" + std::to_string(attempt);
  }
  /// \returns the task id written as `text`, or kInvalidField.
  [[nodiscard]] static Result<TaskId> Parse(const std::string& text);
};

enum class TaskState { kRunning, kFinished, kFailed, kStopped, kForbidden };

inline constexpr EnumTable<TaskState, 5> kTaskStates{{{
    {TaskState::kRunning, "running"},
    {TaskState::kFinished, "finished"},
    {TaskState::kFailed, "failed"},
    {TaskState::kStopped, "stopped"},
    {TaskState::kForbidden, "forbidden"},
}}};

/// \brief State of a task as reported by its worker. Ended tasks are reported
/// until their result has been acknowledged.
struct TaskReport {
  TaskId task;
  TeamName team;
  TaskState state = TaskState::kRunning;
  Resources usage;  ///< last measurement of the worker; may be outdated
};

/// \brief Heartbeat that a worker sends to every entry host of its zone.
struct WorkerReport {
  HostName host;
  Incarnation incarnation;
  std::uint64_t sequence = 0;  ///< increases with each report of an incarnation
  ZoneName zone;
  RackName rack;
  std::string address;  ///< "IP:port" for start requests
  Resources total;
  std::int64_t slots = kMaxSlotsPerWorker;
  bool leaving = false;
  FleetVersion acknowledged_assignment = 0;
  PoolName acknowledged_pool;
  bool acknowledged_drain = false;
  std::vector<TaskReport> tasks;
};

[[nodiscard]] Json ToJson(const WorkerReport& report);
[[nodiscard]] Result<WorkerReport> WorkerReportFromJson(const Json& json);

/// Maximum size of the progress passed on to the next attempt of a task.
inline constexpr std::size_t kMaxProgressBytes = 64 * 1024;

/// \brief Response of a worker to a start request.
enum class StartResponse { kStarted, kBusy, kLeaving, kDuplicate, kBadTask };

inline constexpr EnumTable<StartResponse, 5> kStartResponses{{{
    {StartResponse::kStarted, "started"},
    {StartResponse::kBusy, "busy"},
    {StartResponse::kLeaving, "leaving"},
    {StartResponse::kDuplicate, "duplicate"},
    {StartResponse::kBadTask, "bad_task"},
}}};

}  // namespace boragewinch

#endif  // BORAGEWINCH_MODEL_WORKER_TYPES_H_
