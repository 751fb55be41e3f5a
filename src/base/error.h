#ifndef BORAGEWINCH_BASE_ERROR_H_
#define BORAGEWINCH_BASE_ERROR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/enum_table.h"

namespace boragewinch {

/// \brief Error codes of all operations.
enum class ErrorCode {
  kInvalidSetting,
  kInvalidJson,
  kInvalidField,
  kMissingField,
  kInvalidSheet,
  kUnknownName,
  kDuplicateName,
  kVersionConflict,
  kBudgetExceeded,
  kLimitExceeded,
  kNeedsConfirmation,
  kUnauthorized,
  kNotLeader,
  kUnavailable,
  kTimeout,
  kTooLarge,
  kTableFull,
  kFenced,
  kNotFound,
  kConflict,
  kStorageWrite,
  kStorageCorrupt,
  kStorageMissing,
  kTransport,
  kProtocol,
};

inline constexpr EnumTable<ErrorCode, 25> kErrorCodes{{{
    {ErrorCode::kInvalidSetting, "invalid_setting"},
    {ErrorCode::kInvalidJson, "invalid_json"},
    {ErrorCode::kInvalidField, "invalid_field"},
    {ErrorCode::kMissingField, "missing_field"},
    {ErrorCode::kInvalidSheet, "invalid_sheet"},
    {ErrorCode::kUnknownName, "unknown_name"},
    {ErrorCode::kDuplicateName, "duplicate_name"},
    {ErrorCode::kVersionConflict, "version_conflict"},
    {ErrorCode::kBudgetExceeded, "budget_exceeded"},
    {ErrorCode::kLimitExceeded, "limit_exceeded"},
    {ErrorCode::kNeedsConfirmation, "needs_confirmation"},
    {ErrorCode::kUnauthorized, "unauthorized"},
    {ErrorCode::kNotLeader, "not_leader"},
    {ErrorCode::kUnavailable, "unavailable"},
    {ErrorCode::kTimeout, "timeout"},
    {ErrorCode::kTooLarge, "too_large"},
    {ErrorCode::kTableFull, "table_full"},
    {ErrorCode::kFenced, "fenced"},
    {ErrorCode::kNotFound, "not_found"},
    {ErrorCode::kConflict, "conflict"},
    {ErrorCode::kStorageWrite, "storage_write"},
    {ErrorCode::kStorageCorrupt, "storage_corrupt"},
    {ErrorCode::kStorageMissing, "storage_missing"},
    {ErrorCode::kTransport, "transport"},
    {ErrorCode::kProtocol, "protocol"},
}}};

/// \brief A position in an input file. Lines and columns count from 1.
struct SourcePosition {
  std::string file;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
};

/// \brief An error code with a detail for the operator.
struct Error {
  ErrorCode code;
  std::string detail;
  std::optional<SourcePosition> position;

  /// \returns "code: detail", preceded by "file:line:column: " if it has a
  /// position.
  [[nodiscard]] std::string Text() const {
    std::string text;
    if (position) {
      text = position->file + ":" + std::to_string(position->line) + ":" +
             std::to_string(position->column) + ": ";
    }
    return text + std::string(kErrorCodes.Name(code)) + ": " + detail;
  }
};

}  // namespace boragewinch

#endif  // BORAGEWINCH_BASE_ERROR_H_
