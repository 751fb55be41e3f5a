#include "scheduler/pool_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace boragewinch::scheduler {

namespace {

/// A move takes 1.5 s and the worker's first announcement as long again.
constexpr Millis kMoveForgotten{6'000};
/// An order without an answer may be carried out for so long: the platform
/// delays calls by up to 12 s.
constexpr Millis kUnansweredForgotten{14'000};

}  // namespace

/// The moves of one decision and what they depend on.
struct PoolBalancer::Decision {
  const MayOrder& may_order;
  TimePoint now;
  std::vector<HostMove> moves;
};

void PoolBalancer::Inherit(const jobs::JobLedger& ledger,
                           const HostName& host,
                           const PoolName& to,
                           TimePoint at,
                           TimePoint now) {
  if (now - at > kUnansweredForgotten)
    return;
  for (const auto& [life, worker] : ledger.workers()) {
    if (worker.note.host == host && worker.note.pool != to) {
      open_[host] = {{host, to, life}, at, false};
      clearing_.insert(life);
      return;
    }
  }
}

bool PoolBalancer::IsFree(const HostName& host,
                          const Decision& decision) const {
  const auto refused = refused_until_.find(host);
  return open_.count(host) == 0 &&
         (refused == refused_until_.end() || decision.now >= refused->second) &&
         decision.may_order(host);
}

void PoolBalancer::Order(const HostMove& move, Decision* decision) {
  open_[move.host] = {move, decision->now, false};
  if (!move.worker.id.empty())
    clearing_.insert(move.worker);
  decision->moves.push_back(move);
  --budget_;
}

void PoolBalancer::RefillBudget(TimePoint now) {
  constexpr Millis kBurst{500};
  const Millis since =
      refilled_at_ ? std::min(kBurst, now - *refilled_at_) : kBurst;
  const double rate = options_.orders_per_second * options_.move_share;
  const auto seconds = [](Millis span) {
    return static_cast<double>(span.count()) / 1'000;
  };
  budget_ = std::min(budget_ + rate * seconds(since), rate * seconds(kBurst));
  refilled_at_ = now;
}

// A move is settled when the host's new worker is there.
void PoolBalancer::ForgetSettled(const jobs::JobLedger& ledger, TimePoint now) {
  std::set<HostName> arrived;
  for (const auto& [life, worker] : ledger.workers()) {
    const auto open = open_.find(worker.note.host);
    if (open != open_.end() && life != open->second.move.worker)
      arrived.insert(worker.note.host);
  }
  std::erase_if(open_, [&](const auto& item) {
    const bool over =
        arrived.count(item.first) > 0 ||
        now - item.second.at >
            (item.second.answered ? kMoveForgotten : kUnansweredForgotten);
    if (over)
      clearing_.erase(item.second.move.worker);
    return over;
  });
}

std::vector<jobs::WorkerLife> PoolBalancer::Ended(const jobs::JobLedger& ledger,
                                                  const HostBook& hosts) const {
  std::vector<jobs::WorkerLife> ended;
  for (const auto& [host, open] : open_) {
    const jobs::WorkerLife& life = open.move.worker;
    const HostRow* row = hosts.Find(host);
    if (ledger.FindWorker(life) != nullptr && row != nullptr &&
        row->state == HostState::kUp && row->worker != life.id &&
        hosts.listed_at() > open.at) {
      ended.push_back(life);
    }
  }
  return ended;
}

void PoolBalancer::OnAnswer(const HostMove& move,
                            const Result<HostVerdict>& verdict,
                            TimePoint now) {
  const auto open = open_.find(move.host);
  if (open == open_.end())
    return;
  open->second.answered = verdict.has_value();
  open->second.at = now;
  if (verdict && verdict.value() == HostVerdict::kDone)
    return;
  refused_until_[move.host] = now + options_.refused_pause;
  // Without an answer the host may move: it stays reserved for a while.
  if (verdict) {
    clearing_.erase(move.worker);
    open_.erase(open);
  }
}

double PoolBalancer::NeededHosts(const PoolDemand& pool) const {
  Load waiting = pool.ready;
  waiting += pool.blocked;
  Load demand = pool.arriving.Times(options_.arrival_headroom).Max(waiting);
  demand += pool.lasting;
  return demand.HostsOf(pool.host);
}

// Pools rank by the time since their last burst: the one that has waited
// longest, or has not had one, keeps the whole reserve.
std::map<PoolName, std::int64_t> PoolBalancer::Reserves(const Pools& pools,
                                                        double mean) const {
  std::vector<PoolName> had_burst;
  std::size_t serving = 0;
  for (const auto& [name, pool] : pools) {
    serving += pool.standby ? 0 : 1;
    if (!pool.standby && last_burst_.count(name) > 0)
      had_burst.push_back(name);
  }
  // The latest burst first.
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
    const auto place = std::find(had_burst.begin(), had_burst.end(), name);
    const double rank =
        place == had_burst.end()
            ? 1.0
            : static_cast<double>(place - had_burst.begin()) / others;
    const double share =
        options_.least_share +
        rank * std::max(0.0, options_.reserve_share - options_.least_share);
    reserves[name] = static_cast<std::int64_t>(std::ceil(share * mean));
  }
  return reserves;
}

void PoolBalancer::NoteBurst(const PoolName& name, double mean, TimePoint now) {
  PoolView& view = views_.at(name);
  const double least = options_.burst_share * mean;
  if (view.needed >= least) {
    burst_since_.try_emplace(name, now);
    last_burst_[name] = now;
  } else if (view.needed < least / 2) {
    burst_since_.erase(name);
  }
  const auto since = burst_since_.find(name);
  view.burst = since != burst_since_.end();
  if (!view.burst || now - since->second >= options_.surge_time)
    return;
  const double left =
      1.0 - static_cast<double>((now - since->second).count()) /
                static_cast<double>(options_.surge_time.count());
  view.needed *= 1.0 + (options_.surge - 1.0) * left;
}

void PoolBalancer::Judge(const Pools& pools, std::size_t hosts, TimePoint now) {
  views_.clear();
  for (const auto& [host, open] : open_)
    ++views_[open.move.to].arriving;
  const auto serving =
      std::count_if(pools.begin(), pools.end(),
                    [](const auto& item) { return !item.second.standby; });
  const double mean = static_cast<double>(hosts) /
                      static_cast<double>(std::max<std::ptrdiff_t>(1, serving));
  for (const auto& [name, reserve] : Reserves(pools, mean)) {
    const PoolDemand& pool = pools.at(name);
    PoolView& view = views_[name];
    view.hosts = pool.hosts;
    view.reserve = reserve;
    view.needed = NeededHosts(pool);
    NoteBurst(name, mean, now);
    view.wanted = std::max({view.reserve, pool.spread,
                            static_cast<std::int64_t>(std::ceil(view.needed))});
  }
}

std::vector<HostName> PoolBalancer::HostsOff(const Pools& pools,
                                             const HostBook& hosts,
                                             const Decision& decision) const {
  std::vector<HostName> off;
  for (const auto& [host, row] : hosts.rows()) {
    const auto pool = pools.find(row.pool);
    if (pool != pools.end() && pool->second.standby &&
        row.state == HostState::kUp && row.worker.empty() &&
        IsFree(host, decision)) {
      off.push_back(host);
    }
  }
  return off;
}

// Hosts beyond what their pool wants.
std::vector<const jobs::Worker*> PoolBalancer::SpareHosts(
    const Pools& pools,
    const Decision& decision) const {
  std::vector<const jobs::Worker*> spare;
  for (const auto& [name, pool] : pools) {
    if (pool.standby)
      continue;
    std::int64_t surplus = pool.hosts - views_.at(name).wanted;
    for (const jobs::Worker* worker : pool.empty) {
      if (surplus <= 0)
        break;
      if (!IsFree(worker->note.host, decision))
        continue;
      spare.push_back(worker);
      --surplus;
    }
  }
  return spare;
}

bool PoolBalancer::OrderHostFor(const PoolName& to,
                                std::vector<HostName>* off,
                                std::vector<const jobs::Worker*>* spare,
                                Decision* decision) {
  // Hosts that are off come first: the others may be wanted again where they
  // are.
  if (!off->empty()) {
    Order({off->back(), to, {}}, decision);
    off->pop_back();
    return true;
  }
  const auto source = std::find_if(
      spare->begin(), spare->end(),
      [&](const jobs::Worker* worker) { return worker->note.pool != to; });
  if (source == spare->end())
    return false;
  const jobs::WorkerNote& note = (*source)->note;
  Order({note.host, to, note.life}, decision);
  spare->erase(source);
  return true;
}

void PoolBalancer::FillPools(std::vector<HostName> off,
                             std::vector<const jobs::Worker*>* spare,
                             const Pools& pools,
                             Decision* decision) {
  std::map<PoolName, std::int64_t> missing;
  for (const auto& [name, pool] : pools) {
    if (pool.standby)
      continue;
    const PoolView& view = views_.at(name);
    missing[name] = view.wanted - view.hosts - view.arriving;
  }
  // A long-running task serves its users only while it is at work, and a burst
  // elsewhere may ask for more hosts than there are.
  for (const auto& [to, pool] : pools) {
    if (pool.standby)
      continue;
    std::int64_t needed = pool.lasting_hosts - views_.at(to).arriving;
    for (; needed > 0 && OrderHostFor(to, &off, spare, decision); --needed)
      --missing.at(to);
  }
  for (const PoolName& to : ByCoverage()) {
    const PoolDemand& pool = pools.at(to);
    // Without a burst the free room may well hold what has arrived.
    if (!views_.at(to).burst && !pool.lasting_waits &&
        pool.ready.HostsOf(pool.host) <= 0) {
      continue;
    }
    for (std::int64_t left = missing.at(to); left > 0 && budget_ >= 1; --left) {
      if (!OrderHostFor(to, &off, spare, decision))
        return;
    }
  }
}

// Pools that have the smallest part of what they want come first.
std::vector<PoolName> PoolBalancer::ByCoverage() const {
  const auto coverage = [](const PoolView& view) {
    return static_cast<double>(view.hosts + view.arriving) /
           static_cast<double>(std::max<std::int64_t>(1, view.wanted));
  };
  std::vector<PoolName> names;
  for (const auto& [name, view] : views_) {
    if (view.wanted > 0)
      names.push_back(name);
  }
  std::stable_sort(names.begin(), names.end(),
                   [&](const PoolName& a, const PoolName& b) {
                     return coverage(views_.at(a)) < coverage(views_.at(b));
                   });
  return names;
}

void PoolBalancer::SwitchOff(const PoolName& standby,
                             const std::vector<const jobs::Worker*>& spare,
                             Decision* decision) {
  std::map<jobs::WorkerLife, TimePoint> idle;
  const TimePoint now = decision->now;
  for (const jobs::Worker* worker : spare) {
    const jobs::WorkerLife& life = worker->note.life;
    const auto before = idle_since_.find(life);
    const TimePoint since = before == idle_since_.end() ? now : before->second;
    if (!standby.empty() && now - since >= options_.idle && budget_ >= 1) {
      Order({worker->note.host, standby, life}, decision);
    } else {
      idle[life] = since;
    }
  }
  idle_since_ = std::move(idle);
}

std::vector<HostMove> PoolBalancer::Decide(
    const jobs::JobLedger& ledger,
    const HostBook& hosts,
    const AskWorker& usable,
    const std::set<jobs::WorkerLife>& held,
    const MayOrder& may_order,
    jobs::UnixMillis time_of_day,
    TimePoint now) {
  ForgetSettled(ledger, now);
  RefillBudget(now);
  const Pools pools = MeasurePools(
      ledger, options_.demand,
      [&](const jobs::WorkerLife& life) {
        return clearing_.count(life) == 0 && usable(life);
      },
      held, time_of_day);
  Decision decision{may_order, now, {}};
  const std::vector<HostName> off = HostsOff(pools, hosts, decision);
  Judge(pools, hosts.rows().size(), now);
  std::vector<const jobs::Worker*> spare = SpareHosts(pools, decision);
  FillPools(off, &spare, pools, &decision);
  const auto standby =
      std::find_if(pools.begin(), pools.end(),
                   [](const auto& item) { return item.second.standby; });
  SwitchOff(standby == pools.end() ? PoolName() : standby->first, spare,
            &decision);
  return std::move(decision.moves);
}

}  // namespace boragewinch::scheduler
