#ifndef BORAGEWINCH_ENTRY_PEER_TABLE_H_
#define BORAGEWINCH_ENTRY_PEER_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/strong_id.h"
#include "base/time.h"
#include "entry/entry_config.h"
#include "entry/peer_message.h"
#include "model/fleet_types.h"

namespace boragewinch {

/// \brief State of another entry host.
struct Peer {
  ZoneName zone;
  Incarnation incarnation;    ///< empty until its first gossip
  TimePoint started;          ///< upper bound of the incarnation's start
  TimePoint last_message_at;  ///< last message of the current incarnation
  std::optional<TimePoint> answered;  ///< send time of the last answered gossip
  std::uint64_t next_sequence = 1;
  std::deque<std::pair<std::uint64_t, TimePoint>> sent;  ///< unanswered gossip
  std::uint64_t own_epoch = 0;  ///< this process's epoch towards the peer
  /// Newest epoch of the peer that this process has fenced.
  std::optional<std::uint64_t> fenced_epoch;
  TimePoint fenced_at;
  /// Newest epoch of the peer whose replicas this process dropped at its stop.
  std::optional<std::uint64_t> released_epoch;
  /// Incarnation seen in gossip that has yet to prove that it is running.
  Incarnation candidate;
  std::uint64_t challenge = 0;  ///< sequence of the gossip sent to candidate
  TimePoint challenged_at;
  bool confirmed = false;  ///< candidate has answered the challenge
  bool listed = true;      ///< by the control leader; lost hosts are not
  std::set<Incarnation> superseded;
  PeerGossip gossip;  ///< newest one received
};

/// \brief An incarnation that a newer one has replaced.
struct ReplacedPeer {
  Incarnation old_incarnation;
  /// Whether the old incarnation may have fenced this process before it ended.
  bool may_have_fenced = true;
};

/// \brief The incarnation of a peer that a message comes from.
enum class PeerContact { kCurrent, kStale, kCandidate };

/// \brief Entry hosts of all zones. Those of the same zone exchange gossip.
class PeerTable {
 public:
  PeerTable(EntryName self, ZoneName zone, std::size_t max_peers)
      : self_(std::move(self)), zone_(std::move(zone)), max_(max_peers) {}

  void Update(const std::vector<EntryHost>& entries, TimePoint now);
  /// \brief Processes gossip from `name`; unknown senders become zone peers.
  /// A different incarnation is accepted only after it has answered gossip
  /// addressed to it, since a message that was delayed for long may come from
  /// an incarnation that ended before the current one started.
  /// \returns kCandidate if the sender has to be challenged.
  /// \param replaced set when a newer incarnation replaced a known one.
  [[nodiscard]] PeerContact Gossip(const EntryName& name,
                                   const Incarnation& incarnation,
                                   const PeerGossip& gossip,
                                   TimePoint now,
                                   std::optional<ReplacedPeer>* replaced);
  /// \brief Records the challenge sent to the candidate.
  void RecordChallenge(const EntryName& name,
                       const Incarnation& incarnation,
                       std::uint64_t sequence,
                       TimePoint now);
  /// \brief Marks the candidate as confirmed if it answered the challenge.
  void ConfirmCandidate(const EntryName& name,
                        const Incarnation& incarnation,
                        std::uint64_t sequence);
  /// \brief Counts any other message of the current incarnation as a
  /// heartbeat.
  [[nodiscard]] PeerContact RecordMessage(const EntryName& name,
                                          const Incarnation& incarnation,
                                          TimePoint now);
  /// \brief Processes the answer to the gossip with `sequence`.
  /// \returns when that gossip was sent; nothing for a repeated or overtaken
  /// answer.
  [[nodiscard]] std::optional<TimePoint> Answered(const EntryName& name,
                                                  std::uint64_t sequence);
  [[nodiscard]] std::uint64_t RecordGossipSent(const EntryName& name,
                                               TimePoint now);
  /// \brief Gives every peer at least half of kOwnerTimeout to send a message
  /// after this process was stalled.
  void OnResume(TimePoint now);

  [[nodiscard]] Peer* Find(const EntryName& name);
  [[nodiscard]] const Peer* Find(const EntryName& name) const;
  [[nodiscard]] bool reachable(const EntryName& name, TimePoint now) const;
  [[nodiscard]] std::vector<EntryName> zone_peers() const;
  [[nodiscard]] std::vector<EntryName> of_zone(const ZoneName& zone) const;
  /// \returns a reachable zone peer to replicate `id` to, chosen by rendezvous
  /// hashing.
  [[nodiscard]] std::optional<EntryName> ChooseBackup(const RequestId& id,
                                                      TimePoint now) const;
  [[nodiscard]] const std::map<EntryName, Peer>& peers() const noexcept {
    return peers_;
  }

 private:
  EntryName self_;
  ZoneName zone_;
  std::size_t max_;
  std::map<EntryName, Peer> peers_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_PEER_TABLE_H_
