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

/// Milliseconds since the Unix epoch: times that outlive a process or that are
/// agreed with callers.
using UnixMillis = std::int64_t;

/// Bounds on one job; a larger one is refused with kTooLarge.
inline constexpr std::size_t kMaxPayloadBytes = 4'096;
inline constexpr std::size_t kMaxSteps = 64;
inline constexpr std::int64_t kMaxTasksPerStep = 10'000;
inline constexpr std::int64_t kMaxTasksPerJob = 20'000;
inline constexpr std::int64_t kMaxRepeats = 100'000;

/// \brief A group of equal tasks of a job.
struct StepSpec {
  std::int64_t tasks = 1;
  Resources request;   ///< of one task
  Millis estimate{0};  ///< rough duration of a task, 0 if unknown
  std::vector<std::uint32_t> depends_on;  ///< earlier steps, counted from 0
  bool checkpointing = false;
  bool gang = false;            ///< tasks work only while all are present
  bool rack_sensitive = false;  ///< slower on more than one rack
  bool speculative = false;     ///< copies of a task may run in parallel
  bool long_running = false;    ///< runs until the job is cancelled
  bool fills = false;  ///< runs on processor time that other tasks leave
  std::string required_label;
  RackName data_rack;
  std::int64_t max_per_worker = 0;  ///< 0: no bound
  std::string image;
  Millis latency_target{0};      ///< tail latency of a long-running task
  std::int64_t may_be_away = 0;  ///< tasks that planned work may interrupt
};

/// \brief What a caller submits.
struct JobSpec {
  std::string payload;  ///< passed to each task unchanged
  std::vector<StepSpec> steps;
  std::int64_t repeats = 0;  ///< 0: once, at once
  UnixMillis first_due = 0;
  Millis interval{0};

  [[nodiscard]] std::int64_t occurrences() const noexcept {
    return repeats > 0 ? repeats : 1;
  }
  [[nodiscard]] UnixMillis due(std::int64_t occurrence) const noexcept {
    return repeats > 0 ? first_due + occurrence * interval.count() : 0;
  }
};

/// \returns the first fault of `spec`: kInvalidField or kTooLarge.
[[nodiscard]] Status CheckJobSpec(const JobSpec& spec);

/// Largest number in a job, a configuration or a batch: JSON numbers of any
/// reader hold it exactly.
inline constexpr std::int64_t kMaxNumber = (std::int64_t{1} << 53) - 1;

/// \brief Writes an amount of any size; customers' limits cover a whole fleet.
/// \returns [cpu_millis, memory_mb, accelerators].
[[nodiscard]] Json AmountToJson(const Resources& amount);
/// \returns what AmountToJson has written, or kInvalidField.
[[nodiscard]] Result<Resources> AmountFromJson(const Json& json);

[[nodiscard]] Json ToJson(const JobSpec& spec);
/// \returns the object that ToJson has written, or kInvalidField.
[[nodiscard]] Result<JobSpec> JobSpecFromJson(const Json& json);

/// \brief One task of one occurrence of a job.
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

/// \brief One start of a task. Numbers of a task rise and are never reused.
struct RunName {
  TaskName task;
  std::uint32_t number = 0;

  friend bool operator==(const RunName&, const RunName&) = default;
  friend bool operator<(const RunName& a, const RunName& b) noexcept {
    return std::tie(a.task, a.number) < std::tie(b.task, b.number);
  }
};

/// \brief One life of a worker. A worker that restarts under its id has a new
/// birth time and holds nothing from before.
struct WorkerLife {
  WorkerId id;
  UnixMillis born = 0;

  friend bool operator==(const WorkerLife&, const WorkerLife&) = default;
  friend bool operator<(const WorkerLife& a, const WorkerLife& b) noexcept {
    return std::tie(a.id, a.born) < std::tie(b.id, b.born);
  }
  [[nodiscard]] std::string Text() const {
    return id.str() + "@" + std::to_string(born);
  }
};

/// \brief How a run ended. Up to kAlone the worker says so; the scheduler
/// establishes the rest.
enum class RunEnd {
  kDone,
  kFailed,
  kStopped,
  kLapsed,    ///< its lease ran out
  kBroken,    ///< another member of its gang ended
  kAlone,     ///< the other members of its gang did not come
  kRejected,  ///< the worker did not start it
  kLost,      ///< its worker is gone or no longer holds it
};

inline constexpr EnumTable<RunEnd, 8> kRunEnds{{{
    {RunEnd::kDone, "done"},
    {RunEnd::kFailed, "failed"},
    {RunEnd::kStopped, "stopped"},
    {RunEnd::kLapsed, "lapsed"},
    {RunEnd::kBroken, "broken"},
    {RunEnd::kAlone, "alone"},
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
