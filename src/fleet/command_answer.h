#ifndef BORAGEWINCH_FLEET_COMMAND_ANSWER_H_
#define BORAGEWINCH_FLEET_COMMAND_ANSWER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "model/fleet_types.h"

namespace boragewinch {

/// \brief What became of a command.
struct CommandAnswer {
  bool accepted = false;
  bool changed = false;  ///< the fleet version grew
  bool resent = false;   ///< the first answer to the same operation id
  /// Version that contains the effect, or the version at the refusal.
  FleetVersion version = 0;
  std::uint64_t index = 0;         ///< log index of the first submission
  std::vector<Error> errors;       ///< empty if accepted
  std::vector<std::string> notes;  ///< for the operator, one sentence each
};

[[nodiscard]] Json ToJson(const Error& error);
/// \brief Reads what ToJson wrote into `error`; a Result can't hold an Error as
/// its value.
[[nodiscard]] Status ReadError(const Json& json, Error* error);
[[nodiscard]] Json ToJson(const CommandAnswer& answer);
[[nodiscard]] Result<CommandAnswer> CommandAnswerFromJson(const Json& json);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_COMMAND_ANSWER_H_
