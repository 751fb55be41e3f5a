#ifndef BORAGEWINCH_BASE_SECRET_H_
#define BORAGEWINCH_BASE_SECRET_H_

#include <string>
#include <string_view>

namespace boragewinch {

/// \returns the BLAKE2b-256 hash of `secret` in hexadecimal. Secrets are
/// random 128-bit numbers, so a slow password hash is not needed.
[[nodiscard]] std::string HashSecret(std::string_view secret);

/// \returns whether `secret` hashes to `hash`, compared in constant time.
[[nodiscard]] bool SecretMatches(std::string_view secret,
                                 std::string_view hash);

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_SECRET_H_
