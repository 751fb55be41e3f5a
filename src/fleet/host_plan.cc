#include "fleet/host_plan.h"

#include <algorithm>

namespace boragewinch {

std::int64_t AvailableWorkers(const FleetView& view,
                              const PoolName& pool,
                              const std::set<HostName>& lost) {
  return std::count_if(view.hosts.begin(), view.hosts.end(),
                       [&](const auto& item) {
                         return item.second.pool == pool &&
                                item.second.state == HostState::kActive &&
                                !lost.contains(item.first);
                       });
}

bool IsHostTransition(HostState from, HostState to, bool drained) noexcept {
  switch (from) {
    case HostState::kActive:
      return to == HostState::kLost;
    case HostState::kDraining:
      return to == HostState::kDrained || to == HostState::kLost;
    case HostState::kDrained:
      return to == HostState::kRebooting || to == HostState::kReturning ||
             to == HostState::kLost;
    case HostState::kRebooting:
      return to == HostState::kReturning || to == HostState::kDrained ||
             to == HostState::kLost;
    case HostState::kReturning:
      return to == HostState::kActive || to == HostState::kLost;
    case HostState::kLost:
      // A drain stays in effect while its host is lost.
      return drained ? to == HostState::kDraining || to == HostState::kDrained
                     : to == HostState::kActive || to == HostState::kReturning;
  }
  return false;
}

}  // namespace boragewinch
