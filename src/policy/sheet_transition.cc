#include "policy/sheet_transition.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace boragewinch {

namespace {

[[nodiscard]] double ShareSum(const FleetView& fleet) {
  double sum = 0;
  for (const auto& [name, team] : fleet.teams)
    sum += static_cast<double>(team.share);
  return sum;
}

// Moves that go out and come back between two pools cancel each other out only
// if the sheet names sizes; it names hosts, so each is moved at most once.
void PlanMoves(const SheetInput& input, SheetPlan& plan) {
  std::vector<HostMove> open;
  std::map<PoolName, std::int64_t> available;
  const auto is_available = [&](const Host& host) {
    return host.state == HostState::kActive && !input.lost.contains(host.name);
  };
  for (const auto& [name, host] : input.before.hosts) {
    available[host.pool] += is_available(host) ? 1 : 0;
    const auto after = input.after.hosts.find(name);
    if (after != input.after.hosts.end() && after->second.pool != host.pool)
      open.push_back({name, host.pool, after->second.pool});
  }
  const auto keep = [&](const PoolName& pool) {
    // Until the move is done both sheets' promises count.
    const auto old_pool = input.before.pools.find(pool);
    const auto new_pool = input.after.pools.find(pool);
    return std::max(
        old_pool == input.before.pools.end() ? 0
                                             : old_pool->second.min_available,
        new_pool == input.after.pools.end() ? 0
                                            : new_pool->second.min_available);
  };
  for (std::int64_t step = 0; !open.empty(); ++step) {
    std::vector<HostMove> later;
    std::map<PoolName, std::int64_t> arrived;
    bool moved = false;
    for (HostMove& move : open) {
      const Host& host = input.before.hosts.at(move.host);
      const bool counted = is_available(host);
      if (counted && available[move.from] - 1 < keep(move.from)) {
        later.push_back(std::move(move));
        continue;
      }
      available[move.from] -= counted ? 1 : 0;
      arrived[move.to] += counted ? 1 : 0;
      plan.moves.push_back({std::move(move), step});
      moved = true;
    }
    for (const auto& [pool, count] : arrived)
      available[pool] += count;
    open = std::move(later);
    if (!moved)
      break;
  }
  plan.blocked = std::move(open);
}

}  // namespace

SheetPlan PlanSheet(const SheetInput& input) {
  SheetPlan plan;
  PlanMoves(input, plan);
  const BufferPlan old_buffer =
      PlanBuffers(input.before, input.lost, input.buffer);
  const BufferPlan new_buffer =
      PlanBuffers(input.after, input.lost, input.buffer);
  const auto cost = [](const BufferPlan& buffer, const TeamName& team) {
    const auto found = buffer.cost_by_team.find(team);
    return found == buffer.cost_by_team.end() ? 0.0 : found->second;
  };
  const double sum_before = ShareSum(input.before);
  const double sum_after = ShareSum(input.after);
  const auto slots = static_cast<double>(input.slots);
  std::set<TeamName> names;
  for (const auto& [name, team] : input.before.teams)
    names.insert(name);
  for (const auto& [name, team] : input.after.teams)
    names.insert(name);
  double settle = 0;
  for (const TeamName& name : names) {
    TeamChange change;
    change.team = name;
    if (const auto team = input.before.teams.find(name);
        team != input.before.teams.end()) {
      change.slots_before =
          slots * static_cast<double>(team->second.share) / sum_before;
      change.limit_before = team->second.limit;
    }
    if (const auto team = input.after.teams.find(name);
        team != input.after.teams.end()) {
      change.slots_after =
          slots * static_cast<double>(team->second.share) / sum_after;
      change.limit_after = team->second.limit;
    }
    if (const auto running = input.running.find(name);
        running != input.running.end()) {
      change.running = running->second;
    }
    change.to_end =
        std::max<std::int64_t>(0, change.running - change.limit_after);
    change.buffer_before = cost(old_buffer, name);
    change.buffer_after = cost(new_buffer, name);
    if (change.to_end > 0) {
      // With exponential run times the k-th end of n tasks is expected after
      // mean * (1/n + ... + 1/(n-k+1)), about mean * ln(n / (n - k)).
      const auto running = static_cast<double>(change.running);
      const auto remain = static_cast<double>(change.limit_after);
      settle = std::max(settle, std::log(running / std::max(remain, 0.5)));
    }
    plan.teams.push_back(std::move(change));
  }
  plan.settle = Millis(
      std::llround(settle * static_cast<double>(input.mean_run_time.count())));
  return plan;
}

std::map<TeamName, std::int64_t> BlendShares(const FleetView& before,
                                             const FleetView& after,
                                             Millis elapsed,
                                             Millis duration) {
  const double done =
      duration <= Millis(0)
          ? 1.0
          : std::clamp(static_cast<double>(elapsed.count()) /
                           static_cast<double>(duration.count()),
                       0.0, 1.0);
  // Fractions of the whole are blended, since the sheets may use other units.
  std::map<TeamName, double> fractions;
  const double sum_before = std::max(ShareSum(before), 1.0);
  const double sum_after = std::max(ShareSum(after), 1.0);
  for (const auto& [name, team] : before.teams) {
    fractions[name] +=
        (1 - done) * static_cast<double>(team.share) / sum_before;
  }
  for (const auto& [name, team] : after.teams)
    fractions[name] += done * static_cast<double>(team.share) / sum_after;
  std::map<TeamName, std::int64_t> shares;
  for (const auto& [name, fraction] : fractions) {
    shares[name] =
        std::max<std::int64_t>(1, std::llround(fraction * 1'000'000));
  }
  return shares;
}

}  // namespace boragewinch
