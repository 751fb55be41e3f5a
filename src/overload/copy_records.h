#ifndef BORAGEWINCH_OVERLOAD_COPY_RECORDS_H_
#define BORAGEWINCH_OVERLOAD_COPY_RECORDS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/enum_table.h"
#include "base/time.h"
#include "jobs/job_types.h"

namespace boragewinch::overload {

/// \brief Which of two runs of a task counts.
enum class FirstRun { kCopy, kOriginal, kNone };

inline constexpr EnumTable<FirstRun, 3> kFirstRuns{{{
    {FirstRun::kCopy, "copy"},
    {FirstRun::kOriginal, "original"},
    {FirstRun::kNone, "none"},
}}};

/// \brief Result of a copy, once both runs have ended.
struct CopyOutcome {
  FirstRun first = FirstRun::kNone;
  /// Processor time of the copy, or of the run that it was to replace if the
  /// copy counts, in core-milliseconds. A run that failed or was lost before
  /// the other one had ended was not wasted by the copy.
  std::uint64_t wasted_core_millis = 0;
};

/// \brief Records the copies in flight, for metrics and log events only.
///
/// Load: at most some 5% of 1,500 runs are copies.
class CopyRecords {
 public:
  /// \param original the number of the run that is copied.
  /// \param cpu_millis requested by each of the two runs.
  void OnCopy(const jobs::RunName& copy,
              std::uint32_t original,
              std::int64_t cpu_millis);

  /// \brief Records a stored end. Further ends of the same run are ignored: an
  /// end is submitted again until it is stored, also in one batch.
  /// \param ran since the start of the run.
  /// \returns the outcome with the end of the second run.
  [[nodiscard]] std::optional<CopyOutcome> OnEnd(const jobs::RunName& run,
                                                 jobs::RunEnd how,
                                                 Millis ran);

  /// \brief Forgets the tasks for which `is_known` returns false: those whose
  /// runs were removed with their workers.
  void Retain(const std::function<bool(const jobs::TaskName&)>& is_known);

  [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

 private:
  struct Record {
    std::uint32_t original = 0;
    std::uint32_t copy = 0;
    std::int64_t cpu_millis = 0;
    bool original_ended = false;
    bool copy_ended = false;
    CopyOutcome outcome;
  };
  std::map<jobs::TaskName, Record> records_;
};

}  // namespace boragewinch::overload

#endif  // BORAGEWINCH_OVERLOAD_COPY_RECORDS_H_
