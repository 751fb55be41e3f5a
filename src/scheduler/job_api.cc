#include "scheduler/job_api.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

namespace {

/// An election takes about 1 s.
constexpr Millis kNotReadyRetryAfter{1'000};
/// Limit on unfinished jobs, which every replica keeps in memory at about 4 KB
/// each.
constexpr std::size_t kMaxActiveJobs = 8'000;
constexpr Millis kOverloadedRetryAfter{2'000};
constexpr std::size_t kJobIdDigits = 16;

[[nodiscard]] bool IsJobId(const std::string& text) {
  return text.size() == kJobIdDigits &&
         text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

// Long-running tasks are planned first, and repeated jobs start at their due
// time, so admission control does not apply to them.
[[nodiscard]] bool SubjectToAdmissionControl(const jobs::JobSpec& spec) {
  return spec.repeats == 0 && std::none_of(spec.steps.begin(), spec.steps.end(),
                                           [](const jobs::StepSpec& step) {
                                             return step.long_running;
                                           });
}

/// \returns the status of a submission that was not stored for this reason.
[[nodiscard]] JobApiStatus StatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNotLeader:
      return JobApiStatus::kNotReady;
    case ErrorCode::kUnavailable:
      return JobApiStatus::kUnknown;
    default:
      return JobApiStatus::kInvalid;
  }
}

}  // namespace

JobApi::RequestTarget JobApi::Resolve(const CallerAddress& caller,
                                      TimePoint now) const {
  if (replica_.HasLeaderLease(now))
    return FindTarget(caller);
  RequestTarget target;
  target.status = JobApiStatus::kNotReady;
  return target;
}

JobApi::RequestTarget JobApi::FindTarget(const CallerAddress& caller) const {
  RequestTarget target;
  const jobs::FleetConfig& config = replica_.ledger().config();
  if (config.version == 0) {
    target.status = JobApiStatus::kNotReady;
    return target;
  }
  target.queue = config.FindQueue(caller.virtual_host, caller.path);
  if (target.queue == nullptr) {
    target.status = JobApiStatus::kNoQueue;
    return target;
  }
  if (const jobs::CustomerConfig* customer = config.FindCustomer(caller.key)) {
    target.customer = customer->name;
  } else if (!target.queue->open_to_all) {
    target.status = JobApiStatus::kUnauthorized;
    return target;
  }
  target.job_id = caller.path.substr(target.queue->path_prefix.size());
  return target;
}

const jobs::Job* JobApi::FindOwnedJob(const RequestTarget& target) const {
  const jobs::Job* job = replica_.ledger().FindJob(jobs::JobId(target.job_id));
  return job != nullptr && IsOwner(target, *job) ? job : nullptr;
}

// A job outlives its queue: a later configuration may give the queue another
// name, and the customer still asks for the job.
bool JobApi::IsOwner(const RequestTarget& target, const jobs::Job& job) const {
  const bool same_customer = job.customer == target.customer;
  if (job.queue == target.queue->name)
    return same_customer || target.queue->open_to_all;
  return same_customer &&
         replica_.ledger().config().FindQueue(job.queue) == nullptr;
}

overload::Arrival JobApi::ArrivalOf(const RequestTarget& target,
                                    const jobs::JobSpec& spec) const {
  overload::Arrival arrival;
  arrival.pool = target.queue->pool;
  arrival.customer = target.customer;
  arrival.priority = target.queue->priority;
  for (const jobs::StepSpec& step : spec.steps)
    arrival.tasks += step.tasks;
  arrival.path = CriticalPathOf(spec, target.queue->name, expected_duration_);
  arrival.allowed =
      target.queue->latency_target +
      Millis(static_cast<std::int64_t>(
          target.queue->stretch * static_cast<double>(arrival.path.count())));
  return arrival;
}

std::optional<Millis> JobApi::RejectionOf(const RequestTarget& target,
                                          const jobs::JobSpec& spec,
                                          TimePoint now) {
  const jobs::JobLedger& ledger = replica_.ledger();
  if (ledger.active().size() >= kMaxActiveJobs)
    return kOverloadedRetryAfter;
  if (!SubjectToAdmissionControl(spec))
    return std::nullopt;
  const QueueName& queue = target.queue->name;
  const bool within_backlog =
      admission_.Admits(queue, ledger.LoadOf(queue), now);
  if (rule_ == AdmissionRule::kBacklog) {
    return within_backlog ? std::nullopt : std::optional(kOverloadedRetryAfter);
  }
  const overload::Arrival arrival = ArrivalOf(target, spec);
  const overload::AdmissionDecision decision = least_loss_.Decide(arrival, now);
  // Beyond the limit of the backlog, jobs that meet their objective are spared.
  const bool on_time = decision.measured &&
                       decision.verdict == overload::AdmissionVerdict::kAccept;
  const bool over_backlog = !within_backlog && !on_time;
  const std::string verdict(
      over_backlog && !decision.rejected()
          ? "backlog"
          : overload::kAdmissionVerdicts.Name(decision.verdict));
  metrics_.Count("admission", {target.customer.str(), verdict});
  if (!decision.rejected() && !over_backlog) {
    least_loss_.OnAccepted(arrival, decision.verdict);
    return std::nullopt;
  }
  const Millis retry_after =
      decision.measured ? decision.retry_after : kOverloadedRetryAfter;
  LogEvent(EventId::kJobRejected,
           {{"job", target.job_id},
            {"queue", target.queue->name.str()},
            {"customer", target.customer.str()},
            {"reason", verdict},
            {"wait_ms", static_cast<long>(decision.wait.count())},
            {"allowed_ms", static_cast<long>(arrival.allowed.count())},
            {"retry_ms", static_cast<long>(retry_after.count())}});
  return retry_after;
}

void JobApi::SendResponse(Call call,
                          const RequestTarget& target,
                          const JobApiResponse& response,
                          const Done& done) {
  const std::string queue =
      target.queue != nullptr ? target.queue->name.str() : "";
  const std::string name(kCalls.Name(call));
  metrics_.Count("desk_" + name, {target.customer.str(), queue});
  const bool rejected = response.status != JobApiStatus::kDone;
  const std::string status(kJobApiStatuses.Name(response.status));
  if (rejected)
    metrics_.Count("desk_refused", {target.customer.str(), status});
  // State requests are not logged: callers poll a job several times a second.
  if (rejected || call != Call::kState) {
    LogEvent(EventId::kJobApiResponded,
             {{"call", name},
              {"job", target.job_id},
              {"queue", queue},
              {"customer", target.customer.str()},
              {"verdict", status},
              {"state", std::string(jobs::kJobStates.Name(response.state))},
              {"rules", static_cast<long>(replica_.ledger().config().version)},
              {"term", replica_.term()}});
  }
  done(response);
}

void JobApi::Submit(const CallerAddress& caller,
                    const Result<jobs::JobSpec>& spec,
                    TimePoint now,
                    const Done& done) {
  const RequestTarget target = Resolve(caller, now);
  JobApiResponse response;
  response.status = target.status;
  response.retry_after = kNotReadyRetryAfter;
  if (target.status == JobApiStatus::kDone) {
    const jobs::JobId id(target.job_id);
    if (const jobs::Job* job = replica_.ledger().FindJob(id); job != nullptr) {
      if (!IsOwner(target, *job))
        response.status = JobApiStatus::kInvalid;
      SendResponse(Call::kSubmit, target, response, done);
      return;
    }
    // An earlier attempt that is being stored decides: a rejection of this one
    // would say that the job does not run.
    if (!spec || !IsJobId(target.job_id)) {
      response.status = JobApiStatus::kInvalid;
    } else if (!replica_.IsSubmissionPending(id)) {
      if (const auto retry = RejectionOf(target, spec.value(), now)) {
        response.status = JobApiStatus::kOverloaded;
        response.retry_after = *retry;
      }
    }
  }
  if (response.status != JobApiStatus::kDone) {
    SendResponse(Call::kSubmit, target, response, done);
    return;
  }
  jobs::Batch change;
  change.submissions.push_back(
      {jobs::JobId(target.job_id), target.queue->name, target.customer,
       spec.value(), target.queue->virtual_host, target.queue->path_prefix});
  // Without the queue pointer: the configuration may change before the batch is
  // stored.
  const RequestTarget logged_target{target.status, nullptr, target.customer,
                                    target.job_id};
  replica_.Submit(change, [this, logged_target, response,
                           done](const Status& stored) mutable {
    if (!stored) {
      response.status = StatusOf(stored.error().code);
    } else if (replica_.ledger().FindJob(jobs::JobId(logged_target.job_id)) ==
               nullptr) {
      // A configuration that was stored first has removed the queue.
      response.status = JobApiStatus::kNoQueue;
    }
    SendResponse(Call::kSubmit, logged_target, response, done);
  });
}

void JobApi::State(const CallerAddress& caller,
                   TimePoint now,
                   const Done& done) {
  const RequestTarget target = Resolve(caller, now);
  JobApiResponse response;
  response.status = target.status;
  response.retry_after = kNotReadyRetryAfter;
  if (target.status == JobApiStatus::kDone) {
    if (target.job_id.empty()) {
      response.counts = true;
      response.queued = replica_.ledger().QueuedOf(target.queue->name);
    } else if (const jobs::Job* job = FindOwnedJob(target)) {
      response.state = job->state;
    } else {
      response.status = JobApiStatus::kNoJob;
    }
  }
  SendResponse(Call::kState, target, response, done);
}

std::optional<JobApiResponse> JobApi::StateAtFollower(
    const CallerAddress& caller,
    TimePoint now) {
  if (!replica_.Follows(now))
    return std::nullopt;
  const RequestTarget target = FindTarget(caller);
  if (target.status != JobApiStatus::kDone || target.job_id.empty())
    return std::nullopt;
  const jobs::Job* job = FindOwnedJob(target);
  if (job == nullptr)
    return std::nullopt;
  JobApiResponse response;
  response.state = job->state;
  metrics_.Count("follower_reads",
                 {target.customer.str(), target.queue->name.str()});
  return response;
}

void JobApi::Cancel(const CallerAddress& caller,
                    TimePoint now,
                    const Done& done) {
  const RequestTarget target = Resolve(caller, now);
  JobApiResponse response;
  response.status = target.status;
  response.retry_after = kNotReadyRetryAfter;
  const jobs::Job* job =
      target.status == JobApiStatus::kDone ? FindOwnedJob(target) : nullptr;
  if (target.status == JobApiStatus::kDone && job == nullptr) {
    // A job that is being stored may run, so it can't be reported as unknown.
    if (replica_.IsSubmissionPending(jobs::JobId(target.job_id))) {
      response.status = JobApiStatus::kNotReady;
    } else if (IsJobId(target.job_id) && replica_.ledger().FindJob(jobs::JobId(
                                             target.job_id)) == nullptr) {
      CancelUnseen(target, done);
      return;
    } else {
      response.status = JobApiStatus::kNoJob;
    }
  }
  if (job == nullptr || job->final()) {
    SendResponse(Call::kCancel, target, response, done);
    return;
  }
  const RequestTarget logged_target{target.status, nullptr, target.customer,
                                    target.job_id};
  jobs::Batch change;
  change.cancels.push_back(job->id);
  replica_.Submit(change, [this, logged_target, response,
                           done](const Status& stored) mutable {
    if (!stored)
      response.status = JobApiStatus::kUnknown;
    SendResponse(Call::kCancel, logged_target, response, done);
  });
}

// A copy of the submission may arrive later, for example from a gateway that
// was frozen. The caller is told that the job is unknown only once it is
// certain that such a copy does not start it.
void JobApi::CancelUnseen(const RequestTarget& target, const Done& done) {
  const jobs::UnseenCancel cancel{jobs::JobId(target.job_id),
                                  target.queue->virtual_host,
                                  target.queue->path_prefix, target.customer};
  JobApiResponse response;
  response.status = JobApiStatus::kNoJob;
  response.retry_after = kNotReadyRetryAfter;
  if (replica_.ledger().IsCancelledUnseen(cancel)) {
    SendResponse(Call::kCancel, target, response, done);
    return;
  }
  const RequestTarget logged_target{target.status, nullptr, target.customer,
                                    target.job_id};
  jobs::Batch change;
  change.unseen_cancels.push_back(cancel);
  replica_.Submit(change, [this, cancel, logged_target, response,
                           done](const Status& stored) mutable {
    const jobs::JobLedger& ledger = replica_.ledger();
    if (!stored) {
      response.status = StatusOf(stored.error().code);
    } else if (const jobs::Job* job = ledger.FindJob(cancel.id);
               job != nullptr) {
      // Its submission was stored first.
      response.status = job->customer == cancel.customer ? JobApiStatus::kDone
                                                         : JobApiStatus::kNoJob;
    } else if (!ledger.IsCancelledUnseen(cancel)) {
      LogEvent(EventId::kBoundReached, {{"bound", "cancelled_unseen"}});
      response.status = JobApiStatus::kNotReady;
    }
    SendResponse(Call::kCancel, logged_target, response, done);
  });
}

}  // namespace boragewinch::scheduler
