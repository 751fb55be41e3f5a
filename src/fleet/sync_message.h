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

/// \brief Status of a worker as an entry host sees it. Nothing here changes
/// with every task, which keeps incremental reports small.
struct WorkerStatus {
  HostName host;
  ZoneName zone;
  RackName rack;
  Incarnation incarnation;
  bool lost = false;
  bool leaving = false;
  bool idle = false;  ///< no tasks; set only while the worker drains
  bool acknowledged_drain = false;
  FleetVersion acknowledged_assignment = 0;

  friend bool operator==(const WorkerStatus&, const WorkerStatus&) = default;
};

/// \brief Tasks of another incarnation whose leases the reporter renews.
struct TakeOverReport {
  EntryName entry;
  Incarnation incarnation;
  TeamCounts running;
};

/// \brief An incarnation from which the reporter receives no messages.
struct UnresponsivePeerReport {
  EntryName entry;
  Incarnation incarnation;
  Millis unresponsive_for{0};  ///< time since its last message
  bool fenced = false;
};

/// \brief Request of control.sync, from an entry host to the control leader.
struct SyncReport {
  EntryName entry;
  ZoneName zone;
  Incarnation incarnation;
  std::string address;
  std::string peer_address;
  FleetVersion version = 0;
  std::uint64_t allotment_version = 0;
  std::uint64_t entries_hash = 0;  ///< of the known entry hosts
  bool retiring = false;           ///< a planned stop is in progress
  TeamCounts running;
  TeamCounts wanted;    ///< queued tasks
  TeamCounts returned;  ///< units offered back and no longer used
  std::vector<TakeOverReport> taken_over;
  std::vector<UnresponsivePeerReport> unresponsive;
  std::vector<KeyId> tombstones;
  /// Changes since the report with sequence `workers_base`; all workers if 0.
  std::vector<WorkerStatus> workers;
  std::uint64_t workers_base = 0;
  std::uint64_t workers_sequence = 0;
};

/// \brief Response to control.sync, sent once the leader has confirmed its
/// leadership after receiving the report.
struct SyncResponse {
  bool registered = false;  ///< this incarnation is in the ledger
  FleetDelta delta;
  std::uint64_t allotment_version = 0;
  TeamCounts allotment;
  TeamCounts caps;  ///< idle units above these are to be offered
  std::optional<std::vector<EntryHost>> entries;  ///< if entries_hash differed
  bool resend_workers = false;  ///< `workers_base` is unknown to the leader
};

/// \returns a hash of the names, zones, incarnations and addresses.
[[nodiscard]] std::uint64_t HashOf(const std::vector<EntryHost>& entries);

[[nodiscard]] Json ToJson(const SyncReport& report);
[[nodiscard]] Result<SyncReport> SyncReportFromJson(const Json& json);
[[nodiscard]] Json ToJson(const SyncResponse& response);
[[nodiscard]] Result<SyncResponse> SyncResponseFromJson(const Json& json);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_SYNC_MESSAGE_H_
