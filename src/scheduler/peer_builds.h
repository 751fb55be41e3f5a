#ifndef BORAGEWINCH_SCHEDULER_PEER_BUILDS_H_
#define BORAGEWINCH_SCHEDULER_PEER_BUILDS_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace boragewinch::scheduler {

/// \brief Compares the builds of the other scheduler hosts with that of this
/// process. They differ during a rolling upgrade, and for longer if a host was
/// left out of it.
class PeerBuilds {
 public:
  /// \param revision BuildInfo::revision of this process.
  explicit PeerBuilds(std::string revision);

  /// \brief Forgets the hosts that are not in `hosts`.
  /// \returns the host to ask next, in turn; empty if there is none. Hosts that
  /// can't report a revision are not asked again: each call would be a warning
  /// in their logs, and after an upgrade they ask this host.
  [[nodiscard]] std::string Next(const std::vector<std::string>& hosts);

  /// \param revision that `host` has reported; empty for a version that can't
  /// report one.
  /// \returns whether it differs from this process and from what the host
  /// reported before.
  [[nodiscard]] bool OnRevision(const std::string& host,
                                const std::string& revision);

 private:
  std::string revision_;
  std::map<std::string, std::string> reported_;  ///< by host
  std::size_t next_ = 0;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_PEER_BUILDS_H_
