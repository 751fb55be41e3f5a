#ifndef BORAGEWINCH_BASE_BUILD_INFO_H_
#define BORAGEWINCH_BASE_BUILD_INFO_H_

#include <string>
#include <string_view>

namespace boragewinch {

inline constexpr std::string_view kVersion = "0.1.0";

/// \brief Identity of the sources that a program was compiled from.
struct BuildInfo {
  std::string_view version;
  /// First 16 hex digits of the SHA-256 digest of the sources' paths and
  /// contents; the same on every machine for the same sources.
  std::string_view revision;
  /// Latest commit that changed the sources, with "+changes" if the work tree
  /// differed from it. Empty if there was no repository.
  std::string_view commit;
};

/// \returns the build of this program; scripts/record-sources.sh writes it.
[[nodiscard]] const BuildInfo& build_info() noexcept;

/// \returns "0.1.0 revision 0123456789abcdef commit 0123456789ab", without the
/// commit if it is unknown.
[[nodiscard]] std::string BuildText(const BuildInfo& build);

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_BUILD_INFO_H_
