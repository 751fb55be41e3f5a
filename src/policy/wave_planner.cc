#include "policy/wave_planner.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace boragewinch {

namespace {

struct PoolHosts {
  std::vector<const Host*> all;
  std::set<const Host*> due_by_period;  // subset of `all`
  std::int64_t in_maintenance_alive = 0;
  std::vector<const Host*> due;  // active, not lost
};

struct Planner {
  const std::set<HostName>& lost;
  const WaveConfig& config;
  std::int64_t wall;

  [[nodiscard]] bool IsLost(const Host& host) const {
    return host.state == HostState::kLost || lost.contains(host.name);
  }

  [[nodiscard]] static bool IsInMaintenance(const Host& host) noexcept {
    return host.state == HostState::kDraining ||
           host.state == HostState::kDrained ||
           host.state == HostState::kRebooting ||
           host.state == HostState::kReturning;
  }

  [[nodiscard]] std::int64_t Deadline(const Host& host,
                                      std::int64_t period) const noexcept {
    return host.maintained_at + period;
  }

  // Limit of concurrent hosts in maintenance for a pool with `slack` alive
  // hosts above its budget.
  [[nodiscard]] std::int64_t ConcurrencyLimit(
      std::int64_t slack) const noexcept {
    return slack > config.loss_reserve ? slack - config.loss_reserve
                                       : std::min<std::int64_t>(slack, 1);
  }

  [[nodiscard]] std::int64_t Duration(
      std::int64_t hosts,
      std::int64_t concurrency_limit) const noexcept {
    return (hosts + concurrency_limit - 1) / concurrency_limit *
           config.host_seconds;
  }

