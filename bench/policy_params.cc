#include "bench/policy_run.h"

namespace boragewinch::bench {

namespace {

[[nodiscard]] PolicyParams Ours() {
  PolicyParams params;
  params.wave.host_seconds = 65;
  return params;
}

// The parameters of the previous version: no estimate of drain times.
[[nodiscard]] PolicyParams Previous() {
  PolicyParams params = Ours();
  params.expect_drains = false;
  return params;
}

[[nodiscard]] PolicyParams Baseline(Admission admission) {
  PolicyParams params = Ours();
  params.admission = admission;
  params.learn_sizes = false;
  params.watch_health = false;
  params.shared_spares = false;
  params.lend_to_waves = false;
  params.expect_drains = false;
  params.spares = kServicePools * 3;
  params.urgent.preempt = false;
  params.wave.rack_by_rack = false;
  return params;
}

}  // namespace

PolicyParams ParamsOf(PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kFcfs:
      return Baseline(Admission::kFcfs);
    case PolicyKind::kStaticShares:
      return Baseline(Admission::kStaticShares);
    case PolicyKind::kPrevious:
      return Previous();
    case PolicyKind::kOurs:
      return Ours();
  }
  return Ours();
}

}  // namespace boragewinch::bench
