#include "fleet/ledger.h"

#include <algorithm>
#include <utility>

namespace boragewinch {

std::int64_t Ledger::Total(const TeamName& team) const noexcept {
  std::int64_t total = 0;
  const auto add = [&](const TeamCounts& counts) {
    if (const auto it = counts.find(team); it != counts.end())
      total += it->second;
  };
  for (const auto& [name, entry] : entries)
    add(entry.allotment);
  for (const auto& [run, record] : reserved)
    add(record.allotment);
  return total;
}

TeamCounts Ledger::Totals() const {
  TeamCounts totals;
  const auto add = [&](const TeamCounts& counts) {
    for (const auto& [team, count] : counts)
      totals[team] += count;
  };
  for (const auto& [name, entry] : entries)
    add(entry.allotment);
  for (const auto& [run, record] : reserved)
    add(record.allotment);
  return totals;
}

bool Ledger::IsFormer(const EntryRun& run) const noexcept {
  return reserved.contains(run) ||
         std::find(former.begin(), former.end(), run) != former.end();
}

const TeamCounts* Ledger::AllotmentOf(const EntryRun& run) const noexcept {
  if (const auto it = reserved.find(run); it != reserved.end())
    return &it->second.allotment;
  const auto it = entries.find(run.entry);
  if (it == entries.end() || it->second.incarnation != run.incarnation)
    return nullptr;
  return &it->second.allotment;
}

Json ToJson(const Ledger& ledger) {
  Json json(::Json::objectValue);
  json["version"] = Counter(ledger.version);
  json["entries"] = ArrayOfValues(ledger.entries);
  json["reserved"] = Json(::Json::arrayValue);
  for (const auto& [run, record] : ledger.reserved) {
    Json item(::Json::objectValue);
    item["entry"] = run.entry.str();
    item["incarnation"] = run.incarnation.str();
    item["zone"] = record.zone.str();
    item["allotment"] = ToJson(record.allotment);
    json["reserved"].append(std::move(item));
  }
  json["former"] = Json(::Json::arrayValue);
  for (const auto& run : ledger.former) {
    Json item(::Json::objectValue);
    item["entry"] = run.entry.str();
    item["incarnation"] = run.incarnation.str();
    json["former"].append(std::move(item));
  }
  return json;
}

Result<Ledger> LedgerFromJson(const Json& json) {
  Ledger ledger;
  BW_TRY(ledger.version, CounterField(json, "version"));
  BW_TRY(const auto entries, ArrayField(json, "entries", kMaxEntryHosts));
  for (const Json& item : entries) {
    BW_TRY(auto entry, EntryHostFromJson(item));
    ledger.entries.emplace(entry.name, entry);
  }
  BW_TRY(const auto reserved, ArrayField(json, "reserved", kMaxReserved));
  for (const Json& item : reserved) {
    EntryRun run;
    ReservedAllotment record;
    BW_TRY(run.entry, NameField<EntryName>(item, "entry"));
    BW_TRY(run.incarnation, NameField<Incarnation>(item, "incarnation"));
    BW_TRY(record.zone, NameField<ZoneName>(item, "zone"));
    BW_TRY(record.allotment, CountsField(item, "allotment"));
    ledger.reserved.emplace(std::move(run), std::move(record));
  }
  BW_TRY(const auto former, ArrayField(json, "former", kMaxFormerIncarnations));
  for (const Json& item : former) {
    EntryRun run;
    BW_TRY(run.entry, NameField<EntryName>(item, "entry"));
    BW_TRY(run.incarnation, NameField<Incarnation>(item, "incarnation"));
    ledger.former.push_back(std::move(run));
  }
  return ledger;
}

}  // namespace boragewinch
