#include "scheduler/job_desk.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

namespace {

/// An election takes about 1 s.
constexpr Millis kRetryNotReady{1'000};
/// Limit on unfinished jobs, which every replica keeps in memory at about 4 KB
/// each.
constexpr std::size_t kMaxActiveJobs = 8'000;
constexpr Millis kRetryOverloaded{2'000};
constexpr std::size_t kIdDigits = 16;

[[nodiscard]] bool IsJobId(const std::string& text) {
  return text.size() == kIdDigits &&
         text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

// Long-running tasks are planned first, and repeated jobs start at their due
// time, so admission control does not apply to them.
[[nodiscard]] bool WaitsForOthers(const jobs::JobSpec& spec) {
  return spec.repeats == 0 && std::none_of(spec.steps.begin(), spec.steps.end(),
                                           [](const jobs::StepSpec& step) {
                                             return step.long_running;
                                           });
}

}  // namespace

JobDesk::Place JobDesk::Locate(const CallerAddress& caller,
                               TimePoint now) const {
  Place place;
  const jobs::FleetRules& rules = replica_.ledger().rules();
  if (!replica_.MayAct(now) || rules.version == 0) {
    place.verdict = DeskVerdict::kNotReady;
    return place;
  }
  place.queue = rules.FindQueue(caller.virtual_host, caller.path);
  if (place.queue == nullptr) {
    place.verdict = DeskVerdict::kNoQueue;
    return place;
  }
  if (const jobs::CustomerRule* customer = rules.FindCustomer(caller.key)) {
    place.customer = customer->name;
  } else if (!place.queue->open_to_all) {
    place.verdict = DeskVerdict::kUnauthorized;
    return place;
  }
  place.rest = caller.path.substr(place.queue->path_prefix.size());
  return place;
}

const jobs::Job* JobDesk::FindOwn(const Place& place) const {
  const jobs::Job* job = replica_.ledger().FindJob(jobs::JobId(place.rest));
  const bool own =
      job != nullptr && job->queue == place.queue->name &&
      (place.queue->open_to_all || job->customer == place.customer);
  return own ? job : nullptr;
}

void JobDesk::Answer(Call call,
                     const Place& place,
                     const DeskAnswer& answer,
                     const Done& done) {
  const std::string queue =
      place.queue != nullptr ? place.queue->name.str() : "";
  const std::string name(kCalls.Name(call));
  metrics_.Count("desk_" + name, {place.customer.str(), queue});
  const bool refused = answer.verdict != DeskVerdict::kDone;
  const std::string verdict(kDeskVerdicts.Name(answer.verdict));
  if (refused)
    metrics_.Count("desk_refused", {place.customer.str(), verdict});
  // State requests are not logged: callers poll a job several times a second.
  if (refused || call != Call::kState) {
    LogEvent(EventId::kDeskAnswered,
             {{"call", name},
              {"job", place.rest},
              {"queue", queue},
              {"customer", place.customer.str()},
              {"verdict", verdict},
              {"state", std::string(jobs::kJobStates.Name(answer.state))},
              {"rules", static_cast<long>(replica_.ledger().rules().version)},
              {"term", replica_.term()}});
  }
  done(answer);
}

void JobDesk::Submit(const CallerAddress& caller,
                     const Result<jobs::JobSpec>& spec,
                     TimePoint now,
                     const Done& done) {
  const Place place = Locate(caller, now);
  DeskAnswer answer;
  answer.verdict = place.verdict;
  answer.retry_after = kRetryNotReady;
  if (place.verdict == DeskVerdict::kDone) {
    const bool known =
        replica_.ledger().FindJob(jobs::JobId(place.rest)) != nullptr;
    if (known) {
      Answer(Call::kSubmit, place, answer, done);
      return;
    }
    if (!spec || !IsJobId(place.rest)) {
      answer.verdict = DeskVerdict::kInvalid;
    } else if (replica_.ledger().active().size() >= kMaxActiveJobs ||
               (WaitsForOthers(spec.value()) &&
                !gate_.Admits(place.queue->name,
                              replica_.ledger().LoadOf(place.queue->name),
                              now))) {
      answer.verdict = DeskVerdict::kOverloaded;
      answer.retry_after = kRetryOverloaded;
    }
  }
  if (answer.verdict != DeskVerdict::kDone) {
    Answer(Call::kSubmit, place, answer, done);
    return;
  }
  jobs::Submission submission{jobs::JobId(place.rest), place.queue->name,
                              place.customer, spec.value()};
  // Without the queue pointer: the configuration may change before the batch is
  // stored.
  const Place logged{place.verdict, nullptr, place.customer, place.rest};
  replica_.Submit(
      [submission = std::move(submission)](jobs::Batch* batch) {
        batch->submissions.push_back(submission);
      },
      [this, logged, answer, done](const Status& stored) mutable {
        if (!stored) {
          answer.verdict = stored.error().code == ErrorCode::kNotLeader
                               ? DeskVerdict::kNotReady
                               : DeskVerdict::kUnknown;
        }
        Answer(Call::kSubmit, logged, answer, done);
      });
}

void JobDesk::State(const CallerAddress& caller,
                    TimePoint now,
                    const Done& done) {
  const Place place = Locate(caller, now);
  DeskAnswer answer;
  answer.verdict = place.verdict;
  answer.retry_after = kRetryNotReady;
  if (place.verdict == DeskVerdict::kDone) {
    if (place.rest.empty()) {
      answer.counts = true;
      answer.queued = replica_.ledger().QueuedOf(place.queue->name);
    } else if (const jobs::Job* job = FindOwn(place)) {
      answer.state = job->state;
    } else {
      answer.verdict = DeskVerdict::kNoJob;
    }
  }
  Answer(Call::kState, place, answer, done);
}

void JobDesk::Cancel(const CallerAddress& caller,
                     TimePoint now,
                     const Done& done) {
  const Place place = Locate(caller, now);
  DeskAnswer answer;
  answer.verdict = place.verdict;
  answer.retry_after = kRetryNotReady;
  const jobs::Job* job =
      place.verdict == DeskVerdict::kDone ? FindOwn(place) : nullptr;
  if (place.verdict == DeskVerdict::kDone && job == nullptr)
    answer.verdict = DeskVerdict::kNoJob;
  if (job == nullptr || job->final()) {
    Answer(Call::kCancel, place, answer, done);
    return;
  }
  const Place logged{place.verdict, nullptr, place.customer, place.rest};
  replica_.Submit(
      [id = job->id](jobs::Batch* batch) { batch->cancels.push_back(id); },
      [this, logged, answer, done](const Status& stored) mutable {
        if (!stored)
          answer.verdict = DeskVerdict::kUnknown;
        Answer(Call::kCancel, logged, answer, done);
      });
}

}  // namespace boragewinch::scheduler
