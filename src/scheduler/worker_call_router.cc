#include "scheduler/worker_call_router.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

namespace {

/// Number of workers per agent up to which an uneven share is accepted.
constexpr std::size_t kMinWorkerLimit = 8;

/// \returns whether the error means that the agent has made none of the calls
/// of the message. RpcClient itself returns only the first two of these errors.
[[nodiscard]] bool IsRejection(ErrorCode code) {
  switch (code) {
    case ErrorCode::kTransport:
    case ErrorCode::kTableFull:
    case ErrorCode::kFenced:
    case ErrorCode::kUnavailable:
    case ErrorCode::kInvalidField:
    case ErrorCode::kMissingField:
      return true;
    default:
      return false;
  }
}

}  // namespace

WorkerCallRouter::WorkerCallRouter(WorkerCallRouterOptions options,
                                   WorkerCalls direct,
                                   Hooks hooks,
                                   Metrics& metrics)
    : options_(options),
      direct_(std::move(direct)),
      hooks_(std::move(hooks)),
      metrics_(metrics) {}

void WorkerCallRouter::Begin(std::uint64_t term, TimePoint now) {
  End();
  active_ = true;
  term_ = term;
  begun_ = now;
  ticked_ = now;
  stall_ended_ = now;
  UpdateHosts(now);
  for (auto& [host, agent] : agents_)
    SendTo(host, now);
}

void WorkerCallRouter::End() {
  active_ = false;
  // Replies that are still in flight then belong to an earlier epoch.
  agents_.clear();
  assignments_.clear();
  unassigned_.clear();
  while (!calls_.empty()) {
    Finish(calls_.begin()->first,
           Fail(ErrorCode::kTimeout, "leadership ended before the response"));
  }
}

void WorkerCallRouter::Start(const jobs::WorkerRecord& worker,
                             const StartCall& call,
                             WorkerCalls::Done<CallResponse> done,
                             TimePoint now) {
  Add(worker, call, std::move(done), now);
}

void WorkerCallRouter::Stop(const jobs::WorkerRecord& worker,
                            const StopCall& call,
                            WorkerCalls::Done<CallResponse> done,
                            TimePoint now) {
  Add(worker, call, std::move(done), now);
}

void WorkerCallRouter::Hold(const jobs::WorkerRecord& worker,
                            const HoldCall& call,
                            WorkerCalls::Done<HoldResponse> done,
                            TimePoint now) {
  Add(worker, call, std::move(done), now);
}

WorkerCalls WorkerCallRouter::AsWorkerCalls() {
  WorkerCalls calls;
  calls.start = [this](const jobs::WorkerRecord& worker, const StartCall& call,
                       WorkerCalls::Done<CallResponse> done) {
    Start(worker, call, std::move(done), hooks_.now());
  };
  calls.stop = [this](const jobs::WorkerRecord& worker, const StopCall& call,
                      WorkerCalls::Done<CallResponse> done) {
    Stop(worker, call, std::move(done), hooks_.now());
  };
  calls.hold = [this](const jobs::WorkerRecord& worker, const HoldCall& call,
                      WorkerCalls::Done<HoldResponse> done) {
    Hold(worker, call, std::move(done), hooks_.now());
  };
  calls.advise = direct_.advise;
  return calls;
}

void WorkerCallRouter::Add(const jobs::WorkerRecord& worker,
                           WorkerOrder order,
                           Done done,
                           TimePoint now) {
  Call call;
  call.worker.incarnation = worker.incarnation;
  call.worker.address = worker.address;
  call.worker.zone = worker.zone;
  call.due = now + TimeAllowed(order);
  call.order = std::move(order);
  call.done = std::move(done);
  const std::uint64_t id = next_id_++;
  const bool full = calls_.size() >= options_.max_calls;
  calls_.emplace(id, std::move(call));
  if (full || !active_) {
    LogEvent(EventId::kBoundReached, {{"bound", "worker_calls"}});
    Finish(id, Fail(ErrorCode::kTableFull, "too many calls in flight"));
    return;
  }
  unassigned_.push_back(id);
  if (!std::exchange(flush_due_, true))
    hooks_.flush_soon();
}

void WorkerCallRouter::Flush(TimePoint now) {
  flush_due_ = false;
  if (!active_)
    return;
  const bool waits =
      healthy_agents() == 0 && now - begun_ < options_.first_contact &&
      std::any_of(agents_.begin(), agents_.end(), [](const auto& item) {
        return item.second.state == AgentState::kUnknown;
      });
  if (!waits) {
    for (const std::uint64_t id : std::exchange(unassigned_, {}))
      Assign(id, now);
  }
  for (auto& [host, agent] : agents_) {
    if (!agent.to_send.empty() ||
        (agent.open_exchanges == 0 && (agent.state == AgentState::kHealthy ||
                                       agent.state == AgentState::kLeaving))) {
      SendTo(host, now);
    }
  }
}

