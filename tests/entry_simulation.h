#ifndef BORAGEWINCH_TESTS_ENTRY_SIMULATION_H_
#define BORAGEWINCH_TESTS_ENTRY_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/secret.h"
#include "entry/entry_core.h"

namespace boragewinch::testing {

/// \brief Simulated worker with 8 slots. It runs each task id at most once,
/// never runs forbidden or refused tasks, stops tasks whose lease has expired
/// and keeps results until they are acknowledged.
struct FakeWorker {
  struct Task {
    TaskState state = TaskState::kRunning;
    TeamName team;
    TimePoint end_at;
    TimePoint lease_until;
    std::string body;
    std::string progress;  ///< passed in the start
  };
  HostName host;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  bool leaving = false;
  bool drain = false;
  bool checkpoint = true;  ///< supports checkpoints
  PoolName pool{"pool"};
  FleetVersion assignment = 1;
  std::map<TaskId, Task> tasks;
  std::set<TaskId> forbidden;
  std::set<TaskId> done;  ///< ended and acknowledged

  [[nodiscard]] std::int64_t running() const;
  [[nodiscard]] WorkerReport Report();
};

/// \brief The allotments as the control leader's ledger keeps them.
struct FakeLedger {
  struct Share {
    std::map<TeamName, std::int64_t> offered;
    std::map<TeamName, std::int64_t> counted;  ///< what it may still run
    std::uint64_t version = 1;
    ControlReport report;
    TimePoint last_report_at;
  };
  std::map<TeamName, std::int64_t> limit;
  std::map<Incarnation, Share> shares;

  [[nodiscard]] std::int64_t Sum(const TeamName& team) const;
  void Report(const Incarnation& incarnation, const ControlReport& report);
  void Reclaim(const EntryName& entry, const Incarnation& incarnation);
};

struct Link {
  int drop_percent = 0;
  int duplicate_percent = 0;
  int corrupt_percent = 0;
  std::int64_t max_delay_ms = 1;
};

/// \brief Deterministic simulation of one zone: entry cores, workers, the
/// ledger and a message queue that loses, delays, duplicates and reorders.
/// Checks invariants I3 to I7 from outside.
class EntrySimulation {
 public:
  EntrySimulation(int entries,
                  int workers,
                  std::uint64_t seed,
                  EntryConfig base = {});

  // Hooks and events refer to this object.
  EntrySimulation(const EntrySimulation&) = delete;
  EntrySimulation& operator=(const EntrySimulation&) = delete;

  void Run(Millis time);
  void Crash(int entry);
  /// \brief Suspends the entry host: delays all its input by `time`.
  void Freeze(int entry, Millis time) { frozen_until[entry] = now + time; }
  void CrashWorker(int worker);
  /// \brief Begins or ends the drain of a worker's host in the fleet state.
  void Drain(int worker, bool drain);
  [[nodiscard]] JobSpec Job(bool repeatable) const;
  [[nodiscard]] CallId Submit(int entry,
                              JobSpec spec,
                              RequestId ticket = {},
                              std::string key = "k1.secret");
  [[nodiscard]] CallId Ask(int entry,
                           CallKind kind,
                           const RequestId& request,
                           std::string key = "k1.secret");
  [[nodiscard]] const JobAnswer* answer(CallId call) const;
  [[nodiscard]] bool Chance(int percent) {
    return static_cast<int>(random() % 100) < percent;
  }
  void Apply(int entry);
  /// \returns whether entry and other can exchange messages; -1 is control.
  [[nodiscard]] bool Connected(int entry, int other) const {
    return !cut.contains({entry, other}) && !cut.contains({other, entry});
  }

  TimePoint now = FromMillis(1'000'000);
  std::mt19937_64 random;
  Link link;
  FleetView view;
  FakeLedger ledger;
  std::vector<EntryName> names;
  std::vector<Incarnation> incarnations;
  std::vector<std::unique_ptr<EntryCore>> cores;
  std::vector<TimePoint> frozen_until;
  std::vector<FakeWorker> workers;
  std::set<std::pair<int, int>> cut;
  std::set<Incarnation> lost;  ///< declared lost, until they report again
  std::map<KeyId, TimePoint> withdrawn;  ///< in the control log since then
  std::function<bool(const EntryAction&, int entry)> intercept;
  std::map<RequestId, int> executions;
  std::vector<std::string> violations;  ///< violated invariants
  /// Whether to check that no client_request_id runs twice. Only two processes
  /// keep it in memory, so crashes can lose it.
  bool check_client_ids = false;
  int reclaimed = 0;
  Millis run_time{500};

 private:
  struct Event {
    int entry;  ///< delayed while it is frozen; -1 for none
    Incarnation incarnation;
    std::function<void()> run;
  };
  void Post(Millis delay, int entry, std::function<void()> run);
  /// \brief Sends a message over the link, which may lose, delay or duplicate
  /// it.
  void Send(int entry, const std::function<void()>& run);
  void Boot(int entry);
  void DeliverStart(int entry, const StartTask& start);
  [[nodiscard]] StartResponse Execute(FakeWorker& worker,
                                      const StartTask& start);
  void StepWorker(FakeWorker& worker);
  void SendReport(FakeWorker& worker, int entry);
  void PostResult(const FakeWorker& worker, const TaskId& task);
  void Checkpoint(int entry, const CheckpointTask& action);
  void Sync(int entry);
  /// \brief Reclaims the allotments of entry hosts from which neither the
  /// ledger nor any peer receives messages (docs/design.md 4.3, rule 2).
  void ReclaimUnresponsive();
  void CheckAnswer(const AnswerCaller& action);
  [[nodiscard]] FakeWorker* Worker(const HostName& host);
  [[nodiscard]] Millis Delay() {
    return Millis(
        1 + static_cast<std::int64_t>(
                random() % static_cast<std::uint64_t>(link.max_delay_ms)));
  }

  EntryConfig base_;
  std::multimap<TimePoint, Event> events_;
  CallId next_call_ = 1;
  int next_incarnation_ = 1;
  std::map<CallId, RequestId> call_request_;
  struct Call {
    CallKind kind;
    KeyId key;
    TimePoint at;
  };
  std::map<CallId, Call> calls_;
  std::set<CallId> not_new_keyed_work_;
  std::set<RequestId> tickets_;
  std::map<CallId, JobAnswer> answers_;
  std::set<RequestId> not_run_;
  std::map<std::pair<TeamName, std::string>, RequestId> client_ids_;
  TimePoint next_second_;
};

}  // namespace boragewinch::testing

#include "entry_simulation_impl.h"

#endif  // BORAGEWINCH_TESTS_ENTRY_SIMULATION_H_
