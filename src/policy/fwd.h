#ifndef BORAGEWINCH_POLICY_FWD_H_
#define BORAGEWINCH_POLICY_FWD_H_

namespace boragewinch {

class Estimator;
class JobQueue;
class Placement;
class WorkerHealth;
struct BufferPlan;
struct PendingJob;
struct SheetPlan;
struct WavePlan;
struct WorkerView;

}  // namespace boragewinch

#endif  // BORAGEWINCH_POLICY_FWD_H_