void WorkerCallRouter::Assign(std::uint64_t id, TimePoint now) {
  const auto call = calls_.find(id);
  if (call == calls_.end())
    return;
  if (now >= call->second.due) {
    Finish(id, Fail(ErrorCode::kTransport,
                    "timeout elapsed before the call was sent"));
    return;
  }
  const std::string host = AgentFor(call->second.worker, now);
  if (host.empty()) {
    CallDirectly(id, now);
    return;
  }
  call->second.host = host;
  agents_[host].to_send.push_back(id);
}

std::string WorkerCallRouter::AgentFor(const jobs::WorkerRecord& worker,
                                       TimePoint now) {
  const auto assigned = assignments_.find(worker.incarnation);
  if (assigned != assignments_.end()) {
    const auto agent = agents_.find(assigned->second.host);
    if (agent != agents_.end() && agent->second.state == AgentState::kHealthy &&
        agent->second.workers <= MaxWorkersPerAgent()) {
      assigned->second.used = now;
      return assigned->second.host;
    }
    Release(assigned->second);
    assignments_.erase(assigned);
  }
  std::string host = LeastLoaded(worker.zone);
  if (host.empty())
    return "";
  assignments_[worker.incarnation] = {host, now};
  ++agents_[host].workers;
  return host;
}

// Prefers an agent in the worker's zone, so that a call crosses zones only once
// and in a batch, unless that agent already has its share of workers.
std::string WorkerCallRouter::LeastLoaded(const ZoneName& zone) const {
  const std::size_t largest = MaxWorkersPerAgent();
  const auto rank = [&](const Agent& agent) {
    const bool near = !zone.empty() && agent.zone == zone;
    const bool preferred = near && agent.workers < largest;
    return std::pair(!preferred, agent.workers);
  };
  const Agent* best = nullptr;
  const std::string* host = nullptr;
  for (const auto& [name, agent] : agents_) {
    if (agent.state != AgentState::kHealthy)
      continue;
    if (best == nullptr || rank(agent) < rank(*best)) {
      best = &agent;
      host = &name;
    }
  }
  return host == nullptr ? "" : *host;
}

std::size_t WorkerCallRouter::healthy_agents() const {
  return static_cast<std::size_t>(
      std::count_if(agents_.begin(), agents_.end(), [](const auto& item) {
        return item.second.state == AgentState::kHealthy;
      }));
}

std::size_t WorkerCallRouter::MaxWorkersPerAgent() const {
  const std::size_t agents = std::max<std::size_t>(1, healthy_agents());
  const double even = static_cast<double>(assignments_.size() + 1) /
                      static_cast<double>(agents);
  return std::max(kMinWorkerLimit, static_cast<std::size_t>(
                                       std::ceil(even * options_.max_share)));
}

void WorkerCallRouter::Release(const Assignment& assignment) {
  if (const auto agent = agents_.find(assignment.host);
      agent != agents_.end() && agent->second.workers > 0) {
    --agent->second.workers;
  }
}

void WorkerCallRouter::CallDirectly(std::uint64_t id, TimePoint now) {
  const auto found = calls_.find(id);
  Call call = std::move(found->second);
  calls_.erase(found);
  LimitTime(&call.order, call.due - now);
  metrics_.Count("worker_calls", {"", "direct"});
  if (const auto* start = std::get_if<StartCall>(&call.order)) {
    direct_.start(call.worker, *start,
                  std::get<WorkerCalls::Done<CallResponse>>(call.done));
  } else if (const auto* stop = std::get_if<StopCall>(&call.order)) {
    direct_.stop(call.worker, *stop,
                 std::get<WorkerCalls::Done<CallResponse>>(call.done));
  } else {
    direct_.hold(call.worker, std::get<HoldCall>(call.order),
                 std::get<WorkerCalls::Done<HoldResponse>>(call.done));
  }
}

void WorkerCallRouter::SendTo(const std::string& host, TimePoint now) {
  std::vector<std::uint64_t> ids;
  std::size_t bytes = 0;
  for (const std::uint64_t id : std::exchange(agents_[host].to_send, {})) {
    const auto call = calls_.find(id);
    if (call == calls_.end())
      continue;
    // With a temporary, GCC 12 reports a false -Wmaybe-uninitialized.
    DelegatedCall delegated;
    delegated.id = id;
    delegated.order = call->second.order;
    bytes += SizeOf(delegated);
    if (!ids.empty() && (ids.size() == kMaxCallsPerExchange ||
                         bytes > options_.max_exchange_bytes)) {
      SendExchange(host, ids, now);
      ids.clear();
      bytes = 0;
    }
    ids.push_back(id);
  }
  SendExchange(host, ids, now);
}

