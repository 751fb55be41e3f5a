#include "policy/worker_health.h"

#include <algorithm>
#include <cmath>

namespace boragewinch {

Status WorkerHealthConfig::Check() const {
  if (half_life < Millis(1) || throttled_interval < Millis(1) ||
      first_quarantine < Millis(1) || max_quarantine < first_quarantine) {
    return Fail(ErrorCode::kInvalidSetting,
                "times must be at least 1 ms and "
                "max_quarantine >= first_quarantine");
  }
  if (min_failures < 1 || pool_factor < 1 || max_quarantined_fleet < 0)
    return Fail(ErrorCode::kInvalidSetting,
                "min_failures and pool_factor must be at least 1 and "
                "max_quarantined_fleet must not be negative");
  return Ok();
}

Result<WorkerHealth> WorkerHealth::Make(const WorkerHealthConfig& config) {
  BW_CHECK(config.Check());
  return WorkerHealth(config);
}

void WorkerHealth::SetBudget(const PoolName& pool, std::int64_t workers) {
  budgets_[pool] = workers;
}

void WorkerHealth::Decay(Counts& counts, TimePoint now) const {
  if (now <= counts.updated)
    return;
  const double elapsed = static_cast<double>((now - counts.updated).count());
  const double decay =
      std::exp2(-elapsed / static_cast<double>(config_.half_life.count()));
  counts.ok *= decay;
  counts.failed *= decay;
  counts.updated = now;
}

bool WorkerHealth::MayQuarantine(const PoolName& pool, TimePoint now) const {
  std::int64_t in_pool = 0;
  std::int64_t in_fleet = 0;
  for (const auto& [host, worker] : workers_) {
    if (worker.quarantined_until <= now)
      continue;
    ++in_fleet;
    in_pool += worker.pool == pool ? 1 : 0;
  }
  const auto budget = budgets_.find(pool);
  return budget != budgets_.end() && in_pool < budget->second &&
         in_fleet < config_.max_quarantined_fleet;
}

HealthState WorkerHealth::OnStart(const HostName& host,
                                  const PoolName& pool,
                                  bool ok,
                                  TimePoint now) {
  Worker& worker = workers_[host];
  Counts& all = pools_[pool];
  worker.pool = pool;
  Decay(worker.counts, now);
  Decay(all, now);
  (ok ? worker.counts.ok : worker.counts.failed) += 1;
  (ok ? all.ok : all.failed) += 1;
  if (ok) {
    // A success ends the throttling, but the next quarantine is still longer
    // until the failures have decayed.
    worker.throttled = false;
    if (worker.counts.failed < 1)
      worker.next_quarantine = Millis(0);
    return State(host, now);
  }
  const double attempts = worker.counts.ok + worker.counts.failed;
  const double rate = worker.counts.failed / attempts;
  // Failure rate of the pool without this worker. One success is added, so that
  // a failing worker is detected in a pool without other starts.
  const double pool_failed = std::max(0.0, all.failed - worker.counts.failed);
  const double pool_ok = std::max(0.0, all.ok - worker.counts.ok) + 1;
  const double pool_rate = pool_failed / (pool_failed + pool_ok);
  // If most starts of the pool fail, the cause is the jobs and not the worker.
  if (worker.counts.failed < config_.min_failures ||
      rate < std::min(0.9, std::max(0.2, config_.pool_factor * pool_rate)) ||
      pool_rate > 0.5) {
    return State(host, now);
  }
  const bool again = worker.throttled || worker.next_quarantine > Millis(0);
  worker.throttled = true;
  if (again && worker.quarantined_until <= now && MayQuarantine(pool, now)) {
    worker.next_quarantine =
        worker.next_quarantine == Millis(0)
            ? config_.first_quarantine
            : std::min(worker.next_quarantine * 2, config_.max_quarantine);
    worker.quarantined_until = now + worker.next_quarantine;
  }
  return State(host, now);
}

bool WorkerHealth::Allows(const HostName& host, TimePoint now) const {
  switch (State(host, now)) {
    case HealthState::kNormal:
      return true;
    case HealthState::kThrottled:
      return now - workers_.at(host).last_start >= config_.throttled_interval;
    case HealthState::kQuarantined:
      return false;
  }
  return true;
}

void WorkerHealth::OnStartIssued(const HostName& host, TimePoint now) {
  if (const auto found = workers_.find(host); found != workers_.end())
    found->second.last_start = now;
}

HealthState WorkerHealth::State(const HostName& host, TimePoint now) const {
  const auto found = workers_.find(host);
  if (found == workers_.end())
    return HealthState::kNormal;
  if (found->second.quarantined_until > now)
    return HealthState::kQuarantined;
  return found->second.throttled ? HealthState::kThrottled
                                 : HealthState::kNormal;
}

std::vector<HostName> WorkerHealth::Quarantined(TimePoint now) const {
  std::vector<HostName> hosts;
  for (const auto& [host, worker] : workers_) {
    if (worker.quarantined_until > now)
      hosts.push_back(host);
  }
  std::sort(hosts.begin(), hosts.end());
  return hosts;
}

void WorkerHealth::Forget(const HostName& host) {
  workers_.erase(host);
}

}  // namespace boragewinch
