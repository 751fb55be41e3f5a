#include "entry/peer_table.h"

#include <algorithm>

#include "base/event_log.h"
#include "base/hash.h"

namespace boragewinch {

namespace {

// A peer that has not answered gossip for this long counts as unreachable and
// gets no new replicas.
constexpr Millis kReachabilityTimeout{1'500};
constexpr std::size_t kMaxUnanswered = 64;
constexpr std::size_t kMaxSuperseded = 64;

}  // namespace

void PeerTable::Update(const std::vector<EntryHost>& entries, TimePoint now) {
  std::set<EntryName> listed;
  for (const EntryHost& entry : entries) {
    if (entry.name == self_)
      continue;
    listed.insert(entry.name);
    auto found = peers_.find(entry.name);
    if (found == peers_.end()) {
      if (peers_.size() >= max_) {
        LogEvent(EventId::kBoundReached, {{"table", "peers"}});
        continue;
      }
      found = peers_.try_emplace(entry.name).first;
      found->second.last_message_at = now;
    }
    found->second.zone = entry.zone;
  }
  for (auto& [name, peer] : peers_)
    peer.listed = listed.contains(name);
  // Drops entry hosts of other zones that were declared lost.
  std::erase_if(peers_, [&](const auto& peer) {
    return peer.second.zone != zone_ && !listed.contains(peer.first);
  });
}

PeerContact PeerTable::Gossip(const EntryName& name,
                              const Incarnation& incarnation,
                              const PeerGossip& gossip,
                              TimePoint now,
                              std::optional<ReplacedPeer>* replaced) {
  if (name == self_)
    return PeerContact::kStale;
  auto found = peers_.find(name);
  if (found == peers_.end()) {
    if (peers_.size() >= max_) {
      LogEvent(EventId::kBoundReached, {{"table", "peers"}});
      return PeerContact::kStale;
    }
    found = peers_.try_emplace(name).first;
  }
  Peer& peer = found->second;
  const TimePoint started = now - gossip.uptime;
  if (peer.incarnation != incarnation) {
    if (peer.superseded.contains(incarnation))
      return PeerContact::kStale;
    if (!peer.incarnation.empty() &&
        (peer.candidate != incarnation || !peer.confirmed)) {
      return PeerContact::kCandidate;
    }
    if (!peer.incarnation.empty()) {
      // The old incarnation fences this process after kOwnerTimeout without a
      // message from here. It can't have done so if its successor started
      // before that.
      const bool safe = peer.answered &&
                        started <= *peer.answered + HolderLease(kOwnerTimeout);
      *replaced = ReplacedPeer{peer.incarnation, !safe};
      if (peer.superseded.size() >= kMaxSuperseded)
        peer.superseded.erase(peer.superseded.begin());
      peer.superseded.insert(peer.incarnation);
    }
    peer.incarnation = incarnation;
    peer.candidate = Incarnation();
    peer.confirmed = false;
    peer.started = started;
    peer.answered.reset();
    peer.sent.clear();
    peer.own_epoch = 0;
    peer.fenced_epoch.reset();
    peer.released_epoch.reset();
    peer.gossip = PeerGossip{};
  }
  peer.zone = zone_;
  peer.started = std::min(peer.started, started);
  peer.last_message_at = std::max(peer.last_message_at, now);
  if (gossip.sequence >= peer.gossip.sequence)
    peer.gossip = gossip;
  return PeerContact::kCurrent;
}

void PeerTable::RecordChallenge(const EntryName& name,
                                const Incarnation& incarnation,
                                std::uint64_t sequence,
                                TimePoint now) {
  if (Peer* peer = Find(name); peer != nullptr) {
    peer->challenged_at = now;
    peer->candidate = incarnation;
    peer->challenge = sequence;
    peer->confirmed = false;
  }
}

void PeerTable::ConfirmCandidate(const EntryName& name,
                                 const Incarnation& incarnation,
                                 std::uint64_t sequence) {
  if (Peer* peer = Find(name);
      peer != nullptr && peer->candidate == incarnation) {
    peer->confirmed = peer->confirmed || peer->challenge == sequence;
  }
}

PeerContact PeerTable::RecordMessage(const EntryName& name,
                                     const Incarnation& incarnation,
                                     TimePoint now) {
  Peer* peer = Find(name);
  if (peer == nullptr || peer->incarnation != incarnation)
    return PeerContact::kStale;
  peer->last_message_at = std::max(peer->last_message_at, now);
  return PeerContact::kCurrent;
}

std::optional<TimePoint> PeerTable::Answered(const EntryName& name,
                                             std::uint64_t sequence) {
  Peer* peer = Find(name);
  if (peer == nullptr)
    return std::nullopt;
  const auto sent =
      std::find_if(peer->sent.begin(), peer->sent.end(),
                   [&](const auto& entry) { return entry.first == sequence; });
  if (sent == peer->sent.end())
    return std::nullopt;
  const TimePoint sent_at = sent->second;
  peer->sent.erase(peer->sent.begin(), sent + 1);
  peer->answered =
      peer->answered ? std::max(*peer->answered, sent_at) : sent_at;
  return sent_at;
}

std::uint64_t PeerTable::RecordGossipSent(const EntryName& name,
                                          TimePoint now) {
  Peer* peer = Find(name);
  if (peer == nullptr)
    return 0;
  peer->sent.emplace_back(peer->next_sequence, now);
  if (peer->sent.size() > kMaxUnanswered)
    peer->sent.pop_front();
  return peer->next_sequence++;
}

void PeerTable::OnResume(TimePoint now) {
  for (auto& [name, peer] : peers_)
    peer.last_message_at =
        std::max(peer.last_message_at, now - kOwnerTimeout / 2);
}

Peer* PeerTable::Find(const EntryName& name) {
  const auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : &found->second;
}

const Peer* PeerTable::Find(const EntryName& name) const {
  const auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : &found->second;
}

bool PeerTable::reachable(const EntryName& name, TimePoint now) const {
  const Peer* peer = Find(name);
  return peer != nullptr && peer->answered &&
         now - *peer->answered < kReachabilityTimeout;
}

std::vector<EntryName> PeerTable::zone_peers() const {
  return of_zone(zone_);
}

std::vector<EntryName> PeerTable::of_zone(const ZoneName& zone) const {
  std::vector<EntryName> names;
  for (const auto& [name, peer] : peers_) {
    if (peer.zone == zone)
      names.push_back(name);
  }
  return names;
}

std::optional<EntryName> PeerTable::ChooseBackup(const RequestId& id,
                                                 TimePoint now) const {
  std::optional<EntryName> best;
  std::uint64_t best_weight = 0;
  for (const EntryName& name : zone_peers()) {
    const std::uint64_t weight = Hash64(id.str() + "/" + name.str());
    if (reachable(name, now) && !peers_.at(name).gossip.stopping &&
        (!best || weight > best_weight)) {
      best = name;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace boragewinch
