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

/// \brief What is known of another entry host.
struct Peer {
  ZoneName zone;
  Incarnation incarnation;  ///< empty until its first gossip
  TimePoint started;        ///< latest possible start of the incarnation
  TimePoint heard;
  std::optional<TimePoint> answered;  ///< sending of the newest answered gossip
  std::uint64_t next_sequence = 1;
  std::deque<std::pair<std::uint64_t, TimePoint>> sent;  ///< unanswered gossip
  std::uint64_t own_epoch = 0;  ///< of this process towards the peer
  std::optional<std::uint64_t> fenced_epoch;  ///< of the peer, by this process
  TimePoint fenced_at;
  std::optional<std::uint64_t> released_epoch;  ///< copies dropped at a stop
  /// Incarnation that gossip named and that has to prove that it lives.
  Incarnation candidate;
  std::uint64_t challenge = 0;  ///< sequence of the gossip sent to it
  TimePoint challenged_at;
  bool confirmed = false;  ///< it has answered the challenge
  bool listed = true;      ///< by the control leader, which lists no lost ones
  std::set<Incarnation> superseded;
  PeerGossip gossip;  ///< newest
};

/// \brief A change of incarnation that gossip showed.
struct PeerReplaced {
  Incarnation old_incarnation;
  /// Whether the old one can have fenced this process before it ended.
  bool may_have_fenced = true;
};

enum class PeerContact { kCurrent, kStale, kCandidate };

/// \brief Entry hosts of all zones. Those of the own zone exchange gossip.
class PeerTable {
 public:
  PeerTable(EntryName self, ZoneName zone, std::size_t max_peers)
      : self_(std::move(self)), zone_(std::move(zone)), max_(max_peers) {}

  void Update(const std::vector<EntryHost>& entries, TimePoint now);
  /// \brief Takes a gossip of `name`; unknown senders are zone peers.
  /// A different incarnation is taken only after it has answered a gossip that
  /// was addressed to it: a message that was held back for long may be of an
  /// incarnation that ended before the present one began.
  /// \returns kCandidate if the sender has to be challenged.
  /// \param replaced set when a newer incarnation replaced a known one.
  [[nodiscard]] PeerContact Gossip(const EntryName& name,
                                   const Incarnation& incarnation,
                                   const PeerGossip& gossip,
                                   TimePoint now,
                                   std::optional<PeerReplaced>* replaced);
  /// \brief Notes the challenge sent to the candidate.
  void Challenged(const EntryName& name,
                  const Incarnation& incarnation,
                  std::uint64_t sequence,
                  TimePoint now);
  /// \brief Takes the answer of an incarnation that is not the present one.
  void Confirm(const EntryName& name,
               const Incarnation& incarnation,
               std::uint64_t sequence);
  /// \brief Counts any other message of the current incarnation as a sign of
  /// life.
  [[nodiscard]] PeerContact Heard(const EntryName& name,
                                  const Incarnation& incarnation,
                                  TimePoint now);
  /// \returns when the gossip with `sequence` was sent, once.
  [[nodiscard]] std::optional<TimePoint> Answered(const EntryName& name,
                                                  std::uint64_t sequence);
  [[nodiscard]] std::uint64_t GossipSent(const EntryName& name, TimePoint now);
  /// \brief Extends all silence measures after this process stood still.
  void Awake(TimePoint now);

  [[nodiscard]] Peer* Find(const EntryName& name);
  [[nodiscard]] const Peer* Find(const EntryName& name) const;
  [[nodiscard]] bool alive(const EntryName& name, TimePoint now) const;
  [[nodiscard]] std::vector<EntryName> zone_peers() const;
  [[nodiscard]] std::vector<EntryName> of_zone(const ZoneName& zone) const;
  /// \returns a reachable zone peer for the copy of `id`.
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
