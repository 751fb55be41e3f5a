#include "fleet/sheet_parser.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <optional>
#include <utility>

#include <csv.h>

#include "fleet/bounds.h"
#include "model/job.h"

namespace boragewinch {

namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::size_t kMaxCellBytes = 256;

enum class RowKind { kPool, kTeam, kQueue, kHost };

constexpr EnumTable<RowKind, 4> kRowKinds{{{
    {RowKind::kPool, "pool"},
    {RowKind::kTeam, "team"},
    {RowKind::kQueue, "queue"},
    {RowKind::kHost, "host"},
}}};

/// \returns whether a row of `kind` may have a value in `column`.
[[nodiscard]] bool HasColumn(RowKind kind, SheetColumn column) noexcept {
  switch (column) {
    case SheetColumn::kKind:
    case SheetColumn::kName:
      return true;
    case SheetColumn::kPool:
      return kind == RowKind::kQueue || kind == RowKind::kHost;
    case SheetColumn::kTeam:
    case SheetColumn::kOpen:
      return kind == RowKind::kQueue;
    case SheetColumn::kZone:
    case SheetColumn::kRack:
      return kind == RowKind::kHost;
    case SheetColumn::kShare:
    case SheetColumn::kLimit:
      return kind == RowKind::kTeam;
    case SheetColumn::kMinAvailable:
    case SheetColumn::kSpare:
    case SheetColumn::kMaintenanceDays:
      return kind == RowKind::kPool;
  }
  return false;
}

/// \returns `text` quoted for an error message: shortened, and without control
/// characters that would break a log line.
[[nodiscard]] std::string Printable(std::string_view text) {
  std::string shown = "\"" + std::string(text.substr(0, kMaxNameBytes)) + "\"";
  for (char& c : shown) {
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
      c = '?';
  }
  return shown;
}

struct Cell {
  std::string text;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
};

/// Converts rows of cells to rows of the sheet.
class RowReader {
 public:
  RowReader(Sheet* sheet, SheetErrors* errors)
      : sheet_(sheet), errors_(errors) {}

  [[nodiscard]] bool header_seen() const noexcept { return header_seen_; }
  /// \returns whether a malformed row was left out of the sheet.
  [[nodiscard]] bool dropped() const noexcept { return dropped_; }
  void Drop() noexcept { dropped_ = true; }

  void AddRow(std::vector<Cell> cells) {
    if (errors_->full() || bad_header_)
      return;
    if (!header_seen_) {
      ReadHeader(cells);
      return;
    }
    if (cells.size() != order_.size()) {
      Drop();
      errors_->Add(cells.front().line, cells.back().column,
                   std::to_string(cells.size()) +
                       " cells found, but the header has " +
                       std::to_string(order_.size()));
      return;
    }
    cells_.fill(nullptr);
    position_.line = cells.front().line;
    position_.columns.fill(1);
    for (std::size_t i = 0; i < cells.size(); ++i) {
      if (!order_[i])
        continue;
      const auto index = static_cast<std::size_t>(*order_[i]);
      cells_[index] = &cells[i];
      position_.columns[index] = cells[i].column;
    }
    AddTypedRow();
  }

 private:
  void ReadHeader(const std::vector<Cell>& cells) {
    header_seen_ = true;
    std::array<bool, kSheetColumnCount> seen{};
    const std::size_t errors_before = errors_->errors().size();
    for (const Cell& cell : cells) {
      const auto column = kSheetColumns.Parse(cell.text);
      order_.push_back(column);
      if (!column) {
        errors_->Add(cell.line, cell.column,
                     "column " + Printable(cell.text) + " found, allowed are " +
                         AllColumns());
        continue;
      }
      bool& present = seen[static_cast<std::size_t>(*column)];
      if (present) {
        errors_->Add(cell.line, cell.column,
                     "column " + Printable(cell.text) +
                         " occurs twice, once is allowed");
      }
      present = true;
    }
    for (const auto& [column, name] : kSheetColumns.entries) {
      if (!seen[static_cast<std::size_t>(column)]) {
        errors_->Add(
            cells.front().line, 1,
            "column \"" + std::string(name) + "\" is missing from the header");
      }
    }
    // After a bad header every row would cause errors.
    bad_header_ = errors_->errors().size() > errors_before;
    dropped_ = dropped_ || bad_header_;
  }

  [[nodiscard]] static std::string AllColumns() {
    std::string text;
    for (const auto& [column, name] : kSheetColumns.entries)
      text += (text.empty() ? "" : ", ") + std::string(name);
    return text;
  }

