#ifndef BORAGEWINCH_FLEET_COMMAND_RESULT_H_
#define BORAGEWINCH_FLEET_COMMAND_RESULT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/json.h"
#include "base/result.h"
#include "model/fleet_types.h"

namespace boragewinch {

/// \brief Result of applying a command.
struct CommandResult {
  bool accepted = false;
  bool changed = false;  ///< the fleet version grew
  bool resent = false;   ///< repeats the first result of the operation
  /// Fleet version after the command, or at its rejection.
  FleetVersion version = 0;
  std::uint64_t index = 0;         ///< log index of the first execution
  std::vector<Error> errors;       ///< empty if accepted
  std::vector<std::string> notes;  ///< for the operator, one sentence each
};

[[nodiscard]] Json ToJson(const Error& error);
/// \brief Reads an error written by ToJson. An output parameter, since a Result
/// can't hold an Error as its value.
[[nodiscard]] Status ReadError(const Json& json, Error* error);
[[nodiscard]] Json ToJson(const CommandResult& result);
[[nodiscard]] Result<CommandResult> CommandResultFromJson(const Json& json);

}  // namespace boragewinch

#endif  // BORAGEWINCH_FLEET_COMMAND_RESULT_H_
