#include "entry/entry_service.h"

#include <random>
#include <utility>

#include "base/event_log.h"
#include "base/hash.h"
#include "base/invariant.h"
#include "base/secret.h"

namespace boragewinch {

namespace {

constexpr Millis kTickInterval{50};
constexpr Millis kPeerTimeout{1'000};
constexpr Millis kRetireWait{2'000};
constexpr std::size_t kMaxPublicBodyBytes = 2UL * 1024 * 1024;
constexpr std::size_t kMaxPeerBodyBytes = 16UL * 1024 * 1024;

/// Names of all messages between entry hosts.
template <std::size_t... Index>
[[nodiscard]] std::vector<std::string> MethodNames(
    std::index_sequence<Index...>) {
  return {MethodOf(
      PeerMessage{{}, {}, std::variant_alternative_t<Index, PeerBody>()})...};
}

/// \returns `hooks` that also record waits and run times by team and urgency.
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

EntryService::EntryService(EntryOptions options)
    : options_(std::move(options)), incarnation_(RandomHex64()) {}

EntryService::~EntryService() = default;

Status EntryService::Start(Kernel& kernel) {
  loop_ = &kernel.loop();
  EntryConfig config;
  config.zone = options_.zone;
  config.name = options_.name;
  config.incarnation = incarnation_;
  config.drain_move_after = options_.drain_move_after;
  std::random_device seed;
  core_ = std::make_unique<EntryCore>(
      config, WithMetrics(scheduler_.hooks(), metrics_),
      [generator = std::mt19937_64(seed())](std::uint64_t bound) mutable {
        return generator() % bound;
      },
      loop_->now());

  const auto flush = [this] { Flush(); };
  client_ = std::make_unique<HttpClient>(*loop_, HttpClientLimits{});
  rpc_client_ = std::make_unique<RpcClient>(*client_, options_.cluster_secret);
  rpc_server_ = std::make_unique<RpcServer>(options_.cluster_secret);
  callers_ = std::make_unique<CallerApi>(*loop_, *core_, metrics_, flush);
  tasks_ = std::make_unique<TaskLink>(*loop_, *client_, *core_, flush);
  control_ = std::make_unique<ControlLink>(*loop_, *rpc_client_, *core_,
                                           options_, incarnation_, flush);
  operators_ = std::make_unique<OperatorApi>(*loop_, *core_, options_, metrics_,
                                             scheduler_, flush);
  BindPeerMethods();

  HttpServerLimits public_limits;
  public_limits.max_body_bytes = kMaxPublicBodyBytes;
  public_limits.max_connections = 4'096;
  public_limits.max_connections_per_address = 4'096;
  public_server_ = std::make_unique<HttpServer>(
      *loop_, public_limits,
      [this](const HttpRequest& request, const HttpResponder& respond) {
        ServePublic(request, respond);
      });
  HttpServerLimits peer_limits;
  peer_limits.max_body_bytes = kMaxPeerBodyBytes;
  peer_server_ = std::make_unique<HttpServer>(
      *loop_, peer_limits,
      [this](const HttpRequest& request, const HttpResponder& respond) {
        rpc_server_->Serve(request, respond);
      });
  BW_CHECK(public_server_->Listen(options_.listen));
  BW_CHECK(peer_server_->Listen(options_.peer_listen));
  control_->Start(public_server_->address(), options_.peer_advertise.empty()
                                                 ? peer_server_->address()
                                                 : options_.peer_advertise);
  tick_ = loop_->Every(kTickInterval, [this](TimePoint now) { OnTick(now); });
  return Ok();
}

void EntryService::ServePublic(const HttpRequest& request,
                               const HttpResponder& respond) {
  if (TaskLink::Handles(request))
    respond(tasks_->Serve(request));
  else if (CallerApi::Handles(request) && !operators_->Handles(request))
    callers_->Serve(request, respond);
  else
    respond(operators_->Serve(request));
}

void EntryService::BindPeerMethods() {
  constexpr auto kIndexes =
      std::make_index_sequence<std::variant_size_v<PeerBody>>();
  for (const std::string& name : MethodNames(kIndexes)) {
    rpc_server_->Bind(name, [this](const Json& body, const RpcReply& reply) {
      OnPeerCall(body, reply);
    });
  }
}

void EntryService::OnPeerCall(const Json& body, const RpcReply& reply) {
  const auto name = StringField(body, "from_entry", kMaxNameBytes);
  Result<PeerMessage> message = PeerMessageFromJson(body["message"]);
  if (!name || !message) {
    const Error& error = name ? message.error() : name.error();
    LogEvent(EventId::kMalformedMessage, {{"error", error.Text()}});
    reply(outcome::failure(error));
    return;
  }
  core_->OnPeerMessage(EntryName(name.value()), std::move(message).value(),
                       loop_->now());
  // Messages are one-way; the core answers by messages of its own.
  reply(Json(::Json::objectValue));
  Flush();
}

void EntryService::Flush() {
  // An action's completion can lead to further inputs, but these come from
  // the loop; a nested call only happens through a direct answer.
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
  if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
    operators_->Observe(answer->answer, loop_->now());
    callers_->OnAnswer(*answer);
  } else if (const auto* peer = std::get_if<SendPeer>(&action)) {
    SendToPeer(*peer);
  } else if (const auto* start = std::get_if<StartTask>(&action)) {
    tasks_->Start(*start);
  } else if (const auto* stop = std::get_if<StopTask>(&action)) {
    tasks_->Stop(*stop);
  } else if (const auto* forbid = std::get_if<ForbidTask>(&action)) {
    tasks_->Forbid(*forbid);
  } else if (const auto* checkpoint = std::get_if<CheckpointTask>(&action)) {
    tasks_->Checkpoint(*checkpoint);
  }
}

void EntryService::SendToPeer(const SendPeer& action) {
  for (const EntryHost& entry : control_->entries()) {
    if (entry.name != action.entry)
      continue;
    Json body;
    body["from_entry"] = options_.name.str();
    body["message"] = ToJson(action.message);
    rpc_client_->Call(
        entry.peer_address, MethodOf(action.message), body, kPeerTimeout,
        [](const Result<Json>& result) {
          // The core resends what is not answered.
          if (!result) {
            LogEvent(EventId::kCallFailed, {{"error", result.error().Text()}});
          }
        });
  }
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
      if (!core_->peers().alive(name, now))
        continue;
      for (const auto& [team, count] : peer.gossip.running)
        zone.peer_usage[team][0] += static_cast<double>(count);
    }
    scheduler_.Update(core_->view(), zone, now);
  }
  const auto may_start = [this](const TeamName& team) {
    return core_->allotments().HasRoom(team);
  };
  for (const RequestId& request : scheduler_.PlanStops(may_start, now))
    core_->Preempt(request, now);
}

void EntryService::OnTick(TimePoint now) {
  RunPolicy(now);
  core_->Tick(now);
  Flush();
  if (!stopped_)
    return;
  const bool quiet = core_->stopped() && public_server_->open_requests() == 0;
  if (!quiet)
    quiet_since_ = now;
  // The leader frees the allotment sooner if it hears of the stop, but may be
  // out of reach.
  const bool finished =
      quiet && (control_->retired() || now - quiet_since_ > kRetireWait);
  if (finished || now >= stop_until_) {
    CheckInvariant(Invariant::kPlannedStop, quiet,
                   "the stop reached its time limit with requests open");
    LogEvent(EventId::kProcessStopping,
             {{"open_requests",
               static_cast<unsigned long>(core_->open_requests())}});
    tick_.reset();
    std::exchange(stopped_, nullptr)();
  }
}

void EntryService::Stop(const std::function<void()>& done) {
  const TimePoint now = loop_->now();
  stopped_ = done;
  stop_until_ = now + options_.stop_timeout;
  quiet_since_ = now;
  public_server_->StopAccepting();
  core_->Stop(now);
  Flush();
}

}  // namespace boragewinch
