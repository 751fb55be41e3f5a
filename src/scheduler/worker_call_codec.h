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

/// Maximum calls of one message; a larger one is rejected with kTooLarge.
inline constexpr std::size_t kMaxCallsPerExchange = 1'000;

using WorkerOrder = std::variant<StartCall, StopCall, HoldCall>;

/// \returns the time from sending an order until its response is due.
[[nodiscard]] Millis TimeAllowed(const WorkerOrder& order);
/// \brief Shortens the time for the response to `left`.
void LimitTime(WorkerOrder* order, Millis left);

/// \brief A call that the leader delegates to another host.
struct DelegatedCall {
  std::uint64_t id = 0;       ///< chosen by the leader, unique in its term
  jobs::WorkerRecord worker;  ///< only incarnation and address
  WorkerOrder order;          ///< its timeout counts from the message's arrival
};

/// \brief Message of the leader to a host that makes calls on its behalf.
struct CallExchange {
  std::uint64_t term = 0;  ///< of the leader
  Millis wait{0};          ///< time for which the reply waits for responses
  std::vector<DelegatedCall> calls;
};

/// \brief Response of a worker to a delegated call, or an error with the
/// meaning that it has in WorkerCalls.
struct DelegatedResponse {
  std::uint64_t id = 0;
  /// The lists are empty for a start or stop.
  Result<HoldResponse> result = HoldResponse();
};

/// \brief Reply to a CallExchange, with responses to calls of this or earlier
/// messages.
struct CallExchangeReply {
  Incarnation agent;     ///< of the replying process
  ZoneName zone;         ///< of the replying host; empty if unknown
  bool leaving = false;  ///< the host shuts down and accepts no further calls
  std::vector<DelegatedResponse> responses;
};

/// Each worker and each job payload is written once per message.
[[nodiscard]] std::string EncodeExchange(const CallExchange& exchange);
/// \returns the message, kInvalidField or kTooLarge.
[[nodiscard]] Result<CallExchange> DecodeExchange(std::string_view bytes);

[[nodiscard]] std::string EncodeReply(const CallExchangeReply& reply);
/// \returns the reply, kInvalidField or kTooLarge.
[[nodiscard]] Result<CallExchangeReply> DecodeReply(std::string_view bytes);

/// \returns the approximate size of the response in a message, in bytes.
[[nodiscard]] std::size_t SizeOf(const DelegatedResponse& response);
/// \returns the approximate size of the call in a message, in bytes.
[[nodiscard]] std::size_t SizeOf(const DelegatedCall& call);

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_CALL_CODEC_H_
