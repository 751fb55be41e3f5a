#ifndef BORAGEWINCH_CONTROL_PROPOSALS_H_
#define BORAGEWINCH_CONTROL_PROPOSALS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/result.h"
#include "fleet/command_result.h"

namespace boragewinch {

/// \brief Proposed log entries that have not been applied yet.
class Proposals {
 public:
  /// Called once: with the result of the state machine, or with kUnavailable
  /// if the outcome is unknown (a resend with the same operation id gets the
  /// first result).
  using Reply = std::function<void(Result<CommandResult>)>;

  void Add(std::uint64_t index, const std::string& bytes, Reply reply);
  /// \brief Called when the log entry at `index` has been applied. If another
  /// leader wrote that entry, the outcome of the proposal is unknown.
  void OnApplied(std::uint64_t index,
                 const std::string& bytes,
                 const CommandResult& result);
  /// \brief Fails all pending proposals; called when leadership is lost.
  void FailAll();

  [[nodiscard]] std::size_t size() const noexcept { return waiting_.size(); }

 private:
  struct Waiting {
    std::uint64_t hash = 0;
    Reply reply;
  };
  std::map<std::uint64_t, Waiting> waiting_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_CONTROL_PROPOSALS_H_