  [[nodiscard]] const std::string& Text(SheetColumn column) const {
    static const std::string kEmpty;
    const Cell* cell = cells_[static_cast<std::size_t>(column)];
    return cell ? cell->text : kEmpty;
  }

  /// Reads an integer; an empty cell gives `fallback` if there is one. Adds an
  /// error for an invalid value.
  [[nodiscard]] std::int64_t Integer(SheetColumn column,
                                     std::int64_t low,
                                     std::int64_t high,
                                     std::optional<std::int64_t> fallback) {
    const std::string& text = Text(column);
    if (text.empty() && fallback)
      return *fallback;
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [rest, code] = std::from_chars(text.data(), end, value);
    if (code == std::errc() && rest == end && value >= low && value <= high)
      return value;
    AddCellError(column, "an integer from " + std::to_string(low) + " to " +
                             std::to_string(high) +
                             (fallback ? " or nothing" : ""));
    return fallback.value_or(low);
  }

  [[nodiscard]] bool YesNo(SheetColumn column) {
    const std::string& text = Text(column);
    if (text == "yes")
      return true;
    if (!text.empty() && text != "no")
      AddCellError(column, "\"yes\", \"no\" or nothing");
    return false;
  }

  void AddCellError(SheetColumn column, const std::string& allowed) {
    errors_->Add(position_, column,
                 std::string(kSheetColumns.Name(column)) + " " +
                     Printable(Text(column)) + " found, allowed is " + allowed);
  }

  void AddTypedRow() {
    const auto kind = kRowKinds.Parse(Text(SheetColumn::kKind));
    if (!kind) {
      Drop();
      AddCellError(SheetColumn::kKind, "pool, team, queue or host");
      return;
    }
    for (const auto& [column, name] : kSheetColumns.entries) {
      if (!HasColumn(*kind, column) && !Text(column).empty()) {
        AddCellError(column, "nothing in a row of kind " +
                                 std::string(kRowKinds.Name(*kind)));
      }
    }
    const std::string& name = Text(SheetColumn::kName);
    const std::string& pool = Text(SheetColumn::kPool);
    switch (*kind) {
      case RowKind::kPool: {
        Pool row{.name = PoolName(name)};
        row.min_available =
            Integer(SheetColumn::kMinAvailable, 0, kMaxHosts, std::nullopt);
        row.spare = YesNo(SheetColumn::kSpare);
        row.maintenance_days =
            Integer(SheetColumn::kMaintenanceDays, 1, kMaxMaintenanceDays,
                    row.maintenance_days);
        sheet_->pools.push_back({std::move(row), position_});
        break;
      }
      case RowKind::kTeam: {
        Team row{.name = TeamName(name)};
        row.share = Integer(SheetColumn::kShare, 1, kMaxShare, std::nullopt);
        row.limit = Integer(SheetColumn::kLimit, 0, kMaxLimit, std::nullopt);
        sheet_->teams.push_back({std::move(row), position_});
        break;
      }
      case RowKind::kQueue: {
        Queue row{.name = QueueName(name), .pool = PoolName(pool)};
        row.team = TeamName(Text(SheetColumn::kTeam));
        row.open = YesNo(SheetColumn::kOpen);
        sheet_->queues.push_back({std::move(row), position_});
        break;
      }
      case RowKind::kHost: {
        Host row{.name = HostName(name), .pool = PoolName(pool)};
        row.zone = ZoneName(Text(SheetColumn::kZone));
        row.rack = RackName(Text(SheetColumn::kRack));
        sheet_->hosts.push_back({std::move(row), position_});
        break;
      }
    }
  }

  Sheet* sheet_;
  SheetErrors* errors_;
  bool header_seen_ = false;
  bool bad_header_ = false;
  bool dropped_ = false;
  std::vector<std::optional<SheetColumn>> order_;
  std::array<const Cell*, kSheetColumnCount> cells_{};
  SheetPosition position_;
};

/// Feeds libcsv one byte at a time, since its callbacks don't report where a
/// cell starts.
class CsvReader {
 public:
  CsvReader(unsigned char delimiter, RowReader* rows, SheetErrors* errors)
      : delimiter_(delimiter), rows_(rows), errors_(errors) {
    Open();
  }
  CsvReader(const CsvReader&) = delete;
  CsvReader& operator=(const CsvReader&) = delete;
  ~CsvReader() { csv_free(&parser_); }

