#ifndef BORAGEWINCH_POLICY_WORKER_VIEW_H_
#define BORAGEWINCH_POLICY_WORKER_VIEW_H_

#include <cstdint>

#include "base/strong_id.h"
#include "model/fleet_types.h"
#include "model/resources.h"

namespace boragewinch {

/// \brief State of a worker that placement decides on.
struct WorkerView {
  HostName host;
  PoolName pool;
  ZoneName zone;
  RackName rack;
  std::int64_t free_slots = 0;
  Resources free;   ///< may be negative where estimates were too low
  Resources total;  ///< capacity when idle
  FleetVersion assignment = 0;
  bool accepting = true;  ///< not draining, leaving, lost or quarantined
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_WORKER_VIEW_H_
