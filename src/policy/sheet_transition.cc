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

// Opposite moves between two pools are not combined, since a sheet assigns
// individual hosts rather than pool sizes. Each host is moved at most once.
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
  const auto required = [&](const PoolName& pool) {
    // During the transition the budgets of both sheets apply.
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
      if (counted && available[move.from] - 1 < required(move.from)) {
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

void CountPools(const SheetInput& input,
                const BufferPlan& old_buffer,
                const BufferPlan& new_buffer,
                SheetPlan& plan) {
  std::map<PoolName, PoolChange> pools;
  for (const auto* view : {&input.before, &input.after}) {
    for (const auto& [name, pool] : view->pools)
      pools[name].pool = name;
  }
  for (const auto& [name, host] : input.before.hosts)
    ++pools[host.pool].hosts_before;
  for (const auto& [name, host] : input.after.hosts)
    ++pools[host.pool].hosts_after;
  const auto count = [&pools](const HostMove& move) {
    ++pools[move.from].moves_out;
    ++pools[move.to].moves_in;
  };
  for (const SheetMove& move : plan.moves)
    count(move.move);
  for (const HostMove& move : plan.blocked)
    count(move);
  for (const PoolTarget& target : old_buffer.pools)
    pools[target.pool].buffer_before = target.cost_hosts;
  for (const PoolTarget& target : new_buffer.pools)
    pools[target.pool].buffer_after = target.cost_hosts;
  for (auto& [name, change] : pools)
    plan.pools.push_back(std::move(change));
  plan.spares_before = old_buffer.spares;
  plan.spares_after = new_buffer.spares;
  plan.needed_before = old_buffer.spares_needed;
  plan.needed_after = new_buffer.spares_needed;
}

[[nodiscard]] Json ToJson(const HostMove& move) {
  Json json;
  json["host"] = move.host.str();
  json["from"] = move.from.str();
  json["to"] = move.to.str();
  return json;
}

}  // namespace

SheetPlan PlanSheet(const SheetInput& input) {
  SheetPlan plan;
  PlanMoves(input, plan);
  const BufferPlan old_buffer =
      PlanBuffers(input.before, input.lost, input.buffer);
  const BufferPlan new_buffer =
      PlanBuffers(input.after, input.lost, input.buffer);
  CountPools(input, old_buffer, new_buffer, plan);
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
  double settle_time = 0;
  for (const TeamName& name : names) {
    TeamChange change;
    change.team = name;
    if (const auto team = input.before.teams.find(name);
        team != input.before.teams.end()) {
      change.slots_before =
          slots * static_cast<double>(team->second.share) / sum_before;
      change.share_before = team->second.share;
      change.limit_before = team->second.limit;
    }
    if (const auto team = input.after.teams.find(name);
        team != input.after.teams.end()) {
      change.slots_after =
          slots * static_cast<double>(team->second.share) / sum_after;
      change.share_after = team->second.share;
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
      // With exponential run times the k-th of n tasks is expected to end after
      // mean * (1/n + ... + 1/(n-k+1)), about mean * ln(n / (n - k)).
      const auto running = static_cast<double>(change.running);
      const auto remain = static_cast<double>(change.limit_after);
      settle_time =
          std::max(settle_time, std::log(running / std::max(remain, 0.5)));
    }
    plan.teams.push_back(std::move(change));
  }
  plan.settle_time = Millis(std::llround(
      settle_time * static_cast<double>(input.mean_run_time.count())));
  return plan;
}

Json ToJson(const SheetPlan& plan, const std::string& unit) {
  Json json;
  Json teams(::Json::arrayValue);
  for (const TeamChange& team : plan.teams) {
    Json item;
    item["team"] = team.team.str();
    item["share_before"] = ::Json::Int64(team.share_before);
    item["share_after"] = ::Json::Int64(team.share_after);
    item[unit + "_before"] = team.slots_before;
    item[unit + "_after"] = team.slots_after;
    item["limit_before"] = ::Json::Int64(team.limit_before);
    item["limit_after"] = ::Json::Int64(team.limit_after);
    item["running"] = ::Json::Int64(team.running);
    item["to_end"] = ::Json::Int64(team.to_end);
    item["buffer_before"] = team.buffer_before;
    item["buffer_after"] = team.buffer_after;
    teams.append(std::move(item));
  }
  json["teams"] = std::move(teams);
  Json pools(::Json::arrayValue);
  for (const PoolChange& pool : plan.pools) {
    Json item;
    item["pool"] = pool.pool.str();
    item["hosts_before"] = ::Json::Int64(pool.hosts_before);
    item["hosts_after"] = ::Json::Int64(pool.hosts_after);
    item["moves_in"] = ::Json::Int64(pool.moves_in);
    item["moves_out"] = ::Json::Int64(pool.moves_out);
    item["buffer_before"] = pool.buffer_before;
    item["buffer_after"] = pool.buffer_after;
    pools.append(std::move(item));
  }
  json["pools"] = std::move(pools);
  Json moves(::Json::arrayValue);
  for (const SheetMove& move : plan.moves) {
    Json item = ToJson(move.move);
    item["step"] = ::Json::Int64(move.step);
    moves.append(std::move(item));
  }
  json["moves"] = std::move(moves);
  Json blocked(::Json::arrayValue);
  for (const HostMove& move : plan.blocked)
    blocked.append(ToJson(move));
  json["blocked"] = std::move(blocked);
  Json& buffer = json["buffer"];
  buffer["spares_before"] = ::Json::Int64(plan.spares_before);
  buffer["spares_after"] = ::Json::Int64(plan.spares_after);
  buffer["needed_before"] = ::Json::Int64(plan.needed_before);
  buffer["needed_after"] = ::Json::Int64(plan.needed_after);
  return json;
}

}  // namespace boragewinch
