#ifndef BORAGEWINCH_SCHEDULER_ADVICE_CACHE_H_
#define BORAGEWINCH_SCHEDULER_ADVICE_CACHE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/job_ledger.h"
#include "scheduler/worker_calls.h"

namespace boragewinch::scheduler {

/// \brief Limits on calls to the advice service.
struct AdviceOptions {
  /// Workers per request; each one makes the response longer.
  std::size_t max_workers = 30;
  /// Time after which a step that still waits asks about further workers,
  /// whatever is known: those with a ticket may be too few for a gang, or be
  /// passed over for a reason that isn't known here.
  Millis patience{1'000};
  /// Requests in flight. The service processes one at a time for each host and
  /// rejects further ones when 32 are queued.
  std::size_t max_in_flight = 8;
  /// A ticket is renewed this long before it expires and not used in the last
  /// half of that time: a start has to be stored and sent first.
  Millis renewal_margin{400};
  Millis retry_delay{200};
};

/// \brief Caches the decisions of the advice service: on which workers the
/// tasks of a step may start, and the tickets for them. They are requested once
/// a step of a queue with QueueConfig::advised is ready.
///
/// The service may reject most workers of a pool, so a step that waits asks
/// about one group of workers after another until there is free capacity on a
/// worker with a ticket. The first request of each step goes before these.
class AdviceCache {
 public:
  struct Request {
    jobs::TaskName step;  ///< with index 0
    std::vector<jobs::WorkerId> workers;
  };
  using MayStart = std::function<bool(const jobs::WorkerIncarnation&)>;

  explicit AdviceCache(AdviceOptions options) : options_(options) {}

  /// \returns the requests to send now.
  [[nodiscard]] std::vector<Request> Decide(const jobs::JobLedger& ledger,
                                            const MayStart& may_start,
                                            TimePoint now);
  void OnResponse(const jobs::TaskName& step,
                  const Result<Advice>& advice,
                  TimePoint now);

  /// \returns the ticket for a task on a worker, if there is a valid one.
  [[nodiscard]] std::optional<std::string> TicketFor(
      const jobs::TaskName& task,
      const jobs::WorkerIncarnation& worker,
      TimePoint now) const;

 private:
  /// Decision for one incarnation of a worker: a ticket is valid for that one.
  struct Verdict {
    std::optional<std::string> ticket;  ///< nothing: the worker was rejected
    TimePoint valid_until;
  };
  struct Entry {
    std::map<jobs::WorkerIncarnation, Verdict> verdicts;
    std::vector<jobs::WorkerIncarnation> asked;  ///< in the request in flight
    std::optional<TimePoint> answered_at;
    TimePoint retry_at;
    bool in_flight = false;
  };
  /// A ready step of an advised queue with waiting tasks.
  struct WaitingStep {
    jobs::TaskName name;  ///< with index 0
    const jobs::StepSpec* spec = nullptr;
    const jobs::WorkerSet* workers = nullptr;
  };

  [[nodiscard]] std::vector<WaitingStep> WaitingSteps(
      const jobs::JobLedger& ledger) const;
  /// \returns the workers to ask about now, by their use for the step: none if
  /// the step should wait. Sets `entry->retry_at` in that case.
  [[nodiscard]] std::vector<jobs::WorkerIncarnation> WorkersToAsk(
      const WaitingStep& step,
      const MayStart& may_start,
      Entry* entry,
      TimePoint now) const;

  AdviceOptions options_;
  std::map<jobs::TaskName, Entry> entries_;  ///< by step (index 0)
  std::size_t in_flight_ = 0;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_ADVICE_CACHE_H_
