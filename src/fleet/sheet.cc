#include "fleet/sheet.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "fleet/codec.h"

namespace boragewinch {

namespace {

constexpr const char* kNameRule = "1 to 64 characters of A-Z a-z 0-9 _ -";
constexpr std::size_t kMaxFileNameBytes = 256;

[[nodiscard]] std::string Quoted(const std::string& text) {
  std::string shown = "\"" + text.substr(0, kMaxNameBytes) + "\"";
  // Control characters would break a log line.
  for (char& c : shown) {
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
      c = '?';
  }
  return shown;
}

/// Validates the rows of all kinds and their references to each other.
class Checker {
 public:
  Checker(const Sheet& sheet, SheetErrors* errors)
      : sheet_(sheet), errors_(errors) {}

  void Run() {
    pools_ = CheckNames(sheet_.pools, kMaxPools, "pool");
    teams_ = CheckNames(sheet_.teams, kMaxTeams, "team");
    CheckNames(sheet_.queues, kMaxQueues, "queue");
    CheckNames(sheet_.hosts, kMaxHosts, "host");
    for (const auto& [host, position] : sheet_.hosts)
      ++host_counts_[host.pool.str()];
    CheckPools();
    for (const auto& [team, position] : sheet_.teams) {
      CheckRange(position, SheetColumn::kShare, team.share, 1, kMaxShare);
      CheckRange(position, SheetColumn::kLimit, team.limit, 0, kMaxLimit);
    }
    CheckQueues();
    for (const auto& [host, position] : sheet_.hosts) {
      CheckReference(position, SheetColumn::kPool, host.pool.str(), pools_);
      Name(position, SheetColumn::kZone, host.zone.str());
      Name(position, SheetColumn::kRack, host.rack.str());
    }
  }

 private:
  template <typename T>
  [[nodiscard]] static std::uint32_t FirstLine(
      const std::vector<SheetRow<T>>& rows) {
    return rows.empty() ? 1 : rows.front().position.line;
  }

  template <typename T>
  std::set<std::string> CheckNames(const std::vector<SheetRow<T>>& rows,
                                   std::size_t max,
                                   const char* kind) {
    std::map<std::string, std::uint32_t> lines;
    for (const auto& row : rows) {
      const std::string& name = row.value.name.str();
      if (!Name(row.position, SheetColumn::kName, name))
        continue;
      const auto [it, added] = lines.emplace(name, row.position.line);
      if (!added) {
        errors_->Add(row.position, SheetColumn::kName,
                     std::string(kind) + " " + Quoted(name) +
                         " is already in line " + std::to_string(it->second) +
                         "; each name may occur once");
      }
    }
    if (rows.size() > max) {
      errors_->Add(rows[max].position, SheetColumn::kKind,
                   std::to_string(rows.size()) + " rows of kind " + kind +
                       " found, at most " + std::to_string(max) +
                       " are allowed");
    }
    std::set<std::string> names;
    for (const auto& [name, line] : lines)
      names.insert(name);
    return names;
  }

  bool Name(const SheetPosition& position,
            SheetColumn column,
            const std::string& name) {
    if (IsValidName(name))
      return true;
    errors_->Add(position, column,
                 std::string(kSheetColumns.Name(column)) + " " + Quoted(name) +
                     " found, allowed are " + kNameRule);
    return false;
  }

  void CheckRange(const SheetPosition& position,
                  SheetColumn column,
                  std::int64_t value,
                  std::int64_t low,
                  std::int64_t high) {
    if (value >= low && value <= high)
      return;
    errors_->Add(position, column,
                 std::string(kSheetColumns.Name(column)) + " " +
                     std::to_string(value) + " found, allowed are " +
                     std::to_string(low) + " to " + std::to_string(high));
  }

  void CheckReference(const SheetPosition& position,
                      SheetColumn column,
                      const std::string& name,
                      const std::set<std::string>& names) {
    if (!Name(position, column, name) || names.contains(name))
      return;
    errors_->Add(position, column,
                 std::string(kSheetColumns.Name(column)) + " " + Quoted(name) +
                     " has no row in this sheet");
  }

