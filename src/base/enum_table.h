#ifndef BORAGEWINCH_BASE_ENUM_TABLE_H_
#define BORAGEWINCH_BASE_ENUM_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace boragewinch {

/// \brief Names of enumeration values on the wire and in logs.
/// \tparam E enumeration type.
/// \tparam N number of entries.
template <typename E, std::size_t N>
struct EnumTable {
  std::array<std::pair<E, std::string_view>, N> entries;

  /// \returns the name of `value`, or "unknown" when it is not in the table.
  [[nodiscard]] constexpr std::string_view Name(E value) const noexcept {
    for (const auto& [entry, name] : entries) {
      if (entry == value)
        return name;
    }
    return "unknown";
  }

  /// \returns the value named `name`, or nothing.
  [[nodiscard]] constexpr std::optional<E> Parse(
      std::string_view name) const noexcept {
    for (const auto& [entry, text] : entries) {
      if (text == name)
        return entry;
    }
    return std::nullopt;
  }
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_ENUM_TABLE_H_
