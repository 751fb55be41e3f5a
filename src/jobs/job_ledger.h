#ifndef BORAGEWINCH_JOBS_JOB_LEDGER_H_
#define BORAGEWINCH_JOBS_JOB_LEDGER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/result.h"
#include "jobs/fleet_rules.h"
#include "jobs/job_types.h"
#include "jobs/ledger_batch.h"

namespace boragewinch::jobs {

/// \brief A run that may be at work.
struct Run {
  std::uint32_t number = 0;
  WorkerLife worker;
  UnixMillis decided = 0;
  /// Ordered from an earlier life of the worker; see Worker::carried.
  bool carried = false;
};

/// \brief State of one task.
struct Task {
  std::uint32_t last_run = 0;  ///< highest number ever used
  std::uint32_t failures = 0;
  bool done = false;
  std::vector<Run> runs;  ///< more than one only with speculative copies
  std::string checkpoint;
};

/// \brief State of one step of an occurrence.
struct Step {
  std::vector<Task> tasks;
  std::int64_t done = 0;
  std::int64_t placed = 0;  ///< tasks that have a run
  std::uint32_t gang_failures = 0;

  [[nodiscard]] bool complete() const noexcept {
    return done == static_cast<std::int64_t>(tasks.size());
  }
  [[nodiscard]] std::int64_t waiting() const noexcept {
    return static_cast<std::int64_t>(tasks.size()) - done - placed;
  }
};

struct Occurrence {
  std::vector<Step> steps;
  UnixMillis opened = 0;
};

/// \brief An accepted job. A job in a final state without runs keeps only
/// what its callers may still ask for.
struct Job {
  JobId id;
  QueueName queue;
  CustomerName customer;
  std::shared_ptr<const JobSpec> spec;
  UnixMillis accepted = 0;
  UnixMillis finished = 0;
  JobState state = JobState::kQueued;
  std::int64_t max_attempts = 1;
  std::map<std::uint32_t, Occurrence> occurrences;  ///< opened, not complete
  std::uint32_t next_occurrence = 0;                ///< first not yet opened
  std::int64_t completed_occurrences = 0;
  std::int64_t runs = 0;  ///< runs of its tasks that may be at work
  /// A task waits whose step is ready; never of a job in a final state.
  bool startable = false;

  [[nodiscard]] bool final() const noexcept {
    return state == JobState::kCompleted || state == JobState::kFailed ||
           state == JobState::kCanceled;
  }
  /// \returns whether all steps that `step` depends on are complete.
  [[nodiscard]] bool StepReady(const Occurrence& occurrence,
                               std::size_t step) const;
};

/// \brief One life of a worker with the runs that may be at work on it.
struct Worker {
  WorkerNote note;
  std::int64_t ends_noted = 0;  ///< highest list number that is stored
  Resources used;               ///< by its runs, as far as they count
  std::set<RunName> runs;
  /// Those of `runs` that were ordered from an earlier life under the same id.
  /// An order names only the id, so this life may carry it out.
  std::set<RunName> carried;
  std::int64_t lasting = 0;  ///< runs of long-running tasks
  /// Runs of jobs in a final state and of finished tasks.
  std::int64_t surplus = 0;
};

/// \brief Tasks of a queue's jobs that come to an end by themselves.
struct QueueLoad {
  std::int64_t open_tasks = 0;  ///< of unfinished jobs, waiting or at work
  /// Tasks that have ended `done`. It only rises and begins at 0 when a
  /// snapshot is read.
  std::int64_t ended_tasks = 0;
};

/// \brief Orders pointers to jobs by id and pointers to workers by life.
struct ByName {
  using is_transparent = void;
  bool operator()(const Job* a, const Job* b) const noexcept {
    return a->id < b->id;
  }
  bool operator()(const Worker* a, const Worker* b) const noexcept {
    return a->note.life < b->note.life;
  }
  bool operator()(const Worker* a, const WorkerLife& b) const noexcept {
    return a->note.life < b;
  }
  bool operator()(const WorkerLife& a, const Worker* b) const noexcept {
    return a < b->note.life;
  }
};

using JobSet = std::set<const Job*, ByName>;
using WorkerSet = std::set<const Worker*, ByName>;

struct Wave {
  WaveOrder order;
  UnixMillis started = 0;
  std::set<HostName> begun;

  [[nodiscard]] bool complete() const noexcept {
    return begun.size() >= order.hosts.size();
  }
};

/// \brief The newest order for a host.
struct HostOrder {
  HostOrderNote note;
  UnixMillis decided = 0;
};

/// \brief The replicated state of jobs, workers, rules and waves. Apply is
/// deterministic: equal sequences of batches give equal ledgers.
///
/// Besides the state itself it keeps indexes of what decisions ask for, so that
/// their cost follows what has changed. They are derived: snapshots leave them
/// out, and Restore builds them again.
class JobLedger {
 public:
  JobLedger() = default;
  JobLedger(JobLedger&&) = default;
  JobLedger& operator=(JobLedger&&) = default;
  // The indexes point into the ledger.
  JobLedger(const JobLedger&) = delete;
  JobLedger& operator=(const JobLedger&) = delete;
  ~JobLedger() = default;

  /// \brief Applies one committed batch. Parts that no longer fit the state
  /// (a start of a cancelled job, an end of an unknown run) change nothing.
  void Apply(const Batch& batch);

