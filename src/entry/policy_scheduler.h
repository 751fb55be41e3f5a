#ifndef BORAGEWINCH_ENTRY_POLICY_SCHEDULER_H_
#define BORAGEWINCH_ENTRY_POLICY_SCHEDULER_H_

#include "entry/scheduler_hooks.h"

namespace boragewinch {

/// \returns the hooks of an entry host, backed by the policy module.
[[nodiscard]] SchedulerHooks MakePolicyScheduler();

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_POLICY_SCHEDULER_H_
