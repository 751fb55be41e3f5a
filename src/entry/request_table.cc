#include "entry/request_table.h"

#include <algorithm>

namespace boragewinch {

RequestRecord* RequestTable::Find(const RequestId& id) {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

RequestRecord* RequestTable::FindOwned(const RequestId& id) {
  RequestRecord* record = Find(id);
  return record != nullptr && !record->owner ? record : nullptr;
}

RequestRecord& RequestTable::Insert(RequestRecord record) {
  const RequestId id = record.id;
  RequestRecord& stored = records_.emplace(id, std::move(record)).first->second;
  stored.due = TimePoint::max();
  if (!stored.spec.client_request_id.empty())
    client_ids_[{stored.spec.team, stored.spec.client_request_id}] = id;
  Count(stored, 1);
  return stored;
}

void RequestTable::Erase(const RequestId& id) {
  const auto found = records_.find(id);
  if (found == records_.end())
    return;
  const RequestRecord& record = found->second;
  Count(record, -1);
  due_.erase({record.due, id});
  const auto client_id =
      client_ids_.find({record.spec.team, record.spec.client_request_id});
  if (client_id != client_ids_.end() && client_id->second == id)
    client_ids_.erase(client_id);
  records_.erase(found);
}

void RequestTable::Count(const RequestRecord& record, int sign) {
  const auto step = static_cast<std::size_t>(sign);
  bytes_ += step * (SizeOf(record.spec) + record.closing.body.size() +
                    record.progress.size());
  if (!record.closing.body.empty())
    results_ += step;
  if (record.owner)
    return;
  if (record.phase != RequestPhase::kEnded)
    open_ += step;
  const bool waits = record.phase == RequestPhase::kQueued ||
                     record.phase == RequestPhase::kStoring;
  if (!waits)
    return;
  if ((queue_queued_[record.spec.queue] += step) == 0)
    queue_queued_.erase(record.spec.queue);
  if ((team_queued_[record.spec.team] += sign) == 0)
    team_queued_.erase(record.spec.team);
}

void RequestTable::SetPhase(RequestRecord& record,
                            RequestPhase phase,
                            TimePoint now) {
  Count(record, -1);
  record.phase = phase;
  record.since = now;
  Count(record, 1);
}

void RequestTable::SetClosing(RequestRecord& record, Closing closing) {
  Count(record, -1);
  record.closing = std::move(closing);
  Count(record, 1);
}

void RequestTable::SetProgress(RequestRecord& record, std::string progress) {
  Count(record, -1);
  record.progress = std::move(progress);
  Count(record, 1);
}

void RequestTable::SetOwner(RequestRecord& record,
                            std::optional<ReplicaOwner> owner) {
  Count(record, -1);
  record.owner = std::move(owner);
  Count(record, 1);
}

void RequestTable::SetDue(RequestRecord& record, TimePoint due) {
  if (due >= record.due)
    return;
  due_.erase({record.due, record.id});
  record.due = due;
  due_.emplace(due, record.id);
}

std::vector<RequestId> RequestTable::TakeDue(TimePoint now) {
  std::vector<RequestId> ids;
  while (!due_.empty() && due_.begin()->first <= now) {
    ids.push_back(due_.begin()->second);
    due_.erase(due_.begin());
    if (RequestRecord* record = Find(ids.back()); record != nullptr)
      record->due = TimePoint::max();
  }
  return ids;
}

const RequestId* RequestTable::FindClientId(const TeamName& team,
                                            const std::string& text) const {
  const auto found = client_ids_.find({team, text});
  return found == client_ids_.end() ? nullptr : &found->second;
}

std::size_t RequestTable::queued(const QueueName& queue) const {
  const auto found = queue_queued_.find(queue);
  return found == queue_queued_.end() ? 0 : found->second;
}

}  // namespace boragewinch
