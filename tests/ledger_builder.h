#ifndef BORAGEWINCH_TESTS_LEDGER_BUILDER_H_
#define BORAGEWINCH_TESTS_LEDGER_BUILDER_H_

#include <string>
#include <utility>
#include <vector>

#include "jobs/job_ledger.h"

namespace boragewinch::jobs {

/// \brief Builds ledgers for tests: one queue "q" on pool "p" for customer "c",
/// then workers, jobs and runs.
class LedgerBuilder {
 public:
  LedgerBuilder() {
    FleetConfig config;
    config.version = 1;
    config.document = "{}";
    QueueConfig queue;
    queue.name = QueueName("q");
    queue.virtual_host = "example";
    queue.path_prefix = "/q/";
    queue.pool = PoolName("p");
    queue.max_attempts = 2;
    queue.stretch = 1.6;
    queue.latency_target = Millis(600);
    config.queues.push_back(queue);
    config.pools[PoolName("p")] = {PoolName("p"), true, false};
    CustomerConfig customer;
    customer.name = CustomerName("c");
    customer.keys = {"key"};
    config.customers[customer.name] = customer;
    Batch batch;
    batch.config = config;
    Apply(batch);
  }

  LedgerBuilder& Apply(Batch batch) {
    batch.now = now_;
    ledger_.Apply(batch);
    return *this;
  }

  LedgerBuilder& At(UnixMillis now) {
    now_ = now;
    return *this;
  }

  LedgerBuilder& Limit(const Resources& limit) {
    Batch batch;
    batch.config = ledger_.config();
    ++batch.config->version;
    batch.config->customers[CustomerName("c")].limit = limit;
    return Apply(batch);
  }

  static WorkerIncarnation IncarnationOf(const std::string& id,
                                         UnixMillis start_time = 1) {
    return {WorkerId(id), start_time};
  }

  LedgerBuilder& AddWorker(const std::string& id,
                           Resources capacity = {16'000, 32'000, 0},
                           bool draining = false) {
    WorkerRecord record;
    record.incarnation = IncarnationOf(id);
    record.address = id + ":80";
    record.pool = PoolName("p");
    record.capacity = capacity;
    record.draining = draining;
    Batch batch;
    batch.workers.push_back(record);
    return Apply(batch);
  }

  static StepSpec Tasks(std::int64_t count, std::int64_t cpu = 1'000) {
    StepSpec step;
    step.tasks = count;
    step.request = {cpu, 1'000, 0};
    step.estimate = Millis(1'000);
    return step;
  }

  LedgerBuilder& Submit(const std::string& id, std::vector<StepSpec> steps) {
    Batch batch;
    JobSpec spec;
    spec.payload = "payload of " + id;
    spec.steps = std::move(steps);
    batch.submissions.push_back(
        {JobId(id), QueueName("q"), CustomerName("c"), spec});
    return Apply(batch);
  }

  static RunName Run(const std::string& job,
                     std::uint32_t step,
                     std::uint32_t index,
                     std::uint32_t number = 1) {
    return {{JobId(job), 0, step, index}, number};
  }

  LedgerBuilder& Start(const RunName& run, const std::string& worker) {
    Batch batch;
    batch.starts.push_back({run, IncarnationOf(worker)});
    return Apply(batch);
  }

  /// \brief Records that a worker executes the run.
  LedgerBuilder& Begin(const RunName& run) {
    Batch batch;
    batch.begun.push_back(run);
    return Apply(batch);
  }

  LedgerBuilder& End(const RunName& run,
                     const std::string& worker,
                     RunEnd how,
                     std::int64_t end_sequence = 0) {
    Batch batch;
    batch.ends.push_back({run, IncarnationOf(worker), how, "", end_sequence});
    return Apply(batch);
  }

  LedgerBuilder& Cancel(const std::string& job) {
    Batch batch;
    batch.cancels.emplace_back(job);
    return Apply(batch);
  }

  [[nodiscard]] const JobLedger& ledger() const noexcept { return ledger_; }
  [[nodiscard]] const Job& job(const std::string& id) const {
    return *ledger_.FindJob(JobId(id));
  }

 private:
  JobLedger ledger_;
  UnixMillis now_ = 1'000;
};

}  // namespace boragewinch::jobs

#endif  // BORAGEWINCH_TESTS_LEDGER_BUILDER_H_
