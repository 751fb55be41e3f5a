#ifndef BORAGEWINCH_SCHEDULER_WORKER_SESSION_H_
#define BORAGEWINCH_SCHEDULER_WORKER_SESSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/enum_table.h"
#include "base/time.h"
#include "jobs/job_ledger.h"
#include "scheduler/late_orders.h"
#include "scheduler/worker_calls.h"

namespace boragewinch::scheduler {

struct WorkerSessionOptions {
  /// Time for which a response of the worker lets its runs continue. It covers
  /// an election and the start of the new leader (some 2 s); it also delays the
  /// restart of the runs of a lost worker.
  Millis lease{5'000};
  /// Longest lease that workers accept, whatever an order says: the lease in an
  /// order for an earlier incarnation is a time on another clock.
  Millis max_lease{10'000};
  /// Longest time for which an order is under way. Calls end after
  /// hold_wait + hold_timeout.
  Millis max_order_delay{2'000};
  /// Time after a restart from which the worker carries out no order for an
  /// earlier incarnation.
  Millis max_late_order = kMaxLateOrder;
  /// No tasks are started on a worker that has not responded for this long. A
  /// hold call gets its response within hold_wait.
  Millis unresponsive_after{1'700};
  /// No further tasks are started on a worker that has not responded to a start
  /// for this long, until it responds: responses take some 5 ms.
  Millis unanswered_start{200};
  /// Time for which a hold call waits for a run to end.
  Millis hold_wait{1'000};
  /// Delay after a response with ends, so that the next one batches several.
  Millis hold_batch_delay{40};
  /// Delay after a failed hold call.
  Millis retry_delay{250};
  /// Response timeout of a start or stop: a response takes some 5 ms, 200 ms
  /// more if a packet is lost. Both orders are idempotent and are retried.
  Millis order_timeout{400};
  /// Response timeout of a hold call beyond its wait.
  Millis hold_timeout{900};
  /// Response timeout of the first hold call of a worker that has restarted; it
  /// doubles with each further one, up to hold_timeout. Until the worker has
  /// carried one out, it carries out orders for its earlier incarnation.
  Millis first_hold_timeout{100};
  /// Delay before a start without a response is sent again.
  Millis start_retry_delay{100};
};

/// \brief What the leader knows about a run that the ledger assigns to a
/// worker.
enum class RunPhase {
  /// Ordered by an earlier leader or from an earlier incarnation of the worker,
  /// not yet listed.
  kInherited,
  kPlanned,         ///< stored by this leader, start not sent yet
  kOrdered,         ///< the start is in flight
  kOutcomeUnknown,  ///< a start or stop may have been carried out
  kConfirmed,       ///< the worker accepted the start or lists the run
  kStopping,        ///< a stop is in flight
  kStopped,         ///< the worker accepted the stop, the end is not yet listed
};

inline constexpr EnumTable<RunPhase, 7> kRunPhases{{{
    {RunPhase::kInherited, "inherited"},
    {RunPhase::kPlanned, "planned"},
    {RunPhase::kOrdered, "ordered"},
    {RunPhase::kOutcomeUnknown, "unsure"},
    {RunPhase::kConfirmed, "confirmed"},
    {RunPhase::kStopping, "stopping"},
    {RunPhase::kStopped, "stopped"},
}}};

/// \brief Numbers of consecutive ends.
struct EndRange {
  std::int64_t first = 0;
  std::int64_t last = 0;
};

/// \brief The leader's state of one run.
struct RunTrack {
  RunPhase phase = RunPhase::kInherited;
  TimePoint since;
  int starts_sent = 0;
  TimePoint start_sent;  ///< the latest start
  /// Latest start without a response. It may still be carried out, also by a
  /// later incarnation of the worker.
  std::optional<TimePoint> unanswered_start;
  bool stop_requested = false;
  /// The worker has accepted a start in its response to it.
  bool start_answered = false;
  /// Inherited, and this session has not started it: any list under its token
  /// that lacks the run proves that it is over.
  bool inherited = false;
  /// When the worker was first known to have accepted the start or a stop. It
  /// rejects later copies of the start once the run is over, so a list that was
  /// requested after this and lacks the run proves that it is over. Repeated
  /// orders don't change it.
  std::optional<TimePoint> accepted;
  /// When the worker first accepted a stop.
  std::optional<TimePoint> stop_accepted;
  /// No complete list that was requested after the stop was accepted has
  /// arrived.
  bool awaits_list = false;
  /// A list that was requested after the last start lacks the run.
  bool unlisted = false;
  int percent = 0;
  bool slow = false;       ///< took far longer than usual for its queue
  std::string checkpoint;  ///< newest one that the worker listed
};

/// \returns the latest possible time at which the worker joined after an
/// earlier incarnation of its id; nothing if none was known.
/// \param added kInherited when this leader takes leadership, kPlanned when the
/// worker has just joined.
/// \param wall_time present time on this host's wall clock.
[[nodiscard]] std::optional<TimePoint> SuccessionTime(
    const jobs::Worker& worker,
    RunPhase added,
    jobs::UnixMillis wall_time,
    TimePoint now);

/// \brief What the proof that a run is over or goes on still lacks.
enum class ProofGap {
  kList,      ///< a list that was requested late enough
  kStop,      ///< the worker has accepted neither the start nor a stop
  kLease,     ///< the worker does not respond; a lease may not have expired
  kOtherRun,  ///< the worker lists another run of the task as running
};

inline constexpr EnumTable<ProofGap, 4> kProofGaps{{{
    {ProofGap::kList, "list"},
    {ProofGap::kStop, "stop"},
    {ProofGap::kLease, "lease"},
    {ProofGap::kOtherRun, "other_run"},
}}};

/// \returns the time within which a run is settled after the last call about it
/// that got no response, if the worker responds: an open list that fails, the
/// repetition of a start and of a stop, the list that is open when the stop is
/// accepted, and the stop itself.
[[nodiscard]] Millis RespondingSettlingBound(
    const WorkerSessionOptions& options);
/// \returns the time within which each run is settled, whether its worker
/// responds or not: the above, and the longest time for which a lease may
/// count.
[[nodiscard]] Millis SettlingBound(const WorkerSessionOptions& options);

/// \brief The leader's state for one incarnation of a worker: liveness, lease
/// and runs. It does no I/O and reads no clock.
///
/// A run is known to be over only when the worker lists its end, when a list
/// lacks it although no start of it can still arrive, or when every lease that
/// may have been granted has expired.
///
/// A worker that has started again under its id carries out orders for its
/// earlier incarnations until it has received one with its own fencing token
/// (see FencingToken). So nothing starts on it before it has responded to a
/// hold. That response settles all inherited runs, as no earlier start can
/// arrive any more. Leases that came with earlier orders are times on another
/// clock, so they may last for options.max_lease from then on, and they apply
/// to all of its runs. A start without a response may have reached such an
/// incarnation that has not reported yet.
class WorkerSession {
 public:
  /// \param leading_since time at which this leader took leadership: leases
  /// that earlier leaders granted expire within options.lease after it.
  /// \param succeeded latest possible time at which this incarnation joined
  /// after an earlier one with the same id; nothing if none was known.
  WorkerSession(WorkerSessionOptions options,
                TimePoint leading_since,
                std::optional<TimePoint> succeeded = std::nullopt);

  /// \brief Adds the runs that the ledger has for the worker and drops all
  /// others.
  /// \param added phase of new runs: kInherited when this leader takes
  /// leadership, kPlanned later.
  void Sync(const jobs::Worker& worker, RunPhase added, TimePoint now);

  /// \brief Takes over what is known of inherited runs from the session of the
  /// earlier incarnation.
  void Inherit(const WorkerSession& earlier);
  /// \brief Records that an earlier leader may have ordered an inherited run
  /// without a response.
  /// \param ordered latest possible time of that order.
  void OnEarlierStart(const jobs::RunName& run, TimePoint ordered);

  /// \returns the end of the lease for an order sent now, on the worker's
  /// clock; nothing while that is unknown.
  [[nodiscard]] std::optional<std::int64_t> LeaseUntil() const;
  /// \brief Records that an order with that lease is being sent.
  void OnGrant(std::int64_t lease_until_ms);
  /// \returns the hold to be sent now, without its token, and records it as
  /// sent. It acknowledges ends only straight after a list of this incarnation:
  /// carried out late by the next one, it would acknowledge ends of that.
  [[nodiscard]] HoldCall PrepareHold(const jobs::Worker& worker, TimePoint now);
  /// \brief Records the worker's clock in a response. \returns whether the
  /// clock can be that of this incarnation.
  bool OnClock(std::int64_t clock_ms, TimePoint now);
  /// \brief Records that another incarnation responds at the worker's address.
  /// Its list and clock don't apply to this one, but it may carry out orders
  /// sent to this one.
  void OnOtherIncarnation(TimePoint now);
  void OnCallFailed(TimePoint now);

  void OnStartSent(const jobs::RunName& run, TimePoint now);
  /// \returns how the run ended, if the response proves that it did.
  [[nodiscard]] std::optional<jobs::RunEnd> OnStartResponse(
      const jobs::RunName& run,
      const Result<CallResponse>& response,
      TimePoint now);
  /// \returns whether the only start that was ever sent for the task of the run
  /// was accepted, so that no start of the task is under way any more. An
  /// earlier run may have one that a later incarnation carries out.
  [[nodiscard]] bool StartSettled(const jobs::RunName& run) const;
  /// \brief Marks a run to be stopped.
  /// \returns whether it was not marked before.
  bool RequestStop(const jobs::RunName& run);
  void OnStopSent(const jobs::RunName& run, TimePoint now);
  void OnStopResponse(const jobs::RunName& run,
                      const Result<CallResponse>& response,
                      TimePoint now);

  void OnHoldSent(TimePoint now);
  /// \brief Compares a list of the worker with the ledger.
  /// \param unexpected_runs receives listed runs that are not in worker.runs
  /// and whose stop is to be sent or repeated now.
  /// \returns the ends that follow from the comparison.
  [[nodiscard]] std::vector<jobs::EndRecord> OnHoldResponse(
      const jobs::Worker& worker,
      const HoldResponse& response,
      TimePoint now,
      std::vector<jobs::RunName>* unexpected_runs);
  void OnHoldFailed(TimePoint now);
  /// \returns the ends that the worker has forgotten although they are neither
  /// stored nor in an earlier list; each is returned once.
  [[nodiscard]] std::vector<EndRange> FindMissingEnds(
      const jobs::Worker& worker,
      const HoldResponse& response);

  /// \returns the ends of all runs once every lease has expired.
  [[nodiscard]] std::vector<jobs::EndRecord> ExpireLease(
      const jobs::Worker& worker,
      TimePoint now);

  /// \returns the earliest time at which a list, a repeated order or the expiry
  /// of a lease is due if nothing happens until then; not after `now` if one is
  /// due already.
  [[nodiscard]] TimePoint NextDue(TimePoint now) const;
  [[nodiscard]] bool HoldDue(TimePoint now) const;
  /// \returns whether the response to a hold is awaited.
  [[nodiscard]] bool hold_open() const noexcept { return hold_open_; }
  /// \returns whether lists are needed to determine the state of runs; they are
  /// then requested without waiting for ends.
  [[nodiscard]] bool HasUnsettledRuns() const;
  /// \returns whether it is not known that the run goes on: its start is
  /// unconfirmed, or it is to be stopped.
  [[nodiscard]] static bool IsUnsettled(const RunTrack& track);
  /// \returns what is lacking to settle the run.
  [[nodiscard]] ProofGap GapOf(const jobs::RunName& run,
                               const RunTrack& track,
                               TimePoint now) const;
  /// \returns runs whose start or stop is to be sent.
  [[nodiscard]] std::vector<jobs::RunName> StartsDue(TimePoint now) const;
  [[nodiscard]] std::vector<jobs::RunName> StopsDue(TimePoint now) const;
  /// \returns whether the start of a run that StopsDue has returned may be sent
  /// again instead: nobody has asked for its stop, and few starts were sent.
  [[nodiscard]] bool MayRepeatStart(const jobs::RunName& run) const;
  /// \returns whether further tasks may be started on the worker.
  [[nodiscard]] bool Reachable(TimePoint now) const;
  /// \returns whether the worker has responded within
  /// options.unresponsive_after.
  [[nodiscard]] bool HasRespondedRecently(TimePoint now) const {
    return clock_ms_ && now - clock_at_ <= options_.unresponsive_after;
  }
  /// \returns whether the worker has responded to this leader.
  [[nodiscard]] bool has_responded() const noexcept {
    return clock_ms_.has_value();
  }
  /// \brief Marks a run as slow. \returns whether it was not marked before.
  bool MarkSlow(const jobs::RunName& run);
  [[nodiscard]] const std::map<jobs::RunName, RunTrack>& tracks()
      const noexcept {
    return tracks_;
  }

 private:
  [[nodiscard]] TimePoint LeaseExpiry() const;
  /// \returns when every lease that may cover the run has expired.
  /// \param track of the run; nullptr if there is none.
  [[nodiscard]] TimePoint LeaseExpiryOf(const RunTrack* track) const;
  /// \brief Records that a newer incarnation may accept leases in orders for an
  /// older one that arrive until `until`.
  void ExpectTakeover(TimePoint until);
  /// \returns the latest time at which this incarnation may carry out an order
  /// for an earlier one, unless it has received its own token before.
  [[nodiscard]] std::optional<TimePoint> LastEarlierOrder() const;
  /// \brief Records that no order for an earlier incarnation can arrive after
  /// `now`.
  void OnFenced(TimePoint now);
  /// \returns whether an order for an earlier incarnation may still arrive.
  [[nodiscard]] bool MayReceiveEarlierOrders(TimePoint now) const;
  [[nodiscard]] RunTrack* Find(const jobs::RunName& run);

  WorkerSessionOptions options_;
  /// \brief Ends the wait of stopped runs for a list.
  void OnCompleteList(const std::set<jobs::RunName>& listed);

  std::map<jobs::RunName, RunTrack> tracks_;
  /// Listed runs that the ledger does not have, with the time of the last stop.
  std::map<jobs::RunName, TimePoint> unexpected_stops_;
  std::optional<std::int64_t> clock_ms_;  ///< in the newest response
  TimePoint clock_at_;                    ///< when that response arrived
  /// Latest lease end sent, on the worker's clock.
  std::int64_t granted_until_ms_ = 0;
  TimePoint earlier_leader_leases_until_;  ///< end of leases of earlier leaders
  /// End of leases that a newer incarnation may have accepted with orders for
  /// an older one.
  TimePoint takeover_leases_until_;
  /// Latest time at which this incarnation joined after an earlier one.
  std::optional<TimePoint> succeeded_;
  /// A list of this incarnation has arrived: it has received an order with its
  /// own token.
  bool fenced_ = false;
  bool other_incarnation_ = false;  ///< another incarnation has responded
  bool may_acknowledge_ = false;    ///< the last response listed ends
  bool hold_open_ = false;
  /// Of the next hold that is to fence the worker.
  Millis fencing_timeout_;
  TimePoint hold_sent_;
  TimePoint hold_due_;
  std::int64_t last_listed_end_ = 0;
  bool call_failed_ = false;  ///< a call has failed since the last response
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_SESSION_H_
