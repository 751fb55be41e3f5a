#ifndef BORAGEWINCH_BASE_INVARIANT_H_
#define BORAGEWINCH_BASE_INVARIANT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/enum_table.h"

namespace boragewinch {

/// \brief The invariants of docs/design.md section 1.1 (I1 to I10), in order,
/// then the bound of docs/platform.md on the time until a run is settled.
enum class Invariant {
  kAvailabilityBudget,
  kOnePoolPerHost,
  kKeyedWork,
  kTeamLimit,
  kOwnAnswer,
  kNotRunIsTrue,
  kAtMostOnce,
  kLeavingWorker,
  kPlannedStop,
  kConfiguration,
  kRunSettled,
};

inline constexpr EnumTable<Invariant, 11> kInvariants{{{
    {Invariant::kAvailabilityBudget, "availability_budget"},
    {Invariant::kOnePoolPerHost, "one_pool_per_host"},
    {Invariant::kKeyedWork, "keyed_work"},
    {Invariant::kTeamLimit, "team_limit"},
    {Invariant::kOwnAnswer, "own_answer"},
    {Invariant::kNotRunIsTrue, "not_run_is_true"},
    {Invariant::kAtMostOnce, "at_most_once"},
    {Invariant::kLeavingWorker, "leaving_worker"},
    {Invariant::kPlannedStop, "planned_stop"},
    {Invariant::kConfiguration, "configuration"},
    {Invariant::kRunSettled, "run_settled"},
}}};

/// \brief Checks and violations of an invariant since the process started.
struct InvariantCount {
  std::uint64_t checked = 0;
  std::uint64_t violated = 0;
};

/// \brief Called on each violation, with the invariant and the detail.
using InvariantHandler =
    std::function<void(Invariant invariant, std::string_view detail)>;

/// \brief Replaces the handler. The default handler logs event 9001.
/// \returns the previous handler.
InvariantHandler SetInvariantHandler(InvariantHandler handler);

/// \brief Counts a check and reports a violation. Enabled in all builds.
/// \returns `holds`; if false, the caller must refuse the action.
bool CheckInvariant(Invariant invariant, bool holds, std::string_view detail);

/// \returns the counts of `invariant`.
[[nodiscard]] InvariantCount invariant_count(Invariant invariant) noexcept;

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_INVARIANT_H_
