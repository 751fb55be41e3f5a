#include "raft/replica.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/hash.h"
#include "base/invariant.h"

namespace boragewinch::raft {

namespace {

/// Limit on `peers_`. At the limit, replicas that are not members are removed.
constexpr std::size_t kMaxPeers = 4 * kMaxReplicas;

}  // namespace

Replica::Replica(FileSystem file_system,
                 ReplicaOptions options,
                 ReplicaHooks hooks,
                 RandomSource random)
    : file_system_(std::move(file_system)),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      random_(std::move(random)),
      identity_(file_system_, options_.directory),
      snapshot_file_(file_system_, options_.directory, "snapshot"),
      log_(file_system_, options_.directory, options_.log) {
  std::sort(options_.hosts.begin(), options_.hosts.end());
}

Replica::~Replica() {
  if (lock_)
    file_system_.close(*lock_);
}

Role Replica::role() const noexcept {
  return failure_ ? Role::kFollower : node_->role();
}

// --- Start ---

Status Replica::Start(TimePoint now) {
  BW_TRY(lock_, file_system_.lock(options_.directory + "/lock"));
  BW_CHECK(ReadDataDirectory(now));
  join_at_ = now;
  return Ok();
}

Status Replica::ReadDataDirectory(TimePoint now) {
  BW_TRY(const auto identity, identity_.Read());
  BW_TRY(const auto names, file_system_.list(options_.directory));
  const bool has_data =
      std::any_of(names.begin(), names.end(), [](const std::string& name) {
        return name == "snapshot" || name.starts_with("log-");
      });
  if (!identity && has_data) {
    return Fail(ErrorCode::kStorageMissing,
                "data directory \"" + options_.directory +
                    "\" has a log or snapshot but no identity file");
  }
  if (identity) {
    hard_ = *identity;
  } else {
    hard_.replica = options_.host + "." + Hex64(random_());
  }
  id_ = ReplicaId(hard_.replica);
  if (HostOf(id_) != options_.host) {
    return Fail(ErrorCode::kConflict, "data directory \"" + options_.directory +
                                          "\" belongs to host " + HostOf(id_));
  }
  // Made durable before the first message, so that no two starts share a
  // number.
  ++hard_.boots;
  session_ = Hex64(random_());
  BW_CHECK(identity_.Write(hard_));

  BW_TRY(const auto stored, snapshot_file_.Read());
  Snapshot snapshot;
  if (stored) {
    BW_TRY(snapshot, DecodeSnapshot(*stored));
    snapshot_size_ = stored->size();
    BW_CHECK(hooks_.restore(snapshot.state));
  }
  applied_ = snapshot_index_ = snapshot.index;
  applied_chain_ = snapshot.chain;
  BW_TRY(NodeState state,
         ReadLog(std::make_shared<const Snapshot>(std::move(snapshot))));
  node_ = std::make_unique<Node>(id_, options_.node, random_, std::move(state),
                                 now);
  return Ok();
}

Result<NodeState> Replica::ReadLog(SnapshotPtr snapshot) {
  BW_TRY(LogRecovery recovery, log_.Open());
  if (recovery.truncated_bytes > 0) {
    LogEvent(EventId::kLogTailTruncated, {{"folder", options_.directory},
                                          {"bytes", recovery.truncated_bytes},
                                          {"next_index", log_.next_index()}});
  }
  if (hard_.has_log && recovery.records.empty() && snapshot->index == 0) {
    return Fail(ErrorCode::kStorageMissing,
                "the log in \"" + options_.directory + "\" is missing");
  }
  if (hard_.cluster.empty() && !recovery.records.empty()) {
    // A crash interrupted FormCluster before its last step.
    BW_CHECK(log_.Reset(1));
    recovery = LogRecovery();
  }
  if (recovery.first_index > snapshot->index + 1) {
    return Fail(ErrorCode::kStorageCorrupt,
                "the log in \"" + options_.directory + "\" begins at entry " +
                    std::to_string(recovery.first_index) +
                    ", the snapshot ends at entry " +
                    std::to_string(snapshot->index));
  }
  NodeState state;
  state.term = hard_.term;
  state.vote = ReplicaId(hard_.vote);
  state.first_index = recovery.first_index;
  // Each record is freed once it is decoded, so that the log is in memory once.
  for (std::string& record : recovery.records) {
    BW_TRY(Entry entry, DecodeEntry(std::exchange(record, {})));
    state.entries.push_back(std::move(entry));
  }
  // A crash between installing a snapshot and removing the log leaves entries
  // that the snapshot replaces.
  const std::uint64_t last = log_.next_index() - 1;
  const bool holds_last =
      snapshot->index >= recovery.first_index && snapshot->index <= last;
  const bool other_log =
      holds_last &&
      state.entries[snapshot->index - recovery.first_index].term !=
          snapshot->term;
  if (last < snapshot->index || other_log) {
    state.entries.clear();
    state.first_index = snapshot->index + 1;
    BW_CHECK(log_.Reset(state.first_index));
  }
  state.snapshot = std::move(snapshot);
  return state;
}

// --- Calls by the owner ---

Status Replica::CheckUsable() const {
  if (failure_)
    return outcome::failure(*failure_);
  return Ok();
}

void Replica::Tick(TimePoint now) {
  if (failure_)
    return;
  node_->Tick(now);
  Flush(now);
  ReportTolerableLosses(now);
  if (failure_ || now < join_at_)
    return;
  if (role() == Role::kLeader) {
    join_at_ = now + options_.node.heartbeat_interval;
    if (options_.manage_members)
      ManageMembers(now);
  } else {
    join_at_ = now + options_.join_interval;
    if (!hard_.member && !configuration().IsMember(id_)) {
      MaybeForm(now);
      RequestToJoin();
    }
  }
  Flush(now);
}

Result<std::uint64_t> Replica::Propose(std::string command, TimePoint now) {
  std::vector<std::string> commands;
  commands.push_back(std::move(command));
  return ProposeBatch(std::move(commands), now);
}

Result<std::uint64_t> Replica::ProposeBatch(std::vector<std::string> commands,
                                            TimePoint now) {
  BW_CHECK(CheckUsable());
  std::optional<std::uint64_t> first;
  std::optional<Error> refused;
  for (std::string& command : commands) {
    const auto index = node_->Propose(std::move(command), now);
    if (!index) {
      refused = index.error();
      break;
    }
    if (!first)
      first = index.value();
  }
  Flush(now);
  BW_CHECK(CheckUsable());
  if (refused)
    return outcome::failure(*refused);
  if (!first)
    return Fail(ErrorCode::kInvalidField, "the batch has no commands");
  return *first;
}

Result<std::uint64_t> Replica::Change(MemberChange change,
                                      const ReplicaId& id,
                                      TimePoint now) {
  BW_CHECK(CheckUsable());
  auto index = node_->Change(change, id, now);
  Flush(now);
  BW_CHECK(CheckUsable());
  return index;
}

Status Replica::TransferLeadership(TimePoint now) {
  BW_CHECK(CheckUsable());
  if (role() != Role::kLeader)
    return Fail(ErrorCode::kNotLeader,
                "only the leader can transfer leadership");
  for (const ReplicaId& id : configuration().voters) {
    if (id != id_ && node_->IsCaughtUp(id, now)) {
      Status status = node_->TransferLeadership(id, now);
      Flush(now);
      return status;
    }
  }
  return Fail(ErrorCode::kUnavailable,
              "no other voter is in contact and has all committed entries");
}

Status Replica::RequestConfirmation(TimePoint now) {
  BW_CHECK(CheckUsable());
  Status status = node_->RequestConfirmation(now);
  Flush(now);
  return status;
}

std::optional<std::size_t> Replica::TolerableLosses(TimePoint now) const {
  if (role() != Role::kLeader)
    return std::nullopt;
  const Configuration members = configuration();
  const auto in_contact = static_cast<std::size_t>(std::count_if(
      members.voters.begin(), members.voters.end(), [&](const ReplicaId& id) {
        return id == id_ || node_->IsInContact(id, now);
      }));
  return in_contact - std::min(in_contact, members.majority());
}

std::optional<TimePoint> Replica::ConfirmedAt(TimePoint now) const {
  return failure_ || behind() ? std::nullopt : node_->ConfirmedAt(now);
}

bool Replica::behind() const {
  return applied_ < node_->commit_index();
}

Status Replica::Receive(const Message& message, TimePoint now) {
  BW_CHECK(CheckUsable());
  if (message.kind == MessageKind::kJoin) {
    if (message.to.empty() || message.to == id_)
      HandleJoin(message, now);
    Flush(now);
    return CheckUsable();
  }
  if (message.to != id_ || message.cluster.empty()) {
    RecordContact(message, now);
    return Fail(
        ErrorCode::kConflict,
        "message for replica " + message.to.str() + " reached " + id_.str());
  }
  if (message.kind == MessageKind::kForm)
    return HandleForm(message, now);
  if (hard_.cluster.empty() && (message.kind == MessageKind::kAppend ||
                                message.kind == MessageKind::kSnapshot)) {
    // Only a leader whose log names this replica knows its id, so the cluster
    // id can be trusted.
    hard_.cluster = message.cluster;
    if (Status written = identity_.Write(hard_); !written) {
      Stop(written.error());
      return written;
    }
  }
  if (message.cluster != hard_.cluster) {
    return Fail(ErrorCode::kConflict,
                "message from cluster " + message.cluster +
                    " reached a member of " + hard_.cluster);
  }
  if (Status current = CheckSession(message, now); !current) {
    Flush(now);
    return current;
  }
  node_->Step(message, now);
  RejoinRemoved(message, now);
  Flush(now);
  return CheckUsable();
}

// Each start of a replica has a higher `boots` and its own session id. A lower
// number comes from a delayed message or an old copy of the data directory; an
// equal number with another session id comes only from a copy.
Status Replica::CheckSession(const Message& message, TimePoint now) {
  if (peers_.size() >= kMaxPeers && peers_.count(message.from) == 0) {
    std::erase_if(peers_, [this](const auto& item) {
      return !configuration().IsMember(item.first);
    });
  }
  Peer& peer = peers_[message.from];
  if (message.boots > peer.boots) {
    peer = {message.boots, message.session, now};
    return Ok();
  }
  if (message.boots == peer.boots && message.session == peer.session)
    return Ok();
  const bool is_current_reply = (message.kind == MessageKind::kAppendReply ||
                                 message.kind == MessageKind::kSnapshotReply) &&
                                role() == Role::kLeader &&
                                message.term == node_->term() &&
                                FromMillis(message.sent_ms) > peer.first_seen;
  if (message.boots == peer.boots || is_current_reply) {
    ReportRegression(message.from, "start " + std::to_string(message.boots) +
                                       " after start " +
                                       std::to_string(peer.boots));
  }
  return Fail(ErrorCode::kFenced,
              "message from an earlier start of replica " + message.from.str());
}

void Replica::ReportRegression(const ReplicaId& id,
                               const std::string& evidence) {
  if (!regressed_.insert(id).second)
    return;
  LogEvent(EventId::kReplicaRegressed,
           {{"replica", id.str()}, {"evidence", evidence}});
  if (hooks_.on_error) {
    hooks_.on_error(Error{ErrorCode::kConflict,
                          "replica " + id.str() +
                              " runs with an old copy of its data directory (" +
                              evidence + ")",
                          std::nullopt});
  }
}

// --- Work queued by the node ---

void Replica::Send(Message message) {
  message.from = id_;
  message.cluster = hard_.cluster;
  message.boots = hard_.boots;
  message.session = session_;
  hooks_.send(HostOf(message.to), message);
}

// Hooks may call the replica again; the outermost call processes the work that
// they add.
void Replica::Flush(TimePoint now) {
  if (flushing_ || failure_)
    return;
  flushing_ = true;
  std::uint64_t apply_left = options_.max_apply_batch;
  const auto step = [&]() -> Result<bool> {
    Actions actions = node_->TakeActions();
    const bool store = actions.install || actions.hard_state ||
                       actions.truncate_from || actions.append_from;
    if (!store && actions.messages.empty() && actions.regressed.empty() &&
        (!behind() || apply_left == 0)) {
      return false;
    }
    const std::uint64_t last = node_->log().last_index();
    if (store)
      BW_CHECK(Persist(actions));
    for (Message& message : actions.messages)
      Send(std::move(message));
    for (const ReplicaId& id : actions.regressed)
      ReportRegression(id, "acknowledged entries are missing");
    if (store)
      node_->Persisted(last, now);
    const std::uint64_t before = applied_;
    BW_CHECK(ApplyCommitted(apply_left));
    apply_left -= applied_ - before;
    BW_CHECK(MaybeSnapshot());
    return true;
  };
  for (;;) {
    const auto more = step();
    if (!more)
      Stop(more.error());
    if (!more || !more.value())
      break;
  }
  flushing_ = false;
  ReportRole();
}

Status Replica::Persist(const Actions& actions) {
  if (actions.install)
    BW_CHECK(Install(*actions.install));
  if (actions.hard_state) {
    hard_.term = node_->term();
    hard_.vote = node_->vote().str();
    BW_CHECK(identity_.Write(hard_));
  }
  BW_CHECK(PersistLog(actions));
  if (!hard_.has_log && (actions.install || actions.append_from)) {
    hard_.has_log = true;
    BW_CHECK(identity_.Write(hard_));
  }
  return Ok();
}

Status Replica::PersistLog(const Actions& actions) {
  if (actions.install && actions.reset_log)
    BW_CHECK(log_.Reset(actions.install->index + 1));
  if (actions.truncate_from)
    BW_CHECK(log_.TruncateSuffix(*actions.truncate_from));
  if (!actions.append_from)
    return Ok();
  const RaftLog& entries = node_->log();
  for (std::uint64_t index = *actions.append_from;
       index <= entries.last_index(); ++index) {
    BW_CHECK(log_.Append(EncodeEntry(entries.At(index))));
  }
  return log_.Sync();
}

Status Replica::Install(const Snapshot& snapshot) {
  if (!CheckInvariant(Invariant::kConfiguration, snapshot.index >= applied_,
                      "received snapshot is older than the applied state")) {
    return Fail(ErrorCode::kConflict,
                "received snapshot is older than the applied state");
  }
  const std::string bytes = EncodeSnapshot(snapshot);
  BW_CHECK(snapshot_file_.Write(bytes));
  snapshot_size_ = bytes.size();
  BW_CHECK(hooks_.restore(snapshot.state));
  applied_ = snapshot_index_ = snapshot.index;
  applied_chain_ = snapshot.chain;
  LogEvent(EventId::kSnapshotInstalled,
           {{"replica", id_.str()}, {"index", snapshot.index}});
  return RecordMembership(snapshot.configuration);
}

Status Replica::RecordMembership(const Configuration& configuration) {
  if (hard_.member || !configuration.IsMember(id_))
    return Ok();
  hard_.member = true;
  return identity_.Write(hard_);
}

Status Replica::ApplyCommitted(std::uint64_t at_most) {
  const std::uint64_t before = applied_;
  while (behind() && applied_ - before < at_most) {
    const RaftLog& log = node_->log();
    if (!CheckInvariant(Invariant::kConfiguration,
                        log.ChainAt(applied_) == applied_chain_,
                        "log entry changed after it was applied")) {
      return Fail(ErrorCode::kConflict,
                  "log before entry " + std::to_string(applied_ + 1) +
                      " differs from the applied entries");
    }
    ++applied_;
    applied_chain_ = *log.ChainAt(applied_);
    const Entry& entry = log.At(applied_);
    if (entry.kind == EntryKind::kCommand)
      hooks_.apply(applied_, entry.data);
    else if (entry.kind == EntryKind::kConfiguration)
      BW_CHECK(RecordMembership(log.ConfigurationAt(applied_)));
  }
  CheckInvariant(
      Invariant::kConfiguration,
      applied_ == before + std::min(node_->commit_index() - before, at_most),
      "the applied index moved backwards");
  if (applied_ > before && hooks_.on_commit)
    hooks_.on_commit(applied_);
  return Ok();
}

bool Replica::SnapshotDue() const {
  constexpr std::uint64_t kSpreadDivisor = 4;
  const std::uint64_t hash = Hash64(id_.str());
  const auto due = [hash](std::uint64_t size, std::uint64_t interval) {
    return size >= interval + hash % (interval / kSpreadDivisor + 1);
  };
  const std::uint64_t entries = applied_ - snapshot_index_;
  const std::uint64_t bytes =
      node_->log().BytesBetween(snapshot_index_, applied_);
  // A large state is not written again for a log that is small beside it.
  const std::uint64_t bytes_between =
      std::max(options_.snapshot_bytes, snapshot_size_);
  if (!due(entries, options_.snapshot_entries) && !due(bytes, bytes_between))
    return false;
  return entries >= 2 * options_.snapshot_entries ||
         bytes >= 2 * bytes_between || !hooks_.is_busy || !hooks_.is_busy();
}

Status Replica::MaybeSnapshot() {
  if (!SnapshotDue())
    return Ok();
  const RaftLog& log = node_->log();
  auto snapshot = std::make_shared<const Snapshot>(
      Snapshot{applied_, *log.TermAt(applied_), applied_chain_,
               log.ConfigurationAt(applied_), hooks_.take_snapshot()});
  const std::string bytes = EncodeSnapshot(*snapshot);
  if (bytes.size() > kMaxSnapshotBytes) {
    return Fail(ErrorCode::kTooLarge,
                "snapshot has " + std::to_string(bytes.size()) + " bytes");
  }
  BW_CHECK(snapshot_file_.Write(bytes));
  snapshot_index_ = applied_;
  snapshot_size_ = bytes.size();
  const std::uint64_t drop_to =
      std::max(applied_ - std::min(applied_, options_.retain_entries),
               log.FirstWithin(options_.retain_bytes, applied_));
  node_->Compact(std::move(snapshot), drop_to);
  BW_CHECK(log_.DropPrefix(drop_to + 1));
  LogEvent(EventId::kSnapshotWritten, {{"replica", id_.str()},
                                       {"index", snapshot_index_},
                                       {"bytes", bytes.size()}});
  return Ok();
}

// The replica sends nothing after this: it can't know what is on disk.
void Replica::Stop(const Error& error) {
  if (failure_)
    return;
  failure_ = error;
  LogEvent(EventId::kStorageFailed,
           {{"replica", id_.str()}, {"error", error.Text()}});
  if (hooks_.on_error)
    hooks_.on_error(error);
  ReportRole();
}

void Replica::ReportRole() {
  if (reported_role_ == role() && reported_term_ == term() &&
      reported_leader_ == leader()) {
    return;
  }
  if (reported_role_ != role()) {
    LogEvent(EventId::kRoleChanged, {{"replica", id_.str()},
                                     {"role", kRoles.Name(role())},
                                     {"term", term()}});
  }
  reported_role_ = role();
  reported_term_ = term();
  reported_leader_ = leader();
  if (hooks_.on_role)
    hooks_.on_role(reported_role_, reported_term_, reported_leader_);
}

}  // namespace boragewinch::raft
