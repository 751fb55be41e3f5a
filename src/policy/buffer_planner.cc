#include "policy/buffer_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace boragewinch {

namespace {

using FailureDomain = std::pair<BufferScenario, std::string>;

// Hosts that are lost if a failure domain fails.
struct DomainLoss {
  std::map<PoolName, std::int64_t> by_pool;
  std::int64_t spares = 0;
};

struct Planner {
  const FleetView& fleet;
  const std::set<HostName>& lost;
  const BufferConfig& config;
  BufferPlan plan;
  std::map<PoolName, std::size_t> index;  // into plan.pools
  std::map<FailureDomain, DomainLoss> losses;
  std::vector<const Host*> free_spares;
  std::map<std::pair<PoolName, ZoneName>, std::int64_t> zone_size;

  [[nodiscard]] bool IsLost(const Host& host) const {
    return host.state == HostState::kLost || lost.contains(host.name);
  }
  [[nodiscard]] std::vector<FailureDomain> DomainsOf(const Host& host) const;
  void Count();
  void SizeForFailures();
  void SizeForSpikes();
  void RestoreBudgets();
  void Lend();
  void Return();
  void AttributeCost(const DomainLoss* binding);
  void Move(const Host& host, const PoolName& to);
  [[nodiscard]] const Host* TakeSpare(const PoolName& pool);
};

std::vector<FailureDomain> Planner::DomainsOf(const Host& host) const {
  std::vector<FailureDomain> domains = {
      {BufferScenario::kHost, host.name.str()}};
  if (config.cover_rack) {
    domains.emplace_back(BufferScenario::kRack,
                         host.zone.str() + "/" + host.rack.str());
  }
  if (config.cover_zone)
    domains.emplace_back(BufferScenario::kZone, host.zone.str());
  return domains;
}

void Planner::Count() {
  std::set<ZoneName> zones;
  for (const auto& [name, pool] : fleet.pools) {
    if (pool.spare)
      continue;
    index[name] = plan.pools.size();
    plan.pools.push_back({.pool = name, .min_available = pool.min_available});
  }
  for (const auto& [name, host] : fleet.hosts) {
    const auto pool = fleet.pools.find(host.pool);
    if (pool == fleet.pools.end())
      continue;
    zones.insert(host.zone);
    const bool alive = !IsLost(host);
    if (pool->second.spare) {
      plan.spares += alive ? 1 : 0;
      if (alive && host.state == HostState::kActive)
        free_spares.push_back(&host);
    } else {
      PoolTarget& target = plan.pools[index.at(host.pool)];
      ++target.size;
      target.alive += alive ? 1 : 0;
      zone_size[{host.pool, host.zone}] += alive ? 1 : 0;
    }
    if (!alive)
      continue;
    for (const FailureDomain& domain : DomainsOf(host)) {
      DomainLoss& loss = losses[domain];
      if (pool->second.spare)
        ++loss.spares;
      else
        ++loss.by_pool[host.pool];
    }
  }
  plan.unshared_spares =
      static_cast<std::int64_t>(plan.pools.size() * zones.size());
  for (PoolTarget& target : plan.pools)
    target.target = target.alive;
}

// A failure is covered if the spares that survive it suffice to restore every
// pool to its budget. Failures are assumed one at a time, on top of the hosts
// that are lost already.
void Planner::SizeForFailures() {
  const DomainLoss* binding = nullptr;
  for (const auto& [domain, loss] : losses) {
    std::int64_t needed = 0;
    for (const auto& [pool, count] : loss.by_pool) {
      const PoolTarget& target = plan.pools[index.at(pool)];
      needed += std::max<std::int64_t>(
          0, std::min(count, target.min_available - (target.alive - count)));
    }
    if (needed > 0)
      needed += loss.spares;
    if (needed > plan.spares_needed) {
      plan.spares_needed = needed;
      std::tie(plan.binding, plan.binding_domain) = domain;
      binding = &loss;
    }
  }
  SizeForSpikes();
  AttributeCost(plan.binding == BufferScenario::kSpike ? nullptr : binding);
}

// Spikes of different pools are assumed not to overlap, so the largest one
// determines the number of spares.
void Planner::SizeForSpikes() {
  for (PoolTarget& target : plan.pools) {
    const auto demand = config.demand.find(target.pool);
    if (demand == config.demand.end() || target.alive == 0)
      continue;
    const double length =
        static_cast<double>(demand->second.spike_length.count());
    const double peak = demand->second.mean_busy * demand->second.spike_factor;
    const double own = static_cast<double>(target.alive);
    // Work that is still queued at the end of the spike, in host time.
    const double backlog = std::max(0.0, peak - own) * length;
    target.spike_wait = Millis(std::llround(backlog / own));
    if (demand->second.spike_length < config.move_time)
      continue;
    const double wait = static_cast<double>(config.spike_wait.count());
    const auto extra = static_cast<std::int64_t>(
        std::ceil(peak * length / (length + wait) - own));
    if (extra > plan.spares_needed) {
      plan.spares_needed = extra;
      plan.binding = BufferScenario::kSpike;
      plan.binding_domain = target.pool.str();
    }
  }
}

void Planner::AttributeCost(const DomainLoss* binding) {
  const auto spares = static_cast<double>(plan.spares_needed);
  double sum = 0;
  std::map<PoolName, double> weights;
  for (const PoolTarget& target : plan.pools) {
    double weight = 0;
    if (binding != nullptr) {
      const auto count = binding->by_pool.find(target.pool);
      if (count != binding->by_pool.end()) {
        weight = static_cast<double>(std::max<std::int64_t>(
            0, target.min_available - (target.alive - count->second)));
      }
    } else if (plan.binding_domain == target.pool.str()) {
      weight = 1;
    }
    weights[target.pool] = weight;
    sum += weight;
  }
  if (sum <= 0)
    return;
  std::map<PoolName, std::map<TeamName, double>> teams;
  for (const auto& [name, queue] : fleet.queues) {
    const auto team = fleet.teams.find(queue.team);
    if (team != fleet.teams.end())
      teams[queue.pool][queue.team] = static_cast<double>(team->second.share);
  }
  for (PoolTarget& target : plan.pools) {
    target.cost_hosts = spares * weights[target.pool] / sum;
    double shares = 0;
    for (const auto& [team, share] : teams[target.pool])
      shares += share;
    for (const auto& [team, share] : teams[target.pool]) {
      if (shares > 0)
        plan.cost_by_team[team] += target.cost_hosts * share / shares;
    }
  }
}

// Prefers a spare in the zone in which the pool has the fewest workers.
const Host* Planner::TakeSpare(const PoolName& pool) {
  const auto best = std::min_element(
      free_spares.begin(), free_spares.end(),
      [&](const Host* a, const Host* b) {
        return std::tuple(zone_size[{pool, a->zone}], a->name) <
               std::tuple(zone_size[{pool, b->zone}], b->name);
      });
  if (best == free_spares.end())
    return nullptr;
  const Host* host = *best;
  free_spares.erase(best);
  return host;
}

void Planner::Move(const Host& host, const PoolName& to) {
  plan.moves.push_back({host.name, host.pool, to});
  ++zone_size[{to, host.zone}];
}

// Restores pools below their budget, the largest shortfall first.
void Planner::RestoreBudgets() {
  std::vector<PoolTarget*> below;
  for (PoolTarget& target : plan.pools) {
    if (target.target < target.min_available)
      below.push_back(&target);
  }
  while (!below.empty()) {
    const auto worst = std::max_element(
        below.begin(), below.end(),
        [](const PoolTarget* a, const PoolTarget* b) {
          return a->min_available - a->target < b->min_available - b->target;
        });
    PoolTarget& target = **worst;
    const Host* spare = TakeSpare(target.pool);
    if (spare == nullptr)
      break;
    Move(*spare, target.pool);
    --plan.spares;
    if (++target.target >= target.min_available)
      below.erase(worst);
  }
  for (const PoolTarget* target : below)
    plan.missing += target->min_available - target->target;
}

void Planner::Lend() {
  std::erase_if(free_spares, [this](const Host* host) {
    return host->maintained_at < config.lend_maintained_since;
  });
  for (const auto& [pool, count] : config.wanted) {
    const auto position = index.find(pool);
    if (position == index.end())
      continue;
    for (std::int64_t i = 0; i < count; ++i) {
      const Host* spare = TakeSpare(pool);
      if (spare == nullptr)
        return;
      Move(*spare, pool);
      --plan.spares;
      ++plan.pools[position->second].target;
    }
  }
}

void Planner::Return() {
  const auto spare =
      std::find_if(fleet.pools.begin(), fleet.pools.end(),
                   [](const auto& item) { return item.second.spare; });
  if (spare == fleet.pools.end())
    return;
  for (const auto& [name, host] : fleet.hosts) {
    if (plan.spares >= plan.spares_needed)
      return;
    const auto base = config.base_size.find(host.pool);
    const auto position = index.find(host.pool);
    if (base == config.base_size.end() || position == index.end() ||
        IsLost(host) || host.state != HostState::kActive) {
      continue;
    }
    if (config.return_lent_until &&
        (host.lent_from.empty() || host.lent_at > *config.return_lent_until)) {
      continue;
    }
    PoolTarget& target = plan.pools[position->second];
    if (target.target <= std::max(base->second, target.min_available))
      continue;
    Move(host, spare->first);
    --target.target;
    ++plan.spares;
  }
}

}  // namespace

Status BufferConfig::Check() const {
  if (move_time < Millis(0) || spike_wait < Millis(1))
    return Fail(
        ErrorCode::kInvalidSetting,
        "move_time must not be negative and spike_wait must be at least 1 ms");
  for (const auto& [pool, item] : demand) {
    if (item.mean_busy < 0 || item.spike_factor < 1 ||
        item.spike_length < Millis(1)) {
      return Fail(ErrorCode::kInvalidSetting,
                  "demand of pool " + pool.str() + " is out of range");
    }
  }
  return Ok();
}

BufferPlan PlanBuffers(const FleetView& fleet,
                       const std::set<HostName>& lost,
                       const BufferConfig& config) {
  Planner planner{fleet, lost, config, {}, {}, {}, {}, {}};
  planner.Count();
  planner.SizeForFailures();
  planner.RestoreBudgets();
  planner.Lend();
  if (config.wanted.empty())
    planner.Return();
  return std::move(planner.plan);
}

}  // namespace boragewinch
