#include "scheduler/worker_session.h"

#include <algorithm>
#include <set>
#include <utility>

#include "scheduler/replicated_time.h"

namespace boragewinch::scheduler {

namespace {

/// Workers' clocks may be 2% slow and this host's 1% fast.
constexpr int kLeaseDriftPercent = 4;
/// Covers rounding of the clocks and the time in which a worker ends runs whose
/// lease has expired.
constexpr Millis kExpiryMargin{250};
/// A start without a response is sent this many times before the run is
/// stopped: both are idempotent, and after a stop the worker rejects a late
/// start.
constexpr int kMaxStarts = 2;

/// Workers take less than this for a stop on any deployment.
constexpr Millis kMaxStopTime{1'000};
/// Time after which an accepted stop is repeated.
constexpr Millis kStopRepeatDelay = 2 * kMaxStopTime;
/// A start that is repeated instead of a stop is sent this many times: if none
/// gets a response, only a stop can settle the run. With lists between them,
/// that takes some 5 s.
constexpr int kMaxRepeatedStarts = 8;

/// Responses arrive within 2 s or not at all, so one whose clock is further
/// behind an earlier response is not from the same incarnation.
constexpr std::int64_t kMaxClockReorderMs = 5'000;

[[nodiscard]] Millis WithDrift(Millis lease) {
  return lease * (100 + kLeaseDriftPercent) / 100 + kExpiryMargin;
}

}  // namespace

Millis RespondingSettlingBound(const WorkerSessionOptions& options) {
  return options.hold_wait + options.hold_timeout + options.retry_delay +
         2 * (options.order_timeout + options.start_retry_delay) +
         options.hold_wait + kMaxStopTime;
}

Millis SettlingBound(const WorkerSessionOptions& options) {
  return RespondingSettlingBound(options) + options.max_late_order +
         WithDrift(options.max_lease);
}

std::optional<TimePoint> SuccessionTime(const jobs::Worker& worker,
                                        RunPhase added,
                                        jobs::UnixMillis wall_time,
                                        TimePoint now) {
  if (worker.succeeded == 0)
    return std::nullopt;
  return added == RunPhase::kInherited
             ? LatestPossibleTime(worker.succeeded, wall_time, now)
             : now;
}

WorkerSession::WorkerSession(WorkerSessionOptions options,
                             TimePoint leading_since,
                             std::optional<TimePoint> succeeded)
    : options_(options),
      earlier_leader_leases_until_(leading_since + WithDrift(options.lease)),
      takeover_leases_until_(leading_since),
      succeeded_(succeeded),
      fencing_timeout_(options.first_hold_timeout),
      hold_due_(leading_since) {
  if (const auto last = LastEarlierOrder())
    ExpectTakeover(*last);
}

std::optional<TimePoint> WorkerSession::LastEarlierOrder() const {
  if (!succeeded_)
    return std::nullopt;
  return *succeeded_ + options_.max_late_order;
}

void WorkerSession::ExpectTakeover(TimePoint until) {
  takeover_leases_until_ =
      std::max(takeover_leases_until_, until + WithDrift(options_.max_lease));
}

void WorkerSession::OnFenced(TimePoint now) {
  if (std::exchange(fenced_, true))
    return;
  if (const auto last = LastEarlierOrder())
    takeover_leases_until_ =
        std::min(now, *last) + WithDrift(options_.max_lease);
}

bool WorkerSession::MayReceiveEarlierOrders(TimePoint now) const {
  const auto last = LastEarlierOrder();
  return !fenced_ && last && now < *last;
}

RunTrack* WorkerSession::Find(const jobs::RunName& run) {
  const auto found = tracks_.find(run);
  return found == tracks_.end() ? nullptr : &found->second;
}

void WorkerSession::Sync(const jobs::Worker& worker,
                         RunPhase added,
                         TimePoint now) {
  std::erase_if(tracks_, [&](const auto& item) {
    return worker.runs.count(item.first) == 0;
  });
  for (const jobs::RunName& run : worker.runs) {
    const auto [track, is_new] = tracks_.try_emplace(run);
    if (!is_new)
      continue;
    track->second.phase = added;
    track->second.since = now;
    track->second.inherited = added == RunPhase::kInherited;
    if (worker.inherited.count(run) > 0) {
      track->second.phase = RunPhase::kInherited;
      track->second.inherited = true;
      if (!fenced_)
        ExpectTakeover(now);
    }
  }
}

void WorkerSession::Inherit(const WorkerSession& earlier) {
  for (auto& [run, track] : tracks_) {
    const auto found = earlier.tracks_.find(run);
    if (track.phase != RunPhase::kInherited || found == earlier.tracks_.end())
      continue;
    track.checkpoint = found->second.checkpoint;
    track.unanswered_start = found->second.unanswered_start;
  }
}

void WorkerSession::OnEarlierStart(const jobs::RunName& run,
                                   TimePoint ordered) {
  if (RunTrack* track = Find(run);
      track != nullptr && track->phase == RunPhase::kInherited) {
    track->unanswered_start = ordered;
  }
}

std::optional<std::int64_t> WorkerSession::LeaseUntil() const {
  if (!clock_ms_)
    return std::nullopt;
  return *clock_ms_ + options_.lease.count();
}

void WorkerSession::OnGrant(std::int64_t lease_until_ms) {
  granted_until_ms_ = std::max(granted_until_ms_, lease_until_ms);
}

bool WorkerSession::OnClock(std::int64_t clock_ms, TimePoint now) {
  if (clock_ms_ && clock_ms + kMaxClockReorderMs < *clock_ms_)
    OnOtherIncarnation(now);
  // Without a list, the response may be that of another incarnation.
  if (other_incarnation_ || !fenced_)
    return false;
  call_failed_ = false;
  // Responses may arrive out of order.
  if (clock_ms_ && clock_ms < *clock_ms_)
    return true;
  clock_ms_ = clock_ms;
  clock_at_ = now;
  return true;
}

void WorkerSession::OnOtherIncarnation(TimePoint now) {
  if (std::exchange(other_incarnation_, true))
    return;
  ExpectTakeover(now);
  clock_ms_.reset();
  call_failed_ = true;
  may_acknowledge_ = false;
}

void WorkerSession::OnCallFailed(TimePoint) {
  call_failed_ = true;
}

// The worker's clock showed at least clock_ms_ at clock_at_.
TimePoint WorkerSession::LeaseExpiry() const {
  const TimePoint of_others =
      std::max(earlier_leader_leases_until_, takeover_leases_until_);
  if (!clock_ms_)
    return of_others;
  const Millis left(std::max<std::int64_t>(0, granted_until_ms_ - *clock_ms_));
  return std::max(of_others, clock_at_ + WithDrift(left));
}

TimePoint WorkerSession::LeaseExpiryOf(const RunTrack* track) const {
  if (track == nullptr || !track->unanswered_start)
    return LeaseExpiry();
  return std::max(LeaseExpiry(), *track->unanswered_start +
                                     options_.max_order_delay +
                                     WithDrift(options_.max_lease));
}

void WorkerSession::OnStartSent(const jobs::RunName& run, TimePoint now) {
  if (RunTrack* track = Find(run); track != nullptr) {
    track->phase = RunPhase::kOrdered;
    track->since = now;
    track->start_sent = now;
    ++track->starts_sent;
    track->inherited = false;
    track->unlisted = false;
  }
}

std::optional<jobs::RunEnd> WorkerSession::OnStartResponse(
    const jobs::RunName& run,
    const Result<CallResponse>& response,
    TimePoint now) {
  RunTrack* track = Find(run);
  if (track == nullptr)
    return std::nullopt;
  if (!response) {
    OnCallFailed(now);
    track->unanswered_start = track->start_sent;
    // Also if the connection failed: bytes of an earlier attempt of the same
    // call may still arrive.
    if (track->phase == RunPhase::kOrdered) {
      track->phase = RunPhase::kOutcomeUnknown;
      track->since = now;
    }
    return std::nullopt;
  }
  if (response.value().verdict == CallVerdict::kOtherIncarnation)
    OnOtherIncarnation(now);
  if (response.value().clock_ms)
    (void)OnClock(*response.value().clock_ms, now);
  // The response to a stop, not to the start, decides once a stop was sent.
  const bool stop_sent =
      track->phase == RunPhase::kStopping || track->phase == RunPhase::kStopped;
  if (other_incarnation_) {
    if (!stop_sent) {
      track->phase = RunPhase::kOutcomeUnknown;
      track->since = now;
    }
    return std::nullopt;
  }
  switch (response.value().verdict) {
    case CallVerdict::kDone:
      track->start_answered = true;
      if (!track->accepted)
        track->accepted = now;
      if (track->phase == RunPhase::kOrdered) {
        track->phase = RunPhase::kConfirmed;
        track->since = now;
      }
      return std::nullopt;
    case CallVerdict::kStale:
    case CallVerdict::kOtherIncarnation:
    case CallVerdict::kOtherWorker:
      // An earlier copy of the order may have started the run; the worker's
      // next list shows whether it did.
      if (!stop_sent) {
        track->phase = RunPhase::kConfirmed;
        track->since = now;
      }
      return std::nullopt;
    case CallVerdict::kFenced:
    case CallVerdict::kLate:
    case CallVerdict::kInsufficientCapacity:
    case CallVerdict::kNoTicket:
    case CallVerdict::kInvalid:
    case CallVerdict::kUnhealthy:
      break;
  }
  if (track->phase == RunPhase::kConfirmed)
    return std::nullopt;
  // An earlier copy may still be in flight: only a stop rules out a run.
  if (track->starts_sent > 1) {
    if (!stop_sent)
      track->phase = RunPhase::kOutcomeUnknown;
    track->stop_requested = true;
    return std::nullopt;
  }
  return jobs::RunEnd::kRejected;
}

bool WorkerSession::StartSettled(const jobs::RunName& run) const {
  const auto found = tracks_.find(run);
  return found != tracks_.end() && run.number == 1 &&
         found->second.starts_sent == 1 && found->second.start_answered;
}

bool WorkerSession::RequestStop(const jobs::RunName& run) {
  RunTrack* track = Find(run);
  return track != nullptr && !std::exchange(track->stop_requested, true);
}

bool WorkerSession::MarkSlow(const jobs::RunName& run) {
  RunTrack* track = Find(run);
  return track != nullptr && !std::exchange(track->slow, true);
}

void WorkerSession::OnStopSent(const jobs::RunName& run, TimePoint now) {
  if (RunTrack* track = Find(run); track != nullptr) {
    track->phase = RunPhase::kStopping;
    track->since = now;
  }
}

void WorkerSession::OnStopResponse(const jobs::RunName& run,
                                   const Result<CallResponse>& response,
                                   TimePoint now) {
  RunTrack* track = Find(run);
  if (track == nullptr)
    return;
  if (response && response.value().verdict == CallVerdict::kOtherIncarnation)
    OnOtherIncarnation(now);
  if (response && response.value().clock_ms)
    (void)OnClock(*response.value().clock_ms, now);
  const bool accepted =
      response && (response.value().verdict == CallVerdict::kDone ||
                   response.value().verdict == CallVerdict::kStale);
  if (!response)
    OnCallFailed(now);
  if (accepted && !track->stop_accepted) {
    track->stop_accepted = now;
    track->awaits_list = true;
    if (!track->accepted)
      track->accepted = now;
  }
  if (track->phase != RunPhase::kStopping)
    return;
  track->since = now;
  // A repetition without a response leaves the earlier acceptance valid.
  track->phase =
      track->stop_accepted ? RunPhase::kStopped : RunPhase::kOutcomeUnknown;
}

HoldCall WorkerSession::PrepareHold(const jobs::Worker& worker, TimePoint now) {
  HoldCall call;
  if (std::exchange(may_acknowledge_, false))
    call.last_end_sequence = worker.last_end_sequence;
  call.timeout = options_.hold_timeout;
  if (MayReceiveEarlierOrders(now)) {
    call.timeout = std::min(fencing_timeout_, options_.hold_timeout);
    fencing_timeout_ *= 2;
  }
  call.lease_until_ms = LeaseUntil();
  if (call.lease_until_ms) {
    OnGrant(*call.lease_until_ms);
    if (!HasUnsettledRuns())
      call.wait = options_.hold_wait;
  }
  OnHoldSent(now);
  return call;
}

void WorkerSession::OnHoldSent(TimePoint now) {
  hold_open_ = true;
  hold_sent_ = now;
}

void WorkerSession::OnHoldFailed(TimePoint now) {
  hold_open_ = false;
  // Half of fencing_timeout_ is the timeout of the hold that has failed.
  hold_due_ = MayReceiveEarlierOrders(now)
                  ? std::max(now, hold_sent_ + std::min(fencing_timeout_ / 2,
                                                        options_.hold_timeout))
                  : now + options_.retry_delay;
  OnCallFailed(now);
}

std::vector<jobs::EndRecord> WorkerSession::OnHoldResponse(
    const jobs::Worker& worker,
    const HoldResponse& response,
    TimePoint now,
    std::vector<jobs::RunName>* unexpected_runs) {
  hold_open_ = false;
  hold_due_ = response.ended.empty() && !HasUnsettledRuns()
                  ? now
                  : now + options_.hold_batch_delay;
  may_acknowledge_ = !response.ended.empty();
  // A hold response identifies its incarnation, so it is from this one.
  other_incarnation_ = false;
  OnFenced(now);
  if (response.call.clock_ms)
    (void)OnClock(*response.call.clock_ms, now);
  std::vector<jobs::EndRecord> ends;
  std::set<jobs::RunName> listed;
  std::set<jobs::TaskName> unexpected_tasks;
  for (const EndedRow& row : response.ended) {
    listed.insert(row.run);
    if (row.end_sequence > worker.last_end_sequence) {
      ends.push_back({row.run, worker.record.incarnation, row.how,
                      row.checkpoint, row.end_sequence});
    }
  }
  for (const RunningRow& row : response.running) {
    listed.insert(row.run);
    RunTrack* track = Find(row.run);
    if (track == nullptr) {
      if (worker.runs.count(row.run) == 0) {
        unexpected_tasks.insert(row.run.task);
        const auto [stop, is_new] = unexpected_stops_.try_emplace(row.run, now);
        if (is_new || now - stop->second >= options_.order_timeout) {
          stop->second = now;
          unexpected_runs->push_back(row.run);
        }
      }
      continue;
    }
    track->percent = row.percent;
    if (!row.checkpoint.empty())
      track->checkpoint = row.checkpoint;
    if (!track->accepted)
      track->accepted = now;
    // The list confirms the run, whatever the response to its start; a late
    // copy of the start has no effect.
    if (track->phase == RunPhase::kInherited ||
        track->phase == RunPhase::kOrdered ||
        track->phase == RunPhase::kOutcomeUnknown) {
      track->phase = RunPhase::kConfirmed;
      track->since = now;
    }
  }
  if (!response.complete())
    return ends;
  OnCompleteList(listed);
  for (auto& [run, track] : tracks_) {
    if (listed.count(run) > 0 || worker.runs.count(run) == 0)
      continue;
    if (track.phase == RunPhase::kOutcomeUnknown && track.since < hold_sent_)
      track.unlisted = true;
    // The worker has received this session's token, so no order of an earlier
    // leader or for an earlier incarnation can start the run any more.
    const bool settled =
        track.inherited ||
        (track.phase == RunPhase::kConfirmed && track.since < hold_sent_) ||
        (track.accepted && *track.accepted < hold_sent_);
    // Another run of the task, started by an earlier order, has to end first.
    if (settled && unexpected_tasks.count(run.task) == 0) {
      ends.push_back({run, worker.record.incarnation, jobs::RunEnd::kLost,
                      track.checkpoint, 0});
    }
  }
  return ends;
}

void WorkerSession::OnCompleteList(const std::set<jobs::RunName>& listed) {
  std::erase_if(unexpected_stops_, [&](const auto& item) {
    return listed.count(item.first) == 0;
  });
  for (auto& [run, track] : tracks_) {
    if (track.stop_accepted && *track.stop_accepted < hold_sent_)
      track.awaits_list = false;
  }
}

std::vector<EndRange> WorkerSession::FindMissingEnds(
    const jobs::Worker& worker,
    const HoldResponse& response) {
  std::vector<EndRange> missing;
  std::int64_t& last = last_listed_end_;
  last = std::max(last, worker.last_end_sequence);
  for (const EndedRow& row : response.ended) {
    if (row.end_sequence > last + 1)
      missing.push_back({last + 1, row.end_sequence - 1});
    last = std::max(last, row.end_sequence);
  }
  return missing;
}

std::vector<jobs::EndRecord> WorkerSession::ExpireLease(
    const jobs::Worker& worker,
    TimePoint now) {
  std::vector<jobs::EndRecord> ends;
  if (worker.runs.empty() || now < LeaseExpiry())
    return ends;
  for (const jobs::RunName& run : worker.runs) {
    const RunTrack* track = Find(run);
    if (now < LeaseExpiryOf(track))
      continue;
    ends.push_back({run, worker.record.incarnation, jobs::RunEnd::kLost,
                    track != nullptr ? track->checkpoint : "", 0});
  }
  return ends;
}

TimePoint WorkerSession::NextDue(TimePoint now) const {
  TimePoint next = hold_open_ ? TimePoint::max() : hold_due_;
  if (!tracks_.empty())
    next = std::min(next, LeaseExpiry());
  for (const auto& [run, track] : tracks_) {
    switch (track.phase) {
      case RunPhase::kPlanned:
      case RunPhase::kOutcomeUnknown:
        next = std::min(next, track.since + options_.start_retry_delay);
        break;
      case RunPhase::kStopped:
        next = std::min(next, track.since + kStopRepeatDelay);
        break;
      case RunPhase::kInherited:
      case RunPhase::kOrdered:
      case RunPhase::kConfirmed:
      case RunPhase::kStopping:
        break;
    }
    if (track.stop_requested && track.phase != RunPhase::kStopping &&
        track.phase != RunPhase::kStopped &&
        track.phase != RunPhase::kOutcomeUnknown) {
      next = std::min(next, now);
    }
  }
  return next;
}

bool WorkerSession::HasUnsettledRuns() const {
  return std::any_of(tracks_.begin(), tracks_.end(), [](const auto& item) {
    return item.second.phase == RunPhase::kInherited ||
           item.second.phase == RunPhase::kOutcomeUnknown ||
           item.second.awaits_list;
  });
}

bool WorkerSession::IsUnsettled(const RunTrack& track) {
  return track.phase != RunPhase::kConfirmed || track.stop_requested;
}

ProofGap WorkerSession::GapOf(const jobs::RunName& run,
                              const RunTrack& track,
                              TimePoint now) const {
  if (std::any_of(
          unexpected_stops_.begin(), unexpected_stops_.end(),
          [&](const auto& item) { return item.first.task == run.task; })) {
    return ProofGap::kOtherRun;
  }
  if (!HasRespondedRecently(now))
    return ProofGap::kLease;
  const bool needs_stop =
      !track.inherited && !track.accepted &&
      (track.stop_requested || track.phase == RunPhase::kOutcomeUnknown ||
       track.phase == RunPhase::kStopping);
  return needs_stop ? ProofGap::kStop : ProofGap::kList;
}

bool WorkerSession::HoldDue(TimePoint now) const {
  return !hold_open_ && now >= hold_due_;
}

std::vector<jobs::RunName> WorkerSession::StartsDue(TimePoint now) const {
  std::vector<jobs::RunName> due;
  if (other_incarnation_)
    return due;
  for (const auto& [run, track] : tracks_) {
    const bool again = track.phase == RunPhase::kOutcomeUnknown &&
                       track.starts_sent > 0 && track.starts_sent < kMaxStarts;
    // A planned start was not sent if the leader lease was not confirmed then.
    if ((again || track.phase == RunPhase::kPlanned) && !track.stop_requested &&
        now - track.since >= options_.start_retry_delay) {
      due.push_back(run);
    }
  }
  return due;
}

std::vector<jobs::RunName> WorkerSession::StopsDue(TimePoint now) const {
  std::vector<jobs::RunName> due;
  for (const auto& [run, track] : tracks_) {
    // Without a newer list the responses may merely have been read too late.
    const bool unconfirmed = track.phase == RunPhase::kOutcomeUnknown &&
                             track.starts_sent >= kMaxStarts && track.unlisted;
    const bool retry = now - track.since >= options_.start_retry_delay;
    switch (track.phase) {
      case RunPhase::kOutcomeUnknown:
        if ((track.stop_requested || unconfirmed) && retry)
          due.push_back(run);
        break;
      case RunPhase::kInherited:
      case RunPhase::kPlanned:
      case RunPhase::kOrdered:
      case RunPhase::kConfirmed:
        if (track.stop_requested)
          due.push_back(run);
        break;
      case RunPhase::kStopped:
        // The worker accepted the stop long ago and still lists the run.
        if (now - track.since >= kStopRepeatDelay)
          due.push_back(run);
        break;
      case RunPhase::kStopping:
        break;
    }
  }
  return due;
}

bool WorkerSession::MayRepeatStart(const jobs::RunName& run) const {
  const auto track = tracks_.find(run);
  return track != tracks_.end() && !other_incarnation_ &&
         track->second.phase == RunPhase::kOutcomeUnknown &&
         !track->second.stop_requested &&
         track->second.starts_sent < kMaxRepeatedStarts;
}

bool WorkerSession::Reachable(TimePoint now) const {
  if (call_failed_ || !HasRespondedRecently(now))
    return false;
  return std::none_of(tracks_.begin(), tracks_.end(), [&](const auto& item) {
    const RunTrack& track = item.second;
    return track.phase == RunPhase::kOrdered && track.starts_sent > 0 &&
           clock_at_ < track.since &&
           now - track.since >= options_.unanswered_start;
  });
}

}  // namespace boragewinch::scheduler
