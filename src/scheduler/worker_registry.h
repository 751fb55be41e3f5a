#ifndef BORAGEWINCH_SCHEDULER_WORKER_REGISTRY_H_
#define BORAGEWINCH_SCHEDULER_WORKER_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>

#include "base/result.h"
#include "scheduler/ledger_replica.h"

namespace boragewinch::scheduler {

/// \brief Takes the workers' announcements. Only changes are stored: a worker
/// repeats itself every second or two.
class WorkerRegistry {
 public:
  using Done = std::function<void(Status)>;

  explicit WorkerRegistry(LedgerReplica& replica) : replica_(replica) {}

  /// \brief Notes what a worker says of itself.
  /// \param sequence rises within one life; a late message changes nothing.
  /// \param done gets success once the announcement is stored.
  void OnCheckIn(const jobs::WorkerNote& note,
                 std::int64_t sequence,
                 TimePoint now,
                 const Done& done);
  /// \returns whether this replica has just what the worker says of itself, so
  /// that the leader has nothing to store. A follower may then confirm the
  /// announcement; the leader learns from its calls whether the worker is
  /// there.
  [[nodiscard]] bool IsKnown(const jobs::WorkerNote& note, TimePoint now) const;
  /// \brief Notes that a worker has left. Its runs are over only if it had
  /// announced that it drains: a late message may be of an earlier life.
  void OnLeave(const jobs::WorkerId& id, TimePoint now, const Done& done);

 private:
  [[nodiscard]] bool IsStored(const jobs::WorkerNote& note) const;
  void Store(const jobs::WorkerNote& note, const Done& done);

  LedgerReplica& replica_;
  std::map<jobs::WorkerLife, std::int64_t> sequences_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_REGISTRY_H_
