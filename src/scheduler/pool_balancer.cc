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
/// Assumed duration of a task without an estimate.
constexpr double kUnknownEstimateMs = 1'000;
/// Work arrives unevenly: hosts for so much more than its mean rate.
constexpr double kArrivalHeadroom = 1.15;

/// \returns processor milliseconds times thousandths of a core.
[[nodiscard]] double WorkOf(const jobs::StepSpec& step, std::int64_t tasks) {
  const double each = step.estimate.count() > 0
                          ? static_cast<double>(step.estimate.count())
                          : kUnknownEstimateMs;
  return each * static_cast<double>(step.request.cpu_millis) *
         static_cast<double>(tasks);
}

}  // namespace

struct PoolBalancer::Pool {
  bool standby = false;
  double capacity = 0;  ///< thousandths of a core of the present workers
  double lasting = 0;   ///< of it taken by long-running tasks
  double arrival = 0;   ///< work that arrived in the window
  double backlog = 0;   ///< work of tasks that wait and may start
  double host_cpu = 0;  ///< of the largest worker
  std::int64_t hosts = 0;
  std::int64_t wanted = 0;
  std::vector<const jobs::Worker*> empty;  ///< may be moved away
};

std::map<PoolName, PoolBalancer::Pool> PoolBalancer::Measure(
    const jobs::JobLedger& ledger,
    const std::set<jobs::WorkerLife>& held,
    jobs::UnixMillis time_of_day) const {
  std::map<PoolName, Pool> pools;
  for (const auto& [name, rule] : ledger.rules().pools)
    pools[name].standby = rule.standby;
  for (const auto& [life, worker] : ledger.workers()) {
    const auto found = pools.find(worker.note.pool);
    if (found == pools.end() || worker.note.draining)
      continue;
    Pool& pool = found->second;
    const auto cpu = static_cast<double>(worker.note.capacity.cpu_millis);
    pool.host_cpu = std::max(pool.host_cpu, cpu);
    if (clearing_.count(life) > 0)
      continue;
    pool.capacity += cpu;
    ++pool.hosts;
    if (worker.runs.empty() && held.count(life) == 0 &&
        !worker.note.host.empty()) {
      pool.empty.push_back(&worker);
    }
  }
  AddDemand(ledger, time_of_day, &pools);
  return pools;
}

void PoolBalancer::AddDemand(const jobs::JobLedger& ledger,
                             jobs::UnixMillis time_of_day,
                             std::map<PoolName, Pool>* pools) const {
  const jobs::UnixMillis window_start =
      time_of_day - options_.arrival_window.count();
  for (const jobs::JobId& id : ledger.active()) {
    const jobs::Job* job = ledger.FindJob(id);
    const jobs::QueueRule* queue = ledger.rules().FindQueue(job->queue);
    const auto found =
        queue == nullptr ? pools->end() : pools->find(queue->pool);
    if (found == pools->end())
      continue;
    Pool& pool = found->second;
    for (const auto& [number, occurrence] : job->occurrences) {
      const bool recent = occurrence.opened >= window_start;
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const jobs::StepSpec& spec = job->spec->steps[s];
        const jobs::Step& step = occurrence.steps[s];
        if (spec.fills)
          continue;
        if (spec.long_running) {
          pool.lasting += static_cast<double>(spec.request.cpu_millis) *
                          static_cast<double>(spec.tasks);
          continue;
        }
        if (recent)
          pool.arrival += WorkOf(spec, spec.tasks);
        if (step.waiting() > 0 && job->StepReady(occurrence, s))
          pool.backlog += WorkOf(spec, step.waiting());
      }
    }
  }
}

bool PoolBalancer::MayOrder(const HostName& host, TimePoint now) const {
  const auto refused = refused_until_.find(host);
  return open_.count(host) == 0 &&
         (refused == refused_until_.end() || now >= refused->second);
}

