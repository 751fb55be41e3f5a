#ifndef BORAGEWINCH_MODEL_FLEET_VIEW_H_
#define BORAGEWINCH_MODEL_FLEET_VIEW_H_

#include <map>

#include "model/fleet_types.h"

namespace boragewinch {

/// \brief The part of the fleet state that entry hosts and the planners read.
struct FleetView {
  FleetVersion version = 0;  ///< 0 before the first sheet
  std::map<PoolName, Pool> pools;
  std::map<TeamName, Team> teams;
  std::map<QueueName, Queue> queues;
  std::map<HostName, Host> hosts;
  std::map<KeyId, Key> keys;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_MODEL_FLEET_VIEW_H_
