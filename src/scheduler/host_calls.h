#ifndef BORAGEWINCH_SCHEDULER_HOST_CALLS_H_
#define BORAGEWINCH_SCHEDULER_HOST_CALLS_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "base/enum_table.h"
#include "base/result.h"
#include "base/strong_id.h"
#include "jobs/job_types.h"

namespace boragewinch::scheduler {

enum class HostState { kUp, kMoving, kMaintenance, kDown };

inline constexpr EnumTable<HostState, 4> kHostStates{{{
    {HostState::kUp, "up"},
    {HostState::kMoving, "moving"},
    {HostState::kMaintenance, "maintenance"},
    {HostState::kDown, "down"},
}}};

/// \brief A worker host as the platform lists it.
struct HostRow {
  HostName host;
  PoolName pool;
  HostState state = HostState::kUp;
  jobs::WorkerId worker;  ///< current worker, empty if there is none
  ZoneName zone{};        ///< empty if unknown
};

enum class HostVerdict {
  kDone,       ///< the order is carried out, now or earlier
  kFenced,     ///< a higher fencing token has been used for this host
  kBusy,       ///< the host is not up
  kNotOfWave,  ///< the host does not belong to the wave
  kInvalid,    ///< no such host or pool
  kTooMany,    ///< the platform's rate limit is exceeded
};

inline constexpr EnumTable<HostVerdict, 6> kHostVerdicts{{{
    {HostVerdict::kDone, "done"},
    {HostVerdict::kFenced, "fenced"},
    {HostVerdict::kBusy, "busy"},
    {HostVerdict::kNotOfWave, "not_of_wave"},
    {HostVerdict::kInvalid, "invalid"},
    {HostVerdict::kTooMany, "too_many"},
}}};

/// \brief The platform's host API. An order without a response may have been
/// carried out; all orders are idempotent.
struct HostCalls {
  template <typename T>
  using Done = std::function<void(Result<T>)>;

  std::function<void(Done<std::vector<HostRow>>)> list;
  std::function<void(const HostName& host,
                     std::int64_t wave,
                     std::uint64_t token,
                     Done<HostVerdict>)>
      maintain;
  std::function<void(const HostName& host,
                     const PoolName& to,
                     std::uint64_t token,
                     Done<HostVerdict>)>
      move;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_HOST_CALLS_H_
