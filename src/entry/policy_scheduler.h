#ifndef BORAGEWINCH_ENTRY_POLICY_SCHEDULER_H_
#define BORAGEWINCH_ENTRY_POLICY_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "base/result.h"
#include "entry/scheduler_hooks.h"
#include "model/fleet_view.h"
#include "policy/share_blend.h"
#include "policy/usage_average.h"

namespace boragewinch {

/// \brief Zone-wide figures for the policy, refreshed periodically.
struct ZoneState {
  UsageVector capacity{};  ///< of the workers that are not lost
  /// Tasks that the other entry hosts of the zone run, by team.
  std::map<TeamName, UsageVector> peer_usage;
};

/// \brief Implements the hooks of an entry host's core with the policy module.
class PolicyScheduler {
 public:
  /// Whether `team` may start one more task now.
  using MayStart = std::function<bool(const TeamName&)>;

  /// \param share_blend transition time to the shares of a new sheet.
  explicit PolicyScheduler(Millis share_blend = kDefaultShareBlend);
  ~PolicyScheduler();
  PolicyScheduler(const PolicyScheduler&) = delete;
  PolicyScheduler& operator=(const PolicyScheduler&) = delete;

  /// \returns hooks that use this object, which must outlive them.
  [[nodiscard]] SchedulerHooks hooks();

  /// \brief Applies new shares, budgets and zone figures.
  void Update(const FleetView& view, const ZoneState& zone, TimePoint now);

  /// \brief Checks the waiting urgent jobs.
  /// \returns own repeatable tasks to preempt so that urgent work starts within
  /// kUrgentStartBound.
  [[nodiscard]] std::vector<RequestId> PlanPreemptions(
      const MayStart& may_start,
      TimePoint now);

  /// \returns a one-line explanation of why a job is waiting.
  [[nodiscard]] std::string Explain(const RequestId& id,
                                    std::int64_t team_running,
                                    std::int64_t team_limit,
                                    TimePoint now);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_POLICY_SCHEDULER_H_
