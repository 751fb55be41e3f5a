#ifndef BORAGEWINCH_SCHEDULER_WORKER_CALL_CODEC_H_
#define BORAGEWINCH_SCHEDULER_WORKER_CALL_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "jobs/ledger_batch.h"
#include "scheduler/worker_calls.h"

namespace boragewinch::scheduler {

/// Bounds on one message; a larger one is refused with kTooLarge.
inline constexpr std::size_t kMaxCallsPerExchange = 1'000;

using WorkerOrder = std::variant<StartCall, StopCall, HoldCall>;

/// \returns the time until the answer of an order is due, from its sending.
[[nodiscard]] Millis TimeAllowed(const WorkerOrder& order);
/// \brief Shortens the time for the answer to `left`.
void LimitTime(WorkerOrder* order, Millis left);

/// \brief A call that the leader asks another host to make.
struct DelegatedCall {
  std::uint64_t id = 0;     ///< chosen by the leader, unique in its term
  jobs::WorkerNote worker;  ///< only the life and the address
  WorkerOrder order;        ///< its timeout counts from the message's arrival
};

/// \brief The leader's message to a host that makes calls for it.
struct CallExchange {
  std::uint64_t term = 0;  ///< of the leader
  Millis wait{0};          ///< the reply waits so long for answers
  std::vector<DelegatedCall> calls;
};

/// \brief What a worker answered to a delegated call, or the error with the
/// meaning that it has in WorkerCalls.
struct DelegatedAnswer {
  std::uint64_t id = 0;
  /// The lists are empty for a start or stop.
  Result<HoldAnswer> answer = HoldAnswer();
};

/// \brief The reply to a CallExchange: answers to calls of this message or of
/// earlier ones.
struct CallExchangeReply {
  Incarnation agent;     ///< of the replying process
  ZoneName zone;         ///< of the replying host; empty if unknown
  bool leaving = false;  ///< the host stops and takes no further calls
  std::vector<DelegatedAnswer> answers;
};

/// The worker and the payload of a job are written once for all calls.
[[nodiscard]] std::string EncodeExchange(const CallExchange& exchange);
/// \returns the message, kInvalidField or kTooLarge.
[[nodiscard]] Result<CallExchange> DecodeExchange(std::string_view bytes);

[[nodiscard]] std::string EncodeReply(const CallExchangeReply& reply);
/// \returns the reply, kInvalidField or kTooLarge.
[[nodiscard]] Result<CallExchangeReply> DecodeReply(std::string_view bytes);

/// \returns the approximate size of the answer in a message, in bytes.
[[nodiscard]] std::size_t SizeOf(const DelegatedAnswer& answer);
/// \returns the approximate size of the call in a message, in bytes.
[[nodiscard]] std::size_t SizeOf(const DelegatedCall& call);

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_CALL_CODEC_H_
