// The critical path and the objective of a job.

#include <algorithm>
#include <array>

#include "scheduler/task_planner.h"

namespace boragewinch::scheduler {

namespace {

/// Assumed duration of a task without an estimate.
constexpr Millis kDefaultEstimate{1'000};

[[nodiscard]] Millis EstimateOf(const jobs::StepSpec& step) {
  return step.estimate.count() > 0 ? step.estimate : kDefaultEstimate;
}

[[nodiscard]] Millis DurationOf(const jobs::StepSpec& step,
                                const QueueName& queue,
                                const ExpectedDuration& expected) {
  return expected ? expected(queue, EstimateOf(step)) : EstimateOf(step);
}

/// \returns the critical path over the steps for which `included` is true.
template <typename Counts>
[[nodiscard]] Millis CriticalPath(const jobs::JobSpec& spec,
                                  const QueueName& queue,
                                  const ExpectedDuration& expected,
                                  const Counts& included) {
  std::array<Millis, jobs::kMaxSteps> ends;
  Millis longest{0};
  for (std::size_t s = 0; s < spec.steps.size(); ++s) {
    Millis begin{0};
    for (const std::uint32_t earlier : spec.steps[s].depends_on)
      begin = std::max(begin, ends[earlier]);
    ends.at(s) =
        begin +
        (included(s) ? DurationOf(spec.steps[s], queue, expected) : Millis(0));
    longest = std::max(longest, ends.at(s));
  }
  return longest;
}

}  // namespace

Millis RemainingCriticalPath(const jobs::Job& job,
                             const jobs::Occurrence& occurrence,
                             const ExpectedDuration& expected) {
  return CriticalPath(*job.spec, job.queue, expected, [&](std::size_t s) {
    return !occurrence.steps[s].complete();
  });
}

Millis CriticalPathOf(const jobs::JobSpec& spec,
                      const QueueName& queue,
                      const ExpectedDuration& expected) {
  return CriticalPath(spec, queue, expected, [](std::size_t) { return true; });
}

jobs::UnixMillis ObjectiveOf(const jobs::Job& job,
                             const jobs::QueueConfig& queue,
                             jobs::UnixMillis from,
                             const ExpectedDuration& expected) {
  const Millis longest = CriticalPathOf(*job.spec, job.queue, expected);
  return from +
         static_cast<jobs::UnixMillis>(queue.stretch *
                                       static_cast<double>(longest.count())) +
         queue.latency_target.count();
}

}  // namespace boragewinch::scheduler
