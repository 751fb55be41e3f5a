#ifndef BORAGEWINCH_BENCH_POLICY_TRACE_H_
#define BORAGEWINCH_BENCH_POLICY_TRACE_H_

#include <cstdint>
#include <vector>

#include "base/enum_table.h"
#include "base/time.h"
#include "model/fleet_view.h"
#include "model/job.h"

namespace boragewinch::bench {

enum class User { kZapisnik, kDirectorate };

inline constexpr EnumTable<User, 2> kUsers{{{
    {User::kZapisnik, "zapisnik"},
    {User::kDirectorate, "directorate"},
}}};

/// \brief Kinds of traces. The last two are held out from parameter tuning.
enum class TraceKind { kUsual, kRackLoss, kCancelStorm };

inline constexpr EnumTable<TraceKind, 3> kTraceKinds{{{
    {TraceKind::kUsual, "usual"},
    {TraceKind::kRackLoss, "rack_loss"},
    {TraceKind::kCancelStorm, "cancel_storm"},
}}};

/// \returns the kind of trace of `seed`: 9 and 10 of each ten are held out.
[[nodiscard]] TraceKind KindOf(std::uint64_t seed) noexcept;

inline constexpr std::size_t kServicePools = 5;
inline constexpr std::size_t kHostsPerPool = 9;
inline constexpr std::size_t kServiceHosts = kServicePools * kHostsPerPool;
inline constexpr std::int64_t kMinAvailable = 7;
inline constexpr Millis kTraceLength{15L * 60'000};
inline constexpr Millis kRollOutStart{60'000};
inline constexpr Millis kRebootTime{60'000};

struct TraceJob {
  TimePoint arrival;
  std::size_t pool = 0;
  std::size_t team = 0;
  std::size_t customer = 0;
  Urgency urgency = Urgency::kNormal;
  bool repeatable = false;
  Resources declared;
  Resources used;
  Millis declared_run_time{0};
  Millis run_time{0};
};

enum class IncidentKind { kLoss, kBadWorker, kCancel };

struct Incident {
  TimePoint at;
  IncidentKind kind = IncidentKind::kLoss;
  std::size_t host = 0;  ///< kLoss, kBadWorker: index of a service host
  Millis length{0};      ///< kLoss, kBadWorker
  double fraction = 0;   ///< kCancel: fraction of the waiting jobs
};

struct Trace {
  User user;
  std::uint64_t seed;
  std::vector<TeamName> teams;
  std::vector<std::int64_t> shares;
  std::vector<std::int64_t> limits;
  Resources worker;  ///< capacity of an idle worker
  std::vector<TraceJob> jobs;
  std::vector<Incident> incidents;
};

[[nodiscard]] Trace MakeTrace(User user, std::uint64_t seed);

[[nodiscard]] PoolName PoolAt(std::size_t index);
/// Spreads the hosts of a rack of four over different pools.
[[nodiscard]] constexpr std::size_t PoolOfHost(std::size_t host) noexcept {
  return host / 3 % kServicePools;
}
[[nodiscard]] ZoneName ZoneAt(std::size_t host);
[[nodiscard]] RackName RackAt(std::size_t host);

}  // namespace boragewinch::bench

#endif  // BORAGEWINCH_BENCH_POLICY_TRACE_H_
