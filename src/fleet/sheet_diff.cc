#include "fleet/sheet_diff.h"

#include <algorithm>
#include <set>
#include <utility>

#include "fleet/command_result.h"
#include "fleet/host_plan.h"

namespace boragewinch {

namespace {

using Fields = std::vector<SheetFieldChange>;

[[nodiscard]] std::string YesNo(bool value) {
  return value ? "yes" : "no";
}

[[nodiscard]] Fields FieldsOf(const Pool& pool) {
  return {{SheetColumn::kMinAvailable, "", std::to_string(pool.min_available)},
          {SheetColumn::kSpare, "", YesNo(pool.spare)},
          {SheetColumn::kMaintenanceDays, "",
           std::to_string(pool.maintenance_days)}};
}

[[nodiscard]] Fields FieldsOf(const Team& team) {
  return {{SheetColumn::kShare, "", std::to_string(team.share)},
          {SheetColumn::kLimit, "", std::to_string(team.limit)}};
}

[[nodiscard]] Fields FieldsOf(const Queue& queue) {
  return {{SheetColumn::kPool, "", queue.pool.str()},
          {SheetColumn::kTeam, "", queue.team.str()},
          {SheetColumn::kOpen, "", YesNo(queue.open)}};
}

[[nodiscard]] Fields FieldsOf(const Host& host) {
  return {{SheetColumn::kPool, "", host.home().str()},
          {SheetColumn::kZone, "", host.zone.str()},
          {SheetColumn::kRack, "", host.rack.str()}};
}

/// \returns the fields whose values differ.
template <typename T>
[[nodiscard]] Fields ChangedFields(const T& before, const T& after) {
  Fields changed;
  const Fields old_values = FieldsOf(before);
  const Fields new_values = FieldsOf(after);
  for (std::size_t i = 0; i < new_values.size(); ++i) {
    if (old_values[i].after != new_values[i].after) {
      changed.push_back(
          {new_values[i].column, old_values[i].after, new_values[i].after});
    }
  }
  return changed;
}

/// \returns the fields of a removed entity, with the values as old ones.
template <typename T>
[[nodiscard]] Fields RemovedFields(const T& before) {
  Fields fields = FieldsOf(before);
  for (auto& field : fields)
    std::swap(field.before, field.after);
  return fields;
}

class Differ {
 public:
  Differ(const FleetView& view, const Sheet& sheet, const TeamCounts& in_use)
      : view_(view), sheet_(sheet), in_use_(in_use) {}

  [[nodiscard]] SheetDiff Run() {
    Compare(EntityKind::kPool, view_.pools, sheet_.pools);
    Compare(EntityKind::kTeam, view_.teams, sheet_.teams);
    Compare(EntityKind::kQueue, view_.queues, sheet_.queues);
    if (!sheet_.hosts.empty())
      Compare(EntityKind::kHost, view_.hosts, sheet_.hosts);
    CheckRemovedPools();
    return std::move(diff_);
  }

 private:
  template <typename Id, typename T>
  void Compare(EntityKind kind,
               const std::map<Id, T>& present,
               const std::vector<SheetRow<T>>& rows) {
    std::set<Id> listed;
    for (const auto& [value, position] : rows) {
      listed.insert(value.name);
      const auto it = present.find(value.name);
      if (it == present.end()) {
        Add(kind, SheetAction::kAdded, value.name.str(), FieldsOf(value));
        continue;
      }
      Fields fields = ChangedFields(it->second, value);
      if (fields.empty())
        continue;
      WarnChange(it->second, value);
      Add(kind, ActionOf(it->second, value), value.name.str(),
          std::move(fields));
    }
    for (const auto& [name, value] : present) {
      if (listed.contains(name))
        continue;
      const SheetAction action = RemovalOf(value);
      WarnRemoval(value);
      Add(kind, action, name.str(), RemovedFields(value));
    }
  }

  void Add(EntityKind kind,
           SheetAction action,
           const std::string& name,
           Fields fields) {
    diff_.changes.push_back({kind, action, name, std::move(fields)});
  }

