#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "raft/node.h"

namespace boragewinch::raft {

namespace {

/// Limit on doublings of the time after which a transfer counts as lost.
constexpr unsigned kMaxBackoffDoublings = 4;

}  // namespace

void Node::BecomeLeader(TimePoint now) {
  role_ = Role::kLeader;
  leader_ = self_;
  leader_since_ = now;
  timeout_now_sent_ = false;
  announced_commit_ = 0;
  votes_.clear();
  progress_.clear();
  AppendAsLeader(EntryKind::kNoop, "", now);
}

// Called after each append. Replication to a new member starts at the entry
// just appended: the one before it is the likely match.
void Node::ReconcileProgress() {
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
  ReconcileProgress();
  Broadcast(false, now);
}

std::optional<TimePoint> Node::MajorityContact(TimePoint now) const {
  std::vector<TimePoint> contacts;
  for (const ReplicaId& id : configuration().voters) {
    if (id == self_) {
      contacts.push_back(now);
    } else if (const auto found = progress_.find(id);
               found != progress_.end() && found->second.last_contact) {
      contacts.push_back(*found->second.last_contact);
    }
  }
  const std::size_t majority = configuration().majority();
  if (contacts.size() < majority)
    return std::nullopt;
  std::sort(contacts.rbegin(), contacts.rend());
  return contacts[majority - 1];
}

void Node::CheckLeadership(TimePoint now) {
  if (role_ != Role::kLeader || now < stall_grace_until_)
    return;
  const TimePoint contact =
      std::max(leader_since_, MajorityContact(now).value_or(leader_since_));
  if (now - contact > options_.election_timeout)
    BecomeFollower(term_, ReplicaId(), now);
}

void Node::NotifyStall(TimePoint now) {
  if (role_ != Role::kLeader || now < stall_grace_until_)
    return;
  stall_grace_until_ = now + options_.election_timeout / 2;
  for (auto& [id, progress] : progress_)
    progress.heartbeat_at = now;
}

std::optional<TimePoint> Node::ConfirmedAt(TimePoint now) const {
  if (role_ != Role::kLeader || timeout_now_sent_ ||
      log_.TermAt(commit_) != term_)
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
                "leadership is being transferred to " + transfer_to_.str());
  }
  return Ok();
}

Result<std::uint64_t> Node::Propose(std::string command, TimePoint now) {
  BW_CHECK(RequireLeader(now));
  if (command.size() > kMaxCommandBytes) {
    return Fail(ErrorCode::kTooLarge,
                "command has " + std::to_string(command.size()) +
                    " bytes, at most " + std::to_string(kMaxCommandBytes) +
                    " are allowed");
  }
  if (log_.last_index() - commit_ >= options_.max_uncommitted_entries) {
    return Fail(ErrorCode::kTableFull,
                std::to_string(log_.last_index() - commit_) +
                    " entries are not committed yet");
  }
  AppendAsLeader(EntryKind::kCommand, std::move(command), now);
  return log_.last_index();
}

Result<std::uint64_t> Node::Change(MemberChange change,
                                   const ReplicaId& id,
                                   TimePoint now) {
  BW_CHECK(RequireLeader(now));
  // The second condition fixes the known flaw of single-server changes: without
  // it, two leaders could start from different configurations.
  if (change_pending() || log_.TermAt(commit_) != term_) {
    return Fail(
        ErrorCode::kUnavailable,
        "an earlier membership change or the first entry of this term is "
        "not committed");
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
                "leadership can't be transferred to " + to.str());
  }
  transfer_to_ = to;
  transfer_until_ = now + options_.election_timeout;
  MaybeTransfer(to);
  return Ok();
}

void Node::MaybeTransfer(const ReplicaId& to) {
  if (to != transfer_to_ || progress_[to].match != log_.last_index())
    return;
  timeout_now_sent_ = true;
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
  return found != progress_.end() && found->second.last_contact &&
         now - *found->second.last_contact <= options_.election_timeout;
}

Millis Node::TimeSinceContact(const ReplicaId& id, TimePoint now) const {
  if (role_ != Role::kLeader || id == self_)
    return Millis(0);
  const auto found = progress_.find(id);
  const bool answered = found != progress_.end() && found->second.last_contact;
  return now - (answered ? *found->second.last_contact : leader_since_);
}

bool Node::IsCaughtUp(const ReplicaId& id, TimePoint now) const {
  return IsInContact(id, now) &&
         (id == self_ || progress_.at(id).match >= commit_);
}

void Node::Broadcast(bool heartbeat, TimePoint now) {
  for (auto& [id, progress] : progress_) {
    if (heartbeat)
      SendHeartbeat(id, &progress, now);
    else
      SendAppend(id, &progress, false, now);
  }
}

void Node::SendHeartbeat(const ReplicaId& to,
                         Progress* progress,
                         TimePoint now) {
  progress->probe_sent = false;
  SendAppend(to, progress, true, now);
}

// A transfer counts as lost once it takes much longer than its size explains.
// The time doubles with each loss: on a link that is slower than assumed or
// full, sending again too early would only fill it further.
bool Node::IsOverdue(const Progress& progress, TimePoint now) const {
  const Millis expected = 2 * options_.heartbeat_interval +
                          MaxTransferTime(progress.transfer->bytes);
  return now - progress.transfer->sent >=
         expected * (1U << std::min(progress.losses, kMaxBackoffDoublings));
}

