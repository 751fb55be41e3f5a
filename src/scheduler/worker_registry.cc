#include "scheduler/worker_registry.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

namespace {

/// Number of sequence numbers above which those of unknown workers are dropped,
/// and limit on the cold workers.
constexpr std::size_t kMaxSequences = 20'000;
/// Reports on unknown pools that are kept: more than the workers of a fleet
/// that starts before its first configuration.
constexpr std::size_t kMaxUnlisted = 10'000;
/// Workers report every second or two, so an older report may be of a worker
/// that is gone.
constexpr Millis kMaxUnlistedAge{10'000};
/// Time after which no copy of a message arrives: TCP sends the data of a
/// connection that its sender has closed for some 60 s at most.
constexpr Millis kMaxMessageDelay{60'000};

}  // namespace

void WorkerRegistry::OnHeartbeat(const jobs::WorkerRecord& record,
                                 std::int64_t sequence,
                                 TimePoint now,
                                 const Done& done) {
  if (!replica_.HasLeaderLease(now)) {
    done(Fail(ErrorCode::kNotLeader, "this host is not the leader"));
    return;
  }
  const jobs::Worker* known = replica_.ledger().FindWorker(record.incarnation);
  if (known == nullptr && !HasPool(record)) {
    KeepAside(record, now);
    done(Ok());
    return;
  }
  if (known != nullptr && (record.pool != known->record.pool ||
                           record.address != known->record.address ||
                           record.host != known->record.host)) {
    const Error error{ErrorCode::kConflict,
                      "worker " + record.incarnation.Text() +
                          " is already known with another pool, host or "
                          "address",
                      std::nullopt};
    LogEvent(EventId::kMalformedMessage,
             {{"worker", record.incarnation.Text()}, {"error", error.Text()}});
    done(outcome::failure(error));
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
  if (IsStored(record))
    done(Ok());
  else if (known != nullptr)
    Store(record, done);
  else
    StoreUnlessDisputed(record, replica_.ledger().ReplacedBy(record), done);
}

// The runs of a replaced incarnation are dropped or pass to the new one, so the
// report of another program with the id, address or host of a worker at work
// would start its tasks once more. A worker that was really replaced no longer
// responds: its id, its start time or its address has passed to the new one.
void WorkerRegistry::StoreUnlessDisputed(
    const jobs::WorkerRecord& record,
    std::vector<jobs::WorkerIncarnation> replaced,
    const Done& done) {
  if (replaced.empty()) {
    Store(record, done);
    return;
  }
  const jobs::WorkerIncarnation earlier = replaced.back();
  replaced.pop_back();
  hooks_.probe(earlier, [this, record, replaced = std::move(replaced), done,
                         earlier](const Result<bool>& responds) {
    if (!responds) {
      done(outcome::failure(responds.error()));
    } else if (responds.value()) {
      LogEvent(EventId::kWorkerReportDisputed,
               {{"worker", record.incarnation.Text()},
                {"address", record.address},
                {"host", record.host.str()},
                {"known", earlier.Text()}});
      done(Ok());
    } else {
      StoreUnlessDisputed(record, replaced, done);
    }
  });
}

bool WorkerRegistry::HasPool(const jobs::WorkerRecord& record) const {
  return replica_.ledger().config().pools.count(record.pool) > 0;
}

void WorkerRegistry::KeepAside(const jobs::WorkerRecord& record,
                               TimePoint now) {
  if (unlisted_.size() >= kMaxUnlisted) {
    std::erase_if(unlisted_, [now](const auto& item) {
      return now - item.second.received > kMaxUnlistedAge;
    });
  }
  if (unlisted_.size() >= kMaxUnlisted &&
      unlisted_.count(record.incarnation) == 0) {
    LogEvent(EventId::kBoundReached, {{"bound", "unlisted_workers"}});
    return;
  }
  const bool added =
      unlisted_.insert_or_assign(record.incarnation, Unlisted{record, now})
          .second;
  if (added) {
    LogEvent(EventId::kWorkerUnlisted, {{"worker", record.incarnation.Text()},
                                        {"address", record.address},
                                        {"pool", record.pool.str()}});
  }
}

void WorkerRegistry::OnConfiguration(TimePoint now) {
  const Done log_failure = [](const Status& stored) {
    // The worker reports again soon.
    if (!stored)
      LogEvent(EventId::kCallFailed, {{"error", stored.error().Text()}});
  };
  std::erase_if(unlisted_, [&](const auto& item) {
    const Unlisted& unlisted = item.second;
    if (now - unlisted.received > kMaxUnlistedAge)
      return true;
    if (!HasPool(unlisted.record))
      return false;
    StoreUnlessDisputed(unlisted.record,
                        replica_.ledger().ReplacedBy(unlisted.record),
                        log_failure);
    return true;
  });
}

bool WorkerRegistry::IsKnown(const jobs::WorkerRecord& record,
                             TimePoint now,
                             Millis cold) const {
  return replica_.Follows(now) && IsStored(record) &&
         (cold <= Millis(0) || !replica_.ledger().IsReturned(record.zone));
}

void WorkerRegistry::RecordCold(const jobs::WorkerIncarnation& incarnation,
                                Millis cold,
                                TimePoint now) {
  if (cold <= Millis(0)) {
    cold_until_.erase(incarnation);
    return;
  }
  if (cold_until_.size() >= kMaxSequences) {
    std::erase_if(cold_until_,
                  [now](const auto& item) { return now >= item.second; });
  }
  if (cold_until_.size() < kMaxSequences)
    cold_until_[incarnation] = now + std::min(cold, jobs::kReturnedZoneMemory);
}

bool WorkerRegistry::IsCold(const jobs::WorkerIncarnation& incarnation,
                            TimePoint now) const {
  const auto found = cold_until_.find(incarnation);
  if (found == cold_until_.end() || now >= found->second)
    return false;
  const jobs::Worker* worker = replica_.ledger().FindWorker(incarnation);
  return worker != nullptr && replica_.ledger().IsReturned(worker->record.zone);
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
                             jobs::UnixMillis wall_time,
                             TimePoint now,
                             const Done& done) {
  if (!replica_.HasLeaderLease(now)) {
    done(Fail(ErrorCode::kNotLeader, "this host is not the leader"));
    return;
  }
  std::erase_if(unlisted_,
                [&](const auto& item) { return item.first.id == id; });
  const jobs::Worker* worker = replica_.ledger().FindCurrent(id);
  if (worker == nullptr) {
    done(Ok());
    return;
  }
  const jobs::WorkerIncarnation& incarnation = worker->record.incarnation;
  const bool may_be_late =
      replica_.ledger().HasPredecessor(incarnation) &&
      wall_time - incarnation.start_time < kMaxMessageDelay.count();
  if (!worker->record.draining || may_be_late) {
    LogEvent(EventId::kWorkerLeaveUnclear,
             {{"worker", incarnation.Text()},
              {"draining", worker->record.draining ? "yes" : "no"},
              {"restarted", may_be_late ? "yes" : "no"}});
    done(Ok());
    return;
  }
  jobs::WorkerRecord record = worker->record;
  record.departed = true;
  if (worker->runs.empty()) {
    Store(record, done);
    return;
  }
  // The message may overtake the list with the ends of its last runs. The
  // worker responds until its leave is acknowledged.
  hooks_.request_list(incarnation,
                      [this, record, done](const Result<bool>& responds) {
                        if (responds)
                          Store(record, done);
                        else
                          done(outcome::failure(responds.error()));
                      });
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
