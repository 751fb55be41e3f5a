#ifndef BORAGEWINCH_ENTRY_KEY_RING_H_
#define BORAGEWINCH_ENTRY_KEY_RING_H_

#include <map>
#include <set>
#include <string_view>

#include "base/strong_id.h"
#include "model/fleet_types.h"
#include "model/outcome.h"

namespace boragewinch {

/// \brief Result of a key check: the team, or the reason for refusal.
struct KeyCheck {
  RefusalReason reason = RefusalReason::kBadKey;
  TeamName team;
  KeyId id;
  [[nodiscard]] bool valid() const noexcept {
    return reason == RefusalReason::kNone;
  }
};

/// \brief Keys of the fleet state and the set of withdrawn key ids. The set
/// only grows: a later fleet state can't make a withdrawn key valid.
class KeyRing {
 public:
  explicit KeyRing(std::size_t max_tombstones)
      : max_tombstones_(max_tombstones) {}

  void Update(const std::map<KeyId, Key>& keys);
  /// \returns whether a tombstone was added; false if `id` was withdrawn before
  /// or is of an unknown key and the set is full.
  bool Withdraw(const KeyId& id);
  /// \param text "<key id>.<secret>".
  [[nodiscard]] KeyCheck Verify(std::string_view text) const;
  [[nodiscard]] bool withdrawn(const KeyId& id) const {
    return tombstones_.contains(id);
  }
  [[nodiscard]] const std::set<KeyId>& tombstones() const noexcept {
    return tombstones_;
  }

 private:
  std::size_t max_tombstones_;
  bool overflowed_ = false;
  std::map<KeyId, Key> keys_;
  std::set<KeyId> tombstones_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_ENTRY_KEY_RING_H_
