#ifndef BORAGEWINCH_SCHEDULER_ADVICE_BOOK_H_
#define BORAGEWINCH_SCHEDULER_ADVICE_BOOK_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/job_ledger.h"
#include "scheduler/worker_calls.h"

namespace boragewinch::scheduler {

/// \brief Limits of the calls for advice.
struct AdviceOptions {
  /// Workers named in one question; each lengthens the answer.
  std::size_t workers = 30;
  /// Questions under way. The service answers one at a time for each host and
  /// refuses when 32 wait.
  std::size_t open = 8;
  /// A ticket is not used in this last part of its time: the order has to be
  /// stored and sent first.
  Millis margin{400};
  Millis retry_pause{200};
};

/// \brief Which workers may run the steps of queues with advice. Answers are
/// kept while they are valid; a step is asked about when its turn has come.
class AdviceBook {
 public:
  struct Question {
    jobs::TaskName step;  ///< index 0
    std::vector<jobs::WorkerId> workers;
  };

  explicit AdviceBook(AdviceOptions options) : options_(options) {}

  /// \returns the questions to ask now.
  [[nodiscard]] std::vector<Question> Decide(
      const jobs::JobLedger& ledger,
      const std::function<bool(const jobs::WorkerLife&)>& may_start,
      TimePoint now);
  void OnAnswer(const jobs::TaskName& step,
                const Result<Advice>& advice,
                TimePoint now);

  /// \returns the ticket for a task of the step, if there is a valid one.
  [[nodiscard]] std::optional<std::string> TicketFor(
      const jobs::TaskName& task,
      const jobs::WorkerId& worker,
      TimePoint now) const;

 private:
  struct Entry {
    std::map<jobs::WorkerId, std::string> tickets;
    TimePoint valid_until;
    TimePoint retry_at;
    bool open = false;
  };

  AdviceOptions options_;
  std::map<jobs::TaskName, Entry> entries_;  ///< by step, index 0
  std::size_t open_ = 0;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_ADVICE_BOOK_H_
