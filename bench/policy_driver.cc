#include "bench/policy_driver.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ostream>
#include <tuple>

namespace boragewinch::bench {

namespace {

constexpr Millis kTick{100};
constexpr Millis kFailTime{150};
constexpr std::size_t kMaxAttempts = 8;

template <typename T>
[[nodiscard]] T Require(Result<T> result) {
  // The parameters are compile-time constants, so creation can't fail.
  return std::move(result).value();
}

[[nodiscard]] RequestId IdOf(std::size_t job) {
  return RequestId("j" + std::to_string(job));
}

[[nodiscard]] std::size_t IndexOf(const RequestId& id) {
  return std::stoul(id.str().substr(1));
}

[[nodiscard]] Resources ComponentMin(const Resources& a, const Resources& b) {
  return {std::min(a.cpu_millis, b.cpu_millis),
          std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators)};
}

// Explains why DecideUrgent did not preempt.
[[nodiscard]] UrgentWait WaitReason(const UrgentState& state,
                                    const UrgentConfig& config) {
  UrgentState without_ends = state;
  without_ends.ends_per_second = 0;
  if (DecideUrgent(without_ends, config).action == UrgentAction::kStop)
    return UrgentWait::kExpected;
  return state.within_fair_share ? UrgentWait::kNoVictim
                                 : UrgentWait::kOverFairShare;
}

}  // namespace

Driver::Driver(const Trace& trace, const PolicyParams& params)
    : trace_(trace),
      params_(params),
      jobs_(trace.jobs.size()),
      queue_(Require(JobQueue::Make(params.queue))),
      placement_(Require(Placement::Make(params.placement))),
      estimator_(Require(Estimator::Make(params.estimator))),
      health_(Require(WorkerHealth::Make())),
      team_running_(trace.teams.size()),
      running_(kServicePools, std::vector<std::int64_t>(trace.teams.size())),
      waiting_(running_),
      fcfs_queues_(kServicePools,
                   std::vector<std::set<std::pair<TimePoint, std::size_t>>>(
                       trace.teams.size())),
      retry_(kServicePools, true),
      end_rate_(kServicePools),
      below_since_(kServicePools, TimePoint::max()),
      used_slots_(trace.teams.size()),
      fair_slots_(trace.teams.size()) {
  std::map<TeamName, std::int64_t> shares;
  for (std::size_t i = 0; i < trace.teams.size(); ++i) {
    team_index_[trace.teams[i]] = i;
    shares[trace.teams[i]] = trace.shares[i];
    fleet_.teams[trace.teams[i]] = {trace.teams[i], trace.shares[i],
                                    trace.limits[i]};
  }
  queue_.SetShares(shares);
  queue_.SetChecks(
      [this](const PoolName& pool) { return placement_.FreeSlots(pool) > 0; },
      [this](const TeamName& team) {
        const std::size_t index = team_index_.at(team);
        return team_running_[index] < trace_.limits[index];
      });
  const double slots = kServiceHosts * 8.0;
  const double hosts = kServiceHosts;
  queue_.SetCapacity({slots,
                      hosts * static_cast<double>(trace.worker.cpu_millis),
                      hosts * static_cast<double>(trace.worker.memory_mb), 0});
  AddHosts();
}

