// Plans a maintenance wave over a pool of nine hosts that must keep seven.

#include <cstdio>
#include <string>

#include "policy/wave_planner.h"

int main() {
  using namespace boragewinch;
  FleetView fleet;
  Pool pool{.name = PoolName("shop"), .min_available = 7};
  pool.wave_since = 1'000;  // every host maintained before this is due
  fleet.pools[pool.name] = pool;
  for (int i = 1; i <= 9; ++i) {
    Host host{.name = HostName("h" + std::to_string(i)), .pool = pool.name};
    fleet.hosts[host.name] = host;
  }
  const WavePlan plan = PlanWave(fleet, {}, 2'000, WaveConfig());
  for (const HostName& host : plan.start)
    std::printf("drain %s\n", host.str().c_str());
  for (const PoolWave& wave : plan.pools) {
    std::printf("%s: %ld due, waits for: %s\n", wave.pool.str().c_str(),
                static_cast<long>(wave.due),
                std::string(kWaveWaits.Name(wave.wait)).c_str());
  }
  return 0;
}
