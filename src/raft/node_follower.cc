#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/invariant.h"
#include "raft/node.h"

namespace boragewinch::raft {

namespace {

// Builds the detail only for a violation.
template <typename Detail>
[[nodiscard]] bool Check(bool holds, const Detail& detail) {
  return CheckInvariant(Invariant::kConfiguration, holds,
                        holds ? std::string() : detail());
}

}  // namespace

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
  last_leader_contact_ = now;
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
    AdvanceCommit(message, message.index + message.entries.size());
  } else if (previous) {
    // Skips all entries of the conflicting term at once.
    while (hint > commit_ && log_.TermAt(hint) == previous)
      --hint;
  }
  Message& reply = Send(MessageKind::kAppendReply, message.from);
  reply.granted = matches;
  reply.index = hint;
  reply.last_index = log_.last_index();
  reply.sent_ms = message.sent_ms;
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
      if (index <= submitted_) {
        actions_.truncate_from =
            std::min(actions_.truncate_from.value_or(index), index);
        submitted_ = index - 1;
      }
      persisted_ = std::min(persisted_, index - 1);
    }
    log_.Append(entry);
  }
  return true;
}

void Node::AdvanceCommit(const Message& message, std::uint64_t match) {
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
    incoming_snapshot_.clear();
    incoming_hash_ = message.hash;
  }
  if (message.offset == incoming_snapshot_.size() &&
      incoming_snapshot_.size() + message.data.size() <= message.total) {
    incoming_snapshot_ += message.data;
  }
  if (incoming_snapshot_.size() == message.total && message.total > 0) {
    const std::string bytes = std::exchange(incoming_snapshot_, {});
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
  reply.offset = incoming_snapshot_.size();
  reply.sent_ms = message.sent_ms;
}

void Node::InstallSnapshot(Snapshot snapshot) {
  const auto shared = std::make_shared<const Snapshot>(std::move(snapshot));
  actions_.install = shared;
  commit_ = shared->index;
  if (log_.TermAt(shared->index) == shared->term) {
    // The entries after the snapshot remain valid.
    log_.DropPrefix(shared->index);
  } else {
    log_.Reset(*shared);
    actions_.reset_log = true;
    actions_.truncate_from.reset();
    submitted_ = shared->index;
    persisted_ = shared->index;
  }
  snapshot_ = shared;
}

}  // namespace boragewinch::raft
