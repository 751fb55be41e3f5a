#include "scheduler/worker_fleet.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/invariant.h"
#include "scheduler/fencing_token.h"
#include "scheduler/replicated_time.h"

namespace boragewinch::scheduler {

namespace {

/// Maximum time between two checks of a worker. It bounds the delay in finding
/// runs that become slow earlier than expected because the duration learnt for
/// their queue has dropped.
constexpr Millis kCheckInterval{500};
/// Time for which a job that has begun may be shown as queued. Most of its
/// records share a batch with starts and ends, at no further write to the disk.
constexpr Millis kMaxBegunDelay{250};
/// Time after which the confirmation of a run is stored. Most runs that are not
/// long-running have ended by then; one that is lost before that waits longer
/// if the leader changes as well.
constexpr Millis kConfirmAfter{1'000};

/// Detects workers that fail most of their tasks within a few tasks; a task
/// takes about a second.
[[nodiscard]] WorkerHealthConfig HealthConfig() {
  WorkerHealthConfig config;
  config.half_life = Millis(5'000);
  config.min_failures = 2;
  config.pool_factor = 3;
  config.throttled_interval = Millis(1'000);
  config.first_quarantine = Millis(4'000);
  config.max_quarantine = Millis(16'000);
  return config;
}

}  // namespace

WorkerFleet::WorkerFleet(EventLoop& loop,
                         LedgerReplica& replica,
                         WorkerCalls calls,
                         TicketOf ticket_of,
                         WorkerSessionOptions options,
                         Metrics& metrics)
    : loop_(loop),
      replica_(replica),
      calls_(std::move(calls)),
      ticket_of_(std::move(ticket_of)),
      options_(options),
      metrics_(metrics),
      health_(WorkerHealth::Make(HealthConfig()).value()),
      settling_(SettlingBound(options)) {}

HostName WorkerFleet::HealthNameOf(const jobs::WorkerIncarnation& incarnation) {
  return HostName(incarnation.Text());
}

WorkerFleet::TrackedWorker* WorkerFleet::FindTracked(
    const jobs::WorkerIncarnation& incarnation) {
  const auto found = workers_.find(incarnation);
  return found == workers_.end() ? nullptr : &found->second;
}

WorkerSession* WorkerFleet::FindSession(
    const jobs::WorkerIncarnation& incarnation) {
  TrackedWorker* tracked = FindTracked(incarnation);
  return tracked == nullptr ? nullptr : &tracked->session;
}

const WorkerSession* WorkerFleet::FindSession(
    const jobs::WorkerIncarnation& incarnation) const {
  const auto found = workers_.find(incarnation);
  return found == workers_.end() ? nullptr : &found->second.session;
}

void WorkerFleet::OnLeadership(bool leading, TimePoint now) {
  leading_ = leading;
  ++leadership_epoch_;
  for (const ListWait& wait : std::exchange(list_waits_, {}))
    wait.done(Fail(ErrorCode::kNotLeader, "leadership has changed"));
  departing_.clear();
  begun_.clear();
  confirmations_.clear();
  workers_.clear();
  checks_.clear();
  settling_.Clear();
  copies_ = {};
  health_ = WorkerHealth::Make(HealthConfig()).value();
  leading_since_ = now;
  if (leading) {
    SyncSessions(RunPhase::kInherited, now);
    RecordEarlierCopies();
  }
}

void WorkerFleet::Forget(
    std::map<jobs::WorkerIncarnation, TrackedWorker>::iterator tracked) {
  health_.Forget(tracked->second.health_name);
  settling_.Forget(tracked->first);
  checks_.erase(tracked->second.check);
  workers_.erase(tracked);
}

void WorkerFleet::SyncSession(const jobs::WorkerIncarnation& incarnation,
                              RunPhase added,
                              TimePoint now) {
  const jobs::Worker* worker = replica_.ledger().FindWorker(incarnation);
  auto tracked = workers_.find(incarnation);
  if (worker == nullptr) {
    if (tracked != workers_.end())
      Forget(tracked);
    return;
  }
  const bool is_new = tracked == workers_.end();
  if (is_new) {
    WorkerSession session(
        options_, leading_since_,
        SuccessionTime(*worker, added, loop_.unix_millis(), now));
    tracked =
        workers_
            .try_emplace(incarnation, TrackedWorker{incarnation,
                                                    std::move(session),
                                                    HealthNameOf(incarnation),
                                                    {}})
            .first;
    tracked->second.check = checks_.emplace(now, &tracked->second);
  }
  WorkerSession& session = tracked->second.session;
  session.Sync(*worker, added, now);
  if (is_new && added == RunPhase::kInherited) {
    ExpectEarlierStarts(*worker, &session, now);
  } else if (is_new) {
    if (const WorkerSession* earlier = FindEarlier(incarnation))
      session.Inherit(*earlier);
  }
  CheckWhenDue(incarnation, now);
}

const WorkerSession* WorkerFleet::FindEarlier(
    const jobs::WorkerIncarnation& incarnation) const {
  const auto found = workers_.find(incarnation);
  if (found == workers_.end() || found == workers_.begin())
    return nullptr;
  const auto earlier = std::prev(found);
  return earlier->first.id == incarnation.id ? &earlier->second.session
                                             : nullptr;
}

void WorkerFleet::ExpectEarlierStarts(const jobs::Worker& worker,
                                      WorkerSession* session,
                                      TimePoint now) {
  const jobs::WorkerIncarnation& incarnation = worker.record.incarnation;
  for (const jobs::RunName& name : worker.runs) {
    const jobs::Task* task = replica_.ledger().FindTask(name.task);
    if (task == nullptr)
      continue;
    for (const jobs::Run& run : task->runs) {
      if (run.number != name.number || run.worker != incarnation ||
          run.confirmed) {
        continue;
      }
      session->OnEarlierStart(
          name, LatestPossibleTime(run.decided, loop_.unix_millis(), now) +
                    options_.order_timeout + options_.start_retry_delay);
    }
  }
}

void WorkerFleet::SyncSessions(RunPhase added, TimePoint now) {
  const jobs::JobLedger& ledger = replica_.ledger();
  // Sessions of new incarnations take over from those that are forgotten.
  for (const auto& [incarnation, worker] : ledger.workers())
    SyncSession(incarnation, added, now);
  for (auto it = workers_.begin(); it != workers_.end();) {
    const auto tracked = it++;
    if (ledger.FindWorker(tracked->first) == nullptr)
      Forget(tracked);
  }
  synced_ = ledger.applied();
}

void WorkerFleet::SyncChanged(TimePoint now) {
  const jobs::JobLedger& ledger = replica_.ledger();
  // The ledger lists the changes of its last batch only.
  if (ledger.applied() != synced_ + 1) {
    SyncSessions(RunPhase::kPlanned, now);
    return;
  }
  // Sessions of new incarnations take over from those that are forgotten.
  for (const bool known : {true, false}) {
    for (const jobs::WorkerIncarnation& incarnation :
         ledger.changed_workers()) {
      if ((ledger.FindWorker(incarnation) != nullptr) == known)
        SyncSession(incarnation, RunPhase::kPlanned, now);
    }
  }
  synced_ = ledger.applied();
}

void WorkerFleet::OnStored(const jobs::Batch& batch, TimePoint now) {
  if (!leading_ || !replica_.HasLeaderLease(now))
    return;
  RecordCopyEnds(batch, now);
  SyncChanged(now);
  const jobs::JobLedger& ledger = replica_.ledger();
  RecordCopies(batch, now);
  if (batch.config) {
    const auto is_known = [&ledger](const QueueName& queue) {
      return ledger.config().FindQueue(queue) != nullptr ||
             ledger.retired_queues().count(queue) > 0;
    };
    durations_.Retain(is_known);
    expected_durations_.Retain(is_known);
  }
  for (const jobs::StartRecord& start : batch.starts) {
    const jobs::Worker* worker = ledger.FindWorker(start.worker);
    if (worker != nullptr && worker->runs.count(start.run) > 0)
      SendStart(*worker, start.run);
  }
  Tick(now);
}

void WorkerFleet::RescheduleCheck(TrackedWorker* tracked, TimePoint at) {
  checks_.erase(tracked->check);
  tracked->check = checks_.emplace(at, tracked);
}

void WorkerFleet::CheckWhenDue(const jobs::WorkerIncarnation& incarnation,
                               TimePoint now) {
  TrackedWorker* tracked = FindTracked(incarnation);
  if (tracked == nullptr)
    return;
  if (const TimePoint due = tracked->session.NextDue(now);
      due < tracked->check->first) {
    RescheduleCheck(tracked, due);
  }
}

void WorkerFleet::CheckSoon(const jobs::WorkerIncarnation& incarnation) {
  if (TrackedWorker* tracked = FindTracked(incarnation); tracked != nullptr)
    RescheduleCheck(tracked, TimePoint::min());
}

void WorkerFleet::CheckWorker(TrackedWorker* tracked,
                              TimePoint now,
                              std::vector<jobs::EndRecord>* ends) {
  RescheduleCheck(tracked, now + kCheckInterval);
  const jobs::WorkerIncarnation& incarnation = tracked->incarnation;
  WorkerSession& session = tracked->session;
  const jobs::Worker* worker = replica_.ledger().FindWorker(incarnation);
  if (worker == nullptr)
    return;
  for (const jobs::RunName& run : session.StopsDue(now))
    StopOrRepeatStart(*worker, session, run);
  for (const jobs::RunName& run : session.StartsDue(now))
    StartIfInUse(*worker, session, run);
  if (session.HoldDue(now))
    SendHold(*worker, &session, now);
  const TimePoint slow_at = FindSlowRuns(*worker, &session, now);
  for (jobs::EndRecord& end : session.ExpireLease(*worker, now))
    ends->push_back(std::move(end));
  ReportOverdueRuns(*tracked, now);
  const TimePoint next =
      std::min({session.NextDue(now), slow_at, now + kCheckInterval});
  // Orders that are due now but could not be sent wait for the next tick.
  RescheduleCheck(tracked, std::max(next, now + Millis(1)));
}

void WorkerFleet::ReportOverdueRuns(const TrackedWorker& tracked,
                                    TimePoint now) {
  for (const OverdueRun& overdue :
       settling_.Observe(tracked.incarnation, tracked.session, now)) {
    const std::string run = overdue.run.task.Text();
    if (overdue.first)
      CheckInvariant(Invariant::kRunSettled, false, run);
    LogEvent(EventId::kRunUnsettled,
             {{"run", run},
              {"number", std::to_string(overdue.run.number)},
              {"worker", tracked.incarnation.Text()},
              {"phase", std::string(kRunPhases.Name(overdue.phase))},
              {"lacks", std::string(kProofGaps.Name(overdue.gap))},
              {"age_ms", static_cast<long>(overdue.age.count())},
              {"bound_ms", static_cast<long>(settling_.bound().count())}});
  }
}

void WorkerFleet::Tick(TimePoint now) {
  if (!leading_ || !replica_.HasLeaderLease(now))
    return;
  std::vector<jobs::EndRecord> ends;
  std::vector<TrackedWorker*> due;
  for (auto it = checks_.begin(); it != checks_.end() && it->first <= now; ++it)
    due.push_back(it->second);
  for (TrackedWorker* tracked : due)
    CheckWorker(tracked, now, &ends);
  RecordEnds(std::move(ends), now);
  FinishListWaits(now);
}

void WorkerFleet::Stop(const jobs::RunName& run,
                       const jobs::WorkerIncarnation& incarnation,
                       const char* reason) {
  WorkerSession* session = FindSession(incarnation);
  if (session == nullptr || !session->RequestStop(run))
    return;
  CheckWhenDue(incarnation, loop_.now());
  LogEvent(EventId::kRunStopDecided, {{"run", run.task.Text()},
                                      {"number", std::to_string(run.number)},
                                      {"worker", incarnation.Text()},
                                      {"reason", reason}});
}

std::uint64_t WorkerFleet::TokenFor(const jobs::Worker& worker) const {
  return FencingToken(replica_.term(), worker.join_number);
}

void WorkerFleet::SendStart(const jobs::Worker& worker,
                            const jobs::RunName& run) {
  const jobs::WorkerIncarnation incarnation = worker.record.incarnation;
  WorkerSession* session = FindSession(incarnation);
  const jobs::Job* job = replica_.ledger().FindJob(run.task.job);
  const jobs::Task* task = replica_.ledger().FindTask(run.task);
  if (session == nullptr || job == nullptr || !job->spec || task == nullptr)
    return;
  const auto lease = session->LeaseUntil();
  if (!lease)
    return;
  StartCall call;
  call.run = run;
  call.payload = job->spec->payload;
  call.checkpoint = task->checkpoint;
  call.ticket = ticket_of_(run.task, incarnation);
  call.token = TokenFor(worker);
  call.lease_until_ms = *lease;
  call.timeout = options_.order_timeout;
  session->OnGrant(*lease);
  const TimePoint now = loop_.now();
  session->OnStartSent(run, now);
  health_.OnStartIssued(HealthNameOf(incarnation), now);
  LogEvent(EventId::kRunOrdered, {{"run", run.task.Text()},
                                  {"number", std::to_string(run.number)},
                                  {"worker", incarnation.Text()},
                                  {"token", call.token}});
  calls_.start(worker.record, call,
               [this, incarnation, run, epoch = leadership_epoch_](
                   const Result<CallResponse>& response) {
                 if (epoch == leadership_epoch_)
                   OnStart(incarnation, run, response);
               });
}

void WorkerFleet::OnStart(const jobs::WorkerIncarnation& incarnation,
                          const jobs::RunName& run,
                          const Result<CallResponse>& response) {
  WorkerSession* session = FindSession(incarnation);
  const jobs::Worker* worker = replica_.ledger().FindWorker(incarnation);
  if (session == nullptr || worker == nullptr)
    return;
  const TimePoint now = loop_.now();
  const bool accepted =
      response && response.value().verdict == CallVerdict::kDone;
  if (!accepted) {
    LogEvent(
        EventId::kRunNotTaken,
        {{"run", run.task.Text()},
         {"number", std::to_string(run.number)},
         {"worker", incarnation.Text()},
         {"reason",
          response ? std::string(kCallVerdicts.Name(response.value().verdict))
                   : response.error().Text()}});
    metrics_.Count("run_starts_refused", {"", worker->record.pool.str()});
    if (response && response.value().verdict == CallVerdict::kUnhealthy)
      RecordHealth(*worker, false, now);
  }
  if (response && response.value().verdict == CallVerdict::kOtherWorker)
    RecordDeparture(incarnation, "another worker responds at its address");
  if (const auto how = session->OnStartResponse(run, response, now))
    RecordEnds({{run, incarnation, *how, "", 0}}, now);
  if (accepted)
    RecordAccepted(*session, run, now);
  CheckWhenDue(incarnation, now);
}

void WorkerFleet::SendStop(const jobs::Worker& worker,
                           const jobs::RunName& run) {
  const jobs::WorkerIncarnation incarnation = worker.record.incarnation;
  WorkerSession* session = FindSession(incarnation);
  if (session == nullptr)
    return;
  session->OnStopSent(run, loop_.now());
  LogEvent(EventId::kRunStopOrdered, {{"run", run.task.Text()},
                                      {"number", std::to_string(run.number)},
                                      {"worker", incarnation.Text()}});
  calls_.stop(worker.record, {run, TokenFor(worker), options_.order_timeout},
              [this, incarnation, run, epoch = leadership_epoch_](
                  const Result<CallResponse>& response) {
                if (epoch != leadership_epoch_)
                  return;
                if (WorkerSession* current = FindSession(incarnation);
                    current != nullptr) {
                  current->OnStopResponse(run, response, loop_.now());
                  CheckWhenDue(incarnation, loop_.now());
                }
              });
}

void WorkerFleet::SendHold(const jobs::Worker& worker,
                           WorkerSession* session,
                           TimePoint now) {
  HoldCall call = session->PrepareHold(worker, now);
  call.token = TokenFor(worker);
  calls_.hold(
      worker.record, call,
      [this, incarnation = worker.record.incarnation,
       epoch = leadership_epoch_](const Result<HoldResponse>& response) {
        if (epoch == leadership_epoch_)
          OnHold(incarnation, response);
      });
}

void WorkerFleet::OnHold(const jobs::WorkerIncarnation& incarnation,
                         const Result<HoldResponse>& response) {
  WorkerSession* session = FindSession(incarnation);
  const jobs::Worker* worker = replica_.ledger().FindWorker(incarnation);
  if (session == nullptr || worker == nullptr) {
    ReportDroppedEnds(incarnation, response);
    return;
  }
  const TimePoint now = loop_.now();
  const bool listed =
      response && response.value().call.verdict == CallVerdict::kDone;
  if (!listed) {
    const auto has_verdict = [&](CallVerdict verdict) {
      return response && response.value().call.verdict == verdict;
    };
    session->OnHoldFailed(now);
    CheckWhenDue(incarnation, now);
    FinishListWaits(now);
    // The newer incarnation takes over the runs with its first heartbeat.
    if (has_verdict(CallVerdict::kOtherIncarnation))
      session->OnOtherIncarnation(now);
    LogEvent(EventId::kCallFailed,
             {{"call", "hold"},
              {"worker", incarnation.Text()},
              {"error", response ? std::string(kCallVerdicts.Name(
                                       response.value().call.verdict))
                                 : response.error().Text()}});
    if (has_verdict(CallVerdict::kOtherWorker))
      RecordDeparture(incarnation, "another worker responds at its address");
    return;
  }
  for (const EndRange& missing :
       session->FindMissingEnds(*worker, response.value())) {
    LogEvent(EventId::kRunEndsMissing, {{"worker", incarnation.Text()},
                                        {"stored", worker->last_end_sequence},
                                        {"first", missing.first},
                                        {"last", missing.last}});
    metrics_.Count(
        "run_ends_missing", {"", worker->record.pool.str()},
        static_cast<std::uint64_t>(missing.last - missing.first) + 1);
  }
  std::vector<jobs::RunName> unexpected_runs;
  const bool first = !session->has_responded();
  const bool was_unresponsive = !session->HasRespondedRecently(now);
  std::vector<jobs::EndRecord> ends =
      session->OnHoldResponse(*worker, response.value(), now, &unexpected_runs);
  for (const RunningRow& row : response.value().running) {
    if (worker->runs.count(row.run) > 0)
      RecordBegun(row.run, now);
  }
  for (const jobs::RunName& run : unexpected_runs) {
    // The response may have waited through a pause of this process, in which
    // another leader started the run.
    const bool stops = replica_.HasLeaderLease(now);
    LogEvent(EventId::kRunUnexpected,
             {{"run", run.task.Text()},
              {"number", std::to_string(run.number)},
              {"worker", incarnation.Text()},
              {"stopped", stops ? "yes" : "no_lease"}});
    if (!stops)
      continue;
    calls_.stop(worker->record,
                {run, TokenFor(*worker), options_.order_timeout},
                [](const Result<CallResponse>&) {
                  // The next list shows whether the run still exists.
                });
  }
  for (const jobs::EndRecord& end : ends)
    EvaluateEnd(*worker, *session, end, now);
  if (!ends.empty())
    RecordEnds(std::move(ends), now);
  FinishListWaits(now);
  if (first)
    replica_.Wake();
  if (session->HoldDue(now) && replica_.HasLeaderLease(now))
    SendHold(*worker, session, now);
  // Slow runs were not looked for while the worker did not respond.
  if (was_unresponsive)
    CheckSoon(incarnation);
  else
    CheckWhenDue(incarnation, now);
}

void WorkerFleet::RecordBegun(const jobs::RunName& run, TimePoint now) {
  const jobs::Job* job = replica_.ledger().FindJob(run.task.job);
  if (job != nullptr && job->state == jobs::JobState::kQueued)
    begun_.try_emplace(run.task.job, Begun{run, now});
}

void WorkerFleet::AddBegun(jobs::Batch* batch, TimePoint now) {
  std::erase_if(begun_, [this](const auto& item) {
    const jobs::Job* job = replica_.ledger().FindJob(item.first);
    return job == nullptr || job->state != jobs::JobState::kQueued;
  });
  const bool overdue =
      std::any_of(begun_.begin(), begun_.end(), [now](const auto& item) {
        return now - item.second.since >= kMaxBegunDelay;
      });
  const bool confirmation_overdue =
      !confirmations_.empty() &&
      now - confirmations_.begin()->first >= kMaxBegunDelay;
  if (batch->empty() && !overdue && !confirmation_overdue)
    return;
  for (const auto& [id, begun] : begun_)
    batch->begun.push_back(begun.run);
  AddConfirmations(batch, now);
}

void WorkerFleet::RecordAccepted(const WorkerSession& session,
                                 const jobs::RunName& run,
                                 TimePoint now) {
  RecordBegun(run, now);
  const jobs::Job* job = replica_.ledger().FindJob(run.task.job);
  if (job == nullptr || !job->spec || !session.StartSettled(run))
    return;
  const bool long_running = job->spec->steps[run.task.step].long_running;
  confirmations_.emplace(now + (long_running ? Millis(0) : kConfirmAfter), run);
}

void WorkerFleet::AddConfirmations(jobs::Batch* batch, TimePoint now) {
  while (!confirmations_.empty() && confirmations_.begin()->first <= now) {
    const jobs::RunName name = confirmations_.begin()->second;
    confirmations_.erase(confirmations_.begin());
    const jobs::Run* run = replica_.ledger().FindRun(name);
    if (run != nullptr && !run->confirmed)
      batch->confirmed.push_back(name);
  }
}

void WorkerFleet::RecordEnds(std::vector<jobs::EndRecord> ends, TimePoint) {
  if (ends.empty())
    return;
  for (const jobs::EndRecord& end : ends) {
    const WorkerSession* session = FindSession(end.worker);
    std::string phase;
    if (session != nullptr) {
      if (const auto track = session->tracks().find(end.run);
          track != session->tracks().end()) {
        phase = kRunPhases.Name(track->second.phase);
      }
    }
    LogEvent(EventId::kRunEnded,
             {{"run", end.run.task.Text()},
              {"number", std::to_string(end.run.number)},
              {"worker", end.worker.Text()},
              {"how", std::string(jobs::kRunEnds.Name(end.how))},
              {"listed", end.end_sequence > 0 ? "yes" : "no"},
              {"end", end.end_sequence},
              {"phase", phase}});
    metrics_.Count("run_ends", {"", std::string(jobs::kRunEnds.Name(end.how))});
  }
  jobs::Batch change;
  change.ends = std::move(ends);
  replica_.Submit(change, [](const Status& stored) {
    // The next leader finds unstored ends again, from lists or by lease
    // expiry.
    if (!stored)
      LogEvent(EventId::kCallFailed, {{"error", stored.error().Text()}});
  });
}

}  // namespace boragewinch::scheduler
