#ifndef BORAGEWINCH_SCHEDULER_JOB_API_H_
#define BORAGEWINCH_SCHEDULER_JOB_API_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "base/enum_table.h"
#include "base/metrics.h"
#include "base/time.h"
#include "jobs/job_types.h"
#include "overload/admission.h"
#include "scheduler/admission_controller.h"
#include "scheduler/ledger_replica.h"
#include "scheduler/task_planner.h"

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

/// \brief How submissions are rejected under overload.
enum class AdmissionRule {
  kBacklog,    ///< AdmissionController: by the backlog of the queue
  kLeastLoss,  ///< overload::Admission: by what callers lose
};

inline constexpr EnumTable<AdmissionRule, 2> kAdmissionRules{{{
    {AdmissionRule::kBacklog, "backlog"},
    {AdmissionRule::kLeastLoss, "least-loss"},
}}};

/// \brief The callers' API: submits, queries and cancels jobs and counts queued
/// ones. Only a leader with a valid lease serves it, from the replicated state.
class JobApi {
 public:
  using Done = std::function<void(JobApiResponse)>;

  /// \param expected_duration for AdmissionRule::kLeastLoss.
  JobApi(LedgerReplica& replica,
         Metrics& metrics,
         AdmissionRule rule = AdmissionRule::kBacklog,
         ExpectedDuration expected_duration = nullptr)
      : replica_(replica),
        metrics_(metrics),
        rule_(rule),
        expected_duration_(std::move(expected_duration)) {}

  /// \brief Passes the result of a plan to admission control.
  void OnPlan(const TaskPlanner& planner, TimePoint now) {
    least_loss_.OnPlan(planner.backlogs(), planner.over_share(), now);
  }
  /// \brief Forgets what the plans of an earlier leadership have shown.
  void OnLeadership() { least_loss_ = overload::Admission(); }

  /// \brief Accepts a job. The response is kDone once the job is durable on a
  /// majority of replicas.
  void Submit(const CallerAddress& caller,
              const Result<jobs::JobSpec>& spec,
              TimePoint now,
              const Done& done);
  /// \brief Returns the state of a job or, for the path of a queue, the number
  /// of its queued jobs.
  void State(const CallerAddress& caller, TimePoint now, const Done& done);
  /// \returns the state of a job for a caller at a follower; empty if the
  /// leader has to respond: also to a call without a valid key or for an
  /// unknown job, which the leader may already know.
  [[nodiscard]] std::optional<JobApiResponse> StateAtFollower(
      const CallerAddress& caller,
      TimePoint now);
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

  /// \returns the target of a call at the leader.
  [[nodiscard]] RequestTarget Resolve(const CallerAddress& caller,
                                      TimePoint now) const;
  /// \returns the target of a call by the configuration of this replica.
  [[nodiscard]] RequestTarget FindTarget(const CallerAddress& caller) const;
  [[nodiscard]] const jobs::Job* FindOwnedJob(
      const RequestTarget& target) const;
  /// \returns whether the caller may ask for the job, cancel it and repeat its
  /// submission.
  [[nodiscard]] bool IsOwner(const RequestTarget& target,
                             const jobs::Job& job) const;
  /// \returns when the caller should retry if a new job of the queue is to be
  /// rejected for now.
  [[nodiscard]] std::optional<Millis> RejectionOf(const RequestTarget& target,
                                                  const jobs::JobSpec& spec,
                                                  TimePoint now);
  [[nodiscard]] overload::Arrival ArrivalOf(const RequestTarget& target,
                                            const jobs::JobSpec& spec) const;
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
  AdmissionRule rule_;
  ExpectedDuration expected_duration_;
  AdmissionController admission_{AdmissionControllerOptions{}};
  overload::Admission least_loss_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_JOB_API_H_
