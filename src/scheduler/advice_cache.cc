#include "scheduler/advice_cache.h"

#include <algorithm>
#include <utility>

namespace boragewinch::scheduler {

namespace {

[[nodiscard]] jobs::TaskName StepOf(jobs::TaskName task) {
  task.index = 0;
  return task;
}

}  // namespace

std::vector<AdviceCache::Request> AdviceCache::Decide(
    const jobs::JobLedger& ledger,
    const std::function<bool(const jobs::WorkerIncarnation&)>& may_start,
    TimePoint now) {
  std::vector<Request> requests;
  std::erase_if(entries_, [&](const auto& item) {
    return !item.second.in_flight && ledger.FindTask(item.first) == nullptr;
  });
  const auto& queues = ledger.config().queues;
  if (ledger.retired_queues().empty() &&
      std::none_of(
          queues.begin(), queues.end(),
          [](const jobs::QueueConfig& queue) { return queue.advised; }))
    return requests;
  for (const jobs::Job* job : ledger.startable()) {
    const jobs::QueueConfig* queue = ledger.QueueOf(*job);
    if (queue == nullptr || !queue->advised)
      continue;
    for (const auto& [number, occurrence] : job->occurrences) {
      for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        if (in_flight_ >= options_.max_in_flight)
          return requests;
        if (occurrence.steps[s].waiting() == 0 ||
            !job->StepReady(occurrence, s)) {
          continue;
        }
        const jobs::TaskName step{job->id, number, s, 0};
        Entry& entry = entries_[step];
        if (entry.in_flight || now < entry.retry_at ||
            now < entry.valid_until - options_.renewal_margin) {
          continue;
        }
        Request request{step, {}};
        for (const jobs::Worker* worker : ledger.WorkersOf(queue->pool)) {
          if (request.workers.size() >= options_.max_workers)
            break;
          const jobs::WorkerIncarnation& incarnation =
              worker->record.incarnation;
          if (!worker->record.draining && may_start(incarnation))
            request.workers.push_back(incarnation.id);
        }
        if (request.workers.empty())
          continue;
        entry.in_flight = true;
        ++in_flight_;
        requests.push_back(std::move(request));
      }
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
  entry.tickets = advice.value().tickets;
  entry.valid_until = now + advice.value().valid;
}

std::optional<std::string> AdviceCache::TicketFor(const jobs::TaskName& task,
                                                  const jobs::WorkerId& worker,
                                                  TimePoint now) const {
  const auto entry = entries_.find(StepOf(task));
  if (entry == entries_.end() ||
      now >= entry->second.valid_until - options_.renewal_margin / 2) {
    return std::nullopt;
  }
  const auto ticket = entry->second.tickets.find(worker);
  if (ticket == entry->second.tickets.end())
    return std::nullopt;
  return ticket->second;
}

}  // namespace boragewinch::scheduler
