#include "raft/configuration.h"

#include <string>
#include <utility>

namespace boragewinch::raft {

namespace {

[[nodiscard]] Json IdsToJson(const std::set<ReplicaId>& ids) {
  Json json(::Json::arrayValue);
  for (const ReplicaId& id : ids)
    json.append(id.str());
  return json;
}

[[nodiscard]] Result<std::set<ReplicaId>> IdsFromJson(const Json& json,
                                                      const char* name) {
  const auto invalid = [name] {
    return Fail(ErrorCode::kInvalidField, "field \"" + std::string(name) +
                                              "\" must be a list of at most " +
                                              std::to_string(kMaxReplicas) +
                                              " replica ids");
  };
  if (!json.isObject() || !json[name].isArray() ||
      json[name].size() > kMaxReplicas) {
    return invalid();
  }
  std::set<ReplicaId> ids;
  for (const Json& item : json[name]) {
    if (!item.isString())
      return invalid();
    std::string text = item.asString();
    if (text.empty() || text.size() > kMaxIdBytes)
      return invalid();
    ids.insert(ReplicaId(std::move(text)));
  }
  return ids;
}

}  // namespace

Result<Configuration> ApplyChange(Configuration configuration,
                                  MemberChange change,
                                  const ReplicaId& id) {
  auto& [voters, learners, retired] = configuration;
  const bool needs_voter = change == MemberChange::kDemote;
  const bool needs_learner = change == MemberChange::kPromote;
  const bool add = change == MemberChange::kAddLearner;
  if ((add && configuration.IsMember(id)) ||
      (needs_voter && !configuration.IsVoter(id)) ||
      (needs_learner && (learners.count(id) == 0 || retired.count(id) > 0)) ||
      (!add && !configuration.IsMember(id))) {
    return Fail(ErrorCode::kConflict,
                "member change " + std::string(kMemberChanges.Name(change)) +
                    " is not valid for replica " + id.str());
  }
  if (add && voters.size() + learners.size() >= kMaxReplicas)
    return Fail(ErrorCode::kTableFull,
                "the cluster has the maximum number of members");
  voters.erase(id);
  learners.erase(id);
  retired.erase(id);
  if (change == MemberChange::kDemote)
    retired.insert(id);
  if (change == MemberChange::kPromote)
    voters.insert(id);
  else if (change != MemberChange::kRemove)
    learners.insert(id);
  if (voters.empty())
    return Fail(ErrorCode::kConflict, "the last voter can't be removed");
  return configuration;
}

Json ToJson(const Configuration& configuration) {
  Json json(::Json::objectValue);
  json["voters"] = IdsToJson(configuration.voters);
  json["learners"] = IdsToJson(configuration.learners);
  json["retired"] = IdsToJson(configuration.retired);
  return json;
}

Result<Configuration> ConfigurationFromJson(const Json& json) {
  Configuration configuration;
  BW_TRY(configuration.voters, IdsFromJson(json, "voters"));
  BW_TRY(configuration.learners, IdsFromJson(json, "learners"));
  BW_TRY(configuration.retired, IdsFromJson(json, "retired"));
  return configuration;
}

}  // namespace boragewinch::raft
