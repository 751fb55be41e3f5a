#include "policy/customer_backlog.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <vector>

namespace boragewinch {

namespace {

// A size class spans a factor of two in each resource.
[[nodiscard]] std::uint32_t SizeClassOf(const Resources& demand) noexcept {
  const auto width = [](std::int64_t amount, std::int64_t unit) {
    return static_cast<std::uint32_t>(
        std::bit_width(static_cast<std::uint64_t>(amount / unit)));
  };
  return width(demand.cpu_millis, 250) << 16 |
         width(demand.memory_mb, 256) << 8 | width(demand.accelerators, 1);
}

}  // namespace

void CustomerBacklog::Add(const PendingJob& job, std::uint64_t sequence) {
  classes_[SizeClassOf(job.demand)].jobs.emplace(Order(job.enqueued, sequence),
                                                 &job);
  ++size_;
}

void CustomerBacklog::Remove(const PendingJob& job, std::uint64_t sequence) {
  const auto found = classes_.find(SizeClassOf(job.demand));
  if (found == classes_.end())
    return;
  size_ -= found->second.jobs.erase(Order(job.enqueued, sequence));
  if (found->second.jobs.empty())
    classes_.erase(found);
}

const PendingJob* CustomerBacklog::Find(
    std::size_t& attempts,
    const std::function<bool(const PendingJob&)>& startable) {
  ++finds_;
  // Oldest job first. Classes whose oldest job was not startable come last, the
  // most recently tried at the end, so that every class is tried in turn.
  std::vector<SizeClass*> order;
  order.reserve(classes_.size());
  for (auto& [key, size_class] : classes_)
    order.push_back(&size_class);
  std::sort(order.begin(), order.end(),
            [](const SizeClass* a, const SizeClass* b) {
              return std::pair(a->last_failed_find, a->jobs.begin()->first) <
                     std::pair(b->last_failed_find, b->jobs.begin()->first);
            });
  for (SizeClass* size_class : order) {
    if (attempts == 0)
      return nullptr;
    auto& jobs = size_class->jobs;
    --attempts;
    if (startable(*jobs.begin()->second)) {
      size_class->last_failed_find = 0;
      return jobs.begin()->second;
    }
    size_class->last_failed_find = finds_;
  }
  for (bool more = true; more;) {
    more = false;
    for (SizeClass* size_class : order) {
      if (attempts == 0)
        return nullptr;
      auto& jobs = size_class->jobs;
      const auto next = jobs.upper_bound(
          std::max(size_class->passed_over, jobs.begin()->first));
      if (next == jobs.end()) {
        size_class->passed_over = Order();
        continue;
      }
      more = true;
      --attempts;
      if (startable(*next->second))
        return next->second;
      size_class->passed_over = next->first;
    }
  }
  return nullptr;
}

void CustomerBacklog::Charge(double cost, Millis window, TimePoint now) {
  // usage(t) = sum of cost * exp((start - t) / window). The factor
  // exp(-t / window) is omitted, since it is the same for all customers.
  const double added =
      std::log(std::max(cost, 1e-12)) +
      static_cast<double>(ToMillis(now)) / static_cast<double>(window.count());
  const double high = std::max(added, log_usage_);
  const double low = std::min(added, log_usage_);
  log_usage_ = high + std::log1p(std::exp(low - high));
}

}  // namespace boragewinch
