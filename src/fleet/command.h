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

/// \brief Who submits a command. Empty for the control service itself.
struct OperatorCall {
  OperationId operation_id;
  std::string operator_name;
  /// The fleet version that the operator has seen.
  std::optional<FleetVersion> expected_version;
};

/// \brief Makes the fleet look like the sheet, all of it or nothing.
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

/// \brief Tombstones for the ids, known or not.
struct WithdrawKey {
  std::vector<KeyId> ids;
};

/// \brief Takes a host out of service.
struct DrainHost {
  HostName host;
  std::set<HostName> lost;  ///< observed lost; filled in by the control leader
};

/// \brief Ends a drain, also an unfinished one. Of an operator it also cancels
/// a pending move.
struct ReturnHost {
  HostName host;
};

/// \brief Changes the pool of a drained or spare host.
struct MoveHost {
  HostName host;
  PoolName pool;
  bool drain_first = false;  ///< drain, then move, then return
  std::set<HostName> lost;   ///< like DrainHost::lost
  /// The control service lends the host; it still belongs to its old pool.
  bool lend = false;
  std::int64_t wall_seconds = 0;  ///< Unix time, for `lent_at`
};

/// \brief What the control service has observed of a host.
struct SetHostState {
  HostName host;
  HostState state = HostState::kActive;
  FleetVersion assignment = 0;    ///< the assignment that was observed
  std::int64_t wall_seconds = 0;  ///< Unix time, for `maintained_at`
  /// With kRebooting: the platform's boot count before the reboot is ordered.
  std::optional<std::int64_t> boots;
};

/// \brief A worker that announced itself.
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

/// \brief A part of an ended allotment whose tasks a peer has taken over.
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

/// \brief Rule 3: an operator declares every run of the entry host lost.
struct DeclareEntryLost {
  EntryName entry;
  std::vector<AllotmentTransfer> transfers;  ///< filled in by the leader
};

/// \brief Planned stop: the run dispatches nothing any more.
struct RetireEntry {
  EntryRun run;
  std::vector<AllotmentTransfer> transfers;
};

/// \brief Changes of one entry host's allotment. A change that was decided on
/// an older allotment version has no effect.
struct AllotmentChange {
  EntryRun run;
  std::uint64_t allotment_version = 0;
  TeamCounts deltas;
};

struct ChangeAllotments {
  std::vector<AllotmentChange> changes;
};

/// \brief Starts a roll-out: each host of the pool is maintained once.
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

/// \brief One entry of the replicated log.
struct Command {
  OperatorCall call;
  CommandBody body;

  [[nodiscard]] bool from_operator() const noexcept {
    return !call.operation_id.empty();
  }
};

/// \returns the wire name of the command's kind, such as "drain_host".
[[nodiscard]] std::string_view CommandName(const CommandBody& body) noexcept;

/// \returns whether operators may submit commands of this kind.
[[nodiscard]] bool IsOperatorCommand(const CommandBody& body) noexcept;

/// \brief Checks what an operator may submit: the kind, a name, and an expected
/// version unless the command is a withdrawal.
/// \returns kUnauthorized or kMissingField.
[[nodiscard]] Status CheckOperatorCall(const Command& command);

[[nodiscard]] Json ToJson(const AllotmentTransfer& transfer);
[[nodiscard]] Json ToJson(const AllotmentChange& change);
[[nodiscard]] Json ToJson(const Command& command);
[[nodiscard]] Result<Command> CommandFromJson(const Json& json);

/// \returns the log bytes of `command`.
[[nodiscard]] std::string EncodeCommand(const Command& command);

/// \returns kInvalidJson, kMissingField, kInvalidField or kTooLarge.
[[nodiscard]] Result<Command> DecodeCommand(std::string_view bytes);

/// \returns a hash of what the operator asked for, without the parts that the
/// control leader fills in, so that a resend has the same one.
[[nodiscard]] std::uint64_t CommandFingerprint(const Command& command);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_COMMAND_H_
