#include "policy/job_queue.h"

#include <algorithm>
#include <limits>
#include <string>
#include <tuple>

#include "policy/customer_backlog.h"

namespace boragewinch {

namespace {

// Resource usage of a team in one pool or in all pools.
struct Usage {
  UsageVector own{};
  UsageVector peers{};
  UsageAverage average;

  void Add(const Resources& demand, double sign, Millis window, TimePoint now) {
    const UsageVector change = ToUsage(demand);
    for (std::size_t i = 0; i < own.size(); ++i)
      own[i] = std::max(0.0, own[i] + sign * change[i]);
    Update(window, now);
  }
  void Update(Millis window, TimePoint now) {
    UsageVector sum = own;
    for (std::size_t i = 0; i < sum.size(); ++i)
      sum[i] += peers[i];
    average.Set(sum, window, now);
  }
};

struct TeamState {
  TeamName name;
  double weight = 1;
  Usage usage;
  UsageVector urgent{};  // usage of urgent tasks run by this entry host
  std::size_t waiting = 0;
  std::set<PoolName> pools;  // in which the team has waiting jobs
  bool active = false;
};

struct BacklogKey {
  TeamName team;
  Urgency urgency;
  CustomerName customer;
};

// Waiting jobs of one team in one pool with one urgency.
struct TeamBacklogs {
  std::map<CustomerName, CustomerBacklog> customers;
  std::set<std::pair<double, CustomerName>> least_served;  // non-empty backlogs
  // Last customer tried by a decision whose attempts ran out; the next decision
  // continues behind it.
  std::pair<double, CustomerName> resume;
};

using WaitKey = std::tuple<TimePoint, TeamName, Urgency, CustomerName>;

struct PoolState {
  PoolName name;
  std::map<TeamName, std::pair<TeamState*, std::array<TeamBacklogs, 2>>> teams;
  std::unordered_map<TeamName, Usage> usage;
  std::set<WaitKey> by_wait;  // non-empty backlogs, by start of wait
  std::map<std::uint64_t, BacklogKey> overdue;  // removed from `by_wait`
  std::uint64_t starts = 0;
  bool retry_pending = false;
  std::size_t waiting = 0;
  std::map<CustomerBacklog::Order, const PendingJob*> urgent;
  std::uint32_t starts_by_share = 0;
  std::uint64_t ready = 0;  // position among the ready pools; 0 if not ready
  bool ready_urgent = false;
};

struct JobEntry {
  PendingJob job;
  std::uint64_t sequence;
};

// Customers without waiting jobs are kept, so that their usage still counts for
// their next jobs. Above this number of customers the idle ones are erased.
constexpr std::size_t kMaxIdleCustomers = 1'024;

}  // namespace

struct JobQueue::Impl {
  explicit Impl(const JobQueueConfig& checked) : config(checked) {}

  TeamState& Team(const TeamName& name) {
    std::unique_ptr<TeamState>& team = teams[name];
    if (!team) {
      team = std::make_unique<TeamState>();
      team->name = name;
      if (const auto found = shares.find(name); found != shares.end())
        team->weight =
            static_cast<double>(std::max<std::int64_t>(found->second, 1));
    }
    return *team;
  }

  void UpdateActive(TeamState& team) {
    const UsageVector& running = team.usage.average.running();
    const bool active = team.waiting > 0 || running[0] > 0.5;
    if (active == team.active)
      return;
    team.active = active;
    active_weight += active ? team.weight : -team.weight;
  }

  void Count(const TeamName& name,
             const Resources& demand,
             double sign,
             TimePoint now) {
    TeamState& team = Team(name);
    team.usage.Add(demand, sign, config.window, now);
    UpdateActive(team);
  }

  void CountUrgent(const PendingJob& job, double sign) {
    if (job.urgency != Urgency::kUrgent)
      return;
    UsageVector& urgent = Team(job.team).urgent;
    const UsageVector change = ToUsage(job.demand);
    for (std::size_t i = 0; i < urgent.size(); ++i)
      urgent[i] = std::max(0.0, urgent[i] + sign * change[i]);
  }

  [[nodiscard]] double FairShare(const TeamState& team) const noexcept {
    const double sum = active_weight + (team.active ? 0 : team.weight);
    return sum > 0 ? team.weight / sum : 1;
  }

  // A team may use its whole fair share for urgent work. Normal work above the
  // fair share does not delay its urgent work.
  [[nodiscard]] bool WithinFairShare(const TeamState& team) const {
    const UsageVector& running =
        config.urgent_by_class ? team.urgent : team.usage.average.running();
    return DominantShare(running, capacity) < FairShare(team);
  }

