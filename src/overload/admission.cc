#include "overload/admission.h"

#include <algorithm>
#include <utility>

#include "overload/start_order.h"

namespace boragewinch::overload {

namespace {

/// Window over which the rate of starts is measured, and time for which a pool
/// is saturated before anything is rejected: a moved host is available after
/// some 2 s, and a new leader starts slowly.
constexpr Millis kWindow{2'000};
/// The forecast is rough: hosts may follow the load, and many tasks end earlier
/// than estimated. A job is certainly too late if it would be so at this
/// multiple of the measured rate.
constexpr double kCertainty = 2;
/// Callers come back when the backlog is expected to be done, within limits:
/// the forecast is rough, and a burst lasts some seconds.
constexpr Millis kMinRetryAfter{1'000};
constexpr Millis kMaxRetryAfter{10'000};

[[nodiscard]] Millis TimeFor(std::int64_t tasks, double per_second) {
  constexpr double kMillisPerSecond = 1'000;
  constexpr double kMaxMillis = 3'600'000;
  return Millis(static_cast<std::int64_t>(
      std::min(kMaxMillis, static_cast<double>(tasks) * kMillisPerSecond /
                               std::max(per_second, 1.0))));
}

}  // namespace

void Admission::OnPlan(std::map<PoolName, PoolBacklog> backlogs,
                       std::set<CustomerName> over_share,
                       TimePoint now) {
  over_share_ = std::move(over_share);
  std::erase_if(pools_, [&](const auto& item) {
    return backlogs.count(item.first) == 0;
  });
  for (auto& [name, backlog] : backlogs) {
    Pool& pool = pools_[name];
    if (!backlog.saturated) {
      pool.samples.clear();
      pool.backlog = std::move(backlog);
      continue;
    }
    pool.samples.push_back({now, backlog.starts});
    // The first sample is at least a window old.
    while (pool.samples.size() > 1 && now - pool.samples[1].at >= kWindow)
      pool.samples.pop_front();
    pool.backlog = std::move(backlog);
  }
}

std::optional<double> Admission::StartRate(const Pool& pool, TimePoint now) {
  if (pool.samples.empty())
    return std::nullopt;
  const Millis span = now - pool.samples.front().at;
  if (span < kWindow)
    return std::nullopt;
  // The starts of the first sample were made before the span.
  std::int64_t starts = 0;
  for (std::size_t i = 1; i < pool.samples.size(); ++i)
    starts += pool.samples[i].starts;
  constexpr double kMillisPerSecond = 1'000;
  return static_cast<double>(starts) * kMillisPerSecond /
         static_cast<double>(span.count());
}

AdmissionDecision Admission::Decide(const Arrival& arrival,
                                    TimePoint now) const {
  AdmissionDecision decision;
  const auto pool = pools_.find(arrival.pool);
  if (pool == pools_.end())
    return decision;
  const auto rate = StartRate(pool->second, now);
  if (!rate)
    return decision;
  decision.measured = true;
  std::int64_t on_time = 0;
  std::int64_t all = 0;
  for (const auto& [priority, waiting] : pool->second.backlog.by_priority) {
    if (priority > arrival.priority)
      break;
    on_time += waiting.on_time;
    all += waiting.on_time + waiting.late;
  }
  decision.wait = TimeFor(on_time, *rate);
  const Millis until_end = TimeFor(arrival.tasks, *rate) + arrival.path;
  const Millis wait_as_late = TimeFor(all, *rate);
  decision.retry_after =
      std::clamp(wait_as_late, kMinRetryAfter, kMaxRetryAfter);
  if (decision.wait + until_end <= arrival.allowed)
    return decision;
  decision.wait = wait_as_late;
  const Millis useful = kUsefulFactor * arrival.allowed;
  const bool over_share = over_share_.count(arrival.customer) > 0;
  if (TimeFor(all + arrival.tasks, kCertainty * *rate) + arrival.path > useful)
    decision.verdict = AdmissionVerdict::kTooLate;
  else if (over_share && wait_as_late + until_end > useful)
    decision.verdict = AdmissionVerdict::kOverShare;
  else
    decision.verdict = AdmissionVerdict::kAcceptLate;
  return decision;
}

void Admission::OnAccepted(const Arrival& arrival, AdmissionVerdict verdict) {
  const auto pool = pools_.find(arrival.pool);
  if (pool == pools_.end())
    return;
  WaitingTasks& waiting = pool->second.backlog.by_priority[arrival.priority];
  if (verdict == AdmissionVerdict::kAcceptLate)
    waiting.late += arrival.tasks;
  else
    waiting.on_time += arrival.tasks;
}

}  // namespace boragewinch::overload
