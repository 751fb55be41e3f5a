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

/// Time within which urgent work starts.
inline constexpr Millis kUrgentStartBound{1'200};

/// \brief Parameters of the urgent rules.
struct UrgentConfig {
  /// Slots of a pool, in percent of all, that only urgent work may take.
  double headroom_percent = 0;
  bool preempt = true;  ///< stop a repeatable task of a team over its share
  /// Time from the stop of a task to the start on its slot.
  Millis stop_time{300};
  Millis decision_interval{100};  ///< until DecideUrgent is called again
  /// A wait for a freed slot is safe if this many are expected to be free in
  /// time for each urgent job. With Poisson ends, 7 leave one of them without
  /// a slot in 1,100 cases.
  double safety = 7;

  /// \returns kInvalidSetting for a value out of range.
  [[nodiscard]] Status Check() const;
};

/// \brief A running task that may be stopped.
struct StopCandidate {
  TaskId task;
  HostName host;
  Millis ran{0};  ///< work that is lost without a checkpoint
  bool repeatable = false;
  bool checkpoint = false;  ///< its worker can keep its progress
  bool over_share = false;  ///< its team runs more than it is entitled to
  bool same_team = false;   ///< its team is that of the urgent job
  bool urgent = false;
  /// The urgent job fits into the room that the stop leaves on the worker. If
  /// no task does, another one is stopped: the sizes are estimates.
  bool fits = true;
};

/// \brief What is known of the pool when urgent work can't start at once.
struct UrgentState {
  std::int64_t free_slots = 0;
  std::int64_t ahead = 0;      ///< urgent jobs that go first
  double ends_per_second = 0;  ///< tasks of the pool that end, on average
  Millis waited{0};
  /// Its team runs as many tasks as its upper limit, so that only the end of
  /// one of its own tasks helps. `ends_per_second` then counts these.
  bool at_limit = false;
  bool within_rights = true;  ///< its team runs less than it is entitled to
  std::int64_t stopping = 0;  ///< slots that a stop is about to free
  std::vector<StopCandidate> running;
};

enum class UrgentAction { kStart, kWait, kStop };

inline constexpr EnumTable<UrgentAction, 3> kUrgentActions{{{
    {UrgentAction::kStart, "start"},
    {UrgentAction::kWait, "wait"},
    {UrgentAction::kStop, "stop"},
}}};

struct UrgentDecision {
  UrgentAction action = UrgentAction::kWait;
  std::optional<StopCandidate> stop;  ///< with kStop
};

/// \brief Decides for one waiting urgent job of a pool. Waits as long as freed
/// slots are expected to be in time, then stops the task with the least work to
/// lose. The slot of a stopped task is the urgent job's; a team above its share
/// gets it from its own normal work only.
[[nodiscard]] UrgentDecision DecideUrgent(const UrgentState& state,
                                          const UrgentConfig& config);

/// \returns slots of a pool with `slots` slots that normal work leaves free.
[[nodiscard]] std::int64_t HeadroomSlots(std::int64_t slots,
                                         const UrgentConfig& config) noexcept;

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_URGENT_HEADROOM_H_
