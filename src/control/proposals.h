#ifndef BORAGEWINCH_CONTROL_PROPOSALS_H_
#define BORAGEWINCH_CONTROL_PROPOSALS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "base/result.h"
#include "fleet/command_answer.h"

namespace boragewinch {

/// \brief Submitted commands whose commit has not been seen yet.
class Proposals {
 public:
  /// Called once: with the answer of the state machine, or with kUnavailable
  /// when the outcome is not known here (a resend with the same operation id
  /// gets the first answer).
  using Reply = std::function<void(Result<CommandAnswer>)>;

  void Add(std::uint64_t index, const std::string& bytes, Reply reply);
  /// \brief The entry at `index` has been applied with `answer`. Another
  /// leader's entry at that index leaves the submitter's outcome unknown.
  void OnApplied(std::uint64_t index,
                 const std::string& bytes,
                 const CommandAnswer& answer);
  /// \brief Leadership is lost: fails all that wait.
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
