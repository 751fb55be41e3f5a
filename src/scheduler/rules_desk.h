#ifndef BORAGEWINCH_SCHEDULER_RULES_DESK_H_
#define BORAGEWINCH_SCHEDULER_RULES_DESK_H_

#include <functional>
#include <string>

#include "scheduler/ledger_replica.h"

namespace boragewinch::scheduler {

/// \brief What operators do with the configuration and with waves.
class RulesDesk {
 public:
  using Done = std::function<void(Status)>;

  explicit RulesDesk(LedgerReplica& replica) : replica_(replica) {}

  /// \brief Stores a configuration. A version that is not higher than the
  /// stored one is acknowledged and changes nothing.
  /// \returns through `done`: the fault of the configuration, kNotLeader if it
  /// was not stored, kUnavailable if that is unknown.
  void Put(const Result<jobs::FleetRules>& rules,
           TimePoint now,
           const Done& done);
  /// \returns the newest configuration as it was sent, kNotFound before the
  /// first, kNotLeader if this host cannot be sure which is the newest.
  [[nodiscard]] Result<std::string> Read(TimePoint now) const;

  void StartWave(const Result<jobs::WaveOrder>& order,
                 TimePoint now,
                 const Done& done);
  /// \returns whether all hosts of the wave have begun their maintenance;
  /// kNotFound, kNotLeader.
  [[nodiscard]] Result<bool> WaveComplete(std::int64_t number,
                                          TimePoint now) const;

 private:
  LedgerReplica& replica_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_RULES_DESK_H_
