#ifndef BORAGEWINCH_TESTS_FIXTURE_ERROR_H_
#define BORAGEWINCH_TESTS_FIXTURE_ERROR_H_

#include <exception>
#include <optional>
#include <string>
#include <utility>

#include "base/error.h"

namespace boragewinch {

/// \brief Thrown if a test or benchmark can't set up its environment.
class FixtureError : public std::exception {
 public:
  FixtureError(ErrorCode code, std::string detail)
      : error_{code, std::move(detail), std::nullopt}, text_(error_.Text()) {}

  [[nodiscard]] const Error& error() const noexcept { return error_; }
  [[nodiscard]] const char* what() const noexcept override {
    return text_.c_str();
  }

 private:
  Error error_;
  std::string text_;
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_TESTS_FIXTURE_ERROR_H_
