#define BOOST_TEST_MODULE worker_lives_random
#include <boost/test/unit_test.hpp>

#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ledger_builder.h"
#include "random_seeds.h"
#include "scheduler/fencing_token.h"
#include "scheduler/replicated_time.h"
#include "scheduler/stop_planner.h"
#include "scheduler/worker_session.h"
#include "simulated_worker.h"

namespace boragewinch::scheduler {
namespace {

using jobs::LedgerBuilder;

constexpr Millis kStep{10};
constexpr Millis kFaultsEnd{40'000};
constexpr Millis kEnds{90'000};
constexpr std::int64_t kTasks = 60;
constexpr int kWorkers = 3;
constexpr std::size_t kMaxRuns = 4;
constexpr Millis kRoundTrip{4};
constexpr Millis kDrainTime{2'000};

struct Totals {
  int starts = 0;
  int late_starts = 0;
  int crashes = 0;
  int replacements = 0;
  int departures = 0;
  int leaders = 0;
  int ends = 0;
  int missing = 0;
  int copies = 0;
  int stops_of_copies = 0;
};

/// Workers that crash, start again under their ids, are cut off and carry out
/// orders late, under a leader that changes. Orders are built and responses are
/// handled as in WorkerFleet.
class RandomRun {
 public:
  /// \param before_first_order whether a life carries out orders that reach it
  /// late, for an earlier one, before the first that was sent to it.
  /// \param speculative whether the tasks get copies.
  RandomRun(std::uint64_t seed,
            bool before_first_order,
            bool speculative,
            Totals* totals)
      : random_(seed),
        before_first_order_(before_first_order),
        speculative_(speculative),
        totals_(*totals) {
    late_percent_ = 10 + Pick(60);
    for (int i = 0; i < kWorkers; ++i) {
      const std::string id = "w" + std::to_string(i);
      auto worker = std::make_unique<Node>(
          SimulatedWorker({jobs::WorkerId(id), 1}, HooksOf(i), now_));
      nodes_.push_back(std::move(worker));
      Join(i);
    }
    jobs::StepSpec step = LedgerBuilder::Tasks(kTasks);
    step.speculative = speculative;
    builder_.Submit("job", {step});
    Lead();
  }

  /// \returns the first violation; empty if there is none.
  [[nodiscard]] std::string Execute() {
    const TimePoint end = now_ + kEnds;
    for (; now_ < end && violation_.empty(); now_ += kStep) {
      builder_.At(ToMillis(now_));
      while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = events_.extract(events_.begin());
        event.mapped()();
      }
      for (const auto& node : nodes_) {
        if (node->worker.up())
          node->worker.Advance(now_);
      }
      if (now_ < faults_end_)
        CauseFault();
      if (speculative_)
        StopCopies();
      CheckSessions();
      StartTasks();
      if (speculative_)
        StartCopy();
    }
    if (violation_.empty() &&
        builder_.job("job").state != jobs::JobState::kCompleted) {
      violation_ = "the job has not completed";
    }
    for (const auto& [name, task] : tasks_) {
      if (violation_.empty() && !task.running_on.empty())
        Report(name.Text() + " still runs");
    }
    return violation_;
  }

 private:
  struct Node {
    explicit Node(SimulatedWorker simulated) : worker(std::move(simulated)) {}
    SimulatedWorker worker;
    TimePoint cut_until;
    /// The present life has carried out an order that was sent to it.
    bool has_own_order = false;
    int ids = 1;
    int lives = 1;
  };
  struct TaskRecord {
    std::set<int> running_on;
    /// When each run ended as done, on whichever worker.
    std::map<std::uint32_t, TimePoint> done;
    std::optional<TimePoint> acknowledged;  ///< the earliest acknowledged end
    TimePoint last_order;  ///< latest time at which a started run was ordered
  };

  [[nodiscard]] std::uint64_t Pick(std::uint64_t bound) {
    return random_() % bound;
  }
  [[nodiscard]] Millis PickMillis(std::uint64_t from, std::uint64_t to) {
    return Millis(from + Pick(to - from));
  }
  void After(Millis delay, std::function<void()> action) {
    events_.emplace(now_ + delay, std::move(action));
  }
  void Report(const std::string& violation) {
    if (violation_.empty())
      violation_ = violation + " at " + std::to_string(ToMillis(now_)) + " ms";
  }

  [[nodiscard]] SimulatedWorker::Hooks HooksOf(int index) {
    SimulatedWorker::Hooks hooks;
    hooks.on_started = [this, index](const jobs::RunName& run, TimePoint) {
      TaskRecord& task = tasks_[run.task];
      ++totals_.starts;
      totals_.late_starts += is_late_ ? 1 : 0;
      // A late start was ordered when no other run was known.
      const std::size_t max_others = speculative_ ? 1 : 0;
      if (task.running_on.size() > max_others && !is_late_)
        Report("more runs than allowed of " + run.task.Text());
      task.last_order = std::max(task.last_order, ordered_);
      if (task.acknowledged && ordered_ > *task.acknowledged)
        Report("start after the acknowledged end of " + run.task.Text());
      task.running_on.insert(index);
    };
    hooks.on_ended = [this, index](const jobs::RunName& run, jobs::RunEnd how,
                                   TimePoint at) {
      TaskRecord& task = tasks_[run.task];
      task.running_on.erase(index);
      ++totals_.ends;
      if (how == jobs::RunEnd::kDone)
        task.done[run.number] = at;
    };
    hooks.on_acknowledged = [this](const jobs::RunName& run, jobs::RunEnd how,
                                   TimePoint) {
      TaskRecord& task = tasks_[run.task];
      if (how != jobs::RunEnd::kDone)
        return;
      const TimePoint done = task.done.at(run.number);
      // The start of a copy may be ordered before the end is known.
      const TimePoint last = speculative_ ? now_ : done;
      task.acknowledged = std::min(task.acknowledged.value_or(last), last);
      if (task.last_order > last)
        Report("start before the late acknowledgement of " + run.task.Text());
    };
    return hooks;
  }

  // --- Faults ---

  void CauseFault() {
    if (Pick(150) == 0)
      Crash(static_cast<int>(Pick(kWorkers)), Pick(4) == 0);
    if (Pick(1'000) == 0)
      Drain(static_cast<int>(Pick(kWorkers)));
    if (Pick(400) == 0) {
      Node& node = *nodes_[Pick(kWorkers)];
      node.cut_until = now_ + PickMillis(500, 6'000);
    }
    if (Pick(800) == 0) {
      ++totals_.leaders;
      Lead();
    }
  }

  /// \brief The worker reports that it is draining, and leaves later.
  void Drain(int index) {
    Node& node = *nodes_[static_cast<std::size_t>(index)];
    if (!node.worker.up() || now_ < node.cut_until ||
        builder_.ledger().FindWorker(node.worker.incarnation()) == nullptr) {
      return;
    }
    ++totals_.departures;
    Join(index, true);
    After(kDrainTime, [this, index, life = node.lives] {
      Node& leaving = *nodes_[static_cast<std::size_t>(index)];
      if (leaving.lives != life || !leaving.worker.up())
        return;
      RecordDeparture(leaving.worker.incarnation());
      Crash(index, true);
    });
  }

  void RecordDeparture(const jobs::WorkerIncarnation& incarnation) {
    const jobs::Worker* worker = builder_.ledger().FindWorker(incarnation);
    if (worker == nullptr)
      return;
    jobs::Batch batch;
    batch.workers = {worker->record};
    batch.workers[0].departed = true;
    Store(batch);
  }

  /// \param replaced whether a worker with another id comes in its place, as
  /// after a move of the host or where its address passes to another one.
  void Crash(int index, bool replaced) {
    Node& node = *nodes_[static_cast<std::size_t>(index)];
    if (!node.worker.up())
      return;
    ++totals_.crashes;
    node.worker.Crash();
    for (auto& [task, record] : tasks_)
      record.running_on.erase(index);
    totals_.replacements += replaced ? 1 : 0;
    After(PickMillis(100, 600), [this, index, replaced, &node] {
      if (replaced) {
        const std::string id =
            "w" + std::to_string(index) + "." + std::to_string(++node.ids);
        node.worker.Replace({jobs::WorkerId(id), ToMillis(now_)}, now_);
      } else {
        node.worker.Restart(ToMillis(now_), now_);
      }
      ++node.lives;
      node.has_own_order = false;
      ReportSoon(index);
    });
  }

  /// \brief The worker's first report arrives once it is not cut off.
  void ReportSoon(int index) {
    After(PickMillis(10, 500), [this, index] {
      Node& node = *nodes_[static_cast<std::size_t>(index)];
      if (!node.worker.up())
        return;
      if (now_ < node.cut_until)
        ReportSoon(index);
      else
        Join(index);
    });
  }

  // --- The leader ---

  void Lead() {
    ++term_;
    sessions_.clear();
    leading_since_ = now_;
    Sync(RunPhase::kInherited);
  }

  void Join(int index, bool draining = false) {
    const Node& node = *nodes_[static_cast<std::size_t>(index)];
    const std::string host = "h" + std::to_string(index);
    jobs::WorkerRecord record;
    record.incarnation = node.worker.incarnation();
    // The address changes with some restarts, the host with none.
    record.address = host + ":" + std::to_string(node.lives / 2);
    record.host = HostName(host);
    record.draining = draining;
    record.pool = PoolName("p");
    record.capacity = {16'000, 32'000, 0};
    jobs::Batch batch;
    batch.workers.push_back(record);
    Store(batch);
  }

  void Store(const jobs::Batch& batch) {
    builder_.Apply(batch);
    Sync(RunPhase::kPlanned);
  }

  void Sync(RunPhase added) {
    const jobs::JobLedger& ledger = builder_.ledger();
    for (const auto& [incarnation, worker] : ledger.workers()) {
      const auto [session, is_new] = sessions_.try_emplace(
          incarnation, WorkerSessionOptions{}, leading_since_,
          SuccessionTime(worker, added, ToMillis(now_), now_));
      session->second.Sync(worker, added, now_);
      if (!is_new)
        continue;
      if (added == RunPhase::kInherited) {
        ExpectEarlierStarts(worker, &session->second);
      } else if (session != sessions_.begin() &&
                 std::prev(session)->first.id == incarnation.id) {
        session->second.Inherit(std::prev(session)->second);
      }
    }
    std::erase_if(sessions_, [&](const auto& item) {
      return ledger.FindWorker(item.first) == nullptr;
    });
  }

  void ExpectEarlierStarts(const jobs::Worker& worker, WorkerSession* session) {
    const WorkerSessionOptions options;
    for (const jobs::RunName& name : worker.runs) {
      for (const jobs::Run& run : builder_.ledger().FindTask(name.task)->runs) {
        if (run.confirmed)
          continue;
        session->OnEarlierStart(
            name, LatestPossibleTime(run.decided, ToMillis(now_), now_) +
                      options.order_timeout + options.start_retry_delay);
      }
    }
  }

  [[nodiscard]] int IndexOf(const jobs::WorkerIncarnation& incarnation) const {
    return std::stoi(incarnation.id.str().substr(1));
  }
  [[nodiscard]] static CallVerdict& VerdictOf(CallResponse& response) {
    return response.verdict;
  }
  [[nodiscard]] static CallVerdict& VerdictOf(HoldResponse& response) {
    return response.call.verdict;
  }
  [[nodiscard]] std::uint64_t TokenFor(const jobs::Worker& worker) const {
    return FencingToken(term_, worker.join_number);
  }

  /// \brief Sends an order: the worker carries it out at once, or late and
  /// without a response.
  /// \param execute returns the response.
  /// \param done gets nullptr if there is no response in time.
  template <typename Response>
  void Send(
      const jobs::WorkerIncarnation& to,
      Millis timeout,
      std::function<Response(SimulatedWorker&)> execute,
      std::function<void(WorkerSession&, const jobs::Worker&, const Response*)>
          done) {
    const int index = IndexOf(to);
    const auto respond = [this, to, term = term_,
                          done](const Response* response) {
      const auto session = sessions_.find(to);
      const jobs::Worker* worker = builder_.ledger().FindWorker(to);
      if (term == term_ && session != sessions_.end() && worker != nullptr)
        done(session->second, *worker, response);
    };
    const auto perform = [this, index, to, execute, ordered = now_](bool late) {
      Node& node = *nodes_[static_cast<std::size_t>(index)];
      if (to.id != node.worker.incarnation().id) {
        Response refusal;
        VerdictOf(refusal) = CallVerdict::kOtherWorker;
        return refusal;
      }
      is_late_ = late;
      ordered_ = ordered;
      node.has_own_order =
          node.has_own_order || to == node.worker.incarnation();
      return execute(node.worker);
    };
    const Node& node = *nodes_[static_cast<std::size_t>(index)];
    if (now_ < faults_end_ && Pick(100) < late_percent_) {
      After(PickMillis(2'000, 12'000), [this, index, to, perform] {
        const Node& reached = *nodes_[static_cast<std::size_t>(index)];
        if (reached.worker.up() &&
            (before_first_order_ || reached.has_own_order ||
             to == reached.worker.incarnation())) {
          (void)perform(true);
        }
      });
    } else if (node.worker.up() && now_ >= node.cut_until) {
      After(kRoundTrip, [this, index, perform, respond, timeout] {
        Node& reached = *nodes_[static_cast<std::size_t>(index)];
        if (!reached.worker.up()) {
          After(timeout, [respond] { respond(nullptr); });
          return;
        }
        const Response response = perform(false);
        respond(&response);
      });
      return;
    }
    After(timeout, [respond] { respond(nullptr); });
  }

  void SendStart(const jobs::Worker& worker, const jobs::RunName& run) {
    const jobs::WorkerIncarnation to = worker.record.incarnation;
    WorkerSession& session = sessions_.at(to);
    const auto lease = session.LeaseUntil();
    if (!lease)
      return;
    StartCall call;
    call.run = run;
    call.token = TokenFor(worker);
    call.lease_until_ms = *lease;
    session.OnGrant(*lease);
    session.OnStartSent(run, now_);
    const Millis duration = PickMillis(50, 3'000);
    Send<CallResponse>(
        to, WorkerSessionOptions{}.order_timeout,
        [this, call, duration](SimulatedWorker& reached) {
          return reached.Execute(call, duration, now_);
        },
        [this, run, to](WorkerSession& current, const jobs::Worker&,
                        const CallResponse* response) {
          if (response != nullptr &&
              response->verdict == CallVerdict::kOtherWorker) {
            RecordDeparture(to);
            return;
          }
          const auto how =
              current.OnStartResponse(run, ResultOf(response), now_);
          if (how)
            End({{run, to, *how, "", 0}});
          else
            Confirm(run, current);
        });
  }

  /// \brief Stores some of the runs whose start is settled as confirmed.
  void Confirm(const jobs::RunName& run, const WorkerSession& session) {
    if (!session.StartSettled(run) || Pick(4) == 0)
      return;
    jobs::Batch batch;
    batch.confirmed = {run};
    Store(batch);
  }

  void SendStop(const jobs::Worker& worker, const jobs::RunName& run) {
    const jobs::WorkerIncarnation to = worker.record.incarnation;
    if (WorkerSession& session = sessions_.at(to);
        session.tracks().count(run) > 0) {
      session.OnStopSent(run, now_);
    }
    const StopCall call{run, TokenFor(worker), Millis(0)};
    Send<CallResponse>(
        to, WorkerSessionOptions{}.order_timeout,
        [this, call](SimulatedWorker& reached) {
          return reached.Execute(call, now_);
        },
        [this, run](WorkerSession& current, const jobs::Worker&,
                    const CallResponse* response) {
          current.OnStopResponse(run, ResultOf(response), now_);
        });
  }

  void SendHold(const jobs::Worker& worker, WorkerSession* session) {
    const jobs::WorkerIncarnation to = worker.record.incarnation;
    HoldCall call = session->PrepareHold(worker, now_);
    call.token = TokenFor(worker);
    Send<HoldResponse>(
        to, call.timeout,
        [this, call, to](SimulatedWorker& reached) {
          return reached.Execute(call, to, now_);
        },
        [this](WorkerSession& current, const jobs::Worker& listed,
               const HoldResponse* response) {
          OnHold(&current, listed, response);
        });
  }

  void OnHold(WorkerSession* session,
              const jobs::Worker& worker,
              const HoldResponse* response) {
    if (response == nullptr || response->call.verdict != CallVerdict::kDone) {
      session->OnHoldFailed(now_);
      if (response != nullptr &&
          response->call.verdict == CallVerdict::kOtherWorker) {
        RecordDeparture(worker.record.incarnation);
        return;
      }
      if (response != nullptr &&
          response->call.verdict == CallVerdict::kOtherIncarnation) {
        session->OnOtherIncarnation(now_);
      }
      return;
    }
    totals_.missing +=
        static_cast<int>(session->FindMissingEnds(worker, *response).size());
    std::vector<jobs::RunName> unexpected_runs;
    const auto ends =
        session->OnHoldResponse(worker, *response, now_, &unexpected_runs);
    for (const jobs::RunName& run : unexpected_runs)
      SendStop(worker, run);
    End(ends);
  }

  [[nodiscard]] static Result<CallResponse> ResultOf(
      const CallResponse* response) {
    if (response == nullptr)
      return Fail(ErrorCode::kTimeout, "no response");
    return *response;
  }

  void End(const std::vector<jobs::EndRecord>& ends) {
    if (ends.empty())
      return;
    jobs::Batch batch;
    batch.ends = ends;
    Store(batch);
  }

  void CheckSessions() {
    std::vector<jobs::EndRecord> ends;
    for (auto& [incarnation, session] : sessions_) {
      const jobs::Worker& worker = *builder_.ledger().FindWorker(incarnation);
      for (const jobs::RunName& run : session.StopsDue(now_))
        SendStop(worker, run);
      for (const jobs::RunName& run : session.StartsDue(now_))
        SendStart(worker, run);
      if (session.HoldDue(now_))
        SendHold(worker, &session);
      for (jobs::EndRecord& end : session.ExpireLease(worker, now_))
        ends.push_back(std::move(end));
    }
    End(ends);
  }

  /// \brief Stops what is still running of finished tasks.
  void StopCopies() {
    const auto stops = PlanStops(
        builder_.ledger(), {},
        [](const jobs::RunName&, const jobs::WorkerIncarnation&) { return 0; },
        [](const jobs::RunName&, const jobs::WorkerIncarnation&) {
          return false;
        });
    for (const StopOrder& stop : stops)
      totals_.stops_of_copies +=
          sessions_.at(stop.worker).RequestStop(stop.run) ? 1 : 0;
  }

  /// \brief Starts a second run of a random task on another worker.
  void StartCopy() {
    if (Pick(10) > 0)
      return;
    const jobs::TaskName name =
        LedgerBuilder::Run("job", 0, static_cast<std::uint32_t>(Pick(kTasks)))
            .task;
    const jobs::Task* task = builder_.ledger().FindTask(name);
    if (task == nullptr || task->done || task->runs.size() != 1)
      return;
    for (const auto& [incarnation, session] : sessions_) {
      const jobs::Worker& worker = *builder_.ledger().FindWorker(incarnation);
      if (incarnation.id == task->runs.front().worker.id ||
          !session.Reachable(now_) || worker.runs.size() >= kMaxRuns) {
        continue;
      }
      const jobs::StartRecord start{{name, task->last_run + 1}, incarnation};
      jobs::Batch batch;
      batch.starts.push_back(start);
      Store(batch);
      ++totals_.copies;
      SendStart(*builder_.ledger().FindWorker(start.worker), start.run);
      return;
    }
  }

  void StartTasks() {
    jobs::Batch batch;
    const jobs::Job& job = builder_.job("job");
    if (job.final())
      return;
    std::map<jobs::WorkerIncarnation, std::size_t> load;
    for (std::uint32_t index = 0; index < kTasks; ++index) {
      const jobs::TaskName name = LedgerBuilder::Run("job", 0, index).task;
      const jobs::Task* task = builder_.ledger().FindTask(name);
      if (task == nullptr || task->done || !task->runs.empty())
        continue;
      for (const auto& [incarnation, session] : sessions_) {
        const jobs::Worker& worker = *builder_.ledger().FindWorker(incarnation);
        if (!session.Reachable(now_) ||
            worker.runs.size() + load[incarnation] >= kMaxRuns) {
          continue;
        }
        ++load[incarnation];
        batch.starts.push_back({{name, task->last_run + 1}, incarnation});
        break;
      }
    }
    if (batch.starts.empty())
      return;
    Store(batch);
    for (const jobs::StartRecord& start : batch.starts)
      SendStart(*builder_.ledger().FindWorker(start.worker), start.run);
  }

  std::mt19937_64 random_;
  bool before_first_order_;
  bool speculative_;
  Totals& totals_;
  std::uint64_t late_percent_ = 0;
  TimePoint now_ = FromMillis(1'000'000);
  TimePoint faults_end_ = now_ + kFaultsEnd;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<jobs::TaskName, TaskRecord> tasks_;
  bool is_late_ = false;  ///< the order that is being carried out
  TimePoint ordered_;     ///< when it was sent
  LedgerBuilder builder_;
  std::uint64_t term_ = 0;
  TimePoint leading_since_;
  std::map<jobs::WorkerIncarnation, WorkerSession> sessions_;
  std::string violation_;
};

// Guards against second runs of tasks on workers that start again under their
// ids, are cut off and carry out orders late, also for earlier lives.
BOOST_AUTO_TEST_CASE(NoTaskRunsTwiceAcrossTheLivesOfWorkers) {
  const std::uint64_t runs = FromEnvironment("BORAGEWINCH_RANDOM_RUNS", 40);
  const std::uint64_t first =
      FromEnvironment("BORAGEWINCH_RANDOM_SEED", 51'000);
  const bool before_first_order =
      FromEnvironment("BORAGEWINCH_LATE_BEFORE_FIRST_ORDER", 0) > 0;
  Totals totals;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    const std::string violation =
        RandomRun(seed, before_first_order, false, &totals).Execute();
    BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
  }
  std::cout << runs << " runs: " << totals.starts << " starts, "
            << totals.late_starts << " of them late, " << totals.crashes
            << " crashes, " << totals.replacements << " replacements, "
            << totals.departures << " departures, " << totals.leaders
            << " changes of the leader, " << totals.ends << " ends, "
            << totals.missing << " missing\n";
  BOOST_TEST(totals.late_starts > 0);
  BOOST_TEST(totals.crashes > 0);
}

// Guards against a third run, a run that goes on after the other one has ended,
// and a task that is never finished: tasks with copies, on the same workers.
BOOST_AUTO_TEST_CASE(ASpeculativeTaskRunsTwiceAtMost) {
  const std::uint64_t runs = FromEnvironment("BORAGEWINCH_RANDOM_RUNS", 40);
  const std::uint64_t first =
      FromEnvironment("BORAGEWINCH_RANDOM_SEED", 51'000);
  Totals totals;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    const std::string violation =
        RandomRun(seed, false, true, &totals).Execute();
    BOOST_TEST(violation.empty(), "seed " << seed << ": " << violation);
  }
  std::cout << runs << " runs: " << totals.starts << " starts, "
            << totals.copies << " copies, " << totals.stops_of_copies
            << " stops of them, " << totals.leaders
            << " changes of the leader\n";
  BOOST_TEST(totals.copies > 0);
  BOOST_TEST(totals.stops_of_copies > 0);
}

}  // namespace
}  // namespace boragewinch::scheduler
