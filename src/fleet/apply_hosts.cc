#include "base/invariant.h"
#include "fleet/fleet_state.h"

namespace boragewinch {

Result<Host*> FleetState::FindHost(const HostName& name) {
  const auto it = view_.hosts.find(name);
  if (it == view_.hosts.end()) {
    return Fail(ErrorCode::kUnknownName,
                "host \"" + name.str() + "\" does not exist");
  }
  return &it->second;
}

bool FleetState::InSparePool(const Host& host) const {
  const auto pool = view_.pools.find(host.pool);
  return pool != view_.pools.end() && pool->second.spare;
}

void FleetState::EndLending(Host* host) {
  host->lent_from = PoolName();
  host->lent_at = 0;
}

Status FleetState::CheckBudget(const Host& host,
                               const std::set<HostName>& lost) const {
  // Draining a host that is not available doesn't lower the available number.
  if (host.state != HostState::kActive || lost.contains(host.name))
    return Ok();
  const Pool& pool = view_.pools.at(host.pool);
  const std::int64_t available = AvailableWorkers(view_, host.pool, lost);
  if (available - 1 >= pool.min_available)
    return Ok();
  return Fail(ErrorCode::kBudgetExceeded,
              "pool \"" + pool.name.str() + "\" has " +
                  std::to_string(available) +
                  " available workers and must keep " +
                  std::to_string(pool.min_available));
}

Status FleetState::TakeOutOfService(const std::set<HostName>& lost,
                                    HostState state,
                                    Host* host) {
  BW_CHECK(CheckBudget(*host, lost));
  const HostState old_state = host->state;
  const std::int64_t before = AvailableWorkers(view_, host->pool, lost);
  host->state = state;
  const std::int64_t after = AvailableWorkers(view_, host->pool, lost);
  const Pool& pool = view_.pools.at(host->pool);
  if (CheckInvariant(
          Invariant::kAvailabilityBudget,
          after == before || after >= pool.min_available,
          "a drain or move would violate the availability budget of pool " +
              pool.name.str())) {
    return Ok();
  }
  host->state = old_state;
  return Fail(ErrorCode::kBudgetExceeded,
              "the drain would violate the availability budget");
}

Status FleetState::StartDrain(const std::set<HostName>& lost,
                              const OperatorCall& call,
                              Host* host,
                              CommandResult* result) {
  const bool in_service =
      host->state == HostState::kActive || host->state == HostState::kReturning;
  if (drains_.contains(host->name))
    return Ok();
  BW_CHECK(TakeOutOfService(
      lost, in_service ? HostState::kDraining : host->state, host));
  host->version = host->assignment = BumpVersion(result);
  drains_[host->name] = {host->version, call.operator_name};
  return Ok();
}

void FleetState::EndDrain(Host* host, CommandResult* result) {
  if (host->state != HostState::kLost)
    host->state = HostState::kReturning;
  host->version = host->assignment = BumpVersion(result);
  drains_.erase(host->name);
  if (const auto move = moves_.find(host->name);
      move != moves_.end() && move->second.moved) {
    moves_.erase(move);
  }
}

Status FleetState::Execute(const DrainHost& body,
                           const OperatorCall& call,
                           CommandResult* result) {
  BW_TRY(Host * host, FindHost(body.host));
  return StartDrain(body.lost, call, host, result);
}

Status FleetState::Execute(const ReturnHost& body,
                           const OperatorCall& call,
                           CommandResult* result) {
  BW_TRY(Host * host, FindHost(body.host));
  if (!call.operation_id.empty() && moves_.erase(body.host) > 0)
    BumpVersion(result);
  if (drains_.contains(body.host))
    EndDrain(host, result);
  return Ok();
}

Status FleetState::Execute(const MoveHost& body,
                           const OperatorCall& call,
                           CommandResult* result) {
  BW_TRY(Host * host, FindHost(body.host));
  if (!view_.pools.contains(body.pool)) {
    return Fail(ErrorCode::kUnknownName,
                "pool \"" + body.pool.str() + "\" does not exist");
  }
  const auto pending = moves_.find(body.host);
  if (host->pool == body.pool) {
    if (pending != moves_.end() && !pending->second.moved) {
      moves_.erase(pending);
      BumpVersion(result);
    }
    // An operator's move to the current pool makes a lent host belong to it.
    if (!call.operation_id.empty() && !host->lent_from.empty()) {
      EndLending(host);
      host->version = BumpVersion(result);
    }
    return Ok();
  }
  const bool return_after =
      body.drain_first ||
      (pending != moves_.end() && pending->second.pool == body.pool);
  const bool from_spare =
      InSparePool(*host) && (host->state == HostState::kActive ||
                             host->state == HostState::kReturning);
  if (host->state == HostState::kDrained || from_spare) {
    if (from_spare)
      BW_CHECK(TakeOutOfService(body.lost, HostState::kReturning, host));
    if (!CheckInvariant(
            Invariant::kOnePoolPerHost,
            host->state == HostState::kDrained || InSparePool(*host),
            "host " + body.host.str() +
                " would move while tasks of its pool may run")) {
      return Fail(ErrorCode::kConflict,
                  "the move could overlap with tasks of the old pool");
    }
    const PoolName home = host->home();
    host->pool = body.pool;
    EndLending(host);
    if (body.lend && body.pool != home) {
      host->lent_from = home;
      host->lent_at = body.wall_seconds;
    }
    host->version = host->assignment = BumpVersion(result);
    moves_.erase(body.host);
    if (return_after && !from_spare)
      moves_[body.host] = {body.pool, true, host->version, call.operator_name};
    return Ok();
  }
  if (!body.drain_first) {
    return Fail(ErrorCode::kConflict,
                "host \"" + body.host.str() + "\" is " +
                    std::string(kHostStates.Name(host->state)) +
                    "; a host moves when it is drained or spare");
  }
  BW_CHECK(StartDrain(body.lost, call, host, result));
  moves_[body.host] = {body.pool, false, BumpVersion(result),
                       call.operator_name};
  return Ok();
}

Status FleetState::Execute(const SetHostState& body,
                           const OperatorCall& /*call*/,
                           CommandResult* result) {
  BW_TRY(Host * host, FindHost(body.host));
  // Observations from before the last drain, return or move are stale.
  if (body.assignment != host->assignment) {
    return Fail(ErrorCode::kVersionConflict,
                "host \"" + body.host.str() + "\" has assignment " +
                    std::to_string(host->assignment) + ", observed was " +
                    std::to_string(body.assignment));
  }
  if (body.state == host->state)
    return Ok();
  if (!IsHostTransition(host->state, body.state, drains_.contains(body.host))) {
    return Fail(ErrorCode::kConflict,
                "host \"" + body.host.str() + "\" can't go from " +
                    std::string(kHostStates.Name(host->state)) + " to " +
                    std::string(kHostStates.Name(body.state)));
  }
  if (body.state == HostState::kRebooting && body.boots) {
    if (const auto drain = drains_.find(body.host);
        drain != drains_.end() && !drain->second.boots) {
      drain->second.boots = body.boots;
    }
  }
  if (host->state == HostState::kRebooting && body.state != HostState::kLost) {
    host->maintained_at = body.wall_seconds;
  }
  if (body.state == HostState::kReturning && drains_.contains(body.host)) {
    EndDrain(host, result);
  } else {
    const bool was_lost = host->state == HostState::kLost;
    host->state = body.state;
    host->version = BumpVersion(result);
    // A worker that restarted while it was lost may have acknowledged an
    // outdated drain flag; only a newer assignment replaces it.
    if (was_lost)
      host->assignment = host->version;
  }
  return Ok();
}

Status FleetState::Execute(const RegisterHost& body,
                           const OperatorCall& /*call*/,
                           CommandResult* result) {
  if (view_.hosts.contains(body.host))
    return Ok();
  const Pool* spare = nullptr;
  for (const auto& [name, pool] : view_.pools) {
    if (pool.spare)
      spare = &pool;
  }
  if (!spare) {
    return Fail(ErrorCode::kUnavailable,
                "there is no spare pool yet; a sheet must be applied first");
  }
  if (view_.hosts.size() >= kMaxHosts) {
    return Fail(ErrorCode::kTableFull,
                "the fleet has " + std::to_string(kMaxHosts) + " hosts");
  }
  Host host{.name = body.host, .pool = spare->name};
  host.zone = body.zone;
  host.rack = body.rack;
  host.state = HostState::kReturning;
  host.maintained_at = body.wall_seconds;
  host.version = host.assignment = BumpVersion(result);
  view_.hosts.emplace(body.host, std::move(host));
  return Ok();
}

Status FleetState::Execute(const StartWave& body,
                           const OperatorCall& /*call*/,
                           CommandResult* result) {
  if (!body.pool.empty() && !view_.pools.contains(body.pool)) {
    return Fail(ErrorCode::kUnknownName,
                "pool \"" + body.pool.str() + "\" does not exist");
  }
  for (auto& [name, pool] : view_.pools) {
    const bool selected = body.pool.empty() || name == body.pool;
    if (!selected || pool.wave_since >= body.wall_seconds)
      continue;
    pool.wave_since = body.wall_seconds;
    pool.version = BumpVersion(result);
  }
  return Ok();
}

MoveStep FleetState::NextMoveStep(const HostName& name) const {
  const auto move = moves_.find(name);
  const auto it = view_.hosts.find(name);
  if (move == moves_.end() || it == view_.hosts.end())
    return MoveStep::kNone;
  const Host& host = it->second;
  if (move->second.moved) {
    return drains_.contains(name) && host.state == HostState::kDrained
               ? MoveStep::kReturn
               : MoveStep::kWait;
  }
  if (host.state == HostState::kDrained)
    return MoveStep::kMove;
  if (InSparePool(host) && (host.state == HostState::kActive ||
                            host.state == HostState::kReturning)) {
    return MoveStep::kMove;
  }
  return drains_.contains(name) ? MoveStep::kWait : MoveStep::kDrain;
}

}  // namespace boragewinch
