#include "scheduler/worker_registry.h"

#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

namespace {

/// Number of sequence numbers above which those of unknown workers are dropped.
constexpr std::size_t kMaxSequences = 20'000;

}  // namespace

void WorkerRegistry::OnHeartbeat(const jobs::WorkerRecord& record,
                                 std::int64_t sequence,
                                 TimePoint now,
                                 const Done& done) {
  if (!replica_.HasLeaderLease(now)) {
    done(Fail(ErrorCode::kNotLeader, "this host is not the leader"));
    return;
  }
  const auto [last, added] =
      sequences_.try_emplace(record.incarnation, sequence);
  if (!added && sequence < last->second) {
    done(Ok());
    return;
  }
  last->second = sequence;
  if (sequences_.size() > kMaxSequences) {
    std::erase_if(sequences_, [&](const auto& item) {
      return replica_.ledger().FindWorker(item.first) == nullptr;
    });
  }
  if (IsStored(record)) {
    done(Ok());
    return;
  }
  Store(record, done);
}

bool WorkerRegistry::IsKnown(const jobs::WorkerRecord& record,
                             TimePoint now) const {
  return replica_.Follows(now) && IsStored(record);
}

bool WorkerRegistry::IsStored(const jobs::WorkerRecord& record) const {
  const jobs::Worker* known = replica_.ledger().FindWorker(record.incarnation);
  if (known == nullptr)
    return false;
  jobs::WorkerRecord newest = record;
  newest.draining = newest.draining || known->record.draining;
  return newest == known->record;
}

void WorkerRegistry::OnLeave(const jobs::WorkerId& id,
                             TimePoint now,
                             const Done& done) {
  if (!replica_.HasLeaderLease(now)) {
    done(Fail(ErrorCode::kNotLeader, "this host is not the leader"));
    return;
  }
  const jobs::Worker* worker = replica_.ledger().FindCurrent(id);
  if (worker == nullptr) {
    done(Ok());
    return;
  }
  jobs::WorkerRecord record = worker->record;
  record.departed = record.draining;
  record.draining = true;
  Store(record, done);
}

void WorkerRegistry::Store(const jobs::WorkerRecord& record, const Done& done) {
  jobs::Batch change;
  change.workers.push_back(record);
  replica_.Submit(change, [record, done](const Status& stored) {
    if (stored) {
      LogEvent(record.departed   ? EventId::kWorkerLost
               : record.draining ? EventId::kWorkerLeaving
                                 : EventId::kWorkerJoined,
               {{"worker", record.incarnation.Text()},
                {"address", record.address},
                {"pool", record.pool.str()},
                {"reason", record.departed ? "left after draining"
                                           : "reported by the worker"}});
    }
    done(stored);
  });
}

}  // namespace boragewinch::scheduler
