#ifndef BORAGEWINCH_TESTS_SIMULATED_WORKER_H_
#define BORAGEWINCH_TESTS_SIMULATED_WORKER_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "base/time.h"
#include "scheduler/worker_calls.h"

namespace boragewinch::scheduler {

/// \brief Model of a worker of the users' platform that crashes and starts
/// again under its id. It carries out each order in the life in which the order
/// arrives, whatever life it was sent to; a life knows nothing of those before.
class SimulatedWorker {
 public:
  struct Hooks {
    std::function<void(const jobs::RunName&, TimePoint)> on_started;
    std::function<void(const jobs::RunName&, jobs::RunEnd, TimePoint)> on_ended;
    /// An end was acknowledged, and no lease has expired since it.
    std::function<void(const jobs::RunName&, jobs::RunEnd, TimePoint)>
        on_acknowledged;
  };

  SimulatedWorker(jobs::WorkerIncarnation incarnation,
                  Hooks hooks,
                  TimePoint now)
      : incarnation_(std::move(incarnation)), hooks_(std::move(hooks)) {
    life_.started = now;
  }

  /// \brief Ends all runs without a trace. Orders are lost until Restart.
  void Crash() { up_ = false; }
  /// \brief Starts a worker under another id in its place.
  void Replace(const jobs::WorkerIncarnation& incarnation, TimePoint now) {
    incarnation_.id = incarnation.id;
    Restart(incarnation.start_time, now);
  }
  /// \brief Starts a new life under the same id.
  void Restart(jobs::UnixMillis start_time, TimePoint now) {
    incarnation_.start_time = start_time;
    life_ = Life{};
    life_.started = now;
    up_ = true;
  }

  [[nodiscard]] const jobs::WorkerIncarnation& incarnation() const {
    return incarnation_;
  }
  [[nodiscard]] bool up() const { return up_; }
  [[nodiscard]] bool Runs(const jobs::RunName& run) const {
    const auto found = life_.runs.find(run.task);
    return up_ && found != life_.runs.end() &&
           found->second.number == run.number;
  }

  [[nodiscard]] CallResponse Execute(const StartCall& call,
                                     Millis duration,
                                     TimePoint now) {
    Advance(now);
    if (!Accept(call.token))
      return {CallVerdict::kFenced, Clock(now)};
    const jobs::TaskName& task = call.run.task;
    const auto found = life_.runs.find(task);
    if (found != life_.runs.end() && found->second.number == call.run.number) {
      Extend(call.lease_until_ms, now);
      return {CallVerdict::kDone, Clock(now)};
    }
    if (found != life_.runs.end() || life_.floors[task] >= call.run.number) {
      Extend(call.lease_until_ms, now);
      return {CallVerdict::kStale, Clock(now)};
    }
    if (call.lease_until_ms <= Clock(now))
      return {CallVerdict::kLate, Clock(now)};
    Extend(call.lease_until_ms, now);
    life_.runs[task] = {call.run.number, now + duration};
    hooks_.on_started(call.run, now);
    return {CallVerdict::kDone, Clock(now)};
  }

  [[nodiscard]] CallResponse Execute(const StopCall& call, TimePoint now) {
    Advance(now);
    if (!Accept(call.token))
      return {CallVerdict::kFenced, Clock(now)};
    const auto found = life_.runs.find(call.run.task);
    if (found != life_.runs.end() && found->second.number <= call.run.number) {
      End({call.run.task, found->second.number}, jobs::RunEnd::kStopped, now);
    } else {
      std::uint32_t& floor = life_.floors[call.run.task];
      floor = std::max(floor, call.run.number);
    }
    return {CallVerdict::kDone, Clock(now)};
  }

  /// \param expected the incarnation that the call was sent to.
  [[nodiscard]] HoldResponse Execute(const HoldCall& call,
                                     const jobs::WorkerIncarnation& expected,
                                     TimePoint now) {
    Advance(now);
    HoldResponse response;
    if (!Accept(call.token)) {
      response.call = {CallVerdict::kFenced, Clock(now)};
      return response;
    }
    if (call.lease_until_ms)
      Extend(*call.lease_until_ms, now);
    while (!life_.ends.empty() &&
           life_.ends.front().end_sequence <= call.last_end_sequence) {
      const EndedRow end = life_.ends.front();
      life_.ends.pop_front();
      if (end.end_sequence > life_.last_end_before_expiry)
        hooks_.on_acknowledged(end.run, end.how, now);
    }
    response.call.clock_ms = Clock(now);
    if (expected != incarnation_)
      response.call.verdict = CallVerdict::kOtherIncarnation;
    for (const auto& [task, run] : life_.runs)
      response.running.push_back({{task, run.number}, "", 100});
    for (const EndedRow& end : life_.ends) {
      if (response.complete())
        response.ended.push_back(end);
    }
    return response;
  }

  /// \brief Ends the runs that are done, and all if the lease has expired.
  void Advance(TimePoint now) {
    const bool expired = life_.lease_until && now >= *life_.lease_until;
    std::map<jobs::RunName, TimePoint> over;
    for (const auto& [task, run] : life_.runs) {
      const bool is_done =
          run.done_at <= now && (!expired || run.done_at < *life_.lease_until);
      if (is_done)
        over[{task, run.number}] = run.done_at;
    }
    for (const auto& [run, at] : over)
      End(run, jobs::RunEnd::kDone, at);
    if (!expired)
      return;
    while (!life_.runs.empty()) {
      const auto& [task, run] = *life_.runs.begin();
      End({task, run.number}, jobs::RunEnd::kLeaseExpired, *life_.lease_until);
    }
    life_.last_end_before_expiry = life_.last_end;
    life_.lease_until.reset();
  }

 private:
  struct Run {
    std::uint32_t number = 0;
    TimePoint done_at;
  };
  struct Life {
    TimePoint started;
    std::uint64_t token = 0;
    std::optional<TimePoint> lease_until;
    std::map<jobs::TaskName, Run> runs;
    /// Highest run of each task that has ended or was stopped.
    std::map<jobs::TaskName, std::uint32_t> floors;
    std::deque<EndedRow> ends;
    std::int64_t last_end = 0;
    std::int64_t last_end_before_expiry = 0;
  };
  static constexpr Millis kMaxLease{10'000};

  [[nodiscard]] std::int64_t Clock(TimePoint now) const {
    return (now - life_.started).count();
  }
  [[nodiscard]] bool Accept(std::uint64_t token) {
    if (token < life_.token)
      return false;
    life_.token = token;
    return true;
  }
  void Extend(std::int64_t lease_until_ms, TimePoint now) {
    const TimePoint until =
        std::min(life_.started + Millis(lease_until_ms), now + kMaxLease);
    if (until > now)
      life_.lease_until = std::max(life_.lease_until.value_or(until), until);
  }
  void End(const jobs::RunName& run, jobs::RunEnd how, TimePoint now) {
    life_.runs.erase(run.task);
    std::uint32_t& floor = life_.floors[run.task];
    floor = std::max(floor, run.number);
    life_.ends.push_back({++life_.last_end, run, how, ""});
    hooks_.on_ended(run, how, now);
  }

  jobs::WorkerIncarnation incarnation_;
  Hooks hooks_;
  Life life_;
  bool up_ = true;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_TESTS_SIMULATED_WORKER_H_