  PoolWave Examine(const Pool& pool, PoolHosts& hosts) const;
  void Order(std::int64_t period, PoolHosts& hosts) const;
  void CancelDrains(PoolWave& wave,
                    const PoolHosts& hosts,
                    WavePlan& plan) const;
  void Start(PoolWave& wave, const PoolHosts& hosts, WavePlan& plan) const;
};

PoolWave Planner::Examine(const Pool& pool, PoolHosts& hosts) const {
  PoolWave wave;
  wave.pool = pool.name;
  wave.min_available = pool.min_available;
  wave.hosts = static_cast<std::int64_t>(hosts.all.size());
  std::int64_t alive = 0;
  for (const Host* host : hosts.all) {
    const bool lost_now = IsLost(*host);
    alive += lost_now ? 0 : 1;
    wave.available += !lost_now && host->state == HostState::kActive ? 1 : 0;
    wave.in_maintenance += IsInMaintenance(*host) ? 1 : 0;
    hosts.in_maintenance_alive += IsInMaintenance(*host) && !lost_now ? 1 : 0;
  }
  wave.concurrency_limit =
      std::max<std::int64_t>(0, ConcurrencyLimit(alive - pool.min_available));

  const std::int64_t period = pool.maintenance_days * config.seconds_per_day;
  const std::int64_t usual_limit =
      ConcurrencyLimit(wave.hosts - pool.min_available);
  // Lost hosts are not drained; they become due again once they are back.
  std::vector<const Host*> next;
  for (const Host* host : hosts.all) {
    wave.overdue += wall > Deadline(*host, period) ? 1 : 0;
    if (host->state == HostState::kActive && !IsLost(*host))
      next.push_back(host);
  }
  std::sort(next.begin(), next.end(), [](const Host* a, const Host* b) {
    return std::tie(a->maintained_at, a->name) <
           std::tie(b->maintained_at, b->name);
  });
  // For each n, the n hosts with the earliest deadlines must be started early
  // enough that the last of them meets its deadline.
  const std::int64_t rollout_since =
      std::max(config.rollout_since, pool.wave_since);
  bool due_by_period = false;
  for (auto count = static_cast<std::int64_t>(next.size()); count > 0;
       --count) {
    const Host* host = next[static_cast<std::size_t>(count - 1)];
    const std::int64_t lead =
        usual_limit > 0 ? std::min(period / 2, Duration(count, usual_limit) *
                                                   config.lead_percent / 100)
                        : period / 2;
    due_by_period = due_by_period || wall >= Deadline(*host, period) - lead;
    if (due_by_period)
      hosts.due_by_period.insert(host);
    if (due_by_period || host->maintained_at < rollout_since)
      hosts.due.push_back(host);
    else
      ++wave.done;
  }
  wave.due = static_cast<std::int64_t>(hosts.due.size());
  if (wave.due > wave.concurrency_limit) {
    wave.lend_wanted = std::max<std::int64_t>(
        0, config.target_concurrency + config.loss_reserve -
               (alive - pool.min_available));
  }
  if (pool.spare)
    wave.lend_wanted = 0;
  const std::int64_t open = wave.due + wave.in_maintenance;
  if (wave.concurrency_limit > 0 && open > 0)
    wave.end_estimate = wall + Duration(open, wave.concurrency_limit);
  Order(period, hosts);
  return wave;
}

// Hosts of one rack are maintained together: tasks moved off the first ones are
// less likely to be placed on hosts that are drained soon, and a failure of the
// rack takes fewer further workers out of the pool.
void Planner::Order(std::int64_t period, PoolHosts& hosts) const {
  struct Rack {
    bool idle = true;
    std::int64_t deadline = 0;
  };
  std::map<std::pair<ZoneName, RackName>, Rack> racks;
  if (config.rack_by_rack) {
    for (const Host* host : hosts.due) {
      const auto [rack, added] = racks.try_emplace({host->zone, host->rack});
      const std::int64_t deadline = Deadline(*host, period);
      rack->second.deadline =
          added ? deadline : std::min(rack->second.deadline, deadline);
    }
    for (const Host* host : hosts.all) {
      const auto rack = racks.find({host->zone, host->rack});
      if (rack != racks.end() && IsInMaintenance(*host))
        rack->second.idle = false;
    }
  }
  const auto key = [&](const Host* host) {
    const std::int64_t deadline = Deadline(*host, period);
    const bool by_rollout = !hosts.due_by_period.contains(host);
    const auto expected = config.expected_drain.find(host->name);
    const Millis drain = by_rollout && expected != config.expected_drain.end()
                             ? expected->second
                             : Millis(0);
    if (!config.rack_by_rack) {
      return std::tuple(true, by_rollout, drain, deadline, ZoneName(),
                        RackName(), deadline, host->name);
    }
    const Rack& rack = racks.at({host->zone, host->rack});
    return std::tuple(rack.idle, by_rollout, drain, rack.deadline, host->zone,
                      host->rack, deadline, host->name);
  };
  std::sort(hosts.due.begin(), hosts.due.end(),
            [&](const Host* a, const Host* b) { return key(a) < key(b); });
}

// Cancels the most recent drains first, since they have moved the least work.
void Planner::CancelDrains(PoolWave& wave,
                           const PoolHosts& hosts,
                           WavePlan& plan) const {
  std::vector<const Host*> draining;
  for (const Host* host : hosts.all) {
    if (host->state == HostState::kDraining && !IsLost(*host))
      draining.push_back(host);
  }
  std::sort(draining.begin(), draining.end(), [](const Host* a, const Host* b) {
    return std::tie(b->assignment, a->name) < std::tie(a->assignment, b->name);
  });
  const auto missing =
      static_cast<std::size_t>(wave.min_available - wave.available);
  draining.resize(std::min(draining.size(), missing));
  for (const Host* host : draining)
    plan.cancel.push_back(host->name);
  wave.wait = draining.empty() ? WaveWait::kLosses : WaveWait::kDrainsCancelled;
}

void Planner::Start(PoolWave& wave,
                    const PoolHosts& hosts,
                    WavePlan& plan) const {
  const std::int64_t by_budget = wave.available - wave.min_available;
  // `concurrency_limit` is derived from alive hosts, so a host that was lost
  // during its maintenance must not be subtracted again.
  std::int64_t count =
      std::min(by_budget, wave.concurrency_limit - hosts.in_maintenance_alive);
  if (wave.due == 0) {
    wave.wait = wave.in_maintenance > 0 ? WaveWait::kInMaintenance
                                        : WaveWait::kNothingDue;
    return;
  }
  if (count <= 0) {
    const bool losses =
        std::any_of(hosts.all.begin(), hosts.all.end(),
                    [this](const Host* host) { return IsLost(*host); });
    if (wave.hosts <= wave.min_available)
      wave.wait = WaveWait::kNoSlack;
    else if (by_budget > 0)
      wave.wait = WaveWait::kLossReserve;
    else
      wave.wait = losses ? WaveWait::kLosses : WaveWait::kBudget;
    return;
  }
  count = std::min(count, wave.due);
  if (config.max_in_maintenance > 0) {
    const std::int64_t headroom = config.max_in_maintenance -
                                  plan.in_maintenance -
                                  static_cast<std::int64_t>(plan.start.size());
    count = std::min(count, std::max<std::int64_t>(headroom, 0));
  }
  wave.wait = count > 0 ? WaveWait::kNone : WaveWait::kFleetCap;
  for (std::int64_t i = 0; i < count; ++i)
    plan.start.push_back(hosts.due[static_cast<std::size_t>(i)]->name);
}

}  // namespace

