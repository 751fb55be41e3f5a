#ifndef BORAGEWINCH_POLICY_PENDING_JOB_H_
#define BORAGEWINCH_POLICY_PENDING_JOB_H_

#include "base/strong_id.h"
#include "base/time.h"
#include "model/job.h"
#include "model/resources.h"

namespace boragewinch {

/// \brief A request that waits for its start, as decisions see it.
struct PendingJob {
  RequestId id;
  TeamName team;
  CustomerName customer;  ///< may be empty
  PoolName pool;
  Urgency urgency = Urgency::kNormal;
  Resources demand;  ///< estimated, not declared
  TimePoint enqueued;
  QueueName queue;  ///< tasks of one queue are spread over racks and zones
  /// Where its last start failed; empty if none did. A worker that fails
  /// everything is often the only one with a free slot, so the job waits for
  /// another one if there is any that could hold it.
  HostName avoid;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_PENDING_JOB_H_
