#ifndef BORAGEWINCH_FLEET_FLEET_STATE_H_
#define BORAGEWINCH_FLEET_FLEET_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "fleet/command.h"
#include "fleet/command_result.h"
#include "fleet/fleet_delta.h"
#include "fleet/host_plan.h"
#include "fleet/ledger.h"
#include "fleet/operation_table.h"
#include "model/fleet_view.h"

namespace boragewinch {

/// \brief The replicated state machine of the control group. Deterministic:
/// replicas that apply the same commands have equal hashes.
///
/// The version grows with each change of the view or of a pending move, and
/// when an operator declares an entry host lost. Changes of the ledger have
/// their own counter (Ledger::version). The expected version of an operator's
/// command conflicts only with changes by operators, since host states change
/// too often for optimistic concurrency.
class FleetState {
 public:
  /// \brief Applies one log entry.
  /// \param index index of the entry; must increase.
  /// \param bytes an encoded Command; empty bytes have no effect.
  /// \returns the result for the submitter; a rejected command changes only the
  /// operation table.
  CommandResult Apply(std::uint64_t index, std::string_view bytes);

  [[nodiscard]] const FleetView& view() const noexcept { return view_; }
  [[nodiscard]] const Ledger& ledger() const noexcept { return ledger_; }
  [[nodiscard]] FleetVersion version() const noexcept { return view_.version; }
  /// \returns the version of the last change by an operator.
  [[nodiscard]] FleetVersion operator_version() const noexcept {
    return operator_version_;
  }
  [[nodiscard]] std::uint64_t last_index() const noexcept {
    return last_index_;
  }
  [[nodiscard]] const std::map<HostName, DrainRecord>& drains() const noexcept {
    return drains_;
  }
  [[nodiscard]] const std::map<HostName, PendingMove>& pending_moves()
      const noexcept {
    return moves_;
  }
  /// \returns the operations of operators with their first results.
  [[nodiscard]] const OperationTable& operations() const noexcept {
    return operations_;
  }
  /// \returns the ids of all withdrawn keys.
  [[nodiscard]] std::set<KeyId> Tombstones() const;

  /// \returns the next step of the pending move of `host`.
  [[nodiscard]] MoveStep NextMoveStep(const HostName& host) const;

  /// \returns the changes after `version`, or the whole view if the removals
  /// since then have been discarded.
  [[nodiscard]] FleetDelta DeltaSince(FleetVersion version) const;

  /// \returns the whole state as JSON.
  [[nodiscard]] std::string Snapshot() const;
  /// \returns the state written by Snapshot, or an error if it is malformed.
  [[nodiscard]] static Result<FleetState> Restore(std::string_view snapshot);
  /// \returns the xxHash64 of Snapshot().
  [[nodiscard]] std::uint64_t hash() const;

 private:
  [[nodiscard]] CommandResult ExecuteOnce(const Command& command);
  [[nodiscard]] Status CheckCall(const Command& command) const;

  // One overload for each kind of command. Each validates the command before
  // its first change.
  [[nodiscard]] Status Execute(const ApplySheet& body,
                               const OperatorCall& call,
                               CommandResult* result);
  [[nodiscard]] Status Execute(const CreateKey& body,
                               const OperatorCall& call,
                               CommandResult* result);
  [[nodiscard]] Status Execute(const WithdrawKey& body,
                               const OperatorCall& call,
                               CommandResult* result);
  [[nodiscard]] Status Execute(const DrainHost& body,
                               const OperatorCall& call,
                               CommandResult* result);
  [[nodiscard]] Status Execute(const ReturnHost& body,
                               const OperatorCall& call,
                               CommandResult* result);
  [[nodiscard]] Status Execute(const MoveHost& body,
                               const OperatorCall& call,
                               CommandResult* result);
  [[nodiscard]] Status Execute(const SetHostState& body,
                               const OperatorCall& call,
                               CommandResult* result);
  [[nodiscard]] Status Execute(const RegisterHost& body,
                               const OperatorCall& call,
                               CommandResult* result);
  [[nodiscard]] Status Execute(const RegisterEntry& body,
                               const OperatorCall& call,
                               CommandResult* result);
  [[nodiscard]] Status Execute(const ReclaimEntry& body,
                               const OperatorCall& call,
                               CommandResult* result);
  [[nodiscard]] Status Execute(const DeclareEntryLost& body,
                               const OperatorCall& call,
                               CommandResult* result);
  [[nodiscard]] Status Execute(const RetireEntry& body,
                               const OperatorCall& call,
                               CommandResult* result);
  [[nodiscard]] Status Execute(const ChangeAllotments& body,
                               const OperatorCall& call,
                               CommandResult* result);
  [[nodiscard]] Status Execute(const StartWave& body,
                               const OperatorCall& call,
                               CommandResult* result);

  FleetVersion BumpVersion(CommandResult* result);
  void AddRemoval(EntityKind kind, const std::string& name);
  [[nodiscard]] Result<Host*> FindHost(const HostName& name);
  [[nodiscard]] bool InSparePool(const Host& host) const;

  [[nodiscard]] Status CheckBudget(const Host& host,
                                   const std::set<HostName>& lost) const;
  [[nodiscard]] Status TakeOutOfService(const std::set<HostName>& lost,
                                        HostState state,
                                        Host* host);
  [[nodiscard]] Status StartDrain(const std::set<HostName>& lost,
                                  const OperatorCall& call,
                                  Host* host,
                                  CommandResult* result);
  void EndDrain(Host* host, CommandResult* result);
  static void EndLending(Host* host);

  void ApplyTables(const ApplySheet& body, CommandResult* result);
  void ApplyHosts(const ApplySheet& body,
                  const OperatorCall& call,
                  CommandResult* result);
  void Withdraw(Key* key, CommandResult* result);

  [[nodiscard]] Status EndRuns(const std::vector<EntryRun>& runs,
                               const std::vector<AllotmentTransfer>& transfers);
  void AddFormerRun(const EntryRun& run);

  FleetView view_;
  FleetVersion operator_version_ = 0;
  std::uint64_t last_index_ = 0;
  Ledger ledger_;
  std::map<HostName, DrainRecord> drains_;
  std::map<HostName, PendingMove> moves_;
  std::deque<Removal> removals_;     ///< oldest first
  FleetVersion removals_floor_ = 0;  ///< version of the last discarded removal
  OperationTable operations_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_FLEET_STATE_H_
