#ifndef BORAGEWINCH_SCHEDULER_ADMIN_API_H_
#define BORAGEWINCH_SCHEDULER_ADMIN_API_H_

#include <functional>
#include <map>
#include <string>

#include "scheduler/ledger_replica.h"

namespace boragewinch::scheduler {

/// \brief The operators' API for the configuration, maintenance waves and the
/// evacuation of availability zones.
class AdminApi {
 public:
  using Done = std::function<void(Status)>;

  explicit AdminApi(LedgerReplica& replica) : replica_(replica) {}

  /// \brief Stores a configuration. A version that is not newer than the stored
  /// one is acknowledged without effect.
  /// \returns through `done`: the error of an invalid configuration, kNotLeader
  /// if it was not stored, kUnavailable if the outcome is unknown.
  void Put(const Result<jobs::FleetConfig>& config,
           TimePoint now,
           const Done& done);
  /// \returns the current configuration as uploaded, kNotFound before the first
  /// one, kNotLeader if this host is not a leader with a valid lease.
  [[nodiscard]] Result<std::string> Read(TimePoint now) const;

  /// \brief Stores a maintenance wave. One whose number is already stored is
  /// acknowledged without effect.
  void StartWave(const Result<jobs::WaveOrder>& order,
                 TimePoint now,
                 const Done& done);
  /// \returns whether the maintenance of all hosts of the wave has begun, or
  /// kNotFound or kNotLeader.
  [[nodiscard]] Result<bool> WaveComplete(std::int64_t number,
                                          TimePoint now) const;

  /// \brief Stores that a zone is evacuated, or that it is returned to use.
  ///
  /// Each order is stored again, also one that changes nothing: an opposite
  /// order may be about to be stored, and the last one has to count.
  /// \returns through `done`: the error of an invalid name, kTableFull if too
  /// many zones are evacuated, kNotLeader if it was not stored, kUnavailable if
  /// the outcome is unknown.
  void SetEvacuated(const Result<ZoneName>& zone,
                    bool evacuated,
                    TimePoint now,
                    const Done& done);
  /// \returns the evacuated zones with the time of each evacuation, or
  /// kNotLeader.
  [[nodiscard]] Result<std::map<ZoneName, jobs::UnixMillis>> EvacuatedZones(
      TimePoint now) const;

 private:
  LedgerReplica& replica_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_ADMIN_API_H_
