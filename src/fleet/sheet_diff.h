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
  kPendingMove,  ///< the host stays in its pool until drained
  kKept,         ///< host without a row, neither drained nor lost
};

inline constexpr EnumTable<SheetAction, 5> kSheetActions{{{
    {SheetAction::kAdded, "added"},
    {SheetAction::kRemoved, "removed"},
    {SheetAction::kChanged, "changed"},
    {SheetAction::kPendingMove, "pending_move"},
    {SheetAction::kKept, "kept"},
}}};

/// \brief Old and new value of a column; the old one of an added and the new
/// one of a removed entity are empty.
struct SheetFieldChange {
  SheetColumn column = SheetColumn::kName;
  std::string before;
  std::string after;
};

/// \brief Change of one pool, team, queue or host.
struct SheetChange {
  EntityKind kind = EntityKind::kPool;
  SheetAction action = SheetAction::kChanged;
  std::string name;
  std::vector<SheetFieldChange> fields;
};

/// \brief Consequence of a change that an operator should know beforehand.
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
  /// Errors (kConflict) that currently prevent applying the sheet.
  std::vector<Error> conflicts;

  /// \returns whether a warning needs the allow-lowering flag.
  [[nodiscard]] bool needs_confirmation() const noexcept;
};

/// \brief Compares a valid sheet with the fleet.
/// \param view the current fleet.
/// \param sheet a sheet without errors.
/// \param in_use tasks by team that run or are covered by allotments.
[[nodiscard]] SheetDiff DiffSheet(const FleetView& view,
                                  const Sheet& sheet,
                                  const TeamCounts& in_use);

/// \returns the fleet with the sheet applied and all moves completed, for
/// previews. The fleet version, the keys and the states of hosts are those of
/// `view`.
[[nodiscard]] FleetView ViewAfter(const FleetView& view, const Sheet& sheet);

/// \returns the changes, warnings and conflicts of a response to POST
/// /v1/sheets.
[[nodiscard]] Json ToJson(const SheetDiff& diff);

/// \returns a readable line, such as "changed team orders: limit 40 -> 30".
[[nodiscard]] std::string Describe(const SheetChange& change);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_SHEET_DIFF_H_
