#ifndef BORAGEWINCH_SCHEDULER_WAVE_KEEPER_H_
#define BORAGEWINCH_SCHEDULER_WAVE_KEEPER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "jobs/job_ledger.h"
#include "scheduler/host_book.h"
#include "scheduler/host_calls.h"

namespace boragewinch::scheduler {

/// \brief What the keeper of the waves asks for.
struct WaveSteps {
  struct Order {
    HostName host;
    std::int64_t wave = 0;
    jobs::WorkerLife worker;  ///< ends by the order; empty id: none
  };
  std::vector<Order> maintain;
  /// Hosts that the platform no longer has: nothing is left to do for them.
  std::vector<jobs::WaveProgress> progress;
};

/// \brief Decides the order and pace in which the hosts of the open waves are
/// cleared and maintained. It has no socket and no clock.
class WaveKeeper {
 public:
  /// \param down how long a maintenance takes at least.
  WaveKeeper(Millis down, HostBook& hosts) : down_(down), hosts_(hosts) {}

  [[nodiscard]] WaveSteps Decide(const jobs::JobLedger& ledger, TimePoint now);

  /// \brief Enters an order that an earlier leader gave at `at`.
  void Inherit(const HostName& host, TimePoint at);
  void OnOrderSent(const HostName& host, TimePoint now);
  /// \returns the progress to store, if the answer establishes one.
  [[nodiscard]] std::optional<jobs::WaveProgress> OnAnswer(
      const HostName& host,
      std::int64_t wave,
      const Result<HostVerdict>& verdict,
      TimePoint now);

  /// Workers that get no new work, because their host is next.
  [[nodiscard]] const std::set<jobs::WorkerLife>& clearing() const noexcept {
    return clearing_;
  }

 private:
  struct Ordered {
    TimePoint at;
    bool open = false;   ///< the call has not been answered
    bool begun = false;  ///< the platform has taken the order
  };

  void DecideWave(const jobs::JobLedger& ledger,
                  const jobs::Wave& wave,
                  TimePoint now,
                  WaveSteps* steps);
  [[nodiscard]] bool IsDown(const HostName& host, TimePoint now) const;

  Millis down_;
  HostBook& hosts_;
  std::map<HostName, Ordered> ordered_;
  std::map<HostName, TimePoint> refused_until_;
  std::set<jobs::WorkerLife> clearing_;
  std::set<HostName> drained_;  ///< hosts whose last worker said it drains
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_WAVE_KEEPER_H_