  [[nodiscard]] const FleetRules& rules() const noexcept { return rules_; }
  [[nodiscard]] const std::unordered_map<JobId, Job>& jobs() const noexcept {
    return jobs_;
  }
  [[nodiscard]] const Job* FindJob(const JobId& id) const;
  /// Jobs that are not final, by id.
  [[nodiscard]] const std::set<JobId>& active() const noexcept {
    return active_;
  }
  [[nodiscard]] const std::map<WorkerLife, Worker>& workers() const noexcept {
    return workers_;
  }
  /// Active jobs with a waiting task whose step is ready.
  [[nodiscard]] const JobSet& startable() const noexcept { return startable_; }
  /// Active jobs that still have occurrences to open by their due time.
  [[nodiscard]] const JobSet& repeating() const noexcept { return repeating_; }
  /// \returns the workers of a pool, also those that drain.
  [[nodiscard]] const WorkerSet& WorkersOf(const PoolName& pool) const;
  /// Workers that drain or have surplus runs.
  [[nodiscard]] const WorkerSet& stop_candidates() const noexcept {
    return stop_candidates_;
  }
  /// Batches applied to this object; not part of the replicated state.
  [[nodiscard]] std::uint64_t applied() const noexcept { return applied_; }
  /// Lives whose note or runs the last batch changed, also those that it ended;
  /// each once, sorted.
  [[nodiscard]] const std::vector<WorkerLife>& touched() const noexcept {
    return touched_;
  }
  [[nodiscard]] const Worker* FindWorker(const WorkerLife& life) const;
  /// \returns the newest life of a worker id that has not departed.
  [[nodiscard]] const Worker* FindPresent(const WorkerId& id) const;
  /// \returns the task, or nullptr if its job or occurrence is not open.
  [[nodiscard]] const Task* FindTask(const TaskName& name) const;
  /// \returns whether `run` may be at work according to the ledger.
  [[nodiscard]] bool HasRun(const RunName& run, const WorkerLife& worker) const;
  /// \returns what the runs of a customer take, fleet-wide.
  [[nodiscard]] Resources UsageOf(const CustomerName& customer) const;
  /// \returns accepted jobs of a queue of which no task has started.
  [[nodiscard]] std::int64_t QueuedOf(const QueueName& queue) const;
  [[nodiscard]] QueueLoad LoadOf(const QueueName& queue) const;
  [[nodiscard]] const std::map<std::int64_t, Wave>& waves() const noexcept {
    return waves_;
  }
  [[nodiscard]] const std::map<HostName, HostOrder>& host_orders()
      const noexcept {
    return host_orders_;
  }

  /// \returns what a run of `step` takes of its worker's capacity.
  [[nodiscard]] static Resources RoomOf(const StepSpec& step);

  [[nodiscard]] std::string Snapshot() const;
  /// \returns the ledger of a snapshot, or kStorageCorrupt.
  [[nodiscard]] static Result<JobLedger> Restore(const std::string& bytes);

 private:
  void ApplyWorker(const WorkerNote& note);
  void ApplySubmission(const Submission& submission, UnixMillis now);
  void ApplyCancel(const JobId& id, UnixMillis now);
  void ApplyOpening(const OpeningNote& opening, UnixMillis now);
  void ApplyEnd(const EndNote& end, UnixMillis now);
  void ApplyStart(const StartNote& start, UnixMillis now);
  void OpenOccurrence(Job* job, std::uint32_t occurrence, UnixMillis now);
  /// \brief Removes a run from task, worker and usage. \returns whether it was
  /// there.
  bool RemoveRun(Job* job, const RunName& run, const WorkerLife& worker);
  void CompleteTask(Job* job, const TaskName& name, UnixMillis now);
  void CountFailure(Job* job, const TaskName& name, UnixMillis now);
  void Finish(Job* job, JobState state, UnixMillis now);
  void Compact(Job* job);
  void Depart(const WorkerLife& life);
  /// \brief Ends a life whose id has come back; its runs go on to `later`.
  void CarryOver(const WorkerLife& life, const WorkerLife& later);
  void AdoptJob(Job job);
  /// \returns tasks of the opened occurrences that are to end by themselves.
  [[nodiscard]] static std::int64_t OpenTasksOf(const Job& job);
  void AdoptWorker(Worker worker);
  /// \returns other lives at the note's id, address or host.
  [[nodiscard]] std::vector<WorkerLife> LivesAtPlaceOf(
      const WorkerNote& note) const;
  void IndexPlace(const Worker& worker);
  void ForgetPlace(const Worker& worker);
  void IndexStops(const Worker& worker);
  /// \brief Brings the job's place in the indexes up to date.
  void IndexJob(Job* job);
  void CountSurplus(const WorkerLife& life, std::int64_t change);
  /// \brief Counts the runs of unfinished tasks as surplus; the job is about to
  /// get a final state.
  void CountFinalRuns(const Job& job);
  [[nodiscard]] Job* MutableJob(const JobId& id);

  FleetRules rules_;
  std::unordered_map<JobId, Job> jobs_;
  std::set<JobId> active_;
  std::map<WorkerLife, Worker> workers_;
  /// Last life of each worker id that has departed; late messages of it or
  /// earlier ones are ignored.
  std::map<WorkerId, UnixMillis> departed_;
  std::map<CustomerName, Resources> usage_;
  std::map<QueueName, std::int64_t> queued_;
  std::map<QueueName, QueueLoad> loads_;
  std::map<std::int64_t, Wave> waves_;
  std::map<HostName, HostOrder> host_orders_;

  JobSet startable_;
  JobSet repeating_;
  std::unordered_map<PoolName, WorkerSet> pool_workers_;
  WorkerSet stop_candidates_;
  std::unordered_multimap<std::string, WorkerLife> lives_by_address_;
  std::unordered_multimap<HostName, WorkerLife> lives_by_host_;
  std::uint64_t applied_ = 0;
  std::vector<WorkerLife> touched_;
};

}  // namespace boragewinch::jobs

#endif  // BORAGEWINCH_JOBS_JOB_LEDGER_H_
