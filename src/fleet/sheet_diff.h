#ifndef BORAGEWINCH_FLEET_SHEET_DIFF_H_
#define BORAGEWINCH_FLEET_SHEET_DIFF_H_

#include <string>
#include <vector>

#include "base/enum_table.h"
#include "base/json.h"
#include "base/result.h"
#include "fleet/codec.h"
#include "fleet/fleet_delta.h"
#include "fleet/sheet.h"
#include "model/fleet_view.h"

namespace boragewinch {

enum class SheetAction {
  kAdded,
  kRemoved,
  kChanged,
  kPendingMove,  ///< the host keeps its pool until it has been drained
  kKept,         ///< a host without row that is neither drained nor lost
};

inline constexpr EnumTable<SheetAction, 5> kSheetActions{{{
    {SheetAction::kAdded, "added"},
    {SheetAction::kRemoved, "removed"},
    {SheetAction::kChanged, "changed"},
    {SheetAction::kPendingMove, "pending_move"},
    {SheetAction::kKept, "kept"},
}}};

/// \brief Old and new value of one column; empty for added or removed.
struct SheetFieldChange {
  SheetColumn column = SheetColumn::kName;
  std::string before;
  std::string after;
};

/// \brief What the sheet does to one pool, team, queue or host.
struct SheetChange {
  EntityKind kind = EntityKind::kPool;
  SheetAction action = SheetAction::kChanged;
  std::string name;
  std::vector<SheetFieldChange> fields;
};

/// \brief What an operator should know before the sheet is applied.
struct SheetWarning {
  EntityKind kind = EntityKind::kPool;
  std::string name;
  std::string text;
  bool needs_confirmation = false;
};

/// \brief Difference between the fleet and a sheet.
struct SheetDiff {
  std::vector<SheetChange> changes;
  std::vector<SheetWarning> warnings;
  /// Reasons (kConflict) for which the sheet can't be applied at present.
  std::vector<Error> conflicts;

  /// \returns whether a warning needs the allow-lowering flag.
  [[nodiscard]] bool needs_confirmation() const noexcept;
};

/// \brief Compares a checked sheet with the fleet. Pure.
/// \param view present fleet.
/// \param sheet a sheet without errors.
/// \param in_use tasks by team that run or may run under allotments.
[[nodiscard]] SheetDiff DiffSheet(const FleetView& view,
                                  const Sheet& sheet,
                                  const TeamCounts& in_use);

/// \returns the fleet with the sheet applied and all moves done, for plans.
/// Versions, keys and states of hosts are those of `view`.
[[nodiscard]] FleetView ViewAfter(const FleetView& view, const Sheet& sheet);

/// \returns the diff for `boragectl sheet diff --json`.
[[nodiscard]] Json ToJson(const SheetDiff& diff);

/// \returns one line for a person, such as
/// "changed team orders: limit 40 -> 30".
[[nodiscard]] std::string Describe(const SheetChange& change);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_SHEET_DIFF_H_
