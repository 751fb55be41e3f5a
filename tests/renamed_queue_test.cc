#define BOOST_TEST_MODULE renamed_queue
#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

#include "ledger_builder.h"
#include "scheduler/task_planner.h"

namespace boragewinch::scheduler {
namespace {

using jobs::Batch;
using jobs::JobId;
using jobs::JobLedger;
using jobs::LedgerBuilder;
using jobs::QueueConfig;

[[nodiscard]] QueueConfig Queue(const std::string& name,
                                const std::string& prefix,
                                const std::string& pool = "p") {
  QueueConfig queue;
  queue.name = QueueName(name);
  queue.virtual_host = "example";
  queue.path_prefix = prefix;
  queue.pool = PoolName(pool);
  queue.max_attempts = 2;
  queue.stretch = 1.6;
  queue.latency_target = Millis(600);
  return queue;
}

/// One job "j" of one task in queue "q" with the prefix "/q/".
struct OpenJob {
  OpenJob() {
    builder.AddWorker("w");
    builder.Submit("j", {LedgerBuilder::Tasks(1)});
  }
  void Configure(std::vector<QueueConfig> queues) {
    Batch batch;
    batch.config = builder.ledger().config();
    ++batch.config->version;
    batch.config->queues = std::move(queues);
    batch.config->pools[PoolName("p2")] = {PoolName("p2"), true, false};
    builder.Apply(batch);
  }
  void Submit(const std::string& id, const std::string& queue) {
    Batch batch;
    jobs::JobSpec spec;
    spec.steps = {LedgerBuilder::Tasks(1)};
    batch.submissions.push_back(
        {JobId(id), QueueName(queue), CustomerName("c"), spec});
    builder.Apply(batch);
  }
  /// \returns the number of tasks that the planner starts.
  [[nodiscard]] static std::size_t Starts(const JobLedger& ledger) {
    PlannerHooks hooks;
    hooks.start_limit = [](const auto&) { return std::size_t{100}; };
    hooks.accepts_soon = [](const auto&) { return true; };
    hooks.is_quarantined = [](const auto&) { return false; };
    hooks.is_advised = [](const auto&, const auto&) { return true; };
    hooks.has_failed_on = [](const auto&, const auto&) { return false; };
    TaskPlanner planner{TaskPlannerOptions{}};
    return planner.Plan(ledger, hooks, 2'000).size();
  }
  [[nodiscard]] std::size_t Starts() const { return Starts(builder.ledger()); }
  [[nodiscard]] std::string QueueOf(const std::string& id) const {
    const QueueConfig* queue = builder.ledger().QueueOf(builder.job(id));
    return queue == nullptr ? "" : queue->name.str();
  }

  LedgerBuilder builder;
};

// Guards against an accepted job of which nothing starts any more because a
// configuration gives its queue another name.
BOOST_FIXTURE_TEST_CASE(JobFollowsItsPrefixToTheNewName, OpenJob) {
  Configure({Queue("q2", "/q/")});
  BOOST_TEST(QueueOf("j") == "q2");
  BOOST_TEST(Starts() == 1U);
  BOOST_TEST(builder.ledger().QueuedOf(QueueName("q2")) == 1);
  BOOST_TEST(builder.ledger().QueuedOf(QueueName("q")) == 0);
  BOOST_TEST(builder.ledger().LoadOf(QueueName("q2")).open_tasks == 1);
  BOOST_TEST(builder.ledger().LoadOf(QueueName("q")).open_tasks == 0);
  builder.Cancel("j");
  BOOST_TEST(builder.ledger().LoadOf(QueueName("q2")).open_tasks == 0);
}

// Guards against a job that passes to another queue's pool because two queues
// exchange their names.
BOOST_FIXTURE_TEST_CASE(ExchangedNamesKeepEachJobOnItsPrefix, OpenJob) {
  Configure({Queue("q", "/q/"), Queue("other", "/other/", "p2")});
  Submit("k", "other");
  Configure({Queue("other", "/q/"), Queue("q", "/other/", "p2")});
  BOOST_TEST(QueueOf("j") == "other");
  BOOST_TEST(QueueOf("k") == "q");
  BOOST_TEST(
      (builder.ledger().QueueOf(builder.job("j"))->pool == PoolName("p")));
  BOOST_TEST(
      (builder.ledger().QueueOf(builder.job("k"))->pool == PoolName("p2")));
  BOOST_TEST(builder.ledger().QueuedOf(QueueName("q")) == 1);
  BOOST_TEST(builder.ledger().QueuedOf(QueueName("other")) == 1);
}

// Guards against an accepted job that stays queued for good because its queue
// was removed.
BOOST_FIXTURE_TEST_CASE(JobOfARemovedQueueStillStarts, OpenJob) {
  Configure({Queue("other", "/other/", "p2")});
  BOOST_TEST(QueueOf("j") == "q");
  BOOST_TEST(Starts() == 1U);
  const auto restored = JobLedger::Restore(builder.ledger().Snapshot());
  BOOST_REQUIRE(restored);
  BOOST_TEST(Starts(restored.value()) == 1U);
  // Its prefix returns under another name.
  Configure({Queue("q3", "/q/"), Queue("other", "/other/", "p2")});
  BOOST_TEST(QueueOf("j") == "q3");
  BOOST_TEST(builder.ledger().retired_queues().empty());
}

// Guards against a job that starts on the pool of another queue, which has
// taken over the name of its own.
BOOST_FIXTURE_TEST_CASE(NameThatPassesToAnotherQueueTakesNoJobAlong, OpenJob) {
  Configure({Queue("q", "/q/"), Queue("other", "/other/", "p2")});
  Configure({Queue("q", "/other/", "p2")});
  const QueueConfig* queue = builder.ledger().QueueOf(builder.job("j"));
  BOOST_REQUIRE(queue != nullptr);
  BOOST_TEST((queue->pool == PoolName("p")));
  BOOST_TEST(queue->path_prefix == "/q/");
  BOOST_TEST(Starts() == 1U);
}

// A queue keeps its jobs when only its prefix changes.
BOOST_FIXTURE_TEST_CASE(JobStaysWithAQueueThatChangesItsPrefix, OpenJob) {
  Configure({Queue("q", "/new/")});
  BOOST_TEST(QueueOf("j") == "q");
  BOOST_TEST(Starts() == 1U);
  BOOST_TEST(builder.ledger().retired_queues().empty());
}

// Guards against a table that grows with each removed queue.
BOOST_FIXTURE_TEST_CASE(RemovedQueuesWithoutJobsAreForgotten, OpenJob) {
  builder.Cancel("j");
  Configure({Queue("other", "/other/", "p2")});
  BOOST_TEST(builder.ledger().retired_queues().empty());
  Submit("k", "other");
  Configure({});
  BOOST_TEST(builder.ledger().retired_queues().size() == 1U);
  builder.Cancel("k");
  Configure({Queue("q", "/q/")});
  BOOST_TEST(builder.ledger().retired_queues().empty());
}

}  // namespace
}  // namespace boragewinch::scheduler
