#ifndef BORAGEWINCH_SCHEDULER_WORKER_FLEET_H_
#define BORAGEWINCH_SCHEDULER_WORKER_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/time.h"
#include "overload/copy_records.h"
#include "overload/duration_model.h"
#include "policy/worker_health.h"
#include "scheduler/ledger_replica.h"
#include "scheduler/run_durations.h"
#include "scheduler/settling_monitor.h"
#include "scheduler/worker_calls.h"
#include "scheduler/worker_session.h"

namespace boragewinch::scheduler {

/// \brief The leader's calls to all workers: leases, orders and run lists. The
/// ends of runs that follow from the responses are stored in the ledger.
class WorkerFleet {
 public:
  /// \returns the ticket for a start, empty if none is needed.
  using TicketOf = std::function<std::string(const jobs::TaskName&,
                                             const jobs::WorkerIncarnation&)>;

  WorkerFleet(EventLoop& loop,
              LedgerReplica& replica,
              WorkerCalls calls,
              TicketOf ticket_of,
              WorkerSessionOptions options,
              Metrics& metrics);

  /// \brief Starts or stops sending orders as this replica gains or loses
  /// leadership.
  void OnLeadership(bool leading, TimePoint now);
  /// \brief Applies the changes of a stored batch and sends its starts.
  void OnStored(const jobs::Batch& batch, TimePoint now);
  /// \brief Sends the hold calls and repeated orders that are due and ends runs
  /// whose lease has expired.
  void Tick(TimePoint now);

  /// \returns how many further tasks may start on the worker now.
  [[nodiscard]] std::size_t StartLimitOf(
      const jobs::WorkerIncarnation& incarnation,
      TimePoint now) const;
  /// \returns whether the worker is expected to accept starts within a second
  /// or two: it is present and not quarantined.
  [[nodiscard]] bool AcceptsSoon(const jobs::WorkerIncarnation& incarnation,
                                 TimePoint now) const;
  /// \returns whether the worker is reachable and quarantined.
  [[nodiscard]] bool IsQuarantined(const jobs::WorkerIncarnation& incarnation,
                                   TimePoint now) const;
  /// \returns whether the task has failed on the worker.
  [[nodiscard]] bool HasFailedOn(
      const jobs::TaskName& task,
      const jobs::WorkerIncarnation& incarnation) const;
  /// \returns whether the worker counts as capacity: it has responded lately,
  /// or this leader took leadership too recently to know.
  [[nodiscard]] bool IsPresent(const jobs::WorkerIncarnation& incarnation,
                               TimePoint now) const;
  /// \brief Adds the jobs that have begun and that the ledger still counts as
  /// queued, and runs that are confirmed, if the batch is stored anyway or they
  /// have waited for long.
  void AddBegun(jobs::Batch* batch, TimePoint now);
  /// \brief Stops a run that may be running. Repeated calls have no effect.
  void Stop(const jobs::RunName& run,
            const jobs::WorkerIncarnation& incarnation,
            const char* reason);
  /// Gets whether this incarnation has responded, or kNotLeader.
  using Asked = std::function<void(const Result<bool>& responds)>;
  /// \brief Asks an incarnation for a list of its runs beside the regular
  /// holds, and stores the ends in it. It grants no lease.
  ///
  /// If the incarnation does not respond, lists that it sent earlier may still
  /// be under way: they are awaited, up to options.order_timeout.
  /// \param done called once, possibly at once.
  void RequestList(const jobs::WorkerIncarnation& incarnation,
                   const Asked& done);
  /// \brief Like RequestList, but an incarnation that has not responded lately
  /// is not asked: it would only take the timeout of a call.
  void Probe(const jobs::WorkerIncarnation& incarnation, const Asked& done);
  /// \brief Records that an incarnation of a worker has ended, and its runs
  /// with it, once the ends that it has listed are stored.
  void RecordDeparture(const jobs::WorkerIncarnation& incarnation,
                       const char* why);
  /// \returns the readiness or progress that the worker listed for a run; 0 if
  /// it was not listed, is to be stopped or its worker does not respond.
  [[nodiscard]] int PercentOf(const jobs::RunName& run,
                              const jobs::WorkerIncarnation& incarnation) const;
  /// \returns the expected duration of a task, from those that have ended.
  [[nodiscard]] Millis ExpectedDuration(const QueueName& queue,
                                        Millis estimate) const {
    return expected_durations_.Expected(queue, estimate);
  }
  /// \returns the spread of the durations about the expected one; see
  /// overload::DurationModel::Spread.
  [[nodiscard]] double DurationSpread(const QueueName& queue) const {
    return expected_durations_.Spread(queue);
  }
  /// \returns the time since the start of a run was sent, or since it was
  /// confirmed if an earlier leader sent it; nothing before that and once the
  /// run is to be stopped.
  [[nodiscard]] std::optional<Millis> ElapsedOf(
      const jobs::RunName& run,
      const jobs::WorkerIncarnation& incarnation,
      TimePoint now) const;
  /// \returns whether the worker fails or delays its tasks, or does not
  /// respond.
  [[nodiscard]] bool IsSuspect(const jobs::WorkerIncarnation& incarnation,
                               TimePoint now) const;
  /// \returns the number of workers whose health is recorded.
  [[nodiscard]] std::size_t health_records() const noexcept {
    return health_.size();
  }
  /// \returns the runs that are not known to go on or to be over.
  [[nodiscard]] const SettlingMonitor& settling() const noexcept {
    return settling_;
  }
  /// \returns whether the run is to be stopped and its worker responds.
  [[nodiscard]] bool IsStopping(
      const jobs::RunName& run,
      const jobs::WorkerIncarnation& incarnation) const;

