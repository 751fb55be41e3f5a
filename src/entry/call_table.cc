#include "entry/call_table.h"

#include <algorithm>

namespace boragewinch {

OpenCall& CallTable::Insert(std::uint64_t id, OpenCall call) {
  OpenCall& stored = calls_.emplace(id, std::move(call)).first->second;
  by_request_.emplace(stored.request, id);
  if (!stored.origin.empty()) {
    forwarded_.insert(
        {{stored.origin, stored.origin_incarnation}, stored.origin_reference});
  }
  Reschedule(id);
  return stored;
}

OpenCall* CallTable::Find(std::uint64_t id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

void CallTable::Erase(std::uint64_t id) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  const OpenCall& call = found->second;
  by_request_.erase({call.request, id});
  due_.erase({call.due, id});
  if (!call.origin.empty()) {
    forwarded_.erase(
        {{call.origin, call.origin_incarnation}, call.origin_reference});
  }
  calls_.erase(found);
}

void CallTable::SetRequest(std::uint64_t id, const RequestId& request) {
  if (OpenCall* call = Find(id); call != nullptr) {
    by_request_.erase({call->request, id});
    call->request = request;
    by_request_.emplace(request, id);
  }
}

void CallTable::Reschedule(std::uint64_t id) {
  if (OpenCall* call = Find(id); call != nullptr) {
    due_.erase({call->due, id});
    call->due =
        std::min({call->deadline, call->stage_deadline, call->next_send});
    due_.emplace(call->due, id);
  }
}

std::vector<std::uint64_t> CallTable::DueCalls(TimePoint now) {
  std::vector<std::uint64_t> ids;
  for (const auto& [due, id] : due_) {
    if (due > now)
      break;
    ids.push_back(id);
  }
  return ids;
}

std::vector<std::uint64_t> CallTable::Waiting(const RequestId& request) const {
  std::vector<std::uint64_t> ids;
  for (auto entry = by_request_.lower_bound({request, 0});
       entry != by_request_.end() && entry->first == request; ++entry) {
    if (calls_.at(entry->second).wait == CallWait::kRecord)
      ids.push_back(entry->second);
  }
  return ids;
}

bool CallTable::HasForwarded(const EntryName& origin,
                             const Incarnation& incarnation,
                             std::uint64_t reference) const {
  return forwarded_.contains({{origin, incarnation}, reference});
}

}  // namespace boragewinch
