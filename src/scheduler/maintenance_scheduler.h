#ifndef BORAGEWINCH_SCHEDULER_MAINTENANCE_SCHEDULER_H_
#define BORAGEWINCH_SCHEDULER_MAINTENANCE_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/job_ledger.h"
#include "scheduler/host_calls.h"
#include "scheduler/host_inventory.h"

namespace boragewinch::scheduler {

/// \brief Actions that result from one decision.
struct WaveActions {
  struct Order {
    HostName host;
    std::int64_t wave = 0;
    jobs::WorkerIncarnation worker;  ///< ended by the order; empty id: none
  };
  std::vector<Order> maintain;
  /// Hosts that the platform no longer has: they need no maintenance.
  std::vector<jobs::WaveProgress> progress;
};

/// \brief Decides in which order and how many at a time the hosts of open
/// waves are cordoned and maintained. It does no I/O and reads no clock.
class MaintenanceScheduler {
 public:
  /// \param min_maintenance minimum duration of a maintenance.
  MaintenanceScheduler(Millis min_maintenance, HostInventory& hosts)
      : min_maintenance_(min_maintenance), hosts_(hosts) {}

  [[nodiscard]] WaveActions Decide(const jobs::JobLedger& ledger,
                                   TimePoint now);

  /// \brief Adds an order that an earlier leader issued at `at`.
  void Inherit(const HostName& host, std::int64_t wave, TimePoint at);
  void OnOrderSent(const HostName& host, std::int64_t wave, TimePoint now);
  /// \returns the progress to store if the platform has begun the maintenance.
  [[nodiscard]] std::optional<jobs::WaveProgress> OnResponse(
      const HostName& host,
      std::int64_t wave,
      const Result<HostVerdict>& verdict,
      TimePoint now);

  /// Workers on which no tasks are started because their host is next in a wave
  /// or being maintained.
  [[nodiscard]] const std::set<jobs::WorkerIncarnation>& cordoned()
      const noexcept {
    return cordoned_;
  }

 private:
  struct Ordered {
    std::int64_t wave = 0;
    TimePoint at;
    bool in_flight = false;  ///< the call is in flight
    bool begun = false;      ///< the platform has accepted the order
    /// Until then an order without a response may be carried out.
    TimePoint late_until;
  };

  void DecideWave(const jobs::JobLedger& ledger,
                  const jobs::Wave& wave,
                  TimePoint now,
                  WaveActions* actions);
  [[nodiscard]] bool IsDown(const HostName& host, TimePoint now) const;
  /// \returns whether an order of the wave without a response may still end the
  /// host's worker.
  [[nodiscard]] bool MayStillGoDown(const HostName& host,
                                    const jobs::Wave& wave,
                                    TimePoint now) const;

  Millis min_maintenance_;
  HostInventory& hosts_;
  std::map<HostName, Ordered> ordered_;
  std::map<HostName, TimePoint> refused_until_;
  std::set<jobs::WorkerIncarnation> cordoned_;
  std::set<HostName> drained_;  ///< hosts whose last worker reported draining
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_MAINTENANCE_SCHEDULER_H_
