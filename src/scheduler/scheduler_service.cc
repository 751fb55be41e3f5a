#include "scheduler/scheduler_service.h"

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <string_view>
#include <utility>

#include "base/build_info.h"
#include "base/event_log.h"
#include "evacuation/zone_exit.h"
#include "scheduler/stop_planner.h"

namespace boragewinch::scheduler {

namespace {

/// Hold calls, repeated orders and lease expiries fall due between batches.
constexpr Millis kTickInterval{50};
/// Time for which a stopping host still forwards calls to the next leader.
constexpr Millis kStopForwardTime{1'500};
/// Maximum number of occurrences that one batch opens.
constexpr std::size_t kMaxOpenings = 64;
constexpr std::size_t kMaxBodyBytes = 4UL * 1024 * 1024;
/// Deadline for forwarding a call of an operator or worker; they call another
/// host after 1 s.
constexpr Millis kControlDeadline{900};
/// Responses of workers within this time share a message to the leader. The
/// delay is small compared with the shortest tasks of 640 ms.
constexpr Millis kResponseBatchDelay{10};
constexpr Millis kLoadInterval{1'000};
/// Each interval one other scheduler host is asked for its build. A call has
/// about 500 bytes.
constexpr Millis kBuildInterval{10'000};
constexpr Millis kBuildTimeout{1'000};
/// Path of the messages that replicate the ledger.
constexpr std::string_view kReplicationPath = "/bytes/raft.step";
constexpr char kBuildMethod[] = "process.build";
constexpr char kRevisionField[] = "revision";
constexpr std::size_t kMaxRevisionBytes = 64;

[[nodiscard]] Incarnation NewIncarnation() {
  std::random_device seed;
  return Incarnation(std::to_string(seed()) + "-" + std::to_string(seed()));
}

}  // namespace

SchedulerService::SchedulerService(SchedulerOptions options,
                                   SchedulerDependencies dependencies)
    : options_(std::move(options)),
      dependencies_(std::move(dependencies)),
      planner_(options_.planner),
      copy_planner_(options_.copies),
      peer_builds_(std::string(build_info().revision)) {}

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
  hooks.on_applied = [this](const jobs::Batch& batch, TimePoint now) {
    hosts_->OnApplied(batch, now);
    if (batch.config && replica_->leading())
      registry_->OnConfiguration(now);
  };
  hooks.on_leadership = [this](bool leading, TimePoint now) {
    OnLeadership(leading, now);
  };
  replica_ = std::make_unique<LedgerReplica>(*loop_, *rpc_client_,
                                             options_.ledger, std::move(hooks));
  worker_calls_ = dependencies_.worker_calls(*client_);
  StartCallAgents();
  advice_ = std::make_unique<AdviceCache>(AdviceOptions{});
  fleet_ = std::make_unique<WorkerFleet>(
      *loop_, *replica_, call_router_->AsWorkerCalls(),
      [this](const jobs::TaskName& task,
             const jobs::WorkerIncarnation& worker) {
        return advice_->TicketFor(task, worker, loop_->now()).value_or("");
      },
      options_.worker_sessions, metrics_);
  hosts_ = std::make_unique<HostManager>(
      *loop_, *replica_, dependencies_.host_calls(*client_),
      [this](const jobs::WorkerIncarnation& incarnation) {
        return fleet_->IsPresent(incarnation, loop_->now());
      },
      [this](const jobs::WorkerIncarnation& incarnation, const char* why) {
        fleet_->RecordDeparture(incarnation, why);
      },
      options_.hosts);
  job_api_ = std::make_unique<JobApi>(
      *replica_, metrics_, options_.admission,
      [this](const QueueName& queue, Millis estimate) {
        return fleet_->ExpectedDuration(queue, estimate);
      });
  admin_api_ = std::make_unique<AdminApi>(*replica_);
  WorkerRegistry::Hooks registry;
  registry.probe = [this](const jobs::WorkerIncarnation& incarnation,
                          const WorkerRegistry::Hooks::Asked& done) {
    fleet_->Probe(incarnation, done);
  };
  registry.request_list = [this](const jobs::WorkerIncarnation& incarnation,
                                 const WorkerRegistry::Hooks::Asked& done) {
    fleet_->RequestList(incarnation, done);
  };
  registry_ = std::make_unique<WorkerRegistry>(*replica_, std::move(registry));

  RelayServer::Hooks relay;
  relay.leads = [this] { return replica_->HasLeaderLease(loop_->now()); };
  relay.leader_host = [this] { return replica_->LeaderHost(); };
  relay.hosts = [this] { return replica_->MemberHosts(); };
  relay.serve = [this](const RelayedRequest& request, const Respond& respond) {
    if (request.surface == Surface::kCallers)
      load_.OnCallerCall();
    else
      load_.OnControlCall();
    dependencies_.serve(request, respond);
  };
  relay.ledger_index = [this] { return replica_->applied_index(); };
  relay.serve_at_follower = dependencies_.read_at_follower;
  relay.queue.post = [this](std::function<void()> callback) {
    loop_->Post(std::move(callback));
  };
  relay.queue.now = [this] { return loop_->now(); };
  relay_ = std::make_unique<RelayServer>(rpc_server_.get(), std::move(relay));
  BW_CHECK(replica_->Start(rpc_server_.get()));

  budget_ = std::make_unique<BodyBudget>(
      BodyBudgetLimitsFor(options_.memory_mb, BodyBudgetUse::kScheduler));
  budget_monitor_ = std::make_unique<BodyBudgetMonitor>(*loop_, *budget_);
  HttpServerLimits limits;
  limits.max_body_bytes = 2 * kMaxBodyBytes;
  internal_ = std::make_unique<HttpServer>(
      *loop_, limits,
      [this](const HttpRequest& request, const HttpResponder& respond) {
        rpc_server_->Serve(request, respond);
      },
      budget_.get(),
      [this](const HttpRequest& request) {
        HttpAdmission admission;
        admission.refusal = rpc_server_->RefusalOf(request);
        admission.sender = request.path == kReplicationPath
                               ? BodySender::kReplication
                               : BodySender::kPeer;
        return admission;
      });
  BW_CHECK(internal_->Listen(options_.listen_internal));
  limits.max_body_bytes = kMaxBodyBytes;
  control_ = std::make_unique<HttpServer>(
      *loop_, limits,
      [this](HttpRequest request, const HttpResponder& respond) {
        ServeControl({Surface::kControl, std::move(request)}, respond);
      },
      budget_.get());
  BW_CHECK(control_->Listen(options_.listen_control));
  if (!options_.listen_metrics.empty()) {
    metrics_server_ = std::make_unique<HttpServer>(
        *loop_, limits,
        [this](const HttpRequest&, const HttpResponder& respond) {
          const auto losses = replica_->TolerableLosses(loop_->now());
          metrics_.Gauge("leads", {}, losses ? 1.0 : 0.0);
          const SettlingMonitor& settling = fleet_->settling();
          metrics_.Gauge("unsettled_runs", {},
                         static_cast<double>(settling.unsettled_runs()));
          metrics_.Gauge(
              "oldest_unsettled_run_seconds", {},
              static_cast<double>(settling.OldestAge(loop_->now()).count()) /
                  1'000);
          // Only the leader knows the number; 0 would be the worst one.
          metrics_.Gauge("tolerable_losses", {},
                         losses ? static_cast<double>(*losses)
                                : std::numeric_limits<double>::quiet_NaN());
          UpdateZoneMetrics();
          metrics_.Gauge("log_lines_dropped", {},
                         static_cast<double>(DroppedLogLines()));
          budget_monitor_->Export(metrics_);
          respond({200, metrics_.PrometheusText(), kPrometheusContentType});
        },
        budget_.get());
    BW_CHECK(metrics_server_->Listen(options_.listen_metrics));
  }
  ExchangeBuilds();
  tick_ = loop_->Every(kTickInterval, [this](TimePoint now) { OnTick(now); });
  return Ok();
}

void SchedulerService::StartCallAgents() {
  WorkerCallAgentOptions agent;
  agent.incarnation = NewIncarnation();
  agent.zone = options_.zone;
  WorkerCallAgent::Hooks agent_hooks;
  agent_hooks.calls = worker_calls_;
  agent_hooks.flush_soon = [this] {
    call_flush_ = loop_->After(kResponseBatchDelay,
                               [this](TimePoint) { call_agent_->Flush(); });
  };
  agent_hooks.term = [this] { return replica_->term(); };
  call_agent_ = std::make_unique<WorkerCallAgent>(std::move(agent),
                                                  std::move(agent_hooks));
  rpc_server_->BindBinary(
      kCallExchangeMethod,
      [this](std::string_view body, const BinaryReply& reply) {
        call_agent_->OnExchange(body, reply, loop_->now());
      });
  WorkerCallRouter::Hooks router;
  router.exchange = [this](const std::string& host, std::string body,
                           Millis timeout, RpcClient::BinaryDone done) {
    rpc_client_->CallBinary(host + ":" + options_.ledger.port,
                            kCallExchangeMethod, std::move(body), timeout,
                            std::move(done));
  };
  router.hosts = [this] {
    std::vector<std::string> hosts = replica_->MemberHosts();
    std::erase(hosts, options_.ledger.host);
    return hosts;
  };
  router.flush_soon = [this] {
    loop_->Post([this] { call_router_->Flush(loop_->now()); });
  };
  router.now = [this] { return loop_->now(); };
  call_router_ = std::make_unique<WorkerCallRouter>(
      options_.call_router, worker_calls_, std::move(router), metrics_);
}

void SchedulerService::ServeControl(const RelayedRequest& request,
                                    const HttpResponder& respond) {
  const TimePoint now = loop_->now();
  if (replica_->HasLeaderLease(now)) {
    dependencies_.serve(request, respond);
    return;
  }
  if (dependencies_.serve_at_follower(request, respond))
    return;
  if (!control_relay_) {
    RelayClient::Options relay;
    relay.hosts = options_.ledger.hosts;
    relay.port = options_.ledger.port;
    control_relay_ =
        std::make_unique<RelayClient>(*loop_, *rpc_client_, std::move(relay));
  }
  control_relay_->SetView(replica_->MemberHosts(), replica_->LeaderHost());
  control_relay_->Send(request, now + kControlDeadline, respond);
}

void SchedulerService::Decide(jobs::Batch* batch, TimePoint now) {
  const jobs::UnixMillis wall_time = loop_->unix_millis();
  OpenDueOccurrences(batch, wall_time);
  const std::set<jobs::WorkerIncarnation> reserved = hosts_->Reserved();
  PlannerHooks hooks;
  hooks.start_limit =
      [&](const jobs::WorkerIncarnation& incarnation) -> std::size_t {
    return reserved.count(incarnation) > 0
               ? 0
               : fleet_->StartLimitOf(incarnation, now);
  };
  hooks.accepts_soon = [&](const jobs::WorkerIncarnation& incarnation) {
    return reserved.count(incarnation) == 0 &&
           fleet_->AcceptsSoon(incarnation, now);
  };
  hooks.is_quarantined = [&](const jobs::WorkerIncarnation& incarnation) {
    return reserved.count(incarnation) == 0 &&
           fleet_->IsQuarantined(incarnation, now);
  };
  hooks.is_advised = [&](const jobs::TaskName& task,
                         const jobs::WorkerIncarnation& incarnation) {
    return advice_->TicketFor(task, incarnation, now).has_value();
  };
  hooks.has_failed_on = [&](const jobs::TaskName& task,
                            const jobs::WorkerIncarnation& incarnation) {
    return fleet_->HasFailedOn(task, incarnation);
  };
  hooks.expected_duration = [&](const QueueName& queue, Millis estimate) {
    return fleet_->ExpectedDuration(queue, estimate);
  };
  hooks.is_cold = [&](const jobs::WorkerIncarnation& incarnation) {
    return registry_->IsCold(incarnation, now);
  };
  batch->starts = planner_.Plan(replica_->ledger(), hooks, wall_time);
  job_api_->OnPlan(planner_, now);
  const auto copies = PlanCopies(hooks, batch->starts, now);
  batch->starts.insert(batch->starts.end(), copies.begin(), copies.end());
  fleet_->AddBegun(batch, now);
}

std::vector<jobs::StartRecord> SchedulerService::PlanCopies(
    const PlannerHooks& hooks,
    const std::vector<jobs::StartRecord>& starts,
    TimePoint now) {
  CopyHooks copy_hooks;
  copy_hooks.elapsed = [&](const jobs::RunName& run,
                           const jobs::WorkerIncarnation& worker) {
    return fleet_->ElapsedOf(run, worker, now);
  };
  copy_hooks.expected_duration = hooks.expected_duration;
  copy_hooks.spread = [&](const QueueName& queue) {
    return fleet_->DurationSpread(queue);
  };
  copy_hooks.is_suspect = [&](const jobs::WorkerIncarnation& worker) {
    return fleet_->IsSuspect(worker, now);
  };
  const std::size_t max_starts = options_.planner.max_starts;
  return copy_planner_.Plan(replica_->ledger(), hooks, copy_hooks, starts,
                            max_starts - std::min(max_starts, starts.size()),
                            now);
}

void SchedulerService::OpenDueOccurrences(jobs::Batch* batch,
                                          jobs::UnixMillis now) const {
  for (const jobs::Job* job : replica_->ledger().repeating()) {
    if (batch->openings.size() >= kMaxOpenings)
      return;
    if (job->spec->due(job->next_occurrence) <= now)
      batch->openings.push_back({job->id, job->next_occurrence});
  }
}

void SchedulerService::RequestAdvice(TimePoint now) {
  const auto advice_requests = advice_->Decide(
      replica_->ledger(),
      [&](const jobs::WorkerIncarnation& incarnation) {
        const jobs::Worker* worker = replica_->ledger().FindWorker(incarnation);
        return worker != nullptr &&
               !replica_->ledger().IsEvacuated(worker->record.zone) &&
               fleet_->StartLimitOf(incarnation, now) > 0;
      },
      now);
  for (const AdviceCache::Request& advice_request : advice_requests) {
    worker_calls_.advise(
        advice_request.step, advice_request.workers,
        [this, step = advice_request.step,
         leadership_epoch = leadership_epoch_](const Result<Advice>& advice) {
          if (leadership_epoch != leadership_epoch_)
            return;
          if (!advice)
            LogEvent(EventId::kCallFailed, {{"call", "advise"},
                                            {"step", step.Text()},
                                            {"error", advice.error().Text()}});
          advice_->OnResponse(step, advice, loop_->now());
          replica_->Wake();
        });
  }
}

void SchedulerService::OnStored(const jobs::Batch& batch, TimePoint now) {
  load_.OnStored(batch);
  fleet_->OnStored(batch, now);
  if (replica_->HasLeaderLease(now))
    RequestAdvice(now);
  StopRuns();
}

void SchedulerService::StopRuns() {
  const auto percent = [this](const jobs::RunName& run,
                              const jobs::WorkerIncarnation& incarnation) {
    return fleet_->PercentOf(run, incarnation);
  };
  const auto stopping = [this](const jobs::RunName& run,
                               const jobs::WorkerIncarnation& incarnation) {
    return fleet_->IsStopping(run, incarnation);
  };
  const std::set<jobs::WorkerIncarnation> reserved = hosts_->Reserved();
  const evacuation::ZoneExits exits = evacuation::PlanZoneExits(
      replica_->ledger(),
      [&](const jobs::WorkerIncarnation& incarnation) {
        return reserved.count(incarnation) == 0 &&
               fleet_->StartLimitOf(incarnation, loop_->now()) > 0;
      },
      stopping);
  for (const StopOrder& stop : PlanStops(replica_->ledger(), hosts_->cordoned(),
                                         percent, stopping, exits)) {
    fleet_->Stop(stop.run, stop.worker, stop.reason);
  }
}

void SchedulerService::LogEvacuatedZones() const {
  for (const auto& [zone, state] : replica_->ledger().zones()) {
    if (state.evacuated)
      LogEvent(EventId::kZoneEvacuation, {{"zone", zone.str()},
                                          {"state", "evacuated"},
                                          {"outcome", "inherited"}});
  }
}

void SchedulerService::UpdateZoneMetrics() {
  const jobs::JobLedger& ledger = replica_->ledger();
  std::map<ZoneName, std::size_t> long_running;
  for (const auto& [incarnation, runs] :
       evacuation::LongRunningInEvacuatedZones(ledger)) {
    long_running[ledger.FindWorker(incarnation)->record.zone] += runs.size();
  }
  for (const auto& [zone, state] : ledger.zones())
    reported_zones_.insert(zone);
  for (const ZoneName& zone : reported_zones_) {
    const MetricLabels labels{"", zone.str()};
    metrics_.Gauge("zone_evacuated", labels, ledger.IsEvacuated(zone) ? 1 : 0);
    metrics_.Gauge("zone_long_running_runs", labels,
                   static_cast<double>(long_running[zone]));
  }
}

void SchedulerService::OnLeadership(bool leading, TimePoint now) {
  LogEvent(EventId::kLeadershipChanged,
           {{"acts", leading ? "yes" : "no"}, {"term", replica_->term()}});
  ++leadership_epoch_;
  advice_ = std::make_unique<AdviceCache>(AdviceOptions{});
  hosts_->OnLeadership(leading, now);
  fleet_->OnLeadership(leading, now);
  job_api_->OnLeadership();
  load_.Begin(now, loop_->idle_time());
  // This ends the open calls; WorkerFleet, which has been notified already,
  // drops their results.
  if (leading)
    call_router_->Begin(replica_->term(), now);
  else
    call_router_->End();
  if (leading) {
    LogEvacuatedZones();
    replica_->Wake();
  }
}

void SchedulerService::OnTick(TimePoint now) {
  call_agent_->Tick(now);
  call_router_->Tick(now);
  if (!replica_->HasLeaderLease(now))
    return;
  fleet_->Tick(now);
  StopRuns();
  RequestAdvice(now);
  hosts_->Tick(now);
  LogLoad(now);
  replica_->Wake();
}

void SchedulerService::LogLoad(TimePoint now) {
  const auto report = load_.Take(now, loop_->idle_time(), kLoadInterval);
  if (!report)
    return;
  LogEvent(EventId::kLeaderLoad,
           {{"ms", static_cast<long>(report->time.count())},
            {"busy_ms", static_cast<long>(report->busy.count())},
            {"batches", report->batches},
            {"starts", report->starts},
            {"ends", report->ends},
            {"jobs", report->jobs},
            {"worker_notes", report->worker_records},
            {"caller_calls", report->caller_calls},
            {"control_calls", report->control_calls},
            {"waiting_jobs", replica_->ledger().startable().size()}});
}

void SchedulerService::ExchangeBuilds() {
  rpc_server_->Bind(kBuildMethod, [](const Json&, const RpcReply& reply) {
    Json json(::Json::objectValue);
    json[kRevisionField] = std::string(build_info().revision);
    reply(json);
  });
  build_tick_ =
      loop_->Every(kBuildInterval, [this](TimePoint) { RequestBuild(); });
}

void SchedulerService::RequestBuild() {
  std::vector<std::string> hosts = replica_->MemberHosts();
  std::erase(hosts, options_.ledger.host);
  const std::string host = peer_builds_.Next(hosts);
  if (host.empty())
    return;
  rpc_client_->Call(
      host + ":" + options_.ledger.port, kBuildMethod,
      Json(::Json::objectValue), kBuildTimeout,
      [this, host](const Result<Json>& reply) {
        if (!reply && reply.error().code != ErrorCode::kProtocol) {
          LogEvent(EventId::kCallFailed, {{"call", kBuildMethod},
                                          {"host", host},
                                          {"error", reply.error().Text()}});
          return;
        }
        // Earlier versions don't have the method.
        const auto revision = reply ? StringField(reply.value(), kRevisionField,
                                                  kMaxRevisionBytes)
                                    : Result<std::string>(std::string());
        if (!revision) {
          LogEvent(EventId::kMalformedMessage,
                   {{"reason", kBuildMethod}, {"host", host}});
          return;
        }
        if (!peer_builds_.OnRevision(host, revision.value()))
          return;
        LogEvent(EventId::kPeerBuildDiffers,
                 {{"peer", host},
                  {"revision", build_info().revision},
                  {"peer_revision",
                   revision.value().empty() ? "unknown" : revision.value()}});
      });
}

void SchedulerService::Stop(const std::function<void()>& done) {
  replica_->Retire();
  call_agent_->Retire();
  stop_timer_ = loop_->After(kStopForwardTime, [this, done](TimePoint) {
    control_->StopAccepting();
    internal_->StopAccepting();
    tick_.reset();
    done();
  });
}

}  // namespace boragewinch::scheduler