RunFigures Driver::Run() {
  std::size_t job = 0;
  std::size_t incident = 0;
  TimePoint tick;
  const TimePoint end = FromMillis(0) + kTraceLength + Millis(120'000);
  while (now_ < end) {
    TimePoint next = tick;
    if (job < trace_.jobs.size())
      next = std::min(next, trace_.jobs[job].arrival);
    if (incident < trace_.incidents.size())
      next = std::min(next, trace_.incidents[incident].at);
    if (!events_.empty())
      next = std::min(next, events_.top().at);
    now_ = next;
    while (incident < trace_.incidents.size() &&
           trace_.incidents[incident].at <= now_) {
      Apply(trace_.incidents[incident++]);
    }
    while (!events_.empty() && events_.top().at <= now_) {
      const Event event = events_.top();
      events_.pop();
      Handle(event);
    }
    while (job < trace_.jobs.size() && trace_.jobs[job].arrival <= now_)
      Arrive(job++);
    if (tick <= now_) {
      tick += kTick;
      DetectLosses();
      AdvanceDrains();
      if (ToMillis(now_) % 1'000 == 0)
        Maintain();
      ServeUrgent();
      Measure();
    }
    Dispatch();
  }
  for (const JobState& state : jobs_)
    figures_.unfinished += state.done ? 0 : 1;
  const double thousands = static_cast<double>(jobs_.size()) / 1'000;
  figures_.failed_starts /= thousands;
  figures_.preempted /= thousands;
  figures_.lost_work = lost_work_ms_ / all_work_ms_;
  figures_.held_back = idle_slot_ticks_ / all_slot_ticks_;
  figures_.buffer_hosts = static_cast<double>(params_.spares);
  figures_.max_wait_exceeded =
      static_cast<std::int64_t>(queue_.stats().max_wait_exceeded);
  if (roll_out_end_) {
    // Lower bound: the slack of the availability budgets is always in
    // maintenance, and maintenance takes only the reboot.
    constexpr std::int64_t kSlack = kHostsPerPool - kMinAvailable;
    constexpr std::int64_t kRounds = (kHostsPerPool + kSlack - 1) / kSlack;
    const auto bound = static_cast<double>((kRounds * kRebootTime).count());
    const auto over_bound = [bound](TimePoint end) {
      const Millis took = end - (FromMillis(0) + kRollOutStart);
      return static_cast<double>(took.count()) / bound;
    };
    figures_.roll_out = over_bound(*roll_out_end_);
    figures_.roll_out_without_lost =
        over_bound(roll_out_end_without_lost_.value_or(*roll_out_end_));
  }
  double sum = 0;
  for (const double distance : distances_) {
    sum += distance;
    figures_.distance_max = std::max(figures_.distance_max, distance);
  }
  if (!distances_.empty())
    figures_.distance_mean = sum / static_cast<double>(distances_.size());
  return std::move(figures_);
}

void Driver::Schedule(TimePoint at,
                      EventKind kind,
                      std::size_t index,
                      std::uint64_t tag) {
  events_.push({at, next_order_++, kind, index, tag});
}

void Driver::Arrive(std::size_t job) {
  const TraceJob& source = trace_.jobs[job];
  PendingJob& pending = jobs_[job].pending;
  pending.id = IdOf(job);
  pending.team = trace_.teams[source.team];
  pending.customer = CustomerName("c" + std::to_string(source.customer));
  pending.pool = PoolAt(source.pool);
  pending.queue = QueueName(pending.pool.str() + "-" + pending.team.str());
  pending.urgency = source.urgency;
  pending.enqueued = now_;
  Enqueue(job);
}

void Driver::Enqueue(std::size_t job) {
  const TraceJob& source = trace_.jobs[job];
  JobState& state = jobs_[job];
  const bool learned = params_.learn_sizes && state.attempts < 3;
  state.pending.demand =
      learned ? estimator_
                    .Estimate(state.pending.team, state.pending.queue,
                              source.declared, source.declared_run_time)
                    .demand
              : source.declared;
  if (state.attempts > 0) {
    // The task may have failed because it got too little memory.
    state.pending.demand.memory_mb <<= state.attempts;
  }
  state.pending.demand = ComponentMin(state.pending.demand, trace_.worker);
  ++waiting_[source.pool][source.team];
  if (params_.admission == Admission::kShares) {
    (void)queue_.Push(state.pending, now_);
  } else {
    fcfs_queues_[source.pool][source.team].emplace(state.pending.enqueued, job);
    retry_[source.pool] = true;
  }
}

void Driver::Handle(const Event& event) {
  switch (event.kind) {
    case EventKind::kEnd:
    case EventKind::kFail: {
      JobState& state = jobs_[event.index];
      if (!state.running || state.run != event.tag)
        return;
      const HostName& host = hosts_[state.host].name;
      const bool ok = event.kind == EventKind::kEnd;
      if (params_.watch_health) {
        health_.OnStart(host, state.pending.pool, ok, now_);
        Refresh(state.host);
      }
      figures_.failed_starts += ok ? 0 : 1;
      End(event.index, ok);
      if (!ok) {
        if (params_.watch_health)
          state.pending.avoid = host;
        Restart(event.index, true);
      }
      return;
    }
    case EventKind::kPreempted: {
      JobState& state = jobs_[event.index];
      const std::size_t urgent = state.preempted_for;
      state.preempted_for = kNone;
      const bool waits = urgent != kNone && !jobs_[urgent].running &&
                         !jobs_[urgent].done &&
                         jobs_[urgent].victim == event.index;
      // Cleared even if the urgent job has started meanwhile: if it fails and
      // waits again, it may need another preemption.
      if (urgent != kNone && jobs_[urgent].victim == event.index)
        jobs_[urgent].victim = kNone;
      if (!state.running || state.run != event.tag)
        return;
      if (!waits)
        return;  // the urgent job started elsewhere; keep the victim running
      const std::size_t host = state.host;
      figures_.preempted += 1;
      lost_work_ms_ += static_cast<double>((now_ - state.start).count());
      End(event.index, false);
      Restart(event.index, false);
      if (hosts_[host].up && queue_.Remove(jobs_[urgent].pending.id)) {
        const TraceJob& source = trace_.jobs[urgent];
        --waiting_[source.pool][source.team];
        Start(urgent, host);
      }
      return;
    }
    case EventKind::kRecovered: {
      HostState& host = hosts_[event.index];
      if (host.up || host.incident != event.tag)
        return;
      host.up = true;
      host.known_lost = false;
      lost_.erase(host.name);
      TraceHost("back", event.index);
      if (fleet_.hosts[host.name].state != boragewinch::HostState::kActive)
        Schedule(now_ + kRebootTime, EventKind::kRebooted, event.index,
                 host.incident);
      Refresh(event.index);
      return;
    }
    case EventKind::kRebooted: {
      HostState& host = hosts_[event.index];
      if (!host.up || host.incident != event.tag)
        return;
      fleet_.hosts[host.name].state = boragewinch::HostState::kActive;
      fleet_.hosts[host.name].maintained_at = WallSeconds();
      TraceHost("rebooted", event.index);
      Refresh(event.index);
      return;
    }
    case EventKind::kMoved: {
      HostState& host = hosts_[event.index];
      host.moving = false;
      Host& entry = fleet_.hosts[host.name];
      if (host.up && entry.state == boragewinch::HostState::kReturning)
        entry.state = boragewinch::HostState::kActive;
      Refresh(event.index);
      return;
    }
  }
}

void Driver::Apply(const Incident& incident) {
  retry_.assign(kServicePools, true);
  switch (incident.kind) {
    case IncidentKind::kLoss:
      Lose(incident.host, incident.length);
      return;
    case IncidentKind::kBadWorker:
      hosts_[incident.host].bad_until = now_ + incident.length;
      return;
    case IncidentKind::kCancel:
      Cancel(incident.fraction);
      return;
  }
}

void Driver::Cancel(double fraction) {
  const auto step = static_cast<std::size_t>(std::lround(1 / (1 - fraction)));
  std::size_t kept = 0;
  for (std::size_t job = 0; job < jobs_.size(); ++job) {
    JobState& state = jobs_[job];
    if (trace_.jobs[job].arrival > now_)
      break;
    if (state.running || state.done)
      continue;
    const TraceJob& source = trace_.jobs[job];
    const bool waits = params_.admission == Admission::kShares
                           ? queue_.Find(state.pending.id) != nullptr
                           : fcfs_queues_[source.pool][source.team].contains(
                                 {state.pending.enqueued, job});
    const bool keep =
        fraction >= 0.5 ? kept++ % step == 0 : kept++ % 10 >= 10 * fraction;
    if (!waits || keep)
      continue;
    queue_.Remove(state.pending.id);
    fcfs_queues_[source.pool][source.team].erase({state.pending.enqueued, job});
    --waiting_[source.pool][source.team];
    state.done = true;
  }
}

bool Driver::Startable(const PendingJob& job) {
  const std::size_t team = team_index_.at(job.team);
  if (team_running_[team] >= trace_.limits[team])
    return false;
  if (placement_.FreeSlots(job.pool) <= 0)
    return false;
  if (job.urgency == Urgency::kNormal && params_.urgent.headroom_percent > 0 &&
      placement_.FreeSlots(job.pool) <=
          HeadroomSlots(PoolSlots(pool_index_.at(job.pool)), params_.urgent)) {
    return false;
  }
  const auto host = placement_.Choose(job, now_);
  if (host)
    chosen_ = *host;
  return host.has_value();
}

std::optional<PendingJob> Driver::NextStatic(std::size_t pool) {
  constexpr int kScanLimit = 16;  // waiting jobs examined per team
  std::int64_t shares = 0;
  for (const std::int64_t share : trace_.shares)
    shares += share;
  std::optional<std::pair<TimePoint, std::size_t>> best;
  HostName best_host;
  const std::int64_t slots = PoolSlots(pool);
  for (std::size_t team = 0; team < trace_.teams.size(); ++team) {
    const std::int64_t part = slots * trace_.shares[team] / shares;
    if (params_.admission == Admission::kStaticShares &&
        running_[pool][team] >= std::max<std::int64_t>(part, 1)) {
      continue;
    }
    int remaining = kScanLimit;
    for (const auto& entry : fcfs_queues_[pool][team]) {
      if (remaining-- == 0 || (best && *best < entry))
        break;
      if (!Startable(jobs_[entry.second].pending))
        continue;
      best = entry;
      best_host = chosen_;
      break;
    }
  }
  if (!best)
    return std::nullopt;
  chosen_ = best_host;
  fcfs_queues_[pool][trace_.jobs[best->second].team].erase(*best);
  return jobs_[best->second].pending;
}

void Driver::Dispatch() {
  const auto start = [this](const PendingJob& next) {
    const std::size_t job = IndexOf(next.id);
    const TraceJob& source = trace_.jobs[job];
    --waiting_[source.pool][source.team];
    Start(job, host_index_.at(chosen_));
  };
  if (params_.admission == Admission::kShares) {
    while (auto next = queue_.Next(
               now_, [this](const PendingJob& job) { return Startable(job); }))
      start(*next);
    return;
  }
  for (std::size_t pool = 0; pool < kServicePools; ++pool) {
    while (retry_[pool]) {
      retry_[pool] = false;
      if (placement_.FreeSlots(PoolAt(pool)) <= 0)
        break;
      while (auto next = NextStatic(pool))
        start(*next);
    }
  }
}

void Driver::Start(std::size_t job, std::size_t host_index) {
  JobState& state = jobs_[job];
  HostState& host = hosts_[host_index];
  const TraceJob& source = trace_.jobs[job];
  if (!host.up) {
    // The start call fails; the loss of the worker is detected later.
    figures_.failed_starts += 1;
    Enqueue(job);
    WorkerView view = *placement_.Find(host.name);
    view.accepting = false;
    placement_.UpdateWorker(view, now_);
    return;
  }
  placement_.OnPlaced(state.pending, host.name);
  queue_.OnStarted(state.pending, now_);
  state.running = true;
  state.host = host_index;
  state.run = ++next_run_;
  state.start = now_;
  host.tasks.insert(job);
  host.used += source.used;
  ++running_[source.pool][source.team];
  if (++team_running_[source.team] > trace_.limits[source.team])
    ++figures_.limit_violations;
  if (params_.watch_health &&
      health_.State(host.name, now_) == HealthState::kThrottled) {
    health_.OnStartIssued(host.name, now_);
    Refresh(host_index);
  }
  const bool fails =
      host.bad_until > now_ || host.used.memory_mb > trace_.worker.memory_mb;
  if (!fails && !state.started) {
    state.started = true;
    const auto wait = static_cast<double>((now_ - source.arrival).count());
    figures_.waits[static_cast<std::size_t>(source.urgency)].push_back(wait);
    if (source.urgency == Urgency::kUrgent) {
      const std::int64_t at_limit =
          state.ticks.at(static_cast<std::size_t>(UrgentWait::kTeamLimit));
      figures_.urgent_waits_below_limit.push_back(
          std::max(0.0, wait - static_cast<double>(at_limit * kTick.count())));
    }
    TraceLate(job, wait);
  }
  Schedule(now_ + (fails ? kFailTime : source.run_time),
           fails ? EventKind::kFail : EventKind::kEnd, job, state.run);
}

void Driver::End(std::size_t job, bool finished) {
  JobState& state = jobs_[job];
  HostState& host = hosts_[state.host];
  const TraceJob& source = trace_.jobs[job];
  state.running = false;
  host.tasks.erase(job);
  host.used -= source.used;
  --running_[source.pool][source.team];
  if (team_running_[source.team]-- >= trace_.limits[source.team])
    retry_.assign(kServicePools, true);
  retry_[source.pool] = true;
  end_rate_[source.pool] += 0.5;  // decays with a time constant of 2 s
  all_work_ms_ += static_cast<double>((now_ - state.start).count());
  placement_.OnEnded(state.pending.queue, state.pending.demand, host.name);
  queue_.OnEnded(state.pending, now_);
  if (!finished)
    return;
  state.done = true;
  estimator_.Observe(state.pending.team, state.pending.queue, source.declared,
                     source.declared_run_time, source.used, source.run_time);
}

void Driver::CountWait(std::size_t job, UrgentWait reason) {
  ++jobs_[job].ticks.at(static_cast<std::size_t>(reason));
}

void Driver::TraceLate(std::size_t job, double wait) const {
  const TraceJob& source = trace_.jobs[job];
  if (params_.trace == nullptr || source.urgency != Urgency::kUrgent ||
      wait <= static_cast<double>(kUrgentStartBound.count()))
    return;
  const JobState& state = jobs_[job];
  std::ostream& out = *params_.trace;
  out << ToMillis(now_) << " late " << state.pending.id.str() << " "
      << state.pending.pool.str() << " " << state.pending.team.str() << " wait "
      << wait << " attempts " << state.attempts << " memory "
      << state.pending.demand.memory_mb << " ticks";
  for (const auto& [reason, name] : kUrgentWaits.entries)
    out << " " << name << " "
        << state.ticks.at(static_cast<std::size_t>(reason));
  out << " host " << hosts_[state.host].name.str() << "\n";
}

void Driver::Restart(std::size_t job, bool failed) {
  JobState& state = jobs_[job];
  state.attempts += failed ? 1 : 0;
  if (state.attempts > kMaxAttempts) {
    state.done = true;
    return;
  }
  Enqueue(job);
}

void Driver::ServeUrgent() {
  for (double& rate : end_rate_)
    rate *= std::exp(-0.05);
  if (params_.admission != Admission::kShares || !params_.urgent.preempt)
    return;
  std::vector<bool> above_fair_share(trace_.teams.size());
  for (std::size_t team = 0; team < above_fair_share.size(); ++team) {
    const TeamShareStatus share_status =
        queue_.ShareStatus(trace_.teams[team], now_);
    above_fair_share[team] = share_status.running > share_status.fair_share;
  }
  for (std::size_t pool = 0; pool < kServicePools; ++pool) {
    std::int64_t ahead = 0;
    for (const PendingJob& job : queue_.UrgentWaiting(PoolAt(pool), 32)) {
      const std::size_t index = IndexOf(job.id);
      const std::size_t team = team_index_.at(job.team);
      if (team_running_[team] >= trace_.limits[team])
        CountWait(index, UrgentWait::kTeamLimit);
      else if (jobs_[index].victim != kNone)
        CountWait(index, UrgentWait::kStopping);
      if (jobs_[index].victim != kNone)
        continue;
      if (PoolSlots(pool) == 0)
        continue;
      UrgentState state;
      state.free_slots = 0;
      state.ahead = ahead++;
      state.ends_per_second = end_rate_[pool];
      state.waited = now_ - job.enqueued;
      state.within_fair_share = !above_fair_share[team];
      state.at_limit = team_running_[team] >= trace_.limits[team];
      if (state.at_limit) {
        state.ends_per_second *=
            static_cast<double>(running_[pool][team]) /
            static_cast<double>(std::max<std::int64_t>(
                1, std::accumulate(running_[pool].begin(), running_[pool].end(),
                                   std::int64_t{0})));
      }
      for (const HostState& host : hosts_) {
        if (!host.up || host.name == job.avoid)
          continue;
        const Resources free = placement_.Find(host.name)->free;
        for (const std::size_t task : host.tasks) {
          const TraceJob& source = trace_.jobs[task];
          if (source.pool != pool || jobs_[task].preempted_for != kNone ||
              fleet_.hosts[host.name].state !=
                  boragewinch::HostState::kActive) {
            continue;
          }
          Resources free_without_victim = free;
          free_without_victim += jobs_[task].pending.demand;
          state.running.push_back({{jobs_[task].pending.id, 1},
                                   host.name,
                                   now_ - jobs_[task].start,
                                   source.repeatable,
                                   false,
                                   above_fair_share[source.team],
                                   source.team == team,
                                   source.urgency == Urgency::kUrgent,
                                   job.demand.FitsInto(free_without_victim)});
        }
      }
      const UrgentDecision decision = DecideUrgent(state, params_.urgent);
      if (decision.action != UrgentAction::kStop) {
        if (!state.at_limit)
          CountWait(index, WaitReason(state, params_.urgent));
        continue;
      }
      CountWait(index, UrgentWait::kStopping);
      const std::size_t task = IndexOf(decision.stop->task.request);
      jobs_[task].preempted_for = index;
      jobs_[index].victim = task;
      Schedule(now_ + params_.urgent.stop_time, EventKind::kPreempted, task,
               jobs_[task].run);
    }
  }
}

void Driver::RetryPool(const PoolName& pool) {
  if (const auto found = pool_index_.find(pool); found != pool_index_.end())
    retry_[found->second] = true;
}

std::int64_t Driver::PoolSlots(std::size_t pool) const {
  return Available(PoolAt(pool)) * 8;
}

RunFigures Run(const Trace& trace, const PolicyParams& params) {
  return Driver(trace, params).Run();
}

}  // namespace boragewinch::bench
