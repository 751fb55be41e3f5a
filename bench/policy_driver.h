#ifndef BORAGEWINCH_BENCH_POLICY_DRIVER_H_
#define BORAGEWINCH_BENCH_POLICY_DRIVER_H_

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/policy_run.h"
#include "policy/job_queue.h"
#include "policy/placement.h"

namespace boragewinch::bench {

/// \brief Discrete-event simulation that replays one trace against the
/// decisions of src/policy, without a network.
class Driver {
 public:
  Driver(const Trace& trace, const PolicyParams& params);
  [[nodiscard]] RunFigures Run();

 private:
  enum class EventKind {
    kEnd,
    kFail,
    kRecovered,
    kRebooted,
    kMoved,
    kPreempted
  };
  struct Event {
    TimePoint at;
    std::uint64_t order;
    EventKind kind;
    std::size_t index;  // of a task or host
    std::uint64_t tag;  // run of the task or incident of the host
  };
  struct OccursLater {
    bool operator()(const Event& a, const Event& b) const noexcept {
      return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
  };
  struct JobState {
    PendingJob pending;
    std::size_t attempts = 0;
    bool started = false;
    bool done = false;
    // Valid while the job is running:
    bool running = false;
    std::size_t host = 0;
    std::uint64_t run = 0;
    TimePoint start;
    std::size_t preempted_for = kNone;  // urgent job that takes the slot
    std::size_t victim = kNone;         // task being preempted for this job
    std::array<std::int64_t, kUrgentWaits.entries.size()> ticks{};
  };
  struct HostState {
    HostName name;
    std::int64_t slots = 8;
    bool up = true;
    bool known_lost = false;
    std::uint64_t incident = 0;
    TimePoint lost_at;
    TimePoint drain_start;
    TimePoint bad_until;
    std::size_t private_pool = kNone;  // pool that an idle private spare serves
    std::set<std::size_t> tasks;
    Resources used;  // actual usage of its tasks
    bool moving = false;
    bool lost_in_roll_out = false;
  };
  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  // policy_driver.cc
  void Schedule(TimePoint at,
                EventKind kind,
                std::size_t index,
                std::uint64_t tag);
  void Arrive(std::size_t job);
  void Enqueue(std::size_t job);
  void Handle(const Event& event);
  void Apply(const Incident& incident);
  void Dispatch();
  [[nodiscard]] bool Startable(const PendingJob& job);
  void Start(std::size_t job, std::size_t host);
  void End(std::size_t job, bool finished);
  void Restart(std::size_t job, bool failed);
  void Cancel(double fraction);
  void ServeUrgent();
  void CountWait(std::size_t job, UrgentWait reason);
  void TraceLate(std::size_t job, double wait) const;
  [[nodiscard]] std::optional<PendingJob> NextStatic(std::size_t pool);
  void RetryPool(const PoolName& pool);
  [[nodiscard]] std::int64_t PoolSlots(std::size_t pool) const;

  // policy_hosts.cc
  void AddHosts();
  void AddHost(std::size_t index,
               const PoolName& pool,
               const ZoneName& zone,
               const RackName& rack,
               std::size_t private_pool);
  void Refresh(std::size_t host);
  void Lose(std::size_t host, Millis length);
  void DetectLosses();
  void Maintain();
  [[nodiscard]] Millis ExpectedDrain(const HostState& host) const;
  void AdvanceDrains();
  void MoveHost(std::size_t host, const PoolName& to);
  void FillFromSpares(const WavePlan& plan);
  void UsePrivateSpares();
  void TraceHost(const char* step, std::size_t host) const;
  void Measure();
  void MeasureShares();
  [[nodiscard]] std::int64_t WallSeconds() const;
  [[nodiscard]] std::int64_t Available(const PoolName& pool) const;

  const Trace& trace_;
  const PolicyParams& params_;
  TimePoint now_;
  std::priority_queue<Event, std::vector<Event>, OccursLater> events_;
  std::uint64_t next_order_ = 0;
  std::uint64_t next_run_ = 0;
  std::vector<JobState> jobs_;
  std::vector<HostState> hosts_;
  std::unordered_map<HostName, std::size_t> host_index_;
  std::unordered_map<TeamName, std::size_t> team_index_;
  std::unordered_map<PoolName, std::size_t> pool_index_;
  FleetView fleet_;
  std::set<HostName> lost_;
  JobQueue queue_;
  Placement placement_;
  Estimator estimator_;
  WorkerHealth health_;
  std::vector<std::int64_t> team_running_;
  std::vector<std::vector<std::int64_t>> running_;  // by pool and team
  std::vector<std::vector<std::int64_t>> waiting_;
  std::vector<std::vector<std::set<std::pair<TimePoint, std::size_t>>>>
      fcfs_queues_;
  // Pools in which a start may have become possible since the last scan of the
  // first-come-first-served queues. Avoids repeating that linear scan.
  std::vector<bool> retry_;
  std::vector<double> end_rate_;  // tasks that end per second, by pool
  HostName chosen_;
  RunFigures figures_;
  double lost_work_ms_ = 0;
  double all_work_ms_ = 0;
  double idle_slot_ticks_ = 0;
  double all_slot_ticks_ = 0;
  std::vector<TimePoint> below_since_;
  std::optional<TimePoint> roll_out_end_;
  // End of the roll-out without the hosts lost during it.
  std::optional<TimePoint> roll_out_end_without_lost_;
  // Slots summed over the current window, by team: in use and fair share.
  std::vector<double> used_slots_;
  std::vector<double> fair_slots_;
  double full_capacity_ = 0;
  std::vector<double> distances_;
};

}  // namespace boragewinch::bench

#endif  // BORAGEWINCH_BENCH_POLICY_DRIVER_H_
