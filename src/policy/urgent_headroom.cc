#include "policy/urgent_headroom.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace boragewinch {

Status UrgentConfig::Check() const {
  if (headroom_percent < 0 || headroom_percent > 50) {
    return Fail(ErrorCode::kInvalidSetting,
                "headroom_percent must be within 0 and 50");
  }
  if (stop_time < Millis(0) || decision_interval < Millis(0) ||
      stop_time + decision_interval >= kUrgentStartBound ||
      safety_factor <= 0) {
    return Fail(ErrorCode::kInvalidSetting,
                "stop_time and decision_interval must not be negative, their "
                "sum must be below 1200 ms and safety_factor must be above 0");
  }
  return Ok();
}

UrgentDecision DecideUrgent(const UrgentState& state,
                            const UrgentConfig& config) {
  if (state.free_slots > state.ahead)
    return {UrgentAction::kStart, std::nullopt};
  if (!config.preempt || state.free_slots + state.stopping > state.ahead) {
    return {UrgentAction::kWait, std::nullopt};
  }
  // The latest time to stop a task is `stop_time` before the bound. The next
  // decision may come one interval later, so that is subtracted too.
  const Millis left = kUrgentStartBound - config.stop_time -
                      config.decision_interval - state.waited;
  const double expected =
      state.ends_per_second *
      static_cast<double>(std::max(left, Millis(0)).count()) / 1000.0;
  const auto jobs = static_cast<double>(state.ahead + 1 - state.stopping);
  if (left > Millis(0) && expected >= config.safety_factor * jobs)
    return {UrgentAction::kWait, std::nullopt};
  const PreemptionCandidate* best = nullptr;
  const auto loss = [](const PreemptionCandidate& candidate) {
    return std::tuple(!candidate.fits,
                      candidate.checkpoint ? Millis(0) : candidate.ran,
                      candidate.task);
  };
  for (const PreemptionCandidate& candidate : state.running) {
    const bool may_stop =
        candidate.same_team ||
        (!state.at_limit && state.within_fair_share && candidate.over_share);
    if (!candidate.repeatable || candidate.urgent || !may_stop)
      continue;
    if (best == nullptr || loss(candidate) < loss(*best))
      best = &candidate;
  }
  if (best == nullptr)
    return {UrgentAction::kWait, std::nullopt};
  return {UrgentAction::kStop, *best};
}

std::int64_t HeadroomSlots(std::int64_t slots,
                           const UrgentConfig& config) noexcept {
  return std::llround(
      std::ceil(static_cast<double>(slots) * config.headroom_percent / 100));
}

}  // namespace boragewinch
