#include <algorithm>
#include <cmath>
#include <ostream>

#include "bench/policy_driver.h"

namespace boragewinch::bench {

namespace {

using FleetHostState = boragewinch::HostState;

constexpr std::int64_t kWallStart = 1'700'000'000;
constexpr Millis kMoveTime{2'000};  // two heartbeat acknowledgements
// A drain lets tasks finish for this long before it moves repeatable ones.
constexpr Millis kDrainTimeout{5'000};
// Time to replace a lost host by a spare: detection, planning, move.
constexpr Millis kReplaceTime{13'000};
constexpr std::int64_t kSlots = 8;
constexpr const char* kSparePool = "spare";

}  // namespace

std::int64_t Driver::WallSeconds() const {
  return kWallStart + ToMillis(now_) / 1'000;
}

void Driver::AddHost(std::size_t index,
                     const PoolName& pool,
                     const ZoneName& zone,
                     const RackName& rack,
                     std::size_t private_pool) {
  HostState host;
  host.name = HostName("h" + std::to_string(index));
  host.private_pool = private_pool;
  host_index_[host.name] = index;
  fleet_.hosts[host.name] = {
      host.name, pool, zone, rack, FleetHostState::kActive, 1, kWallStart};
  hosts_.push_back(std::move(host));
  Refresh(index);
}

void Driver::AddHosts() {
  for (std::size_t pool = 0; pool < kServicePools; ++pool) {
    pool_index_[PoolAt(pool)] = pool;
    fleet_.pools[PoolAt(pool)] = {.name = PoolAt(pool),
                                  .min_available = kMinAvailable};
  }
  const PoolName spare{kSparePool};
  fleet_.pools[spare] = {.name = spare, .spare = true};
  for (std::size_t i = 0; i < kServiceHosts; ++i)
    AddHost(i, PoolAt(PoolOfHost(i)), ZoneAt(i), RackAt(i), kNone);
  for (std::size_t i = 0; i < params_.spares; ++i) {
    const std::size_t index = kServiceHosts + i;
    AddHost(index, spare, ZoneAt(index),
            RackName(ZoneAt(index).str() + "s" + std::to_string(i / 12)),
            params_.shared_spares ? kNone : i % kServicePools);
  }
}

std::int64_t Driver::Available(const PoolName& pool) const {
  std::int64_t count = 0;
  for (const HostState& host : hosts_) {
    const Host& entry = fleet_.hosts.at(host.name);
    count += entry.pool == pool && entry.state == FleetHostState::kActive &&
                     host.up && !host.moving
                 ? 1
                 : 0;
  }
  return count;
}

void Driver::Refresh(std::size_t index) {
  const HostState& host = hosts_[index];
  const Host& entry = fleet_.hosts.at(host.name);
  WorkerView view{.host = host.name,
                  .pool = entry.pool,
                  .zone = entry.zone,
                  .rack = entry.rack,
                  .free_slots = host.slots,
                  .free = trace_.worker,
                  .total = trace_.worker};
  for (const std::size_t task : host.tasks) {
    --view.free_slots;
    view.free -= jobs_[task].pending.demand;
  }
  view.accepting = entry.state == FleetHostState::kActive && !host.known_lost &&
                   !host.moving &&
                   (!params_.watch_health || health_.Allows(host.name, now_));
  placement_.UpdateWorker(view, now_);
  RetryPool(entry.pool);
  if (view.accepting)
    queue_.MarkReady(entry.pool);
}

void Driver::Lose(std::size_t index, Millis length) {
  HostState& host = hosts_[index];
  if (!host.up)
    return;
  host.up = false;
  host.lost_at = now_;
  host.lost_in_roll_out =
      host.lost_in_roll_out || now_ >= FromMillis(0) + kRollOutStart;
  ++host.incident;
  Schedule(now_ + length, EventKind::kRecovered, index, host.incident);
}

void Driver::DetectLosses() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    HostState& host = hosts_[i];
    if (!host.up && !host.known_lost &&
        now_ - host.lost_at >= kWorkerLostAfter) {
      host.known_lost = true;
      lost_.insert(host.name);
      TraceHost("lost", i);
      const std::set<std::size_t> tasks = host.tasks;
      for (const std::size_t task : tasks) {
        End(task, false);
        if (trace_.jobs[task].repeatable)
          Restart(task, false);
        else
          jobs_[task].done = true;  // reported with unknown outcome
      }
      Refresh(i);
    } else if (!host.up) {
      // Tasks of a lost host do not end.
      for (const std::size_t task : host.tasks)
        jobs_[task].run = ++next_run_;
    } else if (params_.watch_health &&
               health_.State(host.name, now_) != HealthState::kNormal) {
      Refresh(i);
    }
  }
}

void Driver::MoveHost(std::size_t index, const PoolName& to) {
  HostState& host = hosts_[index];
  if (!host.tasks.empty())
    return;  // must drain first
  TraceHost("moved_from", index);
  fleet_.hosts[host.name].pool = to;
  // The host serves and counts as available once it has acknowledged the move.
  fleet_.hosts[host.name].state = FleetHostState::kReturning;
  TraceHost("moved_to", index);
  host.moving = true;
  figures_.host_moves += 1;
  Refresh(index);
  Schedule(now_ + kMoveTime, EventKind::kMoved, index, 0);
}

void Driver::FillFromSpares(const WavePlan& plan) {
  BufferConfig config;
  for (std::size_t pool = 0; pool < kServicePools; ++pool) {
    config.base_size[PoolAt(pool)] = static_cast<std::int64_t>(kHostsPerPool);
  }
  if (params_.lend_to_waves) {
    config.lend_maintained_since = kWallStart + kRollOutStart.count() / 1'000;
    for (const PoolWave& wave : plan.pools) {
      if (wave.due + wave.in_maintenance > 0)
        config.wanted[wave.pool] = wave.lend_wanted;
    }
  }
  for (const HostMove& move : PlanBuffers(fleet_, lost_, config).moves)
    MoveHost(host_index_.at(move.host), move.to);
}

void Driver::UsePrivateSpares() {
  for (std::size_t pool = 0; pool < kServicePools; ++pool) {
    std::int64_t alive = 0;
    for (const auto& [name, host] : fleet_.hosts)
      alive += host.pool == PoolAt(pool) && !lost_.contains(name) ? 1 : 0;
    for (std::size_t i = 0;
         i < hosts_.size() && alive < static_cast<std::int64_t>(kHostsPerPool);
         ++i) {
      HostState& host = hosts_[i];
      if (host.private_pool != pool || lost_.contains(host.name) ||
          fleet_.hosts[host.name].state != FleetHostState::kActive) {
        continue;
      }
      host.private_pool = kNone;
      MoveHost(i, PoolAt(pool));
      ++alive;
    }
  }
}

// Uses only what an entry host knows: learned run times and elapsed times.
Millis Driver::ExpectedDrain(const HostState& host) const {
  Millis longest{0};
  for (const std::size_t task : host.tasks) {
    const TraceJob& source = trace_.jobs[task];
    const PendingJob& job = jobs_[task].pending;
    const Millis run_time = estimator_
                                .Estimate(job.team, job.queue, source.declared,
                                          source.declared_run_time)
                                .run_time;
    // A task near or past its estimate is expected to run for another quarter
    // of it.
    const Millis rest =
        std::max(run_time - (now_ - jobs_[task].start), run_time / 4);
    longest = std::max(
        longest, source.repeatable ? std::min(rest, kDrainTimeout) : rest);
  }
  return longest;
}

void Driver::Maintain() {
  WaveConfig config = params_.wave;
  if (params_.expect_drains) {
    for (const HostState& host : hosts_)
      config.expected_drain[host.name] = ExpectedDrain(host);
  }
  if (now_ >= FromMillis(0) + kRollOutStart)
    config.rollout_since = kWallStart + kRollOutStart.count() / 1'000;
  const WavePlan plan = PlanWave(fleet_, lost_, WallSeconds(), config);
  for (const HostName& name : plan.cancel) {
    fleet_.hosts[name].state = FleetHostState::kActive;
    TraceHost("cancel", host_index_.at(name));
    Refresh(host_index_.at(name));
  }
  for (const HostName& name : plan.start) {
    const std::size_t index = host_index_.at(name);
    Host& host = fleet_.hosts[name];
    host.state = FleetHostState::kDraining;
    host.assignment = ++fleet_.version;
    hosts_[index].drain_start = now_;
    TraceHost("drain", index);
    figures_.drained_slots += kSlots;
    Refresh(index);
    std::int64_t available = 0;
    for (const auto& [other, entry] : fleet_.hosts) {
      available += entry.pool == host.pool && !lost_.contains(other) &&
                           entry.state == FleetHostState::kActive
                       ? 1
                       : 0;
    }
    if (available < fleet_.pools[host.pool].min_available)
      ++figures_.budget_violations;
  }
  if (params_.shared_spares)
    FillFromSpares(plan);
  else
    UsePrivateSpares();
  for (const PoolWave& wave : plan.pools) {
    health_.SetBudget(wave.pool, std::max<std::int64_t>(
                                     0, wave.available - wave.min_available));
  }
  if (config.rollout_since > 0 && !roll_out_end_) {
    const auto done = [&](bool all) {
      return std::all_of(
          hosts_.begin(), hosts_.end(), [&](const HostState& host) {
            return fleet_.hosts.at(host.name).maintained_at >=
                       config.rollout_since ||
                   lost_.contains(host.name) || (!all && host.lost_in_roll_out);
          });
    };
    if (!roll_out_end_without_lost_ && done(false))
      roll_out_end_without_lost_ = now_;
    if (done(true)) {
      roll_out_end_ = now_;
      if (params_.trace != nullptr)
        *params_.trace << ToMillis(now_) << " roll_out_end\n";
    }
  }
}

void Driver::AdvanceDrains() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    HostState& host = hosts_[i];
    Host& entry = fleet_.hosts[host.name];
    if (entry.state != FleetHostState::kDraining || !host.up)
      continue;
    if (now_ - host.drain_start >= kDrainTimeout) {
      const std::set<std::size_t> tasks = host.tasks;
      for (const std::size_t task : tasks) {
        if (!trace_.jobs[task].repeatable)
          continue;
        figures_.task_moves += 1;
        End(task, false);
        Restart(task, false);
      }
    }
    if (host.tasks.empty()) {
      entry.state = FleetHostState::kRebooting;
      TraceHost("reboot", i);
      Schedule(now_ + kRebootTime, EventKind::kRebooted, i, host.incident);
    }
  }
}

