#include "scheduler/scheduler_service.h"

#include <utility>

#include "base/event_log.h"
#include "scheduler/stop_planner.h"

namespace boragewinch::scheduler {

namespace {

/// Lists, repeated orders and lapses fall due between batches.
constexpr Millis kTickInterval{50};
constexpr Millis kHostInterval{100};
/// How long a stopping host goes on passing calls to the next leader.
constexpr Millis kStopWait{1'500};
/// Occurrences of repeated jobs that one batch opens.
constexpr std::size_t kMaxOpenings = 64;
constexpr std::size_t kMaxBodyBytes = 4UL * 1024 * 1024;
/// An operator's or worker's call is passed on for so long; they call another
/// host after a second.
constexpr Millis kControlDeadline{900};

}  // namespace

SchedulerService::SchedulerService(SchedulerOptions options,
                                   SchedulerPorts ports)
    : options_(std::move(options)),
      ports_(std::move(ports)),
      planner_(options_.planner) {}

SchedulerService::~SchedulerService() = default;

Status SchedulerService::Start(Kernel& kernel) {
  loop_ = &kernel.loop();
  HttpClientLimits client_limits;
  client_limits.max_response_bytes = kMaxBodyBytes;
  client_ = std::make_unique<HttpClient>(*loop_, client_limits);
  rpc_client_ = std::make_unique<RpcClient>(*client_, options_.cluster_secret);
  rpc_server_ = std::make_unique<RpcServer>(options_.cluster_secret);
  LedgerReplica::Hooks hooks;
  hooks.decide = [this](jobs::Batch* batch, TimePoint now) {
    Decide(batch, now);
  };
  hooks.on_stored = [this](const jobs::Batch& batch, TimePoint now) {
    OnStored(batch, now);
  };
  hooks.on_leadership = [this](bool acts, TimePoint now) {
    OnLeadership(acts, now);
  };
  replica_ = std::make_unique<LedgerReplica>(*loop_, *rpc_client_,
                                             options_.ledger, std::move(hooks));
  worker_calls_ = ports_.worker_calls(*client_);
  advice_ = std::make_unique<AdviceBook>(AdviceOptions{});
  fleet_ = std::make_unique<WorkerFleet>(
      *loop_, *replica_, worker_calls_,
      [this](const jobs::TaskName& task, const jobs::WorkerId& worker) {
        return advice_->TicketFor(task, worker, loop_->now()).value_or("");
      },
      options_.links, metrics_);
  host_calls_ = ports_.host_calls(*client_);
  job_desk_ = std::make_unique<JobDesk>(*replica_, metrics_);
  rules_desk_ = std::make_unique<RulesDesk>(*replica_);
  registry_ = std::make_unique<WorkerRegistry>(*replica_);
  waves_ = std::make_unique<WaveKeeper>(options_.maintenance, hosts_);
  pools_ = std::make_unique<PoolBalancer>(options_.pools);

  RelayServer::Hooks relay;
  relay.leads = [this] { return replica_->MayAct(loop_->now()); };
  relay.leader_host = [this] { return replica_->LeaderHost(); };
  relay.hosts = [this] { return replica_->MemberHosts(); };
  relay.serve = ports_.serve;
  relay_ = std::make_unique<RelayServer>(rpc_server_.get(), std::move(relay));
  BW_CHECK(replica_->Start(rpc_server_.get()));

  HttpServerLimits limits;
  limits.max_body_bytes = 2 * kMaxBodyBytes;
  internal_ = std::make_unique<HttpServer>(
      *loop_, limits,
      [this](const HttpRequest& request, const HttpResponder& respond) {
        rpc_server_->Serve(request, respond);
      });
  BW_CHECK(internal_->Listen(options_.listen_internal));
  limits.max_body_bytes = kMaxBodyBytes;
  control_ = std::make_unique<HttpServer>(
      *loop_, limits,
      [this](HttpRequest request, const HttpResponder& respond) {
        ServeControl({Surface::kControl, std::move(request)}, respond);
      });
  BW_CHECK(control_->Listen(options_.listen_control));
  if (!options_.listen_metrics.empty()) {
    metrics_server_ = std::make_unique<HttpServer>(
        *loop_, limits,
        [this](const HttpRequest&, const HttpResponder& respond) {
          respond({200, metrics_.PrometheusText(), kPrometheusContentType});
        });
    BW_CHECK(metrics_server_->Listen(options_.listen_metrics));
  }
  tick_ = loop_->Every(kTickInterval, [this](TimePoint now) { OnTick(now); });
  return Ok();
}

void SchedulerService::ServeControl(const RelayedRequest& request,
                                    const HttpResponder& respond) {
  const TimePoint now = loop_->now();
  if (replica_->MayAct(now)) {
    ports_.serve(request, respond);
    return;
  }
  if (!control_relay_) {
    RelayClient::Options relay;
    relay.hosts = options_.ledger.hosts;
    relay.port = options_.ledger.port;
    control_relay_ =
        std::make_unique<RelayClient>(*loop_, *rpc_client_, std::move(relay));
  }
  control_relay_->SetLeader(replica_->LeaderHost());
  control_relay_->Send(request, now + kControlDeadline, respond);
}

void SchedulerService::Decide(jobs::Batch* batch, TimePoint now) {
  const jobs::UnixMillis time_of_day = loop_->unix_millis();
  OpenDue(batch, time_of_day);
  const std::set<jobs::WorkerLife> reserved = Reserved();
  batch->starts = planner_.Plan(
      replica_->ledger(),
      [&](const jobs::WorkerLife& life) {
        return reserved.count(life) == 0 && fleet_->MayStartOn(life, now);
      },
      [&](const jobs::TaskName& task, const jobs::WorkerLife& life) {
        return advice_->TicketFor(task, life.id, now).has_value();
      },
      time_of_day);
}

void SchedulerService::OpenDue(jobs::Batch* batch, jobs::UnixMillis now) const {
  for (const jobs::JobId& id : replica_->ledger().active()) {
    if (batch->openings.size() >= kMaxOpenings)
      return;
    const jobs::Job* job = replica_->ledger().FindJob(id);
    if (job->spec->repeats > 0 &&
        job->next_occurrence < job->spec->occurrences() &&
        job->spec->due(job->next_occurrence) <= now) {
      batch->openings.push_back({id, job->next_occurrence});
    }
  }
}

void SchedulerService::AskAdvice(TimePoint now) {
  const auto questions = advice_->Decide(
      replica_->ledger(),
      [&](const jobs::WorkerLife& life) {
        return fleet_->MayStartOn(life, now);
      },
      now);
  for (const AdviceBook::Question& question : questions) {
    worker_calls_.advise(
        question.step, question.workers,
        [this, step = question.step, era = era_](const Result<Advice>& advice) {
          if (era != era_)
            return;
          if (!advice)
            LogEvent(EventId::kCallFailed, {{"call", "advise"},
                                            {"step", step.Text()},
                                            {"error", advice.error().Text()}});
          advice_->OnAnswer(step, advice, loop_->now());
          replica_->Wake();
        });
  }
}

void SchedulerService::OnStored(const jobs::Batch& batch, TimePoint now) {
  fleet_->OnStored(batch, now);
  if (replica_->MayAct(now))
    AskAdvice(now);
  StopRuns();
}

void SchedulerService::StopRuns() {
  const auto percent = [this](const jobs::RunName& run,
                              const jobs::WorkerLife& life) {
    return fleet_->PercentOf(run, life);
  };
  for (const StopOrder& stop :
       PlanStops(replica_->ledger(), waves_->clearing(), percent)) {
    fleet_->Stop(stop.run, stop.worker, stop.reason);
  }
}

void SchedulerService::OnLeadership(bool acts, TimePoint now) {
  LogEvent(EventId::kLeadershipChanged,
           {{"acts", acts ? "yes" : "no"}, {"term", replica_->term()}});
  ++era_;
  advice_ = std::make_unique<AdviceBook>(AdviceOptions{});
  acts_since_ = now;
  hosts_ = HostBook();
  waves_ = std::make_unique<WaveKeeper>(options_.maintenance, hosts_);
  pools_ = std::make_unique<PoolBalancer>(options_.pools);
  fleet_->OnLeadership(acts, now);
  if (acts)
    replica_->Wake();
}

void SchedulerService::OnTick(TimePoint now) {
  if (!replica_->MayAct(now))
    return;
  fleet_->Tick(now);
  StopRuns();
  AskAdvice(now);
  if (now >= hosts_due_ && now - acts_since_ >= options_.host_lease) {
    hosts_due_ = now + kHostInterval;
    DriveHosts(now);
  }
  replica_->Wake();
}

std::set<jobs::WorkerLife> SchedulerService::Reserved() const {
  std::set<jobs::WorkerLife> reserved = waves_->clearing();
  reserved.insert(pools_->clearing().begin(), pools_->clearing().end());
  return reserved;
}

void SchedulerService::DriveHosts(TimePoint now) {
  if (hosts_.TakeDue(now)) {
    host_calls_.list([this, now,
                      era = era_](const Result<std::vector<HostRow>>& hosts) {
      if (era != era_)
        return;
      if (!hosts)
        LogEvent(EventId::kPlatformFailed, {{"error", hosts.error().Text()}});
      hosts_.OnList(hosts, now, loop_->now());
      for (const jobs::WorkerLife& life :
           pools_->Ended(replica_->ledger(), hosts_)) {
        fleet_->NoteDeparture(life, "its host moved");
      }
    });
  }
  DriveWaves(now);
  if (hosts_.listed())
    DrivePools(now);
}

void SchedulerService::DrivePools(TimePoint now) {
  // A start that is being stored does not show in the ledger yet.
  std::set<jobs::WorkerLife> held = replica_->WorkersInOpenBatch();
  held.insert(waves_->clearing().begin(), waves_->clearing().end());
  const std::vector<HostMove> moves = pools_->Decide(
      replica_->ledger(), hosts_, held, loop_->unix_millis(), now);
  for (const HostMove& move : moves) {
    host_calls_.move(
        move.host, move.to, replica_->term(),
        [this, move, era = era_](const Result<HostVerdict>& verdict) {
          if (era != era_)
            return;
          LogEvent(EventId::kBufferMove,
                   {{"host", move.host.str()},
                    {"to", move.to.str()},
                    {"worker", move.worker.Text()},
                    {"outcome",
                     verdict ? std::string(kHostVerdicts.Name(verdict.value()))
                             : verdict.error().Text()}});
          hosts_.RefreshBy(loop_->now());
          pools_->OnAnswer(move, verdict, loop_->now());
        });
  }
}

void SchedulerService::DriveWaves(TimePoint now) {
  const WaveSteps steps = waves_->Decide(replica_->ledger(), now);
  for (const jobs::WaveProgress& gone : steps.progress)
    NoteProgress(gone);
  const std::set<jobs::WorkerLife> starting = replica_->WorkersInOpenBatch();
  for (const WaveSteps::Order& order : steps.maintain) {
    if (starting.count(order.worker) > 0)
      continue;
    waves_->OnOrderSent(order.host, now);
    host_calls_.maintain(
        order.host, order.wave, replica_->term(),
        [this, order, era = era_](const Result<HostVerdict>& verdict) {
          if (era != era_)
            return;
          LogEvent(EventId::kWaveProgress,
                   {{"wave", static_cast<long>(order.wave)},
                    {"host", order.host.str()},
                    {"outcome",
                     verdict ? std::string(kHostVerdicts.Name(verdict.value()))
                             : verdict.error().Text()}});
          if (const auto progress = waves_->OnAnswer(order.host, order.wave,
                                                     verdict, loop_->now())) {
            NoteProgress(*progress);
          }
        });
  }
}

void SchedulerService::NoteProgress(const jobs::WaveProgress& progress) {
  replica_->Submit(
      [progress](jobs::Batch* batch) { batch->progress.push_back(progress); },
      [](const Status& stored) {
        // The next leader orders the maintenance again, which is idempotent.
        if (!stored)
          LogEvent(EventId::kCallFailed, {{"error", stored.error().Text()}});
      });
}

void SchedulerService::Stop(const std::function<void()>& done) {
  replica_->Retire();
  stop_timer_ = loop_->After(kStopWait, [this, done](TimePoint) {
    control_->StopAccepting();
    internal_->StopAccepting();
    tick_.reset();
    done();
  });
}

}  // namespace boragewinch::scheduler
