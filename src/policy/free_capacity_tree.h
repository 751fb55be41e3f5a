#ifndef BORAGEWINCH_POLICY_FREE_CAPACITY_TREE_H_
#define BORAGEWINCH_POLICY_FREE_CAPACITY_TREE_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <vector>

#include "model/resources.h"

namespace boragewinch {

/// \brief Free slots and resources of a worker.
struct FreeCapacity {
  std::int64_t slots = 0;
  Resources free;

  [[nodiscard]] bool Holds(const Resources& demand) const noexcept {
    return slots > 0 && demand.FitsInto(free);
  }
};

/// \brief Segment tree over the free capacity of the workers of a pool. Each
/// node holds the component-wise maximum of its subtree, so that a search skips
/// subtrees without a fit. Positions without a worker have no free capacity.
class FreeCapacityTree {
 public:
  static constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

  /// \brief Sets the free capacity at `position`; grows the tree if needed.
  void Set(std::size_t position, const FreeCapacity& capacity);

  /// \returns the first position >= `from` where `demand` fits, or kNone.
  [[nodiscard]] std::size_t Find(std::size_t from,
                                 const Resources& demand) const noexcept;

  [[nodiscard]] const FreeCapacity& at(std::size_t position) const noexcept {
    return nodes_[leaves_ + position];
  }
  [[nodiscard]] std::size_t size() const noexcept { return size_; }

 private:
  void Grow(std::size_t size);
  void Combine(std::size_t node) noexcept;
  [[nodiscard]] std::size_t FindIn(std::size_t node,
                                   std::size_t low,
                                   std::size_t width,
                                   std::size_t from,
                                   const Resources& demand) const noexcept;

  std::vector<FreeCapacity> nodes_;  // heap order, root at 1
  std::size_t leaves_ = 0;
  std::size_t size_ = 0;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_FREE_CAPACITY_TREE_H_
