#ifndef BORAGEWINCH_SCHEDULER_KNOWN_HOSTS_H_
#define BORAGEWINCH_SCHEDULER_KNOWN_HOSTS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "raft/types.h"

namespace boragewinch::scheduler {

/// \brief The scheduler hosts that a process may contact, in turn. The settings
/// name only the initial ones, all of which may be replaced later.
class KnownHosts {
 public:
  /// Limit on reported hosts: the members of the present and of an earlier
  /// configuration.
  static constexpr std::size_t kMaxMembers = 2 * raft::kMaxReplicas;

  /// \param initial hosts of the settings; they stay known.
  explicit KnownHosts(std::vector<std::string> initial);

  /// \brief Adopts the members that a host has reported.
  /// \param knows_leader whether that host knows the leader. Its list then
  /// replaces earlier ones; the list of a host that may be cut off only adds to
  /// them.
  void OnMembers(const std::vector<std::string>& members, bool knows_leader);

  /// \returns the host to contact next, or an empty string.
  [[nodiscard]] std::string Next();

  [[nodiscard]] const std::vector<std::string>& hosts() const noexcept {
    return hosts_;
  }

 private:
  void Add(const std::string& host);

  std::vector<std::string> initial_;
  std::vector<std::string> hosts_;
  std::size_t next_ = 0;
};

}  // namespace boragewinch::scheduler

#endif  // BORAGEWINCH_SCHEDULER_KNOWN_HOSTS_H_
