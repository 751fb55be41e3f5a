#ifndef BORAGEWINCH_SCHEDULER_JOB_DESK_H_
#define BORAGEWINCH_SCHEDULER_JOB_DESK_H_

#include <functional>
#include <optional>
#include <string>

#include "base/enum_table.h"
#include "base/metrics.h"
#include "base/time.h"
#include "jobs/job_types.h"
#include "scheduler/ledger_replica.h"
#include "scheduler/queue_gate.h"

namespace boragewinch::scheduler {

/// \brief Where a caller sent its request and with which key.
struct CallerAddress {
  std::string virtual_host;
  std::string path;
  std::string key;  ///< empty: none
};

enum class DeskVerdict {
  kDone,          ///< accepted, cancelled or answered
  kNotReady,      ///< no configuration or no confirmed leader; nothing was done
  kUnknown,       ///< the outcome is not known here; the same call may be sent
                  ///< again
  kNoQueue,       ///< no queue at that place
  kUnauthorized,  ///< no customer has the key
  kInvalid,       ///< the job cannot be read
  kNoJob,         ///< the queue has no such job
  kOverloaded,    ///< not accepted, and it will not run
};

inline constexpr EnumTable<DeskVerdict, 8> kDeskVerdicts{{{
    {DeskVerdict::kDone, "done"},
    {DeskVerdict::kNotReady, "not_ready"},
    {DeskVerdict::kUnknown, "unknown"},
    {DeskVerdict::kNoQueue, "no_queue"},
    {DeskVerdict::kUnauthorized, "unauthorized"},
    {DeskVerdict::kInvalid, "invalid"},
    {DeskVerdict::kNoJob, "no_job"},
    {DeskVerdict::kOverloaded, "overloaded"},
}}};

/// \brief Answer of the desk.
struct DeskAnswer {
  DeskVerdict verdict = DeskVerdict::kDone;
  jobs::JobState state = jobs::JobState::kQueued;  ///< of State
  bool counts = false;      ///< State was asked about a whole queue
  std::int64_t queued = 0;  ///< its jobs of which no task has started
  Millis retry_after{0};    ///< of refusals
};

/// \brief What callers may do: submit, ask, cancel, count. Each answer is
/// given by the confirmed leader from the state that all replicas share.
class JobDesk {
 public:
  using Done = std::function<void(DeskAnswer)>;

  JobDesk(LedgerReplica& replica, Metrics& metrics)
      : replica_(replica), metrics_(metrics) {}

  /// \brief Accepts a job. The answer kDone is given once the job is synced on
  /// a majority of replicas.
  void Submit(const CallerAddress& caller,
              const Result<jobs::JobSpec>& spec,
              TimePoint now,
              const Done& done);
  /// \brief Gives the state of a job, or for the place of a queue itself the
  /// number of its jobs that wait.
  void State(const CallerAddress& caller, TimePoint now, const Done& done);
  void Cancel(const CallerAddress& caller, TimePoint now, const Done& done);

 private:
  struct Place {
    DeskVerdict verdict = DeskVerdict::kDone;
    const jobs::QueueRule* queue = nullptr;
    CustomerName customer;
    std::string rest;  ///< of the path behind the queue's prefix
  };

  [[nodiscard]] Place Locate(const CallerAddress& caller, TimePoint now) const;
  [[nodiscard]] const jobs::Job* FindOwn(const Place& place) const;
  enum class Call { kSubmit, kState, kCancel };
  static constexpr EnumTable<Call, 3> kCalls{{{
      {Call::kSubmit, "submit"},
      {Call::kState, "state"},
      {Call::kCancel, "cancel"},
  }}};

  void Answer(Call call,
              const Place& place,
              const DeskAnswer& answer,
              const Done& done);

  LedgerReplica& replica_;
  Metrics& metrics_;
  QueueGate gate_{QueueGateOptions{}};
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_JOB_DESK_H_
