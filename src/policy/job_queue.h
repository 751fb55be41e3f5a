#ifndef BORAGEWINCH_POLICY_JOB_QUEUE_H_
#define BORAGEWINCH_POLICY_JOB_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/job_queue_config.h"
#include "policy/pending_job.h"
#include "policy/usage_average.h"

namespace boragewinch {

/// \brief Usage of a team, compared with its fair share.
struct TeamShareStatus {
  double running = 0;     ///< current dominant share, as a fraction of capacity
  double average = 0;     ///< decayed average of `running` over the window
  double fair_share = 0;  ///< weight over the weights of all active teams
  std::size_t waiting = 0;
};

/// \brief Counts since the queue was created.
struct JobQueueStats {
  std::uint64_t started = 0;
  std::uint64_t overdue_started = 0;    ///< of these, for overdue customers
  std::uint64_t tried = 0;              ///< calls of `startable`
  std::uint64_t max_wait_exceeded = 0;  ///< starts later than guaranteed
};

/// \brief Admission order of the waiting jobs of one entry host.
///
/// In each pool, every `kOverdueEvery`-th start goes to the customer that has
/// been overdue for longest, if any. Otherwise teams with urgent work go first
/// if their urgent tasks alone are below their fair share, then the team with
/// the lowest weighted dominant share. Within a team, urgent jobs go first,
/// then the customer with the lowest decayed usage, then the oldest job. Jobs
/// that are not startable are skipped. A decision goes through the teams with
/// work in the pool and tries a bounded number of jobs of each; all other costs
/// are logarithmic.
class JobQueue {
 public:
  using Startable = std::function<bool(const PendingJob&)>;

  /// One in this many starts of a pool may go to an overdue customer. The
  /// others go by share, so that a team does not exceed its share by having
  /// many customers.
  static constexpr std::uint32_t kOverdueEvery = 4;
  /// A pool without a startable job is tried again after this time, even
  /// without a call of MarkReady.
  static constexpr Millis kRetryInterval{250};

  /// \returns kInvalidSetting for a configuration out of range.
  [[nodiscard]] static Result<JobQueue> Make(const JobQueueConfig& config = {});

  JobQueue(JobQueue&&) noexcept;
  JobQueue& operator=(JobQueue&&) noexcept;
  ~JobQueue();

  /// \brief Sets predicates that skip a whole pool (no free slot) or team (at
  /// its limit) without a call of `startable` for each of its jobs.
  void SetChecks(std::function<bool(const PoolName&)> pool_open,
                 std::function<bool(const TeamName&)> team_open);

  /// \brief Adds a job. A job that is requeued after a failed start keeps its
  /// position, which depends on `enqueued`.
  /// \returns kDuplicateName if a job with this id is queued already.
  Status Push(PendingJob job, TimePoint now);

  /// \returns whether `id` was queued.
  bool Remove(const RequestId& id);

  /// \brief Removes and returns the job to start next in any pool.
  /// \param startable whether the team's limit and the pool's workers allow a
  /// start of the job now; called a bounded number of times for each team.
  [[nodiscard]] std::optional<PendingJob> Next(TimePoint now,
                                               const Startable& startable);

  /// \brief Like Next, for one pool.
  [[nodiscard]] std::optional<PendingJob> NextIn(const PoolName& pool,
                                                 TimePoint now,
                                                 const Startable& startable);

  /// \brief Counts a running task for its team and pool.
  void OnStarted(const PendingJob& job, TimePoint now);

  /// \brief Reverses OnStarted. Next tries the job's pool and the other pools
  /// of its team again.
  void OnEnded(const PendingJob& job, TimePoint now);

  /// \brief Makes Next try `pool` again, for example after capacity was freed.
  void MarkReady(const PoolName& pool);
  void MarkAllReady();

  /// \brief Replaces the weights. Unlisted teams have weight 1.
  void SetShares(const std::map<TeamName, std::int64_t>& shares);

  /// \brief Replaces the usage on the zone's other entry hosts, by team.
  void SetZoneUsage(const std::map<TeamName, UsageVector>& usage,
                    TimePoint now);

  /// \brief Replaces the usage on the zone's other entry hosts, by pool and
  /// team.
  void SetZonePoolUsage(
      const std::map<PoolName, std::map<TeamName, UsageVector>>& usage,
      TimePoint now);

  /// \brief Sets the capacity of the zone: slots, processors, memory,
  /// accelerators.
  void SetCapacity(const UsageVector& total) noexcept;

  [[nodiscard]] std::size_t size() const noexcept;
  [[nodiscard]] const JobQueueStats& stats() const noexcept;
  [[nodiscard]] TeamShareStatus ShareStatus(const TeamName& team,
                                            TimePoint now);
  /// \returns up to `max` waiting urgent jobs of `pool`, oldest first.
  [[nodiscard]] std::vector<PendingJob> UrgentWaiting(const PoolName& pool,
                                                      std::size_t max) const;
  /// \returns the waiting job, or nullptr.
  [[nodiscard]] const PendingJob* Find(const RequestId& id) const;

 private:
  struct Impl;
  explicit JobQueue(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_JOB_QUEUE_H_