  [[nodiscard]] double Blend(Usage& usage, TimePoint now) const {
    usage.average.Advance(config.window, now);
    const double history = config.history_percent / 100.0;
    return (1 - history) * DominantShare(usage.average.running(), capacity) +
           history * DominantShare(usage.average.average(), capacity);
  }

  // The weighted dominant share by which teams are ordered, lowest first.
  [[nodiscard]] double ShareKey(PoolState& pool,
                                TeamState& team,
                                TimePoint now) const {
    const double in_pool = config.pool_percent / 100.0;
    return (in_pool * Blend(pool.usage[team.name], now) +
            (1 - in_pool) * Blend(team.usage, now)) /
           team.weight;
  }

  void MarkReady(PoolState& pool) {
    const bool urgent = !pool.urgent.empty();
    if (pool.waiting == 0 || (pool.ready != 0 && pool.ready_urgent == urgent))
      return;
    ClearReady(pool);
    pool.ready = ++last_ready_position;
    pool.ready_urgent = urgent;
    ready.emplace(!urgent, pool.ready, &pool);
  }

  void ClearReady(PoolState& pool) {
    if (pool.ready == 0)
      return;
    ready.erase({!pool.ready_urgent, pool.ready, &pool});
    pool.ready = 0;
  }

  static void AddWait(PoolState& pool,
                      const PendingJob& job,
                      const CustomerBacklog& backlog) {
    pool.by_wait.emplace(backlog.waiting_since, job.team, job.urgency,
                         job.customer);
  }

  static void RemoveWait(PoolState& pool,
                         const PendingJob& job,
                         CustomerBacklog& backlog) {
    pool.by_wait.erase(
        {backlog.waiting_since, job.team, job.urgency, job.customer});
    if (backlog.overdue != 0)
      pool.overdue.erase(backlog.overdue);
    backlog.overdue = 0;
  }

  [[nodiscard]] static CustomerBacklog& BacklogOf(PoolState& pool,
                                                  const BacklogKey& key) {
    return pool.teams.at(key.team)
        .second[static_cast<std::size_t>(key.urgency)]
        .customers.at(key.customer);
  }

  // Moves a backlog behind the other overdue backlogs of its pool.
  void MarkOverdue(PoolState& pool, BacklogKey key) {
    CustomerBacklog& backlog = BacklogOf(pool, key);
    backlog.overdue = ++next_overdue;
    backlog.must_start_by =
        pool.starts + kOverdueEvery * (pool.overdue.size() + 1);
    pool.overdue.emplace(backlog.overdue, std::move(key));
  }

  void Insert(const JobEntry& entry) {
    const PendingJob& job = entry.job;
    PoolState& pool = pools[job.pool];
    pool.name = job.pool;
    TeamState& team = Team(job.team);
    auto& [owner, by_urgency] = pool.teams[job.team];
    owner = &team;
    TeamBacklogs& backlogs = by_urgency[static_cast<std::size_t>(job.urgency)];
    if (backlogs.customers.size() > kMaxIdleCustomers) {
      std::erase_if(backlogs.customers,
                    [](const auto& item) { return item.second.empty(); });
    }
    CustomerBacklog& backlog = backlogs.customers[job.customer];
    if (backlog.empty()) {
      backlog.waiting_since = std::max(backlog.last_start, job.enqueued);
      backlogs.least_served.emplace(backlog.log_usage(), job.customer);
      AddWait(pool, job, backlog);
    }
    backlog.Add(job, entry.sequence);
    ++pool.waiting;
    if (job.urgency == Urgency::kUrgent)
      pool.urgent.emplace(std::pair(job.enqueued, entry.sequence), &job);
    ++team.waiting;
    team.pools.insert(job.pool);
    UpdateActive(team);
    MarkReady(pool);
  }

