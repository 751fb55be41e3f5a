#ifndef BORAGEWINCH_OVERLOAD_SPECULATION_H_
#define BORAGEWINCH_OVERLOAD_SPECULATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/enum_table.h"
#include "base/strong_id.h"
#include "base/time.h"
#include "jobs/job_ledger.h"

namespace boragewinch::overload {

/// \brief Whether slow runs of speculative steps get a second run.
enum class SpeculationMode { kOff, kOn };

inline constexpr EnumTable<SpeculationMode, 2> kSpeculationModes{{{
    {SpeculationMode::kOff, "off"},
    {SpeculationMode::kOn, "on"},
}}};

/// \brief A running task that might get a copy.
struct RunningTask {
  jobs::RunName run;  ///< its only run
  PoolName pool;
  Resources request;   ///< worker capacity of a copy
  Millis elapsed{0};   ///< since the start of its run was sent
  Millis expected{0};  ///< median duration of such a task; 0: unknown
  /// Standard deviation of the logarithm of the duration about `expected`.
  double spread = 0;
  /// The worker of the run fails or delays other tasks too, or does not
  /// respond.
  bool worker_suspect = false;
};

/// \returns whether a task may have a copy at all: its step is speculative and
/// neither a gang nor long-running nor best effort, whose speed depends on
/// other tasks; it has one run, which is its latest one, so that no run gets a
/// second copy; it has not failed; and a failure of the copy leaves it another
/// attempt.
/// \param max_attempts of the task; only failed runs count.
[[nodiscard]] bool MayHaveCopy(const jobs::StepSpec& spec,
                               const jobs::Task& task,
                               std::int64_t max_attempts);

/// \returns the probability that a copy which starts now ends before the run.
///
/// Load: 3% of the tasks take seven times as long as the others, and some
/// workers are slow by a factor of 3 to 7.5. Estimates of single tasks are off
/// as well, and a copy of a task that is merely longer than estimated takes as
/// long as its first run. So the time that has passed is compared with both
/// explanations: the durations of tasks have a log-normal distribution with the
/// given spread, and some runs take kSlowdown times as long as their task.
[[nodiscard]] double CopyEndsFirst(const RunningTask& task);

/// \returns the indexes of the tasks whose copies are expected to end before
/// their runs, those that save most time first.
[[nodiscard]] std::vector<std::size_t> TasksToCopy(
    const std::vector<RunningTask>& tasks);

/// \brief Limits the capacity that the copies in a pool use at a time to a
/// share of the pool's capacity, in each resource.
class CopyBudget {
 public:
  explicit CopyBudget(double max_share) : max_share_(max_share) {}

  void AddCapacity(const PoolName& pool, const Resources& capacity);
  /// \brief Counts copies that are running or have been decided.
  void AddCopy(const PoolName& pool, const Resources& request);
  /// \returns whether one more copy is within the share.
  [[nodiscard]] bool Allows(const PoolName& pool,
                            const Resources& request) const;

 private:
  struct Pool {
    Resources capacity;
    Resources used;
  };

  double max_share_;
  std::map<PoolName, Pool> pools_;
};

}  // namespace boragewinch::overload

#endif  // BORAGEWINCH_OVERLOAD_SPECULATION_H_
