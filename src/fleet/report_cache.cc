#include "fleet/report_cache.h"

#include <utility>

#include "fleet/bounds.h"

namespace boragewinch {

void ReportCache::Observe(EntryReport report, TimePoint now) {
  const EntryRun run = report.run;
  reports_[run] = {std::move(report), now};
}

void ReportCache::Prune(const Ledger& ledger) {
  std::erase_if(reports_, [&](const auto& item) {
    const auto entry = ledger.entries.find(item.first.entry);
    return entry == ledger.entries.end() ||
           entry->second.incarnation != item.first.incarnation;
  });
}

const EntryReport* ReportCache::Fresh(const EntryRun& run,
                                      TimePoint now) const {
  const auto it = reports_.find(run);
  if (it == reports_.end() || now - it->second.at > kMaxReportAge)
    return nullptr;
  return &it->second.report;
}

std::optional<TimePoint> ReportCache::ReceivedAt(const EntryRun& run) const {
  const auto it = reports_.find(run);
  if (it == reports_.end())
    return std::nullopt;
  return it->second.at;
}

}  // namespace boragewinch
