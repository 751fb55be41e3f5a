#ifndef BORAGEWINCH_SCHEDULER_WORKER_CALLS_H_
#define BORAGEWINCH_SCHEDULER_WORKER_CALLS_H_

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
  std::string ticket;       ///< of the advice service, if the queue needs one
  std::uint64_t token = 0;  ///< fencing token
  std::int64_t lease_until_ms = 0;  ///< on the worker's clock
  Millis timeout{0};
};

/// \brief Order to stop a run, and to refuse it if it comes later.
struct StopCall {
  jobs::RunName run;
  std::uint64_t token = 0;
  Millis timeout{0};
};

/// \brief Asks for the runs and ends of a worker and renews its lease.
struct HoldCall {
  std::uint64_t token = 0;
  std::int64_t ends_noted = 0;  ///< ends up to this number are stored
  /// On the worker's clock; nothing while that is unknown.
  std::optional<std::int64_t> lease_until_ms;
  Millis wait{0};     ///< the answer waits so long for an end
  Millis timeout{0};  ///< beyond `wait`
};

/// \brief Order to let a task work at a share of its speed.
struct PaceCall {
  jobs::RunName run;
  int percent = 100;
  std::uint64_t token = 0;
};

enum class CallVerdict {
  kDone,
  kFenced,       ///< the worker has seen a higher fencing token
  kStale,        ///< a run of that number or a later one was there before
  kLate,         ///< the lease in the order has run out
  kNoRoom,       ///< the worker has not enough room
  kNoTicket,     ///< the ticket is missing or not valid
  kInvalid,      ///< the order was not understood
  kUnhealthy,    ///< the worker takes nothing now and has done nothing
  kOtherLife,    ///< another life of the worker answers; it has acted
  kOtherWorker,  ///< a worker with another id answers; it has done nothing
};

inline constexpr EnumTable<CallVerdict, 10> kCallVerdicts{{{
    {CallVerdict::kDone, "done"},
    {CallVerdict::kFenced, "fenced"},
    {CallVerdict::kStale, "stale"},
    {CallVerdict::kLate, "late"},
    {CallVerdict::kNoRoom, "no_room"},
    {CallVerdict::kNoTicket, "no_ticket"},
    {CallVerdict::kInvalid, "invalid"},
    {CallVerdict::kUnhealthy, "unhealthy"},
    {CallVerdict::kOtherLife, "other_life"},
    {CallVerdict::kOtherWorker, "other_worker"},
}}};

/// \brief What a worker answered to an order.
struct CallAnswer {
  CallVerdict verdict = CallVerdict::kDone;
  std::optional<std::int64_t> clock_ms;  ///< worker's clock at the answer
};

/// \brief A run that is at work.
struct RunningRow {
  jobs::RunName run;
  std::string checkpoint;
  int percent = 0;  ///< of its work; of readiness for a long-running task
};

/// \brief An end that the worker lists until it is told that it was noted.
struct EndedRow {
  std::int64_t number = 0;
  jobs::RunName run;
  jobs::RunEnd how = jobs::RunEnd::kDone;
  std::string checkpoint;
};

/// \brief Answer of the advice service about one step.
struct Advice {
  /// Ticket of each worker that may run the step.
  std::map<jobs::WorkerId, std::string> tickets;
  Millis valid{0};
};

struct HoldAnswer {
  CallAnswer call;
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;
};

/// \brief The calls to workers. `done` is called once: with what the worker
/// answered, or with kTransport if nothing was sent, or with another error if
/// the worker may have acted.
struct WorkerCalls {
  template <typename T>
  using Done = std::function<void(Result<T>)>;

  std::function<
      void(const jobs::WorkerNote&, const StartCall&, Done<CallAnswer>)>
      start;
  std::function<
      void(const jobs::WorkerNote&, const StopCall&, Done<CallAnswer>)>
      stop;
  std::function<
      void(const jobs::WorkerNote&, const HoldCall&, Done<HoldAnswer>)>
      hold;
  /// Asks which of `workers` may run a step; only step and above of the name
  /// count. kTableFull: the service has too many calls waiting.
  std::function<void(const jobs::TaskName& step,
                     const std::vector<jobs::WorkerId>& workers,
                     Done<Advice>)>
      advise;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_CALLS_H_
