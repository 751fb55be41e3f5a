#ifndef BORAGEWINCH_JOBS_JOB_TYPES_H_
#define BORAGEWINCH_JOBS_JOB_TYPES_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "base/enum_table.h"
#include "base/json.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "base/time.h"
#include "model/resources.h"

namespace boragewinch::jobs {

using JobId = StrongId<struct JobTag>;
using WorkerId = StrongId<struct WorkerTag>;

/// Milliseconds since the Unix epoch, for times that are stored or exchanged
/// with other processes.
using UnixMillis = std::int64_t;

/// Limits on the texts of a request, which only its decoder checks: an entry
/// that was stored must be readable by every replica, whatever its limits are.
inline constexpr std::size_t kMaxNameBytes = 128;
inline constexpr std::size_t kMaxTextBytes = 2'048;
/// The 500 ends that a worker lists at a time fit into one log entry.
inline constexpr std::size_t kMaxCheckpointBytes = 4'096;

/// Limits on one job; a larger one is rejected.
inline constexpr std::size_t kMaxPayloadBytes = 4'096;
inline constexpr std::size_t kMaxSteps = 64;
inline constexpr std::int64_t kMaxTasksPerStep = 10'000;
inline constexpr std::int64_t kMaxTasksPerJob = 20'000;
inline constexpr std::int64_t kMaxRepeats = 100'000;

/// \brief Specification of a step: a group of identical tasks of a job.
struct StepSpec {
  std::int64_t tasks = 1;
  Resources request;   ///< per task
  Millis estimate{0};  ///< expected duration of a task, 0 if unknown
  std::vector<std::uint32_t> depends_on;  ///< indexes of earlier steps
  bool checkpointing = false;
  bool gang = false;  ///< tasks make progress only while all are running
  bool rack_sensitive = false;  ///< slower when spread over several racks
  bool speculative = false;   ///< several copies of a task may run in parallel
  bool long_running = false;  ///< runs until the job is cancelled
  bool best_effort = false;  ///< uses only CPU time that other tasks leave idle
  std::string required_label;
  RackName data_rack;
  std::int64_t max_per_worker = 0;  ///< 0: unlimited
  std::string image;
  Millis latency_target{0};  ///< tail latency of a long-running task
  /// Maintenance stops a task only while fewer tasks of the step than this are
  /// unavailable, for whatever reason; 0: no limit.
  std::int64_t max_unavailable = 0;
};

/// \brief What a caller submits.
struct JobSpec {
  std::string payload;  ///< passed unchanged to each task
  std::vector<StepSpec> steps;
  std::int64_t repeats = 0;  ///< 0: runs once, immediately
  UnixMillis first_due = 0;
  Millis interval{0};

  [[nodiscard]] std::int64_t occurrences() const noexcept {
    return repeats > 0 ? repeats : 1;
  }
  [[nodiscard]] UnixMillis due(std::int64_t occurrence) const noexcept {
    return repeats > 0 ? first_due + occurrence * interval.count() : 0;
  }
};

/// \returns the first error found in `spec`: kInvalidField or kTooLarge.
[[nodiscard]] Status CheckJobSpec(const JobSpec& spec);

/// Largest number in a job, a configuration or a batch: the largest integer
/// that every JSON reader represents exactly.
inline constexpr std::int64_t kMaxNumber = (std::int64_t{1} << 53) - 1;

/// \brief Reads a text of any length from a stored entry or snapshot.
/// \returns kMissingField or kInvalidField.
[[nodiscard]] Result<std::string> StoredText(const Json& object,
                                             const char* name);
/// \brief Like StoredText, with an empty text for an absent member.
[[nodiscard]] Result<std::string> StoredTextOrEmpty(const Json& object,
                                                    const char* name);

/// \brief Encodes amounts without the bounds that model/resources.h sets for
/// one host: a customer's limit covers the whole fleet.
/// \returns [cpu_millis, memory_mb, accelerators].
[[nodiscard]] Json ResourcesToJson(const Resources& amount);
/// \returns what ResourcesToJson wrote, or kInvalidField.
[[nodiscard]] Result<Resources> ResourcesFromJson(const Json& json);

[[nodiscard]] Json ToJson(const JobSpec& spec);
/// \returns the object that ToJson wrote, or kInvalidField.
[[nodiscard]] Result<JobSpec> JobSpecFromJson(const Json& json);

/// \brief Identifies one task of one occurrence of a job.
struct TaskName {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const TaskName&, const TaskName&) = default;
  friend bool operator<(const TaskName& a, const TaskName& b) noexcept {
    return std::tie(a.job, a.occurrence, a.step, a.index) <
           std::tie(b.job, b.occurrence, b.step, b.index);
  }
  /// \returns "job/occurrence/step/index", for logs.
  [[nodiscard]] std::string Text() const {
    return job.str() + "/" + std::to_string(occurrence) + "/" +
           std::to_string(step) + "/" + std::to_string(index);
  }
};

