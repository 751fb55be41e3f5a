#include "fleet/reclaim_planner.h"

#include <algorithm>
#include <utility>

#include "fleet/bounds.h"
#include "model/worker_types.h"

namespace boragewinch {

namespace {

/// Tasks whose leases are not renewed have ended after this time.
constexpr Millis kTaskLeaseExpiry = GranterLease(kTaskLease);
/// Rule 2: after this time without a response an entry host has stopped and its
/// tasks have ended.
constexpr Millis kIsolationExpiry = GranterLease(kIsolationBound + kTaskLease);

[[nodiscard]] const UnresponsiveRun* FindPeer(const EntryReport& report,
                                              const EntryRun& run) {
  const auto it = std::find_if(
      report.unresponsive_peers.begin(), report.unresponsive_peers.end(),
      [&](const UnresponsiveRun& peer) { return peer.run == run; });
  return it == report.unresponsive_peers.end() ? nullptr : &*it;
}

/// \returns the reclaim of `run`. Transfers of more units than the allotment
/// has are cut, since the command would be rejected forever.
[[nodiscard]] ReclaimEntry Reclaim(
    const EntryRun& run,
    TeamCounts remaining,
    const std::vector<const EntryReport*>& peers) {
  ReclaimEntry reclaim{run, {}};
  for (const EntryReport* report : peers) {
    const UnresponsiveRun* peer = FindPeer(*report, run);
    if (!peer)
      continue;
    for (const auto& [team, taken_over] : peer->taken_over) {
      const std::int64_t count = std::min(taken_over, remaining[team]);
      if (count <= 0)
        continue;
      remaining[team] -= count;
      reclaim.transfers.push_back({report->run, team, count});
    }
  }
  return reclaim;
}

}  // namespace

void ReclaimPlanner::Observe(EntryReport report, TimePoint now) {
  reports_.Observe(std::move(report), now);
}

std::vector<ReclaimEntry> ReclaimPlanner::Plan(const Ledger& ledger,
                                               TimePoint now) {
  reports_.Prune(ledger);
  std::erase_if(reserved_since_, [&](const auto& item) {
    return !ledger.reserved.contains(item.first);
  });
  for (const auto& [run, record] : ledger.reserved)
    reserved_since_.emplace(run, now);

  std::vector<ReclaimEntry> reclaims;
  for (const auto& [run, record] : ledger.reserved) {
    if (!ZoneLeasesExpired(ledger, record.zone, now))
      continue;
    // Includes the new run of the same entry host: it may have taken over tasks
    // of its predecessor from a peer.
    if (const auto peers = ZoneReports(ledger, record.zone, EntryName(), now))
      reclaims.push_back(Reclaim(run, record.allotment, *peers));
  }
  for (const auto& [name, entry] : ledger.entries) {
    const EntryRun run{name, entry.incarnation};
    if (!ZoneLeasesExpired(ledger, entry.zone, now))
      continue;
    const auto peers = ZoneReports(ledger, entry.zone, name, now);
    if (peers && IsLost(run, *peers, now))
      reclaims.push_back(Reclaim(run, entry.allotment, *peers));
  }
  return reclaims;
}

std::vector<AllotmentTransfer> ReclaimPlanner::TransfersOf(
    const Ledger& ledger,
    const EntryName& entry,
    TimePoint now) const {
  std::vector<const EntryReport*> reports;
  for (const auto& [name, peer] : ledger.entries) {
    const EntryReport* report = reports_.Fresh({name, peer.incarnation}, now);
    if (report && name != entry)
      reports.push_back(report);
  }
  std::vector<AllotmentTransfer> transfers;
  const auto add = [&](const EntryRun& run, const TeamCounts& allotment) {
    const ReclaimEntry reclaim = Reclaim(run, allotment, reports);
    transfers.insert(transfers.end(), reclaim.transfers.begin(),
                     reclaim.transfers.end());
  };
  if (const auto it = ledger.entries.find(entry); it != ledger.entries.end())
    add({entry, it->second.incarnation}, it->second.allotment);
  for (const auto& [run, record] : ledger.reserved) {
    if (run.entry == entry)
      add(run, record.allotment);
  }
  return transfers;
}

std::optional<std::vector<const EntryReport*>> ReclaimPlanner::ZoneReports(
    const Ledger& ledger,
    const ZoneName& zone,
    const EntryName& except,
    TimePoint now) const {
  std::vector<const EntryReport*> reports;
  for (const auto& [name, entry] : ledger.entries) {
    if (name == except || entry.zone != zone)
      continue;
    const EntryReport* report = reports_.Fresh({name, entry.incarnation}, now);
    if (!report)
      return std::nullopt;
    reports.push_back(report);
  }
  return reports;
}

bool ReclaimPlanner::ZoneLeasesExpired(const Ledger& ledger,
                                       const ZoneName& zone,
                                       TimePoint now) const {
  // The peers of a run that has just been replaced may not have taken over its
  // tasks yet, including those that it had taken over itself.
  return std::all_of(
      ledger.reserved.begin(), ledger.reserved.end(), [&](const auto& item) {
        return item.second.zone != zone ||
               now - reserved_since_.at(item.first) >= kTaskLeaseExpiry;
      });
}

bool ReclaimPlanner::IsLost(const EntryRun& run,
                            const std::vector<const EntryReport*>& peers,
                            TimePoint now) const {
  const TimePoint last_report = std::max(
      reports_.ReceivedAt(run).value_or(leading_since_), leading_since_);
  if (peers.empty() || now - last_report < kIsolationExpiry)
    return false;
  return std::all_of(peers.begin(), peers.end(),
                     [&](const EntryReport* report) {
                       const UnresponsiveRun* peer = FindPeer(*report, run);
                       return peer && peer->fenced &&
                              peer->unresponsive_for >= kIsolationExpiry;
                     });
}

}  // namespace boragewinch
