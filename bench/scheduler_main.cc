/// \file
/// \brief CPU time of each stage of the scheduler's decisions, for fleets of
/// several sizes under the load of a large site: each group of pools in turn is
/// overloaded for some seconds.

#include <time.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/job_ledger.h"
#include "jobs/ledger_batch.h"
#include "scheduler/advice_cache.h"
#include "scheduler/pool_demand.h"
#include "scheduler/stop_planner.h"
#include "scheduler/task_planner.h"
#include "scheduler/worker_session.h"

namespace boragewinch {
namespace {

using jobs::Batch;
using jobs::JobLedger;
using jobs::RunName;
using jobs::UnixMillis;
using jobs::WorkerIncarnation;

/// Fleet size and load of a simulation.
struct SimulationOptions {
  int workers = 350;
  int pools = 4;
  double tasks_per_second = 1'000;
  int long_running_tasks = 100;
  Millis span{20'000};
};

/// Simulated time between two batches, between two reports of run ends by a
/// worker, and between two run lists of a worker with and without runs.
constexpr Millis kBatchInterval{20};
constexpr Millis kEndsInterval{60};
constexpr Millis kRunListInterval{200};
constexpr Millis kIdleRunListInterval{1'000};
constexpr Millis kMeasureInterval{100};
constexpr Millis kPeakDuration{4'000};
constexpr int kHeartbeatMs = 1'500;

/// CPU time and number of calls of one stage.
struct Stage {
  double micros = 0;
  std::int64_t calls = 0;
};

/// \returns the CPU time of this thread. Wall-clock time would include the load
/// of other programs.
[[nodiscard]] double CpuMicros() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

class Timer {
 public:
  explicit Timer(Stage* stage) : stage_(stage), start_time_(CpuMicros()) {}
  ~Timer() {
    stage_->micros += CpuMicros() - start_time_;
    ++stage_->calls;
  }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

 private:
  Stage* stage_;
  double start_time_;
};

/// Scheduled end of a run at its simulated worker.
struct PlannedEnd {
  UnixMillis at = 0;
  RunName run;
  WorkerIncarnation worker;

  friend bool operator<(const PlannedEnd& a, const PlannedEnd& b) noexcept {
    return a.at > b.at;
  }
};

[[nodiscard]] PoolName PoolOf(int number) {
  return PoolName("pool-" + std::to_string(number));
}

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options) : options_(options) {
    Batch batch = BatchAt(now_);
    batch.config = MakeConfig();
    for (int i = 0; i < options_.workers; ++i)
      batch.workers.push_back(RecordOf(i));
    ledger_.Apply(batch);
    SyncSessions(start_time_ + Millis(now_));
    for (int i = 0; i < options_.long_running_tasks;
         i += kLongRunningTasksPerJob)
      SubmitLongRunning();
    Decide();
  }

  void Run() {
    const UnixMillis end = now_ + options_.span.count();
    while (now_ < end) {
      now_ += kBatchInterval.count();
      SubmitJobs();
      ReportEnds();
      AddHeartbeats();
      Decide();
      if (now_ % kMeasureInterval.count() == 0)
        Measure();
      most_active_ = std::max(most_active_, ledger_.active().size());
    }
  }

  void Print() const {
    std::printf(
        "%d workers, %d pools, %.0f tasks/s, %lld starts, %zu jobs, digest "
        "%016llx\n",
        options_.workers, options_.pools, options_.tasks_per_second,
        static_cast<long long>(starts_), most_active_,
        static_cast<unsigned long long>(digest_));
    double sum = 0;
    const auto batches = static_cast<double>(stages_.at("apply").calls);
    for (const auto& [name, stage] : stages_) {
      sum += stage.micros;
      std::printf("  %-16s %9.1f us per call %9.1f us per decision\n",
                  name.c_str(), stage.micros / static_cast<double>(stage.calls),
                  stage.micros / batches);
    }
    std::printf("  %-16s %33.1f us per decision, %.1f%% of a core\n", "sum",
                sum / batches,
                sum / (static_cast<double>(options_.span.count()) * 10));
  }

 private:
  static constexpr int kLongRunningTasksPerJob = 24;

  [[nodiscard]] static Batch BatchAt(UnixMillis now) {
    Batch batch;
    batch.now = now;
    return batch;
  }

  [[nodiscard]] jobs::FleetConfig MakeConfig() const {
    jobs::FleetConfig config;
    config.version = 1;
    config.document = "{}";
    for (int p = 0; p < options_.pools; ++p) {
      const PoolName pool = PoolOf(p);
      config.pools[pool] = {pool, true, false};
      jobs::QueueConfig queue;
      queue.name = QueueName("queue-" + std::to_string(p));
      queue.virtual_host = "example";
      queue.path_prefix = "/" + queue.name.str() + "/";
      queue.pool = pool;
      queue.max_attempts = 2;
      queue.stretch = 1.6;
      queue.latency_target = Millis(600);
      config.queues.push_back(queue);
    }
    jobs::CustomerConfig customer;
    customer.name = CustomerName("customer");
    customer.keys = {"key"};
    config.customers[customer.name] = customer;
    return config;
  }

  [[nodiscard]] jobs::WorkerRecord RecordOf(int number) const {
    jobs::WorkerRecord record;
    record.incarnation = {jobs::WorkerId("worker-" + std::to_string(number)),
                          1};
    record.address = "10.0." + std::to_string(number / 250) + "." +
                     std::to_string(number % 250) + ":8080";
    record.host = HostName("host-" + std::to_string(number));
    record.pool = PoolOf(number % options_.pools);
    record.rack = RackName("rack-" + std::to_string(number / 8));
    record.capacity = {16'000, 32'768, 0};
    return record;
  }

  [[nodiscard]] jobs::JobId NextId() {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(random_()));
    return jobs::JobId(text);
  }

