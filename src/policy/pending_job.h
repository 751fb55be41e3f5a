#ifndef BORAGEWINCH_POLICY_PENDING_JOB_H_
#define BORAGEWINCH_POLICY_PENDING_JOB_H_

#include "base/strong_id.h"
#include "base/time.h"
#include "model/job.h"
#include "model/resources.h"

namespace boragewinch {

/// \brief A request that waits to be started, as scheduling decisions use it.
struct PendingJob {
  RequestId id;
  TeamName team;
  CustomerName customer;  ///< may be empty
  PoolName pool;
  Urgency urgency = Urgency::kNormal;
  Resources demand;  ///< estimated, not declared
  TimePoint enqueued;
  QueueName queue;  ///< tasks of one queue are spread over racks and zones
  /// Host of its last failed start; empty if none failed. A worker that fails
  /// every start is often the only one with a free slot, so the job waits for
  /// another worker if one could run it.
  HostName avoid;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_PENDING_JOB_H_
