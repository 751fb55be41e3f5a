#include "scheduler/peer_builds.h"

#include <algorithm>
#include <utility>

namespace boragewinch::scheduler {

PeerBuilds::PeerBuilds(std::string revision) : revision_(std::move(revision)) {}

std::string PeerBuilds::Next(const std::vector<std::string>& hosts) {
  std::erase_if(reported_, [&hosts](const auto& entry) {
    return std::find(hosts.begin(), hosts.end(), entry.first) == hosts.end();
  });
  for (std::size_t tried = 0; tried < hosts.size(); ++tried) {
    const std::string& host = hosts[next_++ % hosts.size()];
    const auto found = reported_.find(host);
    if (found == reported_.end() || !found->second.empty())
      return host;
  }
  return "";
}

bool PeerBuilds::OnRevision(const std::string& host,
                            const std::string& revision) {
  const auto [entry, added] = reported_.try_emplace(host, revision_);
  return std::exchange(entry->second, revision) != revision &&
         revision != revision_;
}

}  // namespace boragewinch::scheduler