  void Warn(EntityKind kind,
            const std::string& name,
            std::string text,
            bool needs_confirmation) {
    diff_.warnings.push_back({kind, name, std::move(text), needs_confirmation});
  }

  template <typename T>
  [[nodiscard]] static SheetAction ActionOf(const T& /*before*/,
                                            const T& /*after*/) {
    return SheetAction::kChanged;
  }
  [[nodiscard]] static SheetAction ActionOf(const Host& before,
                                            const Host& after) {
    return before.pool == after.pool ? SheetAction::kChanged
                                     : SheetAction::kPendingMove;
  }

  template <typename T>
  [[nodiscard]] static SheetAction RemovalOf(const T& /*value*/) {
    return SheetAction::kRemoved;
  }
  [[nodiscard]] static SheetAction RemovalOf(const Host& host) {
    return host.state == HostState::kDrained || host.state == HostState::kLost
               ? SheetAction::kRemoved
               : SheetAction::kKept;
  }

  void WarnChange(const Pool& before, const Pool& after) {
    if (after.min_available < before.min_available) {
      Warn(EntityKind::kPool, after.name.str(),
           "the availability budget min_available decreases from " +
               std::to_string(before.min_available) + " to " +
               std::to_string(after.min_available),
           true);
    }
    const std::int64_t available = AvailableWorkers(view_, after.name, {});
    if (after.min_available > before.min_available &&
        after.min_available > available) {
      Warn(EntityKind::kPool, after.name.str(),
           "the availability budget min_available " +
               std::to_string(after.min_available) + " is above the " +
               std::to_string(available) +
               " active workers; no drain is granted until more are active",
           false);
    }
    // Spare hosts move without a drain, so tasks must not run on them.
    const bool occupied = std::any_of(
        view_.hosts.begin(), view_.hosts.end(), [&](const auto& item) {
          return item.second.pool == after.name &&
                 RemovalOf(item.second) == SheetAction::kKept;
        });
    if (after.spare && !before.spare && occupied) {
      diff_.conflicts.push_back(
          Error{ErrorCode::kConflict,
                "pool \"" + after.name.str() +
                    "\" can't become the spare pool while its hosts may run "
                    "tasks; drain them or add a new pool",
                std::nullopt});
    }
  }
  void WarnChange(const Team& /*before*/, const Team& after) {
    const auto it = in_use_.find(after.name);
    const std::int64_t in_use = it == in_use_.end() ? 0 : it->second;
    if (after.limit < in_use) {
      Warn(EntityKind::kTeam, after.name.str(),
           "the limit " + std::to_string(after.limit) + " is below the " +
               std::to_string(in_use) +
               " running or allotted tasks; it takes effect when they have "
               "ended and every entry host has confirmed it",
           true);
    }
  }
  void WarnChange(const Queue& before, const Queue& after) {
    if (after.open && !before.open) {
      Warn(EntityKind::kQueue, after.name.str(),
           "the queue becomes open and accepts work without a key", false);
    }
  }
  void WarnChange(const Host& /*before*/, const Host& /*after*/) {}

  void WarnRemoval(const Pool& /*pool*/) {}
  void WarnRemoval(const Team& team) {
    const auto keys = std::count_if(
        view_.keys.begin(), view_.keys.end(), [&](const auto& item) {
          return item.second.team == team.name && !item.second.withdrawn;
        });
    if (keys > 0) {
      Warn(EntityKind::kTeam, team.name.str(),
           "the team is removed and its " + std::to_string(keys) +
               " keys are withdrawn permanently",
           true);
    }
  }
  void WarnRemoval(const Queue& queue) {
    Warn(EntityKind::kQueue, queue.name.str(), "the queue is removed", false);
  }
  void WarnRemoval(const Host& host) {
    if (RemovalOf(host) == SheetAction::kKept) {
      Warn(EntityKind::kHost, host.name.str(),
           "the host is " + std::string(kHostStates.Name(host.state)) +
               " and stays; drain it before its row is removed",
           false);
    }
  }

