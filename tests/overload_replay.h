#ifndef BORAGEWINCH_TESTS_OVERLOAD_REPLAY_H_
#define BORAGEWINCH_TESTS_OVERLOAD_REPLAY_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "jobs/job_ledger.h"
#include "scheduler/task_planner.h"

namespace boragewinch::scheduler {

/// \brief One kind of request: log-normal sizes, given by mean and the standard
/// deviation of the logarithm.
struct LoadShape {
  std::string queue;
  double jobs_per_second = 10;  ///< mean over a cycle of all bursts
  double steps = 1.6;
  double max_steps = 4;
  double width = 8;
  double max_width = 32;
  double task_ms = 800;
  double max_task_ms = 2'000;
  double tail_share = 0;  ///< of tasks that take `tail_factor` times as long
  double tail_factor = 1;
  double cpu_millis = 1'500;
  double estimate_error = 0.5;
  std::int64_t priority = 0;
};

struct ReplayOptions {
  std::vector<LoadShape> load;
  double burst_factor = 5;
  jobs::UnixMillis burst_ms = 4'000;
  jobs::UnixMillis length_ms = 10'000;  ///< the burst begins after 1 s
  int workers = 60;
  int later_workers = 60;  ///< join after `join_ms`
  jobs::UnixMillis join_ms = 3'000;
  std::int64_t worker_cpu_millis = 16'000;
  std::size_t starts_per_plan = 24;
  int customers = 20;
  /// Requests of the last customer, in multiples of all others together, in the
  /// burst.
  double hot_customer = 0;
  int zones = 3;
  std::uint64_t seed = 1;
};

/// \brief What became of the requests of one class, zone or customer.
struct ReplayCount {
  double owed = 0;     ///< weighted by work, as below
  double in_time = 0;  ///< completed within the objective
  double late = 0;     ///< completed within three times the objective
  std::int64_t requests = 0;
  std::int64_t requests_in_time = 0;
  std::int64_t requests_late = 0;
  std::int64_t refused = 0;  ///< all attempts were rejected
  std::int64_t rejections = 0;
  /// Rejections within a tenth of the time until the objective.
  std::int64_t early_rejections = 0;

  [[nodiscard]] double share() const { return owed > 0 ? in_time / owed : 1; }
};

struct ReplayResult {
  ReplayCount all;
  std::map<std::string, ReplayCount> by_queue;
  std::map<int, ReplayCount> by_zone;
  std::map<int, ReplayCount> by_customer;
};

/// \brief Replays the arrivals of a burst through the ledger and the planner,
/// in steps of 20 ms. Tasks end after their drawn durations.
class OverloadReplay {
 public:
  static constexpr jobs::UnixMillis kStepMs = 20;
  /// Delay until the end of a run is known.
  static constexpr jobs::UnixMillis kReportMs = 50;
  static constexpr int kAttempts = 5;

  OverloadReplay(ReplayOptions options, TaskPlannerOptions planner)
      : options_(std::move(options)),
        planner_options_(planner),
        planner_(WithStarts(planner, options_.starts_per_plan)),
        random_(options_.seed) {}

  [[nodiscard]] ReplayResult Run() {
    Configure();
    AddWorkers(0, options_.workers);
    bool joined = false;
    const jobs::UnixMillis end = options_.length_ms + 20'000;
    for (now_ = kStart; now_ < kStart + end; now_ += kStepMs) {
      jobs::Batch batch;
      batch.now = now_;
      if (!joined && now_ >= kStart + options_.join_ms) {
        joined = true;
        AddWorkers(options_.workers, options_.later_workers);
      }
      while (!ends_.empty() && ends_.top().first <= now_) {
        batch.ends.push_back(ends_.top().second);
        batch.ends.back().end_sequence = 0;
        ends_.pop();
      }
      if (now_ < kStart + options_.length_ms)
        Arrive(&batch);
      Retry(&batch);
      for (const jobs::EndRecord& ended : batch.ends)
        Learn(ended.run);
      ledger_.Apply(batch);
      Finish();
      PlanStarts();
    }
    return Count();
  }