  void CheckPools() {
    const SheetRow<Pool>* spare = nullptr;
    for (const auto& row : sheet_.pools) {
      const Pool& pool = row.value;
      CheckRange(row.position, SheetColumn::kMinAvailable, pool.min_available,
                 0, kMaxHosts);
      CheckRange(row.position, SheetColumn::kMaintenanceDays,
                 pool.maintenance_days, 1, kMaxMaintenanceDays);
      const auto hosts = host_counts_.find(pool.name.str());
      if (hosts != host_counts_.end() && pool.min_available > hosts->second) {
        errors_->Add(row.position, SheetColumn::kMinAvailable,
                     "min_available " + std::to_string(pool.min_available) +
                         " found, pool " + Quoted(pool.name.str()) + " has " +
                         std::to_string(hosts->second) + " hosts");
      }
      if (pool.spare && spare) {
        errors_->Add(row.position, SheetColumn::kSpare,
                     "pool " + Quoted(pool.name.str()) +
                         " is a second spare pool; line " +
                         std::to_string(spare->position.line) +
                         " has the first, one is allowed");
      }
      if (pool.spare && !spare)
        spare = &row;
    }
    if (!spare) {
      errors_->Add(FirstLine(sheet_.pools), 1,
                   "no pool with spare \"yes\" found, exactly one is required");
    }
    spare_ = spare ? spare->value.name.str() : "";
  }

  void CheckQueues() {
    for (const auto& [queue, position] : sheet_.queues) {
      CheckReference(position, SheetColumn::kPool, queue.pool.str(), pools_);
      CheckReference(position, SheetColumn::kTeam, queue.team.str(), teams_);
      // Spare hosts move without a drain, so tasks must not run on them.
      if (!spare_.empty() && queue.pool.str() == spare_) {
        errors_->Add(position, SheetColumn::kPool,
                     "queue " + Quoted(queue.name.str()) +
                         " names the spare pool; only other pools are allowed");
      }
    }
  }

  const Sheet& sheet_;
  SheetErrors* errors_;
  std::set<std::string> pools_;
  std::set<std::string> teams_;
  std::map<std::string, std::int64_t> host_counts_;
  std::string spare_;
};

template <typename T>
[[nodiscard]] Json RowsToJson(const std::vector<SheetRow<T>>& rows) {
  Json array(::Json::arrayValue);
  for (const auto& row : rows) {
    Json item = ToJson(row.value);
    item["line"] = row.position.line;
    array.append(std::move(item));
  }
  return array;
}

template <typename T, typename Read>
[[nodiscard]] Status ReadRows(const Json& json,
                              const char* name,
                              std::size_t max,
                              Read read,
                              std::vector<SheetRow<T>>* rows) {
  BW_TRY(const auto array, ArrayField(json, name, max));
  rows->reserve(array.size());
  for (const Json& item : array) {
    SheetRow<T> row;
    BW_TRY(row.value, read(item));
    BW_TRY(const auto line, IntFieldOr(item, "line", 0, 0, kMaxSheetBytes));
    row.position.line = static_cast<std::uint32_t>(line);
    rows->push_back(std::move(row));
  }
  return Ok();
}

}  // namespace

void SheetErrors::Add(std::uint32_t line,
                      std::uint32_t column,
                      std::string detail) {
  if (full())
    return;
  order_.emplace(std::pair(line, column), errors_.size());
  errors_.push_back(Error{ErrorCode::kInvalidSheet, std::move(detail),
                          SourcePosition{file_, line, column}});
}

std::vector<Error> SheetErrors::TakeSorted() {
  std::vector<Error> sorted;
  sorted.reserve(errors_.size());
  for (const auto& [position, index] : order_)
    sorted.push_back(std::move(errors_[index]));
  order_.clear();
  errors_.clear();
  return sorted;
}

void CheckSheet(const Sheet& sheet, SheetErrors* errors) {
  Checker(sheet, errors).Run();
}

Json ToJson(const Sheet& sheet) {
  Json json(::Json::objectValue);
  json["file"] = sheet.file;
  json["pools"] = RowsToJson(sheet.pools);
  json["teams"] = RowsToJson(sheet.teams);
  json["queues"] = RowsToJson(sheet.queues);
  json["hosts"] = RowsToJson(sheet.hosts);
  return json;
}

Result<Sheet> SheetFromJson(const Json& json) {
  if (!json.isObject())
    return Fail(ErrorCode::kInvalidField, "a sheet must be a JSON object");
  Sheet sheet;
  BW_TRY(sheet.file, StringFieldOr(json, "file", "", kMaxFileNameBytes));
  BW_CHECK(ReadRows(json, "pools", kMaxPools, PoolFromJson, &sheet.pools));
  BW_CHECK(ReadRows(json, "teams", kMaxTeams, TeamFromJson, &sheet.teams));
  BW_CHECK(ReadRows(json, "queues", kMaxQueues, QueueFromJson, &sheet.queues));
  BW_CHECK(ReadRows(json, "hosts", kMaxHosts, HostFromJson, &sheet.hosts));
  return sheet;
}

}  // namespace boragewinch
