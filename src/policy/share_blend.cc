#include "policy/share_blend.h"

#include <algorithm>
#include <cmath>

namespace boragewinch {

namespace {

constexpr double kShareScale = 1'000'000;

[[nodiscard]] double SumOf(const TeamShares& shares) {
  double sum = 0;
  for (const auto& [name, share] : shares)
    sum += static_cast<double>(share);
  return std::max(sum, 1.0);
}

}  // namespace

TeamShares SharesOf(const FleetView& view) {
  TeamShares shares;
  for (const auto& [name, team] : view.teams)
    shares[name] = team.share;
  return shares;
}

TeamShares BlendShares(const TeamShares& before,
                       const TeamShares& after,
                       Millis elapsed,
                       Millis duration) {
  const double done =
      duration <= Millis(0)
          ? 1.0
          : std::clamp(static_cast<double>(elapsed.count()) /
                           static_cast<double>(duration.count()),
                       0.0, 1.0);
  // Fractions of the total are interpolated, since the sheets may use different
  // units.
  std::map<TeamName, double> fractions;
  const double sum_before = SumOf(before);
  const double sum_after = SumOf(after);
  for (const auto& [name, share] : before)
    fractions[name] += (1 - done) * static_cast<double>(share) / sum_before;
  for (const auto& [name, share] : after)
    fractions[name] += done * static_cast<double>(share) / sum_after;
  TeamShares shares;
  for (const auto& [name, fraction] : fractions)
    shares[name] =
        std::max<std::int64_t>(1, std::llround(fraction * kShareScale));
  return shares;
}

void ShareBlend::Accept(const TeamShares& shares, TimePoint now) {
  if (shares == after_)
    return;
  before_ = after_.empty() ? shares : At(now);
  after_ = shares;
  since_ = now;
}

TeamShares ShareBlend::At(TimePoint now) const {
  if (before_ == after_ || now - since_ >= duration_)
    return after_;
  return BlendShares(before_, after_, now - since_, duration_);
}

}  // namespace boragewinch
