#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "fleet/fleet_state.h"

namespace boragewinch {

void FleetState::AddFormerRun(const EntryRun& run) {
  ledger_.former.push_back(run);
  if (ledger_.former.size() > kMaxFormerIncarnations)
    ledger_.former.pop_front();
}

Status FleetState::Execute(const RegisterEntry& body,
                           const OperatorCall& /*call*/,
                           CommandResult* /*result*/) {
  const EntryRun run{body.entry, body.incarnation};
  if (ledger_.IsFormer(run)) {
    return Fail(ErrorCode::kFenced, "incarnation " + body.incarnation.str() +
                                        " of entry host \"" + body.entry.str() +
                                        "\" has ended; it must restart");
  }
  const auto it = ledger_.entries.find(body.entry);
  if (it == ledger_.entries.end() && ledger_.entries.size() >= kMaxEntryHosts) {
    return Fail(ErrorCode::kTableFull,
                std::to_string(kMaxEntryHosts) + " entry hosts are registered");
  }
  if (it != ledger_.entries.end() &&
      it->second.incarnation == body.incarnation) {
    it->second.zone = body.zone;
    it->second.address = body.address;
    it->second.peer_address = body.peer_address;
    return Ok();
  }
  if (it != ledger_.entries.end()) {
    if (ledger_.reserved.size() >= kMaxReserved) {
      return Fail(ErrorCode::kTableFull,
                  std::to_string(kMaxReserved) +
                      " reserved allotments wait to be reclaimed");
    }
    // Tasks of the old run may still be running, so its allotment stays
    // reserved. A run with an empty allotment is kept too: it may have taken
    // over tasks of others, and reclaims in its zone wait until its task leases
    // have expired.
    ledger_.reserved[{body.entry, it->second.incarnation}] = {
        it->second.zone, std::move(it->second.allotment)};
  }
  EntryHost& entry = ledger_.entries[body.entry];
  entry = {};
  entry.name = body.entry;
  entry.zone = body.zone;
  entry.incarnation = body.incarnation;
  entry.address = body.address;
  entry.peer_address = body.peer_address;
  entry.allotment_version = ++ledger_.version;
  return Ok();
}

Status FleetState::EndRuns(const std::vector<EntryRun>& runs,
                           const std::vector<AllotmentTransfer>& transfers) {
  TeamCounts ended;
  std::vector<EntryRun> known;
  for (const EntryRun& run : runs) {
    const TeamCounts* allotment = ledger_.AllotmentOf(run);
    if (!allotment)
      continue;
    known.push_back(run);
    for (const auto& [team, count] : *allotment)
      ended[team] += count;
  }
  if (known.empty())
    return Ok();
  TeamCounts remaining = ended;
  for (const AllotmentTransfer& transfer : transfers) {
    const auto peer = ledger_.entries.find(transfer.to.entry);
    const bool registered =
        peer != ledger_.entries.end() &&
        peer->second.incarnation == transfer.to.incarnation &&
        std::find(known.begin(), known.end(), transfer.to) == known.end();
    if (!registered) {
      return Fail(ErrorCode::kConflict,
                  "entry host \"" + transfer.to.entry.str() +
                      "\" can't take over an allotment: incarnation " +
                      transfer.to.incarnation.str() + " is not registered");
    }
    if ((remaining[transfer.team] -= transfer.count) < 0) {
      return Fail(ErrorCode::kLimitExceeded,
                  "the transfers of team \"" + transfer.team.str() +
                      "\" exceed the ended allotment");
    }
  }
  const TeamCounts before = ledger_.Totals();
  for (const EntryRun& run : known) {
    if (ledger_.reserved.erase(run) == 0)
      ledger_.entries.erase(run.entry);
    AddFormerRun(run);
  }
  ++ledger_.version;
  for (const AllotmentTransfer& transfer : transfers) {
    if (transfer.count == 0)
      continue;
    EntryHost& peer = ledger_.entries.at(transfer.to.entry);
    peer.allotment[transfer.team] += transfer.count;
    peer.allotment_version = ++ledger_.version;
  }
  for (const auto& [team, count] : ledger_.Totals()) {
    const auto it = before.find(team);
    CheckInvariant(Invariant::kTeamLimit,
                   it != before.end() && count <= it->second,
                   "a reclaim raised the allotments of team " + team.str());
  }
  return Ok();
}

Status FleetState::Execute(const ReclaimEntry& body,
                           const OperatorCall& /*call*/,
                           CommandResult* /*result*/) {
  return EndRuns({body.run}, body.transfers);
}

Status FleetState::Execute(const RetireEntry& body,
                           const OperatorCall& /*call*/,
                           CommandResult* /*result*/) {
  return EndRuns({body.run}, body.transfers);
}

Status FleetState::Execute(const DeclareEntryLost& body,
                           const OperatorCall& /*call*/,
                           CommandResult* result) {
  std::vector<EntryRun> runs;
  if (const auto it = ledger_.entries.find(body.entry);
      it != ledger_.entries.end()) {
    runs.push_back({body.entry, it->second.incarnation});
  }
  for (const auto& [run, record] : ledger_.reserved) {
    if (run.entry == body.entry)
      runs.push_back(run);
  }
  if (runs.empty()) {
    return Fail(ErrorCode::kUnknownName,
                "entry host \"" + body.entry.str() +
                    "\" is not registered and has no reserved allotment");
  }
  BW_CHECK(EndRuns(runs, body.transfers));
  BumpVersion(result);
  return Ok();
}

Status FleetState::Execute(const ChangeAllotments& body,
                           const OperatorCall& /*call*/,
                           CommandResult* /*result*/) {
  std::map<EntryName, const AllotmentChange*> valid;
  for (const AllotmentChange& change : body.changes) {
    const auto it = ledger_.entries.find(change.run.entry);
    if (it == ledger_.entries.end() ||
        it->second.incarnation != change.run.incarnation ||
        it->second.allotment_version != change.allotment_version) {
      continue;
    }
    // An entry host can't return more than it holds.
    const bool covered = std::all_of(
        change.deltas.begin(), change.deltas.end(), [&](const auto& delta) {
          const auto held = it->second.allotment.find(delta.first);
          return delta.second >= 0 || (held != it->second.allotment.end() &&
                                       held->second + delta.second >= 0);
        });
    if (covered)
      valid.emplace(change.run.entry, &change);
  }
  // Decreases first: the returned units can be granted by the same command.
  for (const auto& [name, change] : valid) {
    EntryHost& entry = ledger_.entries.at(name);
    entry.allotment_version = ++ledger_.version;
    for (const auto& [team, delta] : change->deltas) {
      if (delta >= 0)
        continue;
      const auto held = entry.allotment.find(team);
      held->second += delta;
      if (held->second == 0)
        entry.allotment.erase(held);
    }
  }
  for (const auto& [name, change] : valid) {
    EntryHost& entry = ledger_.entries.at(name);
    for (const auto& [team, delta] : change->deltas) {
      const auto it = view_.teams.find(team);
      const std::int64_t limit = it == view_.teams.end() ? 0 : it->second.limit;
      const std::int64_t remaining = limit - ledger_.Total(team);
      const std::int64_t granted = std::min(delta, remaining);
      // Units of removed teams stay until they are returned, so the number of
      // teams in an allotment needs its own bound.
      const bool has_slot =
          entry.allotment.contains(team) || entry.allotment.size() < kMaxTeams;
      if (granted <= 0 || !has_slot)
        continue;
      const std::int64_t sum = ledger_.Total(team) + granted;
      if (!CheckInvariant(Invariant::kTeamLimit, sum <= limit,
                          "the allotments of team " + team.str() +
                              " would exceed its limit")) {
        continue;
      }
      entry.allotment[team] += granted;
    }
  }
  return Ok();
}

}  // namespace boragewinch
