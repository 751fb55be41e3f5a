#include "scheduler/leader_load.h"

namespace boragewinch::scheduler {

void LeaderLoad::Begin(TimePoint now, Millis idle) {
  since_ = now;
  idle_at_begin_ = idle;
  report_ = {};
}

void LeaderLoad::OnStored(const jobs::Batch& batch) {
  ++report_.batches;
  report_.starts += batch.starts.size();
  report_.ends += batch.ends.size();
  report_.jobs += batch.submissions.size();
  report_.worker_records += batch.workers.size();
}

std::optional<LoadReport> LeaderLoad::Take(TimePoint now,
                                           Millis idle,
                                           Millis interval) {
  if (now - since_ < interval)
    return std::nullopt;
  LoadReport report = report_;
  report.time = now - since_;
  report.busy = report.time - (idle - idle_at_begin_);
  Begin(now, idle);
  return report;
}

}  // namespace boragewinch::scheduler
