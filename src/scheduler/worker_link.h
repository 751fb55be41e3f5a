#ifndef BORAGEWINCH_SCHEDULER_WORKER_LINK_H_
#define BORAGEWINCH_SCHEDULER_WORKER_LINK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/enum_table.h"
#include "base/time.h"
#include "jobs/job_ledger.h"
#include "scheduler/worker_calls.h"

namespace boragewinch::scheduler {

/// \brief Times of the contact with a worker.
struct WorkerLinkOptions {
  /// Time for which an answer of the worker lets its runs continue. It rides
  /// out an election with the start of the new leader (some 2 s) and delays the
  /// restart of what ran on a lost worker.
  Millis lease{5'000};
  /// Longest lease that workers grant, whatever an order says: the lease in an
  /// order for an earlier life is a time on another clock.
  Millis max_lease{10'000};
  /// A worker that has not answered for this long gets no new work. A waiting
  /// call is answered after kHoldWait at the latest.
  Millis silence{1'700};
  /// A worker that has left a start without an answer for this long gets no
  /// new work until it answers: answers take some 5 ms.
  Millis unanswered_start{200};
  /// Time for which a hold call waits for an end.
  Millis hold_wait{1'000};
  /// Pause after an answer with ends, so that one call brings several.
  Millis hold_pause{40};
  /// Pause after a failed call.
  Millis retry_pause{250};
  /// Time for the answer to a start or stop: some 5 ms, 200 ms more if a packet
  /// is lost. Both are idempotent and sent again.
  Millis order_timeout{400};
  /// Time for the answer to a hold call beyond its wait.
  Millis hold_timeout{900};
  /// Pause before a start without an answer is sent again.
  Millis start_retry{100};
};

/// \brief What is known of a run that the ledger has on a worker.
enum class RunPhase {
  kInherited,  ///< ordered by an earlier leader, not seen yet
  kPlanned,    ///< stored by this leader, its start is about to be sent
  kOrdered,    ///< the start is under way
  kUnsure,     ///< the start got no answer
  kConfirmed,  ///< the worker took the start or lists the run
  kStopping,   ///< a stop is under way
  kStopped,    ///< the worker took the stop; its list has not shown the end
};

inline constexpr EnumTable<RunPhase, 7> kRunPhases{{{
    {RunPhase::kInherited, "inherited"},
    {RunPhase::kPlanned, "planned"},
    {RunPhase::kOrdered, "ordered"},
    {RunPhase::kUnsure, "unsure"},
    {RunPhase::kConfirmed, "confirmed"},
    {RunPhase::kStopping, "stopping"},
    {RunPhase::kStopped, "stopped"},
}}};

struct RunTrack {
  RunPhase phase = RunPhase::kInherited;
  TimePoint since;
  int starts_sent = 0;
  bool stop_wanted = false;
  /// A list that was asked for after the last start lacks the run.
  bool unlisted = false;
  int percent = 0;
  bool slow = false;       ///< took far longer than runs of its queue do
  std::string checkpoint;  ///< newest that a list of the worker has shown
};

/// \brief The leader's view of one life of a worker: contact, lease and runs.
/// It has no socket and no clock.
///
/// A run is known to be over only when the worker lists its end, when a list
/// lacks it although no start of it can still arrive, or when every lease that
/// could have been granted has run out. A run that was ordered from an earlier
/// life of the worker is stopped first, as its start may still be on its way.
class WorkerLink {
 public:
  /// \param now time at which this leader began to act: leases that earlier
  /// leaders granted end within options.lease after it.
  WorkerLink(WorkerLinkOptions options, TimePoint now);

  /// \brief Enters the runs that the ledger has and forgets the others.
  /// \param added phase of runs that were not known: kInherited when this
  /// leader begins to act, kPlanned later.
  void Sync(const jobs::Worker& worker, RunPhase added, TimePoint now);

  /// \returns the lease for an order given now, nothing while the worker's
  /// clock is unknown.
  [[nodiscard]] std::optional<std::int64_t> LeaseUntil() const;
  /// \brief Notes that an order with that lease is being sent.
  void OnGrant(std::int64_t lease_until_ms);
  /// \brief Notes an answer with the worker's clock. \returns whether the clock
  /// can be that of this life.
  bool OnClock(std::int64_t clock_ms, TimePoint now);
  /// \brief Notes that another life answers at the worker's address. Its list
  /// and clock say nothing about this one, and it may carry out orders for it.
  void OnOtherLife(TimePoint now);
  void OnSilence(TimePoint now);

  void OnStartSent(const jobs::RunName& run, TimePoint now);
  /// \returns the end of the run if the answer establishes it.
  [[nodiscard]] std::optional<jobs::RunEnd> OnStartAnswer(
      const jobs::RunName& run,
      const Result<CallAnswer>& answer,
      TimePoint now);
  /// \returns whether this is the first wish to stop the run.
  bool WantStop(const jobs::RunName& run);
  void OnStopSent(const jobs::RunName& run, TimePoint now);
  void OnStopAnswer(const jobs::RunName& run,
                    const Result<CallAnswer>& answer,
                    TimePoint now);

  void OnHoldSent(TimePoint now);
  /// \brief Compares a list of the worker with the ledger.
  /// \param strays receives runs at work that the ledger does not have.
  /// \returns the ends that follow from it.
  [[nodiscard]] std::vector<jobs::EndNote> OnHoldAnswer(
      const jobs::Worker& worker,
      const HoldAnswer& answer,
      TimePoint now,
      std::vector<jobs::RunName>* strays);
  void OnHoldFailed(TimePoint now);

  /// \returns the ends of all runs once every lease has run out.
  [[nodiscard]] std::vector<jobs::EndNote> Lapse(const jobs::Worker& worker,
                                                 TimePoint now);

  /// \returns the time before which no list, repeated order or lapse falls due,
  /// if nothing happens until then; not after `now` if one is due.
  [[nodiscard]] TimePoint NextDue(TimePoint now) const;
  [[nodiscard]] bool HoldDue(TimePoint now) const;
  /// \returns whether runs are to be settled by lists, so that these should not
  /// wait for ends.
  [[nodiscard]] bool Settling(const jobs::Worker& worker) const;
  /// \returns runs whose start or stop is to be sent again.
  [[nodiscard]] std::vector<jobs::RunName> StartsDue(TimePoint now) const;
  [[nodiscard]] std::vector<jobs::RunName> StopsDue(TimePoint now) const;
  /// \returns whether new work may go to the worker.
  [[nodiscard]] bool Reachable(TimePoint now) const;
  /// \returns whether the worker has answered within options.silence.
  [[nodiscard]] bool Heard(TimePoint now) const {
    return clock_ms_ && now - clock_at_ <= options_.silence;
  }
  /// \returns whether the worker has answered this leader.
  [[nodiscard]] bool heard() const noexcept { return clock_ms_.has_value(); }
  /// \brief Marks a run as slow. \returns whether it was not marked before.
  bool MarkSlow(const jobs::RunName& run);
  [[nodiscard]] const std::map<jobs::RunName, RunTrack>& tracks()
      const noexcept {
    return tracks_;
  }

 private:
  [[nodiscard]] TimePoint LapsedAt() const;
  [[nodiscard]] RunTrack* Find(const jobs::RunName& run);

  WorkerLinkOptions options_;
  std::map<jobs::RunName, RunTrack> tracks_;
  std::optional<std::int64_t> clock_ms_;  ///< in the newest answer
  TimePoint clock_at_;                    ///< when that answer came
  std::int64_t granted_ms_ = 0;  ///< latest lease sent, on the worker's clock
  TimePoint inherited_until_;    ///< end of leases of earlier leaders
  /// End of leases that a later life may have given to orders for an earlier
  /// one.
  TimePoint carried_until_;
  bool other_life_ = false;  ///< another life has answered
  bool hold_open_ = false;
  TimePoint hold_sent_;
  TimePoint hold_due_;
  bool silent_ = false;  ///< a call has failed since the last answer
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_LINK_H_
