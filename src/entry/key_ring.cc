#include "entry/key_ring.h"

#include <string>

#include "base/event_log.h"
#include "base/secret.h"

namespace boragewinch {

void KeyRing::Update(const std::map<KeyId, Key>& keys) {
  keys_ = keys;
  for (const auto& [id, key] : keys_) {
    if (key.withdrawn)
      Withdraw(id);
  }
}

bool KeyRing::Withdraw(const KeyId& id) {
  // Ids of unknown keys come from messages, so their number is bounded. Those
  // of known keys are always kept.
  if (tombstones_.size() >= max_tombstones_ && !keys_.contains(id)) {
    if (!overflowed_)
      LogEvent(EventId::kBoundReached, {{"table", "key_tombstones"}});
    overflowed_ = true;
    return false;
  }
  const bool added = tombstones_.insert(id).second;
  if (added)
    LogEvent(EventId::kKeyWithdrawn, {{"key", id.str()}});
  return added;
}

KeyCheck KeyRing::Verify(std::string_view text) const {
  KeyCheck check;
  const auto dot = text.find('.');
  if (dot == std::string_view::npos)
    return check;
  check.id = KeyId(std::string(text.substr(0, dot)));
  const auto found = keys_.find(check.id);
  if (found == keys_.end() ||
      !SecretMatches(text.substr(dot + 1), found->second.secret_hash)) {
    return check;
  }
  check.team = found->second.team;
  // A tombstone that did not fit may be of any key, so every key is refused.
  const bool refused = withdrawn(check.id) || overflowed_;
  check.reason = refused ? RefusalReason::kWithdrawnKey : RefusalReason::kNone;
  return check;
}

}  // namespace boragewinch
