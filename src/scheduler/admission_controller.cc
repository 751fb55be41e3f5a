#include "scheduler/admission_controller.h"

namespace boragewinch::scheduler {

namespace {

/// Interval between samples of the number of ended tasks.
constexpr Millis kSampleInterval{250};
/// Minimum time over which the completion rate is measured; until then all jobs
/// are admitted.
constexpr Millis kMinWindow{1'000};

}  // namespace

bool AdmissionController::Admits(const QueueName& queue,
                                 const jobs::QueueLoad& load,
                                 TimePoint now) {
  std::deque<Sample>& samples = samples_[queue];
  // Cancelled tasks no longer count as accepted.
  const std::int64_t accepted = load.open_tasks + load.ended_tasks;
  // The count restarts at 0 when the ledger is restored from a snapshot.
  if (!samples.empty() && samples.back().ended > load.ended_tasks)
    samples.clear();
  while (samples.size() > 1 && now - samples[1].at >= options_.window)
    samples.pop_front();
  if (samples.empty() || now - samples.back().at >= kSampleInterval)
    samples.push_back({now, load.ended_tasks, accepted});
  if (load.open_tasks <= options_.burst_tasks)
    return true;
  const Millis span = now - samples.front().at;
  if (span < kMinWindow)
    return true;
  const std::int64_t ended = load.ended_tasks - samples.front().ended;
  // Both sides are in tasks times milliseconds.
  if (load.open_tasks * span.count() <= ended * options_.max_wait.count())
    return true;
  constexpr std::int64_t kPercent = 100;
  return (accepted - samples.front().accepted) * kPercent <
         ended * options_.overload_percent;
}

}  // namespace boragewinch::scheduler
