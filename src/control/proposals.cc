#include "control/proposals.h"

#include <utility>

#include "base/hash.h"

namespace boragewinch {

namespace {

[[nodiscard]] auto OutcomeUnknown() {
  return Fail(
      ErrorCode::kUnavailable,
      "leadership changed before the commit was confirmed; resend with the "
      "same operation id");
}

}  // namespace

void Proposals::Add(std::uint64_t index,
                    const std::string& bytes,
                    Reply reply) {
  // Another leader has overwritten an older proposal at the same index.
  if (auto old = waiting_.extract(index); !old.empty())
    old.mapped().reply(OutcomeUnknown());
  waiting_[index] = {Hash64(bytes), std::move(reply)};
}

void Proposals::OnApplied(std::uint64_t index,
                          const std::string& bytes,
                          const CommandResult& result) {
  auto node = waiting_.extract(index);
  if (node.empty())
    return;
  if (node.mapped().hash == Hash64(bytes))
    node.mapped().reply(result);
  else
    node.mapped().reply(OutcomeUnknown());
}

void Proposals::FailAll() {
  const auto failed = std::exchange(waiting_, {});
  for (const auto& [index, waiting] : failed)
    waiting.reply(OutcomeUnknown());
}

}  // namespace boragewinch
