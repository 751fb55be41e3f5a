// Lists that are requested beside the regular holds, and the departures of
// workers, which have to wait for them.

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

void WorkerFleet::RequestList(const jobs::WorkerIncarnation& incarnation,
                              const Asked& done) {
  if (!leading_ || !replica_.HasLeaderLease(loop_.now())) {
    done(Fail(ErrorCode::kNotLeader, "this host is not the leader"));
    return;
  }
  if (const jobs::Worker* worker = replica_.ledger().FindWorker(incarnation))
    SendListRequest(*worker, false, done);
  else
    done(false);
}

void WorkerFleet::Probe(const jobs::WorkerIncarnation& incarnation,
                        const Asked& done) {
  if (!leading_ || IsPresent(incarnation, loop_.now()))
    RequestList(incarnation, done);
  else
    done(false);
}

void WorkerFleet::SendListRequest(const jobs::Worker& worker,
                                  bool acknowledge,
                                  const Asked& done) {
  const TimePoint deadline = loop_.now() + options_.order_timeout;
  HoldCall call;
  call.token = TokenFor(worker);
  call.timeout = options_.order_timeout;
  if (acknowledge)
    call.last_end_sequence = worker.last_end_sequence;
  calls_.hold(worker.record, call,
              [this, incarnation = worker.record.incarnation, deadline, done,
               epoch = leadership_epoch_](const Result<HoldResponse>& list) {
                if (epoch == leadership_epoch_)
                  OnRequestedList(incarnation, deadline, list, done);
                else
                  done(Fail(ErrorCode::kNotLeader, "leadership has changed"));
              });
}

void WorkerFleet::OnRequestedList(const jobs::WorkerIncarnation& incarnation,
                                  TimePoint deadline,
                                  const Result<HoldResponse>& response,
                                  const Asked& done) {
  const jobs::Worker* worker = replica_.ledger().FindWorker(incarnation);
  if (worker == nullptr) {
    ReportDroppedEnds(incarnation, response);
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
  if (!response || has_verdict(CallVerdict::kOtherIncarnation) ||
      has_verdict(CallVerdict::kOtherWorker)) {
    list_waits_.push_back({incarnation, deadline, done});
    FinishListWaits(loop_.now());
    return;
  }
  if (!has_verdict(CallVerdict::kDone)) {
    done(true);
    return;
  }
  RecordEnds(NewEndsOf(*worker, response.value()), loop_.now());
  if (response.value().complete()) {
    done(true);
    return;
  }
  // The worker lists further ends once these are acknowledged, and they may be
  // acknowledged once they are stored.
  replica_.Submit({}, [this, incarnation, done](const Status& stored) {
    const jobs::Worker* current = replica_.ledger().FindWorker(incarnation);
    if (!stored)
      done(outcome::failure(stored.error()));
    else if (current == nullptr)
      done(false);
    else
      SendListRequest(*current, true, done);
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

void WorkerFleet::ReportDroppedEnds(const jobs::WorkerIncarnation& incarnation,
                                    const Result<HoldResponse>& list) {
  if (!list || list.value().ended.empty())
    return;
  const std::vector<EndedRow>& ends = list.value().ended;
  LogEvent(EventId::kRunEndsDropped, {{"worker", incarnation.Text()},
                                      {"first", ends.front().end_sequence},
                                      {"last", ends.back().end_sequence}});
}

void WorkerFleet::RecordDeparture(const jobs::WorkerIncarnation& incarnation,
                                  const char* why) {
  if (replica_.ledger().FindWorker(incarnation) == nullptr ||
      !departing_.insert(incarnation).second) {
    return;
  }
  Probe(incarnation, [this, incarnation, why](const Result<bool>& responds) {
    departing_.erase(incarnation);
    if (!responds || responds.value()) {
      LogEvent(EventId::kWorkerLeaveUnclear,
               {{"worker", incarnation.Text()},
                {"reason", responds ? "responds" : responds.error().Text()}});
      return;
    }
    StoreDeparture(incarnation, why);
  });
}

void WorkerFleet::StoreDeparture(const jobs::WorkerIncarnation& incarnation,
                                 const char* why) {
  const jobs::Worker* worker = replica_.ledger().FindWorker(incarnation);
  if (worker == nullptr)
    return;
  jobs::WorkerRecord record = worker->record;
  record.departed = true;
  LogEvent(EventId::kWorkerLost,
           {{"worker", record.incarnation.Text()}, {"reason", why}});
  jobs::Batch change;
  change.workers.push_back(std::move(record));
  replica_.Submit(change, [](const Status& stored) {
    if (!stored)
      LogEvent(EventId::kCallFailed, {{"error", stored.error().Text()}});
  });
}

}  // namespace boragewinch::scheduler