void WorkerCallRouter::SendExchange(const std::string& host,
                                    const std::vector<std::uint64_t>& ids,
                                    TimePoint now) {
  Agent& agent = agents_[host];
  CallExchange exchange;
  exchange.term = term_;
  exchange.wait = options_.exchange_wait;
  for (const std::uint64_t id : ids) {
    Call& call = calls_.at(id);
    DelegatedCall delegated{id, call.worker, call.order};
    LimitTime(&delegated.order, call.due - now);
    exchange.calls.push_back(std::move(delegated));
  }
  if (agent.open_exchanges++ == 0)
    agent.last_reply = now;
  if (!ids.empty())
    metrics_.Count("worker_calls", {"", host}, ids.size());
  metrics_.Count("worker_call_exchanges", {"", host});
  hooks_.exchange(
      host, EncodeExchange(exchange), options_.exchange_timeout,
      [this, host, epoch = agent.epoch, ids](const Result<std::string>& reply) {
        OnReply(host, epoch, ids, reply, hooks_.now());
      });
}

void WorkerCallRouter::OnReply(const std::string& host,
                               std::uint64_t epoch,
                               const std::vector<std::uint64_t>& ids,
                               const Result<std::string>& reply,
                               TimePoint now) {
  const auto agent = agents_.find(host);
  if (agent == agents_.end() || agent->second.epoch != epoch) {
    // The agent has been suspended or removed meanwhile, which ended its calls.
    metrics_.Count("worker_call_replies_late", {"", host});
    return;
  }
  --agent->second.open_exchanges;
  agent->second.last_reply = now;
  if (!reply) {
    if (IsRejection(reply.error().code)) {
      OnRejected(host, ids, reply.error(), now);
    } else {
      Suspend(host, reply.error().Text(), now);
    }
  } else if (auto parsed = DecodeReply(reply.value()); !parsed) {
    LogEvent(EventId::kMalformedMessage,
             {{"host", host}, {"error", parsed.error().Text()}});
    Suspend(host, parsed.error().Text(), now);
  } else {
    ProcessReply(host, ids, std::move(parsed).value(), now);
  }
  // The next exchange includes the calls that result from these responses.
  if (!std::exchange(flush_due_, true))
    hooks_.flush_soon();
}

void WorkerCallRouter::OnRejected(const std::string& host,
                                  const std::vector<std::uint64_t>& ids,
                                  const Error& error,
                                  TimePoint now) {
  for (const std::uint64_t id : ids) {
    if (const auto call = calls_.find(id); call != calls_.end()) {
      call->second.host.clear();
      unassigned_.push_back(id);
    }
  }
  Suspend(host, error.Text(), now);
}

void WorkerCallRouter::ProcessReply(const std::string& host,
                                    const std::vector<std::uint64_t>& ids,
                                    CallExchangeReply reply,
                                    TimePoint now) {
  Agent& agent = agents_[host];
  agent.zone = reply.zone;
  if (agent.incarnation != reply.agent) {
    agent.incarnation = reply.agent;
    FailCalls(
        host,
        [&](const Call& call) {
          return !call.incarnation.empty() && call.incarnation != reply.agent;
        },
        "agent restarted");
  }
  for (const std::uint64_t id : ids) {
    if (const auto call = calls_.find(id); call != calls_.end())
      call->second.incarnation = reply.agent;
  }
  const AgentState state =
      reply.leaving ? AgentState::kLeaving : AgentState::kHealthy;
  if (agent.state != state) {
    LogEvent(EventId::kCallAgentChanged,
             {{"host", host},
              {"state", std::string(kAgentStates.Name(state))},
              {"before", std::string(kAgentStates.Name(agent.state))}});
    agent.state = state;
    agent.healthy_since = now;
  }
  std::size_t late = 0;
  for (DelegatedResponse& response : reply.responses) {
    const auto call = calls_.find(response.id);
    if (call == calls_.end() || call->second.host != host) {
      ++late;
      continue;
    }
    Finish(response.id, std::move(response.result));
  }
  if (late > 0)
    metrics_.Count("worker_call_answers_late", {"", host}, late);
}

