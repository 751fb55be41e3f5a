#include <algorithm>
#include <utility>

#include "raft/node.h"

namespace boragewinch::raft {

void Node::ResetElectionTimer(TimePoint now) {
  const auto timeout =
      static_cast<std::uint64_t>(options_.election_timeout.count());
  election_at_ = now + options_.election_timeout +
                 Millis(static_cast<std::int64_t>(random_() % timeout));
}

bool Node::HasLeaderContact(TimePoint now) const {
  return role_ == Role::kLeader ||
         (last_leader_contact_ &&
          now - *last_leader_contact_ < options_.election_timeout);
}

bool Node::IsUpToDate(const Message& message) const {
  const std::uint64_t last_term = log_.last_term();
  return message.log_term > last_term ||
         (message.log_term == last_term && message.index >= log_.last_index());
}

// A learner votes only if the candidate has a newer configuration, which may
// have made it a voter: candidates count votes by their own latest one. If the
// learner had to receive that entry first, a cluster that loses its leader
// right after the promotion could lack a majority for ever.
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
    incoming_snapshot_.clear();
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
  const bool granted = message.term > term_ && !HasLeaderContact(now) &&
                       IsUpToDate(message) && MayVote(message);
  Message& reply = Send(MessageKind::kPreVoteReply, message.from);
  reply.granted = granted;
  // A grant carries the requested term, a refusal the current one.
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

}  // namespace boragewinch::raft
