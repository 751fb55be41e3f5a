#ifndef BORAGEWINCH_SCHEDULER_WORKER_CALL_ROUTER_H_
#define BORAGEWINCH_SCHEDULER_WORKER_CALL_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "base/enum_table.h"
#include "base/metrics.h"
#include "base/time.h"
#include "scheduler/worker_call_codec.h"
#include "scheduler/worker_calls.h"

namespace boragewinch::scheduler {

struct WorkerCallRouterOptions {
  /// An agent replies after this time even without responses. One that has not
  /// replied for exchange_wait + exchange_slack is suspended.
  Millis exchange_wait{100};
  /// An fsync on a slow disk or CPU throttling takes 100 to 150 ms.
  Millis exchange_slack{250};
  /// Timeout of an exchange, also if this host stalled meanwhile.
  Millis exchange_timeout{1'000};
  /// A leader whose event loop stalled for this long has replies waiting; it
  /// reads them before it considers an agent unresponsive or a call overdue.
  Millis stall{120};
  /// Time for the transfer of a response beyond the timeout of its call.
  Millis response_slack{150};
  /// Time for which calls of a new leader wait for the first agent.
  Millis first_contact{60};
  /// Backoff of an agent that failed; doubles with each consecutive failure.
  Millis initial_backoff{1'000};
  Millis max_backoff{4'000};
  /// An agent that has been healthy for this long starts again with the initial
  /// backoff.
  Millis probation{20'000};
  /// Overdue calls, found at one time, after which an agent is suspended.
  std::size_t max_overdue = 3;
  /// Maximum workers of an agent, relative to an even share.
  double max_share = 1.3;
  /// An assignment that was not used for this long is dropped.
  Millis assignment_idle{10'000};
  std::size_t max_exchange_bytes = 1'024 * 1'024;
  /// Maximum calls without a response; further ones are rejected.
  std::size_t max_calls = 8'192;
};

/// \brief State of a host that can make calls for the leader.
enum class AgentState {
  kUnknown,  ///< has not replied yet
  kHealthy,
  kSuspended,  ///< failed; not used until its backoff has passed
  kLeaving,    ///< shuts down; open calls still get their responses
};

inline constexpr EnumTable<AgentState, 4> kAgentStates{{{
    {AgentState::kUnknown, "unknown"},
    {AgentState::kHealthy, "well"},
    {AgentState::kSuspended, "left"},
    {AgentState::kLeaving, "leaving"},
}}};

/// \brief Delegates the leader's calls to workers to other hosts, its agents,
/// to save CPU time of the leader. Calls of one event-loop iteration go to an
/// agent in one message, and responses come back in batches. Without an agent
/// the calls are made directly. It does no I/O and reads no clock.
///
/// Each `done` is called exactly once with the meaning that it has in
/// WorkerCalls. A call is delegated to a second agent only if the first one
/// certainly has not made it.
class WorkerCallRouter {
 public:
  struct Hooks {
    /// Sends an exchange to a host; as RpcClient::CallBinary.
    std::function<void(const std::string& host,
                       std::string body,
                       Millis timeout,
                       std::function<void(Result<std::string>)> done)>
        exchange;
    /// \returns the other hosts of the deployment.
    std::function<std::vector<std::string>()> hosts;
    /// Schedules a call of Flush at the end of this event-loop iteration.
    std::function<void()> flush_soon;
    std::function<TimePoint()> now;
  };

  WorkerCallRouter(WorkerCallRouterOptions options,
                   WorkerCalls direct,
                   Hooks hooks,
                   Metrics& metrics);
  WorkerCallRouter(const WorkerCallRouter&) = delete;
  WorkerCallRouter& operator=(const WorkerCallRouter&) = delete;

  /// \brief Starts routing calls for the leader of `term`.
  void Begin(std::uint64_t term, TimePoint now);
  /// \brief Stops routing. Open calls end with an error that means that they
  /// may have been made.
  void End();

  void Start(const jobs::WorkerRecord& worker,
             const StartCall& call,
             WorkerCalls::Done<CallResponse> done,
             TimePoint now);
  void Stop(const jobs::WorkerRecord& worker,
            const StopCall& call,
            WorkerCalls::Done<CallResponse> done,
            TimePoint now);
  void Hold(const jobs::WorkerRecord& worker,
            const HoldCall& call,
            WorkerCalls::Done<HoldResponse> done,
            TimePoint now);
  /// \returns calls through this router, which uses the clock of the hooks;
  /// advice calls are made directly.
  [[nodiscard]] WorkerCalls AsWorkerCalls();

  /// \brief Sends the calls that were added since the last flush.
  void Flush(TimePoint now);
  /// \brief Ends overdue calls, suspends failed agents and probes them. To be
  /// called about every 50 ms.
  void Tick(TimePoint now);

  [[nodiscard]] AgentState StateOf(const std::string& host) const;
  [[nodiscard]] std::size_t open_calls() const noexcept {
    return calls_.size();
  }

 private:
  using Done = std::variant<WorkerCalls::Done<CallResponse>,
                            WorkerCalls::Done<HoldResponse>>;

  struct Agent {
    AgentState state = AgentState::kUnknown;
    Incarnation incarnation;
    ZoneName zone;
    std::uint64_t epoch = 0;  ///< changes when its open exchanges are abandoned
    std::size_t open_exchanges = 0;
    std::size_t workers = 0;  ///< assigned to it
    TimePoint last_reply;  ///< last reply, or start of the first open exchange
    TimePoint backoff_until;
    Millis backoff{0};
    TimePoint healthy_since;
    std::vector<std::uint64_t> to_send;
  };

  struct Call {
    jobs::WorkerRecord worker;
    WorkerOrder order;
    Done done;
    TimePoint due;
    std::string host;         ///< the agent that has it; empty: unassigned
    Incarnation incarnation;  ///< of the agent, once it confirmed the call
  };

  struct Assignment {
    std::string host;
    TimePoint used;
  };

  void Add(const jobs::WorkerRecord& worker,
           WorkerOrder order,
           Done done,
           TimePoint now);
  void Assign(std::uint64_t id, TimePoint now);
  /// \returns the host of the worker's agent, empty if there is none.
  [[nodiscard]] std::string AgentFor(const jobs::WorkerRecord& worker,
                                     TimePoint now);
  [[nodiscard]] std::string LeastLoaded(const ZoneName& zone) const;
  void Release(const Assignment& assignment);
  [[nodiscard]] std::size_t MaxWorkersPerAgent() const;
  [[nodiscard]] std::size_t healthy_agents() const;
  void CallDirectly(std::uint64_t id, TimePoint now);
  void SendTo(const std::string& host, TimePoint now);
  void SendExchange(const std::string& host,
                    const std::vector<std::uint64_t>& ids,
                    TimePoint now);
  void OnReply(const std::string& host,
               std::uint64_t epoch,
               const std::vector<std::uint64_t>& ids,
               const Result<std::string>& reply,
               TimePoint now);
  void OnRejected(const std::string& host,
                  const std::vector<std::uint64_t>& ids,
                  const Error& error,
                  TimePoint now);
  void ProcessReply(const std::string& host,
                    const std::vector<std::uint64_t>& ids,
                    CallExchangeReply reply,
                    TimePoint now);
  /// \brief Stops using an agent until its backoff has passed. Its open calls
  /// end as calls that may have been made.
  void Suspend(const std::string& host, const std::string& why, TimePoint now);
  /// \brief Ends the calls of an agent that `is_lost` selects.
  void FailCalls(const std::string& host,
                 const std::function<bool(const Call&)>& is_lost,
                 const std::string& why);
  void Finish(std::uint64_t id, Result<HoldResponse> response);
  void UpdateHosts(TimePoint now);
  void SuspendUnresponsiveAgents(TimePoint now);
  void FailOverdueCalls(TimePoint now);

  WorkerCallRouterOptions options_;
  WorkerCalls direct_;
  Hooks hooks_;
  Metrics& metrics_;
  bool active_ = false;
  std::uint64_t term_ = 0;
  std::uint64_t next_id_ = 1;
  std::uint64_t next_epoch_ = 1;
  TimePoint begun_;
  TimePoint ticked_;
  TimePoint stall_ended_;
  bool flush_due_ = false;
  std::map<std::string, Agent> agents_;  ///< by host
  std::map<std::uint64_t, Call> calls_;
  std::vector<std::uint64_t> unassigned_;
  std::map<jobs::WorkerIncarnation, Assignment> assignments_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_CALL_ROUTER_H_
