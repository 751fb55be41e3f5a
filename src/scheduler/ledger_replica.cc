#include "scheduler/ledger_replica.h"

#include <random>
#include <utility>

#include "base/event_log.h"
#include "base/wire.h"

namespace boragewinch::scheduler {

namespace {

/// raft::Replica requires a tick at least every 20 ms.
constexpr Millis kTickInterval{20};
/// Minimum time between two batches, so that more changes share one sync and
/// one round of messages. The shortest tasks run 30 times as long.
constexpr Millis kBatchInterval{15};
constexpr Millis kStepTimeout{1'000};
/// After an event-loop stall of this length, responses of followers may be
/// waiting in the sockets.
constexpr Millis kShortestStall{200};
constexpr Millis kStallBacklog{kTickInterval};
/// Delay before a replica whose disk failed reopens its data folder.
constexpr Millis kReopenPause{1'000};
/// Fields of the raft.step call: whether the sender reads messages from the
/// response, and these messages.
constexpr char kTakesAnswers[] = "takes_answers";
constexpr char kAnswers[] = "answers";
/// Limit on one message in a response; larger than the limits on its parts.
constexpr std::size_t kMaxAnswer = 64UL * 1024 * 1024;
/// Changes that may wait for the next batch; further ones are rejected.
constexpr std::size_t kMaxWaitingChanges = 4'096;

}  // namespace

LedgerReplica::LedgerReplica(EventLoop& loop,
                             RpcClient& rpc,
                             LedgerReplicaOptions options,
                             Hooks hooks)
    : loop_(loop),
      rpc_(rpc),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      stall_(kShortestStall, kStallBacklog) {}

LedgerReplica::~LedgerReplica() = default;

Status LedgerReplica::Open(bool may_form) {
  raft::ReplicaOptions replica;
  replica.folder = options_.folder;
  replica.host = options_.host;
  replica.hosts = options_.hosts;
  replica.may_form = may_form;
  replica.admit_any_host = true;
  replica.voters = options_.voters;
  replica.snapshot_entries = options_.snapshot_entries;
  replica.node.election_timeout = options_.election_timeout;
  // Followers do not serve reads of the ledger, and a new leader commits an
  // entry of its own before it acts.
  replica.node.announce_commits = false;
  std::random_device seed;
  replica_ = std::make_unique<raft::Replica>(
      options_.file_system, std::move(replica), MakeHooks(),
      [generator = std::mt19937_64(seed())]() mutable { return generator(); });
  return replica_->Start(loop_.now());
}

Status LedgerReplica::Start(RpcServer* server) {
  BW_CHECK(Open(options_.may_form));
  server->Bind("raft.step", [this](const Json& body, const RpcReply& reply) {
    OnStep(body, reply);
  });
  server->BindBytes("raft.step",
                    [this](std::string_view body, const BytesReply& reply) {
                      OnStepBytes(body, reply);
                    });
  tick_ = loop_.Every(kTickInterval, [this](TimePoint now) { OnTick(now); });
  return Ok();
}

raft::ReplicaHooks LedgerReplica::MakeHooks() {
  raft::ReplicaHooks hooks;
  hooks.send = [this](const std::string& host, const raft::Message& message) {
    if (answers_ != nullptr && host == answered_host_)
      answers_->push_back(message);
    else
      SendStep(host, message);
  };
  hooks.apply = [this](std::uint64_t index, const std::string& bytes) {
    OnApply(index, bytes);
  };
  hooks.take_snapshot = [this] { return ledger_.Snapshot(); };
  hooks.restore = [this](const std::string& bytes) -> Status {
    BW_TRY(ledger_, jobs::JobLedger::Restore(bytes));
    return Ok();
  };
  hooks.on_error = [this](const Error& error) {
    LogEvent(EventId::kStorageFailed, {{"error", error.Text()}});
    reopen_ = loop_.After(kReopenPause, [this](TimePoint) { Reopen(); });
  };
  return hooks;
}

// It is unknown what a failed replica has stored, so it restarts from its data
// folder, as after a restart of the process, once the disk accepts writes.
void LedgerReplica::Reopen() {
  // The error may belong to a replica that was replaced since.
  if (opened_ && !replica_->failure())
    return;
  open_.reset();
  FailAll(ErrorCode::kUnavailable, "disk error on this host");
  ledger_ = jobs::JobLedger();
  unreadable_ = false;
  if (Status opened = Open(false); !opened) {
    LogEvent(EventId::kStorageFailed, {{"error", opened.error().Text()}});
    opened_ = false;
    NoteLeadership(loop_.now());
    reopen_ = loop_.After(kReopenPause, [this](TimePoint) { Reopen(); });
    return;
  }
  opened_ = true;
}

// raft::Replica resends lost messages.
void LedgerReplica::SendStep(const std::string& host,
                             const raft::Message& message) {
  const std::string address = host + ":" + options_.port;
  if (rpc_.TakesBytes(address)) {
    rpc_.CallBytes(address, "raft.step", raft::EncodeMessage(message),
                   kStepTimeout, [this](const Result<std::string>& answer) {
                     if (!answer)
                       return;
                     WireReader in(answer.value());
                     while (!in.empty())
                       TakeMessage(raft::DecodeMessage(in.Text(kMaxAnswer)),
                                   nullptr);
                   });
    return;
  }
  Json body = ToJson(message);
  body[kTakesAnswers] = true;
  rpc_.Call(address, "raft.step", body, kStepTimeout,
            [this](const Result<Json>& answer) {
              if (!answer || !answer.value().isObject())
                return;
              for (const Json& sent : answer.value()[kAnswers])
                TakeMessage(raft::MessageFromJson(sent), nullptr);
            });
}

void LedgerReplica::TakeMessage(const Result<raft::Message>& message,
                                std::vector<raft::Message>* answers) {
  if (!message) {
    LogEvent(EventId::kMalformedMessage, {{"error", message.error().Text()}});
    return;
  }
  if (!opened_)
    return;
  answers_ = answers;
  if (answers != nullptr)
    answered_host_ = raft::HostOf(message.value().from);
  const TimePoint now = loop_.now();
  if (stall_.Waited(now) > Millis(0))
    replica_->NoteStall(now);
  const Status taken = replica_->Receive(message.value(), now);
  answers_ = nullptr;
  if (!taken)
    LogEvent(EventId::kCallFailed, {{"error", taken.error().Text()}});
  else if (message.value().kind == raft::MessageKind::kAppend &&
           message.value().from == replica_->leader())
    leader_heard_ = loop_.now();
  NoteLeadership(loop_.now());
}

void LedgerReplica::OnStep(const Json& body, const RpcReply& reply) {
  const Result<raft::Message> message = raft::MessageFromJson(body);
  if (!message) {
    LogEvent(EventId::kMalformedMessage, {{"error", message.error().Text()}});
    reply(outcome::failure(message.error()));
    return;
  }
  if (!opened_) {
    reply(Fail(ErrorCode::kUnavailable, "data folder is not readable"));
    return;
  }
  // Messages to the sender are returned in the response to its call, which
  // saves a call for each of them. Earlier versions do not read them from
  // there.
  const bool takes_answers =
      body[kTakesAnswers].isBool() && body[kTakesAnswers].asBool();
  std::vector<raft::Message> answers;
  TakeMessage(message, takes_answers ? &answers : nullptr);
  Json result(::Json::objectValue);
  for (const raft::Message& answer : answers)
    result[kAnswers].append(ToJson(answer));
  reply(std::move(result));
}

void LedgerReplica::OnStepBytes(std::string_view body,
                                const BytesReply& reply) {
  const Result<raft::Message> message = raft::DecodeMessage(body);
  if (!message) {
    LogEvent(EventId::kMalformedMessage, {{"error", message.error().Text()}});
    reply(outcome::failure(message.error()));
    return;
  }
  if (!opened_) {
    reply(Fail(ErrorCode::kUnavailable, "data folder is not readable"));
    return;
  }
  std::vector<raft::Message> answers;
  TakeMessage(message, &answers);
  WireWriter out;
  for (const raft::Message& answer : answers)
    out.Text(raft::EncodeMessage(answer));
  reply(out.Take());
}

void LedgerReplica::OnApply(std::uint64_t index, const std::string& bytes) {
  const bool own = open_ && (open_->index == index || proposing_) &&
                   (proposing_ || open_->term == replica_->term());
  if (!own) {
    Result<jobs::Batch> batch = jobs::DecodeBatch(bytes);
    if (!batch) {
      // This replica no longer has the state of the others and must not lead.
      // Either a newer version wrote the batch or the data is damaged.
      LogEvent(EventId::kStorageFailed, {{"error", batch.error().Text()}});
      unreadable_ = true;
      return;
    }
    ledger_.Apply(batch.value());
    hooks_.on_applied(batch.value(), loop_.now());
    return;
  }
  jobs::Batch batch = std::move(open_->batch);
  open_.reset();
  ledger_.Apply(batch);
  hooks_.on_applied(batch, loop_.now());
  // The next batch must wait, or its starts would appear in the ledger before
  // those of this batch are sent.
  noticing_ = true;
  loop_.Post([this, batch = std::move(batch),
              replies = std::exchange(stored_replies_, {})] {
    noticing_ = false;
    for (const Reply& reply : replies)
      reply(Ok());
    hooks_.on_stored(batch, loop_.now());
    Wake();
  });
}

bool LedgerReplica::MayAct(TimePoint now) const {
  if (!opened_ || retired_ || unreadable_ || !leading())
    return false;
  // Followers that have received a message of this leader vote for no other
  // within the election timeout, so the lease is slightly shorter than that.
  const auto confirmed = replica_->ConfirmedAt(now);
  return confirmed && now - *confirmed < HolderLease(options_.election_timeout);
}

bool LedgerReplica::Follows(TimePoint now) const {
  return opened_ && !unreadable_ && !leading() && !replica_->behind() &&
         leader_heard_ && now - *leader_heard_ < options_.election_timeout;
}

std::string LedgerReplica::LeaderHost() const {
  if (!opened_)
    return "";
  const raft::ReplicaId& leader = replica_->leader();
  return leader.empty() ? "" : raft::HostOf(leader);
}

std::set<jobs::WorkerLife> LedgerReplica::WorkersInOpenBatch() const {
  std::set<jobs::WorkerLife> workers;
  if (open_) {
    for (const jobs::StartNote& start : open_->batch.starts)
      workers.insert(start.worker);
  }
  return workers;
}

std::vector<std::string> LedgerReplica::MemberHosts() const {
  std::vector<std::string> hosts;
  if (!opened_)
    return hosts;
  const raft::Configuration members = replica_->configuration();
  for (const auto* ids : {&members.voters, &members.learners}) {
    for (const raft::ReplicaId& id : *ids)
      hosts.push_back(raft::HostOf(id));
  }
  return hosts;
}

void LedgerReplica::Submit(const Change& change, Reply reply) {
  if (!opened_ || !leading() || retired_) {
    reply(Fail(ErrorCode::kNotLeader, "another replica is the leader"));
    return;
  }
  if (replies_.size() >= kMaxWaitingChanges) {
    LogEvent(EventId::kBoundReached, {{"bound", "waiting_changes"}});
    reply(Fail(ErrorCode::kNotLeader,
               "too many changes are waiting to be stored"));
    return;
  }
  change(&pending_);
  replies_.push_back(std::move(reply));
  Wake();
}

void LedgerReplica::Wake() {
  if (flush_due_ || open_ || noticing_)
    return;
  flush_due_ = true;
  const TimePoint now = loop_.now();
  const Millis wait = std::max(Millis(0), flushed_at_ + kBatchInterval - now);
  flush_ = loop_.After(wait, [this](TimePoint at) {
    flush_due_ = false;
    Flush(at);
  });
}

void LedgerReplica::Flush(TimePoint now) {
  if (open_ || noticing_ || !MayAct(now))
    return;
  hooks_.decide(&pending_, now);
  if (pending_.empty() && replies_.empty())
    return;
  flushed_at_ = now;
  pending_.now = loop_.unix_millis();
  std::string bytes = jobs::EncodeBatch(pending_);
  open_ = OpenBatch{0, replica_->term(), std::exchange(pending_, {})};
  stored_replies_ = std::exchange(replies_, {});
  proposing_ = true;
  const Result<std::uint64_t> index = replica_->Propose(std::move(bytes), now);
  proposing_ = false;
  disk_.OnSync(loop_.now() - now);
  if (!index) {
    LogEvent(EventId::kCallFailed, {{"error", index.error().Text()}});
    open_.reset();
    const auto replies = std::exchange(stored_replies_, {});
    // A failed replica may find the batch in its log when it reopens its data
    // folder; in all other cases the batch was not accepted.
    const ErrorCode code =
        replica_->failure() ? ErrorCode::kUnavailable : ErrorCode::kNotLeader;
    for (const Reply& reply : replies)
      reply(Fail(code, index.error().detail));
    return;
  }
  // A single replica has already applied the batch.
  if (open_)
    open_->index = index.value();
  HandOverIfSlow(loop_.now());
}

void LedgerReplica::HandOverIfSlow(TimePoint now) {
  if (!disk_.HandOverDue(now))
    return;
  const Millis mean = disk_.mean();
  disk_.OnHandOver(now);
  const Status moved = replica_->TransferLeadership(now);
  LogEvent(EventId::kLeaderDiskSlow,
           {{"mean_sync_ms", static_cast<long>(mean.count())},
            {"outcome", moved ? "handed over" : moved.error().Text()}});
}

void LedgerReplica::OnTick(TimePoint now) {
  if (!opened_)
    return;
  stall_.Tick(now);
  if (stall_.Waited(now) > Millis(0))
    replica_->NoteStall(now);
  replica_->Tick(now);
  if (replica_->behind() && !catching_up_) {
    catching_up_ = true;
    loop_.Post([this] {
      catching_up_ = false;
      OnTick(loop_.now());
    });
  }
  NoteLeadership(now);
  if (acts_ && !pending_.empty())
    Wake();
}

void LedgerReplica::NoteLeadership(TimePoint now) {
  // A change of term is a new leadership even if this replica leads again: it
  // does not know the orders of a leader in between.
  const bool acts = acts_ ? leading() && !retired_ && !unreadable_ &&
                                acts_term_ == replica_->term()
                          : MayAct(now);
  if (acts == acts_)
    return;
  acts_ = acts;
  acts_term_ = leading() ? replica_->term() : 0;
  if (!acts) {
    open_.reset();
    FailAll(ErrorCode::kUnavailable, "leadership was lost");
  }
  hooks_.on_leadership(acts, now);
}

void LedgerReplica::FailAll(ErrorCode code, const std::string& why) {
  pending_ = {};
  const auto stored = std::exchange(stored_replies_, {});
  const auto waiting = std::exchange(replies_, {});
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
  NoteLeadership(now);
}

}  // namespace boragewinch::scheduler