 private:
  struct TrackedWorker;
  /// Workers by the time of their next check.
  using CheckSchedule = std::multimap<TimePoint, TrackedWorker*>;

  /// \returns the key of failed_on_ for a task: the first member of its gang,
  /// or the task itself.
  [[nodiscard]] jobs::TaskName AttemptOf(const jobs::TaskName& task) const;

  /// \brief A session with the time of its next check.
  struct TrackedWorker {
    jobs::WorkerIncarnation incarnation;
    WorkerSession session;
    HostName health_name;
    CheckSchedule::iterator check;
  };

  [[nodiscard]] static HostName HealthNameOf(
      const jobs::WorkerIncarnation& incarnation);
  [[nodiscard]] TrackedWorker* FindTracked(
      const jobs::WorkerIncarnation& incarnation);
  [[nodiscard]] WorkerSession* FindSession(
      const jobs::WorkerIncarnation& incarnation);
  [[nodiscard]] const WorkerSession* FindSession(
      const jobs::WorkerIncarnation& incarnation) const;
  /// \brief Updates all sessions from the ledger.
  void SyncSessions(RunPhase added, TimePoint now);
  /// \brief Updates the sessions of workers that the last batch changed.
  void SyncChanged(TimePoint now);
  void SyncSession(const jobs::WorkerIncarnation& incarnation,
                   RunPhase added,
                   TimePoint now);
  /// \returns the session of the earlier incarnation that `incarnation` has
  /// replaced, nullptr if there is none.
  [[nodiscard]] const WorkerSession* FindEarlier(
      const jobs::WorkerIncarnation& incarnation) const;
  /// \brief Records that starts of an earlier leader may have got no response.
  void ExpectEarlierStarts(const jobs::Worker& worker,
                           WorkerSession* session,
                           TimePoint now);
  void Forget(
      std::map<jobs::WorkerIncarnation, TrackedWorker>::iterator tracked);
  /// \brief Sends what is due to one worker and schedules its next check.
  void CheckWorker(TrackedWorker* tracked,
                   TimePoint now,
                   std::vector<jobs::EndRecord>* ends);
  /// \brief Logs the runs of the worker that are not settled within the bound.
  void ReportOverdueRuns(const TrackedWorker& tracked, TimePoint now);
  void RescheduleCheck(TrackedWorker* tracked, TimePoint at);
  /// \brief Reschedules the worker's check if its session needs it earlier.
  void CheckWhenDue(const jobs::WorkerIncarnation& incarnation, TimePoint now);
  /// \brief Schedules a check with the next tick, to look for slow runs.
  void CheckSoon(const jobs::WorkerIncarnation& incarnation);
  [[nodiscard]] std::uint64_t TokenFor(const jobs::Worker& worker) const;
  void SendStart(const jobs::Worker& worker, const jobs::RunName& run);
  void SendStop(const jobs::Worker& worker, const jobs::RunName& run);
  /// \returns whether a stop of the run keeps the availability limit of its
  /// step; see scheduler::MayInterrupt.
  [[nodiscard]] bool MayInterruptNow(const jobs::Worker& worker,
                                     const jobs::RunName& run) const;
  /// \returns whether a run that is not to start any more, since its zone is
  /// evacuated, may be stopped now: its start was not sent, can't arrive any
  /// more, or the stop keeps the availability limit.
  [[nodiscard]] bool MayGiveUpStart(const jobs::Worker& worker,
                                    const WorkerSession& session,
                                    const jobs::RunName& run) const;
  /// \brief Sends the start of a run that is due. In an evacuated zone the run
  /// is stopped instead: nothing may start there any more.
  void StartIfInUse(const jobs::Worker& worker,
                    const WorkerSession& session,
                    const jobs::RunName& run);
  /// \brief Sends the stop of a run, or its start once more if nobody has asked
  /// for the stop and it could make too many tasks unavailable.
  void StopOrRepeatStart(const jobs::Worker& worker,
                         const WorkerSession& session,
                         const jobs::RunName& run);
  void SendHold(const jobs::Worker& worker,
                WorkerSession* session,
                TimePoint now);
  void OnHold(const jobs::WorkerIncarnation& incarnation,
              const Result<HoldResponse>& response);
  void OnStart(const jobs::WorkerIncarnation& incarnation,
               const jobs::RunName& run,
               const Result<CallResponse>& response);
  /// \brief Records that a worker executes the run.
  void RecordBegun(const jobs::RunName& run, TimePoint now);
  /// \brief Records that the worker has accepted the start of the run.
  void RecordAccepted(const WorkerSession& session,
                      const jobs::RunName& run,
                      TimePoint now);
  /// \brief Moves the confirmations that are due to the batch.
  void AddConfirmations(jobs::Batch* batch, TimePoint now);
  void RecordEnds(std::vector<jobs::EndRecord> ends, TimePoint now);
  /// \returns the ends in a list that are not stored.
  [[nodiscard]] static std::vector<jobs::EndRecord> NewEndsOf(
      const jobs::Worker& worker,
      const HoldResponse& list);
  /// \param acknowledge whether the worker may forget the ends that are
  /// stored, to list further ones.
  void SendListRequest(const jobs::Worker& worker,
                       bool acknowledge,
                       const Asked& done);
  void OnRequestedList(const jobs::WorkerIncarnation& incarnation,
                       TimePoint deadline,
                       const Result<HoldResponse>& response,
                       const Asked& done);
  /// \brief Ends the waits of RequestList for lists that have arrived or that
  /// are overdue.
  void FinishListWaits(TimePoint now);
  void StoreDeparture(const jobs::WorkerIncarnation& incarnation,
                      const char* why);
  /// \brief Logs the ends in a list that arrives after the departure of its
  /// worker: their tasks run again.
  static void ReportDroppedEnds(const jobs::WorkerIncarnation& incarnation,
                                const Result<HoldResponse>& list);
  /// \brief Records the copies of the previous leader, from the ledger.
  void RecordEarlierCopies();
  /// \brief Records the copies among the starts of a stored batch.
  void RecordCopies(const jobs::Batch& batch, TimePoint now);
  /// \brief Records which of two runs counted. Called before the sessions drop
  /// the runs that the batch has ended.
  void RecordCopyEnds(const jobs::Batch& batch, TimePoint now);
  void RecordHealth(const jobs::Worker& worker, bool ok, TimePoint now);
  /// \brief Updates health and run durations from an end: failed and slow runs
  /// count against the worker.
  void EvaluateEnd(const jobs::Worker& worker,
                   const WorkerSession& session,
                   const jobs::EndRecord& end,
                   TimePoint now);
  /// \brief Finds runs that take far longer than usual. On a quarantined worker
  /// they are stopped, to run elsewhere.
  /// \returns when the next of its runs becomes slow, as far as is known now.
  TimePoint FindSlowRuns(const jobs::Worker& worker,
                         WorkerSession* session,
                         TimePoint now);
  /// \returns the duration after which the run is slow.
  [[nodiscard]] Millis SlowAfter(const jobs::RunName& run) const;