  void Read(std::string_view text) {
    bool skip_line = false;
    for (const char byte : text) {
      if (errors_->full())
        return;
      if (column_ == 1 && cells_.empty() && !in_row_ && byte == '#')
        skip_line = true;
      if (!skip_line && !Feed(byte)) {
        errors_->Add(
            line_, column_,
            "a quote inside a cell found; quote the whole cell and double "
            "the quotes in it");
        rows_->Drop();
        Reopen();
        skip_line = true;
      }
      if (byte == '\n') {
        ++line_;
        column_ = 1;
        if (skip_line)
          skip_line = false;
      } else {
        ++column_;
      }
      // Unless a cell is open, the next one starts after this byte.
      if (!in_row_ || cell_ended_)
        StartCell();
    }
    if (csv_fini(&parser_, &OnCell, &OnRow, this) != 0) {
      errors_->Add(cell_line_, cell_column_,
                   "a quoted cell is not closed at the end of the file");
      rows_->Drop();
    }
  }

 private:
  void Open() {
    csv_init(&parser_, CSV_STRICT | CSV_STRICT_FINI);
    csv_set_delim(&parser_, delimiter_);
  }

  void Reopen() {
    csv_free(&parser_);
    cells_.clear();
    in_row_ = false;
    Open();
  }

  void StartCell() {
    cell_line_ = line_;
    cell_column_ = column_;
    cell_ended_ = false;
  }

  [[nodiscard]] bool Feed(char byte) {
    if (byte != '\n' && byte != '\r')
      in_row_ = true;
    return csv_parse(&parser_, &byte, 1, &OnCell, &OnRow, this) == 1;
  }

  static void OnCell(void* bytes, std::size_t size, void* self) {
    auto* reader = static_cast<CsvReader*>(self);
    std::string text(static_cast<const char*>(bytes), size);
    if (size > kMaxCellBytes) {
      reader->errors_->Add(reader->cell_line_, reader->cell_column_,
                           "a cell of " + std::to_string(size) +
                               " bytes found, at most " +
                               std::to_string(kMaxCellBytes) + " are allowed");
      text.resize(kMaxCellBytes);
    }
    // Bounds the memory used for a line with too many cells.
    if (reader->cells_.size() <= 2 * kSheetColumnCount) {
      reader->cells_.push_back(
          {std::move(text), reader->cell_line_, reader->cell_column_});
    }
    reader->cell_ended_ = true;
  }

  static void OnRow(int /*terminator*/, void* self) {
    auto* reader = static_cast<CsvReader*>(self);
    reader->in_row_ = false;
    if (auto cells = std::exchange(reader->cells_, {}); !cells.empty())
      reader->rows_->AddRow(std::move(cells));
  }

  unsigned char delimiter_;
  RowReader* rows_;
  SheetErrors* errors_;
  csv_parser parser_{};
  std::vector<Cell> cells_;
  bool in_row_ = false;
  bool cell_ended_ = false;
  std::uint32_t line_ = 1;
  std::uint32_t column_ = 1;
  std::uint32_t cell_line_ = 1;
  std::uint32_t cell_column_ = 1;
};

/// Spreadsheets with Slovak or Bulgarian locale export ";" as separator.
[[nodiscard]] unsigned char Delimiter(std::string_view text) noexcept {
  while (!text.empty()) {
    const auto line = text.substr(0, text.find('\n'));
    if (!line.empty() && line.front() != '#' && line != "\r") {
      return line.find(',') == std::string_view::npos &&
                     line.find(';') != std::string_view::npos
                 ? ';'
                 : CSV_COMMA;
    }
    text.remove_prefix(std::min(text.size(), line.size() + 1));
  }
  return CSV_COMMA;
}

}  // namespace

Sheet ParseSheet(std::string_view text,
                 std::string_view file,
                 std::vector<Error>* errors) {
  Sheet sheet;
  sheet.file = std::string(file);
  SheetErrors found(sheet.file);
  if (text.size() > kMaxSheetBytes) {
    found.Add(1, 1,
              std::to_string(text.size()) + " bytes found, at most " +
                  std::to_string(kMaxSheetBytes) + " are allowed");
    *errors = found.TakeSorted();
    return sheet;
  }
  if (text.substr(0, kByteOrderMark.size()) == kByteOrderMark)
    text.remove_prefix(kByteOrderMark.size());
  RowReader rows(&sheet, &found);
  CsvReader(Delimiter(text), &rows, &found).Read(text);
  if (!rows.header_seen())
    found.Add(1, 1, "no header row found");
  // References to a row that was left out would cause misleading errors.
  if (rows.header_seen() && !rows.dropped())
    CheckSheet(sheet, &found);
  *errors = found.TakeSorted();
  return sheet;
}

Sheet ReadSheetFile(const std::string& path, std::vector<Error>* errors) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    *errors = {Error{ErrorCode::kNotFound, "the file can't be opened",
                     SourcePosition{path, 0, 0}}};
    return {};
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return ParseSheet(text, path, errors);
}

}  // namespace boragewinch