  /// A pool can be removed only without hosts, which leave it by a drain.
  void CheckRemovedPools() {
    std::map<PoolName, std::int64_t> occupied;
    for (const auto& [name, host] : view_.hosts)
      ++occupied[host.pool];
    for (const SheetChange& change : diff_.changes) {
      if (change.kind == EntityKind::kHost &&
          change.action == SheetAction::kRemoved) {
        --occupied[view_.hosts.at(HostName(change.name)).pool];
      }
    }
    for (const SheetChange& change : diff_.changes) {
      if (change.kind != EntityKind::kPool ||
          change.action != SheetAction::kRemoved) {
        continue;
      }
      if (const auto count = occupied[PoolName(change.name)]; count > 0) {
        diff_.conflicts.push_back(
            Error{ErrorCode::kConflict,
                  "pool \"" + change.name + "\" has no row but still has " +
                      std::to_string(count) +
                      " hosts; move them to other pools first",
                  std::nullopt});
      }
    }
  }

  const FleetView& view_;
  const Sheet& sheet_;
  const TeamCounts& in_use_;
  SheetDiff diff_;
};

}  // namespace

bool SheetDiff::needs_confirmation() const noexcept {
  return std::any_of(
      warnings.begin(), warnings.end(),
      [](const SheetWarning& warning) { return warning.needs_confirmation; });
}

SheetDiff DiffSheet(const FleetView& view,
                    const Sheet& sheet,
                    const TeamCounts& in_use) {
  return Differ(view, sheet, in_use).Run();
}

FleetView ViewAfter(const FleetView& view, const Sheet& sheet) {
  FleetView after = view;
  const auto replace = [](const auto& rows, auto* table) {
    table->clear();
    for (const auto& row : rows)
      (*table)[row.value.name] = row.value;
  };
  replace(sheet.pools, &after.pools);
  replace(sheet.teams, &after.teams);
  replace(sheet.queues, &after.queues);
  if (sheet.hosts.empty())
    return after;
  after.hosts.clear();
  for (const auto& [row, position] : sheet.hosts) {
    const auto present = view.hosts.find(row.name);
    Host& host = after.hosts[row.name];
    host = present == view.hosts.end() ? row : present->second;
    if (host.home() != row.pool) {
      host.pool = row.pool;
      host.lent_from = PoolName();
    }
    host.zone = row.zone;
    host.rack = row.rack;
  }
  // As in ApplySheet, a host without a row stays if tasks may run on it.
  for (const auto& [name, host] : view.hosts) {
    if (host.state != HostState::kDrained && host.state != HostState::kLost)
      after.hosts.try_emplace(name, host);
  }
  return after;
}

Json ToJson(const SheetDiff& diff) {
  Json json(::Json::objectValue);
  json["changes"] = Json(::Json::arrayValue);
  for (const SheetChange& change : diff.changes) {
    Json item(::Json::objectValue);
    item["kind"] = std::string(kEntityKinds.Name(change.kind));
    item["action"] = std::string(kSheetActions.Name(change.action));
    item["name"] = change.name;
    for (const SheetFieldChange& field : change.fields) {
      Json& values =
          item["fields"][std::string(kSheetColumns.Name(field.column))];
      values["old"] = field.before;
      values["new"] = field.after;
    }
    json["changes"].append(std::move(item));
  }
  json["warnings"] = Json(::Json::arrayValue);
  for (const SheetWarning& warning : diff.warnings) {
    Json item(::Json::objectValue);
    item["kind"] = std::string(kEntityKinds.Name(warning.kind));
    item["name"] = warning.name;
    item["text"] = warning.text;
    item["needs_confirmation"] = warning.needs_confirmation;
    json["warnings"].append(std::move(item));
  }
  json["conflicts"] = ArrayOf(diff.conflicts);
  return json;
}

std::string Describe(const SheetChange& change) {
  std::string text = std::string(kSheetActions.Name(change.action)) + " " +
                     std::string(kEntityKinds.Name(change.kind)) + " " +
                     change.name;
  const char* separator = ": ";
  for (const auto& [column, before, after] : change.fields) {
    text += separator + std::string(kSheetColumns.Name(column)) + " ";
    if (change.action == SheetAction::kAdded)
      text += after;
    else if (after.empty())
      text += before;
    else
      text += before + " -> " + after;
    separator = ", ";
  }
  return text;
}

}  // namespace boragewinch
