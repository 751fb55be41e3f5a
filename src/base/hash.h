#ifndef BORAGEWINCH_BASE_HASH_H_
#define BORAGEWINCH_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace boragewinch {

/// \returns the xxHash64 of `bytes`.
[[nodiscard]] std::uint64_t Hash64(std::string_view bytes) noexcept;

/// \returns `value` as 16 lower-case hexadecimal digits.
[[nodiscard]] std::string Hex64(std::uint64_t value);

/// \returns 16 random hexadecimal digits from the system's random generator.
[[nodiscard]] std::string RandomHex64();

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_HASH_H_
