#include "scheduler/worker_fleet.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

namespace {

/// Longest time between two checks of a worker. Runs that become slow earlier
/// than expected, as their queue turns out to be fast, are found with this
/// delay.
constexpr Millis kCheckInterval{500};

/// Workers that fail what they start are recognised within a few tasks; tasks
/// take about a second.
[[nodiscard]] WorkerHealthConfig HealthConfig() {
  WorkerHealthConfig config;
  config.half_life = Millis(5'000);
  config.min_failures = 2;
  config.pool_factor = 3;
  config.try_interval = Millis(1'000);
  config.first_aside = Millis(4'000);
  config.max_aside = Millis(16'000);
  return config;
}

[[nodiscard]] HostName HealthName(const jobs::WorkerLife& life) {
  return HostName(life.Text());
}

}  // namespace

WorkerFleet::WorkerFleet(EventLoop& loop,
                         LedgerReplica& replica,
                         WorkerCalls calls,
                         TicketOf ticket_of,
                         WorkerLinkOptions options,
                         Metrics& metrics)
    : loop_(loop),
      replica_(replica),
      calls_(std::move(calls)),
      ticket_of_(std::move(ticket_of)),
      options_(options),
      metrics_(metrics),
      health_(WorkerHealth::Make(HealthConfig()).value()) {}

WorkerFleet::Contact* WorkerFleet::FindContact(const jobs::WorkerLife& life) {
  const auto found = contacts_.find(life);
  return found == contacts_.end() ? nullptr : &found->second;
}

WorkerLink* WorkerFleet::Find(const jobs::WorkerLife& life) {
  Contact* contact = FindContact(life);
  return contact == nullptr ? nullptr : &contact->link;
}

const WorkerLink* WorkerFleet::Find(const jobs::WorkerLife& life) const {
  const auto found = contacts_.find(life);
  return found == contacts_.end() ? nullptr : &found->second.link;
}

void WorkerFleet::OnLeadership(bool acts, TimePoint now) {
  acts_ = acts;
  ++era_;
  contacts_.clear();
  checks_.clear();
  acts_since_ = now;
  if (acts)
    SyncLinks(RunPhase::kInherited, now);
}

void WorkerFleet::Forget(
    std::map<jobs::WorkerLife, Contact>::iterator contact) {
  checks_.erase(contact->second.check);
  contacts_.erase(contact);
}

void WorkerFleet::SyncLink(const jobs::WorkerLife& life,
                           RunPhase added,
                           TimePoint now) {
  const jobs::Worker* worker = replica_.ledger().FindWorker(life);
  auto contact = contacts_.find(life);
  if (worker == nullptr) {
    if (contact != contacts_.end())
      Forget(contact);
    return;
  }
  if (contact == contacts_.end()) {
    contact = contacts_
                  .try_emplace(life, Contact{life,
                                             WorkerLink(options_, acts_since_),
                                             HealthName(life),
                                             {}})
                  .first;
    contact->second.check = checks_.emplace(now, &contact->second);
  }
  contact->second.link.Sync(*worker, added, now);
  CheckWhenDue(life, now);
}

void WorkerFleet::SyncLinks(RunPhase added, TimePoint now) {
  const jobs::JobLedger& ledger = replica_.ledger();
  for (auto it = contacts_.begin(); it != contacts_.end();) {
    const auto contact = it++;
    if (ledger.FindWorker(contact->first) == nullptr)
      Forget(contact);
  }
  for (const auto& [life, worker] : ledger.workers())
    SyncLink(life, added, now);
  synced_ = ledger.applied();
}

void WorkerFleet::SyncTouched(TimePoint now) {
  const jobs::JobLedger& ledger = replica_.ledger();
  // The ledger tells the changes of its last batch only.
  if (ledger.applied() != synced_ + 1) {
    SyncLinks(RunPhase::kPlanned, now);
    return;
  }
  for (const jobs::WorkerLife& life : ledger.touched())
    SyncLink(life, RunPhase::kPlanned, now);
  synced_ = ledger.applied();
}

void WorkerFleet::OnStored(const jobs::Batch& batch, TimePoint now) {
  if (!acts_ || !replica_.MayAct(now))
    return;
  SyncTouched(now);
  const jobs::JobLedger& ledger = replica_.ledger();
  for (const jobs::StartNote& start : batch.starts) {
    const jobs::Worker* worker = ledger.FindWorker(start.worker);
    if (worker != nullptr && worker->runs.count(start.run) > 0)
      SendStart(*worker, start.run);
  }
  Tick(now);
}

void WorkerFleet::MoveCheck(Contact* contact, TimePoint at) {
  checks_.erase(contact->check);
  contact->check = checks_.emplace(at, contact);
}

void WorkerFleet::CheckWhenDue(const jobs::WorkerLife& life, TimePoint now) {
  Contact* contact = FindContact(life);
  if (contact == nullptr)
    return;
  if (const TimePoint due = contact->link.NextDue(now);
      due < contact->check->first) {
    MoveCheck(contact, due);
  }
}

void WorkerFleet::CheckSoon(const jobs::WorkerLife& life) {
  if (Contact* contact = FindContact(life); contact != nullptr)
    MoveCheck(contact, TimePoint::min());
}

void WorkerFleet::CheckWorker(Contact* contact,
                              TimePoint now,
                              std::vector<jobs::EndNote>* ends) {
  MoveCheck(contact, now + kCheckInterval);
  const jobs::WorkerLife& life = contact->life;
  WorkerLink& link = contact->link;
  const jobs::Worker* worker = replica_.ledger().FindWorker(life);
  if (worker == nullptr)
    return;
  for (const jobs::RunName& run : link.StopsDue(now))
    SendStop(*worker, run);
  for (const jobs::RunName& run : link.StartsDue(now))
    SendStart(*worker, run);
  if (link.HoldDue(now))
    SendHold(*worker, &link, now);
  const TimePoint slow_at = JudgeOpenRuns(*worker, &link, now);
  for (jobs::EndNote& end : link.Lapse(*worker, now))
    ends->push_back(std::move(end));
  const TimePoint next =
      std::min({link.NextDue(now), slow_at, now + kCheckInterval});
  // What is due now but could not be sent waits for the next tick.
  MoveCheck(contact, std::max(next, now + Millis(1)));
}

void WorkerFleet::Tick(TimePoint now) {
  if (!acts_ || !replica_.MayAct(now))
    return;
  std::vector<jobs::EndNote> ends;
  std::vector<Contact*> due;
  for (auto it = checks_.begin(); it != checks_.end() && it->first <= now; ++it)
    due.push_back(it->second);
  for (Contact* contact : due)
    CheckWorker(contact, now, &ends);
  NoteEnds(std::move(ends), now);
}

std::size_t WorkerFleet::StartLimitOf(const jobs::WorkerLife& life,
                                      TimePoint now) const {
  const auto contact = contacts_.find(life);
  if (contact == contacts_.end() || !contact->second.link.Reachable(now))
    return 0;
  const HostName& name = contact->second.health_name;
  if (!health_.Allows(name, now))
    return 0;
  // A worker that fails what it starts always has room: without a bound it
  // would get all tasks of a burst.
  return health_.State(name, now) == HealthState::kNormal
             ? std::numeric_limits<std::size_t>::max()
             : 1;
}

bool WorkerFleet::HasFailedOn(const jobs::TaskName& task,
                              const jobs::WorkerLife& life) const {
  const auto found = failed_on_.find(task);
  return found != failed_on_.end() && found->second.count(life) > 0;
}

bool WorkerFleet::IsPresent(const jobs::WorkerLife& life, TimePoint now) const {
  const WorkerLink* link = Find(life);
  return link != nullptr &&
         (now - acts_since_ <= options_.silence || link->Heard(now));
}

void WorkerFleet::Stop(const jobs::RunName& run,
                       const jobs::WorkerLife& life,
                       const char* reason) {
  WorkerLink* link = Find(life);
  if (link == nullptr || !link->WantStop(run))
    return;
  CheckWhenDue(life, loop_.now());
  LogEvent(EventId::kRunStopDecided, {{"run", run.task.Text()},
                                      {"number", std::to_string(run.number)},
                                      {"worker", life.Text()},
                                      {"reason", reason}});
}

int WorkerFleet::PercentOf(const jobs::RunName& run,
                           const jobs::WorkerLife& life) const {
  const WorkerLink* link = Find(life);
  if (link == nullptr || !link->Reachable(loop_.now()))
    return 0;
  const auto track = link->tracks().find(run);
  return track == link->tracks().end() || track->second.stop_wanted
             ? 0
             : track->second.percent;
}

bool WorkerFleet::IsStopping(const jobs::RunName& run,
                             const jobs::WorkerLife& life) const {
  const WorkerLink* link = Find(life);
  if (link == nullptr || !link->Reachable(loop_.now()))
    return false;
  const auto track = link->tracks().find(run);
  return track != link->tracks().end() && track->second.stop_wanted;
}

void WorkerFleet::SendStart(const jobs::Worker& worker,
                            const jobs::RunName& run) {
  const jobs::WorkerLife life = worker.note.life;
  WorkerLink* link = Find(life);
  const jobs::Job* job = replica_.ledger().FindJob(run.task.job);
  const jobs::Task* task = replica_.ledger().FindTask(run.task);
  if (link == nullptr || job == nullptr || !job->spec || task == nullptr)
    return;
  const auto lease = link->LeaseUntil();
  if (!lease)
    return;
  StartCall call;
  call.run = run;
  call.payload = job->spec->payload;
  call.checkpoint = task->checkpoint;
  call.ticket = ticket_of_(run.task, life.id);
  call.token = replica_.term();
  call.lease_until_ms = *lease;
  call.timeout = options_.order_timeout;
  link->OnGrant(*lease);
  const TimePoint now = loop_.now();
  link->OnStartSent(run, now);
  health_.OnTried(HealthName(life), now);
  LogEvent(EventId::kRunOrdered, {{"run", run.task.Text()},
                                  {"number", std::to_string(run.number)},
                                  {"worker", life.Text()},
                                  {"term", call.token}});
  calls_.start(worker.note, call,
               [this, life, run, era = era_](const Result<CallAnswer>& answer) {
                 if (era == era_)
                   OnStart(life, run, answer);
               });
}

void WorkerFleet::OnStart(const jobs::WorkerLife& life,
                          const jobs::RunName& run,
                          const Result<CallAnswer>& answer) {
  WorkerLink* link = Find(life);
  const jobs::Worker* worker = replica_.ledger().FindWorker(life);
  if (link == nullptr || worker == nullptr)
    return;
  const TimePoint now = loop_.now();
  const bool taken = answer && answer.value().verdict == CallVerdict::kDone;
  if (!taken) {
    LogEvent(EventId::kRunNotTaken,
             {{"run", run.task.Text()},
              {"number", std::to_string(run.number)},
              {"worker", life.Text()},
              {"reason",
               answer ? std::string(kCallVerdicts.Name(answer.value().verdict))
                      : answer.error().Text()}});
    metrics_.Count("run_starts_refused", {"", worker->note.pool.str()});
    if (answer && answer.value().verdict == CallVerdict::kUnhealthy)
      NoteHealth(*worker, false, now);
  }
  if (answer && answer.value().verdict == CallVerdict::kOtherWorker)
    NoteDeparture(life, "another worker answers");
  if (const auto how = link->OnStartAnswer(run, answer, now))
    NoteEnds({{run, life, *how, "", 0}}, now);
  CheckWhenDue(life, now);
}

void WorkerFleet::SendStop(const jobs::Worker& worker,
                           const jobs::RunName& run) {
  const jobs::WorkerLife life = worker.note.life;
  WorkerLink* link = Find(life);
  if (link == nullptr)
    return;
  link->OnStopSent(run, loop_.now());
  LogEvent(EventId::kRunStopOrdered, {{"run", run.task.Text()},
                                      {"number", std::to_string(run.number)},
                                      {"worker", life.Text()}});
  calls_.stop(worker.note, {run, replica_.term(), options_.order_timeout},
              [this, life, run, era = era_](const Result<CallAnswer>& answer) {
                if (era != era_)
                  return;
                if (WorkerLink* open = Find(life); open != nullptr) {
                  open->OnStopAnswer(run, answer, loop_.now());
                  CheckWhenDue(life, loop_.now());
                }
              });
}

void WorkerFleet::SendHold(const jobs::Worker& worker,
                           WorkerLink* link,
                           TimePoint now) {
  HoldCall call;
  call.token = replica_.term();
  call.ends_noted = worker.ends_noted;
  call.timeout = options_.hold_timeout;
  call.lease_until_ms = link->LeaseUntil();
  if (call.lease_until_ms) {
    link->OnGrant(*call.lease_until_ms);
    if (!link->Settling(worker))
      call.wait = options_.hold_wait;
  }
  link->OnHoldSent(now);
  calls_.hold(worker.note, call,
              [this, life = worker.note.life,
               era = era_](const Result<HoldAnswer>& answer) {
                if (era == era_)
                  OnHold(life, answer);
              });
}

void WorkerFleet::OnHold(const jobs::WorkerLife& life,
                         const Result<HoldAnswer>& answer) {
  WorkerLink* link = Find(life);
  const jobs::Worker* worker = replica_.ledger().FindWorker(life);
  if (link == nullptr || worker == nullptr)
    return;
  const TimePoint now = loop_.now();
  const bool listed =
      answer && answer.value().call.verdict == CallVerdict::kDone;
  if (!listed) {
    const auto answers = [&](CallVerdict verdict) {
      return answer && answer.value().call.verdict == verdict;
    };
    link->OnHoldFailed(now);
    CheckWhenDue(life, now);
    // The runs go on to the later life when it announces itself.
    if (answers(CallVerdict::kOtherLife))
      link->OnOtherLife(now);
    LogEvent(
        EventId::kCallFailed,
        {{"call", "hold"},
         {"worker", life.Text()},
         {"error",
          answer ? std::string(kCallVerdicts.Name(answer.value().call.verdict))
                 : answer.error().Text()}});
    if (answers(CallVerdict::kOtherWorker))
      NoteDeparture(life, "another worker answers");
    return;
  }
  std::vector<jobs::RunName> strays;
  const bool first = !link->heard();
  const bool was_silent = !link->Heard(now);
  std::vector<jobs::EndNote> ends =
      link->OnHoldAnswer(*worker, answer.value(), now, &strays);
  for (const jobs::RunName& run : strays) {
    LogEvent(EventId::kRunStray, {{"run", run.task.Text()},
                                  {"number", std::to_string(run.number)},
                                  {"worker", life.Text()}});
    calls_.stop(worker->note, {run, replica_.term(), options_.order_timeout},
                [](const Result<CallAnswer>&) {
                  // The next list shows whether the run is still there.
                });
  }
  for (const jobs::EndNote& end : ends)
    JudgeEnd(*worker, *link, end, now);
  if (!ends.empty())
    NoteEnds(std::move(ends), now);
  if (first)
    replica_.Wake();
  if (link->HoldDue(now) && replica_.MayAct(now))
    SendHold(*worker, link, now);
  // Runs on a silent worker were not judged.
  if (was_silent)
    CheckSoon(life);
  else
    CheckWhenDue(life, now);
}

void WorkerFleet::NoteEnds(std::vector<jobs::EndNote> ends, TimePoint) {
  if (ends.empty())
    return;
  for (const jobs::EndNote& end : ends) {
    LogEvent(EventId::kRunEnded,
             {{"run", end.run.task.Text()},
              {"number", std::to_string(end.run.number)},
              {"worker", end.worker.Text()},
              {"how", std::string(jobs::kRunEnds.Name(end.how))},
              {"listed", end.list_number > 0 ? "yes" : "no"}});
    metrics_.Count("run_ends", {"", std::string(jobs::kRunEnds.Name(end.how))});
  }
  replica_.Submit(
      [ends = std::move(ends)](jobs::Batch* batch) {
        batch->ends.insert(batch->ends.end(), ends.begin(), ends.end());
      },
      [](const Status& stored) {
        // Unstored ends are listed or established again by the next leader.
        if (!stored)
          LogEvent(EventId::kCallFailed, {{"error", stored.error().Text()}});
      });
}

void WorkerFleet::NoteDeparture(const jobs::WorkerLife& life, const char* why) {
  const jobs::Worker* worker = replica_.ledger().FindWorker(life);
  if (worker == nullptr)
    return;
  jobs::WorkerNote note = worker->note;
  note.departed = true;
  LogEvent(EventId::kWorkerLost,
           {{"worker", note.life.Text()}, {"reason", why}});
  replica_.Submit(
      [note](jobs::Batch* batch) { batch->workers.push_back(note); },
      [](const Status& stored) {
        if (!stored)
          LogEvent(EventId::kCallFailed, {{"error", stored.error().Text()}});
      });
}

Millis WorkerFleet::SlowAfter(const jobs::RunName& run) const {
  const jobs::Job* job = replica_.ledger().FindJob(run.task.job);
  if (job == nullptr || !job->spec)
    return Millis::max();
  const jobs::StepSpec& step = job->spec->steps[run.task.step];
  // Members of a gang wait for each other, and data on another rack slows a
  // task down: neither is the worker's doing.
  if (step.long_running || step.gang || step.fills || !step.data_rack.empty())
    return Millis::max();
  return durations_.SlowAfter(job->queue, step.estimate);
}

void WorkerFleet::JudgeEnd(const jobs::Worker& worker,
                           const WorkerLink& link,
                           const jobs::EndNote& end,
                           TimePoint now) {
  if (end.how == jobs::RunEnd::kFailed) {
    NoteHealth(worker, false, now);
    std::erase_if(failed_on_, [&](const auto& item) {
      return replica_.ledger().FindTask(item.first) == nullptr;
    });
    failed_on_[end.run.task].insert(end.worker);
    return;
  }
  const auto track = link.tracks().find(end.run);
  // A run that was slow before has counted.
  if (end.how != jobs::RunEnd::kDone || track == link.tracks().end() ||
      track->second.slow || track->second.starts_sent == 0) {
    return;
  }
  const Millis took = now - track->second.since;
  NoteHealth(worker, took <= SlowAfter(end.run), now);
  const jobs::Job* job = replica_.ledger().FindJob(end.run.task.job);
  if (job != nullptr && job->spec)
    durations_.OnDone(job->queue, job->spec->steps[end.run.task.step].estimate,
                      took);
}

TimePoint WorkerFleet::JudgeOpenRuns(const jobs::Worker& worker,
                                     WorkerLink* link,
                                     TimePoint now) {
  const jobs::WorkerLife life = worker.note.life;
  std::vector<jobs::RunName> slow;
  TimePoint next = TimePoint::max();
  for (const auto& [run, track] : link->tracks()) {
    // Until the list is younger than the run's time, its end may be on its way.
    if (track.phase != RunPhase::kConfirmed || track.starts_sent == 0 ||
        track.stop_wanted || !link->Heard(now)) {
      continue;
    }
    const Millis slow_after = track.slow ? Millis::min() : SlowAfter(run);
    if (now - track.since > slow_after)
      slow.push_back(run);
    else if (slow_after != Millis::max())
      next = std::min(next, track.since + slow_after + Millis(1));
  }
  for (const jobs::RunName& run : slow) {
    if (link->MarkSlow(run)) {
      LogEvent(EventId::kRunSlow, {{"run", run.task.Text()},
                                   {"number", std::to_string(run.number)},
                                   {"worker", life.Text()}});
      metrics_.Count("runs_slow", {"", worker.note.pool.str()});
      NoteHealth(worker, false, now);
    }
    if (health_.State(HealthName(life), now) == HealthState::kSetAside)
      Stop(run, life, "worker_slow");
  }
  return next;
}

void WorkerFleet::NoteHealth(const jobs::Worker& worker,
                             bool ok,
                             TimePoint now) {
  const HostName name = HealthName(worker.note.life);
  const HealthState before = health_.State(name, now);
  // Half of a pool may be set aside: a fault of the jobs shows on all workers.
  const auto pool_size = static_cast<std::int64_t>(
      replica_.ledger().WorkersOf(worker.note.pool).size());
  health_.SetBudget(worker.note.pool, pool_size / 2);
  const HealthState after = health_.OnStart(name, worker.note.pool, ok, now);
  if (!ok)
    CheckSoon(worker.note.life);
  if (after != before) {
    LogEvent(EventId::kWorkerSetAside,
             {{"worker", worker.note.life.Text()},
              {"state", std::string(kHealthStates.Name(after))}});
  }
}

}  // namespace boragewinch::scheduler
