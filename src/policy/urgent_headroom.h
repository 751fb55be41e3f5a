#ifndef BORAGEWINCH_POLICY_URGENT_HEADROOM_H_
#define BORAGEWINCH_POLICY_URGENT_HEADROOM_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/enum_table.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "base/time.h"
#include "model/worker_types.h"

namespace boragewinch {

/// Bound on the time until urgent work starts.
inline constexpr Millis kUrgentStartBound{1'200};

/// \brief Parameters of DecideUrgent and HeadroomSlots.
struct UrgentConfig {
  /// Slots of a pool, in percent, that are reserved for urgent work.
  double headroom_percent = 0;
  bool preempt = true;  ///< may stop repeatable tasks of teams over their share
  /// Time from the stop of a task to the start on its slot.
  Millis stop_time{300};
  Millis decision_interval{100};  ///< interval of calls of DecideUrgent
  /// Waiting is safe if at least this many slots per urgent job are expected to
  /// become free in time. If tasks end as a Poisson process, 7 leave a job
  /// without a slot in one of 1,100 cases.
  double safety_factor = 7;

  /// \returns kInvalidSetting for a value out of range.
  [[nodiscard]] Status Check() const;
};

/// \brief A running task that may be stopped.
struct PreemptionCandidate {
  TaskId task;
  HostName host;
  Millis ran{0};  ///< work lost if it can't checkpoint
  bool repeatable = false;
  bool checkpoint = false;  ///< its worker can save its progress
  bool over_share = false;  ///< its team is above its fair share
  bool same_team = false;   ///< it is of the urgent job's team
  bool urgent = false;
  /// Whether the urgent job fits on the worker once the task has ended. Other
  /// tasks are stopped only if there is none for which it does; they are not
  /// excluded, since sizes are estimates.
  bool fits = true;
};

/// \brief State of the pool for an urgent job that waits.
struct UrgentState {
  std::int64_t free_slots = 0;
  std::int64_t ahead = 0;      ///< urgent jobs that start before it
  double ends_per_second = 0;  ///< average rate of task ends in the pool
  Millis waited{0};
  /// Its team is at its task limit, so that only the end of one of the team's
  /// own tasks lets it start. `ends_per_second` then counts only those.
  bool at_limit = false;
  bool within_fair_share = true;  ///< its team does not exceed its fair share
  std::int64_t stopping = 0;      ///< slots of tasks that are being stopped
  std::vector<PreemptionCandidate> running;
};

enum class UrgentAction { kStart, kWait, kStop };

inline constexpr EnumTable<UrgentAction, 3> kUrgentActions{{{
    {UrgentAction::kStart, "start"},
    {UrgentAction::kWait, "wait"},
    {UrgentAction::kStop, "stop"},
}}};

struct UrgentDecision {
  UrgentAction action = UrgentAction::kWait;
  std::optional<PreemptionCandidate> stop;  ///< set for kStop
};

/// \brief Decides for one waiting urgent job of a pool. Waits as long as slots
/// are expected to become free in time, then stops the task that loses the
/// least work. The urgent job gets the slot of the stopped task. For a team at
/// its task limit or above its share, only the team's own normal tasks are
/// stopped.
[[nodiscard]] UrgentDecision DecideUrgent(const UrgentState& state,
                                          const UrgentConfig& config);

/// \returns the slots reserved for urgent work in a pool of `slots` slots.
[[nodiscard]] std::int64_t HeadroomSlots(std::int64_t slots,
                                         const UrgentConfig& config) noexcept;

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_URGENT_HEADROOM_H_
