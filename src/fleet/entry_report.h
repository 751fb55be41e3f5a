#ifndef BORAGEWINCH_FLEET_ENTRY_REPORT_H_
#define BORAGEWINCH_FLEET_ENTRY_REPORT_H_

#include <cstdint>
#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "base/time.h"
#include "fleet/codec.h"
#include "fleet/ledger.h"

namespace boragewinch {

/// \brief Report on another run in the zone that is unresponsive, stops or has
/// been replaced.
struct UnresponsiveRun {
  EntryRun run;
  Millis unresponsive_for{0};  ///< time since its last message
  /// The reporter, as a backup of `run`, no longer lets it start or close
  /// requests.
  bool fenced = false;
  /// Running tasks that were started under the allotment of `run` and whose
  /// leases the reporter renews now.
  TeamCounts taken_over;
};

/// \brief The fields of a sync report that the planners use.
struct EntryReport {
  EntryRun run;
  /// Allotment version on which the report is based.
  std::uint64_t allotment_version = 0;
  TeamCounts running;
  TeamCounts wanted;  ///< queued tasks that are ready to start
  /// Units offered back; unused until the entry host gets a newer allotment
  /// version.
  TeamCounts returned;
  std::vector<UnresponsiveRun> unresponsive_peers;
};

[[nodiscard]] Json ToJson(const UnresponsiveRun& peer);
[[nodiscard]] Json ToJson(const EntryReport& report);
[[nodiscard]] Result<EntryReport> EntryReportFromJson(const Json& json);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_ENTRY_REPORT_H_
