#include "overload/speculation.h"

#include <algorithm>
#include <cmath>

namespace boragewinch::overload {

namespace {

/// Share of the runs that take kSlowdown times as long as their task.
constexpr double kSlowShare = 0.03;
/// The same on a worker that is slow or does not respond. Not all tasks of such
/// a worker are affected, and some workers are suspected wrongly.
constexpr double kSlowShareOnSuspect = 0.3;
constexpr double kSlowdown = 7;
/// Shares of the runs that do not end by themselves, because their worker has
/// stalled. They only matter once a run has taken longer than a slow one.
constexpr double kStalledShare = 0.002;
constexpr double kStalledShareOnSuspect = 0.02;
/// Probability that the copy ends first from which it is expected to.
constexpr double kMinProbability = 0.5;
/// A copy ends later than its work by the time for its log entry, its start and
/// the list of its worker, and the end of the run may be known only that late.
constexpr Millis kOverhead{300};
/// Bounds of the spread. Fewer than some ten kinds of tasks in a queue can seem
/// to have none.
constexpr double kMinSpread = 0.1;
constexpr double kMaxSpread = 1.5;

/// \returns the probability that a standard normal variable exceeds `x`.
[[nodiscard]] double Exceeds(double x) {
  return std::erfc(x / std::sqrt(2.0)) / 2;
}

/// \returns the time that a copy of a slow run saves.
[[nodiscard]] double Saving(const RunningTask& task) {
  return CopyEndsFirst(task) * (kSlowdown - 1) *
         static_cast<double>(task.expected.count());
}

}  // namespace

bool MayHaveCopy(const jobs::StepSpec& spec,
                 const jobs::Task& task,
                 std::int64_t max_attempts) {
  return spec.speculative && !spec.gang && !spec.long_running &&
         !spec.best_effort && !task.done && task.failures == 0 &&
         task.runs.size() == 1 && task.runs.front().number == task.last_run &&
         max_attempts > 1;
}

// With the duration d of the task, relative to the expected one, a run that is
// not slow takes d and a slow one kSlowdown * d. The copy of a slow run ends
// first if elapsed + d < kSlowdown * d, that of a stalled one always, and that
// of any other run never.
double CopyEndsFirst(const RunningTask& task) {
  if (task.expected.count() <= 0 || task.elapsed < task.expected + kOverhead)
    return 0;
  const double elapsed = static_cast<double>(task.elapsed.count()) /
                         static_cast<double>(task.expected.count());
  // The overhead delays the copy and not the run.
  const double with_overhead =
      static_cast<double>((task.elapsed + kOverhead).count()) /
      static_cast<double>(task.expected.count());
  const double spread = std::clamp(task.spread, kMinSpread, kMaxSpread);
  const auto exceeds = [spread](double duration) {
    return Exceeds(std::log(duration) / spread);
  };
  const double share = task.worker_suspect ? kSlowShareOnSuspect : kSlowShare;
  const double slow = share * exceeds(elapsed / kSlowdown);
  const double stalled =
      task.worker_suspect ? kStalledShareOnSuspect : kStalledShare;
  const double usual = (1 - share - stalled) * exceeds(elapsed);
  const double first =
      share * exceeds(with_overhead / (kSlowdown - 1)) + stalled;
  return first / (slow + usual + stalled);
}

std::vector<std::size_t> TasksToCopy(const std::vector<RunningTask>& tasks) {
  std::vector<std::size_t> chosen;
  for (std::size_t i = 0; i < tasks.size(); ++i) {
    if (CopyEndsFirst(tasks[i]) >= kMinProbability)
      chosen.push_back(i);
  }
  std::stable_sort(chosen.begin(), chosen.end(),
                   [&tasks](std::size_t a, std::size_t b) {
                     return Saving(tasks[a]) > Saving(tasks[b]);
                   });
  return chosen;
}

void CopyBudget::AddCapacity(const PoolName& pool, const Resources& capacity) {
  pools_[pool].capacity += capacity;
}

void CopyBudget::AddCopy(const PoolName& pool, const Resources& request) {
  pools_[pool].used += request;
}

bool CopyBudget::Allows(const PoolName& pool, const Resources& request) const {
  const auto found = pools_.find(pool);
  if (found == pools_.end())
    return false;
  Resources used = found->second.used;
  used += request;
  const Resources& capacity = found->second.capacity;
  const auto within = [this](std::int64_t value, std::int64_t whole) {
    return static_cast<double>(value) <=
           max_share_ * static_cast<double>(whole);
  };
  return within(used.cpu_millis, capacity.cpu_millis) &&
         within(used.memory_mb, capacity.memory_mb) &&
         within(used.accelerators, capacity.accelerators);
}

}  // namespace boragewinch::overload