  EventLoop& loop_;
  LedgerReplica& replica_;
  WorkerCalls calls_;
  TicketOf ticket_of_;
  WorkerSessionOptions options_;
  Metrics& metrics_;
  WorkerHealth health_;
  SettlingMonitor settling_;
  RunDurations durations_;
  overload::DurationModel expected_durations_;
  overload::CopyRecords copies_;
  /// Workers on which open tasks have failed; the next attempt uses another.
  std::map<jobs::TaskName, std::set<jobs::WorkerIncarnation>> failed_on_;
  bool leading_ = false;
  TimePoint leading_since_;
  /// Incremented with each change of leadership; callbacks of an earlier epoch
  /// are dropped.
  std::uint64_t leadership_epoch_ = 0;
  std::map<jobs::WorkerIncarnation, TrackedWorker> workers_;
  CheckSchedule checks_;
  /// A caller of RequestList that waits for the open hold of an incarnation
  /// that does not respond.
  struct ListWait {
    jobs::WorkerIncarnation incarnation;
    TimePoint deadline;
    Asked done;
  };
  std::vector<ListWait> list_waits_;
  /// Incarnations that are asked for a last list before they are removed.
  std::set<jobs::WorkerIncarnation> departing_;
  /// A run of a job that has begun, until the ledger shows that.
  struct Begun {
    jobs::RunName run;
    TimePoint since;
  };
  std::map<jobs::JobId, Begun> begun_;
  /// Runs that are to be stored as confirmed, by the time from which on.
  std::multimap<TimePoint, jobs::RunName> confirmations_;
  std::uint64_t synced_ = 0;  ///< ledger batches that the sessions include
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_FLEET_H_
