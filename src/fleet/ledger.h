#ifndef BORAGEWINCH_FLEET_LEDGER_H_
#define BORAGEWINCH_FLEET_LEDGER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <tuple>

#include "base/json.h"
#include "base/result.h"
#include "fleet/codec.h"
#include "model/fleet_types.h"

namespace boragewinch {

/// \brief One run of an entry host, from its start to its end or replacement.
struct EntryRun {
  EntryName entry;
  Incarnation incarnation;

  friend bool operator==(const EntryRun&, const EntryRun&) = default;
  friend bool operator<(const EntryRun& a, const EntryRun& b) noexcept {
    return std::tie(a.entry, a.incarnation) < std::tie(b.entry, b.incarnation);
  }
};

/// \brief Allotment of a replaced incarnation, until it is reclaimed.
struct ReservedAllotment {
  ZoneName zone;
  TeamCounts allotment;
};

/// \brief Registered entry hosts and their allotments, the numbers of tasks of
/// each team that each may run (docs/design.md 4.3). A unit of an allotment
/// permits one running task.
struct Ledger {
  std::map<EntryName, EntryHost> entries;
  std::map<EntryRun, ReservedAllotment> reserved;
  std::deque<EntryRun> former;  ///< ended runs; they may not register again
  std::uint64_t version = 0;    ///< incremented at each change of an allotment

  /// \returns the sum of the allotments of `team`, reserved ones included.
  [[nodiscard]] std::int64_t Total(const TeamName& team) const noexcept;
  /// \returns Total of every team with an allotment.
  [[nodiscard]] TeamCounts Totals() const;
  /// \returns whether `run` has been replaced, reclaimed, retired or declared
  /// lost.
  [[nodiscard]] bool IsFormer(const EntryRun& run) const noexcept;
  /// \returns the allotment of `run`, registered or reserved, or null.
  [[nodiscard]] const TeamCounts* AllotmentOf(
      const EntryRun& run) const noexcept;
};

[[nodiscard]] Json ToJson(const Ledger& ledger);
[[nodiscard]] Result<Ledger> LedgerFromJson(const Json& json);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_LEDGER_H_
