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

/// \brief The answer to a call about a request.
struct JobAnswer {
  RequestId request;
  Outcome outcome = Outcome::kUnknownMayHaveRun;
  RefusalReason reason = RefusalReason::kNone;
  bool started = false;  ///< a start was sent to a worker
  std::string body;      ///< the result; set only for a result call
  std::uint64_t body_hash = 0;
};

/// \brief A task's result as posted by a worker.
struct TaskResult {
  TaskId task;
  TaskState state = TaskState::kFinished;
  std::string body;
  std::uint64_t length = 0;
  std::uint64_t hash = 0;  ///< xxHash64 of the body
};

/// \brief Identifies one version of a record. Versions are ordered by
/// generation, then by revision.
struct RecordVersion {
  RequestId id;
  std::uint64_t epoch = 0;
  std::uint64_t generation = 0;
  std::uint64_t revision = 0;
};

/// \brief Asks the backup to store a record.
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

/// \brief Asks the backup to store an intent before the start is sent.
struct PeerIntend {
  RecordVersion version;
  Intent intent;
  std::string progress;  ///< checkpoint from which the attempt resumes
};

/// \brief Asks the backup to store how a request ended.
struct PeerClose {
  RecordVersion version;
  bool started = false;
  Closing closing;
};

/// \brief Acknowledges a version, or reports that the record is unknown.
struct PeerAck {
  RecordVersion version;
  bool known = true;
};

/// \brief Rejects the receiver's records up to an epoch, or one record.
struct PeerFenced {
  std::uint64_t epoch = 0;
  RequestId request;  ///< empty for all records up to the epoch
};

struct LeavingWorker {
  HostName host;
  Incarnation incarnation;
  friend bool operator<(const LeavingWorker& a, const LeavingWorker& b) {
    return std::tie(a.host, a.incarnation) < std::tie(b.host, b.incarnation);
  }
};

/// \brief An entry host from which the sender has received no message for
/// kOwnerTimeout or longer.
struct UnresponsivePeer {
  EntryName entry;
  Incarnation incarnation;
  Millis unresponsive_for{0};
  bool fenced = false;
};

struct PeerGossip {
  std::uint64_t sequence = 0;
  Millis uptime{0};
  std::uint64_t epoch = 0;  ///< the sender's epoch towards the receiver
  bool stopping = false;    ///< accepts no more replicas
  std::map<TeamName, std::int64_t> running;
  std::map<TeamName, std::int64_t> queued;
  std::vector<LeavingWorker> leaving;
  std::vector<KeyId> tombstones;
  std::vector<UnresponsivePeer> unresponsive;
  /// Tasks of the receiver's incarnation that the sender has taken over.
  std::vector<TaskId> taken_over;
};

struct PeerGossipAnswer {
  std::uint64_t sequence = 0;
};

/// \brief Looks up a record by its client_request_id.
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
  std::optional<JobSpec> spec;  ///< set for a submit
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

/// \brief Sent by a stopping backup: it has dropped its replicas of the
/// receiver's records up to an epoch and will never take them over.
struct PeerReleased {
  std::uint64_t epoch = 0;
};

/// \brief A worker's result, relayed to the zone's other entry hosts.
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

/// \brief One message between two entry hosts. Messages may be lost, delayed,
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
