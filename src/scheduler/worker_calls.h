#ifndef BORAGEWINCH_SCHEDULER_WORKER_CALLS_H_
#define BORAGEWINCH_SCHEDULER_WORKER_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/enum_table.h"
#include "base/result.h"
#include "jobs/ledger_batch.h"

namespace boragewinch::scheduler {

/// \brief Order to start a run.
struct StartCall {
  jobs::RunName run;
  std::string payload;
  std::string checkpoint;   ///< to resume from; empty: from the beginning
  std::string ticket;       ///< of the advice service if the queue needs one
  std::uint64_t token = 0;  ///< fencing token
  std::int64_t lease_until_ms = 0;  ///< on the worker's clock
  Millis timeout{0};
};

/// \brief Order to stop a run, and to reject a start of it that arrives later.
struct StopCall {
  jobs::RunName run;
  std::uint64_t token = 0;
  Millis timeout{0};
};

/// \brief Long poll of a worker's runs and run ends that also renews its lease.
struct HoldCall {
  std::uint64_t token = 0;
  std::int64_t last_end_sequence = 0;  ///< ends up to this number are stored
  /// On the worker's clock; empty while that is unknown.
  std::optional<std::int64_t> lease_until_ms;
  Millis wait{0};     ///< for a run to end, before the worker responds
  Millis timeout{0};  ///< for the response, in addition to `wait`
};

/// \brief Order to throttle a run to a percentage of its speed.
struct PaceCall {
  jobs::RunName run;
  int percent = 100;
  std::uint64_t token = 0;
};

enum class CallVerdict {
  kDone,
  kFenced,  ///< the worker has seen a higher fencing token
  kStale,   ///< a run with that number or a later one has been there
  kLate,    ///< the lease in the order has expired
  kInsufficientCapacity,
  kNoTicket,          ///< the ticket is missing or invalid
  kInvalid,           ///< the order is malformed
  kUnhealthy,         ///< the worker accepts no orders now and ignored this one
  kOtherIncarnation,  ///< another incarnation responded and carried it out
  kOtherWorker,       ///< a worker with another id responded and ignored it
};

inline constexpr EnumTable<CallVerdict, 10> kCallVerdicts{{{
    {CallVerdict::kDone, "done"},
    {CallVerdict::kFenced, "fenced"},
    {CallVerdict::kStale, "stale"},
    {CallVerdict::kLate, "late"},
    {CallVerdict::kInsufficientCapacity, "no_room"},
    {CallVerdict::kNoTicket, "no_ticket"},
    {CallVerdict::kInvalid, "invalid"},
    {CallVerdict::kUnhealthy, "unhealthy"},
    {CallVerdict::kOtherIncarnation, "other_life"},
    {CallVerdict::kOtherWorker, "other_worker"},
}}};

/// \brief Response of a worker to an order.
struct CallResponse {
  CallVerdict verdict = CallVerdict::kDone;
  std::optional<std::int64_t> clock_ms;  ///< worker's clock at the response
};

/// \brief A run that a worker lists as running.
struct RunningRow {
  jobs::RunName run;
  std::string checkpoint;
  int percent = 0;  ///< work done, or readiness of a long-running task
};

/// \brief An ended run. The worker lists it until the leader acknowledges the
/// end with HoldCall::last_end_sequence.
struct EndedRow {
  std::int64_t end_sequence = 0;  ///< grows with each end of the worker
  jobs::RunName run;
  jobs::RunEnd how = jobs::RunEnd::kDone;
  std::string checkpoint;
};

/// \brief Response of the advice service for one step.
struct Advice {
  /// Ticket for each worker that may run the step.
  std::map<jobs::WorkerId, std::string> tickets;
  Millis valid{0};
};

/// Maximum number of ends in one list, by the protocol of the users' platform;
/// the worker lists further ones once these are acknowledged.
inline constexpr std::size_t kMaxListedEnds = 500;

struct HoldResponse {
  CallResponse call;
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;  ///< at most kMaxListedEnds, oldest first

  /// \returns whether a run that is not listed is neither running nor ended.
  [[nodiscard]] bool complete() const noexcept {
    return ended.size() < kMaxListedEnds;
  }
};

/// \brief The calls to workers. `done` is called once: with the worker's
/// response, with kTransport if nothing was sent, or with another error if the
/// worker may have carried out the call.
struct WorkerCalls {
  template <typename T>
  using Done = std::function<void(Result<T>)>;

  std::function<
      void(const jobs::WorkerRecord&, const StartCall&, Done<CallResponse>)>
      start;
  std::function<
      void(const jobs::WorkerRecord&, const StopCall&, Done<CallResponse>)>
      stop;
  std::function<
      void(const jobs::WorkerRecord&, const HoldCall&, Done<HoldResponse>)>
      hold;
  /// Asks which of `workers` may run a step; the task index in `step` is
  /// ignored. kTableFull: too many calls wait for the service.
  std::function<void(const jobs::TaskName& step,
                     const std::vector<jobs::WorkerId>& workers,
                     Done<Advice>)>
      advise;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_CALLS_H_
