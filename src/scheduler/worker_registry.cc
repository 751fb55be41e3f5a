#include "scheduler/worker_registry.h"

#include <utility>

#include "base/event_log.h"

namespace boragewinch::scheduler {

namespace {

/// Number of sequence numbers above which those of unknown workers are dropped.
constexpr std::size_t kMaxLives = 20'000;

}  // namespace

void WorkerRegistry::OnCheckIn(const jobs::WorkerRecord& note,
                               std::int64_t sequence,
                               TimePoint now,
                               const Done& done) {
  if (!replica_.MayAct(now)) {
    done(Fail(ErrorCode::kNotLeader, "this host does not lead"));
    return;
  }
  const auto [last, added] = sequences_.try_emplace(note.incarnation, sequence);
  if (!added && sequence < last->second) {
    done(Ok());
    return;
  }
  last->second = sequence;
  if (sequences_.size() > kMaxLives) {
    std::erase_if(sequences_, [&](const auto& item) {
      return replica_.ledger().FindWorker(item.first) == nullptr;
    });
  }
  if (IsStored(note)) {
    done(Ok());
    return;
  }
  Store(note, done);
}

bool WorkerRegistry::IsKnown(const jobs::WorkerRecord& note,
                             TimePoint now) const {
  return replica_.Follows(now) && IsStored(note);
}

bool WorkerRegistry::IsStored(const jobs::WorkerRecord& note) const {
  const jobs::Worker* known = replica_.ledger().FindWorker(note.incarnation);
  if (known == nullptr)
    return false;
  jobs::WorkerRecord newest = note;
  newest.draining = newest.draining || known->note.draining;
  return newest == known->note;
}

void WorkerRegistry::OnLeave(const jobs::WorkerId& id,
                             TimePoint now,
                             const Done& done) {
  if (!replica_.MayAct(now)) {
    done(Fail(ErrorCode::kNotLeader, "this host does not lead"));
    return;
  }
  const jobs::Worker* worker = replica_.ledger().FindPresent(id);
  if (worker == nullptr) {
    done(Ok());
    return;
  }
  jobs::WorkerRecord note = worker->note;
  note.departed = note.draining;
  note.draining = true;
  Store(note, done);
}

void WorkerRegistry::Store(const jobs::WorkerRecord& note, const Done& done) {
  replica_.Submit(
      [note](jobs::Batch* batch) { batch->workers.push_back(note); },
      [note, done](const Status& stored) {
        if (stored) {
          LogEvent(note.departed   ? EventId::kWorkerLost
                   : note.draining ? EventId::kWorkerLeaving
                                   : EventId::kWorkerJoined,
                   {{"worker", note.incarnation.Text()},
                    {"address", note.address},
                    {"pool", note.pool.str()},
                    {"reason", note.departed ? "left after draining"
                                             : "reported by the worker"}});
        }
        done(stored);
      });
}

}  // namespace boragewinch::scheduler
