#include "base/invariant.h"

#include <array>
#include <utility>

#include "base/event_log.h"

namespace boragewinch {

namespace {

[[nodiscard]] InvariantHandler& Handler() {
  static InvariantHandler handler = [](Invariant invariant,
                                       std::string_view detail) {
    LogEvent(EventId::kInvariantViolated,
             {{"invariant", kInvariants.Name(invariant)}, {"detail", detail}});
  };
  return handler;
}

[[nodiscard]] InvariantCount& Count(Invariant invariant) noexcept {
  static std::array<InvariantCount, kInvariants.entries.size()> counts;
  return counts[static_cast<std::size_t>(invariant)];
}

}  // namespace

InvariantHandler SetInvariantHandler(InvariantHandler handler) {
  return std::exchange(Handler(), std::move(handler));
}

bool CheckInvariant(Invariant invariant, bool holds, std::string_view detail) {
  InvariantCount& count = Count(invariant);
  ++count.checked;
  if (!holds) {
    ++count.violated;
    Handler()(invariant, detail);
  }
  return holds;
}

InvariantCount invariant_count(Invariant invariant) noexcept {
  return Count(invariant);
}

}  // namespace boragewinch
