#include <algorithm>
#include <type_traits>
#include <utility>

#include "base/invariant.h"
#include "fleet/fleet_state.h"
#include "fleet/sheet_diff.h"

namespace boragewinch {

namespace {

template <typename Id, typename T>
[[nodiscard]] std::set<Id> Listed(const std::vector<SheetRow<T>>& rows) {
  std::set<Id> names;
  for (const auto& row : rows)
    names.insert(row.value.name);
  return names;
}

[[nodiscard]] bool Same(const Pool& a, const Pool& b) {
  return a.min_available == b.min_available && a.spare == b.spare &&
         a.maintenance_days == b.maintenance_days;
}

[[nodiscard]] bool Same(const Team& a, const Team& b) {
  return a.share == b.share && a.limit == b.limit;
}

[[nodiscard]] bool Same(const Queue& a, const Queue& b) {
  return a.pool == b.pool && a.team == b.team && a.open == b.open;
}

}  // namespace

Status FleetState::Execute(const ApplySheet& body,
                           const OperatorCall& call,
                           CommandResult* result) {
  SheetErrors errors(body.sheet.file);
  CheckSheet(body.sheet, &errors);
  result->errors = errors.TakeSorted();
  if (!result->errors.empty())
    return outcome::failure(result->errors.front());
  TeamCounts in_use = ledger_.Totals();
  for (const auto& [team, running] : body.running)
    in_use[team] = std::max(in_use[team], running);
  const SheetDiff diff = DiffSheet(view_, body.sheet, in_use);
  result->errors = diff.conflicts;
  if (!body.allow_lowering) {
    for (const SheetWarning& warning : diff.warnings) {
      if (!warning.needs_confirmation)
        continue;
      result->errors.push_back(
          Error{ErrorCode::kNeedsConfirmation,
                std::string(kEntityKinds.Name(warning.kind)) + " " +
                    warning.name + ": " + warning.text,
                std::nullopt});
    }
  }
  const auto added_hosts = std::count_if(
      body.sheet.hosts.begin(), body.sheet.hosts.end(),
      [&](const auto& row) { return !view_.hosts.contains(row.value.name); });
  if (view_.hosts.size() + static_cast<std::size_t>(added_hosts) > kMaxHosts) {
    result->errors.push_back(Error{ErrorCode::kTableFull,
                                   "the fleet would have more than " +
                                       std::to_string(kMaxHosts) + " hosts",
                                   std::nullopt});
  }
  if (!result->errors.empty())
    return outcome::failure(result->errors.front());
  for (const SheetWarning& warning : diff.warnings) {
    result->notes.push_back(std::string(kEntityKinds.Name(warning.kind)) + " " +
                            warning.name + ": " + warning.text);
  }
  if (!body.sheet.hosts.empty())
    ApplyHosts(body, call, result);
  ApplyTables(body, result);
  for (const auto& [name, host] : view_.hosts) {
    CheckInvariant(Invariant::kOnePoolPerHost, view_.pools.contains(host.pool),
                   "the pool of host " + name.str() + " does not exist");
  }
  return Ok();
}

void FleetState::ApplyTables(const ApplySheet& body, CommandResult* result) {
  const auto update = [&](EntityKind kind, const auto& rows, auto* table) {
    using Id = typename std::decay_t<decltype(*table)>::key_type;
    for (const auto& [value, position] : rows) {
      const auto it = table->find(value.name);
      if (it != table->end() && Same(it->second, value))
        continue;
      auto& entity = (*table)[value.name];
      if constexpr (std::is_same_v<Id, PoolName>) {
        const std::int64_t wave_since = entity.wave_since;
        entity = value;
        entity.wave_since = wave_since;
      } else {
        entity = value;
      }
      entity.version = BumpVersion(result);
    }
    const auto listed = Listed<Id>(rows);
    for (auto it = table->begin(); it != table->end();) {
      if (listed.contains(it->first)) {
        ++it;
        continue;
      }
      BumpVersion(result);
      AddRemoval(kind, it->first.str());
      it = table->erase(it);
    }
  };
  update(EntityKind::kPool, body.sheet.pools, &view_.pools);
  update(EntityKind::kTeam, body.sheet.teams, &view_.teams);
  update(EntityKind::kQueue, body.sheet.queues, &view_.queues);
  for (auto& [name, host] : view_.hosts) {
    if (host.lent_from.empty() || view_.pools.contains(host.lent_from))
      continue;
    EndLending(&host);
    host.version = BumpVersion(result);
  }
  for (auto& [id, key] : view_.keys) {
    if (!key.team.empty() && !view_.teams.contains(key.team))
      Withdraw(&key, result);
  }
  for (auto it = moves_.begin(); it != moves_.end();) {
    if (view_.pools.contains(it->second.pool)) {
      ++it;
      continue;
    }
    result->notes.push_back("the pending move of host " + it->first.str() +
                            " is canceled because the sheet removes pool " +
                            it->second.pool.str());
    BumpVersion(result);
    it = moves_.erase(it);
  }
}

void FleetState::ApplyHosts(const ApplySheet& body,
                            const OperatorCall& call,
                            CommandResult* result) {
  for (const auto& [row, position] : body.sheet.hosts) {
    const auto it = view_.hosts.find(row.name);
    if (it == view_.hosts.end()) {
      Host host{.name = row.name, .pool = row.pool};
      host.zone = row.zone;
      host.rack = row.rack;
      // The first maintenance period of a new host begins now.
      host.maintained_at = body.wall_seconds;
      host.version = host.assignment = BumpVersion(result);
      view_.hosts.emplace(row.name, std::move(host));
      continue;
    }
    Host& host = it->second;
    if (host.zone != row.zone || host.rack != row.rack) {
      host.zone = row.zone;
      host.rack = row.rack;
      host.version = BumpVersion(result);
    }
    const auto move = moves_.find(row.name);
    // The row of a lent host names its home pool. It is not moved back here:
    // the control service returns it when it is no longer needed. If every
    // sheet moved it back, it would be lent again at once.
    if (!host.lent_from.empty() && row.pool == host.lent_from &&
        move == moves_.end())
      continue;
    if (host.pool == row.pool && !host.lent_from.empty()) {
      EndLending(&host);
      host.version = BumpVersion(result);
    }
    if (host.pool != row.pool) {
      if (move == moves_.end() || move->second.pool != row.pool)
        moves_[row.name] = {row.pool, false, BumpVersion(result),
                            call.operator_name};
    } else if (move != moves_.end() && !move->second.moved) {
      BumpVersion(result);
      moves_.erase(move);
    }
  }
  const auto listed = Listed<HostName>(body.sheet.hosts);
  for (auto it = view_.hosts.begin(); it != view_.hosts.end();) {
    const HostState state = it->second.state;
    const bool removable =
        state == HostState::kDrained || state == HostState::kLost;
    if (listed.contains(it->first) || !removable) {
      ++it;
      continue;
    }
    BumpVersion(result);
    AddRemoval(EntityKind::kHost, it->first.str());
    drains_.erase(it->first);
    moves_.erase(it->first);
    it = view_.hosts.erase(it);
  }
}

}  // namespace boragewinch
