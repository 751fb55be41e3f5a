#include "base/secret.h"

#include <array>

#include <sodium.h>

namespace boragewinch {

std::string HashSecret(std::string_view secret) {
  std::array<unsigned char, crypto_generichash_BYTES> digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(secret.data()),
                     secret.size(), nullptr, 0);
  std::array<char, crypto_generichash_BYTES * 2 + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  return {hex.data()};
}

bool SecretMatches(std::string_view secret, std::string_view hash) {
  const std::string actual = HashSecret(secret);
  return actual.size() == hash.size() &&
         sodium_memcmp(actual.data(), hash.data(), hash.size()) == 0;
}

}  // namespace boragewinch
