#include "base/hash.h"

#include <sodium.h>
#include <xxhash.h>

namespace boragewinch {

std::uint64_t Hash64(std::string_view bytes) noexcept {
  return XXH64(bytes.data(), bytes.size(), 0);
}

std::string Hex64(std::uint64_t value) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (int i = 15; i >= 0; --i, value >>= 4)
    text[i] = kDigits[value & 0xf];
  return text;
}

std::string RandomHex64() {
  std::uint64_t value = 0;
  randombytes_buf(&value, sizeof(value));
  return Hex64(value);
}

}  // namespace boragewinch
