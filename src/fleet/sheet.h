#ifndef BORAGEWINCH_FLEET_SHEET_H_
#define BORAGEWINCH_FLEET_SHEET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/enum_table.h"
#include "base/json.h"
#include "base/result.h"
#include "model/fleet_types.h"

namespace boragewinch {

inline constexpr std::size_t kMaxSheetBytes = 4 * 1024 * 1024;
inline constexpr std::size_t kMaxSheetErrors = 100;

enum class SheetColumn {
  kKind,
  kName,
  kPool,
  kTeam,
  kZone,
  kRack,
  kShare,
  kLimit,
  kMinAvailable,
  kSpare,
  kMaintenanceDays,
  kOpen,
};

inline constexpr std::size_t kSheetColumnCount = 12;

inline constexpr EnumTable<SheetColumn, kSheetColumnCount> kSheetColumns{{{
    {SheetColumn::kKind, "kind"},
    {SheetColumn::kName, "name"},
    {SheetColumn::kPool, "pool"},
    {SheetColumn::kTeam, "team"},
    {SheetColumn::kZone, "zone"},
    {SheetColumn::kRack, "rack"},
    {SheetColumn::kShare, "share"},
    {SheetColumn::kLimit, "limit"},
    {SheetColumn::kMinAvailable, "min_available"},
    {SheetColumn::kSpare, "spare"},
    {SheetColumn::kMaintenanceDays, "maintenance_days"},
    {SheetColumn::kOpen, "open"},
}}};

/// \brief Position of a row and its cells in the file; 0 if unknown.
struct SheetPosition {
  std::uint32_t line = 0;
  std::array<std::uint32_t, kSheetColumnCount> columns{};
};

/// \brief A row of one kind. Versions and states in `value` are unused.
template <typename T>
struct SheetRow {
  T value;
  SheetPosition position;
};

/// \brief The desired configuration of the fleet as imported from a CSV file.
/// Without host rows the hosts don't change.
struct Sheet {
  std::string file;
  std::vector<SheetRow<Pool>> pools;
  std::vector<SheetRow<Team>> teams;
  std::vector<SheetRow<Queue>> queues;
  std::vector<SheetRow<Host>> hosts;
};

/// \brief Collects the errors of one sheet, at most kMaxSheetErrors.
class SheetErrors {
 public:
  explicit SheetErrors(std::string file) : file_(std::move(file)) {}

  void Add(std::uint32_t line, std::uint32_t column, std::string detail);
  void Add(const SheetPosition& position,
           SheetColumn column,
           std::string detail) {
    Add(position.line, position.columns[static_cast<std::size_t>(column)],
        std::move(detail));
  }
  [[nodiscard]] bool full() const noexcept {
    return errors_.size() >= kMaxSheetErrors;
  }
  [[nodiscard]] const std::vector<Error>& errors() const noexcept {
    return errors_;
  }
  /// \returns the errors, sorted by line and column.
  [[nodiscard]] std::vector<Error> TakeSorted();

 private:
  std::string file_;
  std::vector<Error> errors_;
  /// Index into errors_ by (line, column).
  std::multimap<std::pair<std::uint32_t, std::uint32_t>, std::size_t> order_;
};

/// \brief Validates values, names and references of the whole sheet.
void CheckSheet(const Sheet& sheet, SheetErrors* errors);

[[nodiscard]] Json ToJson(const Sheet& sheet);
[[nodiscard]] Result<Sheet> SheetFromJson(const Json& json);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_SHEET_H_