  bool reject = false;  ///< by overload::Admission
  /// Passed to the planner.
  ExpectedDuration expected;
  std::function<void(const QueueName&, Millis estimate, Millis duration)>
      on_done;

 private:
  static constexpr jobs::UnixMillis kStart = 1'000'000;

  struct Request {
    jobs::JobId id;
    const LoadShape* shape = nullptr;
    jobs::JobSpec spec;
    std::vector<std::vector<jobs::UnixMillis>> durations;
    jobs::UnixMillis sent = 0;
    jobs::UnixMillis objective = 0;
    double weight = 0;
    int zone = 0;
    int customer = 0;
    int attempts = 0;
    int rejections = 0;
    bool early = true;
    bool accepted = false;
    std::optional<jobs::UnixMillis> completed;
  };
  struct Later {
    template <typename T>
    bool operator()(const T& a, const T& b) const {
      return a.first > b.first;
    }
  };
  using TimedEnd = std::pair<jobs::UnixMillis, jobs::EndRecord>;
  using TimedRequest = std::pair<jobs::UnixMillis, std::size_t>;

  static TaskPlannerOptions WithStarts(TaskPlannerOptions options,
                                       std::size_t starts) {
    options.max_starts = starts;
    return options;
  }

  [[nodiscard]] double Draw(double mean, double sigma, double max) {
    std::normal_distribution<double> normal(std::log(mean) - sigma * sigma / 2,
                                            sigma);
    return std::min(max, std::exp(normal(random_)));
  }
  [[nodiscard]] double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void Configure() {
    jobs::FleetConfig config;
    config.version = 1;
    config.document = "{}";
    for (const LoadShape& shape : options_.load) {
      jobs::QueueConfig queue;
      queue.name = QueueName(shape.queue);
      queue.virtual_host = "example";
      queue.path_prefix = "/" + shape.queue + "/";
      queue.pool = PoolName("p");
      queue.priority = shape.priority;
      queue.max_attempts = 4;
      queue.stretch = 1.6;
      queue.latency_target = Millis(600);
      config.queues.push_back(queue);
    }
    config.pools[PoolName("p")] = {PoolName("p"), true, false};
    for (int c = 0; c < options_.customers; ++c) {
      jobs::CustomerConfig customer;
      customer.name = CustomerName("c" + std::to_string(c));
      customer.keys = {"key" + std::to_string(c)};
      // The weight is the usual part of the requests; see MakeRequest.
      const double all = options_.customers;
      customer.weight =
          std::lround(1'000 * (std::sqrt((c + 1) / all) - std::sqrt(c / all)));
      config.customers[customer.name] = customer;
    }
    jobs::Batch batch;
    batch.now = kStart;
    batch.config = config;
    ledger_.Apply(batch);
  }

  void AddWorkers(int first, int count) {
    jobs::Batch batch;
    batch.now = now_;
    for (int i = first; i < first + count; ++i) {
      jobs::WorkerRecord record;
      record.incarnation = {jobs::WorkerId("w" + std::to_string(i)), 1};
      record.address = "w" + std::to_string(i) + ":80";
      record.pool = PoolName("p");
      record.capacity = {options_.worker_cpu_millis, 1'000'000, 0};
      batch.workers.push_back(record);
    }
    ledger_.Apply(batch);
  }

  [[nodiscard]] Request MakeRequest(const LoadShape& shape) {
    Request request;
    char id[17];
    std::snprintf(id, sizeof(id), "%016llx",
                  static_cast<unsigned long long>(random_()));
    request.id = jobs::JobId(id);
    request.shape = &shape;
    request.sent = now_;
    request.zone = static_cast<int>(Uniform() * options_.zones);
    // A few customers are large.
    const int usual = options_.customers - (options_.hot_customer > 0 ? 1 : 0);
    request.customer = static_cast<int>(std::pow(Uniform(), 2) * usual);
    const int steps = std::max(
        1,
        static_cast<int>(std::lround(Draw(shape.steps, 0.4, shape.max_steps))));
    double chain = 0;
    double work = 0;
    for (int s = 0; s < steps; ++s) {
      jobs::StepSpec step;
      step.tasks =
          std::max(1L, std::lround(Draw(shape.width, 0.6, shape.max_width)));
      step.request = {static_cast<std::int64_t>(
                          Draw(shape.cpu_millis, 0.45, shape.cpu_millis * 3)),
                      100, 0};
      const double base = Draw(shape.task_ms, 0.5, shape.max_task_ms);
      step.estimate = Millis(
          static_cast<std::int64_t>(base * Draw(1, shape.estimate_error, 20)));
      if (s > 0)
        step.depends_on = {static_cast<std::uint32_t>(s - 1)};
      std::vector<jobs::UnixMillis> durations;
      for (std::int64_t i = 0; i < step.tasks; ++i) {
        double took = base * Draw(1, 0.15, 4);
        if (Uniform() < shape.tail_share)
          took *= shape.tail_factor;
        durations.push_back(static_cast<jobs::UnixMillis>(took));
        work += took * static_cast<double>(step.request.cpu_millis);
      }
      chain += static_cast<double>(
          *std::max_element(durations.begin(), durations.end()));
      request.durations.push_back(std::move(durations));
      request.spec.steps.push_back(std::move(step));
    }
    request.spec.payload = "p";
    request.objective = static_cast<jobs::UnixMillis>(1.6 * chain) + 600;
    const double mean_work =
        shape.steps * shape.width * shape.task_ms * shape.cpu_millis;
    request.weight = std::min(4.0, 0.3 + 0.7 * work / mean_work);
    return request;
  }

  void Arrive(jobs::Batch* batch) {
    for (const LoadShape& shape : options_.load) {
      const jobs::UnixMillis since = now_ - kStart - 1'000;
      const bool burst = since >= 0 && since < options_.burst_ms;
      const double rate =
          shape.jobs_per_second * (burst ? options_.burst_factor : 0.05);
      std::poisson_distribution<int> count(rate * kStepMs / 1'000);
      for (int left = count(random_); left > 0; --left)
        Add(MakeRequest(shape), batch);
      if (!burst || options_.hot_customer == 0)
        continue;
      std::poisson_distribution<int> hot(rate * options_.hot_customer *
                                         kStepMs / 1'000);
      for (int left = hot(random_); left > 0; --left) {
        Request request = MakeRequest(shape);
        request.customer = options_.customers - 1;
        Add(std::move(request), batch);
      }
    }
  }

  void Add(Request request, jobs::Batch* batch) {
    requests_.push_back(std::move(request));
    by_id_[requests_.back().id] = requests_.size() - 1;
    Submit(requests_.size() - 1, batch);
  }

  void Retry(jobs::Batch* batch) {
    while (!retries_.empty() && retries_.top().first <= now_) {
      const std::size_t index = retries_.top().second;
      retries_.pop();
      Submit(index, batch);
    }
  }

  void Submit(std::size_t index, jobs::Batch* batch) {
    Request& request = requests_[index];
    ++request.attempts;
    const jobs::QueueConfig* queue =
        ledger_.config().FindQueue(QueueName(request.shape->queue));
    const overload::Arrival arrival = ArrivalOf(request, *queue);
    overload::AdmissionDecision decision;
    if (reject)
      decision = admission_.Decide(arrival, SteadyNow());
    if (decision.rejected()) {
      ++request.rejections;
      if (request.attempts == 1)
        request.early = true;
      if (request.attempts < kAttempts) {
        const auto seconds = (decision.retry_after.count() + 999) / 1'000;
        retries_.push({now_ + seconds * 1'000, index});
      }
      return;
    }
    admission_.OnAccepted(arrival, decision.verdict);
    request.accepted = true;
    batch->submissions.push_back({request.id, queue->name, CustomerOf(request),
                                  request.spec, queue->virtual_host,
                                  queue->path_prefix});
  }

  void Learn(const jobs::RunName& run) const {
    const Request& request = requests_[by_id_.at(run.task.job)];
    if (on_done) {
      on_done(QueueName(request.shape->queue),
              request.spec.steps[run.task.step].estimate,
              Millis(request.durations[run.task.step][run.task.index]));
    }
  }

  [[nodiscard]] TimePoint SteadyNow() const { return FromMillis(now_); }

  [[nodiscard]] overload::Arrival ArrivalOf(
      const Request& request,
      const jobs::QueueConfig& queue) const {
    overload::Arrival arrival;
    arrival.pool = queue.pool;
    arrival.customer = CustomerOf(request);
    arrival.priority = queue.priority;
    for (const jobs::StepSpec& step : request.spec.steps)
      arrival.tasks += step.tasks;
    arrival.path = CriticalPathOf(request.spec, queue.name, expected);
    arrival.allowed =
        queue.latency_target +
        Millis(static_cast<std::int64_t>(
            queue.stretch * static_cast<double>(arrival.path.count())));
    return arrival;
  }

  [[nodiscard]] static CustomerName CustomerOf(const Request& request) {
    return CustomerName("c" + std::to_string(request.customer));
  }

  void PlanStarts() {
    PlannerHooks hooks;
    hooks.start_limit = [](const jobs::WorkerIncarnation&) -> std::size_t {
      return 1'000;
    };
    hooks.accepts_soon = [](const jobs::WorkerIncarnation&) { return true; };
    hooks.is_quarantined = [](const jobs::WorkerIncarnation&) { return false; };
    hooks.is_advised = [](const jobs::TaskName&,
                          const jobs::WorkerIncarnation&) { return true; };
    hooks.has_failed_on = [](const jobs::TaskName&,
                             const jobs::WorkerIncarnation&) { return false; };
    hooks.expected_duration = expected;
    jobs::Batch batch;
    batch.now = now_;
    batch.starts = planner_.Plan(ledger_, hooks, now_);
    admission_.OnPlan(planner_.backlogs(), planner_.over_share(), SteadyNow());
    for (const jobs::StartRecord& start : batch.starts) {
      const Request& request = requests_[by_id_.at(start.run.task.job)];
      const jobs::UnixMillis took =
          request.durations[start.run.task.step][start.run.task.index];
      ends_.push({now_ + took + kReportMs,
                  {start.run, start.worker, jobs::RunEnd::kDone, "", 0}});
    }
    ledger_.Apply(batch);
  }

  void Finish() {
    for (std::size_t i = first_open_; i < requests_.size(); ++i) {
      Request& request = requests_[i];
      if (request.completed || !request.accepted)
        continue;
      const jobs::Job* job = ledger_.FindJob(request.id);
      if (job != nullptr && job->state == jobs::JobState::kCompleted)
        request.completed = now_;
    }
  }

  [[nodiscard]] ReplayResult Count() const {
    ReplayResult result;
    for (const Request& request : requests_) {
      for (ReplayCount* count :
           {&result.all, &result.by_queue[request.shape->queue],
            &result.by_zone[request.zone],
            &result.by_customer[request.customer]}) {
        count->owed += request.weight;
        ++count->requests;
        count->rejections += request.rejections;
        if (request.rejections > 0 && request.early)
          ++count->early_rejections;
        if (!request.accepted)
          ++count->refused;
        if (!request.completed)
          continue;
        const jobs::UnixMillis took = *request.completed - request.sent;
        if (took <= request.objective) {
          count->in_time += request.weight;
          ++count->requests_in_time;
        } else if (took <= 3 * request.objective) {
          count->late += request.weight;
          ++count->requests_late;
        }
      }
    }
    return result;
  }

  ReplayOptions options_;
  TaskPlannerOptions planner_options_;
  TaskPlanner planner_;
  overload::Admission admission_;
  std::mt19937_64 random_;
  jobs::JobLedger ledger_;
  jobs::UnixMillis now_ = kStart;
  std::size_t first_open_ = 0;
  std::vector<Request> requests_;
  std::map<jobs::JobId, std::size_t> by_id_;
  std::priority_queue<TimedEnd, std::vector<TimedEnd>, Later> ends_;
  std::priority_queue<TimedRequest, std::vector<TimedRequest>, Later> retries_;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_TESTS_OVERLOAD_REPLAY_H_
