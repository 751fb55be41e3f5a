#ifndef BORAGEWINCH_MODEL_FLEET_TYPES_H_
#define BORAGEWINCH_MODEL_FLEET_TYPES_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/enum_table.h"
#include "base/strong_id.h"

namespace boragewinch {

/// Version of the fleet state; grows by one with each operator-visible change.
using FleetVersion = std::uint64_t;

/// \brief A set of hosts with an availability budget.
struct Pool {
  PoolName name;
  std::int64_t min_available = 0;      ///< workers that must stay in service
  bool spare = false;                  ///< shared buffer for the other pools
  std::int64_t maintenance_days = 35;  ///< maintenance period of each host
  /// Start of the last roll-out, Unix seconds; 0 is none. Hosts last maintained
  /// before it are due. Applying a sheet doesn't change it.
  std::int64_t wave_since = 0;
  FleetVersion version = 0;  ///< last change
};

/// \brief A group of people who submit work.
struct Team {
  TeamName name;
  std::int64_t share = 1;  ///< weight when the fleet is full
  std::int64_t limit = 0;  ///< concurrent tasks in the whole fleet
  FleetVersion version = 0;
};

/// \brief Named entry point for jobs of a team into a pool.
struct Queue {
  QueueName name;
  PoolName pool;
  TeamName team;      ///< whose share and limit apply to the jobs
  bool open = false;  ///< accepts jobs without a key
  FleetVersion version = 0;
};

enum class HostState {
  kActive,
  kDraining,
  kDrained,
  kRebooting,
  kReturning,
  kLost,
};

inline constexpr EnumTable<HostState, 6> kHostStates{{{
    {HostState::kActive, "active"},
    {HostState::kDraining, "draining"},
    {HostState::kDrained, "drained"},
    {HostState::kRebooting, "rebooting"},
    {HostState::kReturning, "returning"},
    {HostState::kLost, "lost"},
}}};

/// \brief A worker host. It belongs to exactly one pool.
struct Host {
  HostName name;
  PoolName pool;
  ZoneName zone;
  RackName rack;
  HostState state = HostState::kActive;
  FleetVersion assignment = 0;     ///< version of the last pool or drain change
  std::int64_t maintained_at = 0;  ///< wall clock, Unix seconds; 0 is never
  FleetVersion version = 0;
  /// Pool that the host belongs to while the control service lends it to
  /// `pool`; empty if it is not lent.
  PoolName lent_from;
  std::int64_t lent_at = 0;  ///< Unix seconds; valid while lent

  /// \returns the pool that an operator or a sheet has assigned the host to.
  [[nodiscard]] const PoolName& home() const noexcept {
    return lent_from.empty() ? pool : lent_from;
  }
};

/// \brief API key of a team. Only the hash of its secret is stored.
struct Key {
  KeyId id;
  TeamName team;
  std::string secret_hash;
  bool withdrawn = false;
  FleetVersion version = 0;
};

/// \brief An entry host process, as registered in the fleet state.
struct EntryHost {
  EntryName name;
  ZoneName zone;
  Incarnation incarnation;
  std::string address;       ///< "IP:port" towards callers and workers
  std::string peer_address;  ///< "IP:port" towards other processes
  std::map<TeamName, std::int64_t> allotment;  ///< tasks it may run, by team
  std::uint64_t allotment_version = 0;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_MODEL_FLEET_TYPES_H_
