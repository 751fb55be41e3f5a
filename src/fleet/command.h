#ifndef BORAGEWINCH_FLEET_COMMAND_H_
#define BORAGEWINCH_FLEET_COMMAND_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "base/strong_id.h"
#include "fleet/codec.h"
#include "fleet/ledger.h"
#include "fleet/sheet.h"
#include "model/fleet_types.h"

namespace boragewinch {

/// \brief Origin of a command; empty if the control service submits it.
struct OperatorCall {
  OperationId operation_id;
  std::string operator_name;
  /// Fleet version that the operator has read (optimistic concurrency).
  std::optional<FleetVersion> expected_version;
};

/// \brief Applies a sheet to the fleet, all or nothing.
struct ApplySheet {
  Sheet sheet;
  bool allow_lowering = false;    ///< accepts changes that need confirmation
  TeamCounts running;             ///< filled in by the control leader
  std::int64_t wall_seconds = 0;  ///< filled in by the control leader
};

struct CreateKey {
  KeyId id;
  TeamName team;
  std::string secret_hash;
};

/// \brief Withdraws keys; unknown ids get a tombstone too.
struct WithdrawKey {
  std::vector<KeyId> ids;
};

/// \brief Takes a host out of service.
struct DrainHost {
  HostName host;
  std::set<HostName> lost;  ///< unavailable; filled in by the control leader
};

/// \brief Ends a drain, finished or not. If an operator submits it, it also
/// cancels a pending move.
struct ReturnHost {
  HostName host;
};

/// \brief Changes the pool of a drained or spare host.
struct MoveHost {
  HostName host;
  PoolName pool;
  /// Accepts a host in any state: it is drained, moved and returned to service.
  bool drain_first = false;
  std::set<HostName> lost;  ///< like DrainHost::lost
  /// Set by the control service: the host is lent and keeps its home pool.
  bool lend = false;
  std::int64_t wall_seconds = 0;  ///< Unix time, for `lent_at`
};

/// \brief A host state that the control service has observed.
struct SetHostState {
  HostName host;
  HostState state = HostState::kActive;
  FleetVersion assignment = 0;    ///< the assignment that was observed
  std::int64_t wall_seconds = 0;  ///< Unix time, for `maintained_at`
  /// With kRebooting: the platform's boot count before the reboot request.
  std::optional<std::int64_t> boots;
};

/// \brief Adds the host of a newly reported worker to the spare pool.
struct RegisterHost {
  HostName host;
  ZoneName zone;
  RackName rack;
  std::int64_t wall_seconds = 0;
};

struct RegisterEntry {
  EntryName entry;
  ZoneName zone;
  Incarnation incarnation;
  std::string address;
  std::string peer_address;
};

/// \brief Units of an ended allotment whose tasks a peer has taken over.
struct AllotmentTransfer {
  EntryRun to;
  TeamName team;
  std::int64_t count = 0;
};

/// \brief Ends the allotment of a lost run (docs/design.md 4.3, rules 1 and 2).
struct ReclaimEntry {
  EntryRun run;
  std::vector<AllotmentTransfer> transfers;
};

/// \brief An operator declares every run of the entry host lost
/// (docs/design.md 4.3, rule 3).
struct DeclareEntryLost {
  EntryName entry;
  std::vector<AllotmentTransfer> transfers;  ///< filled in by the leader
};

/// \brief Ends the allotment of a run that stops as planned and starts no more
/// tasks.
struct RetireEntry {
  EntryRun run;
  std::vector<AllotmentTransfer> transfers;
};

/// \brief Change of one entry host's allotment; ignored unless based on its
/// current allotment version.
struct AllotmentChange {
  EntryRun run;
  std::uint64_t allotment_version = 0;
  TeamCounts deltas;
};

struct ChangeAllotments {
  std::vector<AllotmentChange> changes;
};

/// \brief Starts a maintenance wave: each host of the pool is maintained once.
struct StartWave {
  PoolName pool;                  ///< empty for all pools
  std::int64_t wall_seconds = 0;  ///< filled in by the control leader
};

using CommandBody = std::variant<ApplySheet,
                                 CreateKey,
                                 WithdrawKey,
                                 DrainHost,
                                 ReturnHost,
                                 MoveHost,
                                 SetHostState,
                                 RegisterHost,
                                 RegisterEntry,
                                 ReclaimEntry,
                                 DeclareEntryLost,
                                 RetireEntry,
                                 ChangeAllotments,
                                 StartWave>;

/// \brief A command of the replicated log.
struct Command {
  OperatorCall call;
  CommandBody body;

  [[nodiscard]] bool from_operator() const noexcept {
    return !call.operation_id.empty();
  }
};

/// \returns the name of the kind of command in JSON, such as "drain_host".
[[nodiscard]] std::string_view CommandName(const CommandBody& body) noexcept;

/// \returns whether operators may submit commands of this kind.
[[nodiscard]] bool IsOperatorCommand(const CommandBody& body) noexcept;

/// \brief Checks that operators may submit the command and that its operation
/// id, operator and, if required, expected version are set.
/// \returns kUnauthorized or kMissingField.
[[nodiscard]] Status CheckOperatorCall(const Command& command);

[[nodiscard]] Json ToJson(const AllotmentTransfer& transfer);
[[nodiscard]] Json ToJson(const AllotmentChange& change);
[[nodiscard]] Json ToJson(const Command& command);
[[nodiscard]] Result<Command> CommandFromJson(const Json& json);

/// \returns `command` encoded as a log entry.
[[nodiscard]] std::string EncodeCommand(const Command& command);

/// \returns kInvalidJson, kMissingField, kInvalidField or kTooLarge.
[[nodiscard]] Result<Command> DecodeCommand(std::string_view bytes);

/// \returns a hash of `command` without the fields that the control leader
/// fills in, so that a resent command has the same hash.
[[nodiscard]] std::uint64_t CommandFingerprint(const Command& command);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_COMMAND_H_
