#include "base/build_info.h"

namespace boragewinch {

std::string BuildText(const BuildInfo& build) {
  std::string text(build.version);
  text.append(" revision ").append(build.revision);
  if (!build.commit.empty())
    text.append(" commit ").append(build.commit);
  return text;
}

}  // namespace boragewinch
