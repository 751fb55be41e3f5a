#include "entry/allotment_tracker.h"

#include <algorithm>
#include <utility>

namespace boragewinch {

void AllotmentTracker::Update(std::uint64_t version,
                              std::map<TeamName, std::int64_t> units) {
  if (version < version_)
    return;
  if (version > version_)
    offered_.clear();
  version_ = version;
  units_ = std::move(units);
  confirmed_ = true;
}

void AllotmentTracker::SetCaps(std::map<TeamName, std::int64_t> caps) {
  caps_ = std::move(caps);
  for (const auto& [team, cap] : caps_)
    OfferIdle(team, cap);
}

void AllotmentTracker::OfferIdle(const TeamName& team, std::int64_t cap) {
  const std::int64_t idle =
      allotment(team) - std::max(in_use(team), cap) - offered(team);
  if (idle > 0)
    offered_[team] += idle;
}

void AllotmentTracker::Count(const TaskId& task, CountedTask counted) {
  const TeamName team = counted.team;
  if (tasks_.emplace(task, std::move(counted)).second)
    ++in_use_[team];
}

void AllotmentTracker::Release(const TaskId& task) {
  const auto found = tasks_.find(task);
  if (found == tasks_.end())
    return;
  const TeamName team = found->second.team;
  if (const auto count = in_use_.find(team); --count->second == 0)
    in_use_.erase(count);
  tasks_.erase(found);
  if (const auto cap = caps_.find(team); cap != caps_.end())
    OfferIdle(team, cap->second);
}

void AllotmentTracker::SetNewOwner(const TaskId& task, const EntryName& entry) {
  if (const auto found = tasks_.find(task); found != tasks_.end())
    found->second.new_owner = entry;
}

std::int64_t AllotmentTracker::allotment(const TeamName& team) const {
  const auto found = units_.find(team);
  return found == units_.end() ? 0 : found->second;
}

std::int64_t AllotmentTracker::offered(const TeamName& team) const {
  const auto found = offered_.find(team);
  return found == offered_.end() ? 0 : found->second;
}

std::int64_t AllotmentTracker::in_use(const TeamName& team) const {
  const auto found = in_use_.find(team);
  return found == in_use_.end() ? 0 : found->second;
}

}  // namespace boragewinch
