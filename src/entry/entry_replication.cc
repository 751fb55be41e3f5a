#include <algorithm>
#include <limits>
#include <utility>

#include "base/event_log.h"
#include "entry/entry_core.h"

namespace boragewinch {

void EntryCore::SendTo(const EntryName& entry, PeerBody body) {
  const Peer* peer = peers_.Find(entry);
  Emit(SendPeer{entry,
                PeerMessage{config_.incarnation,
                            peer == nullptr ? Incarnation() : peer->incarnation,
                            std::move(body)}});
}

void EntryCore::AssignBackup(RequestRecord& record,
                             const EntryName& entry,
                             TimePoint now) {
  const Peer& peer = *peers_.Find(entry);
  unreplicated_.erase(record.id);
  record.backup = BackupState{entry, peer.incarnation, peer.own_epoch};
  record.backup->sent = now;
  SendToBackup(record, now);
}

void EntryCore::BumpRevision(RequestRecord& record, TimePoint now) {
  ++record.revision;
  if (record.backup) {
    record.backup->sent = now;
    record.backup->attempts = 0;
    SendToBackup(record, now);
  }
}

void EntryCore::SendToBackup(RequestRecord& record, TimePoint now) {
  BackupState& backup = *record.backup;
  const RecordVersion version{record.id, backup.epoch, record.generation,
                              record.revision};
  const bool ended =
      record.phase == Phase::kEnded || record.phase == Phase::kClosing;
  PeerBody body;
  if (backup.acknowledged > 0 && ended) {
    body = PeerClose{version, record.started, record.closing};
  } else if (backup.acknowledged > 0 && record.intent.attempt > 0) {
    body = PeerIntend{version, record.intent, record.progress};
  } else {
    body = PeerStore{version,
                     record.spec,
                     record.open_queue,
                     ended,
                     record.may_have_run,
                     record.started,
                     record.cancel_requested,
                     std::max(record.deadline - now, Millis(0)),
                     record.intent,
                     record.closing,
                     record.progress};
  }
  SendTo(backup.entry, std::move(body));
  backup.next_send =
      now + BackoffDelay(config_.initial_backoff, config_.max_backoff,
                         backup.attempts++, random_);
  UpdateDueTime(record);
}

void EntryCore::OnReplicated(RequestRecord& record, TimePoint now) {
  switch (record.phase) {
    case Phase::kStoring:
      if (!record.taken_over) {
        ++counters_.accepted;
        LogEvent(EventId::kRequestAccepted, {{"request", record.id.str()}});
      }
      Enqueue(record, now);
      AnswerWaiters(record);
      break;
    case Phase::kIntending:
      // The backup may have fenced this process and resolved the intent. An old
      // acknowledgement may predate the fence, so a new one is needed.
      if (record.backup &&
          now - record.backup->sent >= HolderLease(kOwnerTimeout)) {
        BumpRevision(record, now);
      } else {
        Start(record, now);
      }
      break;
    case Phase::kClosing:
      End(record, record.closing, now);
      break;
    default:
      break;
  }
}

// Replicates a record without a backup to a reachable peer, if there is one.
void EntryCore::AssignReachableBackup(RequestRecord& record, TimePoint now) {
  if (const auto backup = peers_.ChooseBackup(record.id, now); backup) {
    AssignBackup(record, *backup, now);
  } else {
    unreplicated_.insert(record.id);
  }
}

void EntryCore::OnBackupLost(RequestRecord& record,
                             bool may_have_fenced,
                             TimePoint now) {
  record.backup.reset();
  if (record.phase == Phase::kEnded)
    return;
  if (may_have_fenced) {
    // The old backup may have taken the record over and started it.
    if (!record.spec.repeatable && !record.has_task()) {
      if (record.phase == Phase::kIntending)
        ReleaseTask(record);
      hooks_.remove(record.id);
      record.may_have_run = true;
      End(record, Closing{Outcome::kUnknownMayHaveRun}, now);
      return;
    }
    record.may_have_run = true;
  }
  if (record.phase == Phase::kClosing) {
    if (record.may_have_run)
      BeginClose(record, record.closing.outcome, record.closing.reason, now);
    else
      OnReplicated(record, now);
    return;
  }
  AssignReachableBackup(record, now);
  if (record.phase == Phase::kIntending) {
    ReleaseTask(record);
    Enqueue(record, now);
  }
  if (record.phase != Phase::kStoring || record.backup)
    return;
  if (record.spec.repeatable || record.taken_over) {
    OnReplicated(record, now);
  } else {
    BeginClose(record, Outcome::kRefusedNotRun, RefusalReason::kNoBackup, now);
  }
}

void EntryCore::OnPeerReplaced(const EntryName& entry,
                               const ReplacedPeer& replaced,
                               TimePoint now) {
  TakeOver(entry, replaced.old_incarnation,
           std::numeric_limits<std::uint64_t>::max(), now);
  std::vector<RequestId> gone;
  for (auto& [id, record] : table_.records()) {
    if (!record.owner && record.backup && record.backup->entry == entry &&
        record.backup->incarnation == replaced.old_incarnation) {
      gone.push_back(id);
    }
  }
  for (const RequestId& id : gone)
    OnBackupLost(*table_.Find(id), replaced.may_have_fenced, now);
}

void EntryCore::TakeOver(const EntryName& entry,
                         const Incarnation& incarnation,
                         std::uint64_t epoch,
                         TimePoint now) {
  std::vector<RequestId> taken;
  for (const auto& [id, record] : table_.records()) {
    if (record.owner && record.owner->entry == entry &&
        record.owner->incarnation == incarnation &&
        record.owner->epoch <= epoch) {
      taken.push_back(id);
    }
  }
  if (taken.empty())
    return;
  LogEvent(EventId::kRequestTakenOver,
           {{"owner", entry.str()}, {"records", taken.size()}});
  counters_.taken_over += taken.size();
  for (const RequestId& id : taken)
    TakeOverRecord(*table_.Find(id), now);
}

void EntryCore::TakeOverRecord(RequestRecord& record, TimePoint now) {
  const ReplicaOwner owner = *record.owner;
  table_.SetOwner(record, std::nullopt);
  record.taken_over = true;
  ++record.generation;
  record.backup.reset();
  if (record.phase == Phase::kEnded) {
    UpdateDueTime(record);
    return;
  }
  // The old owner starts repeatable requests without an acknowledged intent.
  record.may_have_run = record.may_have_run || record.spec.repeatable;
  // The old owner may have made later attempts than the one known here.
  constexpr std::uint64_t kAttemptsPerOwner = 1'000;
  record.next_attempt =
      static_cast<std::uint32_t>(record.generation * kAttemptsPerOwner + 1);
  const bool intended = record.intent.attempt > 0;
  if (intended) {
    allotments_.Count(
        record.task(),
        CountedTask{record.spec.team, record.intent.worker, {}, owner, now});
    // The old owner's start may still be in flight.
    record.lease_until = now + config_.start_timeout + GranterLease(kTaskLease);
    table_.SetPhase(record, Phase::kUnconfirmed, now);
    record.next_forbid = now;
    record.forbid_attempts = 0;
    AssignReachableBackup(record, now);
    UpdateDueTime(record);
    return;
  }
  table_.SetPhase(record, Phase::kStoring, now);
  AssignReachableBackup(record, now);
  if (!record.backup)
    OnReplicated(record, now);
  UpdateDueTime(record);
}

void EntryCore::Fence(const EntryName& entry, TimePoint now) {
  Peer* peer = peers_.Find(entry);
  std::uint64_t epoch = peer->gossip.epoch;
  for (const auto& [id, record] : table_.records()) {
    if (record.owner && record.owner->entry == entry &&
        record.owner->incarnation == peer->incarnation) {
      epoch = std::max(epoch, record.owner->epoch);
    }
  }
  peer->fenced_at = now;
  if (peer->fenced_epoch && *peer->fenced_epoch >= epoch)
    return;
  peer->fenced_epoch = epoch;
  LogEvent(EventId::kOwnerFenced, {{"owner", entry.str()}, {"epoch", epoch}});
  TakeOver(entry, peer->incarnation, epoch, now);
}

// Drops a record that its backup owns from now on.
void EntryCore::YieldOwnership(RequestRecord& record,
                               const EntryName& to,
                               TimePoint now) {
  const RequestId id = record.id;
  if (record.phase == Phase::kIntending) {
    ReleaseTask(record);
  } else if (record.has_task()) {
    // The task keeps running; the new owner renews its lease.
    allotments_.SetNewOwner(record.task(), to);
    if (WorkerEntry* worker = workers_.Find(record.intent.worker);
        worker != nullptr) {
      worker->own_tasks.erase(record.task());
    }
  }
  hooks_.remove(id);
  unreplicated_.erase(id);
  new_owners_[id] = to;
  new_owner_times_.emplace_back(now, id);
  const std::vector<std::uint64_t> waiting = calls_.Waiting(id);
  table_.Erase(id);
  for (const std::uint64_t call : waiting)
    Forward(call, {to}, {}, now);
}

bool EntryCore::RejectFencedOrReleased(const EntryName& from,
                                       const RecordVersion& version) {
  Peer& peer = *peers_.Find(from);
  if (peer.fenced_epoch && version.epoch <= *peer.fenced_epoch) {
    SendTo(from, PeerFenced{*peer.fenced_epoch, {}});
    return true;
  }
  if (!peer.released_epoch)
    return false;
  peer.released_epoch = std::max(*peer.released_epoch, version.epoch);
  SendTo(from, PeerReleased{*peer.released_epoch});
  return true;
}

void EntryCore::Receive(const EntryName& from,
                        PeerStore message,
                        TimePoint now) {
  const RecordVersion& version = message.version;
  if (RejectFencedOrReleased(from, version))
    return;
  RequestRecord* record = table_.Find(version.id);
  if (record != nullptr && !record->owner) {
    if (version.generation <= record->generation) {
      SendTo(from, PeerFenced{0, version.id});
      return;
    }
    // A peer took the record over while it received no messages from here.
    YieldOwnership(*record, from, now);
    record = nullptr;
  }
  if (record != nullptr && version.generation < record->generation) {
    // A later owner has stored it here.
    SendTo(from, PeerFenced{0, version.id});
    return;
  }
  if (record != nullptr && version.generation == record->generation &&
      version.revision <= record->revision) {
    SendTo(from, PeerAck{version, true});
    return;
  }
  const bool bytes_full = table_.bytes() + RequestTable::SizeOf(message.spec) >
                          config_.max_record_bytes;
  if (record == nullptr &&
      (bytes_full || table_.size() >= config_.max_records)) {
    LogEvent(EventId::kBoundReached,
             {{"table", bytes_full ? "record_bytes" : "records"}});
    SendTo(from, PeerAck{version, false});
    return;
  }
  if (record != nullptr)
    table_.Erase(version.id);
  RequestRecord replica;
  replica.id = version.id;
  replica.spec = std::move(message.spec);
  replica.open_queue = message.open_queue;
  replica.phase = message.ended ? Phase::kEnded : Phase::kQueued;
  replica.intent = std::move(message.intent);
  replica.closing = std::move(message.closing);
  replica.progress = std::move(message.progress);
  replica.started = message.started;
  replica.may_have_run = message.may_have_run;
  replica.cancel_requested = message.cancel_requested;
  replica.created = now;
  replica.since = now;
  replica.deadline = now + message.deadline_left;
  replica.generation = version.generation;
  replica.revision = version.revision;
  replica.owner =
      ReplicaOwner{from, peers_.Find(from)->incarnation, version.epoch};
  new_owners_.erase(replica.id);
  UpdateDueTime(table_.Insert(std::move(replica)));
  SendTo(from, PeerAck{version, true});
}

// Finds the replica that a change of `from` applies to. If the change can't be
// made, the response to the owner is sent here.
RequestRecord* EntryCore::FindReplicaForUpdate(const EntryName& from,
                                               const RecordVersion& version) {
  if (RejectFencedOrReleased(from, version))
    return nullptr;
  RequestRecord* record = table_.Find(version.id);
  if (record != nullptr &&
      (!record->owner || version.generation < record->generation)) {
    SendTo(from, PeerFenced{0, version.id});
    return nullptr;
  }
  if (record == nullptr || record->generation != version.generation) {
    SendTo(from, PeerAck{version, false});
    return nullptr;
  }
  return record;
}

void EntryCore::Receive(const EntryName& from,
                        PeerIntend message,
                        TimePoint now) {
  static_cast<void>(now);
  const RecordVersion& version = message.version;
  RequestRecord* record = FindReplicaForUpdate(from, version);
  if (record == nullptr)
    return;
  if (version.revision > record->revision) {
    record->revision = version.revision;
    record->intent = std::move(message.intent);
    table_.SetProgress(*record, std::move(message.progress));
  }
  SendTo(from, PeerAck{version, true});
}

void EntryCore::Receive(const EntryName& from,
                        PeerClose message,
                        TimePoint now) {
  const RecordVersion& version = message.version;
  RequestRecord* record = FindReplicaForUpdate(from, version);
  if (record == nullptr)
    return;
  if (version.revision > record->revision) {
    record->revision = version.revision;
    record->started = message.started;
    table_.SetProgress(*record, {});
    table_.SetClosing(*record, std::move(message.closing));
    table_.SetPhase(*record, Phase::kEnded, now);
    UpdateDueTime(*record);
  }
  SendTo(from, PeerAck{version, true});
}

void EntryCore::Receive(const EntryName& from,
                        const PeerAck& message,
                        TimePoint now) {
  const RecordVersion& version = message.version;
  RequestRecord* record = table_.FindOwned(version.id);
  if (record == nullptr || !record->backup || record->backup->entry != from ||
      record->backup->incarnation != peers_.Find(from)->incarnation ||
      record->backup->epoch != version.epoch ||
      record->generation != version.generation) {
    return;
  }
  if (!message.known) {
    // The whole record is sent again at the next retry.
    record->backup->acknowledged = 0;
    UpdateDueTime(*record);
    return;
  }
  const bool was_replicated = record->replicated();
  record->backup->acknowledged =
      std::max(record->backup->acknowledged, version.revision);
  if (!was_replicated && record->replicated())
    OnReplicated(*record, now);
}

void EntryCore::Receive(const EntryName& from,
                        const PeerFenced& message,
                        TimePoint now) {
  Peer& peer = *peers_.Find(from);
  std::vector<RequestId> fenced;
  if (!message.request.empty()) {
    fenced.push_back(message.request);
  } else {
    peer.own_epoch = std::max(peer.own_epoch, message.epoch + 1);
    for (const auto& [id, record] : table_.records()) {
      if (!record.owner && record.backup && record.backup->entry == from &&
          record.backup->incarnation == peer.incarnation &&
          record.backup->epoch <= message.epoch) {
        fenced.push_back(id);
      }
    }
  }
  for (const RequestId& id : fenced) {
    RequestRecord* record = table_.FindOwned(id);
    if (record == nullptr || !record->backup || record->backup->entry != from)
      continue;
    const bool held =
        record->backup->acknowledged > 0 || !message.request.empty();
    if (held) {
      YieldOwnership(*record, from, now);
      continue;
    }
    // The backup may hold the record: its acknowledgement may be lost.
    OnBackupLost(*record, true, now);
  }
}

void EntryCore::Receive(const EntryName& from,
                        const PeerHandOver& message,
                        TimePoint now) {
  Peer& peer = *peers_.Find(from);
  peer.gossip.epoch = std::max(peer.gossip.epoch, message.epoch);
  Fence(from, now);
  SendTo(from, PeerHandedOver{*peer.fenced_epoch});
}

void EntryCore::Receive(const EntryName& from,
                        const PeerReleased& message,
                        TimePoint now) {
  Peer& peer = *peers_.Find(from);
  peer.own_epoch = std::max(peer.own_epoch, message.epoch + 1);
  peer.gossip.stopping = true;
  std::vector<RequestId> released;
  for (const auto& [id, record] : table_.records()) {
    if (!record.owner && record.backup && record.backup->entry == from &&
        record.backup->incarnation == peer.incarnation &&
        record.backup->epoch <= message.epoch) {
      released.push_back(id);
    }
  }
  for (const RequestId& id : released)
    OnBackupLost(*table_.Find(id), false, now);
}

void EntryCore::ReceiveGossip(const EntryName& from,
                              const PeerMessage& message,
                              TimePoint now) {
  const auto& gossip = std::get<PeerGossip>(message.body);
  std::optional<ReplacedPeer> replaced;
  const PeerContact contact =
      peers_.Gossip(from, message.from, gossip, now, &replaced);
  const bool for_this = message.to.empty() || message.to == config_.incarnation;
  if (contact == PeerContact::kCandidate) {
    // A response may be slow, so a challenge is not replaced at once.
    constexpr Millis kChallengeTimeout{2'000};
    Peer& peer = *peers_.Find(from);
    if (peer.candidate != message.from ||
        now - peer.challenged_at >= kChallengeTimeout) {
      PeerGossip challenge;
      challenge.sequence = peer.next_sequence++;
      challenge.uptime = std::chrono::duration_cast<Millis>(now - started_);
      peers_.RecordChallenge(from, message.from, challenge.sequence, now);
      Emit(SendPeer{from,
                    PeerMessage{config_.incarnation, message.from, challenge}});
    }
  }
  if (contact != PeerContact::kCurrent) {
    // The sender may be challenging this incarnation in turn.
    if (for_this && contact == PeerContact::kCandidate) {
      Emit(SendPeer{from, PeerMessage{config_.incarnation, message.from,
                                      PeerGossipAnswer{gossip.sequence}}});
    }
    return;
  }
  if (replaced)
    OnPeerReplaced(from, *replaced, now);
  for (const KeyId& key : gossip.tombstones)
    ring_.Withdraw(key);
  for (const LeavingWorker& worker : gossip.leaving)
    workers_.MarkLeaving(worker);
  if (for_this)
    SendTo(from, PeerGossipAnswer{gossip.sequence});
  const Peer& peer = *peers_.Find(from);
  if (message.to == config_.incarnation && peer.fenced_epoch &&
      gossip.epoch <= *peer.fenced_epoch) {
    SendTo(from, PeerFenced{*peer.fenced_epoch, {}});
  }
}

}  // namespace boragewinch
