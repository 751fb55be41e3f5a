#ifndef BORAGEWINCH_JOBS_RUN_TABLES_H_
#define BORAGEWINCH_JOBS_RUN_TABLES_H_

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/wire.h"
#include "jobs/job_types.h"

namespace boragewinch::jobs {

/// Longest job or worker id in a log entry or message.
inline constexpr std::size_t kMaxWireNameBytes = 4'096;
/// Most rows of one list in a log entry or message.
inline constexpr std::size_t kMaxWireRows = 1'000'000;

/// \brief Writes runs with their job ids in a table, since most runs of a
/// message share a few jobs. The ids must outlive the writer.
class JobTableWriter {
 public:
  void Write(const RunName& run, WireWriter* out) {
    const auto [it, added] =
        indexes_.try_emplace(run.task.job.str(), indexes_.size());
    if (added)
      jobs_.Text(run.task.job.str());
    out->Number(it->second);
    out->Number(run.task.occurrence);
    out->Number(run.task.step);
    out->Number(run.task.index);
    out->Number(run.number);
  }
  /// \brief Writes the table, which precedes the rows.
  void WriteTo(WireWriter* out) const {
    out->Number(indexes_.size());
    out->Append(jobs_);
  }

 private:
  std::unordered_map<std::string_view, std::size_t> indexes_;
  WireWriter jobs_;
};

/// \brief Reads what JobTableWriter wrote.
class JobTable {
 public:
  explicit JobTable(WireReader* in) : in_(*in) {
    for (std::size_t left = in_.Count(kMaxWireRows); left > 0; --left)
      jobs_.emplace_back(std::string(in_.Text(kMaxWireNameBytes)));
  }
  [[nodiscard]] RunName Read() {
    RunName run;
    const std::uint64_t job = in_.Number();
    run.task.occurrence = in_.Number32();
    run.task.step = in_.Number32();
    run.task.index = in_.Number32();
    run.number = in_.Number32();
    if (job < jobs_.size())
      run.task.job = jobs_[job];
    else
      in_.SetError("job index of a run out of range");
    return run;
  }

 private:
  WireReader& in_;
  std::vector<JobId> jobs_;
};

}  // namespace boragewinch::jobs

#endif  // BORAGEWINCH_JOBS_RUN_TABLES_H_
