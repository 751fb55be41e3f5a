#include "scheduler/pool_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace boragewinch::scheduler {

namespace {

/// A move takes 1.5 s, and the new worker's first heartbeat may take as long.
constexpr Millis kMoveTimeout{6'000};
/// An order without a response may be carried out within this time: the
/// platform delays calls by up to 12 s.
constexpr Millis kUnansweredMoveTimeout{14'000};

}  // namespace

/// State of one decision.
struct PoolBalancer::Decision {
  const jobs::JobLedger& ledger;
  const MayOrder& may_order;
  TimePoint now;
  std::vector<HostMove> moves;
};

void PoolBalancer::Inherit(const jobs::JobLedger& ledger,
                           const HostName& host,
                           const PoolName& to,
                           TimePoint at,
                           TimePoint now) {
  if (now - at > kUnansweredMoveTimeout)
    return;
  for (const auto& [incarnation, worker] : ledger.workers()) {
    if (worker.record.host == host && worker.record.pool != to) {
      pending_[host] = {{host, to, incarnation}, at, false};
      cordoned_.insert(incarnation);
      return;
    }
  }
}

bool PoolBalancer::CanMove(const HostName& host,
                           const Decision& decision) const {
  const auto refused = refused_until_.find(host);
  return pending_.count(host) == 0 &&
         (refused == refused_until_.end() || decision.now >= refused->second) &&
         decision.may_order(host);
}

void PoolBalancer::IssueMove(const HostMove& move, Decision* decision) {
  pending_[move.host] = {move, decision->now, false};
  if (!move.worker.id.empty())
    cordoned_.insert(move.worker);
  decision->moves.push_back(move);
  --move_budget_;
}

void PoolBalancer::RefillBudget(TimePoint now) {
  constexpr Millis kBurst{500};
  const Millis elapsed =
      refilled_at_ ? std::min(kBurst, now - *refilled_at_) : kBurst;
  const double rate = options_.orders_per_second * options_.move_share;
  const auto seconds = [](Millis span) {
    return static_cast<double>(span.count()) / 1'000;
  };
  move_budget_ =
      std::min(move_budget_ + rate * seconds(elapsed), rate * seconds(kBurst));
  refilled_at_ = now;
}

// A move is settled once the host's new worker is in the ledger or the move has
// timed out.
void PoolBalancer::DropSettledMoves(const jobs::JobLedger& ledger,
                                    TimePoint now) {
  std::set<HostName> arrived;
  for (const auto& [incarnation, worker] : ledger.workers()) {
    const auto pending = pending_.find(worker.record.host);
    if (pending != pending_.end() && incarnation != pending->second.move.worker)
      arrived.insert(worker.record.host);
  }
  std::erase_if(pending_, [&](const auto& item) {
    const bool over =
        arrived.count(item.first) > 0 ||
        now - item.second.at >
            (item.second.responded ? kMoveTimeout : kUnansweredMoveTimeout);
    if (over)
      cordoned_.erase(item.second.move.worker);
    return over;
  });
}

std::vector<jobs::WorkerIncarnation> PoolBalancer::EndedWorkers(
    const jobs::JobLedger& ledger,
    const HostInventory& hosts) const {
  std::vector<jobs::WorkerIncarnation> ended;
  for (const auto& [host, pending] : pending_) {
    const jobs::WorkerIncarnation& incarnation = pending.move.worker;
    const HostRow* row = hosts.Find(host);
    if (ledger.FindWorker(incarnation) != nullptr && row != nullptr &&
        row->state == HostState::kUp && row->worker != incarnation.id &&
        hosts.listed_at() > pending.at) {
      ended.push_back(incarnation);
    }
  }
  return ended;
}

void PoolBalancer::OnResponse(const HostMove& move,
                              const Result<HostVerdict>& verdict,
                              TimePoint now) {
  const auto pending = pending_.find(move.host);
  if (pending == pending_.end())
    return;
  pending->second.responded = verdict.has_value();
  pending->second.at = now;
  if (verdict && verdict.value() == HostVerdict::kDone)
    return;
  refused_until_[move.host] = now + options_.retry_delay;
  // Without a response the host may still be moved: it stays reserved until
  // the order expires.
  if (verdict) {
    cordoned_.erase(move.worker);
    pending_.erase(pending);
  }
}

double PoolBalancer::NeededHosts(const PoolDemand& pool) const {
  Load waiting = pool.ready;
  waiting += pool.blocked;
  Load demand = pool.arriving.Times(options_.arrival_headroom).Max(waiting);
  demand += pool.long_running_load;
  return demand.HostsOf(pool.host);
}

// Pools rank by the time since their last burst. Those without a burst keep the
// whole reserve; if there are none, the one whose burst is longest ago does.
std::map<PoolName, std::int64_t> PoolBalancer::Reserves(const Pools& pools,
                                                        double mean) const {
  std::vector<PoolName> had_burst;
  std::size_t serving = 0;
  for (const auto& [name, pool] : pools) {
    serving += pool.standby ? 0 : 1;
    if (!pool.standby && last_burst_.count(name) > 0)
      had_burst.push_back(name);
  }
  // Most recent burst first.
  std::sort(had_burst.begin(), had_burst.end(),
            [&](const PoolName& a, const PoolName& b) {
              return last_burst_.at(a) > last_burst_.at(b);
            });
  const auto others =
      static_cast<double>(std::max<std::size_t>(2, serving) - 1);
  std::map<PoolName, std::int64_t> reserves;
  for (const auto& [name, pool] : pools) {
    if (pool.standby)
      continue;
    const auto position = std::find(had_burst.begin(), had_burst.end(), name);
    const double rank =
        position == had_burst.end()
            ? 1.0
            : static_cast<double>(position - had_burst.begin()) / others;
    const double share = options_.min_reserve_share +
                         rank * std::max(0.0, options_.reserve_share -
                                                  options_.min_reserve_share);
    reserves[name] = static_cast<std::int64_t>(std::ceil(share * mean));
  }
  return reserves;
}

void PoolBalancer::UpdateBurst(const PoolName& name,
                               double mean,
                               TimePoint now) {
  PoolSizing& sizing = sizings_.at(name);
  const double min_needed = options_.burst_share * mean;
  if (sizing.needed >= min_needed) {
    burst_since_.try_emplace(name, now);
    last_burst_[name] = now;
  } else if (sizing.needed < min_needed / 2) {
    burst_since_.erase(name);
  }
  const auto start = burst_since_.find(name);
  sizing.burst = start != burst_since_.end();
  if (!sizing.burst || now - start->second >= options_.surge_time)
    return;
  const double left =
      1.0 - static_cast<double>((now - start->second).count()) /
                static_cast<double>(options_.surge_time.count());
  sizing.needed *= 1.0 + (options_.surge - 1.0) * left;
}

void PoolBalancer::ComputeSizings(const Pools& pools,
                                  std::ptrdiff_t hosts,
                                  TimePoint now) {
  sizings_.clear();
  for (const auto& [host, pending] : pending_)
    ++sizings_[pending.move.to].arriving;
  const auto serving =
      std::count_if(pools.begin(), pools.end(),
                    [](const auto& item) { return !item.second.standby; });
  const double mean = static_cast<double>(hosts) /
                      static_cast<double>(std::max<std::ptrdiff_t>(1, serving));
  for (const auto& [name, reserve] : Reserves(pools, mean)) {
    const PoolDemand& pool = pools.at(name);
    PoolSizing& sizing = sizings_[name];
    sizing.hosts = pool.hosts;
    sizing.reserve = reserve;
    sizing.needed = NeededHosts(pool);
    UpdateBurst(name, mean, now);
    sizing.wanted =
        std::max({sizing.reserve, pool.spread,
                  static_cast<std::int64_t>(std::ceil(sizing.needed))});
  }
}

std::vector<HostName> PoolBalancer::StandbyHosts(
    const Pools& pools,
    const HostInventory& hosts,
    const Decision& decision) const {
  std::vector<HostName> standby_hosts;
  for (const auto& [host, row] : hosts.rows()) {
    const auto pool = pools.find(row.pool);
    if (pool != pools.end() && pool->second.standby &&
        row.state == HostState::kUp && row.worker.empty() &&
        !decision.ledger.IsEvacuated(row.zone) && CanMove(host, decision)) {
      standby_hosts.push_back(host);
    }
  }
  return standby_hosts;
}

// Idle hosts above the target size of their pool.
std::vector<const jobs::Worker*> PoolBalancer::SurplusHosts(
    const Pools& pools,
    const Decision& decision) const {
  std::vector<const jobs::Worker*> surplus;
  for (const auto& [name, pool] : pools) {
    if (pool.standby)
      continue;
    std::int64_t excess = pool.hosts - sizings_.at(name).wanted;
    for (const jobs::Worker* worker : pool.idle_workers) {
      if (excess <= 0)
        break;
      if (!CanMove(worker->record.host, decision))
        continue;
      surplus.push_back(worker);
      --excess;
    }
  }
  return surplus;
}

bool PoolBalancer::OrderHostFor(const PoolName& to,
                                std::vector<HostName>* standby_hosts,
                                std::vector<const jobs::Worker*>* surplus,
                                Decision* decision) {
  // Standby hosts come first: the others may be needed again in their pool.
  if (!standby_hosts->empty()) {
    IssueMove({standby_hosts->back(), to, {}}, decision);
    standby_hosts->pop_back();
    return true;
  }
  const auto source = std::find_if(
      surplus->begin(), surplus->end(),
      [&](const jobs::Worker* worker) { return worker->record.pool != to; });
  if (source == surplus->end())
    return false;
  const jobs::WorkerRecord& record = (*source)->record;
  IssueMove({record.host, to, record.incarnation}, decision);
  surplus->erase(source);
  return true;
}

void PoolBalancer::FillPools(std::vector<HostName> standby_hosts,
                             std::vector<const jobs::Worker*>* surplus,
                             const Pools& pools,
                             Decision* decision) {
  std::map<PoolName, std::int64_t> missing;
  for (const auto& [name, pool] : pools) {
    if (pool.standby)
      continue;
    const PoolSizing& sizing = sizings_.at(name);
    missing[name] = sizing.wanted - sizing.hosts - sizing.arriving;
  }
  // Long-running tasks come first: one serves its users only while it runs, and
  // a burst in another pool may need more hosts than there are.
  for (const auto& [to, pool] : pools) {
    if (pool.standby)
      continue;
    std::int64_t needed = pool.long_running_hosts - sizings_.at(to).arriving;
    for (; needed > 0 && OrderHostFor(to, &standby_hosts, surplus, decision);
         --needed)
      --missing.at(to);
  }
  for (const PoolName& to : ByCoverage()) {
    const PoolDemand& pool = pools.at(to);
    // Without a burst, hosts are ordered only while tasks are waiting: the free
    // capacity may suffice for the jobs that arrive.
    if (!sizings_.at(to).burst && !pool.long_running_waiting &&
        pool.ready.HostsOf(pool.host) <= 0) {
      continue;
    }
    for (std::int64_t left = missing.at(to); left > 0 && move_budget_ >= 1;
         --left) {
      if (!OrderHostFor(to, &standby_hosts, surplus, decision))
        return;
    }
  }
}

// Pools with the lowest ratio of hosts to target size come first.
std::vector<PoolName> PoolBalancer::ByCoverage() const {
  const auto coverage = [](const PoolSizing& sizing) {
    return static_cast<double>(sizing.hosts + sizing.arriving) /
           static_cast<double>(std::max<std::int64_t>(1, sizing.wanted));
  };
  std::vector<PoolName> names;
  for (const auto& [name, sizing] : sizings_) {
    if (sizing.wanted > 0)
      names.push_back(name);
  }
  std::stable_sort(names.begin(), names.end(),
                   [&](const PoolName& a, const PoolName& b) {
                     return coverage(sizings_.at(a)) < coverage(sizings_.at(b));
                   });
  return names;
}

void PoolBalancer::MoveToStandby(
    const PoolName& standby,
    const std::vector<const jobs::Worker*>& surplus,
    Decision* decision) {
  std::map<jobs::WorkerIncarnation, TimePoint> idle;
  const TimePoint now = decision->now;
  for (const jobs::Worker* worker : surplus) {
    const jobs::WorkerIncarnation& incarnation = worker->record.incarnation;
    const auto before = idle_since_.find(incarnation);
    const TimePoint idle_since =
        before == idle_since_.end() ? now : before->second;
    if (!standby.empty() && now - idle_since >= options_.idle &&
        move_budget_ >= 1) {
      IssueMove({worker->record.host, standby, incarnation}, decision);
    } else {
      idle[incarnation] = idle_since;
    }
  }
  idle_since_ = std::move(idle);
}

std::vector<HostMove> PoolBalancer::Decide(
    const jobs::JobLedger& ledger,
    const HostInventory& hosts,
    const WorkerPredicate& usable,
    const std::set<jobs::WorkerIncarnation>& reserved,
    const MayOrder& may_order,
    jobs::UnixMillis wall_time,
    TimePoint now) {
  DropSettledMoves(ledger, now);
  RefillBudget(now);
  const Pools pools = MeasurePools(
      ledger, options_.demand,
      [&](const jobs::WorkerIncarnation& incarnation) {
        return cordoned_.count(incarnation) == 0 && usable(incarnation);
      },
      reserved, wall_time);
  Decision decision{ledger, may_order, now, {}};
  const std::vector<HostName> standby_hosts =
      StandbyHosts(pools, hosts, decision);
  ComputeSizings(pools,
                 std::count_if(hosts.rows().begin(), hosts.rows().end(),
                               [&](const auto& item) {
                                 return !ledger.IsEvacuated(item.second.zone);
                               }),
                 now);
  std::vector<const jobs::Worker*> surplus = SurplusHosts(pools, decision);
  FillPools(standby_hosts, &surplus, pools, &decision);
  const auto standby =
      std::find_if(pools.begin(), pools.end(),
                   [](const auto& item) { return item.second.standby; });
  MoveToStandby(standby == pools.end() ? PoolName() : standby->first, surplus,
                &decision);
  return std::move(decision.moves);
}

}  // namespace boragewinch::scheduler
