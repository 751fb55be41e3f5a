#include "raft/node.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/hash.h"
#include "base/invariant.h"

namespace boragewinch::raft {

namespace {

// The detail is only put together for a violation.
template <typename Detail>
[[nodiscard]] bool Check(bool holds, const Detail& detail) {
  return CheckInvariant(Invariant::kConfiguration, holds,
                        holds ? std::string() : detail());
}

}  // namespace

Node::Node(ReplicaId self,
           const NodeOptions& options,
           RandomSource random,
           const NodeState& state,
           TimePoint now)
    : self_(std::move(self)),
      options_(options),
      random_(std::move(random)),
      term_(state.term),
      vote_(state.vote),
      log_(*state.snapshot, state.first_index, state.entries),
      snapshot_(state.snapshot),
      commit_(state.snapshot->index),
      handed_out_(log_.last_index()),
      persisted_(log_.last_index()),
      leader_since_(now),
      heartbeat_at_(now),
      transfer_until_(now) {
  // Term and vote are stored before the entries of a term, so a smaller stored
  // term only occurs if the replica did not vote in the term of its last entry.
  if (log_.last_term() > term_) {
    term_ = log_.last_term();
    vote_ = ReplicaId();
  }
  ResetElectionTimer(now);
}

Actions Node::TakeActions() {
  if (handed_out_ < log_.last_index()) {
    actions_.append_from = handed_out_ + 1;
    handed_out_ = log_.last_index();
  }
  return std::exchange(actions_, {});
}

void Node::Persisted(std::uint64_t index, TimePoint now) {
  persisted_ = std::max(persisted_, std::min(index, log_.last_index()));
  if (role_ == Role::kLeader)
    MaybeCommit(now);
}

void Node::Compact(SnapshotPtr snapshot, std::uint64_t drop_to) {
  log_.DropPrefix(std::min(drop_to, snapshot->index));
  snapshot_ = std::move(snapshot);
}

Message& Node::Send(MessageKind kind, const ReplicaId& to) {
  Message message;
  message.kind = kind;
  message.from = self_;
  message.to = to;
  message.term = term_;
  return actions_.messages.emplace_back(std::move(message));
}

// --- Elections ---

void Node::ResetElectionTimer(TimePoint now) {
  const auto timeout =
      static_cast<std::uint64_t>(options_.election_timeout.count());
  election_at_ = now + options_.election_timeout +
                 Millis(static_cast<std::int64_t>(random_() % timeout));
}

bool Node::HeardLeader(TimePoint now) const {
  return role_ == Role::kLeader ||
         (leader_contact_ &&
          now - *leader_contact_ < options_.election_timeout);
}

bool Node::IsUpToDate(const Message& message) const {
  const std::uint64_t last_term = log_.last_term();
  return message.log_term > last_term ||
         (message.log_term == last_term && message.index >= log_.last_index());
}

// A learner answers candidates only if a membership change has made it a
// voter. The candidate counts it by its own newest configuration, so a learner
// that has not received that entry yet may also answer: otherwise a cluster
// whose leader is lost right after the promotion could lack a majority for
// ever.
bool Node::MayVote(const Message& message) const {
  return configuration().IsVoter(self_) ||
         message.config_index > log_.configuration_index();
}

bool Node::HasMajority(const std::set<ReplicaId>& ids) const {
  const auto count = std::count_if(
      ids.begin(), ids.end(),
      [this](const ReplicaId& id) { return configuration().IsVoter(id); });
  return static_cast<std::size_t>(count) >= configuration().majority();
}

void Node::BecomeFollower(std::uint64_t term,
                          const ReplicaId& leader,
                          TimePoint now) {
  if (term != term_) {
    term_ = term;
    vote_ = ReplicaId();
    actions_.hard_state = true;
    leader_ = ReplicaId();
    incoming_.clear();
  }
  if (role_ != Role::kFollower)
    ResetElectionTimer(now);
  if (role_ == Role::kLeader)
    leader_ = ReplicaId();
  role_ = Role::kFollower;
  if (!leader.empty())
    leader_ = leader;
  votes_.clear();
  progress_.clear();
  transfer_to_ = ReplicaId();
}

Message& Node::SendVoteRequest(MessageKind kind,
                               const ReplicaId& to,
                               std::uint64_t term) {
  Message& message = Send(kind, to);
  message.term = term;
  message.index = log_.last_index();
  message.log_term = log_.last_term();
  message.config_index = log_.configuration_index();
  return message;
}

void Node::StartPreVote(TimePoint now) {
  ResetElectionTimer(now);
  if (!configuration().IsVoter(self_))
    return;
  role_ = Role::kPreCandidate;
  leader_ = ReplicaId();
  votes_ = {self_};
  if (HasMajority(votes_)) {
    StartElection(false, now);
    return;
  }
  for (const ReplicaId& id : configuration().voters) {
    if (id != self_)
      SendVoteRequest(MessageKind::kPreVote, id, term_ + 1);
  }
}

void Node::StartElection(bool transfer, TimePoint now) {
  ResetElectionTimer(now);
  role_ = Role::kCandidate;
  leader_ = ReplicaId();
  ++term_;
  vote_ = self_;
  actions_.hard_state = true;
  votes_ = {self_};
  if (HasMajority(votes_)) {
    BecomeLeader(now);
    return;
  }
  for (const ReplicaId& id : configuration().voters) {
    if (id != self_)
      SendVoteRequest(MessageKind::kVote, id, term_).transfer = transfer;
  }
}

void Node::HandlePreVote(const Message& message, TimePoint now) {
  const bool granted = message.term > term_ && !HeardLeader(now) &&
                       IsUpToDate(message) && MayVote(message);
  Message& reply = Send(MessageKind::kPreVoteReply, message.from);
  reply.granted = granted;
  // A grant carries the term that was asked for, a refusal the present one.
  if (granted)
    reply.term = message.term;
}

void Node::HandlePreVoteReply(const Message& message, TimePoint now) {
  if (!message.granted) {
    if (message.term > term_)
      BecomeFollower(message.term, ReplicaId(), now);
    return;
  }
  if (role_ != Role::kPreCandidate || message.term != term_ + 1)
    return;
  votes_.insert(message.from);
  if (HasMajority(votes_))
    StartElection(false, now);
}

void Node::HandleVote(const Message& message, TimePoint now) {
  const bool granted = (vote_.empty() || vote_ == message.from) &&
                       IsUpToDate(message) && MayVote(message);
  if (granted) {
    if (role_ == Role::kPreCandidate)
      role_ = Role::kFollower;
    if (vote_.empty()) {
      vote_ = message.from;
      actions_.hard_state = true;
    }
    ResetElectionTimer(now);
  }
  Send(MessageKind::kVoteReply, message.from).granted = granted;
}

void Node::HandleVoteReply(const Message& message, TimePoint now) {
  if (role_ != Role::kCandidate || !message.granted)
    return;
  votes_.insert(message.from);
  if (HasMajority(votes_))
    BecomeLeader(now);
}

void Node::HandleTimeoutNow(const Message& message, TimePoint now) {
  if (message.from == leader_ && configuration().IsVoter(self_))
    StartElection(true, now);
}

// --- Dispatch ---

void Node::Step(const Message& message, TimePoint now) {
  CheckLeadership(now);
  if (message.kind == MessageKind::kPreVote) {
    HandlePreVote(message, now);
    return;
  }
  if (message.kind == MessageKind::kPreVoteReply) {
    HandlePreVoteReply(message, now);
    return;
  }
  if (message.term > term_)
    StepHigherTerm(message, now);
  if (message.term < term_) {
    // The answer tells a leader that was cut off about the newer term.
    if (message.kind == MessageKind::kAppend ||
        message.kind == MessageKind::kSnapshot) {
      // By now the sender may lead the newer term, so the numbers must be true.
      Message& reply = Send(MessageKind::kAppendReply, message.from);
      reply.index = log_.last_index();
      reply.last_index = log_.last_index();
    }
    return;
  }
  if (message.term != term_)
    return;
  switch (message.kind) {
    case MessageKind::kVote:
      HandleVote(message, now);
      break;
    case MessageKind::kVoteReply:
      HandleVoteReply(message, now);
      break;
    case MessageKind::kAppend:
      HandleAppend(message, now);
      break;
    case MessageKind::kAppendReply:
      HandleAppendReply(message, now);
      break;
    case MessageKind::kSnapshot:
      HandleSnapshot(message, now);
      break;
    case MessageKind::kSnapshotReply:
      HandleSnapshotReply(message, now);
      break;
    case MessageKind::kTimeoutNow:
      HandleTimeoutNow(message, now);
      break;
    default:
      break;
  }
}

// Adopts the term of the message unless it comes from a candidate while a
// leader is in contact: a replica that was removed or cut off must not depose
// a working leader.
void Node::StepHigherTerm(const Message& message, TimePoint now) {
  if (message.kind == MessageKind::kVote && !message.transfer &&
      HeardLeader(now)) {
    return;
  }
  BecomeFollower(message.term, ReplicaId(), now);
}

void Node::Tick(TimePoint now) {
  CheckLeadership(now);
  if (role_ != Role::kLeader) {
    if (now >= election_at_)
      StartPreVote(now);
    return;
  }
  if (!transfer_to_.empty() && now >= transfer_until_)
    transfer_to_ = ReplicaId();
  if (now >= heartbeat_at_)
    Broadcast(true, now);
}

// --- Leader ---

void Node::BecomeLeader(TimePoint now) {
  role_ = Role::kLeader;
  leader_ = self_;
  leader_since_ = now;
  votes_.clear();
  progress_.clear();
  AppendAsLeader(EntryKind::kNoop, "", now);
}

// Called after each append: the entry before the new one is the likely match.
void Node::SyncProgress() {
  const Configuration& members = configuration();
  std::erase_if(progress_, [&members](const auto& item) {
    return !members.IsMember(item.first);
  });
  for (const auto* ids : {&members.voters, &members.learners}) {
    for (const ReplicaId& id : *ids) {
      if (id != self_ && progress_.count(id) == 0)
        progress_[id].next = log_.last_index();
    }
  }
}

void Node::AppendAsLeader(EntryKind kind, std::string data, TimePoint now) {
  log_.Append(Entry{term_, kind, std::move(data)});
  SyncProgress();
  Broadcast(false, now);
}

std::optional<TimePoint> Node::MajorityContact(TimePoint now) const {
  std::vector<TimePoint> contacts;
  for (const ReplicaId& id : configuration().voters) {
    if (id == self_) {
      contacts.push_back(now);
    } else if (const auto found = progress_.find(id);
               found != progress_.end() && found->second.contact) {
      contacts.push_back(*found->second.contact);
    }
  }
  const std::size_t majority = configuration().majority();
  if (contacts.size() < majority)
    return std::nullopt;
  std::sort(contacts.rbegin(), contacts.rend());
  return contacts[majority - 1];
}

void Node::CheckLeadership(TimePoint now) {
  if (role_ != Role::kLeader)
    return;
  const TimePoint contact =
      std::max(leader_since_, MajorityContact(now).value_or(leader_since_));
  if (now - contact > options_.election_timeout)
    BecomeFollower(term_, ReplicaId(), now);
}

std::optional<TimePoint> Node::ConfirmedAt(TimePoint now) const {
  if (role_ != Role::kLeader || log_.TermAt(commit_) != term_)
    return std::nullopt;
  return MajorityContact(now);
}

Status Node::RequireLeader(TimePoint now) {
  CheckLeadership(now);
  if (role_ != Role::kLeader) {
    return Fail(ErrorCode::kNotLeader, leader_.empty()
                                           ? "no leader is known"
                                           : "the leader is " + leader_.str());
  }
  if (!transfer_to_.empty()) {
    return Fail(ErrorCode::kUnavailable,
                "leadership is moving to " + transfer_to_.str());
  }
  return Ok();
}

Result<std::uint64_t> Node::Propose(std::string command, TimePoint now) {
  BW_CHECK(RequireLeader(now));
  if (command.size() > kMaxCommandBytes) {
    return Fail(ErrorCode::kTooLarge,
                "a command of " + std::to_string(command.size()) +
                    " bytes, at most " + std::to_string(kMaxCommandBytes) +
                    " are allowed");
  }
  if (log_.last_index() - commit_ >= options_.max_uncommitted_entries) {
    return Fail(ErrorCode::kTableFull,
                std::to_string(log_.last_index() - commit_) +
                    " entries wait for their commit");
  }
  AppendAsLeader(EntryKind::kCommand, std::move(command), now);
  return log_.last_index();
}

Result<std::uint64_t> Node::Change(MemberChange change,
                                   const ReplicaId& id,
                                   TimePoint now) {
  BW_CHECK(RequireLeader(now));
  // The second condition closes the known gap of one-at-a-time changes: two
  // leaders could otherwise start from different configurations.
  if (change_pending() || log_.TermAt(commit_) != term_) {
    return Fail(ErrorCode::kUnavailable,
                "an earlier membership change or election is not committed");
  }
  if (change == MemberChange::kPromote && !IsCaughtUp(id, now)) {
    return Fail(ErrorCode::kUnavailable,
                "learner " + id.str() + " has not caught up");
  }
  BW_TRY(const Configuration members, ApplyChange(configuration(), change, id));
  AppendAsLeader(EntryKind::kConfiguration, WriteJson(ToJson(members)), now);
  return log_.last_index();
}

Status Node::TransferLeadership(const ReplicaId& to, TimePoint now) {
  BW_CHECK(RequireLeader(now));
  if (to == self_ || !configuration().IsVoter(to)) {
    return Fail(ErrorCode::kConflict,
                "leadership can't be moved to " + to.str());
  }
  transfer_to_ = to;
  transfer_until_ = now + options_.election_timeout;
  MaybeTransfer(to);
  return Ok();
}

void Node::MaybeTransfer(const ReplicaId& to) {
  if (to == transfer_to_ && progress_[to].match == log_.last_index())
    Send(MessageKind::kTimeoutNow, to);
}

Status Node::RequestConfirmation(TimePoint now) {
  CheckLeadership(now);
  if (role_ != Role::kLeader)
    return RequireLeader(now);
  Broadcast(true, now);
  return Ok();
}

bool Node::IsInContact(const ReplicaId& id, TimePoint now) const {
  if (role_ != Role::kLeader || id == self_)
    return role_ == Role::kLeader;
  const auto found = progress_.find(id);
  return found != progress_.end() && found->second.contact &&
         now - *found->second.contact <= options_.election_timeout;
}

bool Node::IsCaughtUp(const ReplicaId& id, TimePoint now) const {
  return IsInContact(id, now) &&
         (id == self_ || progress_.at(id).match >= commit_);
}

void Node::Broadcast(bool heartbeat, TimePoint now) {
  if (heartbeat)
    heartbeat_at_ = now + options_.heartbeat_interval;
  for (auto& [id, progress] : progress_) {
    if (heartbeat)
      progress.probe_sent = false;
    SendAppend(id, &progress, heartbeat, now);
  }
}

void Node::SendAppend(const ReplicaId& to,
                      Progress* progress,
                      bool heartbeat,
                      TimePoint now) {
  if (progress->snapshot != nullptr || progress->next <= log_.base_index()) {
    // A chunk goes out only in answer to a reply, so a follower that is down
    // costs little.
    if (heartbeat || progress->snapshot == nullptr)
      SendSnapshot(to, progress, false, now);
    return;
  }
  bool first = true;
  while (first || progress->next <= log_.last_index()) {
    // A message without entries finds out what the follower has: it refuses
    // one if it lacks the entry before `next`.
    const bool limited =
        progress->probing ||
        progress->next > progress->match + options_.max_inflight_entries;
    const bool probe = progress->probing && !progress->probe_sent;
    if (!heartbeat && !probe &&
        (limited || progress->next > log_.last_index())) {
      return;
    }
    Message& message = Send(MessageKind::kAppend, to);
    message.index = progress->next - 1;
    message.log_term = *log_.TermAt(message.index);
    message.commit = commit_;
    message.chain = log_.ChainAt(commit_).value_or(0);
    message.sent_ms = ToMillis(now);
    std::size_t bytes = 0;
    std::uint64_t index = progress->next;
    while (!limited && index <= log_.last_index() &&
           message.entries.size() < options_.max_batch_entries) {
      const Entry& entry = log_.At(index);
      if (bytes > 0 && bytes + entry.data.size() > options_.max_batch_bytes)
        break;
      bytes += entry.data.size() + 1;
      message.entries.push_back(entry);
      ++index;
    }
    if (progress->probing) {
      progress->probe_sent = true;
      return;
    }
    progress->next = index;
    heartbeat = false;
    first = false;
  }
}

void Node::SendSnapshot(const ReplicaId& to,
                        Progress* progress,
                        bool with_data,
                        TimePoint now) {
  if (progress->snapshot == nullptr) {
    progress->snapshot = snapshot_;
    progress->encoded = EncodeSnapshot(*snapshot_);
    progress->encoded_hash = Hash64(progress->encoded);
    progress->offset = 0;
    progress->probe_sent = false;
  }
  Message& message = Send(MessageKind::kSnapshot, to);
  message.index = progress->snapshot->index;
  message.log_term = progress->snapshot->term;
  message.offset = progress->offset;
  message.total = progress->encoded.size();
  message.hash = progress->encoded_hash;
  message.sent_ms = ToMillis(now);
  if (with_data) {
    message.data = progress->encoded.substr(progress->offset,
                                            options_.snapshot_chunk_bytes);
    progress->probe_sent = true;
  }
}

void Node::HandleAppendReply(const Message& message, TimePoint now) {
  const auto found = progress_.find(message.from);
  if (role_ != Role::kLeader || found == progress_.end())
    return;
  Progress& progress = found->second;
  // The contact counts from the time at which the leader sent its message.
  if (const TimePoint sent = FromMillis(message.sent_ms);
      sent <= now && sent >= leader_since_) {
    progress.contact = std::max(progress.contact.value_or(sent), sent);
  }
  if (message.boots > progress.match_boots &&
      message.last_index < progress.match) {
    // The follower was started again and lacks entries that it had synced.
    actions_.regressed.push_back(message.from);
    progress.match = 0;
    progress.next = std::max(message.last_index, log_.base_index()) + 1;
    progress.probing = true;
    progress.probe_sent = false;
  }
  if (message.granted) {
    if (message.index > log_.last_index())
      return;
    if (message.index >= progress.match) {
      progress.match = message.index;
      progress.match_boots = std::max(progress.match_boots, message.boots);
    }
    if (progress.snapshot != nullptr &&
        progress.match >= progress.snapshot->index) {
      progress.snapshot.reset();
      progress.encoded.clear();
    }
    progress.next = std::max(progress.next, progress.match + 1);
    progress.probing = false;
    progress.probe_sent = false;
    MaybeCommit(now);
    if (role_ != Role::kLeader)
      return;
    MaybeTransfer(message.from);
  } else if (message.index < progress.next - 1 &&
             progress.snapshot == nullptr) {
    progress.next = std::max(progress.match, message.index) + 1;
    progress.probing = true;
    progress.probe_sent = false;
  }
  // MaybeCommit may have removed the member.
  if (const auto again = progress_.find(message.from);
      again != progress_.end()) {
    SendAppend(message.from, &again->second, false, now);
  }
}

void Node::HandleSnapshotReply(const Message& message, TimePoint now) {
  const auto found = progress_.find(message.from);
  if (role_ != Role::kLeader || found == progress_.end())
    return;
  Progress& progress = found->second;
  if (const TimePoint sent = FromMillis(message.sent_ms);
      sent <= now && sent >= leader_since_) {
    progress.contact = std::max(progress.contact.value_or(sent), sent);
  }
  if (progress.snapshot == nullptr ||
      message.index != progress.snapshot->index ||
      message.offset > progress.encoded.size()) {
    return;
  }
  // A doubled reply has no new offset and causes no further chunk.
  if (message.offset == progress.offset && progress.probe_sent)
    return;
  progress.offset = message.offset;
  SendSnapshot(message.from, &progress, true, now);
}

void Node::MaybeCommit(TimePoint now) {
  const Configuration& members = configuration();
  std::vector<std::uint64_t> matches;
  for (const ReplicaId& id : members.voters) {
    if (id == self_) {
      matches.push_back(persisted_);
    } else {
      const auto found = progress_.find(id);
      matches.push_back(found == progress_.end() ? 0 : found->second.match);
    }
  }
  std::sort(matches.rbegin(), matches.rend());
  const std::uint64_t index = matches[members.majority() - 1];
  // Entries of earlier terms are committed only together with one of the
  // present term: a majority alone does not keep a later leader from
  // replacing them.
  if (index <= commit_ || log_.TermAt(index) != term_)
    return;
  commit_ = index;
  Broadcast(true, now);
  if (!change_pending() && !members.IsVoter(self_))
    BecomeFollower(term_, ReplicaId(), now);
}

// --- Follower ---

bool Node::AcceptLeader(const Message& message, TimePoint now) {
  const bool single =
      role_ != Role::kLeader && (leader_.empty() || leader_ == message.from);
  if (!Check(single, [&] {
        return "two leaders in term " + std::to_string(term_) + ": " +
               leader_.str() + " and " + message.from.str();
      })) {
    return false;
  }
  BecomeFollower(term_, message.from, now);
  leader_contact_ = now;
  ResetElectionTimer(now);
  return true;
}

void Node::HandleAppend(const Message& message, TimePoint now) {
  if (!AcceptLeader(message, now))
    return;
  const auto previous = log_.TermAt(message.index);
  const bool matches =
      message.index < log_.base_index() || previous == message.log_term;
  std::uint64_t hint = std::min(message.index, log_.last_index());
  if (matches) {
    if (!StoreEntries(message))
      return;
    hint = std::max(message.index + message.entries.size(), commit_);
    hint = std::min(hint, log_.last_index());
    FollowCommit(message, message.index + message.entries.size());
  } else if (previous) {
    // All entries of the conflicting term are skipped at once.
    while (hint > commit_ && log_.TermAt(hint) == previous)
      --hint;
  }
  Message& sent = Send(MessageKind::kAppendReply, message.from);
  sent.granted = matches;
  sent.index = hint;
  sent.last_index = log_.last_index();
  sent.sent_ms = message.sent_ms;
}

bool Node::StoreEntries(const Message& message) {
  std::uint64_t index = message.index;
  for (const Entry& entry : message.entries) {
    ++index;
    if (index <= log_.base_index())
      continue;
    if (index <= log_.last_index()) {
      if (log_.TermAt(index) == entry.term)
        continue;
      if (!Check(index > commit_, [&] {
            return "leader " + message.from.str() +
                   " replaces the committed entry " + std::to_string(index);
          })) {
        return false;
      }
      log_.TruncateSuffix(index);
      if (index <= handed_out_) {
        actions_.truncate_from =
            std::min(actions_.truncate_from.value_or(index), index);
        handed_out_ = index - 1;
      }
      persisted_ = std::min(persisted_, index - 1);
    }
    log_.Append(entry);
  }
  return true;
}

void Node::FollowCommit(const Message& message, std::uint64_t match) {
  const std::uint64_t commit =
      std::min({message.commit, match, log_.last_index()});
  if (commit <= commit_)
    return;
  const bool same = commit != message.commit || message.chain == 0 ||
                    log_.ChainAt(commit) == message.chain;
  if (!Check(same, [&] {
        return "log differs from the leader's at the committed entry " +
               std::to_string(commit);
      })) {
    return;
  }
  commit_ = commit;
}

void Node::HandleSnapshot(const Message& message, TimePoint now) {
  if (!AcceptLeader(message, now))
    return;
  const auto acknowledge = [&] {
    Message& reply = Send(MessageKind::kAppendReply, message.from);
    reply.granted = true;
    reply.index = commit_;
    reply.last_index = log_.last_index();
    reply.sent_ms = message.sent_ms;
  };
  if (message.index <= commit_) {
    acknowledge();
    return;
  }
  if (message.hash != incoming_hash_) {
    incoming_.clear();
    incoming_hash_ = message.hash;
  }
  if (message.offset == incoming_.size() &&
      incoming_.size() + message.data.size() <= message.total) {
    incoming_ += message.data;
  }
  if (incoming_.size() == message.total && message.total > 0) {
    const std::string bytes = std::exchange(incoming_, {});
    auto snapshot = DecodeSnapshot(bytes);
    if (Hash64(bytes) == message.hash && snapshot &&
        snapshot.value().index == message.index) {
      InstallSnapshot(std::move(snapshot).value());
      acknowledge();
      return;
    }
  }
  Message& reply = Send(MessageKind::kSnapshotReply, message.from);
  reply.index = message.index;
  reply.offset = incoming_.size();
  reply.sent_ms = message.sent_ms;
}

void Node::InstallSnapshot(Snapshot snapshot) {
  const auto shared = std::make_shared<const Snapshot>(std::move(snapshot));
  actions_.install = shared;
  commit_ = shared->index;
  if (log_.TermAt(shared->index) == shared->term) {
    // The entries behind the snapshot remain valid.
    log_.DropPrefix(shared->index);
  } else {
    log_.Reset(*shared);
    actions_.reset_log = true;
    actions_.truncate_from.reset();
    handed_out_ = shared->index;
    persisted_ = shared->index;
  }
  snapshot_ = shared;
}

}  // namespace boragewinch::raft
