#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "entry/entry_core.h"

namespace boragewinch {

namespace {

constexpr Millis kSweepInterval{1'000};
// A longer pause between two ticks means that this process stood still.
constexpr Millis kStandstill{1'000};
constexpr std::size_t kMaxTakenOverListed = 4'096;
// A peer that has died drops out after kOwnerSilence; one that is heard but
// doesn't answer keeps a leave announcement open for this long.
constexpr Millis kLeaveLimit = kOwnerSilence + Millis(1'000);

}  // namespace

void EntryCore::Tick(TimePoint now) {
  Enter(now);
  if (now - last_tick_ >= kStandstill)
    peers_.Awake(now);
  last_tick_ = now;
  workers_.Tick(now);
  NoteFreshness(now);
  for (const RequestId& id : table_.TakeDue(now)) {
    if (RequestRecord* record = table_.Find(id); record != nullptr)
      Review(*record, now);
  }
  for (const std::uint64_t id : calls_.TakeDue(now))
    ReviewCall(id, now);
  FenceSilentPeers(now);
  if (now >= next_gossip_) {
    next_gossip_ = now + kGossipInterval;
    SendGossip(now);
    if (stopping_)
      AdvanceStop(now);
  }
  AnswerLeaves(now);
  if (now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    PlaceMissingCopies(now);
    ReleaseMovedTasks(now);
    ReplaceLostCopies(now);
    while (sequence_times_.size() > 1 &&
           now - sequence_times_[1].first >= config_.ticket_lifetime) {
      sequence_times_.pop_front();
      expired_below_ = sequence_times_.front().second;
    }
    while (!moved_times_.empty() &&
           now - moved_times_.front().first >= config_.result_retention) {
      moved_.erase(moved_times_.front().second);
      moved_times_.pop_front();
    }
  }
  Pump(now);
}

void EntryCore::AnswerLeaves(TimePoint now) {
  while (!leaves_.empty()) {
    const OpenLeave& leave = leaves_.front();
    const std::vector<EntryName> peers = peers_.zone_peers();
    const bool confirmed =
        std::all_of(peers.begin(), peers.end(), [&](const EntryName& name) {
          const Peer& peer = *peers_.Find(name);
          return now - peer.heard >= kOwnerSilence ||
                 (peer.answered && *peer.answered > leave.marked_at);
        });
    if (!confirmed && now - leave.marked_at < kLeaveLimit)
      return;
    Emit(AnswerLeave{leave.call, confirmed});
    leaves_.pop_front();
  }
}

void EntryCore::NoteFreshness(TimePoint now) {
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
  gossip.running = book_.counts();
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
  gossip.silent = BuildControlReport(now).silent;
  for (const EntryName& name : peers_.zone_peers()) {
    gossip.sequence = peers_.GossipSent(name, now);
    const Peer& peer = *peers_.Find(name);
    gossip.epoch = peer.own_epoch;
    gossip.taken_over.clear();
    for (const auto& [task, counted] : book_.tasks()) {
      if (counted.taken_from && counted.taken_from->entry == name &&
          counted.taken_from->incarnation == peer.incarnation &&
          gossip.taken_over.size() < kMaxTakenOverListed) {
        gossip.taken_over.push_back(task);
      }
    }
    SendTo(name, gossip);
  }
}

void EntryCore::FenceSilentPeers(TimePoint now) {
  std::vector<EntryName> silent;
  for (const auto& [name, peer] : peers_.peers()) {
    const bool fenced = peer.fenced_epoch && peer.heard <= peer.fenced_at;
    if (peer.zone == config_.zone && !peer.incarnation.empty() && !fenced &&
        now - peer.heard >= GranterLease(kOwnerSilence)) {
      silent.push_back(name);
    }
  }
  for (const EntryName& name : silent)
    Fence(name, now);
}

void EntryCore::PlaceMissingCopies(TimePoint now) {
  const std::vector<RequestId> ids(uncopied_.begin(), uncopied_.end());
  for (const RequestId& id : ids) {
    RequestRecord* record = table_.Own(id);
    if (record == nullptr || record->copy || record->phase == Phase::kEnded) {
      uncopied_.erase(id);
    } else if (record->phase != Phase::kClosing &&
               record->phase != Phase::kIntending) {
      PlaceCopy(*record, now);
    }
  }
}

// Releases moved tasks whose worker has gone silent once the new owner no
// longer lists them.
void EntryCore::ReleaseMovedTasks(TimePoint now) {
  std::vector<TaskId> ended;
  for (const auto& [task, counted] : book_.tasks()) {
    if (counted.moved_to.empty())
      continue;
    const WorkerEntry* worker = workers_.Find(counted.worker);
    const bool silent =
        now - counted.counted_at >= GranterLease(kTaskLease) * 2 &&
        (worker == nullptr || now - worker->heard >= GranterLease(kTaskLease));
    const Peer* owner = peers_.Find(counted.moved_to);
    const bool listed =
        owner != nullptr &&
        (!peers_.alive(counted.moved_to, now) ||
         owner->gossip.taken_over.size() >= kMaxTakenOverListed ||
         std::find(owner->gossip.taken_over.begin(),
                   owner->gossip.taken_over.end(),
                   task) != owner->gossip.taken_over.end());
    if (silent && !listed)
      ended.push_back(task);
  }
  for (const TaskId& task : ended)
    book_.Release(task);
}

// Gives up copies at peers that the control leader has declared lost. Until
// then workers keep the results of these requests. A request that must not be
// repeated and has not ended waits on: the peer may have fenced this process
// and taken the request over before it was lost.
void EntryCore::ReplaceLostCopies(TimePoint now) {
  std::set<EntryName> lost;
  for (const auto& [name, peer] : peers_.peers()) {
    if (!peer.listed && now - peer.heard >= GranterLease(kOwnerSilence))
      lost.insert(name);
  }
  if (lost.empty())
    return;
  std::vector<RequestId> gone;
  for (const auto& [id, record] : table_.records()) {
    if (!record.owner && record.copy && !record.replicated() &&
        lost.contains(record.copy->entry) &&
        (record.phase == Phase::kEnded || record.spec.repeatable)) {
      gone.push_back(id);
    }
  }
  for (const RequestId& id : gone) {
    RequestRecord& record = *table_.Find(id);
    OnCopyGone(record, true, now);
    Touch(record);
  }
}

ControlReport EntryCore::BuildControlReport(TimePoint now) const {
  ControlReport report;
  report.version = view_.version;
  report.allotment_version = book_.version();
  report.wanted = table_.queued_by_team();
  std::map<std::pair<EntryName, Incarnation>, std::map<TeamName, std::int64_t>>
      taken;
  for (const auto& [task, counted] : book_.tasks()) {
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
  report.returned = book_.offers();
  for (const auto& [name, peer] : peers_.peers()) {
    if (peer.zone != config_.zone || peer.incarnation.empty() ||
        now - peer.heard < kOwnerSilence) {
      continue;
    }
    report.silent.push_back(
        {name, peer.incarnation,
         std::chrono::duration_cast<Millis>(now - peer.heard),
         peer.fenced_epoch && *peer.fenced_epoch >= peer.gossip.epoch});
  }
  report.tombstones.assign(ring_.tombstones().begin(),
                           ring_.tombstones().end());
  return report;
}

void EntryCore::Stop(TimePoint now) {
  Enter(now);
  if (std::exchange(stopping_, true))
    return;
  next_gossip_ = now;
}

// Hands all records over once their backups hold the newest revisions.
void EntryCore::AdvanceStop(TimePoint now) {
  PlaceMissingCopies(now);
  std::set<EntryName> backups;
  for (const auto& [id, record] : table_.records()) {
    if (record.owner || (record.phase == Phase::kEnded && !record.copy))
      continue;
    const bool settled =
        record.phase != Phase::kStoring && record.phase != Phase::kIntending &&
        record.phase != Phase::kStarting && record.phase != Phase::kClosing;
    if (!record.copy || !record.replicated() || !settled)
      return;
    backups.insert(record.copy->entry);
  }
  for (const EntryName& name : backups)
    SendTo(name, PeerHandOver{peers_.Find(name)->own_epoch});
  if (table_.open() == 0)
    ReleaseCopies(now);
}

// Peers that keep copies here place them elsewhere before this process ends.
void EntryCore::ReleaseCopies(TimePoint now) {
  released_ = true;
  for (const EntryName& name : peers_.zone_peers()) {
    const Peer& peer = *peers_.Find(name);
    if (!peers_.alive(name, now) ||
        (peer.released_epoch && peer.gossip.epoch > *peer.released_epoch)) {
      continue;
    }
    released_ = false;
    // A fenced peer has to give its records up first; it must not take the
    // release for a copy that was never used.
    if (!peer.fenced_epoch || peer.gossip.epoch > *peer.fenced_epoch)
      ReleaseCopiesOf(name, now);
  }
}

void EntryCore::ReleaseCopiesOf(const EntryName& entry, TimePoint now) {
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
  // A copy can be of a request that this process accepted and lost to the peer.
  // Without a trace of it, a repeated submit would be refused as not run.
  for (const RequestId& id : replicas) {
    table_.Erase(id);
    moved_[id] = entry;
    moved_times_.emplace_back(now, id);
  }
  peer.released_epoch = epoch;
  SendTo(entry, PeerReleased{epoch});
}

bool EntryCore::stopped() const noexcept {
  return stopping_ && released_ && table_.open() == 0 && calls_.size() == 0 &&
         leaves_.empty();
}

}  // namespace boragewinch
