#include "scheduler/ledger_replica.h"

#include <algorithm>
#include <random>
#include <utility>

#include "base/event_log.h"
#include "base/wire.h"

namespace boragewinch::scheduler {

namespace {

/// raft::Replica requires a tick at least every 20 ms.
constexpr Millis kTickInterval{20};
/// Minimum time between two batches, so that more changes share one sync and
/// one round of messages. The shortest tasks run for 640 ms, more than 40 times
/// as long.
constexpr Millis kBatchInterval{15};
/// After an event-loop stall of this length, responses of followers may be
/// waiting in the sockets.
constexpr Millis kMinStall{200};
/// Time after a stall within which these responses are read.
constexpr Millis kStallBacklog{kTickInterval};
/// Delay before a replica whose disk failed reopens its data directory.
constexpr Millis kReopenDelay{1'000};
/// Fields of the raft.step call: whether the sender reads messages from the
/// response, and these messages.
constexpr char kAcceptsMessagesField[] = "takes_answers";
constexpr char kMessagesField[] = "answers";
/// Limit on one message in a response; larger than the limits on its parts.
constexpr std::size_t kMaxResponseMessageBytes = 64UL * 1024 * 1024;
/// Changes that may wait for the next batch; further ones are rejected.
constexpr std::size_t kMaxWaitingChanges = 4'096;
/// Largest change; leaves room for jobs and the leader's decisions in the same
/// entry.
constexpr std::size_t kMaxChangeBytes = raft::kMaxCommandBytes - 256UL * 1024;

/// \returns whether the change needs a test of its encoding. Jobs and reports
/// of runs are frequent, and nothing but CheckJobSpec makes them unreadable.
[[nodiscard]] bool IsRare(const jobs::Batch& change) {
  return change.config || !change.workers.empty() || !change.waves.empty() ||
         !change.host_orders.empty();
}

/// \returns the change as replicas read it from the log; kInvalidField or
/// kTooLarge if they can't.
[[nodiscard]] Result<jobs::Batch> AsReplicasRead(const jobs::Batch& change) {
  for (const jobs::Submission& submission : change.submissions)
    BW_CHECK(jobs::CheckJobSpec(submission.spec));
  if (!IsRare(change))
    return change;
  const std::string bytes = jobs::EncodeBatch(change);
  if (bytes.size() > kMaxChangeBytes) {
    return Fail(ErrorCode::kTooLarge,
                "the change has " + std::to_string(bytes.size()) +
                    " bytes, at most " + std::to_string(kMaxChangeBytes) +
                    " can be stored");
  }
  return jobs::DecodeBatch(bytes);
}

}  // namespace

LedgerReplica::LedgerReplica(EventLoop& loop,
                             RpcClient& rpc,
                             LedgerReplicaOptions options,
                             Hooks hooks)
    : loop_(loop),
      rpc_(rpc),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      stall_(kMinStall, kStallBacklog) {}

LedgerReplica::~LedgerReplica() = default;

Status LedgerReplica::Open(bool may_form_cluster) {
  raft::ReplicaOptions replica;
  replica.directory = options_.directory;
  replica.host = options_.host;
  replica.hosts = options_.hosts;
  replica.may_form_cluster = may_form_cluster;
  replica.admit_any_host = true;
  replica.voters = options_.voters;
  replica.snapshot_entries = options_.snapshot_entries;
  replica.node.election_timeout = options_.election_timeout;
  // Followers serve no reads of the ledger except to confirm heartbeats, and a
  // new leader commits an entry of its own before it acts.
  replica.node.announce_commits = false;
  std::random_device seed;
  replica_ = std::make_unique<raft::Replica>(
      options_.file_system, std::move(replica), MakeHooks(),
      [generator = std::mt19937_64(seed())]() mutable { return generator(); });
  return replica_->Start(loop_.now());
}

Status LedgerReplica::Start(RpcServer* server) {
  BW_CHECK(Open(options_.may_form_cluster));
  server->Bind("raft.step", [this](const Json& body, const RpcReply& reply) {
    OnStep(body, reply);
  });
  server->BindBinary("raft.step",
                     [this](std::string_view body, const BinaryReply& reply) {
                       OnStepBytes(body, reply);
                     });
  tick_ = loop_.Every(kTickInterval, [this](TimePoint now) { OnTick(now); });
  return Ok();
}

raft::ReplicaHooks LedgerReplica::MakeHooks() {
  raft::ReplicaHooks hooks;
  hooks.send = [this](const std::string& host, const raft::Message& message) {
    if (response_messages_ != nullptr && host == response_host_)
      response_messages_->push_back(message);
    else
      SendStep(host, message);
  };
  hooks.apply = [this](std::uint64_t index, const std::string& bytes) {
    OnApply(index, bytes);
  };
  hooks.take_snapshot = [this] { return ledger_.Snapshot(); };
  // In a burst, tasks and the replies to submissions would wait meanwhile.
  hooks.is_busy = [this] { return leading() && !ledger_.startable().empty(); };
  hooks.restore = [this](const std::string& bytes) -> Status {
    BW_TRY(ledger_, jobs::JobLedger::Restore(bytes));
    return Ok();
  };
  hooks.on_error = [this](const Error& error) {
    LogEvent(EventId::kStorageFailed, {{"error", error.Text()}});
    reopen_ = loop_.After(kReopenDelay, [this](TimePoint) { Reopen(); });
  };
  return hooks;
}

// It is unknown what a failed replica has stored, so it restarts from its data
// directory, as after a restart of the process, once the disk accepts writes.
void LedgerReplica::Reopen() {
  // The error may belong to a replica that was replaced since.
  if (storage_open_ && !replica_->failure())
    return;
  open_batch_.reset();
  FailAll(ErrorCode::kUnavailable, "disk error on this host");
  ledger_ = jobs::JobLedger();
  batch_undecodable_ = false;
  if (Status opened = Open(false); !opened) {
    LogEvent(EventId::kStorageFailed, {{"error", opened.error().Text()}});
    storage_open_ = false;
    UpdateLeadership(loop_.now());
    reopen_ = loop_.After(kReopenDelay, [this](TimePoint) { Reopen(); });
    return;
  }
  storage_open_ = true;
}

// Failed calls are ignored: raft::Replica resends lost messages.
void LedgerReplica::SendStep(const std::string& host,
                             const raft::Message& message) {
  const std::string address = host + ":" + options_.port;
  if (rpc_.SupportsBinary(address)) {
    std::string bytes = raft::EncodeMessage(message);
    const Millis timeout = raft::StepTimeout(bytes.size());
    rpc_.CallBinary(address, "raft.step", std::move(bytes), timeout,
                    [this](const Result<std::string>& response) {
                      if (!response)
                        return;
                      WireReader in(response.value());
                      while (!in.empty())
                        HandleMessage(raft::DecodeMessage(
                                          in.Text(kMaxResponseMessageBytes)),
                                      nullptr);
                    });
    return;
  }
  Json body = ToJson(message);
  body[kAcceptsMessagesField] = true;
  rpc_.Call(address, "raft.step", body,
            raft::StepTimeout(raft::DataBytes(message)),
            [this](const Result<Json>& response) {
              if (!response || !response.value().isObject())
                return;
              for (const Json& sent : response.value()[kMessagesField])
                HandleMessage(raft::MessageFromJson(sent), nullptr);
            });
}

void LedgerReplica::HandleMessage(
    const Result<raft::Message>& message,
    std::vector<raft::Message>* response_messages) {
  if (!message) {
    LogEvent(EventId::kMalformedMessage, {{"error", message.error().Text()}});
    return;
  }
  if (!storage_open_)
    return;
  // A request to join that names its receiver was forwarded: its sender is not
  // the caller, who reads the response.
  if (message.value().kind == raft::MessageKind::kJoin &&
      !message.value().to.empty()) {
    response_messages = nullptr;
  }
  response_messages_ = response_messages;
  if (response_messages != nullptr)
    response_host_ = raft::HostOf(message.value().from);
  const TimePoint now = loop_.now();
  if (stall_.PossibleDelay(now) > Millis(0))
    replica_->NotifyStall(now);
  const Status received = replica_->Receive(message.value(), now);
  response_messages_ = nullptr;
  if (!received)
    LogEvent(EventId::kCallFailed, {{"error", received.error().Text()}});
  else if (message.value().kind == raft::MessageKind::kAppend &&
           message.value().from == replica_->leader())
    last_leader_contact_ = loop_.now();
  UpdateLeadership(loop_.now());
}

void LedgerReplica::OnStep(const Json& body, const RpcReply& reply) {
  const Result<raft::Message> message = raft::MessageFromJson(body);
  if (!message) {
    LogEvent(EventId::kMalformedMessage, {{"error", message.error().Text()}});
    reply(outcome::failure(message.error()));
    return;
  }
  if (!storage_open_) {
    reply(Fail(ErrorCode::kUnavailable, "data directory is not readable"));
    return;
  }
  // Messages to the sender are returned in the response to its call, which
  // saves a call for each of them. Earlier versions do not read them from
  // there.
  const bool accepts_messages = body[kAcceptsMessagesField].isBool() &&
                                body[kAcceptsMessagesField].asBool();
  std::vector<raft::Message> response_messages;
  HandleMessage(message, accepts_messages ? &response_messages : nullptr);
  Json result(::Json::objectValue);
  for (const raft::Message& response : response_messages)
    result[kMessagesField].append(ToJson(response));
  reply(std::move(result));
}

void LedgerReplica::OnStepBytes(std::string_view body,
                                const BinaryReply& reply) {
  const Result<raft::Message> message = raft::DecodeMessage(body);
  if (!message) {
    LogEvent(EventId::kMalformedMessage, {{"error", message.error().Text()}});
    reply(outcome::failure(message.error()));
    return;
  }
  if (!storage_open_) {
    reply(Fail(ErrorCode::kUnavailable, "data directory is not readable"));
    return;
  }
  std::vector<raft::Message> response_messages;
  HandleMessage(message, &response_messages);
  WireWriter out;
  for (const raft::Message& response : response_messages)
    out.Text(raft::EncodeMessage(response));
  reply(out.Take());
}

void LedgerReplica::OnApply(std::uint64_t index, const std::string& bytes) {
  const bool proposed_here =
      open_batch_ && (open_batch_->index == index || proposing_) &&
      (proposing_ || open_batch_->term == replica_->term());
  if (!proposed_here) {
    Result<jobs::Batch> batch = jobs::DecodeBatch(bytes);
    if (!batch) {
      // This replica no longer has the state of the others and must not lead.
      // Either a newer version wrote the batch or this version has a bug.
      LogEvent(EventId::kStorageFailed, {{"error", batch.error().Text()}});
      batch_undecodable_ = true;
      return;
    }
    ledger_.Apply(batch.value());
    hooks_.on_applied(batch.value(), loop_.now());
    return;
  }
  jobs::Batch batch = std::move(open_batch_->batch);
  open_batch_.reset();
  ledger_.Apply(batch);
  hooks_.on_applied(batch, loop_.now());
  // The next batch must wait, or its starts would appear in the ledger before
  // those of this batch are sent.
  on_stored_pending_ = true;
  loop_.Post([this, batch = std::move(batch),
              replies = std::exchange(open_batch_replies_, {})] {
    on_stored_pending_ = false;
    for (const Reply& reply : replies)
      reply(Ok());
    hooks_.on_stored(batch, loop_.now());
    Wake();
  });
}

bool LedgerReplica::HasLeaderLease(TimePoint now) const {
  if (!storage_open_ || retired_ || batch_undecodable_ || !leading())
    return false;
  // Followers that have received a message of this leader vote for no other
  // within the election timeout, so the lease is slightly shorter than that.
  const auto confirmed = replica_->ConfirmedAt(now);
  return confirmed && now - *confirmed < HolderLease(options_.election_timeout);
}

bool LedgerReplica::Follows(TimePoint now) const {
  return storage_open_ && !batch_undecodable_ && !leading() &&
         !replica_->behind() && last_leader_contact_ &&
         now - *last_leader_contact_ < options_.election_timeout;
}

std::string LedgerReplica::LeaderHost() const {
  if (!storage_open_)
    return "";
  const raft::ReplicaId& leader = replica_->leader();
  return leader.empty() ? "" : raft::HostOf(leader);
}

bool LedgerReplica::IsSubmissionPending(const jobs::JobId& id) const {
  const auto contains = [&id](const jobs::Batch& batch) {
    return std::any_of(batch.submissions.begin(), batch.submissions.end(),
                       [&id](const jobs::Submission& submission) {
                         return submission.id == id;
                       });
  };
  return contains(pending_) || (open_batch_ && contains(open_batch_->batch));
}

std::set<jobs::WorkerIncarnation> LedgerReplica::WorkersInOpenBatch() const {
  std::set<jobs::WorkerIncarnation> workers;
  if (open_batch_) {
    for (const jobs::StartRecord& start : open_batch_->batch.starts)
      workers.insert(start.worker);
  }
  return workers;
}

std::vector<std::string> LedgerReplica::MemberHosts() const {
  std::vector<std::string> hosts;
  if (!storage_open_)
    return hosts;
  const raft::Configuration members = replica_->configuration();
  for (const auto* ids : {&members.voters, &members.learners}) {
    for (const raft::ReplicaId& id : *ids)
      hosts.push_back(raft::HostOf(id));
  }
  return hosts;
}

void LedgerReplica::Submit(const jobs::Batch& change, Reply reply) {
  if (!storage_open_ || !leading() || retired_) {
    reply(Fail(ErrorCode::kNotLeader, "another replica is the leader"));
    return;
  }
  // A committed entry that replicas can't decode would leave none of them able
  // to lead. Each change is checked alone, so that it can't fail others.
  Result<jobs::Batch> readable = AsReplicasRead(change);
  if (!readable) {
    LogEvent(EventId::kCommandRefused,
             {{"command", "store"}, {"error", readable.error().Text()}});
    reply(outcome::failure(readable.error()));
    return;
  }
  if (pending_replies_.size() >= kMaxWaitingChanges) {
    LogEvent(EventId::kBoundReached, {{"bound", "waiting_changes"}});
    reply(Fail(ErrorCode::kNotLeader,
               "too many changes are waiting to be stored"));
    return;
  }
  pending_.Append(std::move(readable).value());
  pending_replies_.push_back(std::move(reply));
  Wake();
}

void LedgerReplica::Wake() {
  if (flush_scheduled_ || open_batch_ || on_stored_pending_)
    return;
  flush_scheduled_ = true;
  const TimePoint now = loop_.now();
  const Millis wait = std::max(Millis(0), last_flush_ + kBatchInterval - now);
  flush_ = loop_.After(wait, [this](TimePoint at) {
    flush_scheduled_ = false;
    Flush(at);
  });
}

void LedgerReplica::Flush(TimePoint now) {
  if (open_batch_ || on_stored_pending_ || !HasLeaderLease(now))
    return;
  hooks_.decide(&pending_, now);
  if (pending_.empty() && pending_replies_.empty())
    return;
  last_flush_ = now;
  pending_.now = loop_.unix_millis();
  std::string bytes = jobs::EncodeBatch(pending_);
  open_batch_ = OpenBatch{0, replica_->term(), std::exchange(pending_, {})};
  open_batch_replies_ = std::exchange(pending_replies_, {});
  proposing_ = true;
  const Result<std::uint64_t> index = replica_->Propose(std::move(bytes), now);
  proposing_ = false;
  disk_.OnSync(loop_.now() - now);
  if (!index) {
    LogEvent(EventId::kCallFailed, {{"error", index.error().Text()}});
    open_batch_.reset();
    const auto replies = std::exchange(open_batch_replies_, {});
    // A failed replica may find the batch in its log when it reopens its data
    // directory; in all other cases the batch was not accepted.
    const ErrorCode code =
        replica_->failure() ? ErrorCode::kUnavailable : ErrorCode::kNotLeader;
    for (const Reply& reply : replies)
      reply(Fail(code, index.error().detail));
    return;
  }
  // A single replica has already applied the batch.
  if (open_batch_)
    open_batch_->index = index.value();
  TransferLeadershipIfSlow(loop_.now());
}

void LedgerReplica::TransferLeadershipIfSlow(TimePoint now) {
  if (!disk_.ShouldTransferLeadership(now))
    return;
  const Millis mean = disk_.mean();
  disk_.OnLeadershipTransfer(now);
  const Status moved = replica_->TransferLeadership(now);
  LogEvent(EventId::kLeaderDiskSlow,
           {{"mean_sync_ms", static_cast<long>(mean.count())},
            {"outcome", moved ? "handed over" : moved.error().Text()}});
}

void LedgerReplica::OnTick(TimePoint now) {
  if (!storage_open_)
    return;
  stall_.Tick(now);
  if (stall_.PossibleDelay(now) > Millis(0))
    replica_->NotifyStall(now);
  replica_->Tick(now);
  if (replica_->behind() && !catch_up_pending_) {
    catch_up_pending_ = true;
    loop_.Post([this] {
      catch_up_pending_ = false;
      OnTick(loop_.now());
    });
  }
  UpdateLeadership(now);
  if (acting_leader_ && !pending_.empty())
    Wake();
}

void LedgerReplica::UpdateLeadership(TimePoint now) {
  // A change of term is a new leadership even if this replica leads again: it
  // does not know the orders of a leader in between.
  const bool acting = acting_leader_
                          ? leading() && !retired_ && !batch_undecodable_ &&
                                acting_term_ == replica_->term()
                          : HasLeaderLease(now);
  if (acting == acting_leader_)
    return;
  acting_leader_ = acting;
  acting_term_ = leading() ? replica_->term() : 0;
  if (!acting) {
    open_batch_.reset();
    FailAll(ErrorCode::kUnavailable, "leadership was lost");
  }
  hooks_.on_leadership(acting, now);
}

void LedgerReplica::FailAll(ErrorCode code, const std::string& why) {
  pending_ = {};
  const auto stored = std::exchange(open_batch_replies_, {});
  const auto waiting = std::exchange(pending_replies_, {});
  for (const Reply& reply : stored)
    reply(Fail(code, why));
  for (const Reply& reply : waiting)
    reply(Fail(ErrorCode::kNotLeader, why));
}

void LedgerReplica::Retire() {
  retired_ = true;
  const TimePoint now = loop_.now();
  if (!leading())
    return;
  // Fails if there is no other voter.
  if (Status moved = replica_->TransferLeadership(now); !moved)
    LogEvent(EventId::kCallFailed, {{"error", moved.error().Text()}});
  UpdateLeadership(now);
}

}  // namespace boragewinch::scheduler
