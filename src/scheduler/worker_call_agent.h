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
#include "scheduler/stall_watch.h"
#include "scheduler/worker_call_codec.h"
#include "scheduler/worker_calls.h"

namespace boragewinch::scheduler {

/// Name of the method of bytes that carries CallExchange.
inline constexpr char kCallExchangeMethod[] = "worker_calls.exchange";

struct WorkerCallAgentOptions {
  Incarnation incarnation;
  ZoneName zone;
  /// Exchanges that wait for answers; a further one makes the oldest reply.
  std::size_t max_open_exchanges = 3;
  /// Calls under way; further ones are refused.
  std::size_t max_open_calls = 3'000;
  /// Approximate size of the answers in a reply.
  std::size_t max_reply_bytes = 1'024 * 1'024;
  /// A host whose event loop stood still for so long refuses the calls that it
  /// finds waiting: their time may be up.
  Millis stall{250};
  /// Time after a stall within which calls may have waited.
  Millis stall_backlog{100};
};

/// \brief Makes calls to workers on behalf of the leader, which decides on all
/// of them. Each call is made at most once. It has no socket and no clock.
class WorkerCallAgent {
 public:
  struct Hooks {
    WorkerCalls calls;
    /// Asks for a call of Flush in a few milliseconds.
    std::function<void()> flush_soon;
    /// Term of this host's replica; leaders of earlier terms are refused.
    std::function<std::uint64_t()> term;
  };

  WorkerCallAgent(WorkerCallAgentOptions options, Hooks hooks);
  WorkerCallAgent(const WorkerCallAgent&) = delete;
  WorkerCallAgent& operator=(const WorkerCallAgent&) = delete;

  /// \brief Takes the calls of a message and replies once answers have come or
  /// the leader's wait is over. kFenced, kUnavailable, kInvalidField or
  /// kTooLarge: none of its calls is made.
  void OnExchange(std::string_view body,
                  const BytesReply& reply,
                  TimePoint now);
  /// \brief Replies with the answers that have come.
  void Flush();
  /// \brief Replies to exchanges whose wait is over. Has to be called at least
  /// every options.stall / 2.
  void Tick(TimePoint now);
  /// \brief Tells leaders to send no further calls.
  void Retire() { leaving_ = true; }

  [[nodiscard]] std::size_t open_calls() const noexcept { return open_.size(); }

 private:
  struct Waiting {
    BytesReply reply;
    TimePoint until;
  };

  [[nodiscard]] Status Check(const CallExchange& exchange, TimePoint now) const;
  void Make(DelegatedCall call);
  void OnAnswer(std::uint64_t term,
                std::uint64_t id,
                Result<HoldAnswer> answer);
  void BeginTerm(std::uint64_t term);
  void ReplyToOldest();

  WorkerCallAgentOptions options_;
  Hooks hooks_;
  std::uint64_t term_ = 0;  ///< of the leader whose calls are made
  std::set<std::uint64_t> open_;
  std::deque<DelegatedAnswer> answers_;  ///< not yet sent to the leader
  std::deque<Waiting> waiting_;
  bool flush_due_ = false;
  bool leaving_ = false;
  StallWatch stall_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_CALL_AGENT_H_
