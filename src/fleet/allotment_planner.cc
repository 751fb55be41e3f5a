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

/// One entry host's part in the allotment of one team.
struct Part {
  EntryRun run;
  std::uint64_t allotment_version = 0;
  std::int64_t returned = 0;
  std::int64_t units = 0;  ///< kept and granted
  std::int64_t need = 0;   ///< running and wanted
};

/// \returns how many units lift every part to min(goal, level).
template <typename Goal>
[[nodiscard]] std::int64_t Missing(const std::vector<Part>& parts,
                                   std::int64_t level,
                                   Goal goal) {
  std::int64_t missing = 0;
  for (const Part& part : parts)
    missing +=
        std::max<std::int64_t>(0, std::min(goal(part), level) - part.units);
  return missing;
}

/// Hands out up to `room` units, raising the lowest parts first and none above
/// its goal.
/// \returns the units that are left.
template <typename Goal>
[[nodiscard]] std::int64_t Fill(std::int64_t room,
                                Goal goal,
                                std::vector<Part>* parts) {
  // Binary search for the highest level that `room` pays for.
  std::int64_t low = 0;
  std::int64_t high = 0;
  for (const Part& part : *parts)
    high = std::max(high, goal(part));
  while (low < high) {
    const std::int64_t level = high - (high - low) / 2;
    if (Missing(*parts, level, goal) <= room)
      low = level;
    else
      high = level - 1;
  }
  for (Part& part : *parts) {
    const std::int64_t target = std::min(goal(part), low);
    room -= std::max<std::int64_t>(0, target - part.units);
    part.units = std::max(part.units, target);
  }
  // What is left does not lift all of the next level: one unit each.
  for (Part& part : *parts) {
    if (room > 0 && part.units == low && part.units < goal(part)) {
      ++part.units;
      --room;
    }
  }
  return room;
}

/// \returns the units of `units_of` each part would have if none held any yet:
/// what it needs, fairly, then the floors.
[[nodiscard]] std::vector<Part> FairParts(std::vector<Part> parts,
                                          std::int64_t units,
                                          std::int64_t floor) {
  for (Part& part : parts)
    part.units = 0;
  units = Fill(
      units, [](const Part& part) { return part.need; }, &parts);
  static_cast<void>(Fill(
      units, [&](const Part& /*part*/) { return floor; }, &parts));
  return parts;
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
  // Allotments of removed teams shrink as entry hosts give them back.
  const TeamCounts totals = ledger.Totals();
  for (const auto& [name, total] : totals)
    names.insert(name);

  for (const TeamName& team : names) {
    const auto found = teams.find(team);
    const std::int64_t limit = found == teams.end() ? 0 : found->second.limit;
    const auto hosts = static_cast<std::int64_t>(ledger.entries.size());
    const std::int64_t floor = hosts == 0 ? 0 : limit / hosts / 2;
    const std::int64_t total = CountOf(totals, team);
    std::vector<Part> parts;
    std::int64_t returned = 0;
    std::int64_t held = 0;
    for (const auto& [name, entry] : ledger.entries) {
      const EntryRun run{name, entry.incarnation};
      const EntryReport* report = reports_.Fresh(run, now);
      if (!report || report->allotment_version != entry.allotment_version)
        continue;
      const std::int64_t allotment = CountOf(entry.allotment, team);
      Part part{run, entry.allotment_version};
      part.returned = std::min(CountOf(report->returned, team), allotment);
      part.units = allotment - part.returned;
      part.need =
          CountOf(report->running, team) + CountOf(report->wanted, team);
      returned += part.returned;
      held += allotment;
      parts.push_back(std::move(part));
    }
    const std::vector<Part> before = parts;
    const auto need = [](const Part& part) { return part.need; };
    const auto at_least_floor = [&](const Part& /*part*/) { return floor; };
    std::int64_t room = std::max<std::int64_t>(0, limit - total + returned);
    room = Fill(room, need, &parts);
    room = Fill(room, at_least_floor, &parts);

    const bool short_of_units =
        limit < total ||
        std::any_of(parts.begin(), parts.end(), [&](const Part& part) {
          return part.units < std::max(part.need, floor);
        });
    // Units of silent and reserved runs can't be moved.
    const auto fair = FairParts(
        parts, std::max<std::int64_t>(0, limit - (total - held)), floor);
    for (std::size_t i = 0; i < parts.size(); ++i) {
      const EntryName& name = parts[i].run.entry;
      const std::int64_t delta =
          parts[i].units - before[i].units - before[i].returned;
      if (short_of_units && fair[i].units < parts[i].units)
        plan.caps[name][team] = fair[i].units;
      // A change without effect also resolves an offer: the new version tells
      // the entry host that it may spend what it has.
      if (delta == 0 && before[i].returned == 0)
        continue;
      AllotmentChange& change = changes[name];
      change.run = parts[i].run;
      change.allotment_version = parts[i].allotment_version;
      if (delta != 0)
        change.deltas[team] = delta;
    }
  }
  for (auto& [name, change] : changes)
    plan.command.changes.push_back(std::move(change));
  return plan;
}

}  // namespace boragewinch
