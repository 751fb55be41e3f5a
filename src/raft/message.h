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
  kJoin,
  kForm,
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

/// \brief A message between replicas. Messages may be lost, doubled, delayed
/// and reordered; a reply is a message of its own.
struct Message {
  MessageKind kind = MessageKind::kAppend;
  std::string cluster;  ///< empty from a replica that has no cluster yet
  ReplicaId from;
  ReplicaId to;  ///< empty in a kJoin to a host whose replica is unknown
  std::uint64_t boots = 0;  ///< starts of the sender with its data folder
  std::string session;      ///< random text of the sender's present start
  std::uint64_t term = 0;

  /// kAppend: entry before `entries`. kPreVote, kVote: the candidate's last
  /// entry. kSnapshot: last entry in the snapshot. Replies: highest index
  /// known to match (granted) or worth trying (not granted).
  std::uint64_t index = 0;
  std::uint64_t log_term = 0;
  std::uint64_t last_index = 0;    ///< kAppendReply: sender's last entry
  std::uint64_t commit = 0;        ///< kAppend
  std::uint64_t chain = 0;         ///< hash at `commit` or at the snapshot
  std::uint64_t config_index = 0;  ///< votes: candidate's configuration entry
  bool granted = false;            ///< replies
  bool transfer = false;           ///< kVote: the leader asked for it
  std::int64_t sent_ms = 0;        ///< leader's clock, echoed in replies
  std::vector<Entry> entries;      ///< kAppend, kForm

  std::uint64_t offset = 0;  ///< kSnapshot, kSnapshotReply: bytes before
  std::uint64_t total = 0;   ///< kSnapshot: size of the encoded snapshot
  std::uint64_t hash = 0;    ///< kSnapshot: xxHash64 of the encoded snapshot
  std::string data;          ///< kSnapshot: chunk
};

[[nodiscard]] Json ToJson(const Message& message);

/// \brief Reads a message; all sizes and numbers are bounds-checked.
/// \returns kMissingField, kInvalidField or kTooLarge.
[[nodiscard]] Result<Message> MessageFromJson(const Json& json);

/// \returns the compact form of a message.
[[nodiscard]] std::string EncodeMessage(const Message& message);

/// \brief Reads what EncodeMessage has written, with the bounds of
/// MessageFromJson.
/// \returns kInvalidField or kTooLarge.
[[nodiscard]] Result<Message> DecodeMessage(std::string_view bytes);

/// \brief Writes each byte as the code point of the same number, so that
/// arbitrary bytes survive in a JSON string and ASCII text is unchanged.
[[nodiscard]] std::string BytesToText(std::string_view bytes);

/// \returns the bytes, or kInvalidField for text that BytesToText can't write.
[[nodiscard]] Result<std::string> BytesFromText(std::string_view text);

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_RAFT_MESSAGE_H_
