#ifndef BORAGEWINCH_BASE_STRONG_ID_H_
#define BORAGEWINCH_BASE_STRONG_ID_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace boragewinch {

/// \brief A string identifier; different `Tag` types can't be mixed up.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  [[nodiscard]] const std::string& str() const noexcept { return value_; }
  [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

  // clang-tidy 14 mistakes the generated comparison with 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StrongId&, const StrongId&) = default;
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

using TeamName = StrongId<struct TeamTag>;
using PoolName = StrongId<struct PoolTag>;
using QueueName = StrongId<struct QueueTag>;
using HostName = StrongId<struct HostTag>;
using EntryName = StrongId<struct EntryTag>;
using ZoneName = StrongId<struct ZoneTag>;
using RackName = StrongId<struct RackTag>;
using CustomerName = StrongId<struct CustomerTag>;
using KeyId = StrongId<struct KeyTag>;
using RequestId = StrongId<struct RequestTag>;
using OperationId = StrongId<struct OperationTag>;
/// Random hexadecimal number that a process generates at its start.
using Incarnation = StrongId<struct IncarnationTag>;

}  // namespace boragewinch

template <typename Tag>
struct std::hash<boragewinch::StrongId<Tag>> {
  std::size_t operator()(const boragewinch::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.str());
  }
};

#endif  // BORAGEWINCH_BASE_STRONG_ID_H_
