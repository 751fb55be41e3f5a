#include "policy/free_capacity_tree.h"

#include <algorithm>
#include <bit>

namespace boragewinch {

void FreeCapacityTree::Set(std::size_t position, const FreeCapacity& capacity) {
  if (position >= leaves_)
    Grow(position + 1);
  size_ = std::max(size_, position + 1);
  nodes_[leaves_ + position] = capacity;
  for (std::size_t node = (leaves_ + position) / 2; node > 0; node /= 2)
    Combine(node);
}

void FreeCapacityTree::Grow(std::size_t size) {
  const std::size_t leaves = std::bit_ceil(size);
  std::vector<FreeCapacity> nodes(2 * leaves);
  std::copy_n(nodes_.begin() + static_cast<std::ptrdiff_t>(leaves_), leaves_,
              nodes.begin() + static_cast<std::ptrdiff_t>(leaves));
  nodes_ = std::move(nodes);
  leaves_ = leaves;
  for (std::size_t node = leaves_ - 1; node > 0; --node)
    Combine(node);
}

void FreeCapacityTree::Combine(std::size_t node) noexcept {
  const FreeCapacity& left = nodes_[2 * node];
  const FreeCapacity& right = nodes_[2 * node + 1];
  nodes_[node] = {std::max(left.slots, right.slots),
                  {std::max(left.free.cpu_millis, right.free.cpu_millis),
                   std::max(left.free.memory_mb, right.free.memory_mb),
                   std::max(left.free.accelerators, right.free.accelerators)}};
}

std::size_t FreeCapacityTree::Find(std::size_t from,
                                   const Resources& demand) const noexcept {
  if (from >= size_)
    return kNone;
  return FindIn(1, 0, leaves_, from, demand);
}

// The depth is the logarithm of the number of leaves.
// NOLINTNEXTLINE(misc-no-recursion)
std::size_t FreeCapacityTree::FindIn(std::size_t node,
                                     std::size_t low,
                                     std::size_t width,
                                     std::size_t from,
                                     const Resources& demand) const noexcept {
  if (low + width <= from || !nodes_[node].Holds(demand))
    return kNone;
  if (width == 1)
    return low;
  const std::size_t left = FindIn(2 * node, low, width / 2, from, demand);
  if (left != kNone)
    return left;
  return FindIn(2 * node + 1, low + width / 2, width / 2, from, demand);
}

}  // namespace boragewinch