Status WaveConfig::Check() const {
  if (seconds_per_day < 1 || host_seconds < 1)
    return Fail(ErrorCode::kInvalidSetting,
                "seconds_per_day and host_seconds must be at least 1");
  if (loss_reserve < 0 || max_in_maintenance < 0 || target_concurrency < 1)
    return Fail(ErrorCode::kInvalidSetting,
                "loss_reserve and max_in_maintenance must not be negative and "
                "target_concurrency must be at least 1");
  if (lead_percent < 100) {
    return Fail(ErrorCode::kInvalidSetting,
                "lead_percent must be at least 100, or hosts become overdue");
  }
  return Ok();
}

WavePlan PlanWave(const FleetView& fleet,
                  const std::set<HostName>& lost,
                  std::int64_t wall,
                  const WaveConfig& config) {
  std::map<PoolName, PoolHosts> by_pool;
  for (const auto& [name, host] : fleet.hosts)
    by_pool[host.pool].all.push_back(&host);
  const Planner planner{lost, config, wall};
  WavePlan plan;
  std::vector<std::pair<PoolHosts*, std::size_t>> order;
  for (const auto& [name, pool] : fleet.pools) {
    PoolHosts& hosts = by_pool[name];
    plan.pools.push_back(planner.Examine(pool, hosts));
    const PoolWave& wave = plan.pools.back();
    plan.due += wave.due;
    plan.in_maintenance += wave.in_maintenance;
    if (wave.end_estimate)
      plan.end_estimate =
          std::max(plan.end_estimate.value_or(0), *wave.end_estimate);
    order.emplace_back(&hosts, plan.pools.size() - 1);
  }
  // The pool with the latest expected end goes first under the fleet's cap.
  std::stable_sort(order.begin(), order.end(), [&](auto& a, auto& b) {
    return plan.pools[a.second].end_estimate.value_or(0) >
           plan.pools[b.second].end_estimate.value_or(0);
  });
  for (const auto& [hosts, index] : order) {
    PoolWave& wave = plan.pools[index];
    if (wave.available < wave.min_available &&
        (wave.in_maintenance > 0 || wave.due > 0)) {
      planner.CancelDrains(wave, *hosts, plan);
    } else {
      planner.Start(wave, *hosts, plan);
    }
  }
  return plan;
}

}  // namespace boragewinch