void Driver::TraceHost(const char* step, std::size_t host) const {
  if (params_.trace == nullptr)
    return;
  const Host& entry = fleet_.hosts.at(hosts_[host].name);
  *params_.trace << ToMillis(now_) << " " << step << " " << entry.name.str()
                 << " " << entry.pool.str() << " tasks "
                 << hosts_[host].tasks.size() << "\n";
}

void Driver::Measure() {
  for (std::size_t pool = 0; pool < kServicePools; ++pool) {
    const std::int64_t available = Available(PoolAt(pool));
    const std::int64_t slots = available * kSlots;
    all_slot_ticks_ += static_cast<double>(slots);
    idle_slot_ticks_ += static_cast<double>(std::min(
        HeadroomSlots(slots, params_.urgent),
        std::max<std::int64_t>(0, placement_.FreeSlots(PoolAt(pool)))));
    if (available >= kMinAvailable) {
      below_since_[pool] = TimePoint::max();
      continue;
    }
    if (params_.trace != nullptr && below_since_[pool] == TimePoint::max()) {
      *params_.trace << ToMillis(now_) << " below " << PoolAt(pool).str()
                     << " available " << available << "\n";
    }
    below_since_[pool] = std::min(below_since_[pool], now_);
    if (ToMillis(now_) % 1'000 == 0) {
      ++figures_.below_budget_seconds;
      if (now_ - below_since_[pool] > kReplaceTime)
        ++figures_.unreplaced_seconds;
    }
  }
  const double spare =
      static_cast<double>(Available(PoolName(kSparePool)) * kSlots);
  all_slot_ticks_ += spare;
  idle_slot_ticks_ += spare;
  MeasureShares();
}

