#ifndef BORAGEWINCH_SCHEDULER_WORKER_REGISTRY_H_
#define BORAGEWINCH_SCHEDULER_WORKER_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>

#include "base/result.h"
#include "scheduler/ledger_replica.h"

namespace boragewinch::scheduler {

/// \brief Handles the heartbeats of workers, which arrive every second or two.
/// Only changes are stored.
class WorkerRegistry {
 public:
  using Done = std::function<void(Status)>;

  explicit WorkerRegistry(LedgerReplica& replica) : replica_(replica) {}

  /// \brief Stores what a worker reports about itself.
  /// \param sequence increases within one incarnation; a reordered older
  /// heartbeat has no effect.
  /// \param done gets success once the report is stored.
  void OnHeartbeat(const jobs::WorkerRecord& record,
                   std::int64_t sequence,
                   TimePoint now,
                   const Done& done);
  /// \returns whether this replica has stored exactly this report, so that the
  /// leader has nothing to store. A follower may then confirm the heartbeat;
  /// the leader determines from its own calls whether the worker responds.
  [[nodiscard]] bool IsKnown(const jobs::WorkerRecord& record,
                             TimePoint now) const;
  /// \brief Records that a worker leaves. Its runs are over only if it had
  /// reported draining before: a late message may come from an earlier
  /// incarnation.
  void OnLeave(const jobs::WorkerId& id, TimePoint now, const Done& done);

 private:
  [[nodiscard]] bool IsStored(const jobs::WorkerRecord& record) const;
  void Store(const jobs::WorkerRecord& record, const Done& done);

  LedgerReplica& replica_;
  std::map<jobs::WorkerIncarnation, std::int64_t> sequences_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_REGISTRY_H_
