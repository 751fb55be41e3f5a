#include "scheduler/advice_cache.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace boragewinch::scheduler {

namespace {

[[nodiscard]] jobs::TaskName StepOf(jobs::TaskName task) {
  task.index = 0;
  return task;
}

/// How useful the answer for a worker is expected to be, best first.
enum class Prospect {
  kHadTicket,  ///< the service does not change its decision about a worker
  kUnknown,
  kRejected,
};

}  // namespace

std::vector<AdviceCache::WaitingStep> AdviceCache::WaitingSteps(
    const jobs::JobLedger& ledger) const {
  std::vector<WaitingStep> steps;
  const auto& queues = ledger.config().queues;
  if (ledger.retired_queues().empty() &&
      std::none_of(
          queues.begin(), queues.end(),
          [](const jobs::QueueConfig& queue) { return queue.advised; }))
    return steps;
  for (const jobs::Job* job : ledger.startable()) {
    const jobs::QueueConfig* queue = ledger.QueueOf(*job);
    if (queue == nullptr || !queue->advised)
      continue;
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        if (occurrence.steps[s].waiting() > 0 &&
            job->StepReady(occurrence, s)) {
          // With a temporary, GCC 12 reports a false -Wmaybe-uninitialized.
          WaitingStep& step = steps.emplace_back();
          step.name = {job->id, number, s, 0};
          step.spec = &job->spec->steps[s];
          step.workers = &ledger.WorkersOf(queue->pool);
        }
      }
    }
  }
  return steps;
}

std::vector<jobs::WorkerIncarnation> AdviceCache::WorkersToAsk(
    const WaitingStep& step,
    const MayStart& may_start,
    Entry* entry,
    TimePoint now) const {
  struct Candidate {
    Prospect prospect = Prospect::kUnknown;
    bool full = false;
    const jobs::WorkerIncarnation* worker = nullptr;
  };
  const Resources required = jobs::JobLedger::CapacityOf(*step.spec);
  std::vector<Candidate> candidates;
  bool has_place = false;
  bool may_find_place = false;
  for (const jobs::Worker* worker : *step.workers) {
    const jobs::WorkerIncarnation& incarnation = worker->record.incarnation;
    if (worker->record.draining ||
        !worker->record.HasLabel(step.spec->required_label) ||
        !may_start(incarnation)) {
      continue;
    }
    Resources free = worker->record.capacity;
    free -= worker->used;
    const bool full = !required.FitsInto(free);
    const auto verdict = entry->verdicts.find(incarnation);
    const bool known = verdict != entry->verdicts.end();
    const bool had_ticket = known && verdict->second.ticket;
    if (known && now < verdict->second.valid_until - options_.renewal_margin) {
      has_place = has_place || (had_ticket && !full);
      continue;
    }
    may_find_place = may_find_place || !full;
    candidates.push_back({had_ticket ? Prospect::kHadTicket
                          : known    ? Prospect::kRejected
                                     : Prospect::kUnknown,
                          full, &incarnation});
  }
  if (entry->answered_at && now < *entry->answered_at + options_.patience &&
      (has_place || !may_find_place)) {
    entry->retry_at = now + options_.retry_delay;
    return {};
  }
  if (candidates.empty())
    entry->retry_at = now + options_.patience;
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return std::tie(a.prospect, a.full) <
                            std::tie(b.prospect, b.full);
                   });
  candidates.resize(std::min(candidates.size(), options_.max_workers));
  std::vector<jobs::WorkerIncarnation> workers;
  workers.reserve(candidates.size());
  for (const Candidate& candidate : candidates)
    workers.push_back(*candidate.worker);
  return workers;
}

std::vector<AdviceCache::Request> AdviceCache::Decide(
    const jobs::JobLedger& ledger,
    const MayStart& may_start,
    TimePoint now) {
  std::vector<Request> requests;
  std::erase_if(entries_, [&](const auto& item) {
    return !item.second.in_flight && ledger.FindTask(item.first) == nullptr;
  });
  const std::vector<WaitingStep> steps = WaitingSteps(ledger);
  for (const bool first_requests : {true, false}) {
    for (const WaitingStep& step : steps) {
      if (in_flight_ >= options_.max_in_flight)
        return requests;
      Entry& entry = entries_[step.name];
      if (entry.in_flight || now < entry.retry_at ||
          entry.answered_at.has_value() == first_requests) {
        continue;
      }
      entry.asked = WorkersToAsk(step, may_start, &entry, now);
      if (entry.asked.empty())
        continue;
      entry.in_flight = true;
      ++in_flight_;
      Request& request = requests.emplace_back(Request{step.name, {}});
      for (const jobs::WorkerIncarnation& worker : entry.asked)
        request.workers.push_back(worker.id);
    }
  }
  return requests;
}

void AdviceCache::OnResponse(const jobs::TaskName& step,
                             const Result<Advice>& advice,
                             TimePoint now) {
  const auto found = entries_.find(step);
  if (found == entries_.end() || !found->second.in_flight)
    return;
  Entry& entry = found->second;
  entry.in_flight = false;
  --in_flight_;
  entry.retry_at = now + options_.retry_delay;
  if (!advice)
    return;
  entry.answered_at = now;
  for (const jobs::WorkerIncarnation& worker : entry.asked) {
    Verdict& verdict = entry.verdicts[worker];
    verdict = {std::nullopt, now + advice.value().valid};
    const auto& tickets = advice.value().tickets;
    if (const auto ticket = tickets.find(worker.id); ticket != tickets.end())
      verdict.ticket = ticket->second;
  }
}

std::optional<std::string> AdviceCache::TicketFor(
    const jobs::TaskName& task,
    const jobs::WorkerIncarnation& worker,
    TimePoint now) const {
  const auto entry = entries_.find(StepOf(task));
  if (entry == entries_.end())
    return std::nullopt;
  const auto verdict = entry->second.verdicts.find(worker);
  if (verdict == entry->second.verdicts.end() ||
      now >= verdict->second.valid_until - options_.renewal_margin / 2) {
    return std::nullopt;
  }
  return verdict->second.ticket;
}

}  // namespace boragewinch::scheduler
