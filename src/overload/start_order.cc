#include "overload/start_order.h"

#include <algorithm>
#include <tuple>

namespace boragewinch::overload {

namespace {

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

Urgency UrgencyOf(jobs::UnixMillis objective,
                  Millis path,
                  double margin,
                  bool over_share,
                  jobs::UnixMillis now) {
  const auto needed =
      static_cast<jobs::UnixMillis>(margin * static_cast<double>(path.count()));
  if (now + needed > objective)
    return Urgency::kLate;
  return over_share ? Urgency::kOverShare : Urgency::kOnTime;
}

bool StartsBefore(const WaitingJob& a, const WaitingJob& b) {
  const auto key = [](const WaitingJob& job) {
    return std::tuple(!job.has_long_running, job.priority, job.urgency,
                      job.urgency != Urgency::kLate && !job.begun);
  };
  const auto key_a = key(a);
  const auto key_b = key(b);
  if (key_a != key_b)
    return key_a < key_b;
  if (a.objective != b.objective) {
    return a.urgency == Urgency::kLate ? a.objective > b.objective
                                       : a.objective < b.objective;
  }
  return *a.id < *b.id;
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
