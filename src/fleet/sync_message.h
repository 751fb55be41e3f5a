#ifndef BORAGEWINCH_FLEET_SYNC_MESSAGE_H_
#define BORAGEWINCH_FLEET_SYNC_MESSAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "fleet/codec.h"
#include "fleet/fleet_delta.h"
#include "model/fleet_types.h"

namespace boragewinch {

inline constexpr Millis kSyncInterval{500};

/// \brief What an entry host knows of a worker. It holds nothing that changes
/// with every task, so that only real changes are sent.
struct WorkerStatus {
  HostName host;
  ZoneName zone;
  RackName rack;
  Incarnation incarnation;
  bool lost = false;
  bool leaving = false;
  bool idle = false;  ///< no tasks; only reported while the worker drains
  bool acknowledged_drain = false;
  FleetVersion acknowledged_assignment = 0;

  friend bool operator==(const WorkerStatus&, const WorkerStatus&) = default;
};

/// \brief Tasks of another incarnation that the reporter renews.
struct TakeOverReport {
  EntryName entry;
  Incarnation incarnation;
  TeamCounts running;
};

/// \brief An incarnation that the reporter has not heard for `silence`.
struct SilenceReport {
  EntryName entry;
  Incarnation incarnation;
  Millis silence{0};
  bool fenced = false;
};

/// \brief Body of control.sync, from an entry host to the control leader.
struct SyncReport {
  EntryName entry;
  ZoneName zone;
  Incarnation incarnation;
  std::string address;
  std::string peer_address;
  FleetVersion version = 0;
  std::uint64_t allotment_version = 0;
  std::uint64_t entries_hash = 0;  ///< of the list of entry hosts it holds
  bool retiring = false;           ///< a planned stop is under way
  TeamCounts running;
  TeamCounts wanted;    ///< queued
  TeamCounts returned;  ///< offered back and not spent any more
  std::vector<TakeOverReport> taken_over;
  std::vector<SilenceReport> silent;
  std::vector<KeyId> tombstones;
  /// Changes since the report `workers_base`; all workers if that is 0.
  std::vector<WorkerStatus> workers;
  std::uint64_t workers_base = 0;
  std::uint64_t workers_sequence = 0;
};

/// \brief Answer to control.sync, sent once the leader has confirmed, after it
/// received the report, that it still leads.
struct SyncAnswer {
  bool registered = false;  ///< the ledger knows this incarnation
  FleetDelta delta;
  std::uint64_t allotment_version = 0;
  TeamCounts allotment;
  TeamCounts caps;  ///< offer what is idle above these
  std::optional<std::vector<EntryHost>> entries;  ///< if the hash differed
  bool resend_workers = false;  ///< `workers_base` is not known here
};

/// \returns a hash of what entry hosts need to know of each other.
[[nodiscard]] std::uint64_t HashOf(const std::vector<EntryHost>& entries);

[[nodiscard]] Json ToJson(const SyncReport& report);
[[nodiscard]] Result<SyncReport> SyncReportFromJson(const Json& json);
[[nodiscard]] Json ToJson(const SyncAnswer& answer);
[[nodiscard]] Result<SyncAnswer> SyncAnswerFromJson(const Json& json);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_SYNC_MESSAGE_H_
