#define BOOST_TEST_MODULE policy_random
#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "policy/job_queue.h"
#include "policy/placement.h"
#include "policy/wave_planner.h"

namespace boragewinch {
namespace {

constexpr std::uint64_t kSeeds = 20;

// Guards against starts above a team's limit or a worker's slots, customers
// that wait longer than the bound, and jobs that are lost in the queue.
BOOST_AUTO_TEST_CASE(RandomAdmissionKeepsLimitsAndBound) {
  std::uint64_t overdue = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      std::mt19937_64 random(seed);
      auto queue = std::move(JobQueue::Make()).value();
      auto placement = std::move(Placement::Make()).value();
      queue.SetCapacity({96, 192'000, 393'216, 0});
      queue.SetShares({{TeamName("t0"), 1}, {TeamName("t1"), 4}});
      TimePoint now = FromMillis(1000);
      for (int i = 0; i < 12; ++i) {
        placement.UpdateWorker({HostName("h" + std::to_string(i)),
                                PoolName("p" + std::to_string(i % 2)),
                                ZoneName("z" + std::to_string(i % 3)),
                                RackName("r" + std::to_string(i / 4)),
                                8,
                                {16'000, 32'768, 0},
                                {16'000, 32'768, 0},
                                1,
                                true},
                               now);
      }
      std::map<TeamName, int> team_running;
      std::map<HostName, int> host_running;
      std::vector<std::pair<PendingJob, HostName>> running;
      std::set<RequestId> waiting;
      constexpr int kLimit = 40;
      int next = 0;
      for (int step = 0; step < 6'000; ++step) {
        now += Millis(random() % 50);
        if (random() % 2 == 0 && waiting.size() < 400) {
          PendingJob job;
          job.id = RequestId("j" + std::to_string(++next));
          job.team = TeamName("t" + std::to_string(random() % 3));
          job.customer = CustomerName("c" + std::to_string(random() % 4));
          job.pool = PoolName("p" + std::to_string(random() % 2));
          job.queue = QueueName(job.pool.str() + job.team.str());
          job.urgency = random() % 5 == 0 ? Urgency::kUrgent : Urgency::kNormal;
          job.demand = {static_cast<std::int64_t>(random() % 9'000),
                        static_cast<std::int64_t>(random() % 16'000), 0};
          job.enqueued = now;
          BOOST_REQUIRE(queue.Push(job, now));
          waiting.insert(job.id);
        }
        if (!running.empty() && random() % 3 == 0) {
          const std::size_t index = random() % running.size();
          std::swap(running[index], running.back());
          const auto [job, host] = running.back();
          running.pop_back();
          --team_running[job.team];
          --host_running[host];
          placement.OnEnded(job.queue, job.demand, host);
          queue.OnEnded(job, now);
        }
        if (!waiting.empty() && random() % 40 == 0) {
          BOOST_REQUIRE(queue.Remove(*waiting.begin()));
          waiting.erase(waiting.begin());
        }
        HostName chosen;
        while (const auto job = queue.Next(now, [&](const PendingJob& item) {
          const auto host = placement.Choose(item, now);
          chosen = host.value_or(HostName());
          return host && team_running[item.team] < kLimit;
        })) {
          BOOST_REQUIRE(waiting.erase(job->id) == 1u);
          placement.OnPlaced(*job, chosen);
          queue.OnStarted(*job, now);
          BOOST_REQUIRE(++team_running[job->team] <= kLimit);
          BOOST_REQUIRE(++host_running[chosen] <= 8);
          BOOST_REQUIRE(placement.Find(chosen)->free.memory_mb >= 0);
          running.emplace_back(*job, chosen);
        }
        BOOST_REQUIRE(queue.size() == waiting.size());
      }
      BOOST_TEST(queue.stats().max_wait_exceeded == 0u);
      overdue += queue.stats().overdue_started;
      // Every startable job is started once the running tasks have ended.
      while (!running.empty() || !waiting.empty()) {
        const std::size_t before = waiting.size() + running.size();
        for (const auto& [job, host] : running) {
          --team_running[job.team];
          placement.OnEnded(job.queue, job.demand, host);
          queue.OnEnded(job, now);
        }
        running.clear();
        now += Millis(1000);
        HostName chosen;
        while (const auto job = queue.Next(now, [&](const PendingJob& item) {
          const auto host = placement.Choose(item, now);
          chosen = host.value_or(HostName());
          return host && team_running[item.team] < kLimit;
        })) {
          waiting.erase(job->id);
          ++team_running[job->team];
          placement.OnPlaced(*job, chosen);
          queue.OnStarted(*job, now);
          running.emplace_back(*job, chosen);
        }
        BOOST_REQUIRE(waiting.size() + running.size() <= before);
        BOOST_REQUIRE((running.size() > 0 || waiting.empty()));
      }
    }
  }
  BOOST_TEST(overdue > 0u);  // starts by the bound have occurred
}

// Guards against plans that violate a budget, differ after a restart or never
// end, under random losses and returns of hosts.
BOOST_AUTO_TEST_CASE(RandomWavesKeepBudgets) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      std::mt19937_64 random(seed);
      FleetView fleet;
      int hosts = 0;
      for (int p = 0; p < 4; ++p) {
        const PoolName pool("p" + std::to_string(p));
        const int size = 4 + static_cast<int>(random() % 10);
        fleet.pools[pool] = {.name = pool, .min_available = size - 1 - p};
        fleet.pools[pool].min_available =
            std::max<std::int64_t>(1, fleet.pools[pool].min_available);
        for (int h = 0; h < size; ++h, ++hosts) {
          const HostName name("h" + std::to_string(hosts));
          fleet.hosts[name] = {name, pool,
                               ZoneName("z" + std::to_string(random() % 3)),
                               RackName("r" + std::to_string(random() % 4))};
          fleet.hosts[name].maintained_at = 1;
        }
      }
      const WaveConfig config{.host_seconds = 5, .rollout_since = 100};
      std::set<HostName> lost;
      std::map<HostName, std::int64_t> ends;
      std::int64_t wall = 1'000;
      for (; wall < 2'000; ++wall) {
        for (auto& [name, host] : fleet.hosts) {
          if (wall < 1'300 && random() % 400 == 0)
            lost.insert(name);
          if (wall >= 1'300 || random() % 30 == 0)
            lost.erase(name);
          if (host.state == HostState::kRebooting && ends[name] <= wall) {
            host.state = HostState::kActive;
            host.maintained_at = wall;
          }
          if (host.state == HostState::kDraining && ends[name] <= wall) {
            host.state = HostState::kRebooting;
            ends[name] = wall + 3;
          }
        }
        const WavePlan plan = PlanWave(fleet, lost, wall, config);
        BOOST_REQUIRE((plan == PlanWave(FleetView(fleet), lost, wall, config)));
        for (const HostName& name : plan.cancel) {
          BOOST_REQUIRE((fleet.hosts[name].state == HostState::kDraining));
          fleet.hosts[name].state = HostState::kActive;
        }
        for (const HostName& name : plan.start) {
          Host& host = fleet.hosts[name];
          BOOST_REQUIRE((host.state == HostState::kActive));
          host.state = HostState::kDraining;
          host.assignment = static_cast<FleetVersion>(wall);
          ends[name] = wall + 2;
          std::int64_t available = 0;
          for (const auto& [other, entry] : fleet.hosts) {
            available += entry.pool == host.pool && !lost.contains(other) &&
                                 entry.state == HostState::kActive
                             ? 1
                             : 0;
          }
          BOOST_REQUIRE(available >= fleet.pools[host.pool].min_available);
        }
        if (plan.due + plan.in_maintenance == 0 && lost.empty())
          break;
      }
      for (const auto& [name, host] : fleet.hosts) {
        const std::int64_t min_available = fleet.pools[host.pool].min_available;
        std::int64_t size = 0;
        for (const auto& [other, entry] : fleet.hosts)
          size += entry.pool == host.pool ? 1 : 0;
        if (size > min_available)
          BOOST_TEST(host.maintained_at > 1);
      }
    }
  }
}

}  // namespace
}  // namespace boragewinch
