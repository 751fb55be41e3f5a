#define BOOST_TEST_MODULE ledger_index
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "jobs/job_ledger.h"
#include "scheduler/stop_planner.h"

namespace boragewinch::jobs {
namespace {

/// Generates random batches that affect every index.
class RandomBatches {
 public:
  explicit RandomBatches(std::uint64_t seed) : rng_(seed) {}

  [[nodiscard]] Batch Configuration() const {
    Batch batch;
    batch.config = FleetConfig();
    batch.config->version = 1;
    batch.config->document = "{}";
    for (const char* name : {"a", "b"}) {
      QueueConfig queue;
      queue.name = QueueName(name);
      queue.virtual_host = "example";
      queue.path_prefix = std::string("/") + name + "/";
      queue.pool = PoolName(name);
      queue.max_attempts = 2;
      batch.config->queues.push_back(queue);
      batch.config->pools[queue.pool] = {queue.pool, true, false};
    }
    return batch;
  }

  [[nodiscard]] Batch Draw(const JobLedger& ledger) {
    Batch batch;
    batch.now = ++now_;
    const std::size_t changes = 1 + Below(4);
    for (std::size_t i = 0; i < changes; ++i)
      Add(ledger, &batch);
    return batch;
  }

 private:
  [[nodiscard]] std::size_t Below(std::size_t bound) { return rng_() % bound; }
  [[nodiscard]] bool FlipCoin() { return Below(2) == 0; }

  void Add(const JobLedger& ledger, Batch* batch) {
    switch (Below(8)) {
      case 0:
        batch->workers.push_back(Worker());
        break;
      case 1:
        batch->submissions.push_back(Job());
        break;
      case 2:
        if (const auto* job = AnyJob(ledger); job != nullptr && Below(4) == 0)
          batch->cancels.push_back(job->id);
        break;
      case 3:
        for (const JobId& id : ledger.active())
          batch->openings.push_back({id, ledger.FindJob(id)->next_occurrence});
        break;
      case 4:
      case 5:
        End(ledger, batch);
        break;
      default:
        Start(ledger, batch);
        break;
    }
  }

  [[nodiscard]] WorkerRecord Worker() {
    WorkerRecord record;
    record.incarnation = {WorkerId("w" + std::to_string(Below(6))),
                          static_cast<UnixMillis>(1 + Below(3) + now_ / 40)};
    record.address = "10.0.0." + std::to_string(Below(7)) + ":80";
    if (FlipCoin())
      record.host = HostName("h" + std::to_string(Below(7)));
    record.pool = PoolName(FlipCoin() ? "a" : "b");
    record.capacity = {16'000, 32'000, 0};
    record.draining = Below(5) == 0;
    record.departed = Below(8) == 0;
    return record;
  }

  [[nodiscard]] Submission Job() {
    JobSpec spec;
    spec.payload = "x";
    const std::size_t steps = 1 + Below(3);
    for (std::size_t s = 0; s < steps; ++s) {
      StepSpec step;
      step.tasks = static_cast<std::int64_t>(1 + Below(3));
      step.request = {1'000, 1'000, 0};
      step.gang = Below(4) == 0;
      step.speculative = !step.gang && Below(3) == 0;
      step.long_running = !step.gang && Below(4) == 0;
      if (s > 0 && FlipCoin())
        step.depends_on = {static_cast<std::uint32_t>(s - 1)};
      spec.steps.push_back(step);
    }
    if (Below(4) == 0) {
      spec.repeats = 2;
      spec.interval = Millis(10);
    }
    return {JobId("job" + std::to_string(Below(60))),
            QueueName(FlipCoin() ? "a" : "b"), CustomerName("c"), spec};
  }

  [[nodiscard]] const jobs::Job* AnyJob(const JobLedger& ledger) {
    if (ledger.jobs().empty())
      return nullptr;
    auto job = ledger.jobs().begin();
    std::advance(job, Below(ledger.jobs().size()));
    return &job->second;
  }

