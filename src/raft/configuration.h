#ifndef BORAGEWINCH_RAFT_CONFIGURATION_H_
#define BORAGEWINCH_RAFT_CONFIGURATION_H_

#include <cstddef>
#include <set>

#include "base/json.h"
#include "raft/types.h"

namespace boragewinch::raft {

/// \brief The members of a cluster. Learners receive the log and don't count.
struct Configuration {
  std::set<ReplicaId> voters;
  std::set<ReplicaId> learners;
  /// Demoted learners. They may have forgotten votes, so they can't be promoted
  /// again: only a new data folder, and so a new id, makes their host a voter.
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

/// \returns the configuration after one change, or kConflict.
[[nodiscard]] Result<Configuration> ApplyChange(Configuration configuration,
                                                MemberChange change,
                                                const ReplicaId& id);

[[nodiscard]] Json ToJson(const Configuration& configuration);
[[nodiscard]] Result<Configuration> ConfigurationFromJson(const Json& json);

}  // namespace boragewinch::raft

#endif  // BORAGEWINCH_RAFT_CONFIGURATION_H_
