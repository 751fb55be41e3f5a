#ifndef BORAGEWINCH_TESTS_ENTRY_SIMULATION_IMPL_H_
#define BORAGEWINCH_TESTS_ENTRY_SIMULATION_IMPL_H_

#include <algorithm>

#include "entry_simulation.h"

namespace boragewinch::testing {

inline std::int64_t FakeWorker::running() const {
  return std::count_if(tasks.begin(), tasks.end(), [](const auto& task) {
    return task.second.state == TaskState::kRunning;
  });
}

inline WorkerReport FakeWorker::Report() {
  WorkerReport report;
  report.host = host;
  report.incarnation = incarnation;
  report.sequence = ++sequence;
  report.zone = ZoneName("z");
  report.address = "127.0.0.1:1";
  report.total = {16'000, 32'768, 0};
  report.leaving = leaving;
  report.acknowledged_assignment = assignment;
  report.acknowledged_pool = pool;
  report.acknowledged_drain = drain;
  for (const auto& [id, task] : tasks)
    report.tasks.push_back({id, task.team, task.state, {}});
  return report;
}

inline std::int64_t FakeLedger::Sum(const TeamName& team) const {
  std::int64_t sum = 0;
  for (const auto& [incarnation, share] : shares) {
    if (const auto count = share.counted.find(team);
        count != share.counted.end()) {
      sum += count->second;
    }
  }
  return sum;
}

// Reclaims the confirmed part of a lowered share, then grants what is free.
inline void FakeLedger::Report(const Incarnation& incarnation,
                               const ControlReport& report) {
  Share& share = shares[incarnation];
  share.report = report;
  const auto entries = static_cast<std::int64_t>(shares.size());
  for (const auto& [team, limit_units] : limit) {
    std::int64_t& offered = share.offered[team];
    std::int64_t& counted = share.counted[team];
    const auto running = report.running.find(team);
    const std::int64_t used =
        running == report.running.end() ? 0 : running->second;
    if (report.allotment_version >= share.version)
      counted = std::min(counted, std::max(offered, used));
    const auto wanted = report.wanted.find(team);
    const std::int64_t want =
        wanted == report.wanted.end() ? 0 : wanted->second;
    const std::int64_t fair = (limit_units + entries - 1) / entries;
    const std::int64_t target = std::min(fair, want + 1);
    if (target < offered) {
      offered = target;
      ++share.version;
    } else if (target > offered) {
      const std::int64_t available = limit_units - Sum(team) + counted;
      const std::int64_t grant = std::min(target, available);
      if (grant > offered) {
        offered = grant;
        counted = std::max(counted, grant);
        ++share.version;
      }
    }
  }
}

inline void FakeLedger::Reclaim(const EntryName& entry,
                                const Incarnation& incarnation) {
  shares.erase(incarnation);
  for (auto& [peer, share] : shares) {
    for (const TakenOver& taken : share.report.taken_over) {
      if (taken.entry != entry || taken.incarnation != incarnation)
        continue;
      for (const auto& [team, count] : taken.running) {
        share.offered[team] += count;
        share.counted[team] += count;
        ++share.version;
      }
    }
  }
}

inline EntrySimulation::EntrySimulation(int entries,
                                        int worker_count,
                                        std::uint64_t seed,
                                        EntryConfig base)
    : random(seed), base_(std::move(base)) {
  view.version = 1;
  view.pools[PoolName("pool")] = Pool{PoolName("pool"), 1};
  for (const char* team : {"intake", "dispatch"}) {
    view.teams[TeamName(team)] = Team{TeamName(team), 1, 12};
    ledger.limit[TeamName(team)] = 12;
  }
  view.queues[QueueName("wash")] =
      Queue{QueueName("wash"), PoolName("pool"), TeamName("intake"), false};
  view.queues[QueueName("open")] =
      Queue{QueueName("open"), PoolName("pool"), TeamName("dispatch"), true};
  for (const char* key : {"k1", "k2", "k3"}) {
    view.keys[KeyId(key)] =
        Key{KeyId(key), TeamName("intake"), HashSecret("secret")};
  }
  view.keys[KeyId("d1")] =
      Key{KeyId("d1"), TeamName("dispatch"), HashSecret("secret")};
  for (int i = 0; i < worker_count; ++i) {
    FakeWorker worker;
    worker.host = HostName("w" + std::to_string(i));
    worker.incarnation = Incarnation("wi" + std::to_string(i));
    view.hosts[worker.host] =
        Host{worker.host,   PoolName("pool"),   ZoneName("z"),
             RackName("r"), HostState::kActive, 1};
    workers.push_back(std::move(worker));
  }
  for (int i = 0; i < entries; ++i) {
    names.emplace_back("e" + std::to_string(i));
    incarnations.emplace_back();
    cores.emplace_back();
    frozen_until.emplace_back();
    Boot(i);
  }
  next_second_ = now;
}

inline void EntrySimulation::Boot(int entry) {
  const auto index = static_cast<std::size_t>(entry);
  EntryConfig config = base_;
  config.zone = ZoneName("z");
  config.name = names[index];
  config.incarnation = Incarnation("i" + std::to_string(next_incarnation_++));
  incarnations[index] = config.incarnation;
  cores[index] = std::make_unique<EntryCore>(
      config, MakeSimpleScheduler(),
      [this](std::uint64_t bound) { return random() % bound; }, now);
  ledger.shares[config.incarnation].last_report_at = now;
  cores[index]->OnFleetUpdate(view, now);
}

inline void EntrySimulation::Crash(int entry) {
  const auto index = static_cast<std::size_t>(entry);
  const Incarnation old = incarnations[index];
  Boot(entry);
  frozen_until[index] = now;
  // Rule 1 of the ledger: allotments of a replaced incarnation are reclaimed
  // one task lease after its last start can have arrived.
  Post(GranterLease(kTaskLease) + Millis(10'000), -1,
       [this, old, name = names[index]] { ledger.Reclaim(name, old); });
}

inline void EntrySimulation::CrashWorker(int worker) {
  FakeWorker& crashed = workers[static_cast<std::size_t>(worker)];
  crashed.incarnation = Incarnation("wj" + std::to_string(next_incarnation_++));
  crashed.sequence = 0;
  crashed.leaving = false;
  crashed.tasks.clear();
  crashed.forbidden.clear();
  crashed.done.clear();
}

inline void EntrySimulation::Drain(int worker, bool drain) {
  Host& host = view.hosts[workers[static_cast<std::size_t>(worker)].host];
  if ((host.state == HostState::kDraining) == drain)
    return;
  host.state = drain ? HostState::kDraining : HostState::kActive;
  host.version = host.assignment = ++view.version;
}

inline void EntrySimulation::Post(Millis delay,
                                  int entry,
                                  std::function<void()> run) {
  Event event{entry, {}, std::move(run)};
  if (entry >= 0)
    event.incarnation = incarnations[static_cast<std::size_t>(entry)];
  events_.emplace(now + delay, std::move(event));
}

inline void EntrySimulation::Send(int entry, const std::function<void()>& run) {
  if (Chance(link.drop_percent))
    return;
  Post(Delay(), entry, run);
  if (Chance(link.duplicate_percent))
    Post(Delay(), entry, run);
}

inline JobSpec EntrySimulation::Job(bool repeatable) const {
  JobSpec spec;
  spec.queue = QueueName("wash");
  spec.declared = {1'000, 1'024, 0};
  spec.repeatable = repeatable;
  spec.start_deadline = Millis(20'000);
  spec.payload = "p";
  return spec;
}

inline CallId EntrySimulation::Submit(int entry,
                                      JobSpec spec,
                                      RequestId ticket,
                                      std::string key) {
  const CallId call = next_call_++;
  calls_[call] = {CallKind::kSubmit, KeyId(key.substr(0, 2)), now};
  // Not new keyed work: the open queue, and retries of accepted requests.
  const bool retry = !ticket.empty() && !tickets_.insert(ticket).second;
  if (spec.queue == QueueName("open") || retry ||
      !spec.client_request_id.empty()) {
    not_new_keyed_work_.insert(call);
  }
  call_request_[call] = ticket;
  cores[static_cast<std::size_t>(entry)]->Submit(
      {call, std::move(key), std::move(ticket), std::move(spec),
       now + Millis(4'000)},
      now);
  Apply(entry);
  return call;
}

inline CallId EntrySimulation::Ask(int entry,
                                   CallKind kind,
                                   const RequestId& request,
                                   std::string key) {
  const CallId call = next_call_++;
  calls_[call] = {kind, KeyId(key.substr(0, 2)), now};
  call_request_[call] = request;
  EntryCore& core = *cores[static_cast<std::size_t>(entry)];
  RequestCall request_call{call, std::move(key), request, now + Millis(4'000)};
  if (kind == CallKind::kQuery)
    core.Query(std::move(request_call), now);
  else if (kind == CallKind::kCancel)
    core.Cancel(std::move(request_call), now);
  else if (kind == CallKind::kAwait)
    core.Await(std::move(request_call), now);
  else
    core.FetchResult(std::move(request_call), now);
  Apply(entry);
  return call;
}

inline const JobAnswer* EntrySimulation::answer(CallId call) const {
  const auto found = answers_.find(call);
  return found == answers_.end() ? nullptr : &found->second;
}

inline void EntrySimulation::CheckAnswer(const AnswerCaller& action) {
  const JobAnswer& answer = action.answer;
  if (!answers_.emplace(action.call, answer).second)
    violations.push_back("I5: call answered twice");
  const RequestId& expected = call_request_[action.call];
  if (!expected.empty() && expected != answer.request)
    violations.push_back("I5: answer of another request");
  const Call& call = calls_.at(action.call);
  const auto withdrawal = withdrawn.find(call.key);
  // The 5 s freshness bound and the time for the last responses.
  if (call.kind == CallKind::kSubmit && answer.outcome == Outcome::kAccepted &&
      withdrawal != withdrawn.end() &&
      call.at > withdrawal->second + Millis(8'000) &&
      !not_new_keyed_work_.contains(action.call)) {
    violations.push_back("I3: withdrawn key: " + answer.request.str());
  }
  if (!answer.body.empty() && answer.body != "done:" + answer.request.str())
    violations.push_back("I5: foreign or torn body for " +
                         answer.request.str());
  if (answer.outcome == Outcome::kRefusedNotRun && !answer.request.empty()) {
    not_run_.insert(answer.request);
    if (executions[answer.request] > 0)
      violations.push_back("I6: refused after a run: " + answer.request.str());
  }
}

inline FakeWorker* EntrySimulation::Worker(const HostName& host) {
  for (FakeWorker& worker : workers) {
    if (worker.host == host)
      return &worker;
  }
  return nullptr;
}

inline StartResponse EntrySimulation::Execute(FakeWorker& worker,
                                              const StartTask& start) {
  if (worker.forbidden.contains(start.task) ||
      worker.done.contains(start.task) || worker.tasks.contains(start.task)) {
    return StartResponse::kDuplicate;
  }
  if (worker.leaving || worker.drain || start.pool != worker.pool ||
      start.assignment < worker.assignment ||
      start.worker_incarnation != worker.incarnation) {
    worker.forbidden.insert(start.task);
    return StartResponse::kLeaving;
  }
  if (worker.running() >= kMaxSlotsPerWorker) {
    worker.forbidden.insert(start.task);
    return StartResponse::kBusy;
  }
  FakeWorker::Task task;
  task.team = start.spec.team;
  task.end_at =
      now + run_time + Millis(static_cast<std::int64_t>(random() % 4'000));
  task.lease_until = now + HolderLease(start.lease);
  task.body = "done:" + start.task.request.str();
  task.progress = start.progress;
  if (!start.progress.empty() &&
      !start.progress.starts_with("progress:" + start.task.request.str())) {
    violations.push_back("foreign or torn progress: " + start.task.Text());
  }
  worker.tasks[start.task] = task;
  const int count = ++executions[start.task.request];
  if (!start.spec.repeatable && count > 1)
    violations.push_back("I7: ran twice: " + start.task.request.str());
  if (check_client_ids && !start.spec.repeatable &&
      !start.spec.client_request_id.empty()) {
    const auto [known, added] = client_ids_.try_emplace(
        {start.spec.team, start.spec.client_request_id}, start.task.request);
    if (!added && known->second != start.task.request)
      violations.push_back("I7: client_request_id ran twice");
  }
  if (not_run_.contains(start.task.request))
    violations.push_back("I6: run after a refusal: " +
                         start.task.request.str());
  std::int64_t running = 0;
  for (const FakeWorker& other : workers) {
    running += std::count_if(
        other.tasks.begin(), other.tasks.end(), [&](const auto& entry) {
          return entry.second.state == TaskState::kRunning &&
                 entry.second.team == start.spec.team;
        });
  }
  if (running > ledger.Sum(start.spec.team))
    violations.push_back("I4: over the allotments: " + start.task.Text());
  return StartResponse::kStarted;
}

// The worker receives the start within 1.8 s or never; the entry host knows
// after at most 2 s that the response is lost.
inline void EntrySimulation::DeliverStart(int entry, const StartTask& start) {
  auto answer = std::make_shared<std::optional<StartReply>>();
  const auto deliver = [this, start, answer] {
    if (FakeWorker* worker = Worker(start.host); worker != nullptr) {
      const StartReply given{Execute(*worker, start), worker->incarnation};
      if (!*answer && !Chance(link.drop_percent))
        *answer = given;
    }
  };
  if (!Chance(link.drop_percent))
    Post(std::min(Delay(), Millis(1'800)), -1, deliver);
  if (Chance(link.duplicate_percent))
    Post(std::min(Delay(), Millis(1'800)), -1, deliver);
  const auto conclude = [this, entry, start, answer] {
    const Result<StartReply> result =
        *answer ? Result<StartReply>(**answer)
                : Result<StartReply>(Fail(ErrorCode::kTimeout, "no response"));
    cores[static_cast<std::size_t>(entry)]->OnStartResponse(
        start.task, start.host, result, now);
  };
  const bool quick = link.max_delay_ms < 100 && link.drop_percent == 0;
  Post(Millis(quick ? 10 : 2'000), entry, conclude);
}

inline void EntrySimulation::Apply(int entry) {
  for (EntryAction& action :
       cores[static_cast<std::size_t>(entry)]->TakeActions()) {
    if (intercept && !intercept(action, entry))
      continue;
    if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
      CheckAnswer(*answer);
    } else if (auto* send = std::get_if<SendPeer>(&action)) {
      const auto found = std::find(names.begin(), names.end(), send->entry);
      if (found == names.end())
        continue;
      const int to = static_cast<int>(found - names.begin());
      if (!Connected(entry, to))
        continue;
      const auto text = ToJson(send->message);
      Send(to, [this, entry, to, text] {
        auto message = PeerMessageFromJson(text);
        if (!message) {
          violations.push_back("codec: " + message.error().Text());
          return;
        }
        cores[static_cast<std::size_t>(to)]->OnPeerMessage(
            names[static_cast<std::size_t>(entry)], std::move(message).value(),
            now);
      });
    } else if (auto* start = std::get_if<StartTask>(&action)) {
      DeliverStart(entry, *start);
    } else if (auto* stop = std::get_if<StopTask>(&action)) {
      Send(-1, [this, task = stop->task, host = stop->host] {
        if (const auto found = Worker(host)->tasks.find(task);
            found != Worker(host)->tasks.end() &&
            found->second.state == TaskState::kRunning) {
          found->second.state = TaskState::kStopped;
        }
      });
    } else if (auto* checkpoint = std::get_if<CheckpointTask>(&action)) {
      Checkpoint(entry, *checkpoint);
    } else if (auto* forbid = std::get_if<ForbidTask>(&action)) {
      Send(-1, [this, entry, task = forbid->task, host = forbid->host] {
        FakeWorker& worker = *Worker(host);
        ForbidResponse answer{ForbidState::kForbidden, worker.incarnation};
        if (const auto found = worker.tasks.find(task);
            found == worker.tasks.end() && worker.done.contains(task)) {
          answer.state = ForbidState::kEnded;
        } else if (found == worker.tasks.end()) {
          worker.forbidden.insert(task);
        } else {
          answer.state = found->second.state == TaskState::kRunning
                             ? ForbidState::kRunning
                             : ForbidState::kEnded;
        }
        Send(entry, [this, entry, task, host, answer] {
          cores[static_cast<std::size_t>(entry)]->OnForbidResponse(task, host,
                                                                   answer, now);
        });
      });
    }
  }
}

inline void EntrySimulation::Checkpoint(int entry,
                                        const CheckpointTask& action) {
  auto answer = std::make_shared<std::optional<CheckpointResponse>>();
  Send(-1, [this, action, answer] {
    FakeWorker& worker = *Worker(action.host);
    const auto task = worker.tasks.find(action.task);
    CheckpointResponse given = CheckpointResponse::kNotRunning;
    if (!worker.checkpoint) {
      given = CheckpointResponse::kUnsupported;
    } else if (task != worker.tasks.end() &&
               task->second.state == TaskState::kRunning) {
      given = CheckpointResponse::kStopped;
      task->second.state = TaskState::kStopped;
      task->second.body = "progress:" + action.task.Text();
      PostResult(worker, action.task);
    }
    if (!*answer && !Chance(link.drop_percent))
      *answer = given;
  });
  Post(Millis(2'000), entry, [this, entry, action, answer] {
    const Result<CheckpointResponse> result =
        *answer ? Result<CheckpointResponse>(**answer)
                : Result<CheckpointResponse>(
                      Fail(ErrorCode::kTimeout, "no response"));
    cores[static_cast<std::size_t>(entry)]->OnCheckpointResponse(
        action.task, action.host, result, now);
  });
}

inline void EntrySimulation::SendReport(FakeWorker& worker, int entry) {
  const TimePoint sent_at = now;
  Send(entry, [this, entry, sent_at, report = worker.Report()] {
    const auto answer =
        cores[static_cast<std::size_t>(entry)]->OnWorkerReport(report, now);
    Send(-1, [this, sent_at, answer, host = report.host,
              incarnation = report.incarnation] {
      FakeWorker& receiver = *Worker(host);
      if (receiver.incarnation != incarnation)
        return;
      if (answer.assignment > receiver.assignment) {
        receiver.assignment = answer.assignment;
        receiver.pool = answer.pool;
        receiver.drain = answer.drain;
      }
      for (const TaskId& task : answer.renewed) {
        if (const auto found = receiver.tasks.find(task);
            found != receiver.tasks.end()) {
          found->second.lease_until = std::max(
              found->second.lease_until, sent_at + HolderLease(kTaskLease));
        }
      }
      for (const TaskId& task : answer.stop) {
        if (const auto found = receiver.tasks.find(task);
            found != receiver.tasks.end() &&
            found->second.state == TaskState::kRunning) {
          found->second.state = TaskState::kStopped;
        }
      }
      for (const TaskId& task : answer.acknowledged)
        receiver.tasks.erase(task);
      receiver.done.insert(answer.acknowledged.begin(),
                           answer.acknowledged.end());
    });
  });
}

inline void EntrySimulation::PostResult(const FakeWorker& worker,
                                        const TaskId& task) {
  TaskResult result;
  result.task = task;
  result.state = worker.tasks.at(task).state;
  result.body = worker.tasks.at(task).body;
  result.length = result.body.size();
  result.hash = Hash64(result.body);
  if (Chance(link.corrupt_percent))
    result.body.back() = '#';
  const int entry = static_cast<int>(random() % cores.size());
  Send(entry, [this, entry, result, host = worker.host] {
    const auto answer =
        cores[static_cast<std::size_t>(entry)]->OnResult(result, now);
    if (answer && answer.value() == ResultAck::kAcknowledged) {
      Worker(host)->tasks.erase(result.task);
      Worker(host)->done.insert(result.task);
    }
  });
}

inline void EntrySimulation::StepWorker(FakeWorker& worker) {
  for (auto& [id, task] : worker.tasks) {
    if (task.state == TaskState::kRunning && now >= task.lease_until) {
      task.state = TaskState::kStopped;
    } else if (task.state == TaskState::kRunning && now >= task.end_at) {
      task.state = TaskState::kFinished;
      PostResult(worker, id);
    }
  }
}

// One control.sync call with its response.
inline void EntrySimulation::Sync(int entry) {
  if (!Connected(entry, -1))
    return;
  const auto index = static_cast<std::size_t>(entry);
  const TimePoint sent_at = now;
  const Incarnation incarnation = incarnations[index];
  const ControlReport report = cores[index]->BuildControlReport(now);
  Send(-1, [this, entry, sent_at, incarnation, report] {
    if (!ledger.shares.contains(incarnation))
      return;
    ledger.Report(incarnation, report);
    FakeLedger::Share& share = ledger.shares[incarnation];
    share.last_report_at = now;
    ControlResponse answer;
    answer.confirmed_at = sent_at;
    answer.allotment_version = share.version;
    answer.allotment = share.offered;
    for (const auto& [key, at] : withdrawn)
      answer.tombstones.push_back(key);
    lost.erase(incarnation);
    for (std::size_t i = 0; i < names.size(); ++i) {
      if (!lost.contains(incarnations[i]))
        answer.entries.push_back({names[i], ZoneName("z"), incarnations[i]});
    }
    Send(entry, [this, entry, incarnation, answer, fleet = view] {
      const auto at = static_cast<std::size_t>(entry);
      if (incarnations[at] != incarnation)
        return;
      cores[at]->OnFleetUpdate(fleet, now);
      cores[at]->OnControlResponse(answer, now);
    });
  });
}

inline void EntrySimulation::ReclaimUnresponsive() {
  const Millis bound =
      GranterLease(kIsolationBound) + GranterLease(kTaskLease) + Millis(5'000);
  for (std::size_t i = 0; i < names.size(); ++i) {
    const auto own = ledger.shares.find(incarnations[i]);
    if (now - own->second.last_report_at < bound)
      continue;
    bool all_unresponsive = true;
    for (std::size_t j = 0; j < names.size(); ++j) {
      const auto& unresponsive =
          ledger.shares[incarnations[j]].report.unresponsive;
      all_unresponsive =
          all_unresponsive &&
          (i == j || std::any_of(unresponsive.begin(), unresponsive.end(),
                                 [&](const UnresponsivePeer& peer) {
                                   return peer.incarnation == incarnations[i] &&
                                          peer.unresponsive_for >= bound &&
                                          peer.fenced;
                                 }));
    }
    if (!all_unresponsive)
      continue;
    const std::uint64_t version = own->second.version;
    ledger.Reclaim(names[i], incarnations[i]);
    lost.insert(incarnations[i]);
    ++reclaimed;
    // It registers again and starts without allotments.
    ledger.shares[incarnations[i]].version = version + 1;
    ledger.shares[incarnations[i]].last_report_at = now;
  }
}

inline void EntrySimulation::Run(Millis time) {
  constexpr Millis kStep{50};
  for (const TimePoint end = now + time; now < end; now += kStep) {
    while (!events_.empty() && events_.begin()->first <= now) {
      auto node = events_.extract(events_.begin());
      Event& event = node.mapped();
      if (event.entry >= 0) {
        const auto index = static_cast<std::size_t>(event.entry);
        if (frozen_until[index] > now) {
          node.key() = frozen_until[index];
          events_.insert(std::move(node));
          continue;
        }
        if (event.incarnation != incarnations[index])
          continue;
      }
      event.run();
      if (event.entry >= 0)
        Apply(event.entry);
    }
    for (std::size_t i = 0; i < cores.size(); ++i) {
      if (frozen_until[i] > now)
        continue;
      cores[i]->Tick(now);
      Apply(static_cast<int>(i));
    }
    for (FakeWorker& worker : workers)
      StepWorker(worker);
    if (now < next_second_)
      continue;
    next_second_ = now + kHeartbeatInterval;
    ReclaimUnresponsive();
    for (std::size_t i = 0; i < cores.size(); ++i) {
      for (FakeWorker& worker : workers) {
        // Pairs (entry, 100 + worker) are cut links to workers.
        const int link_end = 100 + static_cast<int>(&worker - workers.data());
        if (Connected(static_cast<int>(i), link_end))
          SendReport(worker, static_cast<int>(i));
      }
      if (frozen_until[i] <= now)
        Sync(static_cast<int>(i));
    }
    for (FakeWorker& worker : workers) {
      for (const auto& [id, task] : worker.tasks) {
        const bool has_progress = task.state == TaskState::kStopped &&
                                  task.body.starts_with("progress:");
        if (task.state == TaskState::kFinished || has_progress)
          PostResult(worker, id);
      }
    }
  }
}

}  // namespace boragewinch::testing

#endif  // BORAGEWINCH_TESTS_ENTRY_SIMULATION_IMPL_H_
