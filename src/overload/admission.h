#ifndef BORAGEWINCH_OVERLOAD_ADMISSION_H_
#define BORAGEWINCH_OVERLOAD_ADMISSION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "base/enum_table.h"
#include "base/strong_id.h"
#include "base/time.h"

namespace boragewinch::overload {

/// \brief Waiting tasks of one priority of a pool, of steps that can start and
/// of later ones.
struct WaitingTasks {
  std::int64_t on_time = 0;  ///< of jobs that can meet their objective
  std::int64_t late = 0;
};

/// \brief What a plan has left waiting in a pool and what it has started.
struct PoolBacklog {
  std::map<std::int64_t, WaitingTasks> by_priority;
  std::int64_t starts = 0;
  /// Whether tasks that could run on its workers wait for more capacity than is
  /// free, or the plan has reached its number of starts.
  bool saturated = false;
};

/// \brief A submitted job, as far as admission considers it.
struct Arrival {
  PoolName pool;
  CustomerName customer;  ///< empty on a queue that is open to all
  std::int64_t priority = 0;
  std::int64_t tasks = 0;
  Millis path{0};     ///< expected duration of its critical path
  Millis allowed{0};  ///< time until its objective
};

enum class AdmissionVerdict {
  kAccept,      ///< it can meet its objective
  kAcceptLate,  ///< it will be late, but in time to be of use
  kOverShare,   ///< rejected: it would probably be of no use any more, and its
                ///< customer demands far more than its share
  kTooLate,     ///< rejected: it would certainly be of no use any more
};

inline constexpr EnumTable<AdmissionVerdict, 4> kAdmissionVerdicts{{{
    {AdmissionVerdict::kAccept, "accept"},
    {AdmissionVerdict::kAcceptLate, "accept_late"},
    {AdmissionVerdict::kOverShare, "over_share"},
    {AdmissionVerdict::kTooLate, "too_late"},
}}};

/// \brief The decision on one arrival, with the figures behind it.
struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kAccept;
  /// Whether the pool is saturated and its rate of starts is known; otherwise
  /// every job is accepted.
  bool measured = false;
  Millis wait{0};         ///< expected time until its first start
  Millis retry_after{0};  ///< if rejected

  [[nodiscard]] bool rejected() const noexcept {
    return verdict == AdmissionVerdict::kOverShare ||
           verdict == AdmissionVerdict::kTooLate;
  }
};

/// \brief Decides which submissions are rejected at once, and when their
/// callers should come back.
///
/// Load: for some seconds a queue asks for several times what its pool or the
/// leader can start. Waiting tasks divided by the rate of starts tell how long
/// a job would wait, whatever limits the starts. A job that can meet its
/// objective behind the tasks that start before it is accepted. One that would
/// be late is accepted as long as it ends within three times its objective.
/// What is accepted runs, so nothing is taken from one caller for another
/// later.
class Admission {
 public:
  /// \brief Takes over the result of a plan.
  /// \param over_share customers that demand far more than their fair share.
  void OnPlan(std::map<PoolName, PoolBacklog> backlogs,
              std::set<CustomerName> over_share,
              TimePoint now);

  /// \returns the decision; changes nothing.
  [[nodiscard]] AdmissionDecision Decide(const Arrival& arrival,
                                         TimePoint now) const;

  /// \brief Counts an accepted job until the next plan.
  void OnAccepted(const Arrival& arrival, AdmissionVerdict verdict);

 private:
  struct StartSample {
    TimePoint at;
    std::int64_t starts = 0;
  };
  struct Pool {
    PoolBacklog backlog;
    std::deque<StartSample> samples;  ///< since it has become saturated
  };

  /// \returns starts per second; nothing unless the pool has been saturated for
  /// some time.
  [[nodiscard]] static std::optional<double> StartRate(const Pool& pool,
                                                       TimePoint now);

  std::map<PoolName, Pool> pools_;
  std::set<CustomerName> over_share_;
};

}  // namespace boragewinch::overload

#endif  // BORAGEWINCH_OVERLOAD_ADMISSION_H_
