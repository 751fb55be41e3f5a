#ifndef BORAGEWINCH_SCHEDULER_LATE_ORDERS_H_
#define BORAGEWINCH_SCHEDULER_LATE_ORDERS_H_

#include "base/time.h"

namespace boragewinch::scheduler {

/// Time after which an order without a response is no longer carried out. The
/// workers and the host API of the users' platform carry out orders up to 12 s
/// late.
inline constexpr Millis kMaxLateOrder{15'000};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_LATE_ORDERS_H_
