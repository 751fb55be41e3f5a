#ifndef BORAGEWINCH_POLICY_PLACEMENT_CONFIG_H_
#define BORAGEWINCH_POLICY_PLACEMENT_CONFIG_H_

#include <cstddef>

#include "base/enum_table.h"
#include "base/result.h"

namespace boragewinch {

/// \brief Which of the workers that fit is preferred within a rack.
enum class PackingRule {
  kBestFit,  ///< the fullest one: keeps whole workers free for large jobs
  kSpread,   ///< the emptiest one: a lost worker takes the fewest tasks along
};

inline constexpr EnumTable<PackingRule, 2> kPackingRules{{{
    {PackingRule::kBestFit, "best_fit"},
    {PackingRule::kSpread, "spread"},
}}};

/// \brief Parameters of Placement.
struct PlacementConfig {
  PackingRule rule = PackingRule::kSpread;
  /// Cost of each task of the same queue in the worker's zone, rack and host.
  /// A free slot counts 1, so tasks are spread unless that costs more.
  double zone_weight = 4;
  double rack_weight = 2;
  double host_weight = 1;
  /// Workers compared in a pool; a smaller pool is compared whole.
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
