#ifndef BORAGEWINCH_MODEL_RESOURCES_H_
#define BORAGEWINCH_MODEL_RESOURCES_H_

#include <compare>
#include <cstdint>

#include "base/json.h"
#include "base/result.h"

namespace boragewinch {

/// \brief Resources required by a task or offered by a worker.
struct Resources {
  std::int64_t cpu_millis = 0;  ///< thousandths of a core
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  /// \returns whether no component exceeds that of `capacity`.
  [[nodiscard]] constexpr bool FitsInto(
      const Resources& capacity) const noexcept {
    return cpu_millis <= capacity.cpu_millis &&
           memory_mb <= capacity.memory_mb &&
           accelerators <= capacity.accelerators;
  }
  constexpr Resources& operator+=(const Resources& other) noexcept {
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  constexpr Resources& operator-=(const Resources& other) noexcept {
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
  friend bool operator==(const Resources&, const Resources&) = default;
};

/// \returns {"cpu_millis": .., "memory_mb": .., "accelerators": ..}.
[[nodiscard]] Json ToJson(const Resources& resources);

/// \brief Parses the object written by ToJson; absent members are 0.
/// \returns kInvalidField for a negative or excessive value.
[[nodiscard]] Result<Resources> ResourcesFromJson(const Json& json);

}  // namespace boragewinch

#endif  // BORAGEWINCH_MODEL_RESOURCES_H_
