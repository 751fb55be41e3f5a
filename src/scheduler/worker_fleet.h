#ifndef BORAGEWINCH_SCHEDULER_WORKER_FLEET_H_
#define BORAGEWINCH_SCHEDULER_WORKER_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/time.h"
#include "policy/worker_health.h"
#include "scheduler/ledger_replica.h"
#include "scheduler/run_durations.h"
#include "scheduler/worker_calls.h"
#include "scheduler/worker_link.h"

namespace boragewinch::scheduler {

/// \brief The leader's contact with all workers: leases, orders and lists.
/// What the answers establish goes to the ledger.
class WorkerFleet {
 public:
  /// \returns the ticket for a start, empty if none is needed.
  using TicketOf =
      std::function<std::string(const jobs::TaskName&, const jobs::WorkerId&)>;

  WorkerFleet(EventLoop& loop,
              LedgerReplica& replica,
              WorkerCalls calls,
              TicketOf ticket_of,
              WorkerLinkOptions options,
              Metrics& metrics);

  /// \brief Begins or ends the orders of this leader.
  void OnLeadership(bool acts, TimePoint now);
  /// \brief Sends the starts of a stored batch and follows its changes.
  void OnStored(const jobs::Batch& batch, TimePoint now);
  /// \brief Sends what is due: lists, repeated orders and lapses.
  void Tick(TimePoint now);

  /// \returns how many tasks may start on the worker now.
  [[nodiscard]] std::size_t StartLimitOf(const jobs::WorkerLife& life,
                                         TimePoint now) const;
  /// \returns whether the task has failed on the worker.
  [[nodiscard]] bool HasFailedOn(const jobs::TaskName& task,
                                 const jobs::WorkerLife& life) const;
  /// \returns whether the worker counts as capacity: it has answered lately, or
  /// this leader has not yet had the time to hear of it.
  [[nodiscard]] bool IsPresent(const jobs::WorkerLife& life,
                               TimePoint now) const;
  /// \brief Stops a run that may be at work. Repeated calls have no effect.
  void Stop(const jobs::RunName& run,
            const jobs::WorkerLife& life,
            const char* reason);
  /// \brief Notes that a life of a worker is over, so that its runs are.
  void NoteDeparture(const jobs::WorkerLife& life, const char* why);
  /// \returns the share of readiness or of its work that a run has shown; 0 if
  /// it has not been seen, is to be stopped or its worker is silent.
  [[nodiscard]] int PercentOf(const jobs::RunName& run,
                              const jobs::WorkerLife& life) const;
  /// \returns whether a stop of the run is under way to a worker that answers.
  [[nodiscard]] bool IsStopping(const jobs::RunName& run,
                                const jobs::WorkerLife& life) const;

 private:
  struct Contact;
  /// Contacts by the time at which they are to be looked at.
  using Checks = std::multimap<TimePoint, Contact*>;

  /// \brief A link with the time of its next check.
  struct Contact {
    jobs::WorkerLife life;
    WorkerLink link;
    HostName health_name;
    Checks::iterator check;
  };

  [[nodiscard]] Contact* FindContact(const jobs::WorkerLife& life);
  [[nodiscard]] WorkerLink* Find(const jobs::WorkerLife& life);
  [[nodiscard]] const WorkerLink* Find(const jobs::WorkerLife& life) const;
  /// \brief Brings all links up to date with the ledger.
  void SyncLinks(RunPhase added, TimePoint now);
  /// \brief Brings the links up to date that the last batch has changed.
  void SyncTouched(TimePoint now);
  void SyncLink(const jobs::WorkerLife& life, RunPhase added, TimePoint now);
  void Forget(std::map<jobs::WorkerLife, Contact>::iterator contact);
  /// \brief Sends what is due to one worker and notes when to check it again.
  void CheckWorker(Contact* contact,
                   TimePoint now,
                   std::vector<jobs::EndNote>* ends);
  void MoveCheck(Contact* contact, TimePoint at);
  /// \brief Checks at the worker as early as its link now asks for.
  void CheckWhenDue(const jobs::WorkerLife& life, TimePoint now);
  /// \brief Checks at the worker with the next tick, to judge its runs.
  void CheckSoon(const jobs::WorkerLife& life);
  void SendStart(const jobs::Worker& worker, const jobs::RunName& run);
  void SendStop(const jobs::Worker& worker, const jobs::RunName& run);
  void SendHold(const jobs::Worker& worker, WorkerLink* link, TimePoint now);
  void OnHold(const jobs::WorkerLife& life, const Result<HoldAnswer>& answer);
  void OnStart(const jobs::WorkerLife& life,
               const jobs::RunName& run,
               const Result<CallAnswer>& answer);
  void NoteEnds(std::vector<jobs::EndNote> ends, TimePoint now);
  void NoteHealth(const jobs::Worker& worker, bool ok, TimePoint now);
  /// \brief Learns from a listed end: failures and slowness count against the
  /// worker.
  void JudgeEnd(const jobs::Worker& worker,
                const WorkerLink& link,
                const jobs::EndNote& end,
                TimePoint now);
  /// \brief Finds runs that should have ended long ago. On a worker that stands
  /// out they are stopped, to run elsewhere.
  /// \returns when the next of its runs becomes slow, as far as is known now.
  TimePoint JudgeOpenRuns(const jobs::Worker& worker,
                          WorkerLink* link,
                          TimePoint now);
  /// \returns the time after which the run is slow.
  [[nodiscard]] Millis SlowAfter(const jobs::RunName& run) const;

  EventLoop& loop_;
  LedgerReplica& replica_;
  WorkerCalls calls_;
  TicketOf ticket_of_;
  WorkerLinkOptions options_;
  Metrics& metrics_;
  WorkerHealth health_;
  RunDurations durations_;
  /// Workers on which open tasks have failed; another one gets the next try.
  std::map<jobs::TaskName, std::set<jobs::WorkerLife>> failed_on_;
  bool acts_ = false;
  TimePoint acts_since_;
  std::uint64_t era_ = 0;  ///< rises with each change of leadership
  std::map<jobs::WorkerLife, Contact> contacts_;
  Checks checks_;
  std::uint64_t synced_ = 0;  ///< batches of the ledger that the links show
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_FLEET_H_
