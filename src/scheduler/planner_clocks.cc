#include "scheduler/task_planner.h"

namespace boragewinch::scheduler {

namespace {

/// Time after its last plan for which the wait of a task is remembered. Plans
/// that have reached max_starts leave out the remaining tasks.
constexpr jobs::UnixMillis kWaitMemoryMillis = 10'000;

}  // namespace

bool ReservationClock::MayReserve(const PoolName& pool, jobs::UnixMillis now) {
  const auto [it, added] = began_.try_emplace(pool, now);
  jobs::UnixMillis& began = it->second;
  if (now < began || now - began >= max_reservation_ + pause_)
    began = now;
  return now - began < max_reservation_;
}

bool AvoidanceClock::MayWait(const jobs::TaskName& task,
                             std::uint32_t last_run,
                             jobs::UnixMillis now) {
  Wait& wait = waits_.try_emplace(task, Wait{last_run, now, now}).first->second;
  if (wait.last_run != last_run || now < wait.began)
    wait = Wait{last_run, now, now};
  wait.asked = now;
  return now - wait.began < max_avoidance_;
}

void AvoidanceClock::Prune(jobs::UnixMillis now) {
  std::erase_if(waits_, [now](const auto& item) {
    return now - item.second.asked > kWaitMemoryMillis;
  });
}

}  // namespace boragewinch::scheduler