  void SubmitLongRunning() {
    jobs::StepSpec step;
    step.tasks = kLongRunningTasksPerJob;
    step.request = {2'000, 1'000, 0};
    step.estimate = Millis(900);
    step.long_running = true;
    Submit({step}, static_cast<int>(random_() % options_.pools));
  }

  void Submit(std::vector<jobs::StepSpec> steps, int pool) {
    jobs::JobSpec spec;
    spec.payload = std::string(1'200, 'x');
    spec.steps = std::move(steps);
    pending_.submissions.push_back({NextId(),
                                    QueueName("queue-" + std::to_string(pool)),
                                    CustomerName("customer"), std::move(spec)});
  }

  // One group of pools at a time gets most of the load.
  void SubmitJobs() {
    tasks_due_ += options_.tasks_per_second *
                  static_cast<double>(kBatchInterval.count()) / 1'000;
    while (tasks_due_ > 0) {
      const int peak_group = static_cast<int>(now_ / kPeakDuration.count()) % 4;
      const int group =
          random_() % 5 == 0 ? static_cast<int>(random_() % 4) : peak_group;
      const int pool =
          (static_cast<int>(random_() % options_.pools) / 4 * 4 + group) %
          options_.pools;
      std::vector<jobs::StepSpec> steps;
      const int count = 1 + static_cast<int>(random_() % 2);
      for (int s = 0; s < count; ++s) {
        jobs::StepSpec step;
        step.tasks = 4 + static_cast<std::int64_t>(random_() % 5);
        step.request = {1'000 + static_cast<std::int64_t>(random_() % 2'000),
                        2'000, 0};
        step.estimate = Millis(640 + static_cast<int>(random_() % 660));
        if (s > 0)
          step.depends_on = {static_cast<std::uint32_t>(s - 1)};
        tasks_due_ -= static_cast<double>(step.tasks);
        steps.push_back(step);
      }
      Submit(std::move(steps), pool);
    }
  }

  // Each worker reports its ended runs at intervals; the reports of the fleet
  // are spread evenly over time.
  void ReportEnds() {
    while (!running_.empty() && running_.top().at <= now_) {
      const PlannedEnd& end = running_.top();
      ended_[end.worker].push_back(end.run);
      running_.pop();
    }
    for (auto& [incarnation, runs] : ended_) {
      const auto phase = static_cast<UnixMillis>(
          std::hash<std::string>()(incarnation.id.str()) % 3);
      if (runs.empty() || (now_ / kBatchInterval.count() + phase) %
                                  (kEndsInterval / kBatchInterval) !=
                              0) {
        continue;
      }
      for (RunName& run : runs) {
        pending_.ends.push_back({std::move(run), incarnation,
                                 jobs::RunEnd::kDone, "",
                                 ++last_end_sequence_[incarnation]});
      }
      runs.clear();
    }
  }

  // Only heartbeats with changes are stored: one in 100 is assumed to have one.
  void AddHeartbeats() {
    heartbeats_due_ += static_cast<double>(options_.workers) *
                       static_cast<double>(kBatchInterval.count()) /
                       kHeartbeatMs / 100;
    for (; heartbeats_due_ >= 1; --heartbeats_due_) {
      pending_.workers.push_back(
          RecordOf(static_cast<int>(random_() % options_.workers)));
    }
  }

  void Decide();
  /// \brief Updates the sessions of workers that the last batch changed.
  void SyncSessions(TimePoint now);
  /// \brief Simulates a run list of a worker that shows all its runs as
  /// running.
  void ReceiveRunList(const WorkerIncarnation& incarnation, TimePoint now);
  void Measure();

  SimulationOptions options_;
  JobLedger ledger_;
  UnixMillis now_ = 1'000'000;
  TimePoint start_time_;
  std::mt19937_64 random_{17};
  Batch pending_;
  std::priority_queue<PlannedEnd> running_;
  std::map<WorkerIncarnation, std::vector<RunName>> ended_;
  std::map<WorkerIncarnation, std::int64_t> last_end_sequence_;
  std::map<WorkerIncarnation, scheduler::WorkerSession> sessions_;
  scheduler::AdviceCache advice_{scheduler::AdviceOptions{}};
  std::set<std::pair<TimePoint, WorkerIncarnation>> checks_;
  std::map<std::string, Stage> stages_;
  double tasks_due_ = 0;
  double heartbeats_due_ = 0;
  std::int64_t starts_ = 0;
  std::uint64_t digest_ =
      0;  ///< hash of all starts, to compare decisions of two builds
  std::size_t most_active_ = 0;
};

void Simulation::Decide() {
  const TimePoint now = start_time_ + Millis(now_);
  scheduler::PlannerHooks hooks;
  hooks.start_limit = [&](const WorkerIncarnation& incarnation) -> std::size_t {
    return sessions_.count(incarnation) > 0 || sessions_.empty() ? 1'000 : 0;
  };
  hooks.is_advised = [](const jobs::TaskName&, const WorkerIncarnation&) {
    return true;
  };
  hooks.has_failed_on = [](const jobs::TaskName&, const WorkerIncarnation&) {
    return false;
  };
  {
    const Timer timer(&stages_["plan"]);
    pending_.starts = scheduler::TaskPlanner(scheduler::TaskPlannerOptions{})
                          .Plan(ledger_, hooks, now_);
  }
  pending_.now = now_;
  const Batch batch = std::exchange(pending_, {});
  {
    const Timer timer(&stages_["encode"]);
    if (jobs::EncodeBatch(batch).empty())
      std::abort();
  }
  {
    const Timer timer(&stages_["apply"]);
    ledger_.Apply(batch);
  }
  starts_ += static_cast<std::int64_t>(batch.starts.size());
  for (const jobs::StartRecord& start : batch.starts) {
    digest_ = (digest_ ^ std::hash<std::string>()(start.run.task.Text() +
                                                  start.worker.Text())) *
              0x100000001b3ULL;
    const jobs::Job* job = ledger_.FindJob(start.run.task.job);
    if (!job->spec->steps[start.run.task.step].long_running) {
      running_.push({now_ + 640 + static_cast<UnixMillis>(random_() % 660),
                     start.run, start.worker});
    }
  }
  {
    const Timer timer(&stages_["sync sessions"]);
    SyncSessions(now);
  }
  for (const jobs::StartRecord& start : batch.starts) {
    scheduler::WorkerSession& session = sessions_.at(start.worker);
    session.OnStartSent(start.run, now);
    if (session.OnStartResponse(start.run, scheduler::CallResponse{}, now))
      std::abort();
  }
  std::vector<WorkerIncarnation> run_lists;
  {
    const Timer timer(&stages_["check sessions"]);
    std::vector<WorkerIncarnation> due = ledger_.changed_workers();
    while (!checks_.empty() && checks_.begin()->first <= now) {
      WorkerIncarnation incarnation = checks_.begin()->second;
      checks_.erase(checks_.begin());
      if (sessions_.count(incarnation) == 0)
        continue;
      const bool idle = ledger_.FindWorker(incarnation)->runs.empty();
      checks_.emplace(now + (idle ? kIdleRunListInterval : kRunListInterval),
                      incarnation);
      due.push_back(std::move(incarnation));
    }
    for (const WorkerIncarnation& incarnation : due) {
      const auto found = sessions_.find(incarnation);
      if (found == sessions_.end())
        continue;
      scheduler::WorkerSession& session = found->second;
      if (!session.StopsDue(now).empty() || !session.StartsDue(now).empty() ||
          !session.ExpireLease(*ledger_.FindWorker(incarnation), now).empty()) {
        std::abort();
      }
      if (session.HoldDue(now))
        run_lists.push_back(incarnation);
    }
  }
  {
    const Timer timer(&stages_["lists"]);
    for (const WorkerIncarnation& incarnation : run_lists)
      ReceiveRunList(incarnation, now);
  }
  {
    const Timer timer(&stages_["advice"]);
    if (!advice_
             .Decide(
                 ledger_, [](const WorkerIncarnation&) { return true; }, now)
             .empty()) {
      std::abort();
    }
  }
  {
    const Timer timer(&stages_["stops"]);
    if (!scheduler::PlanStops(
             ledger_, {},
             [](const RunName&, const WorkerIncarnation&) { return 0; },
             [](const RunName&, const WorkerIncarnation&) { return false; })
             .empty()) {
      std::abort();
    }
  }
}

void Simulation::SyncSessions(TimePoint now) {
  for (const WorkerIncarnation& incarnation : ledger_.changed_workers()) {
    const jobs::Worker* worker = ledger_.FindWorker(incarnation);
    if (worker == nullptr) {
      sessions_.erase(incarnation);
      continue;
    }
    const auto [session, added] = sessions_.try_emplace(
        incarnation, scheduler::WorkerSessionOptions{}, now);
    session->second.Sync(*worker, scheduler::RunPhase::kPlanned, now);
    if (added)
      checks_.emplace(now, incarnation);
  }
}

void Simulation::ReceiveRunList(const WorkerIncarnation& incarnation,
                                TimePoint now) {
  scheduler::WorkerSession& session = sessions_.at(incarnation);
  const jobs::Worker* worker = ledger_.FindWorker(incarnation);
  scheduler::HoldResponse run_list;
  run_list.call.clock_ms = now_;
  for (const RunName& run : worker->runs)
    run_list.running.push_back({run, "", 10});
  std::vector<RunName> unexpected_runs;
  session.OnHoldSent(now);
  if (!session.OnHoldResponse(*worker, run_list, now, &unexpected_runs).empty())
    std::abort();
  if (const auto lease = session.LeaseUntil())
    session.OnGrant(*lease);
}

void Simulation::Measure() {
  const Timer timer(&stages_["measure pools"]);
  const auto pools = scheduler::MeasurePools(
      ledger_, scheduler::PoolDemandOptions{},
      [&](const WorkerIncarnation& incarnation) {
        return sessions_.count(incarnation) > 0;
      },
      {}, now_);
  if (pools.empty())
    std::abort();
}

void Run(int workers, int pools, double tasks_per_second, int long_running) {
  SimulationOptions options;
  options.workers = workers;
  options.pools = pools;
  options.tasks_per_second = tasks_per_second;
  options.long_running_tasks = long_running;
  Simulation simulation(options);
  simulation.Run();
  simulation.Print();
}

}  // namespace
}  // namespace boragewinch

int main(int argc, char** argv) {
  using boragewinch::Run;
  const int only = argc > 1 ? std::atoi(argv[1]) : 0;
  // The task rate grows with the fleet; the last two cases keep it constant to
  // show the cost of the fleet size alone.
  if (only == 0 || only == 50)
    Run(50, 4, 143, 24);
  if (only == 0 || only == 350)
    Run(350, 4, 1'000, 96);
  if (only == 0 || only == 1'000)
    Run(1'000, 8, 1'000, 96);
  if (only == 0 || only == 7'100)
    Run(7'100, 306, 1'000, 96);
  return 0;
}
