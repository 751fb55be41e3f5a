#ifndef BORAGEWINCH_POLICY_SHARE_BLEND_H_
#define BORAGEWINCH_POLICY_SHARE_BLEND_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"
#include "model/fleet_view.h"

namespace boragewinch {

using TeamShares = std::map<TeamName, std::int64_t>;

inline constexpr Millis kDefaultShareBlend{60'000};

/// \returns the shares of the teams of `view`.
[[nodiscard]] TeamShares SharesOf(const FleetView& view);

/// \brief Interpolates shares between two sheets.
/// \returns shares in millionths of the whole, linear in `elapsed` /
/// `duration`.
[[nodiscard]] TeamShares BlendShares(const TeamShares& before,
                                     const TeamShares& after,
                                     Millis elapsed,
                                     Millis duration);

/// \brief Changes shares gradually from one accepted version to the next, so
/// that a new sheet does not put a team far above its share at once.
class ShareBlend {
 public:
  explicit ShareBlend(Millis duration) noexcept : duration_(duration) {}

  /// \brief Sets the target shares. Equal shares are ignored; others start a
  /// new blend from the shares in effect at `now`, so that a second sheet
  /// within the duration causes no jump. The first shares take effect
  /// immediately, since a process that has just started knows no earlier ones.
  void Accept(const TeamShares& shares, TimePoint now);

  /// \returns the shares in effect at `now`. They depend only on `now` and the
  /// calls of Accept.
  [[nodiscard]] TeamShares At(TimePoint now) const;

 private:
  Millis duration_;
  TeamShares before_;
  TeamShares after_;
  TimePoint since_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_SHARE_BLEND_H_
