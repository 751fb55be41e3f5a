#ifndef BORAGEWINCH_TESTS_RANDOM_SEEDS_H_
#define BORAGEWINCH_TESTS_RANDOM_SEEDS_H_

#include <cstdint>
#include <cstdlib>

namespace boragewinch {

/// \returns the number in the environment variable `name`, or `fallback`. Long
/// runs of random tests set their count and first seed with it.
[[nodiscard]] inline std::uint64_t FromEnvironment(const char* name,
                                                   std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

}  // namespace boragewinch

#endif  // BORAGEWINCH_TESTS_RANDOM_SEEDS_H_
