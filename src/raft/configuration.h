#ifndef BORAGEWINCH_RAFT_CONFIGURATION_H_
#define BORAGEWINCH_RAFT_CONFIGURATION_H_

#include <cstddef>
#include <set>

#include "base/json.h"
#include "raft/types.h"

namespace boragewinch::raft {

/// \brief The members of a cluster. Learners receive the log, don't vote and
/// don't count towards a majority.
struct Configuration {
  std::set<ReplicaId> voters;
  std::set<ReplicaId> learners;
  /// Demoted learners. They may have lost votes that they had cast, so they
  /// can't be promoted again: their host becomes a voter again only with a new
  /// data directory, and thus a new replica id.
  std::set<ReplicaId> retired;

  [[nodiscard]] bool IsVoter(const ReplicaId& id) const {
    return voters.count(id) > 0;
  }
  [[nodiscard]] bool IsMember(const ReplicaId& id) const {
    return IsVoter(id) || learners.count(id) > 0;
  }
  [[nodiscard]] std::size_t majority() const noexcept {
    return voters.size() / 2 + 1;
  }
  friend bool operator==(const Configuration&, const Configuration&) = default;
};

enum class MemberChange { kAddLearner, kPromote, kDemote, kRemove };

inline constexpr EnumTable<MemberChange, 4> kMemberChanges{{{
    {MemberChange::kAddLearner, "add_learner"},
    {MemberChange::kPromote, "promote"},
    {MemberChange::kDemote, "demote"},
    {MemberChange::kRemove, "remove"},
}}};

/// \returns the configuration after one change; kConflict if the change does
/// not apply to `id`, kTableFull if the cluster has kMaxReplicas members.
[[nodiscard]] Result<Configuration> ApplyChange(Configuration configuration,
                                                MemberChange change,
                                                const ReplicaId& id);

[[nodiscard]] Json ToJson(const Configuration& configuration);
[[nodiscard]] Result<Configuration> ConfigurationFromJson(const Json& json);

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_RAFT_CONFIGURATION_H_