  void Start(const JobLedger& ledger, Batch* batch) {
    const jobs::Job* job = AnyJob(ledger);
    if (job == nullptr || ledger.workers().empty())
      return;
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        const auto& tasks = occurrence.steps[s].tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
          auto worker = ledger.workers().begin();
          std::advance(worker, Below(ledger.workers().size()));
          if (Below(3) > 0)
            batch->starts.push_back(
                {{{job->id, number, s, i}, tasks[i].last_run + 1},
                 worker->first});
        }
      }
    }
  }

  void End(const JobLedger& ledger, Batch* batch) {
    for (const auto& [incarnation, worker] : ledger.workers()) {
      std::int64_t listed = worker.last_end_sequence;
      for (const RunName& run : worker.runs) {
        if (FlipCoin())
          continue;
        const RunEnd how = Below(5) == 0   ? RunEnd::kFailed
                           : Below(5) == 0 ? RunEnd::kLost
                                           : RunEnd::kDone;
        batch->ends.push_back(
            {run, incarnation, how, "", how == RunEnd::kLost ? 0 : ++listed});
      }
    }
  }

  std::mt19937_64 rng_;
  UnixMillis now_ = 1;
};

[[nodiscard]] bool IsStartable(const Job& job) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      if (occurrence.steps[s].waiting() > 0 && job.StepReady(occurrence, s))
        return true;
    }
  }
  return false;
}

[[nodiscard]] bool IsSpeculating(const Job& job) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const StepSpec& spec = job.spec->steps[s];
      if (occurrence.steps[s].placed > 0 && spec.speculative && !spec.gang &&
          !spec.long_running) {
        return true;
      }
    }
  }
  return false;
}

void CheckJobIndexes(const JobLedger& ledger) {
  std::vector<JobId> startable;
  std::vector<JobId> repeating;
  std::vector<JobId> speculating;
  for (const JobId& id : ledger.active()) {
    const Job& job = *ledger.FindJob(id);
    if (IsStartable(job))
      startable.push_back(id);
    if (job.spec->repeats > 0 &&
        job.next_occurrence < job.spec->occurrences()) {
      repeating.push_back(id);
    }
    if (IsSpeculating(job))
      speculating.push_back(id);
  }
  std::set<TaskName> copied;
  for (const auto& [id, job] : ledger.jobs()) {
    for (const auto& [number, occurrence] : job.occurrences) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        const auto& tasks = occurrence.steps[s].tasks;
        for (std::uint32_t i = 0; i < tasks.size(); ++i) {
          if (tasks[i].runs.size() > (tasks[i].done ? 0U : 1U))
            copied.insert({id, number, s, i});
        }
      }
    }
  }
  BOOST_TEST((ledger.copied_tasks() == copied));
  const auto ids = [](const JobSet& jobs) {
    std::vector<JobId> names;
    for (const Job* job : jobs)
      names.push_back(job->id);
    return names;
  };
  BOOST_TEST(ids(ledger.startable()) == startable,
             boost::test_tools::per_element());
  BOOST_TEST(ids(ledger.repeating()) == repeating,
             boost::test_tools::per_element());
  BOOST_TEST(ids(ledger.speculating()) == speculating,
             boost::test_tools::per_element());
}

void CheckWorkerIndexes(const JobLedger& ledger) {
  std::map<PoolName, std::vector<const Worker*>> pools;
  std::vector<const Worker*> candidates;
  for (const auto& [incarnation, worker] : ledger.workers()) {
    pools[worker.record.pool].push_back(&worker);
    std::int64_t long_running = 0;
    std::int64_t obsolete = 0;
    for (const RunName& run : worker.runs) {
      const Job& job = *ledger.FindJob(run.task.job);
      long_running += job.spec->steps[run.task.step].long_running ? 1 : 0;
      obsolete += job.final() || ledger.FindTask(run.task)->done ? 1 : 0;
    }
    BOOST_TEST(worker.long_running_runs == long_running);
    BOOST_TEST(worker.obsolete_runs == obsolete);
    if (worker.record.draining || obsolete > 0)
      candidates.push_back(&worker);
  }
  const auto all = [](const WorkerSet& set) {
    return std::vector<const Worker*>(set.begin(), set.end());
  };
  for (const char* pool : {"a", "b"})
    BOOST_TEST(
        (all(ledger.WorkersOf(PoolName(pool))) == pools[PoolName(pool)]));
  BOOST_TEST((all(ledger.stop_candidates()) == candidates));
}

/// Checks that ids, addresses and hosts are unique among the workers.
void CheckUniqueness(const JobLedger& ledger) {
  std::set<std::string> identities;
  std::size_t expected = 0;
  for (const auto& [incarnation, worker] : ledger.workers()) {
    identities.insert("id " + incarnation.id.str());
    identities.insert("address " + worker.record.address);
    expected += 2;
    if (worker.record.host.empty())
      continue;
    identities.insert("host " + worker.record.host.str());
    ++expected;
  }
  BOOST_TEST(identities.size() == expected);
}