  // Removes a job from all indexes. `start_cost` is negative if the job is not
  // started.
  void Erase(const JobEntry& entry, double start_cost, TimePoint now) {
    const PendingJob& job = entry.job;
    PoolState& pool = pools.at(job.pool);
    auto& [owner, by_urgency] = pool.teams.at(job.team);
    TeamState& team = *owner;
    TeamBacklogs& backlogs = by_urgency[static_cast<std::size_t>(job.urgency)];
    CustomerBacklog& backlog = backlogs.customers.at(job.customer);
    backlogs.least_served.erase({backlog.log_usage(), job.customer});
    backlog.Remove(job, entry.sequence);
    if (start_cost >= 0 || backlog.empty())
      RemoveWait(pool, job, backlog);
    if (start_cost >= 0) {
      backlog.Charge(start_cost, config.window, now);
      backlog.last_start = backlog.waiting_since = now;
      if (!backlog.empty())
        AddWait(pool, job, backlog);
    }
    if (!backlog.empty())
      backlogs.least_served.emplace(backlog.log_usage(), job.customer);
    --pool.waiting;
    pool.urgent.erase({job.enqueued, entry.sequence});
    --team.waiting;
    if (by_urgency[0].least_served.empty() &&
        by_urgency[1].least_served.empty()) {
      team.pools.erase(job.pool);
    }
    UpdateActive(team);
    if (pool.waiting == 0)
      ClearReady(pool);
  }

  void CollectOverdue(PoolState& pool, TimePoint now) {
    while (!pool.by_wait.empty()) {
      const auto& [since, team, urgency, customer] = *pool.by_wait.begin();
      if (since + config.max_customer_wait > now)
        break;
      MarkOverdue(pool, {team, urgency, customer});
      pool.by_wait.erase(pool.by_wait.begin());
    }
  }

  [[nodiscard]] bool TeamOpen(const TeamName& team) const {
    return !team_open || team_open(team);
  }

  [[nodiscard]] const PendingJob* FindIn(CustomerBacklog& backlog,
                                         std::size_t& attempts,
                                         const Startable& startable) {
    std::size_t left = std::min(attempts, config.attempts_per_customer);
    const std::size_t before = left;
    const PendingJob* job = backlog.Find(left, startable);
    attempts -= before - left;
    stats.tried += before - left;
    return job;
  }

  // Customers are tried by ascending decayed usage. If the attempts run out,
  // the next decision tries the first customer and continues behind the last
  // one that was tried.
  [[nodiscard]] const PendingJob* FindInTeam(TeamBacklogs& backlogs,
                                             const Startable& startable) {
    if (backlogs.least_served.empty())
      return nullptr;
    std::size_t attempts = config.attempts_per_team;
    const auto first = backlogs.least_served.begin();
    const PendingJob* job =
        FindIn(backlogs.customers.at(first->second), attempts, startable);
    auto next =
        backlogs.least_served.upper_bound(std::max(backlogs.resume, *first));
    for (;
         job == nullptr && attempts > 0 && next != backlogs.least_served.end();
         ++next) {
      job = FindIn(backlogs.customers.at(next->second), attempts, startable);
      backlogs.resume = *next;
    }
    if (job != nullptr || next == backlogs.least_served.end())
      backlogs.resume = {-std::numeric_limits<double>::infinity(), {}};
    return job;
  }

  [[nodiscard]] const PendingJob* FindOverdue(PoolState& pool,
                                              const Startable& startable) {
    std::vector<std::uint64_t> passed_over;
    const PendingJob* found = nullptr;
    std::size_t attempts = config.attempts_per_team;
    for (const auto& [order, key] : pool.overdue) {
      if (attempts == 0)
        break;
      if (TeamOpen(key.team))
        found = FindIn(BacklogOf(pool, key), attempts, startable);
      if (found != nullptr)
        break;
      passed_over.push_back(order);
      attempts -= std::min<std::size_t>(attempts, 1);
    }
    // Customers without a startable job move behind the other overdue ones;
    // otherwise a few of them could use up the attempts of every decision.
    for (const std::uint64_t order : passed_over)
      MarkOverdue(pool, std::move(pool.overdue.extract(order).mapped()));
    return found;
  }

  [[nodiscard]] const PendingJob* FindByShare(PoolState& pool,
                                              TimePoint now,
                                              const Startable& startable) {
    struct Candidate {
      bool behind;  // sorted behind teams that have priority for urgent work
      double key;
      std::array<TeamBacklogs, 2>* backlogs;
    };
    std::vector<Candidate> order;
    for (auto& [name, item] : pool.teams) {
      auto& [team, backlogs] = item;
      const bool urgent = !backlogs[static_cast<std::size_t>(Urgency::kUrgent)]
                               .least_served.empty();
      if (!urgent && backlogs[static_cast<std::size_t>(Urgency::kNormal)]
                         .least_served.empty())
        continue;
      if (!TeamOpen(name))
        continue;
      const double key = ShareKey(pool, *team, now);
      const bool within_fair_share = WithinFairShare(*team);
      order.push_back({!(urgent && within_fair_share), key, &backlogs});
    }
    std::sort(order.begin(), order.end(),
              [](const Candidate& a, const Candidate& b) {
                return std::tie(a.behind, a.key) < std::tie(b.behind, b.key);
              });
    for (const Candidate& candidate : order) {
      for (const Urgency urgency : {Urgency::kUrgent, Urgency::kNormal}) {
        const PendingJob* job =
            FindInTeam((*candidate.backlogs)[static_cast<std::size_t>(urgency)],
                       startable);
        if (job != nullptr)
          return job;
      }
    }
    return nullptr;
  }

