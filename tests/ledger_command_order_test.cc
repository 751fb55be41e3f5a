#define BOOST_TEST_MODULE ledger_command_order
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "ledger_builder.h"
#include "random_seeds.h"
#include "scheduler/task_planner.h"

// A command is decided on the state that the leader has applied, and applied
// after others that were decided on the same state.
namespace boragewinch::jobs {
namespace {

constexpr UnixMillis kNow = 10'000;

[[nodiscard]] QueueConfig Queue(const std::string& name,
                                const std::string& prefix) {
  QueueConfig queue;
  queue.name = QueueName(name);
  queue.virtual_host = "example";
  queue.path_prefix = prefix;
  queue.pool = PoolName("p");
  queue.max_attempts = 2;
  return queue;
}

[[nodiscard]] Batch Configuration(const JobLedger& ledger,
                                  std::vector<QueueConfig> queues) {
  Batch batch;
  batch.config = ledger.config();
  ++batch.config->version;
  batch.config->queues = std::move(queues);
  return batch;
}

/// \returns the submission of a job to the queue with the prefix, if the
/// configuration has it.
[[nodiscard]] Batch Submit(const JobLedger& ledger,
                           const std::string& id,
                           const std::string& prefix,
                           std::int64_t repeats = 0) {
  Batch batch;
  const QueueConfig* queue =
      ledger.config().FindQueueOfPrefix("example", prefix);
  if (queue == nullptr)
    return batch;
  JobSpec spec;
  spec.payload = id;
  spec.steps = {LedgerBuilder::Tasks(1)};
  spec.repeats = repeats;
  spec.interval = Millis(repeats > 0 ? 1'000 : 0);
  batch.submissions.push_back({JobId(id), queue->name, CustomerName("c"), spec,
                               queue->virtual_host, queue->path_prefix});
  return batch;
}

[[nodiscard]] Batch Report(const JobLedger& ledger,
                           const std::string& id,
                           UnixMillis start_time,
                           const std::function<void(WorkerRecord*)>& change) {
  Batch batch;
  const Worker* worker = ledger.FindCurrent(WorkerId("w"));
  if (worker == nullptr)
    return batch;
  WorkerRecord record = worker->record;
  record.incarnation = LedgerBuilder::IncarnationOf(id, start_time);
  change(&record);
  batch.workers.push_back(record);
  return batch;
}

/// The kinds of commands, decided on a state in which the job "running" has a
/// run on the worker "w", and "queued" has none.
using Command = std::function<Batch(const JobLedger&)>;
[[nodiscard]] std::map<std::string, Command> Commands() {
  const RunName run = LedgerBuilder::Run("running", 0, 0);
  const auto end = [run](RunEnd how, std::int64_t sequence) {
    return [run, how, sequence](const JobLedger&) {
      Batch batch;
      batch.ends.push_back(
          {run, LedgerBuilder::IncarnationOf("w"), how, "saved", sequence});
      return batch;
    };
  };
  const auto cancel = [](const std::string& id) {
    return [id](const JobLedger&) {
      Batch batch;
      batch.cancels.emplace_back(id);
      return batch;
    };
  };
  const auto configure = [](std::vector<QueueConfig> queues) {
    return [queues](const JobLedger& ledger) {
      return Configuration(ledger, queues);
    };
  };
  const auto start = [](const std::string& id) {
    return [id](const JobLedger& ledger) {
      Batch batch;
      if (const Worker* worker = ledger.FindCurrent(WorkerId("w")))
        batch.starts.push_back(
            {LedgerBuilder::Run(id, 0, 0), worker->record.incarnation});
      return batch;
    };
  };
  const auto none = [](WorkerRecord*) {};
  return {
      {"rename", configure({Queue("a2", "/q/"), Queue("b", "/b/")})},
      {"remove", configure({Queue("b", "/b/")})},
      {"remove all", configure({})},
      {"exchange", configure({Queue("b", "/q/"), Queue("q", "/b/")})},
      {"pass name on", configure({Queue("q", "/b/")})},
      {"submit", [](const JobLedger& l) { return Submit(l, "new", "/q/"); }},
      {"submit other",
       [](const JobLedger& l) { return Submit(l, "other", "/b/"); }},
      {"submit again",
       [](const JobLedger& l) { return Submit(l, "queued", "/q/"); }},
      {"submit repeated",
       [](const JobLedger& l) { return Submit(l, "repeated", "/q/", 3); }},
      {"open",
       [](const JobLedger&) {
         Batch batch;
         batch.openings.push_back({JobId("periodic"), 0});
         return batch;
       }},
      {"cancel running", cancel("running")},
      {"cancel queued", cancel("queued")},
      {"cancel unseen",
       [](const JobLedger&) {
         Batch batch;
         batch.unseen_cancels.push_back(
             {JobId("new"), "example", "/q/", CustomerName("c")});
         return batch;
       }},
      {"start queued", start("queued")},
      {"done", end(RunEnd::kDone, 1)},
      {"failed", end(RunEnd::kFailed, 2)},
      {"lost", end(RunEnd::kLost, 0)},
      {"restart",
       [none](const JobLedger& l) { return Report(l, "w", 2, none); }},
      {"replace",
       [none](const JobLedger& l) { return Report(l, "x", 3, none); }},
      {"drain",
       [](const JobLedger& l) {
         return Report(l, "w", 1, [](WorkerRecord* r) { r->draining = true; });
       }},
      {"depart",
       [](const JobLedger& l) {
         return Report(l, "w", 1, [](WorkerRecord* r) { r->departed = true; });
       }},
  };
}

[[nodiscard]] JobLedger Copy(const JobLedger& ledger) {
  auto copy = JobLedger::Restore(ledger.Snapshot());
  BOOST_REQUIRE(copy);
  return std::move(copy).value();
}

void Apply(JobLedger* ledger, Batch batch) {
  batch.now = kNow;
  // As replicas read it.
  const auto decoded = DecodeBatch(EncodeBatch(batch));
  BOOST_REQUIRE(decoded);
  ledger->Apply(decoded.value());
}

[[nodiscard]] JobLedger BaseLedger() {
  LedgerBuilder builder;
  builder.AddWorker("w");
  JobLedger ledger = Copy(builder.ledger());
  Apply(&ledger, Configuration(ledger, {Queue("q", "/q/"), Queue("b", "/b/")}));
  Apply(&ledger, Submit(ledger, "running", "/q/"));
  Apply(&ledger, Submit(ledger, "queued", "/q/"));
  Apply(&ledger, Submit(ledger, "periodic", "/b/", 2));
  Batch start;
  start.starts.push_back(
      {LedgerBuilder::Run("running", 0, 0), LedgerBuilder::IncarnationOf("w")});
  Apply(&ledger, start);
  return ledger;
}

/// \returns the starts that the planner decides, with all workers usable.
[[nodiscard]] std::vector<StartRecord> Plan(const JobLedger& ledger) {
  scheduler::PlannerHooks hooks;
  hooks.start_limit = [](const auto&) { return std::size_t{100}; };
  hooks.accepts_soon = [](const auto&) { return true; };
  hooks.is_quarantined = [](const auto&) { return false; };
  hooks.is_advised = [](const auto&, const auto&) { return true; };
  hooks.has_failed_on = [](const auto&, const auto&) { return false; };
  scheduler::TaskPlanner planner{scheduler::TaskPlannerOptions{}};
  return planner.Plan(ledger, hooks, kNow);
}

/// \brief Ends all runs as lost, starts and completes everything that is open
/// on a further worker. \returns whether all jobs end.
[[nodiscard]] bool RunToTheEnd(JobLedger ledger) {
  Batch worker;
  WorkerRecord record;
  record.incarnation = LedgerBuilder::IncarnationOf("last", 9);
  record.address = "last:80";
  record.pool = PoolName("p");
  record.capacity = {160'000, 320'000, 0};
  worker.workers.push_back(record);
  for (const auto& [incarnation, known] : ledger.workers()) {
    for (const RunName& run : known.runs)
      worker.ends.push_back({run, incarnation, RunEnd::kLost, "", 0});
  }
  Apply(&ledger, worker);
  constexpr int kRounds = 20;
  for (int round = 0; round < kRounds && !ledger.active().empty(); ++round) {
    Batch batch;
    for (const Job* job : ledger.repeating())
      batch.openings.push_back({job->id, job->next_occurrence});
    Apply(&ledger, batch);
    Batch starts;
    starts.starts = Plan(ledger);
    Apply(&ledger, starts);
    Batch ends;
    for (const StartRecord& start : starts.starts)
      ends.ends.push_back({start.run, start.worker, RunEnd::kDone, "", 0});
    Apply(&ledger, ends);
  }
  return ledger.active().empty();
}

/// \returns whether a cancellation ends each open job and leaves no count of
/// it.
[[nodiscard]] bool CancelAll(JobLedger ledger) {
  Batch batch;
  batch.cancels.assign(ledger.active().begin(), ledger.active().end());
  for (const auto& [incarnation, worker] : ledger.workers()) {
    for (const RunName& run : worker.runs)
      batch.ends.push_back({run, incarnation, RunEnd::kStopped, "", 0});
  }
  Apply(&ledger, batch);
  const Resources usage = ledger.UsageOf(CustomerName("c"));
  bool clean = ledger.active().empty() && ledger.startable().empty() &&
               ledger.repeating().empty() && usage.cpu_millis == 0;
  for (const char* queue : {"q", "a2", "b"}) {
    clean = clean && ledger.QueuedOf(QueueName(queue)) == 0 &&
            ledger.LoadOf(QueueName(queue)).open_tasks == 0;
  }
  return clean;
}

/// \returns what does not hold; empty: nothing.
[[nodiscard]] std::string Check(const JobLedger& ledger) {
  std::size_t runs = 0;
  for (const auto& [incarnation, worker] : ledger.workers()) {
    for (const RunName& run : worker.runs) {
      if (!ledger.HasRun(run, incarnation))
        return "a worker has a run that its task has not";
    }
    runs += worker.runs.size();
  }
  for (const auto& [id, job] : ledger.jobs()) {
    runs -= static_cast<std::size_t>(job.runs);
    if (!job.final() && ledger.QueueOf(job) == nullptr)
      return "job " + id.str() + " has no queue";
  }
  if (runs != 0)
    return "a task has a run that its worker has not";
  if (Copy(ledger).Snapshot().size() != ledger.Snapshot().size())
    return "the ledger is not restored from its snapshot";
  if (!RunToTheEnd(Copy(ledger)))
    return "a job does not start or end";
  if (!CancelAll(Copy(ledger)))
    return "a cancelled job is left in an index or a count";
  return "";
}

// Guards against commands that rest on a state which another command has
// changed by the time they are applied, such as an accepted job whose queue
// gets another name meanwhile (review/6).
BOOST_AUTO_TEST_CASE(EachCommandMayFollowEachOther) {
  const auto commands = Commands();
  const JobLedger base = BaseLedger();
  BOOST_REQUIRE(Check(base) == "");
  for (const auto& [first_name, first] : commands) {
    for (const auto& [second_name, second] : commands) {
      for (const bool same_batch : {true, false}) {
        JobLedger ledger = Copy(base);
        Batch batch = first(base);
        if (same_batch) {
          batch.Append(second(base));
          Apply(&ledger, batch);
        } else {
          Apply(&ledger, batch);
          Apply(&ledger, second(base));
        }
        BOOST_TEST(Check(ledger) == "",
                   first_name << ", then " << second_name
                              << (same_batch ? " in one batch: " : ": ")
                              << Check(ledger));
      }
    }
  }
}

// The same with longer random sequences, each command decided on the state
// before the batch that precedes its own.
BOOST_AUTO_TEST_CASE(RandomCommandsMayFollowEachOther) {
  constexpr std::uint64_t kRuns = 200;
  constexpr std::uint64_t kFirstSeed = 1;
  const std::uint64_t runs = FromEnvironment("BORAGEWINCH_RANDOM_RUNS", kRuns);
  const std::uint64_t first =
      FromEnvironment("BORAGEWINCH_RANDOM_SEED", kFirstSeed);
  const auto commands = Commands();
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    std::mt19937_64 random(seed);
    JobLedger ledger = BaseLedger();
    std::string sequence;
    Batch under_way;
    for (int round = 0; round < 6; ++round) {
      // Decided while `under_way` is being stored.
      Batch next;
      for (std::uint64_t left = random() % 4; left > 0; --left) {
        auto command = commands.begin();
        std::advance(command, random() % commands.size());
        next.Append(command->second(ledger));
        sequence += command->first + ", ";
      }
      sequence += "| ";
      Apply(&ledger, std::exchange(under_way, next));
    }
    Apply(&ledger, under_way);
    BOOST_TEST(Check(ledger) == "",
               "seed " << seed << " (" << sequence << "): " << Check(ledger));
  }
}

}  // namespace
}  // namespace boragewinch::jobs
