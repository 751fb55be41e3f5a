#include "fleet/allotment_planner.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

namespace boragewinch {

namespace {

[[nodiscard]] std::int64_t CountOf(const TeamCounts& counts,
                                   const TeamName& team) {
  const auto it = counts.find(team);
  return it == counts.end() ? 0 : it->second;
}

/// Units of one team that one entry host holds and needs.
struct AllotmentHolder {
  EntryRun run;
  std::uint64_t allotment_version = 0;
  std::int64_t returned = 0;
  std::int64_t units = 0;  ///< held, less `returned`; grants are added to it
  std::int64_t need = 0;   ///< running and queued tasks
};

/// \returns the number of units that raise every holder to min(goal, level).
template <typename Goal>
[[nodiscard]] std::int64_t UnitsToLevel(
    const std::vector<AllotmentHolder>& holders,
    std::int64_t level,
    Goal goal) {
  std::int64_t units_to_level = 0;
  for (const AllotmentHolder& holder : holders)
    units_to_level +=
        std::max<std::int64_t>(0, std::min(goal(holder), level) - holder.units);
  return units_to_level;
}

/// Water-filling: distributes up to `available` units, raising the lowest
/// holders first and none above its goal.
/// \returns the units that are left.
template <typename Goal>
[[nodiscard]] std::int64_t WaterFill(std::int64_t available,
                                     Goal goal,
                                     std::vector<AllotmentHolder>* holders) {
  // Binary search for the highest level that `available` units reach.
  std::int64_t low = 0;
  std::int64_t high = 0;
  for (const AllotmentHolder& holder : *holders)
    high = std::max(high, goal(holder));
  while (low < high) {
    const std::int64_t level = high - (high - low) / 2;
    if (UnitsToLevel(*holders, level, goal) <= available)
      low = level;
    else
      high = level - 1;
  }
  for (AllotmentHolder& holder : *holders) {
    const std::int64_t target = std::min(goal(holder), low);
    available -= std::max<std::int64_t>(0, target - holder.units);
    holder.units = std::max(holder.units, target);
  }
  // The rest can't raise all holders to the next level: one unit each.
  for (AllotmentHolder& holder : *holders) {
    if (available > 0 && holder.units == low && holder.units < goal(holder)) {
      ++holder.units;
      --available;
    }
  }
  return available;
}

/// \returns the holders as if `units` were distributed anew: up to the needs,
/// then up to the floor.
[[nodiscard]] std::vector<AllotmentHolder> FairDistribution(
    std::vector<AllotmentHolder> holders,
    std::int64_t units,
    std::int64_t floor) {
  for (AllotmentHolder& holder : holders)
    holder.units = 0;
  units = WaterFill(
      units, [](const AllotmentHolder& holder) { return holder.need; },
      &holders);
  static_cast<void>(WaterFill(
      units, [&](const AllotmentHolder& /*holder*/) { return floor; },
      &holders));
  return holders;
}

}  // namespace

void AllotmentPlanner::Observe(EntryReport report, TimePoint now) {
  reports_.Observe(std::move(report), now);
}

AllotmentPlan AllotmentPlanner::Plan(const std::map<TeamName, Team>& teams,
                                     const Ledger& ledger,
                                     TimePoint now) {
  reports_.Prune(ledger);
  AllotmentPlan plan;
  std::map<EntryName, AllotmentChange> changes;
  std::set<TeamName> names;
  for (const auto& [name, team] : teams)
    names.insert(name);
  // Also removed teams: entry hosts return their allotments of them.
  const TeamCounts totals = ledger.Totals();
  for (const auto& [name, total] : totals)
    names.insert(name);

  for (const TeamName& team : names) {
    const auto found = teams.find(team);
    const std::int64_t limit = found == teams.end() ? 0 : found->second.limit;
    const auto hosts = static_cast<std::int64_t>(ledger.entries.size());
    const std::int64_t floor = hosts == 0 ? 0 : limit / hosts / 2;
    const std::int64_t total = CountOf(totals, team);
    std::vector<AllotmentHolder> holders;
    std::int64_t returned = 0;
    std::int64_t held = 0;
    for (const auto& [name, entry] : ledger.entries) {
      const EntryRun run{name, entry.incarnation};
      const EntryReport* report = reports_.Fresh(run, now);
      if (!report || report->allotment_version != entry.allotment_version)
        continue;
      const std::int64_t allotment = CountOf(entry.allotment, team);
      AllotmentHolder holder{run, entry.allotment_version};
      holder.returned = std::min(CountOf(report->returned, team), allotment);
      holder.units = allotment - holder.returned;
      holder.need =
          CountOf(report->running, team) + CountOf(report->wanted, team);
      returned += holder.returned;
      held += allotment;
      holders.push_back(std::move(holder));
    }
    const std::vector<AllotmentHolder> before = holders;
    const auto need = [](const AllotmentHolder& holder) { return holder.need; };
    const auto at_least_floor = [&](const AllotmentHolder& /*holder*/) {
      return floor;
    };
    std::int64_t available =
        std::max<std::int64_t>(0, limit - total + returned);
    available = WaterFill(available, need, &holders);
    available = WaterFill(available, at_least_floor, &holders);

    const bool short_of_units =
        limit < total ||
        std::any_of(holders.begin(), holders.end(),
                    [&](const AllotmentHolder& holder) {
                      return holder.units < std::max(holder.need, floor);
                    });
    // Units held by unresponsive or reserved runs can't be redistributed.
    const auto fair = FairDistribution(
        holders, std::max<std::int64_t>(0, limit - (total - held)), floor);
    for (std::size_t i = 0; i < holders.size(); ++i) {
      const EntryName& name = holders[i].run.entry;
      const std::int64_t delta =
          holders[i].units - before[i].units - before[i].returned;
      if (short_of_units && fair[i].units < holders[i].units)
        plan.caps[name][team] = fair[i].units;
      // Even an empty change resolves an offer: the new allotment version lets
      // the entry host use its units again.
      if (delta == 0 && before[i].returned == 0)
        continue;
      AllotmentChange& change = changes[name];
      change.run = holders[i].run;
      change.allotment_version = holders[i].allotment_version;
      if (delta != 0)
        change.deltas[team] = delta;
    }
  }
  for (auto& [name, change] : changes)
    plan.command.changes.push_back(std::move(change));
  return plan;
}

}  // namespace boragewinch