/// \brief Identifies one run (attempt) of a task. Run numbers of a task
/// increase and are never reused.
struct RunName {
  TaskName task;
  std::uint32_t number = 0;

  friend bool operator==(const RunName&, const RunName&) = default;
  friend bool operator<(const RunName& a, const RunName& b) noexcept {
    return std::tie(a.task, a.number) < std::tie(b.task, b.number);
  }
};

[[nodiscard]] Json ToJson(const RunName& run);
/// \returns the name that ToJson wrote, or kInvalidField.
[[nodiscard]] Result<RunName> RunNameFromJson(const Json& row);

/// \brief Identifies one incarnation of a worker. A worker that restarts under
/// the same id has a new start time and has lost its earlier runs.
struct WorkerIncarnation {
  WorkerId id;
  UnixMillis start_time = 0;

  friend bool operator==(const WorkerIncarnation&,
                         const WorkerIncarnation&) = default;
  friend bool operator<(const WorkerIncarnation& a,
                        const WorkerIncarnation& b) noexcept {
    return std::tie(a.id, a.start_time) < std::tie(b.id, b.start_time);
  }
  [[nodiscard]] std::string Text() const {
    return id.str() + "@" + std::to_string(start_time);
  }
};

/// \brief How a run ended. The worker reports the values up to kGangIncomplete;
/// the scheduler determines the rest.
enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kGangMemberEnded,  ///< another member of the gang ended
  kGangIncomplete,   ///< the other members of the gang did not start
  kRejected,         ///< the worker rejected the start
  kLost,  ///< its worker departed, did not respond until every lease had
          ///< expired, or no longer has the run
};

/// \returns whether a worker reports this end, of a run that it has executed.
[[nodiscard]] constexpr bool ReportedByWorker(RunEnd how) noexcept {
  return how != RunEnd::kRejected && how != RunEnd::kLost;
}

inline constexpr EnumTable<RunEnd, 8> kRunEnds{{{
    {RunEnd::kDone, "done"},
    {RunEnd::kFailed, "failed"},
    {RunEnd::kStopped, "stopped"},
    {RunEnd::kLeaseExpired, "lapsed"},
    {RunEnd::kGangMemberEnded, "broken"},
    {RunEnd::kGangIncomplete, "alone"},
    {RunEnd::kRejected, "rejected"},
    {RunEnd::kLost, "lost"},
}}};

enum class JobState { kQueued, kRunning, kCompleted, kFailed, kCanceled };

inline constexpr EnumTable<JobState, 5> kJobStates{{{
    {JobState::kQueued, "queued"},
    {JobState::kRunning, "running"},
    {JobState::kCompleted, "completed"},
    {JobState::kFailed, "failed"},
    {JobState::kCanceled, "canceled"},
}}};

}  // namespace boragewinch::jobs

#endif  // BORAGEWINCH_JOBS_JOB_TYPES_H_
