#ifndef BORAGEWINCH_SCHEDULER_WORKER_CALL_AGENT_H_
#define BORAGEWINCH_SCHEDULER_WORKER_CALL_AGENT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string_view>

#include "base/time.h"
#include "net/rpc_server.h"
#include "scheduler/stall_detector.h"
#include "scheduler/worker_call_codec.h"
#include "scheduler/worker_calls.h"

namespace boragewinch::scheduler {

/// Binary RPC method that carries CallExchange.
inline constexpr char kCallExchangeMethod[] = "worker_calls.exchange";

struct WorkerCallAgentOptions {
  Incarnation incarnation;
  ZoneName zone;
  /// Maximum exchanges that wait for responses; a further one makes the agent
  /// reply to the oldest.
  std::size_t max_open_exchanges = 3;
  /// Maximum calls in flight; further ones are rejected.
  std::size_t max_open_calls = 3'000;
  /// Approximate maximum size of the responses in a reply.
  std::size_t max_reply_bytes = 1'024 * 1'024;
  /// A host whose event loop stalled for this long rejects the calls that
  /// waited meanwhile, since they may have timed out.
  Millis stall{250};
  /// Time after a stall within which received calls may have waited.
  Millis stall_backlog{100};
};

/// \brief Makes calls to workers on behalf of the leader, at most once each. It
/// does no network I/O itself and reads no clock.
class WorkerCallAgent {
 public:
  struct Hooks {
    WorkerCalls calls;
    /// Schedules a call of Flush in a few milliseconds.
    std::function<void()> flush_soon;
    /// Term of this host's replica; messages of earlier terms are rejected.
    std::function<std::uint64_t()> term;
  };

  WorkerCallAgent(WorkerCallAgentOptions options, Hooks hooks);
  WorkerCallAgent(const WorkerCallAgent&) = delete;
  WorkerCallAgent& operator=(const WorkerCallAgent&) = delete;

  /// \brief Makes the calls of a message and replies once responses have
  /// arrived or CallExchange::wait has passed. kFenced, kUnavailable,
  /// kInvalidField or kTooLarge: none of its calls is made.
  void OnExchange(std::string_view body,
                  const BinaryReply& reply,
                  TimePoint now);
  /// \brief Replies with the responses that have arrived.
  void Flush();
  /// \brief Replies to exchanges whose wait is over. Must be called at least
  /// every options.stall / 2.
  void Tick(TimePoint now);
  /// \brief Announces the shutdown of this host in replies, so that leaders
  /// send no further calls.
  void Retire() { leaving_ = true; }

  [[nodiscard]] std::size_t open_calls() const noexcept {
    return open_calls_.size();
  }

 private:
  struct OpenExchange {
    BinaryReply reply;
    TimePoint until;
  };

  [[nodiscard]] Status Check(const CallExchange& exchange, TimePoint now) const;
  void MakeCall(DelegatedCall call);
  void OnResponse(std::uint64_t term,
                  std::uint64_t id,
                  Result<HoldResponse> response);
  void BeginTerm(std::uint64_t term);
  void ReplyToOldest();

  WorkerCallAgentOptions options_;
  Hooks hooks_;
  std::uint64_t term_ = 0;  ///< highest term of a leader that sent calls
  std::set<std::uint64_t> open_calls_;
  std::deque<DelegatedResponse> responses_;  ///< not yet sent to the leader
  std::deque<OpenExchange> open_exchanges_;
  bool flush_due_ = false;
  bool leaving_ = false;
  StallDetector stall_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_CALL_AGENT_H_
