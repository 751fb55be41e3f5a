#include "raft/node.h"

#include <algorithm>
#include <utility>

namespace boragewinch::raft {

Node::Node(ReplicaId self,
           const NodeOptions& options,
           RandomSource random,
           NodeState state,
           TimePoint now)
    : self_(std::move(self)),
      options_(options),
      random_(std::move(random)),
      term_(state.term),
      vote_(state.vote),
      log_(*state.snapshot, state.first_index, std::move(state.entries)),
      snapshot_(state.snapshot),
      commit_(state.snapshot->index),
      submitted_(log_.last_index()),
      persisted_(log_.last_index()),
      leader_since_(now),
      transfer_until_(now) {
  // A crash after a snapshot was stored and before its term was leaves a
  // smaller stored term. The replica has not voted in the later term then,
  // since a vote is stored together with its term.
  if (log_.last_term() > term_) {
    term_ = log_.last_term();
    vote_ = ReplicaId();
  }
  // Before its restart, this replica may have confirmed the lease of a leader
  // that is still running. It votes for no other one until that has expired.
  if (term_ > kFormTerm)
    last_leader_contact_ = now;
  ResetElectionTimer(now);
}

Actions Node::TakeActions() {
  if (submitted_ < log_.last_index()) {
    actions_.append_from = submitted_ + 1;
    submitted_ = log_.last_index();
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
    // The reply tells a leader that was partitioned about the newer term.
    if (message.kind == MessageKind::kAppend ||
        message.kind == MessageKind::kSnapshot) {
      // The sender may lead the newer term by now, so the indexes must be
      // valid.
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

// Adopts the term of the message, except from a candidate while a leader is in
// contact: a removed or partitioned replica must not depose a working leader.
void Node::StepHigherTerm(const Message& message, TimePoint now) {
  if (message.kind == MessageKind::kVote && !message.transfer &&
      HasLeaderContact(now)) {
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
  if (!transfer_to_.empty() && now >= transfer_until_) {
    transfer_to_ = ReplicaId();
    if (timeout_now_sent_) {
      // The kTimeoutNow may still arrive and start an election in the next
      // term, so this replica must give up leadership. It also starts an
      // election; the next term has at most one leader.
      const bool voter = configuration().IsVoter(self_);
      BecomeFollower(term_, ReplicaId(), now);
      if (voter)
        StartElection(true, now);
      return;
    }
  }
  for (auto& [id, progress] : progress_) {
    if (now >= progress.heartbeat_at)
      SendHeartbeat(id, &progress, now);
  }
}

}  // namespace boragewinch::raft
