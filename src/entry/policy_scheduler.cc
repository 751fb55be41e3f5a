#include "entry/policy_scheduler.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "policy/estimator.h"
#include "policy/explain.h"
#include "policy/job_queue.h"
#include "policy/placement.h"
#include "policy/urgent_headroom.h"
#include "policy/worker_health.h"

namespace boragewinch {

namespace {

// A failed task that ran at least this long does not count against its worker.
constexpr Millis kFastFailure{1'000};
// Time constant of the rate at which a pool's tasks end.
constexpr double kEndRateWindowMs = 10'000;
// A preempted task that has not ended may be preempted again after this.
constexpr Millis kPreemptionRetryInterval{2'000};

/// Exponentially decayed rate of events.
struct EndRate {
  double per_second = 0;
  TimePoint updated;

  void Add(TimePoint now) {
    Advance(now);
    per_second += 1'000.0 / kEndRateWindowMs;
  }
  void Advance(TimePoint now) {
    const double elapsed = static_cast<double>((now - updated).count());
    per_second *= std::exp(-elapsed / kEndRateWindowMs);
    updated = now;
  }
};

}  // namespace

struct PolicyScheduler::Impl {
  explicit Impl(Millis share_blend) : blend(share_blend) {}

  struct RunningTask {
    QueuedJob job;
    PendingJob pending;
    HostName host;
    TimePoint started;
    TimePoint preempted_at;
  };

  [[nodiscard]] PendingJob ToPending(const QueuedJob& job) const {
    PendingJob pending{.id = job.id, .team = job.team};
    pending.customer = job.customer;
    pending.pool = job.pool;
    pending.urgency = job.urgency;
    pending.demand =
        estimator
            .Estimate(job.team, job.queue, job.declared, job.declared_run_time)
            .demand;
    pending.enqueued = job.submitted;
    pending.queue = job.queue;
    return pending;
  }

  void Enqueue(const QueuedJob& job, TimePoint now) {
    // A stopped or lost task is queued again without OnEnded.
    RemoveRunning(job.id, now);
    waiting.insert_or_assign(job.id, job);
    if (job.urgency == Urgency::kUrgent)
      urgent.emplace(job.submitted, job.id);
    static_cast<void>(queue.Push(ToPending(job), now));
    queue.MarkReady(job.pool);
  }

  void RemoveWaiting(const RequestId& id) {
    const auto found = waiting.find(id);
    if (found == waiting.end())
      return;
    urgent.erase({found->second.submitted, id});
    waiting.erase(found);
  }

  void Remove(const RequestId& id, TimePoint now) {
    queue.Remove(id);
    RemoveWaiting(id);
    RemoveRunning(id, now);
  }

  [[nodiscard]] std::optional<RequestId> Next(
      TimePoint now,
      const SchedulerHooks::Startable& startable) {
    const auto next = queue.Next(now, [&](const PendingJob& job) {
      const auto found = waiting.find(job.id);
      return found != waiting.end() && startable(found->second);
    });
    if (!next)
      return std::nullopt;
    RemoveWaiting(next->id);
    return next->id;
  }

  [[nodiscard]] Resources OwnDemandOn(const HostName& host) const {
    const auto found = own_demand.find(host);
    return found == own_demand.end() ? Resources() : found->second;
  }

  [[nodiscard]] std::optional<HostName> Choose(
      const QueuedJob& job,
      const std::vector<WorkerCandidate>& candidates,
      TimePoint now) {
    std::set<HostName>& known = pool_hosts[job.pool];
    std::set<HostName> offered;
    for (const WorkerCandidate& candidate : candidates) {
      WorkerView view{.host = candidate.host, .pool = job.pool};
      view.rack = candidate.rack;
      view.free_slots = candidate.free_slots;
      view.total = candidate.total;
      // Estimates cover own tasks that reports do not show yet; reports cover
      // the tasks of other entry hosts.
      const Resources own = OwnDemandOn(candidate.host);
      const Resources& used = candidate.usage;
      view.free = candidate.total;
      view.free -= Resources{std::max(own.cpu_millis, used.cpu_millis),
                             std::max(own.memory_mb, used.memory_mb),
                             std::max(own.accelerators, used.accelerators)};
      view.accepting = health.Allows(candidate.host, now);
      placement.UpdateWorker(view, now);
      offered.insert(candidate.host);
    }
    for (const HostName& host : known) {
      if (offered.contains(host))
        continue;
      if (auto view = placement.Find(host)) {
        view->accepting = false;
        placement.UpdateWorker(*view, now);
      }
    }
    known.insert(offered.begin(), offered.end());
    return placement.Choose(ToPending(job), now);
  }

  void OnStarted(const QueuedJob& job, const HostName& host, TimePoint now) {
    RemoveRunning(job.id, now);
    RunningTask task{job, ToPending(job), host, now, TimePoint()};
    queue.OnStarted(task.pending, now);
    placement.OnPlaced(task.pending, host);
    own_demand[host] += task.pending.demand;
    health.OnStartIssued(host, now);
    running.insert_or_assign(job.id, std::move(task));
  }

  /// Removes a running task and the usage counted for it.
  std::optional<RunningTask> RemoveRunning(const RequestId& id, TimePoint now) {
    auto node = running.extract(id);
    if (node.empty())
      return std::nullopt;
    RunningTask task = std::move(node.mapped());
    const PendingJob& pending = task.pending;
    queue.OnEnded(pending, now);
    placement.OnEnded(pending.queue, pending.demand, task.host);
    own_demand[task.host] -= pending.demand;
    end_rates[pending.pool].Add(now);
    return task;
  }

  void OnEnded(const EndedTask& ended, TimePoint now) {
    const auto task = RemoveRunning(ended.id, now);
    if (!task)
      return;
    const bool fast_failure =
        ended.outcome == Outcome::kFailed && ended.run_time < kFastFailure;
    health.OnStart(task->host, task->job.pool, !fast_failure, now);
    if (ended.outcome == Outcome::kFinished) {
      estimator.Observe(task->job.team, task->job.queue, task->job.declared,
                        task->job.declared_run_time, ended.used,
                        ended.run_time);
    }
  }

  [[nodiscard]] UrgentState UrgentStateFor(const QueuedJob& job,
                                           std::int64_t ahead,
                                           TimePoint now) {
    UrgentState state;
    state.ahead = ahead;
    state.waited = now - job.submitted;
    const TeamShareStatus own = queue.ShareStatus(job.team, now);
    state.within_fair_share = own.running <= own.fair_share;
    EndRate& rate = end_rates[job.pool];
    rate.Advance(now);
    state.ends_per_second = rate.per_second;
    for (const auto& [id, task] : running) {
      if (task.job.pool != job.pool)
        continue;
      if (now - task.preempted_at < kPreemptionRetryInterval) {
        ++state.stopping;
        continue;
      }
      const TeamShareStatus share_status =
          queue.ShareStatus(task.job.team, now);
      PreemptionCandidate candidate;
      candidate.task = {id, 1};
      candidate.host = task.host;
      candidate.ran = now - task.started;
      candidate.repeatable = task.job.repeatable;
      candidate.over_share = share_status.running > share_status.fair_share;
      candidate.same_team = task.job.team == job.team;
      candidate.urgent = task.job.urgency == Urgency::kUrgent;
      if (const auto worker = placement.Find(task.host)) {
        Resources available = worker->free;
        available += task.pending.demand;
        candidate.fits = ToPending(job).demand.FitsInto(available);
      }
      state.running.push_back(std::move(candidate));
    }
    return state;
  }

  JobQueue queue = JobQueue::Make().value();
  Placement placement = Placement::Make().value();
  Estimator estimator = Estimator::Make().value();
  WorkerHealth health = WorkerHealth::Make().value();
  UrgentConfig urgent_config;
  ShareBlend blend;
  std::map<RequestId, QueuedJob> waiting;
  std::set<std::pair<TimePoint, RequestId>> urgent;  ///< waiting, oldest first
  std::map<RequestId, RunningTask> running;
  std::map<HostName, Resources> own_demand;
  std::map<PoolName, std::set<HostName>> pool_hosts;
  std::map<PoolName, EndRate> end_rates;
  TimePoint last_now;
};

PolicyScheduler::PolicyScheduler(Millis share_blend)
    : impl_(std::make_unique<Impl>(share_blend)) {}

PolicyScheduler::~PolicyScheduler() = default;

SchedulerHooks PolicyScheduler::hooks() {
  Impl* impl = impl_.get();
  SchedulerHooks hooks;
  hooks.enqueue = [impl](const QueuedJob& job, TimePoint now) {
    impl->last_now = now;
    impl->Enqueue(job, now);
  };
  hooks.remove = [impl](const RequestId& id) {
    impl->Remove(id, impl->last_now);
  };
  hooks.next = [impl](TimePoint now,
                      const SchedulerHooks::Startable& startable) {
    impl->last_now = now;
    return impl->Next(now, startable);
  };
  hooks.choose_worker = [impl](const QueuedJob& job,
                               const std::vector<WorkerCandidate>& candidates,
                               TimePoint now) {
    return impl->Choose(job, candidates, now);
  };
  hooks.on_started = [impl](const QueuedJob& job, const HostName& host,
                            TimePoint now) { impl->OnStarted(job, host, now); };
  hooks.on_ended = [impl](const EndedTask& ended, TimePoint now) {
    impl->OnEnded(ended, now);
  };
  return hooks;
}

void PolicyScheduler::Update(const FleetView& view,
                             const ZoneState& zone,
                             TimePoint now) {
  impl_->last_now = now;
  impl_->blend.Accept(SharesOf(view), now);
  impl_->queue.SetShares(impl_->blend.At(now));
  impl_->queue.SetZoneUsage(zone.peer_usage, now);
  impl_->queue.SetCapacity(zone.capacity);
  impl_->queue.MarkAllReady();
  std::map<PoolName, std::int64_t> available;
  for (const auto& [name, host] : view.hosts) {
    if (host.state == HostState::kActive)
      ++available[host.pool];
  }
  for (const auto& [name, pool] : view.pools) {
    impl_->health.SetBudget(
        name, std::max<std::int64_t>(0, available[name] - pool.min_available));
  }
}

std::vector<RequestId> PolicyScheduler::PlanPreemptions(
    const MayStart& may_start,
    TimePoint now) {
  std::vector<RequestId> preemptions;
  std::map<PoolName, std::int64_t> ahead;
  for (const auto& [submitted, id] : impl_->urgent) {
    const QueuedJob& job = impl_->waiting.at(id);
    // Preemption helps only a team that lacks slots, not one at its limit.
    if (!may_start(job.team))
      continue;
    const UrgentState state =
        impl_->UrgentStateFor(job, ahead[job.pool]++, now);
    const UrgentDecision decision = DecideUrgent(state, impl_->urgent_config);
    if (decision.action != UrgentAction::kStop || !decision.stop)
      continue;
    const RequestId& victim = decision.stop->task.request;
    impl_->running.at(victim).preempted_at = now;
    preemptions.push_back(victim);
  }
  return preemptions;
}

std::string PolicyScheduler::Explain(const RequestId& id,
                                     std::int64_t team_running,
                                     std::int64_t team_limit,
                                     TimePoint now) {
  return ExplainJob(id, impl_->queue, impl_->placement, team_running,
                    team_limit, now)
      .text;
}

}  // namespace boragewinch
