#include "entry/entry_service.h"

#include <random>
#include <utility>

#include "base/event_log.h"
#include "base/hash.h"
#include "base/invariant.h"
#include "entry/control_link.h"
#include "entry/public_port.h"
#include "entry/service_names.h"

namespace boragewinch {

namespace {

constexpr Millis kTickInterval{50};
constexpr Millis kRetireTimeout{2'000};

/// \returns `hooks` that also record wait and run times by team and urgency.
[[nodiscard]] SchedulerHooks WithMetrics(SchedulerHooks hooks,
                                         Metrics& metrics) {
  struct Running {
    TeamName team;
    Urgency urgency = Urgency::kNormal;
  };
  auto running = std::make_shared<std::map<RequestId, Running>>();
  const auto labels = [](const TeamName& team, Urgency urgency) {
    return MetricLabels{team.str(), std::string(kUrgencies.Name(urgency))};
  };
  hooks.on_started = [=, &metrics, next = std::move(hooks.on_started)](
                         const QueuedJob& job, const HostName& host,
                         TimePoint now) {
    metrics.Observe("wait", labels(job.team, job.urgency), now - job.submitted);
    running->insert_or_assign(job.id, Running{job.team, job.urgency});
    next(job, host, now);
  };
  hooks.on_ended = [=, &metrics, next = std::move(hooks.on_ended)](
                       const EndedTask& ended, TimePoint now) {
    if (const auto node = running->extract(ended.id); !node.empty()) {
      const Running& task = node.mapped();
      metrics.Observe("run", labels(task.team, task.urgency), ended.run_time);
      metrics.Count("ended_" + std::string(kOutcomes.Name(ended.outcome)),
                    labels(task.team, task.urgency));
    }
    next(ended, now);
  };
  hooks.remove = [=, next = std::move(hooks.remove)](const RequestId& id) {
    running->erase(id);
    next(id);
  };
  return hooks;
}

}  // namespace

EntryService::EntryService(const EntryOptions& options)
    : options_(options),
      incarnation_(RandomHex64()),
      scheduler_(options_.share_blend) {}

EntryService::~EntryService() = default;

Status EntryService::Start(Kernel& kernel) {
  loop_ = &kernel.loop();
  BW_TRY(control_, kernel.Require<ControlLink>(kControlService));
  BW_TRY(public_, kernel.Require<PublicPort>(kPublicService));
  EntryConfig config;
  config.zone = options_.zone;
  config.name = options_.name;
  config.incarnation = incarnation_;
  config.max_record_bytes = options_.max_record_bytes;
  config.drain_move_after = options_.drain_move_after;
  std::random_device seed;
  core_ = std::make_unique<EntryCore>(
      config, WithMetrics(scheduler_.hooks(), metrics_),
      [generator = std::mt19937_64(seed())](std::uint64_t bound) mutable {
        return generator() % bound;
      },
      loop_->now());
  tick_ = loop_->Every(kTickInterval, [this](TimePoint now) { OnTick(now); });
  return Ok();
}

void EntryService::Flush() {
  // A receiver that responds synchronously calls Flush again. The outer call
  // delivers the actions that this causes.
  if (flushing_)
    return;
  flushing_ = true;
  for (auto actions = core_->TakeActions(); !actions.empty();
       actions = core_->TakeActions()) {
    for (const EntryAction& action : actions)
      Perform(action);
  }
  flushing_ = false;
}

void EntryService::Perform(const EntryAction& action) {
  std::visit(
      [this](const auto& message) {
        using Message = std::decay_t<decltype(message)>;
        for (const auto& handler :
             std::get<std::vector<std::function<void(const Message&)>>>(
                 handlers_)) {
          handler(message);
        }
      },
      action);
}

void EntryService::RunPolicy(TimePoint now) {
  if (now >= next_policy_update_) {
    next_policy_update_ = now + kGossipInterval;
    ZoneState zone;
    for (const auto& [host, worker] : core_->workers().workers()) {
      if (worker.lost)
        continue;
      const UsageVector total = ToUsage(
          worker.report.total, static_cast<double>(worker.report.slots));
      for (std::size_t i = 0; i < total.size(); ++i)
        zone.capacity[i] += total[i];
    }
    for (const auto& [name, peer] : core_->peers().peers()) {
      if (!core_->peers().reachable(name, now))
        continue;
      for (const auto& [team, count] : peer.gossip.running)
        zone.peer_usage[team][0] += static_cast<double>(count);
    }
    scheduler_.Update(core_->view(), zone, now);
  }
  const auto may_start = [this](const TeamName& team) {
    return core_->allotments().HasFreeUnit(team);
  };
  for (const RequestId& request : scheduler_.PlanPreemptions(may_start, now))
    core_->Preempt(request, now);
}

void EntryService::OnTick(TimePoint now) {
  RunPolicy(now);
  core_->Tick(now);
  Flush();
  if (!stopped_)
    return;
  StopAcceptingWhenUnused(now);
  const bool idle = core_->stopped() && public_->unanswered() == 0;
  if (!idle)
    idle_since_ = now;
  // The leader frees the allotment sooner if it is told of the stop, but may be
  // unreachable.
  const bool finished =
      idle && (control_->retired() || now - idle_since_ > kRetireTimeout);
  if (finished || now >= stop_deadline_) {
    CheckInvariant(Invariant::kPlannedStop, idle,
                   "the stop reached its deadline with requests open");
    tick_.reset();
    std::exchange(stopped_, nullptr)();
  }
}

std::size_t EntryService::open_requests() const {
  return core_->open_requests();
}

void EntryService::Stop(const std::function<void()>& done) {
  const TimePoint now = loop_->now();
  stopped_ = done;
  stop_deadline_ = now + options_.stop_timeout;
  idle_since_ = now;
  core_->Stop(now);
  StopAcceptingWhenUnused(now);
  Flush();
}

// Without a backup the open requests end in this process, so workers must still
// be able to deliver heartbeats and results. The core refuses new work.
void EntryService::StopAcceptingWhenUnused(TimePoint now) {
  const bool can_hand_over =
      core_->peers().ChooseBackup(RequestId(), now).has_value();
  if (!closed_ && (can_hand_over || core_->open_requests() == 0)) {
    closed_ = true;
    public_->StopAccepting();
  }
}

}  // namespace boragewinch