void WorkerCallRouter::Suspend(const std::string& host,
                               const std::string& why,
                               TimePoint now) {
  Agent& agent = agents_[host];
  const AgentState before = agent.state;
  const bool was_healthy = before == AgentState::kHealthy &&
                           now - agent.healthy_since >= options_.probation;
  agent.backoff = was_healthy || agent.backoff == Millis(0)
                      ? options_.initial_backoff
                      : std::min(options_.max_backoff, 2 * agent.backoff);
  agent.backoff_until = now + agent.backoff;
  agent.state = AgentState::kSuspended;
  agent.incarnation = Incarnation();
  agent.open_exchanges = 0;
  agent.epoch = next_epoch_++;
  if (before != AgentState::kSuspended) {
    LogEvent(
        EventId::kCallAgentLeft,
        {{"host", host}, {"reason", why}, {"rest", agent.backoff.count()}});
  }
  // Calls that were never sent are assigned to another agent.
  for (const std::uint64_t id : std::exchange(agent.to_send, {})) {
    if (const auto call = calls_.find(id); call != calls_.end()) {
      call->second.host.clear();
      unassigned_.push_back(id);
    }
  }
  FailCalls(
      host, [](const Call&) { return true; }, why);
}

void WorkerCallRouter::FailCalls(
    const std::string& host,
    const std::function<bool(const Call&)>& is_lost,
    const std::string& why) {
  std::vector<std::uint64_t> lost;
  for (const auto& [id, call] : calls_) {
    if (call.host == host && is_lost(call))
      lost.push_back(id);
  }
  if (!lost.empty())
    metrics_.Count("worker_calls_unanswered", {"", host}, lost.size());
  for (const std::uint64_t id : lost)
    Finish(id, Fail(ErrorCode::kTimeout, "agent " + host + ": " + why));
}

// The callback may add calls and change every member.
void WorkerCallRouter::Finish(std::uint64_t id, Result<HoldResponse> response) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  const Done done = std::move(found->second.done);
  calls_.erase(found);
  if (const auto* hold = std::get_if<WorkerCalls::Done<HoldResponse>>(&done)) {
    (*hold)(std::move(response));
    return;
  }
  const auto& order = std::get<WorkerCalls::Done<CallResponse>>(done);
  if (response)
    order(response.value().call);
  else
    order(outcome::failure(response.error()));
}

void WorkerCallRouter::UpdateHosts(TimePoint now) {
  const std::vector<std::string> hosts = hooks_.hosts();
  for (const std::string& host : hosts) {
    if (const auto [agent, added] = agents_.try_emplace(host); added)
      agent->second.epoch = next_epoch_++;
  }
  std::vector<std::string> removed;
  for (const auto& [host, agent] : agents_) {
    if (std::find(hosts.begin(), hosts.end(), host) == hosts.end())
      removed.push_back(host);
  }
  for (const std::string& host : removed) {
    Suspend(host, "host is no longer a member", now);
    agents_.erase(host);
  }
}

void WorkerCallRouter::Tick(TimePoint now) {
  if (!active_)
    return;
  if (now - ticked_ >= options_.stall)
    stall_ended_ = now;
  ticked_ = now;
  UpdateHosts(now);
  SuspendUnresponsiveAgents(now);
  FailOverdueCalls(now);
  for (auto& [host, agent] : agents_) {
    const bool probes =
        agent.state == AgentState::kUnknown ||
        (agent.state == AgentState::kSuspended && now >= agent.backoff_until);
    if (probes && agent.open_exchanges == 0)
      SendTo(host, now);
  }
  std::erase_if(assignments_, [&](const auto& item) {
    const bool idle = now - item.second.used >= options_.assignment_idle;
    if (idle)
      Release(item.second);
    return idle;
  });
  Flush(now);
}

void WorkerCallRouter::SuspendUnresponsiveAgents(TimePoint now) {
  const Millis timeout = options_.exchange_wait + options_.exchange_slack;
  std::vector<std::string> unresponsive_hosts;
  for (const auto& [host, agent] : agents_) {
    if (agent.open_exchanges > 0 &&
        now - std::max(agent.last_reply, stall_ended_) >= timeout) {
      unresponsive_hosts.push_back(host);
    }
  }
  for (const std::string& host : unresponsive_hosts)
    Suspend(host, "no reply in time", now);
}

void WorkerCallRouter::FailOverdueCalls(TimePoint now) {
  if (now - stall_ended_ < options_.response_slack)
    return;
  std::map<std::string, std::vector<std::uint64_t>> overdue;
  for (const auto& [id, call] : calls_) {
    if (!call.host.empty() && now >= call.due + options_.response_slack)
      overdue[call.host].push_back(id);
  }
  for (const auto& [host, ids] : overdue) {
    metrics_.Count("worker_calls_unanswered", {"", host}, ids.size());
    for (const std::uint64_t id : ids)
      Finish(id,
             Fail(ErrorCode::kTimeout, "agent " + host + " did not respond"));
    if (ids.size() >= options_.max_overdue)
      Suspend(host, "no response to calls", now);
  }
}

AgentState WorkerCallRouter::StateOf(const std::string& host) const {
  const auto agent = agents_.find(host);
  return agent == agents_.end() ? AgentState::kUnknown : agent->second.state;
}

}  // namespace boragewinch::scheduler
