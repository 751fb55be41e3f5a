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
  /// An agent replies after this time even without answers. One that is silent
  /// for exchange_wait + exchange_slack is left.
  Millis exchange_wait{100};
  /// A sync of a slow disk or a used-up processor share takes 100 to 150 ms.
  Millis exchange_slack{250};
  /// Time after which an exchange fails whatever this host was busy with.
  Millis exchange_timeout{1'000};
  /// A leader whose event loop stood still for so long has replies waiting; it
  /// reads them before it finds an agent silent or a call overdue.
  Millis stall{120};
  /// Time for the way of an answer beyond the time of its call.
  Millis answer_slack{150};
  /// Time for which calls of a new leader wait for the first agent.
  Millis first_contact{60};
  /// Rest of an agent that failed; doubles with each failure in a row.
  Millis rest{1'000};
  Millis longest_rest{4'000};
  /// An agent that has worked for so long counts as sound again.
  Millis probation{20'000};
  /// Unanswered calls, found at one time, after which an agent is left.
  std::size_t max_overdue = 3;
  /// Workers of an agent, relative to an even share.
  double max_share = 1.3;
  /// An assignment that was not used for so long is dropped.
  Millis assignment_idle{10'000};
  std::size_t max_exchange_bytes = 1'024 * 1'024;
  /// Calls without an answer; further ones are refused.
  std::size_t max_calls = 8'192;
};

/// \brief What the leader knows of a host that may make calls for it.
enum class AgentState {
  kUnknown,  ///< has not replied yet
  kWell,
  kLeft,     ///< failed and rests
  kLeaving,  ///< stops; its open calls are still answered
};

inline constexpr EnumTable<AgentState, 4> kAgentStates{{{
    {AgentState::kUnknown, "unknown"},
    {AgentState::kWell, "well"},
    {AgentState::kLeft, "left"},
    {AgentState::kLeaving, "leaving"},
}}};

/// \brief Passes the leader's calls to workers on to other hosts, its agents,
/// so that they do not use the leader's processor time. Calls of one turn of
/// the event loop go to an agent in one message, and answers come back in
/// batches. Without an agent the calls are made directly. It has no socket and
/// no clock.
///
/// Each `done` is called exactly once with the meaning that it has in
/// WorkerCalls. A call is given to a second agent only if the first one surely
/// has not made it.
class WorkerCallRouter {
 public:
  struct Hooks {
    /// Sends an exchange to a host; as RpcClient::CallBytes.
    std::function<void(const std::string& host,
                       std::string body,
                       Millis timeout,
                       std::function<void(Result<std::string>)> done)>
        exchange;
    /// \returns the other hosts of the deployment.
    std::function<std::vector<std::string>()> hosts;
    /// Asks for a call of Flush at the end of this turn of the event loop.
    std::function<void()> flush_soon;
    std::function<TimePoint()> now;
  };

  WorkerCallRouter(WorkerCallRouterOptions options,
                   WorkerCalls direct,
                   Hooks hooks,
                   Metrics& metrics);
  WorkerCallRouter(const WorkerCallRouter&) = delete;
  WorkerCallRouter& operator=(const WorkerCallRouter&) = delete;

  /// \brief Begins to route calls for the leader of `term`.
  void Begin(std::uint64_t term, TimePoint now);
  /// \brief Ends all calls, as such that may have been made.
  void End();

  void Start(const jobs::WorkerNote& worker,
             const StartCall& call,
             WorkerCalls::Done<CallAnswer> done,
             TimePoint now);
  void Stop(const jobs::WorkerNote& worker,
            const StopCall& call,
            WorkerCalls::Done<CallAnswer> done,
            TimePoint now);
  void Hold(const jobs::WorkerNote& worker,
            const HoldCall& call,
            WorkerCalls::Done<HoldAnswer> done,
            TimePoint now);
  /// \returns this router with the clock of the hooks; advice is asked for
  /// directly.
  [[nodiscard]] WorkerCalls AsWorkerCalls();

  /// \brief Sends the calls that have come since the last time.
  void Flush(TimePoint now);
  /// \brief Ends overdue calls and looks after the agents; every 50 ms or so.
  void Tick(TimePoint now);

  [[nodiscard]] AgentState StateOf(const std::string& host) const;
  [[nodiscard]] std::size_t open_calls() const noexcept {
    return calls_.size();
  }

 private:
  using Done = std::variant<WorkerCalls::Done<CallAnswer>,
                            WorkerCalls::Done<HoldAnswer>>;

  struct Agent {
    AgentState state = AgentState::kUnknown;
    Incarnation incarnation;
    ZoneName zone;
    std::uint64_t epoch = 0;  ///< changes when its exchanges are given up
    std::size_t open_exchanges = 0;
    std::size_t workers = 0;  ///< assigned to it
    TimePoint heard;  ///< last reply, or begin of the first open exchange
    TimePoint rest_until;
    Millis rest{0};
    TimePoint well_since;
    std::vector<std::uint64_t> to_send;
  };

  struct Call {
    jobs::WorkerNote worker;
    WorkerOrder order;
    Done done;
    TimePoint due;
    std::string host;         ///< the agent that has it; empty: not sent
    Incarnation incarnation;  ///< of the agent, once it has confirmed the call
  };

  struct Assignment {
    std::string host;
    TimePoint used;
  };

  void Add(const jobs::WorkerNote& worker,
           WorkerOrder order,
           Done done,
           TimePoint now);
  void Assign(std::uint64_t id, TimePoint now);
  /// \returns the host of the worker's agent, empty if there is none.
  [[nodiscard]] std::string AgentFor(const jobs::WorkerNote& worker,
                                     TimePoint now);
  [[nodiscard]] std::string LeastLoaded(const ZoneName& zone) const;
  void Release(const Assignment& assignment);
  [[nodiscard]] std::size_t LargestShare() const;
  [[nodiscard]] std::size_t well_agents() const;
  void MakeDirectly(std::uint64_t id, TimePoint now);
  void SendTo(const std::string& host, TimePoint now);
  void SendExchange(const std::string& host,
                    const std::vector<std::uint64_t>& ids,
                    TimePoint now);
  void OnReply(const std::string& host,
               std::uint64_t epoch,
               const std::vector<std::uint64_t>& ids,
               const Result<std::string>& reply,
               TimePoint now);
  void OnRefused(const std::string& host,
                 const std::vector<std::uint64_t>& ids,
                 const Error& error,
                 TimePoint now);
  void TakeReply(const std::string& host,
                 const std::vector<std::uint64_t>& ids,
                 CallExchangeReply reply,
                 TimePoint now);
  /// \brief Gives an agent up for a while; its calls may have been made.
  void Leave(const std::string& host, const std::string& why, TimePoint now);
  /// \brief Ends the calls at an agent that `is_lost` selects.
  void EndCallsAt(const std::string& host,
                  const std::function<bool(const Call&)>& is_lost,
                  const std::string& why);
  void Finish(std::uint64_t id, Result<HoldAnswer> answer);
  void LearnHosts(TimePoint now);
  void LeaveSilentAgents(TimePoint now);
  void EndOverdueCalls(TimePoint now);

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
  std::map<jobs::WorkerLife, Assignment> assignments_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_CALL_ROUTER_H_
