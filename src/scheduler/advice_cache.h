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
  /// Requests in flight. The service processes one at a time for each host and
  /// rejects further ones when 32 are queued.
  std::size_t max_in_flight = 8;
  /// A ticket is renewed this long before it expires and not used in the last
  /// half of that time: a start has to be stored and sent first.
  Millis renewal_margin{400};
  Millis retry_delay{200};
};

/// \brief Caches the tickets of the advice service, which state on which
/// workers the tasks of a step may start. They are requested once a step of a
/// queue with QueueConfig::advised is ready, and renewed while tasks wait.
class AdviceCache {
 public:
  struct Request {
    jobs::TaskName step;  ///< with index 0
    std::vector<jobs::WorkerId> workers;
  };

  explicit AdviceCache(AdviceOptions options) : options_(options) {}

  /// \returns the requests to send now.
  [[nodiscard]] std::vector<Request> Decide(
      const jobs::JobLedger& ledger,
      const std::function<bool(const jobs::WorkerIncarnation&)>& may_start,
      TimePoint now);
  void OnResponse(const jobs::TaskName& step,
                  const Result<Advice>& advice,
                  TimePoint now);

  /// \returns the ticket for a task on a worker, if there is a valid one.
  [[nodiscard]] std::optional<std::string> TicketFor(
      const jobs::TaskName& task,
      const jobs::WorkerId& worker,
      TimePoint now) const;

 private:
  struct Entry {
    std::map<jobs::WorkerId, std::string> tickets;
    TimePoint valid_until;
    TimePoint retry_at;
    bool in_flight = false;
  };

  AdviceOptions options_;
  std::map<jobs::TaskName, Entry> entries_;  ///< by step (index 0)
  std::size_t in_flight_ = 0;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_ADVICE_CACHE_H_
