#include "control/leader_controller.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "model/worker_types.h"
#include "policy/explain.h"

namespace boragewinch {

namespace {

constexpr Millis kControlInterval{100};
// A new leader collects reports this long before it declares a host lost.
constexpr Millis kObservationTime{5'000};
// Deadlines and estimates have a resolution of 1 s, so a plan of unchanged
// inputs stays valid that long.
constexpr Millis kWavePlanLifetime{1'000};
constexpr Millis kBufferInterval{1'000};
// Lent hosts become returnable after a minimum stay, so a plan expires even
// with unchanged inputs.
constexpr Millis kBufferPlanLifetime{10'000};
// Delay before the next platform call for a host after a failed one. No
// exponential backoff: one call for each host in maintenance is a low rate.
constexpr Millis kPlatformRetryDelay{1'000};
constexpr char kAllotmentsKey[] = "allotments";
constexpr std::size_t kMaxRegistrationsPerTick = 64;

[[nodiscard]] EntryReport ToEntryReport(const SyncReport& report) {
  EntryReport entry;
  entry.run = {report.entry, report.incarnation};
  entry.allotment_version = report.allotment_version;
  entry.running = report.running;
  entry.wanted = report.wanted;
  entry.returned = report.returned;
  for (const UnresponsivePeerReport& peer : report.unresponsive) {
    entry.unresponsive_peers.push_back({{peer.entry, peer.incarnation},
                                        peer.unresponsive_for,
                                        peer.fenced,
                                        {}});
  }
  for (const TakeOverReport& taken : report.taken_over) {
    const EntryRun run{taken.entry, taken.incarnation};
    const auto known = std::find_if(
        entry.unresponsive_peers.begin(), entry.unresponsive_peers.end(),
        [&run](const UnresponsiveRun& peer) { return peer.run == run; });
    if (known != entry.unresponsive_peers.end()) {
      known->taken_over = taken.running;
    } else {
      // Not listed as unresponsive: it hands its tasks over at a planned stop,
      // or a newer incarnation has replaced it. A time of 0 never counts as
      // lost.
      entry.unresponsive_peers.push_back({run, Millis(0), true, taken.running});
    }
  }
  return entry;
}

}  // namespace

LeaderController::LeaderController(EventLoop& loop,
                                   PlatformClient& platform,
                                   const FleetState& state,
                                   const EntryReports& reports,
                                   WaveConfig waves,
                                   BufferMoveConfig buffers,
                                   Submit submit)
    : loop_(loop),
      platform_(platform),
      state_(state),
      reports_(reports),
      waves_(std::move(waves)),
      buffers_(buffers),
      submit_(std::move(submit)) {}

void LeaderController::OnLeadership(TimePoint now) {
  leading_since_ = now;
  next_tick_ = now;
  next_buffers_ = now + kObservationTime;
  in_flight_.clear();
  platform_failed_.clear();
  ++leadership_epoch_;
  unresponsive_since_.clear();
  inputs_.reset();
  wave_plan_.reset();
  buffer_plan_until_ = now;
  caps_.clear();
  retiring_since_.clear();
  reclaim_planner_ = ReclaimPlanner(now);
  allotment_planner_ = AllotmentPlanner();
}

void LeaderController::SubmitOnce(const std::string& key, CommandBody body) {
  if (!in_flight_.insert(key).second)
    return;
  Command command;
  command.body = std::move(body);
  submit_(command, [this, key, leadership = leadership_epoch_](
                       const Result<CommandResult>& result) {
    if (leadership == leadership_epoch_)
      in_flight_.erase(key);
    if (result && result.value().accepted)
      return;
    const Error& error =
        result ? result.value().errors.front() : result.error();
    LogEvent(EventId::kCommandRefused,
             {{"command", key}, {"error", error.Text()}});
  });
}

void LeaderController::OnReport(const SyncReport& report, TimePoint now) {
  reclaim_planner_.Observe(ToEntryReport(report), now);
  allotment_planner_.Observe(ToEntryReport(report), now);
  WithdrawReportedKeys(report);
  if (report.retiring)
    RetireStoppedEntry(report, now);
}

void LeaderController::WithdrawReportedKeys(const SyncReport& report) {
  if (report.tombstones.empty())
    return;
  const std::set<KeyId> known = state_.Tombstones();
  WithdrawKey body;
  for (const KeyId& key : report.tombstones) {
    if (!known.contains(key))
      body.ids.push_back(key);
  }
  if (body.ids.empty())
    return;
  // The evaluation order of arguments is unspecified: read `body` before the
  // move.
  const std::string key = "withdraw " + body.ids.front().str();
  SubmitOnce(key, std::move(body));
}

void LeaderController::RetireStoppedEntry(const SyncReport& report,
                                          TimePoint now) {
  // A report lists the transferred tasks only if it was built after the
  // hand-over, so wait until each zone peer has sent one that arrived at least
  // a sync interval later.
  const TimePoint since =
      retiring_since_.try_emplace({report.entry, report.incarnation}, now)
          .first->second;
  for (const auto& [name, entry] : state_.ledger().entries) {
    if (entry.zone != report.zone || name == report.entry)
      continue;
    const auto latest = reports_.latest().find(name);
    if (latest == reports_.latest().end() ||
        latest->second.received < since + kSyncInterval)
      return;
  }
  SubmitOnce("retire " + report.entry.str(),
             RetireEntry{{report.entry, report.incarnation},
                         TransfersFrom(report.entry, now)});
}

std::vector<AllotmentTransfer> LeaderController::TransfersFrom(
    const EntryName& entry,
    TimePoint now) const {
  return reclaim_planner_.TransfersOf(state_.ledger(), entry, now);
}

void LeaderController::Tick(TimePoint now) {
  if (now < next_tick_)
    return;
  next_tick_ = now + kControlInterval;
  RefreshInputs(now);
  RegisterNewHosts();
  RebalanceAllotments(now);
  ReclaimLostEntries(now);
  ProgressHosts(now);
  ProgressMoves();
  ProgressWaves(now);
  ProgressBuffers(now);
}

void LeaderController::RefreshInputs(TimePoint now) {
  Inputs inputs{state_.version(), reports_.revision(), reports_.Fresh(now)};
  inputs_changed_ = inputs_ != inputs;
  if (!inputs_changed_)
    return;
  inputs_ = std::move(inputs);
  unavailable_ = reports_.Unavailable(state_.view(), now);
  wave_plan_.reset();
  buffer_plan_until_ = now;
}

void LeaderController::RebalanceAllotments(TimePoint now) {
  if (in_flight_.contains(kAllotmentsKey))
    return;
  AllotmentPlan plan =
      allotment_planner_.Plan(state_.view().teams, state_.ledger(), now);
  caps_ = std::move(plan.caps);
  if (!plan.command.changes.empty())
    SubmitOnce(kAllotmentsKey, std::move(plan.command));
}

TeamCounts LeaderController::CapsOf(const EntryName& entry) const {
  const auto caps = caps_.find(entry);
  return caps == caps_.end() ? TeamCounts() : caps->second;
}

void LeaderController::ReclaimLostEntries(TimePoint now) {
  for (ReclaimEntry& reclaim : reclaim_planner_.Plan(state_.ledger(), now)) {
    LogEvent(EventId::kEntryLost,
             {{"entry", reclaim.run.entry.str()},
              {"incarnation", reclaim.run.incarnation.str()}});
    const std::string key = "reclaim " + reclaim.run.entry.str();
    SubmitOnce(key, std::move(reclaim));
  }
}

void LeaderController::RegisterNewHosts() {
  // With unchanged inputs the only hosts to register are those whose
  // registration was refused, is in flight or exceeded the limit per tick.
  if (!inputs_changed_ && !registrations_pending_)
    return;
  registrations_pending_ = false;
  std::size_t submitted = 0;
  for (const auto& [entry, latest] : reports_.latest()) {
    for (const auto& [host, worker] : latest.workers) {
      if (state_.view().hosts.contains(host) || state_.view().pools.empty())
        continue;
      registrations_pending_ = true;
      if (++submitted > kMaxRegistrationsPerTick)
        return;
      SubmitOnce(
          "register " + host.str(),
          RegisterHost{host, worker.zone, worker.rack, loop_.unix_seconds()});
    }
  }
}

void LeaderController::ProgressHosts(TimePoint now) {
  const auto& hosts = state_.view().hosts;
  if (inputs_changed_) {
    hosts_to_recheck_.clear();
    for (const auto& [name, host] : hosts) {
      if (!ProgressHost(host, now))
        hosts_to_recheck_.insert(hosts_to_recheck_.end(), name);
    }
    return;
  }
  for (const HostName& name : hosts_to_recheck_) {
    if (const auto host = hosts.find(name); host != hosts.end())
      static_cast<void>(ProgressHost(host->second, now));
  }
}

Millis LeaderController::UnresponsiveFor(const HostName& host,
                                         bool alive,
                                         TimePoint now) {
  if (alive) {
    unresponsive_since_.erase(host);
    return Millis(0);
  }
  return now - unresponsive_since_.try_emplace(host, now).first->second;
}

bool LeaderController::ProgressHost(const Host& host, TimePoint now) {
  const auto status = reports_.StatusOf(host.name, now);
  const bool alive = status && !status->lost;
  if (host.state == HostState::kActive && alive) {
    unresponsive_since_.erase(host.name);
    return true;
  }
  // If no entry host of a zone reports, the zone may be partitioned and still
  // serving, so its hosts are not declared lost.
  const bool observed = reports_.ZoneIsFresh(host.zone, now) &&
                        now - leading_since_ > kObservationTime;
  const Millis unresponsive_for =
      UnresponsiveFor(host.name, alive || !observed, now);
  const bool drained = alive && status->idle && status->acknowledged_drain &&
                       status->acknowledged_assignment == host.assignment;
  switch (host.state) {
    case HostState::kActive:
      if (observed && !alive && unresponsive_for > kWorkerLostAfter)
        SubmitObservedState(host, HostState::kLost);
      break;
    case HostState::kDraining:
      // No task can run on a lost worker once its task leases have expired.
      if (drained)
        SubmitObservedState(host, HostState::kDrained);
      else if (observed && unresponsive_for > GranterLease(kTaskLease))
        SubmitObservedState(host, HostState::kLost);
      break;
    case HostState::kDrained:
    case HostState::kRebooting:
      ProgressReboot(host, alive, now);
      break;
    case HostState::kReturning:
      if (alive && !status->acknowledged_drain &&
          status->acknowledged_assignment == host.assignment)
        SubmitObservedState(host, HostState::kActive);
      else if (observed && unresponsive_for > GranterLease(kTaskLease))
        SubmitObservedState(host, HostState::kLost);
      break;
    case HostState::kLost:
      if (!alive)
        break;
      if (!state_.drains().contains(host.name))
        SubmitObservedState(host, HostState::kActive);
      else
        SubmitObservedState(
            host, drained ? HostState::kDrained : HostState::kDraining);
      break;
  }
  return false;
}

void LeaderController::SubmitObservedState(const Host& host,
                                           HostState state,
                                           std::optional<std::int64_t> boots) {
  if (state == HostState::kLost)
    LogEvent(EventId::kWorkerLost, {{"host", host.name.str()}});
  if (state == HostState::kDrained)
    LogEvent(EventId::kDrainDone, {{"host", host.name.str()}});
  if (state == HostState::kActive)
    LogEvent(EventId::kHostReturned, {{"host", host.name.str()}});
  SubmitOnce("state " + host.name.str(),
             SetHostState{host.name, state, host.assignment,
                          loop_.unix_seconds(), boots});
}

void LeaderController::ProgressReboot(const Host& host,
                                      bool alive,
                                      TimePoint now) {
  const auto drain = state_.drains().find(host.name);
  // A host that an operator has drained stays drained until the operator
  // returns it.
  const bool maintenance =
      drain != state_.drains().end() && drain->second.operator_name.empty();
  if (!maintenance || !platform_.available() ||
      state_.pending_moves().contains(host.name))
    return;
  const auto failed = platform_failed_.find(host.name);
  if (failed != platform_failed_.end() &&
      now - failed->second < kPlatformRetryDelay)
    return;
  CallPlatform(host.name, now, std::nullopt,
               [this, name = host.name, alive, now](const PlatformHost& found) {
                 OnPlatformHost(name, found, alive, now);
               });
}

void LeaderController::CallPlatform(const HostName& host,
                                    TimePoint now,
                                    std::optional<std::int64_t> reboot_after,
                                    PlatformCallback then) {
  const std::string key = "platform " + host.str();
  if (!in_flight_.insert(key).second)
    return;
  const auto done = [this, key, host, now, then = std::move(then),
                     leadership =
                         leadership_epoch_](Result<PlatformHost> result) {
    // Results of an earlier leadership are ignored; its calls are repeated.
    if (leadership != leadership_epoch_)
      return;
    in_flight_.erase(key);
    if (!result) {
      OnPlatformFailed(host, result.error(), now);
      return;
    }
    platform_failed_.erase(host);
    then(result.value());
  };
  if (reboot_after)
    platform_.Reboot(host, *reboot_after, done);
  else
    platform_.Query(host, done);
}

void LeaderController::OnPlatformFailed(const HostName& host,
                                        const Error& error,
                                        TimePoint now) {
  // Of consecutive failed calls only the first is logged as kPlatformFailed;
  // one is enough for an operator.
  const bool first = platform_failed_.insert_or_assign(host, now).second;
  LogEvent(first ? EventId::kPlatformFailed : EventId::kCallFailed,
           {{"host", host.str()}, {"error", error.Text()}});
}

// The boot count is replicated before the reboot is requested, and the request
// is repeated only while the platform reports that count: neither a lost
// response nor a new leader reboots a host twice in one maintenance.
void LeaderController::OnPlatformHost(const HostName& name,
                                      const PlatformHost& found,
                                      bool alive,
                                      TimePoint now) {
  const auto host = state_.view().hosts.find(name);
  const auto drain = state_.drains().find(name);
  if (host == state_.view().hosts.end() || drain == state_.drains().end())
    return;
  if (host->second.state == HostState::kDrained) {
    SubmitObservedState(host->second, HostState::kRebooting, found.boots);
    return;
  }
  if (host->second.state != HostState::kRebooting)
    return;
  // Without a count the reboot was requested by an older software version.
  const std::int64_t before = drain->second.boots.value_or(-1);
  if (found.boots < before) {
    OnPlatformFailed(
        name,
        Error{ErrorCode::kConflict,
              "boot count decreased from " + std::to_string(before) + " to " +
                  std::to_string(found.boots),
              std::nullopt},
        now);
  } else if (found.up && found.boots == before) {
    CallPlatform(name, now, before, [](const PlatformHost&) {});
  } else if (found.up && alive) {
    SubmitObservedState(host->second, HostState::kReturning);
  }
}

void LeaderController::ProgressMoves() {
  for (const auto& [name, move] : state_.pending_moves()) {
    const std::string key = "move " + name.str();
    switch (state_.NextMoveStep(name)) {
      case MoveStep::kNone:
      case MoveStep::kWait:
        break;
      case MoveStep::kDrain:
        SubmitOnce(key, DrainHost{name, unavailable_});
        break;
      case MoveStep::kMove:
        SubmitOnce(key, MoveHost{name, move.pool, false, unavailable_});
        break;
      case MoveStep::kReturn:
        SubmitOnce(key, ReturnHost{name});
        break;
    }
  }
}

WavePlan LeaderController::CurrentWavePlan(TimePoint now) const {
  return PlanWave(state_.view(), reports_.Unavailable(state_.view(), now),
                  loop_.unix_seconds(), waves_);
}

void LeaderController::ProgressWaves(TimePoint now) {
  if (state_.view().version == 0 || !platform_.available())
    return;
  if (!wave_plan_ || now >= wave_plan_until_) {
    wave_plan_ =
        PlanWave(state_.view(), unavailable_, loop_.unix_seconds(), waves_);
    wave_plan_until_ = now + kWavePlanLifetime;
  }
  const WavePlan& plan = *wave_plan_;
  for (const HostName& host : plan.cancel)
    SubmitOnce("wave " + host.str(), ReturnHost{host});
  for (const HostName& host : plan.start) {
    LogEvent(EventId::kDrainGranted, {{"host", host.str()}});
    SubmitOnce("wave " + host.str(), DrainHost{host, unavailable_});
  }
  const std::string text =
      std::to_string(plan.due) + " " + std::to_string(plan.in_maintenance);
  if (text != last_wave_text_ && (plan.due > 0 || plan.in_maintenance > 0)) {
    LogEvent(EventId::kWaveProgress,
             {{"due", static_cast<long>(plan.due)},
              {"in_work", static_cast<long>(plan.in_maintenance)}});
  }
  last_wave_text_ = text;
}

void LeaderController::SubmitBufferMove(const HostMove& move,
                                        const char* kind,
                                        MoveHost body) {
  // The same key as in ProgressMoves, so that two steps of a host's move are
  // never in flight at once.
  const std::string key = "move " + move.host.str();
  if (in_flight_.contains(key))
    return;
  LogEvent(EventId::kBufferMove, {{"host", move.host.str()},
                                  {"kind", kind},
                                  {"from", move.from.str()},
                                  {"to", move.to.str()}});
  SubmitOnce(key, std::move(body));
}

void LeaderController::ProgressBuffers(TimePoint now) {
  if (now < next_buffers_ || state_.view().version == 0)
    return;
  next_buffers_ = now + kBufferInterval;
  std::set<HostName> confirmed_lost;
  for (const auto& [host, since] : unresponsive_since_) {
    if (now - since >= buffers_.loss_delay)
      confirmed_lost.insert(confirmed_lost.end(), host);
  }
  if (now < buffer_plan_until_ && confirmed_lost == buffer_confirmed_lost_)
    return;
  buffer_plan_until_ = now + kBufferPlanLifetime;
  buffer_confirmed_lost_ = confirmed_lost;
  const std::int64_t wall = loop_.unix_seconds();
  // There are no waves without a platform.
  const std::vector<PoolWave> waves =
      wave_plan_ ? wave_plan_->pools : std::vector<PoolWave>();
  const BufferMoves moves =
      DecideBufferMoves({state_.view(), state_.pending_moves(), unavailable_,
                         confirmed_lost, waves, wall},
                        buffers_);
  for (const HostMove& move : moves.lend) {
    SubmitBufferMove(
        move, "lend",
        MoveHost{move.host, move.to, false, unavailable_, true, wall});
  }
  for (const HostMove& move : moves.returns)
    SubmitBufferMove(move, "return",
                     MoveHost{move.host, move.to, true, unavailable_});
  for (const HostName& host : moves.cancel) {
    const PoolName& pool = state_.view().hosts.at(host).pool;
    SubmitBufferMove({host, pool, pool}, "stay", MoveHost{host, pool});
    if (state_.drains().contains(host))
      SubmitOnce("return " + host.str(), ReturnHost{host});
  }
}

Json LeaderController::WavesJson(TimePoint now) const {
  const WavePlan plan = CurrentWavePlan(now);
  Json json;
  json["due"] = ::Json::Int64(plan.due);
  json["in_work"] = ::Json::Int64(plan.in_maintenance);
  if (plan.end_estimate)
    json["end_estimate"] = ::Json::Int64(*plan.end_estimate);
  Json pools(::Json::arrayValue);
  for (const PoolWave& wave : plan.pools) {
    Json item;
    item["pool"] = wave.pool.str();
    item["hosts"] = ::Json::Int64(wave.hosts);
    item["available"] = ::Json::Int64(wave.available);
    item["min_available"] = ::Json::Int64(wave.min_available);
    item["due"] = ::Json::Int64(wave.due);
    item["in_work"] = ::Json::Int64(wave.in_maintenance);
    item["done"] = ::Json::Int64(wave.done);
    item["wait"] = std::string(kWaveWaits.Name(wave.wait));
    if (wave.end_estimate)
      item["end_estimate"] = ::Json::Int64(*wave.end_estimate);
    pools.append(std::move(item));
  }
  json["pools"] = std::move(pools);
  return json;
}

Result<Json> LeaderController::Explain(const std::string& kind,
                                       const std::string& name,
                                       TimePoint now) const {
  const FleetView& view = state_.view();
  const std::set<HostName> lost = reports_.Unavailable(view, now);
  std::string text;
  if (kind == "host") {
    const auto host = view.hosts.find(HostName(name));
    if (host == view.hosts.end())
      return Fail(ErrorCode::kNotFound, "no host \"" + name + "\"");
    text = ExplainHost(host->second, lost, CurrentWavePlan(now)).text;
  } else if (kind == "pool") {
    if (!view.pools.contains(PoolName(name)))
      return Fail(ErrorCode::kNotFound, "no pool \"" + name + "\"");
    text = ExplainPool(PoolName(name), CurrentWavePlan(now),
                       PlanBuffers(view, lost, BufferConfig()))
               .text;
  } else if (kind == "team") {
    const auto team = view.teams.find(TeamName(name));
    if (team == view.teams.end())
      return Fail(ErrorCode::kNotFound, "no team \"" + name + "\"");
    text = ExplainTeamUse(team->second);
  } else {
    return Fail(ErrorCode::kInvalidField, "kind must be host, pool or team");
  }
  Json json;
  json["kind"] = kind;
  json["name"] = name;
  json["text"] = text;
  return json;
}

std::string LeaderController::ExplainTeamUse(const Team& team) const {
  std::int64_t running = 0;
  std::int64_t wanted = 0;
  for (const auto& [entry, latest] : reports_.latest()) {
    const auto count = [&team](const TeamCounts& counts) {
      const auto found = counts.find(team.name);
      return found == counts.end() ? 0 : found->second;
    };
    running += count(latest.report.running);
    wanted += count(latest.report.wanted);
  }
  std::int64_t shares = 0;
  for (const auto& [name, other] : state_.view().teams)
    shares += other.share;
  return "team " + team.name.str() + " runs " + std::to_string(running) +
         " of at most " + std::to_string(team.limit) + ", wants " +
         std::to_string(wanted) + ", holds allotments of " +
         std::to_string(state_.ledger().Total(team.name)) + "; share " +
         std::to_string(team.share) + " of " + std::to_string(shares) +
         " is its part when all teams have work, not a reservation and not a "
         "limit";
}

}  // namespace boragewinch
