#include "overload/start_order.h"

#include <algorithm>
#include <tuple>

namespace boragewinch::overload {

namespace {

/// Part of its expected duration in which a job may end: durations vary by a
/// factor of e^0.5 around the corrected estimates.
constexpr double kOptimism = 0.7;
/// Multiple of its fair share from which a customer yields to the others. Jobs
/// are large compared with the share of a small customer, so a lower one would
/// reorder the jobs of customers within their share.
constexpr double kShareTolerance = 2;

/// \returns the part of the whole demand from which a customer is over its
/// share, which is also reached by one of two customers.
[[nodiscard]] double ToleratedPart(double share) {
  return std::min(kShareTolerance * share, (1 + share) / 2);
}

}  // namespace

Urgency UrgencyOf(const JobTimes& times,
                  double margin,
                  bool over_share,
                  jobs::UnixMillis now) {
  const auto needed = static_cast<jobs::UnixMillis>(
      margin * static_cast<double>(times.path.count()));
  if (now + needed <= times.objective)
    return over_share ? Urgency::kOverShare : Urgency::kOnTime;
  const auto at_best = static_cast<jobs::UnixMillis>(
      kOptimism * static_cast<double>(times.path.count()));
  if (now + at_best <= times.objective)
    return Urgency::kDoubtful;
  // Nothing is given up that a rough estimate only makes seem useless.
  return now < times.useful_until() ? Urgency::kLate : Urgency::kTooLate;
}

bool StartsBefore(const WaitingJob& a, const WaitingJob& b) {
  const auto key = [](const WaitingJob& job) {
    return std::tuple(!job.has_long_running, job.priority, job.urgency,
                      !IsLate(job.urgency) && !job.begun,
                      job.urgency == Urgency::kLate ? job.times.useful_until()
                                                    : job.times.objective);
  };
  const auto key_a = key(a);
  const auto key_b = key(b);
  return key_a != key_b ? key_a < key_b : *a.id < *b.id;
}

std::set<CustomerName> CustomersOverShare(
    const std::map<CustomerName, CustomerUse>& customers) {
  double use = 0;
  double weight = 0;
  for (const auto& [name, customer] : customers) {
    use += static_cast<double>(customer.cpu_millis);
    weight += static_cast<double>(std::max<std::int64_t>(1, customer.weight));
  }
  std::set<CustomerName> over;
  for (const auto& [name, customer] : customers) {
    const double share =
        static_cast<double>(std::max<std::int64_t>(1, customer.weight)) /
        weight;
    if (static_cast<double>(customer.cpu_millis) > ToleratedPart(share) * use)
      over.insert(name);
  }
  return over;
}

}  // namespace boragewinch::overload
