#include "scheduler/known_hosts.h"

#include <algorithm>
#include <utility>

namespace boragewinch::scheduler {

KnownHosts::KnownHosts(std::vector<std::string> initial)
    : initial_(std::move(initial)), hosts_(initial_) {}

void KnownHosts::Add(const std::string& host) {
  if (!host.empty() &&
      std::find(hosts_.begin(), hosts_.end(), host) == hosts_.end()) {
    hosts_.push_back(host);
  }
}

void KnownHosts::OnMembers(const std::vector<std::string>& members,
                           bool knows_leader) {
  if (members.empty())
    return;
  if (knows_leader)
    hosts_.clear();
  const std::size_t count = std::min(members.size(), kMaxMembers);
  for (std::size_t i = 0; i < count && hosts_.size() < kMaxMembers; ++i)
    Add(members[i]);
  for (const std::string& host : initial_)
    Add(host);
}

std::string KnownHosts::Next() {
  return hosts_.empty() ? "" : hosts_[next_++ % hosts_.size()];
}

}  // namespace boragewinch::scheduler