void Node::DropTransfer(Progress* progress) {
  progress->transfer.reset();
  ++progress->losses;
  if (progress->snapshot != nullptr)
    return;
  progress->next = progress->match + 1;
  progress->probing = true;
  progress->probe_sent = false;
}

void Node::SendAppend(const ReplicaId& to,
                      Progress* progress,
                      bool heartbeat,
                      TimePoint now) {
  if (progress->transfer && IsOverdue(*progress, now))
    DropTransfer(progress);
  if (progress->snapshot != nullptr || progress->next <= log_.base_index()) {
    // Chunks are sent only in response to replies, so a follower that is down
    // causes little traffic.
    if (heartbeat || progress->snapshot == nullptr)
      SendSnapshot(to, progress, false, now);
    return;
  }
  // Messages take different connections and overtake each other. While entries
  // are in flight, only messages that do not depend on them are sent: the
  // follower would reject others, although nothing was lost.
  const bool idle = !progress->transfer && !progress->probing;
  const bool has_entries = idle && progress->next <= log_.last_index();
  const bool announces =
      idle &&
      progress->announced < std::min(announced_commit_, progress->match);
  const bool probes = progress->probing && !progress->probe_sent;
  if (!heartbeat && !has_entries && !announces && !probes)
    return;
  Message& message = Send(MessageKind::kAppend, to);
  // An empty kAppend probes the follower's log: the follower rejects it if it
  // lacks the entry before `next`.
  message.index = progress->transfer
                      ? std::max(progress->match, log_.base_index())
                      : progress->next - 1;
  message.log_term = *log_.TermAt(message.index);
  message.commit = commit_;
  message.chain = log_.ChainAt(commit_).value_or(0);
  message.sent_ms = ToMillis(now);
  progress->probe_sent = progress->probing;
  if (has_entries) {
    std::size_t bytes = 0;
    std::uint64_t index = progress->next;
    for (; index <= log_.last_index() &&
           message.entries.size() < options_.max_batch_entries;
         ++index) {
      const Entry& entry = log_.At(index);
      if (bytes > 0 && bytes + entry.data.size() > options_.max_batch_bytes)
        break;
      bytes += entry.data.size() + 1;
      message.entries.push_back(entry);
    }
    progress->next = index;
    progress->transfer = Transfer{index - 1, bytes, now, progress->boots};
  }
  progress->announced =
      std::max(progress->announced,
               std::min(commit_, message.index + message.entries.size()));
  progress->heartbeat_at = now + options_.heartbeat_interval;
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
    progress->transfer.reset();
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
    progress->transfer = Transfer{0, message.data.size(), now, progress->boots};
  }
  progress->heartbeat_at = now + options_.heartbeat_interval;
}

// Contact is dated to when the leader sent the message that is replied to.
Node::Progress* Node::RecordReply(const Message& message, TimePoint now) {
  const auto found = progress_.find(message.from);
  if (role_ != Role::kLeader || found == progress_.end())
    return nullptr;
  Progress& progress = found->second;
  if (const TimePoint sent = FromMillis(message.sent_ms);
      sent <= now && sent >= leader_since_) {
    progress.last_contact =
        std::max(progress.last_contact.value_or(sent), sent);
  }
  progress.boots = std::max(progress.boots, message.boots);
  // The follower was restarted since and may not have received the transfer.
  if (progress.transfer && progress.transfer->boots < progress.boots)
    DropTransfer(&progress);
  return &progress;
}

void Node::HandleAppendReply(const Message& message, TimePoint now) {
  Progress* const replied = RecordReply(message, now);
  if (replied == nullptr)
    return;
  Progress& progress = *replied;
  if (message.boots > progress.match_boots &&
      message.last_index < progress.match) {
    // The follower was restarted and lacks entries that it had acknowledged.
    actions_.regressed.push_back(message.from);
    progress.match = 0;
    progress.transfer.reset();
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
      progress.transfer.reset();
      progress.losses = 0;
    }
    if (progress.transfer && progress.transfer->last > 0 &&
        progress.match >= progress.transfer->last) {
      progress.transfer.reset();
      progress.losses = 0;
    }
    progress.next = std::max(progress.next, progress.match + 1);
    progress.probing = false;
    progress.probe_sent = false;
    MaybeCommit(now);
    if (role_ != Role::kLeader)
      return;
    MaybeTransfer(message.from);
  } else if (message.index < progress.next - 1 && !progress.transfer &&
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
  Progress* const replied = RecordReply(message, now);
  if (replied == nullptr)
    return;
  Progress& progress = *replied;
  if (progress.snapshot == nullptr ||
      message.index != progress.snapshot->index ||
      message.offset > progress.encoded.size()) {
    return;
  }
  // A duplicate or late reply has no new offset and triggers no further chunk.
  if (progress.transfer && message.offset <= progress.offset)
    return;
  if (message.offset > progress.offset)
    progress.losses = 0;
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
  // Entries of earlier terms are committed only through an entry of the current
  // term: being on a majority alone does not keep a later leader from replacing
  // them.
  if (index <= commit_ || log_.TermAt(index) != term_)
    return;
  const bool changing = change_pending();
  commit_ = index;
  if (options_.announce_commits || (changing && !change_pending())) {
    announced_commit_ = commit_;
    Broadcast(false, now);
  }
  if (!change_pending() && !members.IsVoter(self_))
    BecomeFollower(term_, ReplicaId(), now);
}

}  // namespace boragewinch::raft