  [[nodiscard]] std::optional<PendingJob> Take(PoolState& pool,
                                               TimePoint now,
                                               const Startable& startable) {
    if (pool_open && !pool_open(pool.name))
      return std::nullopt;
    const PendingJob* found = nullptr;
    CollectOverdue(pool, now);
    if (pool.starts_by_share + 1 >= kOverdueEvery) {
      found = FindOverdue(pool, startable);
      if (found != nullptr) {
        pool.starts_by_share = 0;
        ++stats.overdue_started;
      }
    }
    if (found == nullptr) {
      found = FindByShare(pool, now, startable);
      if (found != nullptr && pool.starts_by_share < kOverdueEvery)
        ++pool.starts_by_share;
    }
    if (found == nullptr)
      return std::nullopt;
    ++stats.started;
    ++pool.starts;
    const CustomerBacklog& backlog =
        BacklogOf(pool, {found->team, found->urgency, found->customer});
    if (backlog.overdue != 0 && pool.starts > backlog.must_start_by)
      ++stats.max_wait_exceeded;
    auto entry = jobs.extract(found->id);
    const UsageVector demand = ToUsage(entry.mapped().job.demand);
    Erase(entry.mapped(), DominantShare(demand, capacity), now);
    return std::move(entry.mapped().job);
  }

