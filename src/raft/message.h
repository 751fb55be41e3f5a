#ifndef BORAGEWINCH_RAFT_MESSAGE_H_
#define BORAGEWINCH_RAFT_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/json.h"
#include "raft/entry.h"
#include "raft/types.h"

namespace boragewinch::raft {

enum class MessageKind {
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,
  kAppendReply,
  kSnapshot,
  kSnapshotReply,
  kTimeoutNow,
  kJoin,  ///< asks to join the receiver's cluster, or to form one
  kForm,  ///< names the first voters of a new cluster
};

inline constexpr EnumTable<MessageKind, 11> kMessageKinds{{{
    {MessageKind::kPreVote, "pre_vote"},
    {MessageKind::kPreVoteReply, "pre_vote_reply"},
    {MessageKind::kVote, "vote"},
    {MessageKind::kVoteReply, "vote_reply"},
    {MessageKind::kAppend, "append"},
    {MessageKind::kAppendReply, "append_reply"},
    {MessageKind::kSnapshot, "snapshot"},
    {MessageKind::kSnapshotReply, "snapshot_reply"},
    {MessageKind::kTimeoutNow, "timeout_now"},
    {MessageKind::kJoin, "join"},
    {MessageKind::kForm, "form"},
}}};

/// \brief A message between replicas. Messages may be lost, duplicated, delayed
/// and reordered; replies are separate messages.
struct Message {
  MessageKind kind = MessageKind::kAppend;
  std::string cluster;  ///< empty from a replica that has no cluster yet
  ReplicaId from;
  ReplicaId to;  ///< empty in a kJoin to a host whose replica is unknown
  std::uint64_t boots = 0;  ///< number of sender starts with its data directory
  std::string session;      ///< random id of the sender's current start
  std::uint64_t term = 0;

  /// kAppend: entry before `entries`. kPreVote, kVote: the candidate's last
  /// entry. kSnapshot, kSnapshotReply: last entry in the snapshot.
  /// kAppendReply: highest index known to match (granted), or the index to
  /// probe next (not granted).
  std::uint64_t index = 0;
  std::uint64_t log_term = 0;    ///< term of the entry `index`; not in replies
  std::uint64_t last_index = 0;  ///< kAppendReply: sender's last entry
  std::uint64_t commit = 0;      ///< kAppend
  std::uint64_t chain = 0;       ///< ChainHash at `commit`; 0 if unknown
  std::uint64_t config_index = 0;  ///< votes: candidate's configuration entry
  bool granted = false;            ///< replies
  bool transfer = false;           ///< kVote: part of a leadership transfer
  std::int64_t sent_ms = 0;        ///< leader's clock, echoed in replies
  std::vector<Entry> entries;      ///< kAppend, kForm

  std::uint64_t offset = 0;  ///< kSnapshot: of `data`; reply: bytes received
  std::uint64_t total = 0;   ///< kSnapshot: size of the encoded snapshot
  std::uint64_t hash = 0;    ///< kSnapshot: xxHash64 of the encoded snapshot
  std::string data;          ///< kSnapshot: chunk
};

/// \returns the size of the message's entries and snapshot chunk.
[[nodiscard]] std::size_t DataBytes(const Message& message);

[[nodiscard]] Json ToJson(const Message& message);

/// \brief Reads a message; all sizes and numbers are bounds-checked.
/// \returns kMissingField, kInvalidField or kTooLarge.
[[nodiscard]] Result<Message> MessageFromJson(const Json& json);

/// \returns the message in the binary encoding.
[[nodiscard]] std::string EncodeMessage(const Message& message);

/// \brief Decodes the output of EncodeMessage, with the limits of
/// MessageFromJson.
/// \returns kInvalidField or kTooLarge.
[[nodiscard]] Result<Message> DecodeMessage(std::string_view bytes);

/// \brief Encodes each byte as the code point of the same value (Latin-1 to
/// UTF-8), so that a JSON string can hold any bytes; ASCII is unchanged.
[[nodiscard]] std::string BytesToText(std::string_view bytes);

/// \returns the bytes, or kInvalidField if BytesToText can't have produced the
/// text.
[[nodiscard]] Result<std::string> BytesFromText(std::string_view text);

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_RAFT_MESSAGE_H_
