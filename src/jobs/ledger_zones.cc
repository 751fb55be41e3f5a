#include <algorithm>
#include <tuple>

#include "jobs/job_ledger.h"

namespace boragewinch::jobs {

bool JobLedger::IsEvacuated(const ZoneName& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.evacuated;
}

bool JobLedger::IsReturned(const ZoneName& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && !found->second.evacuated;
}

bool JobLedger::CanEvacuate(const ZoneName& zone) const {
  return zones_.size() < kMaxZones || zones_.count(zone) > 0 ||
         std::any_of(zones_.begin(), zones_.end(),
                     [](const auto& item) { return !item.second.evacuated; });
}

void JobLedger::ApplyZoneChange(const ZoneChange& change, UnixMillis now) {
  std::erase_if(zones_, [now](const auto& item) {
    return !item.second.evacuated &&
           now - item.second.changed > kReturnedZoneMemory.count();
  });
  if (const auto found = zones_.find(change.zone); found != zones_.end()) {
    if (found->second.evacuated != change.evacuated)
      found->second = {change.evacuated, now};
    return;
  }
  if (!change.evacuated || !CanEvacuate(change.zone))
    return;
  if (zones_.size() >= kMaxZones) {
    // CanEvacuate is true, so one of them has been returned to use.
    zones_.erase(std::min_element(
        zones_.begin(), zones_.end(), [](const auto& a, const auto& b) {
          return std::tie(a.second.evacuated, a.second.changed) <
                 std::tie(b.second.evacuated, b.second.changed);
        }));
  }
  zones_[change.zone] = {true, now};
}

void JobLedger::ApplyStarts(const std::vector<StartRecord>& starts,
                            UnixMillis now) {
  const auto is_withheld = [this](const StartRecord& start) {
    const Worker* worker = FindWorker(start.worker);
    return worker != nullptr && IsEvacuated(worker->record.zone);
  };
  std::set<std::tuple<JobId, std::uint32_t, std::uint32_t>> withheld_gangs;
  const auto step_of = [](const StartRecord& start) {
    const TaskName& task = start.run.task;
    return std::tuple(task.job, task.occurrence, task.step);
  };
  const auto in_gang = [this](const StartRecord& start) {
    const Job* job = FindJob(start.run.task.job);
    return job != nullptr && job->spec &&
           start.run.task.step < job->spec->steps.size() &&
           job->spec->steps[start.run.task.step].gang;
  };
  for (const StartRecord& start : starts) {
    if (!zones_.empty() && is_withheld(start) && in_gang(start))
      withheld_gangs.insert(step_of(start));
  }
  for (const StartRecord& start : starts) {
    if (zones_.empty() ||
        (!is_withheld(start) && withheld_gangs.count(step_of(start)) == 0)) {
      ApplyStart(start, now);
    }
  }
}

}  // namespace boragewinch::jobs