/// Tracks the workers that a batch reports as changed, as the leader does.
class ChangeTracker {
 public:
  void Update(const JobLedger& ledger) {
    for (const WorkerIncarnation& incarnation : ledger.changed_workers()) {
      const Worker* worker = ledger.FindWorker(incarnation);
      if (worker == nullptr)
        known_.erase(incarnation);
      else
        known_[incarnation] = {worker->record, worker->runs};
    }
    BOOST_TEST(known_.size() == ledger.workers().size());
    for (const auto& [incarnation, worker] : ledger.workers()) {
      const auto found = known_.find(incarnation);
      BOOST_REQUIRE(found != known_.end());
      BOOST_TEST((found->second.first == worker.record));
      BOOST_TEST((found->second.second == worker.runs));
    }
  }

 private:
  std::map<WorkerIncarnation, std::pair<WorkerRecord, std::set<RunName>>>
      known_;
};

/// \returns the runs to be stopped, found by a full scan of the workers.
[[nodiscard]] std::vector<std::pair<RunName, std::string>> ScanForStops(
    const JobLedger& ledger,
    const std::set<WorkerIncarnation>& cordoned) {
  std::vector<std::pair<RunName, std::string>> stops;
  for (const auto& [incarnation, worker] : ledger.workers()) {
    for (const RunName& run : worker.runs) {
      const Job* job = ledger.FindJob(run.task.job);
      const Task* task = ledger.FindTask(run.task);
      if (job->final())
        stops.emplace_back(run, "job_final");
      else if (task->done)
        stops.emplace_back(run, "task_done");
      else if (!job->spec->steps[run.task.step].long_running)
        continue;
      else if (worker.record.draining)
        stops.emplace_back(run, "worker_drains");
      else if (cordoned.count(incarnation) > 0)
        stops.emplace_back(run, "host_maintenance");
    }
  }
  return stops;
}

void CheckStops(const JobLedger& ledger) {
  std::set<WorkerIncarnation> cordoned;
  for (const auto& [incarnation, worker] : ledger.workers()) {
    if (cordoned.size() < 2)
      cordoned.insert(incarnation);
  }
  std::vector<std::pair<RunName, std::string>> stops;
  for (const scheduler::StopOrder& stop : scheduler::PlanStops(
           ledger, cordoned,
           [](const RunName&, const WorkerIncarnation&) { return 100; },
           [](const RunName&, const WorkerIncarnation&) { return false; })) {
    stops.emplace_back(stop.run, stop.reason);
  }
  BOOST_TEST((stops == ScanForStops(ledger, cordoned)));
}

// Guards against indexes of the ledger that diverge from its state: scheduling
// decisions would miss waiting tasks or leave runs of cancelled jobs running.
BOOST_AUTO_TEST_CASE(IndexesEqualAFullScanAfterEveryBatch) {
  std::size_t stops = 0;
  std::size_t startable = 0;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      RandomBatches batches(seed);
      JobLedger ledger;
      ChangeTracker tracker;
      ledger.Apply(batches.Configuration());
      for (int i = 0; i < 300; ++i) {
        ledger.Apply(batches.Draw(ledger));
        CheckJobIndexes(ledger);
        CheckWorkerIndexes(ledger);
        CheckUniqueness(ledger);
        CheckStops(ledger);
        tracker.Update(ledger);
        stops += ledger.stop_candidates().size();
        startable += ledger.startable().size();
      }
    }
  }
  // The random batches must affect the indexes.
  BOOST_TEST(stops > 500U);
  BOOST_TEST(startable > 500U);
}

// Guards against the same in a ledger that is restored from a snapshot, which
// does not contain the indexes.
BOOST_AUTO_TEST_CASE(ARestoredLedgerHasTheSameIndexes) {
  for (std::uint64_t seed = 21; seed <= 24; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      RandomBatches batches(seed);
      JobLedger ledger;
      ledger.Apply(batches.Configuration());
      for (int i = 0; i < 200; ++i) {
        ledger.Apply(batches.Draw(ledger));
        if (i % 20 != 0)
          continue;
        auto restored = JobLedger::Restore(ledger.Snapshot());
        BOOST_REQUIRE(restored.has_value());
        ledger = std::move(restored.value());
        CheckJobIndexes(ledger);
        CheckWorkerIndexes(ledger);
        CheckStops(ledger);
      }
    }
  }
}

}  // namespace
}  // namespace boragewinch::jobs