  JobQueueConfig config;
  std::function<bool(const PoolName&)> pool_open;
  std::function<bool(const TeamName&)> team_open;
  JobQueueStats stats;
  UsageVector capacity{};
  double active_weight = 0;
  std::map<TeamName, std::int64_t> shares;
  std::unordered_map<TeamName, std::unique_ptr<TeamState>> teams;
  std::unordered_map<PoolName, PoolState> pools;
  std::unordered_map<RequestId, JobEntry> jobs;
  std::set<std::tuple<bool, std::uint64_t, PoolState*>> ready;
  std::deque<std::pair<TimePoint, PoolName>> retries;
  std::uint64_t last_ready_position = 0;
  std::uint64_t next_sequence = 0;
  std::uint64_t next_overdue = 0;
};

Result<JobQueue> JobQueue::Make(const JobQueueConfig& config) {
  BW_CHECK(config.Check());
  return JobQueue(std::make_unique<Impl>(config));
}

JobQueue::JobQueue(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
JobQueue::JobQueue(JobQueue&&) noexcept = default;
JobQueue& JobQueue::operator=(JobQueue&&) noexcept = default;
JobQueue::~JobQueue() = default;

void JobQueue::SetChecks(std::function<bool(const PoolName&)> pool_open,
                         std::function<bool(const TeamName&)> team_open) {
  impl_->pool_open = std::move(pool_open);
  impl_->team_open = std::move(team_open);
}

Status JobQueue::Push(PendingJob job, TimePoint now) {
  job.enqueued = std::min(job.enqueued, now);
  const RequestId id = job.id;
  const auto [entry, added] = impl_->jobs.try_emplace(
      id, JobEntry{std::move(job), impl_->next_sequence});
  if (!added) {
    return Fail(ErrorCode::kDuplicateName,
                "job " + id.str() + " is already in the queue");
  }
  ++impl_->next_sequence;
  impl_->Insert(entry->second);
  return Ok();
}

bool JobQueue::Remove(const RequestId& id) {
  const auto found = impl_->jobs.find(id);
  if (found == impl_->jobs.end())
    return false;
  impl_->Erase(found->second, -1, TimePoint());
  impl_->jobs.erase(found);
  return true;
}

std::optional<PendingJob> JobQueue::Next(TimePoint now,
                                         const Startable& startable) {
  auto& retries = impl_->retries;
  while (!retries.empty() && retries.front().first <= now) {
    PoolState& pool = impl_->pools.at(retries.front().second);
    pool.retry_pending = false;
    impl_->MarkReady(pool);
    retries.pop_front();
  }
  while (!impl_->ready.empty()) {
    PoolState& pool = *std::get<2>(*impl_->ready.begin());
    auto job = impl_->Take(pool, now, startable);
    impl_->ClearReady(pool);
    if (job) {
      impl_->MarkReady(pool);
      return job;
    }
    if (!std::exchange(pool.retry_pending, true))
      retries.emplace_back(now + kRetryInterval, pool.name);
  }
  return std::nullopt;
}

std::optional<PendingJob> JobQueue::NextIn(const PoolName& pool,
                                           TimePoint now,
                                           const Startable& startable) {
  const auto found = impl_->pools.find(pool);
  if (found == impl_->pools.end() || found->second.waiting == 0)
    return std::nullopt;
  return impl_->Take(found->second, now, startable);
}

void JobQueue::OnStarted(const PendingJob& job, TimePoint now) {
  impl_->Count(job.team, job.demand, 1, now);
  impl_->pools[job.pool].usage[job.team].Add(job.demand, 1,
                                             impl_->config.window, now);
  impl_->CountUrgent(job, 1);
}

void JobQueue::OnEnded(const PendingJob& job, TimePoint now) {
  impl_->Count(job.team, job.demand, -1, now);
  impl_->pools[job.pool].usage[job.team].Add(job.demand, -1,
                                             impl_->config.window, now);
  impl_->CountUrgent(job, -1);
  MarkReady(job.pool);
  // If the team was at its limit, its jobs in other pools were not startable.
  for (const PoolName& other : impl_->Team(job.team).pools)
    MarkReady(other);
}

void JobQueue::MarkReady(const PoolName& pool) {
  if (const auto found = impl_->pools.find(pool); found != impl_->pools.end())
    impl_->MarkReady(found->second);
}

void JobQueue::MarkAllReady() {
  for (auto& [name, pool] : impl_->pools)
    impl_->MarkReady(pool);
}

void JobQueue::SetShares(const std::map<TeamName, std::int64_t>& shares) {
  impl_->shares = shares;
  impl_->active_weight = 0;
  for (auto& [name, team] : impl_->teams) {
    const auto found = shares.find(name);
    team->weight =
        found == shares.end()
            ? 1.0
            : static_cast<double>(std::max<std::int64_t>(found->second, 1));
    impl_->active_weight += team->active ? team->weight : 0;
  }
}

void JobQueue::SetZoneUsage(const std::map<TeamName, UsageVector>& usage,
                            TimePoint now) {
  for (const auto& [name, peers] : usage)
    impl_->Team(name).usage.peers = peers;
  for (auto& [name, team] : impl_->teams) {
    if (!usage.contains(name))
      team->usage.peers = UsageVector{};
    team->usage.Update(impl_->config.window, now);
    impl_->UpdateActive(*team);
  }
}

void JobQueue::SetZonePoolUsage(
    const std::map<PoolName, std::map<TeamName, UsageVector>>& usage,
    TimePoint now) {
  for (const auto& [pool, teams] : usage) {
    PoolState& state = impl_->pools[pool];
    state.name = pool;
    for (const auto& [team, peers] : teams)
      state.usage[team].peers = peers;
  }
  for (auto& [name, pool] : impl_->pools) {
    const auto listed = usage.find(name);
    for (auto& [team, item] : pool.usage) {
      if (listed == usage.end() || !listed->second.contains(team))
        item.peers = UsageVector{};
      item.Update(impl_->config.window, now);
    }
  }
}

void JobQueue::SetCapacity(const UsageVector& total) noexcept {
  impl_->capacity = total;
}

std::size_t JobQueue::size() const noexcept {
  return impl_->jobs.size();
}

const JobQueueStats& JobQueue::stats() const noexcept {
  return impl_->stats;
}

TeamShareStatus JobQueue::ShareStatus(const TeamName& team, TimePoint now) {
  TeamState& state = impl_->Team(team);
  state.usage.average.Advance(impl_->config.window, now);
  return {DominantShare(state.usage.average.running(), impl_->capacity),
          DominantShare(state.usage.average.average(), impl_->capacity),
          impl_->FairShare(state), state.waiting};
}

std::vector<PendingJob> JobQueue::UrgentWaiting(const PoolName& pool,
                                                std::size_t max) const {
  std::vector<PendingJob> jobs;
  const auto found = impl_->pools.find(pool);
  if (found == impl_->pools.end())
    return jobs;
  for (const auto& [order, job] : found->second.urgent) {
    if (jobs.size() >= max)
      break;
    jobs.push_back(*job);
  }
  return jobs;
}

const PendingJob* JobQueue::Find(const RequestId& id) const {
  const auto found = impl_->jobs.find(id);
  return found == impl_->jobs.end() ? nullptr : &found->second.job;
}

}  // namespace boragewinch
