#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "fleet/fleet_state.h"

namespace boragewinch {

void FleetState::Withdraw(Key* key, CommandResult* result) {
  if (key->withdrawn)
    return;
  key->withdrawn = true;
  key->version = BumpVersion(result);
}

Status FleetState::Execute(const CreateKey& body,
                           const OperatorCall& /*call*/,
                           CommandResult* result) {
  if (!view_.teams.contains(body.team)) {
    return Fail(ErrorCode::kUnknownName,
                "team \"" + body.team.str() + "\" does not exist");
  }
  if (view_.keys.contains(body.id)) {
    return Fail(ErrorCode::kDuplicateName,
                "key id \"" + body.id.str() +
                    "\" is or was in use; key ids are never reused");
  }
  if (view_.keys.size() >= kMaxKeys) {
    return Fail(ErrorCode::kTableFull,
                "the fleet has " + std::to_string(kMaxKeys) + " keys");
  }
  Key key{.id = body.id, .team = body.team, .secret_hash = body.secret_hash};
  key.version = BumpVersion(result);
  view_.keys.emplace(body.id, std::move(key));
  return Ok();
}

Status FleetState::Execute(const WithdrawKey& body,
                           const OperatorCall& /*call*/,
                           CommandResult* result) {
  // A tombstone for an unknown id prevents a delayed creation of that key.
  const auto unknown =
      std::count_if(body.ids.begin(), body.ids.end(),
                    [&](const KeyId& id) { return !view_.keys.contains(id); });
  if (unknown > 0 &&
      view_.keys.size() + static_cast<std::size_t>(unknown) > kMaxKeys) {
    return Fail(ErrorCode::kTableFull,
                "the fleet has " + std::to_string(kMaxKeys) + " keys");
  }
  for (const KeyId& id : body.ids) {
    Key& key = view_.keys.try_emplace(id, Key{.id = id}).first->second;
    Withdraw(&key, result);
    CheckInvariant(Invariant::kKeyedWork, view_.keys.at(id).withdrawn,
                   "the withdrawal of key " + id.str() + " had no effect");
  }
  return Ok();
}

}  // namespace boragewinch
