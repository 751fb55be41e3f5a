#define BOOST_TEST_MODULE quarantined_worker_start
#include <boost/test/unit_test.hpp>

#include <limits>
#include <optional>
#include <string>

#include "ledger_builder.h"
#include "policy/worker_health.h"
#include "scheduler/task_planner.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;
using jobs::UnixMillis;

constexpr UnixMillis kStep = 50;
/// The users' rule LOST.
constexpr UnixMillis kMaxWait = 3'000;

/// Four workers, one of which has a label that jobs require. Its health is
/// judged as WorkerFleet does.
struct LabelledWorker {
  LabelledWorker() {
    for (const char* id : {"a", "b", "c"})
      builder.AddWorker(id);
    jobs::Batch batch;
    jobs::WorkerRecord record;
    record.incarnation = kLabelled;
    record.address = "labelled:80";
    record.pool = PoolName("p");
    record.labels = {"b"};
    record.capacity = {16'000, 32'000, 0};
    batch.workers.push_back(record);
    batch.config = builder.ledger().config();
    ++batch.config->version;
    batch.config->queues[0].max_attempts = 4;
    builder.Apply(batch);
    health.SetBudget(PoolName("p"), 2);
  }

  static WorkerHealthConfig Config() {
    WorkerHealthConfig config;
    config.half_life = Millis(5'000);
    config.min_failures = 2;
    config.throttled_interval = Millis(1'000);
    config.first_quarantine = Millis(4'000);
    config.max_quarantine = Millis(16'000);
    return config;
  }

  void Submit(const std::string& id) {
    jobs::StepSpec step = LedgerBuilder::Tasks(1);
    step.required_label = "b";
    builder.At(now).Submit(id, {step});
  }

  /// \returns the run that starts now, if any.
  std::optional<jobs::RunName> Start() {
    PlannerHooks hooks;
    hooks.start_limit = [this](const jobs::WorkerIncarnation& incarnation) {
      const HostName name(incarnation.Text());
      if (!health.Allows(name, At()))
        return std::size_t{0};
      return health.State(name, At()) == HealthState::kNormal
                 ? std::numeric_limits<std::size_t>::max()
                 : std::size_t{1};
    };
    hooks.accepts_soon = [this](const jobs::WorkerIncarnation& incarnation) {
      return health.State(HostName(incarnation.Text()), At()) !=
             HealthState::kQuarantined;
    };
    hooks.is_quarantined = [this](const jobs::WorkerIncarnation& incarnation) {
      return health.State(HostName(incarnation.Text()), At()) ==
             HealthState::kQuarantined;
    };
    hooks.is_advised = [](const jobs::TaskName&,
                          const jobs::WorkerIncarnation&) { return true; };
    hooks.has_failed_on = [](const jobs::TaskName& task,
                             const jobs::WorkerIncarnation& incarnation) {
      return task.job.str() == "hopeless" && incarnation == kLabelled;
    };
    jobs::Batch batch;
    batch.starts = planner.Plan(builder.ledger(), hooks, now);
    if (batch.starts.empty())
      return std::nullopt;
    const jobs::RunName run = batch.starts.front().run;
    health.OnStartIssued(HostName(kLabelled.Text()), At());
    builder.At(now).Apply(batch);
    return run;
  }

  void Fail(const jobs::RunName& run) {
    jobs::Batch batch;
    batch.ends.push_back({run, kLabelled, jobs::RunEnd::kFailed, "", 0});
    builder.At(now).Apply(batch);
    health.OnStart(HostName(kLabelled.Text()), PoolName("p"), false, At());
  }

  [[nodiscard]] TimePoint At() const { return FromMillis(now); }

  static inline const jobs::WorkerIncarnation kLabelled{
      jobs::WorkerId("labelled"), 1};
  UnixMillis now = 1'000'000;
  LedgerBuilder builder;
  WorkerHealth health = WorkerHealth::Make(Config()).value();
  TaskPlanner planner{TaskPlannerOptions{}};
};

// Guards against a job whose only suitable worker is idle and sound, but
// quarantined since the tasks of another job failed there by their own fault.
BOOST_FIXTURE_TEST_CASE(AJobStartsWhereItsOnlyWorkerIsQuarantined,
                        LabelledWorker) {
  Submit("hopeless");
  while (builder.job("hopeless").state != jobs::JobState::kFailed) {
    const auto run = Start();
    now += kStep;
    if (run)
      Fail(*run);
  }
  Submit("next");
  const UnixMillis submitted = now;
  while (!Start() && now - submitted <= 2 * kMaxWait)
    now += kStep;
  BOOST_TEST(now - submitted <= kMaxWait);
}

// Guards against tasks that use up their attempts on a quarantined worker while
// another one is only busy.
BOOST_FIXTURE_TEST_CASE(AQuarantinedWorkerIsNotUsedBesideABusyOne,
                        LabelledWorker) {
  Submit("hopeless");
  while (builder.job("hopeless").state != jobs::JobState::kFailed) {
    const auto run = Start();
    now += kStep;
    if (run)
      Fail(*run);
  }
  jobs::Batch batch;
  jobs::WorkerRecord record;
  record.incarnation = {jobs::WorkerId("busy"), 1};
  record.address = "busy:80";
  record.pool = PoolName("p");
  record.labels = {"b"};
  record.capacity = {16'000, 32'000, 0};
  batch.workers.push_back(record);
  builder.Apply(batch);
  builder.Submit("full", {LedgerBuilder::Tasks(1, 16'000)})
      .Start(LedgerBuilder::Run("full", 0, 0), "busy");
  Submit("next");
  for (UnixMillis waited = 0; waited < kMaxWait; waited += kStep) {
    BOOST_TEST(!Start().has_value());
    now += kStep;
  }
}

}  // namespace
}  // namespace boragewinch::scheduler