// Computes the weighted max-min fair share of each team in each full pool; a
// team's demand is its running and waiting tasks.
void Driver::MeasureShares() {
  for (std::size_t pool = 0; pool < kServicePools; ++pool) {
    double total = 0;
    double waiting = 0;
    for (std::size_t team = 0; team < trace_.teams.size(); ++team) {
      total += static_cast<double>(running_[pool][team]);
      waiting += static_cast<double>(waiting_[pool][team]);
    }
    const auto slots = static_cast<double>(PoolSlots(pool));
    if (waiting == 0 || slots == 0 || total < 0.95 * slots)
      continue;
    std::vector<double> demands(trace_.teams.size());
    std::vector<double> allocations(trace_.teams.size());
    for (std::size_t team = 0; team < demands.size(); ++team) {
      demands[team] =
          static_cast<double>(running_[pool][team] + waiting_[pool][team]);
    }
    double rest = total;
    while (rest > 1e-9) {
      double weight = 0;
      for (std::size_t team = 0; team < demands.size(); ++team) {
        if (allocations[team] < demands[team] - 1e-9)
          weight += static_cast<double>(trace_.shares[team]);
      }
      if (weight == 0)
        break;
      double allocated = 0;
      for (std::size_t team = 0; team < demands.size(); ++team) {
        if (allocations[team] >= demands[team] - 1e-9)
          continue;
        const double part =
            std::min(rest * static_cast<double>(trace_.shares[team]) / weight,
                     demands[team] - allocations[team]);
        allocations[team] += part;
        allocated += part;
      }
      rest -= allocated;
    }
    full_capacity_ += total;
    for (std::size_t team = 0; team < demands.size(); ++team) {
      used_slots_[team] += static_cast<double>(running_[pool][team]);
      fair_slots_[team] += allocations[team];
    }
  }
  if (ToMillis(now_) % 60'000 != 0)
    return;
  if (full_capacity_ > 0) {
    for (std::size_t team = 0; team < used_slots_.size(); ++team) {
      distances_.push_back(std::abs(used_slots_[team] - fair_slots_[team]) /
                           full_capacity_);
      if (params_.trace != nullptr) {
        *params_.trace << ToMillis(now_) << " share "
                       << trace_.teams[team].str() << " "
                       << 100 * used_slots_[team] / full_capacity_ << " "
                       << 100 * fair_slots_[team] / full_capacity_ << "\n";
      }
    }
  }
  std::fill(used_slots_.begin(), used_slots_.end(), 0.0);
  std::fill(fair_slots_.begin(), fair_slots_.end(), 0.0);
  full_capacity_ = 0;
}

}  // namespace boragewinch::bench
