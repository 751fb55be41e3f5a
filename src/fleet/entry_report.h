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

/// \brief What an entry host knows of another run in its zone that is silent or
/// has been replaced.
struct SilentRun {
  EntryRun run;
  Millis silent_for{0};
  bool fenced = false;  ///< refuses intents and closings of `run`
  /// Running tasks that were started under the allotment of `run` and whose
  /// leases the reporting entry host renews now.
  TeamCounts taken_over;
};

/// \brief The part of `control.sync` that the planners read.
struct EntryReport {
  EntryRun run;
  /// Allotment version that the report is based on.
  std::uint64_t allotment_version = 0;
  TeamCounts running;
  TeamCounts wanted;  ///< queued tasks that could start at once
  /// Units that the entry host spends no more until it sees a newer allotment
  /// version.
  TeamCounts returned;
  std::vector<SilentRun> silent_peers;
};

[[nodiscard]] Json ToJson(const SilentRun& peer);
[[nodiscard]] Json ToJson(const EntryReport& report);
[[nodiscard]] Result<EntryReport> EntryReportFromJson(const Json& json);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_ENTRY_REPORT_H_