void PoolBalancer::Order(const HostMove& move,
                         TimePoint now,
                         std::vector<HostMove>* out) {
  open_[move.host] = {move, now, false};
  if (!move.worker.id.empty())
    clearing_.insert(move.worker);
  out->push_back(move);
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

std::int64_t PoolBalancer::WantedHosts(const Pool& pool,
                                       std::int64_t floor_hosts) const {
  const auto window = static_cast<double>(options_.arrival_window.count());
  const auto target = static_cast<double>(options_.backlog_target.count());
  const double rate = kArrivalHeadroom * pool.arrival / window;
  const double wanted = pool.lasting + std::max(rate, pool.backlog / target);
  return std::max(floor_hosts, static_cast<std::int64_t>(std::ceil(
                                   wanted / std::max(1.0, pool.host_cpu))));
}

std::vector<HostName> PoolBalancer::HostsOff(
    const std::map<PoolName, Pool>& pools,
    const HostBook& hosts,
    TimePoint now) const {
  std::vector<HostName> off;
  for (const auto& [host, row] : hosts.rows()) {
    const auto pool = pools.find(row.pool);
    if (pool != pools.end() && pool->second.standby &&
        row.state == HostState::kUp && row.worker.empty() &&
        MayOrder(host, now)) {
      off.push_back(host);
    }
  }
  return off;
}

// Hosts beyond what their pool wants.
std::vector<const jobs::Worker*> PoolBalancer::SpareHosts(
    const std::map<PoolName, Pool>& pools,
    TimePoint now) const {
  std::vector<const jobs::Worker*> spare;
  for (const auto& [name, pool] : pools) {
    std::int64_t surplus = pool.standby ? 0 : pool.hosts - pool.wanted;
    for (const jobs::Worker* worker : pool.empty) {
      if (surplus <= 0)
        break;
      if (!MayOrder(worker->note.host, now))
        continue;
      spare.push_back(worker);
      --surplus;
    }
  }
  return spare;
}

// Hosts that are off come first: the others may be wanted again where they are.
void PoolBalancer::FillPools(const std::map<PoolName, Pool>& pools,
                             std::vector<HostName> off,
                             std::vector<const jobs::Worker*>* spare,
                             TimePoint now,
                             std::vector<HostMove>* moves) {
  std::map<PoolName, std::int64_t> arriving;
  for (const auto& [host, open] : open_)
    ++arriving[open.move.to];
  for (const auto& [name, pool] : pools) {
    if (pool.standby || pool.backlog <= 0)
      continue;
    const PoolName& to = name;
    std::int64_t missing = pool.wanted - pool.hosts - arriving[to];
    for (; missing > 0 && open_.size() < options_.max_open; --missing) {
      if (!off.empty()) {
        Order({off.back(), to, {}}, now, moves);
        off.pop_back();
        continue;
      }
      const auto source = std::find_if(
          spare->begin(), spare->end(),
          [&](const jobs::Worker* worker) { return worker->note.pool != to; });
      if (source == spare->end())
        break;
      const jobs::WorkerNote& note = (*source)->note;
      Order({note.host, to, note.life}, now, moves);
      spare->erase(source);
    }
  }
}

void PoolBalancer::SwitchOff(const PoolName& standby,
                             const std::vector<const jobs::Worker*>& spare,
                             TimePoint now,
                             std::vector<HostMove>* moves) {
  std::map<jobs::WorkerLife, TimePoint> idle;
  for (const jobs::Worker* worker : spare) {
    const jobs::WorkerLife& life = worker->note.life;
    const auto before = idle_since_.find(life);
    const TimePoint since = before == idle_since_.end() ? now : before->second;
    if (!standby.empty() && now - since >= options_.idle &&
        open_.size() < options_.max_open) {
      Order({worker->note.host, standby, life}, now, moves);
    } else {
      idle[life] = since;
    }
  }
  idle_since_ = std::move(idle);
}

std::vector<HostMove> PoolBalancer::Decide(
    const jobs::JobLedger& ledger,
    const HostBook& hosts,
    const std::set<jobs::WorkerLife>& held,
    jobs::UnixMillis time_of_day,
    TimePoint now) {
  ForgetSettled(ledger, now);
  std::map<PoolName, Pool> pools = Measure(ledger, held, time_of_day);
  const std::vector<HostName> off = HostsOff(pools, hosts, now);
  PoolName standby;
  double serving = 0;
  auto available = static_cast<double>(off.size());
  for (const auto& [name, pool] : pools) {
    if (pool.standby)
      standby = name;
    serving += pool.standby ? 0 : 1;
    available += pool.standby ? 0 : static_cast<double>(pool.hosts);
  }
  const auto floor_hosts = static_cast<std::int64_t>(
      std::ceil(options_.floor_share * available / std::max(1.0, serving)));
  for (auto& [name, pool] : pools)
    pool.wanted = WantedHosts(pool, floor_hosts);
  std::vector<const jobs::Worker*> spare = SpareHosts(pools, now);
  std::vector<HostMove> moves;
  FillPools(pools, off, &spare, now, &moves);
  SwitchOff(standby, spare, now, &moves);
  return moves;
}

}  // namespace boragewinch::scheduler
