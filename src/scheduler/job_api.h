#ifndef BORAGEWINCH_SCHEDULER_JOB_API_H_
#define BORAGEWINCH_SCHEDULER_JOB_API_H_

#include <functional>
#include <optional>
#include <string>

#include "base/enum_table.h"
#include "base/metrics.h"
#include "base/time.h"
#include "jobs/job_types.h"
#include "scheduler/admission_controller.h"
#include "scheduler/ledger_replica.h"

namespace boragewinch::scheduler {

/// \brief Host, path and API key of a caller's request.
struct CallerAddress {
  std::string virtual_host;
  std::string path;
  std::string key;  ///< empty: none
};

enum class JobApiStatus {
  kDone,          ///< success
  kNotReady,      ///< no configuration, no leader lease, or the job is still
                  ///< being stored; nothing was done
  kUnknown,       ///< the outcome is unknown; the caller may repeat the call
  kNoQueue,       ///< no queue matches host and path
  kUnauthorized,  ///< the queue requires a key and the given one is unknown
  kInvalid,       ///< malformed job or job id
  kNoJob,         ///< the queue has no such job
  kOverloaded,    ///< rejected; the job will not run
};

inline constexpr EnumTable<JobApiStatus, 8> kJobApiStatuses{{{
    {JobApiStatus::kDone, "done"},
    {JobApiStatus::kNotReady, "not_ready"},
    {JobApiStatus::kUnknown, "unknown"},
    {JobApiStatus::kNoQueue, "no_queue"},
    {JobApiStatus::kUnauthorized, "unauthorized"},
    {JobApiStatus::kInvalid, "invalid"},
    {JobApiStatus::kNoJob, "no_job"},
    {JobApiStatus::kOverloaded, "overloaded"},
}}};

/// \brief Response to a caller.
struct JobApiResponse {
  JobApiStatus status = JobApiStatus::kDone;
  jobs::JobState state = jobs::JobState::kQueued;  ///< for State
  bool counts = false;      ///< State was called for a queue: `queued` is set
  std::int64_t queued = 0;  ///< jobs of the queue without a started task
  Millis retry_after{0};    ///< for rejected requests
};

/// \brief The callers' API: submits, queries and cancels jobs and counts queued
/// ones. Only a leader with a valid lease serves it, from the replicated state.
class JobApi {
 public:
  using Done = std::function<void(JobApiResponse)>;

  JobApi(LedgerReplica& replica, Metrics& metrics)
      : replica_(replica), metrics_(metrics) {}

  /// \brief Accepts a job. The response is kDone once the job is durable on a
  /// majority of replicas.
  void Submit(const CallerAddress& caller,
              const Result<jobs::JobSpec>& spec,
              TimePoint now,
              const Done& done);
  /// \brief Returns the state of a job or, for the path of a queue, the number
  /// of its queued jobs.
  void State(const CallerAddress& caller, TimePoint now, const Done& done);
  /// \brief Cancels a job. A job that is not known is remembered for a while,
  /// so that a late copy of its submission does not start it: kNoJob says that
  /// nothing of it runs.
  void Cancel(const CallerAddress& caller, TimePoint now, const Done& done);

 private:
  struct RequestTarget {
    JobApiStatus status = JobApiStatus::kDone;
    const jobs::QueueConfig* queue = nullptr;
    CustomerName customer;
    std::string job_id;  ///< path after the queue's prefix; empty: the queue
  };

  [[nodiscard]] RequestTarget Resolve(const CallerAddress& caller,
                                      TimePoint now) const;
  [[nodiscard]] const jobs::Job* FindOwnedJob(
      const RequestTarget& target) const;
  /// \returns whether the caller may ask for the job, cancel it and repeat its
  /// submission.
  [[nodiscard]] bool IsOwner(const RequestTarget& target,
                             const jobs::Job& job) const;
  /// \returns whether a new job of the queue is to be rejected for now.
  [[nodiscard]] bool IsOverloaded(const QueueName& queue,
                                  const jobs::JobSpec& spec,
                                  TimePoint now);
  /// \brief Cancels a job that is not known.
  void CancelUnseen(const RequestTarget& target, const Done& done);
  enum class Call { kSubmit, kState, kCancel };
  static constexpr EnumTable<Call, 3> kCalls{{{
      {Call::kSubmit, "submit"},
      {Call::kState, "state"},
      {Call::kCancel, "cancel"},
  }}};

  void SendResponse(Call call,
                    const RequestTarget& target,
                    const JobApiResponse& response,
                    const Done& done);

  LedgerReplica& replica_;
  Metrics& metrics_;
  AdmissionController admission_{AdmissionControllerOptions{}};
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_JOB_API_H_
