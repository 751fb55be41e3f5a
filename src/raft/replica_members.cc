#include "raft/replica.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/hash.h"

// Cluster formation, joins, and automatic membership changes by the leader.
namespace boragewinch::raft {

void Replica::SendJoin(const ReplicaId& to, const std::string& host) {
  Message message;
  message.kind = MessageKind::kJoin;
  message.from = id_;
  message.to = to;
  message.cluster = hard_.cluster;
  message.boots = hard_.boots;
  message.session = session_;
  hooks_.send(host, message);
}

void Replica::HandleJoin(const Message& message, TimePoint now) {
  const std::string host = HostOf(message.from);
  const bool known =
      options_.admit_any_host ||
      std::binary_search(options_.hosts.begin(), options_.hosts.end(), host);
  if (host == options_.host || !known)
    return;
  if (!message.cluster.empty() && message.cluster != hard_.cluster)
    return;
  if (hard_.cluster.empty()) {
    // Only a reply to this replica's own request proves that the other replica
    // has no cluster now.
    if (message.to == id_)
      join_requests_[host] = {message.from, now};
    else
      SendJoin(message.from, host);
    return;
  }
  const RaftLog& log = node_->log();
  if (configuration().IsVoter(message.from) && message.cluster.empty() &&
      log.base_index() == 0 && log.last_index() > 0) {
    // The kForm message that formed the cluster was lost.
    Message form;
    form.kind = MessageKind::kForm;
    form.to = message.from;
    form.term = kFormTerm;
    form.entries = {log.At(1)};
    Send(std::move(form));
    return;
  }
  join_requests_[host] = {message.from, now};
  if (role() == Role::kLeader)
    join_at_ = now;
  else
    ForwardJoin(message);
}

// The sender asks the hosts that it knows, and none of them may be the leader.
// Only a request that came from the sender itself has no receiver, so a request
// is forwarded at most once, even if two replicas take each other for the
// leader.
void Replica::ForwardJoin(const Message& message) {
  const ReplicaId& leader = node_->leader();
  if (!message.to.empty() || leader.empty() || leader == id_)
    return;
  Message forwarded = message;
  forwarded.to = leader;
  hooks_.send(HostOf(leader), forwarded);
}

// A replica that was removed while it was out of reach still takes itself for a
// voter, and nobody sends it the entry that removed it. Its requests for votes
// show that it runs, so they count as requests to join.
void Replica::RejoinRemoved(const Message& message, TimePoint now) {
  if (message.kind != MessageKind::kPreVote ||
      configuration().IsMember(message.from) || node_->change_pending() ||
      message.config_index >= node_->log().configuration_index()) {
    return;
  }
  Message join;
  join.kind = MessageKind::kJoin;
  join.from = message.from;
  join.cluster = message.cluster;
  join.boots = message.boots;
  join.session = message.session;
  HandleJoin(join, now);
}

// A leader goes on sending messages to the replica that this host ran before it
// lost its directory. So the host finds its cluster even if none of the hosts
// in its settings is reachable.
void Replica::RecordContact(const Message& message, TimePoint now) {
  const std::string host = HostOf(message.from);
  const bool to_earlier_replica =
      message.to != id_ && HostOf(message.to) == options_.host;
  const bool other_cluster =
      message.cluster.empty() ||
      (!hard_.cluster.empty() && message.cluster != hard_.cluster);
  if (hard_.member || !to_earlier_replica || other_cluster ||
      host == options_.host) {
    return;
  }
  if (contacts_.size() >= kMaxReplicas && contacts_.count(host) == 0) {
    contacts_.erase(std::min_element(
        contacts_.begin(), contacts_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  if (contacts_.insert_or_assign(host, now).second)
    join_at_ = now;
}

void Replica::RequestToJoin() {
  std::set<std::string> hosts(options_.hosts.begin(), options_.hosts.end());
  for (const auto& [host, at] : contacts_)
    hosts.insert(host);
  hosts.erase(options_.host);
  for (const std::string& host : hosts) {
    if (!failure_ && !hard_.member)
      SendJoin(ReplicaId(), host);
  }
}

// A cluster is formed only when every host has just replied that it has none,
// so a replica that has lost its directory can't form a second cluster while a
// member of the first one is running.
void Replica::MaybeForm(TimePoint now) {
  if (!hard_.cluster.empty() || !options_.may_form_cluster ||
      options_.hosts.empty() || options_.hosts.front() != options_.host) {
    return;
  }
  Configuration members;
  members.voters.insert(id_);
  for (const auto& [host, request] : join_requests_) {
    if (now - request.at <= 2 * options_.join_interval)
      members.voters.insert(request.id);
  }
  if (members.voters.size() != options_.hosts.size())
    return;
  const Entry entry{kFormTerm, EntryKind::kConfiguration,
                    WriteJson(ToJson(members))};
  if (Status formed = FormCluster(Hex64(random_()), entry, now); !formed) {
    Stop(formed.error());
    return;
  }
  join_requests_.clear();
  for (const ReplicaId& id : members.voters) {
    if (id == id_)
      continue;
    Message form;
    form.kind = MessageKind::kForm;
    form.to = id;
    form.term = kFormTerm;
    form.entries = {entry};
    Send(std::move(form));
  }
}

Status Replica::HandleForm(const Message& message, TimePoint now) {
  if (!hard_.cluster.empty())
    return Ok();
  if (message.entries.size() != 1 || message.entries[0].term != kFormTerm ||
      message.entries[0].kind != EntryKind::kConfiguration) {
    return Fail(ErrorCode::kProtocol,
                "form message has no valid configuration entry");
  }
  BW_TRY(const Json json, ParseTrustedJson(message.entries[0].data));
  BW_TRY(const Configuration members, ConfigurationFromJson(json));
  if (!members.IsVoter(id_)) {
    return Fail(ErrorCode::kConflict,
                "the cluster being formed does not contain " + id_.str());
  }
  if (Status formed = FormCluster(message.cluster, message.entries[0], now);
      !formed) {
    Stop(formed.error());
    return formed;
  }
  join_requests_.clear();
  return Ok();
}

Status Replica::FormCluster(const std::string& cluster,
                            const Entry& members,
                            TimePoint now) {
  // The identity is written last: until it names the cluster, the log is
  // ignored.
  BW_CHECK(log_.Append(EncodeEntry(members)));
  BW_CHECK(log_.Sync());
  hard_.cluster = cluster;
  hard_.term = kFormTerm;
  hard_.has_log = true;
  hard_.member = true;
  BW_CHECK(identity_.Write(hard_));
  NodeState state;
  state.term = kFormTerm;
  state.snapshot = std::make_shared<const Snapshot>();
  state.entries = {members};
  node_ = std::make_unique<Node>(id_, options_.node, random_, std::move(state),
                                 now);
  return Ok();
}

bool Replica::MayPromote(const ReplicaId& learner, TimePoint now) const {
  const Configuration members = configuration();
  if (options_.voters == 0 || members.voters.size() < options_.voters)
    return true;
  // One voter above the target is allowed only until the unreachable one is
  // demoted.
  if (members.voters.size() > options_.voters)
    return false;
  return std::any_of(members.voters.begin(), members.voters.end(),
                     [&](const ReplicaId& voter) {
                       const Millis age = node_->TimeSinceContact(voter, now);
                       return age >= options_.replace_after ||
                              (HostOf(voter) == HostOf(learner) &&
                               !node_->IsInContact(voter, now));
                     });
}

// Starts at most one change per call. The new replica of a host becomes a voter
// before the lost one is removed, so that a replacement never leaves fewer
// voters than before.
void Replica::ManageMembers(TimePoint now) {
  if (node_->change_pending())
    return;
  const Configuration members = configuration();
  const auto change = [&](MemberChange kind, const ReplicaId& id) {
    // A rejected change is retried with the next heartbeat.
    const auto index = node_->Change(kind, id, now);
    if (index && kind == MemberChange::kAddLearner) {
      LogEvent(EventId::kReplicaRejoined,
               {{"replica", id.str()}, {"index", index.value()}});
    }
    return index.has_value();
  };
  for (const ReplicaId& id : members.voters) {
    if (id != id_ && regressed_.count(id) > 0 &&
        change(MemberChange::kDemote, id)) {
      return;
    }
  }
  for (const ReplicaId& id : members.learners) {
    if (members.retired.count(id) == 0 && node_->IsCaughtUp(id, now) &&
        MayPromote(id, now) && change(MemberChange::kPromote, id)) {
      return;
    }
  }
  const auto replaced = [&](const ReplicaId& id, const ReplicaId& other) {
    return id != other && HostOf(id) == HostOf(other) &&
           node_->IsInContact(other, now) &&
           (members.IsVoter(other) || !members.IsVoter(id));
  };
  for (const auto* ids : {&members.voters, &members.learners}) {
    for (const ReplicaId& id : *ids) {
      if (node_->IsInContact(id, now))
        continue;
      for (const auto* others : {&members.voters, &members.learners}) {
        for (const ReplicaId& other : *others) {
          if (replaced(id, other) && change(MemberChange::kRemove, id))
            return;
        }
      }
    }
  }
  // Demotes a voter that stays unreachable once another member has been
  // promoted in its place: a host that is lost for good must not stay a voter.
  for (const ReplicaId& id : members.voters) {
    if (options_.voters > 0 && members.voters.size() > options_.voters &&
        id != id_ &&
        node_->TimeSinceContact(id, now) >= options_.replace_after &&
        change(MemberChange::kDemote, id)) {
      return;
    }
  }
  for (const auto& [host, request] : join_requests_) {
    if (now - request.at > 2 * options_.join_interval ||
        members.IsMember(request.id)) {
      continue;
    }
    if (members.voters.size() + members.learners.size() < kMaxReplicas) {
      if (change(MemberChange::kAddLearner, request.id))
        return;
    } else if (const auto id = ReplaceableMember(now);
               id && change(MemberChange::kRemove, *id)) {
      return;
    }
  }
}

// Hosts that were replaced for good stay learners, since they may return. The
// one that has been away for longest leaves when the configuration is full, so
// that a new host can join.
std::optional<ReplicaId> Replica::ReplaceableMember(TimePoint now) const {
  std::optional<ReplicaId> replaceable;
  Millis longest = options_.replace_after;
  for (const ReplicaId& id : configuration().learners) {
    if (const Millis age = node_->TimeSinceContact(id, now); age >= longest) {
      replaceable = id;
      longest = age;
    }
  }
  return replaceable;
}

void Replica::ReportTolerableLosses(TimePoint now) {
  if (role() != Role::kLeader) {
    // A new leader reports only after the other voters had time to reply.
    report_losses_at_ = now + options_.join_interval;
    reported_losses_.reset();
    return;
  }
  if (now < report_losses_at_)
    return;
  report_losses_at_ = now + options_.join_interval;
  const auto losses = TolerableLosses(now);
  if (losses && losses != reported_losses_) {
    const Configuration members = configuration();
    LogEvent(EventId::kTolerableLossesChanged,
             {{"replica", id_.str()},
              {"tolerable_losses", *losses},
              {"voters", members.voters.size()},
              {"learners", members.learners.size()}});
  }
  reported_losses_ = losses;
}

}  // namespace boragewinch::raft
