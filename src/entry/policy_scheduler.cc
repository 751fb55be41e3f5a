#include "entry/policy_scheduler.h"

namespace boragewinch {

SchedulerHooks MakePolicyScheduler() {
  return MakeSimpleScheduler();
}

}  // namespace boragewinch
