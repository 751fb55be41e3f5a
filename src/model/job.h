#ifndef BORAGEWINCH_MODEL_JOB_H_
#define BORAGEWINCH_MODEL_JOB_H_

#include <cstddef>
#include <string>

#include "base/enum_table.h"
#include "base/json.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "base/time.h"
#include "model/resources.h"

namespace boragewinch {

enum class Urgency { kNormal, kUrgent };

inline constexpr EnumTable<Urgency, 2> kUrgencies{{{
    {Urgency::kNormal, "normal"},
    {Urgency::kUrgent, "urgent"},
}}};

/// Limits and defaults for jobs and their results.
inline constexpr std::size_t kMaxPayloadBytes = 256 * 1024;
inline constexpr std::size_t kMaxResultBytes = 1024 * 1024;
inline constexpr std::size_t kMaxNameBytes = 64;
inline constexpr Millis kMaxRunTime{7L * 24 * 3600 * 1000};
inline constexpr Millis kDefaultDeadline{10L * 60 * 1000};

/// \brief A job as submitted by a caller.
struct JobSpec {
  TeamName team;  ///< team of the key, or of the queue if the queue is open
  QueueName queue;
  CustomerName customer;  ///< may be empty
  Resources declared;
  Millis declared_run_time{0};  ///< 0 if not declared
  Urgency urgency = Urgency::kNormal;
  bool repeatable = false;
  std::string client_request_id;  ///< may be empty; scoped to the team
  Millis start_deadline = kDefaultDeadline;  ///< from submission
  std::string payload;
};

[[nodiscard]] Json ToJson(const JobSpec& spec);

/// \brief Parses and validates a job; `team` is optional in the input.
[[nodiscard]] Result<JobSpec> JobSpecFromJson(const Json& json);

/// \returns whether `name` consists of 1 to kMaxNameBytes of [A-Za-z0-9_-].
/// Dots are not allowed, since they separate the parts of a request id.
[[nodiscard]] bool IsValidName(std::string_view name) noexcept;

}  // namespace boragewinch

#endif  // BORAGEWINCH_MODEL_JOB_H_
