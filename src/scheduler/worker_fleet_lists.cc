// Lists that are requested beside the regular holds.

#include <utility>

#include "base/event_log.h"
#include "scheduler/worker_fleet.h"

namespace boragewinch::scheduler {

std::vector<jobs::EndRecord> WorkerFleet::NewEndsOf(const jobs::Worker& worker,
                                                    const HoldResponse& list) {
  std::vector<jobs::EndRecord> ends;
  for (const EndedRow& row : list.ended) {
    if (row.end_sequence > worker.last_end_sequence) {
      ends.push_back({row.run, worker.record.incarnation, row.how,
                      row.checkpoint, row.end_sequence});
    }
  }
  return ends;
}

void WorkerFleet::RequestList(
    const jobs::WorkerIncarnation& incarnation,
    std::function<void(const Result<bool>& responds)> done) {
  const jobs::Worker* worker = replica_.ledger().FindWorker(incarnation);
  const TimePoint now = loop_.now();
  if (!leading_ || !replica_.HasLeaderLease(now)) {
    done(Fail(ErrorCode::kNotLeader, "this host is not the leader"));
    return;
  }
  // A worker that has not responded for long is not asked: the call would
  // only take its timeout.
  if (worker == nullptr || !IsPresent(incarnation, now)) {
    done(false);
    return;
  }
  HoldCall call;
  call.token = TokenFor(*worker);
  call.timeout = options_.order_timeout;
  const TimePoint deadline = now + options_.order_timeout;
  calls_.hold(
      worker->record, call,
      [this, incarnation, deadline, done = std::move(done),
       epoch = leadership_epoch_](const Result<HoldResponse>& response) {
        if (epoch != leadership_epoch_) {
          done(Fail(ErrorCode::kNotLeader, "leadership has changed"));
          return;
        }
        const jobs::Worker* present = replica_.ledger().FindWorker(incarnation);
        if (present == nullptr) {
          done(false);
          return;
        }
        if (!response) {
          LogEvent(EventId::kCallFailed, {{"call", "list"},
                                          {"worker", incarnation.Text()},
                                          {"error", response.error().Text()}});
        }
        const auto has_verdict = [&](CallVerdict verdict) {
          return response && response.value().call.verdict == verdict;
        };
        if (has_verdict(CallVerdict::kDone))
          RecordEnds(NewEndsOf(*present, response.value()), loop_.now());
        if (response && !has_verdict(CallVerdict::kOtherIncarnation) &&
            !has_verdict(CallVerdict::kOtherWorker)) {
          done(true);
          return;
        }
        list_waits_.push_back({incarnation, deadline, done});
        FinishListWaits(loop_.now());
      });
}

void WorkerFleet::FinishListWaits(TimePoint now) {
  std::vector<ListWait> finished;
  std::erase_if(list_waits_, [&](const ListWait& wait) {
    const WorkerSession* session = FindSession(wait.incarnation);
    const bool waits =
        session != nullptr && session->hold_open() && now < wait.deadline;
    if (!waits)
      finished.push_back(wait);
    return !waits;
  });
  for (const ListWait& wait : finished)
    wait.done(false);
}

}  // namespace boragewinch::scheduler
