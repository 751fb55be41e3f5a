#ifndef BORAGEWINCH_POLICY_PLACEMENT_CONFIG_H_
#define BORAGEWINCH_POLICY_PLACEMENT_CONFIG_H_

#include <cstddef>

#include "base/enum_table.h"
#include "base/result.h"

namespace boragewinch {

/// \brief Which of the workers that fit a job is preferred.
enum class PackingRule {
  kBestFit,  ///< the fullest: keeps whole workers free for large jobs
  kSpread,   ///< the emptiest: the loss of a worker affects the fewest tasks
};

inline constexpr EnumTable<PackingRule, 2> kPackingRules{{{
    {PackingRule::kBestFit, "best_fit"},
    {PackingRule::kSpread, "spread"},
}}};

/// \brief Parameters of Placement.
struct PlacementConfig {
  PackingRule rule = PackingRule::kSpread;
  /// Cost of each task of the same queue in the worker's zone, rack and host,
  /// relative to 1 for each free slot.
  double zone_weight = 4;
  double rack_weight = 2;
  double host_weight = 1;
  /// Workers compared per decision; smaller pools are compared completely.
  std::size_t candidates = 32;

  /// \returns kInvalidSetting for a value out of range.
  [[nodiscard]] Status Check() const {
    if (candidates == 0) {
      return Fail(ErrorCode::kInvalidSetting, "candidates must be at least 1");
    }
    if (zone_weight < 0 || rack_weight < 0 || host_weight < 0)
      return Fail(ErrorCode::kInvalidSetting, "weights must not be negative");
    return Ok();
  }
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_PLACEMENT_CONFIG_H_
