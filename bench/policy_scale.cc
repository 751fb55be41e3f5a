#include "bench/policy_scale.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <random>
#include <string>
#include <vector>

#include "policy/buffer_planner.h"
#include "policy/job_queue.h"
#include "policy/placement.h"
#include "policy/sheet_transition.h"
#include "policy/wave_planner.h"

namespace boragewinch::bench {

namespace {

constexpr std::size_t kPools = 306;
constexpr std::size_t kTeams = 47;
constexpr std::size_t kCustomers = 6;
constexpr std::int64_t kSlots = 8;
constexpr std::size_t kWaitingPerWorker = 5;
constexpr int kDecisions = 20'000;
constexpr std::int64_t kWall = 1'700'000'000;

using Clock = std::chrono::steady_clock;

[[nodiscard]] double Micros(Clock::duration time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

[[nodiscard]] double ResidentMegabytes() {
  std::ifstream statm("/proc/self/statm");
  double pages = 0;
  statm >> pages >> pages;
  return pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

[[nodiscard]] double Quantile(std::vector<double> values, double part) {
  const auto index =
      static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

struct ScaleFigures {
  std::size_t workers = 0;
  double next_median = 0;
  double next_99 = 0;
  double choose_median = 0;
  double choose_99 = 0;
  double memory_mb = 0;
  double wave_ms = 0;
  double buffer_ms = 0;
  double sheet_ms = 0;
};

class ScaleBenchmark {
 public:
  explicit ScaleBenchmark(std::size_t workers)
      : workers_(workers),
        queue_(std::move(JobQueue::Make()).value()),
        placement_(std::move(Placement::Make()).value()) {}

  [[nodiscard]] ScaleFigures Measure() {
    queue_.SetChecks(
        [this](const PoolName& pool) { return placement_.FreeSlots(pool) > 0; },
        nullptr);
    ScaleFigures figures;
    figures.workers = workers_;
    const double before = ResidentMegabytes();
    Fill();
    figures.memory_mb = ResidentMegabytes() - before;
    MeasureDecisions(figures);
    MeasurePlans(figures);
    return figures;
  }

 private:
  struct Task {
    PendingJob job;
    HostName host;
  };

  [[nodiscard]] PendingJob MakeJob() {
    PendingJob job;
    const std::size_t pool = random_() % std::min(kPools, workers_);
    // Each pool serves three teams, so a team uses about 20 pools.
    const std::size_t team = (pool + 53 * (random_() % 3)) % kTeams;
    job.id = RequestId("z0.e0.0123456789abcdef." + std::to_string(++next_id_));
    job.team = TeamName("team" + std::to_string(team));
    job.customer = CustomerName("c" + std::to_string(random_() % kCustomers));
    job.pool = PoolName("pool" + std::to_string(pool));
    job.queue = QueueName(job.pool.str() + "-" + job.team.str());
    job.urgency = random_() % 32 == 0 ? Urgency::kUrgent : Urgency::kNormal;
    job.demand = {500 + static_cast<std::int64_t>(random_() % 1'500),
                  512 + static_cast<std::int64_t>(random_() % 3'000), 0};
    job.enqueued = now_;
    return job;
  }

  void Fill() {
    queue_.SetCapacity({static_cast<double>(workers_) * kSlots,
                        static_cast<double>(workers_) * 16'000,
                        static_cast<double>(workers_) * 32'768, 0});
    for (std::size_t i = 0; i < workers_; ++i) {
      const std::string zone = "z" + std::to_string(i % 4);
      const std::string rack = zone + "r" + std::to_string(i / 16);
      const HostName host("host" + std::to_string(i));
      const PoolName pool("pool" + std::to_string(i % kPools));
      placement_.UpdateWorker({host,
                               pool,
                               ZoneName(zone),
                               RackName(rack),
                               kSlots,
                               {16'000, 32'768, 0},
                               {16'000, 32'768, 0},
                               1,
                               true},
                              now_);
      Pool& entry = fleet_.pools[pool];
      entry.name = pool;
      entry.min_available =
          static_cast<std::int64_t>(workers_ / kPools) * 3 / 4;
      fleet_.hosts[host] = {
          host,
          pool,
          ZoneName(zone),
          RackName(rack),
          HostState::kActive,
          1,
          kWall - static_cast<std::int64_t>(random_() % (35 * 86'400))};
    }
    fleet_.pools.begin()->second.spare = true;
    for (std::size_t i = 0; i < kTeams; ++i) {
      const TeamName team("team" + std::to_string(i));
      fleet_.teams[team] = {team, 1 + static_cast<std::int64_t>(i % 5), 5'000};
    }
    for (std::size_t i = 0; i < workers_ * (kWaitingPerWorker + kSlots); ++i)
      (void)queue_.Push(MakeJob(), now_);
    while (Start()) {
    }
  }

  bool Start() {
    HostName host;
    std::optional<PendingJob> job =
        queue_.Next(now_, [&](const PendingJob& candidate) {
          if (placement_.FreeSlots(candidate.pool) <= 0)
            return false;
          const auto chosen = placement_.Choose(candidate, now_);
          if (chosen)
            host = *chosen;
          return chosen.has_value();
        });
    if (!job)
      return false;
    placement_.OnPlaced(*job, host);
    queue_.OnStarted(*job, now_);
    running_.push_back({std::move(*job), host});
    return true;
  }

  void MeasureDecisions(ScaleFigures& figures) {
    std::vector<double> next;
    std::vector<double> choose;
    for (int i = 0; i < kDecisions; ++i) {
      // With exponential run times each task is equally likely to end next.
      now_ += Millis(i % 4 == 0 ? 1 : 0);
      const std::size_t index = random_() % running_.size();
      const Task task = running_[index];
      running_[index] = std::move(running_.back());
      running_.pop_back();
      placement_.OnEnded(task.job.queue, task.job.demand, task.host);
      PendingJob arrival = MakeJob();
      arrival.pool =
          task.job.pool;  // keeps the queue depth of each pool constant
      const auto begin = Clock::now();
      queue_.OnEnded(task.job, now_);
      (void)queue_.Push(std::move(arrival), now_);
      (void)Start();
      next.push_back(Micros(Clock::now() - begin));
      while (Start()) {
      }
      const PendingJob probe = MakeJob();
      const auto probe_begin = Clock::now();
      (void)placement_.Choose(probe, now_);
      choose.push_back(Micros(Clock::now() - probe_begin));
    }
    figures.next_median = Quantile(next, 0.5);
    figures.next_99 = Quantile(next, 0.99);
    figures.choose_median = Quantile(choose, 0.5);
    figures.choose_99 = Quantile(choose, 0.99);
  }

  void MeasurePlans(ScaleFigures& figures) {
    auto begin = Clock::now();
    (void)PlanWave(fleet_, {}, kWall, {});
    figures.wave_ms = Micros(Clock::now() - begin) / 1'000;
    begin = Clock::now();
    (void)PlanBuffers(fleet_, {}, {});
    figures.buffer_ms = Micros(Clock::now() - begin) / 1'000;
    FleetView after = fleet_;
    for (auto& [name, host] : after.hosts) {
      if (random_() % 50 == 0)
        host.pool = PoolName("pool" + std::to_string(random_() % kPools));
    }
    begin = Clock::now();
    (void)PlanSheet({fleet_, after, {}, {}, 1, Millis(1'000)});
    figures.sheet_ms = Micros(Clock::now() - begin) / 1'000;
  }

  std::size_t workers_;
  std::mt19937_64 random_{1};
  TimePoint now_ = FromMillis(1'000'000);
  std::uint64_t next_id_ = 0;
  JobQueue queue_;
  Placement placement_;
  FleetView fleet_;
  std::vector<Task> running_;
};

}  // namespace

void RunScale(std::ostream& out) {
  out << "| workers | next median us | next 99th us | choose median us | "
         "choose 99th us | memory MB | wave plan ms | buffer plan ms | "
         "sheet plan ms |\n|---|---|---|---|---|---|---|---|---|\n"
      << std::fixed << std::setprecision(1);
  std::vector<ScaleFigures> all;
  for (const std::size_t workers : {500U, 2'000U, 7'100U}) {
    const ScaleFigures figures = ScaleBenchmark(workers).Measure();
    all.push_back(figures);
    out << "| " << figures.workers << " | " << figures.next_median << " | "
        << figures.next_99 << " | " << figures.choose_median << " | "
        << figures.choose_99 << " | " << figures.memory_mb << " | "
        << figures.wave_ms << " | " << figures.buffer_ms << " | "
        << figures.sheet_ms << " |\n";
  }
  // A slope of 0 means constant time, 1 linear growth with the fleet.
  const double slope =
      std::log(all.back().next_median / all.front().next_median) /
      std::log(static_cast<double>(all.back().workers) /
               static_cast<double>(all.front().workers));
  out << "\nSlope of the median of next over workers (log-log): "
      << std::setprecision(2) << slope << "\n";
}

}  // namespace boragewinch::bench
