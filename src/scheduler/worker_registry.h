#ifndef BORAGEWINCH_SCHEDULER_WORKER_REGISTRY_H_
#define BORAGEWINCH_SCHEDULER_WORKER_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "base/result.h"
#include "scheduler/ledger_replica.h"

namespace boragewinch::scheduler {

/// \brief Handles the heartbeats of workers, which arrive every second or two.
/// Only changes are stored.
class WorkerRegistry {
 public:
  using Done = std::function<void(Status)>;

  struct Hooks {
    using Asked = std::function<void(const Result<bool>& responds)>;
    /// Asks whether an incarnation still responds; see WorkerFleet::Probe.
    std::function<void(const jobs::WorkerIncarnation&, const Asked&)> probe;
    /// Stores the ends that an incarnation lists; see WorkerFleet::RequestList.
    std::function<void(const jobs::WorkerIncarnation&, const Asked&)>
        request_list;
  };

  WorkerRegistry(LedgerReplica& replica, Hooks hooks)
      : replica_(replica), hooks_(std::move(hooks)) {}

  /// \brief Stores what a worker reports about itself.
  ///
  /// A report on a pool that no configuration has names no worker: it may come
  /// from another program, and must not replace a worker at the same address or
  /// on the same host. It is acknowledged and kept aside until a configuration
  /// has its pool. A report that changes the pool, host or address of a
  /// running incarnation is refused with kConflict. One that would replace
  /// another incarnation, as it has its id, address or host, is acknowledged
  /// and has no effect while that one responds.
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
  /// \param cold for how long the worker expects to be slow. The report of a
  /// cold worker in a zone that was returned to use is left to the leader,
  /// which prefers warm workers.
  [[nodiscard]] bool IsKnown(const jobs::WorkerRecord& record,
                             TimePoint now,
                             Millis cold = Millis(0)) const;
  /// \brief Records for how long a worker expects to be slow; 0: it is warm.
  /// Soft state of the leader: workers report it again every second or two.
  void RecordCold(const jobs::WorkerIncarnation& incarnation,
                  Millis cold,
                  TimePoint now);
  /// \returns whether the worker is cold and its zone was returned to use
  /// lately. Elsewhere cold workers are used like all others.
  [[nodiscard]] bool IsCold(const jobs::WorkerIncarnation& incarnation,
                            TimePoint now) const;
  /// \brief Handles the message that a worker has left. It names no
  /// incarnation, and copies of it may arrive late, after the worker has
  /// started again under its id. It counts only for an incarnation that has
  /// reported draining, and not soon after a restart: the runs of any other one
  /// end when the worker lists their ends or their leases expire. The ends that
  /// it lists are stored before its other runs are given up.
  void OnLeave(const jobs::WorkerId& id,
               jobs::UnixMillis wall_time,
               TimePoint now,
               const Done& done);
  /// \brief Stores the recent reports on pools that the configuration has now.
  void OnConfiguration(TimePoint now);

 private:
  struct Unlisted {
    jobs::WorkerRecord record;
    TimePoint received;
  };

  [[nodiscard]] bool HasPool(const jobs::WorkerRecord& record) const;
  void KeepAside(const jobs::WorkerRecord& record, TimePoint now);
  [[nodiscard]] bool IsStored(const jobs::WorkerRecord& record) const;
  /// \brief Stores a new incarnation once it is known that none of `replaced`
  /// responds.
  void StoreUnlessDisputed(const jobs::WorkerRecord& record,
                           std::vector<jobs::WorkerIncarnation> replaced,
                           const Done& done);
  void Store(const jobs::WorkerRecord& record, const Done& done);

  LedgerReplica& replica_;
  Hooks hooks_;
  std::map<jobs::WorkerIncarnation, std::int64_t> sequences_;
  std::map<jobs::WorkerIncarnation, TimePoint> cold_until_;
  /// Latest reports on pools that no configuration has.
  std::map<jobs::WorkerIncarnation, Unlisted> unlisted_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WORKER_REGISTRY_H_
