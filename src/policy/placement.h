#ifndef BORAGEWINCH_POLICY_PLACEMENT_H_
#define BORAGEWINCH_POLICY_PLACEMENT_H_

#include <memory>
#include <optional>

#include "policy/pending_job.h"
#include "policy/placement_config.h"
#include "policy/worker_view.h"

namespace boragewinch {

/// \brief Selects workers for jobs from an index of the workers of a zone or a
/// fleet, which is updated incrementally.
class Placement {
 public:
  /// \returns kInvalidSetting for a configuration out of range.
  [[nodiscard]] static Result<Placement> Make(
      const PlacementConfig& config = {});

  Placement(Placement&&) noexcept;
  Placement& operator=(Placement&&) noexcept;
  ~Placement();

  /// \brief Adds a worker or replaces its state. The tasks placed on it stay
  /// counted for the spread of their queues.
  void UpdateWorker(const WorkerView& worker, TimePoint now);

  /// \returns whether the worker was known.
  bool RemoveWorker(const HostName& host);

  /// \brief Selects a worker of the job's pool without reserving it.
  [[nodiscard]] std::optional<HostName> Choose(const PendingJob& job,
                                               TimePoint now) const;

  /// \brief Subtracts a slot and the demand from the worker's free capacity
  /// until its next UpdateWorker and counts the task for the spread of its
  /// queue.
  void OnPlaced(const PendingJob& job, const HostName& host);

  /// \brief Stops counting a task of `queue` and adds its slot and `demand` to
  /// the worker's free capacity until the next UpdateWorker.
  void OnEnded(const QueueName& queue,
               const Resources& demand,
               const HostName& host);

  /// \returns whether `pool` has workers and `demand` exceeds the total
  /// capacity of each. False for unknown pools, whose workers may not have sent
  /// a heartbeat yet.
  [[nodiscard]] bool NeverFits(const Resources& demand,
                               const PoolName& pool) const;

  /// \returns the worker as last updated, minus the tasks placed since.
  [[nodiscard]] std::optional<WorkerView> Find(const HostName& host) const;

  /// \returns free slots of the accepting workers of `pool`.
  [[nodiscard]] std::int64_t FreeSlots(const PoolName& pool) const;

  [[nodiscard]] std::size_t size() const noexcept;

 private:
  struct Impl;
  explicit Placement(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_PLACEMENT_H_
