#include "control/control_service.h"

#include <random>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "storage/file_system.h"

namespace boragewinch {

namespace {

constexpr Millis kTickInterval{10};
constexpr Millis kForwardTimeout{5'000};
// Confirming leadership takes one round trip to a majority; waiting calls fail
// after this time.
constexpr Millis kConfirmTimeout{1'000};
// Time limit of a planned stop, in which leadership is transferred and open
// calls finish.
constexpr Millis kStopTimeout{2'000};
constexpr std::size_t kMaxBodyBytes = 64UL * 1024 * 1024;
constexpr std::size_t kMaxWaitingCalls = 4'096;

}  // namespace

ControlService::ControlService(ControlOptions options)
    : options_(std::move(options)) {}

ControlService::~ControlService() = default;

Status ControlService::Start(Kernel& kernel) {
  loop_ = &kernel.loop();
  HttpClientLimits client_limits;
  client_limits.max_response_bytes = kMaxBodyBytes;
  client_ = std::make_unique<HttpClient>(*loop_, client_limits);
  rpc_client_ = std::make_unique<RpcClient>(*client_, options_.cluster_secret);
  rpc_server_ = std::make_unique<RpcServer>(options_.cluster_secret);
  BindMethods();

  raft::ReplicaOptions replica;
  replica.directory = options_.data;
  replica.host = options_.name;
  for (const auto& [name, address] : options_.peers)
    replica.hosts.push_back(name);
  replica.snapshot_entries = options_.snapshot_entries;
  replica.node.election_timeout = options_.election_timeout;
  std::random_device seed;
  replica_ = std::make_unique<raft::Replica>(
      PosixFileSystem(), std::move(replica), MakeHooks(),
      [generator = std::mt19937_64(seed())]() mutable { return generator(); });
  platform_ = std::make_unique<PlatformClient>(*client_, options_.platform);
  controller_ = std::make_unique<LeaderController>(
      *loop_, *platform_, state_, reports_, options_.waves, options_.buffers,
      [this](const Command& command, Proposals::Reply reply) {
        Propose(command, std::move(reply));
      });
  operator_api_ =
      std::make_unique<ControlOperatorApi>(*this, *controller_, *loop_);

  HttpServerLimits limits;
  limits.max_body_bytes = kMaxBodyBytes;
  server_ = std::make_unique<HttpServer>(
      *loop_, limits,
      [this](const HttpRequest& request, const HttpResponder& respond) {
        if (request.path == "/rpc")
          rpc_server_->Serve(request, respond);
        else
          ServeOperator(request, respond);
      });
  BW_CHECK(replica_->Start(loop_->now()));
  BW_CHECK(server_->Listen(options_.listen));
  tick_ = loop_->Every(kTickInterval, [this](TimePoint now) { OnTick(now); });
  return Ok();
}

raft::ReplicaHooks ControlService::MakeHooks() {
  raft::ReplicaHooks hooks;
  hooks.send = [this](const std::string& host, const raft::Message& message) {
    SendRaft(host, message);
  };
  hooks.apply = [this](std::uint64_t index, const std::string& bytes) {
    const CommandResult result = state_.Apply(index, bytes);
    if (proposing_)
      applied_in_propose_[index] = result;
    proposals_.OnApplied(index, bytes, result);
  };
  hooks.take_snapshot = [this] { return state_.Snapshot(); };
  hooks.restore = [this](const std::string& bytes) -> Status {
    BW_TRY(state_, FleetState::Restore(bytes));
    return Ok();
  };
  hooks.on_role = [this](raft::Role role, std::uint64_t term,
                         const raft::ReplicaId& leader) {
    OnRole(role, term, leader);
  };
  hooks.on_error = [](const Error& error) {
    LogEvent(EventId::kStorageFailed, {{"error", error.Text()}});
  };
  return hooks;
}

void ControlService::BindMethods() {
  rpc_server_->Bind("raft.step",
                    [this](const Json& body, const RpcReply& reply) {
                      OnRaftStep(body, reply);
                    });
  rpc_server_->Bind(
      "control.sync",
      [this](const Json& body, const RpcReply& reply) { OnSync(body, reply); });
  rpc_server_->Bind("control.operator",
                    [this](const Json& body, const RpcReply& reply) {
                      OnForwardedHttp(body, reply);
                    });
}

void ControlService::SendRaft(const std::string& host,
                              const raft::Message& message) {
  const auto peer = options_.peers.find(host);
  if (peer == options_.peers.end())
    return;
  rpc_client_->Call(peer->second, "raft.step", ToJson(message),
                    raft::StepTimeout(raft::DataBytes(message)),
                    [](const Result<Json>&) {});
}

void ControlService::OnRaftStep(const Json& body, const RpcReply& reply) {
  const Result<raft::Message> message = raft::MessageFromJson(body);
  if (!message) {
    LogEvent(EventId::kMalformedMessage, {{"error", message.error().Text()}});
    reply(outcome::failure(message.error()));
    return;
  }
  const TimePoint now = loop_->now();
  if (Status received = replica_->Receive(message.value(), now); !received) {
    LogEvent(EventId::kCallFailed, {{"error", received.error().Text()}});
  }
  reply(Json(::Json::objectValue));
  CompleteConfirmedCalls(now);
}

void ControlService::Propose(const Command& command, Proposals::Reply reply) {
  const std::string bytes = EncodeCommand(command);
  proposing_ = true;
  const Result<std::uint64_t> index = replica_->Propose(bytes, loop_->now());
  proposing_ = false;
  const auto applied = std::exchange(applied_in_propose_, {});
  if (!index) {
    reply(outcome::failure(index.error()));
    return;
  }
  // With a single replica the entry is committed and applied within Propose.
  if (const auto result = applied.find(index.value()); result != applied.end())
    reply(result->second);
  else
    proposals_.Add(index.value(), bytes, std::move(reply));
}

void ControlService::AfterLeadershipConfirmed(
    std::function<void(Status)> then) {
  const TimePoint now = loop_->now();
  if (waiting_.size() >= kMaxWaitingCalls) {
    LogEvent(EventId::kBoundReached, {{"bound", "waiting_calls"}});
    then(Fail(ErrorCode::kTableFull,
              "too many calls wait for a confirmation of leadership"));
    return;
  }
  if (Status requested = replica_->RequestConfirmation(now); !requested) {
    then(outcome::failure(requested.error()));
    return;
  }
  waiting_.push_back({now, std::move(then)});
  CompleteConfirmedCalls(now);
}

void ControlService::CompleteConfirmedCalls(TimePoint now) {
  const auto confirmed = replica_->ConfirmedAt(now);
  while (!waiting_.empty()) {
    const bool done = confirmed && *confirmed >= waiting_.front().received;
    const bool late = now - waiting_.front().received > kConfirmTimeout;
    if (!done && !late)
      return;
    const auto call = std::move(waiting_.front());
    waiting_.pop_front();
    if (done)
      call.then(Ok());
    else
      call.then(Fail(ErrorCode::kUnavailable,
                     "no majority confirmed leadership in time"));
  }
}

void ControlService::OnSync(const Json& body, const RpcReply& reply) {
  if (!leading()) {
    if (!ForwardToLeader("control.sync", body, reply))
      reply(Fail(ErrorCode::kNotLeader, "no leader is known"));
    return;
  }
  Result<SyncReport> report = SyncReportFromJson(body);
  if (!report) {
    LogEvent(EventId::kMalformedMessage, {{"error", report.error().Text()}});
    reply(outcome::failure(report.error()));
    return;
  }
  HandleSync(std::move(report).value(), reply);
}

void ControlService::HandleSync(SyncReport report, const RpcReply& reply) {
  const EntryRun run{report.entry, report.incarnation};
  if (state_.ledger().IsFormer(run)) {
    reply(Fail(ErrorCode::kFenced,
               "entry host " + report.entry.str() +
                   " was replaced or declared lost; restart it"));
    return;
  }
  const auto known = state_.ledger().entries.find(report.entry);
  const bool registered = known != state_.ledger().entries.end() &&
                          known->second.incarnation == report.incarnation;
  if (!registered && !report.retiring) {
    RegisterRun(report, reply);
    return;
  }
  const bool complete = reports_.Record(report, loop_->now());
  controller_->OnReport(report, loop_->now());
  AfterLeadershipConfirmed([this, report = std::move(report), complete,
                            reply](const Status& confirmed) {
    if (confirmed)
      reply(ToJson(BuildSyncResponse(report, complete)));
    else
      reply(outcome::failure(confirmed.error()));
  });
}

void ControlService::RegisterRun(const SyncReport& report,
                                 const RpcReply& reply) {
  Command command;
  command.body = RegisterEntry{report.entry, report.zone, report.incarnation,
                               report.address, report.peer_address};
  Propose(command, [report, reply](const Result<CommandResult>& result) {
    if (!result) {
      reply(outcome::failure(result.error()));
      return;
    }
    LogEvent(EventId::kEntryRegistered,
             {{"entry", report.entry.str()},
              {"incarnation", report.incarnation.str()}});
    // The next report of the sender finds it registered.
    reply(Fail(ErrorCode::kUnavailable,
               "entry host is registered now; sync again"));
  });
}

SyncResponse ControlService::BuildSyncResponse(const SyncReport& report,
                                               bool workers_complete) const {
  SyncResponse response;
  const Ledger& ledger = state_.ledger();
  const auto entry = ledger.entries.find(report.entry);
  response.registered = entry != ledger.entries.end() &&
                        entry->second.incarnation == report.incarnation;
  response.delta = state_.DeltaSince(report.version);
  if (response.registered) {
    response.allotment_version = entry->second.allotment_version;
    response.allotment = entry->second.allotment;
    response.caps = controller_->CapsOf(report.entry);
  }
  std::vector<EntryHost> entries;
  for (const auto& [name, host] : ledger.entries) {
    EntryHost shown = host;
    shown.allotment.clear();
    shown.allotment_version = 0;
    entries.push_back(std::move(shown));
  }
  if (HashOf(entries) != report.entries_hash)
    response.entries = std::move(entries);
  response.resend_workers = !workers_complete;
  return response;
}

std::string ControlService::LeaderAddress() const {
  const raft::ReplicaId& leader = replica_->leader();
  if (leader.empty())
    return "";
  const auto peer = options_.peers.find(raft::HostOf(leader));
  return peer == options_.peers.end() ? "" : peer->second;
}

bool ControlService::ForwardToLeader(const std::string& method,
                                     Json body,
                                     const RpcReply& reply) {
  const std::string address = LeaderAddress();
  // Forwarded at most once: otherwise two hosts that each believe the other to
  // be the leader would form a loop.
  const bool forwarded = body.isMember("forwarded");
  if (address.empty() || forwarded ||
      raft::HostOf(replica_->leader()) == options_.name)
    return false;
  body["forwarded"] = true;
  rpc_client_->Call(address, method, body, kForwardTimeout, reply);
  return true;
}

void ControlService::ServeOperator(const HttpRequest& request,
                                   const HttpResponder& respond) {
  if (!operator_api_->Authorized(request)) {
    respond({401, R"({"error":"unauthorized",)"
                  R"("detail":"the operator secret is missing or wrong"})"});
    return;
  }
  if (leading() || operator_api_->ServedByFollower(request)) {
    operator_api_->Serve(request, respond);
    return;
  }
  Json body;
  body["method"] = request.method;
  body["path"] = request.path;
  body["body"] = request.body;
  body["query"] = Json(::Json::objectValue);
  for (const auto& [name, value] : request.query)
    body["query"][name] = value;
  const auto reply = [respond](const Result<Json>& result) {
    if (result && result.value().isObject()) {
      respond({static_cast<int>(ValueOr<std::int64_t>(
                   IntField(result.value(), "status", 100, 599), 502)),
               ValueOr<std::string>(
                   StringField(result.value(), "body", kMaxBodyBytes), "")});
    } else {
      respond({503, R"({"error":"unavailable","detail":"no leader"})"});
    }
  };
  if (!ForwardToLeader("control.operator", std::move(body), reply))
    respond({503, R"({"error":"unavailable","detail":"no leader is known"})"});
}

void ControlService::OnForwardedHttp(const Json& body, const RpcReply& reply) {
  // The sender has checked the operator's secret and is itself authenticated by
  // the cluster secret.
  HttpRequest request;
  request.method = ValueOr<std::string>(StringField(body, "method", 16), "GET");
  request.path = ValueOr<std::string>(StringField(body, "path", 512), "/");
  request.body =
      ValueOr<std::string>(StringField(body, "body", kMaxBodyBytes), "");
  const Json& query = body["query"];
  if (query.isObject()) {
    for (const std::string& name : query.getMemberNames()) {
      if (query[name].isString())
        request.query[name] = query[name].asString();
    }
  }
  if (!leading()) {
    reply(Fail(ErrorCode::kNotLeader, "this control host is not the leader"));
    return;
  }
  operator_api_->Serve(request, [reply](const HttpResponse& response) {
    Json json;
    json["status"] = response.status;
    json["body"] = response.body;
    reply(std::move(json));
  });
}

void ControlService::OnRole(raft::Role role,
                            std::uint64_t term,
                            const raft::ReplicaId& leader) {
  LogEvent(EventId::kRoleChanged, {{"role", raft::kRoles.Name(role)},
                                   {"term", static_cast<unsigned long>(term)},
                                   {"leader", leader.str()}});
  const bool leads = role == raft::Role::kLeader;
  if (leads == was_leading_)
    return;
  was_leading_ = leads;
  reports_.Clear();
  controller_->OnLeadership(loop_->now());
  if (!leads)
    proposals_.FailAll();
}

void ControlService::OnTick(TimePoint now) {
  replica_->Tick(now);
  CompleteConfirmedCalls(now);
  if (leading())
    controller_->Tick(now);
  if (on_stopped_)
    StopWhenIdle();
}

void ControlService::Stop(const std::function<void()>& done) {
  const TimePoint now = loop_->now();
  server_->StopAccepting();
  // Fails if there is no other voter that can become the leader.
  if (Status transferred = replica_->TransferLeadership(now); !transferred)
    LogEvent(EventId::kCallFailed, {{"error", transferred.error().Text()}});
  on_stopped_ = done;
  stop_deadline_ = now + kStopTimeout;
}

void ControlService::StopWhenIdle() {
  const bool idle =
      !leading() && proposals_.size() == 0 && server_->open_requests() == 0;
  if (!idle && loop_->now() < stop_deadline_)
    return;
  tick_.reset();
  std::exchange(on_stopped_, nullptr)();
}

}  // namespace boragewinch
