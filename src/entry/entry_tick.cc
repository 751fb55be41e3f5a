#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "entry/entry_core.h"

namespace boragewinch {

namespace {

constexpr Millis kSweepInterval{1'000};
// A longer gap between two ticks means that this process was stalled.
constexpr Millis kStallThreshold{1'000};
constexpr std::size_t kMaxTakenOverListed = 4'096;
// A dead peer is ignored after kOwnerTimeout; one that still sends but does not
// respond keeps a leave announcement open for this long.
constexpr Millis kLeaveTimeout = kOwnerTimeout + Millis(1'000);

}  // namespace

void EntryCore::Tick(TimePoint now) {
  BeginInput(now);
  if (now - last_tick_ >= kStallThreshold)
    peers_.OnResume(now);
  last_tick_ = now;
  workers_.Tick(now);
  LogFreshnessChange(now);
  for (const RequestId& id : table_.TakeDue(now)) {
    if (RequestRecord* record = table_.Find(id); record != nullptr)
      HandleDue(*record, now);
  }
  for (const std::uint64_t id : calls_.DueCalls(now))
    HandleDueCall(id, now);
  FenceUnresponsivePeers(now);
  if (now >= next_gossip_) {
    next_gossip_ = now + kGossipInterval;
    SendGossip(now);
    if (stopping_)
      AdvanceStop(now);
  }
  AnswerLeaves(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    AssignMissingBackups(now);
    ReleaseTransferredTasks(now);
    ReplaceLostBackups(now);
    while (sequence_times_.size() > 1 &&
           now - sequence_times_[1].first >= config_.ticket_lifetime) {
      sequence_times_.pop_front();
      expired_below_ = sequence_times_.front().second;
    }
    while (!new_owner_times_.empty() &&
           now - new_owner_times_.front().first >= config_.result_retention) {
      new_owners_.erase(new_owner_times_.front().second);
      new_owner_times_.pop_front();
    }
  }
  DispatchQueued(now);
}

void EntryCore::AnswerLeaves(TimePoint now) {
  while (!pending_leaves_.empty()) {
    const PendingLeave& leave = pending_leaves_.front();
    const std::vector<EntryName> peers = peers_.zone_peers();
    const bool confirmed =
        std::all_of(peers.begin(), peers.end(), [&](const EntryName& name) {
          const Peer& peer = *peers_.Find(name);
          return now - peer.last_message_at >= kOwnerTimeout ||
                 (peer.answered && *peer.answered > leave.marked_at);
        });
    if (!confirmed && now - leave.marked_at < kLeaveTimeout)
      return;
    Emit(AnswerLeave{leave.call, confirmed});
    pending_leaves_.pop_front();
  }
}

void EntryCore::LogFreshnessChange(TimePoint now) {
  const bool is_fresh = fresh(now);
  if (is_fresh == was_fresh_)
    return;
  was_fresh_ = is_fresh;
  LogEvent(is_fresh ? EventId::kFreshnessRegained : EventId::kFreshnessLost,
           {});
}

void EntryCore::SendGossip(TimePoint now) {
  PeerGossip gossip;
  gossip.uptime = std::chrono::duration_cast<Millis>(now - started_);
  gossip.stopping = stopping_;
  gossip.running = allotments_.counts();
  gossip.queued = table_.queued_by_team();
  gossip.leaving.assign(workers_.leaving_marks().begin(),
                        workers_.leaving_marks().end());
  for (const KeyId& key : ring_.tombstones()) {
    // Withdrawals in the fleet state reach every entry host anyway.
    if (const auto known = view_.keys.find(key);
        known == view_.keys.end() || !known->second.withdrawn) {
      gossip.tombstones.push_back(key);
    }
  }
  gossip.unresponsive = BuildControlReport(now).unresponsive;
  for (const EntryName& name : peers_.zone_peers()) {
    gossip.sequence = peers_.RecordGossipSent(name, now);
    const Peer& peer = *peers_.Find(name);
    gossip.epoch = peer.own_epoch;
    gossip.taken_over.clear();
    for (const auto& [task, counted] : allotments_.tasks()) {
      if (counted.taken_from && counted.taken_from->entry == name &&
          counted.taken_from->incarnation == peer.incarnation &&
          gossip.taken_over.size() < kMaxTakenOverListed) {
        gossip.taken_over.push_back(task);
      }
    }
    SendTo(name, gossip);
  }
}

void EntryCore::FenceUnresponsivePeers(TimePoint now) {
  std::vector<EntryName> unresponsive;
  for (const auto& [name, peer] : peers_.peers()) {
    const bool fenced =
        peer.fenced_epoch && peer.last_message_at <= peer.fenced_at;
    if (peer.zone == config_.zone && !peer.incarnation.empty() && !fenced &&
        now - peer.last_message_at >= GranterLease(kOwnerTimeout)) {
      unresponsive.push_back(name);
    }
  }
  for (const EntryName& name : unresponsive)
    Fence(name, now);
}

void EntryCore::AssignMissingBackups(TimePoint now) {
  const std::vector<RequestId> ids(unreplicated_.begin(), unreplicated_.end());
  for (const RequestId& id : ids) {
    RequestRecord* record = table_.FindOwned(id);
    if (record == nullptr || record->backup || record->phase == Phase::kEnded) {
      unreplicated_.erase(id);
    } else if (record->phase != Phase::kClosing &&
               record->phase != Phase::kIntending) {
      AssignReachableBackup(*record, now);
    }
  }
}

// Releases transferred tasks whose worker is unresponsive once the new owner no
// longer lists them.
void EntryCore::ReleaseTransferredTasks(TimePoint now) {
  std::vector<TaskId> ended;
  for (const auto& [task, counted] : allotments_.tasks()) {
    if (counted.new_owner.empty())
      continue;
    const WorkerEntry* worker = workers_.Find(counted.worker);
    const bool unresponsive =
        now - counted.counted_at >= GranterLease(kTaskLease) * 2 &&
        (worker == nullptr ||
         now - worker->last_report_at >= GranterLease(kTaskLease));
    const Peer* owner = peers_.Find(counted.new_owner);
    const bool listed =
        owner != nullptr &&
        (!peers_.reachable(counted.new_owner, now) ||
         owner->gossip.taken_over.size() >= kMaxTakenOverListed ||
         std::find(owner->gossip.taken_over.begin(),
                   owner->gossip.taken_over.end(),
                   task) != owner->gossip.taken_over.end());
    if (unresponsive && !listed)
      ended.push_back(task);
  }
  for (const TaskId& task : ended)
    allotments_.Release(task);
}

// Replaces backups that the control leader has declared lost and that have not
// stored the current revision. Until then workers keep the results of these
// requests. A non-repeatable request that has not ended keeps waiting: the
// backup may have fenced this process and taken the request over before it was
// lost.
void EntryCore::ReplaceLostBackups(TimePoint now) {
  std::set<EntryName> lost;
  for (const auto& [name, peer] : peers_.peers()) {
    if (!peer.listed &&
        now - peer.last_message_at >= GranterLease(kOwnerTimeout))
      lost.insert(name);
  }
  if (lost.empty())
    return;
  std::vector<RequestId> gone;
  for (const auto& [id, record] : table_.records()) {
    if (!record.owner && record.backup && !record.replicated() &&
        lost.contains(record.backup->entry) &&
        (record.phase == Phase::kEnded || record.spec.repeatable)) {
      gone.push_back(id);
    }
  }
  for (const RequestId& id : gone) {
    RequestRecord& record = *table_.Find(id);
    OnBackupLost(record, true, now);
    UpdateDueTime(record);
  }
}

ControlReport EntryCore::BuildControlReport(TimePoint now) const {
  ControlReport report;
  report.version = view_.version;
  report.allotment_version = allotments_.version();
  report.wanted = table_.queued_by_team();
  std::map<std::pair<EntryName, Incarnation>, std::map<TeamName, std::int64_t>>
      taken;
  for (const auto& [task, counted] : allotments_.tasks()) {
    ++report.wanted[counted.team];
    if (counted.taken_from) {
      ++taken[{counted.taken_from->entry, counted.taken_from->incarnation}]
             [counted.team];
    } else {
      ++report.running[counted.team];
    }
  }
  for (auto& [owner, running] : taken) {
    report.taken_over.push_back(
        {owner.first, owner.second, std::move(running)});
  }
  report.returned = allotments_.offers();
  for (const auto& [name, peer] : peers_.peers()) {
    if (peer.zone != config_.zone || peer.incarnation.empty() ||
        now - peer.last_message_at < kOwnerTimeout) {
      continue;
    }
    report.unresponsive.push_back(
        {name, peer.incarnation,
         std::chrono::duration_cast<Millis>(now - peer.last_message_at),
         peer.fenced_epoch && *peer.fenced_epoch >= peer.gossip.epoch});
  }
  report.tombstones.assign(ring_.tombstones().begin(),
                           ring_.tombstones().end());
  return report;
}

void EntryCore::Stop(TimePoint now) {
  BeginInput(now);
  if (std::exchange(stopping_, true))
    return;
  next_gossip_ = now;
}

// Hands all records over once their backups hold the newest revisions.
void EntryCore::AdvanceStop(TimePoint now) {
  AssignMissingBackups(now);
  std::set<EntryName> backups;
  for (const auto& [id, record] : table_.records()) {
    if (record.owner || (record.phase == Phase::kEnded && !record.backup))
      continue;
    const bool settled =
        record.phase != Phase::kStoring && record.phase != Phase::kIntending &&
        record.phase != Phase::kStarting && record.phase != Phase::kClosing;
    if (!record.backup || !record.replicated() || !settled)
      return;
    backups.insert(record.backup->entry);
  }
  for (const EntryName& name : backups)
    SendTo(name, PeerHandOver{peers_.Find(name)->own_epoch});
  if (table_.open() == 0)
    ReleaseReplicas(now);
}

// Makes peers that store replicas here choose another backup before this
// process ends.
void EntryCore::ReleaseReplicas(TimePoint now) {
  released_ = true;
  for (const EntryName& name : peers_.zone_peers()) {
    const Peer& peer = *peers_.Find(name);
    if (!peers_.reachable(name, now) ||
        (peer.released_epoch && peer.gossip.epoch > *peer.released_epoch)) {
      continue;
    }
    released_ = false;
    // A fenced peer must give its records up first: a release tells the owner
    // that its replica was never taken over.
    if (!peer.fenced_epoch || peer.gossip.epoch > *peer.fenced_epoch)
      ReleaseReplicasOf(name, now);
  }
}

void EntryCore::ReleaseReplicasOf(const EntryName& entry, TimePoint now) {
  Peer& peer = *peers_.Find(entry);
  std::uint64_t epoch =
      std::max(peer.gossip.epoch, peer.released_epoch.value_or(0));
  std::vector<RequestId> replicas;
  for (const auto& [id, record] : table_.records()) {
    if (record.owner && record.owner->entry == entry) {
      replicas.push_back(id);
      epoch = std::max(epoch, record.owner->epoch);
    }
  }
  // A replica can be of a request that this process accepted and lost to the
  // peer. Without an entry for it, a retried submit would be refused as not
  // run.
  for (const RequestId& id : replicas) {
    table_.Erase(id);
    new_owners_[id] = entry;
    new_owner_times_.emplace_back(now, id);
  }
  peer.released_epoch = epoch;
  SendTo(entry, PeerReleased{epoch});
}

bool EntryCore::stopped() const noexcept {
  return stopping_ && released_ && table_.open() == 0 && calls_.size() == 0 &&
         pending_leaves_.empty();
}

}  // namespace boragewinch
