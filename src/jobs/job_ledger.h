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
#include "jobs/fleet_config.h"
#include "jobs/job_types.h"
#include "jobs/ledger_batch.h"

namespace boragewinch::jobs {

/// \brief A run that a worker may be executing.
struct Run {
  std::uint32_t number = 0;
  WorkerIncarnation worker;
  UnixMillis decided = 0;
  /// Ordered from an earlier incarnation of the worker; see Worker::inherited.
  bool inherited = false;
  /// Its start was the only one of its task and was answered: no start of the
  /// task can be carried out any more, also not by a later incarnation.
  bool confirmed = false;
};

/// \brief State of one task.
struct Task {
  std::uint32_t last_run = 0;  ///< highest run number ever used
  std::uint32_t failures = 0;
  bool done = false;
  /// A second one only as a speculative copy. Of a finished task those that are
  /// still to be stopped.
  std::vector<Run> runs;
  std::string checkpoint;
};

/// \brief State of one step of an occurrence.
struct Step {
  std::vector<Task> tasks;
  std::int64_t done = 0;
  std::int64_t placed = 0;  ///< tasks that have a run
  /// Failed runs of a gang. Several members may fail in one run, which counts
  /// once; all members of a run have the same number.
  std::uint32_t gang_failures = 0;
  std::uint32_t last_failed_gang_run = 0;

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

/// \brief An accepted job. A finished job without runs keeps only what callers
/// can still query.
struct Job {
  JobId id;
  QueueName queue;
  CustomerName customer;
  std::shared_ptr<const JobSpec> spec;
  UnixMillis accepted = 0;
  UnixMillis finished = 0;
  /// kQueued until a worker is known to execute one of its runs, or to have
  /// executed it: a run that was decided may never begin.
  JobState state = JobState::kQueued;
  std::int64_t max_attempts = 1;
  std::map<std::uint32_t, Occurrence> occurrences;  ///< open ones
  std::uint32_t next_occurrence = 0;                ///< first not yet opened
  std::int64_t completed_occurrences = 0;
  std::int64_t runs = 0;  ///< runs of its tasks that may be running
  /// A task of a ready step is waiting; always false for a finished job.
  bool startable = false;
  /// A task that may get a copy is running; always false for a finished job.
  bool speculating = false;

  [[nodiscard]] bool final() const noexcept {
    return state == JobState::kCompleted || state == JobState::kFailed ||
           state == JobState::kCanceled;
  }
  /// \returns whether all dependencies of `step` are complete.
  [[nodiscard]] bool StepReady(const Occurrence& occurrence,
                               std::size_t step) const;
};

/// \brief One incarnation of a worker and the runs that may be running on it.
struct Worker {
  WorkerRecord record;
  /// Numbers the incarnations of all workers in the order in which they joined;
  /// 0 if it joined before they were numbered.
  std::int64_t join_number = 0;
  std::int64_t last_end_sequence = 0;  ///< highest one stored
  Resources used;  ///< by its runs; see JobLedger::CapacityOf
  std::set<RunName> runs;
  /// Those of `runs` that were ordered from an earlier incarnation. A start
  /// request names only the worker id, so this incarnation may execute it.
  std::set<RunName> inherited;
  /// When it joined after an earlier incarnation of its id; 0 if none was
  /// known. Orders for that one name the same id, so this one may carry them
  /// out.
  UnixMillis succeeded = 0;
  std::int64_t long_running_runs = 0;  ///< runs of long-running tasks
  /// Runs of finished jobs and tasks, which are to be stopped.
  std::int64_t obsolete_runs = 0;
};

/// \brief Counts of a queue's tasks, without long-running ones.
struct QueueLoad {
  std::int64_t open_tasks = 0;  ///< of unfinished jobs, waiting or running
  /// Tasks that have completed. Increases monotonically; a restored snapshot
  /// starts at 0.
  std::int64_t ended_tasks = 0;
};

/// \brief Orders job pointers by id and worker pointers by incarnation.
struct ById {
  using is_transparent = void;
  bool operator()(const Job* a, const Job* b) const noexcept {
    return a->id < b->id;
  }
  bool operator()(const Worker* a, const Worker* b) const noexcept {
    return a->record.incarnation < b->record.incarnation;
  }
  bool operator()(const Worker* a, const WorkerIncarnation& b) const noexcept {
    return a->record.incarnation < b;
  }
  bool operator()(const WorkerIncarnation& a, const Worker* b) const noexcept {
    return a < b->record.incarnation;
  }
};

using JobSet = std::set<const Job*, ById>;
using WorkerSet = std::set<const Worker*, ById>;

struct Wave {
  WaveOrder order;
  UnixMillis started = 0;
  std::set<HostName> begun;

