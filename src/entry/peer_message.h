#ifndef BORAGEWINCH_ENTRY_PEER_MESSAGE_H_
#define BORAGEWINCH_ENTRY_PEER_MESSAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "base/time.h"
#include "entry/request_record.h"

namespace boragewinch {

/// \brief What a caller learns about its request.
struct JobAnswer {
  RequestId request;
  Outcome outcome = Outcome::kUnknownMayHaveRun;
  RefusalReason reason = RefusalReason::kNone;
  bool started = false;  ///< a start was sent to a worker
  std::string body;      ///< the result, only for a result call
  std::uint64_t body_hash = 0;
};

/// \brief A result as a worker posts it.
struct TaskResult {
  TaskId task;
  TaskState state = TaskState::kFinished;
  std::string body;
  std::uint64_t length = 0;
  std::uint64_t hash = 0;  ///< xxHash64 of the body
};

/// \brief Identifies one version of a record.
struct RecordVersion {
  RequestId id;
  std::uint64_t epoch = 0;
  std::uint64_t generation = 0;
  std::uint64_t revision = 0;
};

struct PeerStore {
  RecordVersion version;
  JobSpec spec;
  bool open_queue = false;
  bool ended = false;
  bool may_have_run = false;
  bool started = false;
  bool cancel_requested = false;
  Millis deadline_left{0};
  Intent intent;
  Closing closing;
  std::string progress;
};

struct PeerIntend {
  RecordVersion version;
  Intent intent;
  std::string progress;  ///< from which the attempt goes on
};

struct PeerClose {
  RecordVersion version;
  bool started = false;
  Closing closing;
};

/// \brief Acknowledges a version, or says that the record is not known.
struct PeerAck {
  RecordVersion version;
  bool known = true;
};

/// \brief Refuses the receiver's records up to an epoch, or one record.
struct PeerFenced {
  std::uint64_t epoch = 0;
  RequestId request;  ///< empty when all records of the epoch are meant
};

struct LeavingWorker {
  HostName host;
  Incarnation incarnation;
  friend bool operator<(const LeavingWorker& a, const LeavingWorker& b) {
    return std::tie(a.host, a.incarnation) < std::tie(b.host, b.incarnation);
  }
};

/// \brief An entry host that the sender has not heard for a while.
struct SilentPeer {
  EntryName entry;
  Incarnation incarnation;
  Millis silence{0};
  bool fenced = false;
};

struct PeerGossip {
  std::uint64_t sequence = 0;
  Millis uptime{0};
  std::uint64_t epoch = 0;  ///< towards the receiver
  bool stopping = false;    ///< takes no more copies
  std::map<TeamName, std::int64_t> running;
  std::map<TeamName, std::int64_t> queued;
  std::vector<LeavingWorker> leaving;
  std::vector<KeyId> tombstones;
  std::vector<SilentPeer> silent;
  /// Tasks of the receiver's incarnation that the sender has taken over.
  std::vector<TaskId> taken_over;
};

struct PeerGossipAnswer {
  std::uint64_t sequence = 0;
};

/// \brief Asks for a record by the caller's own id.
struct PeerFind {
  std::uint64_t reference = 0;
  TeamName team;
  std::string client_request_id;
};

struct PeerFound {
  std::uint64_t reference = 0;
  bool known = false;
  bool pending = false;  ///< the same id is being submitted at the sender
  JobAnswer answer;
};

enum class CallKind { kSubmit, kQuery, kCancel, kResult, kAwait };

inline constexpr EnumTable<CallKind, 5> kCallKinds{{{
    {CallKind::kSubmit, "submit"},
    {CallKind::kQuery, "query"},
    {CallKind::kCancel, "cancel"},
    {CallKind::kResult, "result"},
    {CallKind::kAwait, "await"},
}}};

/// \brief A caller's call that another entry host has to answer.
struct PeerForward {
  std::uint64_t reference = 0;
  CallKind kind = CallKind::kQuery;
  std::uint32_t hops = 0;
  RequestId request;
  std::string key;
  Millis timeout{0};
  std::optional<JobSpec> spec;  ///< for a submit
};

struct PeerForwardAnswer {
  std::uint64_t reference = 0;
  JobAnswer answer;
};

/// \brief Asks the backup to become the owner of the sender's records.
struct PeerHandOver {
  std::uint64_t epoch = 0;
};

struct PeerHandedOver {
  std::uint64_t epoch = 0;
};

/// \brief The sender stops: it has dropped its copies of the receiver's records
/// up to an epoch and never takes them over.
struct PeerReleased {
  std::uint64_t epoch = 0;
};

/// \brief A worker's result, passed on to the zone's other entry hosts.
struct PeerResult {
  TaskResult result;
};

using PeerBody = std::variant<PeerStore,
                              PeerIntend,
                              PeerClose,
                              PeerAck,
                              PeerFenced,
                              PeerGossip,
                              PeerGossipAnswer,
                              PeerFind,
                              PeerFound,
                              PeerForward,
                              PeerForwardAnswer,
                              PeerHandOver,
                              PeerHandedOver,
                              PeerReleased,
                              PeerResult>;

/// \brief One message between two entry hosts. Messages may be lost, late,
/// duplicated and reordered.
struct PeerMessage {
  Incarnation from;
  Incarnation to;  ///< empty if the sender does not know it yet
  PeerBody body;
};

/// \returns the method name of the message's type, such as "peer.store".
[[nodiscard]] std::string MethodOf(const PeerMessage& message);

[[nodiscard]] Json ToJson(const PeerMessage& message);

/// \brief Reads and bounds-checks a message written by ToJson.
[[nodiscard]] Result<PeerMessage> PeerMessageFromJson(const Json& json);

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_PEER_MESSAGE_H_
