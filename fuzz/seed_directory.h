#ifndef BORAGEWINCH_FUZZ_SEED_DIRECTORY_H_
#define BORAGEWINCH_FUZZ_SEED_DIRECTORY_H_

#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace boragewinch {

/// \brief Writes valid inputs to the directory in FUZZ_SEED_FOLDER, if set.
/// Called in LLVMFuzzerInitialize, which libFuzzer runs before it reads the
/// same directory as its corpus.
inline void WriteSeeds(const std::vector<std::string>& seeds) {
  const char* directory = std::getenv("FUZZ_SEED_FOLDER");
  if (directory == nullptr)
    return;
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    std::ofstream file(std::string(directory) + "/seed-" + std::to_string(i),
                       std::ios::binary);
    file << seeds[i];
    if (!file.flush())
      std::abort();
  }
}

}  // namespace boragewinch

#endif  // BORAGEWINCH_FUZZ_SEED_DIRECTORY_H_
