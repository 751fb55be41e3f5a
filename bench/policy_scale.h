#ifndef BORAGEWINCH_BENCH_POLICY_SCALE_H_
#define BORAGEWINCH_BENCH_POLICY_SCALE_H_

#include <ostream>

namespace boragewinch::bench {

/// \brief Measures decision time and memory at growing fleet sizes.
void RunScale(std::ostream& out);

}  // namespace boragewinch::bench

#endif  // BORAGEWINCH_BENCH_POLICY_SCALE_H_
