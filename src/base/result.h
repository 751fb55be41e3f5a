#ifndef BORAGEWINCH_BASE_RESULT_H_
#define BORAGEWINCH_BASE_RESULT_H_

#include <string>
#include <utility>

#include <boost/outcome/result.hpp>

#include "base/error.h"

namespace boragewinch {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// \brief A value of type T or an Error. Accessing the wrong one terminates the
/// process.
template <typename T>
using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

/// \brief Success without a value, or an Error.
using Status = Result<void>;

/// \returns the failure state of any Result.
[[nodiscard]] inline auto Fail(ErrorCode code, std::string detail) {
  return outcome::failure(Error{code, std::move(detail), std::nullopt});
}

/// \returns the failure state of any Result, with a position in an input file.
[[nodiscard]] inline auto FailAt(ErrorCode code,
                                 std::string detail,
                                 SourcePosition position) {
  return outcome::failure(Error{code, std::move(detail), std::move(position)});
}

/// \returns the value of `result`, or `fallback` for a failure.
template <typename T>
[[nodiscard]] T ValueOr(const Result<T>& result, T fallback) {
  return result ? result.value() : std::move(fallback);
}

/// \returns the success state of a Status.
[[nodiscard]] inline auto Ok() {
  return outcome::success();
}

}  // namespace boragewinch

#define BW_CONCAT_INNER(a, b) a##b
#define BW_CONCAT(a, b) BW_CONCAT_INNER(a, b)
#define BW_TRY_INNER(temporary, target, expression)            \
  auto temporary = (expression);                               \
  if (!temporary)                                              \
    return ::boragewinch::outcome::failure(temporary.error()); \
  target = std::move(temporary).value()

/// Evaluates a Result; assigns its value to `target` (a declaration or an
/// lvalue) or returns its Error. Replaces BOOST_OUTCOME_TRY, which in Boost
/// 1.74 accepts only a new variable.
#define BW_TRY(target, expression) \
  BW_TRY_INNER(BW_CONCAT(bw_result_, __COUNTER__), target, expression)

/// Evaluates a Status and returns its Error, if any.
#define BW_CHECK(expression)                                     \
  do {                                                           \
    if (auto bw_status = (expression); !bw_status)               \
      return ::boragewinch::outcome::failure(bw_status.error()); \
  } while (false)

#endif  // BORAGEWINCH_BASE_RESULT_H_