  [[nodiscard]] bool complete() const noexcept {
    return begun.size() >= order.hosts.size();
  }
};

/// \brief The latest order for a host.
struct HostOrder {
  HostOrderRecord record;
  UnixMillis decided = 0;
};

/// \brief What operators have ordered for an availability zone.
struct ZoneState {
  bool evacuated = true;  ///< false: returned to use
  UnixMillis changed = 0;
};

/// Limit on the stored zones, at some 300 bytes each: far more than a
/// deployment has. The returned ones are forgotten first.
inline constexpr std::size_t kMaxZones = 256;
/// Time for which a returned zone is known, so that its warm workers are
/// preferred. Workers are cold for some minutes at most.
inline constexpr Millis kReturnedZoneMemory{600'000};

/// Time for which the cancellation of an unknown job is remembered: longer than
/// a copy of its submission can be under way. TCP sends the data of a
/// connection that its sender has closed for some 60 s at most.
inline constexpr Millis kUnseenCancelMemory{90'000};
/// Time for which a finished job is known. Callers of the users' platform ask
/// for its state for 120 s; copies of its submission arrive seconds late.
inline constexpr Millis kFinishedJobMemory{600'000};
/// Maximum finished jobs; more are forgotten earlier, the oldest first. One
/// takes some 400 bytes of memory, so all of them a sixth of a 256 MB host.
inline constexpr std::size_t kMaxFinishedJobs = 100'000;
/// Time for which the departure of a worker is known. Late messages arrive
/// within a minute: TCP sends the data of a closed connection for 60 s.
inline constexpr Millis kDepartureMemory{600'000};
/// Limit on the remembered ones, at some 200 bytes each.
inline constexpr std::size_t kMaxUnseenCancels = 10'000;

/// \brief The replicated state machine of jobs, workers, configuration and
/// waves. Apply is deterministic: equal sequences of batches give equal
/// ledgers.
///
/// It also maintains indexes for scheduling decisions, so that the cost of a
/// decision depends on what has changed and not on the size of the state.
/// Snapshots omit the indexes; Restore rebuilds them.
class JobLedger {
 public:
  JobLedger() = default;
  JobLedger(JobLedger&&) = default;
  JobLedger& operator=(JobLedger&&) = default;
  // The indexes point into the ledger.
  JobLedger(const JobLedger&) = delete;
  JobLedger& operator=(const JobLedger&) = delete;
  ~JobLedger() = default;

  /// \brief Applies one committed batch. Parts that no longer match the state
  /// (a start for a cancelled job, an end of an unknown run) are ignored.
  void Apply(const Batch& batch);

  [[nodiscard]] const FleetConfig& config() const noexcept { return config_; }
  /// \returns the queue of an unfinished job: from the configuration, or from
  /// the last one that had it. nullptr if no configuration had it.
  [[nodiscard]] const QueueConfig* QueueOf(const Job& job) const;
  /// Queues that the configuration no longer has, with unfinished jobs.
  [[nodiscard]] const std::map<QueueName, QueueConfig>& retired_queues()
      const noexcept {
    return retired_queues_;
  }
  [[nodiscard]] const std::unordered_map<JobId, Job>& jobs() const noexcept {
    return jobs_;
  }
  [[nodiscard]] const Job* FindJob(const JobId& id) const;
  /// Ids of unfinished jobs.
  [[nodiscard]] const std::set<JobId>& active() const noexcept {
    return active_;
  }
  [[nodiscard]] const std::map<WorkerIncarnation, Worker>& workers()
      const noexcept {
    return workers_;
  }
  /// Active jobs with a waiting task of a ready step.
  [[nodiscard]] const JobSet& startable() const noexcept { return startable_; }
  /// Active jobs with a running task of a step that may have copies.
  [[nodiscard]] const JobSet& speculating() const noexcept {
    return speculating_;
  }
  /// Tasks with a run beside the one that they need: unfinished ones with two
  /// runs, and finished ones with a run that has not ended yet.
  [[nodiscard]] const std::set<TaskName>& copied_tasks() const noexcept {
    return copied_tasks_;
  }
  /// Active jobs with further occurrences that open at their due time.
  [[nodiscard]] const JobSet& repeating() const noexcept { return repeating_; }
  /// \returns the workers of a pool, including draining ones.
  [[nodiscard]] const WorkerSet& WorkersOf(const PoolName& pool) const;
  /// Workers that are draining or have obsolete runs.
  [[nodiscard]] const WorkerSet& stop_candidates() const noexcept {
    return stop_candidates_;
  }
  /// Number of batches applied to this object; not part of the replicated
  /// state.
  [[nodiscard]] std::uint64_t applied() const noexcept { return applied_; }
  /// Incarnations whose record or runs the last batch changed or that it
  /// removed; sorted, without duplicates.
  [[nodiscard]] const std::vector<WorkerIncarnation>& changed_workers()
      const noexcept {
    return changed_workers_;
  }
  [[nodiscard]] const Worker* FindWorker(
      const WorkerIncarnation& incarnation) const;
  /// \returns the latest incarnation of a worker id that has not departed.
  [[nodiscard]] const Worker* FindCurrent(const WorkerId& id) const;
  /// \returns the incarnations that the record would replace: those with its
  /// id, address or host. None if one of them started later, as the record has
  /// no effect then.
  [[nodiscard]] std::vector<WorkerIncarnation> ReplacedBy(
      const WorkerRecord& record) const;
  /// \returns whether an earlier incarnation of the same worker id was known.
  [[nodiscard]] bool HasPredecessor(const WorkerIncarnation& incarnation) const;
  /// \returns whether the job was cancelled before it was submitted.
  [[nodiscard]] bool IsCancelledUnseen(const UnseenCancel& cancel) const {
    return unseen_cancels_.count(cancel) > 0;
  }
  /// \returns the run if it may be running, or nullptr.
  [[nodiscard]] const Run* FindRun(const RunName& name) const;
  /// \returns the task, or nullptr if its job or occurrence is not open.
  [[nodiscard]] const Task* FindTask(const TaskName& name) const;
  /// \returns whether `run` may be running on `worker`.
  [[nodiscard]] bool HasRun(const RunName& run,
                            const WorkerIncarnation& worker) const;
  /// \returns the resources that a customer's runs use, fleet-wide.
  [[nodiscard]] Resources UsageOf(const CustomerName& customer) const;
  /// \returns the number of accepted jobs of a queue of which no task is known
  /// to have begun.
  [[nodiscard]] std::int64_t QueuedOf(const QueueName& queue) const;
  [[nodiscard]] QueueLoad LoadOf(const QueueName& queue) const;
  [[nodiscard]] const std::map<std::int64_t, Wave>& waves() const noexcept {
    return waves_;
  }
  [[nodiscard]] const std::map<HostName, HostOrder>& host_orders()
      const noexcept {
    return host_orders_;
  }

  /// Evacuated zones and zones that were returned to use lately.
  [[nodiscard]] const std::map<ZoneName, ZoneState>& zones() const noexcept {
    return zones_;
  }
  /// \returns whether nothing may start on the workers of the zone.
  [[nodiscard]] bool IsEvacuated(const ZoneName& zone) const;
  /// \returns whether the zone was returned to use lately; see
  /// kReturnedZoneMemory.
  [[nodiscard]] bool IsReturned(const ZoneName& zone) const;
  /// \returns whether an evacuation of the zone would be stored: it is stored
  /// already or there are fewer than kMaxZones evacuated zones.
  [[nodiscard]] bool CanEvacuate(const ZoneName& zone) const;

  /// \returns whether tasks of `step` may have two runs at a time.
  [[nodiscard]] static bool MayBeCopied(const StepSpec& step) {
    return step.speculative && !step.gang && !step.long_running;
  }
  /// \returns the number of runs of the task beyond the one that it needs.
  [[nodiscard]] static std::size_t SurplusRunsOf(const Task& task) {
    return task.runs.size() - (task.done || task.runs.empty() ? 0 : 1);
  }
  /// \returns the worker capacity that a run of `step` takes.
  [[nodiscard]] static Resources CapacityOf(const StepSpec& step);

  [[nodiscard]] std::string Snapshot() const;
  /// \returns the ledger read from a snapshot, or kStorageCorrupt.
  [[nodiscard]] static Result<JobLedger> Restore(const std::string& bytes);

 private:
  void ApplyConfig(const FleetConfig& config);
  /// \brief Moves jobs and counts to the queues' new names.
  /// \param names new names by old ones.
  void RenameQueues(const std::map<QueueName, QueueName>& names);
  void ApplyWorker(const WorkerRecord& record, UnixMillis now);
  void ApplySubmission(const Submission& submission, UnixMillis now);
  void ApplyCancel(const JobId& id, UnixMillis now);
  void ApplyUnseenCancel(const UnseenCancel& cancel, UnixMillis now);
  void ApplyOpening(const OpeningRecord& opening, UnixMillis now);
  void ApplyEnd(const EndRecord& end, UnixMillis now);
  void ApplyStart(const StartRecord& start, UnixMillis now);
  void ApplyBegun(const RunName& run);
  void ApplyConfirmed(const RunName& run);
  /// \brief Records that a task of the job has begun.
  void MarkBegun(Job* job);
  void ApplyZoneChange(const ZoneChange& change, UnixMillis now);
  /// \brief Applies the starts on workers that are not in an evacuated zone: a
  /// start may have been decided before the evacuation was stored. A gang with
  /// such a member does not start at all.
  void ApplyStarts(const std::vector<StartRecord>& starts, UnixMillis now);
  /// \returns whether a run on the worker may be added to those of the task.
  [[nodiscard]] static bool AcceptsRun(const StepSpec& spec,
                                       const Task& task,
                                       const WorkerIncarnation& worker);
  void OpenOccurrence(Job* job, std::uint32_t occurrence, UnixMillis now);
  /// \brief Removes a run from its task, its worker and the usage counts.
  /// \returns whether the run existed.
  bool RemoveRun(Job* job, const RunName& run, const WorkerIncarnation& worker);
  void CompleteTask(Job* job, const TaskName& name, UnixMillis now);
  void CountFailure(Job* job, const RunName& run, UnixMillis now);
  static void StoreCheckpoint(const StepSpec& spec,
                              const EndRecord& end,
                              Step* step);
  /// \brief Gives all members of a gang that is about to start one checkpoint.
  static void ShareCheckpoint(Step* step);
  void Finish(Job* job, JobState state, UnixMillis now);
  void Compact(Job* job);
  void RemoveIncarnation(const WorkerIncarnation& incarnation, UnixMillis now);
  void RecordDeparture(const WorkerIncarnation& incarnation, UnixMillis now);
  /// \brief Forgets finished jobs and departures that are too old or too many.
  void ForgetOld(UnixMillis now);
  /// \brief Forgets the counts of queues and customers that are gone.
  void ForgetUnused();
  /// \brief Removes an incarnation whose worker has restarted; `later` inherits
  /// its runs.
  void InheritRuns(const WorkerIncarnation& incarnation,
                   const WorkerIncarnation& later,
                   UnixMillis now);
  void RestoreJob(Job job);
  /// \returns the unfinished tasks of open occurrences, without long-running
  /// ones.
  [[nodiscard]] static std::int64_t OpenTasksOf(const Job& job);
  void RestoreWorker(Worker worker);
  /// \returns the other incarnations with the record's id, address or host.
  [[nodiscard]] std::vector<WorkerIncarnation> ConflictingIncarnations(
      const WorkerRecord& record) const;
  void IndexWorker(const Worker& worker);
  void UnindexWorker(const Worker& worker);
  void UpdateStopCandidate(const Worker& worker);
  /// \brief Updates the indexes for the job.
  void IndexJob(Job* job);
  void IndexCopies(const TaskName& name, const Task& task);
  void AddObsoleteRuns(const WorkerIncarnation& incarnation,
                       std::int64_t change);
  /// \brief Counts the runs of unfinished tasks as obsolete, before the job
  /// enters a final state.
  void CountObsoleteRuns(const Job& job);
  [[nodiscard]] Job* MutableJob(const JobId& id);

  FleetConfig config_;
  std::map<QueueName, QueueConfig> retired_queues_;
  std::unordered_map<JobId, Job> jobs_;
  std::set<JobId> active_;
  std::map<WorkerIncarnation, Worker> workers_;
  std::int64_t joins_ = 0;  ///< the latest Worker::join_number
  /// Finished jobs by the time at which they finished.
  std::set<std::pair<UnixMillis, JobId>> finished_jobs_;
  /// The last departed incarnation of each worker id; late messages from it or
  /// earlier ones are ignored.
  struct Departure {
    UnixMillis start_time = 0;  ///< of the incarnation
    UnixMillis at = 0;
  };
  std::map<WorkerId, Departure> departed_;
  std::set<std::pair<UnixMillis, WorkerId>> departures_;  ///< by time
  /// Cancellations of jobs that were not known, with their times.
  std::map<UnseenCancel, UnixMillis> unseen_cancels_;
  std::map<CustomerName, Resources> usage_;
  std::map<QueueName, std::int64_t> queued_;
  std::map<QueueName, QueueLoad> loads_;
  std::map<std::int64_t, Wave> waves_;
  std::map<HostName, HostOrder> host_orders_;
  std::map<ZoneName, ZoneState> zones_;

  JobSet startable_;
  JobSet speculating_;
  std::set<TaskName> copied_tasks_;
  JobSet repeating_;
  std::unordered_map<PoolName, WorkerSet> pool_workers_;
  WorkerSet stop_candidates_;
  std::unordered_multimap<std::string, WorkerIncarnation>
      incarnations_by_address_;
  std::unordered_multimap<HostName, WorkerIncarnation> incarnations_by_host_;
  std::uint64_t applied_ = 0;
  std::vector<WorkerIncarnation> changed_workers_;
};

}  // namespace boragewinch::jobs

#endif  // BORAGEWINCH_JOBS_JOB_LEDGER_H_
